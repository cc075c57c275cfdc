//! Who may still send to a machine that is to go out. Each sidecar holds a lease from whoever leads; while it does, it is asked
//! whether it is clear of each machine granted. One whose lease ran out sends to no machine on a list any more, so nobody has
//! to wait for it.
//!
//! A list's machines go out only once all sidecars that the log names know the list: one that is cut off before holds the list
//! up, until it is back, started anew, or said to be gone. That is the price of never sending to a machine that is out: a sidecar
//! that can't be asked can't be told either, and to have it stop serving would cost more.
//!
//! Bound: a lease counts from when its holder sent the ask that was answered, and here from when that ask came, for `OVER` times as
//! long: so it is over there first, while the two clocks run within a fifth of each other. One that has just begun to lead
//! knows nothing of the leases its predecessors gave: it holds nobody that it has not heard clear for as long as they may last. To that
//! comes the time in which a holder whose lease is over settles what it had sent: the grace of a drain and the longest hit.

use crate::turns::MaintenanceSchedule;
use crate::words::Identifier;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEASE_SAFETY_FACTOR: f64 = 1.25;

#[derive(Clone, Debug)]
struct Holder {
    requested_at: Duration,
    applied_index: u64,
    drained: BTreeSet<Identifier>,
    rejection_rate: f64,
}

/// The leases that whoever leads has given. Which sidecars there are the log says.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    leading_since: Duration,
    hold_time: Duration,
    /// By name and start.
    holders: BTreeMap<(String, u64), Holder>,
}

impl LeaseGrantor {
    /// It leads since now; leases last so long, and `slack` is how long a predecessor may have led beside it. One whose lease
    /// is over still settles what it had sent, for `settles` at most.
    pub fn new(now: Duration, lasts: Duration, slack: Duration, settles: Duration) -> Self {
        Self {
            leading_since: now + slack,
            hold_time: lasts.mul_f64(LEASE_SAFETY_FACTOR) + settles,
            holders: BTreeMap::new(),
        }
    }

    /// One asks, and says up to where it has read, of which grants' machines it is clear, and which part of its hits it turned
    /// away, in thousandths. Whether it gets its lease: not before all know that it is there.
    pub fn lease_requested(
        &mut self,
        now: Duration,
        turns: &MaintenanceSchedule,
        (name, start): (&str, u64),
        (read, clear, turned_away): (u64, &[Identifier], u16),
    ) -> bool {
        let known = turns.sidecars().get(name) == Some(&start);
        if known {
            let (clear, turned_away) = (
                clear.iter().copied().collect(),
                f64::from(turned_away.min(1000)) / 1e3,
            );
            let holder = Holder {
                requested_at: now,
                applied_index: read,
                drained: clear,
                rejection_rate: turned_away,
            };
            self.holders.insert((name.to_owned(), start), holder);
            let lasts = self.hold_time;
            self.holders.retain(|(name, start), holder| {
                turns.sidecars().get(name) == Some(start) || now < holder.requested_at + lasts
            });
        }
        known
    }

    fn holder(&self, name: &str, start: u64) -> Option<&Holder> {
        self.holders.get(&(name.to_owned(), start))
    }

    /// The part of their hits that sidecars turn away, in the mean over all that ask, for as long as their leases last. What one
    /// says too high or too low by a fault moves it by its own part of the fleet alone.
    pub fn mean_rejection_rate(&self, now: Duration, turns: &MaintenanceSchedule) -> f64 {
        let holders = turns
            .sidecars()
            .iter()
            .filter_map(|(name, start)| self.holder(name, *start));
        let parts: Vec<f64> = holders
            .filter(|h| now < h.requested_at + self.hold_time)
            .map(|h| h.rejection_rate)
            .collect();
        if parts.is_empty() {
            return 0.0;
        }
        parts.iter().sum::<f64>() / parts.len() as f64
    }

    /// Those that have not read up to here, as far as it was told.
    pub fn sidecars_behind<'a>(&self, turns: &'a MaintenanceSchedule, upto: u64) -> Vec<&'a str> {
        let aware = |name: &str, start: u64| {
            self.holder(name, start)
                .is_some_and(|h| h.applied_index >= upto)
        };
        let sidecars = turns
            .sidecars()
            .iter()
            .filter(|(name, start)| !aware(name, **start));
        sidecars.map(|(name, _)| name.as_str()).collect()
    }

    /// Those that may still send to a grant's machine, or have something out there. All know the grant's list: so one without a
    /// lease sends there no more. Of one that this leader has not heard a predecessor's lease may last.
    pub fn sidecars_not_drained<'a>(
        &self,
        now: Duration,
        turns: &'a MaintenanceSchedule,
        grant: Identifier,
    ) -> Vec<&'a str> {
        let may = |holder: &Holder| {
            !holder.drained.contains(&grant) && now < holder.requested_at + self.hold_time
        };
        let sends = |name: &str, start: u64| match self.holder(name, start) {
            Some(holder) => may(holder),
            None => now < self.leading_since + self.hold_time,
        };
        let now_there = turns
            .sidecars()
            .iter()
            .filter(|(name, start)| sends(name, **start));
        let names: BTreeSet<&str> = now_there.map(|(name, _)| name.as_str()).collect();
        // Names alone are told: an earlier start of one that is clear itself stands under its name.
        let of_before = self.holders.iter().filter(|((name, start), holder)| {
            turns.sidecars().get(name).is_none_or(|known| known > start) && may(holder)
        });
        let of_before = of_before.filter_map(|((name, _), _)| {
            turns
                .sidecars()
                .get_key_value(name)
                .map_or(Some("one that is gone"), |(name, _)| Some(name.as_str()))
        });
        names
            .into_iter()
            .chain(of_before)
            .collect::<BTreeSet<&str>>()
            .into_iter()
            .collect()
    }
}

/// A sidecar's own lease.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Duration,
    pending_requests: BTreeMap<u64, Duration>,
    last_request: u64,
    expires_at: Option<Duration>,
    /// It holds for one that has read the log up to here.
    required_index: u64,
    started_at: Duration,
}

/// Asks that wait for an answer, at most.
const MAX_PENDING_REQUESTS: usize = 64;
/// One that has just started and gets no lease for so long goes by the node list alone: without that, sidecars that start
/// while no majority of voters runs would serve nothing. Hurts where a machine that is out is on the list as ready.
pub const MAX_START_WAIT: Duration = Duration::from_secs(5);

impl Lease {
    pub fn new(now: Duration, lasts: Duration) -> Self {
        Self {
            duration: lasts,
            pending_requests: BTreeMap::new(),
            last_request: 0,
            expires_at: None,
            required_index: 0,
            started_at: now,
        }
    }

    /// How often to ask.
    pub fn request_interval(&self) -> Duration {
        self.duration / 4
    }

    /// It asks now; the ask's number.
    pub fn request(&mut self, now: Duration) -> u64 {
        self.last_request += 1;
        self.pending_requests.insert(self.last_request, now);
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        self.last_request
    }

    /// An ask was answered by one that has settled all up to here.
    pub fn granted(&mut self, no: u64, settled: u64) {
        let Some(at) = self.pending_requests.remove(&no) else {
            return;
        };
        self.expires_at = self.expires_at.max(Some(at + self.duration));
        self.required_index = self.required_index.max(settled);
    }

    pub fn is_held(&self, now: Duration, read: u64) -> bool {
        self.expires_at.is_some_and(|until| now < until) && read >= self.required_index
    }

    /// Nothing was told yet, and it has not waited for long.
    pub fn awaits_first_grant(&self, now: Duration) -> bool {
        self.expires_at.is_none() && now < self.started_at + MAX_START_WAIT
    }

    /// The machines that are closed to this sidecar; none: all. Those that are granted or out; without a lease also those that
    /// may be, for all that it knows; and all while nothing was told yet.
    pub fn closed_machines(
        &self,
        now: Duration,
        read: u64,
        turns: &MaintenanceSchedule,
    ) -> Option<BTreeSet<String>> {
        if self.awaits_first_grant(now) {
            return None;
        }
        let granted = turns
            .closed_machines()
            .map(|(machine, _)| machine.name.clone());
        let lists = turns
            .lists()
            .values()
            .filter(|list| !self.is_held(now, read) && !list.is_finished());
        let listed = lists
            .flat_map(|list| &list.machines)
            .map(|way| way.machine.name.clone());
        Some(granted.chain(listed).collect())
    }
}

/// Of which grants' machines this sidecar is clear: it has stopped sending there, the drain's grace is over, and nothing is open.
#[derive(Clone, Debug)]
pub struct DrainTracker {
    grace: Duration,
    /// Machines that are closed, since when.
    closed_since: BTreeMap<String, Duration>,
}

impl DrainTracker {
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            closed_since: BTreeMap::new(),
        }
    }

    /// These are closed now, and no others.
    pub fn set_closed(&mut self, now: Duration, names: &BTreeSet<String>) {
        self.closed_since
            .retain(|machine, _| names.contains(machine));
        for machine in names {
            self.closed_since.entry(machine.clone()).or_insert(now);
        }
    }

    /// The grants whose machines nothing goes to any more, by time: of these it is to be asked whether something is open.
    pub fn past_grace<'a>(
        &'a self,
        now: Duration,
        turns: &'a MaintenanceSchedule,
    ) -> impl Iterator<Item = (&'a str, Identifier)> {
        let over = move |machine: &str| {
            self.closed_since
                .get(machine)
                .is_some_and(|since| now >= *since + self.grace)
        };
        turns
            .closed_machines()
            .map(|(machine, grant)| (machine.name.as_str(), grant))
            .filter(move |(name, _)| over(name))
    }
}
