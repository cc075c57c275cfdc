//! The maintenance of machines during a day.

use super::schema::undocumented_words_as_enum;
use limewing_settings::{Seconds, WorkList};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The voters of maintenance, the work on machines, and the actions of operators.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "WorkScript", deny_unknown_fields)]
#[schemars(description = "")]
pub struct MaintenanceScript {
    /// The number of sidecars, from the first one, that have a vote.
    pub voters: usize,
    /// The number of sidecars, from the first one, that have a state folder and may be given a vote; if absent, only those with a vote.
    #[serde(rename = "folders", default)]
    pub possible_voters: Option<usize>,
    /// The number of slots of a zone that are on one machine, which is named by the number of its first slot.
    #[serde(rename = "pods_a_machine", default = "default_pods_per_machine")]
    pub pods_per_machine: usize,
    /// The election timeout of voters.
    #[serde(rename = "patience")]
    #[schemars(description = "")]
    pub election_timeout: Seconds,
    /// The duration of a pod's lease.
    #[schemars(description = "")]
    pub lease: Seconds,
    /// The duration of the work on a machine.
    #[serde(rename = "works_for")]
    pub duration: Seconds,
    /// The machines, by first slot, whose work never ends; likewise `fail`: whose work fails, and `twice`: whose end is reported twice.
    #[serde(rename = "stall", default)]
    pub stalling: Vec<usize>,
    /// The machines whose maintenance fails.
    #[serde(rename = "fail", default)]
    #[schemars(description = "")]
    pub failing: Vec<usize>,
    /// The machines whose agents report the end twice.
    #[serde(rename = "twice", default)]
    #[schemars(description = "")]
    pub reported_twice: Vec<usize>,
    /// Whether the day ends early once all lists are finished.
    #[serde(rename = "ends_when_over", default)]
    pub ends_day_when_over: bool,
    /// The actions of operators.
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
    /// The time of the action.
    #[schemars(description = "")]
    pub at: Seconds,
    /// The action.
    #[serde(rename = "does")]
    #[schemars(description = "")]
    pub action: OperatorAction,
}

/// An operator's action. Actions on a list apply to the one requested last.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "WorkDoes", deny_unknown_fields)]
#[schemars(transform = undocumented_words_as_enum)]
pub enum OperatorAction {
    /// Requests maintenance of a list of machines.
    #[serde(rename = "ask")]
    #[schemars(description = "")]
    Request(Box<WorkList>),
    /// Pauses the list: no more machines go out of service.
    #[serde(rename = "hold")]
    #[schemars(description = "")]
    Hold,
    /// Resumes a list that is paused.
    #[serde(rename = "go_on")]
    #[schemars(description = "")]
    Resume,
    /// Withdraws the list.
    #[serde(rename = "withdraw")]
    #[schemars(description = "")]
    Withdraw,
    /// Reports that this sidecar has been removed for good.
    #[serde(rename = "gone")]
    RemoveSidecar(String),
    /// Gives this sidecar a vote; `unvote` takes it away.
    #[serde(rename = "vote")]
    AddVoter(String),
    /// Takes the vote away from this sidecar.
    #[serde(rename = "unvote")]
    #[schemars(description = "")]
    RemoveVoter(String),
}
