//! The event loop: waits for sockets and timers, and dispatches events.
//!
//! The decision engine receives the events of one turn in the order in which the operating system reported them. Timers
//! run after the sockets of the same turn, so that a response that arrived while the process was suspended is handled
//! before its timeout.

use super::control::endpoint_watch::EndpointPollError;
use super::control::stage_watch::StageStreamLoss;
use super::{ConnectionRole, Service, TimerEvent};
use limewing_decision::interface::{Action, Event, VoteAnswer};
use limewing_net::sockets::{SocketEvent, SocketId};
use limewing_proxy_core::event_loop::{earliest_deadline, poll_timeout, SLOW_TURN};
use limewing_proxy_core::eviction::IdleConnectionOwner;
use limewing_proxy_core::shutdown::GracefulShutdown;
use limewing_proxy_core::signals::ProcessSignal;
use limewing_proxy_core::vote_call::VoteReply;
use std::io;
use std::time::Duration;

impl Service {
    /// Runs one turn of the loop.
    pub(super) fn turn(&mut self) -> io::Result<()> {
        let timeout = poll_timeout(&self.clock, self.next_deadline(), !self.events.is_empty());
        let socket_events = self.sockets.wait(Some(timeout))?;
        self.now = self.clock.now();
        self.handle_socket_events(socket_events);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            self.handle_timer(timer);
        }
        self.receive_direct_messages();
        self.run_replication();
        self.run_maintenance();
        self.notify_coordination();
        self.peers.flush_datagrams(self.now, &mut self.sockets);
        let read_at = self.clock.now();
        let decided_at = self.decide().unwrap_or(read_at);
        // The process may exit at any time: other sidecars must learn in this turn which attempts were just sent.
        self.run_replication();
        self.peers.flush_datagrams(self.now, &mut self.sockets);
        self.warn_if_slow(read_at, decided_at);
        self.advance_shutdown();
        Ok(())
    }

    fn next_deadline(&self) -> Duration {
        let deadlines = [self.timers.next_deadline(), self.shutdown.next_deadline()];
        let peers = self.peers.next_deadlines(&self.clock);
        earliest_deadline(self.wake_at, deadlines.into_iter().chain(peers))
    }

    /// Passes pending events to the decision engine and carries out its actions. Returns when the engine finished, or
    /// `None` if nothing was pending or due.
    fn decide(&mut self) -> Option<Duration> {
        if self.events.is_empty() && self.now < self.wake_at {
            return None;
        }
        let events = std::mem::take(&mut self.events);
        // Maintenance, replication and timers also produce endpoint and stage updates.
        let has_control_events = events
            .iter()
            .any(|event| matches!(event, Event::Endpoints(_) | Event::Stage { .. }));
        let actions = self.decisions.handle(self.now, events);
        let decided_at = self.clock.now();
        self.carry_out_all(actions);
        if has_control_events {
            self.withdraw_forbidden_attempts();
        }
        Some(decided_at)
    }

    fn warn_if_slow(&self, read_at: Duration, decided_at: Duration) {
        let done_at = self.clock.now();
        if done_at - self.now <= SLOW_TURN {
            return;
        }
        let millis = |span: Duration| span.as_secs_f64() * 1e3;
        tracing::warn!(
            read_ms = millis(read_at - self.now),
            decide_ms = millis(decided_at - read_at),
            act_ms = millis(done_at - decided_at),
            open_requests = self.requests.len(),
            "slow turn of the event loop"
        );
    }

    /// Handles control events before anything is written to a pod. Otherwise, after the process was suspended, a
    /// connection established in the meantime could carry an attempt to a pod that has been draining for long.
    fn handle_socket_events(&mut self, socket_events: Vec<SocketEvent>) {
        let (control, other): (Vec<_>, Vec<_>) = socket_events
            .into_iter()
            .partition(|event| self.is_control_event(event));
        if !control.is_empty() {
            for event in control {
                self.handle_socket_event(event);
            }
            self.apply_control_events();
        }
        for event in other {
            self.handle_socket_event(event);
        }
    }

    /// Whether an event may contain endpoint or stage updates: it belongs to a control connection or another sidecar.
    fn is_control_event(&self, event: &SocketEvent) -> bool {
        let id = match event {
            SocketEvent::Datagram { .. } => return true,
            SocketEvent::Connected(id)
            | SocketEvent::Readable(id)
            | SocketEvent::ConnectionLost { socket: id, .. } => id,
            _ => return false,
        };
        matches!(
            self.connections.get(id),
            Some(
                ConnectionRole::EndpointList(_)
                    | ConnectionRole::StageStream(_)
                    | ConnectionRole::Vote(_)
            )
        )
    }

    fn handle_socket_event(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Accepted { socket, .. } => self.accept_client(socket),
            SocketEvent::Connected(id) => self.handle_connected(id),
            SocketEvent::Readable(id) => self.handle_readable(id),
            SocketEvent::Flushed(id) => match self.connections.get(&id) {
                Some(ConnectionRole::Upstream(_)) => self.upstream_flushed(id),
                _ => self.client_flushed(id),
            },
            SocketEvent::ConnectionLost {
                socket, written, ..
            } => self.handle_connection_lost(socket, written),
            SocketEvent::AcceptFailed { error, .. } => {
                let open = self.sockets.open_count();
                tracing::warn!(%error, open, "can't accept; tried again in 100 ms");
                self.evict_for_clients();
            }
            SocketEvent::Datagram { bytes, .. } => self.peers.receive_datagram(self.now, &bytes),
            SocketEvent::Signal(number) => match ProcessSignal::from_number(number) {
                ProcessSignal::Reload => self.peers.reload_keys(),
                ProcessSignal::Shutdown => self.begin_shutdown(number),
            },
        }
    }

    fn handle_connected(&mut self, id: SocketId) {
        match self.connections.get(&id) {
            Some(ConnectionRole::Upstream(_)) => self.upstream_connected(id),
            Some(ConnectionRole::EndpointList(_)) => self.send_endpoint_list_query(id),
            Some(ConnectionRole::StageStream(_)) => self.stage_stream_connected(id),
            Some(ConnectionRole::Vote(_)) => self.vote_connected(id),
            Some(ConnectionRole::Client(_)) | None => {}
        }
    }

    fn handle_readable(&mut self, id: SocketId) {
        match self.connections.get(&id) {
            Some(ConnectionRole::Client(_)) => self.read_client(id),
            Some(ConnectionRole::Upstream(_)) => self.read_upstream(id),
            Some(ConnectionRole::EndpointList(_)) => self.read_endpoint_list(id),
            Some(ConnectionRole::StageStream(_)) => self.read_stage_stream(id),
            Some(ConnectionRole::Vote(_)) => self.read_vote(id),
            None => {}
        }
    }

    fn handle_connection_lost(&mut self, id: SocketId, written: u64) {
        match self.connections.get(&id) {
            Some(ConnectionRole::Client(_)) => self.client_disconnected(id),
            Some(ConnectionRole::Upstream(_)) => self.upstream_lost(id, written),
            Some(ConnectionRole::EndpointList(_)) => {
                self.endpoint_poll_failed(EndpointPollError::ConnectionLost);
            }
            Some(ConnectionRole::StageStream(_)) => {
                self.stage_stream_lost(id, &StageStreamLoss::ConnectionLost);
            }
            Some(ConnectionRole::Vote(_)) => {
                self.vote_completed(id, VoteReply::connection_lost(written));
            }
            None => {}
        }
    }

    fn handle_timer(&mut self, timer: TimerEvent) {
        match timer {
            TimerEvent::AttemptTimeout(attempt) => self.attempt_timed_out(attempt),
            TimerEvent::ConnectTimeout(id) => self.connect_timed_out(id),
            TimerEvent::IdleTimeout(id) => self.close_idle_connection(id),
            TimerEvent::RequestTimeout(id) => self.request_timed_out(id),
            TimerEvent::ClientStalled(id) => self.client_stalled(id),
            TimerEvent::PollEndpointList => self.poll_endpoint_list(),
            TimerEvent::EndpointListTimeout(id) => self.endpoint_poll_timed_out(id),
            TimerEvent::OpenStageStream => self.open_stage_stream(),
            TimerEvent::StageStreamTimeout(id) => {
                self.stage_stream_lost(id, &StageStreamLoss::Silent);
            }
            TimerEvent::VoteTimeout(id) => {
                self.vote_completed(id, VoteReply::without_state(VoteAnswer::Unanswered));
            }
        }
    }

    /// Carries out actions of the decision engine in order.
    pub(super) fn carry_out_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                pod,
                timeout,
            } => self.start_attempt(request, pod, timeout),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.peers.request_rejected(self.now);
                self.reject_request(request, retry_after);
            }
            Action::Fail { request } => self.fail_request(request),
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.send_vote(verdict, build, stage),
            Action::WatchEndpoints => self.poll_endpoint_list(),
            Action::WakeAt { at } => self.wake_at = at,
            Action::Log(line) => tracing::info!(target: "limewing::decisions", "{line}"),
        }
    }
}
