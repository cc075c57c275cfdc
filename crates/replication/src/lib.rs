//! State that matters, kept by the other sidecars too: without I/O and without a clock.
//!
//! How data flows: the host puts up what it learned (`Replica::put`), gives packets (`Replica::hear`) and the time
//! (`Replica::tick`, at `Replica::next`), takes packets to send (`Replica::take`) and what is new to it (`Replica::learned`), each
//! entry once in the life of a process. Learned facts go into `Facts`, which tells what holds where they differ.
//!
//! Each process of each sidecar is an `Origin` and numbers what it puts up. A copy of an origin's log (`logs`) knows up to where it is
//! whole and which single entries it has beyond: what it had once it never takes again, so nothing that is over comes back, whatever
//! copy returns when. An entry lives for a span, not until a time of day: what is left of it travels with it and only the first
//! copy counts, so clocks may differ as they like. `spread` is who is told what: new entries go to a few others, who pass
//! them on once, and each compares its logs with one other in turn. `words` are the packets, `own` what a
//! sidecar puts up of its own hits and keys, and goes by.
//!
//! What others say makes a sidecar more careful, never less; it is no evidence on a build.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod facts;
mod logs;
mod own;
mod spread;
mod words;

pub use facts::{most_restrictive_stage, stage_after_restart, MergedState};
pub use logs::{Log, MAX_LOG_ENTRIES, MAX_TOTAL_ENTRIES};
pub use own::{LocalState, Refusal, EXECUTION_TIME_TO_LIVE, KEY_TIME_TO_LIVE, STAGE_TIME_TO_LIVE};
pub use spread::{Replica, ReplicaConfig};
pub use words::{
    Entry, ExecutionMark, LogPosition, Message, Origin, Packet, PacketError, Phase, Record, Stage,
    MAX_BODY_BYTES, MAX_NAME_BYTES, MAX_PACKET_BYTES, MAX_SEQUENCE,
};
