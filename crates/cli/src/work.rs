//! Machines out for work, from an operator's side.

use crate::Stop;
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use limewing_emulators::fleet::call;
use limewing_http_proxy::service::{MaintenanceRequest, MaintenanceView};
use limewing_settings::WorkList;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const PAGE: &str = "/limewing/work";
/// What was asked for shows within this, or the user is told that it does not yet.
const SHOWS_WITHIN: Duration = Duration::from_secs(10);

/// Tells all that is wrong with a list.
pub fn check(file: &Path) -> Result<(), Stop> {
    let found = limewing_settings::findings::<WorkList>(file);
    if found.is_empty() {
        println!("{}: can be used", file.display());
        return Ok(());
    }
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    Err(Stop::input(lines.join("\n")))
}

fn view(at: SocketAddr) -> Result<MaintenanceView, Stop> {
    let text = call(at, "GET", PAGE, "").map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    serde_json::from_str(&text).map_err(|e| Stop::failed(format!("{at}: {e}")))
}

fn post(at: SocketAddr, asked: &MaintenanceRequest) -> Result<Option<u64>, Stop> {
    let body = serde_json::to_string(asked).map_err(Stop::failed)?;
    let said = call(at, "POST", PAGE, &body).map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    let said: serde_json::Value =
        serde_json::from_str(&said).map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    Ok(said["list"].as_u64())
}

fn until(at: SocketAddr, shows: impl Fn(&MaintenanceView) -> bool, done: &str) -> Result<(), Stop> {
    let from = Instant::now();
    while from.elapsed() < SHOWS_WITHIN {
        if shows(&view(at)?) {
            println!("{done}");
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(Stop::failed(format!(
        "{at}: taken, but not settled within {} s: is a majority of the voters there? see `limewing work show`",
        SHOWS_WITHIN.as_secs()
    )))
}

pub fn ask(at: SocketAddr, file: &Path) -> Result<(), Stop> {
    check(file)?;
    let list: WorkList = limewing_settings::read(file).map_err(Stop::input)?;
    let number = post(at, &MaintenanceRequest::CreateList(Box::new(list)))?
        .ok_or(Stop::failed("no number of the list came back"))?;
    let whole = |view: &MaintenanceView| {
        view.lists
            .iter()
            .any(|of| of.id == number && !of.machines.is_empty())
    };
    until(at, whole, &format!("list {number}"))
}

pub fn hold(at: SocketAddr, list: u64, held: bool) -> Result<(), Stop> {
    post(
        at,
        &if held {
            MaintenanceRequest::PauseList(list)
        } else {
            MaintenanceRequest::ResumeList(list)
        },
    )?;
    let done = if held {
        "held: nothing more goes out"
    } else {
        "it goes on"
    };
    until(
        at,
        |view| {
            view.lists
                .iter()
                .any(|of| of.id == list && of.paused == held)
        },
        done,
    )
}

/// Gives a sidecar a vote, or takes it; waits until it shows.
pub fn vote(at: SocketAddr, name: &str, has: bool) -> Result<(), Stop> {
    let asked = if has {
        MaintenanceRequest::AddVoter(name.to_owned())
    } else {
        MaintenanceRequest::RemoveVoter(name.to_owned())
    };
    post(at, &asked)?;
    let shows = |view: &MaintenanceView| {
        !view.voters.is_empty() && view.voters.iter().any(|voter| voter == name) == has
    };
    until(
        at,
        shows,
        if has {
            "it has a vote"
        } else {
            "it has no vote"
        },
    )
}

pub fn withdraw(at: SocketAddr, list: u64) -> Result<(), Stop> {
    post(at, &MaintenanceRequest::WithdrawList(list))?;
    let done = "withdrawn: nothing more goes out, what is out comes back when its work ends";
    until(
        at,
        |view| view.lists.iter().any(|of| of.id == list && of.withdrawn),
        done,
    )
}

pub fn gone(at: SocketAddr, sidecar: &str) -> Result<(), Stop> {
    post(at, &MaintenanceRequest::SidecarGone(sidecar.to_owned()))?;
    until(
        at,
        |view| !view.sidecars.iter().any(|name| name == sidecar),
        "not waited for any more",
    )
}

pub fn show(at: SocketAddr) -> Result<(), Stop> {
    let view = view(at)?;
    let leader = view.leader.as_deref().unwrap_or("nobody");
    println!(
        "{}: {}, led by {leader} in term {}, read up to {}, {}",
        view.name,
        view.role,
        view.term,
        view.applied_index,
        if view.has_lease {
            "with a lease"
        } else {
            "WITHOUT a lease: sends to no machine on a list"
        }
    );
    println!("voters: {}", view.voters.join(", "));
    if let Some(name) = &view.pending_voter {
        println!("gets a vote once it has caught up: {name}");
    }
    println!("sidecars: {}", view.sidecars.join(", "));
    for list in view.lists {
        let state = match () {
            () if list.finished => "over",
            () if list.withdrawn => "withdrawn",
            () if list.paused => "held",
            () => "under way",
        };
        println!("\nlist {} ({}): {state}", list.id, list.name);
        if !list.sidecars_behind.is_empty() {
            println!(
                "waits until these know it, or are said to be gone: {}",
                list.sidecars_behind.join(", ")
            );
        }
        let mut table = Table::new();
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(["machine", "step", "grant", "waits for"]);
        for machine in list.machines {
            let step = if machine.stalled {
                format!("{}, stalled", machine.phase)
            } else {
                machine.phase
            };
            let waits = machine
                .blocked_reason
                .unwrap_or(machine.sidecars_not_drained.join(", "));
            table.add_row([
                machine.machine,
                step,
                machine.grant.map_or(String::new(), |n| n.to_string()),
                waits,
            ]);
        }
        println!("{table}");
    }
    Ok(())
}
