//! `limewing platform`: the sidecar for PostgreSQL's protocol.

use crate::error::CommandError;
use crate::logging;
use clap::Args;
use limewing_postgres_proxy::service::Service;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct PlatformArguments {
    /// Configuration file that the platform provides
    #[arg(env = "ROUTER_CONFIG")]
    config: PathBuf,
}

/// Runs a sidecar until it is signalled to shut down.
///
/// # Errors
/// Returns an error if the configuration is invalid or the event loop fails.
pub(crate) fn run(arguments: PlatformArguments) -> Result<(), CommandError> {
    let _log_guard = logging::init()?;
    let service = Service::start(arguments.config).map_err(CommandError::invalid_input)?;
    tracing::info!(address = %service.address(), name = service.name(), "listening");
    service.run().map_err(CommandError::failed)
}
