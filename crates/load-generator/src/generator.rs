//! An open-loop generator: requests are due on a schedule that no response slows down, and each is timed from when it was due. A
//! request that finds no free connection waits for one, and its wait counts.

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

/// The longest latency that is told apart, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of a latency.
const LATENCY_DIGITS: u8 = 3;
/// How long a generator without a schedule waits for events at most.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest wait that a poll is exact in.
const MIN_POLL_WAIT: Duration = Duration::from_millis(1);
/// The status of a response that counts as a success.
const STATUS_OK: u16 = 200;

/// The load to send.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Where the requests go.
    pub target: SocketAddr,
    /// Requests a second, at random moments; none keeps every connection busy.
    pub requests_per_s: Option<f64>,
    /// Connections that are kept open.
    pub connections: usize,
    /// Load before the measurement begins.
    pub warm_up: Duration,
    /// How long is measured.
    pub duration: Duration,
    /// Seed of the random moments.
    pub seed: u64,
    /// Path of each request.
    pub path: String,
}

/// What was measured.
#[derive(Debug)]
pub struct Measurement {
    /// Microseconds from when a request was due until its response was complete.
    pub latency: Histogram<u64>,
    /// Responses to requests that were due within the measurement.
    pub responses: u64,
    /// Responses of another status than 200, and connections lost with a request on them.
    pub failures: u64,
    /// How long was measured.
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

    /// Responses a second.
    #[must_use]
    pub fn responses_per_s(&self) -> f64 {
        self.responses as f64 / self.duration.as_secs_f64()
    }

    /// A quantile of the latency, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Sends load until it is over; `on_start` and `on_end` are called around the measurement.
///
/// # Errors
/// The poll failed, or no connection could be made.
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
        let wait = generator.wait_until(now, end);
        for event in generator.sockets.wait(Some(wait))? {
            generator.handle(event)?;
        }
    }
    on_end();
    Ok(generator.measurement)
}

/// A connection, and the request on it.
struct Connection {
    responses: ResponseReader,
    /// When the request on it was due; none while it is free.
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
    /// When the requests that were not sent yet are, or were, due.
    due: VecDeque<Duration>,
    request: BytesMut,
    rng: StdRng,
    /// Between two requests of a schedule, in seconds.
    gap: Option<Exp<f64>>,
    /// When the next request of a schedule is due.
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

    /// Adds the requests that have become due: those of the schedule, or without one as many as connections are free.
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

    /// How long to wait for events.
    fn wait_until(&self, now: Duration, end: Duration) -> Duration {
        let wait = if self.gap.is_some() {
            self.next_due.saturating_sub(self.now())
        } else {
            POLL_INTERVAL
        };
        // A shorter wait is spent in this loop: the poll would make requests late by a millisecond.
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
                self.forget(socket);
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
                self.forget(id);
                self.connect()
            }
        }
    }

    /// Counts a response that came within the measurement.
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

    /// Forgets a connection that is gone; a request on it has failed.
    fn forget(&mut self, id: SocketId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if connection.due_at.is_some() {
            self.measurement.failures += 1;
        }
    }
}
