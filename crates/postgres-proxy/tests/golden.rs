//! Pins the formats that the PostgreSQL proxy shares with its platform: statements and their comments, discovery's list,
//! the rollouts' stream, votes, the configuration, and the bytes that cross its sockets. The files in `golden/` were
//! written by the program as it stood on 2026-12-02, or are what it reads. Set `GOLDEN_WRITE` to write the former anew
//! after a wanted change.

use limewing_decision::interface::{
    BuildId, Control, Endpoint, EndpointUpdate, Phase, PodState, StageIndex, StageUpdate, Verdict,
};
use limewing_emulators::platform::{listing, state, Config, Discovery, Listed, Rollouts, Vote};
use limewing_postgres_proxy::config;
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use limewing_postgres_proxy::line_codec::{LineReader, ObjectReader};
use limewing_postgres_proxy::rollout_messages::{
    encode_vote, parse_message, parse_vote_reply, RolloutMessage,
};
use limewing_postgres_proxy::service::Service;
use limewing_postgres_proxy::stage_updates::RolloutState;
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
fn assert_golden(name: &str, written: &str) {
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden_path(name), written).unwrap();
    }
    assert_eq!(read_golden(name), written, "{name}");
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// What each statement is read as, and as what it is passed on.
#[test]
fn statements_are_read_and_passed_on() {
    let (classes, tenants) = (owned(&["basket", "order"]), owned(&["acme", "other"]));
    let parser = StatementParser::new(&classes, &[false, true], &tenants);
    let mut read = String::new();
    for text in read_golden("statements.txt").lines() {
        let statement = parser.parse(text).unwrap();
        assert_eq!(statement.text, text);
        assert_eq!(statement.with_timeout(statement.timeout), text);
        let verb = match statement.verb {
            Verb::Select => "select",
            Verb::Insert => "insert",
        };
        let tenant = statement.tenant.unwrap().0;
        let key = statement.routing_key.unwrap().0;
        let (id, class, waits) = (
            &statement.id,
            statement.class.0,
            statement.timeout.as_millis(),
        );
        writeln!(
            read,
            "{verb} id {id} class {class} tenant {tenant} key {key:016x} waits {waits}"
        )
        .unwrap();
        let passed_on = statement.with_timeout(Duration::from_micros(99_900));
        writeln!(read, "    {passed_on}").unwrap();
    }
    assert_golden("statements_read.txt", &read);
}

fn describe_stage(news: &StageUpdate) -> String {
    let phase = match news.phase {
        Phase::OnTrial => "progressing",
        Phase::RollingBack => "aborting",
        Phase::Released => "healthy",
        Phase::RolledBack => "aborted",
    };
    format!(
        "revision {} wave {} {phase} share {} age {}",
        news.build.0,
        news.stage.0,
        news.cap,
        news.age.as_millis()
    )
}

/// An HTTP answer that holds this text in pieces.
fn streamed(text: &str, piece: usize) -> bytes::BytesMut {
    let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for part in text.as_bytes().chunks(piece) {
        answer.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        answer.extend_from_slice(part);
        answer.extend_from_slice(b"\r\n");
    }
    bytes::BytesMut::from(&answer[..])
}

#[test]
fn the_stream_of_rollouts_is_read() {
    let file = read_golden("events.jsonl");
    let came = LineReader::new(1000).read(&mut streamed(&file, 37));
    assert_eq!(came.error, None);
    assert_eq!(came.items.len(), file.lines().count());
    let mut read = String::new();
    for (line, text) in came.items.iter().zip(file.lines()) {
        assert_eq!(line, text.as_bytes());
        match parse_message(line).unwrap() {
            RolloutMessage::Ignored => writeln!(read, "nothing"),
            RolloutMessage::Stage(state) => {
                writeln!(read, "news {}", describe_stage(&state.to_update()))
            }
            RolloutMessage::WrongAnswer(report) => writeln!(
                read,
                "report {} {} {}",
                report.host, report.class, report.age_ms
            ),
        }
        .unwrap();
    }
    assert_golden("events_read.txt", &read);
}

/// The emulated rollouts write what is read above.
#[test]
fn a_state_has_its_form() {
    let written = state(2, 0, "Progressing", 0.25);
    let line = format!(r#"{{"type":"news","object":{written}}}"#);
    assert!(read_golden("events.jsonl").lines().any(|read| read == line));
    let reply = parse_vote_reply(200, written.as_bytes());
    let news = reply.state.map(RolloutState::to_update).unwrap();
    assert_eq!(
        describe_stage(&news),
        "revision 2 wave 0 progressing share 0.25 age 5"
    );
}

#[test]
fn votes_have_their_form() {
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

fn describe_list(list: &EndpointList, news: &EndpointUpdate, now: Duration) -> String {
    let (how, rows) = match news {
        EndpointUpdate::Delta(rows) => ("change", rows),
        EndpointUpdate::Snapshot(rows) => ("whole", rows),
        EndpointUpdate::Cached(rows) => ("known at the start", rows),
        EndpointUpdate::WatchLost(_) => panic!("no list"),
    };
    let mut text = format!("{how}, seq {}\n", list.version());
    for row in rows {
        let host = list.host(row.pod).unwrap();
        writeln!(text, "    {host}: {}", describe_row(row, now)).unwrap();
        if let Some(life) = list.incarnation(row.pod) {
            writeln!(
                text,
                "        {} born {} version {}",
                life.address, life.started_at_ms, life.build.0
            )
            .unwrap();
        }
    }
    text
}

/// The list as a watch tells it, and as it is recalled at a start.
#[test]
fn discoverys_list_is_read() {
    let file = read_golden("targets.jsonl");
    let came = ObjectReader::new(10_000).read(&mut streamed(&file, 53));
    assert_eq!(came.error, None);
    let told: Vec<EndpointListing> = came
        .items
        .iter()
        .map(|object| serde_json::from_slice(object).unwrap())
        .collect();
    let (zones, kinds) = (owned(&["east", "west"]), owned(&["small", "large"]));
    let today = SystemTime::UNIX_EPOCH + Duration::from_millis(1_700_000_600_250);
    let now = Duration::from_secs(3600);
    let mut read = String::new();
    let mut watched = EndpointList::new(&zones, &kinds);
    for listing in &told {
        let change = watched.apply(listing.clone(), now, today).unwrap();
        read.push_str(&describe_list(&watched, &change.update, now));
        let moved: Vec<u64> = change.relocated.iter().map(|pod| pod.0).collect();
        writeln!(
            read,
            "    moved {moved:?}, unusable {}",
            change.errors.len()
        )
        .unwrap();
    }
    let mut recalled = EndpointList::new(&zones, &kinds);
    let news = recalled.load_cached(told[0].clone(), now, today);
    read.push_str(&describe_list(&recalled, &news, now));
    assert_golden("targets_read.txt", &read);
}

/// The emulated discovery writes lists of this form.
#[test]
fn a_list_has_its_form() {
    let dial = SocketAddr::from(([10, 0, 0, 1], 5432));
    let drains = Listed {
        health: "terminating",
        born_ms: 1_700_000_000_250,
        build: 12,
        ..Listed::new("pod-0002", dial)
    };
    let mut written = listing(8, true, &[Listed::new("pod-0001", dial), drains]);
    written.push('\n');
    assert_golden("targets_written.jsonl", &written);
    assert!(serde_json::from_str::<EndpointListing>(&written).is_ok());
}

#[test]
fn a_configuration_is_read() {
    let told = config::parse(read_golden("config.json").as_bytes()).unwrap();
    let mut read = String::new();
    let mut line = |name: &str, value: String| writeln!(read, "{name}: {value}").unwrap();
    line("name", told.name);
    line("listen", told.listen.to_string());
    line("discovery", told.services.discovery.to_string());
    line("rollouts", told.services.rollouts.unwrap().to_string());
    line("seed", format!("{:016x}", told.seed));
    line("memory", format!("{:?}", told.max_memory));
    line("sockets", format!("{:?}", told.max_descriptors));
    line(
        "news",
        describe_stage(&told.rollout_state.unwrap().to_update()),
    );
    let known = told.cached_endpoints.unwrap();
    line("known seq", known.version.to_string());
    line("known whole", known.is_complete.to_string());
    line(
        "known host",
        known.entries[0].as_ref().unwrap().host.clone(),
    );
    line("settings hash", format!("{:016x}", told.settings_hash));
    let terms = &told.engine;
    line("terms seed", format!("{:016x}", terms.seed));
    line("balancers", terms.sidecar_count.to_string());
    line("me", terms.sidecar_index.to_string());
    line("zone", terms.zone.0.to_string());
    line("classes", terms.classes.len().to_string());
    line("list on request", terms.watch_on_request.to_string());
    line("list pushed", terms.endpoints_pushed.to_string());
    line("list lease", format!("{:?}", terms.endpoint_lease));
    let by_clock = terms.rollout.control == Control::Clock;
    line("gate mode by clock", by_clock.to_string());
    line("class names", told.sockets.classes.join(","));
    line("realm names", told.sockets.tenants.join(","));
    line("azs", told.sockets.zones.join(","));
    line("shapes", told.sockets.machine_types.join(","));
    line(
        "connect timeout",
        format!("{:?}", told.sockets.connect_timeout),
    );
    line("idle close", format!("{:?}", told.sockets.idle_timeout));
    assert_golden("config_read.txt", &read);
}

/// The configuration that tests and the emulated platform write.
#[test]
fn a_configuration_has_its_form() {
    let mut config = Config::new(vec![Listed::new("p1", address(5432))]);
    config.rollouts = Some(address(8600));
    let mut written = config.json();
    written.push('\n');
    assert_golden("config_written.json", &written);
    assert!(config::parse(written.as_bytes()).is_ok());
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The first message of a session.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0api\0database\0ledger\0\0";
/// The next statement may come.
const READY: &[u8] = b"Z\0\0\0\x05I";
/// How long anything on a socket may take.
const PATIENCE: Duration = Duration::from_secs(20);

fn start(config: &Config) -> SocketAddr {
    let told = config::parse(config.json().as_bytes()).unwrap();
    let service = Service::start_with_config(PathBuf::from("none"), told).unwrap();
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// Bytes as text, all but printable characters as escapes.
fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn read_more(stream: &mut TcpStream, heard: &mut Vec<u8>) -> usize {
    let mut some = [0; 4096];
    let length = stream.read(&mut some).unwrap();
    heard.extend_from_slice(&some[..length]);
    length
}

fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut heard = Vec::new();
    while !heard.ends_with(end) {
        assert!(read_more(stream, &mut heard) > 0, "{}", escaped(&heard));
    }
    heard
}

/// A pod that serves one statement; gives back all that it was sent.
fn serve_once(listener: &TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut heard = read_until(&mut stream, b"ledger\0\0");
    stream
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .unwrap();
    // An empty query, and the statement but for its last byte, which is held back until the empty query is answered.
    heard.extend(read_until(&mut stream, b" */"));
    stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").unwrap();
    heard.extend(read_until(&mut stream, b"\0"));
    let column = b"T\0\0\0\x1d\0\x01blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\0";
    let row = b"D\0\0\0\x0d\0\x01\0\0\0\x03red";
    stream.write_all(column).unwrap();
    stream.write_all(row).unwrap();
    stream
        .write_all(b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I")
        .unwrap();
    heard
}

/// The deadline that a pod is told depends on how fast all went.
fn without_deadline(sent: &str) -> String {
    let (before, after) = sent.split_once(",d=").unwrap();
    let digits = after.bytes().take_while(u8::is_ascii_digit).count();
    format!("{before},d=N{}", &after[digits..])
}

/// All bytes that a client and a pod get in a session, and what a client is told of a statement that can't be served.
#[test]
fn sessions_have_their_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pod = Listed::new("p1", listener.local_addr().unwrap());
    let sidecar = start(&Config::new(vec![pod]));
    let pod = std::thread::spawn(move || serve_once(&listener));
    let mut client = TcpStream::connect(sidecar).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
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
    line("pod", &without_deadline(&sent));
    client
        .write_all(&query("id=2,c=none,t=acme,d=5000"))
        .unwrap();
    let mut refused = Vec::new();
    while read_more(&mut client, &mut refused) > 0 {}
    line("unknown class", &escaped(&refused));
    assert_golden("sessions.txt", &written);
}

fn query(comment: &str) -> Vec<u8> {
    let text = format!("SELECT blob FROM rows WHERE handle = '7f3a' /* {comment} */\0");
    let length = text.len() as u32 + 4;
    [b"Q", &length.to_be_bytes()[..], text.as_bytes()].concat()
}

/// A client is told in these words that no pod can serve it.
#[test]
fn errors_have_their_bytes() {
    let sidecar = start(&Config::new(Vec::new()));
    let mut client = TcpStream::connect(sidecar).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
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

/// The calls for the list, for news, and to vote.
#[test]
fn calls_have_their_bytes() {
    let news = format!(
        r#"{{"type":"news","object":{}}}"#,
        state(2, 0, "Progressing", 0.5)
    );
    let counted = Vote::Says(200, state(2, 0, "Progressing", 0.5));
    let rollouts = Rollouts::new(&news, vec![counted]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let stream = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::new(vec![Listed::new("p1", address(1))]);
    config.discovery = discovery.at;
    config.rollouts = Some(rollouts.at);
    start(&config);
    let mut written = String::new();
    let mut line = |name: &str, text: &str, at: SocketAddr| {
        let text = text.replace(&at.to_string(), "ADDRESS");
        writeln!(written, "{name}: {}", escaped(text.as_bytes())).unwrap();
    };
    line("targets", &discovery.is_asked(), discovery.at);
    line("vote", &rollouts.vote(PATIENCE).unwrap(), rollouts.at);
    // The emulated rollouts do not tell the head of a call for the stream.
    config.rollouts = Some(stream.local_addr().unwrap());
    start(&config);
    let (mut call, _) = stream.accept().unwrap();
    call.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = String::from_utf8(read_until(&mut call, b"\r\n\r\n")).unwrap();
    line("events", &head, stream.local_addr().unwrap());
    assert_golden("calls.txt", &written);
}
