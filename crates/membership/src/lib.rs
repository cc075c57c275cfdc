//! Who else is there: the membership of a fleet of sidecars, without I/O and without a clock (SWIM, with Lifeguard's care
//! for one's own slowness).
//!
//! How data flows: the host gives a datagram (`Peers::hear`) or the time (`Peers::tick`, at `Peers::next`), takes the
//! datagrams to send (`Peers::take`) and what is new (`Peers::news`). A datagram is opened by `seal` (keys, age, replays),
//! its claims go to `roll` (who is held to be what, and which claim overrides which), what changed there goes into
//! `gossip` (claims that still ride on datagrams), and `peers` probes, suspects and refutes.
//!
//! Beside that each member may put something up for all to read (`Peers::put_up`): bytes that are not looked at here.
//!
//! And each may send another a parcel (`Peers::post_parcel`, `Peers::parcel`): sealed as all else, lost as a datagram may be.
//!
//! What a member is told may make it more careful, never less: nothing here widens a cap, a budget or a time.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod gossip;
mod peers;
mod roll;
mod seal;
mod words;

pub use peers::{Config, ConfigError, Membership, MembershipEvent};
pub use roll::Member;
pub use seal::{DatagramError, Key};
pub use words::{
    MemberName, MemberStatus, StatusUpdate, MAX_DATAGRAM_BYTES, MAX_DIRECT_BYTES,
    MAX_PUBLISHED_BYTES,
};
