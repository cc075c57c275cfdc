//! A client of a [`World`](super::World) that sends one request after the other to one sidecar.

use super::world_pod::CLASSES;
use super::world_record::WorldRecord;
use super::{Answer, Client};
use limewing_rule_checker::record::{AttemptKey, Event, FinalAnswer, RequestId, SidecarId};
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long past its timeout a client waits for an answer that may still be in flight.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(700);
/// The pause after a failed connection or a rejection.
const BACKOFF: Duration = Duration::from_millis(20);
/// The range of the pause between two requests.
const PAUSE_MS: Range<u64> = 2..20;
/// The SQLSTATEs by which a sidecar states that a retry is harmless.
const REJECTION_CODES: [&str; 2] = ["53300", "57P03"];

pub(super) struct WorldClient {
    pub(super) record: WorldRecord,
    pub(super) sidecar: SidecarId,
    pub(super) address: SocketAddr,
    /// The upper half of its requests' numbers.
    pub(super) name: u64,
    pub(super) timeout: Duration,
    pub(super) rng: StdRng,
}

/// The outcome of a request on a connection.
enum Exchange {
    Delivered,
    NotDelivered,
    ConnectionEnded,
}

impl WorldClient {
    /// Sends requests until it is stopped; returns the number of delivered ones.
    pub(super) fn run(mut self, stop: &AtomicBool) -> usize {
        let mut delivered = 0;
        let mut next = 0;
        let mut connection: Option<Client> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(client) = connection.as_mut() else {
                connection = Client::try_new(self.address, self.timeout + LATE_ANSWER_WAIT);
                if connection.is_none() {
                    std::thread::sleep(BACKOFF);
                }
                continue;
            };
            let request = RequestId(self.name << 32 | next);
            next += 1;
            match self.exchange(client, request) {
                Exchange::Delivered => delivered += 1,
                Exchange::NotDelivered => {}
                Exchange::ConnectionEnded => connection = None,
            }
            let pause = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
        }
        delivered
    }

    fn exchange(&mut self, client: &mut Client, request: RequestId) -> Exchange {
        let attempt = AttemptKey::new(request, 0);
        let class = self.rng.random_range(0..CLASSES.len());
        self.record.append(Event::RequestSent {
            sidecar: self.sidecar,
            attempt,
            class,
            timeout: self.timeout,
            routing_key: None,
        });
        let written = client.send_query(&self.statement(request, class));
        let answer = if written {
            client.read_answer()
        } else {
            Answer::ConnectionClosed
        };
        match answer {
            Answer::Row(value) => return self.handle_row(attempt, &value),
            Answer::Error(code, _) if REJECTION_CODES.contains(&code.as_str()) => {
                self.record_answer(attempt, FinalAnswer::Rejected, None);
                std::thread::sleep(BACKOFF);
            }
            Answer::Error(..) => self.record_answer(attempt, FinalAnswer::Failed, None),
            Answer::Empty | Answer::CommandComplete(_) => self.record_unexpected(attempt),
            Answer::ConnectionClosed => {
                self.record.append(if client.has_timed_out() {
                    Event::ClientTimedOut { attempt }
                } else {
                    Event::ConnectionLost { attempt, written }
                });
                return Exchange::ConnectionEnded;
            }
        }
        Exchange::NotDelivered
    }

    fn statement(&self, request: RequestId, class: usize) -> String {
        let id = request.0;
        let class = CLASSES[class];
        let timeout = self.timeout.as_millis();
        format!(
            "SELECT blob FROM rows WHERE handle = '7f3a' /* id={id:016x},c={class},t=acme,d={timeout},k={id:x} */"
        )
    }

    /// Records a row: it counts as delivered only if it carries the identifier of this request.
    fn handle_row(&self, attempt: AttemptKey, value: &str) -> Exchange {
        let (id, build) = value.split_once('-').unwrap_or_default();
        if id == format!("{:016x}", attempt.request.0) {
            self.record_answer(attempt, FinalAnswer::Delivered, build.parse().ok());
            return Exchange::Delivered;
        }
        self.record_unexpected(attempt);
        Exchange::NotDelivered
    }

    fn record_answer(&self, attempt: AttemptKey, answer: FinalAnswer, build: Option<u16>) {
        self.record.append(Event::Answered {
            sidecar: self.sidecar,
            attempt,
            answer,
            status: 0,
            build,
        });
    }

    fn record_unexpected(&self, attempt: AttemptKey) {
        self.record.append(Event::UnexpectedAnswer {
            sidecar: self.sidecar,
            attempt: Some(attempt),
        });
    }
}
