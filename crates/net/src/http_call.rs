//! One HTTP call on a dedicated connection.

use crate::http::ResponseHead;
use crate::message_reader::ResponseReader;
use crate::sockets::{SocketId, Sockets};
use crate::timer_wheel::TimerKey;
use bytes::BytesMut;

/// An HTTP call in flight: the request is sent once the connection is established, then one response is read.
pub struct HttpCall {
    response_reader: ResponseReader,
    request: BytesMut,
    /// The timer for the response timeout.
    pub timer: TimerKey,
}

/// The progress of a call.
pub enum CallProgress {
    /// The response is not complete yet.
    Pending,
    /// The response head and body.
    Complete(ResponseHead, BytesMut),
    /// The response is malformed, or the connection ended before it was complete. The server may have executed the call.
    Failed,
}

impl HttpCall {
    /// Creates a call that sends `request` and accepts a response body of at most `max_body` bytes.
    #[must_use]
    pub fn new(request: BytesMut, max_body: usize, timer: TimerKey) -> Self {
        Self {
            response_reader: ResponseReader::new(max_body),
            request,
            timer,
        }
    }

    /// Sends the request once the connection is established.
    pub fn on_connected(&mut self, connection: SocketId, sockets: &mut Sockets) {
        let request = std::mem::take(&mut self.request);
        sockets.send(connection, &request);
    }

    /// Reads the input that has arrived on the connection.
    pub fn on_readable(&mut self, connection: SocketId, sockets: &mut Sockets) -> CallProgress {
        let ended = sockets.has_ended(connection);
        let Some(input) = sockets.input(connection) else {
            return CallProgress::Failed;
        };
        match self.response_reader.take(input, ended) {
            Ok(Some((head, body))) => CallProgress::Complete(head, body),
            Ok(None) if !ended => {
                sockets.resume_reading(connection);
                CallProgress::Pending
            }
            _ => CallProgress::Failed,
        }
    }
}
