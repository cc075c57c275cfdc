//! Limits on attempts, connections and buffers.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Limits on attempts, connections and buffers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct Limits {
    /// Maximum number of attempts per request.
    #[serde(rename = "max_forwards")]
    #[schemars(description = "")]
    pub max_attempts: u16,
    /// Whether a slow request may be hedged with a second attempt.
    #[serde(default, rename = "second_copies")]
    #[schemars(description = "")]
    pub hedging: bool,
    /// Whether an attempt that is no longer needed may be cancelled.
    #[serde(default, rename = "may_cancel")]
    #[schemars(description = "")]
    pub cancellation: bool,
    /// Time after which a rejected client is asked to retry; if absent, no time is sent.
    #[serde(default)]
    pub retry_after: Option<Seconds>,
    /// Timeout for connecting to a pod.
    #[schemars(description = "")]
    pub connect_timeout: Seconds,
    /// Time after which an idle connection to a pod is closed.
    #[serde(rename = "idle_close")]
    pub idle_timeout: Seconds,
    /// Bytes of a request body buffered for another attempt; a larger body is streamed and sent only once.
    #[serde(default = "default_buffer_bytes", rename = "body_kept")]
    pub max_buffered_request: usize,
    /// Bytes of a response buffered before it is sent to the client; a larger response is streamed.
    #[serde(default = "default_buffer_bytes", rename = "answer_gathered")]
    pub max_buffered_response: usize,
    /// Time subtracted from each client's deadline for the transfer of the response.
    pub deadline_margin: Seconds,
    /// A streamed response is aborted when the client does not read from it for this long.
    #[serde(default = "default_client_stall_timeout", rename = "stall")]
    pub client_stall_timeout: Seconds,
    /// Time within which a request must be received completely, from its first byte.
    #[serde(default = "default_request_timeout", rename = "request_within")]
    pub request_timeout: Seconds,
    /// Memory that the process may use, in bytes; if absent, as much as the system allows.
    #[serde(default, rename = "memory")]
    pub max_memory: Option<usize>,
    /// Maximum number of open client connections.
    #[serde(default = "default_max_clients", rename = "clients")]
    pub max_clients: usize,
}

impl Limits {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        validator.require(self.max_attempts >= 1, "/limits/max_forwards", "1 or more");
        validator.require(self.max_clients >= 1, "/limits/clients", "1 or more");
        validator.require(
            self.max_memory != Some(0),
            "/limits/memory",
            "more than 0 bytes",
        );
        validator.require(
            self.connect_timeout.value() > 0.0,
            "/limits/connect_timeout",
            "more than 0 seconds",
        );
    }
}

fn default_buffer_bytes() -> usize {
    64 * 1024
}

fn default_client_stall_timeout() -> Seconds {
    Seconds::constant(30.0)
}

fn default_request_timeout() -> Seconds {
    Seconds::constant(10.0)
}

fn default_max_clients() -> usize {
    20_000
}
