//! Graceful shutdown of the sidecar.

use super::{ConnectionRole, Service};
use limewing_decision::interface::Event;
use limewing_net::sockets::SocketId;
use limewing_proxy_core::shutdown::{GracefulShutdown, PendingWork, Shutdown, ShutdownTimeouts};
use std::time::Duration;

/// Time allowed for a response to reach its client after the last deadline.
const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);

/// Computes the shutdown timeouts: the longest client timeout, plus the time to deliver responses. New connections are
/// refused from the beginning.
pub(super) fn shutdown_timeouts(max_client_timeout: Duration) -> ShutdownTimeouts {
    ShutdownTimeouts {
        stop_accepting: Duration::ZERO,
        respond_to_all: max_client_timeout + RESPONSE_ALLOWANCE,
        exit: max_client_timeout + 2 * RESPONSE_ALLOWANCE,
    }
}

impl Service {
    /// Stops accepting connections, completes requests in flight and exits within a bounded time.
    pub(super) fn begin_shutdown(&mut self, signal: i32) {
        if !self.shutdown.begin(self.now) {
            return;
        }
        let open_requests = self.requests.len();
        tracing::info!(signal, open_requests, "shutdown started");
        self.peers.leave_at_shutdown(self.now, &mut self.sockets);
    }

    fn idle_clients(&self) -> Vec<SocketId> {
        let mut idle = Vec::new();
        for (id, role) in &self.connections {
            if matches!(role, ConnectionRole::Client(client) if client.is_idle()) {
                idle.push(*id);
            }
        }
        idle.sort_unstable();
        idle
    }
}

impl GracefulShutdown for Service {
    fn shutdown(&mut self) -> &mut Shutdown {
        &mut self.shutdown
    }

    fn now(&self) -> Duration {
        self.now
    }

    fn pending_work(&self) -> PendingWork {
        PendingWork {
            backlog: self.clients.listener.has_backlog(),
            requests: self.requests.has_pending(),
            clients: self.clients.connected > 0,
            // Attempts of completed requests also have to end, so that their outcomes are known.
            unsent: !self.requests.is_empty()
                || self.sockets.total_unsent_bytes() > 0
                || self.sockets.has_lingering(),
        }
    }

    fn accept_backlog(&mut self) {
        self.clients.listener.accept_backlog(&mut self.sockets);
    }

    /// Accepts and answers connections in the backlog, and closes idle ones.
    fn stop_accepting(&mut self) {
        self.clients.listener.close(&mut self.sockets);
        let mut idle = self.idle_clients();
        // A connection with unread or partial input is kept until its request is answered.
        idle.retain(|id| self.sockets.is_silent(*id));
        for id in idle {
            self.close_client(id);
        }
    }

    fn respond_to_all(&mut self) {
        for id in self.requests.pending_ids() {
            tracing::warn!(
                request_id = id.0,
                "request not answered before the shutdown deadline"
            );
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let is_streamed = request.protocol_state.streamed_attempt.is_some();
            match request.client {
                // Closing the connection shows the client that its response is incomplete.
                Some(client) if is_streamed => self.client_disconnected(client),
                _ => {
                    self.events.push(Event::ClientDisconnected(id));
                    self.fail_request(id);
                }
            }
        }
    }
}
