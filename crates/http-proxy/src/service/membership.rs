//! The other sidecars: datagrams go between the sockets and `limewing_membership`, which decides who is there; events of the
//! decision module are shown to `limewing_coordination`, and its view goes to the module.

use super::direct_message::DirectMessage;
use super::StartError;
use limewing_coordination::{
    stable_key, Coordinator, LoadReport, OutlierObservation, Pod, Service,
};
use limewing_decision::interface::{
    AttemptOutcome, Endpoint, EndpointUpdate, Event, FleetView, PodId, PodState,
};
use limewing_membership::{Config, DatagramError, Key, MemberName, MemberStatus, Membership};
use limewing_net::sockets::{SocketId, Sockets};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_settings::{self as settings, ConfigFileError, KeyFile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

pub struct FleetMembership {
    membership: Membership,
    socket: SocketId,
    listen_address: SocketAddr,
    key_file: PathBuf,
    keys: Vec<u8>,
    keys_unusable: u64,
    coordination: Option<EndpointCoordination>,
}

/// The choices, and the pods by their keys.
struct EndpointCoordination {
    coordinator: Coordinator,
    pods: BTreeMap<PodId, (Endpoint, u64)>,
    changed: bool,
    view: Option<FleetView>,
}

/// One sidecar's view of its fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipView {
    pub name: String,
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Where it takes datagrams, if the others do not reach it there.
    #[serde(rename = "listens")]
    pub listen_address: SocketAddr,
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    pub incarnation: u32,
    /// How much longer it waits for others, for being slow itself: 0 to 8.
    #[serde(rename = "slowness")]
    pub local_health: u32,
    pub bytes_sent: u64,
    /// The keys known, the one that seals first, and how often a new key file could not be used.
    pub keys: Vec<u8>,
    pub keys_unusable: u64,
    /// Datagrams that were refused, by cause.
    #[serde(rename = "refused")]
    pub rejected: Vec<(String, u64)>,
    pub members: Vec<MemberView>,
    /// What of the fleet moves its choices; none: nothing does.
    #[serde(default, rename = "chosen")]
    pub selection: Option<EndpointSelectionView>,
}

/// Pods as this sidecar is to use them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointSelectionView {
    /// The pods to use, the first one first.
    #[serde(rename = "uses")]
    pub used: Vec<String>,
    /// Shut pods whose proof is others' turn.
    #[serde(rename = "held")]
    pub probed_by_peers: Vec<String>,
}

/// Another member, as it is held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    pub name: String,
    #[serde(rename = "at")]
    pub address: SocketAddr,
    #[serde(rename = "standing")]
    pub status: String,
    #[serde(rename = "start")]
    pub started_at_ms: u64,
    pub incarnation: u32,
    /// Seconds for which it has stood so.
    #[serde(rename = "for_s")]
    pub seconds_in_status: f64,
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

fn read_keys(file: &Path) -> Result<Vec<Key>, ConfigFileError> {
    let read: KeyFile = settings::read(file)?;
    Ok(read
        .keys
        .iter()
        .map(|key| Key {
            id: key.id,
            secret: key.bytes().unwrap_or_default(),
        })
        .collect())
}

impl FleetMembership {
    pub(super) fn start(
        name: &str,
        settings: &settings::Peers,
        zone: u16,
        sockets: &mut Sockets,
        now: Duration,
        seed: u64,
    ) -> Result<Self, StartError> {
        let keys = read_keys(&settings.key_file).map_err(StartError::Keys)?;
        let ids = keys.iter().map(|key| key.id).collect();
        let at = settings.listen;
        let (socket, address) = sockets
            .bind_datagrams(at)
            .map_err(|why| StartError::Datagrams { at, why })?;
        let start = wall_clock_now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let config = Config {
            name: MemberName::try_from(name.to_owned()).map_err(|expected| {
                StartError::Settings(settings::ConfigError::new("/name", expected.to_string()))
            })?,
            started_at_ms: start.as_millis() as u64,
            started_at: now,
            address: settings.advertise.unwrap_or(address),
            seed_addresses: settings.join.clone(),
            keys,
            probe_interval: settings.period.into(),
            bytes_per_second: settings.bytes_per_s,
            seed,
        };
        let membership = Membership::new(now, config).map_err(StartError::Membership)?;
        tracing::info!(%address, "membership listens for datagrams");
        let key_file = settings.key_file.clone();
        let new_coordination = || EndpointCoordination {
            coordinator: Coordinator::new(now, stable_key(name), zone),
            pods: BTreeMap::new(),
            changed: false,
            view: None,
        };
        let coordination = settings.choices.then(new_coordination);
        Ok(Self {
            membership,
            socket,
            listen_address: address,
            key_file,
            keys: ids,
            keys_unusable: 0,
            coordination,
        })
    }

    pub(super) fn next_deadline(&self) -> Duration {
        let choices = self
            .coordination
            .as_ref()
            .map(|coordination| coordination.coordinator.next_deadline());
        choices.map_or(self.membership.next_deadline(), |next| {
            next.min(self.membership.next_deadline())
        })
    }

    /// Shows it what the decision module is about to be settings; what of the fleet is news to the module comes back.
    pub(super) fn observe_events(
        &mut self,
        now: Duration,
        events: &[Event],
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<Event> {
        let Some(coordination) = &mut self.coordination else {
            return None;
        };
        events
            .iter()
            .for_each(|event| coordination.observe_event(now, event, &address));
        coordination
            .update(now, &mut self.membership)
            .map(Event::Fleet)
    }

    /// Whether a service answers, as far as its last ask or watch tells.
    pub(super) fn record_poll(&mut self, now: Duration, service: Service, answers: bool) {
        match &mut self.coordination {
            Some(coordination) if answers => coordination.coordinator.record_poll_success(service),
            Some(coordination) => coordination.coordinator.record_poll_failure(now, service),
            None => {}
        }
    }

    /// When a service may be asked: now, or the time at which this is to be asked again.
    pub(super) fn next_poll(&self, now: Duration, service: Service) -> Duration {
        self.coordination.as_ref().map_or(now, |coordination| {
            coordination.coordinator.next_poll(now, service)
        })
    }

    pub(super) fn receive(&mut self, now: Duration, bytes: &[u8]) {
        if let Err(error) = self.membership.receive(now, bytes) {
            tracing::debug!(%error, "datagram rejected");
        }
    }

    /// Does what is due, and sends what there is.
    pub(super) fn turn(&mut self, now: Duration, sockets: &mut Sockets) {
        if now >= self.membership.next_deadline() {
            self.membership.tick(now);
        }
        while let Some((to, bytes)) = self.membership.take_datagram() {
            sockets.send_datagram(self.socket, to, &bytes);
        }
        while let Some(event) = self.membership.take_event() {
            tracing::info!(?event, "membership event");
        }
    }

    /// Sends another something; one that is not known gets nothing.
    pub(super) fn send_direct(&mut self, now: Duration, message: DirectMessage) {
        if let Ok(name) = MemberName::try_from(message.to) {
            self.membership.send_direct(now, &name, message.bytes);
        }
    }

    /// Names of the others that are held to be there.
    pub(super) fn active_names(&self) -> impl Iterator<Item = String> + '_ {
        self.membership
            .active_members()
            .map(|member| member.update.name.to_string())
    }

    pub(super) fn take_direct_message(&mut self) -> Option<(String, Vec<u8>)> {
        self.membership
            .take_direct_message()
            .map(|(from, bytes)| (from.to_string(), bytes))
    }

    pub(super) fn leave(&mut self, now: Duration, sockets: &mut Sockets) {
        self.membership.leave(now);
        self.turn(now, sockets);
    }

    /// Keys that can't be used change nothing.
    pub(super) fn reload_keys(&mut self) {
        let read = read_keys(&self.key_file).map_err(|error| error.to_string());
        let ids = |keys: &[Key]| keys.iter().map(|key| key.id).collect();
        let change = |keys: Vec<Key>| {
            let ids = ids(&keys);
            self.membership
                .replace_keys(keys)
                .map(|()| ids)
                .map_err(|error| error.to_string())
        };
        match read.and_then(change) {
            Ok(ids) => {
                tracing::info!("membership keys reloaded");
                self.keys = ids;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot reload the membership keys; the old ones stay");
                self.keys_unusable += 1;
            }
        }
    }

    pub(super) fn view(
        &self,
        now: Duration,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> MembershipView {
        let me = self.membership.local_member();
        let members = self.membership.known_members().map(|member| MemberView {
            name: member.update.name.to_string(),
            address: member.update.address,
            status: status_text(member.update.status).to_owned(),
            started_at_ms: member.update.started_at_ms,
            incarnation: member.update.incarnation,
            seconds_in_status: now.saturating_sub(member.status_since).as_secs_f64(),
        });
        MembershipView {
            name: me.name.to_string(),
            address: me.address,
            listen_address: self.listen_address,
            started_at_ms: me.started_at_ms,
            incarnation: me.incarnation,
            local_health: self.membership.local_health(),
            bytes_sent: self.membership.bytes_sent(),
            keys: self.keys.clone(),
            keys_unusable: self.keys_unusable,
            rejected: self
                .membership
                .rejected_datagrams()
                .iter()
                .map(|(why, count)| (rejection_text(*why).to_owned(), *count))
                .collect(),
            members: members.collect(),
            selection: self
                .coordination
                .as_ref()
                .and_then(|coordination| coordination.selection(address)),
        }
    }
}

impl EndpointCoordination {
    fn observe_event(
        &mut self,
        now: Duration,
        event: &Event,
        address: &impl Fn(PodId) -> Option<SocketAddr>,
    ) {
        match event {
            Event::RequestArrived(_) => self.coordinator.record_request(),
            Event::AttemptFinished(outcome) => {
                let observation = match outcome.outcome {
                    AttemptOutcome::Succeeded | AttemptOutcome::Failed => {
                        Some(OutlierObservation::Answered(outcome.duration.as_secs_f64()))
                    }
                    AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset => {
                        Some(OutlierObservation::NoResponse)
                    }
                    AttemptOutcome::ConnectFailed => Some(OutlierObservation::ConnectFailed),
                    AttemptOutcome::Rejected => Some(OutlierObservation::Rejected),
                    AttemptOutcome::Cancelled => Some(OutlierObservation::Cancelled(
                        outcome.duration.as_secs_f64(),
                    )),
                    AttemptOutcome::NeverSent => None,
                };
                let known = self.pods.get(&outcome.pod).zip(observation);
                known.into_iter().for_each(|((_, key), observation)| {
                    self.coordinator.record_outcome(now, *key, observation)
                });
            }
            Event::Endpoints(news) => {
                let (whole, rows) = match news {
                    EndpointUpdate::Snapshot(rows) | EndpointUpdate::Cached(rows) => {
                        (true, rows.as_slice())
                    }
                    EndpointUpdate::Delta(rows) => (false, rows.as_slice()),
                    EndpointUpdate::WatchLost(_) => (false, [].as_slice()),
                };
                if whole {
                    self.pods.clear();
                }
                for row in rows {
                    let key = address(row.pod).map(|at| stable_key(&at.to_string()));
                    match key.filter(|_| row.state == PodState::Ready) {
                        Some(key) => drop(self.pods.insert(row.pod, (row.clone(), key))),
                        None => drop(self.pods.remove(&row.pod)),
                    }
                }
                self.changed |= whole || !rows.is_empty();
            }
            _ => {}
        }
    }

    /// The view for the module, if it changed; what is to be said is put up.
    fn update(&mut self, now: Duration, peers: &mut Membership) -> Option<Option<FleetView>> {
        if now < self.coordinator.next_deadline() {
            return None;
        }
        if std::mem::take(&mut self.changed) {
            let pod = |(row, key): &(Endpoint, u64)| Pod {
                key: *key,
                zone: row.zone.0,
                capacity: row.weight,
            };
            self.coordinator
                .set_pods(self.pods.values().map(pod).collect());
        }
        if let Some(says) = self.coordinator.take_report(now) {
            peers.publish(now, says.encode());
        }
        let says = |name| {
            peers
                .published_by(name)
                .and_then(|(bytes, at)| Some((LoadReport::decode(bytes).ok()?, at)))
        };
        let others = peers.active_members().map(|member| {
            (
                stable_key(&member.update.name.to_string()),
                says(&member.update.name),
            )
        });
        self.coordinator.set_peers(others);
        let view = self.coordinator.take_view(now)?;
        let by_key: BTreeMap<u64, PodId> = self
            .pods
            .iter()
            .map(|(pod, (_, key))| (*key, *pod))
            .collect();
        let pod = |key: &u64| by_key.get(key).copied();
        self.view = view.map(|view| FleetView {
            preference: view.preference.iter().filter_map(pod).collect(),
            min_endpoints: view.min_endpoints,
            probed_by_peers: view.probed_by_peers.iter().filter_map(pod).collect(),
        });
        let (min_endpoints, probed_by_peers) = self.view.as_ref().map_or((0, 0), |view| {
            (view.min_endpoints, view.probed_by_peers.len())
        });
        tracing::info!(
            min_endpoints,
            probed_by_peers,
            "endpoint selection of the fleet changed"
        );
        Some(self.view.clone())
    }

    fn selection(
        &self,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<EndpointSelectionView> {
        let view = self.view.as_ref()?;
        let name = |pod: &PodId| address(*pod).map(|at| at.to_string());
        Some(EndpointSelectionView {
            used: view
                .preference
                .iter()
                .take(view.min_endpoints)
                .filter_map(name)
                .collect(),
            probed_by_peers: view.probed_by_peers.iter().filter_map(name).collect(),
        })
    }
}
