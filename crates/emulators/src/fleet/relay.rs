//! Carries datagrams between processes over the links of a script of faults: each member is reached at an address of the relay, which
//! knows a sender by where it sends from.

use crate::locks::lock;
use limewing_fault_injection::{FaultAction, FaultyNetwork};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often threads look whether the relay is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Datagrams of a member that are kept to be sent again as replays.
const MAX_REPLAYS: usize = 16;
/// Datagrams on their way, at most: more are lost.
const MAX_IN_FLIGHT: usize = 100_000;
/// Longer datagrams are not the members'.
const MAX_DATAGRAM: usize = 2048;
/// Noise has from this length up to `NOISE_LENGTHS` more bytes.
const MIN_NOISE: usize = 20;
const NOISE_LENGTHS: usize = 1000;

/// A datagram on its way.
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

/// Datagrams on their way, by when they arrive and in which order they were sent.
#[derive(Default)]
struct InFlight {
    datagrams: BTreeMap<(Duration, u64), Datagram>,
    sent: u64,
}

/// What members sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// How many datagrams.
    pub datagrams: u64,
    /// How many bytes in them.
    pub bytes: u64,
}

struct Shared {
    started_at: Instant,
    network: Mutex<FaultyNetwork>,
    in_flight: Mutex<InFlight>,
    more: Condvar,
    /// What each member got lately.
    delivered: Mutex<Vec<Vec<Vec<u8>>>>,
    over: AtomicBool,
    /// Where each member that runs takes datagrams, and sends them from.
    members: Mutex<Vec<Option<SocketAddr>>>,
    traffic: Mutex<RelayTraffic>,
    /// When the script's time began.
    script_began: Mutex<Duration>,
}

/// A relay on threads of its own; it ends when it is dropped.
pub struct Relay {
    shared: Arc<Shared>,
    /// Where each member is reached.
    pub addresses: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// A relay between so many members, none of which runs yet.
    ///
    /// # Errors
    /// A socket can't be had.
    pub fn start(network: FaultyNetwork, members: usize) -> io::Result<Self> {
        let sockets: Vec<UdpSocket> = (0..members)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()?;
        let senders = sockets
            .iter()
            .map(UdpSocket::try_clone)
            .collect::<io::Result<Vec<_>>>()?;
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            network: Mutex::new(network),
            in_flight: Mutex::default(),
            more: Condvar::new(),
            delivered: Mutex::new(vec![Vec::new(); members]),
            over: AtomicBool::new(false),
            members: Mutex::new(vec![None; members]),
            traffic: Mutex::default(),
            script_began: Mutex::default(),
        });
        let mut threads = Vec::new();
        for (to, socket) in sockets.into_iter().enumerate() {
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || shared.receive_all(to, &socket)));
        }
        let deliverer = shared.clone();
        threads.push(std::thread::spawn(move || deliverer.deliver_all(&senders)));
        Ok(Self {
            shared,
            addresses,
            threads,
        })
    }

    /// A member takes datagrams at this address from now on, or does not run.
    pub fn set_member(&self, number: usize, address: Option<SocketAddr>) {
        lock(&self.shared.members)[number] = address;
    }

    /// Time since the relay started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    /// The script's time begins now.
    pub fn begin_script(&self) {
        *lock(&self.shared.script_began) = self.now();
    }

    /// Takes the steps of the script that are due, and returns what they ask of the members' host.
    #[must_use]
    pub fn advance(&self) -> Vec<FaultAction> {
        let began = *lock(&self.shared.script_began);
        let now = self.now().saturating_sub(began);
        lock(&self.shared.network).advance(now)
    }

    /// When the next step is due, in the script's time.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        lock(&self.shared.network).next_deadline()
    }

    /// What members sent so far.
    #[must_use]
    pub fn traffic(&self) -> RelayTraffic {
        *lock(&self.shared.traffic)
    }

    /// Sends a member noise, and what it has got before.
    ///
    /// # Errors
    /// A datagram can't be sent.
    pub fn send_noise(&self, to: usize, datagrams: u32) -> io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let Some(address) = lock(&self.shared.members)[to] else {
            return Ok(());
        };
        let delivered = lock(&self.shared.delivered)[to].clone();
        for number in 0..datagrams as usize {
            let noise = vec![number as u8; MIN_NOISE + number % NOISE_LENGTHS];
            socket.send_to(&noise, address)?;
            if let Some(replay) = delivered.get(number % delivered.len().max(1)) {
                socket.send_to(replay, address)?;
            }
        }
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared.more.notify_all();
        for thread in self.threads.drain(..) {
            // A panic of it has been printed.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Takes what is sent to one member.
    fn receive_all(&self, to: usize, socket: &UdpSocket) {
        let mut bytes = [0; MAX_DATAGRAM];
        while !self.is_over() {
            let Ok((length, sender)) = socket.recv_from(&mut bytes) else {
                continue;
            };
            let members = lock(&self.members).clone();
            let Some(from) = members.iter().position(|member| *member == Some(sender)) else {
                continue;
            };
            self.transmit(from, to, &bytes[..length]);
        }
    }

    fn transmit(&self, from: usize, to: usize, bytes: &[u8]) {
        {
            let mut traffic = lock(&self.traffic);
            traffic.datagrams += 1;
            traffic.bytes += bytes.len() as u64;
        }
        let arrivals = {
            let mut network = lock(&self.network);
            network.transmit(self.started_at.elapsed(), from, to, bytes)
        };
        let mut in_flight = lock(&self.in_flight);
        for arrival in arrivals {
            if in_flight.datagrams.len() >= MAX_IN_FLIGHT {
                continue;
            }
            let order = in_flight.sent;
            in_flight.sent += 1;
            let bytes = arrival.bytes;
            in_flight
                .datagrams
                .insert((arrival.at, order), Datagram { to, bytes });
        }
        self.more.notify_all();
    }

    /// Sends on what arrives, at its time.
    fn deliver_all(&self, senders: &[UdpSocket]) {
        let mut in_flight = lock(&self.in_flight);
        while !self.is_over() {
            let now = self.started_at.elapsed();
            let next = in_flight.datagrams.first_key_value();
            let next = next.map(|((at, _), _)| *at);
            if next.is_some_and(|at| at <= now) {
                if let Some((_, datagram)) = in_flight.datagrams.pop_first() {
                    self.deliver(senders, datagram);
                }
                continue;
            }
            let wait = next.map_or(POLL_INTERVAL, |at| (at - now).min(POLL_INTERVAL));
            let waited = self.more.wait_timeout(in_flight, wait);
            in_flight = waited.expect("no thread panics with the lock").0;
        }
    }

    fn deliver(&self, senders: &[UdpSocket], datagram: Datagram) {
        let Datagram { to, bytes } = datagram;
        let Some(address) = lock(&self.members)[to] else {
            return;
        };
        // What a member that ended can't take is lost.
        let _ = senders[to].send_to(&bytes, address);
        let mut delivered = lock(&self.delivered);
        delivered[to].push(bytes);
        if delivered[to].len() > MAX_REPLAYS {
            delivered[to].remove(0);
        }
    }
}
