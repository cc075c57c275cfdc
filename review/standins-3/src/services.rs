//! Discovery and the rollout service.

use crate::world::{listen, World};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads the first line of a call, its head and its body.
fn read_call(reader: &mut BufReader<TcpStream>) -> io::Result<(String, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, String::from_utf8_lossy(&body).into_owned()))
}

/// One list, which several addresses may serve.
pub struct Discovery {
    world: World,
    /// Each change: its version and its entry.
    changes: Mutex<Vec<(u64, String)>>,
}

/// How one address of discovery behaves.
#[derive(Default)]
pub struct Address {
    /// Calls wait and end with 503 after 1 s.
    pub crowded: AtomicBool,
    /// It accepts nothing and its watches end.
    pub closed: AtomicBool,
}

impl Discovery {
    pub fn new(world: &World, entries: Vec<String>) -> Arc<Self> {
        Arc::new(Self {
            world: world.clone(),
            changes: Mutex::new(entries.into_iter().map(|entry| (1, entry)).collect()),
        })
    }

    pub fn change(&self, entry: String) -> u64 {
        let mut changes = self.changes.lock().unwrap();
        let version = changes.last().map_or(1, |(version, _)| version + 1);
        self.world
            .log(&format!("discovery has seq={version} {entry}"));
        changes.push((version, entry));
        version
    }

    fn since(&self, version: u64) -> Option<(u64, String)> {
        let changes = self.changes.lock().unwrap();
        let newest = changes.last()?.0;
        let new: Vec<&str> = changes
            .iter()
            .filter(|(at, _)| *at > version)
            .map(|(_, entry)| entry.as_str())
            .collect();
        if new.is_empty() {
            return None;
        }
        let text = format!(
            "{{\"seq\":{newest},\"whole\":{},\"hosts\":[{}]}}\n",
            version == 0,
            new.join(",")
        );
        Some((newest, text))
    }

    pub fn known(&self) -> String {
        self.since(0).map(|(_, text)| text).unwrap_or_default()
    }

    /// Serves the list at a new address.
    pub fn serve(self: &Arc<Self>, name: &str) -> (SocketAddr, Arc<Address>) {
        let (listener, at) = listen();
        let address = Arc::new(Address::default());
        let (discovery, behaviour, name) =
            (Arc::clone(self), Arc::clone(&address), name.to_owned());
        std::thread::spawn(move || discovery.accept(listener, behaviour, name));
        (at, address)
    }

    fn accept(self: Arc<Self>, listener: TcpListener, address: Arc<Address>, name: String) {
        let _ = listener.set_nonblocking(true);
        while !address.closed.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (discovery, address, name) =
                        (Arc::clone(&self), Arc::clone(&address), name.clone());
                    std::thread::spawn(move || discovery.call(stream, &address, &name));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn call(&self, stream: TcpStream, address: &Address, name: &str) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let (first, _) = read_call(&mut BufReader::new(stream))?;
        self.world
            .log(&format!("discovery {name} called: {}", first.trim()));
        if address.crowded.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1000));
            self.world.log(&format!("discovery {name} answers 503"));
            return out.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
        }
        let mut version = first
            .split("since=")
            .nth(1)
            .and_then(|rest| {
                rest.split(|c: char| !c.is_ascii_digit())
                    .next()?
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        out.write_all(STREAM_HEAD.as_bytes())?;
        let mut quiet_since = Instant::now();
        let mut is_first = true;
        while !address.closed.load(Ordering::SeqCst) {
            let news = self.since(version);
            let text = match news {
                Some((newest, text)) => {
                    version = newest;
                    Some(text)
                }
                None if is_first => Some(format!(
                    "{{\"seq\":{version},\"whole\":false,\"hosts\":[]}}\n"
                )),
                None if quiet_since.elapsed() >= Duration::from_millis(2000) => Some("\n".into()),
                None => None,
            };
            is_first = false;
            if let Some(text) = text {
                out.write_all(chunk(&text).as_bytes())?;
                self.world
                    .log(&format!("discovery {name} wrote {}", text.trim()));
                quiet_since = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

/// The rollout service.
pub struct Rollouts {
    world: World,
    /// The state of the newest build: revision, wave, state, cap, since when.
    state: Mutex<(u16, u8, String, f64, f64)>,
    streams: Mutex<Vec<TcpStream>>,
    pub votes: Mutex<Vec<(f64, String)>>,
    /// The time that an answer to a vote takes, in milliseconds.
    pub vote_takes_ms: Mutex<u64>,
    /// Each state that was written on a stream, with the time of the write.
    pub told: Mutex<Vec<(f64, String, f64)>>,
    /// Until the run begins, votes are turned away as full.
    pub has_begun: AtomicBool,
    /// Reacts to a vote before it is answered.
    on_vote: Box<dyn Fn(&Rollouts, &str) + Send + Sync>,
}

impl Rollouts {
    pub fn start(
        world: &World,
        state: (u16, u8, &str, f64),
        on_vote: Box<dyn Fn(&Rollouts, &str) + Send + Sync>,
    ) -> (Arc<Self>, SocketAddr) {
        let (listener, at) = listen();
        let service = Arc::new(Self {
            world: world.clone(),
            state: Mutex::new((state.0, state.1, state.2.into(), state.3, world.now())),
            streams: Mutex::default(),
            votes: Mutex::default(),
            vote_takes_ms: Mutex::new(39),
            told: Mutex::default(),
            has_begun: AtomicBool::new(false),
            on_vote,
        });
        let shared = Arc::clone(&service);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = Arc::clone(&shared);
                std::thread::spawn(move || service.call(stream));
            }
        });
        let shared = Arc::clone(&service);
        // A sign of life every second; the state again every 6 s, as the settings say.
        std::thread::spawn(move || {
            for second in 1.. {
                std::thread::sleep(Duration::from_millis(1000));
                if second % 6 == 0 {
                    shared.tell();
                } else {
                    shared.write_line("{}\n");
                }
            }
        });
        (service, at)
    }

    pub fn state_json(&self) -> String {
        let (build, wave, state, cap, since) = self.state.lock().unwrap().clone();
        let age = (self.world.now() - since).max(0.0);
        format!(
            r#"{{"Revision":{build},"Wave":{wave},"State":"{state}","MaxShare":{cap},"AgeMs":{age:.0}}}"#
        )
    }

    /// Changes the state, without telling it yet.
    pub fn set(&self, build: u16, wave: u8, state: &str, cap: f64) {
        *self.state.lock().unwrap() = (build, wave, state.into(), cap, self.world.now());
        self.world
            .log(&format!("platform state is now {}", self.state_json()));
    }

    pub fn state_name(&self) -> String {
        self.state.lock().unwrap().2.clone()
    }

    /// Tells the state on all streams; returns when it was written.
    pub fn tell(&self) -> f64 {
        let state = self.state_json();
        self.write_line(&format!("{{\"type\":\"news\",\"object\":{state}}}\n"));
        let cap = self.state.lock().unwrap().3;
        let at = self.world.now();
        self.world.log_at(at, &format!("platform told {state}"));
        self.told.lock().unwrap().push((at, state, cap));
        at
    }

    /// Takes a vote; returns the status and the body of the answer.
    fn vote(&self, vote: &str) -> (&'static str, String) {
        if !self.has_begun.load(Ordering::SeqCst) {
            return ("429 Too Many Requests", r#"{"error":"BUSY"}"#.into());
        }
        let (build, wave, state, _, _) = self.state.lock().unwrap().clone();
        let is_of_build = vote.contains(&format!(r#""Revision":{build},"#));
        let is_of_wave = vote.contains(&format!(r#""Wave":{wave},"#));
        // The stage does not matter for back and no vote; under a timer there is no vote for on.
        let counts = if vote.contains("pause") {
            is_of_build && is_of_wave && state == "Progressing"
        } else {
            is_of_build && (vote.contains("abort") || vote.contains("abstain"))
        };
        if !counts {
            return ("409 Conflict", r#"{"error":"STALE"}"#.into());
        }
        (self.on_vote)(self, vote);
        ("200 OK", self.state_json())
    }

    fn write_line(&self, line: &str) {
        let text = chunk(line);
        self.streams
            .lock()
            .unwrap()
            .retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    fn call(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let (first, body) = read_call(&mut BufReader::new(stream))?;
        if first.starts_with("GET /v1/events") {
            out.write_all(STREAM_HEAD.as_bytes())?;
            let state = self.state_json();
            out.write_all(
                chunk(&format!("{{\"type\":\"news\",\"object\":{state}}}\n")).as_bytes(),
            )?;
            self.world
                .log(&format!("platform told {state} (new stream)"));
            self.streams.lock().unwrap().push(out);
            return Ok(());
        }
        let at = self.world.now();
        self.votes.lock().unwrap().push((at, body.clone()));
        let (status, answer) = self.vote(&body);
        let takes = *self.vote_takes_ms.lock().unwrap();
        self.world.log_at(
            at,
            &format!("platform got vote {body}, answers {status} {answer} in {takes} ms"),
        );
        std::thread::sleep(Duration::from_millis(takes));
        out.write_all(
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{answer}",
                answer.len()
            )
            .as_bytes(),
        )?;
        self.world
            .log(&format!("platform wrote the vote's answer {answer}"));
        Ok(())
    }
}
