//! Discovery, the rollout service, and reloads of the configuration.

use crate::helpers::{ask, ask_of, sidecar, sidecar_of};
use limewing_emulators::platform::{
    listing, state, Answer, Client, Config, Discovery, Does, Listed, Pod, Rollouts, Vote,
};
use limewing_postgres_proxy::service::Service;
use rstest::rstest;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(15);

/// Sends requests until the answer is `wanted`.
fn request_until(at: std::net::SocketAddr, wanted: &str) {
    let mut client = Client::new(at);
    let end = Instant::now() + SOON;
    while Instant::now() < end {
        client.asks(&ask("look", 1000));
        if client.hears() == Answer::Row(wanted.into()) {
            return;
        }
    }
    panic!("never {wanted}");
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
    let at = sidecar(&config);
    assert!(discovery
        .is_asked()
        .starts_with("GET /api/targets?follow=1&since=7 "));
    request_until(at, "old");
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    discovery.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    request_until(at, "new");
    // A watch that ends is opened again, from the version that was applied last.
    discovery.cuts();
    assert!(discovery.is_asked().contains("since=9 "));
}

#[test]
fn unreadable_watch_is_opened_again() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new("{\"seq\":\"what\"".into());
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    for _ in 0..2 {
        assert!(discovery.is_asked().contains("since=7 "));
    }
    request_until(at, "red");
}

#[rstest]
#[case::counted(Vote::Says(200, state(2, 0, "Progressing", 0.5)), false)]
#[case::moot(Vote::Says(409, "{\"error\":\"STALE\"}".into()), false)]
#[case::full(Vote::Says(429, "{\"error\":\"BUSY\"}".into()), true)]
#[case::failed(Vote::Says(500, "{\"error\":\"FAILED\"}".into()), true)]
#[case::noise(Vote::Raw(b"\x00\x01what"), true)]
#[case::part(
    Vote::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"Revi"),
    true
)]
#[case::other(Vote::Says(200, "<html>".into()), true)]
#[case::silence(Vote::Waits, true)]
fn vote_that_did_not_count_is_cast_again(#[case] vote: Vote, #[case] again: bool) {
    let rollouts = Rollouts::new(
        &stage_message(2, 0),
        vec![vote, Vote::Says(200, state(2, 0, "Progressing", 0.5))],
    );
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    sidecar(&config);
    let first = rollouts.vote(SOON).expect("a vote to hold");
    assert!(
        first.ends_with(r#"{"Revision":2,"Wave":0,"Decision":"pause"}"#),
        "{first}"
    );
    // A vote stands for four seconds, and is renewed before it expires; what comes earlier is a retry.
    assert_eq!(rollouts.vote(Duration::from_millis(2200)).is_some(), again);
}

/// Errors are evidence against the build on trial; malformed answers, which any pod may give, are not.
#[rstest]
#[case::errors(Does::Errs("XX000"), true)]
#[case::malformed(Does::Says(vec![0, 1, 2]), false)]
fn malformed_answers_are_no_evidence_against_a_build(#[case] bad: Does, #[case] back: bool) {
    let rollouts = Rollouts::new(
        &stage_message(2, 0),
        vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))],
    );
    let good = Pod::new(vec![Does::Serves("red")]);
    let half = [Does::Serves("red"), bad];
    let trial = Pod::new(half.iter().cycle().take(400).cloned().collect());
    let on_trial = Listed {
        build: 2,
        ..Listed::new("p2", trial.at)
    };
    let mut config = Config::new(vec![Listed::new("p1", good.at), on_trial]);
    config.rollouts = Some(rollouts.at);
    let at = sidecar(&config);
    rollouts.vote(SOON).expect("a vote to hold");
    let mut client = Client::new(at);
    for _ in 0..150 {
        client.asks(&ask("look", 2000));
        client.hears();
    }
    let votes = std::iter::from_fn(|| rollouts.vote(Duration::from_millis(1500)));
    assert_eq!(votes.take(5).any(|vote| vote.contains("abort")), back);
}

fn stage_message(build: u16, stage: u8) -> String {
    format!(
        r#"{{"type":"news","object":{}}}"#,
        state(build, stage, "Progressing", 0.5)
    )
}

#[rstest]
#[case::unreadable("{\"type\":")]
#[case::other_bytes("\u{0}\u{1}")]
#[case::too_long(&"x".repeat(100_000))]
fn unreadable_stage_stream_is_opened_again(#[case] line: &str) {
    let rollouts = Rollouts::new("{}", vec![Vote::Waits]);
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    sidecar(&config);
    rollouts.is_asked();
    rollouts.says(line);
    rollouts.is_asked();
    rollouts.says(&stage_message(2, 0));
    assert!(rollouts.vote(SOON).is_some());
}

/// The services of a new configuration are called at once, and the watch continues from the known version.
#[test]
fn reload_follows_moved_services() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let (first, second) = (
        Discovery::new(listing(8, false, &[])),
        Discovery::new(listing(9, false, &[])),
    );
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let at = sidecar_of(file.clone(), &config);
    first.is_asked();
    config.discovery = second.at;
    std::fs::write(&file, "half a fi").unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    request_until(at, "red");
    std::fs::write(&file, config.json()).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    assert!(second.is_asked().contains("since=8 "));
    request_until(at, "red");
}

#[test]
fn error_of_a_configuration_names_its_file() {
    let trouble = Service::start(PathBuf::from("nowhere.json"))
        .map(|_| ())
        .unwrap_err();
    assert!(trouble.to_string().starts_with("nowhere.json: "));
}

fn send_sighup() {
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
}

/// What discovery writes to the former watch after a reload counts as known: it is read until it ends. Once the former
/// watch was closed at once.
#[test]
fn watch_on_the_former_address_is_read_to_its_end() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let first = Discovery::new(listing(8, false, &[]));
    // Accepts connections and sends nothing.
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = first.at;
    let at = sidecar_of(file.clone(), &config);
    first.is_asked();
    request_until(at, "old");
    config.discovery = second.local_addr().unwrap();
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let _asked = second.accept().unwrap();
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    first.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    request_until(at, "new");
}

/// The same for the stream of the rollout service.
#[test]
fn stage_stream_of_the_former_address_is_read_to_its_end() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let counts = || vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))];
    let (first, second) = (Rollouts::new("{}", counts()), Rollouts::new("{}", counts()));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(first.at);
    sidecar_of(file.clone(), &config);
    first.is_asked();
    config.rollouts = Some(second.at);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    second.is_asked();
    first.says(&stage_message(2, 0));
    assert!(
        second.vote(SOON).is_some(),
        "what the old stream told is not known"
    );
}

/// A configuration with another sidecar's name is ignored.
#[test]
fn configuration_of_another_sidecar_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = || Discovery::new(listing(8, false, &[]));
    let (first, second, third) = (discovery(), discovery(), discovery());
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let at = sidecar_of(file.clone(), &config);
    first.is_asked();
    let others = Config {
        discovery: second.at,
        sidecars: (2, 1),
        ..Config::new(Vec::new())
    };
    std::fs::write(&file, others.json()).unwrap();
    send_sighup();
    request_until(at, "red");
    config.discovery = third.at;
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    third.is_asked();
    assert!(second.calls.try_recv().is_err());
}

/// An object may span many lines. Once each line was taken for an object, and the watch was opened again and again.
#[test]
fn listing_may_span_many_lines() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let told = listing(8, true, &[Listed::new("p2", new.at)]);
    let value: serde_json::Value = serde_json::from_str(&told).unwrap();
    let discovery = Discovery::new(serde_json::to_string_pretty(&value).unwrap());
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    discovery.is_asked();
    request_until(at, "new");
    assert!(discovery.calls.try_recv().is_err());
}

/// Bytes within one object are no sign of life. Once each renewed the timeout.
#[test]
fn trickle_within_an_object_does_not_keep_a_watch_alive() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    sidecar(&config);
    discovery.is_asked();
    discovery.says_part("{");
    let end = Instant::now() + SOON;
    while discovery
        .calls
        .recv_timeout(Duration::from_millis(100))
        .is_err()
    {
        assert!(Instant::now() < end, "the watch is kept");
        discovery.says_part(" ");
    }
}

/// A connection to a pod's former address is not pooled for its present one. Once it was returned to the pool.
#[test]
fn connection_to_a_pods_former_address_is_not_reused() {
    let (old, new) = (
        Pod::new(vec![Does::ServesLater("old"), Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(at);
    client.asks(&ask("look", 10_000));
    assert!(old.hears().starts_with("SELECT"));
    discovery.says(&listing(9, false, &[Listed::new("p1", new.at)]));
    request_until(at, "new");
    old.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    for _ in 0..5 {
        client.asks(&ask("look", 2000));
        assert_eq!(client.hears(), Answer::Row("new".into()));
    }
}

/// An attempt that was not sent when its pod is listed as draining is not sent. Once it waited for the pod.
#[test]
fn unsent_attempt_does_not_go_to_a_draining_pod() {
    let old = Pod::new(vec![Does::LivesLater("old"), Does::Waits]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config {
        connect: 30.0,
        ..Config::new(vec![Listed::new("p1", old.at)])
    };
    config.discovery = discovery.at;
    let at = sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(at);
    client.asks(&ask_of("first", "pay", 10_000));
    assert_eq!(old.hears(), "empty");
    discovery.says(&listing(
        9,
        false,
        &[Listed {
            health: "terminating",
            ..Listed::new("p1", old.at)
        }],
    ));
    // No pod is left for it. That it never ran is known long before its deadline.
    assert!(client.has_come(Duration::from_secs(5)));
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    old.go_on.send(()).unwrap();
    assert_eq!(old.hears(), "gone");
}

/// Nor is one to a build that is rolled back meanwhile.
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
    let at = sidecar(&config);
    rollouts.vote(SOON).expect("a vote to hold");
    let mut client = Client::new(at);
    let end = Instant::now() + SOON;
    // Requests are served by the base build, until one is meant for the trial.
    'asks: loop {
        client.asks(&ask("look", 10_000));
        while !client.has_come(Duration::from_millis(20)) {
            assert!(Instant::now() < end, "nothing is meant for the trial");
            if trial.seen.try_recv().is_ok() {
                break 'asks;
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

/// A pod left and is back under the same address with another build: the answer to an attempt at its earlier incarnation
/// still counts, and the connection is not pooled for the new one.
#[test]
fn connection_to_an_earlier_incarnation_is_not_pooled() {
    let pod = Pod::new(vec![Does::ServesLater("old"), Does::Serves("new")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    discovery.is_asked();
    let mut client = Client::new(at);
    client.asks(&ask("look", 10_000));
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
    request_until(at, "new");
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    while pod.hears() != "gone" {}
}

/// A vote to the former address of the rollout service that has no reply is cast again at the new one.
#[test]
fn vote_that_crosses_a_reload_is_cast_again() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = Rollouts::new(&stage_message(2, 0), vec![Vote::Waits]);
    let second = Rollouts::new("{}", vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(first.at);
    sidecar_of(file.clone(), &config);
    first.vote(SOON).expect("a vote to hold");
    config.rollouts = Some(second.at);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let again = second.vote(SOON).expect("the vote once more");
    assert!(again.contains("pause"), "{again}");
}

/// A listing right before unreadable bytes counts: the watch is opened again from its version. Once both were thrown away.
#[test]
fn listing_right_before_unreadable_bytes_is_applied() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = listing(8, true, &[Listed::new("p1", pod.at)]);
    let discovery = Discovery::new(format!("{first}\u{0}noise"));
    let at = sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    assert!(discovery.is_asked().contains("since=8 "));
    request_until(at, "red");
}
