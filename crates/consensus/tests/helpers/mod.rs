//! A cluster of voters and learners in simulated time under scripted faults. Disks may write late,
//! tear writes and lose their data.

pub(crate) mod checker;
pub(crate) mod cluster;
pub(crate) mod digest;
pub(crate) mod faults;
pub(crate) mod node;

use std::time::Duration;

pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Mixes two numbers into a pseudorandom one (the finalizer of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut z = (a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 27)
}
