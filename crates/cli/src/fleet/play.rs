//! Runs a fault script with child processes of this program.

use super::PlayArguments;
use crate::error::CommandError;
use crate::fault_script::FaultScriptFile;
use crate::plot::{self, Series};
use crate::table;
use limewing_emulators::fleet::{self, RunPlan, RunResult};
use limewing_settings::SidecarSettings;
use std::path::Path;
use std::time::Duration;

/// Plot in the output folder with the number of members that each sidecar considered alive over time.
const MEMBERS_PLOT: &str = "members.svg";

/// Maximum number of wrong final views that are printed.
const MAX_PRINTED_VIEWS: usize = 20;

/// Lower bound of the duration in a rate, in seconds, to avoid a division by zero.
const MIN_DURATION_S: f64 = 1e-9;

/// Runs the script and prints its results.
///
/// # Errors
/// Returns an error if a file is invalid, a process crashed, or the members running at the end have a wrong view of each other.
pub(super) fn run(arguments: &PlayArguments) -> Result<(), CommandError> {
    let script: FaultScriptFile =
        limewing_settings::read(&arguments.script).map_err(CommandError::invalid_input)?;
    let settings: SidecarSettings =
        limewing_settings::read(&arguments.settings).map_err(CommandError::invalid_input)?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let members = usize::from(arguments.members);
    let folder = &arguments.folder;
    let plan = RunPlan {
        program: &program,
        script: &script.0,
        members,
        period: Duration::from_millis(arguments.period_ms),
        settings: &settings,
        folder,
    };
    let result = fleet::run_script(&plan).map_err(CommandError::failed)?;
    print_figures(&result, members);
    plot_living_members(&result, members, folder)?;
    check_end(&result, members, folder)
}

fn print_figures(result: &RunResult, members: usize) {
    let member_seconds = result.ended.as_secs_f64().max(MIN_DURATION_S) * members as f64;
    let datagrams = result.traffic.datagrams as f64 / member_seconds;
    let bytes = result.traffic.bytes as f64 / member_seconds;
    let dead_while_running = result.false_death_count();
    let wrong_at_end = result.wrong_final_views(members).len();
    let mut rows = table::with_headers(&["what", "figure"]);
    rows.add_row(["members", &members.to_string()]);
    rows.add_row(["views taken", &result.samples.len().to_string()]);
    rows.add_row(["datagrams a second and member", &format!("{datagrams:.1}")]);
    rows.add_row(["bytes a second and member", &format!("{bytes:.0}")]);
    rows.add_row(["datagrams refused", &result.rejected_datagrams.to_string()]);
    rows.add_row([
        "views that held one that ran to be dead",
        &dead_while_running.to_string(),
    ]);
    rows.add_row(["held wrongly at the end", &wrong_at_end.to_string()]);
    println!("{rows}");
}

fn plot_living_members(
    result: &RunResult,
    members: usize,
    folder: &Path,
) -> Result<(), CommandError> {
    let series_of = |member: usize| -> Series {
        let samples = result
            .samples
            .iter()
            .filter(|sample| sample.observer == member);
        samples
            .map(|sample| (sample.at.as_secs_f64(), sample.alive() as f64))
            .collect()
    };
    let series: Vec<Series> = (0..members).map(series_of).collect();
    plot::draw(
        &folder.join(MEMBERS_PLOT),
        "others held to be alive, by sidecar",
        "members",
        &series,
    )
}

/// Prints the wrong final views, and returns an error for them and for crashes.
fn check_end(result: &RunResult, members: usize, folder: &Path) -> Result<(), CommandError> {
    let wrong_views = result.wrong_final_views(members);
    for view in wrong_views.iter().take(MAX_PRINTED_VIEWS) {
        println!(
            "s{} holds s{} to be {}",
            view.observer, view.member, view.status
        );
    }
    if !result.crashed.is_empty() {
        return Err(CommandError::Failed(format!(
            "processes exited unexpectedly: {:?}; see the logs in {}",
            result.crashed,
            folder.display()
        )));
    }
    if !wrong_views.is_empty() {
        return Err(CommandError::failed("the final membership views are wrong"));
    }
    Ok(())
}
