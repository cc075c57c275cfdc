//! Packets waiting to be sent by the host.

use super::RaftNode;
use crate::message::{Message, Packet};
use crate::types::NodeId;
use std::collections::VecDeque;

/// Maximum number of queued packets. Beyond it the oldest packets are dropped, as a network may
/// drop them.
const MAX_QUEUED_PACKETS: usize = 4096;

struct QueuedPacket {
    /// The write batch that has to be durable before the packet may be sent.
    required_batch: u64,
    to: String,
    packet: Packet,
}

/// The queued packets, oldest first.
#[derive(Default)]
pub(super) struct Outbox {
    packets: VecDeque<QueuedPacket>,
}

impl Outbox {
    fn push(&mut self, queued: QueuedPacket) {
        if self.packets.len() >= MAX_QUEUED_PACKETS {
            self.packets.pop_front();
        }
        self.packets.push_back(queued);
    }

    fn pop(&mut self, persisted_batch: u64) -> Option<(String, Packet)> {
        if self.packets.front()?.required_batch > persisted_batch {
            return None;
        }
        let queued = self.packets.pop_front()?;
        Some((queued.to, queued.packet))
    }
}

impl RaftNode {
    /// Returns the next packet to send and the name of its recipient. Returns none while the
    /// records that the packet depends on are not durable (the paper, 5: nodes persist their state
    /// before they respond).
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop(self.persistence.persisted_batch())
    }

    pub(super) fn send(&mut self, to: &NodeId, message: Message) {
        self.send_to_name(&to.name, to.incarnation, message);
    }

    /// Sends a message to a node by name; incarnation 0 addresses any incarnation of that name.
    pub(super) fn send_to_name(&mut self, name: &str, incarnation: u64, message: Message) {
        let packet = Packet {
            group: self.group,
            from: self.id.clone(),
            to_incarnation: incarnation,
            term: self.current_term,
            message,
        };
        self.outbox.push(QueuedPacket {
            required_batch: self.persistence.required_batch(),
            to: name.to_owned(),
            packet,
        });
    }
}
