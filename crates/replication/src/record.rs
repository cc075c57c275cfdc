//! Contents of entries: what sidecars tell each other about keys, requests and rollout stages.
//!
//! Records are encoded with postcard, which goes by the order of fields and variants: append, never reorder.

use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The build gets a limited part of the traffic.
    OnTrial,
    /// The build may get all traffic.
    Released,
    /// Traffic is being moved off the build.
    RollingBack,
    /// The rollback is complete.
    RolledBack,
}

/// Where a build's rollout stands, as the installer announced it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Grows with each announcement of the installer; 0 if the installer does not number them.
    pub number: u64,
    /// The build that is rolled out.
    pub build: u16,
    /// Index of the stage in the rollout's configuration.
    pub stage: u8,
    /// State of the rollout.
    pub phase: Phase,
    /// Largest part of the traffic that the build may get, 0 to 1.
    pub cap: f64,
}

/// The form of the proxies' state page, which other programs read: its names stay as they are.
impl fmt::Display for Stage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let phase = match self.phase {
            Phase::OnTrial => "OnTrial",
            Phase::Released => "Released",
            Phase::RollingBack => "GoingBack",
            Phase::RolledBack => "Withdrawn",
        };
        write!(
            formatter,
            "Stage {{ number: {}, build: {}, stage: {}, phase: {phase}, cap: {:?} }}",
            self.number, self.build, self.stage, self.cap
        )
    }
}

/// Whether a request that must not run twice may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionMark {
    /// An attempt was sent, and nothing proves that it did not run.
    MayHaveRun,
    /// There is proof that no attempt ran.
    NeverRan,
}

/// The decoded content of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A build answered a request of a routing key.
    KeyServed {
        /// Hash of the routing key.
        key: u64,
        /// The build that answered.
        build: u16,
    },
    /// Attempts of a request that must not run twice.
    Execution {
        /// Hash of the request's idempotency key.
        idempotency_key: u64,
        /// Whether the request may have run.
        mark: ExecutionMark,
    },
    /// The installer announced a rollout stage.
    Stage(Stage),
}

impl Record {
    /// Number of the record's kind, as stored in [`Entry::kind`](crate::Entry::kind).
    pub fn kind(&self) -> u8 {
        match self {
            Record::KeyServed { .. } => 1,
            Record::Execution { .. } => 2,
            Record::Stage(_) => 3,
        }
    }

    /// The bytes of an entry's body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an entry's body; `None` if its kind or form is unknown to this version of the program.
    pub fn decode(kind: u8, body: &[u8]) -> Option<Self> {
        let record: Self = postcard::from_bytes(body).ok()?;
        if record.kind() == kind && record.is_valid() {
            Some(record)
        } else {
            None
        }
    }

    fn is_valid(&self) -> bool {
        match self {
            Record::Stage(stage) => (0.0..=1.0).contains(&stage.cap),
            Record::KeyServed { .. } | Record::Execution { .. } => true,
        }
    }
}
