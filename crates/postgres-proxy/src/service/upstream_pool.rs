//! Opens connections to pods, and pools idle ones.

use super::pod_connection::PodConnection;
use super::{ConnectionRole, Service, TimerEvent};
use crate::timeouts::{upstream_idle_timeout, MIN_REUSE_DELAY};
use limewing_decision::interface::{AttemptOutcome, PodId};
use limewing_net::sockets::{is_resource_exhaustion, SocketId};
use limewing_proxy_core::connection_pool::{ConnectionPool, IdleConnection};
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::eviction::IdleConnectionOwner;
use limewing_proxy_core::idle_timeout::IdleTimeoutEstimator;

/// State shared by all connections to pods.
pub(super) struct UpstreamState {
    pub(super) pool: ConnectionPool,
    pub(super) idle_timeout: IdleTimeoutEstimator,
    pub(super) budget: DescriptorBudget,
}

impl UpstreamState {
    pub(super) fn new(budget: DescriptorBudget) -> Self {
        Self {
            pool: ConnectionPool::default(),
            idle_timeout: IdleTimeoutEstimator::default(),
            budget,
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
        self.close_pod_connection(socket);
    }
}

impl Service {
    /// Takes a pooled connection on which nothing has been received while it was idle, because
    /// unsolicited bytes would be taken for the answer. Unusable connections are closed.
    pub(super) fn take_idle_connection(&mut self, pod: PodId) -> Option<SocketId> {
        loop {
            let now = self.now;
            let is_past_reuse_delay =
                |idle: &IdleConnection| now >= idle.idle_since + MIN_REUSE_DELAY;
            let idle = self.upstream.pool.take_if(pod, is_past_reuse_delay)?;
            let socket = idle.id;
            self.timers.cancel(idle.timer);
            let idle_time = now.saturating_sub(idle.idle_since);
            let is_reusable =
                self.upstream.idle_timeout.is_reusable(idle_time) && self.sockets.is_silent(socket);
            let Some(connection) = self.pod_connection(socket) else {
                continue;
            };
            // A partly received unsolicited message does not belong to the next answer.
            let is_clean = !connection.decoder.is_mid_message() && connection.timer.is_none();
            if is_reusable && is_clean {
                connection.idle_time = Some(idle_time);
                return Some(socket);
            }
            self.close_pod_connection(socket);
        }
    }

    /// Opens a connection. On failure, returns the outcome for the attempt that needed it.
    pub(super) fn connect_to_pod(&mut self, pod: PodId) -> Result<SocketId, AttemptOutcome> {
        // The remaining descriptors are reserved for discovery, the rollout service and votes.
        if !self.make_room_for_connection() {
            return Err(AttemptOutcome::NeverSent);
        }
        let incarnation = self
            .discovery
            .endpoints
            .incarnation(pod)
            .ok_or(AttemptOutcome::ConnectFailed)?;
        let socket = self.sockets.connect(incarnation.address).map_err(|error| {
            // A lack of resources on this machine is no evidence against the pod, which must not be
            // ejected for it.
            let is_local = is_resource_exhaustion(&error);
            tracing::warn!(%error, local = is_local, endpoint = pod.0, "cannot connect to pod");
            if is_local {
                AttemptOutcome::NeverSent
            } else {
                AttemptOutcome::ConnectFailed
            }
        })?;
        let deadline = self.now + self.settings.connect_timeout;
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::PodPhaseTimeout(socket));
        let reservation = self.clients.memory.reservation();
        let connection = PodConnection::connecting(pod, incarnation, timer, reservation);
        self.connections
            .insert(socket, ConnectionRole::Pod(Box::new(connection)));
        Ok(socket)
    }

    /// Returns an idle connection to the pool, for the next attempt to its pod.
    pub(super) fn return_to_pool(&mut self, socket: SocketId) {
        let Some(pod) = self.pod_connection(socket).map(|c| c.pod) else {
            return;
        };
        let configured = upstream_idle_timeout(self.settings.pod_idle_timeout);
        let idle_timeout = self.upstream.idle_timeout.idle_timeout(configured);
        let timer = self
            .timers
            .schedule(self.now + idle_timeout, TimerEvent::PodIdleTimeout(socket));
        let idle = IdleConnection {
            id: socket,
            timer,
            idle_since: self.now,
        };
        self.upstream.pool.insert(pod, idle);
    }

    /// Closes a connection; the caller ends the attempt on it.
    pub(super) fn close_pod_connection(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.remove(&socket) else {
            return;
        };
        if let Some(timer) = connection.timer {
            self.timers.cancel(timer);
        }
        self.remove_from_pool(socket, connection.pod);
        self.sockets.close(socket);
    }

    pub(super) fn remove_from_pool(&mut self, socket: SocketId, pod: PodId) {
        if let Some(timer) = self.upstream.pool.remove(pod, socket) {
            self.timers.cancel(timer);
        }
    }
}
