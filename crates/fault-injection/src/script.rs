//! The script of faults. Times are in seconds from the start. Members are selected as a part of the fleet, so that one script
//! works with any number of members.
//!
//! Names in script files may differ from the names here, and empty schema descriptions replace some of the comments here: both
//! are part of the file format.

use crate::selector::Selector;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A script of faults of the links and members of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the script.
    #[schemars(description = "")]
    pub name: String,
    /// Seed of the random number generator.
    #[schemars(description = "")]
    pub seed: u64,
    /// Duration of the script in seconds.
    #[schemars(description = "")]
    pub seconds: f64,
    /// Conditions of every link, unless a step changes them.
    #[serde(default, rename = "line")]
    pub conditions: LinkConditions,
    /// The faults, in any order.
    #[serde(default)]
    #[schemars(description = "")]
    pub steps: Vec<ScriptStep>,
    /// Members whose clocks are wrong, with their offsets.
    #[serde(default, rename = "clocks", skip_serializing_if = "Vec::is_empty")]
    pub clock_offsets: Vec<ClockOffset>,
}

/// Offset of the clocks of some members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Ahead", description = "")]
pub struct ClockOffset {
    /// The members with this offset.
    #[serde(rename = "who")]
    #[schemars(description = "")]
    pub members: Selector,
    /// Offset in seconds; negative if the clock is behind.
    pub seconds: f64,
}

/// Conditions of one direction between two members; fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Line")]
pub struct LinkConditions {
    /// Fraction of the datagrams that is lost.
    #[schemars(description = "")]
    pub loss: f64,
    /// Delay of every datagram, in milliseconds.
    #[schemars(description = "")]
    pub delay_ms: f64,
    /// Upper bound of an additional random delay, in milliseconds; it is uniformly distributed and may reorder datagrams.
    pub jitter_ms: f64,
    /// Fraction of the datagrams that arrives twice.
    #[schemars(description = "")]
    pub duplicate: f64,
    /// Fraction of the datagrams in which one bit is flipped.
    pub corrupt: f64,
    /// Byte rate above which datagrams are lost; 0 means no limit.
    #[serde(rename = "bytes_per_s")]
    pub bytes_per_second: f64,
}

/// A fault with its time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Step", description = "")]
pub struct ScriptStep {
    /// Time of the fault, in seconds from the start of the script.
    #[schemars(description = "")]
    pub at: f64,
    /// The fault.
    #[serde(rename = "does")]
    #[schemars(description = "")]
    pub fault: Fault,
}

/// A fault of links or members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[schemars(description = "")]
pub enum Fault {
    /// No datagram passes from some members to others, nor back unless `one_way` is set.
    #[serde(rename = "cut")]
    Partition {
        /// The senders.
        #[schemars(description = "")]
        from: Selector,
        /// The receivers.
        #[schemars(description = "")]
        to: Selector,
        /// Whether only this direction is cut.
        #[serde(default)]
        #[schemars(description = "")]
        one_way: bool,
    },
    /// All partitions are healed.
    #[serde(rename = "mend")]
    HealPartitions,
    /// The links from some members to others have these conditions from now on.
    #[serde(rename = "change")]
    ChangeLinks {
        /// The senders.
        #[schemars(description = "")]
        from: Selector,
        /// The receivers.
        #[schemars(description = "")]
        to: Selector,
        /// New conditions of the links.
        #[serde(rename = "line")]
        #[schemars(description = "")]
        conditions: LinkConditions,
    },
    /// The members are killed without notice.
    Kill(Selector),
    /// The members leave the fleet, and stop.
    Leave(Selector),
    /// The members are suspended, and keep their state until they resume.
    #[serde(rename = "stop")]
    Suspend(Selector),
    /// The members resume after a suspension.
    #[serde(rename = "go_on")]
    #[schemars(description = "")]
    Resume(Selector),
    /// The members are started, or restarted if they run.
    Start(Selector),
    /// The data on disk of those members that do not run is deleted.
    LoseDisk(Selector),
    /// Disk writes of those members that run fail from now on.
    FillDisk(Selector),
    /// Their disk writes succeed again.
    #[schemars(description = "")]
    FreeDisk(Selector),
    /// The members' key files get these keys, the first of which seals datagrams; the members reload them.
    #[serde(rename = "keys")]
    ReplaceKeys {
        /// The members that get the keys.
        #[serde(rename = "who")]
        #[schemars(description = "")]
        members: Selector,
        /// Numbers of the keys.
        #[schemars(description = "")]
        ids: Vec<u8>,
    },
    /// Each member receives this many datagrams of noise, and as many replays of datagrams that it received before.
    #[serde(rename = "noise")]
    SendNoise {
        /// The members that get the datagrams.
        #[schemars(description = "")]
        to: Selector,
        /// Number of datagrams of each kind.
        #[schemars(description = "")]
        datagrams: u32,
    },
}

impl Script {
    /// Returns the duration of the script.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns by how many seconds a member's clock is ahead, in a fleet of `member_count`; negative if it is behind.
    pub fn clock_offset(&self, member: usize, member_count: usize) -> f64 {
        self.clock_offsets
            .iter()
            .filter(|offset| offset.members.resolve(member_count).contains(&member))
            .map(|offset| offset.seconds)
            .sum()
    }
}
