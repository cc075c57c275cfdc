//! A pool of idle connections to pods.

use limewing_decision::interface::PodId;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Its socket identifier.
    pub id: SocketId,
    /// The timer that closes it after the idle timeout.
    pub timer: TimerKey,
    /// When it became idle, on the monotonic clock of the sidecar.
    pub idle_since: Duration,
}

/// The idle connections of one sidecar, grouped by pod, in the order in which they were returned.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<PodId, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Returns a connection to the pool.
    pub fn insert(&mut self, pod: PodId, connection: IdleConnection) {
        self.idle.entry(pod).or_default().push(connection);
    }

    /// Takes the most recently used connection to `pod`, so that the others can reach their idle
    /// timeout.
    pub fn take(&mut self, pod: PodId) -> Option<IdleConnection> {
        self.take_if(pod, |_| true)
    }

    /// Takes the most recently used connection to `pod` that satisfies `is_suitable`.
    pub fn take_if(
        &mut self,
        pod: PodId,
        is_suitable: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let index = self.idle.get(&pod)?.iter().rposition(is_suitable)?;
        self.remove_at(pod, index)
    }

    /// Removes a closed connection and returns its timer, which the caller must cancel.
    pub fn remove(&mut self, pod: PodId, socket: SocketId) -> Option<TimerKey> {
        let connections = self.idle.get(&pod)?;
        let index = connections.iter().position(|idle| idle.id == socket)?;
        self.remove_at(pod, index).map(|removed| removed.timer)
    }

    /// Returns the sockets of all idle connections to `pod`, longest idle first.
    #[must_use]
    pub fn connections_to(&self, pod: PodId) -> Vec<SocketId> {
        self.idle
            .get(&pod)
            .into_iter()
            .flatten()
            .map(|connection| connection.id)
            .collect()
    }

    /// Returns the connection to close when file descriptors run out: the longest idle one to the
    /// pod with the most idle connections.
    #[must_use]
    pub fn eviction_candidate(&self) -> Option<SocketId> {
        let largest = self.idle.values().max_by_key(|idle| idle.len())?;
        largest.first().map(|connection| connection.id)
    }

    /// Returns the number of idle connections to all pods.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether the pool holds no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Removes one connection, and the entry of the pod if it was the last one.
    fn remove_at(&mut self, pod: PodId, index: usize) -> Option<IdleConnection> {
        let connections = self.idle.get_mut(&pod)?;
        let removed = connections.remove(index);
        if connections.is_empty() {
            self.idle.remove(&pod);
        }
        Some(removed)
    }
}
