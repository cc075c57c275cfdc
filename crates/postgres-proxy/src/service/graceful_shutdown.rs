//! Implements the graceful shutdown of this proxy: it serves clients that still connect, then
//! answers pending requests and exits, in bounded time.

use super::Service;
use limewing_decision::interface::Event;
use limewing_proxy_core::shutdown::{GracefulShutdown, PendingWork, Shutdown};
use std::time::Duration;

impl Service {
    pub(super) fn begin_shutdown(&mut self, signal: i32) {
        if self.shutdown.begin(self.now) {
            let open_requests = self.requests.len();
            tracing::info!(signal, open_requests, "shutdown started");
        }
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
            unsent: self.sockets.total_unsent_bytes() > 0 || self.sockets.has_lingering(),
        }
    }

    fn accept_backlog(&mut self) {
        self.clients.listener.accept_backlog(&mut self.sockets);
    }

    /// Accepts the waiting clients first; from now on, each connection is closed once it has no
    /// pending request.
    fn stop_accepting(&mut self) {
        self.clients.listener.close(&mut self.sockets);
        self.close_idle_clients();
    }

    fn respond_to_all(&mut self) {
        for id in self.requests.pending_ids() {
            tracing::warn!(
                request_id = id.0,
                "request not answered before the shutdown deadline"
            );
            self.events.push(Event::ClientDisconnected(id));
            self.fail_request(id);
        }
    }
}
