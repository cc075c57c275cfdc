//! Commands of the replicated log.
//!
//! Commands are encoded with postcard, which identifies fields and variants by their order. New
//! ones are only appended, and existing ones are never reordered.

use crate::fleet_summary::FleetSummary;
use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Maximum number of stored lists.
pub const MAX_LISTS: usize = 16;
/// Maximum number of machines on a list.
pub const MAX_MACHINES: usize = 1000;
/// Maximum length of the name of a list, machine, zone or kind, in bytes.
const MAX_NAME_BYTES: usize = 40;
/// Maximum length of a sidecar's name in bytes.
const MAX_SIDECAR_NAME_BYTES: usize = 64;
/// Maximum number of exclusive pairs, and of windows, of a list.
const MAX_PAIRS_OR_WINDOWS: usize = 64;
/// Maximum capacity of a machine.
const MAX_MACHINE_CAPACITY: f64 = 1e6;
/// Version of the encoding of commands and messages.
pub(crate) const FORMAT_VERSION: u8 = 2;

/// Identifies a list or a grant. The identifier of a list is drawn at random by the sidecar that
/// accepts the list; the identifier of a grant is the log index of its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identifier(pub u64);

/// A machine on a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// The name of the machine, which identifies it on all lists.
    pub name: String,
    /// The zone of the machine.
    pub zone: String,
    /// The kind of the machine, as named by the operators.
    pub kind: String,
    /// The capacity of the machine, in the unit of the endpoint list.
    pub capacity: f64,
}

/// Limits on the number of machines that may be unavailable at once. A limit of 0 per zone or per
/// kind means no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisruptionLimits {
    /// Maximum number of unavailable machines.
    pub max_unavailable: u16,
    /// Maximum number of unavailable machines in one zone.
    pub max_unavailable_per_zone: u16,
    /// Maximum number of unavailable machines of one kind.
    pub max_unavailable_per_kind: u16,
    /// Minimum fraction of the total capacity that has to stay ready and warm, from 0 to 1.
    pub min_ready_fraction: f64,
    /// Pairs of machine names that may not be unavailable at the same time.
    pub exclusive_pairs: Vec<(String, String)>,
    /// Maximum fraction of requests that sidecars may reject, from 0 to 1. Above it no machine is
    /// taken out of service.
    pub max_rejection_rate: f64,
}

/// A maintenance window, in milliseconds of log time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Time from which work may begin.
    pub start_ms: u64,
    /// Time by which work has to be finished.
    pub end_ms: u64,
}

/// Configuration of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListConfig {
    /// The name of the list, for operators.
    pub name: String,
    /// Limits that apply while a machine of the list is unavailable.
    pub limits: DisruptionLimits,
    /// Expected duration of the work on a machine, in milliseconds.
    pub work_duration_ms: u64,
    /// Time in maintenance after which a machine is reported as stalled, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Windows in which machines may be taken out of service; empty means at any time.
    pub windows: Vec<Window>,
    /// Priority of the list; lists with a higher priority go first.
    pub priority: u8,
    /// Whether machines may be taken out of service while a release is on trial.
    pub allowed_during_trials: bool,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a list. Its machines are added by further commands.
    CreateList {
        /// The identifier of the new list.
        list: Identifier,
        /// The configuration of the list.
        config: ListConfig,
        /// The total number of machines that will be added.
        machine_count: u16,
    },
    /// Adds the next machines to a list.
    AddMachines {
        /// The list.
        list: Identifier,
        /// The number of machines already on the list.
        first: u16,
        /// The machines to add.
        machines: Vec<Machine>,
    },
    /// Declares that all sidecars know the machines of the list, so that sidecars without a lease
    /// send to none of them.
    ListKnown {
        /// The list.
        list: Identifier,
    },
    /// Stops taking machines of the list out of service until the list is resumed.
    PauseList {
        /// The list.
        list: Identifier,
    },
    /// Resumes a paused list.
    ResumeList {
        /// The list.
        list: Identifier,
    },
    /// Withdraws the list: no more of its machines are taken out of service, and those that are
    /// unavailable return to service.
    WithdrawList {
        /// The list.
        list: Identifier,
    },
    /// Sets the log time and the leader's view of the fleet.
    Observe {
        /// The log time in milliseconds.
        at_ms: u64,
        /// The leader's view of the fleet.
        summary: FleetSummary,
    },
    /// Grants that a machine is taken out of service. The log index of the command is the
    /// identifier of the grant.
    Grant {
        /// The list.
        list: Identifier,
        /// The name of the machine.
        machine: String,
    },
    /// Records that a sidecar process is running and that earlier processes with the same name are
    /// not.
    SidecarStarted {
        /// The name of the sidecar.
        name: String,
        /// The incarnation of the process; later processes have greater numbers.
        incarnation: u64,
    },
    /// Records that a sidecar process is no longer running, as reported by the sidecar itself or by
    /// an operator.
    SidecarGone {
        /// The name of the sidecar.
        name: String,
        /// The incarnation of the process.
        incarnation: u64,
    },
    /// Records that no sidecar sends requests to the machine any more, so that work on it may
    /// begin.
    Drained {
        /// The grant of the machine.
        grant: Identifier,
    },
    /// The machine reports that the work began.
    WorkBegan {
        /// The grant of the machine.
        grant: Identifier,
    },
    /// The machine reports that the work ended.
    WorkEnded {
        /// The grant of the machine.
        grant: Identifier,
        /// Whether the work succeeded.
        succeeded: bool,
    },
    /// Records that the machine is serving again and is warm.
    WarmedUp {
        /// The grant of the machine.
        grant: Identifier,
    },
    /// Revokes the grant of a machine that is not in maintenance yet.
    RevokeGrant {
        /// The grant of the machine.
        grant: Identifier,
    },
}

/// The reason why bytes are not a valid command or message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The bytes have another format version.
    #[error("unsupported format version, expected version {FORMAT_VERSION}")]
    Version,
    /// The bytes cannot be decoded.
    #[error("the bytes are not a maintenance command or message")]
    Malformed,
    /// The bytes can be decoded, but a value is out of bounds.
    #[error("a name, number or element count is out of bounds")]
    OutOfBounds,
}

impl From<DecodeError> for FormatError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Malformed,
        }
    }
}

impl Machine {
    fn is_valid(&self) -> bool {
        let names = [&self.name, &self.zone, &self.kind];
        names.iter().all(|name| name.len() <= MAX_NAME_BYTES)
            && !self.name.is_empty()
            && (0.0..=MAX_MACHINE_CAPACITY).contains(&self.capacity)
    }
}

impl DisruptionLimits {
    fn is_valid(&self) -> bool {
        let fractions = [self.min_ready_fraction, self.max_rejection_rate];
        fractions
            .iter()
            .all(|fraction| (0.0..=1.0).contains(fraction))
            && self.exclusive_pairs.len() <= MAX_PAIRS_OR_WINDOWS
            && self.max_unavailable > 0
    }
}

impl ListConfig {
    fn is_valid(&self) -> bool {
        self.limits.is_valid()
            && self.windows.len() <= MAX_PAIRS_OR_WINDOWS
            && self
                .windows
                .iter()
                .all(|window| window.start_ms < window.end_ms)
            && self.name.len() <= MAX_NAME_BYTES
    }
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// Decodes a command and checks its bounds.
    ///
    /// # Errors
    /// The bytes have another format version, are malformed, or contain a value that is out of
    /// bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        let command: Self = decode(FORMAT_VERSION, bytes)?;
        if command.is_valid() {
            Ok(command)
        } else {
            Err(FormatError::OutOfBounds)
        }
    }

    fn is_valid(&self) -> bool {
        match self {
            Command::CreateList {
                config,
                machine_count,
                ..
            } => config.is_valid() && usize::from(*machine_count) <= MAX_MACHINES,
            Command::AddMachines { machines, .. } => machines.iter().all(Machine::is_valid),
            Command::Observe { summary, .. } => summary.is_valid(),
            Command::Grant { machine, .. } => machine.len() <= MAX_NAME_BYTES,
            Command::SidecarStarted { name, .. } | Command::SidecarGone { name, .. } => {
                name.len() <= MAX_SIDECAR_NAME_BYTES
            }
            _ => true,
        }
    }
}
