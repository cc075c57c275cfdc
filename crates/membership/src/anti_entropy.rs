//! Anti-entropy: repairs what gossip lost. Members periodically exchange parts of their tables, and
//! try to reach members that are not active (Serf's reconnect), which joins new members and heals
//! partitions.

use crate::membership::Membership;
use crate::packet::{max_total_bytes, Broadcast, Message};
use crate::sealer::MAX_PACKET_BYTES;
use crate::status::{MemberStatus, StatusUpdate};
use nanorand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Mean number of probe intervals between two attempts to reach an inactive member. A member that
/// knows no active member tries at every interval.
const RECONNECT_INTERVALS: u32 = 10;
/// Probe intervals between two table exchanges.
pub(crate) const SYNC_INTERVALS: u32 = 20;
/// Maximum number of members in a partial table.
const MAX_SYNC_MEMBERS: usize = 16;
/// Bytes reserved in a packet for the message and the length prefixes of the lists that follow it.
const SYNC_MESSAGE_BYTES: usize = 12;
const TABLE_MESSAGE_BYTES: usize = 8;

impl Membership {
    /// Sends a join request to one random address among those of dead members and the configured
    /// seeds, except addresses that an active member has.
    pub(crate) fn reconnect(&mut self, now: Duration) {
        let is_alone = self.table.active().next().is_none();
        let intervals = if is_alone { 1 } else { RECONNECT_INTERVALS };
        let jitter = 0.5 + self.random_fraction();
        self.next_reconnect = now + (self.config.probe_interval * intervals).mul_f64(jitter);
        let candidates = self.reconnect_candidates();
        if candidates.is_empty() {
            return;
        }
        let address = candidates[self.rng.generate_range(0..candidates.len())];
        // Sends the receiver its own status as known here first, so that it can refute it.
        let update = self
            .table
            .iter()
            .find(|member| member.update.address == address)
            .map(|member| member.update.clone());
        let name = update.as_ref().map(|update| update.name.clone());
        if let Some(update) = update {
            self.update_queue.enqueue(update);
        }
        self.send(now, address, Message::Join, name.as_ref());
    }

    fn reconnect_candidates(&self) -> Vec<SocketAddr> {
        let is_active_address = |address: &SocketAddr| {
            *address == self.local.address
                || self
                    .table
                    .active()
                    .any(|member| member.update.address == *address)
        };
        let dead = self
            .table
            .iter()
            .filter(|member| member.update.status == MemberStatus::Dead)
            .map(|member| member.update.address);
        dead.chain(self.config.seed_addresses.iter().copied())
            .filter(|address| !is_active_address(address))
            .collect()
    }

    /// Sends a random part of the table to one random member.
    pub(crate) fn sync(&mut self, now: Duration) {
        let mut updates = self.shuffled_updates();
        updates.truncate(MAX_SYNC_MEMBERS);
        for to in self.random_active_addresses(1, None) {
            let room = MAX_PACKET_BYTES
                - self.local.max_encoded_bytes()
                - SYNC_MESSAGE_BYTES
                - max_total_bytes(&updates);
            let published = self.published.select_fitting(&updates, room);
            let message = Message::MemberTable {
                reply_wanted: false,
            };
            self.send_packet(now, to, message, updates.clone(), published);
        }
    }

    /// Sends the whole table in as many datagrams as are needed and the budget allows. The first
    /// datagram also carries this member's published state and, if `reply_wanted`, asks for the
    /// receiver's table.
    pub(crate) fn send_member_table(&mut self, now: Duration, to: SocketAddr, reply_wanted: bool) {
        let mut remaining = self.shuffled_updates();
        let mut is_first = true;
        while (is_first || !remaining.is_empty()) && self.budget.refill(now) {
            let mut room = MAX_PACKET_BYTES - self.local.max_encoded_bytes() - TABLE_MESSAGE_BYTES;
            let own_state = if is_first {
                let local = std::slice::from_ref(&self.local);
                self.published.select_fitting(local, room)
            } else {
                Vec::new()
            };
            room -= max_total_bytes(&own_state);
            let updates = self.take_fitting(&mut remaining, room);
            let mut published = self.published.select_fitting(&updates, MAX_PACKET_BYTES);
            published.extend(own_state);
            let message = Message::MemberTable {
                reply_wanted: reply_wanted && is_first,
            };
            self.send_packet(now, to, message, updates, published);
            is_first = false;
        }
    }

    /// Removes updates from the end of `remaining` as long as they fit into `room` bytes together
    /// with the published state of their members.
    fn take_fitting(
        &self,
        remaining: &mut Vec<StatusUpdate>,
        mut room: usize,
    ) -> Vec<StatusUpdate> {
        let size = |update: &StatusUpdate| {
            update.max_encoded_bytes() + self.published.max_encoded_bytes(&update.name)
        };
        let mut fitting = Vec::new();
        while let Some(update) = remaining.pop_if(|update| size(update) <= room) {
            room -= size(&update);
            fitting.push(update);
        }
        fitting
    }

    fn shuffled_updates(&mut self) -> Vec<StatusUpdate> {
        let mut updates = self.table.updates();
        self.rng.shuffle(&mut updates);
        updates
    }
}
