//! The script of faults. Times are in seconds from the start; members are meant by their part of the fleet, so that one
//! script fits any number of them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What happens to the links and members of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub name: String,
    pub seed: u64,
    pub seconds: f64,
    /// Every link, unless a step says otherwise.
    #[serde(default)]
    pub line: Line,
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Members whose clocks tell another time of day.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub clocks: Vec<Ahead>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ahead {
    pub who: Who,
    /// Below 0: behind.
    pub seconds: f64,
}

/// How one direction between two members treats datagrams; parts are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Line {
    pub loss: f64,
    pub delay_ms: f64,
    /// Further delay, drawn evenly up to this: what is later may come first.
    pub jitter_ms: f64,
    pub duplicate: f64,
    /// One bit is turned.
    pub corrupt: f64,
    /// What is over this is lost; 0: no limit.
    pub bytes_per_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at: f64,
    pub does: Fault,
}

/// Some of the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    All,
    /// Those from one part of the fleet up to another: 0 to 0.5 is the first half.
    Part(f64, f64),
    /// These numbers, from 0.
    Numbers(Vec<usize>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Nothing passes from some to others; back neither, unless one way only.
    Cut {
        from: Who,
        to: Who,
        #[serde(default)]
        one_way: bool,
    },
    /// All cuts are mended.
    Mend,
    /// The links from some to others are of this kind from now on.
    Change {
        from: Who,
        to: Who,
        line: Line,
    },
    /// Ended outright.
    Kill(Who),
    /// Told to leave.
    Leave(Who),
    /// Stands still, and goes on as if nothing had been.
    Stop(Who),
    GoOn(Who),
    /// Started, anew if it had run.
    Start(Who),
    /// What they keep on disk is gone; of those that do not run then.
    LoseDisk(Who),
    /// Their disks take nothing more; of those that run.
    FillDisk(Who),
    FreeDisk(Who),
    /// Their key file has these keys from now on, the first one seals; they are told to read it.
    Keys {
        who: Who,
        ids: Vec<u8>,
    },
    /// Each of them is sent so many datagrams of noise, and as many that it has had before.
    Noise {
        to: Who,
        datagrams: u32,
    },
}

/// What the host of the members is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Kill(usize),
    Leave(usize),
    Stop(usize),
    GoOn(usize),
    Start(usize),
    LoseDisk(usize),
    FillDisk(usize),
    FreeDisk(usize),
    Keys { to: usize, ids: Vec<u8> },
    Noise { to: usize, datagrams: u32 },
}

/// What of a script can't be used, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub path: String,
    pub expected: &'static str,
}

impl Who {
    pub fn numbers(&self, of: usize) -> Vec<usize> {
        match self {
            Who::All => (0..of).collect(),
            Who::Part(from, to) => {
                let place = |part: f64| (part * of as f64).round() as usize;
                (place(*from)..place(*to)).collect()
            }
            Who::Numbers(numbers) => numbers
                .iter()
                .copied()
                .filter(|number| *number < of)
                .collect(),
        }
    }

    fn fits(&self) -> bool {
        match self {
            Who::Part(from, to) => 0.0 <= *from && from <= to && *to <= 1.0,
            _ => true,
        }
    }
}

impl Line {
    fn fits(&self) -> bool {
        let part = |value: f64| (0.0..=1.0).contains(&value);
        let span = |value: f64| (0.0..=1e7).contains(&value);
        part(self.loss)
            && part(self.duplicate)
            && part(self.corrupt)
            && span(self.delay_ms)
            && span(self.jitter_ms)
            && self.bytes_per_s >= 0.0
    }
}

impl Script {
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// How far a member's clock is ahead, in seconds.
    pub fn ahead(&self, member: usize, of: usize) -> f64 {
        let told = self
            .clocks
            .iter()
            .filter(|clock| clock.who.numbers(of).contains(&member));
        told.map(|clock| clock.seconds).sum()
    }

    /// All that can't be used.
    pub fn config_errors(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut need = |fits: bool, path: String, expected: &'static str| {
            if !fits {
                found.push(ConfigError { path, expected });
            }
        };
        const LINE: &str = "parts from 0 to 1, milliseconds from 0, bytes a second from 0";
        need(
            (0.1..=86_400.0).contains(&self.seconds),
            "/seconds".into(),
            "0.1 to 86400 seconds",
        );
        need(self.line.fits(), "/line".into(), LINE);
        for (place, step) in self.steps.iter().enumerate() {
            let within = (0.0..=self.seconds).contains(&step.at);
            need(
                within,
                format!("/steps/{place}/at"),
                "a time from 0 to the script's seconds",
            );
            let (who, line): (Vec<&Who>, Option<&Line>) = match &step.does {
                Fault::Cut { from, to, .. } => (vec![from, to], None),
                Fault::Change { from, to, line } => (vec![from, to], Some(line)),
                Fault::Kill(who)
                | Fault::Leave(who)
                | Fault::Stop(who)
                | Fault::GoOn(who)
                | Fault::LoseDisk(who)
                | Fault::FillDisk(who)
                | Fault::FreeDisk(who)
                | Fault::Start(who) => (vec![who], None),
                Fault::Keys { who, ids } => {
                    let one_or_two = matches!(ids[..], [a, b] if a != b) || ids.len() == 1;
                    need(
                        one_or_two,
                        format!("/steps/{place}/does/keys/ids"),
                        "one key or two",
                    );
                    (vec![who], None)
                }
                Fault::Noise { to, .. } => (vec![to], None),
                Fault::Mend => (Vec::new(), None),
            };
            let fits = who.iter().all(|who| who.fits());
            need(
                fits,
                format!("/steps/{place}/does"),
                "a part of the fleet from 0 to 1, its end not before its begin",
            );
            need(
                line.is_none_or(Line::fits),
                format!("/steps/{place}/does/change/line"),
                LINE,
            );
        }
        for (place, clock) in self.clocks.iter().enumerate() {
            let fits = clock.who.fits() && (-86_400.0..=86_400.0).contains(&clock.seconds);
            need(
                fits,
                format!("/clocks/{place}"),
                "some of the members, and up to 86400 seconds either way",
            );
        }
        found
    }
}
