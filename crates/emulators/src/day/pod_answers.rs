//! The pods' answers, with the faults of their builds and of the day applied.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::Day;
use super::headers;
use super::pod_requests::PodRequest;
use crate::script::{BuildFault, DayFault};
use bytes::BytesMut;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http::write_response;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{Event, PodId};
use rand::RngExt;
use std::time::Duration;

/// The pause between the two parts of a streamed answer.
const STREAM_PAUSE: Duration = Duration::from_millis(200);
/// The share of the failing tenant's requests that fail.
const FAILING_SHARE: f64 = 0.97;
/// An answer that ends before its stated length.
const TRUNCATED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it";

/// An answer to be sent by a pod.
struct PodAnswer<'a> {
    status: u16,
    fields: &'a [(&'a str, &'a str)],
    /// Whether it is sent in two parts, with a pause between them.
    streamed: bool,
}

/// The effect of the faults on an answer.
struct Outcome {
    status: u16,
    wrong: bool,
}

impl Day<'_> {
    /// Answers a request that the pod's model has finished.
    pub(super) fn request_done(&mut self, id: PodId, number: u64) {
        let Some(request) = self.pod_requests.open.remove(&number) else {
            return;
        };
        let Some(pod) = self.pods.get_mut(&id) else {
            // The pod ended while the request was running.
            if let Some(key) = request.key.filter(|_| request.effect) {
                self.deduplication.forget(&key);
            }
            return;
        };
        pod.model.finish();
        let slot = pod.slot.0;
        let build = pod.build;
        let age = self.now.saturating_sub(pod.running_since);
        self.dequeue_requests(id);
        let Outcome { status, wrong } = self.draw_outcome(&request, build, age);
        self.record(Event::Executed {
            pod: id,
            attempt: request.attempt,
            effect: request.effect,
        });
        if self.truncates_answer(slot) {
            self.sockets.send(request.socket, TRUNCATED_ANSWER);
            self.close_when_sent(request.socket);
            return;
        }
        let build = build.to_string();
        let mut fields = vec![(headers::BUILD, &build[..])];
        if wrong {
            fields.push((headers::WRONG_ANSWER, "1"));
        }
        let streamed = status == 200 && self.script.classes[request.class].class.streaming;
        let answer = PodAnswer {
            status,
            fields: &fields,
            streamed,
        };
        self.answer(request.socket, id, &answer);
    }

    fn draw_outcome(&mut self, request: &PodRequest, build: u16, age: Duration) -> Outcome {
        let script = self.script;
        let offer = script.offers.iter().find(|offer| offer.build == build);
        let faults = offer.map_or(&[][..], |offer| &offer.faults);
        let mut outcome = Outcome {
            status: 200,
            wrong: false,
        };
        for fault in faults {
            match fault {
                BuildFault::Errors {
                    share,
                    class,
                    min_age,
                } => {
                    let name = &script.classes[request.class].class.name;
                    let min_age = min_age.map_or(Duration::ZERO, Duration::from);
                    let applies = class.as_ref().is_none_or(|only| only == name) && age >= min_age;
                    if applies && self.rng.random_bool(*share) {
                        outcome.status = 500;
                    }
                }
                BuildFault::WrongAnswers { share } => {
                    outcome.wrong |= self.rng.random_bool(*share);
                }
            }
        }
        if request.failing && self.rng.random_bool(FAILING_SHARE) {
            outcome.status = 500;
        }
        outcome
    }

    fn truncates_answer(&mut self, slot: usize) -> bool {
        let share = self.find_fault(|fault| match fault {
            DayFault::TruncatedAnswers { slots, share } if slots.contains(&slot) => Some(*share),
            _ => None,
        });
        share.is_some_and(|share| self.rng.random_bool(share))
    }

    /// Answers that a request was not begun.
    pub(super) fn reject(&mut self, socket: SocketId, id: PodId) {
        let answer = PodAnswer {
            status: 503,
            fields: &[("limewing-not-begun", "1")],
            streamed: false,
        };
        self.answer(socket, id, &answer);
    }

    fn answer(&mut self, socket: SocketId, id: PodId, answer: &PodAnswer) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        connection.busy = answer.streamed;
        let sidecar = connection.sidecar;
        let Some(pod) = self.pods.get(&id) else {
            return;
        };
        let slot = pod.slot.0;
        let zone = &self.script.fleet.zones[pod.zone];
        if sidecar.is_some_and(|sidecar| self.is_partitioned(self.zone_of(sidecar), zone)) {
            return;
        }
        if answer.streamed {
            self.start_stream(socket, answer);
            return;
        }
        let body = b"done\n";
        let mut out = BytesMut::new();
        let framing = Framing::Length(body.len() as u64);
        write_response(&mut out, answer.status, field_bytes(answer), framing, true);
        out.extend_from_slice(body);
        self.sockets.send(socket, &out);
        let closes = |fault: &DayFault| matches!(fault, DayFault::PodsCloseConnections(slots) if slots.contains(&slot));
        if self.has_fault(closes) {
            self.close_when_sent(socket);
        } else {
            self.read_pod_request(socket);
        }
    }

    fn start_stream(&mut self, socket: SocketId, answer: &PodAnswer) {
        let mut out = BytesMut::new();
        write_response(
            &mut out,
            answer.status,
            field_bytes(answer),
            Framing::Chunked,
            true,
        );
        write_chunk(&mut out, b"first\n");
        self.sockets.send(socket, &out);
        let next = self.now + STREAM_PAUSE;
        self.timers.schedule(next, TimerEvent::FinishStream(socket));
    }

    /// Sends the second part of a streamed answer.
    pub(super) fn finish_stream(&mut self, socket: SocketId) {
        let Some(SocketOwner::Pod(connection)) = self.owners.get_mut(&socket) else {
            return;
        };
        connection.busy = false;
        let mut out = BytesMut::new();
        write_chunk(&mut out, b"second\n");
        write_chunk(&mut out, b"");
        self.sockets.send(socket, &out);
        self.read_pod_request(socket);
    }

    fn close_when_sent(&mut self, socket: SocketId) {
        self.owners.remove(&socket);
        self.sockets.close_when_sent(socket);
    }
}

fn field_bytes<'a>(answer: &'a PodAnswer) -> impl Iterator<Item = (&'a [u8], &'a [u8])> + use<'a> {
    answer
        .fields
        .iter()
        .map(|(name, value)| (name.as_bytes(), value.as_bytes()))
}
