//! What the sidecars of a fleet choose, each alone and from what all know alike, so that the sum is right: which pods each
//! uses, whose turn it is to prove a shut pod, what of others' hints counts. Without I/O and without a clock.
//!
//! How data flows: the host tells `Choices` the pods, the members with what each says, hits taken and how forwards ended.
//! `health` makes hints of the outcomes and `Choices::says` hands them out, with this one's zone and traffic, for the
//! others. `hints` weighs what the others say, `subsets` shares the pods out, `turns` tells whose turn a proof is, `asks` when a lost service is asked again;
//! `Choices::view` hands out the result when it changed, and none while nobody else is here.
//!
//! A view moves a sidecar's choice among pods that its rules allow, and has it prove less: it widens nothing, and is no
//! evidence on a build.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod asks;
mod choices;
mod health;
mod hints;
mod says;
mod subsets;
mod turns;

pub use asks::{Service, CONCURRENT_POLLERS, MAX_POLL_INTERVAL, RECOVERY_SPREAD};
pub use choices::{Coordinator, FleetView};
pub use health::OutlierObservation;
pub use hints::{find_outliers, PeerReport};
pub use says::{LoadReport, LoadReportError, OutlierHint, MAX_HINTS};
pub use subsets::{assign_subsets, preference_order, Member, Pod};
pub use turns::{is_prober, is_selected, CONCURRENT_PROBERS, ROTATION_INTERVAL};

/// A key that is the same at every sidecar and in every version, of a member's name or a pod's address (FNV-1a, mixed).
pub fn stable_key(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    mixed(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Where one key stands in the order of another's.
fn rank(of: u64, by: u64) -> u64 {
    mixed(of ^ mixed(by.wrapping_add(1)))
}
