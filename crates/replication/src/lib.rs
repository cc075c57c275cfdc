//! Replicated, expiring state of the sidecars: gossip with anti-entropy, sans I/O and without a
//! clock.
//!
//! Data flow: the host publishes its own records ([`Replica::publish`]), passes in received packets
//! ([`Replica::receive`]) and the time ([`Replica::tick`], due at [`Replica::next_tick`]), and
//! takes out packets to send ([`Replica::take_packet`]) and entries of other sidecars
//! ([`Replica::take_applied`]). Each entry is returned once in the lifetime of a process. Decoded
//! records are merged into [`MergedState`], which resolves differences between sidecars.
//!
//! Each process of each sidecar is an [`Origin`] and numbers the entries it publishes. A [`Log`] is
//! the local replica of one origin's entries: it records through which sequence number it is
//! complete and which single entries it has beyond that. An entry is never applied twice, so a
//! replica that returns late cannot bring back an expired entry. Entries carry a time to live
//! instead of an expiry time, and only the first receipt counts, so clocks need not be
//! synchronized.
//!
//! | module | purpose |
//! | --- | --- |
//! | `message` | packets between replicas, and their bounds |
//! | `record` | contents of entries: served keys, executions of requests, rollout stages |
//! | `log` | entries of one origin |
//! | `replica` | dissemination of new entries, anti-entropy, catching up after a start |
//! | `merged_state` | merge of the records of all origins |
//! | `stage` | rules by which rollout stages of other sidecars may only restrict this one |
//! | `local_state` | records this sidecar publishes, and requests it refuses because of the merged state |
//!
//! Records of other sidecars only ever make a sidecar more restrictive; they are not evidence about
//! the quality of a build.

mod local_state;
mod log;
mod merged_state;
mod message;
mod record;
mod replica;
mod send_budget;
mod stage;

pub use local_state::{
    LocalState, Refusal, EXECUTION_TIME_TO_LIVE, KEY_TIME_TO_LIVE, STAGE_TIME_TO_LIVE,
};
pub use log::{Log, MAX_LOG_ENTRIES, MAX_TOTAL_ENTRIES};
pub use merged_state::MergedState;
pub use message::{
    Entry, LogPosition, Message, Origin, Packet, PacketError, SequenceRange, MAX_BODY_BYTES,
    MAX_NAME_BYTES, MAX_PACKET_BYTES, MAX_SEQUENCE,
};
pub use record::{ExecutionMark, Phase, Record, Stage};
pub use replica::{Replica, ReplicaConfig};
pub use stage::{most_restrictive_stage, stage_after_restart};
