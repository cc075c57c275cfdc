//! Membership of a fleet of sidecars: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health awareness (Dadgar,
//! Phillips, Currey 2018), sans I/O: no sockets, no clock.
//!
//! The host passes in received datagrams ([`Membership::receive`]) and the time ([`Membership::tick`], due at
//! [`Membership::next_deadline`]), and takes out the datagrams to send ([`Membership::take_datagram`]) and what changed
//! ([`Membership::take_event`]).
//!
//! | module | job |
//! | --- | --- |
//! | `sealer`, `replay_filter` | authenticates datagrams, rejects old and repeated ones |
//! | `packet` | what a datagram carries |
//! | `receiving`, `sending` | handles a packet; fills and sends one within the byte budget |
//! | `failure_detector` | probes, indirect probes, local health |
//! | `suspicion` | suspicion timeouts and refutation |
//! | `member_table` | the status of each member and which update overrides which |
//! | `broadcast_queue` | gossip: updates that still have retransmits left |
//! | `anti_entropy` | periodic exchange of table parts, joining, reconnecting |
//! | `published_state` | a few bytes that each member publishes to all others |
//!
//! Published state ([`Membership::publish`]) and direct messages ([`Membership::send_direct`]) are opaque here. Direct
//! messages are sealed like everything else and, like any datagram, may be lost.

mod anti_entropy;
mod broadcast_queue;
mod config;
mod event;
mod failure_detector;
mod member_table;
mod membership;
mod packet;
mod published_state;
mod receiving;
mod replay_filter;
mod sealer;
mod sending;
mod status;
mod suspicion;

pub use config::{Config, ConfigError};
pub use event::MembershipEvent;
pub use member_table::Member;
pub use membership::Membership;
pub use packet::{MAX_DATAGRAM_BYTES, MAX_DIRECT_BYTES, MAX_PUBLISHED_BYTES};
pub use sealer::{DatagramError, Key};
pub use status::{MemberName, MemberNameError, MemberStatus, StatusUpdate};
