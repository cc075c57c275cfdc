//! Golden tests of the pages that running sidecars serve to operators: `/limewing/fleet`, `/limewing/state` and
//! `/limewing/work`. Texts in the pages (status of a member, phase of a machine, stage) are part of the format. Values that
//! differ between runs are set to 0 before a page is compared with its golden file.

use limewing_http_proxy::endpoint_list::EndpointRecord;
use limewing_http_proxy::endpoint_list_file;
use limewing_http_proxy::service::{MaintenanceView, MembershipView, ReplicationView, Service};
use limewing_membership::{Config, Key, MemberName, Membership};
use limewing_settings::{read_text, SidecarSettings};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
const TIMEOUT: Duration = Duration::from_secs(20);
/// Start time of a pod that is no longer cold, in seconds since 1970.
const LONG_AGO: f64 = 1000.0;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PROBE_PERIOD: Duration = Duration::from_millis(50);

/// Creates a folder for a test's files. It is not removed, because sidecars run until the process ends.
fn create_folder() -> std::path::PathBuf {
    tempfile::tempdir().unwrap().keep()
}

fn settings(folder: &Path, name: &str, change: impl FnOnce(&mut Value)) -> SidecarSettings {
    let key_file = folder.join("keys.json");
    std::fs::write(
        &key_file,
        json!({"keys": [{"id": 7, "secret": SECRET}]}).to_string(),
    )
    .unwrap();
    let mut value = json!({
        "name": name, "listen": "127.0.0.1:0", "seed": 1,
        "list": {"address": "127.0.0.1:1", "service": "none"},
        "fleet": {"sidecars": 1, "own_number": 0, "zones": ["east"], "zone": "east"},
        "headers": {},
        "path_groups": [{
            "name": "quote", "routes": [{"method": "GET", "path": "/quotes/{id}"}], "repeat": "repeatable",
            "target_latency": 0.1, "client_timeout": 0.2, "benefit": 1
        }],
        "limits": {"max_forwards": 2, "connect_timeout": 0.1, "idle_close": 5, "deadline_margin": 0.02},
        "rules": {"answer_slack": 0.02, "drain_grace": 0.3, "cold_from": 0.4, "cold_for": 0.3,
            "fall_multiple": 2, "fall_within": 3},
        "releases": {"control": "clock", "stages": [{"share": 0.1, "cap": 0.2}, {"share": 1, "cap": 1}],
            "cap_window": 2, "cap_free": 1, "step_after": 4, "vote_life": 4, "vote_answer_within": 1,
            "back_votes": 1},
        "peers": {"listen": "127.0.0.1:0", "join": [], "key_file": key_file, "period": PROBE_PERIOD.as_secs_f64()}
    });
    change(&mut value);
    read_text("settings", &value.to_string()).unwrap()
}

fn start(settings: &SidecarSettings) -> SocketAddr {
    let service = Service::start(settings).unwrap();
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// Writes a state file of three ready machines. `first_start` is the start time of the first machine's pod; the pods of the
/// others started long ago.
fn state_file(folder: &Path, first_start: f64) -> std::path::PathBuf {
    let record = |number: u16| EndpointRecord {
        address: SocketAddr::new([127, 0, 0, 1].into(), 9 + number),
        draining: false,
        build: 1,
        weight: 1.0,
        started: Some(if number == 0 { first_start } else { LONG_AGO }),
        zone: "east".into(),
        cell: 0,
        machine_type: "plain".into(),
        machine: format!("node-{number}"),
    };
    let file = folder.join("state.json");
    endpoint_list_file::save(&file, &[0, 1, 2].map(record)).unwrap();
    file
}

fn send_request(sidecar: SocketAddr, request_line: &str, body: &str) -> String {
    let mut client = TcpStream::connect(sidecar).unwrap();
    let length = body.len();
    write!(
        client,
        "{request_line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut response = String::new();
    client.read_to_string(&mut response).unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 20"), "{response}");
    body.to_owned()
}

/// Gets a page, and checks that parsing and serializing it yields the same bytes.
fn get_page<T: Serialize + DeserializeOwned>(sidecar: SocketAddr, path: &str) -> T {
    let text = send_request(sidecar, &format!("GET {path}"), "");
    let page: T = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&page).unwrap(), text);
    page
}

fn get_membership(sidecar: SocketAddr) -> MembershipView {
    get_page(sidecar, "/limewing/fleet")
}

fn get_replication(sidecar: SocketAddr) -> ReplicationView {
    get_page(sidecar, "/limewing/state")
}

fn get_maintenance(sidecar: SocketAddr) -> MaintenanceView {
    get_page(sidecar, "/limewing/work")
}

/// Polls until a value is returned; panics after the timeout.
fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if let Some(found) = poll() {
            return found;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting until {what}");
}

/// Polls until the state is `last`, and returns the sequence of distinct states seen.
fn collect_states_until(last: &str, mut poll: impl FnMut() -> Option<String>) -> Vec<String> {
    let mut seen: Vec<String> = Vec::new();
    wait_until(last, || {
        if let Some(state) = poll() {
            if seen.last() != Some(&state) {
                seen.push(state);
            }
        }
        seen.last().filter(|state| *state == last).cloned()
    });
    seen
}

fn assert_matches_golden(page: impl Serialize, ignored: &[&str], golden_file: &str) {
    let mut page = serde_json::to_value(page).unwrap();
    for path in ignored {
        *page.pointer_mut(path).unwrap_or_else(|| panic!("{path}")) = 0.into();
    }
    let golden: Value = serde_json::from_str(golden_file).unwrap();
    assert_eq!(page, golden, "actual page:\n{page:#}");
}

/// Mode of an emulated member that takes part in the membership protocol.
const RUNNING: u8 = 0;
/// Mode of an emulated member that stops without notice.
const SILENT: u8 = 1;
/// Mode of an emulated member that announces its leave and stops.
const LEAVING: u8 = 2;

/// Starts a fleet member without a sidecar. It takes part in the membership protocol until its mode changes.
fn start_member(name: &str, join: SocketAddr, mode: Arc<AtomicU8>) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(2)))
        .unwrap();
    let start = Instant::now();
    let secret = (0..16).collect();
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    let config = Config {
        name: MemberName::try_from(name.to_owned()).unwrap(),
        started_at_ms: since_epoch.as_millis() as u64,
        started_at: Duration::ZERO,
        address: socket.local_addr().unwrap(),
        seed_addresses: vec![join],
        keys: vec![Key { id: 7, secret }],
        probe_interval: PROBE_PERIOD,
        bytes_per_second: 16_384,
        seed: 1,
    };
    let mut membership = Membership::new(Duration::ZERO, config).unwrap();
    std::thread::spawn(move || {
        let mut datagram = [0; 2048];
        loop {
            let mode = mode.load(Ordering::Relaxed);
            if mode == LEAVING {
                membership.leave(start.elapsed());
            }
            if mode == RUNNING && start.elapsed() >= membership.next_deadline() {
                membership.tick(start.elapsed());
            }
            while let Some((to, bytes)) = membership.take_datagram() {
                let _ = socket.send_to(&bytes, to);
            }
            if mode != RUNNING {
                return;
            }
            if let Ok((length, _)) = socket.recv_from(&mut datagram) {
                let _ = membership.receive(start.elapsed(), &datagram[..length]);
            }
        }
    });
}

#[test]
fn the_membership_page_matches_the_golden_file() {
    let folder = create_folder();
    let sidecar = start(&settings(&folder, "sidecar-0", |_| ()));
    let membership_address = get_membership(sidecar).address;
    let (silent_mode, leaving_mode) = (
        Arc::new(AtomicU8::new(RUNNING)),
        Arc::new(AtomicU8::new(RUNNING)),
    );
    start_member("sidecar-1", membership_address, silent_mode.clone());
    start_member("sidecar-2", membership_address, leaving_mode.clone());
    let status = |name: &str| {
        get_membership(sidecar)
            .members
            .into_iter()
            .find(|member| member.name == name)
            .map(|member| member.status)
    };
    wait_until("both members are alive", || {
        let members = get_membership(sidecar).members;
        let alive = members.iter().all(|member| member.status == "alive");
        (members.len() == 2 && alive).then_some(())
    });
    leaving_mode.store(LEAVING, Ordering::Relaxed);
    collect_states_until("left", || status("sidecar-2"));
    silent_mode.store(SILENT, Ordering::Relaxed);
    let roles = collect_states_until("dead", || status("sidecar-1"));
    assert!(
        roles.ends_with(&["suspect".into(), "dead".into()]),
        "{roles:?}"
    );

    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in [vec![0; 3], vec![250; 200]] {
        sender.send_to(&datagram, membership_address).unwrap();
    }
    let view = wait_until("both datagrams are rejected", || {
        Some(get_membership(sidecar)).filter(|view| view.rejected.len() == 2)
    });
    let ignored = [
        "/at",
        "/listens",
        "/start",
        "/incarnation",
        "/slowness",
        "/bytes_sent",
        "/members/0/at",
        "/members/0/start",
        "/members/0/incarnation",
        "/members/0/for_s",
        "/members/1/at",
        "/members/1/start",
        "/members/1/incarnation",
        "/members/1/for_s",
    ];
    assert_matches_golden(view, &ignored, include_str!("golden/pages/fleet.json"));
}

/// Starts a rollout service that sends each message of the returned channel on its stage stream.
fn rollout_service() -> (SocketAddr, std::sync::mpsc::Sender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (messages, receiver) = std::sync::mpsc::channel::<String>();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        )
        .unwrap();
        for message in receiver {
            write!(stream, "event: stage\ndata: {message}\n\n").unwrap();
        }
    });
    (address, messages)
}

#[test]
fn the_replication_page_matches_the_golden_file() {
    let folder = create_folder();
    let (rollout_service, messages) = rollout_service();
    let sidecar = start(&settings(&folder, "sidecar-0", |settings| {
        settings["state_file"] = json!(state_file(&folder, LONG_AGO));
        settings["peers"]["replicas"] = true.into();
        settings["installer"] = json!({"address": rollout_service});
    }));
    let stages = [
        (
            "on_trial",
            0.25,
            "Stage { number: 1, build: 3, stage: 1, phase: OnTrial, cap: 0.25 }",
        ),
        (
            "going_back",
            0.0,
            "Stage { number: 2, build: 3, stage: 1, phase: GoingBack, cap: 0.0 }",
        ),
        (
            "withdrawn",
            0.5,
            "Stage { number: 3, build: 3, stage: 1, phase: Withdrawn, cap: 0.5 }",
        ),
        (
            "released",
            1.0,
            "Stage { number: 4, build: 3, stage: 1, phase: Released, cap: 1.0 }",
        ),
    ];
    for (number, (phase, cap, expected)) in (1..).zip(stages) {
        let message = json!({"number": number, "build": 3, "stage": 1, "phase": phase, "cap": cap, "age_ms": 0.0});
        messages.send(message.to_string()).unwrap();
        let view = wait_until(expected, || {
            Some(get_replication(sidecar)).filter(|view| view.stage.as_deref() == Some(expected))
        });
        assert_eq!(view.stages, [format!("sidecar-0: {expected}")]);
    }
    let view = get_replication(sidecar);
    assert_matches_golden(
        view,
        &["/start", "/bytes_sent", "/logs/0/start"],
        include_str!("golden/pages/state.json"),
    );
}

#[test]
fn the_maintenance_page_matches_the_golden_file() {
    let folder = create_folder();
    // The first pod stays cold long enough that polling cannot miss the phase `back`.
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    let cold_until = (since_epoch + Duration::from_secs(4)).as_secs_f64();
    let sidecar = start(&settings(&folder, "sidecar-0", |settings| {
        settings["state_file"] = json!(state_file(&folder, cold_until));
        settings["work"] = json!({"voters": ["sidecar-0"], "folder": folder.join("vote-log")});
    }));
    wait_until("the sidecar leads", || {
        (get_maintenance(sidecar).role == "leads").then_some(())
    });
    // From here on, a machine with a grant waits until the grace period of requests already sent to it is over.
    wait_until("all machines are open", || {
        let view = get_maintenance(sidecar);
        (view.has_lease && view.closed_machines.is_empty()).then_some(())
    });
    let list = json!({"ask": {
        "name": "kernel", "machines": ["node-0", "node-1", "node-2"], "takes": 60, "stalls_after": 300,
        "limits": {"out": 1, "ready_part": 0.0}
    }});
    let response: Value = serde_json::from_str(&send_request(
        sidecar,
        "POST /limewing/work",
        &list.to_string(),
    ))
    .unwrap();
    let list_id = response["list"].as_u64().unwrap();
    assert_eq!(response, json!({"list": list_id}));

    let machine = |index: usize| {
        let list = get_maintenance(sidecar)
            .lists
            .into_iter()
            .find(|list| list.id == list_id)?;
        list.machines.into_iter().nth(index)
    };
    let phase = |index: usize| machine(index).map(|machine| machine.phase);
    let report = |index: usize, progress: &str| {
        let grant = wait_until("a grant is given", || {
            machine(index).and_then(|machine| machine.grant)
        });
        let report = json!({"report": {"grant": grant, "said": progress}});
        let response = send_request(sidecar, "POST /limewing/work", &report.to_string());
        assert_eq!(response, r#"{"list":null}"#);
    };
    let phases = collect_states_until("out", || phase(0));
    assert!(
        phases.ends_with(&["granted".into(), "out".into()]),
        "{phases:?}"
    );
    report(0, "began");
    report(0, "worked");
    let phases = collect_states_until("done", || phase(0));
    assert!(
        phases.ends_with(&["back".into(), "done".into()]),
        "{phases:?}"
    );
    wait_until("the second machine is out", || {
        (phase(1)? == "out").then_some(())
    });
    // The list is withdrawn before the second machine is done, so that the third is never taken out.
    let withdraw = json!({"withdraw": list_id});
    let response = send_request(sidecar, "POST /limewing/work", &withdraw.to_string());
    assert_eq!(response, r#"{"list":null}"#);
    wait_until("the list is withdrawn", || {
        get_maintenance(sidecar).lists[0].withdrawn.then_some(())
    });
    report(1, "failed");
    let view = wait_until("the list is finished", || {
        Some(get_maintenance(sidecar))
            .filter(|view| view.lists[0].finished && view.closed_machines.is_empty())
    });
    let ignored = [
        "/settled",
        "/lists/0/list",
        "/lists/0/machines/0/grant",
        "/lists/0/machines/1/grant",
    ];
    assert_matches_golden(view, &ignored, include_str!("golden/pages/work.json"));
}

/// The roles of voters and other sidecars; the role `stands` is too short to be observed here.
#[test]
fn the_roles_of_voters_on_the_maintenance_page_keep_their_names() {
    let voters = ["sidecar-0", "sidecar-1", "sidecar-2"];
    let start = |name: &str, vote_log: Option<&Path>, join: &[SocketAddr]| {
        start(&settings(&create_folder(), name, |settings| {
            settings["peers"]["join"] = json!(join);
            settings["work"] = json!({"voters": voters, "folder": vote_log});
        }))
    };
    let vote_logs = [create_folder(), create_folder(), create_folder()];
    let first = start("sidecar-0", Some(&vote_logs[0]), &[]);
    assert_eq!(get_maintenance(first).role, "free");
    let join = [get_membership(first).address];
    let second = start("sidecar-1", Some(&vote_logs[1]), &join);
    let third = start("sidecar-2", Some(&vote_logs[2]), &join);
    let fourth = start("sidecar-3", None, &join);
    assert_eq!(get_maintenance(fourth).role, "asks");

    let mut roles = wait_until("one sidecar leads", || {
        let roles = [first, second, third].map(|sidecar| get_maintenance(sidecar).role);
        roles.contains(&"leads".to_owned()).then_some(roles)
    });
    wait_until("the others follow", || {
        roles = [first, second, third].map(|sidecar| get_maintenance(sidecar).role);
        roles.sort();
        (roles == ["follows", "follows", "leads"]).then_some(())
    });

    // A voter that restarts with its vote log and receives no messages.
    let alone_folder = create_folder();
    std::fs::copy(
        vote_logs[1].join("agree.log"),
        alone_folder.join("agree.log"),
    )
    .unwrap();
    let alone = start("sidecar-1", Some(&alone_folder), &[]);
    assert_eq!(
        collect_states_until("tries", || Some(get_maintenance(alone).role))
            .last()
            .unwrap(),
        "tries"
    );
}
