//! What is settled about work, as bytes.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

pub const MOST_LISTS: usize = 16;
/// Machines of one list, at most.
pub const MOST_MACHINES: usize = 1000;
const MOST_NAME: usize = 40;
const MOST_PAIRS: usize = 64;
const VERSION: u8 = 2;

/// A list's number, drawn by whoever takes it in, or a grant's: the place in the log of the word that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number(pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub strength: f64,
}

/// How much may be out at once; strength counts machines that are ready and warm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    pub out: u16,
    pub out_in_zone: u16,
    pub out_of_kind: u16,
    /// The part of all strength that stays ready and warm, at the least.
    pub ready_part: f64,
    /// Pairs of machines, by name, that may not be out together.
    pub apart: Vec<(String, String)>,
    /// While sidecars turn away a larger part of their hits nothing more goes, 0 to 1.
    pub turned_away: f64,
}

/// From and to, in milliseconds of the log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    pub from: u64,
    pub to: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub name: String,
    pub limits: Limits,
    /// How long the work takes, and when it counts as stalled, in milliseconds.
    pub takes: u64,
    pub stalls_after: u64,
    /// None: at any time.
    pub windows: Vec<Window>,
    /// Higher goes first.
    pub priority: u8,
    /// Whether work goes on beside a release on trial.
    pub beside_trials: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A list with so many machines, which follow in parts.
    Ask {
        list: Number,
        terms: Terms,
        machines: u16,
    },
    Machines {
        list: Number,
        first: u16,
        machines: Vec<Machine>,
    },
    /// All sidecars know the list's machines: those without a lease send to none of them.
    Known {
        list: Number,
    },
    Hold {
        list: Number,
    },
    GoOn {
        list: Number,
    },
    /// Nothing more goes out for it; what is out is brought back.
    Withdraw {
        list: Number,
    },
    /// The log's time, and what whoever leads sees of the fleet.
    Seen {
        at: u64,
        seen: crate::limits::Seen,
    },
    Grant {
        list: Number,
        machine: String,
    },
    /// A sidecar of this start runs; an earlier start of its name does not any more.
    Here {
        name: String,
        start: u64,
    },
    /// This start of it runs no more: it said so, or an operator does.
    Gone {
        name: String,
        start: u64,
    },
    /// Nobody sends there any more: it may be worked on.
    Out {
        grant: Number,
    },
    /// What the machine says: the work began, ended, or failed.
    Began {
        grant: Number,
    },
    Worked {
        grant: Number,
        well: bool,
    },
    /// It serves again, and is warm.
    Warm {
        grant: Number,
    },
    /// It was granted and is not to go out after all.
    Recall {
        grant: Number,
    },
}

/// What sidecars and whoever leads say to each other about leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Talk {
    /// A sidecar of this start asks for its lease; up to where it has read, of which grants' machines it is clear, and how many
    /// in a thousand of its last hits it turned away.
    Ask {
        start: u64,
        no: u64,
        read: u64,
        clear: Vec<Number>,
        turned_away: u16,
    },
    /// It has it, once it has read all up to here.
    Lease { no: u64, settled: u64 },
    /// It leaves, and sends nothing any more.
    Leaves { start: u64 },
    /// A word to be settled, from one that leads not.
    Settle { word: Vec<u8> },
    /// An operator gives this sidecar a vote, or takes it.
    Vote { name: String, has: bool },
}

impl Talk {
    pub fn write(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        Ok(decode(VERSION, bytes)?)
    }
}

/// Why a word can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("another version")]
    Version,
    #[error("it can't be read")]
    Damaged,
    #[error("a name, a number or a part beyond its bounds")]
    Bounds,
}

impl From<DecodeError> for Unreadable {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Damaged,
        }
    }
}

fn machine_fits(machine: &Machine) -> bool {
    let named = [&machine.name, &machine.zone, &machine.kind]
        .iter()
        .all(|name| name.len() <= MOST_NAME);
    named && !machine.name.is_empty() && (0.0..=1e6).contains(&machine.strength)
}

fn terms_fit(terms: &Terms) -> bool {
    let limits = &terms.limits;
    let part = [limits.ready_part, limits.turned_away]
        .iter()
        .all(|part| (0.0..=1.0).contains(part));
    let pairs = limits.apart.len() <= MOST_PAIRS;
    let windows = terms.windows.len() <= MOST_PAIRS && terms.windows.iter().all(|w| w.from < w.to);
    part && pairs && windows && terms.name.len() <= MOST_NAME && limits.out > 0
}

impl Word {
    pub fn write(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        let word: Self = decode(VERSION, bytes)?;
        let sound = match &word {
            Word::Ask {
                terms, machines, ..
            } => terms_fit(terms) && usize::from(*machines) <= MOST_MACHINES,
            Word::Machines { machines, .. } => machines.iter().all(machine_fits),
            Word::Seen { seen, .. } => seen.fits(),
            Word::Grant { machine, .. } => machine.len() <= MOST_NAME,
            Word::Here { name, .. } | Word::Gone { name, .. } => name.len() <= 64,
            _ => true,
        };
        sound.then_some(word).ok_or(Unreadable::Bounds)
    }
}
