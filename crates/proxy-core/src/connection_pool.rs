//! Idle connections to pods, each waiting for the next attempt.

use limewing_decision::interface::PodId;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// One idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Its socket.
    pub id: SocketId,
    /// The timer that closes it when it has been idle for too long.
    pub timer: TimerKey,
    /// When it was last used, on the sidecar's monotonic clock.
    pub idle_since: Duration,
}

/// The idle connections of one sidecar, by pod, in the order in which they were returned.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<PodId, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Returns a connection to the pool.
    pub fn insert(&mut self, pod: PodId, connection: IdleConnection) {
        self.idle.entry(pod).or_default().push(connection);
    }

    /// Takes the connection to `pod` that was used last, so that the others may reach their idle timeout.
    pub fn take(&mut self, pod: PodId) -> Option<IdleConnection> {
        self.take_if(pod, |_| true)
    }

    /// Takes, of the connections to `pod` that `is_suitable` accepts, the one that was used last.
    pub fn take_if(
        &mut self,
        pod: PodId,
        is_suitable: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let index = self.idle.get(&pod)?.iter().rposition(is_suitable)?;
        self.remove_at(pod, index)
    }

    /// Removes a connection that was closed and returns its timer, which the caller has to cancel.
    pub fn remove(&mut self, pod: PodId, socket: SocketId) -> Option<TimerKey> {
        let connections = self.idle.get(&pod)?;
        let index = connections.iter().position(|idle| idle.id == socket)?;
        self.remove_at(pod, index).map(|removed| removed.timer)
    }

    /// The sockets of all connections to `pod`, the one idle for longest first.
    #[must_use]
    pub fn connections_to(&self, pod: PodId) -> Vec<SocketId> {
        self.idle
            .get(&pod)
            .into_iter()
            .flatten()
            .map(|connection| connection.id)
            .collect()
    }

    /// The connection to close when descriptors run out: the one idle for longest, to the pod with most of them.
    #[must_use]
    pub fn eviction_candidate(&self) -> Option<SocketId> {
        let largest = self.idle.values().max_by_key(|idle| idle.len())?;
        largest.first().map(|connection| connection.id)
    }

    /// How many connections are idle, to all pods together.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Takes out one connection, and the pod's entry with its last one.
    fn remove_at(&mut self, pod: PodId, index: usize) -> Option<IdleConnection> {
        let connections = self.idle.get_mut(&pod)?;
        let removed = connections.remove(index);
        if connections.is_empty() {
            self.idle.remove(&pod);
        }
        Some(removed)
    }
}
