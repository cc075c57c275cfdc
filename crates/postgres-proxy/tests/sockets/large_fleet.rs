//! The largest fleet that is tested: 350 sidecars, of which one runs, and 1,100 pods.

use crate::helpers::{ask, sidecar};
use limewing_emulators::platform::{listing, Answer, Client, Config, Discovery, Does, Listed, Pod};
use rstest::rstest;
use std::net::SocketAddr;

const SIDECARS: u32 = 350;
const PODS: usize = 1100;

/// The pods of the fleet, all at one address.
fn pods(at: SocketAddr) -> Vec<Listed> {
    (0..PODS)
        .map(|n| Listed::new(&format!("pod-{n:04}"), at))
        .collect()
}

fn answer_of(at: SocketAddr) -> Answer {
    let mut client = Client::new(at);
    client.asks(&ask("look", 10_000));
    client.hears()
}

/// In a complete listing, in one chunk or in thousands, all pods but one drain: a request finds that one only if each entry
/// is read.
#[rstest]
#[case::first_in_one(0, usize::MAX)]
#[case::last_in_one(PODS - 1, usize::MAX)]
#[case::first_in_pieces(0, 60)]
#[case::last_in_pieces(PODS - 1, 60)]
fn listing_is_read_to_its_last_entry(#[case] serves: usize, #[case] piece: usize) {
    let (pod, other) = (
        Pod::new(vec![Does::Serves("red")]),
        Pod::new(vec![Does::Serves("drains")]),
    );
    let drains = |of: Listed| Listed {
        health: "terminating",
        ..of
    };
    let mut listed: Vec<Listed> = pods(other.at).into_iter().map(drains).collect();
    listed[serves] = Listed::new(&listed[serves].host, pod.at);
    let discovery = Discovery::new(String::new());
    let none = Config {
        discovery: discovery.at,
        sidecars: (SIDECARS, 17),
        ..Config::new(Vec::new())
    };
    let at = sidecar(&none);
    discovery.is_asked();
    // A pod that drains may have had a request in its grace.
    let object = listing(8, true, &listed);
    object
        .as_bytes()
        .chunks(piece)
        .for_each(|part| discovery.says_part(std::str::from_utf8(part).unwrap()));
    assert!(answer_within(at, "red"));
    assert!(
        discovery.calls.try_recv().is_err(),
        "the watch is asked for again"
    );
}

/// Sends requests until the answer is `wanted`, a bounded number of times.
fn answer_within(at: SocketAddr, wanted: &str) -> bool {
    (0..TRIES).any(|_| answer_of(at) == Answer::Row(wanted.into()))
}

/// A request waits seconds for a pod that serves; so many are enough where a listing is on its way.
const TRIES: usize = 20;

/// All pods move in one object: from then on none of the old connections is used, and the watch goes on.
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
    let at = sidecar(&config);
    discovery.is_asked();
    assert_eq!(answer_of(at), Answer::Row("old".into()));
    discovery.says(&listing(9, true, &pods(new.at)));
    assert!(answer_within(at, "new"));
    let links = old.links();
    assert!((0..TRIES).all(|_| answer_of(at) == Answer::Row("new".into())));
    assert_eq!(old.links(), links);
    assert!(
        discovery.calls.try_recv().is_err(),
        "the watch is asked for again"
    );
}

/// Descriptors that a sidecar may have, of which its connections to clients and pods take 24 fewer.
const FEW_DESCRIPTORS: usize = 64;
/// Clients at once, each with a request open: that many use more pods than there are connections to spare.
const CLIENTS: usize = 12;
/// Requests of each client.
const REQUESTS: usize = 250;

/// With far fewer descriptors than pods, idle connections make room for others: each request is answered, over more connections
/// than could be open together.
#[test]
fn few_descriptors_serve_many_pods() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let at = sidecar(&Config {
        sidecars: (SIDECARS, 17),
        descriptors: FEW_DESCRIPTORS,
        ..Config::new(pods(pod.at))
    });
    let asks = || {
        let mut client = Client::new(at);
        let answers = (0..REQUESTS).map(|_| {
            client.asks(&ask("look", 10_000));
            client.hears()
        });
        answers
            .filter(|answer| *answer != Answer::Row("red".into()))
            .count()
    };
    let unserved: usize = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(asks)).collect();
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .sum()
    });
    assert_eq!(unserved, 0);
    assert!(pod.links() > FEW_DESCRIPTORS, "{} connections", pod.links());
}
