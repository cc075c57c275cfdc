//! Contents of entries: records that sidecars exchange about keys, requests and rollout stages.
//!
//! Records are encoded with postcard, which depends on the order of fields and variants: append,
//! never reorder.

use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The build receives a limited fraction of the traffic.
    OnTrial,
    /// The build may receive all traffic.
    Released,
    /// Traffic is being moved off the build.
    RollingBack,
    /// The rollback is complete.
    RolledBack,
}

/// State of a build's rollout as announced by the rollout service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Increases with each announcement of the rollout service; 0 if it does not number them.
    pub number: u64,
    /// The build being rolled out.
    pub build: u16,
    /// Index of the stage in the rollout's configuration.
    pub stage: u8,
    /// State of the rollout.
    pub phase: Phase,
    /// Largest fraction of the traffic that the build may receive, 0 to 1.
    pub cap: f64,
}

/// Format of the proxies' state page. Other programs parse it, so its names must not change.
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
    /// It is proven that no attempt ran.
    NeverRan,
}

/// Decoded content of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A build answered a request with a routing key.
    KeyServed {
        /// Hash of the routing key.
        key: u64,
        /// The build that answered.
        build: u16,
    },
    /// The state of the attempts of a request that must not run twice.
    Execution {
        /// Hash of the request's idempotency key.
        idempotency_key: u64,
        /// Whether the request may have run.
        mark: ExecutionMark,
    },
    /// The rollout service announced a rollout stage.
    Stage(Stage),
}

impl Record {
    /// Returns the number of the record's kind, as stored in [`Entry::kind`](crate::Entry::kind).
    pub fn kind(&self) -> u8 {
        match self {
            Record::KeyServed { .. } => 1,
            Record::Execution { .. } => 2,
            Record::Stage(_) => 3,
        }
    }

    /// Encodes the record as an entry's body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an entry's body. Returns `None` if its kind or format is unknown to this version of
    /// the program.
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
