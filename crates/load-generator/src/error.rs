//! What can go wrong with a measurement.

use limewing_net::sockets::SocketEvent;
use std::io::{self, ErrorKind};
use thiserror::Error;

/// What went wrong with a measurement.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The system refused a file, a socket or a process.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A child process did not tell all the addresses where it listens.
    #[error("{arguments} does not listen")]
    NotListening {
        /// The arguments that it was started with.
        arguments: String,
    },
    /// The system tells nothing of a process.
    #[error("what the system tells of a process can't be had: {0}")]
    Process(#[from] procfs::ProcError),
    /// The settings that were written can't be read as settings.
    #[error("the settings can't be used: {0}")]
    Settings(#[from] serde_json::Error),
    /// There is no memory for the latencies.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// All connections of a generator were lost.
    #[error("no connection is left")]
    NoConnection,
    /// A connection could not be begun.
    #[error("after {idle} connections: {error}")]
    Connect {
        /// Connections that were idle by then.
        idle: usize,
        /// How it failed.
        error: io::Error,
    },
    /// A connection was refused or reset.
    #[error("after {idle} connections: {error}")]
    ConnectionLost {
        /// Connections that were idle by then.
        idle: usize,
        /// How it failed.
        error: ErrorKind,
    },
    /// A sidecar answered nothing for too long.
    #[error("no answer after {idle} connections")]
    NoResponse {
        /// Connections that were idle by then.
        idle: usize,
    },
    /// A sidecar's response is broken off or no HTTP.
    #[error("no whole answer after {idle} connections")]
    IncompleteResponse {
        /// Connections that were idle by then.
        idle: usize,
    },
    /// A connection was closed that should have stayed idle.
    #[error("closed while {idle} connections slept")]
    IdleConnectionClosed {
        /// Connections that were idle by then.
        idle: usize,
    },
    /// Something happened on a connection that should have stayed idle.
    #[error("of {idle} connections one woke: {event:?}")]
    NotIdle {
        /// Connections that should have been idle.
        idle: usize,
        /// What happened.
        event: SocketEvent,
    },
}
