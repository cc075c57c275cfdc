//! `limewing sidecar`: the sidecar for HTTP/1.1.

use crate::error::CommandError;
use crate::logging;
use clap::Args;
use limewing_http_proxy::service::Service;
use limewing_settings::SidecarSettings;
use std::io::Write;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct SidecarArguments {
    settings: PathBuf,
    /// Exit when standard input is closed, because the parent process has exited
    #[arg(long)]
    with_parent: bool,
}

/// Runs a sidecar until it is signalled to shut down.
///
/// # Errors
/// Returns an error if the settings are invalid or the event loop fails.
pub(crate) fn run(arguments: &SidecarArguments) -> Result<(), CommandError> {
    let file = &arguments.settings;
    let settings: SidecarSettings =
        limewing_settings::read(file).map_err(CommandError::invalid_input)?;
    let _log_guard = logging::init()?;
    let service = Service::start(&settings)
        .map_err(|e| CommandError::invalid_input(format!("{}: {e}", file.display())))?;
    let address = service.address();
    tracing::info!(%address, name = settings.name, "listening");
    // Ignores write errors: the parent may have closed its end of the pipe, and the sidecar must keep running.
    let _ = writeln!(std::io::stdout(), "listening {address}");
    if arguments.with_parent {
        exit_with_parent();
    }
    service.run().map_err(CommandError::failed)
}

/// Exits the process when standard input is closed.
fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}
