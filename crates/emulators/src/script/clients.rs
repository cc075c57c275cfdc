//! Who sends requests, and of which kinds.

use limewing_settings::{RequestClass, Seconds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "GroupScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct ClassScript {
    /// The class as sidecars know it.
    #[serde(rename = "group")]
    #[schemars(description = "")]
    pub class: RequestClass,
    /// Part of all hits.
    pub share: f64,
    /// Mean work on a warm core.
    #[serde(rename = "work")]
    pub mean_work: Seconds,
}

/// A tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "CustomerScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct TenantScript {
    /// The name that requests bring.
    #[schemars(description = "")]
    pub name: String,
    /// Part of all requests.
    #[schemars(description = "")]
    pub share: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct ClientScript {
    /// Attempts after the first one.
    #[serde(rename = "retries")]
    #[schemars(description = "")]
    pub max_retries: u16,
    /// Mean wait before a retry.
    #[serde(rename = "wait")]
    pub mean_backoff: Seconds,
    /// A try waits for this part of the client timeout at the least.
    #[serde(rename = "patience_from")]
    pub min_timeout_part: f64,
    /// The part of wrong answers that is reported.
    #[serde(rename = "reports", default)]
    pub reported_part: f64,
    /// The part of tries that are sent in two pieces, with a wait between.
    #[serde(rename = "slow", default)]
    pub slow_sender_part: f64,
    /// They try again also where it may run twice, with a tag, as those do that know no better.
    #[serde(rename = "careless", default)]
    pub retries_non_idempotent: bool,
    /// The part of tries whose client goes before the answer.
    #[serde(rename = "leaves", default)]
    pub disconnecting_part: f64,
}
