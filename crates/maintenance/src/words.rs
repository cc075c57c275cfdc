//! What is settled about work, as bytes.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

pub const MAX_LISTS: usize = 16;
/// Machines of one list, at most.
pub const MAX_MACHINES: usize = 1000;
const MAX_NAME_BYTES: usize = 40;
const MAX_PAIRS: usize = 64;
const FORMAT_VERSION: u8 = 2;

/// A list's number, drawn by whoever takes it in, or a grant's: the place in the log of the word that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identifier(pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub capacity: f64,
}

/// How much may be out at once; strength counts machines that are ready and warm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisruptionLimits {
    pub max_unavailable: u16,
    pub max_unavailable_per_zone: u16,
    pub max_unavailable_per_kind: u16,
    /// The part of all strength that stays ready and warm, at the least.
    pub min_ready_fraction: f64,
    /// Pairs of machines, by name, that may not be out together.
    pub exclusive_pairs: Vec<(String, String)>,
    /// While sidecars turn away a larger part of their hits nothing more goes, 0 to 1.
    pub max_rejection_rate: f64,
}

/// From and to, in milliseconds of the log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    pub start_ms: u64,
    pub end_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListConfig {
    pub name: String,
    pub limits: DisruptionLimits,
    /// How long the work takes, and when it counts as stalled, in milliseconds.
    pub work_duration_ms: u64,
    pub stall_timeout_ms: u64,
    /// None: at any time.
    pub windows: Vec<Window>,
    /// Higher goes first.
    pub priority: u8,
    /// Whether work goes on beside a release on trial.
    pub allowed_during_trials: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A list with so many machines, which follow in parts.
    CreateList {
        list: Identifier,
        config: ListConfig,
        machine_count: u16,
    },
    AddMachines {
        list: Identifier,
        first: u16,
        machines: Vec<Machine>,
    },
    /// All sidecars know the list's machines: those without a lease send to none of them.
    ListKnown {
        list: Identifier,
    },
    PauseList {
        list: Identifier,
    },
    ResumeList {
        list: Identifier,
    },
    /// Nothing more goes out for it; what is out is brought back.
    WithdrawList {
        list: Identifier,
    },
    /// The log's time, and what whoever leads sees of the fleet.
    Observe {
        at_ms: u64,
        summary: crate::limits::FleetSummary,
    },
    Grant {
        list: Identifier,
        machine: String,
    },
    /// A sidecar of this start runs; an earlier start of its name does not any more.
    SidecarStarted {
        name: String,
        incarnation: u64,
    },
    /// This start of it runs no more: it said so, or an operator does.
    SidecarGone {
        name: String,
        incarnation: u64,
    },
    /// Nobody sends there any more: it may be worked on.
    Drained {
        grant: Identifier,
    },
    /// What the machine says: the work began, ended, or failed.
    WorkBegan {
        grant: Identifier,
    },
    WorkEnded {
        grant: Identifier,
        succeeded: bool,
    },
    /// It serves again, and is warm.
    WarmedUp {
        grant: Identifier,
    },
    /// It was granted and is not to go out after all.
    RevokeGrant {
        grant: Identifier,
    },
}

/// What sidecars and whoever leads say to each other about leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sidecar of this start asks for its lease; up to where it has read, of which grants' machines it is clear, and how many
    /// in a thousand of its last hits it turned away.
    LeaseRequest {
        incarnation: u64,
        request: u64,
        applied_index: u64,
        drained: Vec<Identifier>,
        rejected_per_mille: u16,
    },
    /// It has it, once it has read all up to here.
    LeaseResponse { request: u64, commit_index: u64 },
    /// It leaves, and sends nothing any more.
    Leave { incarnation: u64 },
    /// A word to be settled, from one that leads not.
    Propose { command: Vec<u8> },
    /// An operator gives this sidecar a vote, or takes it.
    ChangeVote { name: String, is_voter: bool },
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        Ok(decode(FORMAT_VERSION, bytes)?)
    }
}

/// Why a word can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    #[error("another version")]
    Version,
    #[error("it can't be read")]
    Malformed,
    #[error("a name, a number or a part beyond its bounds")]
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

fn is_machine_valid(machine: &Machine) -> bool {
    let named = [&machine.name, &machine.zone, &machine.kind]
        .iter()
        .all(|name| name.len() <= MAX_NAME_BYTES);
    named && !machine.name.is_empty() && (0.0..=1e6).contains(&machine.capacity)
}

fn is_config_valid(terms: &ListConfig) -> bool {
    let limits = &terms.limits;
    let part = [limits.min_ready_fraction, limits.max_rejection_rate]
        .iter()
        .all(|part| (0.0..=1.0).contains(part));
    let pairs = limits.exclusive_pairs.len() <= MAX_PAIRS;
    let windows =
        terms.windows.len() <= MAX_PAIRS && terms.windows.iter().all(|w| w.start_ms < w.end_ms);
    part && pairs && windows && terms.name.len() <= MAX_NAME_BYTES && limits.max_unavailable > 0
}

impl Command {
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        let word: Self = decode(FORMAT_VERSION, bytes)?;
        let sound = match &word {
            Command::CreateList {
                config: terms,
                machine_count: machines,
                ..
            } => is_config_valid(terms) && usize::from(*machines) <= MAX_MACHINES,
            Command::AddMachines { machines, .. } => machines.iter().all(is_machine_valid),
            Command::Observe { summary: seen, .. } => seen.is_valid(),
            Command::Grant { machine, .. } => machine.len() <= MAX_NAME_BYTES,
            Command::SidecarStarted { name, .. } | Command::SidecarGone { name, .. } => {
                name.len() <= 64
            }
            _ => true,
        };
        sound.then_some(word).ok_or(FormatError::OutOfBounds)
    }
}
