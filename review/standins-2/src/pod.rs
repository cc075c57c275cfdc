//! A pod: serves statements in PostgreSQL's protocol, one at a time on a connection.
//!
//! Each connection has a thread that reads and notes when bytes arrived, and one that serves. While
//! the pod stands still, nothing is served, but the system goes on to accept connections and bytes.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A statement of which the last byte arrived.
#[derive(Clone, Debug)]
pub struct Run {
    pub host: String,
    pub build: u16,
    pub id: String,
    pub handle: String,
    pub class: String,
    /// When its first byte arrived.
    pub first_byte: Instant,
    /// When its last byte arrived.
    pub last_byte: Instant,
    /// The time that its comment tells, in milliseconds.
    pub told_ms: u64,
    /// Whether it was turned away with 53300.
    pub turned_away: bool,
}

/// A pod; clones are the same pod.
#[derive(Clone)]
pub struct Pod {
    pub host: String,
    pub build: u16,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    host: String,
    build: u16,
    record: Record,
    runs: Mutex<Vec<Run>>,
    /// It turns new requests away.
    draining: AtomicBool,
    service_ms: AtomicU64,
    /// It stands still until this time.
    still_until: Mutex<Instant>,
}

impl Pod {
    pub fn start(host: &str, build: u16, service_ms: u64, record: &Record) -> Self {
        let listener = crate::listen();
        let address = listener.local_addr().expect("the listener's address");
        let shared = Arc::new(Shared {
            host: host.into(),
            build,
            record: record.clone(),
            runs: Mutex::default(),
            draining: AtomicBool::new(false),
            service_ms: AtomicU64::new(service_ms),
            still_until: Mutex::new(Instant::now()),
        });
        let for_connections = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&for_connections);
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Self {
            host: host.into(),
            build,
            address,
            shared,
        }
    }

    /// From now on, new requests are turned away with 53300.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared
            .record
            .line(&format!("pod {} drains", self.host));
    }

    /// Stands still for this time.
    pub fn stand_still(&self, time: Duration) {
        *self.shared.still_until.lock().expect("no holder panics") = Instant::now() + time;
        let ms = time.as_millis();
        self.shared
            .record
            .line(&format!("pod {} stands still for {ms} ms", self.host));
    }

    /// The statements that arrived so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }
}

/// Bytes with the time at which they arrived.
struct Arrived {
    at: Instant,
    bytes: Vec<u8>,
}

/// The input of a connection, with the arrival time of each byte.
struct Input {
    arrivals: Receiver<Arrived>,
    bytes: Vec<u8>,
    /// The arrival times, each with the length of the bytes that arrived then.
    times: Vec<(usize, Instant)>,
}

impl Input {
    /// Waits for at least this many bytes; `None` at the end of the connection.
    fn wait_for(&mut self, length: usize) -> Option<()> {
        while self.bytes.len() < length {
            let arrived = self.arrivals.recv().ok()?;
            self.times.push((arrived.bytes.len(), arrived.at));
            self.bytes.extend_from_slice(&arrived.bytes);
        }
        Some(())
    }

    /// Takes this many bytes, with the times at which the first and the last one arrived.
    fn take(&mut self, length: usize) -> Option<(Vec<u8>, Instant, Instant)> {
        self.wait_for(length)?;
        let first = self.times.first()?.1;
        let mut last = first;
        let mut missing = length;
        while missing > 0 {
            let (available, at) = self.times[0];
            last = at;
            if available > missing {
                self.times[0].0 -= missing;
                missing = 0;
            } else {
                missing -= available;
                self.times.remove(0);
            }
        }
        let rest = self.bytes.split_off(length);
        Some((std::mem::replace(&mut self.bytes, rest), first, last))
    }
}

impl Shared {
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut reading) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (sender, arrivals) = channel();
        std::thread::spawn(move || {
            let mut buffer = [0; 64 * 1024];
            while let Ok(length @ 1..) = reading.read(&mut buffer) {
                let arrived = Arrived {
                    at: Instant::now(),
                    bytes: buffer[..length].to_vec(),
                };
                if sender.send(arrived).is_err() {
                    return;
                }
            }
        });
        let mut input = Input {
            arrivals,
            bytes: Vec::new(),
            times: Vec::new(),
        };
        // `None` means that the connection has ended.
        let _ = self.session(&mut input, stream);
    }

    fn wait_while_still(&self) {
        loop {
            let until = *self.still_until.lock().expect("no holder panics");
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left);
        }
    }

    fn session(&self, input: &mut Input, mut stream: TcpStream) -> Option<()> {
        let (length, ..) = input.take(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        input.take(length.checked_sub(4)?)?;
        self.wait_while_still();
        let mut out = Vec::new();
        message(&mut out, b'R', &0u32.to_be_bytes());
        message(&mut out, b'S', b"server_version\x0016.0\0");
        message(&mut out, b'K', &[0; 8]);
        message(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()?;
        loop {
            let (header, first_byte, _) = input.take(5)?;
            let length = u32::from_be_bytes(header[1..5].try_into().ok()?) as usize;
            let (body, _, last_byte) = input.take(length.checked_sub(4)?)?;
            if header[0] != b'Q' {
                return None;
            }
            let text = String::from_utf8(body).ok()?;
            let text = text.trim_end_matches('\0');
            self.wait_while_still();
            let answer = if text.is_empty() {
                let mut out = Vec::new();
                message(&mut out, b'I', &[]);
                message(&mut out, b'Z', b"I");
                out
            } else {
                self.run(text, first_byte, last_byte)
            };
            stream.write_all(&answer).ok()?;
        }
    }

    fn run(&self, text: &str, first_byte: Instant, last_byte: Instant) -> Vec<u8> {
        let mut out = Vec::new();
        let field = |name| crate::client::comment_field(text, name);
        let turned_away = self.draining.load(Ordering::SeqCst);
        let run = Run {
            host: self.host.clone(),
            build: self.build,
            id: field("id").unwrap_or_default(),
            handle: crate::client::handle_of(text),
            class: field("c").unwrap_or_default(),
            first_byte,
            last_byte,
            told_ms: field("d").and_then(|d| d.parse().ok()).unwrap_or(0),
            turned_away,
        };
        let what = if turned_away { "turned away" } else { "run" };
        self.record.line_at(
            last_byte,
            &format!(
                "pod {} build {} {what} id={} handle={} c={} d={} first_byte={:.4}",
                run.host,
                run.build,
                run.id,
                run.handle,
                run.class,
                run.told_ms,
                self.record.at(first_byte).as_secs_f64()
            ),
        );
        let id = run.id.clone();
        self.runs.lock().expect("no holder panics").push(run);
        if turned_away {
            message(&mut out, b'E', b"SERROR\0VERROR\0C53300\0Mdraining\0\0");
            message(&mut out, b'Z', b"I");
            return out;
        }
        let service = self.service_ms.load(Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(service));
        self.wait_while_still();
        let mut description = vec![0, 1];
        description.extend_from_slice(b"blob\0");
        description.extend_from_slice(&[0; 6]);
        description.extend_from_slice(&17u32.to_be_bytes());
        description.extend_from_slice(&(-1i16).to_be_bytes());
        description.extend_from_slice(&(-1i32).to_be_bytes());
        description.extend_from_slice(&1u16.to_be_bytes());
        message(&mut out, b'T', &description);
        let value = format!("{id}@{}", self.host);
        let mut row = vec![0, 1];
        row.extend_from_slice(&(value.len() as u32).to_be_bytes());
        row.extend_from_slice(value.as_bytes());
        message(&mut out, b'D', &row);
        message(&mut out, b'C', b"SELECT 1\0");
        message(&mut out, b'S', b"load\0active=1,waiting=0,rps=10\0");
        message(&mut out, b'Z', b"I");
        out
    }
}

/// Writes a message: its type, its length and its body.
pub(crate) fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}
