//! Maintenance of machines: drives `limewing_consensus`, which orders the commands, and `limewing_maintenance`, which
//! decides by them which machines are taken out; the decisions see the pods of closed machines as draining.
//!
//! Data flow of a turn: packets and finished writes go into the consensus, committed commands into the schedule; the leader
//! proposes the next command; commands that were asked of this sidecar are proposed again until they are committed; each
//! sidecar requests its lease from the leader, and reports with it from which machines it is drained.
//!
//! | module | job |
//! | --- | --- |
//! | `consensus_role`, `voter` | this sidecar's part in the consensus, and its log on disk |
//! | `applied_log` | committed commands into the schedule |
//! | `leadership` | leases that this sidecar grants, and commands that it proposes, while it leads |
//! | `lease_client` | its own lease |
//! | `drain` | closed machines, and which of them it is drained from |
//! | `request`, `list_commands` | what operators and the machines' agents ask |
//! | `pending` | commands and voter changes that are not committed yet |
//! | `receiving`, `outbox` | messages from and to other sidecars |
//! | `view` | `GET /limewing/work` |

mod applied_log;
mod consensus_role;
mod drain;
mod leadership;
mod lease_client;
mod list_commands;
mod outbox;
mod pending;
mod receiving;
mod request;
mod view;
mod voter;

use super::membership::FleetMembership;
use super::unix_time::unix_ms;
use crate::endpoint_list::EndpointRecord;
use applied_log::AppliedLog;
use consensus_role::ConsensusRole;
use drain::DrainState;
use leadership::{Leadership, LeaseDecision, LeaseRequest, LeaseTimings};
use lease_client::LeaseClient;
use limewing_maintenance::{Command, Message, RejectionRate};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_settings::MaintenanceSettings;
use outbox::Outbox;
use pending::{PendingRequests, RetryContext};
use request::Effect;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

pub(super) use request::RequestError;
pub use request::{MaintenanceRequest, WorkReport};
pub use view::{ListView, MachineView, MaintenanceView};

/// While a write is in flight it is checked this often whether it is durable.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Two leaders of different terms may overlap for this many election timeouts.
const MAX_LEADER_OVERLAP: u32 = 2;

/// Times of the traffic that maintenance has to wait for.
pub(super) struct TrafficTimings {
    /// For this long requests may still be sent to a machine that was closed.
    pub(super) drain_grace: Duration,
    /// No request takes longer.
    pub(super) longest_request: Duration,
    /// A started pod counts as cold for this long.
    pub(super) warm_up: Duration,
}

/// The endpoints and the requests in flight, as a turn sees them.
pub(super) struct EndpointContext<'a> {
    /// The endpoint list, as the list service has it.
    pub(super) endpoints: &'a [EndpointRecord],
    /// Addresses of endpoints with attempts in flight.
    pub(super) busy_addresses: &'a dyn Fn() -> BTreeSet<SocketAddr>,
}

impl EndpointContext<'_> {
    /// Names of the machines with attempts in flight.
    fn busy_machines(&self) -> BTreeSet<&str> {
        let addresses = (self.busy_addresses)();
        self.endpoints
            .iter()
            .filter(|endpoint| addresses.contains(&endpoint.address))
            .map(|endpoint| endpoint.machine.as_str())
            .collect()
    }
}

/// This sidecar's part in the maintenance of machines.
pub(super) struct Maintenance {
    name: String,
    /// Number of this process: milliseconds since 1970 at its start.
    incarnation: u64,
    /// Names of the voters that found the group, by the settings.
    configured_voters: Vec<String>,
    role: ConsensusRole,
    applied: AppliedLog,
    leadership: Leadership,
    lease: LeaseClient,
    drain: DrainState,
    pending: PendingRequests,
    rejections: RejectionRate,
    outbox: Outbox,
}

impl Maintenance {
    /// Starts without a lease; `seed` makes elections repeatable.
    ///
    /// # Errors
    /// The voter's folder cannot be used.
    pub(super) fn start(
        now: Duration,
        name: &str,
        settings: &MaintenanceSettings,
        traffic: &TrafficTimings,
        seed: u64,
    ) -> io::Result<Self> {
        let role = ConsensusRole::start(now, name, settings, seed)?;
        let lease_duration = Duration::from(settings.lease_duration);
        let lease = LeaseClient::new(now, lease_duration);
        // A sidecar closes its machines at the next request after its lease has expired, at the latest.
        let close_delay = lease.lease().request_interval();
        let timings = LeaseTimings {
            duration: lease_duration,
            leader_overlap: Duration::from(settings.election_timeout) * MAX_LEADER_OVERLAP,
            completion: traffic.drain_grace + traffic.longest_request + close_delay,
        };
        Ok(Self {
            name: name.to_owned(),
            incarnation: unix_ms(wall_clock_now()),
            configured_voters: settings.voters.clone(),
            role,
            applied: AppliedLog::default(),
            leadership: Leadership::new(timings, traffic.warm_up),
            lease,
            drain: DrainState::new(traffic.drain_grace),
            pending: PendingRequests::new(now),
            rejections: RejectionRate::default(),
            outbox: Outbox::default(),
        })
    }

    /// When [`Self::turn`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.role.next_deadline().min(self.lease.next_request())
    }

    /// When the event loop has to come round at the latest.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        self.next_deadline().max(now + WRITE_CHECK_INTERVAL)
    }

    /// Counts requests of clients, and those that were rejected.
    pub(super) fn record_requests(&mut self, now: Duration, requests: u32, rejected: u32) {
        self.rejections.record(now, requests, rejected);
    }

    /// Whether a build is on trial or is being rolled back.
    pub(super) fn set_release_on_trial(&mut self, on_trial: bool) {
        self.leadership.set_release_on_trial(on_trial);
    }

    /// Whether the decisions have to see a machine's pods as draining.
    pub(super) fn is_closed(&self, machine: &str) -> bool {
        self.drain.is_closed(machine)
    }

    /// Decides on a request for a lease. Returns the commit index if this sidecar leads and grants it.
    fn grant_lease(&mut self, now: Duration, request: &LeaseRequest) -> Option<u64> {
        let decision = self
            .leadership
            .decide_lease(now, &self.role, &self.applied, request);
        match decision {
            LeaseDecision::Granted { commit_index } => Some(commit_index),
            LeaseDecision::Register(command) => {
                self.propose(now, &command);
                None
            }
            LeaseDecision::Denied => None,
        }
    }

    fn propose(&mut self, now: Duration, command: &Command) {
        let Some(voter) = self.role.voter_mut() else {
            return;
        };
        if let Ok(index) = voter.propose(now, command) {
            self.leadership.command_proposed(index);
        }
    }

    /// Does what is due, and sends messages through membership. Returns whether other machines are closed than before.
    pub(super) fn turn(
        &mut self,
        now: Duration,
        membership: &mut FleetMembership,
        context: &EndpointContext,
    ) -> bool {
        self.run_consensus(now);
        let command =
            self.leadership
                .next_command(now, &self.role, &self.applied, context.endpoints);
        if let Some(command) = command {
            self.propose(now, &command);
        }
        self.retry_pending(now);
        let schedule = &self.applied.schedule;
        if self.drain.update_drained(now, schedule, context) {
            self.lease.request_at_once(now);
        }
        if now >= self.lease.next_request() {
            self.leadership.observe_zones(context.endpoints);
            self.request_lease(now);
        }
        self.run_consensus(now);
        self.send_messages(now, membership);
        self.drain
            .update_closed(now, self.lease.lease(), &self.applied)
    }

    fn send_messages(&mut self, now: Duration, membership: &mut FleetMembership) {
        for message in self.outbox.take() {
            membership.send_direct(now, message);
        }
    }

    fn run_consensus(&mut self, now: Duration) {
        self.role.run(now, &self.applied, &mut self.outbox);
        self.applied.apply_committed(&mut self.role);
    }

    fn retry_pending(&mut self, now: Duration) {
        let contact = self.lease.leader();
        let contact = contact.or_else(|| self.configured_voters.first().map(String::as_str));
        let context = RetryContext {
            role: &mut self.role,
            schedule: &self.applied.schedule,
            contact,
            outbox: &mut self.outbox,
        };
        self.pending.retry(now, context);
    }

    /// Requests this sidecar's lease, of itself if it leads.
    fn request_lease(&mut self, now: Duration) {
        let number = self.lease.begin_request(now);
        let drained = self.drain.drained().to_vec();
        let rejected_per_mille = self.rejections.per_mille(now);
        if self.role.leader().is_some() {
            let name = self.name.clone();
            let request = LeaseRequest {
                name: &name,
                incarnation: self.incarnation,
                applied_index: self.applied.index,
                drained: &drained,
                rejected_per_mille,
            };
            if let Some(commit_index) = self.grant_lease(now, &request) {
                self.lease.granted_locally(number, commit_index);
            }
            return;
        }
        let request = Message::LeaseRequest {
            incarnation: self.incarnation,
            request: number,
            applied_index: self.applied.index,
            drained,
            rejected_per_mille,
        };
        let candidates = self.possible_leaders();
        for receiver in self.lease.receivers(candidates) {
            self.outbox.push(&receiver, &request);
        }
    }

    /// Names of the other sidecars that may lead, by the settings and by the log.
    fn possible_leaders(&self) -> Vec<String> {
        let mut names: BTreeSet<String> = self.role.voter_names().into_iter().collect();
        names.extend(self.configured_voters.iter().cloned());
        names.remove(&self.name);
        names.into_iter().collect()
    }

    /// Notifies the voters that this sidecar shuts down and sends nothing more.
    pub(super) fn leave(&mut self, now: Duration, membership: &mut FleetMembership) {
        let message = Message::Leave {
            incarnation: self.incarnation,
        };
        for voter in self.possible_leaders() {
            self.outbox.push(&voter, &message);
        }
        self.send_messages(now, membership);
    }

    /// Takes in a request of an operator or of a machine's agent. Returns the number of a new list.
    ///
    /// # Errors
    /// What of the request cannot be used.
    pub(super) fn handle_request(
        &mut self,
        now: Duration,
        request: &MaintenanceRequest,
        endpoints: &[EndpointRecord],
    ) -> Result<Option<u64>, RequestError> {
        let mut new_list = None;
        match request.effect(&self.applied.schedule, endpoints)? {
            Effect::Propose(commands) => self.add_pending(now, commands)?,
            Effect::CreateList { list, commands } => {
                self.add_pending(now, commands)?;
                new_list = Some(list);
            }
            Effect::ChangeVoter { name, is_voter } => {
                self.pending.add_voter_change(now, name, is_voter);
            }
        }
        self.pending.retry_at_once(now);
        self.lease.request_at_once(now);
        Ok(new_list)
    }

    fn add_pending(&mut self, now: Duration, commands: Vec<Command>) -> Result<(), RequestError> {
        if !self.pending.has_room_for(commands.len()) {
            return Err(RequestError::TooManyRequests);
        }
        self.pending.add_commands(now, commands);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
