//! The scripted faults of a day: their start and end, and queries of the active ones.

use super::dispatch::TimerEvent;
use super::event_loop::Day;
use super::DayError;
use crate::rollout::SlotId;
use crate::script::DayFault;
use limewing_rule_checker::record::{Event, SidecarId};

impl<'a> Day<'a> {
    pub(super) fn fault_begins(&mut self, index: usize) {
        let scheduled = &self.script.faults[index];
        let fault = &scheduled.fault;
        self.record(Event::Fault {
            text: format!("begins: {fault}"),
        });
        self.active_faults.insert(index, fault.clone());
        if let Some(duration) = scheduled.duration {
            let end = self.now + duration.into();
            self.timers.schedule(end, TimerEvent::FaultEnds(index));
        }
        match fault {
            DayFault::PodsKilled(slots) => {
                for slot in slots {
                    self.kill_pods(SlotId(*slot));
                }
            }
            DayFault::PodsHung(slots) => self.set_hung(slots, true),
            DayFault::PodsSlow { slots, factor } => self.set_slowdown(slots, *factor),
            DayFault::SidecarKilled(number) => self.kill_sidecar(*number),
            DayFault::SidecarTerminated(number) => self.terminate_sidecar(*number),
            DayFault::SidecarSuspended(number) => self.suspend_sidecar(*number),
            DayFault::ListDown => self.stop_endpoint_service(),
            DayFault::RolloutsDown => self.stop_rollout_service(),
            DayFault::FailingTenant { .. } => self.next_failing_request(index),
            _ => {}
        }
    }

    pub(super) fn fault_ends(&mut self, index: usize) -> Result<(), DayError> {
        let Some(fault) = self.active_faults.remove(&index) else {
            return Ok(());
        };
        self.record(Event::Fault {
            text: format!("ends: {fault}"),
        });
        match &fault {
            DayFault::PodsKilled(slots) => {
                for slot in slots {
                    let slot = SlotId(*slot);
                    self.start_pod(slot, self.rollout.build_at(slot), true)?;
                }
            }
            DayFault::PodsHung(slots) => self.set_hung(slots, false),
            DayFault::PodsSlow { slots, .. } => self.set_slowdown(slots, 1.0),
            DayFault::SidecarKilled(number) | DayFault::SidecarTerminated(number) => {
                self.restart_sidecar(*number)?;
            }
            DayFault::SidecarSuspended(number) => self.resume_sidecar(*number),
            DayFault::ListDown => self.start_endpoint_service()?,
            DayFault::RolloutsDown => self.start_rollout_service()?,
            _ => {}
        }
        Ok(())
    }

    /// Applies the active faults to pods, so that they affect pods that start meanwhile, too.
    pub(super) fn apply_pod_faults(&mut self) {
        let active: Vec<DayFault> = self.active_faults.values().cloned().collect();
        for fault in active {
            match fault {
                DayFault::PodsHung(slots) => self.set_hung(&slots, true),
                DayFault::PodsSlow { slots, factor } => self.set_slowdown(&slots, factor),
                _ => {}
            }
        }
    }

    pub(super) fn has_fault(&self, predicate: impl Fn(&DayFault) -> bool) -> bool {
        self.active_faults.values().any(predicate)
    }

    /// Returns what `pick` finds in the first active fault that matches.
    pub(super) fn find_fault<T>(&self, pick: impl Fn(&DayFault) -> Option<T>) -> Option<T> {
        self.active_faults.values().find_map(pick)
    }

    /// Whether two zones are partitioned from each other.
    pub(super) fn is_partitioned(&self, one: &str, other: &str) -> bool {
        let cuts = |fault: &DayFault| matches!(fault, DayFault::ZonePartitioned(cut) if cut == one || cut == other);
        one != other && self.has_fault(cuts)
    }

    pub(super) fn zone_of(&self, sidecar: SidecarId) -> &'a str {
        self.script
            .sidecar_zones
            .get(sidecar.0 as usize)
            .map_or("", String::as_str)
    }

    /// Whether a sidecar is partitioned from the endpoint list and the rollout service, which are in the first zone.
    pub(super) fn is_partitioned_from_services(&self, sidecar: SidecarId) -> bool {
        self.is_partitioned(self.zone_of(sidecar), &self.script.fleet.zones[0])
    }
}
