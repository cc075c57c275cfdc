//! An open-loop generator: hits are due on a schedule that no answer slows down, and each is timed from when it
//! was due. A hit that finds no free connection waits for one, and its wait counts.

use bytes::BytesMut;
use hdrhistogram::Histogram;
use limewing_net::body::Framing;
use limewing_net::http::write_request;
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Load {
    pub to: SocketAddr,
    /// Hits a second, at random moments; none keeps every connection busy.
    pub hits_per_s: Option<f64>,
    pub connections: usize,
    pub warm_up: Duration,
    pub lasts: Duration,
    pub seed: u64,
    pub target: String,
}

#[derive(Debug)]
pub struct Outcome {
    /// Microseconds from when a hit was due until its answer was whole.
    pub took: Histogram<u64>,
    pub answered: u64,
    /// Answers of another status than 200, and connections lost.
    pub failed: u64,
    /// The time over which was measured.
    pub span: Duration,
}

impl Outcome {
    pub fn per_s(&self) -> f64 {
        self.answered as f64 / self.span.as_secs_f64()
    }

    pub fn ms(&self, quantile: f64) -> f64 {
        self.took.value_at_quantile(quantile) as f64 / 1e3
    }
}

struct Link {
    responses: ResponseReader,
    due: Option<Duration>,
}

/// Sends load until it is over; `at_begin` and `at_end` are called around the measured span.
///
/// # Errors
/// The poll failed, or no connection could be made.
pub fn run(
    load: &Load,
    mut at_begin: impl FnMut(),
    mut at_end: impl FnMut(),
) -> io::Result<Outcome> {
    let mut sockets = Sockets::new()?;
    let mut links: HashMap<SocketId, Link> = HashMap::new();
    let mut free: Vec<SocketId> = Vec::new();
    let mut waiting: VecDeque<Duration> = VecDeque::new();
    let mut request = BytesMut::new();
    let fields = [(&b"host"[..], &b"load.example"[..])];
    write_request(
        &mut request,
        "GET",
        &load.target,
        fields.into_iter(),
        Framing::Length(0),
    );
    for _ in 0..load.connections {
        let id = sockets.connect(load.to)?;
        links.insert(
            id,
            Link {
                responses: ResponseReader::new(1 << 20),
                due: None,
            },
        );
    }
    let mut chance = StdRng::seed_from_u64(load.seed);
    let gap = load.hits_per_s.and_then(|rate| Exp::new(rate).ok());
    let histogram = Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)?;
    let mut outcome = Outcome {
        took: histogram,
        answered: 0,
        failed: 0,
        span: load.lasts,
    };
    let start = Instant::now();
    let (begin, end) = (load.warm_up, load.warm_up + load.lasts);
    let (mut next, mut begun) = (Duration::ZERO, false);
    loop {
        let now = start.elapsed();
        if now >= begin && !begun {
            begun = true;
            at_begin();
        }
        if now >= end {
            break;
        }
        match gap {
            Some(gap) => {
                while next <= now {
                    waiting.push_back(next);
                    next += Duration::from_secs_f64(gap.sample(&mut chance));
                }
            }
            None => waiting.extend(std::iter::repeat_n(
                now,
                free.len().saturating_sub(waiting.len()),
            )),
        }
        while !waiting.is_empty() && !free.is_empty() {
            let (Some(due), Some(id)) = (waiting.pop_front(), free.pop()) else {
                break;
            };
            if let Some(link) = links.get_mut(&id) {
                link.due = Some(due);
                sockets.send(id, &request);
            }
        }
        let wait = if gap.is_some() {
            next.saturating_sub(start.elapsed())
        } else {
            Duration::from_millis(10)
        };
        // Shorter than what a poll can wait for is waited out here, or hits would be late by a millisecond.
        let wait = if wait < Duration::from_millis(1) {
            Duration::ZERO
        } else {
            wait.min(end.saturating_sub(now))
        };
        for what in sockets.wait(Some(wait))? {
            match what {
                SocketEvent::Connected(id) => free.push(id),
                SocketEvent::Readable(id) => {
                    let ended = sockets.has_ended(id);
                    let Some(link) = links.get_mut(&id) else {
                        continue;
                    };
                    let Some(input) = sockets.input(id) else {
                        continue;
                    };
                    let answer = link.responses.take(input, ended);
                    match answer {
                        Ok(Some((head, _))) => {
                            let now = start.elapsed();
                            if let Some(due) = link.due.take().filter(|_| now >= begin && now < end)
                            {
                                let took = now.saturating_sub(due).as_micros() as u64;
                                outcome.took.saturating_record(took.max(1));
                                outcome.answered += 1;
                                outcome.failed += u64::from(head.status != 200);
                            }
                            free.push(id);
                        }
                        Ok(None) if !ended => sockets.resume_reading(id),
                        _ => {
                            sockets.close(id);
                            outcome.failed +=
                                u64::from(links.remove(&id).is_some_and(|link| link.due.is_some()));
                            let id = sockets.connect(load.to)?;
                            links.insert(
                                id,
                                Link {
                                    responses: ResponseReader::new(1 << 20),
                                    due: None,
                                },
                            );
                        }
                    }
                }
                SocketEvent::ConnectionLost { socket, .. } => {
                    free.retain(|id| *id != socket);
                    outcome.failed +=
                        u64::from(links.remove(&socket).is_some_and(|link| link.due.is_some()));
                    if links.is_empty() {
                        return Err(io::Error::other("no connection is left"));
                    }
                }
                _ => {}
            }
        }
    }
    at_end();
    Ok(outcome)
}
