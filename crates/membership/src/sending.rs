//! Fills packets with gossip and seals them into datagrams within the byte budget.

use crate::membership::{Membership, MAX_QUEUED};
use crate::packet::{max_total_bytes, Broadcast, Message, Packet, PublishedState};
use crate::sealer::MAX_PACKET_BYTES;
use crate::status::{MemberName, StatusUpdate};
use std::net::SocketAddr;
use std::time::Duration;

/// Transmits of each update, multiplied by the logarithm of the group's size, so that all members
/// receive it with high probability (SWIM, section 4.1; memberlist's RetransmitMult).
const RETRANSMIT_MULTIPLIER: f64 = 4.0;
/// Upper bounds in bytes of a message and the length prefixes of the two lists that follow it.
const NAMED_MESSAGE_BYTES: usize = 100;
const OTHER_MESSAGE_BYTES: usize = 16;

/// Token bucket of bytes to send, with a capacity of one second's rate. Probes and acks may
/// overdraw it.
pub(crate) struct ByteBudget {
    available: f64,
    bytes_per_second: f64,
    refilled_at: Duration,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_second: u32, now: Duration) -> Self {
        Self {
            available: f64::from(bytes_per_second),
            bytes_per_second: f64::from(bytes_per_second),
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns whether it holds any bytes.
    pub(crate) fn refill(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available =
            (self.available + self.bytes_per_second * elapsed).min(self.bytes_per_second);
        self.refilled_at = now;
        self.available > 0.0
    }

    fn charge(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}

impl Membership {
    /// Sends a message with as much gossip as fits. The update about `prioritized`, if one is
    /// queued, precedes all others.
    pub(crate) fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        message: Message,
        prioritized: Option<&MemberName>,
    ) {
        let message_bytes = match &message {
            Message::Probe { .. } | Message::IndirectProbe { .. } => NAMED_MESSAGE_BYTES,
            _ => OTHER_MESSAGE_BYTES,
        };
        if !self.budget.refill(now) {
            self.send_packet(now, to, message, Vec::new(), Vec::new());
            return;
        }
        let room = MAX_PACKET_BYTES.saturating_sub(self.local.max_encoded_bytes() + message_bytes);
        let max_transmits = self.max_transmits();
        let updates = self
            .update_queue
            .take_batch(room, max_transmits, prioritized);
        let room = room.saturating_sub(max_total_bytes(&updates));
        let published = self.published.queue.take_batch(room, max_transmits, None);
        self.send_packet(now, to, message, updates, published);
    }

    fn max_transmits(&self) -> u32 {
        (RETRANSMIT_MULTIPLIER * (self.group_size() as f64 + 1.0).log10().ceil()) as u32
    }

    /// Sends a packet and charges its size to the budget.
    pub(crate) fn send_packet(
        &mut self,
        now: Duration,
        to: SocketAddr,
        message: Message,
        updates: Vec<StatusUpdate>,
        published: Vec<PublishedState>,
    ) {
        let bytes = self.send_uncharged(now, to, message, updates, published);
        self.budget.charge(bytes);
    }

    /// Sends a packet without charging it. Returns the size of its datagram, 0 if it was dropped.
    pub(crate) fn send_uncharged(
        &mut self,
        now: Duration,
        to: SocketAddr,
        message: Message,
        updates: Vec<StatusUpdate>,
        published: Vec<PublishedState>,
    ) -> usize {
        if self.stopped || self.datagrams.len() >= MAX_QUEUED {
            return 0;
        }
        let packet = Packet {
            sender: self.local.clone(),
            message,
            updates,
            published,
        };
        let unix_time_ms = self.unix_time_ms(now);
        let Some(datagram) = self.sealer.seal(&packet, unix_time_ms) else {
            return 0;
        };
        let bytes = datagram.len();
        self.bytes_sent += bytes as u64;
        self.datagrams.push_back((to, datagram));
        bytes
    }
}
