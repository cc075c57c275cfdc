//! One vote: a call to the rollout service on a separate connection, which ends with an answer for
//! the decision engine.

use bytes::BytesMut;
use limewing_decision::interface::VoteAnswer;
use limewing_net::http_call::{CallProgress, HttpCall};
use limewing_net::sockets::{SocketId, Sockets};
use limewing_net::timer_wheel::{TimerKey, TimerWheel};

/// Maximum length of the body of a reply, in bytes.
const MAX_REPLY: usize = 16 * 1024;

/// The outcome of a vote. `S` is the rollout state in the protocol of the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteReply<S> {
    /// The answer for the decision engine.
    pub answer: VoteAnswer,
    /// The rollout state, if the reply contains it.
    pub state: Option<S>,
}

impl<S> VoteReply<S> {
    /// Creates the outcome of a vote without a usable reply.
    #[must_use]
    pub fn without_state(answer: VoteAnswer) -> Self {
        Self {
            answer,
            state: None,
        }
    }

    /// Creates the outcome of a vote whose connection was lost after `written` bytes were written.
    /// If this is not zero, the vote may have been counted.
    #[must_use]
    pub fn connection_lost(written: u64) -> Self {
        let answer = if written == 0 {
            VoteAnswer::Failed
        } else {
            VoteAnswer::Unanswered
        };
        Self::without_state(answer)
    }
}

/// A vote that is waiting for its reply.
pub struct VoteCall {
    call: HttpCall,
}

impl VoteCall {
    /// Creates a vote that is sent as `request`; `timer` limits the wait for its reply.
    #[must_use]
    pub fn new(request: BytesMut, timer: TimerKey) -> Self {
        Self {
            call: HttpCall::new(request, MAX_REPLY, timer),
        }
    }

    /// Sends the request once the connection is established.
    pub fn send(&mut self, socket: SocketId, sockets: &mut Sockets) {
        self.call.on_connected(socket, sockets);
    }

    /// Reads the received bytes and passes the status and the body of the reply to `parse`. Returns
    /// `None` while the reply is incomplete.
    pub fn read_reply<S>(
        &mut self,
        socket: SocketId,
        sockets: &mut Sockets,
        parse: impl FnOnce(u16, &[u8]) -> VoteReply<S>,
    ) -> Option<VoteReply<S>> {
        match self.call.on_readable(socket, sockets) {
            CallProgress::Pending => None,
            CallProgress::Complete(head, body) => Some(parse(head.status, &body)),
            CallProgress::Failed => Some(VoteReply::without_state(VoteAnswer::Unanswered)),
        }
    }

    /// Cancels the timer and closes the connection.
    pub fn close<T>(self, socket: SocketId, sockets: &mut Sockets, timers: &mut TimerWheel<T>) {
        timers.cancel(self.call.timer);
        sockets.close(socket);
    }
}

#[cfg(test)]
mod tests;
