//! The log of a sidecar: JSON lines on standard error, written by a thread of its own.

use crate::error::CommandError;
use signal_hook::consts::SIGXFSZ;
use std::sync::Arc;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Log lines that may wait to be written; further ones are left out.
const MAX_BUFFERED_LINES: usize = 4096;

/// What is logged if `RUST_LOG` is absent or cannot be used.
const DEFAULT_FILTER: &str = "info";

/// Sets up `tracing` for the process. Lines that wait are written when the guard is dropped.
///
/// # Errors
/// If the handler of `SIGXFSZ` cannot be set.
pub(crate) fn init() -> Result<WorkerGuard, CommandError> {
    let (writer, guard) = lossy_stderr_writer();
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(writer)
        .log_internal_errors(false)
        .init();
    handle_file_size_limit()?;
    Ok(guard)
}

/// A full disk or a reader that does not read must neither end nor delay a sidecar, so lines that standard error does not
/// take in time are lost.
fn lossy_stderr_writer() -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stderr())
}

/// Unhandled, the signal would end the process when its log reaches the limit on file sizes; handled, the write fails instead.
fn handle_file_size_limit() -> Result<(), CommandError> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(CommandError::failed)?;
    Ok(())
}
