//! The leader's observations of the fleet, based on its endpoint list.

use crate::command::Machine;
use crate::fleet_summary::FleetSummary;
use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};

/// A pod on the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Pod {
    /// Name of the machine that the pod runs on.
    pub machine: String,
    /// Zone of the pod.
    pub zone: String,
    /// Capacity of the pod.
    pub capacity: f64,
    /// Whether the pod is draining.
    pub draining: bool,
    /// Uptime of the pod in seconds; `None` if it exceeds all known times.
    pub uptime_seconds: Option<f64>,
}

/// The view that one sidecar has of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetObservation<'a> {
    /// The pods on the sidecar's endpoint list.
    pub pods: &'a [Pod],
    /// Uptime in seconds after which a pod is warm.
    pub warm_up_seconds: f64,
    /// Whether a build is on trial or is being rolled back.
    pub release_on_trial: bool,
}

/// The zones that have served since the process started. A zone that has stopped serving counts as
/// an outage. If a zone is decommissioned, maintenance continues after the leader is restarted.
#[derive(Clone, Debug, Default)]
pub struct ZoneTracker(BTreeSet<String>);

impl ZoneTracker {
    /// Adds the zones of pods that are serving now.
    pub fn observe_serving<'a>(&mut self, serving: impl Iterator<Item = &'a str>) {
        for zone in serving {
            if !self.0.contains(zone) {
                self.0.insert(zone.to_owned());
            }
        }
    }

    fn has_zone_outage(&self, pods: &[Pod]) -> bool {
        let serves = |zone: &String| pods.iter().any(|pod| pod.zone == *zone && !pod.draining);
        !self.0.iter().all(serves)
    }
}

impl FleetObservation<'_> {
    fn is_warm(&self, pod: &Pod) -> bool {
        let uptime = pod.uptime_seconds;
        !pod.draining && uptime.is_none_or(|uptime| uptime >= self.warm_up_seconds)
    }

    /// Returns whether a machine has pods and all of them are serving and warm.
    pub(crate) fn is_machine_warm(&self, machine: &str) -> bool {
        let mut pods = self
            .pods
            .iter()
            .filter(|pod| pod.machine == machine)
            .peekable();
        pods.peek().is_some() && pods.all(|pod| self.is_warm(pod))
    }

    /// Returns the summary to commit, for an observer that has applied the log up to
    /// `applied_index`.
    pub(crate) fn summarize(
        &self,
        schedule: &MaintenanceSchedule,
        applied_index: u64,
        zones: &ZoneTracker,
        rejection_rate: f64,
    ) -> FleetSummary {
        let closed: BTreeSet<&str> = schedule
            .closed_machines()
            .map(|(machine, _)| machine.name.as_str())
            .collect();
        let ready_pods = self
            .pods
            .iter()
            .filter(|pod| self.is_warm(pod) && !closed.contains(pod.machine.as_str()));
        let present_capacity = self.pods.iter().map(|pod| pod.capacity).sum::<f64>();
        FleetSummary {
            applied_index,
            total_capacity: present_capacity + self.absent_capacity(schedule),
            ready_capacity: ready_pods.map(|pod| pod.capacity).sum(),
            zone_outage: zones.has_zone_outage(self.pods),
            release_on_trial: self.release_on_trial,
            rejection_rate,
        }
    }

    /// Returns the capacity of listed machines that have no pod on the endpoint list.
    fn absent_capacity(&self, schedule: &MaintenanceSchedule) -> f64 {
        let present: BTreeSet<&str> = self.pods.iter().map(|pod| pod.machine.as_str()).collect();
        let states = schedule.lists().values().flat_map(|list| &list.machines);
        let is_absent = |machine: &&Machine| !present.contains(machine.name.as_str());
        let absent: BTreeMap<&str, f64> = states
            .map(|state| &state.machine)
            .filter(is_absent)
            .map(|machine| (machine.name.as_str(), machine.capacity))
            .collect();
        absent.values().sum::<f64>()
    }
}
