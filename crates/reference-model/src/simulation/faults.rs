//! Generates the faults of a run. Faults of the same or different kinds can overlap.

use super::event::{DiscoveryState, SimulationEvent};
use super::{ms, Simulation, START};
use rand::RngExt;
use std::time::Duration;

/// The earliest start of each outage of the list service, in milliseconds from the start of the run.
const OUTAGE_STARTS_MS: [u64; 2] = [1000, 12_000];

/// The kinds of faults, repeated according to their frequency.
const FAULT_KINDS: [FaultKind; 14] = [
    FaultKind::PodCrashes,
    FaultKind::PodHang,
    FaultKind::PodSlowness,
    FaultKind::LostAnswers,
    FaultKind::WatchBreak,
    FaultKind::SidecarStall,
    FaultKind::SidecarRestart,
    FaultKind::SidecarRestart,
    FaultKind::ListDelay,
    FaultKind::StageDelay,
    FaultKind::RolloutServiceOutage,
    FaultKind::LoweredCap,
    FaultKind::Overload,
    FaultKind::FleetSlowness,
];

#[derive(Clone, Copy)]
enum FaultKind {
    PodCrashes,
    PodHang,
    PodSlowness,
    LostAnswers,
    /// All pods are slow at the same time.
    FleetSlowness,
    WatchBreak,
    SidecarStall,
    SidecarRestart,
    ListDelay,
    StageDelay,
    RolloutServiceOutage,
    LoweredCap,
    Overload,
}

/// The time span of a fault, and the pod and sidecar it affects.
struct FaultPlan {
    start: Duration,
    end: Duration,
    pod_index: usize,
    sidecar: usize,
}

impl FaultPlan {
    /// Returns the end of a sidecar fault. Sidecar faults are shorter than others.
    fn sidecar_end(&self) -> Duration {
        self.start + (self.end - self.start) / 3
    }
}

impl Simulation {
    /// Schedules the start of the sidecars, the clients and the first rollout, and 5 to 11 faults.
    pub(super) fn draw_faults(&mut self, pod_count: usize) {
        for sidecar in 0..self.sidecars.len() {
            self.schedule(START, SimulationEvent::SidecarStarts(sidecar));
        }
        self.schedule(START, SimulationEvent::ClientArrives);
        let first_rollout = START + ms(self.rng.random_range(1500..4000));
        self.schedule(first_rollout, SimulationEvent::RolloutAdvances { state: 0 });
        for _ in 0..self.rng.random_range(5..12) {
            self.draw_fault(pod_count);
        }
    }

    fn draw_fault(&mut self, pod_count: usize) {
        let start = START + ms(self.rng.random_range(500..20_000));
        let end = start + ms(self.rng.random_range(300..5000));
        let fault = FaultPlan {
            start,
            end,
            pod_index: self.rng.random_range(0..pod_count),
            sidecar: self.rng.random_range(0..self.sidecars.len()),
        };
        let kind = FAULT_KINDS[self.rng.random_range(0..FAULT_KINDS.len())];
        match kind {
            FaultKind::PodCrashes => self.draw_pod_crashes(&fault, pod_count),
            FaultKind::PodHang | FaultKind::PodSlowness | FaultKind::LostAnswers => {
                self.draw_pod_fault(kind, &fault);
            }
            FaultKind::FleetSlowness => {
                let factor = self.rng.random_range(1.5..4.0);
                for pod_index in 0..pod_count {
                    self.schedule_slowness(pod_index, factor, &fault);
                }
            }
            FaultKind::SidecarStall => self.schedule_stall(&fault),
            FaultKind::SidecarRestart => self.schedule_restart(&fault),
            FaultKind::Overload => {
                let factor = self.rng.random_range(1.2..2.5);
                self.schedule(start, SimulationEvent::Overload(factor));
                self.schedule(end, SimulationEvent::Overload(1.0));
            }
            FaultKind::WatchBreak
            | FaultKind::ListDelay
            | FaultKind::StageDelay
            | FaultKind::RolloutServiceOutage
            | FaultKind::LoweredCap => self.draw_control_fault(kind, &fault),
        }
    }

    /// Schedules simultaneous crashes of 1 to 3 pods. Some pods restart with a different build under the same ID.
    fn draw_pod_crashes(&mut self, fault: &FaultPlan, pod_count: usize) {
        let first = fault.pod_index;
        let end = (first + self.rng.random_range(1..4)).min(pod_count);
        for pod_index in first..end {
            let build = if self.rng.random_bool(0.3) {
                None
            } else {
                Some(self.pods[pod_index].endpoint.build)
            };
            self.schedule(fault.start, SimulationEvent::PodCrashes(pod_index));
            self.schedule(fault.end, SimulationEvent::PodRestarts { pod_index, build });
        }
    }

    fn draw_pod_fault(&mut self, kind: FaultKind, fault: &FaultPlan) {
        let pod_index = fault.pod_index;
        match kind {
            FaultKind::PodHang => {
                let hangs = |hangs| SimulationEvent::PodHangs { pod_index, hangs };
                self.schedule(fault.start, hangs(true));
                self.schedule(fault.end, hangs(false));
            }
            FaultKind::PodSlowness => {
                let factor = self.rng.random_range(2.0..8.0);
                self.schedule_slowness(pod_index, factor, fault);
            }
            _ => {
                let loses = |loses| SimulationEvent::PodLosesAnswers { pod_index, loses };
                self.schedule(fault.start, loses(true));
                self.schedule(fault.end, loses(false));
            }
        }
    }

    fn schedule_stall(&mut self, fault: &FaultPlan) {
        let sidecar = fault.sidecar;
        let stalls = |stalls| SimulationEvent::SidecarStalls { sidecar, stalls };
        self.schedule(fault.start, stalls(true));
        self.schedule(fault.sidecar_end(), stalls(false));
    }

    fn schedule_restart(&mut self, fault: &FaultPlan) {
        let sidecar = fault.sidecar;
        self.schedule(fault.start, SimulationEvent::SidecarCrashes(sidecar));
        self.schedule(fault.sidecar_end(), SimulationEvent::SidecarStarts(sidecar));
    }

    /// Schedules a fault of the list service or the rollout service.
    fn draw_control_fault(&mut self, kind: FaultKind, fault: &FaultPlan) {
        let (start, end) = (fault.start, fault.end);
        match kind {
            FaultKind::WatchBreak => {
                self.schedule(start, SimulationEvent::WatchBreaks(fault.sidecar));
            }
            FaultKind::ListDelay => {
                let delay = ms(self.rng.random_range(1000..6000));
                self.schedule(start, SimulationEvent::ListDelayed(delay));
                self.schedule(end, SimulationEvent::ListDelayed(Duration::ZERO));
            }
            FaultKind::StageDelay => {
                let delay = ms(self.rng.random_range(1000..5000));
                self.schedule(start, SimulationEvent::StageDelayed(delay));
                self.schedule(end, SimulationEvent::StageDelayed(Duration::ZERO));
            }
            FaultKind::RolloutServiceOutage => {
                self.schedule(start, SimulationEvent::RolloutServiceDown(true));
                self.schedule(end, SimulationEvent::RolloutServiceDown(false));
            }
            _ => self.schedule(start, SimulationEvent::CapLowered),
        }
    }

    fn schedule_slowness(&mut self, pod_index: usize, factor: f64, fault: &FaultPlan) {
        let slows = |factor| SimulationEvent::PodSlows { pod_index, factor };
        self.schedule(fault.start, slows(factor));
        self.schedule(fault.end, slows(1.0));
    }

    /// Schedules one or two long outages of the list service.
    pub(super) fn draw_outages(&mut self) {
        let count = self.link_rng.random_range(1..=2);
        for earliest in OUTAGE_STARTS_MS.into_iter().take(count) {
            let states = [DiscoveryState::Refuses, DiscoveryState::Silent];
            let state = states[self.link_rng.random_range(0..states.len())];
            let start = START + ms(earliest + self.link_rng.random_range(0..4000));
            let end = start + ms(self.link_rng.random_range(5000..9000));
            self.schedule(start, SimulationEvent::DiscoveryChanges(state));
            self.schedule(
                end,
                SimulationEvent::DiscoveryChanges(DiscoveryState::Answers),
            );
        }
    }
}
