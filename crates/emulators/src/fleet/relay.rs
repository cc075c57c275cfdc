//! Relays datagrams between processes over the links of a script of faults. Each member is reached at an address of the relay, which
//! identifies a sender by its source address.

use crate::locks::lock;
use limewing_fault_injection::{FaultAction, FaultyNetwork};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often threads check whether the relay is shutting down.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of datagrams per member that are kept for replays.
const MAX_REPLAYS_PER_MEMBER: usize = 16;
/// The most datagrams in flight; more are dropped.
const MAX_IN_FLIGHT: usize = 100_000;
/// The receive buffer size; members send shorter datagrams.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// The shortest noise datagram.
const MIN_NOISE_BYTES: usize = 20;
/// The number of different lengths of noise datagrams.
const NOISE_LENGTH_COUNT: usize = 1000;

/// A datagram in flight.
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

/// The datagrams in flight, by arrival time and sending order.
#[derive(Default)]
struct InFlight {
    datagrams: BTreeMap<(Duration, u64), Datagram>,
    sent: u64,
}

/// The traffic that members sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The number of bytes in them.
    pub bytes: u64,
}

struct Shared {
    started_at: Instant,
    network: Mutex<FaultyNetwork>,
    in_flight: Mutex<InFlight>,
    in_flight_changed: Condvar,
    /// The datagrams last delivered to each member.
    delivered: Mutex<Vec<Vec<Vec<u8>>>>,
    shutting_down: AtomicBool,
    /// The address at which each running member receives datagrams, and from which it sends.
    members: Mutex<Vec<Option<SocketAddr>>>,
    traffic: Mutex<RelayTraffic>,
    /// The time at which the script began.
    script_started_at: Mutex<Duration>,
}

/// A relay on its own threads; it shuts down when it is dropped.
pub struct Relay {
    shared: Arc<Shared>,
    /// The relay address of each member.
    pub addresses: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay between this many members, none of which runs yet.
    ///
    /// # Errors
    /// Fails if a socket can't be bound or configured.
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
            in_flight_changed: Condvar::new(),
            delivered: Mutex::new(vec![Vec::new(); members]),
            shutting_down: AtomicBool::new(false),
            members: Mutex::new(vec![None; members]),
            traffic: Mutex::default(),
            script_started_at: Mutex::default(),
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

    /// Sets the address at which a member receives datagrams; `None` if it does not run.
    pub fn set_member(&self, number: usize, address: Option<SocketAddr>) {
        lock(&self.shared.members)[number] = address;
    }

    /// The time since the relay started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    /// Starts the time of the script.
    pub fn begin_script(&self) {
        *lock(&self.shared.script_started_at) = self.now();
    }

    /// Executes the steps of the script that are due, and returns the actions that the caller is to apply to the processes.
    #[must_use]
    pub fn advance(&self) -> Vec<FaultAction> {
        let script_start = *lock(&self.shared.script_started_at);
        let now = self.now().saturating_sub(script_start);
        lock(&self.shared.network).advance(now)
    }

    /// The time at which the next step is due, relative to the start of the script.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        lock(&self.shared.network).next_deadline()
    }

    /// The traffic that members sent so far.
    #[must_use]
    pub fn traffic(&self) -> RelayTraffic {
        *lock(&self.shared.traffic)
    }

    /// Sends a member noise, and replays of datagrams that it received before.
    ///
    /// # Errors
    /// Fails if a datagram can't be sent.
    pub fn send_noise(&self, to: usize, datagrams: u32) -> io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let Some(address) = lock(&self.shared.members)[to] else {
            return Ok(());
        };
        let delivered = lock(&self.shared.delivered)[to].clone();
        for number in 0..datagrams as usize {
            let noise = vec![number as u8; MIN_NOISE_BYTES + number % NOISE_LENGTH_COUNT];
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
        self.shared.shutting_down.store(true, Ordering::SeqCst);
        self.shared.in_flight_changed.notify_all();
        for thread in self.threads.drain(..) {
            // The panic message, if any, is already printed.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    /// Receives the datagrams sent to one member.
    fn receive_all(&self, to: usize, socket: &UdpSocket) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while !self.is_shutting_down() {
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
        self.in_flight_changed.notify_all();
    }

    /// Delivers each datagram at its arrival time.
    fn deliver_all(&self, senders: &[UdpSocket]) {
        let mut in_flight = lock(&self.in_flight);
        while !self.is_shutting_down() {
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
            let waited = self.in_flight_changed.wait_timeout(in_flight, wait);
            in_flight = waited.expect("no thread panics while it holds the lock").0;
        }
    }

    fn deliver(&self, senders: &[UdpSocket], datagram: Datagram) {
        let Datagram { to, bytes } = datagram;
        let Some(address) = lock(&self.members)[to] else {
            return;
        };
        // A datagram to a member that has ended is lost.
        let _ = senders[to].send_to(&bytes, address);
        let mut delivered = lock(&self.delivered);
        delivered[to].push(bytes);
        if delivered[to].len() > MAX_REPLAYS_PER_MEMBER {
            delivered[to].remove(0);
        }
    }
}
