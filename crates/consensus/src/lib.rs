//! Agreement among three to seven named sidecars: words that any of them proposes are settled in one order, which all
//! learn. Without I/O and without a clock. Raft (Ongaro, Ousterhout 2014), with trial votes and a leader that steps down
//! without its majority (Ongaro 2014, 9.6 and 6.2), and one member changed at a time (4.1, with its correction of 2015).
//!
//! How data flows: the host gives packets (`Agree::hear`), the time (`Agree::tick`, at `Agree::next`) and words to settle
//! (`Agree::propose`). It puts what is to be kept on disk (`Agree::write`), says when it is there (`Agree::wrote`), and takes
//! packets to send (`Agree::take`): none leaves before what it promises is on disk. What is settled comes out in order
//! (`Agree::settled`). `words` are the packets, `log` the entries held, `disk` makes bytes of what is kept and reads them back,
//! `begin` makes a group of sidecars that have none, `follow` is for all other sidecars: they ask for what is settled.
//!
//! Who has lost its disk is somebody else: an `Id` is a name and the life of its disk. It has no vote until it has caught
//! up and the others have taken it in, in the place of the life that is gone.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod agree;
mod begin;
mod disk;
mod follow;
mod log;
mod words;

pub use agree::{Committed, ProposeError, RaftConfig, RaftNode, Role, WriteBatch};
pub use disk::{read_log, LogError, Record, RecoveredLog};
pub use follow::Learner;
pub use words::{
    Configuration, Entry, EntryPayload, LogPosition, Members, Message, NodeId, Packet, PacketError,
    MAX_COMMAND_BYTES, MAX_PACKET_BYTES, MAX_VOTERS,
};
