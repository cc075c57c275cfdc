//! Group discovery: how a node finds or creates a group (see [`crate::bootstrap`]) and requests
//! membership.

use super::{RaftNode, Role};
use crate::bootstrap::voters_checksum;
use crate::log::Log;
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Configuration, Members, NodeId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between discovery requests, in heartbeat intervals.
const DISCOVERY_INTERVAL_HEARTBEATS: u32 = 2;
/// Number of election timeouts without contact to a leader after which a node without a vote sends
/// join requests.
const JOIN_AFTER_TIMEOUTS: u32 = 2;

impl RaftNode {
    /// Returns the names of all other potential voters, from the settings and the log.
    fn other_known_names(&self) -> Vec<String> {
        let members = self.members().iter().map(|id| &id.name);
        let names: BTreeSet<&String> = self.config.voters.iter().chain(members).collect();
        let others = names.into_iter().filter(|name| **name != self.id.name);
        others.cloned().collect()
    }

    /// Sends join requests if no leader replicates to this node, which has no vote.
    pub(super) fn request_join_without_leader(&mut self, now: Duration) {
        self.periodic_deadline = now + self.config.election_timeout;
        let silence = self.config.election_timeout * JOIN_AFTER_TIMEOUTS;
        if now >= self.last_leader_contact + silence {
            self.request_join();
        }
    }

    /// Asks all known nodes for replication.
    pub(super) fn request_join(&mut self) {
        for name in self.other_known_names() {
            self.send_to_name(&name, 0, Message::JoinRequest);
        }
    }

    /// Asks all known nodes whether they have joined a group.
    pub(super) fn discover_group(&mut self, now: Duration) {
        self.periodic_deadline =
            now + self.config.heartbeat_interval * DISCOVERY_INTERVAL_HEARTBEATS;
        let nonce = self.bootstrap.nonce;
        let voters_checksum = voters_checksum(&self.config.voters);
        for name in self.other_known_names() {
            let request = Message::DiscoveryRequest {
                nonce,
                voters_checksum,
            };
            self.send_to_name(&name, 0, request);
        }
        self.try_bootstrap(now);
    }

    /// Creates the group if this node is responsible for it and all voters have answered. The
    /// group's identifier is the incarnation of the node that creates it.
    fn try_bootstrap(&mut self, now: Duration) {
        let members = self
            .bootstrap
            .initial_members(&self.id, &self.config.voters);
        if let Some(members) = members {
            self.join_group(now, self.id.incarnation, members);
        }
    }

    fn join_group(&mut self, now: Duration, group: u64, members: Members) {
        self.group = group;
        self.role = Role::Follower;
        let configuration = Configuration {
            voters: members,
            pending_voter: None,
        };
        self.log = Log::new(configuration.clone());
        self.persistence.push(Record::Group {
            group,
            initial: configuration,
        });
        self.last_leader_contact = now;
        self.periodic_deadline = now;
        self.reset_election_deadline(now);
    }

    pub(super) fn handle_discovery_request(
        &mut self,
        from: &NodeId,
        nonce: u64,
        sender_checksum: u64,
    ) {
        let voters_checksum = voters_checksum(&self.config.voters);
        if sender_checksum != voters_checksum && self.group == 0 {
            return;
        }
        let initial_members = if self.log.snapshot_position().index == 0 {
            self.log.snapshot_configuration().voters.clone()
        } else {
            Members::new()
        };
        let response = Message::DiscoveryResponse {
            nonce,
            voters_checksum,
            initial_members,
        };
        self.send(from, response);
    }

    /// Joins the sender's group, or creates a group if the sender was the last voter to answer that
    /// it has none.
    pub(super) fn handle_discovery_response(
        &mut self,
        now: Duration,
        group: u64,
        from: &NodeId,
        nonce: u64,
        sender_checksum: u64,
        initial_members: &Members,
    ) {
        let is_current_request = self.group == 0 && nonce == self.bootstrap.nonce;
        if !is_current_request || from.name == self.id.name {
            return;
        }
        if group == 0 {
            if sender_checksum == voters_checksum(&self.config.voters) {
                self.bootstrap.record_unjoined(from);
                self.try_bootstrap(now);
            }
            return;
        }
        self.bootstrap.abandon();
        // Only the incarnations that created the group have a vote from the start. Any other node
        // learns the current configuration from the leader.
        if initial_members.contains(&self.id) {
            self.join_group(now, group, initial_members.clone());
        } else {
            self.join_group(now, group, Members::new());
            self.request_join();
        }
    }
}
