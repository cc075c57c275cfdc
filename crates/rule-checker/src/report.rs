//! Results of the checks.

use crate::balance::Balance;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request is answered once, and in time.
    OneAnswer,
    /// A non-idempotent request takes effect at most once.
    NoEffectTwice,
    /// A draining pod receives no new attempts after the grace period.
    Draining,
    /// A pod that is warming up is not overloaded.
    SlowStart,
    /// A canary receives no more than its share of the requests.
    Exposure,
}

impl Rule {
    /// All rules, in the order of their numbers.
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::Draining,
        Rule::SlowStart,
        Rule::Exposure,
    ];
}

impl Display for Rule {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "1 one answer in time",
            Rule::NoEffectTwice => "2 no effect twice",
            Rule::Draining => "3 drains kept",
            Rule::SlowStart => "4 cold pods",
            Rule::Exposure => "5 exposure",
        })
    }
}

/// One violation of a rule or limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Time since the start of the day.
    pub at: Duration,
    /// Description, with the identifiers to find the events in the record.
    pub text: String,
}

/// Violations in the order of the record.
#[derive(Debug, Default)]
pub(crate) struct Violations(Vec<Violation>);

impl Violations {
    pub(crate) fn add(&mut self, at: Duration, text: String) {
        self.0.push(Violation { at, text });
    }

    pub(crate) fn into_vec(self) -> Vec<Violation> {
        self.0
    }
}

/// Result of the check of one rule.
#[derive(Clone, Debug)]
pub struct RuleResult {
    /// The rule.
    pub rule: Rule,
    /// Number of cases that were checked.
    pub checked: usize,
    /// What is counted as a case.
    pub case: &'static str,
    /// Smallest distance of a case to a violation, in the rule's own unit.
    pub margin: String,
    /// All violations, in the order of the record.
    pub violations: Vec<Violation>,
}

impl RuleResult {
    /// Returns whether there are no violations.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Quality of service as seen by the clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceFigures {
    /// Requests; attempts for the same request count once.
    pub requests: usize,
    /// Requests that a pod answered in the end.
    pub delivered: usize,
    /// Requests that were rejected in the end.
    pub rejected: usize,
    /// Requests that failed in the end.
    pub failed: usize,
    /// Fraction of the total priority weight that was answered within the latency objective, measured from the first attempt of
    /// each request.
    pub weighted_on_time_fraction: f64,
}

/// Results of all checks of one record.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the day.
    pub day: String,
    /// One result for each rule, in the order of [`Rule::ALL`].
    pub results: Vec<RuleResult>,
    /// Quality of service as seen by the clients.
    pub service: ServiceFigures,
    /// How evenly the load was spread over the pods.
    pub balance: Balance,
}

impl Report {
    /// Returns the results of the rules that were violated.
    pub fn violated_results(&self) -> impl Iterator<Item = &RuleResult> {
        self.results.iter().filter(|result| !result.is_kept())
    }
}

/// Formats a duration as violations and margins print it.
pub(crate) fn format_milliseconds(duration: Duration) -> String {
    format!("{:.1} ms", duration.as_secs_f64() * 1e3)
}
