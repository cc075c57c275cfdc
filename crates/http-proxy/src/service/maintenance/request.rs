//! Requests from operators and machine agents through `POST /limewing/work`.

use super::list_commands;
use crate::endpoint_list::EndpointRecord;
use limewing_maintenance::{Command, Identifier, MaintenanceSchedule};
use limewing_settings::{ConfigError, ValidateConfig, WorkList};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a sidecar name, in bytes.
const MAX_SIDECAR_NAME_BYTES: usize = 32;

/// A maintenance request. The serialized names are part of the HTTP API.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MaintenanceRequest {
    /// Creates a list of machines that are taken out of service for maintenance.
    #[serde(rename = "ask")]
    CreateList(Box<WorkList>),
    /// Pauses a list: no more of its machines are taken out of service.
    #[serde(rename = "hold")]
    PauseList(u64),
    /// Resumes a paused list.
    #[serde(rename = "go_on")]
    ResumeList(u64),
    /// Withdraws a list: no more of its machines are taken out of service, and the others return when their work ends.
    #[serde(rename = "withdraw")]
    WithdrawList(u64),
    /// Declares that the named sidecar no longer runs and did not announce its departure.
    #[serde(rename = "gone")]
    SidecarGone(String),
    /// Makes the named sidecar a voter once it has caught up.
    #[serde(rename = "vote")]
    AddVoter(String),
    /// Removes the named sidecar from the voters.
    #[serde(rename = "unvote")]
    RemoveVoter(String),
    /// Reports the progress of the work on a machine; sent by its agent.
    #[serde(rename = "report")]
    ReportWork {
        /// The machine's grant.
        grant: u64,
        /// The reported progress.
        #[serde(rename = "said")]
        report: WorkReport,
    },
}

/// Progress of the work on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkReport {
    /// The work began.
    Began,
    /// The work succeeded.
    #[serde(rename = "worked")]
    Succeeded,
    /// The work failed. This list does not take the machine out of service again.
    Failed,
}

/// Why a request is rejected. The messages are part of the HTTP API.
#[derive(Debug, PartialEq, Error)]
pub(in crate::service) enum RequestError {
    /// The list's settings are invalid.
    #[error("at {}: {}", .0.path, .0.expected)]
    InvalidList(ConfigError),
    /// The named machines are not on the endpoint list.
    #[error("machines that are not on the node list: {0:?}")]
    UnknownMachines(Vec<String>),
    /// The list selects no machine from the endpoint list.
    #[error("no machine on the node list fits `select`")]
    NoMachineSelected,
    /// A machine exceeds the size limit of a command.
    #[error("a machine's name, zone or kind is too long")]
    MachineTooLong,
    /// The list's settings exceed the size limit of a command.
    #[error("limits, pairs and windows are too long together")]
    ListConfigTooLong,
    /// No list has this number.
    #[error("no list {0}")]
    UnknownList(u64),
    /// The log contains no sidecar of this name.
    #[error("no sidecar {0}")]
    UnknownSidecar(String),
    /// No grant has this number.
    #[error("no grant {0}")]
    UnknownGrant(u64),
    /// The text is not a valid sidecar name.
    #[error("expected a sidecar's name of 1 to {MAX_SIDECAR_NAME_BYTES} letters")]
    InvalidSidecarName,
    /// Too many commands are pending.
    #[error("too much is asked for at once")]
    TooManyRequests,
}

/// The effect of a request.
#[derive(Debug, PartialEq)]
pub(super) enum Effect {
    /// Commands to propose.
    Propose(Vec<Command>),
    /// A new list.
    CreateList {
        /// Number of the list.
        list: u64,
        /// Commands to propose that create the list.
        commands: Vec<Command>,
    },
    /// A voter change.
    ChangeVoter {
        /// The sidecar's name.
        name: String,
        /// Whether it becomes a voter.
        is_voter: bool,
    },
}

impl MaintenanceRequest {
    /// Returns the effect of the request, given this sidecar's view of the schedule and the endpoint list.
    ///
    /// # Errors
    /// The request is invalid.
    pub(super) fn effect(
        &self,
        schedule: &MaintenanceSchedule,
        endpoints: &[EndpointRecord],
    ) -> Result<Effect, RequestError> {
        match self {
            Self::CreateList(settings) => create_list(settings, endpoints),
            Self::PauseList(list) => {
                let list = find_list(schedule, *list)?;
                Ok(Effect::Propose(vec![Command::PauseList { list }]))
            }
            Self::ResumeList(list) => {
                let list = find_list(schedule, *list)?;
                Ok(Effect::Propose(vec![Command::ResumeList { list }]))
            }
            Self::WithdrawList(list) => {
                let list = find_list(schedule, *list)?;
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
    // 32 bits are short enough to type. The schedule rejects a number that another list already has.
    let list = u64::from(rand::random::<u32>());
    let commands = list_commands::create_list(Identifier(list), settings, endpoints)?;
    Ok(Effect::CreateList { list, commands })
}

fn find_list(schedule: &MaintenanceSchedule, list: u64) -> Result<Identifier, RequestError> {
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
