//! Inboxes: notes for many addressees, handed out one at a time in the order of posting.
//!
//! All stand in one queue: emptied in turn, an inbox of its own for each addressee would give the same order,
//! and keep a place for each that ever was.

use std::collections::VecDeque;

pub struct Mailboxes<A, N> {
    waiting: VecDeque<(A, N)>,
}

impl<A, N> Default for Mailboxes<A, N> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<A, N> Mailboxes<A, N> {
    pub fn push(&mut self, to: A, note: N) {
        self.waiting.push_back((to, note));
    }

    pub fn pop(&mut self) -> Option<(A, N)> {
        self.waiting.pop_front()
    }
}
