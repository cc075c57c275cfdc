//! The marks of tagged hits that pods remember, by those pods that share a memory.

use std::collections::BTreeMap;
use std::time::Duration;

/// A path group, the pods that share a memory, and the mark.
pub type Key = (usize, usize, String);

#[derive(Default)]
pub struct Marks(BTreeMap<Key, Duration>);

impl Marks {
    /// A hit with this mark begins at `now`: whether it takes effect, as no earlier one did within `memory`.
    pub fn begin(&mut self, key: Key, memory: Duration, now: Duration) -> bool {
        let known = self.0.get(&key).is_some_and(|at| now < *at + memory);
        if !known {
            self.0.insert(key, now);
        }
        !known
    }

    /// The one that was to take effect never ended: its pod is gone.
    pub fn undone(&mut self, key: &Key) {
        self.0.remove(key);
    }
}
