//! The command `limewing`: sidecars, and what goes with running and trying them.

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

// The comments of subcommands and arguments are the help that users read.
#[derive(Subcommand)]
enum Command {
    /// Run one sidecar; logs go to standard error as JSON, the address it listens on to standard output
    Sidecar(SidecarArguments),
    /// Run one sidecar on the platform; logs go to standard error as JSON
    Platform(PlatformArguments),
    /// Check settings, or print their schema
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Play a day from its script, or check the record of one
    #[command(subcommand)]
    Day(DayCommand),
    /// Compare a sidecar under load with a bare relay and with none
    #[command(subcommand)]
    Load(LoadCommand),
    /// What a sidecar holds of its fleet; fleets under scripts of faults
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Machines out for work, in an order that the sidecars settle among themselves
    #[command(subcommand)]
    Work(WorkCommand),
    /// Play one bad day, and show how it went and whether the rules were kept
    Demo {
        /// Where the record and the sidecars' logs go; a folder that is removed afterwards if absent
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
