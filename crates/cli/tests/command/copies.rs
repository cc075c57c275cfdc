//! Tests replication between sidecars while processes are killed, on days of six sidecars with a build on trial throughout.
//! Clients retry requests even if they may have run.

use crate::played_day::{lock_real_time_days, run_day};
use crate::support::{run_limewing, write_settings, SidecarProcess};
use serde_json::Value;

/// Violations across sidecars, as counted by `day check`.
struct CrossSidecarCounts {
    /// Attempts sent to an older build although their routing key had met a newer one.
    returned_to_older_build: usize,
    /// Requests executed twice although they must not be.
    executed_twice: usize,
    /// Complete output of the command.
    output: String,
}

fn run_copies_day(replicas: bool, change: impl Fn(&mut Value)) -> CrossSidecarCounts {
    let day = run_day("copies", |day| {
        day["peers"]["replicas"] = replicas.into();
        change(day);
    });
    // Without replication a request that its client retries may run twice, which replication prevents.
    if replicas {
        day.assert_success();
    }
    let text = day.output;
    let line = text
        .lines()
        .find(|line| line.starts_with("across sidecars: "))
        .unwrap_or_default();
    let numbers: Vec<usize> = line
        .split(' ')
        .filter_map(|word| word.parse().ok())
        .collect();
    assert_eq!(numbers.len(), 4, "{text}");
    CrossSidecarCounts {
        returned_to_older_build: numbers[0],
        executed_twice: numbers[2],
        output: text,
    }
}

/// Sidecars are killed in turn. Without replication, routing keys go back to the older build. With it, none does and no request
/// runs twice.
#[test]
fn state_of_a_killed_sidecar_is_kept_by_its_peers() {
    let _guard = lock_real_time_days();
    let replicated = run_copies_day(true, |_| ());
    let counts = (
        replicated.returned_to_older_build,
        replicated.executed_twice,
    );
    assert_eq!(counts, (0, 0), "{}", replicated.output);
    let without = run_copies_day(false, |_| ()).returned_to_older_build;
    assert!(without > 5, "{without} keys went back without replication");
}

/// A partition between two halves, four of six sidecars killed at once, and one suspended and resumed: the rules are kept,
/// and after the partition each half learns the state that it missed from the other.
#[test]
fn replication_survives_partitions_and_mass_restarts() {
    let _guard = lock_real_time_days();
    let counts = run_copies_day(true, |day| {
        day["peers"]["faults"]["steps"] = serde_json::json!([
            { "at": 5.0, "does": { "cut": { "from": { "part": [0.0, 0.5] }, "to": { "part": [0.5, 1.0] } } } },
            { "at": 9.0, "does": "mend" },
            { "at": 11.0, "does": { "kill": { "numbers": [0, 1, 2, 3] } } },
            { "at": 11.8, "does": { "start": { "numbers": [0, 1, 2, 3] } } },
            { "at": 15.0, "does": { "stop": { "numbers": [4] } } },
            { "at": 18.0, "does": { "go_on": { "numbers": [4] } } }
        ]);
    });
    assert_eq!(counts.executed_twice, 0, "{}", counts.output);
}

/// A sidecar that is restarted while the rollout service is down learns from its peers that a build is on trial, and limits its
/// exposure as for an unannounced build: rule 5 is kept.
#[test]
fn a_restart_during_a_rollout_service_outage_learns_of_the_trial() {
    let _guard = lock_real_time_days();
    let day = run_day("copies", |day| {
        day["lasts"] = 16.into();
        day["releases"]["step_after"] = 4.into();
        day["troubles"] = serde_json::json!([{ "at": 9, "for": 7, "what": "installer_down" }]);
        day["peers"]["faults"]["steps"] = serde_json::json!([
            { "at": 10.0, "does": { "kill": { "numbers": [2, 3] } } },
            { "at": 10.7, "does": { "start": { "numbers": [2, 3] } } }
        ]);
    });
    day.assert_success();
    assert!(
        day.output.contains("across sidecars: 0 of"),
        "{}",
        day.output
    );
    for number in [2, 3] {
        let log = day.sidecar_log(number);
        let updates: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("stage update from other sidecars"))
            .collect();
        assert!(
            updates.iter().any(|line| line.contains("OnTrial")),
            "sidecar-{number}: {updates:?}"
        );
    }
}

/// Replication is off by default, and a sidecar reports that.
#[test]
fn without_replicas_the_state_page_reports_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let sidecar = SidecarProcess::start(
        "",
        &write_settings(folder.path(), "127.0.0.1:0"),
        std::process::Stdio::null(),
    );
    let out = run_limewing(&["fleet", "state", &sidecar.address.to_string()]);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(1) && text.contains("no `peers.replicas` in its settings"),
        "{text}"
    );
}
