//! Membership of a fleet of sidecars: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local
//! health awareness (Dadgar, Phillips, Currey 2018). Sans I/O: it uses neither sockets nor a clock.
//!
//! The host passes in received datagrams ([`Membership::receive`]) and the time
//! ([`Membership::tick`], due at [`Membership::next_deadline`]), and takes out datagrams to send
//! ([`Membership::take_datagram`]) and events ([`Membership::take_event`]).
//!
//! | module | purpose |
//! | --- | --- |
//! | `sealer`, `replay_filter` | authenticates datagrams; rejects outdated and replayed ones |
//! | `packet` | contents of a datagram |
//! | `receiving`, `sending` | handles a packet; fills and sends one within the byte budget |
//! | `failure_detector` | probes, indirect probes, local health |
//! | `suspicion` | suspicion timeouts and refutation |
//! | `member_table` | status of each member, and which update overrides which |
//! | `broadcast_queue` | gossip: updates with remaining retransmits |
//! | `anti_entropy` | periodic exchange of partial tables, joining, reconnecting |
//! | `published_state` | small state that each member publishes to all others |
//!
//! Published state ([`Membership::publish`]) and direct messages ([`Membership::send_direct`]) are
//! opaque to this crate. Direct messages are sealed like all datagrams and, like them, may be lost.

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
