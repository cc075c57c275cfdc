//! The request classes, tenants and clients of a day.

use limewing_settings::{RequestClass, Seconds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A request class and its load.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "GroupScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct ClassScript {
    /// The class in the sidecars' settings.
    #[serde(rename = "group")]
    #[schemars(description = "")]
    pub class: RequestClass,
    /// The share of all requests.
    pub share: f64,
    /// The mean work of a request on a warm core.
    #[serde(rename = "work")]
    pub mean_work: Seconds,
}

/// A tenant and its share of the load.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "CustomerScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct TenantScript {
    /// The name that requests carry.
    #[schemars(description = "")]
    pub name: String,
    /// The share of all requests.
    #[schemars(description = "")]
    pub share: f64,
}

/// The behaviour of the clients.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct ClientScript {
    /// The most attempts after the first one.
    #[serde(rename = "retries")]
    #[schemars(description = "")]
    pub max_retries: u16,
    /// The mean delay before a retry.
    #[serde(rename = "wait")]
    pub mean_backoff: Seconds,
    /// The shortest timeout of an attempt, as a fraction of the client timeout.
    #[serde(rename = "patience_from")]
    pub min_timeout_part: f64,
    /// The fraction of wrong answers that clients report.
    #[serde(rename = "reports", default)]
    pub reported_part: f64,
    /// The fraction of attempts that are sent in two parts, with a pause between them.
    #[serde(rename = "slow", default)]
    pub slow_sender_part: f64,
    /// Whether clients also retry requests that must not run twice, as careless clients do; they then send an idempotency key.
    #[serde(rename = "careless", default)]
    pub retries_non_idempotent: bool,
    /// The fraction of attempts whose client disconnects before the answer.
    #[serde(rename = "leaves", default)]
    pub disconnecting_part: f64,
}
