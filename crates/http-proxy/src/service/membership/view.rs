//! The answer to `GET /limewing/fleet`.

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
    /// Where the other sidecars reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Where it listens for datagrams; differs from `address` if that is advertised.
    #[serde(rename = "listens")]
    pub listen_address: SocketAddr,
    /// When its process started, Unix time in milliseconds.
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    /// SWIM's incarnation number.
    pub incarnation: u32,
    /// Lifeguard's local health, 0 (healthy) to 8.
    #[serde(rename = "slowness")]
    pub local_health: u32,
    /// Bytes of all datagrams sent since the start.
    pub bytes_sent: u64,
    /// Numbers of the known keys, the one that seals first.
    pub keys: Vec<u8>,
    /// How often a new key file could not be used.
    pub keys_unusable: u64,
    /// Rejected datagrams by cause.
    #[serde(rename = "refused")]
    pub rejected: Vec<(String, u64)>,
    /// The other members that it knows.
    pub members: Vec<MemberView>,
    /// How the fleet moves its choice of pods; `None`: it does not.
    #[serde(default, rename = "chosen")]
    pub selection: Option<EndpointSelectionView>,
}

/// The pods that a sidecar uses and health-checks, as the fleet shares them out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointSelectionView {
    /// Addresses of the pods to use, the preferred one first.
    #[serde(rename = "uses")]
    pub used: Vec<String>,
    /// Addresses of ejected pods that other sidecars health-check.
    #[serde(rename = "held")]
    pub probed_by_peers: Vec<String>,
}

/// Another member, as this sidecar knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// `alive`, `suspect`, `dead` or `left`.
    #[serde(rename = "standing")]
    pub status: String,
    /// When its process started, Unix time in milliseconds.
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    /// SWIM's incarnation number.
    pub incarnation: u32,
    /// For how long it has had this status.
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
    /// The answer to `GET /limewing/fleet`; `address` is where a pod is reached.
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

/// The word for a status on `GET /limewing/fleet`; its readers match on it.
const fn status_text(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}

/// The text for a rejected datagram on `GET /limewing/fleet`; its readers match on it.
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
