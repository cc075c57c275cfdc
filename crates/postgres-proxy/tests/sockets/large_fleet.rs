//! Tests the largest fleet: 350 sidecars, of which one runs, and 1,100 pods.

use crate::helpers::{start_sidecar, statement_of_class};
use limewing_emulators::platform::{listing, Answer, Client, Config, Discovery, Does, Listed, Pod};
use rstest::rstest;
use std::net::SocketAddr;

const SIDECARS: u32 = 350;
const PODS: usize = 1100;

/// The pods of the fleet, all with the same address.
fn pods(address: SocketAddr) -> Vec<Listed> {
    (0..PODS)
        .map(|n| Listed::new(&format!("pod-{n:04}"), address))
        .collect()
}

fn request_once(address: SocketAddr) -> Answer {
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 10_000));
    client.hears()
}

/// A complete listing, in one chunk or in thousands, lists all pods but one as draining: a request
/// reaches that pod only if each entry is read.
#[rstest]
#[case::first_in_one_chunk(0, usize::MAX)]
#[case::last_in_one_chunk(PODS - 1, usize::MAX)]
#[case::first_in_small_chunks(0, 60)]
#[case::last_in_small_chunks(PODS - 1, 60)]
fn listing_is_read_to_its_last_entry(#[case] ready_pod: usize, #[case] chunk_size: usize) {
    let (pod, other) = (
        Pod::new(vec![Does::Serves("red")]),
        Pod::new(vec![Does::Serves("drains")]),
    );
    let draining = |pod: Listed| Listed {
        health: "terminating",
        ..pod
    };
    let mut listed: Vec<Listed> = pods(other.at).into_iter().map(draining).collect();
    listed[ready_pod] = Listed::new(&listed[ready_pod].host, pod.at);
    let discovery = Discovery::new(String::new());
    let config = Config {
        discovery: discovery.at,
        sidecars: (SIDECARS, 17),
        ..Config::new(Vec::new())
    };
    let address = start_sidecar(&config);
    discovery.is_asked();
    // A draining pod may still receive a request during its drain period.
    let object = listing(8, true, &listed);
    object
        .as_bytes()
        .chunks(chunk_size)
        .for_each(|chunk| discovery.says_part(std::str::from_utf8(chunk).unwrap()));
    assert!(is_answered_with(address, "red"));
    assert!(
        discovery.calls.try_recv().is_err(),
        "the watch was reopened"
    );
}

/// Sends requests until the answer is `expected`, up to a limit.
fn is_answered_with(address: SocketAddr, expected: &str) -> bool {
    (0..MAX_REQUESTS).any(|_| request_once(address) == Answer::Row(expected.into()))
}

/// Maximum number of requests. Each one waits several seconds for a ready pod, so this is enough
/// while a listing is being received.
const MAX_REQUESTS: usize = 20;

/// The addresses of all pods change in one object: from then on, no former connection is used, and
/// the watch continues.
#[test]
fn all_pods_may_move_at_once() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let discovery = Discovery::new(listing(8, false, &[]));
    let config = Config {
        discovery: discovery.at,
        sidecars: (SIDECARS, 349),
        ..Config::new(pods(old.at))
    };
    let address = start_sidecar(&config);
    discovery.is_asked();
    assert_eq!(request_once(address), Answer::Row("old".into()));
    discovery.says(&listing(9, true, &pods(new.at)));
    assert!(is_answered_with(address, "new"));
    let connections = old.links();
    assert!((0..MAX_REQUESTS).all(|_| request_once(address) == Answer::Row("new".into())));
    assert_eq!(old.links(), connections);
    assert!(
        discovery.calls.try_recv().is_err(),
        "the watch was reopened"
    );
}

/// Descriptor limit of a sidecar, of which 24 are not available for connections to clients and
/// pods.
const FEW_DESCRIPTORS: usize = 64;
/// Concurrent clients, each with a pending request. Their requests need connections to more pods
/// than the limit allows.
const CLIENTS: usize = 12;
/// Number of requests per client.
const REQUESTS: usize = 250;

/// With far fewer descriptors than pods, idle connections are evicted for others: each request is
/// answered, over more connections than can be open at the same time.
#[test]
fn few_descriptors_serve_many_pods() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let address = start_sidecar(&Config {
        sidecars: (SIDECARS, 17),
        descriptors: FEW_DESCRIPTORS,
        ..Config::new(pods(pod.at))
    });
    let send_requests = || {
        let mut client = Client::new(address);
        let answers = (0..REQUESTS).map(|_| {
            client.asks(&statement_of_class("look", 10_000));
            client.hears()
        });
        answers
            .filter(|answer| *answer != Answer::Row("red".into()))
            .count()
    };
    let unserved: usize = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(send_requests)).collect();
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .sum()
    });
    assert_eq!(unserved, 0);
    assert!(pod.links() > FEW_DESCRIPTORS, "{} connections", pod.links());
}
