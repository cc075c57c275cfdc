//! The idempotency keys that pods remember, by the pods that share a memory.

use std::collections::BTreeMap;
use std::time::Duration;

/// An idempotency key, as a group of pods remembers it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeduplicationKey {
    /// The request class, by its index.
    pub class: usize,
    /// The pods that share the memory: a zone or a cell, by its index; 0 for the whole fleet.
    pub scope: usize,
    /// The key that the request brings.
    pub idempotency_key: String,
}

/// The keys of requests that have begun.
#[derive(Debug, Default)]
pub struct DeduplicationMemory(BTreeMap<DeduplicationKey, Duration>);

impl DeduplicationMemory {
    /// A request with this key begins at `now`; returns whether it takes effect, as no other one did within `window`. A repeat does not
    /// prolong the window.
    pub fn begin(&mut self, key: DeduplicationKey, window: Duration, now: Duration) -> bool {
        let known = self.0.get(&key).is_some_and(|begun| now < *begun + window);
        if !known {
            self.0.insert(key, now);
        }
        !known
    }

    /// The request that was to take effect never ended, as its pod is gone.
    pub fn forget(&mut self, key: &DeduplicationKey) {
        self.0.remove(key);
    }
}
