//! Tests the largest fleet: 350 sidecars, of which one runs, and 1,100 pods.

use crate::helpers::{start_sidecar, statement_of_class};
use limewing_emulators::platform::{
    endpoint_listing_json, Answer, Client, Discovery, ListedPod, Pod, PodBehavior,
    SidecarConfigFile,
};
use rstest::rstest;
use std::net::SocketAddr;

const SIDECARS: u32 = 350;
const PODS: usize = 1100;

/// The pods of the fleet, all with the same address.
fn pods(address: SocketAddr) -> Vec<ListedPod> {
    (0..PODS)
        .map(|n| ListedPod::new(&format!("pod-{n:04}"), address))
        .collect()
}

fn request_once(address: SocketAddr) -> Answer {
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 10_000));
    client.read_answer()
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
        Pod::new(vec![PodBehavior::Answer("red")]),
        Pod::new(vec![PodBehavior::Answer("drains")]),
    );
    let draining = |pod: ListedPod| ListedPod {
        state: "terminating",
        ..pod
    };
    let mut listed: Vec<ListedPod> = pods(other.address).into_iter().map(draining).collect();
    listed[ready_pod] = ListedPod::new(&listed[ready_pod].host, pod.address);
    let discovery = Discovery::new(String::new());
    let config = SidecarConfigFile {
        discovery: discovery.address,
        count_and_index: (SIDECARS, 17),
        ..SidecarConfigFile::new(Vec::new())
    };
    let address = start_sidecar(config);
    discovery.next_request();
    // A draining pod may still receive a request during its drain period.
    let object = endpoint_listing_json(8, true, &listed);
    object
        .as_bytes()
        .chunks(chunk_size)
        .for_each(|chunk| discovery.send_bytes(std::str::from_utf8(chunk).unwrap()));
    assert!(is_answered_with(address, "red"));
    assert!(
        discovery.requests.try_recv().is_err(),
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
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let config = SidecarConfigFile {
        discovery: discovery.address,
        count_and_index: (SIDECARS, 349),
        ..SidecarConfigFile::new(pods(old.address))
    };
    let address = start_sidecar(config);
    discovery.next_request();
    assert_eq!(request_once(address), Answer::Row("old".into()));
    discovery.send_object(&endpoint_listing_json(9, true, &pods(new.address)));
    assert!(is_answered_with(address, "new"));
    let connections = old.connection_count();
    assert!((0..MAX_REQUESTS).all(|_| request_once(address) == Answer::Row("new".into())));
    assert_eq!(old.connection_count(), connections);
    assert!(
        discovery.requests.try_recv().is_err(),
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
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let address = start_sidecar(SidecarConfigFile {
        count_and_index: (SIDECARS, 17),
        max_descriptors: FEW_DESCRIPTORS,
        ..SidecarConfigFile::new(pods(pod.address))
    });
    let send_requests = || {
        let mut client = Client::new(address);
        let answers = (0..REQUESTS).map(|_| {
            client.send_query(&statement_of_class("look", 10_000));
            client.read_answer()
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
    assert!(
        pod.connection_count() > FEW_DESCRIPTORS,
        "{} connections",
        pod.connection_count()
    );
}
