//! What of a script cannot be used.

use crate::script::{ClockOffset, Fault, LinkConditions, Script, ScriptStep};
use crate::selector::Selector;
use std::ops::RangeInclusive;

/// How long a script may take, in seconds.
const SCRIPT_SECONDS: RangeInclusive<f64> = 0.1..=86_400.0;
/// How far a clock may be off, in seconds.
const CLOCK_OFFSET_SECONDS: RangeInclusive<f64> = -86_400.0..=86_400.0;
/// Delay and jitter of a link, in milliseconds.
const LINK_DELAY_MS: RangeInclusive<f64> = 0.0..=1e7;
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const VALID_CONDITIONS: &str = "parts from 0 to 1, milliseconds from 0, bytes a second from 0";

/// A value that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Where it is in the file, as a JSON pointer.
    pub path: String,
    /// What was expected there.
    pub expected: &'static str,
}

struct Validation {
    errors: Vec<ConfigError>,
}

impl Script {
    /// All values that cannot be used.
    pub fn config_errors(&self) -> Vec<ConfigError> {
        let mut validation = Validation { errors: Vec::new() };
        validation.require(
            SCRIPT_SECONDS.contains(&self.seconds),
            "/seconds".into(),
            "0.1 to 86400 seconds",
        );
        validation.require(self.conditions.is_valid(), "/line".into(), VALID_CONDITIONS);
        for (index, step) in self.steps.iter().enumerate() {
            validation.check_step(index, step, self.seconds);
        }
        for (index, offset) in self.clock_offsets.iter().enumerate() {
            validation.require(
                offset.is_valid(),
                format!("/clocks/{index}"),
                "some of the members, and up to 86400 seconds either way",
            );
        }
        validation.errors
    }
}

impl Validation {
    fn require(&mut self, is_valid: bool, path: String, expected: &'static str) {
        if !is_valid {
            self.errors.push(ConfigError { path, expected });
        }
    }

    fn check_step(&mut self, index: usize, step: &ScriptStep, script_seconds: f64) {
        self.require(
            (0.0..=script_seconds).contains(&step.at),
            format!("/steps/{index}/at"),
            "a time from 0 to the script's seconds",
        );
        if let Fault::ReplaceKeys { ids, .. } = &step.fault {
            let is_one = ids.len() == 1;
            let are_two = matches!(ids[..], [first, second] if first != second);
            self.require(
                is_one || are_two,
                format!("/steps/{index}/does/keys/ids"),
                "one key or two",
            );
        }
        self.require(
            selectors(&step.fault).iter().all(|s| s.is_valid()),
            format!("/steps/{index}/does"),
            "a part of the fleet from 0 to 1, its end not before its begin",
        );
        if let Fault::ChangeLinks { conditions, .. } = &step.fault {
            self.require(
                conditions.is_valid(),
                format!("/steps/{index}/does/change/line"),
                VALID_CONDITIONS,
            );
        }
    }
}

fn selectors(fault: &Fault) -> Vec<&Selector> {
    match fault {
        Fault::Partition { from, to, .. } | Fault::ChangeLinks { from, to, .. } => vec![from, to],
        Fault::Kill(members)
        | Fault::Leave(members)
        | Fault::Suspend(members)
        | Fault::Resume(members)
        | Fault::Start(members)
        | Fault::LoseDisk(members)
        | Fault::FillDisk(members)
        | Fault::FreeDisk(members)
        | Fault::ReplaceKeys { members, .. }
        | Fault::SendNoise { to: members, .. } => vec![members],
        Fault::HealPartitions => Vec::new(),
    }
}

impl LinkConditions {
    fn is_valid(&self) -> bool {
        FRACTION.contains(&self.loss)
            && FRACTION.contains(&self.duplicate)
            && FRACTION.contains(&self.corrupt)
            && LINK_DELAY_MS.contains(&self.delay_ms)
            && LINK_DELAY_MS.contains(&self.jitter_ms)
            && self.bytes_per_second >= 0.0
    }
}

impl ClockOffset {
    fn is_valid(&self) -> bool {
        self.members.is_valid() && CLOCK_OFFSET_SECONDS.contains(&self.seconds)
    }
}
