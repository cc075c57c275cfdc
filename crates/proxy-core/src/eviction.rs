//! Eviction of idle connections to pods where descriptors run out.

use crate::connection_pool::ConnectionPool;
use crate::descriptor_budget::DescriptorBudget;
use limewing_net::sockets::SocketId;

/// One in so many idle connections is closed where clients wait to be accepted.
const EVICTION_DIVISOR: usize = 8;

/// A proxy that closes idle connections to pods to make room for others.
pub trait IdleConnectionOwner {
    /// How many connections of all kinds are open.
    fn open_connections(&self) -> usize;

    /// The limits on connections.
    fn descriptor_budget(&self) -> &DescriptorBudget;

    /// The idle connections.
    fn connection_pool(&self) -> &ConnectionPool;

    /// Closes an idle connection and takes it out of the pool.
    fn close_idle_connection(&mut self, socket: SocketId);

    /// Whether no connection may be opened to a pod.
    fn is_out_of_descriptors(&self) -> bool {
        self.open_connections() >= self.descriptor_budget().max_connections
    }

    /// Closes the connection that was idle for longest, of the pod that has most of them.
    fn evict_idle_connection(&mut self) {
        if let Some(socket) = self.connection_pool().eviction_candidate() {
            self.close_idle_connection(socket);
        }
    }

    /// Whether a connection to a pod may be opened. Where all descriptors are taken, one idle connection is evicted first,
    /// so that idle connections to some pods don't keep requests from the others.
    fn make_room_for_connection(&mut self) -> bool {
        if self.is_out_of_descriptors() {
            self.evict_idle_connection();
        }
        !self.is_out_of_descriptors()
    }

    /// Evicts a part of the idle connections, if they take the descriptors of clients that wait to be accepted.
    fn evict_for_clients(&mut self) {
        if !self.is_out_of_descriptors() {
            return;
        }
        let evicted = self.connection_pool().len().div_ceil(EVICTION_DIVISOR);
        for _ in 0..evicted {
            self.evict_idle_connection();
        }
    }
}

#[cfg(test)]
mod tests;
