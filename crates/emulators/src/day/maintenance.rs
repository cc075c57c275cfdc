//! Maintenance of machines during a day: operators' requests, and the work on machines that are out of service.

use super::dispatch::TimerEvent;
use super::event_loop::Day;
use super::maintenance_agents::{machines_out, MaintenanceAgents, Post};
use super::DayError;
use crate::rollout::SlotId;
use crate::script::{MaintenanceScript, OperatorAction};
use limewing_http_proxy::service::WorkReport;
use limewing_rule_checker::record::{Event, PodId};
use std::collections::btree_map::Entry;
use std::time::Duration;

/// The time between the notification of an agent and the start of its work; no request should arrive in it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long a day that ends with its maintenance goes on afterwards.
const TIME_AFTER_MAINTENANCE: Duration = Duration::from_secs(1);

impl Day<'_> {
    pub(super) fn begin_maintenance(&mut self) {
        let Some(maintenance) = self.script.maintenance.as_ref() else {
            return;
        };
        let addresses = self.processes.iter().map(|process| process.address);
        self.agents = Some(MaintenanceAgents::start(addresses.collect()));
        for (index, step) in maintenance.steps.iter().enumerate() {
            let at = self.now + step.at.into();
            self.timers.schedule(at, TimerEvent::MaintenanceStep(index));
        }
    }

    pub(super) fn maintenance_step(&mut self, index: usize) {
        let Some(maintenance) = self.script.maintenance.as_ref() else {
            return;
        };
        let Some(agents) = self.agents.as_ref() else {
            return;
        };
        let action = &maintenance.steps[index].action;
        agents.post(Post::Operator(action.clone()));
        if let OperatorAction::Request(list) = action {
            self.record(Event::MaintenanceRequested {
                max_out: list.limits.max_unavailable,
                max_out_in_zone: list.limits.max_unavailable_per_zone.unwrap_or(u16::MAX),
            });
        }
    }

    /// Processes the views that the sidecars have reported since the last call.
    pub(super) fn process_maintenance_views(&mut self) {
        let Some(agents) = &mut self.agents else {
            return;
        };
        let mut newly_out = Vec::new();
        let mut finished = false;
        for view in agents.views.try_iter() {
            finished |= !view.lists.is_empty() && view.lists.iter().all(|list| list.finished);
            for (grant, machine) in machines_out(&view) {
                if let Entry::Vacant(unknown) = agents.machines.entry(grant) {
                    unknown.insert(machine);
                    newly_out.push((grant, machine));
                }
            }
        }
        let maintenance = self.script.maintenance.as_ref();
        if finished && maintenance.is_some_and(|maintenance| maintenance.ends_day_when_over) {
            self.end_by(self.now + TIME_AFTER_MAINTENANCE);
        }
        for (grant, machine) in newly_out {
            self.machine_out(grant, machine);
        }
    }

    fn machine_out(&mut self, grant: u64, machine: SlotId) {
        let pods = self
            .pods
            .iter()
            .filter(|(_, pod)| self.script.machine_of(pod.slot.0) == machine.0);
        let pods: Vec<PodId> = pods.map(|(id, _)| *id).collect();
        for pod in pods {
            let machine = machine.0;
            self.record(Event::MachineOut { machine, pod });
        }
        let at = self.now + SETTLE_TIME;
        self.timers
            .schedule(at, TimerEvent::MaintenanceBegins(grant));
    }

    fn find_grant(&self, grant: u64) -> Option<(SlotId, &MaintenanceScript, &MaintenanceAgents)> {
        let agents = self.agents.as_ref()?;
        let machine = agents.machines.get(&grant)?;
        Some((*machine, self.script.maintenance.as_ref()?, agents))
    }

    pub(super) fn maintenance_begins(&mut self, grant: u64) {
        let Some((machine, maintenance, agents)) = self.find_grant(grant) else {
            return;
        };
        agents.post(Post::Report {
            grant,
            report: WorkReport::Began,
        });
        let duration = maintenance.duration;
        let stalls = maintenance.stalling.contains(&machine.0);
        let slots = self.script.slots_of(machine.0);
        let in_flight = slots
            .iter()
            .map(|slot| self.in_flight_at(SlotId(*slot)))
            .sum();
        let zone = machine.0 % self.script.fleet.zones.len();
        self.record(Event::MaintenanceStarted {
            machine: machine.0,
            zone: zone as u16,
            in_flight,
        });
        for slot in slots {
            self.kill_pods(SlotId(slot));
        }
        if !stalls {
            let end = self.now + duration.into();
            self.timers
                .schedule(end, TimerEvent::MaintenanceEnds(grant));
        }
    }

    pub(super) fn maintenance_ends(&mut self, grant: u64) -> Result<(), DayError> {
        let Some((machine, maintenance, agents)) = self.find_grant(grant) else {
            return Ok(());
        };
        let fails = maintenance.failing.contains(&machine.0);
        let report = if fails {
            WorkReport::Failed
        } else {
            WorkReport::Succeeded
        };
        agents.post(Post::Report { grant, report });
        if maintenance.reported_twice.contains(&machine.0) {
            agents.post(Post::Report { grant, report });
        }
        self.record(Event::MaintenanceEnded {
            machine: machine.0,
            succeeded: !fails,
        });
        for slot in self.script.slots_of(machine.0) {
            let slot = SlotId(slot);
            self.start_pod(slot, self.rollout.build_at(slot), true)?;
        }
        Ok(())
    }
}
