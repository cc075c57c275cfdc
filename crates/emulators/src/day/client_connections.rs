//! The clients' connections to sidecars: each carries one attempt at a time, whose outcome is recorded.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::Day;
use super::headers;
use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::{write_request, ResponseHead};
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_rule_checker::record::{AttemptKey, Event, FinalAnswer, SidecarId};
use rand::RngExt;
use std::time::Duration;

/// The pause between the two parts of a slow client's request.
const SLOW_SENDER_PAUSE: Duration = Duration::from_millis(120);
/// How long past its timeout a client waits for an answer that may still be in flight.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(250);
/// The longest answer that is accepted; pods send shorter ones.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A client that disconnects early does so within this fraction of its timeout.
const DISCONNECT_WITHIN_FRACTION: f64 = 0.3;
/// The delay between a wrong answer and the client's report of it.
const REPORT_DELAY_SECONDS: std::ops::Range<f64> = 0.3..1.5;
/// The text in `proxy-status` that marks a rejection by the sidecar itself.
const HARMLESS_RETRY_TEXT: &str = "a retry is harmless";

/// A client's connection to a sidecar.
pub(super) struct ClientConnection {
    sidecar: SidecarId,
    responses: ResponseReader,
    attempt: Option<AttemptKey>,
    /// Whether the head of the answer has arrived.
    answer_started: bool,
    /// The part of the attempt that is not written yet.
    unsent: BytesMut,
    /// Bytes written on this connection before the current attempt.
    written_before: u64,
    timeout: Duration,
    timers: Vec<TimerKey>,
}

impl ClientConnection {
    fn new(sidecar: SidecarId) -> Self {
        Self {
            sidecar,
            responses: ResponseReader::new(MAX_ANSWER_BYTES),
            attempt: None,
            answer_started: false,
            unsent: BytesMut::new(),
            written_before: 0,
            timeout: Duration::ZERO,
            timers: Vec::new(),
        }
    }
}

impl Day<'_> {
    fn client(&mut self, socket: SocketId) -> Option<&mut ClientConnection> {
        match self.owners.get_mut(&socket) {
            Some(SocketOwner::Client(client)) => Some(client),
            _ => None,
        }
    }

    /// Sends an attempt on an idle connection, or on a new one if none is idle.
    pub(super) fn send_to(
        &mut self,
        sidecar: SidecarId,
        attempt: AttemptKey,
        timeout: Duration,
        bytes: BytesMut,
        disconnects: bool,
    ) {
        let idle = self.clients.idle.get_mut(&sidecar).and_then(Vec::pop);
        let Some(socket) = idle.or_else(|| self.connect_client(sidecar)) else {
            return self.retry_or_drop(attempt.request, true, true);
        };
        let written_before = self.sockets.bytes_written(socket);
        let last = self.now + timeout + LATE_ANSWER_WAIT + SLOW_SENDER_PAUSE;
        let mut timers = vec![self
            .timers
            .schedule(last, TimerEvent::ClientTimeout(socket))];
        if disconnects {
            let part = self.rng.random_range(0.0..DISCONNECT_WITHIN_FRACTION);
            let at = self.now + timeout.mul_f64(part);
            timers.push(
                self.timers
                    .schedule(at, TimerEvent::ClientDisconnect(socket)),
            );
        }
        let Some(client) = self.client(socket) else {
            return;
        };
        client.attempt = Some(attempt);
        client.written_before = written_before;
        client.unsent = bytes;
        client.timeout = timeout;
        client.answer_started = false;
        client.timers = timers;
        if idle.is_some() {
            self.write_request(socket);
        }
    }

    fn connect_client(&mut self, sidecar: SidecarId) -> Option<SocketId> {
        let address = self.processes[sidecar.0 as usize].address;
        let socket = self.sockets.connect(address).ok()?;
        let connection = Box::new(ClientConnection::new(sidecar));
        self.owners.insert(socket, SocketOwner::Client(connection));
        Some(socket)
    }

    pub(super) fn client_connected(&mut self, socket: SocketId) {
        self.write_request(socket);
    }

    fn write_request(&mut self, socket: SocketId) {
        let Some(client) = self.client(socket) else {
            return;
        };
        if client.attempt.is_none() {
            return;
        }
        if self.rng.random_bool(self.script.clients.slow_sender_part) {
            self.write_first_half(socket);
        } else {
            self.write_last_bytes(socket);
        }
    }

    fn write_first_half(&mut self, socket: SocketId) {
        let Some(client) = self.client(socket) else {
            return;
        };
        let half = client.unsent.len() / 2;
        let first = client.unsent.split_to(half);
        self.sockets.send(socket, &first);
        let next = self.now + SLOW_SENDER_PAUSE;
        self.timers
            .schedule(next, TimerEvent::FinishSlowRequest(socket));
    }

    /// Writes the second part of a slow client's request.
    pub(super) fn finish_slow_request(&mut self, socket: SocketId) {
        if self
            .client(socket)
            .is_some_and(|client| !client.unsent.is_empty())
        {
            self.write_last_bytes(socket);
        }
    }

    /// Writes the rest of the request. It counts as sent only now, as no sidecar can act on it earlier.
    fn write_last_bytes(&mut self, socket: SocketId) {
        let Some(client) = self.client(socket) else {
            return;
        };
        let Some(attempt) = client.attempt else {
            return;
        };
        let sidecar = client.sidecar;
        let timeout = client.timeout;
        let bytes = std::mem::take(&mut client.unsent);
        let Some(request) = self.clients.open.get(&attempt.request) else {
            return;
        };
        let class = request.class;
        let routing_key = Some(request.routing_key);
        self.record(Event::RequestSent {
            sidecar,
            attempt,
            class,
            timeout,
            routing_key,
        });
        self.sockets.send(socket, &bytes);
    }

    fn cancel_timers(&mut self, socket: SocketId) {
        let Some(client) = self.client(socket) else {
            return;
        };
        for timer in std::mem::take(&mut client.timers) {
            self.timers.cancel(timer);
        }
    }

    pub(super) fn read_answer(&mut self, socket: SocketId) {
        let ended = self.sockets.has_ended(socket);
        let Some(SocketOwner::Client(client)) = self.owners.get_mut(&socket) else {
            return;
        };
        let sidecar = client.sidecar;
        let attempt = client.attempt;
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        if attempt.is_none() {
            if !input.is_empty() {
                self.record(Event::UnexpectedAnswer { sidecar, attempt });
            }
            return self.close_client(socket);
        }
        match client.responses.take(input, ended) {
            Ok(Some((head, _))) => {
                let more = !input.is_empty();
                self.handle_answer(socket, &head);
                if more {
                    self.record(Event::UnexpectedAnswer { sidecar, attempt });
                }
                if more || ended || !head.keep_alive {
                    self.close_client(socket);
                } else {
                    let idle = self.clients.idle.entry(sidecar).or_default();
                    idle.push(socket);
                }
            }
            Ok(None) if !ended => {
                self.record_answer_start(socket);
                self.sockets.resume_reading(socket);
            }
            _ => {
                let written = self.sockets.bytes_written(socket);
                self.sockets.close(socket);
                self.client_connection_lost(socket, written);
            }
        }
    }

    /// Records the start of a streamed answer.
    fn record_answer_start(&mut self, socket: SocketId) {
        let Some(client) = self.client(socket) else {
            return;
        };
        if !client.responses.is_mid_message() || client.answer_started {
            return;
        }
        client.answer_started = true;
        let sidecar = client.sidecar;
        let Some(attempt) = client.attempt else {
            return;
        };
        let Some(request) = self.clients.open.get(&attempt.request) else {
            return;
        };
        if self.script.classes[request.class].class.streaming {
            self.record(Event::AnswerStarted { sidecar, attempt });
        }
    }

    fn close_client(&mut self, socket: SocketId) {
        self.cancel_timers(socket);
        let Some(client) = self.client(socket) else {
            return;
        };
        let sidecar = client.sidecar;
        self.remove_idle(sidecar, socket);
        self.close(socket);
    }

    fn remove_idle(&mut self, sidecar: SidecarId, socket: SocketId) {
        if let Some(idle) = self.clients.idle.get_mut(&sidecar) {
            idle.retain(|other| *other != socket);
        }
    }

    fn handle_answer(&mut self, socket: SocketId, head: &ResponseHead) {
        self.cancel_timers(socket);
        let Some(client) = self.client(socket) else {
            return;
        };
        let sidecar = client.sidecar;
        let Some(attempt) = client.attempt.take() else {
            return;
        };
        // Only answers made by the sidecar itself carry this field.
        let answer = match head.fields.text("proxy-status") {
            None => FinalAnswer::Delivered,
            Some(status) if status.contains(HARMLESS_RETRY_TEXT) => FinalAnswer::Rejected,
            Some(_) => FinalAnswer::Failed,
        };
        let build = head.fields.text(headers::BUILD);
        self.record(Event::Answered {
            sidecar,
            attempt,
            answer,
            status: head.status,
            build: build.and_then(|build| build.parse().ok()),
        });
        match answer {
            FinalAnswer::Delivered => {
                self.clients.open.remove(&attempt.request);
                self.clients.delivered += 1;
                self.schedule_report(sidecar, head);
            }
            FinalAnswer::Rejected => {
                self.clients.rejected += 1;
                self.retry_or_drop(attempt.request, true, false);
            }
            FinalAnswer::Failed => {
                self.clients.failed += 1;
                self.retry_or_drop(attempt.request, false, false);
            }
        }
    }

    /// Schedules the report of a wrong answer for the share of clients that report one.
    fn schedule_report(&mut self, sidecar: SidecarId, head: &ResponseHead) {
        if head.fields.get(headers::WRONG_ANSWER).is_none() {
            return;
        }
        if !self.rng.random_bool(self.script.clients.reported_part) {
            return;
        }
        let Some(attempt_id) = head.fields.text("limewing-forward") else {
            return;
        };
        let delay = Duration::from_secs_f64(self.rng.random_range(REPORT_DELAY_SECONDS));
        let report = TimerEvent::ReportWrongAnswer(sidecar, attempt_id.to_owned());
        self.timers.schedule(self.now + delay, report);
    }

    pub(super) fn client_connection_lost(&mut self, socket: SocketId, written: u64) {
        self.cancel_timers(socket);
        let Some(SocketOwner::Client(client)) = self.owners.remove(&socket) else {
            return;
        };
        self.remove_idle(client.sidecar, socket);
        let Some(attempt) = client.attempt else {
            return;
        };
        let written = written > client.written_before;
        if client.unsent.is_empty() {
            // Sockets may show that a process has ended before the loop polls the process.
            self.check_exit(client.sidecar);
            self.record(Event::ConnectionLost { attempt, written });
        }
        self.retry_or_drop(attempt.request, !written, !written);
    }

    pub(super) fn client_timed_out(&mut self, socket: SocketId) {
        self.abandon_attempt(socket, |attempt| Event::ClientTimedOut { attempt });
    }

    pub(super) fn client_disconnected(&mut self, socket: SocketId) {
        self.abandon_attempt(socket, |attempt| Event::ClientDisconnected { attempt });
    }

    fn abandon_attempt(&mut self, socket: SocketId, event: impl Fn(AttemptKey) -> Event) {
        let Some(client) = self.client(socket) else {
            return;
        };
        let sent = client.unsent.is_empty();
        if let Some(attempt) = client.attempt {
            if sent {
                self.record(event(attempt));
            }
            self.clients.open.remove(&attempt.request);
        }
        self.close_client(socket);
    }

    /// Reports a wrong answer to a sidecar, on a separate connection.
    pub(super) fn report_wrong_answer(&mut self, sidecar: SidecarId, attempt_id: &str) {
        let body = serde_json::json!({ "forward": attempt_id }).to_string();
        let address = self.processes[sidecar.0 as usize].address;
        let Ok(socket) = self.sockets.connect(address) else {
            return;
        };
        let fields = [("host", "orders.example"), ("connection", "close")];
        let mut request = BytesMut::new();
        write_request(
            &mut request,
            "POST",
            "/limewing/reports",
            fields
                .iter()
                .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
            Framing::Length(body.len() as u64),
        );
        request.extend_from_slice(body.as_bytes());
        self.sockets.send(socket, &request);
        self.sockets.close_when_sent(socket);
    }
}
