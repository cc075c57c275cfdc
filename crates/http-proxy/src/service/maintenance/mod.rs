//! Maintenance of machines. This module drives `limewing_consensus`, which orders commands, and `limewing_maintenance`,
//! which uses them to decide which machines are taken out of service. The decision engine sees the pods of closed
//! machines as draining.
//!
//! Data flow of a turn: received packets and completed writes enter the consensus, and committed commands update the
//! schedule. The leader proposes the next command. Commands requested through this sidecar are proposed again until
//! they are committed. Each sidecar requests its lease from the leader, and reports in the request from which machines
//! it is drained.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `consensus_role`, `voter` | this sidecar's role in the consensus, and its log on disk |
//! | `applied_log` | applies committed commands to the schedule |
//! | `leadership` | grants leases and proposes commands while this sidecar leads |
//! | `lease_client` | renews this sidecar's own lease |
//! | `drain` | tracks closed machines, and from which of them this sidecar is drained |
//! | `request`, `list_commands` | requests from operators and machine agents |
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

/// Interval at which a write in flight is checked for durability.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum time for which two leaders of different terms may overlap, in election timeouts.
const MAX_LEADER_OVERLAP_ELECTION_TIMEOUTS: u32 = 2;

/// Durations of client traffic that maintenance has to wait for.
pub(super) struct TrafficTimings {
    /// Period after closing a machine in which requests may still be sent to it.
    pub(super) drain_grace: Duration,
    /// Upper bound of a request's duration.
    pub(super) longest_request: Duration,
    /// Period after its start in which a pod counts as cold.
    pub(super) warm_up: Duration,
}

/// The endpoints and requests in flight during a turn.
pub(super) struct EndpointContext<'a> {
    /// The endpoint list as the service sent it.
    pub(super) endpoints: &'a [EndpointRecord],
    /// Returns the addresses of endpoints with attempts in flight.
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

/// Maintenance of machines, as seen by this sidecar.
pub(super) struct Maintenance {
    name: String,
    /// Incarnation of this process: its start, in milliseconds since 1970.
    incarnation: u64,
    /// Names of the initial voters according to the settings.
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
    /// Starts without a lease. `seed` makes election timing reproducible.
    ///
    /// # Errors
    /// The voter's state directory cannot be used.
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
        // A sidecar closes its machines no later than its next lease request after the lease has expired.
        let close_delay = lease.lease().request_interval();
        let timings = LeaseTimings {
            duration: lease_duration,
            leader_overlap: Duration::from(settings.election_timeout)
                * MAX_LEADER_OVERLAP_ELECTION_TIMEOUTS,
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

    /// When the event loop has to run its next turn at the latest.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        self.next_deadline().max(now + WRITE_CHECK_INTERVAL)
    }

    /// Records numbers of client requests and of rejected requests.
    pub(super) fn record_requests(&mut self, now: Duration, requests: u32, rejected: u32) {
        self.rejections.record(now, requests, rejected);
    }

    /// Sets whether a build is on trial or is being rolled back.
    pub(super) fn set_release_on_trial(&mut self, on_trial: bool) {
        self.leadership.set_release_on_trial(on_trial);
    }

    /// Whether a machine's pods must appear as draining to the decision engine.
    pub(super) fn is_closed(&self, machine: &str) -> bool {
        self.drain.is_closed(machine)
    }

    /// Decides on a lease request. Returns the commit index if this sidecar leads and grants the lease.
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
            self.leadership.record_proposed_command(index);
        }
    }

    /// Runs due work and sends messages through membership. Returns whether the set of closed machines changed.
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

    /// Requests this sidecar's lease, from itself if it leads.
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

    /// Names of the other sidecars that may lead, according to the settings and the log.
    fn possible_leaders(&self) -> Vec<String> {
        let mut names: BTreeSet<String> = self.role.voter_names().into_iter().collect();
        names.extend(self.configured_voters.iter().cloned());
        names.remove(&self.name);
        names.into_iter().collect()
    }

    /// Notifies the voters that this sidecar shuts down and sends no more requests.
    pub(super) fn leave(&mut self, now: Duration, membership: &mut FleetMembership) {
        let message = Message::Leave {
            incarnation: self.incarnation,
        };
        for voter in self.possible_leaders() {
            self.outbox.push(&voter, &message);
        }
        self.send_messages(now, membership);
    }

    /// Handles a request of an operator or a machine agent. Returns the number of a new list, if one is created.
    ///
    /// # Errors
    /// The request is invalid, or too many commands are pending.
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
