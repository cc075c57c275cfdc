//! Tests the maintenance of machines while processes and links fail, on days of six sidecars and 24 pods under load.

use crate::played_day::run_day;
use crate::support::{run_limewing, write_settings, SidecarProcess};
use rstest::rstest;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Limits these days to four at a time. Each has six processes under low load.
fn limit_concurrent_days() -> MutexGuard<'static, ()> {
    static NEXT_DAY: AtomicUsize = AtomicUsize::new(0);
    static DAYS: [Mutex<()>; 4] = [const { Mutex::new(()) }; 4];
    DAYS[NEXT_DAY.fetch_add(1, Ordering::Relaxed) % 4]
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Runs a day with a modified script, and returns its output and the sidecars' logs.
fn run_work_day(change: impl Fn(&mut Value)) -> (String, Vec<String>) {
    let _guard = limit_concurrent_days();
    let day = run_day("work", change);
    day.assert_success();
    let logs = (0..6).map(|number| day.sidecar_log(number)).collect();
    (day.output, logs)
}

fn step(at: f64, does: Value) -> Value {
    json!({ "at": at, "does": does })
}

fn at_sidecar(what: &str, at: f64, number: usize) -> Value {
    step(at, json!({ what: { "numbers": [number] } }))
}

/// Kills each voter in turn repeatedly, which includes the leader in every phase of a machine.
fn kill_voters_in_turn() -> Vec<Value> {
    (0..12)
        .flat_map(|n| {
            let at = 4.0 + 1.7 * n as f64;
            [
                at_sidecar("kill", at, n % 3),
                at_sidecar("start", at + 0.6, n % 3),
            ]
        })
        .collect()
}

fn partition(at: f64, from: Value, one_way: bool) -> Value {
    step(
        at,
        json!({ "cut": { "from": { "numbers": from }, "to": "all", "one_way": one_way } }),
    )
}

/// All 24 machines are maintained once, none while it is in use or beyond the limits, and the five rules are kept.
#[rstest]
#[case::quiet(vec![])]
#[case::voters_killed_in_turn(kill_voters_in_turn())]
#[case::a_voter_partitioned(vec![partition(5.0, json!([0]), false), step(9.0, json!("mend")), partition(12.0, json!([1]), true), step(15.0, json!("mend"))])]
#[case::voters_suspended(vec![
    at_sidecar("stop", 5.0, 0), at_sidecar("go_on", 8.0, 0), at_sidecar("stop", 9.0, 1), at_sidecar("go_on", 12.0, 1), at_sidecar("stop", 13.0, 2), at_sidecar("go_on", 15.0, 2)
])]
#[case::all_killed(vec![step(7.0, json!({ "kill": "all" })), step(7.5, json!({ "start": "all" }))])]
#[case::a_voter_and_another_leave(vec![
    at_sidecar("leave", 2.0, 0), at_sidecar("leave", 2.1, 5), at_sidecar("start", 9.0, 0), at_sidecar("start", 14.0, 5)
])]
#[case::full_disks(vec![
    at_sidecar("fill_disk", 5.0, 0), at_sidecar("free_disk", 8.0, 0), at_sidecar("fill_disk", 9.0, 1), at_sidecar("free_disk", 12.0, 1), at_sidecar("fill_disk", 13.0, 2), at_sidecar("free_disk", 15.0, 2)
])]
#[case::a_lost_disk(vec![at_sidecar("kill", 6.0, 1), at_sidecar("lose_disk", 6.1, 1), at_sidecar("start", 6.5, 1)])]
fn machines_are_maintained_once(#[case] steps: Vec<Value>) {
    let (text, logs) = run_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!(steps);
        day["lasts"] = 50.into();
    });
    assert!(
        text.contains("machines: 24 worked on, 0 failed"),
        "{text}\n{}",
        logs.concat()
    );
}

/// A sidecar that is partitioned before a list is submitted blocks the list. Once restarted, it no longer does.
#[test]
fn a_sidecar_that_cannot_learn_of_the_list_blocks_it() {
    let (text, _) = run_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!([partition(1.5, json!([5]), false)]);
        day["lasts"] = 18.into();
    });
    assert!(text.contains("machines: 0 worked on"), "{text}");
}

/// A list does not wait for a sidecar that is declared gone.
#[test]
fn a_sidecar_that_is_gone_does_not_block_a_list() {
    let (text, _) = run_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!([at_sidecar("kill", 1.5, 5)]);
        let steps = day["work"]["steps"].as_array_mut().unwrap();
        steps.push(step(5.0, json!({ "gone": "sidecar-5" })));
    });
    assert!(text.contains("machines: 24 worked on"), "{text}");
}

/// Machines stall, fail and report twice, and a list is paused, resumed and withdrawn.
#[test]
fn work_with_failures_is_withdrawn() {
    let (text, _) = run_work_day(|day| {
        day["work"]["stall"] = json!([0]);
        day["work"]["fail"] = json!([1]);
        day["work"]["twice"] = json!([2, 3]);
        let steps = day["work"]["steps"].as_array_mut().unwrap();
        steps.extend([
            step(10.0, json!("hold")),
            step(18.0, json!("go_on")),
            step(24.0, json!("withdraw")),
        ]);
        day["lasts"] = 34.into();
    });
    let done: usize = text
        .split("machines: ")
        .nth(1)
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (6..22).contains(&done) && text.contains("1 failed") && text.contains("1 still out"),
        "{text}"
    );
}

/// No machine goes out while a build is on trial, unless the list allows it.
#[rstest]
#[case::forbidden(false)]
#[case::allowed(true)]
fn a_build_on_trial_stops_work_unless_allowed(#[case] allowed: bool) {
    let (text, _) = run_work_day(|day| {
        day["offers"] = json!([{ "at": 1, "build": 2 }]);
        day["releases"]["step_after"] = 60.into();
        day["work"]["steps"][0]["does"]["ask"]["beside_trials"] = allowed.into();
        day["lasts"] = 14.into();
    });
    assert_eq!(text.contains("machines: 0 worked on"), !allowed, "{text}");
}

/// The voters grow from three to five during a list, and then two of the first three are lost permanently, possibly with
/// the leader.
#[test]
fn voters_become_five_and_two_are_lost() {
    let (text, logs) = run_work_day(|day| {
        day["peers"]["faults"]["steps"] =
            json!([at_sidecar("kill", 13.0, 0), at_sidecar("kill", 16.0, 1)]);
        day["work"]["folders"] = 5.into();
        let steps = day["work"]["steps"].as_array_mut().unwrap();
        steps.extend([
            step(5.0, json!({ "vote": "sidecar-3" })),
            step(7.0, json!({ "vote": "sidecar-4" })),
        ]);
        day["lasts"] = 50.into();
    });
    assert!(
        text.contains("machines: 24 worked on, 0 failed"),
        "{text}\n{}",
        logs.concat()
    );
}

/// A machine goes out together with all of its pods.
#[test]
fn a_machine_goes_out_with_all_its_pods() {
    let (text, _) = run_work_day(|day| day["work"]["pods_a_machine"] = 2.into());
    assert!(text.contains("machines: 12 worked on, 0 failed"), "{text}");
}

/// No machine goes out while sidecars reject requests.
#[test]
fn overload_stops_work() {
    let (text, logs) = run_work_day(|day| {
        day["fleet"]["cores"] = 1.into();
        day["hits_per_s"] = 400.into();
        day["lasts"] = 14.into();
    });
    assert!(
        text.contains("machines: 0 worked on"),
        "{text}\n{}",
        logs.concat()
    );
}

/// The loss of a zone stops new grants.
#[test]
fn a_lost_zone_stops_work() {
    let (text, _) = run_work_day(|day| {
        let east: Vec<usize> = (0..24).filter(|n| n % 3 == 0).collect();
        day["troubles"] = json!([{ "at": 2, "for": 30, "what": { "pods_killed": east } }]);
        day["work"]["steps"][0]["does"]["ask"]["machines"] = json!((0..24)
            .filter(|n| n % 3 == 1)
            .map(|n| format!("node-{n}"))
            .collect::<Vec<_>>());
        day["work"]["steps"][0]["does"]["ask"]
            .as_object_mut()
            .unwrap()
            .remove("select");
        day["lasts"] = 14.into();
    });
    assert!(text.contains("machines: 0 worked on"), "{text}");
}

/// All errors of a list are reported at once, each with file, line and cause, and no sidecar is contacted.
#[test]
fn all_errors_of_a_list_are_reported_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list.json");
    let list = "{\n\"name\": \"\",\n\"machines\": [\"a\", \"a\"],\n\"takes\": 9,\n\"stalls_after\": 5,\n\"limits\": {\"out\": 0, \"ready_part\": 2}\n}";
    std::fs::write(&file, list).unwrap();
    let out = run_limewing(&["work", "check", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{text}");
    for (line, path) in [
        (2, "/name"),
        (3, "/machines/1"),
        (5, "/stalls_after"),
        (6, "/limits/out"),
        (6, "/limits/ready_part"),
    ] {
        assert!(
            text.contains(&format!("list.json:{line}: at {path}: expected")),
            "{path} in {text}"
        );
    }
    assert!(text.lines().count() == 5, "{text}");
}

/// A sidecar without `work` in its settings manages no maintenance and reports that.
#[test]
fn without_work_nothing_goes_out() {
    let folder = tempfile::tempdir().unwrap();
    let sidecar = SidecarProcess::start(
        "",
        &write_settings(folder.path(), "127.0.0.1:0"),
        std::process::Stdio::null(),
    );
    let out = run_limewing(&["work", "show", &sidecar.address.to_string()]);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(1) && text.contains("no `work` in its settings"),
        "{text}"
    );
}
