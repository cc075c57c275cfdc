//! An open-loop load generator: slow responses do not delay the request schedule, and the latency of each request is
//! measured from its scheduled time. That includes the time that a request waits for a free connection.

use crate::error::LoadError;
use crate::request::{get_request, MAX_RESPONSE_BYTES};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Largest latency that the histogram can represent, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Maximum time that a generator without a schedule waits for events.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest wait that the timer resolution of the poll allows.
const MIN_POLL_WAIT: Duration = Duration::from_millis(1);
/// Status code of a successful response.
const STATUS_OK: u16 = 200;

/// Parameters of the load to send.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Address that the requests are sent to.
    pub target: SocketAddr,
    /// Average request rate of a random schedule, in requests per second. Without one, every connection is kept busy.
    pub requests_per_s: Option<f64>,
    /// Number of open connections.
    pub connections: usize,
    /// Duration of load before the measurement starts.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Seed of the random request schedule.
    pub seed: u64,
    /// Path of each request.
    pub path: String,
}

/// Result of a measurement.
#[derive(Debug)]
pub struct Measurement {
    /// Time from when each request was due until its response was complete, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of responses that arrived during the measurement.
    pub responses: u64,
    /// Number of responses with a status other than 200, and of connections lost while a request was in flight.
    pub failures: u64,
    /// Duration of the measurement.
    pub duration: Duration,
}

impl Measurement {
    fn new(duration: Duration) -> Result<Self, LoadError> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)?,
            responses: 0,
            failures: 0,
            duration,
        })
    }

    /// Returns the average number of responses per second.
    #[must_use]
    pub fn responses_per_s(&self) -> f64 {
        self.responses as f64 / self.duration.as_secs_f64()
    }

    /// Returns a quantile of the latency, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Sends the load and returns its measurement. Calls `on_start` and `on_end` when the measurement starts and ends.
///
/// # Errors
/// Returns an error if polling fails or no connection can be established.
pub fn run(
    profile: &LoadProfile,
    mut on_start: impl FnMut(),
    mut on_end: impl FnMut(),
) -> Result<Measurement, LoadError> {
    let mut generator = Generator::new(profile)?;
    let end = profile.warm_up + profile.duration;
    let mut started = false;
    loop {
        let now = generator.now();
        if now >= profile.warm_up && !started {
            started = true;
            on_start();
        }
        if now >= end {
            break;
        }
        generator.schedule(now);
        generator.send_due();
        let wait = generator.poll_timeout(now, end);
        for event in generator.sockets.wait(Some(wait))? {
            generator.handle(event)?;
        }
    }
    on_end();
    Ok(generator.measurement)
}

/// A connection, and its request in flight.
struct Connection {
    responses: ResponseReader,
    /// Scheduled time of the request in flight, absent while the connection is free.
    due_at: Option<Duration>,
}

impl Connection {
    fn new() -> Self {
        Self {
            responses: ResponseReader::new(MAX_RESPONSE_BYTES),
            due_at: None,
        }
    }
}

struct Generator<'a> {
    profile: &'a LoadProfile,
    sockets: Sockets,
    connections: HashMap<SocketId, Connection>,
    free: Vec<SocketId>,
    /// Scheduled times of the requests that have not been sent yet.
    due: VecDeque<Duration>,
    request: BytesMut,
    rng: StdRng,
    /// Distribution of the time between scheduled requests, in seconds.
    gap: Option<Exp<f64>>,
    /// Time of the next scheduled request.
    next_due: Duration,
    measurement: Measurement,
    start: Instant,
}

impl<'a> Generator<'a> {
    fn new(profile: &'a LoadProfile) -> Result<Self, LoadError> {
        let mut generator = Self {
            profile,
            sockets: Sockets::new()?,
            connections: HashMap::new(),
            free: Vec::new(),
            due: VecDeque::new(),
            request: get_request(&profile.path),
            rng: StdRng::seed_from_u64(profile.seed),
            gap: profile.requests_per_s.and_then(|rate| Exp::new(rate).ok()),
            next_due: Duration::ZERO,
            measurement: Measurement::new(profile.duration)?,
            start: Instant::now(),
        };
        for _ in 0..profile.connections {
            generator.connect()?;
        }
        generator.start = Instant::now();
        Ok(generator)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn connect(&mut self) -> Result<(), LoadError> {
        let id = self.sockets.connect(self.profile.target)?;
        self.connections.insert(id, Connection::new());
        Ok(())
    }

    /// Queues the requests that have become due. Without a schedule, queues one request per free connection.
    fn schedule(&mut self, now: Duration) {
        let Some(gap) = self.gap else {
            let missing = self.free.len().saturating_sub(self.due.len());
            self.due.extend(std::iter::repeat_n(now, missing));
            return;
        };
        while self.next_due <= now {
            self.due.push_back(self.next_due);
            self.next_due += Duration::from_secs_f64(gap.sample(&mut self.rng));
        }
    }

    fn send_due(&mut self) {
        while !self.due.is_empty() && !self.free.is_empty() {
            let (Some(due_at), Some(id)) = (self.due.pop_front(), self.free.pop()) else {
                break;
            };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.due_at = Some(due_at);
                self.sockets.send(id, &self.request);
            }
        }
    }

    /// Returns how long to wait for events.
    fn poll_timeout(&self, now: Duration, end: Duration) -> Duration {
        let wait = if self.gap.is_some() {
            self.next_due.saturating_sub(self.now())
        } else {
            POLL_INTERVAL
        };
        // Busy-waits for shorter times, because the poll would delay requests by up to a millisecond.
        if wait < MIN_POLL_WAIT {
            Duration::ZERO
        } else {
            wait.min(end.saturating_sub(now))
        }
    }

    fn handle(&mut self, event: SocketEvent) -> Result<(), LoadError> {
        match event {
            SocketEvent::Connected(id) => {
                self.free.push(id);
                Ok(())
            }
            SocketEvent::Readable(id) => self.read(id),
            SocketEvent::ConnectionLost { socket, .. } => {
                self.free.retain(|id| *id != socket);
                self.remove_connection(socket);
                if self.connections.is_empty() {
                    return Err(LoadError::NoConnection);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn read(&mut self, id: SocketId) -> Result<(), LoadError> {
        let has_ended = self.sockets.has_ended(id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return Ok(());
        };
        let Some(input) = self.sockets.input(id) else {
            return Ok(());
        };
        match connection.responses.take(input, has_ended) {
            Ok(Some((head, _body))) => {
                let due_at = connection.due_at.take();
                self.count_response(due_at, head.status);
                self.free.push(id);
                Ok(())
            }
            Ok(None) if !has_ended => {
                self.sockets.resume_reading(id);
                Ok(())
            }
            _ => {
                self.sockets.close(id);
                self.remove_connection(id);
                self.connect()
            }
        }
    }

    /// Records a response that arrived during the measurement.
    fn count_response(&mut self, due_at: Option<Duration>, status: u16) {
        let now = self.now();
        let end = self.profile.warm_up + self.profile.duration;
        let Some(due_at) = due_at else {
            return;
        };
        if now < self.profile.warm_up || now >= end {
            return;
        }
        let latency_us = now.saturating_sub(due_at).as_micros() as u64;
        self.measurement
            .latency
            .saturating_record(latency_us.max(1));
        self.measurement.responses += 1;
        if status != STATUS_OK {
            self.measurement.failures += 1;
        }
    }

    /// Removes a closed connection. Counts its request in flight as a failure.
    fn remove_connection(&mut self, id: SocketId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if connection.due_at.is_some() {
            self.measurement.failures += 1;
        }
    }
}
