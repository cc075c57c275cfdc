//! The rollout service: a stream of news, and votes.

use crate::discovery::{first_line, read_head, write_chunk};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The state of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    pub build: u16,
    pub stage: u8,
    pub name: &'static str,
    pub cap: f64,
}

impl State {
    pub fn json(&self, since: Instant) -> String {
        format!(
            r#"{{"Revision":{},"Wave":{},"State":"{}","MaxShare":{},"AgeMs":{}}}"#,
            self.build,
            self.stage,
            self.name,
            self.cap,
            since.elapsed().as_millis()
        )
    }
}

/// The service; clones are the same service.
#[derive(Clone)]
pub struct Rollouts {
    pub address: SocketAddr,
    told: Arc<Mutex<(State, Instant, u64)>>,
    /// The votes that came, as they came.
    votes: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Rollouts {
    pub fn start(state: State, record: &Record) -> Self {
        let listener = crate::listen();
        let rollouts = Self {
            address: listener.local_addr().expect("the listener's address"),
            told: Arc::new(Mutex::new((state, Instant::now(), 0))),
            votes: Arc::default(),
            record: record.clone(),
        };
        let service = rollouts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let service = service.clone();
                std::thread::spawn(move || service.serve(stream));
            }
        });
        rollouts
    }

    /// Tells a new state.
    pub fn tell(&self, state: State) {
        self.record
            .line(&format!("rollouts tell {}", state.json(Instant::now())));
        let mut told = self.told.lock().expect("no holder panics");
        *told = (state, Instant::now(), told.2 + 1);
    }

    /// The present state, as in `rollouts.news`.
    pub fn news(&self) -> String {
        let told = self.told.lock().expect("no holder panics");
        told.0.json(told.1)
    }

    /// Whether a vote came that would have sent the build back.
    pub fn is_voted_back(&self) -> bool {
        let votes = self.votes.lock().expect("no holder panics");
        votes.iter().any(|vote| vote.contains("abort"))
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let head = read_head(&mut stream)?;
        if head.starts_with("POST") {
            let length: usize = head
                .to_ascii_lowercase()
                .split("content-length:")
                .nth(1)?
                .lines()
                .next()?
                .trim()
                .parse()
                .ok()?;
            let mut body = vec![0; length];
            stream.read_exact(&mut body).ok()?;
            let body = String::from_utf8_lossy(&body).into_owned();
            self.record.line(&format!("rollouts get a vote {body}"));
            self.votes.lock().expect("no holder panics").push(body);
            let news = self.news();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{news}",
                news.len()
            );
            return stream.write_all(answer.as_bytes()).ok();
        }
        self.record
            .line(&format!("rollouts are asked {}", first_line(&head)));
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .ok()?;
        let mut sent = None;
        let mut last_line = Instant::now();
        loop {
            let (json, number) = {
                let told = self.told.lock().expect("no holder panics");
                (told.0.json(told.1), told.2)
            };
            if sent != Some(number) {
                write_chunk(
                    &mut stream,
                    &format!(r#"{{"type":"news","object":{json}}}"#),
                )?;
                self.record.line(&format!("rollouts write news {json}"));
                sent = Some(number);
                last_line = Instant::now();
            } else if last_line.elapsed() >= Duration::from_secs(1) {
                write_chunk(&mut stream, "{}")?;
                last_line = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
