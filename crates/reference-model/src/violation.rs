//! What a broken rule is reported as.

use std::fmt;
use std::time::Duration;

/// The rules that the model keeps, by the numbers that the pages give them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Not one of the five: a limit that the design sets itself.
    Design = 0,
    /// Every request gets one answer, in time, and nothing after it.
    OneAnswer = 1,
    /// No request that is not idempotent takes effect twice.
    NoRepeatedEffect = 2,
    /// Pods that drain or are gone get nothing once the grace is over.
    Draining = 3,
    /// Pods that are warming up get no more than they can bear.
    SlowStart = 4,
    /// A build on trial gets no more than its share.
    Exposure = 5,
}

impl Rule {
    /// The rule's number.
    #[must_use]
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// A rule that an action broke.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The index of the sidecar that acted.
    pub sidecar: usize,
    /// When it acted.
    pub at: Duration,
    /// What it did, and what the rule allows.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {} at {:?} by sidecar {}: {}",
            self.rule.number(),
            self.at,
            self.sidecar,
            self.description
        )
    }
}

impl std::error::Error for Violation {}

/// A broken rule, before it is known who broke it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RuleBroken {
    rule: Rule,
    description: String,
}

impl RuleBroken {
    pub(crate) fn new(rule: Rule, description: String) -> Self {
        Self { rule, description }
    }

    pub(crate) fn by(self, sidecar: usize, at: Duration) -> Violation {
        Violation {
            rule: self.rule,
            sidecar,
            at,
            description: self.description,
        }
    }
}
