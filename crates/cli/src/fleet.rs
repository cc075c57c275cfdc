//! What a sidecar holds of its fleet, and fleets played under scripts of faults.

use crate::{plot, Stop};
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use limewing_emulators::fleet::{
    self, Member, Plan, PodOutage, PodRestart, TrialPartition, TrialPlan, TrialResult,
};
use limewing_fault_injection::{Fault, Script, Simulation};
use limewing_http_proxy::service::{MembershipView, ReplicationView};
use limewing_settings::{Checked, ConfigError, SidecarSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A script as a file of settings.
#[derive(Clone, Debug, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(transparent)]
pub struct ScriptFile(pub Script);

impl Checked for ScriptFile {
    fn config_errors(&self) -> Vec<ConfigError> {
        self.0
            .config_errors()
            .into_iter()
            .map(|m| ConfigError::new(m.path, format!("expected {}", m.expected)))
            .collect()
    }
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(head);
    table
}

/// Prints one sidecar's view of its fleet.
/// Prints what a sidecar keeps, and how far each of its copies goes.
pub fn state(at: SocketAddr) -> Result<(), Stop> {
    let text = fleet::call(at, "GET", "/limewing/state", "")
        .map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    let view: ReplicationView =
        serde_json::from_str(&text).map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    println!(
        "{}, started {}: {}; {} keys that met a build, {} hits that may have run, {} bytes sent",
        view.name,
        view.incarnation,
        if view.caught_up {
            "has caught up"
        } else {
            "has NOT caught up"
        },
        view.keys,
        view.requests,
        view.bytes_sent
    );
    println!(
        "goes by {}",
        view.stage.as_deref().unwrap_or("no stage news")
    );
    view.stages.iter().for_each(|stage| println!("  {stage}"));
    let mut rows = table(&["of", "start", "whole up to", "live", "given up"]);
    for log in view.logs {
        let (start, upto, live) = (
            log.incarnation.to_string(),
            log.contiguous_through.to_string(),
            log.live_entries.to_string(),
        );
        rows.add_row([log.name, start, upto, live, log.evicted_entries.to_string()]);
    }
    println!("{rows}");
    Ok(())
}

pub fn show(at: SocketAddr) -> Result<(), Stop> {
    let text = fleet::ask(at).map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    let view: MembershipView =
        serde_json::from_str(&text).map_err(|e| Stop::failed(format!("{at}: {e}")))?;
    println!(
        "{} at {}, started {}, incarnation {}, slowness {} of 8",
        view.name, view.address, view.started_at_ms, view.incarnation, view.local_health
    );
    let mut rows = table(&["member", "at", "standing", "start", "incarnation", "for s"]);
    for seen in view.members {
        let spans = format!("{:.1}", seen.seconds_in_status);
        rows.add_row([
            seen.name,
            seen.address.to_string(),
            seen.status,
            seen.started_at_ms.to_string(),
            seen.incarnation.to_string(),
            spans,
        ]);
    }
    println!("{rows}");
    if let Some(chosen) = &view.selection {
        println!("uses {}", chosen.used.join(", "));
        println!(
            "leaves to others to prove: {}",
            chosen.probed_by_peers.join(", ")
        );
    }
    println!(
        "{} bytes sent; keys {:?}, {} key files could not be used",
        view.bytes_sent, view.keys, view.keys_unusable
    );
    for (why, count) in view.rejected {
        println!("{count} datagrams refused: {why}");
    }
    Ok(())
}

/// Plays a script with processes of the program; fails if one crashed, or if those that run at the end do not hold each
/// other as they should.
pub fn play(
    script: &Script,
    settings: &SidecarSettings,
    members: usize,
    period: Duration,
    folder: &Path,
) -> Result<(), Stop> {
    let program = std::env::current_exe().map_err(Stop::failed)?;
    let plan = Plan {
        program: &program,
        script,
        members,
        period,
        settings,
        folder,
    };
    let played = fleet::play(&plan).map_err(Stop::failed)?;
    let spent = played.ended.as_secs_f64().max(1e-9) * members as f64;
    let dead = played.held_dead_while_running();
    let wrong = played.wrong_at_the_end(members);
    let mut rows = table(&["what", "figure"]);
    rows.add_row(["members".to_owned(), members.to_string()]);
    rows.add_row(["views taken".to_owned(), played.samples.len().to_string()]);
    rows.add_row([
        "datagrams a second and member".to_owned(),
        format!("{:.1}", played.traffic.datagrams as f64 / spent),
    ]);
    rows.add_row([
        "bytes a second and member".to_owned(),
        format!("{:.0}", played.traffic.bytes as f64 / spent),
    ]);
    rows.add_row(["datagrams refused".to_owned(), played.refused.to_string()]);
    rows.add_row([
        "views that held one that ran to be dead".to_owned(),
        dead.to_string(),
    ]);
    rows.add_row([
        "held wrongly at the end".to_owned(),
        wrong.len().to_string(),
    ]);
    println!("{rows}");
    // How many others each holds to be alive.
    let alive = |sample: &fleet::Sample| sample.alive() as f64;
    let course = |of: usize| {
        let own = played.samples.iter().filter(|sample| sample.of == of);
        own.map(|sample| (sample.at.as_secs_f64(), alive(sample)))
            .collect()
    };
    let courses: Vec<plot::Course> = (0..members).map(course).collect();
    plot::draw(
        &folder.join("members.svg"),
        "others held to be alive, by sidecar",
        "members",
        &courses,
    )?;
    for view in wrong.iter().take(20) {
        println!("s{} holds s{} to be {}", view.of, view.member, view.status);
    }
    if !played.crashed.is_empty() {
        return Err(Stop::failed(format!(
            "ended by themselves: {:?}; see the logs in {}",
            played.crashed,
            folder.display()
        )));
    }
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(Stop::failed(
            "the members do not hold each other as they should",
        ))
    }
}

/// Plays a script in simulated time.
pub fn simulate(script: &Script, members: usize) -> Result<(), Stop> {
    let mut world = Simulation::<Member>::new(script, members);
    let began = std::time::Instant::now();
    world.run_until(script.duration());
    let spent = script.seconds * members as f64;
    let (views, deaths) = (fleet::views(&world), fleet::deaths(&world));
    let runs = |name: &str| {
        let number = name.strip_prefix('s').and_then(|n| n.parse::<usize>().ok());
        number.is_some_and(|number| world.member(number).is_some())
    };
    let mut rows = table(&["what", "figure"]);
    rows.add_row(["members".to_owned(), members.to_string()]);
    rows.add_row([
        "datagrams a second and member".to_owned(),
        format!("{:.1}", world.traffic().datagrams as f64 / spent),
    ]);
    rows.add_row([
        "bytes a second and member".to_owned(),
        format!("{:.0}", world.traffic().bytes as f64 / spent),
    ]);
    rows.add_row([
        "members said to be dead by somebody".to_owned(),
        deaths.len().to_string(),
    ]);
    rows.add_row([
        "of them, that run at the end".to_owned(),
        deaths.keys().filter(|name| runs(name)).count().to_string(),
    ]);
    // Of those killed for good: from then until all that run hold them to be dead.
    let mut known: Vec<f64> = Vec::new();
    for step in &script.steps {
        let Fault::Kill(who) = &step.fault else {
            continue;
        };
        for number in who
            .resolve(members)
            .into_iter()
            .filter(|number| world.member(*number).is_none())
        {
            let said = deaths.get(&format!("s{number}")).into_iter().flatten();
            let since = said
                .map(|(by, at)| (*by, at.as_secs_f64() - step.at))
                .filter(|(_, wait)| *wait >= 0.0);
            let first: BTreeMap<usize, f64> = since
                .rev()
                .filter(|(by, _)| world.member(*by).is_some())
                .collect();
            let all = first.len()
                == (0..members)
                    .filter(|other| world.member(*other).is_some())
                    .count();
            known.push(if all {
                first.into_values().fold(0.0, f64::max)
            } else {
                f64::INFINITY
            });
        }
    }
    known.sort_by(f64::total_cmp);
    if let Some(last) = known.last() {
        let figures = format!("{:.1}, {last:.1}", known[known.len() / 2]);
        rows.add_row([
            "from a death until all know it, s (median, worst)".to_owned(),
            figures,
        ]);
    }
    // Of those that do not run: from the first that said so to the last.
    let mut spread: Vec<f64> = deaths
        .iter()
        .filter(|(name, _)| !runs(name))
        .map(|(_, said)| {
            let times = said.iter().map(|(_, at)| at.as_secs_f64());
            times.clone().fold(0.0, f64::max) - times.fold(f64::MAX, f64::min)
        })
        .collect();
    spread.sort_by(f64::total_cmp);
    if let Some(last) = spread.last() {
        let median = spread[spread.len() / 2];
        rows.add_row([
            "from the first to the last that says so, s (median, worst)".to_owned(),
            format!("{median:.1}, {last:.1}"),
        ]);
    }
    rows.add_row([
        "held wrongly at the end".to_owned(),
        (views.missing + views.ghosts).to_string(),
    ]);
    rows.add_row([
        "real seconds".to_owned(),
        format!("{:.1}", began.elapsed().as_secs_f64()),
    ]);
    println!("{rows}");
    Ok(())
}

/// Plays many decision modules with and without the fleet's word: a pod starts cold at half of the time, another is gone
/// from a fifth of it to four fifths.
pub fn choices(
    sidecars: usize,
    pods: usize,
    parts: usize,
    seconds: u64,
    seed: u64,
) -> Result<(), Stop> {
    let duration = Duration::from_secs(seconds);
    let plan = |coordination| TrialPlan {
        sidecars,
        pods,
        seed,
        duration,
        coordination,
        partition: TrialPartition {
            at: duration.mul_f64(0.45),
            parts,
        },
        restart: Some(PodRestart {
            pod: 0,
            at: duration / 2,
        }),
        outage: Some(PodOutage {
            pod: 1,
            from: duration / 5,
            to: duration.mul_f64(0.8),
        }),
    };
    let [with, without] = [true, false].map(|coordination| fleet::run_trial(&plan(coordination)));
    let mut rows = table(&["what", "with the fleet's word", "each alone"]);
    let mut row = |what: &str, figure: &dyn Fn(&TrialResult) -> String| {
        rows.add_row([what.to_owned(), figure(&with), figure(&without)]);
    };
    row("load per pod, most over mean", &|played| {
        format!("{:.2}", played.highest_over_mean())
    });
    row(
        "a cold pod's load over its strength's share, most",
        &|played| format!("{:.2}", played.warming_load),
    );
    row(
        "forwards to a pod that is gone, a second, after 5 s",
        &|played| {
            let late = played.attempts_in_outage.iter().skip(5);
            format!(
                "{:.1}",
                late.clone().sum::<usize>() as f64 / late.count().max(1) as f64
            )
        },
    );
    row("from its return to its first answer, s", &|played| {
        played
            .recovery_time
            .map_or("none".into(), |wait| format!("{:.1}", wait.as_secs_f64()))
    });
    row("delivered", &|played| played.delivered.to_string());
    row("given up", &|played| played.given_up.to_string());
    println!("{rows}");
    Ok(())
}
