//! Raft consensus among three to seven voters, without I/O and without a clock. Commands proposed
//! by any voter are committed in a single order, in which all voters and learners apply them.
//!
//! The algorithm is described in "In Search of an Understandable Consensus Algorithm" (Ongaro and
//! Ousterhout, 2014; "the paper" in this crate) and in "Consensus: Bridging Theory and Practice"
//! (Ongaro's dissertation, 2014). The implementation includes pre-vote (dissertation, 9.6), a
//! leader that steps down when it loses contact with a quorum (6.2), and single-server membership
//! changes (4.1, with the correction of 2015: a leader changes the membership only after it has
//! committed an entry of its own term).
//!
//! A host drives a [`RaftNode`] by passing in packets ([`RaftNode::receive`]), the time
//! ([`RaftNode::tick`], no later than [`RaftNode::next_deadline`]) and commands
//! ([`RaftNode::propose`]). The host writes the pending records to stable storage
//! ([`RaftNode::next_write_batch`]), reports when they are durable ([`RaftNode::persisted`]), and
//! sends packets ([`RaftNode::take_packet`]); a packet is released only when the records that it
//! depends on are durable. Committed commands are returned in order ([`RaftNode::take_committed`]).
//! All other sidecars run a [`Learner`], which polls a voter for committed entries.
//!
//! A node that has lost its disk is a new node: a [`NodeId`] consists of a name and the incarnation
//! of the disk. A new incarnation has no vote until it has caught up and has replaced the old
//! incarnation in the configuration.

mod bootstrap;
mod learner;
mod log;
mod message;
mod node;
mod persistent_state;
mod storage;
mod types;

pub use learner::Learner;
pub use message::{Message, Packet, PacketError, MAX_PACKET_BYTES};
pub use node::{Committed, ProposeError, RaftConfig, RaftNode, Role, WriteBatch};
pub use storage::{read_log, LogError, Record, RecoveredLog};
pub use types::{
    Configuration, Entry, EntryPayload, LogPosition, Members, NodeId, MAX_COMMAND_BYTES, MAX_VOTERS,
};
