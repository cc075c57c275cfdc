//! A pod: answers empty queries at once and statements after their work, as PROTOCOL says.

use crate::pg;
use crate::world::{listen, World};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An attempt that has arrived whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: f64,
    pub id: String,
    pub told_ms: f64,
    /// Whether it was turned away.
    pub turned_away: bool,
}

/// Shares of what goes wrong, in thousandths.
#[derive(Clone, Copy, Default)]
pub struct Rough {
    pub reset_on_accept: u64,
    pub late_session: u64,
    pub reset_after_query: u64,
    pub spoilt: u64,
    pub second_answer: u64,
    pub turned_away: u64,
    pub never: u64,
    pub slow: u64,
}

/// Draws a number from a counter, evenly spread.
fn draw(seed: u64) -> u64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 31;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 29)) % 1000
}

pub struct Pod {
    pub host: String,
    pub build: u16,
    pub address: SocketAddr,
    pub work_ms: AtomicU64,
    /// Every so manieth statement fails; 0: none.
    pub fails_each: AtomicU64,
    /// Whether it turns new work away.
    pub draining: AtomicBool,
    /// Until when it stands still, in milliseconds of the run.
    still_until: AtomicU64,
    pub attempts: Mutex<Vec<Attempt>>,
    counter: AtomicU64,
    pub rough: Mutex<Rough>,
    world: World,
}

impl Pod {
    pub fn start(world: &World, host: &str, build: u16, work_ms: u64) -> Arc<Self> {
        let (listener, address) = listen();
        let pod = Arc::new(Self {
            host: host.into(),
            build,
            address,
            work_ms: AtomicU64::new(work_ms),
            fails_each: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            still_until: AtomicU64::new(0),
            attempts: Mutex::default(),
            counter: AtomicU64::new(0),
            rough: Mutex::default(),
            world: world.clone(),
        });
        let shared = Arc::clone(&pod);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let pod = Arc::clone(&shared);
                std::thread::spawn(move || pod.serve(stream));
            }
        });
        pod
    }

    /// Stands still, as a process that is stopped and continued.
    pub fn stand_still(&self, ms: u64) {
        self.still_until
            .store(self.world.now() as u64 + ms, Ordering::SeqCst);
    }

    fn wait_while_still(&self) {
        loop {
            let until = self.still_until.load(Ordering::SeqCst) as f64;
            let left = until - self.world.now();
            if left <= 0.0 {
                return;
            }
            std::thread::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let rough = *self.rough.lock().unwrap();
        let chance = self.chance();
        if chance < rough.reset_on_accept {
            return Ok(());
        }
        pg::read_startup(&mut stream)?;
        if chance >= 1000 - rough.late_session {
            std::thread::sleep(Duration::from_millis(self.chance()));
        }
        self.wait_while_still();
        let mut hello = pg::message(b'R', &[0; 4]);
        hello.extend(pg::message(b'K', &[0; 8]));
        hello.extend(pg::ready());
        stream.write_all(&hello)?;
        loop {
            let (kind, body) = pg::read(&mut stream)?;
            self.wait_while_still();
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let answer = self.answer(&text);
            self.wait_while_still();
            if text.trim().is_empty() {
                stream.write_all(&answer)?;
                continue;
            }
            let rough = *self.rough.lock().unwrap();
            let chance = self.chance();
            let mut share = rough.reset_after_query;
            if chance < share {
                return Ok(());
            }
            share += rough.never;
            if chance < share {
                std::thread::sleep(Duration::from_secs(8));
                return Ok(());
            }
            share += rough.spoilt;
            if chance < share {
                let cut = answer.len() * (self.chance() as usize) / 1000;
                stream.write_all(&answer[..cut])?;
                if self.chance() < 500 {
                    stream.write_all(b"D\xff\xff\xff\xf0noise and more noise")?;
                }
                std::thread::sleep(Duration::from_secs(8));
                return Ok(());
            }
            stream.write_all(&answer)?;
            share += rough.second_answer;
            if chance < share {
                std::thread::sleep(Duration::from_millis(self.chance() % 10));
                stream.write_all(&answer)?;
            }
        }
    }

    fn answer(&self, text: &str) -> Vec<u8> {
        if text.trim().is_empty() {
            let mut out = pg::message(b'I', &[]);
            out.extend(pg::ready());
            return out;
        }
        let at = self.world.now();
        let id = pg::field(text, "id").unwrap_or_default();
        let told = pg::field(text, "d").unwrap_or_default();
        self.world.log_at(
            at,
            &format!(
                "pod {} build={} got id={id} d={told}",
                self.host, self.build
            ),
        );
        let rough = *self.rough.lock().unwrap();
        let turned_away = self.draining.load(Ordering::SeqCst) || self.chance() < rough.turned_away;
        self.attempts.lock().unwrap().push(Attempt {
            at,
            id: id.clone(),
            told_ms: told.parse().unwrap_or(0.0),
            turned_away,
        });
        let failed = |code: &str| {
            let mut out = pg::error(code);
            out.extend(pg::ready());
            out
        };
        if turned_away {
            return failed("53300");
        }
        let is_slow = self.chance() < rough.slow;
        let work = self.work_ms.load(Ordering::SeqCst) * if is_slow { 8 } else { 1 };
        std::thread::sleep(Duration::from_millis(work));
        let count = self.counter.fetch_add(1, Ordering::SeqCst) + 1;
        let each = self.fails_each.load(Ordering::SeqCst);
        if each > 0 && count % each == 0 {
            return failed("XX000");
        }
        // The load report that the settings name.
        let mut out = pg::message(b'S', b"load\0active=1,waiting=0,rps=10\0");
        out.extend(pg::row(format!("value of {id}").as_bytes(), "SELECT 1"));
        out
    }

    fn chance(&self) -> u64 {
        let count = self.counter.fetch_add(1, Ordering::SeqCst);
        draw(count * 1000 + u64::from(self.address.port()))
    }

    /// Its entry in discovery's list.
    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"athina-1","class":"std-4","block":0,"health":"{health}","share":1.0,"born_ms":0,"version_no":{}}}"#,
            self.host, self.address, self.build
        )
    }
}
