//! Discovery: one list of pods, served at any number of addresses over HTTP/1.1.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a call waits in the queue of a crowded discovery before it is refused.
const CROWDED_WAIT: Duration = Duration::from_millis(2000);
/// The interval of empty lines on a watch while nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a watch looks for changes.
const STEP: Duration = Duration::from_millis(2);
/// The number of pieces in which a slow discovery writes an object.
const PIECES: usize = 20;

/// A pod's entry.
#[derive(Clone, Debug)]
pub struct Entry {
    pub address: SocketAddr,
    pub build: u16,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Entry {
    pub fn new(address: SocketAddr, build: u16) -> Self {
        Self {
            address,
            build,
            health: "in_service",
            born_ms: 0,
        }
    }

    fn json(&self, host: &str) -> String {
        format!(
            r#"{{"host":"{host}","dial":"{}","site":"athina-1","class":"std-4","block":0,"health":"{}","share":1.0,"born_ms":{},"version_no":{}}}"#,
            self.address, self.health, self.born_ms, self.build
        )
    }
}

struct Change {
    at: Instant,
    version: u64,
    host: String,
    entry: Entry,
}

struct List {
    version: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<Change>,
}

/// The list of pods; clones are the same list.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<Mutex<List>>,
    crowded: Arc<AtomicBool>,
    down: Arc<AtomicBool>,
    /// How long it takes to write the first object of a new watch, in milliseconds.
    first_object_ms: Arc<AtomicU64>,
    /// Watches that were opened before this time are silent.
    silent_before: Arc<Mutex<Option<Instant>>>,
    record: Record,
}

/// One address at which discovery answers.
#[derive(Clone)]
pub struct Place {
    pub address: SocketAddr,
    /// It accepts no new connection.
    refuses: Arc<AtomicBool>,
    /// Its open connections are closed.
    closed: Arc<AtomicBool>,
    /// How late it tells changes, in milliseconds.
    lag_ms: Arc<AtomicU64>,
}

impl Discovery {
    pub fn new(version: u64, entries: BTreeMap<String, Entry>, record: &Record) -> Self {
        Self {
            list: Arc::new(Mutex::new(List {
                version,
                entries,
                changes: Vec::new(),
            })),
            crowded: Arc::default(),
            down: Arc::default(),
            first_object_ms: Arc::default(),
            silent_before: Arc::default(),
            record: record.clone(),
        }
    }

    /// The whole list, as in `known`.
    pub fn whole(&self) -> String {
        let list = self.list.lock().expect("no holder panics");
        let entries: Vec<String> = list.entries.iter().map(|(h, e)| e.json(h)).collect();
        format!(
            r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#,
            list.version,
            entries.join(",")
        )
    }

    /// Changes a pod's entry, or adds one; `terminated` removes it.
    pub fn set(&self, host: &str, entry: Entry) {
        let mut list = self.list.lock().expect("no holder panics");
        list.version += 1;
        let version = list.version;
        self.record.line(&format!(
            "discovery has seq {version}: {host} {} build {} born_ms {}",
            entry.health, entry.build, entry.born_ms
        ));
        if entry.health == "terminated" {
            list.entries.remove(host);
        } else {
            list.entries.insert(host.to_owned(), entry.clone());
        }
        list.changes.push(Change {
            at: Instant::now(),
            version,
            host: host.to_owned(),
            entry,
        });
    }

    /// While it is crowded, each call waits 2 s and is then refused with 503.
    pub fn set_crowded(&self, crowded: bool) {
        self.crowded.store(crowded, Ordering::SeqCst);
        self.record.line(&format!("discovery crowded: {crowded}"));
    }

    /// While it is down, watches end, and each call is refused with 503 at once.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.record.line(&format!("discovery down: {down}"));
    }

    /// From now on, writing the first object of a new watch takes this long: it comes in pieces.
    pub fn set_slow(&self, time: Duration) {
        let ms = time.as_millis() as u64;
        self.first_object_ms.store(ms, Ordering::SeqCst);
        self.record
            .line(&format!("discovery takes {ms} ms to tell a first object"));
    }

    /// All watches that are open now fall silent; they stay open.
    pub fn silence_watches(&self) {
        *self.silent_before.lock().expect("no holder panics") = Some(Instant::now());
        self.record.line("the open watches fall silent");
    }

    /// Opens a further address.
    pub fn open(&self) -> Place {
        let listener = crate::listen();
        let place = Place {
            address: listener.local_addr().expect("the listener's address"),
            refuses: Arc::default(),
            closed: Arc::default(),
            lag_ms: Arc::default(),
        };
        let (discovery, opened) = (self.clone(), place.clone());
        listener
            .set_nonblocking(true)
            .expect("the listener can be polled");
        std::thread::spawn(move || {
            // Dropping the listener refuses further connections.
            while !opened.refuses.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (discovery, place) = (discovery.clone(), opened.clone());
                        let _ = stream.set_nonblocking(false);
                        std::thread::spawn(move || {
                            let _ = discovery.serve(stream, &place);
                        });
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        place
    }

    fn serve(&self, mut stream: TcpStream, place: &Place) -> Option<()> {
        let head = read_head(&mut stream)?;
        let from = place.address;
        self.record.line(&format!(
            "discovery at {from} is asked {}",
            first_line(&head)
        ));
        let called = Instant::now();
        if self.down.load(Ordering::SeqCst) {
            return self.refuse(&mut stream, from);
        }
        if self.crowded.load(Ordering::SeqCst) {
            while called.elapsed() < CROWDED_WAIT {
                if place.closed.load(Ordering::SeqCst) {
                    self.record
                        .line(&format!("discovery at {from} closes a call"));
                    return None;
                }
                std::thread::sleep(STEP);
            }
            return self.refuse(&mut stream, from);
        }
        let since: u64 = head
            .split("since=")
            .nth(1)
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .ok()?;
        self.watch(&mut stream, place, since)
    }

    fn refuse(&self, stream: &mut TcpStream, from: SocketAddr) -> Option<()> {
        self.record
            .line(&format!("discovery at {from} answers 503"));
        let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(refusal.as_bytes()).ok()
    }

    /// Tells the changes after a version, then those to come, each as an object of its own.
    fn watch(&self, stream: &mut TcpStream, place: &Place, since: u64) -> Option<()> {
        let from = place.address;
        let opened = Instant::now();
        let mut told = since;
        let (first, version) = {
            let list = self.list.lock().expect("no holder panics");
            let oldest = list.changes.first().map_or(list.version, |c| c.version - 1);
            if since < oldest {
                (None, list.version)
            } else {
                let newer = list.changes.iter().filter(|c| c.version > since);
                let mut latest = BTreeMap::new();
                for change in newer {
                    latest.insert(change.host.clone(), change.entry.clone());
                }
                let entries: Vec<String> = latest.iter().map(|(h, e)| e.json(h)).collect();
                let object = format!(
                    r#"{{"seq":{},"whole":false,"hosts":[{}]}}"#,
                    list.version,
                    entries.join(",")
                );
                (Some(object), list.version)
            }
        };
        let first = first.unwrap_or_else(|| self.whole());
        let time = Duration::from_millis(self.first_object_ms.load(Ordering::SeqCst));
        if time.is_zero() {
            self.tell(stream, from, version, &first)?;
        } else {
            self.tell_slowly(stream, from, version, &first, time)?;
        }
        told = told.max(version);
        let mut last_line = Instant::now();
        loop {
            if place.closed.load(Ordering::SeqCst) || self.down.load(Ordering::SeqCst) {
                self.record
                    .line(&format!("discovery at {from} closes a watch"));
                return None;
            }
            let silent_before = *self.silent_before.lock().expect("no holder panics");
            if silent_before.is_some_and(|time| opened < time) {
                std::thread::sleep(STEP);
                continue;
            }
            let lag = Duration::from_millis(place.lag_ms.load(Ordering::SeqCst));
            let next = {
                let list = self.list.lock().expect("no holder panics");
                list.changes
                    .iter()
                    .find(|c| c.version > told && c.at.elapsed() >= lag)
                    .map(|c| (c.version, c.entry.json(&c.host)))
            };
            if let Some((version, entry)) = next {
                let object = format!(r#"{{"seq":{version},"whole":false,"hosts":[{entry}]}}"#);
                self.tell(stream, from, version, &object)?;
                told = version;
                last_line = Instant::now();
            } else if last_line.elapsed() >= EMPTY_LINE_INTERVAL {
                write_chunk(stream, "")?;
                last_line = Instant::now();
            }
            std::thread::sleep(STEP);
        }
    }

    fn tell(
        &self,
        stream: &mut TcpStream,
        from: SocketAddr,
        version: u64,
        object: &str,
    ) -> Option<()> {
        write_chunk(stream, object)?;
        self.record
            .line(&format!("discovery at {from} tells seq {version}"));
        Some(())
    }
}

impl Discovery {
    /// Writes an object in pieces, spread evenly over a time.
    fn tell_slowly(
        &self,
        stream: &mut TcpStream,
        from: SocketAddr,
        version: u64,
        object: &str,
        time: Duration,
    ) -> Option<()> {
        let line = format!("{object}\n");
        let size = line.len().div_ceil(PIECES);
        self.record
            .line(&format!("discovery at {from} begins to tell seq {version}"));
        for (number, piece) in line.as_bytes().chunks(size).enumerate() {
            if number > 0 {
                std::thread::sleep(time / PIECES as u32);
            }
            let written = stream
                .write_all(format!("{:x}\r\n", piece.len()).as_bytes())
                .and_then(|()| stream.write_all(piece))
                .and_then(|()| stream.write_all(b"\r\n"));
            if written.is_err() {
                self.record
                    .line(&format!("discovery at {from} is not heard to the end"));
                return None;
            }
        }
        self.record
            .line(&format!("discovery at {from} tells seq {version}"));
        Some(())
    }
}

impl Place {
    /// From now on, no new connection is accepted.
    pub fn refuse(&self) {
        self.refuses.store(true, Ordering::SeqCst);
    }

    /// Closes the open connections.
    pub fn close(&self) {
        self.refuses.store(true, Ordering::SeqCst);
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells further changes this much later.
    pub fn set_lag(&self, lag: Duration) {
        self.lag_ms.store(lag.as_millis() as u64, Ordering::SeqCst);
    }

    /// Does what an address does that a new configuration no longer names: it accepts no new
    /// connection, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.refuse();
        let place = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1500));
            place.close();
        });
    }
}

/// Writes a line as a chunk.
pub(crate) fn write_chunk(stream: &mut TcpStream, line: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(chunk.as_bytes()).ok()
}

/// Reads the head of a request.
pub(crate) fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(text).ok()
}

pub(crate) fn first_line(head: &str) -> &str {
    head.lines().next().unwrap_or_default()
}
