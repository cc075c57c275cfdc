//! Leads datagrams between processes through links of the script: each member is reached at an address of the relay's,
//! which knows the sender by where it sends from.

use limewing_fault_injection::{FaultAction, FaultyNetwork};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const LOOKS_EVERY: Duration = Duration::from_millis(20);
/// Datagrams of a member that are kept to be sent again as replays.
const MOST_HAD: usize = 16;
/// Datagrams on their way, at most.
const MOST_UNDER_WAY: usize = 100_000;

/// Datagrams on their way, by when they arrive: to whom, and the bytes.
type UnderWay = BTreeMap<(Duration, u64), (usize, Vec<u8>)>;

struct Shared {
    start: Instant,
    links: Mutex<FaultyNetwork>,
    under_way: Mutex<(UnderWay, u64)>,
    more: Condvar,
    /// What each member had lately.
    had: Mutex<Vec<Vec<Vec<u8>>>>,
    over: AtomicBool,
    /// Where each member that runs takes datagrams, and sends them from.
    members: Mutex<Vec<Option<SocketAddr>>>,
    passed: Mutex<(u64, u64)>,
    /// When the script's time began.
    began: Mutex<Duration>,
}

pub struct Relay {
    shared: Arc<Shared>,
    /// Where each member is reached.
    pub fronts: Vec<SocketAddr>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Relay {
    /// Between so many members, none of which runs yet.
    pub fn start(links: FaultyNetwork, members: usize) -> io::Result<Self> {
        let sockets: Vec<UdpSocket> = (0..members)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let fronts = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()?;
        let shared = Arc::new(Shared {
            start: Instant::now(),
            links: Mutex::new(links),
            under_way: Mutex::default(),
            more: Condvar::new(),
            had: Mutex::new(vec![Vec::new(); members]),
            over: AtomicBool::new(false),
            members: Mutex::new(vec![None; members]),
            passed: Mutex::default(),
            began: Mutex::default(),
        });
        let mut threads = Vec::new();
        let out = sockets
            .iter()
            .map(UdpSocket::try_clone)
            .collect::<io::Result<Vec<_>>>()?;
        for (to, socket) in sockets.into_iter().enumerate() {
            socket.set_read_timeout(Some(LOOKS_EVERY))?;
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || shared.listen(to, &socket)));
        }
        let sends = shared.clone();
        threads.push(std::thread::spawn(move || sends.deliver(&out)));
        Ok(Self {
            shared,
            fronts,
            threads,
        })
    }

    /// A member takes datagrams here now, or does not run.
    pub fn stands(&self, number: usize, at: Option<SocketAddr>) {
        self.shared.members.lock().unwrap()[number] = at;
    }

    pub fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// The script's time begins now.
    pub fn begin(&self) {
        *self.shared.began.lock().unwrap() = self.now();
    }

    /// Takes the steps of the script that are due.
    pub fn turn(&self) -> Vec<FaultAction> {
        let now = self
            .now()
            .saturating_sub(*self.shared.began.lock().unwrap());
        self.shared.links.lock().unwrap().advance(now)
    }

    pub fn due(&self) -> Option<Duration> {
        self.shared.links.lock().unwrap().next_deadline()
    }

    /// Datagrams and bytes that members sent so far.
    pub fn passed(&self) -> (u64, u64) {
        *self.shared.passed.lock().unwrap()
    }

    /// Sends a member noise, and what it has had before.
    pub fn noise(&self, to: usize, datagrams: u32) -> io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let Some(at) = self.shared.members.lock().unwrap()[to] else {
            return Ok(());
        };
        let had = self.shared.had.lock().unwrap()[to].clone();
        for n in 0..datagrams as usize {
            socket.send_to(&vec![n as u8; 20 + n % 1000], at)?;
            if let Some(again) = had.get(n % had.len().max(1)) {
                socket.send_to(again, at)?;
            }
        }
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared.more.notify_all();
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

impl Shared {
    fn listen(&self, to: usize, socket: &UdpSocket) {
        let mut bytes = [0; 2048];
        while !self.over.load(Ordering::SeqCst) {
            let Ok((length, sender)) = socket.recv_from(&mut bytes) else {
                continue;
            };
            let members = self.members.lock().unwrap().clone();
            let Some(from) = members.iter().position(|at| *at == Some(sender)) else {
                continue;
            };
            {
                let mut passed = self.passed.lock().unwrap();
                *passed = (passed.0 + 1, passed.1 + length as u64);
            }
            let arrivals = self.links.lock().unwrap().transmit(
                self.start.elapsed(),
                from,
                to,
                &bytes[..length],
            );
            let mut under_way = self.under_way.lock().unwrap();
            for arrival in arrivals {
                if under_way.0.len() < MOST_UNDER_WAY {
                    let mark = under_way.1;
                    under_way.1 += 1;
                    under_way.0.insert((arrival.at, mark), (to, arrival.bytes));
                }
            }
            self.more.notify_all();
        }
    }

    fn deliver(&self, out: &[UdpSocket]) {
        let mut under_way = self.under_way.lock().unwrap();
        while !self.over.load(Ordering::SeqCst) {
            let now = self.start.elapsed();
            match under_way.0.first_key_value().map(|((at, _), _)| *at) {
                Some(at) if at <= now => {
                    if let Some((_, (to, bytes))) = under_way.0.pop_first() {
                        let Some(at) = self.members.lock().unwrap()[to] else {
                            continue;
                        };
                        let _ = out[to].send_to(&bytes, at);
                        let mut had = self.had.lock().unwrap();
                        had[to].push(bytes);
                        if had[to].len() > MOST_HAD {
                            had[to].remove(0);
                        }
                    }
                }
                next => {
                    let wait = next.map_or(LOOKS_EVERY, |at| (at - now).min(LOOKS_EVERY));
                    under_way = self.more.wait_timeout(under_way, wait).unwrap().0;
                }
            }
        }
    }
}
