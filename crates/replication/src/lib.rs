//! Replicated, expiring state of the sidecars: gossip with anti-entropy, without I/O and without a clock.
//!
//! Data flow: the host publishes records of its own ([`Replica::publish`]), hands in received packets ([`Replica::receive`]) and
//! the time ([`Replica::tick`], due at [`Replica::next_tick`]), and takes out packets to send ([`Replica::take_packet`]) and entries of
//! other sidecars ([`Replica::take_applied`]), each entry once in the lifetime of a process. Decoded records go into
//! [`MergedState`], which resolves them where sidecars differ.
//!
//! Each process of each sidecar is an [`Origin`] and numbers the entries it publishes. A [`Log`] is the local replica of one origin's
//! entries: it knows through which sequence number it is complete and which single entries it has beyond. An entry that was applied
//! once is never applied again, so an expired entry can't come back from a replica that returns late. Entries carry a time to live
//! instead of an expiry time, and only the first receipt counts, so clocks need not agree.
//!
//! | module | job |
//! | --- | --- |
//! | `message` | packets between replicas, and their bounds |
//! | `record` | contents of entries: served keys, executions of requests, rollout stages |
//! | `log` | the entries of one origin |
//! | `replica` | dissemination of new entries, anti-entropy, catching up after a start |
//! | `merged_state` | merge of the records of all origins |
//! | `stage` | rules by which rollout stages of other sidecars may only restrict this one |
//! | `local_state` | what this sidecar publishes, and what the merged state makes it refuse |
//!
//! Records of other sidecars only ever make a sidecar more careful; they are no evidence about the quality of a build.

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
