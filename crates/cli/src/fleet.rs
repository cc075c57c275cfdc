//! `limewing fleet`: shows a sidecar's view of its fleet, and runs fleets under fault scripts.

mod coordination;
mod play;
mod simulate;
mod view;

use crate::error::CommandError;
use crate::fault_script::FaultScriptFile;
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Print one sidecar's view of its fleet
    Show {
        /// Address on which the sidecar serves its clients
        at: SocketAddr,
    },
    /// Print the state that a sidecar replicates with the other sidecars
    State {
        /// Address on which the sidecar serves its clients
        at: SocketAddr,
    },
    /// Run a fault script with child processes of this program
    Play(PlayArguments),
    /// Simulate the endpoint selection of many sidecars, with and without coordination between them
    Choices(CoordinationArguments),
    /// Run a fault script in simulated time
    Simulate {
        script: PathBuf,
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
        members: u16,
    },
}

#[derive(Args)]
pub(crate) struct PlayArguments {
    script: PathBuf,
    /// Settings template of all members; names, addresses and peers are filled in
    #[arg(long)]
    settings: PathBuf,
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(2..=64))]
    members: u16,
    /// Probe interval of a member, in milliseconds
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=60_000))]
    period_ms: u64,
    /// Output folder for settings, keys and logs
    #[arg(long)]
    folder: PathBuf,
}

#[derive(Args)]
pub(crate) struct CoordinationArguments {
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
    sidecars: u16,
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u16).range(2..=1000))]
    pods: u16,
    /// Number of partitions that the sidecars are split into after 45% of the run
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    parts: u16,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(10..=600))]
    seconds: u16,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if a file is invalid, a sidecar does not respond, or the members of a run disagree at its end.
pub(crate) fn run(command: FleetCommand) -> Result<(), CommandError> {
    match command {
        FleetCommand::Show { at } => view::print_membership(at),
        FleetCommand::State { at } => view::print_replication(at),
        FleetCommand::Play(arguments) => play::run(&arguments),
        FleetCommand::Choices(arguments) => {
            coordination::run(&arguments);
            Ok(())
        }
        FleetCommand::Simulate { script, members } => {
            let script: FaultScriptFile =
                limewing_settings::read(&script).map_err(CommandError::invalid_input)?;
            simulate::run(&script.0, members.into());
            Ok(())
        }
    }
}
