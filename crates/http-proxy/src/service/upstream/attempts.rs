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
    /// Starts an attempt of a request at a pod. With a `timeout` of zero, only the request's deadline applies.
    pub(in crate::service) fn start_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Duration,
    ) {
        let Some(in_flight) = self.requests.get(request) else {
            self.events.push(Event::RequestUnknown(request));
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

    /// Whether another attempt of a request can be sent: the request still needs a response, and its body is available.
    fn can_be_sent(&self, request: RequestId) -> bool {
        let Some(in_flight) = self.requests.get(request) else {
            return false;
        };
        let state = &in_flight.protocol_state;
        let is_body_consumed = !state.is_body_complete && state.body_attempt.is_some();
        let has_attempts_left = in_flight.attempts.len() <= self.settings.max_attempts;
        let needs_response = !in_flight.completed && state.streamed_attempt.is_none();
        needs_response && has_attempts_left && !is_body_consumed
    }

    /// Returns an idle connection to a pod, or opens a new one.
    ///
    /// # Errors
    /// No connection is available. The error is the outcome of the attempt.
    fn connection_to(&mut self, pod: PodId) -> Result<SocketId, AttemptOutcome> {
        if let Some(socket) = self.take_idle_connection(pod) {
            return Ok(socket);
        }
        // The remaining descriptors are reserved for the control services.
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
        let reservation = self.clients.memory.reservation();
        let sent = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index);
        if let Some(sent) = sent {
            sent.connection = Some(socket);
        }
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        connection.exchange = Some(Exchange::new(attempt, written_before, reservation));
        // Nothing is written before the connection is established.
        if connection.connect_timer.is_none() {
            self.write_request(socket);
        }
    }

    /// Reports the outcome of an attempt to the decision engine. Does nothing if the attempt had already ended.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let AttemptId { request, index } = attempt;
        let ended = self.requests.end_attempt(request, index, outcome, self.now);
        let Some(ended) = ended else { return };
        if let Some(timer) = ended.timer {
            self.timers.cancel(timer);
        }
        let in_flight = self.requests.get(request);
        let state = match &ended.completed_request {
            Some(request) => Some(&request.protocol_state),
            None => in_flight.map(|in_flight| &in_flight.protocol_state),
        };
        let routing_key = state.and_then(|state| state.routing_key);
        self.peers
            .attempt_ended(self.now, &ended.result, routing_key);
        self.events.push(Event::AttemptFinished(ended.result));
        self.release_idempotency_key(ended.completed_request);
    }

    /// Ends an attempt that has not received its response in time.
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

    /// Cancels the timeout of an attempt whose response is being streamed to the client.
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

    /// Ends an attempt whose response was being streamed to a client that disconnected.
    pub(in crate::service) fn abort_streamed_attempt(&mut self, attempt: AttemptId) {
        let connection = self
            .requests
            .active_attempt_mut(attempt.request, attempt.index)
            .and_then(|sent| sent.connection);
        self.detach_exchange(connection);
        self.end_attempt(attempt, AttemptOutcome::Cancelled);
    }

    /// Ends attempts that are not written yet and are no longer allowed, so that they never run.
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

/// Returns the outcome of an attempt when no connection could be opened. A lack of local resources says nothing about
/// the pod, which must not be ejected for it.
fn connect_failure(pod: PodId, error: Option<io::Error>) -> AttemptOutcome {
    let local = error.as_ref().is_some_and(is_resource_exhaustion);
    tracing::warn!(?error, local, endpoint = pod.0, "cannot connect to pod");
    if local {
        AttemptOutcome::NeverSent
    } else {
        AttemptOutcome::ConnectFailed
    }
}
