//! `limewing fleet`: a sidecar's view of its fleet, and fleets under scripts of faults.

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
        /// Where the sidecar serves its clients
        at: SocketAddr,
    },
    /// Print what a sidecar keeps of its own and the others' state
    State {
        /// Where the sidecar serves its clients
        at: SocketAddr,
    },
    /// Play a script of faults with processes of this program
    Play(PlayArguments),
    /// What the choices of many decision modules add up to, in simulated time, with and without the fleet's word
    Choices(CoordinationArguments),
    /// Play a script of faults in simulated time
    Simulate {
        script: PathBuf,
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
        members: u16,
    },
}

#[derive(Args)]
pub(crate) struct PlayArguments {
    script: PathBuf,
    /// Settings that all start from; names, addresses and peers are put in
    #[arg(long)]
    settings: PathBuf,
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(2..=64))]
    members: u16,
    /// Milliseconds between two probes of a member
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=60_000))]
    period_ms: u64,
    /// Where settings, keys and logs go
    #[arg(long)]
    folder: PathBuf,
}

#[derive(Args)]
pub(crate) struct CoordinationArguments {
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
    sidecars: u16,
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u16).range(2..=1000))]
    pods: u16,
    /// From half of the time on they are so many parts that know nothing of each other
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
/// If a file cannot be used, a sidecar does not answer, or the members of a play do not agree at its end.
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
