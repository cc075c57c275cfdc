//! Logging of a sidecar: JSON lines on standard error, written by a separate thread.

use crate::error::CommandError;
use signal_hook::consts::SIGXFSZ;
use std::sync::Arc;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of buffered log lines. Further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Log filter used if `RUST_LOG` is absent or invalid.
const DEFAULT_FILTER: &str = "info";

/// Initializes `tracing` for the process. Buffered lines are written when the guard is dropped.
///
/// # Errors
/// Returns an error if the `SIGXFSZ` handler cannot be installed.
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

/// Creates a writer that drops lines when standard error does not accept them in time. A full disk or a stalled reader must
/// neither terminate nor delay a sidecar.
fn lossy_stderr_writer() -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stderr())
}

/// Installs a handler for `SIGXFSZ`, so that a write beyond the file size limit fails. By default the signal would
/// terminate the process when its log reaches the limit.
fn handle_file_size_limit() -> Result<(), CommandError> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(CommandError::failed)?;
    Ok(())
}
