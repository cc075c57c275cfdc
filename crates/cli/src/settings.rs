//! `limewing settings`: validates files, and prints their JSON schemas.

use crate::error::CommandError;
use crate::fault_script::FaultScriptFile;
use clap::{Subcommand, ValueEnum};
use limewing_emulators::script::DayScript;
use limewing_settings::{KeyFile, SidecarSettings, ValidateConfig, WorkList};
use schemars::schema_for;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(crate) enum SettingsCommand {
    /// Check whether a settings file is valid, and report its errors
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "sidecar")]
        of: FileKind,
    },
    /// Print the JSON schema
    Schema {
        #[arg(value_enum, default_value = "sidecar")]
        of: FileKind,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum FileKind {
    Sidecar,
    Day,
    /// Script of faults between sidecars
    Faults,
    /// Membership keys of a fleet
    Keys,
    /// List of machines due for maintenance
    Work,
}

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if the file is invalid.
pub(crate) fn run(command: SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Check { file, of } => check(&file, of),
        SettingsCommand::Schema { of } => print_schema(of),
    }
}

fn check(file: &Path, kind: FileKind) -> Result<(), CommandError> {
    match kind {
        FileKind::Sidecar => check_first_error::<SidecarSettings>(file),
        FileKind::Day => check_first_error::<DayScript>(file),
        FileKind::Faults => check_first_error::<FaultScriptFile>(file),
        FileKind::Keys => check_first_error::<KeyFile>(file),
        FileKind::Work => check_work_list(file),
    }
}

/// Reads a file as a sidecar does, and reports its first error.
fn check_first_error<T: DeserializeOwned + ValidateConfig>(
    file: &Path,
) -> Result<(), CommandError> {
    limewing_settings::read::<T>(file).map_err(CommandError::invalid_input)?;
    print_usable(file);
    Ok(())
}

/// Checks a work list, and reports all of its errors, one per line.
///
/// # Errors
/// Returns an error if the list is invalid.
pub(crate) fn check_work_list(file: &Path) -> Result<(), CommandError> {
    let errors = limewing_settings::config_file_errors::<WorkList>(file);
    if errors.is_empty() {
        print_usable(file);
        return Ok(());
    }
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Err(CommandError::InvalidInput(lines.join("\n")))
}

fn print_usable(file: &Path) {
    println!("{}: can be used", file.display());
}

fn print_schema(kind: FileKind) -> Result<(), CommandError> {
    let schema = match kind {
        FileKind::Sidecar => schema_for!(SidecarSettings),
        FileKind::Day => schema_for!(DayScript),
        FileKind::Faults => schema_for!(FaultScriptFile),
        FileKind::Keys => schema_for!(KeyFile),
        FileKind::Work => schema_for!(WorkList),
    };
    let text = serde_json::to_string_pretty(&schema).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}
