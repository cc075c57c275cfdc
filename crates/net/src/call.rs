//! One call on a connection of its own: a request is sent once the connection stands, and one answer is read.

use crate::http::ResponseHead;
use crate::message::Responses;
use crate::sockets::{SocketId, Sockets};
use crate::wheel::TimerKey;
use bytes::BytesMut;

pub struct Call {
    answers: Responses,
    request: BytesMut,
    /// When the answer is waited for no longer.
    pub timer: TimerKey,
}

pub enum Heard {
    NotYet,
    Whole(ResponseHead, BytesMut),
    /// Half an answer, or one that can't be read: the call may have been carried out.
    Lost,
}

impl Call {
    /// The answer's body may have `most` bytes.
    pub fn new(request: BytesMut, most: usize, timer: TimerKey) -> Self {
        Self {
            answers: Responses::new(most),
            request,
            timer,
        }
    }

    pub fn connected(&mut self, link: SocketId, sockets: &mut Sockets) {
        sockets.send(link, &std::mem::take(&mut self.request));
    }

    pub fn hear(&mut self, link: SocketId, sockets: &mut Sockets) -> Heard {
        let ended = sockets.ended(link);
        let Some(input) = sockets.input(link) else {
            return Heard::Lost;
        };
        match self.answers.take(input, ended) {
            Ok(Some((head, body))) => Heard::Whole(head, body),
            Ok(None) if !ended => {
                sockets.read_on(link);
                Heard::NotYet
            }
            _ => Heard::Lost,
        }
    }
}
