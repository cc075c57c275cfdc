//! How a node without a group finds one, or makes it (see [`crate::bootstrap`]), and asks to be a member.

use super::{RaftNode, Role};
use crate::bootstrap::voters_checksum;
use crate::log::Log;
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Configuration, Members, NodeId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Between two discovery requests, in heartbeat intervals.
const DISCOVERY_HEARTBEATS: u32 = 2;
/// A node without a vote asks to join when it has heard no leader for so many election timeouts.
const JOIN_AFTER_TIMEOUTS: u32 = 2;

impl RaftNode {
    /// All other nodes that may have a vote: by the settings, and by the log.
    fn other_known_names(&self) -> Vec<String> {
        let members = self.members().iter().map(|id| &id.name);
        let names: BTreeSet<&String> = self.config.voters.iter().chain(members).collect();
        let others = names.into_iter().filter(|name| **name != self.id.name);
        others.cloned().collect()
    }

    /// A node without a vote asks to join if no leader replicates to it.
    pub(super) fn seek_leader(&mut self, now: Duration) {
        self.periodic_deadline = now + self.config.election_timeout;
        let silence = self.config.election_timeout * JOIN_AFTER_TIMEOUTS;
        if now >= self.last_leader_contact + silence {
            self.request_join();
        }
    }

    /// Asks all known nodes to be replicated to.
    pub(super) fn request_join(&mut self) {
        for name in self.other_known_names() {
            self.send_to_name(&name, 0, Message::JoinRequest);
        }
    }

    /// Asks all known nodes whether they have joined a group.
    pub(super) fn discover_group(&mut self, now: Duration) {
        self.periodic_deadline = now + self.config.heartbeat_interval * DISCOVERY_HEARTBEATS;
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

    /// Makes the group, if this node is the one to do so and all voters have answered. The group's number is the
    /// incarnation of the node that makes it.
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
        their_checksum: u64,
    ) {
        let voters_checksum = voters_checksum(&self.config.voters);
        if their_checksum != voters_checksum && self.group == 0 {
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

    /// Joins the sender's group, or makes one if it was the last voter to answer that it has none.
    pub(super) fn handle_discovery_response(
        &mut self,
        now: Duration,
        group: u64,
        from: &NodeId,
        nonce: u64,
        their_checksum: u64,
        initial_members: &Members,
    ) {
        let is_open_request = self.group == 0 && nonce == self.bootstrap.nonce;
        if !is_open_request || from.name == self.id.name {
            return;
        }
        if group == 0 {
            if their_checksum == voters_checksum(&self.config.voters) {
                self.bootstrap.record_unjoined(from);
                self.try_bootstrap(now);
            }
            return;
        }
        self.bootstrap.abandon();
        // Only the very incarnations that made the group have a vote from its start; any other node learns from the leader
        // who has one.
        if initial_members.contains(&self.id) {
            self.join_group(now, group, initial_members.clone());
        } else {
            self.join_group(now, group, Members::new());
            self.request_join();
        }
    }
}
