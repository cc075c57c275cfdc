//! Inboxes: one for each addressee, emptied one note at a time in the order of posting.

use std::collections::{BTreeMap, VecDeque};

pub struct Inboxes<A, N> {
    boxes: BTreeMap<A, VecDeque<N>>,
    turns: VecDeque<A>,
}

impl<A: Ord + Copy, N> Default for Inboxes<A, N> {
    fn default() -> Self {
        Self { boxes: BTreeMap::new(), turns: VecDeque::new() }
    }
}

impl<A: Ord + Copy, N> Inboxes<A, N> {
    pub fn put(&mut self, to: A, note: N) {
        self.boxes.entry(to).or_default().push_back(note);
        self.turns.push_back(to);
    }

    pub fn take(&mut self) -> Option<(A, N)> {
        let to = self.turns.pop_front()?;
        let note = self.boxes.get_mut(&to)?.pop_front()?;
        Some((to, note))
    }
}
