//! The leader's duties: granting leases and proposing the next command (`limewing_maintenance::Scheduler`).

use super::applied_log::AppliedLog;
use super::consensus_role::ConsensusRole;
use crate::endpoint_list::EndpointRecord;
use crate::service::unix_time::unix_ms;
use limewing_maintenance::{
    Command, FleetObservation, Identifier, LeaseGrantor, MaintenanceList, Pod, Scheduler,
    SidecarProcess, SidecarReport, ZoneTracker,
};
use limewing_proxy_core::clock::wall_clock_now;
use std::time::{Duration, SystemTime};

/// The duration of leases, and the periods that a new leader has to wait for.
#[derive(Clone, Copy)]
pub(super) struct LeaseTimings {
    /// Validity of a lease.
    pub(super) duration: Duration,
    /// Maximum time for which a former leader may still act as leader beside a new one.
    pub(super) leader_overlap: Duration,
    /// Maximum time that a request may remain in flight after the lease under which it was sent has expired.
    pub(super) completion: Duration,
}

/// A sidecar's request for a lease.
pub(super) struct LeaseRequest<'a> {
    /// Name of the sidecar.
    pub(super) name: &'a str,
    /// Incarnation of its process.
    pub(super) incarnation: u64,
    /// Log index through which the sidecar has applied the log.
    pub(super) applied_index: u64,
    /// Grants of the machines that the sidecar is drained from.
    pub(super) drained: &'a [Identifier],
    /// Share of its recent requests that the sidecar rejected, per thousand.
    pub(super) rejected_per_mille: u16,
}

/// The decision on a lease request.
pub(super) enum LeaseDecision {
    /// Granted: the lease is valid once the sidecar has applied the log through this index.
    Granted { commit_index: u64 },
    /// Not granted until the log contains the sidecar's process. The command registers it and has to be proposed.
    Register(Command),
    /// Not granted: this sidecar does not lead, or has not yet applied its own commands.
    Denied,
}

/// The leader's state. Idle on sidecars that do not lead.
pub(super) struct Leadership {
    /// The scheduler of the current term. `None` if this sidecar does not lead.
    scheduler: Option<Scheduler>,
    timings: LeaseTimings,
    zones: ZoneTracker,
    warm_up: Duration,
    release_on_trial: bool,
}

impl Leadership {
    /// Creates the state of a sidecar that does not lead. A pod counts as cold for `warm_up` after its start.
    pub(super) fn new(timings: LeaseTimings, warm_up: Duration) -> Self {
        Self {
            scheduler: None,
            timings,
            zones: ZoneTracker::default(),
            warm_up,
            release_on_trial: false,
        }
    }

    /// Returns the granted leases, if this sidecar leads.
    pub(super) fn grantor(&self) -> Option<&LeaseGrantor> {
        self.scheduler.as_ref().map(|scheduler| &scheduler.grantor)
    }

    /// Sets whether a build is on trial or is being rolled back.
    pub(super) fn set_release_on_trial(&mut self, on_trial: bool) {
        self.release_on_trial = on_trial;
    }

    /// Updates which zones currently have serving endpoints.
    pub(super) fn observe_zones(&mut self, endpoints: &[EndpointRecord]) {
        let serving = endpoints.iter().filter(|endpoint| !endpoint.draining);
        self.zones
            .observe_serving(serving.map(|endpoint| endpoint.zone.as_str()));
    }

    /// Records that a command of this leader was appended to the log at `index`.
    pub(super) fn record_proposed_command(&mut self, index: u64) {
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.record_proposed_command(index);
        }
    }

    /// Adopts leadership changes from the consensus. Returns the command to propose now, if any.
    pub(super) fn next_command(
        &mut self,
        now: Duration,
        role: &ConsensusRole,
        applied: &AppliedLog,
        endpoints: &[EndpointRecord],
    ) -> Option<Command> {
        self.update_term(now, role);
        let mut lists = applied.schedule.lists().values();
        if lists.all(MaintenanceList::is_finished) || role.established_leader().is_none() {
            return None;
        }
        let scheduler = self.scheduler.as_mut()?;
        let wall_clock = wall_clock_now();
        let pods: Vec<Pod> = endpoints
            .iter()
            .map(|endpoint| to_pod(endpoint, wall_clock))
            .collect();
        let observation = FleetObservation {
            pods: &pods,
            warm_up_seconds: self.warm_up.as_secs_f64(),
            release_on_trial: self.release_on_trial,
        };
        scheduler.next_command(
            now,
            unix_ms(wall_clock),
            &applied.schedule,
            applied.index,
            &self.zones,
            &observation,
        )
    }

    fn update_term(&mut self, now: Duration, role: &ConsensusRole) {
        let term = role.leader().map(|voter| voter.node().term());
        let current = self.scheduler.as_ref().map(|scheduler| scheduler.term);
        if current == term {
            return;
        }
        let timings = self.timings;
        self.scheduler = term.map(|term| {
            let grantor = LeaseGrantor::new(
                now,
                timings.duration,
                timings.leader_overlap,
                timings.completion,
            );
            Scheduler::new(now, term, grantor)
        });
    }

    /// Decides on a lease request.
    pub(super) fn decide_lease(
        &mut self,
        now: Duration,
        role: &ConsensusRole,
        applied: &AppliedLog,
        request: &LeaseRequest,
    ) -> LeaseDecision {
        // Before it has committed an entry of its own term, a leader may lack entries that its predecessors committed,
        // and would grant leases too early.
        let Some(voter) = role.established_leader() else {
            return LeaseDecision::Denied;
        };
        let Some(scheduler) = &mut self.scheduler else {
            return LeaseDecision::Denied;
        };
        let process = SidecarProcess {
            name: request.name,
            incarnation: request.incarnation,
        };
        let report = SidecarReport {
            applied_index: request.applied_index,
            drained: request.drained,
            rejected_per_mille: request.rejected_per_mille,
        };
        let granted =
            scheduler
                .grantor
                .handle_lease_request(now, &applied.schedule, process, report);
        if granted {
            let commit_index = voter.node().commit_index();
            return LeaseDecision::Granted { commit_index };
        }
        let known = applied.schedule.sidecars().get(request.name);
        let is_new = known.is_none_or(|known| *known < request.incarnation);
        if scheduler.has_applied_own_commands(applied.index) && is_new {
            return LeaseDecision::Register(Command::SidecarStarted {
                name: request.name.to_owned(),
                incarnation: request.incarnation,
            });
        }
        LeaseDecision::Denied
    }
}

fn to_pod(endpoint: &EndpointRecord, wall_clock: SystemTime) -> Pod {
    let now_seconds = unix_ms(wall_clock) as f64 / 1e3;
    Pod {
        machine: endpoint.machine.clone(),
        zone: endpoint.zone.clone(),
        capacity: endpoint.weight,
        draining: endpoint.draining,
        uptime_seconds: endpoint.started.map(|started| now_seconds - started),
    }
}
