//! A work list as an operator writes it: which machines are to go out, and how many at once.

use crate::read::{Checked, ConfigError};
use crate::sidecar::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkList {
    /// 1 to 40 letters.
    pub name: String,
    /// By name, as the node list has them (`Node.Node`).
    #[serde(default)]
    pub machines: Vec<String>,
    /// All that this fits, as the node list has them when the list is asked for; beside those named.
    #[serde(default)]
    pub select: Option<Select>,
    /// How long the work on one takes, and after how long it counts as stalled.
    pub takes: Seconds,
    pub stalls_after: Seconds,
    pub limits: WorkLimits,
    /// When machines may be out; none: at any time.
    #[serde(default)]
    pub windows: Vec<WorkWindow>,
    /// Of two lists the higher goes first, else the one asked for first.
    #[serde(default)]
    pub priority: u8,
    /// Whether work goes on beside a release on trial.
    #[serde(default)]
    pub beside_trials: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Select {
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub kind: Option<String>,
    #[serde(default)]
    pub build: Option<u16>,
}

/// Counted over all lists together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkLimits {
    /// Most out at once.
    pub out: u16,
    #[serde(default)]
    pub out_in_zone: Option<u16>,
    #[serde(default)]
    pub out_of_kind: Option<u16>,
    /// The part of all strength that stays ready and warm, 0 to 1.
    pub ready_part: f64,
    /// Pairs that may not be out together, by name.
    #[serde(default)]
    pub apart: Vec<(String, String)>,
    /// While sidecars turn away a larger part of their hits nothing more goes out, 0 to 1.
    #[serde(default = "twentieth")]
    pub turned_away: f64,
}

fn twentieth() -> f64 {
    0.05
}

/// In seconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkWindow {
    pub from: f64,
    pub to: f64,
}

impl Checked for WorkList {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut need = |fits: bool, path: String, expected: &str| {
            if !fits {
                found.push(ConfigError::new(path, format!("expected {expected}")));
            }
        };
        let named = |name: &String| (1..=40).contains(&name.len());
        need(named(&self.name), "/name".into(), "1 to 40 letters");
        let some = !self.machines.is_empty() || self.select.is_some();
        need(some, "/machines".into(), "machines, or `select`");
        need(
            self.machines.len() <= 1000,
            "/machines".into(),
            "1000 machines at most",
        );
        let mut before = std::collections::BTreeSet::new();
        for (place, machine) in self.machines.iter().enumerate() {
            let at = format!("/machines/{place}");
            need(named(machine), at.clone(), "a name of 1 to 40 letters");
            need(
                before.insert(machine),
                at,
                "a machine that is not named before",
            );
        }
        let (takes, stalls) = (f64::from(self.takes), f64::from(self.stalls_after));
        need(
            (0.0..=86_400.0).contains(&takes),
            "/takes".into(),
            "0 to 86400 seconds",
        );
        need(
            takes <= stalls && stalls <= 864_000.0,
            "/stalls_after".into(),
            "`takes` to 864000 seconds",
        );
        let limits = &self.limits;
        need(limits.out >= 1, "/limits/out".into(), "1 machine or more");
        need(
            limits.out_in_zone != Some(0),
            "/limits/out_in_zone".into(),
            "1 machine or more, or no limit",
        );
        need(
            limits.out_of_kind != Some(0),
            "/limits/out_of_kind".into(),
            "1 machine or more, or no limit",
        );
        need(
            (0.0..=1.0).contains(&limits.ready_part),
            "/limits/ready_part".into(),
            "a part from 0 to 1",
        );
        let away = (0.0..=1.0).contains(&limits.turned_away);
        need(away, "/limits/turned_away".into(), "a part from 0 to 1");
        need(
            limits.apart.len() <= 8,
            "/limits/apart".into(),
            "8 pairs at most",
        );
        for (place, (one, other)) in limits.apart.iter().enumerate() {
            let fits = named(one) && named(other) && one != other;
            need(
                fits,
                format!("/limits/apart/{place}"),
                "two machines by name",
            );
        }
        need(
            self.windows.len() <= 8,
            "/windows".into(),
            "8 windows at most",
        );
        for (place, window) in self.windows.iter().enumerate() {
            let fits = window.from >= 0.0 && window.to <= 1e11 && window.from + takes <= window.to;
            need(
                fits,
                format!("/windows/{place}"),
                "times since 1970 with room for the work between them",
            );
        }
        found
    }
}
