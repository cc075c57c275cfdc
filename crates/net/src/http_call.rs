//! One call on a connection of its own: a request is sent once the connection stands, and one answer is read.

use crate::http::ResponseHead;
use crate::message_reader::ResponseReader;
use crate::sockets::{SocketId, Sockets};
use crate::timer_wheel::TimerKey;
use bytes::BytesMut;

pub struct HttpCall {
    answers: ResponseReader,
    request: BytesMut,
    /// When the answer is waited for no longer.
    pub timer: TimerKey,
}

pub enum CallProgress {
    Pending,
    Complete(ResponseHead, BytesMut),
    /// Half an answer, or one that can't be read: the call may have been carried out.
    Failed,
}

impl HttpCall {
    /// The answer's body may have `most` bytes.
    pub fn new(request: BytesMut, most: usize, timer: TimerKey) -> Self {
        Self {
            answers: ResponseReader::new(most),
            request,
            timer,
        }
    }

    pub fn on_connected(&mut self, link: SocketId, sockets: &mut Sockets) {
        sockets.send(link, &std::mem::take(&mut self.request));
    }

    pub fn on_readable(&mut self, link: SocketId, sockets: &mut Sockets) -> CallProgress {
        let ended = sockets.has_ended(link);
        let Some(input) = sockets.input(link) else {
            return CallProgress::Failed;
        };
        match self.answers.take(input, ended) {
            Ok(Some((head, body))) => CallProgress::Complete(head, body),
            Ok(None) if !ended => {
                sockets.resume_reading(link);
                CallProgress::Pending
            }
            _ => CallProgress::Failed,
        }
    }
}
