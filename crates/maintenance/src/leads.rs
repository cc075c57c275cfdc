//! What whoever leads puts up next: from what is settled, who holds leases, and what it sees of the fleet; times given in.

use crate::leases::LeaseGrantor;
use crate::limits::FleetSummary;
use crate::turns::{MachinePhase, MachineState, MaintenanceList, MaintenanceSchedule};
use crate::words::{Command, Identifier};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// It tells what it sees so often, while there is a list.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// A machine's work is over for so long, in milliseconds, before it is held to be warm: the node list may be late.
const ENDPOINT_LIST_DELAY_MS: u64 = 1_000;

/// A pod as the node list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pod {
    pub machine: String,
    pub zone: String,
    pub capacity: f64,
    pub draining: bool,
    /// For how long it has run, in seconds; none: longer than anyone knows.
    pub uptime_seconds: Option<f64>,
}

/// What one sidecar sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetObservation<'a> {
    pub pods: &'a [Pod],
    /// A pod that runs for so long, in seconds, is warm.
    pub warm_up_seconds: f64,
    pub release_on_trial: bool,
}

/// Zones that were seen to serve since the process started: one of them that does not is trouble. Hurts where a zone is given
/// up for good: work goes on once whoever leads was started since.
#[derive(Clone, Debug, Default)]
pub struct ZoneTracker(BTreeSet<String>);

impl ZoneTracker {
    /// The zones of pods that serve now.
    pub fn observe_serving<'a>(&mut self, serving: impl Iterator<Item = &'a str>) {
        for zone in serving {
            if !self.0.contains(zone) {
                self.0.insert(zone.to_owned());
            }
        }
    }

    fn has_outage(&self, pods: &[Pod]) -> bool {
        let serves = |zone: &String| pods.iter().any(|pod| pod.zone == *zone && !pod.draining);
        !self.0.iter().all(serves)
    }
}

impl FleetObservation<'_> {
    fn is_warm(&self, pod: &Pod) -> bool {
        !pod.draining
            && pod
                .uptime_seconds
                .is_none_or(|runs| runs >= self.warm_up_seconds)
    }

    /// All pods of a machine serve, and are warm; false if it has none.
    fn is_machine_warm(&self, machine: &str) -> bool {
        let mut pods = self
            .pods
            .iter()
            .filter(|pod| pod.machine == machine)
            .peekable();
        pods.peek().is_some() && pods.all(|pod| self.is_warm(pod))
    }

    /// What is to be settled of it, by one that has read the log up to a place.
    fn summarize(
        &self,
        turns: &MaintenanceSchedule,
        upto: u64,
        zones: &ZoneTracker,
        turned_away: f64,
    ) -> FleetSummary {
        let closed: BTreeSet<&str> = turns
            .closed_machines()
            .map(|(machine, _)| machine.name.as_str())
            .collect();
        let listed: BTreeSet<&str> = self.pods.iter().map(|pod| pod.machine.as_str()).collect();
        let ways = turns.lists().values().flat_map(|list| &list.machines);
        let away = ways
            .map(|way| &way.machine)
            .filter(|machine| !listed.contains(machine.name.as_str()));
        let away: BTreeMap<&str, f64> = away
            .map(|machine| (machine.name.as_str(), machine.capacity))
            .collect();
        let ready = self
            .pods
            .iter()
            .filter(|pod| self.is_warm(pod) && !closed.contains(pod.machine.as_str()));
        FleetSummary {
            applied_index: upto,
            total_capacity: self.pods.iter().map(|pod| pod.capacity).sum::<f64>()
                + away.values().sum::<f64>(),
            ready_capacity: ready.map(|pod| pod.capacity).sum(),
            zone_outage: zones.has_outage(self.pods),
            release_on_trial: self.release_on_trial,
            rejection_rate: turned_away,
        }
    }
}

/// One sidecar's time as leader of one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub term: u64,
    pub grantor: LeaseGrantor,
    next_observation: Duration,
    /// Whether what it sees is settled in its term: a predecessor's picture is no ground for a grant.
    observed_in_term: bool,
    /// Up to where its own words go in the log.
    proposed_index: u64,
}

impl Scheduler {
    pub fn new(now: Duration, term: u64, lessor: LeaseGrantor) -> Self {
        Self {
            term,
            grantor: lessor,
            next_observation: now,
            observed_in_term: false,
            proposed_index: 0,
        }
    }

    /// A word of its own stands in the log at this place, settled or not.
    pub fn command_proposed(&mut self, index: u64) {
        self.proposed_index = self.proposed_index.max(index);
    }

    /// All its own words are read. What was put up is looked at first: else it is put up twice.
    pub fn has_applied_own(&self, read: u64) -> bool {
        read >= self.proposed_index
    }

    /// The word to put up now, at this time of the log in milliseconds; for one that has settled a word of its own term and
    /// has read the log up to a place.
    pub fn next_command(
        &mut self,
        now: Duration,
        log_now: u64,
        (turns, read): (&MaintenanceSchedule, u64),
        zones: &ZoneTracker,
        sight: &FleetObservation,
    ) -> Option<Command> {
        if !self.has_applied_own(read) || turns.lists().values().all(MaintenanceList::is_finished) {
            return None;
        }
        if now >= self.next_observation {
            (self.next_observation, self.observed_in_term) = (now + OBSERVATION_INTERVAL, true);
            let seen = sight.summarize(
                turns,
                read,
                zones,
                self.grantor.mean_rejection_rate(now, turns),
            );
            return Some(Command::Observe {
                at_ms: log_now.max(turns.now_ms()),
                summary: seen,
            });
        }
        let unknown = |(no, list): (&Identifier, &MaintenanceList)| {
            let waits = !list.known && list.is_complete();
            (waits
                && self
                    .grantor
                    .sidecars_behind(turns, list.completed_index)
                    .is_empty())
            .then_some(*no)
        };
        let known = turns
            .lists()
            .iter()
            .find_map(unknown)
            .map(|list| Command::ListKnown { list });
        let ways = || turns.lists().values().flat_map(|list| &list.machines);
        let clear = |way: &MachineState| {
            let grant = way.grant.filter(|_| way.phase == MachinePhase::Granted)?;
            self.grantor
                .sidecars_not_drained(now, turns, grant)
                .is_empty()
                .then_some(Command::Drained { grant })
        };
        let warm = |way: &MachineState| {
            let grant = way.grant.filter(|_| way.phase == MachinePhase::WarmingUp)?;
            let late = turns.now_ms() < way.since_ms + ENDPOINT_LIST_DELAY_MS;
            (!late && sight.is_machine_warm(&way.machine.name))
                .then_some(Command::WarmedUp { grant })
        };
        let next = if self.observed_in_term {
            turns.next_command()
        } else {
            None
        };
        let recall = next
            .clone()
            .filter(|word| matches!(word, Command::RevokeGrant { .. }));
        recall
            .or(known)
            .or_else(|| ways().find_map(clear))
            .or_else(|| ways().find_map(warm))
            .or(next)
    }
}

/// Hits are counted over spans of this length, the last whole one and the one that runs.
const REJECTION_WINDOW: Duration = Duration::from_secs(2);
/// One that had fewer hits counts as one that had so many: a few bad ones are no overload.
const MIN_REQUESTS: u32 = 20;

/// Which part of its last hits a sidecar turned away.
#[derive(Clone, Debug, Default)]
pub struct RejectionRate {
    window_start: Duration,
    current: (u32, u32),
    previous: (u32, u32),
}

impl RejectionRate {
    pub fn record(&mut self, now: Duration, hits: u32, turned_away: u32) {
        self.rotate(now);
        self.current = (
            self.current.0.saturating_add(hits),
            self.current.1.saturating_add(turned_away),
        );
    }

    fn rotate(&mut self, now: Duration) {
        if now >= self.window_start + REJECTION_WINDOW {
            let late = now >= self.window_start + REJECTION_WINDOW * 2;
            self.previous = if late { (0, 0) } else { self.current };
            (self.window_start, self.current) = (now, (0, 0));
        }
    }

    /// In thousandths.
    pub fn per_mille(&mut self, now: Duration) -> u16 {
        self.rotate(now);
        let (hits, away) = (
            self.current.0 + self.previous.0,
            self.current.1 + self.previous.1,
        );
        (u64::from(away) * 1000 / u64::from(hits.max(MIN_REQUESTS))).min(1000) as u16
    }
}
