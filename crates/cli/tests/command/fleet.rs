//! Tests the membership of sidecar processes under the fault scripts of `fleets/`, with shortened times.

use crate::support::{
    fetch_status, repository_file, run_limewing, write_settings, PlatformProcess,
};
use limewing_emulators::fleet::{fetch_fleet_page, run_script, RunPlan, RunResult};
use limewing_fault_injection::Script;
use limewing_settings::SidecarSettings;
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Reads a script with its times scaled, to match a probe interval that differs from the default of 200 ms.
fn read_script(name: &str, scale: f64) -> Script {
    let text = std::fs::read_to_string(repository_file(&format!("fleets/{name}.json"))).unwrap();
    let mut script: Script = serde_json::from_str(&text).unwrap();
    assert_eq!(script.config_errors(), []);
    script.seconds *= scale;
    script.steps.iter_mut().for_each(|step| step.at *= scale);
    script
}

fn run_script_file(name: &str, members: usize, folder: &Path) -> RunResult {
    let file = write_settings(folder, "127.0.0.1:0");
    let settings: SidecarSettings = limewing_settings::read(&file).unwrap();
    let script = read_script(name, 0.5);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_limewing"));
    let period = Duration::from_millis(100);
    let plan = RunPlan {
        program: &program,
        script: &script,
        members,
        period,
        settings: &settings,
        folder,
    };
    run_script(&plan).unwrap()
}

#[rstest]
#[case::partitioned_halves("half-cut", 6, true)]
#[case::one_way("one-way", 5, true)]
#[case::suspended("standstill", 5, false)]
#[case::seven_in_ten_killed("herd", 10, false)]
#[case::rolling_restart("roll", 10, false)]
#[case::grows_and_shrinks("growth", 12, false)]
#[case::noise("noise", 4, false)]
fn membership_converges_after_faults(
    #[case] name: &str,
    #[case] members: usize,
    #[case] partitions: bool,
) {
    let folder = tempfile::tempdir().unwrap();
    let result = run_script_file(name, members, folder.path());
    assert_eq!(result.crashed, Vec::<usize>::new());
    assert_eq!(result.wrong_final_views(members), []);
    assert!(result.samples.len() > members * 5);
    // Running processes are considered dead only where the script partitions them.
    if partitions {
        assert!(result.false_death_count() > 0);
    }
    assert!(
        name != "noise" || result.rejected_datagrams > 1000,
        "{} datagrams rejected",
        result.rejected_datagrams
    );
}

struct ChildGuard(std::process::Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a sidecar with these settings, and returns its address.
fn start_sidecar(file: &Path) -> (ChildGuard, String) {
    use std::io::BufRead;
    let mut command = Command::new(env!("CARGO_BIN_EXE_limewing"));
    let command = command
        .arg("sidecar")
        .arg(file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    let mut line = String::new();
    std::io::BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    (
        ChildGuard(child),
        line.trim().strip_prefix("listening ").unwrap().to_owned(),
    )
}

fn write_settings_with_peers(folder: &Path, name: &str, join: &str, keys: &str) -> PathBuf {
    let key_file = folder.join(format!("{name}.keys"));
    std::fs::write(&key_file, keys).unwrap();
    let text = std::fs::read_to_string(write_settings(folder, "127.0.0.1:0")).unwrap();
    let peers = format!(
        r#""name": "{name}", "peers": {{"listen": "127.0.0.1:0", "join": [{join}], "key_file": "{}", "period": 0.05}},"#,
        key_file.display()
    );
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, text.replace(r#""name": "sidecar-0","#, &peers)).unwrap();
    file
}

fn keys(ids: &[u8]) -> String {
    let keys: Vec<String> = ids
        .iter()
        .map(|id| {
            format!(
                r#"{{"id": {id}, "secret": "{}"}}"#,
                format!("{id:02x}").repeat(16)
            )
        })
        .collect();
    format!(r#"{{"keys": [{}]}}"#, keys.join(","))
}

/// Waits until a sidecar's fleet page fulfils a condition.
fn wait_for_view(at: &str, condition: impl Fn(&str) -> bool) {
    let started_at = Instant::now();
    let mut last = String::new();
    while started_at.elapsed() < Duration::from_secs(20) {
        last = fetch_fleet_page(at.parse().unwrap()).unwrap();
        if condition(&last) {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{last}");
}

fn bytes_sent(view: &str) -> u64 {
    serde_json::from_str::<serde_json::Value>(view).unwrap()["bytes_sent"]
        .as_u64()
        .unwrap()
}

/// Returns the address on which a sidecar receives datagrams.
fn membership_address(at: &str) -> String {
    let view: serde_json::Value =
        serde_json::from_str(&fetch_fleet_page(at.parse().unwrap()).unwrap()).unwrap();
    view["listens"].as_str().unwrap().to_owned()
}

/// Keys are rotated with SIGHUP, one process after the other. An invalid key file changes nothing.
#[test]
fn keys_of_running_sidecars_are_rotated() {
    let folder = tempfile::tempdir().unwrap();
    let (a, at_a) = start_sidecar(&write_settings_with_peers(
        folder.path(),
        "a",
        "",
        &keys(&[1]),
    ));
    let join = format!(r#""{}""#, membership_address(&at_a));
    let all = [
        (a, at_a),
        start_sidecar(&write_settings_with_peers(
            folder.path(),
            "b",
            &join,
            &keys(&[1]),
        )),
    ];
    let has_live_peer = |text: &str| text.contains(r#""standing":"alive""#);
    all.iter()
        .for_each(|(_, at)| wait_for_view(at, has_live_peer));
    for (round, key_ids) in [vec![1, 2], vec![2, 1], vec![2]].into_iter().enumerate() {
        for (name, (process, at)) in ["a", "b"].iter().zip(&all) {
            std::fs::write(folder.path().join(format!("{name}.keys")), "no keys").unwrap();
            let send_hangup = || {
                rustix::process::kill_process(
                    rustix::process::Pid::from_child(&process.0),
                    rustix::process::Signal::HUP,
                )
            };
            send_hangup().unwrap();
            wait_for_view(at, |text| {
                text.contains(&format!(r#""keys_unusable":{}"#, round + 1))
            });
            std::fs::write(folder.path().join(format!("{name}.keys")), keys(&key_ids)).unwrap();
            send_hangup().unwrap();
            let known = format!(r#""keys":{}"#, serde_json::to_string(&key_ids).unwrap());
            wait_for_view(at, |text| text.contains(&known));
            // Both send datagrams while their keys differ and while they are equal.
            for (_, at) in &all {
                let before = bytes_sent(&fetch_fleet_page(at.parse().unwrap()).unwrap());
                wait_for_view(at, |text| bytes_sent(text) > before + 400);
            }
        }
        all.iter()
            .for_each(|(_, at)| wait_for_view(at, has_live_peer));
    }
    for (_, at) in &all {
        let view = fetch_fleet_page(at.parse().unwrap()).unwrap();
        assert!(
            !view.contains("a key that is not known") && !view.contains("the seal does not fit"),
            "{view}"
        );
    }
    let out = run_limewing(&["fleet", "show", &all[0].1]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        out.status.success() && text.contains("| b") && text.contains("| alive"),
        "{text}"
    );
}

/// If two processes have the same name, the later one is the member. The earlier one continues to serve its clients.
#[test]
fn the_later_of_two_processes_with_one_name_prevails() {
    let folder = tempfile::tempdir().unwrap();
    let (_a, at_a) = start_sidecar(&write_settings_with_peers(
        folder.path(),
        "a",
        "",
        &keys(&[1]),
    ));
    let join = format!(r#""{}""#, membership_address(&at_a));
    let (_b, at_b) = start_sidecar(&write_settings_with_peers(
        folder.path(),
        "b",
        &join,
        &keys(&[1]),
    ));
    let b = membership_address(&at_b);
    wait_for_view(&at_a, |text| {
        text.contains(&format!(r#""at":"{b}","standing":"alive""#))
    });
    let (_c, at_c) = start_sidecar(&write_settings_with_peers(
        folder.path(),
        "b",
        &join,
        &keys(&[1]),
    ));
    let c = membership_address(&at_c);
    wait_for_view(&at_a, |text| {
        text.contains(&format!(r#""at":"{c}","standing":"alive""#))
    });
    assert!(fetch_status(&at_b).contains("\"open_hits\""));
    wait_for_view(&at_a, |text| !text.contains(&format!(r#""at":"{b}""#)));
}

/// A sidecar without peers in its settings opens no UDP socket and reports that it knows no other sidecars. A platform
/// sidecar opens none either.
#[test]
fn without_peers_no_datagram_socket_is_opened() {
    let folder = tempfile::tempdir().unwrap();
    let (process, at) = start_sidecar(&write_settings(folder.path(), "127.0.0.1:0"));
    let out = run_limewing(&["fleet", "show", &at]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("knows of no others"));
    let config = limewing_emulators::platform::SidecarConfigFile::new(Vec::new());
    let on_platform = PlatformProcess::start(&config);
    for id in [process.0.id(), on_platform.id()] {
        let sockets = datagram_sockets(id);
        assert_eq!(sockets, 0, "process {id}");
    }
}

/// Counts the UDP sockets among the descriptors of a process.
fn datagram_sockets(id: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{id}/net/udp")).unwrap();
    let inodes: Vec<&str> = table
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(9))
        .collect();
    let links = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap();
    let links = links.filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok());
    let is_datagram_socket = |link: &PathBuf| {
        inodes
            .iter()
            .any(|inode| link.to_string_lossy() == format!("socket:[{inode}]"))
    };
    links.filter(is_datagram_socket).count()
}

#[rstest]
#[case::keys_short(
    r#"{"keys": [{"id": 1, "secret": "aabb"}]}"#,
    "keys",
    "/keys/0/secret",
    "16 bytes"
)]
#[case::keys_none(r#"{"keys": []}"#, "keys", "/keys", "one key")]
#[case::keys_same(&keys(&[1, 1]), "keys", "/keys/1/id", "does not have")]
#[case::part(
    r#"{"name": "a", "seed": 1, "seconds": 9, "steps": [{"at": 1, "does": {"kill": {"part": [0.5, 0.2]}}}]}"#,
    "faults",
    "/steps/0/does",
    "part of the fleet"
)]
#[case::late(
    r#"{"name": "a", "seed": 1, "seconds": 9, "steps": [{"at": 10, "does": "mend"}]}"#,
    "faults",
    "/steps/0/at",
    "a time"
)]
fn invalid_files_are_reported_with_the_position(
    #[case] text: &str,
    #[case] of: &str,
    #[case] at: &str,
    #[case] expected: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file.json");
    std::fs::write(&file, text).unwrap();
    let out = run_limewing(&["settings", "check", file.to_str().unwrap(), "--of", of]);
    let output = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(2) && output.contains(at) && output.contains(expected),
        "{output}"
    );
}

#[test]
fn a_script_runs_in_simulated_time() {
    let script = repository_file("fleets/half-cut.json");
    let out = run_limewing(&[
        "fleet",
        "simulate",
        script.to_str().unwrap(),
        "--members",
        "20",
    ]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        out.status.success() && text.contains("| held wrongly at the end"),
        "{text}"
    );
}
