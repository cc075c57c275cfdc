//! The lifecycle of pods: they start, drain, hang and end.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::{any_port, Day};
use super::DayError;
use crate::pod_model::{Machine, PodModel};
use crate::rollout::SlotId;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{Event, PodId};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// The age that pods of the initial fleet report, so that no sidecar considers them to be warming up.
const INITIAL_POD_AGE_SECONDS: f64 = 86_400.0;

/// An emulated pod.
pub(super) struct Pod {
    pub(super) slot: SlotId,
    pub(super) build: u16,
    listener: SocketId,
    pub(super) address: SocketAddr,
    /// The index of its zone.
    pub(super) zone: usize,
    pub(super) cell: u16,
    /// Whether it runs and is listed.
    pub(super) running: bool,
    pub(super) draining: bool,
    warms_up: bool,
    /// The Unix time of its start, in seconds since 1970.
    pub(super) started_at_unix: f64,
    pub(super) running_since: Duration,
    pub(super) model: PodModel<u64>,
}

impl Day<'_> {
    fn machine(&self) -> Machine {
        let fleet = &self.script.fleet;
        let rules = &self.script.rules;
        Machine {
            cores: fleet.cores,
            queue_limit: fleet.queue_limit,
            slow_start_from: rules.slow_start_from,
            slow_start_duration: rules.slow_start_duration.into(),
        }
    }

    /// Begins to start a pod. A new pod runs only after the startup time, and then warms up.
    pub(super) fn start_pod(
        &mut self,
        slot: SlotId,
        build: u16,
        new: bool,
    ) -> Result<(), DayError> {
        let (listener, address) = self.sockets.listen(any_port())?;
        let id = PodId(self.next_pod);
        self.next_pod += 1;
        let fleet = &self.script.fleet;
        let pod = Pod {
            slot,
            build,
            listener,
            address,
            zone: slot.0 % fleet.zones.len(),
            cell: (slot.0 / fleet.pods_per_cell) as u16,
            running: false,
            draining: false,
            warms_up: new,
            started_at_unix: 0.0,
            running_since: self.now,
            model: PodModel::new(self.machine(), self.now, new),
        };
        self.owners.insert(listener, SocketOwner::PodListener(id));
        self.pods.insert(id, pod);
        if new {
            let at = self.now + fleet.startup_time.into();
            self.timers.schedule(at, TimerEvent::PodStarted(id));
        } else {
            self.pod_started(id);
        }
        Ok(())
    }

    pub(super) fn pod_started(&mut self, id: PodId) {
        let machine = self.machine();
        let now = self.now;
        let Some(pod) = self.pods.get_mut(&id) else {
            return;
        };
        pod.running = true;
        pod.running_since = now;
        pod.started_at_unix = unix_time_seconds();
        if !pod.warms_up {
            pod.started_at_unix -= INITIAL_POD_AGE_SECONDS;
        }
        pod.model = PodModel::new(machine, now, pod.warms_up);
        pod.model.slowdown = self.script.slowdown_of(pod.build);
        let event = Event::PodStarted {
            pod: id,
            build: pod.build,
            zone: pod.zone as u16,
            cell: pod.cell,
            capacity: machine.cores as f64,
            warming_up: pod.warms_up,
        };
        self.record(event);
        self.apply_pod_faults();
        self.publish_fleet();
    }

    /// Drains the pods of other builds in a slot.
    pub(super) fn drain_other_builds(&mut self, slot: SlotId, build: u16) {
        let mut drained = Vec::new();
        for (id, pod) in &mut self.pods {
            if pod.slot == slot && pod.build != build && !pod.draining {
                pod.draining = true;
                drained.push(*id);
            }
        }
        for id in drained {
            let at = self.now + self.script.fleet.drain_duration.into();
            self.timers.schedule(at, TimerEvent::PodExit(id));
        }
        self.publish_fleet();
    }

    pub(super) fn kill_pods(&mut self, slot: SlotId) {
        let pods = self
            .pods
            .iter()
            .filter(|(_, pod)| pod.slot == slot && pod.running);
        let ids: Vec<PodId> = pods.map(|(id, _)| *id).collect();
        for id in ids {
            self.end_pod(id);
        }
    }

    /// Ends a pod, and closes its connections.
    pub(super) fn end_pod(&mut self, id: PodId) {
        let Some(pod) = self.pods.remove(&id) else {
            return;
        };
        self.record(Event::PodExited { pod: id });
        let listener = pod.listener;
        let connections = |owner: &SocketOwner| matches!(owner, SocketOwner::Pod(c) if c.pod == id);
        let mut sockets = self.sockets_where(connections);
        sockets.push(listener);
        sockets.sort_unstable();
        for socket in sockets {
            self.close(socket);
        }
        self.publish_fleet();
    }

    pub(super) fn set_hung(&mut self, slots: &[usize], hung: bool) {
        let mut changed = Vec::new();
        for (id, pod) in &mut self.pods {
            if slots.contains(&pod.slot.0) {
                pod.model.hung = hung;
                changed.push(*id);
            }
        }
        for id in changed {
            self.dequeue_requests(id);
        }
    }

    pub(super) fn set_slowdown(&mut self, slots: &[usize], factor: f64) {
        for pod in self.pods.values_mut() {
            if slots.contains(&pod.slot.0) {
                pod.model.slowdown = self.script.slowdown_of(pod.build) * factor;
            }
        }
    }
}

/// The current Unix time, in seconds since 1970.
fn unix_time_seconds() -> f64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs_f64()
}
