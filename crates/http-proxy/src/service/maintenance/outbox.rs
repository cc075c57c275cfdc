//! Outgoing messages of one turn.

use crate::service::direct_message::{DirectMessage, CONSENSUS, MAINTENANCE};
use limewing_consensus::Packet;
use limewing_maintenance::Message;

/// Messages to other sidecars, sent at the end of the turn in this order.
#[derive(Default)]
pub(super) struct Outbox(Vec<DirectMessage>);

impl Outbox {
    /// Adds a consensus packet.
    pub(super) fn push_packet(&mut self, to: String, packet: &Packet) {
        let message = DirectMessage::new(to, CONSENSUS, &packet.encode());
        self.0.push(message);
    }

    /// Adds a lease or proposal message.
    pub(super) fn push(&mut self, to: &str, message: &Message) {
        let message = DirectMessage::new(to.to_owned(), MAINTENANCE, &message.encode());
        self.0.push(message);
    }

    /// Removes and returns all messages.
    pub(super) fn take(&mut self) -> Vec<DirectMessage> {
        std::mem::take(&mut self.0)
    }
}
