//! Bounds of attempts, connections and buffers.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Bounds of attempts, connections and buffers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct Limits {
    /// Attempts of one request, at most.
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
    /// What a bounced client is told to wait; none tells nothing.
    #[serde(default)]
    pub retry_after: Option<Seconds>,
    /// How long a connection to a pod may take to be established.
    #[schemars(description = "")]
    pub connect_timeout: Seconds,
    /// Idle connections to pods are closed after this.
    #[serde(rename = "idle_close")]
    pub idle_timeout: Seconds,
    /// Bytes of a hit's body kept for another forward; larger bodies are passed on as they come, once.
    #[serde(default = "default_buffer_bytes", rename = "body_kept")]
    pub max_buffered_request: usize,
    /// Bytes of an answer gathered before it is passed on; larger ones are passed on as they come.
    #[serde(default = "default_buffer_bytes", rename = "answer_gathered")]
    pub max_buffered_response: usize,
    /// Time taken off each client's deadline for the way back.
    pub deadline_margin: Seconds,
    /// A streamed answer that a client does not read for so long is cut.
    #[serde(default = "default_client_stall_timeout", rename = "stall")]
    pub client_stall_timeout: Seconds,
    /// A request that has begun must be whole after this.
    #[serde(default = "default_request_timeout", rename = "request_within")]
    pub request_timeout: Seconds,
    /// Open connections of clients, at most.
    #[serde(default = "default_max_clients", rename = "clients")]
    pub max_clients: usize,
}

impl Limits {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        validator.require(self.max_attempts >= 1, "/limits/max_forwards", "1 or more");
        validator.require(self.max_clients >= 1, "/limits/clients", "1 or more");
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
