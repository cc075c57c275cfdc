//! Lifecycle of an attempt, from the decision to start it to its outcome.
//!
//! An attempt is proved not to have run if its connection was never established, if the connection
//! broke before the last byte of the attempt was handed to the operating system, or if the pod
//! reports that it rejected the attempt. Therefore the last byte is held back until the pod has
//! answered an empty query that precedes the attempt on the same connection (`attempt_writer`). If
//! the connection is dead, or breaks under the first bytes, this proves that nothing ran, and
//! another connection carries the attempt.

use super::pod_connection::{CarriedAttempt, Phase};
use super::{ConnectionRole, Service, TimerEvent};
use crate::endpoint_list::EndpointList;
use crate::unsent_attempts::FailureVerdict;
use limewing_decision::interface::{AttemptIndex, AttemptOutcome, Event, PodId, RequestId};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::in_flight::Attempt;
use std::time::Duration;

impl Service {
    /// Starts an attempt that the decision engine has permitted.
    pub(super) fn start_attempt(&mut self, id: RequestId, pod: PodId, timeout: Duration) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else {
            self.events.push(Event::RequestUnknown(id));
            return;
        };
        let index = AttemptIndex(request.attempts.len() as u16);
        let deadline = if timeout.is_zero() {
            request.deadline
        } else {
            request.deadline.min(now + timeout)
        };
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::AttemptTimeout(id, index));
        request.attempts.push(Attempt {
            pod,
            sent_at: now,
            connection: None,
            timer: Some(timer),
            ended: false,
        });
        let is_over_limit = request.attempts.len() > self.settings.max_attempts;
        if request.completed || is_over_limit || now >= deadline {
            return self.end_attempt(id, index, AttemptOutcome::NeverSent);
        }
        tracing::debug!(
            client_request_id = request.protocol_state.id.as_str(),
            request_id = id.0,
            attempt = index.0,
            endpoint = pod.0,
            host = self.discovery.endpoints.host(pod),
            list_version = self.discovery.endpoints.version(),
            "attempt started"
        );
        self.dispatch_attempt(id, index, 0);
    }

    /// Assigns an attempt to a connection. `broken_connections` is the number of connections that
    /// broke under it before it was written.
    fn dispatch_attempt(&mut self, id: RequestId, index: AttemptIndex, broken_connections: u8) {
        if self.send_permit(id, index).is_none() {
            return self.end_attempt(id, index, AttemptOutcome::NeverSent);
        }
        let Some(pod) = self.requests.active_attempt_mut(id, index).map(|a| a.pod) else {
            return;
        };
        let pooled = self.take_idle_connection(pod);
        let socket = match pooled.map_or_else(|| self.connect_to_pod(pod), Ok) {
            Ok(socket) => socket,
            Err(outcome) => return self.end_attempt(id, index, outcome),
        };
        if let Some(attempt) = self.requests.active_attempt_mut(id, index) {
            attempt.connection = Some(socket);
        }
        let carried = CarriedAttempt::new(id, index, broken_connections);
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        match &mut connection.phase {
            Phase::Connecting(waiting) => *waiting = Some(carried),
            _ => self.begin_writing(socket, carried),
        }
    }

    /// Continues an attempt whose connection was lost.
    pub(super) fn handle_failed_connection(
        &mut self,
        carried: CarriedAttempt,
        verdict: FailureVerdict,
    ) {
        let (id, index) = (carried.request, carried.index);
        match verdict {
            FailureVerdict::Reconnect => {
                self.dispatch_attempt(id, index, carried.broken_connections + 1);
            }
            FailureVerdict::Unreachable => {
                self.end_attempt(id, index, AttemptOutcome::ConnectFailed);
            }
            FailureVerdict::MayHaveRun => {
                self.end_attempt(id, index, AttemptOutcome::ConnectionReset);
            }
        }
    }

    /// Ends an attempt that was not written and is no longer permitted: it never ran.
    pub(super) fn withdraw_attempt(&mut self, carried: CarriedAttempt) {
        tracing::debug!(
            request_id = carried.request.0,
            attempt = carried.index.0,
            "attempt withdrawn before it was sent"
        );
        self.end_attempt(carried.request, carried.index, AttemptOutcome::NeverSent);
    }

    /// Reports the outcome of an attempt to the decision engine; each attempt ends once.
    pub(super) fn end_attempt(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        outcome: AttemptOutcome,
    ) {
        let Some(ended) = self.requests.end_attempt(id, index, outcome, self.now) else {
            return;
        };
        if let Some(timer) = ended.timer {
            self.timers.cancel(timer);
        }
        self.events.push(Event::AttemptFinished(ended.result));
        self.release_request_id(ended.completed_request);
    }

    pub(super) fn handle_attempt_timeout(&mut self, id: RequestId, index: AttemptIndex) {
        let Some(attempt) = self.requests.active_attempt_mut(id, index) else {
            return;
        };
        attempt.timer = None;
        let connection = attempt.connection.take();
        // An attempt that was not written in time is no evidence against the pod, whose connection
        // has its own timeout.
        let outcome = if self.detach_attempt(connection) {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::NeverSent
        };
        self.end_attempt(id, index, outcome);
    }

    pub(super) fn cancel_attempt(&mut self, id: RequestId, index: AttemptIndex) {
        let Some(attempt) = self.requests.active_attempt_mut(id, index) else {
            return;
        };
        let connection = attempt.connection.take();
        self.detach_attempt(connection);
        self.end_attempt(id, index, AttemptOutcome::Cancelled);
    }

    /// Ends the attempts that were not written and are no longer permitted.
    pub(super) fn end_revoked_attempts(&mut self) {
        for (id, index, _, connection) in self.requests.active_attempts() {
            if self.send_permit(id, index).is_none() {
                self.end_if_unwritten(id, index, connection);
            }
        }
    }

    /// Ends the unwritten attempts to the pods selected by `is_affected`: they never ran.
    pub(super) fn end_unwritten_attempts(
        &mut self,
        is_affected: impl Fn(&EndpointList, PodId) -> bool,
    ) {
        for (id, index, pod, connection) in self.requests.active_attempts() {
            if is_affected(&self.discovery.endpoints, pod) {
                self.end_if_unwritten(id, index, connection);
            }
        }
    }

    /// Ends the unwritten attempts of a request that has its response, or whose client has
    /// disconnected. The decision engine decides whether written attempts may be cancelled.
    pub(super) fn end_unwritten_attempts_of(&mut self, id: RequestId) {
        for (index, connection) in self.requests.active_attempts_of(id) {
            self.end_if_unwritten(id, index, connection);
        }
    }

    fn end_if_unwritten(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        connection: Option<SocketId>,
    ) {
        let Some(socket) = connection else { return };
        let Some(ConnectionRole::Pod(connection)) = self.connections.get(&socket) else {
            return;
        };
        if connection.phase.is_unwritten() {
            self.detach_attempt(Some(socket));
            self.end_attempt(id, index, AttemptOutcome::NeverSent);
        }
    }

    /// Detaches an attempt from its connection; returns whether it had been written. A connection
    /// that is not established yet remains available to other attempts. One with an attempt on it
    /// is closed, because the answer may still arrive.
    fn detach_attempt(&mut self, connection: Option<SocketId>) -> bool {
        let Some(socket) = connection else {
            return false;
        };
        let Some(connection) = self.pod_connection(socket) else {
            return false;
        };
        if connection.take_waiting_attempt().is_some() {
            return false;
        }
        let Some(end_offset) = connection.phase.attempt().map(|a| a.end_offset) else {
            return false;
        };
        let is_written = self.sockets.bytes_written(socket) >= end_offset;
        self.close_pod_connection(socket);
        is_written
    }
}
