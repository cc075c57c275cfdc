//! Discovery's list as rows of the decision module.

use limewing_decision::interface::{
    BuildId, CellId, Endpoint, EndpointUpdate, MachineTypeId, PodId, PodState, ZoneId,
};
use limewing_proxy_core::clock;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// One object of a watch: the whole list, or what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    #[serde(deserialize_with = "entries")]
    pub hosts: Vec<Result<Entry, Unusable>>,
}

/// An entry that can't be used: its host, if that can be read, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Unusable {
    pub host: Option<String>,
    pub why: String,
}

/// One entry that can't be understood spoils none of the others.
fn entries<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Result<Entry, Unusable>>, D::Error> {
    #[derive(Deserialize)]
    struct Named {
        host: String,
    }
    let read = |raw: Box<RawValue>| {
        serde_json::from_str(raw.get()).map_err(|why| {
            let host = serde_json::from_str(raw.get())
                .ok()
                .map(|named: Named| named.host);
            let why = format!("host {}: {why}", host.as_deref().unwrap_or("unknown"));
            Unusable { host, why }
        })
    };
    Ok(Vec::<Box<RawValue>>::deserialize(from)?
        .into_iter()
        .map(read)
        .collect())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u16,
    pub health: Health,
    #[serde(default = "whole")]
    pub share: f64,
    #[serde(default)]
    pub born_ms: u64,
    #[serde(default)]
    pub version_no: u16,
}

impl Entry {
    fn life(&self) -> Life {
        Life {
            dial: self.dial,
            born_ms: self.born_ms,
            build: BuildId(self.version_no),
        }
    }
}

fn whole() -> f64 {
    1.0
}

/// One life of a pod: connections and forwards that were meant for another one are of no use to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    pub dial: SocketAddr,
    pub born_ms: u64,
    pub build: BuildId,
}

/// Longer than the module speaks of a pod that is gone.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);
/// Entries of one object, at most.
pub const MOST_ENTRIES: usize = 10_000;

struct Row {
    entry: Entry,
    pod: PodId,
    started: Option<Duration>,
    /// Since when it is listed with its build.
    since: Duration,
}

struct Left {
    at: Duration,
    host: String,
    born_ms: u64,
}

/// The list as it is held, and the numbers that the module knows pods by.
pub struct List {
    zones: Vec<String>,
    kinds: Vec<String>,
    rows: BTreeMap<String, Row>,
    names: FxHashMap<PodId, String>,
    numbers: BTreeMap<String, PodId>,
    /// Who left, when, in order, and when that one had started.
    left: VecDeque<Left>,
    next: u64,
    pub seq: u64,
}

/// What a listing changed.
pub struct Change {
    pub news: EndpointUpdate,
    /// Pods whose connections lead to where they are no longer, or to an earlier life of theirs.
    pub moved: Vec<PodId>,
    /// Why entries can't be used; their pods count as gone.
    pub unusable: Vec<String>,
}

impl List {
    pub fn new(zones: &[String], kinds: &[String]) -> Self {
        let (zones, kinds) = (zones.to_vec(), kinds.to_vec());
        let (rows, names, numbers) = (BTreeMap::new(), FxHashMap::default(), BTreeMap::new());
        Self {
            zones,
            kinds,
            rows,
            names,
            numbers,
            left: VecDeque::new(),
            next: 1,
            seq: 0,
        }
    }

    /// The list as it was held last, before the start.
    pub fn recall(&mut self, known: Listing, now: Duration, today: SystemTime) -> EndpointUpdate {
        let seq = known.seq;
        let entries = known.hosts.into_iter().filter_map(|told| match told {
            Ok(entry) => Some(entry).filter(|entry| entry.health != Health::Terminated),
            Err(Unusable { why, .. }) => {
                tracing::warn!(why, "an entry of the list that was held can't be used");
                None
            }
        });
        // It has been there for who knows how long.
        let entries = entries.map(|entry| self.put(entry, now, today)).collect();
        self.rows
            .values_mut()
            .for_each(|row| row.since = Duration::ZERO);
        self.seq = seq;
        EndpointUpdate::Cached(entries)
    }

    /// Takes what a watch told. What is told again though nothing changed is left out: it would have the
    /// module draw its luck with a cold pod anew.
    ///
    /// A list of an earlier version than the one held comes from another discovery, or one that began anew. Nothing that
    /// was told before is unlearned by it: a pod that left or drains stays so, unless it has started since.
    ///
    /// # Errors
    /// More entries than a list can have.
    pub fn take(
        &mut self,
        told: Listing,
        now: Duration,
        today: SystemTime,
    ) -> Result<Change, String> {
        if told.hosts.len() > MOST_ENTRIES {
            return Err(format!(
                "{} entries, at most {MOST_ENTRIES}",
                told.hosts.len()
            ));
        }
        let (mut rows, mut moved) = (Vec::new(), Vec::new());
        let (mut entries, mut unusable) = (Vec::new(), Vec::new());
        for told in told.hosts {
            match told {
                Ok(entry) => entries.push(entry),
                Err(Unusable { host, why }) => {
                    unusable.push(why);
                    let host = host.unwrap_or_default();
                    rows.extend(self.remove(&host, now, &mut moved));
                }
            }
        }
        let older = told.seq < self.seq;
        if told.whole {
            let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
            let gone = self
                .rows
                .keys()
                .filter(|host| !listed.contains(host.as_str()));
            for host in gone.cloned().collect::<Vec<_>>() {
                rows.extend(self.remove(&host, now, &mut moved));
            }
        }
        for entry in entries {
            if older && self.knows_better(&entry) {
                continue;
            }
            let old = self.rows.get(&entry.host);
            if old.is_some_and(|old| old.entry == entry) {
                continue;
            }
            if entry.health == Health::Terminated {
                rows.extend(self.remove(&entry.host, now, &mut moved));
                continue;
            }
            moved.extend(
                old.filter(|old| old.entry.life() != entry.life())
                    .map(|old| old.pod),
            );
            rows.push(self.put(entry, now, today));
        }
        self.forget(now);
        self.seq = told.seq;
        Ok(Change {
            news: EndpointUpdate::Delta(rows),
            moved,
            unusable,
        })
    }

    /// Whether an entry of an older list would unlearn what was told of that life of its pod, or a later one.
    fn knows_better(&self, entry: &Entry) -> bool {
        let (born, build) = (entry.born_ms, entry.version_no);
        match self.rows.get(&entry.host).map(|row| &row.entry) {
            Some(held) if born == held.born_ms => {
                build < held.version_no
                    || (held.health != Health::InService && entry.health == Health::InService)
            }
            Some(held) => born < held.born_ms,
            None => self
                .left
                .iter()
                .any(|left| left.host == entry.host && born <= left.born_ms),
        }
    }

    fn remove(&mut self, host: &str, now: Duration, moved: &mut Vec<PodId>) -> Option<Endpoint> {
        let row = self.rows.remove(host)?;
        self.left.push_back(Left {
            at: now,
            host: host.to_owned(),
            born_ms: row.entry.born_ms,
        });
        moved.push(row.pod);
        Some(Endpoint {
            state: PodState::Gone,
            ..self.entry(&row)
        })
    }

    /// Gives back the numbers of pods that left long ago: a name that returns later is a new pod's.
    fn forget(&mut self, now: Duration) {
        let old = |left: &mut Left| now >= left.at + FORGOTTEN_AFTER;
        while let Some(Left { host, .. }) = self.left.pop_front_if(old) {
            let again =
                self.rows.contains_key(&host) || self.left.iter().any(|left| left.host == host);
            if !again {
                self.numbers
                    .remove(&host)
                    .map(|pod| self.names.remove(&pod));
            }
        }
    }

    fn put(&mut self, entry: Entry, now: Duration, today: SystemTime) -> Endpoint {
        let pod = self.pod(&entry.host);
        let told = |row: &&Row| row.entry.born_ms == entry.born_ms;
        let same = |row: &&Row| row.entry.version_no == entry.version_no;
        let since = self
            .rows
            .get(&entry.host)
            .filter(same)
            .map_or(now, |row| row.since);
        let started = match self.rows.get(&entry.host).filter(told) {
            // Kept, so that a step of the time of day does not look like a restart.
            Some(row) => row.started,
            None if entry.born_ms == 0 => None,
            None => clock::from_wall_clock(entry.born_ms as f64 / 1e3, now, today),
        };
        let row = Row {
            pod,
            started,
            since,
            entry,
        };
        let told = self.entry(&row);
        self.rows.insert(row.entry.host.clone(), row);
        told
    }

    fn entry(&self, row: &Row) -> Endpoint {
        // Names beyond the numbers that there are share the last one.
        let place = |names: &[String], name: &str| {
            let place = names.iter().position(|n| n == name).unwrap_or(names.len());
            u16::try_from(place).unwrap_or(u16::MAX)
        };
        let entry = &row.entry;
        Endpoint {
            pod: row.pod,
            state: match entry.health {
                Health::InService => PodState::Ready,
                Health::Terminating => PodState::Draining,
                Health::Terminated => PodState::Gone,
            },
            build: BuildId(entry.version_no),
            weight: if entry.share.is_finite() && entry.share > 0.0 {
                entry.share
            } else {
                1.0
            },
            started_at: row.started,
            zone: ZoneId(place(&self.zones, &entry.site)),
            cell: CellId(entry.block),
            machine_type: MachineTypeId(place(&self.kinds, &entry.class)),
        }
    }

    /// The number of a pod; one that was gone and returns has the same.
    fn pod(&mut self, host: &str) -> PodId {
        if let Some(pod) = self.numbers.get(host) {
            return *pod;
        }
        let pod = PodId(self.next);
        self.next += 1;
        self.numbers.insert(host.to_owned(), pod);
        self.names.insert(pod, host.to_owned());
        pod
    }

    /// The name that a pod is listed by.
    pub fn host(&self, pod: PodId) -> Option<&str> {
        self.names.get(&pod).map(String::as_str)
    }

    /// As it is listed now; none if it is not.
    pub fn life(&self, pod: PodId) -> Option<Life> {
        self.rows
            .get(self.names.get(&pod)?)
            .map(|row| row.entry.life())
    }

    /// The pod that a forward was sent to then, if it still runs the build that it ran.
    pub fn number(&self, host: &str, sent: Duration) -> Option<PodId> {
        self.rows
            .get(host)
            .filter(|row| row.since <= sent)
            .map(|row| row.pod)
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
