//! Checks the limits on machines that are out for maintenance, and counts the maintenance done.

use crate::record::{AttemptKey, Event, PodId, RecordLine, SidecarId};
use crate::report::{Violation, Violations};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maintenance done in a day, and violations of the limits on machines that are out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MaintenanceReport {
    /// Machines whose maintenance was completed.
    pub completed: usize,
    /// Machines whose maintenance failed.
    pub failed: usize,
    /// Highest number of machines out at once; each counts from the notification of its agent until it runs again.
    pub max_out: usize,
    /// Machines still out at the end of the record.
    pub still_out: usize,
    /// Time from the first maintenance request to the end of the last maintenance.
    pub duration: Duration,
    /// All violations, in the order of the record.
    pub violations: Vec<Violation>,
}

/// Checks a whole record; `None` if no maintenance was requested.
#[must_use]
pub fn check_maintenance(lines: &[RecordLine]) -> Option<MaintenanceReport> {
    let mut check = MaintenanceCheck {
        requested_at: None,
        max_out: usize::from(u16::MAX),
        max_out_in_zone: usize::from(u16::MAX),
        out: BTreeSet::new(),
        excluded_pods: BTreeMap::new(),
        started_machines: BTreeSet::new(),
        zones: BTreeMap::new(),
        violations: Violations::default(),
        report: MaintenanceReport::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

struct MaintenanceCheck {
    requested_at: Option<Duration>,
    /// Lowest limit of any request on machines that are out at once.
    max_out: usize,
    /// The same limit within one zone.
    max_out_in_zone: usize,
    out: BTreeSet<usize>,
    /// Pods that must receive no attempts, with their machines.
    excluded_pods: BTreeMap<PodId, usize>,
    /// Machines whose maintenance has started, whether or not it has ended.
    started_machines: BTreeSet<usize>,
    zones: BTreeMap<usize, u16>,
    violations: Violations,
    report: MaintenanceReport,
}

impl MaintenanceCheck {
    fn observe(&mut self, line: &RecordLine) {
        let at = line.at;
        match &line.event {
            Event::MaintenanceRequested {
                max_out,
                max_out_in_zone,
            } => {
                self.requested_at = self.requested_at.or(Some(at));
                self.max_out = self.max_out.min(usize::from(*max_out));
                self.max_out_in_zone = self.max_out_in_zone.min(usize::from(*max_out_in_zone));
            }
            Event::MachineOut { machine, pod } => {
                self.out.insert(*machine);
                self.excluded_pods.insert(*pod, *machine);
            }
            Event::AttemptArrived {
                pod,
                sidecar,
                attempt,
                ..
            } => {
                let Some(machine) = self.excluded_pods.get(pod).copied() else {
                    return;
                };
                self.arrived_at_excluded_pod(at, *sidecar, *attempt, machine);
            }
            Event::PodExited { pod } => {
                self.excluded_pods.remove(pod);
            }
            Event::MaintenanceStarted {
                machine,
                zone,
                in_flight,
            } => self.maintenance_started(at, *machine, *zone, *in_flight),
            Event::MaintenanceEnded { machine, succeeded } => {
                self.maintenance_ended(at, *machine, *succeeded);
            }
            _ => return,
        }
        self.check_limits(at);
    }

    fn arrived_at_excluded_pod(
        &mut self,
        at: Duration,
        sidecar: SidecarId,
        attempt: AttemptKey,
        machine: usize,
    ) {
        let text = format!("{sidecar} sent {attempt} to machine {machine}, which is out");
        self.violations.add(at, text);
    }

    fn maintenance_started(&mut self, at: Duration, machine: usize, zone: u16, in_flight: usize) {
        if in_flight > 0 {
            let text = format!("work on machine {machine} began with {in_flight} hits open on it");
            self.violations.add(at, text);
        }
        if !self.started_machines.insert(machine) {
            let text = format!("machine {machine} was worked on twice");
            self.violations.add(at, text);
        }
        self.zones.insert(machine, zone);
        self.out.insert(machine);
    }

    fn maintenance_ended(&mut self, at: Duration, machine: usize, succeeded: bool) {
        self.out.remove(&machine);
        if succeeded {
            self.report.completed += 1;
        } else {
            self.report.failed += 1;
        }
        self.report.duration = at.saturating_sub(self.requested_at.unwrap_or(at));
    }

    fn check_limits(&mut self, at: Duration) {
        let out = self.out.len();
        self.report.max_out = self.report.max_out.max(out);
        let mut by_zone: BTreeMap<u16, usize> = BTreeMap::new();
        for zone in self
            .out
            .iter()
            .filter_map(|machine| self.zones.get(machine))
        {
            *by_zone.entry(*zone).or_default() += 1;
        }
        let of_one_zone = by_zone.into_values().max().unwrap_or(0);
        if out > self.max_out || of_one_zone > self.max_out_in_zone {
            let text = format!("{out} out, {of_one_zone} of one zone");
            self.violations.add(at, text);
        }
    }

    fn finish(self) -> Option<MaintenanceReport> {
        self.requested_at?;
        Some(MaintenanceReport {
            still_out: self.out.len(),
            violations: self.violations.into_vec(),
            ..self.report
        })
    }
}
