//! Usual clients: each keeps a connection, sends one statement at a time and reads its answer.

use crate::pod::message;
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A row with this value.
    Served(String),
    /// 53300 or 57P03.
    Refused,
    /// Another error, with its code.
    Failed(String),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in time.
    Nothing,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub handle: String,
    pub sent: Instant,
    pub answered: Instant,
    pub outcome: Outcome,
}

/// One connection to the sidecar.
pub struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    /// Connects and waits for the start of the session.
    pub fn open(to: SocketAddr, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut connection = Self {
            stream,
            input: Vec::new(),
        };
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0api\0database\0ledger\0\0");
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(&body);
        connection.stream.write_all(&out).ok()?;
        let until = Instant::now() + timeout;
        loop {
            match connection.read_message(until) {
                Ok((b'Z', _)) => return Some(connection),
                Ok(_) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a statement.
    pub fn send(&mut self, statement: &str) -> bool {
        let mut out = Vec::new();
        let mut body = statement.as_bytes().to_vec();
        body.push(0);
        message(&mut out, b'Q', &body);
        self.stream.write_all(&out).is_ok()
    }

    /// Reads the answer to a statement, up to ReadyForQuery.
    pub fn answer(&mut self, until: Instant) -> Outcome {
        let mut outcome = None;
        loop {
            match self.read_message(until) {
                Ok((b'Z', _)) => return outcome.unwrap_or(Outcome::Closed),
                Ok((b'D', body)) => {
                    let value = String::from_utf8_lossy(body.get(6..).unwrap_or_default());
                    outcome = Some(Outcome::Served(value.into_owned()));
                }
                Ok((b'I', _)) => outcome = Some(Outcome::Served(String::new())),
                Ok((b'E', body)) => {
                    let (code, is_fatal) = error_fields(&body);
                    let error = match code.as_str() {
                        "53300" | "57P03" => Outcome::Refused,
                        _ => Outcome::Failed(code),
                    };
                    if is_fatal {
                        return error;
                    }
                    outcome = Some(error);
                }
                Ok(_) => {}
                Err(has_ended) => {
                    return if has_ended {
                        Outcome::Closed
                    } else {
                        Outcome::Nothing
                    }
                }
            }
        }
    }

    /// Reads a message; the error tells whether the connection has ended.
    fn read_message(&mut self, until: Instant) -> Result<(u8, Vec<u8>), bool> {
        loop {
            if self.input.len() >= 5 {
                let length = u32::from_be_bytes([
                    self.input[1],
                    self.input[2],
                    self.input[3],
                    self.input[4],
                ]) as usize;
                if self.input.len() > length {
                    let rest = self.input.split_off(length + 1);
                    let whole = std::mem::replace(&mut self.input, rest);
                    return Ok((whole[0], whole[5..].to_vec()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(false);
            }
            let _ = self
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut buffer = [0; 16 * 1024];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(true),
                Ok(length) => self.input.extend_from_slice(&buffer[..length]),
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                    std::io::ErrorKind::Interrupted => {}
                    _ => return Err(true),
                },
            }
        }
    }
}

/// Returns the code of an ErrorResponse, and whether it ends the connection.
fn error_fields(body: &[u8]) -> (String, bool) {
    let mut code = String::new();
    let mut is_fatal = false;
    for field in body.split(|byte| *byte == 0).filter(|f| !f.is_empty()) {
        let text = String::from_utf8_lossy(&field[1..]).into_owned();
        match field[0] {
            b'C' => code = text,
            b'S' => is_fatal = text == "FATAL",
            _ => {}
        }
    }
    (code, is_fatal)
}

/// Returns a field of the comment of a statement.
pub fn comment_field(statement: &str, name: &str) -> Option<String> {
    let comment = statement.split("/* ").nth(1)?.split(" */").next()?;
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

/// Returns the handle of the row that a statement names.
pub fn handle_of(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or_default().to_owned()
}

/// The statement that reads a row.
pub fn select(handle: &str, id: &str, class: &str, tenant: &str, wait_ms: u64) -> String {
    format!(
        "SELECT blob FROM rows WHERE handle = '{handle}' /* id={id},c={class},t={tenant},d={wait_ms} */"
    )
}

/// The requests of all clients of a case.
#[derive(Clone, Default)]
pub struct Requests(Arc<Mutex<Vec<Request>>>);

impl Requests {
    pub fn push(&self, request: Request) {
        self.0.lock().expect("no holder panics").push(request);
    }

    pub fn all(&self) -> Vec<Request> {
        self.0.lock().expect("no holder panics").clone()
    }
}

/// A group of usual clients that together send at a steady rate until they are told to stop.
pub struct Load {
    pub requests: Requests,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` clients that send `rate` requests a second together. `statement` makes the
    /// statement from the number of the request and its id.
    pub fn start(
        to: SocketAddr,
        clients: u64,
        rate: f64,
        wait: Duration,
        record: &Record,
        statement: impl Fn(u64, &str) -> String + Send + Sync + 'static,
    ) -> Self {
        let requests = Requests::default();
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(0));
        let statement = Arc::new(statement);
        let start = Instant::now();
        let threads = (0..clients)
            .map(|_| {
                let (requests, stop, next) = (requests.clone(), stop.clone(), next.clone());
                let (statement, record) = (Arc::clone(&statement), record.clone());
                std::thread::spawn(move || {
                    let mut connection = None;
                    loop {
                        let number = next.fetch_add(1, Ordering::SeqCst);
                        let due = start + Duration::from_secs_f64(number as f64 / rate);
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("{:08x}{number:08x}", std::process::id());
                        let text = statement(number, &id);
                        send_request(&mut connection, to, &text, &id, wait, &record, &requests);
                    }
                })
            })
            .collect();
        Self {
            requests,
            stop,
            threads,
        }
    }

    /// Stops the clients and waits until their requests have ended.
    pub fn stop(self) -> Vec<Request> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.requests.all()
    }
}

/// Sends one request, on the kept connection if there is one, and once more on a new connection if
/// a close of the kept one crossed it.
pub fn send_request(
    connection: &mut Option<Connection>,
    to: SocketAddr,
    text: &str,
    id: &str,
    wait: Duration,
    record: &Record,
    requests: &Requests,
) {
    let handle = handle_of(text);
    let sent = Instant::now();
    record.line_at(sent, &format!("client sends id={id} handle={handle}"));
    let mut outcome = Outcome::Closed;
    for _ in 0..2 {
        let was_kept = connection.is_some();
        let mut open = match connection.take().or_else(|| Connection::open(to, wait)) {
            Some(open) => open,
            None => break,
        };
        outcome = if open.send(text) {
            open.answer(sent + wait + Duration::from_secs(1))
        } else {
            Outcome::Closed
        };
        match outcome {
            Outcome::Closed if was_kept => continue,
            Outcome::Closed | Outcome::Nothing => {}
            _ => *connection = Some(open),
        }
        break;
    }
    let answered = Instant::now();
    record.line_at(answered, &format!("client has id={id} {outcome:?}"));
    requests.push(Request {
        id: id.to_owned(),
        handle,
        sent,
        answered,
        outcome,
    });
}
