//! Starts and ends attempts.

use super::{Exchange, UpstreamConnection};
use crate::service::attempt_token::AttemptId;
use crate::service::{ConnectionRole, Service, TimerEvent};
use limewing_decision::interface::{AttemptIndex, AttemptOutcome, Event, PodId, RequestId};
use limewing_net::sockets::{is_resource_exhaustion, SocketId};
use limewing_proxy_core::eviction::IdleConnectionOwner;
use limewing_proxy_core::in_flight::Attempt;
use limewing_proxy_core::send_permit::SendPermit;
use std::io;
use std::time::Duration;

/// Logs that an attempt was withdrawn before its first byte.
pub(super) fn log_withdrawal(attempt: AttemptId, pod: PodId) {
    tracing::debug!(
        request_id = attempt.request.0,
        attempt = attempt.index.0,
        endpoint = pod.0,
        "attempt withdrawn before it was sent"
    );
}

impl Service {
    /// Starts an attempt of a request at a pod; a `timeout` of zero leaves it the request's time.
    pub(in crate::service) fn start_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Duration,
    ) {
        let Some(in_flight) = self.requests.get(request) else {
            return;
        };
        let due_at = if timeout.is_zero() {
            in_flight.deadline
        } else {
            in_flight.deadline.min(self.now + timeout)
        };
        let idempotency_hash = in_flight.protocol_state.idempotency_hash;
        let Some(attempt) = self.add_attempt(request, pod, due_at) else {
            return;
        };
        if let Some(hash) = idempotency_hash {
            self.peers.attempt_started(self.now, request, hash);
        }
        if self.now >= due_at || !self.can_be_sent(request) {
            return self.end_attempt(attempt, AttemptOutcome::NeverSent);
        }
        match self.connection_to(pod) {
            Ok(socket) => self.begin_exchange(socket, attempt),
            Err(outcome) => self.end_attempt(attempt, outcome),
        }
    }

    fn add_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        due_at: Duration,
    ) -> Option<AttemptId> {
        let in_flight = self.requests.get_mut(request)?;
        let index = AttemptIndex(in_flight.attempts.len() as u16);
        let attempt = AttemptId { request, index };
        let timer = self
            .timers
            .schedule(due_at, TimerEvent::AttemptTimeout(attempt));
        in_flight.attempts.push(Attempt {
            pod,
            sent_at: self.now,
            connection: None,
            timer: Some(timer),
            ended: false,
        });
        Some(attempt)
    }

    /// Whether a request can be sent once more: it needs a response, and a body that was streamed is gone.
    fn can_be_sent(&self, request: RequestId) -> bool {
        let Some(in_flight) = self.requests.get(request) else {
            return false;
        };
        let state = &in_flight.protocol_state;
        let is_body_gone = !state.is_body_complete && state.body_attempt.is_some();
        let has_attempts_left = in_flight.attempts.len() <= self.settings.max_attempts;
        let needs_response = !in_flight.completed && state.streamed_attempt.is_none();
        needs_response && has_attempts_left && !is_body_gone
    }

    /// An idle connection to a pod, or one that is being established.
    ///
    /// # Errors
    /// The outcome of the attempt that there is no connection for.
    fn connection_to(&mut self, pod: PodId) -> Result<SocketId, AttemptOutcome> {
        if let Some(socket) = self.take_idle_connection(pod) {
            return Ok(socket);
        }
        // What is left is for the control services.
        if !self.make_room_for_connection() {
            return Err(AttemptOutcome::NeverSent);
        }
        let Some(address) = self.endpoints.directory.address(pod) else {
            return Err(connect_failure(pod, None));
        };
        match self.sockets.connect(address) {
            Ok(socket) => {
                self.add_connection(socket, pod);
                Ok(socket)
            }
            Err(error) => Err(connect_failure(pod, Some(error))),
        }
    }

    fn add_connection(&mut self, socket: SocketId, pod: PodId) {
        let timer = self.timers.schedule(
            self.now + self.settings.connect_timeout,
            TimerEvent::ConnectTimeout(socket),
        );
        let connection = UpstreamConnection {
            pod,
            connect_timer: Some(timer),
            exchange: None,
        };
        self.connections
            .insert(socket, ConnectionRole::Upstream(Box::new(connection)));
    }

    fn begin_exchange(&mut self, socket: SocketId, attempt: AttemptId) {
        let written_before = self.sockets.bytes_written(socket);
        let sent = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index);
        if let Some(sent) = sent {
            sent.connection = Some(socket);
        }
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        connection.exchange = Some(Exchange::new(attempt, written_before));
        // Nothing is written before the connection is established.
        if connection.connect_timer.is_none() {
            self.write_request(socket);
        }
    }

    /// Tells the decisions how an attempt ended; does nothing if it had ended.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let AttemptId { request, index } = attempt;
        let ended = self.requests.end_attempt(request, index, outcome, self.now);
        let Some(ended) = ended else { return };
        if let Some(timer) = ended.timer {
            self.timers.cancel(timer);
        }
        let in_flight = self.requests.get(request);
        let state = match &ended.completed_request {
            Some(state) => Some(state),
            None => in_flight.map(|in_flight| &in_flight.protocol_state),
        };
        let routing_key = state.and_then(|state| state.routing_key);
        self.peers
            .attempt_ended(self.now, &ended.result, routing_key);
        self.events.push(Event::AttemptFinished(ended.result));
    }

    /// The attempt has no response in time.
    pub(in crate::service) fn attempt_timed_out(&mut self, attempt: AttemptId) {
        let sent = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index);
        let Some(sent) = sent else { return };
        sent.timer = None;
        let connection = sent.connection.take();
        let outcome = self
            .detach_exchange(connection)
            .unwrap_or(AttemptOutcome::TimedOut);
        self.end_attempt(attempt, outcome);
    }

    /// The response is the client's from here on: the attempt's timeout no longer holds.
    pub(super) fn stop_attempt_timer(&mut self, attempt: AttemptId) {
        let timer = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index)
            .and_then(|sent| sent.timer.take());
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
    }

    /// Ends an attempt that is no longer needed, unless its response is being streamed.
    pub(in crate::service) fn cancel_attempt(&mut self, request: RequestId, index: AttemptIndex) {
        let Some(in_flight) = self.requests.get(request) else {
            return;
        };
        if in_flight.protocol_state.streamed_attempt == Some(index) {
            return;
        }
        let sent = in_flight.attempts.get(usize::from(index.0));
        let Some(sent) = sent.filter(|sent| !sent.ended) else {
            return;
        };
        let connection = sent.connection;
        let outcome = self
            .detach_exchange(connection)
            .unwrap_or(AttemptOutcome::Cancelled);
        self.end_attempt(AttemptId { request, index }, outcome);
    }

    /// Ends an attempt whose response was streamed to a client that is gone.
    pub(in crate::service) fn abort_streamed_attempt(&mut self, attempt: AttemptId) {
        let connection = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index)
            .and_then(|sent| sent.connection);
        self.detach_exchange(connection);
        self.end_attempt(attempt, AttemptOutcome::Cancelled);
    }

    /// Ends the attempts that are not written yet and are no longer allowed: they never run.
    pub(in crate::service) fn withdraw_forbidden_attempts(&mut self) {
        for (request, index, pod, connection) in self.requests.active_attempts() {
            let Some(socket) = connection else { continue };
            if !self.is_unwritten(socket) {
                continue;
            }
            let permit = SendPermit::request(&*self.decisions, self.now, request, index);
            if permit.is_some() {
                continue;
            }
            let attempt = AttemptId { request, index };
            log_withdrawal(attempt, pod);
            self.detach_exchange(connection);
            self.end_attempt(attempt, AttemptOutcome::NeverSent);
        }
    }
}

/// The outcome where no connection could be opened. A lack of this machine's own is no sign of the pod, which must not be
/// ejected for it.
fn connect_failure(pod: PodId, error: Option<io::Error>) -> AttemptOutcome {
    let local = error.as_ref().is_some_and(is_resource_exhaustion);
    tracing::warn!(?error, local, endpoint = pod.0, "cannot connect to pod");
    if local {
        AttemptOutcome::NeverSent
    } else {
        AttemptOutcome::ConnectFailed
    }
}
