//! Tests that fleets of hundreds of sidecars and more than a thousand pods stay within all limits.

use bytes::BytesMut;
use limewing_decision::interface::{
    Action, ClassId, Endpoint, EndpointUpdate, Event, PodId, Request, RequestId,
};
use limewing_decision::DecisionEngine;
use limewing_emulators::platform::{endpoint_listing_json, ListedPod, SidecarConfigFile};
use limewing_postgres_proxy::config::{self, ProxyConfig};
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use limewing_postgres_proxy::line_codec::ObjectReader;
use limewing_postgres_proxy::wrong_answers::{WrongAnswer, WrongAnswerLog};
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Number of sidecars and pods in the largest tested fleet.
const SIDECARS: u32 = 350;
const PODS: usize = 1100;

const NOW: Duration = Duration::from_secs(3600);
/// Maximum length of one object of a watch, in bytes.
const MAX_OBJECT: usize = 4 * 1024 * 1024;
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn pod_name(number: usize) -> String {
    format!("pod-{number:04}")
}

/// The pods of the fleet, each with a separate address.
fn pods() -> Vec<ListedPod> {
    let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 5432));
    (0..PODS)
        .map(|n| ListedPod::new(&pod_name(n), address(n)))
        .collect()
}

fn parse_listing(text: &str) -> EndpointListing {
    serde_json::from_str(text).unwrap()
}

fn load_cached_rows(list: &mut EndpointList, known: EndpointListing) -> Vec<Endpoint> {
    match list.load_cached(known, NOW, SystemTime::now()) {
        EndpointUpdate::Cached(rows) => rows,
        other => panic!("expected a cached list, got {other:?}"),
    }
}

/// Each pod has a separate machine type, and the settings name all of them. With one-byte numbers,
/// the machine types from the 256th on had been indistinguishable.
#[test]
fn each_pod_may_have_a_distinct_machine_type() {
    let machine_types: Vec<String> = (0..PODS).map(|n| format!("m{n}")).collect();
    let entry = |(n, pod): (usize, ListedPod)| {
        let text = endpoint_listing_json(7, true, &[pod])
            .replace(r#""class":"m""#, &format!(r#""class":"m{n}""#));
        text.split_once('[')
            .unwrap()
            .1
            .trim_end_matches("]}")
            .to_owned()
    };
    let entries: Vec<String> = pods().into_iter().enumerate().map(entry).collect();
    let known = parse_listing(&format!(
        r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#,
        entries.join(",")
    ));
    let rows = load_cached_rows(&mut EndpointList::new(&["a".into()], &machine_types), known);
    let distinct: BTreeSet<_> = rows.iter().map(|row| row.machine_type).collect();
    assert_eq!(distinct.len(), PODS);
}

fn report(pod: usize) -> WrongAnswer {
    WrongAnswer {
        host: pod_name(pod),
        class: "look".into(),
        age_ms: 0.0,
    }
}

/// All pods give a wrong answer at the same time, and two streams report all of them: each one
/// counts once.
#[test]
fn wrong_answers_of_all_pods_from_two_streams_count_once() {
    let (mut reports, reported_at) = (WrongAnswerLog::default(), NOW + Duration::from_millis(100));
    let mut count_new = |stream| {
        (0..PODS)
            .filter(|pod| reports.record(stream, &report(*pod), NOW, reported_at))
            .count()
    };
    assert_eq!((count_new("old"), count_new("new")), (PODS, 0));
}

/// The number of stored reports is limited.
#[test]
fn stored_wrong_answers_are_limited() {
    let mut reports = WrongAnswerLog::default();
    assert!((0..10 * PODS).all(|pod| reports.record("old", &report(pod), NOW, NOW)));
    assert!(reports.record("new", &report(0), NOW, NOW));
    assert!(!reports.record("new", &report(10 * PODS - 1), NOW, NOW));
}

/// Configuration of one of 350 sidecars, with the cached list of all pods.
fn config_for(sidecar_index: u32) -> ProxyConfig {
    let config = SidecarConfigFile {
        count_and_index: (SIDECARS, sidecar_index),
        ..SidecarConfigFile::new(pods())
    };
    config::parse(config.json().as_bytes()).unwrap()
}

fn hosts(listing: &EndpointListing) -> BTreeSet<&str> {
    listing
        .entries
        .iter()
        .map(|entry| entry.as_ref().unwrap().host.as_str())
        .collect()
}

#[rstest]
#[case::first(0)]
#[case::last(SIDECARS - 1)]
fn configuration_contains_the_whole_fleet(#[case] sidecar_index: u32) {
    let config = config_for(sidecar_index);
    assert_eq!(
        (config.engine.sidecar_count, config.engine.sidecar_index),
        (SIDECARS, sidecar_index)
    );
    let known = config.cached_endpoints.unwrap();
    assert_eq!(hosts(&known).len(), PODS);
    let mut list = EndpointList::new(&config.sockets.zones, &config.sockets.machine_types);
    let rows = load_cached_rows(&mut list, known);
    let numbers: BTreeSet<PodId> = rows.iter().map(|row| row.pod).collect();
    assert_eq!((list.len(), numbers.len()), (PODS, PODS));
}

/// An object of a watch is read once, regardless of the chunks and pieces in which it arrives.
#[rstest]
#[case::single_read(usize::MAX, usize::MAX)]
#[case::several_reads(usize::MAX, 32 * 1024)]
#[case::small_chunks(100, 16 * 1024)]
#[case::small_reads(1460, 7)]
#[case::byte_by_byte(1, 1)]
fn complete_listing_is_read_in_any_pieces(#[case] chunk: usize, #[case] read_size: usize) {
    let object = endpoint_listing_json(8, true, &pods());
    let chunks = object
        .as_bytes()
        .chunks(chunk)
        .map(|piece| [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat());
    let bytes = [RESPONSE_HEAD.to_vec()]
        .into_iter()
        .chain(chunks)
        .collect::<Vec<_>>()
        .concat();
    let (mut reader, mut input, mut objects) =
        (ObjectReader::new(MAX_OBJECT), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(read_size) {
        input.extend_from_slice(piece);
        let received = reader.read(&mut input);
        assert_eq!(received.error, None);
        objects.extend(received.items);
    }
    assert_eq!(objects.len(), 1);
    let parsed: EndpointListing = serde_json::from_slice(&objects[0]).unwrap();
    assert_eq!(hosts(&parsed).len(), PODS);
    let change = EndpointList::new(&["a".into()], &["m".into()])
        .apply(parsed, NOW, SystemTime::now())
        .unwrap();
    assert_eq!(
        (delta_rows(change.update).len(), change.errors.len()),
        (PODS, 0)
    );
}

fn delta_rows(update: EndpointUpdate) -> Vec<Endpoint> {
    match update {
        EndpointUpdate::Delta(rows) => rows,
        other => panic!("expected a delta update, got {other:?}"),
    }
}

/// The endpoint list and decision engine of a sidecar after its start.
struct TestSidecar {
    list: EndpointList,
    engine: DecisionEngine,
    requests_started: u64,
}

impl TestSidecar {
    fn new(sidecar_index: u32) -> Self {
        let config = config_for(sidecar_index);
        let mut list = EndpointList::new(&config.sockets.zones, &config.sockets.machine_types);
        let mut engine = DecisionEngine::new(NOW, config.engine);
        let known = list.load_cached(config.cached_endpoints.unwrap(), NOW, SystemTime::now());
        engine.handle(NOW, vec![Event::Endpoints(known)]);
        Self {
            list,
            engine,
            requests_started: 0,
        }
    }

    /// Applies a complete listing; returns the number of rows passed to the engine, and the number
    /// of actions it returns.
    fn apply_listing(&mut self, seq: u64, pods: &[ListedPod], now: Duration) -> (usize, usize) {
        let change = self
            .list
            .apply(
                parse_listing(&endpoint_listing_json(seq, true, pods)),
                now,
                SystemTime::now(),
            )
            .unwrap();
        let rows = delta_rows(change.update);
        let row_count = rows.len();
        (
            row_count,
            self.engine
                .handle(now, vec![Event::Endpoints(EndpointUpdate::Delta(rows))])
                .len(),
        )
    }

    /// Starts `count` requests at once; returns the pods of their first attempts.
    fn start_requests(&mut self, count: usize, now: Duration) -> Vec<PodId> {
        let (class, deadline) = (ClassId(0), now + Duration::from_secs(5));
        let first = self.requests_started;
        self.requests_started += count as u64;
        let request = |id| Request {
            id: RequestId(id),
            class,
            tenant: None,
            routing_key: None,
            deadline,
        };
        let events = (first..self.requests_started)
            .map(|id| Event::RequestArrived(request(id)))
            .collect();
        let target = |action| match action {
            Action::StartAttempt { pod, .. } => Some(pod),
            _ => None,
        };
        self.engine
            .handle(now, events)
            .into_iter()
            .filter_map(target)
            .collect()
    }
}

/// Unanswered requests reach all pods eventually, for any sidecar of the fleet.
#[rstest]
#[case::first(0)]
#[case::middle(17)]
#[case::last(SIDECARS - 1)]
fn every_pod_is_reached(#[case] sidecar_index: u32) {
    let mut sidecar = TestSidecar::new(sidecar_index);
    let targets = sidecar.start_requests(2 * PODS, NOW);
    assert_eq!(targets.len(), 2 * PODS);
    assert_eq!(targets.into_iter().collect::<BTreeSet<_>>().len(), PODS);
}

/// Longer than a draining pod may be used, and shorter than the time after which a sidecar rejects
/// requests because none is answered.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// The listing after the same change to all pods.
fn changed_pods(change: &str) -> Vec<ListedPod> {
    let apply = |pod: ListedPod| match change {
        "drains" => ListedPod {
            state: "terminating",
            ..pod
        },
        "starts anew" => ListedPod {
            build: 2,
            started_at_ms: 1_000,
            ..pod
        },
        "moves" => ListedPod {
            address: SocketAddr::new(pod.address.ip(), 6432),
            ..pod
        },
        "is replaced" => ListedPod {
            host: format!("new-{}", pod.host),
            ..pod
        },
        other => panic!("unknown change: {other}"),
    };
    pods().into_iter().map(apply).collect()
}

/// All pods change in one object. The engine gets the row of each pod once (two rows per pod if
/// others replace them), starts nothing in response, and gets nothing when the same listing is
/// repeated. Later requests follow the new listing.
#[rstest]
#[case::drains("drains", PODS)]
#[case::starts_anew("starts anew", PODS)]
#[case::moves("moves", PODS)]
#[case::is_replaced("is replaced", 2 * PODS)]
fn change_of_all_pods_is_applied_once(#[case] change: &str, #[case] expected_rows: usize) {
    let (mut sidecar, next, later) = (TestSidecar::new(17), changed_pods(change), NOW + DRAIN_TIME);
    let (rows, actions) = sidecar.apply_listing(8, &next, NOW + Duration::from_millis(1));
    assert_eq!((rows, actions), (expected_rows, 0));
    assert_eq!((sidecar.list.version(), sidecar.list.len()), (8, PODS));
    assert_eq!(
        sidecar.apply_listing(9, &next, NOW + Duration::from_millis(2)),
        (0, 0)
    );
    let targets: BTreeSet<PodId> = sidecar
        .start_requests(2 * PODS, later)
        .into_iter()
        .collect();
    let listed = next
        .iter()
        .filter_map(|pod| sidecar.list.pod_listed_at(&pod.host, later));
    let expected = if change == "drains" {
        BTreeSet::new()
    } else {
        listed.collect()
    };
    assert!(
        targets == expected,
        "requests reached {} pods, expected {}",
        targets.len(),
        expected.len()
    );
}
