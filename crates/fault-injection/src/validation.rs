//! Detects invalid values in a script.

use crate::script::{ClockOffset, Fault, LinkConditions, Script, ScriptStep};
use crate::selector::Selector;
use std::ops::RangeInclusive;

/// Valid duration of a script, in seconds.
const SCRIPT_SECONDS: RangeInclusive<f64> = 0.1..=86_400.0;
/// Valid offset of a clock, in seconds.
const CLOCK_OFFSET_SECONDS: RangeInclusive<f64> = -86_400.0..=86_400.0;
/// Valid delay and jitter of a link, in milliseconds.
const LINK_DELAY_MS: RangeInclusive<f64> = 0.0..=1e7;
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const VALID_CONDITIONS: &str =
    "fractions from 0 to 1, milliseconds from 0 to 1e7, bytes per second from 0";

/// An invalid value.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Location of the value in the file, as a JSON pointer.
    pub path: String,
    /// Description of the values that are valid there.
    pub expected: &'static str,
}

struct Validation {
    errors: Vec<ConfigError>,
}

impl Script {
    /// Returns all invalid values.
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
                "a valid selection of members, and -86400 to 86400 seconds",
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
            let has_one_key = ids.len() == 1;
            let has_two_keys = matches!(ids[..], [first, second] if first != second);
            self.require(
                has_one_key || has_two_keys,
                format!("/steps/{index}/does/keys/ids"),
                "one key, or two different ones",
            );
        }
        self.require(
            selectors(&step.fault).iter().all(|s| s.is_valid()),
            format!("/steps/{index}/does"),
            "a part of the fleet from 0 to 1 that does not end before it begins",
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
