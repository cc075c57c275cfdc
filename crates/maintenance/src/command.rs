//! Commands of the replicated log.
//!
//! Commands are encoded with postcard, which goes by the order of fields and variants: append, never reorder.

use crate::fleet_summary::FleetSummary;
use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Lists that are stored at most.
pub const MAX_LISTS: usize = 16;
/// Machines of one list at most.
pub const MAX_MACHINES: usize = 1000;
/// Longest name of a list, machine, zone or kind, in bytes.
const MAX_NAME_BYTES: usize = 40;
/// Longest name of a sidecar, in bytes.
const MAX_SIDECAR_NAME_BYTES: usize = 64;
/// Pairs of machines, and windows, of one list at most.
const MAX_PAIRS: usize = 64;
/// Largest capacity of one machine.
const MAX_MACHINE_CAPACITY: f64 = 1e6;
/// Version of the encoding of commands and messages.
pub(crate) const FORMAT_VERSION: u8 = 2;

/// Identifies a list (drawn by the sidecar that accepts it) or a grant (the index of its command in the log).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identifier(pub u64);

/// A machine on a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name, by which it is the same on all lists.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// Its kind, as the operators name it.
    pub kind: String,
    /// Its capacity, in the unit of the endpoint list.
    pub capacity: f64,
}

/// How many machines may be unavailable at once; a limit of 0 per zone or kind is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisruptionLimits {
    /// Machines that may be unavailable at once.
    pub max_unavailable: u16,
    /// Machines of one zone that may be unavailable at once.
    pub max_unavailable_per_zone: u16,
    /// Machines of one kind that may be unavailable at once.
    pub max_unavailable_per_kind: u16,
    /// Part of all capacity that has to stay ready and warm, 0 to 1.
    pub min_ready_fraction: f64,
    /// Pairs of machines, by name, that may not be unavailable together.
    pub exclusive_pairs: Vec<(String, String)>,
    /// No machine is taken out while sidecars reject a larger part of their requests, 0 to 1.
    pub max_rejection_rate: f64,
}

/// A maintenance window, in milliseconds of the log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Work may begin from here on.
    pub start_ms: u64,
    /// Work has to be over by here.
    pub end_ms: u64,
}

/// Configuration of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListConfig {
    /// The list's name, for operators.
    pub name: String,
    /// Limits that hold while one of the list's machines is unavailable.
    pub limits: DisruptionLimits,
    /// How long the work on a machine takes, in milliseconds.
    pub work_duration_ms: u64,
    /// How long a machine may be in maintenance before it is reported as stalled, in milliseconds.
    pub stall_timeout_ms: u64,
    /// When machines may be taken out; empty: at any time.
    pub windows: Vec<Window>,
    /// Lists of higher priority go first.
    pub priority: u8,
    /// Whether machines may be taken out while a release is on trial.
    pub allowed_during_trials: bool,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a list; its machines follow in parts.
    CreateList {
        /// The new list.
        list: Identifier,
        /// Its configuration.
        config: ListConfig,
        /// How many machines it will have.
        machine_count: u16,
    },
    /// Adds the next machines to a list.
    AddMachines {
        /// The list.
        list: Identifier,
        /// How many machines the list has before.
        first: u16,
        /// The machines.
        machines: Vec<Machine>,
    },
    /// All sidecars know the list's machines: those without a lease send to none of them.
    ListKnown {
        /// The list.
        list: Identifier,
    },
    /// No more machines of the list are taken out until it is resumed.
    PauseList {
        /// The list.
        list: Identifier,
    },
    /// Ends a pause.
    ResumeList {
        /// The list.
        list: Identifier,
    },
    /// No more machines of the list are taken out; those that are out are brought back.
    WithdrawList {
        /// The list.
        list: Identifier,
    },
    /// Sets the log's time and the leader's view of the fleet.
    Observe {
        /// The log's time, in milliseconds.
        at_ms: u64,
        /// The leader's view.
        summary: FleetSummary,
    },
    /// Grants that a machine is taken out; the command's index is the grant's identifier.
    Grant {
        /// The list.
        list: Identifier,
        /// The machine's name.
        machine: String,
    },
    /// A process of a sidecar runs; earlier ones of its name do not any more.
    SidecarStarted {
        /// The sidecar's name.
        name: String,
        /// Number of the process: later ones have greater numbers.
        incarnation: u64,
    },
    /// A process of a sidecar does not run any more, as itself or an operator reports.
    SidecarGone {
        /// The sidecar's name.
        name: String,
        /// Number of the process.
        incarnation: u64,
    },
    /// No sidecar sends to the machine any more: it may be worked on.
    Drained {
        /// The machine's grant.
        grant: Identifier,
    },
    /// The machine reports that the work began.
    WorkBegan {
        /// The machine's grant.
        grant: Identifier,
    },
    /// The machine reports that the work ended.
    WorkEnded {
        /// The machine's grant.
        grant: Identifier,
        /// Whether it succeeded.
        succeeded: bool,
    },
    /// The machine serves again, and is warm.
    WarmedUp {
        /// The machine's grant.
        grant: Identifier,
    },
    /// The machine was granted and is not to be taken out after all.
    RevokeGrant {
        /// The machine's grant.
        grant: Identifier,
    },
}

/// Why bytes are no usable command or message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The bytes were written by a version with another format.
    #[error("the bytes have another format version than {FORMAT_VERSION}")]
    Version,
    /// The bytes don't decode.
    #[error("the bytes are no command or message of maintenance")]
    Malformed,
    /// They decode, but a value is out of bounds.
    #[error("a name, a number or a part is out of bounds")]
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
            && self.exclusive_pairs.len() <= MAX_PAIRS
            && self.max_unavailable > 0
    }
}

impl ListConfig {
    fn is_valid(&self) -> bool {
        self.limits.is_valid()
            && self.windows.len() <= MAX_PAIRS
            && self
                .windows
                .iter()
                .all(|window| window.start_ms < window.end_ms)
            && self.name.len() <= MAX_NAME_BYTES
    }
}

impl Command {
    /// The command's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// Decodes a command and checks its bounds.
    ///
    /// # Errors
    /// The bytes are of another format version, malformed or out of bounds.
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
