//! The leases granted by a leader, which determine the sidecars that may still send to a machine.
//!
//! Each sidecar requests a lease from the leader and reports the granted machines that it has
//! drained. A sidecar whose lease has expired sends to no listed machine any more, so the leader
//! need not wait for it.
//!
//! Machines of a list are taken out of service only when all sidecars in the log know the list. A
//! sidecar that is partitioned before then delays the list until it is back, restarted, or reported
//! as gone. This delay is the cost of never sending to a machine in maintenance: a sidecar that
//! cannot be reached cannot learn of the list, and stopping that sidecar would cost more.
//!
//! The holder counts its lease from the time at which it sent the request. The leader counts the
//! lease from the arrival of the request and for `LEASE_SAFETY_FACTOR` times as long, so it expires
//! at the holder first if the rates of the two clocks differ by less than a fifth. A new leader
//! does not know its predecessors' leases: a sidecar that has not reported a machine as drained may
//! hold a lease for the maximum duration. A holder whose lease has expired also needs time to
//! complete its requests in flight. See Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
//! Mechanism for Distributed File Cache Consistency", SOSP 1989.

use crate::command::Identifier;
use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Factor by which the leader extends the lease duration, to tolerate clocks that run at different
/// rates.
const LEASE_SAFETY_FACTOR: f64 = 1.25;
/// Placeholder in the list of sidecars for one that is no longer in the log.
const UNKNOWN_SIDECAR: &str = "one that is gone";

/// A process of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarProcess<'a> {
    /// The name of the sidecar.
    pub name: &'a str,
    /// Distinguishes the processes of a sidecar; later processes have greater numbers.
    pub incarnation: u64,
}

/// The report that a sidecar sends with a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarReport<'a> {
    /// The log index up to which the sidecar has applied the log.
    pub applied_index: u64,
    /// The grants of the machines that the sidecar has drained.
    pub drained: &'a [Identifier],
    /// Number of rejections per thousand requests.
    pub rejected_per_mille: u16,
}

/// The last lease request of a sidecar process.
#[derive(Clone, Debug)]
struct Holder {
    requested_at: Duration,
    applied_index: u64,
    drained: BTreeSet<Identifier>,
    rejection_rate: f64,
}

/// The leases granted by a leader. The log contains the set of sidecars.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    leading_since: Duration,
    hold_time: Duration,
    /// Holders by sidecar name and incarnation.
    holders: BTreeMap<(String, u64), Holder>,
}

impl LeaseGrantor {
    /// Creates the state of a sidecar that leads from now on. `overlap` is the time for which a
    /// predecessor may still lead, and `completion` is the time for which requests in flight may
    /// last after a lease has expired.
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

    /// Handles the lease request of a sidecar.
    ///
    /// Returns whether the lease is granted. It is not granted before the sidecar is in the log.
    pub fn handle_lease_request(
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

    /// Returns the mean fraction of requests that sidecars with a lease reject, from 0 to 1. One
    /// sidecar that reports a wrong number changes it only by its share of the fleet.
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

    /// Returns the sidecars that have not reported that they applied the log up to `index`.
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

    /// Returns the sidecars that may still send to a granted machine or have requests in flight
    /// there.
    ///
    /// All sidecars know the list of the grant, so those without a lease do not send there. A
    /// sidecar that has not requested a lease from this leader may still hold one from a
    /// predecessor.
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
        // Earlier processes are listed under the sidecar's name even if its current process has
        // drained the machine.
        for ((name, incarnation), holder) in &self.holders {
            let current = schedule.sidecars().get_key_value(name);
            let is_earlier = current.is_none_or(|(_, current)| current > incarnation);
            if is_earlier && may_send(holder) {
                names.insert(current.map_or(UNKNOWN_SIDECAR, |(name, _)| name));
            }
        }
        names.into_iter().collect()
    }
}
