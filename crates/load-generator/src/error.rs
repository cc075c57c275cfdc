//! Errors of measurements.

use limewing_net::sockets::SocketEvent;
use std::io::{self, ErrorKind};
use thiserror::Error;

/// An error that ended a measurement.
#[derive(Debug, Error)]
pub enum LoadError {
    /// An operation on a file, a socket or a process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A child process did not report all of its listening addresses.
    #[error("`{arguments}` did not report its listening addresses")]
    NotListening {
        /// Command-line arguments of the process.
        arguments: String,
    },
    /// Process information could not be read from `/proc`.
    #[error("cannot read process information: {0}")]
    Process(#[from] procfs::ProcError),
    /// The generated settings are invalid.
    #[error("invalid generated settings: {0}")]
    Settings(#[from] serde_json::Error),
    /// The latency histogram could not be created.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The generator lost all of its connections.
    #[error("no connection is left")]
    NoConnection,
    /// A connection could not be initiated.
    #[error("cannot connect after {idle} idle connections: {error}")]
    Connect {
        /// Number of idle connections at that point.
        idle: usize,
        /// Cause of the failure.
        error: io::Error,
    },
    /// A connection was refused or reset.
    #[error("connection lost after {idle} idle connections: {error}")]
    ConnectionLost {
        /// Number of idle connections at that point.
        idle: usize,
        /// Cause of the failure.
        error: ErrorKind,
    },
    /// A sidecar did not respond before the timeout.
    #[error("no response after {idle} idle connections")]
    NoResponse {
        /// Number of idle connections at that point.
        idle: usize,
    },
    /// A sidecar's response was truncated or not valid HTTP.
    #[error("incomplete response after {idle} idle connections")]
    IncompleteResponse {
        /// Number of idle connections at that point.
        idle: usize,
    },
    /// A connection that should have stayed idle was closed.
    #[error("a connection was closed while {idle} connections were idle")]
    IdleConnectionClosed {
        /// Number of idle connections at that point.
        idle: usize,
    },
    /// An event occurred on a connection that should have stayed idle.
    #[error("unexpected event on one of {idle} idle connections: {event:?}")]
    NotIdle {
        /// Number of connections that should have been idle.
        idle: usize,
        /// The unexpected event.
        event: SocketEvent,
    },
}
