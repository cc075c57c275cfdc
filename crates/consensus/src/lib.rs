//! Raft among three to seven voters, without I/O and without a clock: the commands that any voter proposes are committed in
//! one order, which all voters and learners apply.
//!
//! The algorithm is that of "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014; here "the
//! paper") and of "Consensus: Bridging Theory and Practice" (Ongaro's dissertation, 2014), with pre-vote (9.6), a leader that
//! steps down without contact to a quorum (6.2), and membership changes of one server at a time (4.1, with the correction
//! of 2015: a leader changes members only once it has committed an entry of its own term).
//!
//! How a host drives a [`RaftNode`]: it passes in packets ([`RaftNode::receive`]), the time ([`RaftNode::tick`], at
//! [`RaftNode::next_deadline`] at the latest) and commands ([`RaftNode::propose`]). It writes what is to be stored
//! ([`RaftNode::next_write_batch`]), reports when that is durable ([`RaftNode::persisted`]), and sends packets
//! ([`RaftNode::take_packet`]): none is released before the records that it depends on are durable. Committed commands come
//! out in order ([`RaftNode::take_committed`]). All other sidecars run a [`Learner`], which polls a voter for what is committed.
//!
//! A node that has lost its disk is another node: a [`NodeId`] is a name and the incarnation of the disk. A new incarnation
//! has no vote until it has caught up and has been added in the place of the one that is gone.

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
