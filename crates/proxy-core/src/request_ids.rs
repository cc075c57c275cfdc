//! The ids that clients give to their requests: those of the requests in flight and, for some time, those of completed
//! requests that may have run, so that no request runs again when its id comes again.

use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::hash::{BuildHasher, Hash, RandomState};
use std::time::Duration;

/// How long the id of a request that may have run is remembered after the request has completed. The same as among
/// replicas (`EXECUTION_TIME_TO_LIVE` of `limewing_replication`).
pub const ID_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of remembered ids of completed requests; beyond it the oldest is forgotten. Bounds memory, because
/// clients choose the ids.
pub const MAX_REMEMBERED_IDS: usize = 65_536;

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedId {
    /// A request with the same id is in flight.
    InFlight,
    /// A request with the same id has completed, and may have run.
    MayHaveRun,
}

/// The hash of an id.
type IdHash = u64;

/// Remembers ids by their hashes.
#[derive(Debug, Default)]
pub struct RequestIds {
    hash_builder: RandomState,
    in_flight: FxHashSet<IdHash>,
    completed: FxHashSet<IdHash>,
    /// The ids in `completed` with the time at which they expire, earliest first.
    expirations: VecDeque<(Duration, IdHash)>,
}

impl RequestIds {
    /// Records the id of a request that was accepted at `now`.
    ///
    /// # Errors
    /// Returns why the request must not be sent; the id is then not recorded.
    pub fn accept(&mut self, now: Duration, id: &(impl Hash + ?Sized)) -> Result<(), RepeatedId> {
        self.expire(now);
        let hash = self.hash_builder.hash_one(id);
        if self.completed.contains(&hash) {
            return Err(RepeatedId::MayHaveRun);
        }
        if !self.in_flight.insert(hash) {
            return Err(RepeatedId::InFlight);
        }
        Ok(())
    }

    /// Ends the request with this id at `now`. If it `must_not_repeat`, the id is remembered.
    pub fn complete(&mut self, now: Duration, id: &(impl Hash + ?Sized), must_not_repeat: bool) {
        let hash = self.hash_builder.hash_one(id);
        self.in_flight.remove(&hash);
        if !must_not_repeat {
            return;
        }
        self.expire(now);
        if self.completed.len() >= MAX_REMEMBERED_IDS {
            self.forget_oldest();
        }
        if self.completed.insert(hash) {
            self.expirations.push_back((now + ID_RETENTION, hash));
        }
    }

    fn expire(&mut self, now: Duration) {
        while self.expirations.front().is_some_and(|(at, _)| *at <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.expirations.pop_front() {
            self.completed.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
