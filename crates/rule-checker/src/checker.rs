//! Runs the checks of all five rules over a whole record.

use crate::balance::balance;
use crate::record::{Event, RecordLine, RuleLimits};
use crate::report::Report;
use crate::rules::{draining, exposure, no_effect_twice, one_answer, slow_start};
use crate::service::service_figures;
use crate::stalls::RecorderStalls;

/// Checks one record against the five rules.
///
/// The record's times are those of the clients and pods: a request is recorded when the client writes it (before the sidecar reads
/// it), an attempt when the pod has read it (after the sidecar sent it). Each check allows for these delays and for nothing more.
#[derive(Debug)]
pub struct RuleChecker<'a> {
    day: &'a str,
    limits: &'a RuleLimits,
    lines: &'a [RecordLine],
    stalls: RecorderStalls,
}

impl<'a> RuleChecker<'a> {
    /// Creates a checker of lines as [`crate::record::read`] returns them; `None` if the first line is not [`Event::Begin`].
    #[must_use]
    pub fn new(lines: &'a [RecordLine]) -> Option<Self> {
        let Event::Begin { day, limits } = &lines.first()?.event else {
            return None;
        };
        Some(Self {
            day,
            limits,
            lines,
            stalls: RecorderStalls::from_lines(lines),
        })
    }

    /// Checks each rule on its own, and measures the quality of service and the load balance.
    #[must_use]
    pub fn report(&self) -> Report {
        let Self {
            lines,
            limits,
            stalls,
            ..
        } = self;
        Report {
            day: self.day.to_owned(),
            results: vec![
                one_answer::check(lines, limits, stalls),
                no_effect_twice::check(lines, limits),
                draining::check(lines, limits, stalls),
                slow_start::check(lines, limits, stalls),
                exposure::check(lines, limits, stalls),
            ],
            service: service_figures(lines, limits),
            balance: balance(lines),
        }
    }
}
