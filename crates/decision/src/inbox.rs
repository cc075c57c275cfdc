//! Inboxes: notes for many addressees, handed out one at a time in the order of posting.
//!
//! All stand in one queue: emptied in turn, an inbox of its own for each addressee would give the same order,
//! and keep a place for each that ever was.

use std::collections::VecDeque;

pub struct Inboxes<A, N> {
    waiting: VecDeque<(A, N)>,
}

impl<A, N> Default for Inboxes<A, N> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<A, N> Inboxes<A, N> {
    pub fn put(&mut self, to: A, note: N) {
        self.waiting.push_back((to, note));
    }

    pub fn take(&mut self) -> Option<(A, N)> {
        self.waiting.pop_front()
    }
}
