//! The list of pods as it is known, and the changes that listings make to it, as updates for the decision engine.

use crate::endpoint_listing::{
    EndpointListing, Incarnation, ListedEndpoint, ServiceState, UnusableEntry,
};
use limewing_decision::interface::{
    BuildId, CellId, Endpoint, EndpointUpdate, MachineTypeId, PodId, PodState, ZoneId,
};
use limewing_proxy_core::clock;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// The number of a pod that left is given back after this time: longer than the decision engine speaks of one.
const DEPARTED_RETENTION: Duration = Duration::from_secs(300);
/// Bound of the entries of one listing.
pub const MAX_ENTRIES: usize = 10_000;

/// A listing that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ListingError {
    /// It has more entries than a list can have.
    #[error("{entries} entries, at most {MAX_ENTRIES}")]
    TooManyEntries {
        /// How many it has.
        entries: usize,
    },
}

/// A pod in the list.
struct Row {
    entry: ListedEndpoint,
    pod: PodId,
    /// When it started, on the sidecar's monotonic clock; `None` if that is long ago or not known.
    started_at: Option<Duration>,
    /// Since when it is listed with its build, on the sidecar's monotonic clock.
    listed_since: Duration,
}

/// A pod that left the list.
struct Departed {
    at: Duration,
    host: String,
    started_at_ms: u64,
}

/// The list of pods, and the numbers by which the decision engine knows them.
pub struct EndpointList {
    zones: Vec<String>,
    machine_types: Vec<String>,
    rows: BTreeMap<String, Row>,
    hosts: FxHashMap<PodId, String>,
    pods: BTreeMap<String, PodId>,
    /// The pods that left, in that order.
    departed: VecDeque<Departed>,
    next_pod: u64,
    version: u64,
}

/// What a listing changed.
pub struct ListChange {
    /// The update for the decision engine.
    pub update: EndpointUpdate,
    /// Pods whose connections lead to where they are no longer, or to an earlier incarnation of theirs.
    pub relocated: Vec<PodId>,
    /// Why entries can't be used; their pods count as gone.
    pub errors: Vec<String>,
}

/// Rows and relocated pods gathered while a listing is applied.
#[derive(Default)]
struct Changes {
    rows: Vec<Endpoint>,
    relocated: Vec<PodId>,
}

impl EndpointList {
    /// An empty list; zones and machine types are numbered by their place in these names.
    #[must_use]
    pub fn new(zones: &[String], machine_types: &[String]) -> Self {
        Self {
            zones: zones.to_vec(),
            machine_types: machine_types.to_vec(),
            rows: BTreeMap::new(),
            hosts: FxHashMap::default(),
            pods: BTreeMap::new(),
            departed: VecDeque::new(),
            next_pod: 1,
            version: 0,
        }
    }

    /// The version of the listing that was applied last.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes the list as it was known last, before the start.
    pub fn load_cached(
        &mut self,
        cached: EndpointListing,
        now: Duration,
        wall_clock: SystemTime,
    ) -> EndpointUpdate {
        let mut endpoints = Vec::new();
        for entry in cached.entries {
            match entry {
                Ok(entry) if entry.state == ServiceState::Terminated => {}
                Ok(entry) => endpoints.push(self.insert(entry, now, wall_clock)),
                Err(UnusableEntry { error, .. }) => {
                    tracing::warn!(error, "cached endpoint cannot be used");
                }
            }
        }
        // How long it has been listed is not known.
        for row in self.rows.values_mut() {
            row.listed_since = Duration::ZERO;
        }
        self.version = cached.version;
        EndpointUpdate::Cached(endpoints)
    }

    /// Applies a listing of a watch. What it repeats unchanged is left out, as the decision engine would
    /// draw the fractional allowance of a pod that warms up anew.
    ///
    /// A listing of an earlier version than the one applied last comes from another discovery, or one that began anew.
    /// Nothing that was known before is forgotten by it: a pod that left or drains stays so, unless it has started since.
    ///
    /// # Errors
    /// The listing has too many entries; nothing of it is applied.
    pub fn apply(
        &mut self,
        listing: EndpointListing,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Result<ListChange, ListingError> {
        if listing.entries.len() > MAX_ENTRIES {
            let entries = listing.entries.len();
            return Err(ListingError::TooManyEntries { entries });
        }
        let is_older = listing.version < self.version;
        let mut changes = Changes::default();
        let mut errors = Vec::new();
        let mut entries = Vec::new();
        for entry in listing.entries {
            match entry {
                Ok(entry) => entries.push(entry),
                Err(UnusableEntry { host, error }) => {
                    errors.push(error);
                    self.remove(&host.unwrap_or_default(), now, &mut changes);
                }
            }
        }
        if listing.is_complete {
            self.remove_unlisted(&entries, now, &mut changes);
        }
        for entry in entries {
            if !(is_older && self.is_outdated(&entry)) {
                self.apply_entry(entry, now, wall_clock, &mut changes);
            }
        }
        self.release_departed(now);
        self.version = listing.version;
        Ok(ListChange {
            update: EndpointUpdate::Delta(changes.rows),
            relocated: changes.relocated,
            errors,
        })
    }

    fn remove_unlisted(
        &mut self,
        entries: &[ListedEndpoint],
        now: Duration,
        changes: &mut Changes,
    ) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
        let unlisted: Vec<String> = self
            .rows
            .keys()
            .filter(|host| !listed.contains(host.as_str()))
            .cloned()
            .collect();
        for host in unlisted {
            self.remove(&host, now, changes);
        }
    }

    fn apply_entry(
        &mut self,
        entry: ListedEndpoint,
        now: Duration,
        wall_clock: SystemTime,
        changes: &mut Changes,
    ) {
        let row = self.rows.get(&entry.host);
        if row.is_some_and(|row| row.entry == entry) {
            return;
        }
        if entry.state == ServiceState::Terminated {
            self.remove(&entry.host, now, changes);
            return;
        }
        if let Some(row) = row.filter(|row| row.entry.incarnation() != entry.incarnation()) {
            changes.relocated.push(row.pod);
        }
        changes.rows.push(self.insert(entry, now, wall_clock));
    }

    /// Whether an entry of an older listing would undo what is known of that incarnation of its pod, or a later one.
    fn is_outdated(&self, entry: &ListedEndpoint) -> bool {
        let Some(known) = self.rows.get(&entry.host).map(|row| &row.entry) else {
            return self.departed.iter().any(|departed| {
                departed.host == entry.host && entry.started_at_ms <= departed.started_at_ms
            });
        };
        if entry.started_at_ms != known.started_at_ms {
            return entry.started_at_ms < known.started_at_ms;
        }
        let returns_to_service =
            known.state != ServiceState::InService && entry.state == ServiceState::InService;
        entry.build < known.build || returns_to_service
    }

    fn remove(&mut self, host: &str, now: Duration, changes: &mut Changes) {
        let Some(row) = self.rows.remove(host) else {
            return;
        };
        self.departed.push_back(Departed {
            at: now,
            host: host.to_owned(),
            started_at_ms: row.entry.started_at_ms,
        });
        changes.relocated.push(row.pod);
        changes.rows.push(Endpoint {
            state: PodState::Gone,
            ..self.endpoint(&row)
        });
    }

    /// Gives back the numbers of pods that left long ago: a name that returns later is a new pod's.
    fn release_departed(&mut self, now: Duration) {
        let is_old = |departed: &mut Departed| now >= departed.at + DEPARTED_RETENTION;
        while let Some(Departed { host, .. }) = self.departed.pop_front_if(is_old) {
            let is_in_use = self.rows.contains_key(&host)
                || self.departed.iter().any(|departed| departed.host == host);
            if is_in_use {
                continue;
            }
            if let Some(pod) = self.pods.remove(&host) {
                self.hosts.remove(&pod);
            }
        }
    }

    fn insert(&mut self, entry: ListedEndpoint, now: Duration, wall_clock: SystemTime) -> Endpoint {
        let pod = self.pod_number(&entry.host);
        let row = self.rows.get(&entry.host);
        let listed_since = row
            .filter(|row| row.entry.build == entry.build)
            .map_or(now, |row| row.listed_since);
        let started_at = match row {
            // Kept, so that a step of the time of day does not look like a restart.
            Some(row) if row.entry.started_at_ms == entry.started_at_ms => row.started_at,
            _ if entry.started_at_ms == 0 => None,
            _ => clock::from_wall_clock(entry.started_at_ms as f64 / 1e3, now, wall_clock),
        };
        let row = Row {
            entry,
            pod,
            started_at,
            listed_since,
        };
        let endpoint = self.endpoint(&row);
        self.rows.insert(row.entry.host.clone(), row);
        endpoint
    }

    fn endpoint(&self, row: &Row) -> Endpoint {
        let entry = &row.entry;
        Endpoint {
            pod: row.pod,
            state: match entry.state {
                ServiceState::InService => PodState::Ready,
                ServiceState::Terminating => PodState::Draining,
                ServiceState::Terminated => PodState::Gone,
            },
            build: BuildId(entry.build),
            weight: if entry.weight.is_finite() && entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            },
            started_at: row.started_at,
            zone: ZoneId(index_of(&entry.zone, &self.zones)),
            cell: CellId(entry.cell),
            machine_type: MachineTypeId(index_of(&entry.machine_type, &self.machine_types)),
        }
    }

    /// The number of a pod; one that left and returns has the same.
    fn pod_number(&mut self, host: &str) -> PodId {
        if let Some(pod) = self.pods.get(host) {
            return *pod;
        }
        let pod = PodId(self.next_pod);
        self.next_pod += 1;
        self.pods.insert(host.to_owned(), pod);
        self.hosts.insert(pod, host.to_owned());
        pod
    }

    /// The name by which a pod is listed.
    #[must_use]
    pub fn host(&self, pod: PodId) -> Option<&str> {
        self.hosts.get(&pod).map(String::as_str)
    }

    /// The incarnation of a pod that is listed now; `None` if it is not listed.
    #[must_use]
    pub fn incarnation(&self, pod: PodId) -> Option<Incarnation> {
        let row = self.rows.get(self.hosts.get(&pod)?)?;
        Some(row.entry.incarnation())
    }

    /// The pod to which an attempt was sent at `sent_at`, if it still runs the build that it ran then.
    #[must_use]
    pub fn pod_listed_at(&self, host: &str, sent_at: Duration) -> Option<PodId> {
        let row = self.rows.get(host)?;
        (row.listed_since <= sent_at).then_some(row.pod)
    }

    /// How many pods are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no pod is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// The number of a name. Names that the settings don't have share the number behind the last one, and those beyond the
/// numbers that there are the largest.
fn index_of(name: &str, names: &[String]) -> u16 {
    let index = names.iter().position(|known| known == name);
    u16::try_from(index.unwrap_or(names.len())).unwrap_or(u16::MAX)
}
