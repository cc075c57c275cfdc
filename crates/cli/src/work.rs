//! `limewing work`: operator commands for the maintenance of machines.

use crate::error::CommandError;
use crate::settings::check_work_list;
use crate::table;
use clap::Subcommand;
use limewing_emulators::fleet::call_sidecar;
use limewing_http_proxy::service::{ListView, MachineView, MaintenanceRequest, MaintenanceView};
use limewing_settings::WorkList;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Page with a sidecar's view of the maintenance, which also accepts posted requests.
const MAINTENANCE_PAGE: &str = "/limewing/work";

/// Time after which a request that the page does not show is reported as not committed yet.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between requests for the page.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Subcommand)]
pub(crate) enum WorkCommand {
    /// Report all errors in a work list
    Check { list: PathBuf },
    /// Submit a work list to a sidecar
    Ask { at: SocketAddr, list: PathBuf },
    /// Print one sidecar's view: the leader, the lists, and the progress of each machine
    Show { at: SocketAddr },
    /// Pause a list: no further machine goes out
    Hold { at: SocketAddr, list: u64 },
    /// Resume a paused list
    GoOn { at: SocketAddr, list: u64 },
    /// Withdraw a list for good: no further machine goes out
    Withdraw { at: SocketAddr, list: u64 },
    /// Declare that a sidecar no longer runs, so that lists do not wait for it
    Gone { at: SocketAddr, sidecar: String },
    /// Make a sidecar with a folder a voter, once it has caught up
    Vote { at: SocketAddr, sidecar: String },
    /// Remove a sidecar from the voters
    Unvote { at: SocketAddr, sidecar: String },
}

/// Response of a sidecar to an accepted request.
#[derive(Deserialize)]
struct RequestAccepted {
    /// Number of the list created by the request.
    #[serde(default)]
    list: Option<u64>,
}

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if a list is invalid, the sidecar does not respond or rejects the request, or the request is not
/// committed in time.
pub(crate) fn run(command: WorkCommand) -> Result<(), CommandError> {
    match command {
        WorkCommand::Check { list } => check_work_list(&list),
        WorkCommand::Ask { at, list } => create_list(at, &list),
        WorkCommand::Show { at } => show(at),
        WorkCommand::Hold { at, list } => pause_list(at, list),
        WorkCommand::GoOn { at, list } => resume_list(at, list),
        WorkCommand::Withdraw { at, list } => withdraw_list(at, list),
        WorkCommand::Gone { at, sidecar } => forget_sidecar(at, &sidecar),
        WorkCommand::Vote { at, sidecar } => add_voter(at, &sidecar),
        WorkCommand::Unvote { at, sidecar } => remove_voter(at, &sidecar),
    }
}

fn fetch_view(sidecar: SocketAddr) -> Result<MaintenanceView, CommandError> {
    let fail = |cause: &dyn std::fmt::Display| CommandError::Failed(format!("{sidecar}: {cause}"));
    let page = call_sidecar(sidecar, "GET", MAINTENANCE_PAGE, "").map_err(|e| fail(&e))?;
    serde_json::from_str(&page).map_err(|e| fail(&e))
}

fn post(
    sidecar: SocketAddr,
    request: &MaintenanceRequest,
) -> Result<RequestAccepted, CommandError> {
    let fail = |cause: &dyn std::fmt::Display| CommandError::Failed(format!("{sidecar}: {cause}"));
    let body = serde_json::to_string(request).map_err(CommandError::failed)?;
    let reply = call_sidecar(sidecar, "POST", MAINTENANCE_PAGE, &body).map_err(|e| fail(&e))?;
    serde_json::from_str(&reply).map_err(|e| fail(&e))
}

/// Waits until the page shows that a request was committed, and then prints a message.
fn wait_until_committed(
    sidecar: SocketAddr,
    is_committed: impl Fn(&MaintenanceView) -> bool,
    message: &str,
) -> Result<(), CommandError> {
    let started_at = Instant::now();
    while started_at.elapsed() < COMMIT_TIMEOUT {
        if is_committed(&fetch_view(sidecar)?) {
            println!("{message}");
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(CommandError::Failed(format!(
        "{sidecar}: accepted, but not committed within {} s: is a majority of the voters available? see `limewing work show`",
        COMMIT_TIMEOUT.as_secs()
    )))
}

fn has_list(view: &MaintenanceView, number: u64, matches: impl Fn(&ListView) -> bool) -> bool {
    view.lists
        .iter()
        .any(|list| list.id == number && matches(list))
}

fn create_list(sidecar: SocketAddr, file: &Path) -> Result<(), CommandError> {
    check_work_list(file)?;
    let list: WorkList = limewing_settings::read(file).map_err(CommandError::invalid_input)?;
    let accepted = post(sidecar, &MaintenanceRequest::CreateList(Box::new(list)))?;
    let number = accepted.list.ok_or_else(|| {
        CommandError::failed("the response does not contain the number of the list")
    })?;
    wait_until_committed(
        sidecar,
        |view| has_list(view, number, |list| !list.machines.is_empty()),
        &format!("list {number}"),
    )
}

fn pause_list(sidecar: SocketAddr, number: u64) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::PauseList(number))?;
    wait_until_committed(
        sidecar,
        |view| has_list(view, number, |list| list.paused),
        "held: nothing more goes out",
    )
}

fn resume_list(sidecar: SocketAddr, number: u64) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::ResumeList(number))?;
    wait_until_committed(
        sidecar,
        |view| has_list(view, number, |list| !list.paused),
        "it goes on",
    )
}

fn withdraw_list(sidecar: SocketAddr, number: u64) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::WithdrawList(number))?;
    wait_until_committed(
        sidecar,
        |view| has_list(view, number, |list| list.withdrawn),
        "withdrawn: nothing more goes out, what is out comes back when its work ends",
    )
}

fn forget_sidecar(sidecar: SocketAddr, gone: &str) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::SidecarGone(gone.to_owned()))?;
    wait_until_committed(
        sidecar,
        |view| !view.sidecars.iter().any(|name| name == gone),
        "not waited for any more",
    )
}

fn add_voter(sidecar: SocketAddr, voter: &str) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::AddVoter(voter.to_owned()))?;
    wait_until_committed(
        sidecar,
        |view| view.voters.iter().any(|name| name == voter),
        "it has a vote",
    )
}

fn remove_voter(sidecar: SocketAddr, voter: &str) -> Result<(), CommandError> {
    post(sidecar, &MaintenanceRequest::RemoveVoter(voter.to_owned()))?;
    // A sidecar that does not know the voters yet lists none.
    wait_until_committed(
        sidecar,
        |view| !view.voters.is_empty() && !view.voters.iter().any(|name| name == voter),
        "it has no vote",
    )
}

fn show(sidecar: SocketAddr) -> Result<(), CommandError> {
    let view = fetch_view(sidecar)?;
    print_consensus(&view);
    for list in view.lists {
        print_list(list);
    }
    Ok(())
}

fn print_consensus(view: &MaintenanceView) {
    let leader = view.leader.as_deref().unwrap_or("nobody");
    let lease = if view.has_lease {
        "with a lease"
    } else {
        "WITHOUT a lease: sends to no machine on a list"
    };
    println!(
        "{}: {}, led by {leader} in term {}, read up to {}, {lease}",
        view.name, view.role, view.term, view.applied_index
    );
    println!("voters: {}", view.voters.join(", "));
    if let Some(name) = &view.pending_voter {
        println!("gets a vote once it has caught up: {name}");
    }
    println!("sidecars: {}", view.sidecars.join(", "));
}

fn print_list(list: ListView) {
    println!("\nlist {} ({}): {}", list.id, list.name, list_state(&list));
    if !list.sidecars_behind.is_empty() {
        println!(
            "waits until these know it, or are said to be gone: {}",
            list.sidecars_behind.join(", ")
        );
    }
    let mut table = table::with_headers(&["machine", "step", "grant", "waits for"]);
    for machine in list.machines {
        table.add_row(machine_row(machine));
    }
    println!("{table}");
}

fn list_state(list: &ListView) -> &'static str {
    if list.finished {
        "over"
    } else if list.withdrawn {
        "withdrawn"
    } else if list.paused {
        "held"
    } else {
        "under way"
    }
}

fn machine_row(machine: MachineView) -> [String; 4] {
    let step = if machine.stalled {
        format!("{}, stalled", machine.phase)
    } else {
        machine.phase
    };
    let grant = machine
        .grant
        .map_or_else(String::new, |grant| grant.to_string());
    let waits_for = machine
        .blocked_reason
        .unwrap_or_else(|| machine.sidecars_not_drained.join(", "));
    [machine.machine, step, grant, waits_for]
}
