//! What a voter has promised, on disk: one file of records (`limewing_consensus`), written to its end by a thread of its own and
//! synced before the loop is told so. A file that is damaged is put aside, and the voter begins a new life.

use limewing_consensus::{read_log, Record};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// A disk that takes nothing is tried again after this; nothing is promised meanwhile.
const AGAIN: Duration = Duration::from_secs(1);

struct Job {
    no: u64,
    bytes: Vec<u8>,
    /// In the place of all that is there.
    whole: bool,
}

pub struct Promises {
    jobs: Sender<Job>,
    done: Receiver<u64>,
    under_way: usize,
}

struct Disk {
    path: PathBuf,
    file: File,
    /// Bytes that are there for good.
    sound: u64,
    // Held for as long as the process lives: two of them must not write one file.
    _lock: File,
}

impl Promises {
    /// Opens what an earlier process left in a folder; what it had promised comes back.
    ///
    /// # Errors
    /// The folder can't be had, or another process has it.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Record>)> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        lock.try_lock()
            .map_err(|_| io::Error::other("another process has it"))?;
        let path = folder.join("agree.log");
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let found = match read_log(&bytes) {
            Ok(found) => found,
            Err(damage) => {
                tracing::error!(%damage, "what this voter had promised can't be read: it is put aside, and a new life begins");
                std::fs::rename(&path, folder.join("agree.damaged"))?;
                file = OpenOptions::new()
                    .create(true)
                    .truncate(true)
                    .read(true)
                    .write(true)
                    .open(&path)?;
                limewing_consensus::RecoveredLog::default()
            }
        };
        let disk = Disk {
            path,
            file,
            sound: found.valid_length as u64,
            _lock: lock,
        };
        let ((jobs, take), (tell, done)) = (channel(), channel());
        std::thread::Builder::new()
            .name("promises".into())
            .spawn(move || disk.work(&take, &tell))?;
        Ok((
            Self {
                jobs,
                done,
                under_way: 0,
            },
            found.records,
        ))
    }

    fn give(&mut self, no: u64, records: &[Record], whole: bool) {
        let mut bytes = Vec::new();
        records
            .iter()
            .for_each(|record| record.encode_into(&mut bytes));
        // The thread ends with the process alone.
        self.under_way += usize::from(self.jobs.send(Job { no, bytes, whole }).is_ok());
    }

    pub fn write(&mut self, no: u64, records: &[Record]) {
        self.give(no, records, false);
    }

    /// Puts these in the place of all that is there.
    pub fn rewrite(&mut self, no: u64, records: &[Record]) {
        self.give(no, records, true);
    }

    /// What is on disk since it was asked last, by number.
    pub fn done(&mut self) -> Option<u64> {
        let last = self.done.try_iter().inspect(|_| self.under_way -= 1).last();
        last
    }

    pub fn idle(&self) -> bool {
        self.under_way == 0
    }
}

impl Disk {
    fn work(mut self, jobs: &Receiver<Job>, done: &Sender<u64>) {
        while let Ok(job) = jobs.recv() {
            while let Err(trouble) = self.put(&job) {
                tracing::warn!(%trouble, "what this voter promises can't be kept: it says nothing until it can");
                std::thread::sleep(AGAIN);
            }
            if done.send(job.no).is_err() {
                return;
            }
        }
    }

    fn put(&mut self, job: &Job) -> io::Result<()> {
        if job.whole {
            let fresh_at = self.path.with_extension("fresh");
            let mut fresh = File::create(&fresh_at)?;
            fresh.write_all(&job.bytes)?;
            fresh.sync_all()?;
            std::fs::rename(&fresh_at, &self.path)?;
            if let Some(folder) = self.path.parent() {
                File::open(folder)?.sync_all()?;
            }
            (self.file, self.sound) = (fresh, job.bytes.len() as u64);
            return Ok(());
        }
        // What a try before left half way is overwritten.
        self.file.set_len(self.sound)?;
        self.file.seek(SeekFrom::Start(self.sound))?;
        self.file.write_all(&job.bytes)?;
        self.file.sync_data()?;
        self.sound += job.bytes.len() as u64;
        Ok(())
    }
}
