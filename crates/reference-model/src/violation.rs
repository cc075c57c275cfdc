//! The rules, and reports of their violations.

use std::fmt;
use std::time::Duration;

/// A rule that the model checks, numbered as in the documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A limit of the design that is not one of the five rules.
    Design = 0,
    /// Every request gets exactly one answer before its deadline, and nothing is sent after it.
    OneAnswer = 1,
    /// No non-idempotent request takes effect twice.
    NoRepeatedEffect = 2,
    /// Draining and removed pods get no attempts after the grace period.
    Draining = 3,
    /// Pods in slow start get no more load than they can handle.
    SlowStart = 4,
    /// A build on trial gets no more than its share of the requests.
    Exposure = 5,
}

impl Rule {
    /// Returns the number of the rule.
    #[must_use]
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// A rule violation by a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The index of the sidecar that violated the rule.
    pub sidecar: usize,
    /// The time of the violation.
    pub at: Duration,
    /// A description of the action and of the limit it exceeds.
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

/// A rule violation that is not yet attributed to a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnattributedViolation {
    rule: Rule,
    description: String,
}

impl UnattributedViolation {
    pub(crate) fn new(rule: Rule, description: String) -> Self {
        Self { rule, description }
    }

    pub(crate) fn by_sidecar(self, sidecar: usize, at: Duration) -> Violation {
        Violation {
            rule: self.rule,
            sidecar,
            at,
            description: self.description,
        }
    }
}
