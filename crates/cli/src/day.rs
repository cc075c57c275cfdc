//! `limewing day` and `limewing demo`: run day scripts and check their records.

use crate::error::CommandError;
use crate::plot::{self, Series};
use crate::report::{self, ProgressLine};
use clap::Subcommand;
use limewing_emulators::day;
use limewing_emulators::script::DayScript;
use limewing_rule_checker::balance::load_by_second;
use limewing_rule_checker::checker::RuleChecker;
use limewing_rule_checker::cross_sidecar::check_across_sidecars;
use limewing_rule_checker::maintenance::check_maintenance;
use limewing_rule_checker::record::{self, RecordLine};
use limewing_rule_checker::report::Report;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

/// Day script that `demo` runs.
const DEMO_SCRIPT: &str = include_str!("../../../days/demo.json");

/// Plot in a day's output folder with the load of each pod over time.
const LOAD_PLOT: &str = "load.svg";

#[derive(Subcommand)]
pub(crate) enum DayCommand {
    /// Run a day script; writes its record and the sidecars' logs to a folder
    Play {
        script: PathBuf,
        #[arg(long, default_value = "day-out")]
        folder: PathBuf,
    },
    /// Check the five rules against a record
    Check { record: PathBuf },
}

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if a file is invalid, the day cannot be run, or a rule was broken.
pub(crate) fn run(command: DayCommand) -> Result<(), CommandError> {
    match command {
        DayCommand::Play { script, folder } => {
            let script = limewing_settings::read(&script).map_err(CommandError::invalid_input)?;
            play(&script, &folder)
        }
        DayCommand::Check { record } => check(&record),
    }
}

/// Runs the demo's day script, in a temporary folder if none is given.
///
/// # Errors
/// Returns an error if the day cannot be run or a rule was broken.
pub(crate) fn run_demo(folder: Option<PathBuf>) -> Result<(), CommandError> {
    let script = limewing_settings::read_text("the demo's script", DEMO_SCRIPT)
        .map_err(CommandError::failed)?;
    if let Some(folder) = folder {
        return play(&script, &folder);
    }
    let folder = tempfile::tempdir().map_err(CommandError::failed)?;
    let record = play_and_record(&script, folder.path())?;
    check(&record)
}

fn play(script: &DayScript, folder: &Path) -> Result<(), CommandError> {
    let record = play_and_record(script, folder)?;
    println!("record: {}", record.display());
    // Checks the rules even if the plot cannot be drawn. A broken rule takes precedence as the reported error.
    let plotted = plot_load(&record, &folder.join(LOAD_PLOT));
    check(&record)?;
    plotted
}

/// Runs a day with child processes of this program, and returns the path of its record.
fn play_and_record(script: &DayScript, folder: &Path) -> Result<PathBuf, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let progress_line = ProgressLine::new(&script.name);
    let record = day::run(script, &program, folder, &mut |progress| {
        progress_line.update(&progress);
    });
    progress_line.finish();
    record.map_err(CommandError::failed)
}

/// Plots the load of each pod over time.
fn plot_load(record: &Path, file: &Path) -> Result<(), CommandError> {
    let lines = read_record(record)?;
    let series: Vec<Series> = load_by_second(&lines)
        .into_values()
        .map(|points| {
            points
                .iter()
                .map(|point| (point.second, point.load))
                .collect()
        })
        .collect();
    plot::draw(
        file,
        "forwards a second and strength, by pod",
        "forwards",
        &series,
    )
}

fn check(file: &Path) -> Result<(), CommandError> {
    let lines = read_record(file)?;
    let checker = RuleChecker::new(&lines).ok_or_else(|| {
        CommandError::InvalidInput(format!(
            "{}: the record does not contain the terms of the day",
            file.display()
        ))
    })?;
    let report = checker.report();
    println!("{}", report::rule_table(&report));
    let maintenance = check_maintenance(&lines);
    if let Some(maintenance) = &maintenance {
        report::print_maintenance(maintenance);
    }
    if let Some(cross_sidecar) = check_across_sidecars(&lines) {
        report::print_cross_sidecar(&cross_sidecar);
    }
    let maintenance_violations = maintenance.map_or(0, |report| report.violations.len());
    verdict(&report, maintenance_violations)
}

/// Returns the outcome of a check whose results have been printed.
fn verdict(report: &Report, maintenance_violations: usize) -> Result<(), CommandError> {
    let violated_rules = report.violated_results().count();
    if violated_rules > 0 {
        return Err(CommandError::Failed(format!(
            "{violated_rules} of the five rules were broken"
        )));
    }
    if maintenance_violations > 0 {
        return Err(CommandError::Failed(format!(
            "{maintenance_violations} violations of the maintenance limits"
        )));
    }
    Ok(())
}

fn read_record(file: &Path) -> Result<Vec<RecordLine>, CommandError> {
    let name = file.display();
    let open = File::open(file).map_err(|e| CommandError::invalid_input(format!("{name}: {e}")))?;
    record::read(BufReader::new(open))
        .map_err(|e| CommandError::invalid_input(format!("{name}: {e}")))
}
