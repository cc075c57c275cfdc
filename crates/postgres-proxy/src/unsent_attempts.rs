//! Handling of attempts whose connection failed: what the failure proves, and whether another
//! connection is tried.

use std::io::ErrorKind;

/// Maximum number of connections that break under an unwritten attempt before the pod counts as
/// unreachable. It is more than one because a pod, or a middlebox in front of it, may have dropped
/// idle connections.
const MAX_BROKEN_CONNECTIONS: u8 = 3;

/// How to continue an attempt whose connection was lost, or delivered an invalid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    /// The attempt was not written: retry it on another connection to the same pod.
    Reconnect,
    /// The attempt was not written, and the pod counts as unreachable.
    Unreachable,
    /// The pod may have run the attempt.
    MayHaveRun,
}

/// Returns the verdict for a lost connection. `is_unwritten` means that the last byte of the
/// attempt had not been handed to the operating system; `broken_connections` is the number of
/// connections that broke under the attempt before.
#[must_use]
pub fn after_connection_loss(
    is_unwritten: bool,
    error: ErrorKind,
    broken_connections: u8,
) -> FailureVerdict {
    if !is_unwritten {
        return FailureVerdict::MayHaveRun;
    }
    // A pod that refuses connections or does not respond will do so again; a reset may concern a
    // single connection only.
    let is_persistent = matches!(error, ErrorKind::ConnectionRefused | ErrorKind::TimedOut);
    if is_persistent || broken_connections >= MAX_BROKEN_CONNECTIONS {
        FailureVerdict::Unreachable
    } else {
        FailureVerdict::Reconnect
    }
}

/// Returns the verdict for an invalid message from a pod, received during session startup
/// (`is_connecting`), while the last byte was held back (`is_unwritten`), or after it was sent.
#[must_use]
pub fn after_protocol_violation(
    is_connecting: bool,
    is_unwritten: bool,
    broken_connections: u8,
) -> FailureVerdict {
    if !is_unwritten {
        // Treated like a reset: unexpected bytes are no evidence against a build.
        return FailureVerdict::MayHaveRun;
    }
    // Bytes before the answer to the empty query are left over from the previous request, which is
    // a fault of this connection.
    if !is_connecting && broken_connections < MAX_BROKEN_CONNECTIONS {
        FailureVerdict::Reconnect
    } else {
        FailureVerdict::Unreachable
    }
}

#[cfg(test)]
mod tests;
