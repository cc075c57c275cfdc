//! What the checks found.

use crate::balance::Balance;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one answer within its time.
    OneAnswer,
    /// A request that is not idempotent takes effect once.
    NoEffectTwice,
    /// A draining pod gets nothing new after the grace.
    Draining,
    /// A pod that warms up is not overloaded.
    SlowStart,
    /// A canary gets no more than its share.
    Exposure,
}

impl Rule {
    /// All rules, by their numbers.
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

/// Something in the record that must not be.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Since the start of the day.
    pub at: Duration,
    /// What happened, with the numbers to find it in the record.
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

/// What was found of one rule.
#[derive(Clone, Debug)]
pub struct RuleResult {
    /// The rule.
    pub rule: Rule,
    /// How many cases the rule was checked on.
    pub checked: usize,
    /// What such a case is.
    pub case: &'static str,
    /// The case that came nearest to a violation, in the rule's own unit.
    pub margin: String,
    /// All violations, in the order of the record.
    pub violations: Vec<Violation>,
}

impl RuleResult {
    /// Whether nothing violates the rule.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

/// How the day went for the clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceFigures {
    /// Requests, each counted once whatever its attempts.
    pub requests: usize,
    /// Those that were answered by a pod in the end.
    pub delivered: usize,
    /// Those that were refused in the end.
    pub rejected: usize,
    /// Those that ended in an error.
    pub failed: usize,
    /// The priority weight answered within the latency objective, as a part of all that was asked for; the time counts from the
    /// first attempt.
    pub weighted_part_in_time: f64,
}

/// All that is found of one record.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the day.
    pub day: String,
    /// One result for each rule, in the order of [`Rule::ALL`].
    pub results: Vec<RuleResult>,
    /// How the clients fared.
    pub service: ServiceFigures,
    /// How the load was spread.
    pub balance: Balance,
}

impl Report {
    /// Results of rules that were not kept.
    pub fn broken(&self) -> impl Iterator<Item = &RuleResult> {
        self.results.iter().filter(|result| !result.is_kept())
    }
}

/// A span as violations and margins print it.
pub(crate) fn milliseconds(span: Duration) -> String {
    format!("{:.1} ms", span.as_secs_f64() * 1e3)
}
