//! A script of faults, played with processes of this program.

use super::PlayArguments;
use crate::error::CommandError;
use crate::fault_script::FaultScriptFile;
use crate::plot::{self, Series};
use crate::table;
use limewing_emulators::fleet::{self, Plan, Played};
use limewing_settings::SidecarSettings;
use std::path::Path;
use std::time::Duration;

/// File in the play's folder with the number of living members that each sidecar saw over time.
const MEMBERS_PLOT: &str = "members.svg";

/// Wrong views at the end that are printed.
const MAX_PRINTED_VIEWS: usize = 20;

/// Least time that rates are taken over, against a division by zero, in seconds.
const MIN_DURATION_S: f64 = 1e-9;

/// Plays the script, and prints how it went.
///
/// # Errors
/// If a file cannot be used, a process crashed, or those that run at the end do not know each other's status.
pub(super) fn run(arguments: &PlayArguments) -> Result<(), CommandError> {
    let script: FaultScriptFile =
        limewing_settings::read(&arguments.script).map_err(CommandError::invalid_input)?;
    let settings: SidecarSettings =
        limewing_settings::read(&arguments.settings).map_err(CommandError::invalid_input)?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let members = usize::from(arguments.members);
    let folder = &arguments.folder;
    let plan = Plan {
        program: &program,
        script: &script.0,
        members,
        period: Duration::from_millis(arguments.period_ms),
        settings: &settings,
        folder,
    };
    let played = fleet::play(&plan).map_err(CommandError::failed)?;
    print_figures(&played, members);
    plot_living_members(&played, members, folder)?;
    check_end(&played, members, folder)
}

fn print_figures(played: &Played, members: usize) {
    let member_seconds = played.ended.as_secs_f64().max(MIN_DURATION_S) * members as f64;
    let datagrams = played.traffic.datagrams as f64 / member_seconds;
    let bytes = played.traffic.bytes as f64 / member_seconds;
    let dead_while_running = played.held_dead_while_running();
    let wrong_at_end = played.wrong_at_the_end(members).len();
    let mut rows = table::with_headers(&["what", "figure"]);
    rows.add_row(["members", &members.to_string()]);
    rows.add_row(["views taken", &played.samples.len().to_string()]);
    rows.add_row(["datagrams a second and member", &format!("{datagrams:.1}")]);
    rows.add_row(["bytes a second and member", &format!("{bytes:.0}")]);
    rows.add_row(["datagrams refused", &played.refused.to_string()]);
    rows.add_row([
        "views that held one that ran to be dead",
        &dead_while_running.to_string(),
    ]);
    rows.add_row(["held wrongly at the end", &wrong_at_end.to_string()]);
    println!("{rows}");
}

fn plot_living_members(played: &Played, members: usize, folder: &Path) -> Result<(), CommandError> {
    let series_of = |member: usize| -> Series {
        let samples = played.samples.iter().filter(|sample| sample.of == member);
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

/// Prints the wrong views at the end, and fails on them and on crashes.
fn check_end(played: &Played, members: usize, folder: &Path) -> Result<(), CommandError> {
    let wrong_views = played.wrong_at_the_end(members);
    for view in wrong_views.iter().take(MAX_PRINTED_VIEWS) {
        println!("s{} holds s{} to be {}", view.of, view.member, view.status);
    }
    if !played.crashed.is_empty() {
        return Err(CommandError::Failed(format!(
            "ended by themselves: {:?}; see the logs in {}",
            played.crashed,
            folder.display()
        )));
    }
    if !wrong_views.is_empty() {
        return Err(CommandError::failed(
            "the members do not hold each other as they should",
        ));
    }
    Ok(())
}
