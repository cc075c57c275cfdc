//! Tests discovery, the rollout service, and reloads of the configuration.

use crate::helpers::{
    start_sidecar, start_sidecar_with_file, statement_for_row, statement_of_class,
};
use limewing_emulators::platform::{
    listing, state, Answer, Client, Config, Discovery, Does, Listed, Pod, Rollouts, Vote,
};
use limewing_postgres_proxy::service::Service;
use rstest::rstest;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Sends requests until the answer is `expected`.
fn request_until(address: std::net::SocketAddr, expected: &str) {
    let mut client = Client::new(address);
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        client.asks(&statement_of_class("look", 1000));
        if client.hears() == Answer::Row(expected.into()) {
            return;
        }
    }
    panic!("no answer {expected}");
}

#[test]
fn watch_continues_from_the_known_version() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    assert!(discovery
        .is_asked()
        .starts_with("GET /api/targets?follow=1&since=7 "));
    request_until(address, "old");
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    discovery.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    request_until(address, "new");
    // A watch that ends is reopened from the last applied version.
    discovery.cuts();
    assert!(discovery.is_asked().contains("since=9 "));
}

#[test]
fn malformed_watch_is_reopened() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new("{\"seq\":\"what\"".into());
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    for _ in 0..2 {
        assert!(discovery.is_asked().contains("since=7 "));
    }
    request_until(address, "red");
}

#[rstest]
#[case::counted(Vote::Says(200, state(2, 0, "Progressing", 0.5)), false)]
#[case::moot(Vote::Says(409, "{\"error\":\"STALE\"}".into()), false)]
#[case::full(Vote::Says(429, "{\"error\":\"BUSY\"}".into()), true)]
#[case::failed(Vote::Says(500, "{\"error\":\"FAILED\"}".into()), true)]
#[case::binary(Vote::Raw(b"\x00\x01what"), true)]
#[case::incomplete(
    Vote::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"Revi"),
    true
)]
#[case::not_json(Vote::Says(200, "<html>".into()), true)]
#[case::no_reply(Vote::Waits, true)]
fn vote_that_was_not_counted_is_sent_again(#[case] vote: Vote, #[case] is_repeated: bool) {
    let rollouts = Rollouts::new(
        &stage_message(2, 0),
        vec![vote, Vote::Says(200, state(2, 0, "Progressing", 0.5))],
    );
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    start_sidecar(&config);
    let first = rollouts.vote(TIMEOUT).expect("a hold vote");
    assert!(
        first.ends_with(r#"{"Revision":2,"Wave":0,"Decision":"pause"}"#),
        "{first}"
    );
    // A vote is valid for four seconds, and is renewed before it expires; an earlier one is a
    // retry.
    assert_eq!(
        rollouts.vote(Duration::from_millis(2200)).is_some(),
        is_repeated
    );
}

/// Errors are evidence against the build on trial; malformed answers, which any pod may give, are not.
#[rstest]
#[case::errors(Does::Errs("XX000"), true)]
#[case::malformed(Does::Says(vec![0, 1, 2]), false)]
fn malformed_answers_are_no_evidence_against_a_build(
    #[case] faulty: Does,
    #[case] expects_rollback: bool,
) {
    let rollouts = Rollouts::new(
        &stage_message(2, 0),
        vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))],
    );
    let base = Pod::new(vec![Does::Serves("red")]);
    let behaviors = [Does::Serves("red"), faulty];
    let trial = Pod::new(behaviors.iter().cycle().take(400).cloned().collect());
    let on_trial = Listed {
        build: 2,
        ..Listed::new("p2", trial.at)
    };
    let mut config = Config::new(vec![Listed::new("p1", base.at), on_trial]);
    config.rollouts = Some(rollouts.at);
    let address = start_sidecar(&config);
    rollouts.vote(TIMEOUT).expect("a hold vote");
    let mut client = Client::new(address);
    for _ in 0..150 {
        client.asks(&statement_of_class("look", 2000));
        client.hears();
    }
    let votes = std::iter::from_fn(|| rollouts.vote(Duration::from_millis(1500)));
    assert_eq!(
        votes.take(5).any(|vote| vote.contains("abort")),
        expects_rollback
    );
}

fn stage_message(build: u16, stage: u8) -> String {
    format!(
        r#"{{"type":"news","object":{}}}"#,
        state(build, stage, "Progressing", 0.5)
    )
}

#[rstest]
#[case::incomplete_json("{\"type\":")]
#[case::binary("\u{0}\u{1}")]
#[case::too_long(&"x".repeat(100_000))]
fn malformed_stage_stream_is_reopened(#[case] line: &str) {
    let rollouts = Rollouts::new("{}", vec![Vote::Waits]);
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    start_sidecar(&config);
    rollouts.is_asked();
    rollouts.says(line);
    rollouts.is_asked();
    rollouts.says(&stage_message(2, 0));
    assert!(rollouts.vote(TIMEOUT).is_some());
}

/// The services of a new configuration are called immediately, and the watch continues from the
/// known version.
#[test]
fn reload_follows_moved_services() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let (first, second) = (
        Discovery::new(listing(8, false, &[])),
        Discovery::new(listing(9, false, &[])),
    );
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.is_asked();
    config.discovery = second.at;
    std::fs::write(&file, "half a fi").unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    request_until(address, "red");
    std::fs::write(&file, config.json()).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    assert!(second.is_asked().contains("since=8 "));
    request_until(address, "red");
}

#[test]
fn configuration_error_names_its_file() {
    let error = Service::start(PathBuf::from("nowhere.json"))
        .map(|_| ())
        .unwrap_err();
    assert!(error.to_string().starts_with("nowhere.json: "));
}

fn send_sighup() {
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
}

/// Updates that discovery sends on the former watch after a reload count as known, so the watch is
/// read to its end. Previously the former watch was closed immediately.
#[test]
fn watch_on_the_former_address_is_read_to_its_end() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let first = Discovery::new(listing(8, false, &[]));
    // This service accepts connections and sends nothing.
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = first.at;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.is_asked();
    request_until(address, "old");
    config.discovery = second.local_addr().unwrap();
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let _connection = second.accept().unwrap();
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    first.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    request_until(address, "new");
}

/// The same applies to the stream of the rollout service.
#[test]
fn stage_stream_of_the_former_address_is_read_to_its_end() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let counted = || vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))];
    let (first, second) = (
        Rollouts::new("{}", counted()),
        Rollouts::new("{}", counted()),
    );
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(first.at);
    start_sidecar_with_file(file.clone(), &config);
    first.is_asked();
    config.rollouts = Some(second.at);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    second.is_asked();
    first.says(&stage_message(2, 0));
    assert!(
        second.vote(TIMEOUT).is_some(),
        "the message on the former stream was ignored"
    );
}

/// A configuration with the name of another sidecar is ignored.
#[test]
fn configuration_of_another_sidecar_is_ignored() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = || Discovery::new(listing(8, false, &[]));
    let (first, second, third) = (discovery(), discovery(), discovery());
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.is_asked();
    let other = Config {
        discovery: second.at,
        sidecars: (2, 1),
        ..Config::new(Vec::new())
    };
    std::fs::write(&file, other.json()).unwrap();
    send_sighup();
    request_until(address, "red");
    config.discovery = third.at;
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    third.is_asked();
    assert!(second.calls.try_recv().is_err());
}

/// An object may span many lines. Previously each line was treated as an object, and the watch was
/// reopened repeatedly.
#[test]
fn listing_may_span_many_lines() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let object = listing(8, true, &[Listed::new("p2", new.at)]);
    let value: serde_json::Value = serde_json::from_str(&object).unwrap();
    let discovery = Discovery::new(serde_json::to_string_pretty(&value).unwrap());
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    discovery.is_asked();
    request_until(address, "new");
    assert!(discovery.calls.try_recv().is_err());
}

/// Bytes within an object are no proof that discovery is alive. Previously each one renewed the
/// timeout.
#[test]
fn trickle_within_an_object_does_not_keep_a_watch_alive() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    start_sidecar(&config);
    discovery.is_asked();
    discovery.says_part("{");
    let deadline = Instant::now() + TIMEOUT;
    while discovery
        .calls
        .recv_timeout(Duration::from_millis(100))
        .is_err()
    {
        assert!(Instant::now() < deadline, "the watch was not closed");
        discovery.says_part(" ");
    }
}

/// A connection to a former address of a pod is not pooled for its current one. Previously it was
/// returned to the pool.
#[test]
fn connection_to_a_pods_former_address_is_not_reused() {
    let (old, new) = (
        Pod::new(vec![Does::ServesLater("old"), Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 10_000));
    assert!(old.hears().starts_with("SELECT"));
    discovery.says(&listing(9, false, &[Listed::new("p1", new.at)]));
    request_until(address, "new");
    old.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    for _ in 0..5 {
        client.asks(&statement_of_class("look", 2000));
        assert_eq!(client.hears(), Answer::Row("new".into()));
    }
}

/// An attempt that has not been sent when its pod is listed as draining is not sent. Previously it
/// waited for the pod.
#[test]
fn unsent_attempt_does_not_go_to_a_draining_pod() {
    let old = Pod::new(vec![Does::LivesLater("old"), Does::Waits]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config {
        connect: 30.0,
        ..Config::new(vec![Listed::new("p1", old.at)])
    };
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(address);
    client.asks(&statement_for_row("first", "pay", 10_000));
    assert_eq!(old.hears(), "empty");
    discovery.says(&listing(
        9,
        false,
        &[Listed {
            health: "terminating",
            ..Listed::new("p1", old.at)
        }],
    ));
    // No other pod is available. The sidecar reports that the request never ran long before its
    // deadline.
    assert!(client.has_come(Duration::from_secs(5)));
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    old.go_on.send(()).unwrap();
    assert_eq!(old.hears(), "gone");
}

/// The same applies to an attempt to a build that is rolled back meanwhile.
#[test]
fn unsent_attempt_does_not_go_to_a_build_that_is_rolled_back() {
    let rollouts = Rollouts::new(
        &stage_message(2, 0),
        vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))],
    );
    let base = Pod::new(vec![Does::Serves("base")]);
    let trial = Pod::new(vec![Does::LivesLater("trial"), Does::Waits]);
    let on_trial = Listed {
        build: 2,
        ..Listed::new("p2", trial.at)
    };
    let mut config = Config {
        connect: 30.0,
        ..Config::new(vec![Listed::new("p1", base.at), on_trial])
    };
    config.rollouts = Some(rollouts.at);
    let address = start_sidecar(&config);
    rollouts.vote(TIMEOUT).expect("a hold vote");
    let mut client = Client::new(address);
    let deadline = Instant::now() + TIMEOUT;
    // Requests are served by the base build until one is assigned to the build on trial.
    'requests: loop {
        client.asks(&statement_of_class("look", 10_000));
        while !client.has_come(Duration::from_millis(20)) {
            assert!(
                Instant::now() < deadline,
                "no request was assigned to the build on trial"
            );
            if trial.seen.try_recv().is_ok() {
                break 'requests;
            }
        }
        client.hears();
    }
    rollouts.says(&format!(
        r#"{{"type":"news","object":{}}}"#,
        state(2, 0, "Aborting", 0.0)
    ));
    assert!(client.has_come(Duration::from_secs(5)));
    assert_ne!(client.hears(), Answer::Row("trial".into()));
    trial.go_on.send(()).unwrap();
    assert_eq!(trial.hears(), "gone");
}

/// A pod leaves and returns at the same address with another build: the answer to an attempt at the
/// earlier incarnation is still valid, and the connection is not pooled for the new one.
#[test]
fn connection_to_an_earlier_incarnation_is_not_pooled() {
    let pod = Pod::new(vec![Does::ServesLater("old"), Does::Serves("new")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    let address = start_sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 10_000));
    assert!(pod.hears().starts_with("SELECT"));
    discovery.says(&listing(
        9,
        false,
        &[Listed {
            health: "terminated",
            ..Listed::new("p1", pod.at)
        }],
    ));
    discovery.says(&listing(
        10,
        false,
        &[Listed {
            build: 2,
            ..Listed::new("p1", pod.at)
        }],
    ));
    request_until(address, "new");
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    while pod.hears() != "gone" {}
}

/// A vote sent to the former address of the rollout service without a reply is sent again to the
/// new one.
#[test]
fn vote_in_flight_during_a_reload_is_sent_again() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = Rollouts::new(&stage_message(2, 0), vec![Vote::Waits]);
    let second = Rollouts::new("{}", vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(first.at);
    start_sidecar_with_file(file.clone(), &config);
    first.vote(TIMEOUT).expect("a hold vote");
    config.rollouts = Some(second.at);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let repeated = second.vote(TIMEOUT).expect("a repeated vote");
    assert!(repeated.contains("pause"), "{repeated}");
}

/// A listing immediately before invalid bytes is applied: the watch is reopened from its version.
/// Previously both were discarded.
#[test]
fn listing_before_invalid_bytes_is_applied() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = listing(8, true, &[Listed::new("p1", pod.at)]);
    let discovery = Discovery::new(format!("{first}\u{0}noise"));
    let address = start_sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    assert!(discovery.is_asked().contains("since=8 "));
    request_until(address, "red");
}
