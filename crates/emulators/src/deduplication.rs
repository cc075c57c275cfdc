//! The idempotency keys that pods remember, by the group of pods that share a memory.

use std::collections::BTreeMap;
use std::time::Duration;

/// An idempotency key and the group of pods that remembers it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeduplicationKey {
    /// The index of the request class.
    pub class: usize,
    /// The index of the zone or cell whose pods share the memory; 0 for the whole fleet.
    pub scope: usize,
    /// The key that the request carries.
    pub idempotency_key: String,
}

/// The keys of requests that have begun, with the times of their begin.
#[derive(Debug, Default)]
pub struct DeduplicationMemory(BTreeMap<DeduplicationKey, Duration>);

impl DeduplicationMemory {
    /// Begins a request with this key at `now`; returns whether it takes effect, which it does unless another one with the key began
    /// within `window` before. A repeat does not prolong the window.
    pub fn begin(&mut self, key: DeduplicationKey, window: Duration, now: Duration) -> bool {
        let known = self.0.get(&key).is_some_and(|begun| now < *begun + window);
        if !known {
            self.0.insert(key, now);
        }
        !known
    }

    /// Removes the key of a request that never ended because its pod is gone.
    pub fn forget(&mut self, key: &DeduplicationKey) {
        self.0.remove(key);
    }
}
