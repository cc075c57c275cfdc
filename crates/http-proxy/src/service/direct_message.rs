//! Direct messages between sidecars, delivered by membership. The first byte identifies the protocol; the encoded
//! message follows.

/// Consensus packets (`limewing_consensus::Packet`).
pub(super) const CONSENSUS: u8 = 1;
/// Lease and proposal messages (`limewing_maintenance::Message`).
pub(super) const MAINTENANCE: u8 = 2;
/// Replication packets (`limewing_replication::Packet`).
pub(super) const REPLICATION: u8 = 3;

/// An outgoing message to another sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DirectMessage {
    /// Name of the receiving sidecar.
    pub(super) to: String,
    /// The protocol byte and the encoded message.
    pub(super) bytes: Vec<u8>,
}

impl DirectMessage {
    /// Creates a message. `protocol` is one of the constants of this module.
    pub(super) fn new(to: String, protocol: u8, message: &[u8]) -> Self {
        Self {
            to,
            bytes: [&[protocol], message].concat(),
        }
    }
}

#[cfg(test)]
mod tests;
