//! Fleets of hundreds of sidecars and more than a thousand pods fit all limits.

use bytes::BytesMut;
use limewing_decision::interface::{
    Action, ClassId, Endpoint, EndpointUpdate, Event, PodId, Request, RequestId,
};
use limewing_decision::DecisionEngine;
use limewing_emulators::platform::{listing, Config, Listed};
use limewing_postgres_proxy::config::{self, ProxyConfig};
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use limewing_postgres_proxy::line_codec::ObjectReader;
use limewing_postgres_proxy::wrong_answers::{WrongAnswer, WrongAnswerLog};
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Sidecars and pods of the largest fleet that is tested.
const SIDECARS: u32 = 350;
const PODS: usize = 1100;

const NOW: Duration = Duration::from_secs(3600);
/// Bound of an object of a watch, in bytes.
const MAX_OBJECT: usize = 4 * 1024 * 1024;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn name(number: usize) -> String {
    format!("pod-{number:04}")
}

/// The pods of a fleet, each at an address of its own.
fn pods() -> Vec<Listed> {
    let at = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 5432));
    (0..PODS).map(|n| Listed::new(&name(n), at(n))).collect()
}

fn read(text: &str) -> EndpointListing {
    serde_json::from_str(text).unwrap()
}

fn recalled(list: &mut EndpointList, known: EndpointListing) -> Vec<Endpoint> {
    match list.load_cached(known, NOW, SystemTime::now()) {
        EndpointUpdate::Cached(rows) => rows,
        other => panic!("a list that is remembered, not {other:?}"),
    }
}

/// Each pod has a machine type of its own, all named by the settings: with numbers of one byte those from the 256th on were
/// the same.
#[test]
fn machine_types_are_distinct_for_as_many_as_there_are_pods() {
    let kinds: Vec<String> = (0..PODS).map(|n| format!("m{n}")).collect();
    let one = |(n, pod): (usize, Listed)| {
        let text =
            listing(7, true, &[pod]).replace(r#""class":"m""#, &format!(r#""class":"m{n}""#));
        text.split_once('[')
            .unwrap()
            .1
            .trim_end_matches("]}")
            .to_owned()
    };
    let entries: Vec<String> = pods().into_iter().enumerate().map(one).collect();
    let known = read(&format!(
        r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#,
        entries.join(",")
    ));
    let rows = recalled(&mut EndpointList::new(&["a".into()], &kinds), known);
    let told: BTreeSet<_> = rows.iter().map(|row| row.machine_type).collect();
    assert_eq!(told.len(), PODS);
}

fn report(pod: usize) -> WrongAnswer {
    WrongAnswer {
        host: name(pod),
        class: "look".into(),
        age_ms: 0.0,
    }
}

/// Each pod gives a wrong answer at the same time, and two streams report all: each counts once.
#[test]
fn wrong_answers_of_all_pods_from_two_streams_count_once() {
    let (mut reports, told) = (WrongAnswerLog::default(), NOW + Duration::from_millis(100));
    let mut new = |by| {
        (0..PODS)
            .filter(|pod| reports.record(by, &report(*pod), NOW, told))
            .count()
    };
    assert_eq!((new("old"), new("new")), (PODS, 0));
}

/// Reports without end are not remembered without end.
#[test]
fn flood_of_wrong_answers_is_forgotten() {
    let mut reports = WrongAnswerLog::default();
    assert!((0..10 * PODS).all(|pod| reports.record("old", &report(pod), NOW, NOW)));
    assert!(reports.record("new", &report(0), NOW, NOW));
    assert!(!reports.record("new", &report(10 * PODS - 1), NOW, NOW));
}

/// The settings of 350 sidecars, of which this is one, and the list of the pods as it was known before the start.
fn config_of(sidecar_index: u32) -> ProxyConfig {
    let config = Config {
        sidecars: (SIDECARS, sidecar_index),
        ..Config::new(pods())
    };
    config::parse(config.json().as_bytes()).unwrap()
}

fn hosts(told: &EndpointListing) -> BTreeSet<&str> {
    told.entries
        .iter()
        .map(|entry| entry.as_ref().unwrap().host.as_str())
        .collect()
}

#[rstest]
#[case::first(0)]
#[case::last(SIDECARS - 1)]
fn configuration_names_the_whole_fleet(#[case] sidecar_index: u32) {
    let config = config_of(sidecar_index);
    assert_eq!(
        (config.engine.sidecar_count, config.engine.sidecar_index),
        (SIDECARS, sidecar_index)
    );
    let known = config.cached_endpoints.unwrap();
    assert_eq!(hosts(&known).len(), PODS);
    let mut list = EndpointList::new(&config.sockets.zones, &config.sockets.machine_types);
    let rows = recalled(&mut list, known);
    let numbers: BTreeSet<PodId> = rows.iter().map(|row| row.pod).collect();
    assert_eq!((list.len(), numbers.len()), (PODS, PODS));
}

/// An object of a watch is read once, in whatever chunks and pieces it arrives.
#[rstest]
#[case::in_one(usize::MAX, usize::MAX)]
#[case::read_in_parts(usize::MAX, 32 * 1024)]
#[case::in_small_chunks(100, 16 * 1024)]
#[case::in_small_parts(1460, 7)]
#[case::byte_by_byte(1, 1)]
fn complete_listing_is_read_in_any_pieces(#[case] chunk: usize, #[case] part: usize) {
    let object = listing(8, true, &pods());
    let chunks = object
        .as_bytes()
        .chunks(chunk)
        .map(|piece| [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat());
    let bytes = [HEAD.to_vec()]
        .into_iter()
        .chain(chunks)
        .collect::<Vec<_>>()
        .concat();
    let (mut objects, mut input, mut came) =
        (ObjectReader::new(MAX_OBJECT), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(part) {
        input.extend_from_slice(piece);
        let read = objects.read(&mut input);
        assert_eq!(read.error, None);
        came.extend(read.items);
    }
    assert_eq!(came.len(), 1);
    let told: EndpointListing = serde_json::from_slice(&came[0]).unwrap();
    assert_eq!(hosts(&told).len(), PODS);
    let change = EndpointList::new(&["a".into()], &["m".into()])
        .apply(told, NOW, SystemTime::now())
        .unwrap();
    assert_eq!((rows(change.update).len(), change.errors.len()), (PODS, 0));
}

fn rows(news: EndpointUpdate) -> Vec<Endpoint> {
    match news {
        EndpointUpdate::Delta(rows) => rows,
        other => panic!("a change, not {other:?}"),
    }
}

/// A sidecar's list and its decision engine, as they are after a start.
struct Started {
    list: EndpointList,
    engine: DecisionEngine,
    requests_started: u64,
}

impl Started {
    fn new(sidecar_index: u32) -> Self {
        let config = config_of(sidecar_index);
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

    /// Applies a complete listing; returns how many rows the engine gets, and how many actions it returns.
    fn take(&mut self, seq: u64, pods: &[Listed], now: Duration) -> (usize, usize) {
        let change = self
            .list
            .apply(read(&listing(seq, true, pods)), now, SystemTime::now())
            .unwrap();
        let told = rows(change.update);
        let many = told.len();
        (
            many,
            self.engine
                .handle(now, vec![Event::Endpoints(EndpointUpdate::Delta(told))])
                .len(),
        )
    }

    /// Starts so many requests at once; returns the pods that their attempts go to, one of each request.
    fn asks(&mut self, many: usize, now: Duration) -> Vec<PodId> {
        let (group, due) = (ClassId(0), now + Duration::from_secs(5));
        let first = self.requests_started;
        self.requests_started += many as u64;
        let hit = |id| Request {
            id: RequestId(id),
            class: group,
            tenant: None,
            routing_key: None,
            deadline: due,
        };
        let asked = (first..self.requests_started)
            .map(|id| Event::RequestArrived(hit(id)))
            .collect();
        let goes = |action| match action {
            Action::StartAttempt { pod, .. } => Some(pod),
            _ => None,
        };
        self.engine
            .handle(now, asked)
            .into_iter()
            .filter_map(goes)
            .collect()
    }
}

/// Requests of which none is answered go to all pods in the end, whichever sidecar it is.
#[rstest]
#[case::first(0)]
#[case::middle(17)]
#[case::last(SIDECARS - 1)]
fn every_pod_is_reached(#[case] sidecar_index: u32) {
    let mut sidecar = Started::new(sidecar_index);
    let went = sidecar.asks(2 * PODS, NOW);
    assert_eq!(went.len(), 2 * PODS);
    assert_eq!(went.into_iter().collect::<BTreeSet<_>>().len(), PODS);
}

/// Longer than a pod that drains may be used, and sooner than a sidecar rejects requests because none is answered.
const AFTER: Duration = Duration::from_secs(1);

/// How each pod is listed after a change of all.
fn changed(what: &str) -> Vec<Listed> {
    let change = |pod: Listed| match what {
        "drains" => Listed {
            health: "terminating",
            ..pod
        },
        "starts anew" => Listed {
            build: 2,
            born_ms: 1_000,
            ..pod
        },
        "moves" => Listed {
            dial: SocketAddr::new(pod.dial.ip(), 6432),
            ..pod
        },
        "is replaced" => Listed {
            host: format!("new-{}", pod.host),
            ..pod
        },
        other => panic!("no change called {other}"),
    };
    pods().into_iter().map(change).collect()
}

/// All pods change in one object: the engine gets each pod's row once (twice the rows where others replace them), starts
/// nothing by it, and gets nothing when the same is listed again. Requests then go where the new list says.
#[rstest]
#[case::drains("drains", PODS)]
#[case::starts_anew("starts anew", PODS)]
#[case::moves("moves", PODS)]
#[case::is_replaced("is replaced", 2 * PODS)]
fn change_of_all_pods_is_applied_once(#[case] what: &str, #[case] told: usize) {
    let (mut sidecar, next, later) = (Started::new(17), changed(what), NOW + AFTER);
    let (many, actions) = sidecar.take(8, &next, NOW + Duration::from_millis(1));
    assert_eq!((many, actions), (told, 0));
    assert_eq!((sidecar.list.version(), sidecar.list.len()), (8, PODS));
    assert_eq!(
        sidecar.take(9, &next, NOW + Duration::from_millis(2)),
        (0, 0)
    );
    let went: BTreeSet<PodId> = sidecar.asks(2 * PODS, later).into_iter().collect();
    let listed = next
        .iter()
        .filter_map(|pod| sidecar.list.pod_listed_at(&pod.host, later));
    let wanted = if what == "drains" {
        BTreeSet::new()
    } else {
        listed.collect()
    };
    assert!(
        went == wanted,
        "went to {} pods, expected {}",
        went.len(),
        wanted.len()
    );
}
