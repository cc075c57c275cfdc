//! Clients that keep their connections and ask one request at a time.

use crate::pg;
use crate::world::{cannot_run, World};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Request {
    pub sent_at: f64,
    pub deadline_ms: f64,
    pub answered_at: f64,
    pub outcome: String,
    pub id: String,
    pub class: String,
}

#[derive(Clone)]
pub struct Clients {
    world: World,
    to: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
    stopped: Arc<AtomicBool>,
    counter: Arc<AtomicU64>,
    /// The share of requests whose client leaves before the answer, in thousandths.
    pub leave: Arc<AtomicU64>,
}

impl Clients {
    pub fn new(world: &World, to: SocketAddr) -> Self {
        Self {
            world: world.clone(),
            to,
            requests: Arc::default(),
            stopped: Arc::default(),
            counter: Arc::default(),
            leave: Arc::default(),
        }
    }

    /// Waits until the sidecar answers an empty query.
    pub fn wait_until_ready(&self) {
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(30) {
            if self.empty_query().is_ok() {
                self.world.log("sidecar is ready");
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        cannot_run("the sidecar is not ready within 30 s");
    }

    fn empty_query(&self) -> io::Result<()> {
        let mut stream = self.connect()?;
        stream.write_all(&pg::query(""))?;
        while pg::read(&mut stream)?.0 != b'Z' {}
        Ok(())
    }

    /// Opens a connection; the startup message is written, its answer not awaited.
    fn connect_ahead(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(7)))?;
        stream.write_all(&pg::startup())?;
        Ok(stream)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(7)))?;
        pg::open(&mut stream)?;
        Ok(stream)
    }

    /// Starts `count` clients, each of which asks every `each_ms` or, if that has passed, at once.
    pub fn start(
        &self,
        count: u64,
        each_ms: u64,
        class: &'static str,
        tenant: &'static str,
        deadline_ms: u64,
    ) {
        for index in 0..count {
            let clients = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(each_ms * index / count));
                clients.ask_again_and_again(each_ms, class, tenant, deadline_ms);
            });
        }
    }

    /// Asks once on a new connection; then closes it, or keeps it until a time.
    pub fn ask_once(&self, class: &str, tenant: &str, deadline_ms: u64, keeps: bool, until: f64) {
        let number = self.counter.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let Ok(mut stream) = self.connect_ahead() else {
            self.world.log(&format!("client id={id} got no connection"));
            return;
        };
        let text = format!(
            "SELECT blob FROM rows WHERE handle = 'h{number:015x}' /* id={id},c={class},t={tenant},d={deadline_ms} */"
        );
        let sent_at = self.world.now();
        let outcome = ask(&mut stream, &text, &id, true)
            .unwrap_or_else(|error| format!("connection ended: {}", error.kind()));
        let answered_at = self.world.now();
        self.world.log_at(
            sent_at,
            &format!("client asked id={id} c={class} d={deadline_ms} on a new connection"),
        );
        self.world
            .log_at(answered_at, &format!("client id={id} got {outcome}"));
        self.requests.lock().unwrap().push(Request {
            sent_at,
            deadline_ms: deadline_ms as f64,
            answered_at,
            outcome,
            id,
            class: class.to_owned(),
        });
        if keeps {
            self.world.sleep_until(until);
        }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn ask_again_and_again(&self, each_ms: u64, class: &str, tenant: &str, deadline_ms: u64) {
        let mut stream = None;
        let mut due = Instant::now();
        let mut is_new = false;
        while !self.stopped.load(Ordering::SeqCst) {
            if stream.is_none() {
                stream = self.connect_ahead().ok();
                is_new = true;
            }
            let Some(open) = &mut stream else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let number = self.counter.fetch_add(1, Ordering::SeqCst);
            let id = format!("{:08x}{number:08x}", std::process::id());
            let key = if class == "place-order" {
                format!(",k=k{id}")
            } else {
                String::new()
            };
            let text = format!(
                "SELECT blob FROM rows WHERE handle = 'h{number:015x}' /* id={id},c={class},t={tenant},d={deadline_ms}{key} */"
            );
            let leaves = number * 7919 % 1000 < self.leave.load(Ordering::SeqCst);
            let sent_at = self.world.now();
            let result = if leaves {
                let wait = Duration::from_millis(number * 104_729 % 250);
                let result = open.write_all(&pg::query(&text));
                std::thread::sleep(wait);
                stream = None;
                result.map(|()| "left".to_owned())
            } else {
                ask(open, &text, &id, std::mem::take(&mut is_new))
            };
            let outcome = match result {
                Ok(outcome) => outcome,
                Err(_) => {
                    // The close crossed the request: it is sent once more on a new connection.
                    stream = self.connect().ok();
                    match stream.as_mut().map(|open| ask(open, &text, &id, false)) {
                        Some(Ok(outcome)) => outcome,
                        Some(Err(error)) => {
                            stream = None;
                            format!("connection ended: {}", error.kind())
                        }
                        None => "no sidecar".into(),
                    }
                }
            };
            let answered_at = self.world.now();
            self.world.log_at(
                sent_at,
                &format!("client asked id={id} c={class} d={deadline_ms}"),
            );
            self.world
                .log_at(answered_at, &format!("client id={id} got {outcome}"));
            self.requests.lock().unwrap().push(Request {
                sent_at,
                deadline_ms: deadline_ms as f64,
                answered_at,
                outcome,
                id,
                class: class.to_owned(),
            });
            due += Duration::from_millis(each_ms);
            let now = Instant::now();
            if due > now {
                std::thread::sleep(due - now);
            } else {
                due = now;
            }
        }
    }
}

/// Asks and waits for the answer, on a new connection behind that to the startup message.
fn ask(stream: &mut TcpStream, text: &str, id: &str, is_new: bool) -> io::Result<String> {
    stream.write_all(&pg::query(text))?;
    if is_new {
        while pg::read(stream)?.0 != b'Z' {}
    }
    let mut outcome = String::from("nothing");
    loop {
        let (kind, body) = pg::read(stream)?;
        match kind {
            b'D' => {
                let value = String::from_utf8_lossy(&body[6..]).into_owned();
                outcome = if value == format!("value of {id}") {
                    "served".into()
                } else {
                    format!("foreign: {value}")
                };
            }
            b'E' => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let code = text
                    .split('\0')
                    .find_map(|part| part.strip_prefix('C'))
                    .unwrap_or_default()
                    .to_owned();
                outcome = match code.as_str() {
                    "53300" | "57P03" => "refused".into(),
                    other => format!("failed {other}"),
                };
            }
            b'Z' => return Ok(outcome),
            _ => {}
        }
    }
}

/// Opens connections on which nothing is said. What comes is read, to its end; the connections stay
/// open on this side. Returns how many could be opened.
pub fn stay_silent(world: &World, to: SocketAddr, count: usize) -> usize {
    let mut opened = 0;
    for _ in 0..count {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
            break;
        };
        opened += 1;
        let world = world.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok(1..) = stream.read(&mut buffer) {}
            world.log("a silent client has read the end");
            std::thread::sleep(Duration::from_secs(60));
        });
    }
    opened
}
