//! What becomes of an attempt whose connection failed: what the failure proves, and whether another connection is tried.

use std::io::ErrorKind;

/// Connections that may break under an attempt before it is written; then the pod counts as unreachable. More than one, as
/// a pod, or a middlebox before it, may have forgotten idle connections.
const MAX_BROKEN_CONNECTIONS: u8 = 3;

/// What becomes of an attempt whose connection ended, or brought what can't be an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    /// It was not written: another connection to the same pod carries it.
    Redial,
    /// It was not written, and the pod counts as unreachable.
    Unreachable,
    /// It may have run.
    MayHaveRun,
}

/// A connection ended under an attempt. `is_unwritten` means that the attempt's last byte was not with the system by then;
/// `broken_connections` had ended under it before.
#[must_use]
pub fn after_connection_loss(
    is_unwritten: bool,
    error: ErrorKind,
    broken_connections: u8,
) -> FailureVerdict {
    if !is_unwritten {
        return FailureVerdict::MayHaveRun;
    }
    // A pod that refuses or is silent will do so again; a broken connection may be at fault alone.
    let is_persistent = matches!(error, ErrorKind::ConnectionRefused | ErrorKind::TimedOut);
    if is_persistent || broken_connections >= MAX_BROKEN_CONNECTIONS {
        FailureVerdict::Unreachable
    } else {
        FailureVerdict::Redial
    }
}

/// A pod sent what can't be an answer: while the session was set up (`is_connecting`), while the last byte was held back
/// (`is_unwritten`), or after it.
#[must_use]
pub fn after_protocol_violation(
    is_connecting: bool,
    is_unwritten: bool,
    broken_connections: u8,
) -> FailureVerdict {
    if !is_unwritten {
        // As after a reset: stray bytes don't speak against a build.
        return FailureVerdict::MayHaveRun;
    }
    // What comes before the answer to the empty query is left from the request before: the connection's fault.
    if !is_connecting && broken_connections < MAX_BROKEN_CONNECTIONS {
        FailureVerdict::Redial
    } else {
        FailureVerdict::Unreachable
    }
}

#[cfg(test)]
mod tests;
