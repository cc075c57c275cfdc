//! Maintenance of machines during a day.

use super::schema::undocumented_words_as_enum;
use limewing_settings::{Seconds, WorkList};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Who decides on maintenance, how it goes, and what operators do.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "WorkScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct MaintenanceScript {
    /// The first so many sidecars have a vote.
    pub voters: usize,
    /// The first so many have a folder, and may be given a vote; none: those with a vote.
    #[serde(rename = "folders", default)]
    pub possible_voters: Option<usize>,
    /// So many places of a zone are one machine of several pods, named by the first one's number.
    #[serde(rename = "pods_a_machine", default = "default_pods_per_machine")]
    pub pods_per_machine: usize,
    /// The election timeout of voters.
    #[serde(rename = "patience")]
    #[schemars(description = "")]
    pub election_timeout: Seconds,
    /// How long the lease of a pod holds.
    #[schemars(description = "")]
    pub lease: Seconds,
    /// How long the work on a machine takes.
    #[serde(rename = "works_for")]
    pub duration: Seconds,
    /// Machines whose work never ends, fails, or is told twice, by their place.
    #[serde(rename = "stall", default)]
    pub stalling: Vec<usize>,
    /// Machines whose maintenance fails.
    #[serde(rename = "fail", default)]
    #[schemars(description = "")]
    pub failing: Vec<usize>,
    /// Machines whose agents report the end twice.
    #[serde(rename = "twice", default)]
    #[schemars(description = "")]
    pub reported_twice: Vec<usize>,
    /// The day ends once all lists are over, if that is before its time.
    #[serde(rename = "ends_when_over", default)]
    pub ends_day_when_over: bool,
    /// What operators do.
    #[schemars(description = "")]
    pub steps: Vec<MaintenanceStep>,
}

fn default_pods_per_machine() -> usize {
    1
}

/// An operator's action and its time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "WorkStep", deny_unknown_fields)]
#[schemars(description = "")]
pub struct MaintenanceStep {
    /// When.
    #[schemars(description = "")]
    pub at: Seconds,
    /// What.
    #[serde(rename = "does")]
    #[schemars(description = "")]
    pub action: OperatorAction,
}

/// What an operator does; of the list that was asked for last.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "WorkDoes", deny_unknown_fields)]
#[schemars(transform = undocumented_words_as_enum)]
pub enum OperatorAction {
    /// Requests maintenance of a list of machines.
    #[serde(rename = "ask")]
    #[schemars(description = "")]
    Request(Box<WorkList>),
    /// Holds the list: no more machines go out.
    #[serde(rename = "hold")]
    #[schemars(description = "")]
    Hold,
    /// Releases a list that is held.
    #[serde(rename = "go_on")]
    #[schemars(description = "")]
    Resume,
    /// Withdraws the list.
    #[serde(rename = "withdraw")]
    #[schemars(description = "")]
    Withdraw,
    /// This sidecar runs no more.
    #[serde(rename = "gone")]
    RemoveSidecar(String),
    /// Gives this sidecar a vote, or takes it.
    #[serde(rename = "vote")]
    AddVoter(String),
    /// Takes the vote of this sidecar.
    #[serde(rename = "unvote")]
    #[schemars(description = "")]
    RemoveVoter(String),
}
