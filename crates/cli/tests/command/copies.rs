//! State that the others keep, while processes are killed: days of six sidecars with a release on trial throughout and clients that
//! try again whatever may have run.

use crate::played_day::{one_day_at_a_time, play_day};
use crate::support::{run_limewing, write_settings, SidecarProcess};
use serde_json::Value;

/// What `day check` counted across sidecars.
struct CrossSidecarCounts {
    /// Attempts of keys that had met a newer build and went back to an older one.
    returned_to_older_build: usize,
    /// Requests that may not run twice and did.
    executed_twice: usize,
    /// All that the command printed.
    output: String,
}

fn play_copies_day(replicas: bool, change: impl Fn(&mut Value)) -> CrossSidecarCounts {
    let day = play_day("copies", |day| {
        day["peers"]["replicas"] = replicas.into();
        change(day);
    });
    // Without copies a hit may run twice, as its clients ask for it twice: that is what they are for.
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

/// Sidecars killed in turn: without copies keys go back to the older build, with them none does and no hit runs twice.
#[test]
fn what_a_killed_sidecar_knew_the_others_know() {
    let _alone = one_day_at_a_time();
    let replicated = play_copies_day(true, |_| ());
    let counts = (
        replicated.returned_to_older_build,
        replicated.executed_twice,
    );
    assert_eq!(counts, (0, 0), "{}", replicated.output);
    let without = play_copies_day(false, |_| ()).returned_to_older_build;
    assert!(without > 5, "{without} keys went back without copies");
}

/// Half of them cut off for a while, four in six killed at once, one that stands still and goes on: the rules are kept, and what one
/// half did not know the other tells it after.
#[test]
fn copies_under_cuts_and_a_crowd_that_returns() {
    let _alone = one_day_at_a_time();
    let counts = play_copies_day(true, |day| {
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

/// One that is killed while the installer is gone knows in its next life that a build is on trial, and takes no more of it than of one that
/// nobody announced: rule 5 is kept.
#[test]
fn a_start_beside_a_silent_installer_knows_of_the_trial() {
    let _alone = one_day_at_a_time();
    let day = play_day("copies", |day| {
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
        let told: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("stage update from other sidecars"))
            .collect();
        assert!(
            told.iter().any(|line| line.contains("OnTrial")),
            "sidecar-{number}: {told:?}"
        );
    }
}

/// Off unless told: a sidecar says so.
#[test]
fn without_replicas_nothing_is_kept() {
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
