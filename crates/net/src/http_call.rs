//! One HTTP call on a connection of its own.

use crate::http::ResponseHead;
use crate::message_reader::ResponseReader;
use crate::sockets::{SocketId, Sockets};
use crate::timer_wheel::TimerKey;
use bytes::BytesMut;

/// A call in flight: the request is sent once the connection is established, then one response is read.
pub struct HttpCall {
    responses: ResponseReader,
    request: BytesMut,
    /// The timer that ends the wait for the response.
    pub timer: TimerKey,
}

/// How far a call has come.
pub enum CallProgress {
    /// The response is incomplete.
    Pending,
    /// The response with its body.
    Complete(ResponseHead, BytesMut),
    /// The response can't be read, or the connection ended before it was complete. The call may have been carried out.
    Failed,
}

impl HttpCall {
    /// A call that sends `request` and takes a response whose body has at most `max_body` bytes.
    #[must_use]
    pub fn new(request: BytesMut, max_body: usize, timer: TimerKey) -> Self {
        Self {
            responses: ResponseReader::new(max_body),
            request,
            timer,
        }
    }

    /// Sends the request: the connection is established.
    pub fn on_connected(&mut self, connection: SocketId, sockets: &mut Sockets) {
        let request = std::mem::take(&mut self.request);
        sockets.send(connection, &request);
    }

    /// Reads what has come on the connection.
    pub fn on_readable(&mut self, connection: SocketId, sockets: &mut Sockets) -> CallProgress {
        let ended = sockets.has_ended(connection);
        let Some(input) = sockets.input(connection) else {
            return CallProgress::Failed;
        };
        match self.responses.take(input, ended) {
            Ok(Some((head, body))) => CallProgress::Complete(head, body),
            Ok(None) if !ended => {
                sockets.resume_reading(connection);
                CallProgress::Pending
            }
            _ => CallProgress::Failed,
        }
    }
}
