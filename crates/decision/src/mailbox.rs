//! Mailboxes: messages for several components, delivered one at a time in the order in which they
//! were sent.
//!
//! All mailboxes share one queue. Separate mailboxes emptied in turn would give the same order, but
//! would keep an entry for every component that ever existed.

use std::collections::VecDeque;

/// A queue of messages with their recipients.
pub(crate) struct Mailboxes<A, M> {
    queue: VecDeque<(A, M)>,
}

impl<A, M> Default for Mailboxes<A, M> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
        }
    }
}

impl<A, M> Mailboxes<A, M> {
    pub(crate) fn push(&mut self, to: A, message: M) {
        self.queue.push_back((to, message));
    }

    pub(crate) fn pop(&mut self) -> Option<(A, M)> {
        self.queue.pop_front()
    }
}
