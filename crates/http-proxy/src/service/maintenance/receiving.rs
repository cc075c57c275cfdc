//! Handles messages from other sidecars.

use super::leadership::LeaseRequest;
use super::Maintenance;
use crate::service::direct_message::{CONSENSUS, MAINTENANCE};
use limewing_consensus::Packet;
use limewing_maintenance::{Command, Message};
use std::time::Duration;

impl Maintenance {
    /// Handles a direct message from another sidecar. A malformed message is ignored.
    pub(in crate::service) fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match bytes.split_first() {
            Some((&CONSENSUS, rest)) => self.receive_packet(now, from, rest),
            Some((&MAINTENANCE, rest)) => {
                if let Ok(message) = Message::decode(rest) {
                    self.receive_message(now, from, message);
                }
            }
            _ => {}
        }
    }

    fn receive_packet(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        let Ok(packet) = Packet::decode(bytes) else {
            return;
        };
        // Membership authenticates the sender: a sidecar must not send packets in the name of another.
        if packet.from.name == from {
            self.role.receive(now, packet);
        }
    }

    fn receive_message(&mut self, now: Duration, from: &str, message: Message) {
        // Run timers first, so that a leader that was suspended steps down before it grants a lease.
        if let Some(voter) = self.role.voter_mut() {
            voter.tick(now);
        }
        match message {
            Message::LeaseRequest {
                incarnation,
                request,
                applied_index,
                drained,
                rejected_per_mille,
            } => {
                let lease_request = LeaseRequest {
                    name: from,
                    incarnation,
                    applied_index,
                    drained: &drained,
                    rejected_per_mille,
                };
                self.handle_lease_request(now, request, &lease_request);
            }
            Message::LeaseResponse {
                request,
                commit_index,
            } => self.lease.granted_by(from, request, commit_index),
            Message::Leave { incarnation } => self.sidecar_left(now, from, incarnation),
            Message::ChangeVote { name, is_voter } => {
                self.pending.add_voter_change(now, name, is_voter);
            }
            Message::Propose { command } => self.proposal_received(now, command),
        }
    }

    fn handle_lease_request(&mut self, now: Duration, number: u64, request: &LeaseRequest) {
        if let Some(commit_index) = self.grant_lease(now, request) {
            let response = Message::LeaseResponse {
                request: number,
                commit_index,
            };
            self.outbox.push(request.name, &response);
        }
    }

    /// Every voter records that a sidecar left, because the leader may be the one that leaves.
    fn sidecar_left(&mut self, now: Duration, name: &str, incarnation: u64) {
        let known = self.applied.schedule.sidecars().get(name);
        if known == Some(&incarnation) && self.pending.has_room_for(1) {
            let command = Command::SidecarGone {
                name: name.to_owned(),
                incarnation,
            };
            self.pending.add_commands(now, vec![command]);
        }
    }

    /// Submits a received proposal, if its command can be decoded.
    fn proposal_received(&mut self, now: Duration, command: Vec<u8>) {
        if Command::decode(&command).is_err() {
            return;
        }
        if let Some(voter) = self.role.voter_mut() {
            voter.submit(now, command);
        }
    }
}
