//! Messages of one turn to other sidecars.

use crate::service::direct_message::{DirectMessage, CONSENSUS, MAINTENANCE};
use limewing_consensus::Packet;
use limewing_maintenance::Message;

/// Messages that are sent at the end of the turn, in this order.
#[derive(Default)]
pub(super) struct Outbox(Vec<DirectMessage>);

impl Outbox {
    /// Adds a packet of the consensus.
    pub(super) fn push_packet(&mut self, to: String, packet: &Packet) {
        let message = DirectMessage::new(to, CONSENSUS, &packet.encode());
        self.0.push(message);
    }

    /// Adds a message about leases or proposals.
    pub(super) fn push(&mut self, to: &str, message: &Message) {
        let message = DirectMessage::new(to.to_owned(), MAINTENANCE, &message.encode());
        self.0.push(message);
    }

    /// Takes out all messages.
    pub(super) fn take(&mut self) -> Vec<DirectMessage> {
        std::mem::take(&mut self.0)
    }
}
