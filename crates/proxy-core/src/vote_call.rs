//! One vote: a call to the rollout service on a connection of its own, whose end is an answer for the decision engine.

use bytes::BytesMut;
use limewing_decision::interface::VoteAnswer;
use limewing_net::http_call::{CallProgress, HttpCall};
use limewing_net::sockets::{SocketId, Sockets};
use limewing_net::timer_wheel::{TimerKey, TimerWheel};

/// Bound of the body of a reply, in bytes.
const MAX_REPLY: usize = 16 * 1024;

/// How a vote ended. `S` is the state of the rollout in the proxy's own protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteReply<S> {
    /// What became of the vote.
    pub answer: VoteAnswer,
    /// The state of the rollout, if the reply has it.
    pub state: Option<S>,
}

impl<S> VoteReply<S> {
    /// The end of a vote without a reply that can be read.
    #[must_use]
    pub fn without_state(answer: VoteAnswer) -> Self {
        Self {
            answer,
            state: None,
        }
    }

    /// The end of a vote whose connection was lost after `written` bytes: if any, the vote may have been counted.
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

/// A vote that has no reply yet.
pub struct VoteCall {
    call: HttpCall,
}

impl VoteCall {
    /// A vote to be sent as `request`; `timer` bounds the wait for its reply.
    #[must_use]
    pub fn new(request: BytesMut, timer: TimerKey) -> Self {
        Self {
            call: HttpCall::new(request, MAX_REPLY, timer),
        }
    }

    /// Sends the request, once the connection is up.
    pub fn send(&mut self, socket: SocketId, sockets: &mut Sockets) {
        self.call.on_connected(socket, sockets);
    }

    /// Reads what has arrived; `None` while the reply is incomplete. `parse` gets the reply's status and body.
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
