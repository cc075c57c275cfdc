//! Machines out for work while processes and links fail: days of six sidecars and 24 pods under hits.

use crate::played_day::play_day;
use crate::support::{run_limewing, write_settings, SidecarProcess};
use rstest::rstest;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Four of these days are played at a time: each has six processes, and is quiet.
fn one_day_of_four() -> MutexGuard<'static, ()> {
    static TURN: AtomicUsize = AtomicUsize::new(0);
    static DAYS: [Mutex<()>; 4] = [const { Mutex::new(()) }; 4];
    DAYS[TURN.fetch_add(1, Ordering::Relaxed) % 4]
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// A day with this done to its script; what it printed, and the sidecars' logs.
fn play_work_day(change: impl Fn(&mut Value)) -> (String, Vec<String>) {
    let _turn = one_day_of_four();
    let day = play_day("work", change);
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

/// Kills each voter in turn, again and again: whoever leads is among them, in whatever step a machine is.
fn voters_killed() -> Vec<Value> {
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

fn cut(at: f64, from: Value, one_way: bool) -> Value {
    step(
        at,
        json!({ "cut": { "from": { "numbers": from }, "to": "all", "one_way": one_way } }),
    )
}

/// All 24 machines are worked on once, none while it is in use or beyond the limits, and the five rules are kept.
#[rstest]
#[case::quiet(vec![])]
#[case::voters_killed_in_turn(voters_killed())]
#[case::a_voter_cut_off(vec![cut(5.0, json!([0]), false), step(9.0, json!("mend")), cut(12.0, json!([1]), true), step(15.0, json!("mend"))])]
#[case::voters_stand_still(vec![
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
fn machines_are_done_once(#[case] steps: Vec<Value>) {
    let (text, logs) = play_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!(steps);
        day["lasts"] = 50.into();
    });
    assert!(
        text.contains("machines: 24 worked on, 0 failed"),
        "{text}\n{}",
        logs.concat()
    );
}

/// A sidecar that is cut off before a list holds it up; started anew it holds up nothing any more.
#[test]
fn a_sidecar_that_cannot_know_the_list_holds_it_up() {
    let (text, _) = play_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!([cut(1.5, json!([5]), false)]);
        day["lasts"] = 18.into();
    });
    assert!(text.contains("machines: 0 worked on"), "{text}");
}

/// Said to be gone, it is not waited for.
#[test]
fn a_sidecar_that_is_gone_holds_up_nothing() {
    let (text, _) = play_work_day(|day| {
        day["peers"]["faults"]["steps"] = json!([at_sidecar("kill", 1.5, 5)]);
        let steps = day["work"]["steps"].as_array_mut().unwrap();
        steps.push(step(5.0, json!({ "gone": "sidecar-5" })));
    });
    assert!(text.contains("machines: 24 worked on"), "{text}");
}

/// Machines that stall, fail and report twice; a list that is held, goes on and is withdrawn.
#[test]
fn work_goes_wrong_and_is_stopped() {
    let (text, _) = play_work_day(|day| {
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

/// No machine goes out beside a release on trial, unless the list says so.
#[rstest]
#[case::not_beside(false)]
#[case::beside(true)]
fn a_release_comes_meanwhile(#[case] beside: bool) {
    let (text, _) = play_work_day(|day| {
        day["offers"] = json!([{ "at": 1, "build": 2 }]);
        day["releases"]["step_after"] = 60.into();
        day["work"]["steps"][0]["does"]["ask"]["beside_trials"] = beside.into();
        day["lasts"] = 14.into();
    });
    assert_eq!(text.contains("machines: 0 worked on"), !beside, "{text}");
}

/// Three voters become five in the middle of a list, then two of the first three are gone for good, whoever leads among them.
#[test]
fn voters_become_five_and_two_are_lost() {
    let (text, logs) = play_work_day(|day| {
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

/// A machine goes out with all its pods.
#[test]
fn a_machine_goes_out_with_all_its_pods() {
    let (text, _) = play_work_day(|day| day["work"]["pods_a_machine"] = 2.into());
    assert!(text.contains("machines: 12 worked on, 0 failed"), "{text}");
}

/// While sidecars turn hits away nothing goes out.
#[test]
fn overload_stops_work() {
    let (text, logs) = play_work_day(|day| {
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

/// A zone that is gone stops new grants.
#[test]
fn a_lost_zone_stops_work() {
    let (text, _) = play_work_day(|day| {
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

/// All errors of a list at once, each with file, line and cause; nothing is asked for.
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

/// Without `work` in its settings a sidecar settles nothing and says so.
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
