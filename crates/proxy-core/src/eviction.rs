//! Eviction of idle connections to pods when file descriptors run out.

use crate::connection_pool::ConnectionPool;
use crate::descriptor_budget::DescriptorBudget;
use limewing_net::sockets::SocketId;

/// One in this many idle connections is closed while clients wait to be accepted.
const EVICTION_DIVISOR: usize = 8;

/// A proxy that closes idle connections to pods to free descriptors for others.
pub trait IdleConnectionOwner {
    /// Returns the number of open connections of all kinds.
    fn open_connections(&self) -> usize;

    /// Returns the limits on connections.
    fn descriptor_budget(&self) -> &DescriptorBudget;

    /// Returns the pool of idle connections.
    fn connection_pool(&self) -> &ConnectionPool;

    /// Closes an idle connection and removes it from the pool.
    fn close_idle_connection(&mut self, socket: SocketId);

    /// Whether the descriptor limit forbids opening a connection to a pod.
    fn is_out_of_descriptors(&self) -> bool {
        self.open_connections() >= self.descriptor_budget().max_connections
    }

    /// Closes the longest idle connection of the pod with the most idle connections.
    fn evict_idle_connection(&mut self) {
        if let Some(socket) = self.connection_pool().eviction_candidate() {
            self.close_idle_connection(socket);
        }
    }

    /// Returns whether a connection to a pod may be opened. If all descriptors are in use, one idle
    /// connection is evicted first, so that idle connections to some pods do not block requests to
    /// others.
    fn make_room_for_connection(&mut self) -> bool {
        if self.is_out_of_descriptors() {
            self.evict_idle_connection();
        }
        !self.is_out_of_descriptors()
    }

    /// Evicts a share of the idle connections if they hold descriptors that waiting clients need.
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
