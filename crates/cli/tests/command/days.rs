//! Runs whole days through the command, with sidecars as separate processes.

use crate::played_day::{lock_real_time_days, record_excerpt, run_day};
use crate::support::{
    fetch_status, repository_file, run_limewing, write_settings, write_settings_with_pods,
    SidecarProcess,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

#[rstest]
#[case("short-quiet")]
#[case("short-troubled")]
#[case("fleet-faults")]
#[case("fleet-herd")]
fn a_short_day_keeps_the_five_rules(#[case] name: &str) {
    let _guard = name.starts_with("fleet").then(lock_real_time_days);
    let folder = tempfile::tempdir().unwrap();
    let script = repository_file(&format!("days/{name}.json"));
    let out = run_limewing(&[
        "day",
        "play",
        script.to_str().unwrap(),
        "--folder",
        folder.path().to_str().unwrap(),
    ]);
    let text =
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.success(),
        "{text}\n{}",
        record_excerpt(&text, folder.path())
    );
    assert_eq!(text.matches("| kept").count(), 5, "{text}");
    let plot = std::fs::read_to_string(folder.path().join("load.svg")).unwrap();
    assert!(
        plot.ends_with("</svg>\n") && plot.contains("polyline"),
        "{plot}"
    );
}

#[rstest]
#[case::without_requests(&[])]
#[case::after_a_request(&["--after-hit"])]
fn the_cost_of_idle_connections_is_printed(#[case] more: &[&str]) {
    let args = [
        "load", "idle", "--few", "10", "--many", "200", "--rests", "1",
    ];
    let out = run_limewing(&[&args, more].concat());
    let text =
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() && text.contains("| 200 "), "{text}");
}

#[rstest]
#[case::no_file(&["sidecar", "/nowhere.json"], 2, "expected a file")]
#[case::no_record(&["day", "check", "/nowhere"], 2, "/nowhere")]
#[case::idle_the_wrong_way_round(&["load", "idle", "--few", "10", "--many", "5"], 2, "expected fewer")]
#[case::no_command(&["fly"], 2, "unrecognized subcommand")]
fn bad_input_is_reported_with_an_exit_code(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let out = run_limewing(args);
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{text}");
    assert!(
        text.contains(expected) && !text.contains("panicked"),
        "{text}"
    );
}

#[test]
fn more_idle_connections_than_descriptors_are_an_error() {
    let run = format!(
        "ulimit -n 300; exec {} load idle --few 10 --many 400",
        env!("CARGO_BIN_EXE_limewing")
    );
    let out = Command::new("sh").args(["-c", &run]).output().unwrap();
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(1) && text.contains("connections"),
        "{text}"
    );
}

#[rstest]
#[case::quiet("quiet")]
#[case::bad_release("bad-release")]
#[case::standstill("standstill")]
#[case::zone_cut("zone-cut")]
#[case::sidecar_roll("sidecar-roll")]
#[case::everything("everything")]
#[case::rough_edges("rough-edges")]
#[case::streams("streams")]
#[case::demo("demo")]
#[case::fleet_faults("fleet-faults")]
#[case::fleet_herd("fleet-herd")]
#[case::fleet_grows("fleet-grows")]
#[case::work("work")]
fn the_shipped_day_scripts_are_valid(#[case] name: &str) {
    let script = repository_file(&format!("days/{name}.json"));
    let out = run_limewing(&["settings", "check", script.to_str().unwrap(), "--of", "day"]);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

#[test]
fn a_sidecar_out_of_descriptors_recovers_when_some_are_free() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(folder.path(), "127.0.0.1:0");
    let log = folder.path().join("log");
    let out = std::fs::File::create(&log).unwrap();
    let sidecar = SidecarProcess::start("ulimit -n 40;", &file, out.into());
    let open: Vec<TcpStream> = (0..60).map(|_| sidecar.connect()).collect();
    while !std::fs::read_to_string(&log)
        .unwrap()
        .contains("can't accept")
    {
        std::thread::yield_now();
    }
    drop(open);
    let answer = fetch_status(&sidecar.address);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn a_sidecar_exits_with_success_on_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(folder.path(), "127.0.0.1:0");
    let mut sidecar = SidecarProcess::start("", &file, Stdio::null());
    let mut idle = sidecar.connect();
    let signalled = Command::new("kill")
        .args(["-TERM", &sidecar.child.id().to_string()])
        .status()
        .unwrap();
    assert!(signalled.success() && sidecar.child.wait().unwrap().success());
    assert_eq!(idle.read(&mut [0]).unwrap_or(0), 0);
}

#[test]
fn a_sidecar_that_shuts_down_writes_its_last_response_to_the_end() {
    const BODY: usize = 60_000;
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = pod.local_addr().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings_with_pods(folder.path(), &[(at, 1)]);
    std::thread::spawn(move || {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n");
        let answer = [head.as_bytes(), &[b'#'; BODY]].concat();
        for mut link in pod.incoming().map_while(Result::ok) {
            while matches!(link.read(&mut [0; 4096]), Ok(1..)) && link.write_all(&answer).is_ok() {}
        }
    });
    let mut sidecar = SidecarProcess::start("", &file, Stdio::null());
    // More responses than the socket buffers hold for a client that does not read. The rest is buffered in the sidecar.
    let mut client = sidecar.connect();
    client
        .write_all(
            "GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n"
                .repeat(600)
                .as_bytes(),
        )
        .unwrap();
    while !fetch_status(&sidecar.address).contains("\"open_hits\":0,")
        || fetch_status(&sidecar.address).contains("\"unsent\":0}")
    {
        std::thread::yield_now();
    }
    let signalled = Command::new("kill")
        .args(["-TERM", &sidecar.child.id().to_string()])
        .status()
        .unwrap();
    let mut text = Vec::new();
    client.read_to_end(&mut text).unwrap();
    assert!(signalled.success() && sidecar.child.wait().unwrap().success());
    // A request that is read while the sidecar shuts down is answered with 503 and no body.
    let (heads, bodies) = (
        text.windows(12).filter(|w| w == b"HTTP/1.1 200").count(),
        text.iter().filter(|b| **b == b'#').count(),
    );
    assert!(
        heads > 0 && bodies == heads * BODY,
        "{heads} heads, {bodies} bytes of bodies"
    );
}

#[test]
fn a_port_in_use_is_an_error_at_start() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("sidecar.json");
    let example = std::fs::read_to_string(repository_file("deploy/sidecar.example.json")).unwrap();
    std::fs::write(
        &file,
        example.replace(
            "127.0.0.1:8080",
            &listener.local_addr().unwrap().to_string(),
        ),
    )
    .unwrap();
    let out = run_limewing(&["sidecar", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{text}");
    assert!(text.contains("can't listen"), "{text}");
}

/// State shared by the fleet changes the endpoint selection of each sidecar, and some sidecars leave probing of silent pods
/// to others.
#[test]
fn shared_state_reaches_every_process() {
    let _guard = lock_real_time_days();
    let day = run_day("fleet-faults", |day| {
        // A sidecar's own responses of the last 5 s take precedence, so the pods stay silent for longer, until the end.
        // Three sidecars must see three consecutive attempts to the same pod fail, of about four that each sends there in
        // 13 s. That depends on chance, so the day is long.
        day["lasts"] = 26.into();
        day["offers"] = serde_json::json!([]);
        day["peers"]["faults"]["steps"] = serde_json::json!([]);
        day["troubles"] =
            serde_json::json!([{ "at": 1, "for": 25, "what": { "pods_silent": [5, 17] } }]);
    });
    day.assert_success();
    let logs: Vec<String> = (0..12).map(|number| day.sidecar_log(number)).collect();
    let selection_changes = |log: &String| {
        log.lines()
            .filter(|line| line.contains("endpoint selection of the fleet changed"))
            .count()
    };
    assert!(
        logs.iter().all(|log| selection_changes(log) > 0),
        "{:?}",
        logs.iter().map(selection_changes).collect::<Vec<_>>()
    );
    let relies_on_peers = |log: &&String| {
        log.contains("\"probed_by_peers\":1") || log.contains("\"probed_by_peers\":2")
    };
    assert!(
        logs.iter().filter(relies_on_peers).count() >= 3,
        "{}",
        logs.concat()
    );
}

/// Under load, with clock offsets and keys rotated one sidecar at a time, a fleet grows from three to twelve sidecars and
/// shrinks back: its membership stays correct.
#[test]
fn a_fleet_grows_and_rotates_its_keys_under_load() {
    let _guard = lock_real_time_days();
    let folder = tempfile::tempdir().unwrap();
    let script = repository_file("days/fleet-grows.json");
    let out = run_limewing(&[
        "day",
        "play",
        script.to_str().unwrap(),
        "--folder",
        folder.path().to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        out.status.success(),
        "{text}\n{}",
        record_excerpt(&text, folder.path())
    );
    let logs: Vec<String> = (0..12)
        .map(|n| std::fs::read_to_string(folder.path().join(format!("sidecar-{n}.log"))).unwrap())
        .collect();
    let count = |log: &String, what: &str| log.matches(what).count();
    assert!(
        logs.iter()
            .all(|log| count(log, "membership keys reloaded") == 3),
        "{}",
        logs.concat()
    );
    // No keys and no endpoint lists were rejected.
    for rejection in ["cannot reload the membership keys", "cannot be used"] {
        assert!(logs.iter().all(|log| count(log, rejection) == 0));
    }
    // The three sidecars that stayed saw all others join, including the one whose clock is ahead.
    let joined = |log: &String| {
        (0..12)
            .filter(|n| log.contains(&format!("Up(sidecar-{n})")))
            .count()
    };
    assert!(
        logs[..3].iter().all(|log| joined(log) == 11),
        "{:?}",
        logs.iter().map(joined).collect::<Vec<_>>()
    );
}

/// Few sidecars at a time poll a discovery service and a rollout service that are down.
#[test]
fn lost_services_are_polled_in_turn() {
    let _guard = lock_real_time_days();
    let count_polls = |choices: bool| {
        let day = run_day("fleet-faults", |day| {
            day["lasts"] = 16.into();
            day["offers"] = serde_json::json!([]);
            day["peers"]["choices"] = choices.into();
            day["peers"]["faults"]["steps"] = serde_json::json!([]);
            day["troubles"] = serde_json::json!([
                { "at": 2, "for": 10, "what": "list_down" },
                { "at": 2, "for": 10, "what": "installer_down" }
            ]);
        });
        day.assert_success();
        let logs: String = (0..12).map(|number| day.sidecar_log(number)).collect();
        ["endpoint watch lost", "stage stream lost"].map(|what| logs.matches(what).count())
    };
    let polls = [true, false].map(count_polls);
    println!(
        "polls of the discovery and rollout services in turn {:?}, independently {:?}",
        polls[0], polls[1]
    );
    assert!(polls[0][0] * 2 <= polls[1][0], "{polls:?}");
    assert!(polls[0][1] <= polls[1][1], "{polls:?}");
}
