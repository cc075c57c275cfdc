//! What operators and the machines' agents ask of a sidecar over `POST /limewing/work`.

use super::list_commands;
use crate::endpoint_list::EndpointRecord;
use limewing_maintenance::{Command, Identifier, MaintenanceSchedule};
use limewing_settings::{Checked, ConfigError, WorkList};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name of a sidecar, in bytes.
const MAX_SIDECAR_NAME_BYTES: usize = 32;

/// A request. The names are the page's format.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MaintenanceRequest {
    /// Takes the machines of a list out for maintenance.
    #[serde(rename = "ask")]
    CreateList(Box<WorkList>),
    /// No more machines of the list are taken out.
    #[serde(rename = "hold")]
    PauseList(u64),
    /// Ends a pause.
    #[serde(rename = "go_on")]
    ResumeList(u64),
    /// No more machines of the list are taken out; those that are out come back when their work ends.
    #[serde(rename = "withdraw")]
    WithdrawList(u64),
    /// The sidecar of this name does not run any more, and did not leave by itself.
    #[serde(rename = "gone")]
    SidecarGone(String),
    /// The sidecar of this name becomes a voter once it has caught up.
    #[serde(rename = "vote")]
    AddVoter(String),
    /// The sidecar of this name becomes a non-voter.
    #[serde(rename = "unvote")]
    RemoveVoter(String),
    /// A machine's agent reports how its work goes.
    #[serde(rename = "report")]
    ReportWork {
        /// The machine's grant.
        grant: u64,
        /// How the work goes.
        #[serde(rename = "said")]
        report: WorkReport,
    },
}

/// How the work on a machine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkReport {
    /// It began.
    Began,
    /// It ended well.
    #[serde(rename = "worked")]
    Succeeded,
    /// It ended, and the machine is not to be used for this list again.
    Failed,
}

/// Why a request is not taken. The texts are the page's format.
#[derive(Debug, PartialEq, Error)]
pub(in crate::service) enum RequestError {
    /// The list's settings cannot be used.
    #[error("at {}: {}", .0.path, .0.expected)]
    InvalidList(ConfigError),
    /// Machines of these names are not on the endpoint list.
    #[error("machines that are not on the node list: {0:?}")]
    UnknownMachines(Vec<String>),
    /// The list selects no machine.
    #[error("no machine on the node list fits `select`")]
    NoMachineSelected,
    /// A machine does not fit into a command.
    #[error("a machine's name, zone or kind is too long")]
    MachineTooLong,
    /// The list's settings do not fit into a command.
    #[error("limits, pairs and windows are too long together")]
    ListConfigTooLong,
    /// There is no list of this number.
    #[error("no list {0}")]
    UnknownList(u64),
    /// The log names no sidecar of this name.
    #[error("no sidecar {0}")]
    UnknownSidecar(String),
    /// There is no grant of this number.
    #[error("no grant {0}")]
    UnknownGrant(u64),
    /// The text is not a sidecar's name.
    #[error("expected a sidecar's name of 1 to {MAX_SIDECAR_NAME_BYTES} letters")]
    InvalidSidecarName,
    /// Too many commands wait already.
    #[error("too much is asked for at once")]
    TooManyRequests,
}

/// What follows from a request.
#[derive(Debug, PartialEq)]
pub(super) enum Effect {
    /// Commands to propose.
    Propose(Vec<Command>),
    /// Commands that create a list of this number.
    CreateList {
        /// The list's number.
        list: u64,
        /// The commands to propose.
        commands: Vec<Command>,
    },
    /// A change of the voters.
    ChangeVoter {
        /// The sidecar's name.
        name: String,
        /// Whether it becomes a voter.
        is_voter: bool,
    },
}

impl MaintenanceRequest {
    /// What follows from the request, by the schedule and the endpoint list as this sidecar knows them.
    ///
    /// # Errors
    /// What of the request cannot be used.
    pub(super) fn effect(
        &self,
        schedule: &MaintenanceSchedule,
        endpoints: &[EndpointRecord],
    ) -> Result<Effect, RequestError> {
        match self {
            Self::CreateList(settings) => create_list(settings, endpoints),
            Self::PauseList(list) => {
                let list = known_list(schedule, *list)?;
                Ok(Effect::Propose(vec![Command::PauseList { list }]))
            }
            Self::ResumeList(list) => {
                let list = known_list(schedule, *list)?;
                Ok(Effect::Propose(vec![Command::ResumeList { list }]))
            }
            Self::WithdrawList(list) => {
                let list = known_list(schedule, *list)?;
                Ok(Effect::Propose(vec![Command::WithdrawList { list }]))
            }
            Self::SidecarGone(name) => sidecar_gone(schedule, name),
            Self::AddVoter(name) => change_voter(name, true),
            Self::RemoveVoter(name) => change_voter(name, false),
            Self::ReportWork { grant, report } => report_work(schedule, *grant, *report),
        }
    }
}

fn create_list(settings: &WorkList, endpoints: &[EndpointRecord]) -> Result<Effect, RequestError> {
    if let Some(error) = settings.config_errors().into_iter().next() {
        return Err(RequestError::InvalidList(error));
    }
    // Short enough to be typed; a number that another list has is rejected by the schedule.
    let list = u64::from(rand::random::<u32>());
    let commands = list_commands::create_list(Identifier(list), settings, endpoints)?;
    Ok(Effect::CreateList { list, commands })
}

fn known_list(schedule: &MaintenanceSchedule, list: u64) -> Result<Identifier, RequestError> {
    let id = Identifier(list);
    if schedule.lists().contains_key(&id) {
        Ok(id)
    } else {
        Err(RequestError::UnknownList(list))
    }
}

fn sidecar_gone(schedule: &MaintenanceSchedule, name: &str) -> Result<Effect, RequestError> {
    let Some(incarnation) = schedule.sidecars().get(name) else {
        return Err(RequestError::UnknownSidecar(name.to_owned()));
    };
    Ok(Effect::Propose(vec![Command::SidecarGone {
        name: name.to_owned(),
        incarnation: *incarnation,
    }]))
}

fn change_voter(name: &str, is_voter: bool) -> Result<Effect, RequestError> {
    if name.is_empty() || name.len() > MAX_SIDECAR_NAME_BYTES {
        return Err(RequestError::InvalidSidecarName);
    }
    Ok(Effect::ChangeVoter {
        name: name.to_owned(),
        is_voter,
    })
}

fn report_work(
    schedule: &MaintenanceSchedule,
    grant: u64,
    report: WorkReport,
) -> Result<Effect, RequestError> {
    let id = Identifier(grant);
    if schedule.machine_with_grant(id).is_none() {
        return Err(RequestError::UnknownGrant(grant));
    }
    let command = match report {
        WorkReport::Began => Command::WorkBegan { grant: id },
        WorkReport::Succeeded => Command::WorkEnded {
            grant: id,
            succeeded: true,
        },
        WorkReport::Failed => Command::WorkEnded {
            grant: id,
            succeeded: false,
        },
    };
    Ok(Effect::Propose(vec![command]))
}
