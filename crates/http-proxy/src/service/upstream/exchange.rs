//! One attempt on a connection, and the parsing of its response.

use crate::http_status;
use crate::service::attempt_token::AttemptId;
use crate::service::clients::MAX_UNCOUNTED_MESSAGE;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::AttemptOutcome;
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits, HttpError, ResponseHead};
use limewing_proxy_core::memory_budget::MemoryReservation;

/// Header field by which a pod declares that it has not started a request.
const NOT_STARTED_FIELD: &str = "limewing-not-begun";

/// One attempt on a connection.
pub(super) struct Exchange {
    /// The attempt that the connection carries.
    pub(super) attempt: AttemptId,
    /// Bytes written to the connection before the attempt.
    pub(super) written_before: u64,
    /// The response, once its head was parsed.
    pub(super) response: Option<Response>,
    /// The part of the response body that is buffered, not streamed.
    pub(super) buffered: BytesMut,
    /// The memory for `buffered`.
    pub(super) reservation: MemoryReservation,
    /// Whether the response is streamed to the client.
    pub(super) is_streamed: bool,
}

/// A response that is being received.
pub(super) struct Response {
    /// The response head.
    pub(super) head: ResponseHead,
    body: BodyReader,
}

/// Progress in reading a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// More input is needed.
    Incomplete,
    /// The whole response was received.
    Complete,
    /// The response was truncated or is malformed.
    Invalid,
    /// The response is too large to buffer, and the client already receives another one.
    Unneeded,
}

/// Conditions that determine whether a response is streamed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamingRules {
    /// Whether responses of the request class are streamed from their first byte.
    pub(super) class_is_streamed: bool,
    /// Whether the client has not received any part of a response.
    pub(super) no_response_started: bool,
    /// Maximum size of the buffered body, in bytes.
    pub(super) max_buffered: usize,
    /// Bytes buffered on connections, which count against the memory budget.
    pub(super) buffered_on_connections: usize,
}

/// Result of reading part of a response body.
#[derive(Debug, Default)]
pub(super) struct BodyRead {
    /// Whether streaming starts with this part.
    pub(super) starts_streaming: bool,
    /// Parts of the body to stream.
    pub(super) pieces: Vec<Bytes>,
    /// Whether the body is too large to buffer and must not be streamed.
    pub(super) is_too_large: bool,
}

impl Response {
    fn is_server_error(&self) -> bool {
        self.head.status >= http_status::FIRST_SERVER_ERROR
    }

    /// Returns the outcome of the attempt for a complete response.
    pub(super) fn outcome(&self) -> AttemptOutcome {
        let says_not_started = self.head.fields.get(NOT_STARTED_FIELD).is_some();
        if self.head.status == http_status::SERVICE_UNAVAILABLE && says_not_started {
            AttemptOutcome::Rejected
        } else if self.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        }
    }
}

impl Exchange {
    /// Creates the exchange of an attempt. `written_before` is the number of bytes written to the connection before it.
    pub(super) fn new(
        attempt: AttemptId,
        written_before: u64,
        reservation: MemoryReservation,
    ) -> Self {
        Self {
            attempt,
            written_before,
            response: None,
            buffered: BytesMut::new(),
            reservation,
            is_streamed: false,
        }
    }

    /// Parses the response head if that was not done before. Returns whether the head was parsed.
    pub(super) fn read_head(
        &mut self,
        input: &mut BytesMut,
        is_head_request: bool,
    ) -> Result<bool, HttpError> {
        if self.response.is_some() {
            return Ok(true);
        }
        let Some(head) = http::parse_response(input, is_head_request, HeadLimits::default())?
        else {
            return Ok(false);
        };
        let body = BodyReader::new(head.framing);
        self.response = Some(Response { head, body });
        Ok(true)
    }

    /// Reads the received part of the body, either to buffer or to stream it.
    pub(super) fn read_body(
        &mut self,
        input: &mut BytesMut,
        rules: StreamingRules,
    ) -> Result<BodyRead, HttpError> {
        let mut read = BodyRead::default();
        let Some(response) = &mut self.response else {
            return Ok(read);
        };
        let may_start = rules.no_response_started && !response.is_server_error();
        // Responses of streamed classes are passed to the client from their first byte.
        read.starts_streaming = may_start && rules.class_is_streamed;
        while let Some(piece) = response.body.next(input)? {
            if self.is_streamed || read.starts_streaming {
                read.pieces.push(piece);
                continue;
            }
            self.buffered.extend_from_slice(&piece);
            let held = self.buffered.capacity();
            let has_memory = held <= MAX_UNCOUNTED_MESSAGE
                || self
                    .reservation
                    .resize_or_release(held, rules.buffered_on_connections);
            // Too large to buffer: switch to streaming if that is allowed.
            if self.buffered.len() > rules.max_buffered || !has_memory {
                if !may_start {
                    read.is_too_large = true;
                    return Ok(read);
                }
                read.starts_streaming = true;
            }
        }
        if read.starts_streaming {
            self.is_streamed = true;
            let buffered = std::mem::take(&mut self.buffered).freeze();
            read.pieces.insert(0, buffered);
            self.reservation.resize(0);
        }
        Ok(read)
    }

    /// Returns the progress of a response whose body is not too large. `ended` means that no more bytes will arrive.
    pub(super) fn progress(&mut self, ended: bool) -> ResponseProgress {
        let Some(response) = &mut self.response else {
            return ResponseProgress::Incomplete;
        };
        if ended && response.body.close().is_err() {
            ResponseProgress::Invalid
        } else if response.body.ended() {
            ResponseProgress::Complete
        } else {
            ResponseProgress::Incomplete
        }
    }

    /// Returns the progress of a response whose body is too large to buffer. A server error fails the attempt whatever
    /// its body contains; any other response is no longer needed, because the client already receives another one.
    pub(super) fn progress_when_too_large(&self) -> ResponseProgress {
        match &self.response {
            Some(response) if !response.is_server_error() => ResponseProgress::Unneeded,
            _ => ResponseProgress::Invalid,
        }
    }
}
