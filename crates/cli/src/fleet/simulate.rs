//! Runs a fault script in simulated time.

use crate::table;
use limewing_emulators::fleet::{self, Member};
use limewing_fault_injection::{Fault, Script, Simulation};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Observers that considered a member dead, and when, by the member's name.
type Deaths = BTreeMap<String, Vec<(usize, Duration)>>;

/// Runs the script and prints its results.
pub(super) fn run(script: &Script, members: usize) {
    let mut simulation = Simulation::<Member>::new(script, members);
    let started_at = Instant::now();
    simulation.run_until(script.duration());
    let member_seconds = script.seconds * members as f64;
    let datagrams = simulation.traffic().datagrams as f64 / member_seconds;
    let bytes = simulation.traffic().bytes as f64 / member_seconds;
    let views = fleet::views(&simulation);
    let deaths = fleet::deaths(&simulation);
    let falsely_dead = deaths.keys().filter(|name| is_running(&simulation, name));
    let mut rows = table::with_headers(&["what", "figure"]);
    rows.add_row(["members", &members.to_string()]);
    rows.add_row(["datagrams a second and member", &format!("{datagrams:.1}")]);
    rows.add_row(["bytes a second and member", &format!("{bytes:.0}")]);
    rows.add_row([
        "members said to be dead by somebody",
        &deaths.len().to_string(),
    ]);
    rows.add_row([
        "of them, that run at the end",
        &falsely_dead.count().to_string(),
    ]);
    if let Some(figures) = median_and_max(detection_times(script, &simulation, &deaths)) {
        rows.add_row([
            "from a death until all know it, s (median, worst)",
            &figures,
        ]);
    }
    if let Some(figures) = median_and_max(spread_times(&simulation, &deaths)) {
        rows.add_row([
            "from the first to the last that says so, s (median, worst)",
            &figures,
        ]);
    }
    rows.add_row([
        "held wrongly at the end",
        &(views.missing + views.stale).to_string(),
    ]);
    let elapsed_s = started_at.elapsed().as_secs_f64();
    rows.add_row(["real seconds", &format!("{elapsed_s:.1}")]);
    println!("{rows}");
}

/// Returns whether a member runs at the end. Its name is an `s` followed by its number.
fn is_running(simulation: &Simulation<Member>, name: &str) -> bool {
    let number = name.strip_prefix('s').and_then(|text| text.parse().ok());
    number.is_some_and(|number| simulation.member(number).is_some())
}

/// Returns, for each member that was killed and not restarted, the seconds until all running members considered it dead.
/// The time is infinite if some never did.
fn detection_times(script: &Script, simulation: &Simulation<Member>, deaths: &Deaths) -> Vec<f64> {
    let members = simulation.member_count();
    let running = (0..members)
        .filter(|number| simulation.member(*number).is_some())
        .count();
    let mut times = Vec::new();
    for step in &script.steps {
        let Fault::Kill(selector) = &step.fault else {
            continue;
        };
        for killed in selector.resolve(members) {
            if simulation.member(killed).is_some() {
                continue;
            }
            let first_detections = first_detections(simulation, deaths, killed, step.at);
            times.push(if first_detections.len() == running {
                first_detections.into_values().fold(0.0, f64::max)
            } else {
                f64::INFINITY
            });
        }
    }
    times
}

/// Returns, for each running member, the seconds from the death of a killed member until it first considered that member dead.
fn first_detections(
    simulation: &Simulation<Member>,
    deaths: &Deaths,
    killed: usize,
    killed_at_s: f64,
) -> BTreeMap<usize, f64> {
    let mut first = BTreeMap::new();
    let observations = deaths.get(&format!("s{killed}")).into_iter().flatten();
    for (observer, at) in observations {
        let delay_s = at.as_secs_f64() - killed_at_s;
        if delay_s >= 0.0 && simulation.member(*observer).is_some() {
            first.entry(*observer).or_insert(delay_s);
        }
    }
    first
}

/// Returns, for each member that does not run at the end, the seconds between the first and the last detection of its death.
fn spread_times(simulation: &Simulation<Member>, deaths: &Deaths) -> Vec<f64> {
    deaths
        .iter()
        .filter(|(name, _)| !is_running(simulation, name))
        .map(|(_, observations)| {
            let times = observations.iter().map(|(_, at)| at.as_secs_f64());
            let last = times.clone().fold(0.0, f64::max);
            let first = times.fold(f64::MAX, f64::min);
            last - first
        })
        .collect()
}

/// Formats the median and the maximum of some times for the table.
fn median_and_max(mut times: Vec<f64>) -> Option<String> {
    times.sort_by(f64::total_cmp);
    let max = times.last()?;
    let median = times[times.len() / 2];
    Some(format!("{median:.1}, {max:.1}"))
}
