//! The known list of pods, and the conversion of listings to updates for the decision engine.

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

/// The number of a pod that left the list is released after this time, which is longer than the
/// decision engine refers to the pod.
const DEPARTED_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of entries in one listing.
pub const MAX_ENTRIES: usize = 10_000;

/// Why a listing cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ListingError {
    /// It has more entries than the list may have.
    #[error("{entries} entries, at most {MAX_ENTRIES}")]
    TooManyEntries {
        /// The number of its entries.
        entries: usize,
    },
}

/// A pod in the list.
struct Row {
    entry: ListedEndpoint,
    pod: PodId,
    /// When it started, on the monotonic clock of the sidecar; `None` if that is long ago or
    /// unknown.
    started_at: Option<Duration>,
    /// When it was first listed with its current build, on the monotonic clock of the sidecar.
    listed_since: Duration,
}

/// A pod that left the list.
struct Departed {
    at: Duration,
    host: String,
    started_at_ms: u64,
}

/// The list of pods, with the numbers that identify them to the decision engine.
pub struct EndpointList {
    zones: Vec<String>,
    machine_types: Vec<String>,
    rows: BTreeMap<String, Row>,
    hosts: FxHashMap<PodId, String>,
    pods: BTreeMap<String, PodId>,
    /// The pods that left the list, in the order in which they left.
    departed: VecDeque<Departed>,
    next_pod: u64,
    version: u64,
}

/// The changes made by a listing.
pub struct ListChange {
    /// The update for the decision engine.
    pub update: EndpointUpdate,
    /// Pods whose open connections lead to a former address or an earlier incarnation.
    pub relocated: Vec<PodId>,
    /// Errors of unusable entries, whose pods are treated as gone.
    pub errors: Vec<String>,
}

/// Changes collected while a listing is applied.
#[derive(Default)]
struct Changes {
    rows: Vec<Endpoint>,
    relocated: Vec<PodId>,
}

impl EndpointList {
    /// Creates an empty list. Zones and machine types are numbered by their position in these
    /// names.
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

    /// Returns the version of the last applied listing.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Loads the list that was known before the start.
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
        // It is unknown how long the pods have been listed.
        for row in self.rows.values_mut() {
            row.listed_since = Duration::ZERO;
        }
        self.version = cached.version;
        EndpointUpdate::Cached(endpoints)
    }

    /// Applies a listing received from a watch. Unchanged entries are left out of the update,
    /// because the decision engine would redraw the fractional allowance of a pod that is warming
    /// up.
    ///
    /// A listing with a lower version than the last applied one comes from another discovery
    /// instance, or from one that restarted. It reverts nothing that was known before: a pod that
    /// has left or is draining remains so unless it has started since.
    ///
    /// # Errors
    /// Returns an error if the listing has too many entries; none of it is applied.
    pub fn apply(
        &mut self,
        listing: EndpointListing,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Result<ListChange, ListingError> {
        let version = listing.version;
        let change = self.apply_entries(listing, EndpointUpdate::Delta, now, wall_clock)?;
        self.version = version;
        Ok(change)
    }

    /// Applies a listing from the address before a new configuration. That service may be behind the
    /// present one, so it never lowers the version.
    ///
    /// # Errors
    /// As for [`apply`](Self::apply).
    pub fn apply_former(
        &mut self,
        listing: EndpointListing,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Result<ListChange, ListingError> {
        let version = listing.version;
        let change = self.apply_entries(listing, EndpointUpdate::FormerDelta, now, wall_clock)?;
        self.version = self.version.max(version);
        Ok(change)
    }

    /// Applies the entries of a listing, and leaves the version as it is. `update` creates the update
    /// for the decision engine.
    fn apply_entries(
        &mut self,
        listing: EndpointListing,
        update: fn(Vec<Endpoint>) -> EndpointUpdate,
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
        Ok(ListChange {
            update: update(changes.rows),
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

    /// Whether an entry of an older listing would revert what is known of the same incarnation of
    /// its pod, or of a later one.
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

    /// Releases the numbers of pods that left long ago. If such a name returns later, it counts as
    /// a new pod.
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
            // Kept, so that a step of the wall clock does not look like a restart.
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

    /// Returns the number of a pod; a pod that returns after it left keeps its number.
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

    /// Returns the name under which a pod is listed.
    #[must_use]
    pub fn host(&self, pod: PodId) -> Option<&str> {
        self.hosts.get(&pod).map(String::as_str)
    }

    /// Returns the incarnation of a listed pod, or `None` if it is not listed.
    #[must_use]
    pub fn incarnation(&self, pod: PodId) -> Option<Incarnation> {
        let row = self.rows.get(self.hosts.get(&pod)?)?;
        Some(row.entry.incarnation())
    }

    /// Returns the pod to which an attempt was sent at `sent_at`, if it still runs the same build.
    #[must_use]
    pub fn pod_listed_at(&self, host: &str, sent_at: Duration) -> Option<PodId> {
        let row = self.rows.get(host)?;
        (row.listed_since <= sent_at).then_some(row.pod)
    }

    /// Returns the number of listed pods.
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

/// Returns the number of a name. All names that are missing from the settings share the number
/// after the last one. Numbers are limited to the largest `u16`.
fn index_of(name: &str, names: &[String]) -> u16 {
    let index = names.iter().position(|known| known == name);
    u16::try_from(index.unwrap_or(names.len())).unwrap_or(u16::MAX)
}
