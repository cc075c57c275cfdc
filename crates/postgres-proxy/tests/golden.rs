//! Compares the formats shared by the PostgreSQL proxy and its platform with golden files: statements
//! and their comments, endpoint lists, the stream of the rollout service, votes, the configuration, and
//! the bytes on its sockets.
//!
//! The files in `golden/` are inputs, or outputs of the program as of 2026-12-02. Set `GOLDEN_WRITE` to
//! rewrite the outputs after an intended change.

use limewing_decision::interface::{
    BuildId, Control, Endpoint, EndpointUpdate, Phase, PodState, StageIndex, StageUpdate, Verdict,
};
use limewing_emulators::platform::{
    endpoint_listing_json, rollout_state_json, Discovery, ListedPod, RolloutService,
    SidecarConfigFile, VoteReplyScript,
};
use limewing_postgres_proxy::config;
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use limewing_postgres_proxy::line_codec::{LineReader, ObjectReader};
use limewing_postgres_proxy::rollout_messages::{
    encode_vote, parse_message, parse_vote_reply, RolloutMessage,
};
use limewing_postgres_proxy::service::Service;
use limewing_postgres_proxy::statement::{StatementParser, Verb};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> String {
    std::fs::read_to_string(golden_path(name)).unwrap()
}

/// Compares text with a golden file, or writes the file if `GOLDEN_WRITE` is set.
fn assert_golden(name: &str, actual: &str) {
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden_path(name), actual).unwrap();
    }
    assert_eq!(read_golden(name), actual, "{name}");
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// The parsed fields of each statement, and the statement that is sent to a pod.
#[test]
fn statements_are_parsed_and_encoded() {
    let (classes, tenants) = (owned(&["basket", "order"]), owned(&["acme", "other"]));
    let parser = StatementParser::new(&classes, &[false, true], &tenants);
    let mut decoded = String::new();
    for text in read_golden("statements.txt").lines() {
        let statement = parser.parse(text).unwrap();
        assert_eq!(statement.text(), text.as_bytes());
        assert_eq!(statement.with_timeout(statement.timeout).to_string(), text);
        let verb = match statement.verb {
            Verb::Select => "select",
            Verb::Insert => "insert",
        };
        let tenant = statement.tenant.unwrap().0;
        let key = statement.routing_key.unwrap().0;
        let (id, class, timeout_ms) = (
            &statement.id,
            statement.class.0,
            statement.timeout.as_millis(),
        );
        writeln!(
            decoded,
            "{verb} id {id} class {class} tenant {tenant} key {key:016x} waits {timeout_ms}"
        )
        .unwrap();
        let encoded = statement.with_timeout(Duration::from_micros(99_900));
        writeln!(decoded, "    {encoded}").unwrap();
    }
    assert_golden("statements_read.txt", &decoded);
}

fn describe_stage(update: &StageUpdate) -> String {
    let phase = match update.phase {
        Phase::OnTrial => "progressing",
        Phase::RollingBack => "aborting",
        Phase::Released => "healthy",
        Phase::RolledBack => "aborted",
    };
    format!(
        "revision {} wave {} {phase} share {} age {}",
        update.build.0,
        update.stage.0,
        update.cap,
        update.age.as_millis()
    )
}

/// An HTTP response that contains `text` in chunks of `chunk_size` bytes.
fn chunked_response(text: &str, chunk_size: usize) -> bytes::BytesMut {
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in text.as_bytes().chunks(chunk_size) {
        response.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        response.extend_from_slice(chunk);
        response.extend_from_slice(b"\r\n");
    }
    bytes::BytesMut::from(&response[..])
}

#[test]
fn rollout_stream_is_decoded() {
    let file = read_golden("events.jsonl");
    let received = LineReader::new(1000).read(&mut chunked_response(&file, 37));
    assert_eq!(received.error, None);
    assert_eq!(received.items.len(), file.lines().count());
    let mut decoded = String::new();
    for (line, text) in received.items.iter().zip(file.lines()) {
        assert_eq!(line, text.as_bytes());
        match parse_message(line).unwrap() {
            RolloutMessage::Ignored => writeln!(decoded, "nothing"),
            RolloutMessage::Stage(state) => {
                writeln!(decoded, "news {}", describe_stage(&state.to_update(None)))
            }
            RolloutMessage::WrongAnswer(report) => writeln!(
                decoded,
                "report {} {} {}",
                report.host, report.class, report.age_ms
            ),
        }
        .unwrap();
    }
    assert_golden("events_read.txt", &decoded);
}

/// The emulated rollout service writes the format that is decoded above.
#[test]
fn emulated_rollout_state_has_the_golden_format() {
    let written = rollout_state_json(2, 0, "Progressing", 0.25);
    let line = format!(r#"{{"type":"news","object":{written}}}"#);
    assert!(read_golden("events.jsonl")
        .lines()
        .any(|golden| golden == line));
    let reply = parse_vote_reply(200, written.as_bytes());
    let update = reply.state.unwrap().to_update(None);
    assert_eq!(
        describe_stage(&update),
        "revision 2 wave 0 progressing share 0.25 age 5"
    );
}

#[test]
fn votes_have_the_golden_format() {
    let verdicts = [
        Verdict::Abstain,
        Verdict::Promote,
        Verdict::Hold,
        Verdict::RollBack,
    ];
    let mut written = String::new();
    for verdict in verdicts {
        let body = encode_vote(verdict, BuildId(513), StageIndex(2));
        writeln!(written, "{}", String::from_utf8(body).unwrap()).unwrap();
    }
    assert_golden("votes.jsonl", &written);
}

fn describe_row(row: &Endpoint, now: Duration) -> String {
    let state = match row.state {
        PodState::Ready => "in service",
        PodState::Draining => "terminating",
        PodState::Gone => "terminated",
    };
    let age = row.started_at.map(|at| (now - at).as_millis());
    format!(
        "pod {} {state} build {} size {} age {age:?} zone {} cell {} kind {}",
        row.pod.0, row.build.0, row.weight, row.zone.0, row.cell.0, row.machine_type.0
    )
}

fn describe_list(list: &EndpointList, update: &EndpointUpdate, now: Duration) -> String {
    let (kind, rows) = match update {
        EndpointUpdate::Delta(rows) => ("change", rows),
        EndpointUpdate::Snapshot(rows) => ("whole", rows),
        EndpointUpdate::Cached(rows) => ("known at the start", rows),
        EndpointUpdate::FormerDelta(_) | EndpointUpdate::WatchLost(_) => {
            panic!("expected an endpoint list")
        }
    };
    let mut text = format!("{kind}, seq {}\n", list.version());
    for row in rows {
        let host = list.host(row.pod).unwrap();
        writeln!(text, "    {host}: {}", describe_row(row, now)).unwrap();
        if let Some(incarnation) = list.incarnation(row.pod) {
            writeln!(
                text,
                "        {} born {} version {}",
                incarnation.address, incarnation.started_at_ms, incarnation.build.0
            )
            .unwrap();
        }
    }
    text
}

/// The list as received from a watch, and as loaded from the cache at a start.
#[test]
fn endpoint_list_is_decoded() {
    let file = read_golden("targets.jsonl");
    let received = ObjectReader::new(10_000).read(&mut chunked_response(&file, 53));
    assert_eq!(received.error, None);
    let listings: Vec<EndpointListing> = received
        .items
        .iter()
        .map(|object| serde_json::from_slice(object).unwrap())
        .collect();
    let (zones, machine_types) = (owned(&["east", "west"]), owned(&["small", "large"]));
    let wall_clock = SystemTime::UNIX_EPOCH + Duration::from_millis(1_700_000_600_250);
    let now = Duration::from_secs(3600);
    let mut decoded = String::new();
    let mut list = EndpointList::new(&zones, &machine_types);
    for listing in &listings {
        let change = list.apply(listing.clone(), now, wall_clock).unwrap();
        decoded.push_str(&describe_list(&list, &change.update, now));
        let relocated: Vec<u64> = change.relocated.iter().map(|pod| pod.0).collect();
        writeln!(
            decoded,
            "    moved {relocated:?}, unusable {}",
            change.errors.len()
        )
        .unwrap();
    }
    let mut cached = EndpointList::new(&zones, &machine_types);
    let update = cached.load_cached(listings[0].clone(), now, wall_clock);
    decoded.push_str(&describe_list(&cached, &update, now));
    assert_golden("targets_read.txt", &decoded);
}

/// The emulated discovery writes lists in this format.
#[test]
fn emulated_listing_has_the_golden_format() {
    let pod_address = SocketAddr::from(([10, 0, 0, 1], 5432));
    let draining = ListedPod {
        state: "terminating",
        started_at_ms: 1_700_000_000_250,
        build: 12,
        ..ListedPod::new("pod-0002", pod_address)
    };
    let mut written = endpoint_listing_json(
        8,
        true,
        &[ListedPod::new("pod-0001", pod_address), draining],
    );
    written.push('\n');
    assert_golden("targets_written.jsonl", &written);
    assert!(serde_json::from_str::<EndpointListing>(&written).is_ok());
}

#[test]
fn configuration_is_decoded() {
    let config = config::parse(read_golden("config.json").as_bytes()).unwrap();
    let mut decoded = String::new();
    let mut line = |name: &str, value: String| writeln!(decoded, "{name}: {value}").unwrap();
    line("name", config.name);
    line("listen", config.listen.to_string());
    line("discovery", config.services.discovery.to_string());
    line("rollouts", config.services.rollouts.unwrap().to_string());
    line("seed", format!("{:016x}", config.seed));
    line("memory", format!("{:?}", config.max_memory));
    line("sockets", format!("{:?}", config.max_descriptors));
    line(
        "news",
        describe_stage(&config.rollout_state.unwrap().to_update(None)),
    );
    let known = config.cached_endpoints.unwrap();
    line("known seq", known.version.to_string());
    line("known whole", known.is_complete.to_string());
    line(
        "known host",
        known.entries[0].as_ref().unwrap().host.clone(),
    );
    line("settings hash", format!("{:016x}", config.settings_hash));
    let engine = &config.engine;
    line("terms seed", format!("{:016x}", engine.seed));
    line("balancers", engine.sidecar_count.to_string());
    line("me", engine.sidecar_index.to_string());
    line("zone", engine.zone.0.to_string());
    line("classes", engine.classes.len().to_string());
    line("list on request", engine.watch_on_request.to_string());
    line("list pushed", engine.endpoints_pushed.to_string());
    line("list lease", format!("{:?}", engine.endpoint_lease));
    let by_clock = engine.rollout.control == Control::Clock;
    line("gate mode by clock", by_clock.to_string());
    line("class names", config.sockets.classes.join(","));
    line("realm names", config.sockets.tenants.join(","));
    line("azs", config.sockets.zones.join(","));
    line("shapes", config.sockets.machine_types.join(","));
    line(
        "connect timeout",
        format!("{:?}", config.sockets.connect_timeout),
    );
    line("idle close", format!("{:?}", config.sockets.idle_timeout));
    assert_golden("config_read.txt", &decoded);
}

/// The configuration written by tests and by the emulated platform.
#[test]
fn written_configuration_has_the_golden_format() {
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", address(5432))]);
    config.rollouts = Some(address(8600));
    let mut written = config.json();
    written.push('\n');
    assert_golden("config_written.json", &written);
    assert!(config::parse(written.as_bytes()).is_ok());
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The StartupMessage of a session.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0api\0database\0ledger\0\0";
/// ReadyForQuery.
const READY: &[u8] = b"Z\0\0\0\x05I";
/// Maximum duration of any read from a socket.
const IO_TIMEOUT: Duration = Duration::from_secs(20);

fn start(config: &SidecarConfigFile) -> SocketAddr {
    let parsed = config::parse(config.json().as_bytes()).unwrap();
    let service = Service::start_with_config(PathBuf::from("none"), parsed).unwrap();
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// Formats bytes as text; unprintable bytes are escaped.
fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> usize {
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).unwrap();
    received.extend_from_slice(&buffer[..length]);
    length
}

fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut received = Vec::new();
    while !received.ends_with(end) {
        assert!(
            read_more(stream, &mut received) > 0,
            "{}",
            escaped(&received)
        );
    }
    received
}

/// Serves one statement as a pod; returns all bytes that it received.
fn serve_once(listener: &TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    let mut received = read_until(&mut stream, b"ledger\0\0");
    stream
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .unwrap();
    // The empty query and all but the last byte of the statement, which is held back until the
    // empty query is answered.
    received.extend(read_until(&mut stream, b" */"));
    stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").unwrap();
    received.extend(read_until(&mut stream, b"\0"));
    let column = b"T\0\0\0\x1d\0\x01blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\0";
    let row = b"D\0\0\0\x0d\0\x01\0\0\0\x03red";
    stream.write_all(column).unwrap();
    stream.write_all(row).unwrap();
    stream
        .write_all(b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I")
        .unwrap();
    received
}

/// Replaces the timeout sent to a pod, which depends on how fast the test runs.
fn mask_timeout(sent: &str) -> String {
    let (before, after) = sent.split_once(",d=").unwrap();
    let digits = after.bytes().take_while(u8::is_ascii_digit).count();
    format!("{before},d=N{}", &after[digits..])
}

/// All bytes that a client and a pod receive in a session, and the error for a statement that
/// cannot be served.
#[test]
fn sessions_have_the_golden_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pod = ListedPod::new("p1", listener.local_addr().unwrap());
    let sidecar = start(&SidecarConfigFile::new(vec![pod]));
    let pod = std::thread::spawn(move || serve_once(&listener));
    let mut client = TcpStream::connect(sidecar).unwrap();
    client.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    client.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").unwrap();
    let mut written = String::new();
    let mut line = |name: &str, bytes: &str| writeln!(written, "{name}: {bytes}").unwrap();
    line("encryption", &escaped(&read_until(&mut client, b"N")));
    client.write_all(STARTUP).unwrap();
    line("welcome", &escaped(&read_until(&mut client, READY)));
    client.write_all(b"Q\0\0\0\x05\0").unwrap();
    line("empty query", &escaped(&read_until(&mut client, READY)));
    client.write_all(b"Q\0\0\0\x0cset a=1\0").unwrap();
    line("set", &escaped(&read_until(&mut client, READY)));
    client
        .write_all(&query("id=1,c=look,t=acme,d=5000"))
        .unwrap();
    line("answer", &escaped(&read_until(&mut client, READY)));
    let sent = escaped(&pod.join().unwrap());
    line("pod", &mask_timeout(&sent));
    client
        .write_all(&query("id=2,c=none,t=acme,d=5000"))
        .unwrap();
    let mut rejected = Vec::new();
    while read_more(&mut client, &mut rejected) > 0 {}
    line("unknown class", &escaped(&rejected));
    assert_golden("sessions.txt", &written);
}

fn query(comment: &str) -> Vec<u8> {
    let text = format!("SELECT blob FROM rows WHERE handle = '7f3a' /* {comment} */\0");
    let length = text.len() as u32 + 4;
    [b"Q", &length.to_be_bytes()[..], text.as_bytes()].concat()
}

/// The error that a client receives if no pod can serve it.
#[test]
fn errors_have_the_golden_bytes() {
    let sidecar = start(&SidecarConfigFile::new(Vec::new()));
    let mut client = TcpStream::connect(sidecar).unwrap();
    client.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    client.write_all(STARTUP).unwrap();
    read_until(&mut client, READY);
    client
        .write_all(&query("id=1,c=look,t=acme,d=300"))
        .unwrap();
    let mut written = String::new();
    let rejected = escaped(&read_until(&mut client, READY));
    writeln!(written, "rejected: {rejected}").unwrap();
    assert_golden("errors.txt", &written);
}

/// The HTTP requests for the endpoint list, the stage stream, and a vote.
#[test]
fn http_requests_have_the_golden_bytes() {
    let message = format!(
        r#"{{"type":"news","object":{}}}"#,
        rollout_state_json(2, 0, "Progressing", 0.5)
    );
    let counted = VoteReplyScript::Reply(200, rollout_state_json(2, 0, "Progressing", 0.5));
    let rollouts = RolloutService::new(&message, vec![counted]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let events_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", address(1))]);
    config.discovery = discovery.address;
    config.rollouts = Some(rollouts.address);
    start(&config);
    let mut written = String::new();
    let mut line = |name: &str, text: &str, address: SocketAddr| {
        let text = text.replace(&address.to_string(), "ADDRESS");
        writeln!(written, "{name}: {}", escaped(text.as_bytes())).unwrap();
    };
    line("targets", &discovery.next_request(), discovery.address);
    line(
        "vote",
        &rollouts.next_vote(IO_TIMEOUT).unwrap(),
        rollouts.address,
    );
    // The emulated rollout service does not report the head of a request for the stream.
    config.rollouts = Some(events_listener.local_addr().unwrap());
    start(&config);
    let (mut connection, _) = events_listener.accept().unwrap();
    connection.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    let head = String::from_utf8(read_until(&mut connection, b"\r\n\r\n")).unwrap();
    line("events", &head, events_listener.local_addr().unwrap());
    assert_golden("calls.txt", &written);
}
