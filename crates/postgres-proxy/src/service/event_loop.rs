//! The event loop. In each turn, expired timers are handled after the input, so that an answer that
//! arrived while the process was suspended is processed before its timeout.

use super::discovery::WatchError;
use super::rollouts::StageStreamError;
use super::{ConnectionRole, Service, TimerEvent};
use limewing_decision::interface::{Action, VoteAnswer};
use limewing_net::sockets::{SocketEvent, SocketId};
use limewing_proxy_core::event_loop::{earliest_deadline, poll_timeout, SLOW_TURN};
use limewing_proxy_core::shutdown::GracefulShutdown;
use limewing_proxy_core::signals::ProcessSignal;
use limewing_proxy_core::vote_call::VoteReply;
use std::io::{self, ErrorKind};
use std::time::Duration;

impl Service {
    pub(super) fn turn(&mut self) -> io::Result<()> {
        let deadline = earliest_deadline(
            self.engine_wake_at,
            [self.timers.next_deadline(), self.shutdown.next_deadline()],
        );
        let timeout = poll_timeout(&self.clock, deadline, !self.events.is_empty());
        let socket_events = self.sockets.wait(Some(timeout))?;
        self.now = self.clock.now();
        self.log_late_turn(deadline);
        self.handle_socket_events(socket_events);
        // Run after all input is processed, so that a client that has just sent a statement does
        // not count as idle.
        if std::mem::take(&mut self.clients.needs_room) {
            self.make_room_for_clients();
        }
        while let Some(event) = self.timers.pop_expired(self.now) {
            self.handle_timer(event);
        }
        self.run_engine();
        self.log_slow_turn();
        self.advance_shutdown();
        Ok(())
    }

    fn log_late_turn(&self, deadline: Duration) {
        let late = self.now.saturating_sub(deadline);
        if late > SLOW_TURN {
            tracing::debug!(late_ms = late.as_millis() as u64, "event loop is late");
        }
    }

    fn log_slow_turn(&self) {
        let took = self.clock.now().saturating_sub(self.now);
        if took > SLOW_TURN {
            let took_ms = took.as_secs_f64() * 1e3;
            let open_requests = self.requests.len();
            tracing::warn!(took_ms, open_requests, "slow turn of the event loop");
        }
    }

    /// Handles the events of control services before anything is written to a pod. Otherwise, after
    /// the process was suspended, a connection established meanwhile could carry an attempt to a
    /// pod that has long been draining.
    fn handle_socket_events(&mut self, events: Vec<SocketEvent>) {
        let (control, rest): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|event| self.is_control(event));
        for event in control {
            self.handle_socket_event(event);
        }
        self.apply_control_events();
        for event in rest {
            self.handle_socket_event(event);
        }
    }

    /// Whether the event occurred on a connection to discovery or the rollout service.
    fn is_control(&self, event: &SocketEvent) -> bool {
        let (SocketEvent::Connected(socket)
        | SocketEvent::Readable(socket)
        | SocketEvent::ConnectionLost { socket, .. }) = event
        else {
            return false;
        };
        matches!(
            self.connections.get(socket),
            Some(
                ConnectionRole::Watch(_) | ConnectionRole::StageStream(_) | ConnectionRole::Vote(_)
            )
        )
    }

    /// Passes endpoint and stage updates to the decision engine, and ends the attempts that are no
    /// longer permitted.
    fn apply_control_events(&mut self) {
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        for action in self.engine.apply_events(self.now, events) {
            self.execute_action(action);
        }
        self.end_revoked_attempts();
    }

    fn run_engine(&mut self) {
        if self.events.is_empty() && self.now < self.engine_wake_at {
            return;
        }
        let events = std::mem::take(&mut self.events);
        for action in self.engine.handle(self.now, events) {
            self.execute_action(action);
        }
    }

    fn handle_socket_event(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Accepted { socket, .. } => self.accept_client(socket),
            SocketEvent::Connected(socket) => self.handle_connected(socket),
            SocketEvent::Readable(socket) => self.handle_readable(socket),
            SocketEvent::Flushed(socket) => {
                if let Some(ConnectionRole::Client(_)) = self.connections.get(&socket) {
                    self.read_from_client(socket);
                }
            }
            SocketEvent::ConnectionLost {
                socket,
                written,
                error,
            } => self.handle_connection_lost(socket, written, error),
            SocketEvent::AcceptFailed { error, .. } => {
                let open = self.sockets.open_count();
                tracing::debug!(%error, open, "can't accept; tried again in 100 ms");
                self.clients.needs_room = true;
            }
            // The proxy opens no datagram sockets.
            SocketEvent::Datagram { .. } => {}
            SocketEvent::Signal(signal) => match ProcessSignal::from_number(signal) {
                ProcessSignal::Reload => self.reload_config(),
                ProcessSignal::Shutdown => self.begin_shutdown(signal),
            },
        }
    }

    fn handle_connected(&mut self, socket: SocketId) {
        match self.connections.get(&socket) {
            Some(ConnectionRole::Pod(_)) => self.start_pod_session(socket),
            Some(ConnectionRole::Watch(_)) => self.send_watch_request(socket),
            Some(ConnectionRole::StageStream(_)) => self.send_stage_stream_request(socket),
            Some(ConnectionRole::Vote(_)) => self.send_vote_request(socket),
            Some(ConnectionRole::Client(_)) | None => {}
        }
    }

    fn handle_readable(&mut self, socket: SocketId) {
        match self.connections.get(&socket) {
            Some(ConnectionRole::Client(_)) => self.read_from_client(socket),
            Some(ConnectionRole::Pod(_)) => self.read_from_pod(socket),
            Some(ConnectionRole::Watch(_)) => self.read_watch(socket),
            Some(ConnectionRole::StageStream(_)) => self.read_stage_stream(socket),
            Some(ConnectionRole::Vote(_)) => self.read_vote_reply(socket),
            None => {}
        }
    }

    fn handle_connection_lost(&mut self, socket: SocketId, written: u64, error: ErrorKind) {
        match self.connections.get(&socket) {
            Some(ConnectionRole::Client(_)) => self.disconnect_client(socket),
            Some(ConnectionRole::Pod(_)) => {
                self.handle_pod_connection_lost(socket, written, error);
            }
            Some(ConnectionRole::Watch(_)) => {
                self.handle_watch_end(socket, &WatchError::from_connection_error(error));
            }
            Some(ConnectionRole::StageStream(_)) => {
                self.handle_stage_stream_end(socket, &StageStreamError::ConnectionLost);
            }
            Some(ConnectionRole::Vote(_)) => {
                self.finish_vote(socket, VoteReply::connection_lost(written));
            }
            None => {}
        }
    }

    fn handle_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::AttemptTimeout(id, index) => self.handle_attempt_timeout(id, index),
            TimerEvent::PodPhaseTimeout(socket) => self.handle_pod_phase_timeout(socket),
            TimerEvent::SendLastByte(socket) => self.send_last_byte(socket),
            TimerEvent::PodIdleTimeout(socket) => self.close_pod_connection(socket),
            TimerEvent::ClientTimeout(socket) => self.handle_client_timeout(socket),
            TimerEvent::SendFatalError(socket) => self.send_fatal_error(socket),
            TimerEvent::CheckIdleClients => self.check_idle_clients(),
            TimerEvent::WatchTimeout(socket) => self.handle_watch_end(socket, &WatchError::Silent),
            TimerEvent::ReloadConfig => self.apply_config_file(),
            TimerEvent::OpenStageStream => self.open_stage_stream(),
            TimerEvent::StageStreamTimeout(socket) => {
                self.handle_stage_stream_end(socket, &StageStreamError::Silent);
            }
            TimerEvent::VoteTimeout(socket) => {
                let reply = VoteReply::without_state(VoteAnswer::Unanswered);
                self.finish_vote(socket, reply);
            }
        }
    }

    fn execute_action(&mut self, action: Action) {
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
            } => self.reject_request(request, retry_after),
            Action::Fail { request } => self.fail_request(request),
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.send_vote(verdict, build, stage),
            Action::WatchEndpoints => self.watch_endpoints(),
            Action::WakeAt { at } => self.engine_wake_at = at,
            Action::Log(line) => tracing::info!(target: "limewing::decisions", "{line}"),
        }
    }
}
