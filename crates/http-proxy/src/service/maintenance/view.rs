//! The response to `GET /limewing/work`.

use super::consensus_role::ConsensusRole;
use super::Maintenance;
use limewing_consensus::Role;
use limewing_maintenance::{
    Identifier, LeaseGrantor, MachinePhase, MachineState, MaintenanceList, MaintenanceSchedule,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The text for a learner's role on the page.
const LEARNER_TEXT: &str = "asks";

/// One sidecar's view of maintenance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MaintenanceView {
    /// Name of the sidecar.
    pub name: String,
    /// Role in the consensus: `free`, `follows`, `tries`, `stands` or `leads` for a voter, `asks` for a learner.
    #[serde(rename = "standing")]
    pub role: String,
    /// Name of the leader, if known to this sidecar.
    pub leader: Option<String>,
    /// Term of the consensus; 0 on a learner.
    pub term: u64,
    /// Index through which the log is applied.
    #[serde(rename = "settled")]
    pub applied_index: u64,
    /// Names of the voters; empty on a learner.
    #[serde(rename = "members")]
    pub voters: Vec<String>,
    /// Name of the sidecar that becomes a voter once it has caught up.
    #[serde(default, rename = "awaited")]
    pub pending_voter: Option<String>,
    /// Whether this sidecar holds a lease. Without one it sends no requests to machines on a list.
    #[serde(rename = "lease")]
    pub has_lease: bool,
    /// Names of the running sidecars according to the log.
    pub sidecars: Vec<String>,
    /// Names of the machines that this sidecar must not send requests to.
    #[serde(rename = "closed")]
    pub closed_machines: Vec<String>,
    /// The maintenance lists, in the order of their numbers.
    pub lists: Vec<ListView>,
}

/// One maintenance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListView {
    /// Number of the list.
    #[serde(rename = "list")]
    pub id: u64,
    /// Name of the list.
    pub name: String,
    /// Whether the list is paused: no more machines are taken out of service until it is resumed.
    #[serde(rename = "held")]
    pub paused: bool,
    /// Whether the list is withdrawn: no more machines are taken out of service.
    pub withdrawn: bool,
    /// Whether the list is finished.
    #[serde(rename = "over")]
    pub finished: bool,
    /// Sidecars that have not applied the list yet, as known to the leader; empty on other sidecars.
    #[serde(rename = "unknown_to")]
    pub sidecars_behind: Vec<String>,
    /// Machines on the list.
    pub machines: Vec<MachineView>,
}

/// One machine on a maintenance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineView {
    /// Name of the machine.
    pub machine: String,
    /// Phase of the machine: `waits`, `granted`, `out`, `back`, `done` or `failed`.
    #[serde(rename = "step")]
    pub phase: String,
    /// Number of its grant, if it has one.
    pub grant: Option<u64>,
    /// Whether it has been in maintenance for longer than expected.
    pub stalled: bool,
    /// Sidecars that may still send requests to the machine, as known to the leader; empty on other sidecars.
    #[serde(rename = "not_clear")]
    pub sidecars_not_drained: Vec<String>,
    /// Why a waiting machine cannot be taken out of service now.
    #[serde(rename = "why")]
    pub blocked_reason: Option<String>,
}

impl Maintenance {
    /// Returns the response to `GET /limewing/work`.
    pub(in crate::service) fn view(&self, now: Duration) -> MaintenanceView {
        let lists = ListsView {
            now,
            schedule: &self.applied.schedule,
            grantor: self.leadership.grantor(),
        };
        let consensus = ConsensusView::new(&self.role, self.lease.leader());
        MaintenanceView {
            name: self.name.clone(),
            role: consensus.role.to_owned(),
            leader: consensus.leader,
            term: consensus.term,
            applied_index: self.applied.index,
            voters: consensus.voters,
            pending_voter: consensus.pending_voter,
            has_lease: self.lease.lease().is_held(now, self.applied.index),
            sidecars: self.applied.schedule.sidecars().keys().cloned().collect(),
            closed_machines: self.drain.closed_names(),
            lists: lists.lists(),
        }
    }
}

/// The part of the page about the consensus.
struct ConsensusView {
    role: &'static str,
    leader: Option<String>,
    term: u64,
    voters: Vec<String>,
    pending_voter: Option<String>,
}

impl ConsensusView {
    /// Creates the view. `granted_by` is the sidecar that last granted a lease; a learner takes it for the leader.
    fn new(role: &ConsensusRole, granted_by: Option<&str>) -> Self {
        let Some(voter) = role.voter() else {
            return Self {
                role: LEARNER_TEXT,
                leader: granted_by.map(str::to_owned),
                term: 0,
                voters: Vec::new(),
                pending_voter: None,
            };
        };
        let node = voter.node();
        Self {
            role: role_text(node.role()),
            leader: node.leader().map(|id| id.name.clone()),
            term: node.term(),
            voters: role.voter_names(),
            pending_voter: node.pending_voter().map(str::to_owned),
        }
    }
}

/// Returns the text for a voter's role on the page. Clients of the page match on it.
const fn role_text(role: Role) -> &'static str {
    match role {
        Role::Unjoined => "free",
        Role::Follower => "follows",
        Role::PreCandidate => "tries",
        Role::Candidate => "stands",
        Role::Leader => "leads",
    }
}

/// Builds the part of the page about the lists.
struct ListsView<'a> {
    now: Duration,
    schedule: &'a MaintenanceSchedule,
    /// Leases granted by this sidecar, if it leads.
    grantor: Option<&'a LeaseGrantor>,
}

impl ListsView<'_> {
    fn lists(&self) -> Vec<ListView> {
        let lists = self.schedule.lists().iter();
        lists.map(|(id, list)| self.list(*id, list)).collect()
    }

    fn list(&self, id: Identifier, list: &MaintenanceList) -> ListView {
        let machines = list.machines.iter();
        ListView {
            id: id.0,
            name: list.config.name.clone(),
            paused: list.paused,
            withdrawn: list.withdrawn,
            finished: list.is_finished(),
            sidecars_behind: self.sidecars_behind(list),
            machines: machines.map(|state| self.machine(id, state)).collect(),
        }
    }

    fn sidecars_behind(&self, list: &MaintenanceList) -> Vec<String> {
        match self.grantor {
            Some(grantor) if !list.known => {
                to_owned_names(&grantor.sidecars_behind(self.schedule, list.completed_index))
            }
            _ => Vec::new(),
        }
    }

    fn machine(&self, list: Identifier, state: &MachineState) -> MachineView {
        MachineView {
            machine: state.machine.name.clone(),
            phase: state.phase.to_string(),
            grant: state.grant.map(|grant| grant.0),
            stalled: state.stalled,
            sidecars_not_drained: self.sidecars_not_drained(state),
            blocked_reason: self.blocked_reason(list, state),
        }
    }

    fn sidecars_not_drained(&self, state: &MachineState) -> Vec<String> {
        match (state.phase, state.grant, self.grantor) {
            (MachinePhase::Granted, Some(grant), Some(grantor)) => {
                to_owned_names(&grantor.sidecars_not_drained(self.now, self.schedule, grant))
            }
            _ => Vec::new(),
        }
    }

    fn blocked_reason(&self, list: Identifier, state: &MachineState) -> Option<String> {
        if state.phase != MachinePhase::Waiting {
            return None;
        }
        let check = self.schedule.check_grant(list, &state.machine.name);
        check.err().map(|reason| reason.to_string())
    }
}

fn to_owned_names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}
