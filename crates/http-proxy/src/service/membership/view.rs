//! The response to `GET /limewing/fleet`.

use super::FleetMembership;
use limewing_decision::interface::PodId;
use limewing_membership::{DatagramError, Member, MemberStatus};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One sidecar's view of its fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipView {
    /// Name of the sidecar.
    pub name: String,
    /// Address at which other sidecars reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Local address of its datagram socket. Differs from `address` if another address is advertised.
    #[serde(rename = "listens")]
    pub listen_address: SocketAddr,
    /// Start of its process, in Unix milliseconds.
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    /// SWIM incarnation number.
    pub incarnation: u32,
    /// Lifeguard local health score, from 0 (healthy) to 8.
    #[serde(rename = "slowness")]
    pub local_health: u32,
    /// Total size of the datagrams sent since startup, in bytes.
    pub bytes_sent: u64,
    /// IDs of the keys in use, starting with the one that outgoing datagrams are sealed with.
    pub keys: Vec<u8>,
    /// Number of key file reloads that failed.
    pub keys_unusable: u64,
    /// Numbers of rejected datagrams by cause.
    #[serde(rename = "refused")]
    pub rejected: Vec<(String, u64)>,
    /// The other known members.
    pub members: Vec<MemberView>,
    /// The pod selection by coordination with the fleet; `None` if it has no effect.
    #[serde(default, rename = "chosen")]
    pub selection: Option<EndpointSelectionView>,
}

/// The pods that a sidecar uses and health-checks, as coordinated with the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointSelectionView {
    /// Addresses of the pods to use, in order of preference.
    #[serde(rename = "uses")]
    pub used: Vec<String>,
    /// Addresses of ejected pods that other sidecars health-check.
    #[serde(rename = "held")]
    pub probed_by_peers: Vec<String>,
}

/// Another member, as seen by this sidecar.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub name: String,
    /// Address at which it is reached.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Status: `alive`, `suspect`, `dead` or `left`.
    #[serde(rename = "standing")]
    pub status: String,
    /// Start of its process, in Unix milliseconds.
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    /// SWIM incarnation number.
    pub incarnation: u32,
    /// Time since its last change of status, in seconds.
    #[serde(rename = "for_s")]
    pub seconds_in_status: f64,
}

impl MemberView {
    fn new(now: Duration, member: &Member) -> Self {
        Self {
            name: member.update.name.to_string(),
            address: member.update.address,
            status: status_text(member.update.status).to_owned(),
            started_at_ms: member.update.started_at_ms,
            incarnation: member.update.incarnation,
            seconds_in_status: now.saturating_sub(member.status_since).as_secs_f64(),
        }
    }
}

impl FleetMembership {
    /// Returns the response to `GET /limewing/fleet`. `address` returns a pod's address.
    pub(in crate::service) fn view(
        &self,
        now: Duration,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> MembershipView {
        let local = self.membership.local_member();
        let members = self.membership.known_members();
        let rejected = self.membership.rejected_datagrams().iter();
        let selection = self
            .coordination
            .as_ref()
            .and_then(|coordination| coordination.selection(address));
        MembershipView {
            name: local.name.to_string(),
            address: local.address,
            listen_address: self.listen_address,
            started_at_ms: local.started_at_ms,
            incarnation: local.incarnation,
            local_health: self.membership.local_health(),
            bytes_sent: self.membership.bytes_sent(),
            keys: self.keys.ids().to_vec(),
            keys_unusable: self.keys.failed_reloads(),
            rejected: rejected
                .map(|(cause, count)| (rejection_text(*cause).to_owned(), *count))
                .collect(),
            members: members.map(|member| MemberView::new(now, member)).collect(),
            selection,
        }
    }
}

/// Returns the text for a status on `GET /limewing/fleet`. Clients of the page match on it.
const fn status_text(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}

/// Returns the text for a cause of rejection on `GET /limewing/fleet`. Clients of the page match on it.
const fn rejection_text(cause: DatagramError) -> &'static str {
    match cause {
        DatagramError::Length => "it is too short or too long",
        DatagramError::Version => "another version",
        DatagramError::UnknownKey => "a key that is not known",
        DatagramError::WrongTag => "the seal does not fit",
        DatagramError::Stale => "sent too long ago, or by a clock that is ahead",
        DatagramError::Replayed => "it came before",
        DatagramError::Malformed => "what is in it can't be read",
        DatagramError::EarlierProcess => "of an earlier start of its sender",
        DatagramError::OwnName => "our own",
    }
}
