//! Compares the combined decisions of many sidecars with and without coordination between them.

use super::CoordinationArguments;
use crate::table;
use limewing_emulators::fleet::{
    self, PodOutage, PodRestart, TrialPartition, TrialPlan, TrialResult,
};
use std::time::Duration;

/// Fraction of the run after which the sidecars are partitioned.
const SPLIT_AFTER: f64 = 0.45;

/// Fraction of the run after which the pod with the outage is available again.
const POD_BACK_AT: f64 = 0.8;

/// Seconds after the start of a pod's outage from which attempts are counted. Most sidecars cannot have detected it before.
const DETECTION_SECONDS: usize = 5;

/// Formats a figure of one run for the table.
type Figure = fn(&TrialResult) -> String;

/// Simulates many sidecars with and without coordination, and prints the results side by side. One pod restarts cold at half of
/// the run, and another has an outage from one fifth to four fifths of it.
pub(super) fn run(arguments: &CoordinationArguments) {
    let coordinated = fleet::run_trial(&plan(arguments, true));
    let independent = fleet::run_trial(&plan(arguments, false));
    let mut rows = table::with_headers(&["what", "with the fleet's word", "each alone"]);
    let figures: [(&str, Figure); 6] = [
        ("load per pod, most over mean", max_load),
        (
            "a cold pod's load over its strength's share, most",
            cold_load,
        ),
        (
            "forwards to a pod that is gone, a second, after 5 s",
            late_attempts_at_dead_pod,
        ),
        ("from its return to its first answer, s", recovery_time),
        ("delivered", |result| result.delivered.to_string()),
        ("given up", |result| result.failed.to_string()),
    ];
    for (name, figure) in figures {
        rows.add_row([name.to_owned(), figure(&coordinated), figure(&independent)]);
    }
    println!("{rows}");
}

fn plan(arguments: &CoordinationArguments, coordinated: bool) -> TrialPlan {
    let duration = Duration::from_secs(arguments.seconds.into());
    TrialPlan {
        sidecars: arguments.sidecars.into(),
        pods: arguments.pods.into(),
        seed: arguments.seed,
        duration,
        coordination: coordinated,
        partition: TrialPartition {
            at: duration.mul_f64(SPLIT_AFTER),
            parts: arguments.parts.into(),
        },
        restart: Some(PodRestart {
            pod: 0,
            at: duration / 2,
        }),
        outage: Some(PodOutage {
            pod: 1,
            from: duration / 5,
            to: duration.mul_f64(POD_BACK_AT),
        }),
    }
}

fn max_load(result: &TrialResult) -> String {
    format!("{:.2}", result.max_over_mean())
}

fn cold_load(result: &TrialResult) -> String {
    format!("{:.2}", result.warming_load)
}

fn late_attempts_at_dead_pod(result: &TrialResult) -> String {
    let late = result.attempts_in_outage.iter().skip(DETECTION_SECONDS);
    let seconds = late.clone().count().max(1) as f64;
    let attempts = late.sum::<usize>() as f64;
    format!("{:.1}", attempts / seconds)
}

fn recovery_time(result: &TrialResult) -> String {
    match result.recovery_time {
        Some(time) => format!("{:.1}", time.as_secs_f64()),
        None => "none".to_owned(),
    }
}
