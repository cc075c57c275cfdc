//! Tokens that identify attempts towards pods and clients.

use limewing_decision::interface::{AttemptIndex, RequestId};

/// Field with an attempt's token: pods get it with the request, clients with the response, and reports of wrong answers
/// return it.
pub(super) const ATTEMPT_FIELD: &str = "limewing-forward";

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request: RequestId,
    /// The attempt's number within it.
    pub(super) index: AttemptIndex,
}

/// Makes and reads tokens: the sidecar's name and incarnation, the request's and the attempt's number.
pub(super) struct AttemptTokens {
    prefix: String,
}

impl AttemptTokens {
    /// The tokens of one sidecar; `incarnation` tells them from those of its earlier processes.
    pub(super) fn new(name: &str, incarnation: u32) -> Self {
        Self {
            prefix: format!("{name}.{incarnation}."),
        }
    }

    /// An attempt's token.
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

    /// The attempt of a token; `None` if it is no token of this process.
    pub(super) fn decode(&self, token: &str) -> Option<AttemptId> {
        let (request, index) = token.strip_prefix(&self.prefix)?.split_once('.')?;
        Some(AttemptId {
            request: RequestId(request.parse().ok()?),
            index: AttemptIndex(index.parse().ok()?),
        })
    }
}
