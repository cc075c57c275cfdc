//! Manages connections to pods, both in use and idle.

use crate::service::{ConnectionRole, Service, TimerEvent};
use limewing_decision::interface::{AttemptOutcome, PodId};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::connection_pool::{ConnectionPool, IdleConnection};
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::eviction::IdleConnectionOwner;

impl Service {
    /// Handles an established connection: writes its attempt, or adds the connection to the pool.
    pub(in crate::service) fn upstream_connected(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let pod = connection.pod;
        let is_idle = connection.exchange.is_none();
        if let Some(timer) = connection.connect_timer.take() {
            self.timers.cancel(timer);
        }
        if is_idle {
            self.return_to_pool(socket, pod);
        } else {
            self.write_request(socket);
        }
    }

    /// Handles a connection that was not established in time.
    pub(in crate::service) fn connect_timed_out(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        connection.connect_timer = None;
        self.upstream_lost(socket, 0);
        self.sockets.close(socket);
    }

    /// Handles a connection that was lost after `written` bytes.
    pub(in crate::service) fn upstream_lost(&mut self, socket: SocketId, written: u64) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.remove(&socket) else {
            return;
        };
        if let Some(timer) = connection.connect_timer {
            self.timers.cancel(timer);
        }
        let Some(exchange) = connection.exchange else {
            return self.remove_from_pool(socket, connection.pod);
        };
        let outcome = if written <= exchange.written_before {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::ConnectionReset
        };
        self.end_interrupted_attempt(&exchange, outcome);
    }

    /// Detaches an attempt from its connection. Returns an outcome if the attempt provably never ran.
    ///
    /// A connection that is still being established stays open for other attempts. Any other connection is closed,
    /// because the response may still arrive on it.
    pub(super) fn detach_exchange(&mut self, socket: Option<SocketId>) -> Option<AttemptOutcome> {
        let socket = socket?;
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return None;
        };
        let exchange = connection.exchange.take()?;
        if connection.connect_timer.is_some() {
            return Some(AttemptOutcome::ConnectFailed);
        }
        let is_unwritten = self.sockets.bytes_written(socket) <= exchange.written_before;
        self.connections.remove(&socket);
        self.sockets.close(socket);
        if is_unwritten {
            Some(AttemptOutcome::ConnectFailed)
        } else {
            None
        }
    }

    /// Whether no byte of the attempt on a connection was written.
    pub(super) fn is_unwritten(&mut self, socket: SocketId) -> bool {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get(&socket) else {
            return false;
        };
        let Some(exchange) = &connection.exchange else {
            return false;
        };
        connection.connect_timer.is_some()
            || self.sockets.bytes_written(socket) <= exchange.written_before
    }

    /// Takes an idle connection on which the pod has sent nothing and has not closed. Unsolicited bytes would be taken
    /// for the response, and a request written to a closed connection may have run.
    pub(super) fn take_idle_connection(&mut self, pod: PodId) -> Option<SocketId> {
        loop {
            let IdleConnection { id, timer, .. } = self.upstream.pool.take(pod)?;
            self.timers.cancel(timer);
            if self.sockets.is_silent(id) {
                return Some(id);
            }
            self.close_idle_connection(id);
        }
    }

    /// Adds an idle connection to the pool for the next attempt.
    pub(super) fn return_to_pool(&mut self, socket: SocketId, pod: PodId) {
        let timer = self.timers.schedule(
            self.now + self.settings.idle_timeout,
            TimerEvent::IdleTimeout(socket),
        );
        let connection = IdleConnection {
            id: socket,
            timer,
            idle_since: self.now,
        };
        self.upstream.pool.insert(pod, connection);
    }

    fn remove_from_pool(&mut self, socket: SocketId, pod: PodId) {
        if let Some(timer) = self.upstream.pool.remove(pod, socket) {
            self.timers.cancel(timer);
        }
    }
}

impl IdleConnectionOwner for Service {
    fn open_connections(&self) -> usize {
        self.sockets.open_count()
    }

    fn descriptor_budget(&self) -> &DescriptorBudget {
        &self.upstream.budget
    }

    fn connection_pool(&self) -> &ConnectionPool {
        &self.upstream.pool
    }

    fn close_idle_connection(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.remove(&socket) else {
            return;
        };
        if let Some(timer) = connection.connect_timer {
            self.timers.cancel(timer);
        }
        self.remove_from_pool(socket, connection.pod);
        self.sockets.close(socket);
    }
}
