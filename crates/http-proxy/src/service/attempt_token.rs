//! Tokens that identify attempts to pods and clients.

use limewing_decision::interface::{AttemptIndex, RequestId};

/// Header field that carries an attempt's token. Pods receive it with the request, clients with the response; a report
/// of a wrong answer returns it.
pub(super) const ATTEMPT_FIELD: &str = "limewing-forward";

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request: RequestId,
    /// The attempt's index within the request.
    pub(super) index: AttemptIndex,
}

/// Encodes and decodes tokens, which consist of the sidecar's name and incarnation, the request ID and the attempt
/// index.
pub(super) struct AttemptTokens {
    prefix: String,
}

impl AttemptTokens {
    /// Creates the codec of one sidecar. `incarnation` distinguishes its tokens from those of earlier processes.
    pub(super) fn new(name: &str, incarnation: u32) -> Self {
        Self {
            prefix: format!("{name}.{incarnation}."),
        }
    }

    /// Encodes an attempt as a token.
    pub(super) fn encode(&self, attempt: AttemptId) -> String {
        let mut request = itoa::Buffer::new();
        let mut index = itoa::Buffer::new();
        let parts = [
            self.prefix.as_str(),
            request.format(attempt.request.0),
            ".",
            index.format(attempt.index.0),
        ];
        parts.concat()
    }

    /// Decodes a token. Returns `None` if this process did not issue it.
    pub(super) fn decode(&self, token: &str) -> Option<AttemptId> {
        let (request, index) = token.strip_prefix(&self.prefix)?.split_once('.')?;
        Some(AttemptId {
            request: RequestId(request.parse().ok()?),
            index: AttemptIndex(index.parse().ok()?),
        })
    }
}
