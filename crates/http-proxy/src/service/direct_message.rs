//! Direct messages between sidecars, as membership delivers them: the first byte names the protocol, its message follows.

/// Packets of the consensus (`limewing_consensus::Packet`).
pub(super) const CONSENSUS: u8 = 1;
/// Messages about leases and proposals (`limewing_maintenance::Message`).
pub(super) const MAINTENANCE: u8 = 2;
/// Packets of the replicated state (`limewing_replication::Packet`).
pub(super) const REPLICATION: u8 = 3;

/// A message to another sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DirectMessage {
    /// Name of the receiver.
    pub(super) to: String,
    /// The protocol's byte and the encoded message.
    pub(super) bytes: Vec<u8>,
}

impl DirectMessage {
    /// A message of one of the protocols above.
    pub(super) fn new(to: String, protocol: u8, message: &[u8]) -> Self {
        Self {
            to,
            bytes: [&[protocol], message].concat(),
        }
    }
}

#[cfg(test)]
mod tests;
