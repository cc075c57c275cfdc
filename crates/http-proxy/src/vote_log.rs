//! The durable log of a voter: a file of `limewing_consensus` records in the folder set by `work.folder`.
//!
//! A separate thread writes and syncs the records. The event loop learns from [`VoteLog::take_durable`] which writes are on
//! disk, and sends no message that depends on a write before that write is durable. A damaged file is moved aside, and the
//! voter starts as a new incarnation.

use limewing_consensus::{read_log, Record, RecoveredLog};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Delay before a failed write is retried. The voter sends nothing meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// File that is locked by the process that uses the folder.
const LOCK_FILE: &str = "lock";
/// File that holds the records.
const LOG_FILE: &str = "agree.log";
/// File to which a damaged log is moved.
const DAMAGED_FILE: &str = "agree.damaged";
/// Extension of the temporary file that replaces the log.
const REPLACEMENT_EXTENSION: &str = "fresh";

/// A write for the writer thread.
struct WriteJob {
    number: u64,
    bytes: Vec<u8>,
    /// Whether the bytes replace the whole log instead of being appended.
    replaces_log: bool,
}

/// A handle to the log of a voter; writes are asynchronous.
pub struct VoteLog {
    jobs: Sender<WriteJob>,
    durable: Receiver<u64>,
    in_flight: usize,
}

/// The open log file, owned by the writer thread.
struct LogFile {
    path: PathBuf,
    file: File,
    /// Length of the durable and valid part of the file, in bytes.
    valid_length: u64,
    /// Held until the process ends, because two processes must not write the same log.
    _lock: File,
}

impl VoteLog {
    /// Opens the log in a folder, which is created if it is missing. Also returns the records written by earlier processes.
    ///
    /// # Errors
    /// Fails if the folder cannot be used, or if another process uses it.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Record>)> {
        std::fs::create_dir_all(folder)?;
        let (log_file, records) = LogFile::open(folder)?;
        let (jobs, job_receiver) = channel();
        let (durable_sender, durable) = channel();
        std::thread::Builder::new()
            .name("vote-log".into())
            .spawn(move || log_file.run(&job_receiver, &durable_sender))?;
        let log = Self {
            jobs,
            durable,
            in_flight: 0,
        };
        Ok((log, records))
    }

    fn submit(&mut self, number: u64, records: &[Record], replaces_log: bool) {
        let mut bytes = Vec::new();
        for record in records {
            record.encode_into(&mut bytes);
        }
        let job = WriteJob {
            number,
            bytes,
            replaces_log,
        };
        // The writer thread ends only with the process.
        if self.jobs.send(job).is_ok() {
            self.in_flight += 1;
        }
    }

    /// Queues write `number`, which appends records.
    pub fn append(&mut self, number: u64, records: &[Record]) {
        self.submit(number, records, false);
    }

    /// Queues write `number`, which replaces the whole log with these records.
    pub fn replace(&mut self, number: u64, records: &[Record]) {
        self.submit(number, records, true);
    }

    /// Returns the number of the last write that became durable since the previous call.
    pub fn take_durable(&mut self) -> Option<u64> {
        let mut last = None;
        for number in self.durable.try_iter() {
            self.in_flight -= 1;
            last = Some(number);
        }
        last
    }

    /// Returns whether no write is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }
}

impl LogFile {
    fn open(folder: &Path) -> io::Result<(Self, Vec<Record>)> {
        let lock = lock(folder)?;
        let path = folder.join(LOG_FILE);
        let mut file = open_file(&path, false)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let recovered = match read_log(&bytes) {
            Ok(recovered) => recovered,
            Err(error) => {
                tracing::error!(%error, "the vote log is damaged: moved aside, this voter starts as a new incarnation");
                std::fs::rename(&path, folder.join(DAMAGED_FILE))?;
                file = open_file(&path, true)?;
                RecoveredLog::default()
            }
        };
        let log_file = Self {
            path,
            file,
            valid_length: recovered.valid_length as u64,
            _lock: lock,
        };
        Ok((log_file, recovered.records))
    }

    /// Runs on the writer thread: executes the queued writes.
    fn run(mut self, jobs: &Receiver<WriteJob>, durable: &Sender<u64>) {
        while let Ok(job) = jobs.recv() {
            while let Err(error) = self.write(&job) {
                tracing::warn!(%error, "cannot write the vote log; retrying, this voter is silent until it succeeds");
                std::thread::sleep(RETRY_INTERVAL);
            }
            if durable.send(job.number).is_err() {
                return;
            }
        }
    }

    fn write(&mut self, job: &WriteJob) -> io::Result<()> {
        if job.replaces_log {
            self.replace(&job.bytes)
        } else {
            self.append(&job.bytes)
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let replacement_path = self.path.with_extension(REPLACEMENT_EXTENSION);
        let mut replacement = File::create(&replacement_path)?;
        replacement.write_all(bytes)?;
        replacement.sync_all()?;
        std::fs::rename(&replacement_path, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = replacement;
        self.valid_length = bytes.len() as u64;
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // An earlier write that failed midway may have left partial data.
        self.file.set_len(self.valid_length)?;
        self.file.seek(SeekFrom::Start(self.valid_length))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        self.valid_length += bytes.len() as u64;
        Ok(())
    }
}

fn lock(folder: &Path) -> io::Result<File> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join(LOCK_FILE))?;
    lock.try_lock()
        .map_err(|_| io::Error::other("another process has it"))?;
    Ok(lock)
}

fn open_file(path: &Path, truncate: bool) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .truncate(truncate)
        .read(true)
        .write(true)
        .open(path)
}
