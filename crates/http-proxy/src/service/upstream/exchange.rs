//! One attempt on a connection: reads its response off the connection's bytes.

use crate::http_status;
use crate::service::attempt_token::AttemptId;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::AttemptOutcome;
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits, HttpError, ResponseHead};

/// A pod says with this field that it has not begun a request.
const NOT_STARTED_FIELD: &str = "limewing-not-begun";

/// One attempt on a connection.
pub(super) struct Exchange {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// Bytes that were written on the connection before it.
    pub(super) written_before: u64,
    /// The response, once its head was read.
    pub(super) response: Option<Response>,
    /// What of the response's body was read and is not streamed.
    pub(super) buffered: BytesMut,
    /// Whether the response is streamed to the client.
    pub(super) is_streamed: bool,
}

/// A response that is being read.
pub(super) struct Response {
    /// Its head.
    pub(super) head: ResponseHead,
    body: BodyReader,
}

/// How far the reading of a response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// More has to arrive.
    Incomplete,
    /// All has arrived.
    Complete,
    /// It ended early, or can't be read.
    Broken,
    /// It is too large to be buffered, and the client has another response.
    Unneeded,
}

/// What decides whether a response is streamed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamingRules {
    /// Responses of the request's class are streamed from their first byte.
    pub(super) class_is_streamed: bool,
    /// The client has no response, and none has begun.
    pub(super) client_is_free: bool,
    /// Bound of what is buffered, in bytes.
    pub(super) max_buffered: usize,
}

/// What was read of a response's body.
#[derive(Debug, Default)]
pub(super) struct BodyRead {
    /// The response is streamed from here on.
    pub(super) starts_streaming: bool,
    /// What is to be streamed.
    pub(super) pieces: Vec<Bytes>,
    /// The body is too large to be buffered, and must not be streamed.
    pub(super) is_too_large: bool,
}

impl Response {
    fn is_server_error(&self) -> bool {
        self.head.status >= http_status::FIRST_SERVER_ERROR
    }

    /// What a complete response says of its attempt.
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
    /// An attempt on a connection on which `written_before` bytes were written before.
    pub(super) fn new(attempt: AttemptId, written_before: u64) -> Self {
        Self {
            attempt,
            written_before,
            response: None,
            buffered: BytesMut::new(),
            is_streamed: false,
        }
    }

    /// Whether the response's head was read, now or before.
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

    /// Reads what has arrived of the body, into the buffer or to be streamed.
    pub(super) fn read_body(
        &mut self,
        input: &mut BytesMut,
        rules: StreamingRules,
    ) -> Result<BodyRead, HttpError> {
        let mut read = BodyRead::default();
        let Some(response) = &mut self.response else {
            return Ok(read);
        };
        let may_start = rules.client_is_free && !response.is_server_error();
        // A streamed response is the client's from its first byte.
        read.starts_streaming = may_start && rules.class_is_streamed;
        while let Some(piece) = response.body.next(input)? {
            if self.is_streamed || read.starts_streaming {
                read.pieces.push(piece);
                continue;
            }
            self.buffered.extend_from_slice(&piece);
            // Too large to be buffered: it is streamed from here on, if it may be.
            if self.buffered.len() > rules.max_buffered {
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
        }
        Ok(read)
    }

    /// How far the reading is, where the body is not too large. `ended` tells that no more bytes will come.
    pub(super) fn progress(&mut self, ended: bool) -> ResponseProgress {
        let Some(response) = &mut self.response else {
            return ResponseProgress::Incomplete;
        };
        if ended && response.body.close().is_err() {
            ResponseProgress::Broken
        } else if response.body.ended() {
            ResponseProgress::Complete
        } else {
            ResponseProgress::Incomplete
        }
    }

    /// What a body that is too large to be buffered means: an error's long page says no more than that it is one; another
    /// response is the client's already.
    pub(super) fn progress_when_too_large(&self) -> ResponseProgress {
        match &self.response {
            Some(response) if !response.is_server_error() => ResponseProgress::Unneeded,
            _ => ResponseProgress::Broken,
        }
    }
}
