//! The `limewing` command: runs sidecars, and provides tools to operate and test them.

mod day;
mod error;
mod fault_script;
mod fleet;
mod load;
mod logging;
mod platform;
mod plot;
mod report;
mod settings;
mod sidecar;
mod table;
mod work;

use clap::{Parser, Subcommand};
use day::DayCommand;
use error::CommandError;
use fleet::FleetCommand;
use load::LoadCommand;
use platform::PlatformArguments;
use settings::SettingsCommand;
use sidecar::SidecarArguments;
use std::path::PathBuf;
use std::process::ExitCode;
use work::WorkCommand;

#[derive(Parser)]
#[command(
    version,
    about = "Release controller with the router that moves traffic between builds"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

// Doc comments of subcommands and arguments are the help text.
#[derive(Subcommand)]
enum Command {
    /// Run one sidecar; writes JSON logs to standard error and its listening address to standard output
    Sidecar(SidecarArguments),
    /// Run one sidecar for PostgreSQL's protocol on the platform; writes JSON logs to standard error
    Platform(PlatformArguments),
    /// Check settings, or print their schema
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Run a day script, or check the record of a run
    #[command(subcommand)]
    Day(DayCommand),
    /// Generate load, and compare a sidecar with a plain TCP relay and with direct connections
    #[command(subcommand)]
    Load(LoadCommand),
    /// Show a sidecar's view of its fleet, or run a fleet under a fault script
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Manage the maintenance of machines, which the sidecars schedule by consensus
    #[command(subcommand)]
    Work(WorkCommand),
    /// Run a demo day with faults, and print its results and whether the rules were kept
    Demo {
        /// Output folder for the record and the sidecars' logs; a temporary folder if absent
        #[arg(long)]
        folder: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("limewing: {error}");
            error.exit_code()
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Sidecar(arguments) => sidecar::run(&arguments),
        Command::Platform(arguments) => platform::run(arguments),
        Command::Settings(command) => settings::run(command),
        Command::Day(command) => day::run(command),
        Command::Load(command) => load::run(command),
        Command::Fleet(command) => fleet::run(command),
        Command::Work(command) => work::run(command),
        Command::Demo { folder } => day::run_demo(folder),
    }
}
