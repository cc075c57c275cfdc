//! The other sidecars: datagrams go between the sockets and `limewing_membership`, which decides who is there; events of the
//! decision module are shown to `limewing_coordination`, and its view goes to the module.

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

pub struct Fleet {
    peers: Membership,
    socket: SocketId,
    listens: SocketAddr,
    key_file: PathBuf,
    keys: Vec<u8>,
    keys_unusable: u64,
    choices: Option<Chooser>,
}

/// The choices, and the pods by their keys.
struct Chooser {
    choices: Coordinator,
    pods: BTreeMap<PodId, (Endpoint, u64)>,
    changed: bool,
    view: Option<FleetView>,
}

/// One sidecar's view of its fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct View {
    pub name: String,
    pub at: SocketAddr,
    /// Where it takes datagrams, if the others do not reach it there.
    pub listens: SocketAddr,
    pub start: u64,
    pub incarnation: u32,
    /// How much longer it waits for others, for being slow itself: 0 to 8.
    pub slowness: u32,
    pub bytes_sent: u64,
    /// The keys known, the one that seals first, and how often a new key file could not be used.
    pub keys: Vec<u8>,
    pub keys_unusable: u64,
    /// Datagrams that were refused, by cause.
    pub refused: Vec<(String, u64)>,
    pub members: Vec<Seen>,
    /// What of the fleet moves its choices; none: nothing does.
    #[serde(default)]
    pub chosen: Option<Chosen>,
}

/// Pods as this sidecar is to use them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chosen {
    /// The pods to use, the first one first.
    pub uses: Vec<String>,
    /// Shut pods whose proof is others' turn.
    pub held: Vec<String>,
}

/// Another member, as it is held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seen {
    pub name: String,
    pub at: SocketAddr,
    pub standing: String,
    pub start: u64,
    pub incarnation: u32,
    /// Seconds for which it has stood so.
    pub for_s: f64,
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

impl Fleet {
    pub(super) fn start(
        name: &str,
        told: &settings::Peers,
        zone: u16,
        sockets: &mut Sockets,
        now: Duration,
        seed: u64,
    ) -> Result<Self, StartError> {
        let keys = read_keys(&told.key_file).map_err(StartError::Keys)?;
        let ids = keys.iter().map(|key| key.id).collect();
        let at = told.listen;
        let (socket, address) = sockets
            .bind_datagrams(at)
            .map_err(|why| StartError::Datagrams { at, why })?;
        let start = wall_clock_now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let terms = Config {
            name: MemberName::try_from(name.to_owned()).map_err(|expected| {
                StartError::Settings(settings::ConfigError::new("/name", expected.to_string()))
            })?,
            started_at_ms: start.as_millis() as u64,
            started_at: now,
            address: told.advertise.unwrap_or(address),
            seed_addresses: told.join.clone(),
            keys,
            probe_interval: told.period.into(),
            bytes_per_second: told.bytes_per_s,
            seed,
        };
        let peers = Membership::new(now, terms).map_err(StartError::Membership)?;
        tracing::info!(%address, "takes datagrams of other sidecars");
        let key_file = told.key_file.clone();
        let chooser = || Chooser {
            choices: Coordinator::new(now, stable_key(name), zone),
            pods: BTreeMap::new(),
            changed: false,
            view: None,
        };
        let choices = told.choices.then(chooser);
        Ok(Self {
            peers,
            socket,
            listens: address,
            key_file,
            keys: ids,
            keys_unusable: 0,
            choices,
        })
    }

    pub(super) fn next(&self) -> Duration {
        let choices = self
            .choices
            .as_ref()
            .map(|chooser| chooser.choices.next_deadline());
        choices.map_or(self.peers.next_deadline(), |next| {
            next.min(self.peers.next_deadline())
        })
    }

    /// Shows it what the decision module is about to be told; what of the fleet is news to the module comes back.
    pub(super) fn watch(
        &mut self,
        now: Duration,
        events: &[Event],
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<Event> {
        let Some(chooser) = &mut self.choices else {
            return None;
        };
        events
            .iter()
            .for_each(|event| chooser.see(now, event, &address));
        chooser.look(now, &mut self.peers).map(Event::Fleet)
    }

    /// Whether a service answers, as far as its last ask or watch tells.
    pub(super) fn answers(&mut self, now: Duration, service: Service, answers: bool) {
        match &mut self.choices {
            Some(chooser) if answers => chooser.choices.record_poll_success(service),
            Some(chooser) => chooser.choices.record_poll_failure(now, service),
            None => {}
        }
    }

    /// When a service may be asked: now, or the time at which this is to be asked again.
    pub(super) fn may_ask(&self, now: Duration, service: Service) -> Duration {
        self.choices
            .as_ref()
            .map_or(now, |chooser| chooser.choices.next_poll(now, service))
    }

    pub(super) fn hear(&mut self, now: Duration, bytes: &[u8]) {
        if let Err(why) = self.peers.receive(now, bytes) {
            tracing::debug!(%why, "a datagram is refused");
        }
    }

    /// Does what is due, and sends what there is.
    pub(super) fn turn(&mut self, now: Duration, sockets: &mut Sockets) {
        if now >= self.peers.next_deadline() {
            self.peers.tick(now);
        }
        while let Some((to, bytes)) = self.peers.take_datagram() {
            sockets.send_datagram(self.socket, to, &bytes);
        }
        while let Some(news) = self.peers.take_event() {
            tracing::info!(?news, "fleet");
        }
    }

    /// Sends another something; one that is not known gets nothing.
    pub(super) fn post_parcel(&mut self, now: Duration, to: &str, bytes: Vec<u8>) {
        if let Ok(name) = MemberName::try_from(to.to_owned()) {
            self.peers.send_direct(now, &name, bytes);
        }
    }

    /// Names of the others that are held to be there.
    pub(super) fn here(&self) -> impl Iterator<Item = String> + '_ {
        self.peers
            .active_members()
            .map(|member| member.update.name.to_string())
    }

    pub(super) fn parcel(&mut self) -> Option<(String, Vec<u8>)> {
        self.peers
            .take_direct_message()
            .map(|(from, bytes)| (from.to_string(), bytes))
    }

    pub(super) fn leave(&mut self, now: Duration, sockets: &mut Sockets) {
        self.peers.leave(now);
        self.turn(now, sockets);
    }

    /// Keys that can't be used change nothing.
    pub(super) fn read_keys(&mut self) {
        let read = read_keys(&self.key_file).map_err(|trouble| trouble.to_string());
        let ids = |keys: &[Key]| keys.iter().map(|key| key.id).collect();
        let change = |keys: Vec<Key>| {
            let ids = ids(&keys);
            self.peers
                .replace_keys(keys)
                .map(|()| ids)
                .map_err(|trouble| trouble.to_string())
        };
        match read.and_then(change) {
            Ok(ids) => {
                tracing::info!("the keys of the fleet were read again");
                self.keys = ids;
            }
            Err(trouble) => {
                tracing::warn!(%trouble, "the new keys can't be used; the old ones stay");
                self.keys_unusable += 1;
            }
        }
    }

    pub(super) fn view(
        &self,
        now: Duration,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> View {
        let me = self.peers.local_member();
        let members = self.peers.known_members().map(|member| Seen {
            name: member.update.name.to_string(),
            at: member.update.address,
            standing: status_text(member.update.status).to_owned(),
            start: member.update.started_at_ms,
            incarnation: member.update.incarnation,
            for_s: now.saturating_sub(member.status_since).as_secs_f64(),
        });
        View {
            name: me.name.to_string(),
            at: me.address,
            listens: self.listens,
            start: me.started_at_ms,
            incarnation: me.incarnation,
            slowness: self.peers.local_health(),
            bytes_sent: self.peers.bytes_sent(),
            keys: self.keys.clone(),
            keys_unusable: self.keys_unusable,
            refused: self
                .peers
                .rejected_datagrams()
                .iter()
                .map(|(why, count)| (rejection_text(*why).to_owned(), *count))
                .collect(),
            members: members.collect(),
            chosen: self
                .choices
                .as_ref()
                .and_then(|chooser| chooser.chosen(address)),
        }
    }
}

impl Chooser {
    fn see(
        &mut self,
        now: Duration,
        event: &Event,
        address: &impl Fn(PodId) -> Option<SocketAddr>,
    ) {
        match event {
            Event::RequestArrived(_) => self.choices.record_request(),
            Event::AttemptFinished(outcome) => {
                let sign = match outcome.outcome {
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
                let known = self.pods.get(&outcome.pod).zip(sign);
                known
                    .into_iter()
                    .for_each(|((_, key), sign)| self.choices.record_outcome(now, *key, sign));
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
    fn look(&mut self, now: Duration, peers: &mut Membership) -> Option<Option<FleetView>> {
        if now < self.choices.next_deadline() {
            return None;
        }
        if std::mem::take(&mut self.changed) {
            let pod = |(row, key): &(Endpoint, u64)| Pod {
                key: *key,
                zone: row.zone.0,
                capacity: row.weight,
            };
            self.choices.set_pods(self.pods.values().map(pod).collect());
        }
        if let Some(says) = self.choices.take_report(now) {
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
        self.choices.set_peers(others);
        let view = self.choices.take_view(now)?;
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
        let (uses, held) = self.view.as_ref().map_or((0, 0), |view| {
            (view.min_endpoints, view.probed_by_peers.len())
        });
        tracing::info!(uses, held, "the fleet's word on the choices changed");
        Some(self.view.clone())
    }

    fn chosen(&self, address: impl Fn(PodId) -> Option<SocketAddr>) -> Option<Chosen> {
        let view = self.view.as_ref()?;
        let name = |pod: &PodId| address(*pod).map(|at| at.to_string());
        Some(Chosen {
            uses: view
                .preference
                .iter()
                .take(view.min_endpoints)
                .filter_map(name)
                .collect(),
            held: view.probed_by_peers.iter().filter_map(name).collect(),
        })
    }
}
