//! The leases that a leader grants, and which sidecars may still send to a machine.
//!
//! Each sidecar requests a lease from the leader, and reports with the request which granted machines it is drained from. A sidecar
//! whose lease has expired sends to no machine on a list any more, so nobody has to wait for it.
//!
//! A list's machines are taken out only once all sidecars in the log know the list. A sidecar that is partitioned before holds the
//! list up, until it is back, restarted, or reported as gone. That is the price of never sending to a machine in maintenance: a
//! sidecar that can't be reached can't be told either, and stopping it would cost more.
//!
//! A lease counts at its holder from when it sent the request, and here from when the request arrived, for
//! `LEASE_SAFETY_FACTOR` times as long: so it expires at the holder first, as long as the rates of the two clocks differ by less than a
//! fifth. A new leader knows nothing of its predecessors' leases: a sidecar that has not reported to be drained may hold one for as
//! long as a lease can last. On top comes the time in which a holder whose lease has expired completes the requests in flight. See Gray
//! and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989.

use crate::command::Identifier;
use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Leases count for so many times their duration at the leader, to allow for clocks that run at different rates.
const LEASE_SAFETY_FACTOR: f64 = 1.25;
/// Stands in the list of sidecars for one that the log does not name any more.
const GONE_SIDECAR: &str = "one that is gone";

/// One process of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarProcess<'a> {
    /// The sidecar's name.
    pub name: &'a str,
    /// Told apart from the same sidecar's other processes; a later one has a higher number.
    pub incarnation: u64,
}

/// What a sidecar reports with its request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarReport<'a> {
    /// The index through which it has applied the log.
    pub applied_index: u64,
    /// The grants whose machines it is drained from.
    pub drained: &'a [Identifier],
    /// Its rejections per thousand requests.
    pub rejected_per_mille: u16,
}

/// The last request of one process of a sidecar.
#[derive(Clone, Debug)]
struct Holder {
    requested_at: Duration,
    applied_index: u64,
    drained: BTreeSet<Identifier>,
    rejection_rate: f64,
}

/// The leases that a leader has granted. Which sidecars there are is in the log.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    leading_since: Duration,
    hold_time: Duration,
    /// By name and incarnation.
    holders: BTreeMap<(String, u64), Holder>,
}

impl LeaseGrantor {
    /// A sidecar that leads from now on. `overlap` is how long a predecessor may have led beside it, `completion` how long requests in
    /// flight may last after a lease has expired.
    pub fn new(
        now: Duration,
        lease_duration: Duration,
        overlap: Duration,
        completion: Duration,
    ) -> Self {
        Self {
            leading_since: now + overlap,
            hold_time: lease_duration.mul_f64(LEASE_SAFETY_FACTOR) + completion,
            holders: BTreeMap::new(),
        }
    }

    /// A sidecar requests its lease.
    ///
    /// Returns whether the lease is granted: not before the log names the sidecar.
    pub fn lease_requested(
        &mut self,
        now: Duration,
        schedule: &MaintenanceSchedule,
        process: SidecarProcess,
        report: SidecarReport,
    ) -> bool {
        let SidecarProcess { name, incarnation } = process;
        if schedule.sidecars().get(name) != Some(&incarnation) {
            return false;
        }
        let holder = Holder {
            requested_at: now,
            applied_index: report.applied_index,
            drained: report.drained.iter().copied().collect(),
            rejection_rate: f64::from(report.rejected_per_mille.min(1000)) / 1e3,
        };
        self.holders.insert((name.to_owned(), incarnation), holder);
        let hold_time = self.hold_time;
        self.holders.retain(|(name, incarnation), holder| {
            let is_current = schedule.sidecars().get(name) == Some(incarnation);
            is_current || now < holder.requested_at + hold_time
        });
        true
    }

    fn holder(&self, name: &str, incarnation: u64) -> Option<&Holder> {
        self.holders.get(&(name.to_owned(), incarnation))
    }

    fn may_hold_lease(&self, now: Duration, holder: &Holder) -> bool {
        now < holder.requested_at + self.hold_time
    }

    /// The mean part of their requests that sidecars with a lease reject, 0 to 1. One sidecar that reports too much or too
    /// little moves it by its share of the fleet only.
    pub fn mean_rejection_rate(&self, now: Duration, schedule: &MaintenanceSchedule) -> f64 {
        let rates: Vec<f64> = schedule
            .sidecars()
            .iter()
            .filter_map(|(name, incarnation)| self.holder(name, *incarnation))
            .filter(|holder| self.may_hold_lease(now, holder))
            .map(|holder| holder.rejection_rate)
            .collect();
        if rates.is_empty() {
            return 0.0;
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    /// The sidecars that have not reported to have applied the log through `index`.
    pub fn sidecars_behind<'a>(
        &self,
        schedule: &'a MaintenanceSchedule,
        index: u64,
    ) -> Vec<&'a str> {
        let has_applied = |name: &str, incarnation: u64| {
            let holder = self.holder(name, incarnation);
            holder.is_some_and(|holder| holder.applied_index >= index)
        };
        schedule
            .sidecars()
            .iter()
            .filter(|(name, incarnation)| !has_applied(name, **incarnation))
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// The sidecars that may still send to a granted machine, or have requests in flight there.
    ///
    /// All know the grant's list, so one without a lease does not send there. Of one that has not requested a lease from this leader, a
    /// predecessor's lease may last.
    pub fn sidecars_not_drained<'a>(
        &self,
        now: Duration,
        schedule: &'a MaintenanceSchedule,
        grant: Identifier,
    ) -> Vec<&'a str> {
        let may_send =
            |holder: &Holder| !holder.drained.contains(&grant) && self.may_hold_lease(now, holder);
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for (name, incarnation) in schedule.sidecars() {
            let is_sending = match self.holder(name, *incarnation) {
                Some(holder) => may_send(holder),
                None => now < self.leading_since + self.hold_time,
            };
            if is_sending {
                names.insert(name);
            }
        }
        // Earlier processes are listed under the name of the sidecar, also if its current process is drained.
        for ((name, incarnation), holder) in &self.holders {
            let current = schedule.sidecars().get_key_value(name);
            let is_earlier = current.is_none_or(|(_, current)| current > incarnation);
            if is_earlier && may_send(holder) {
                names.insert(current.map_or(GONE_SIDECAR, |(name, _)| name));
            }
        }
        names.into_iter().collect()
    }
}
