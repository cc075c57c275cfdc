//! Tests discovery, the rollout service, and reloads of the configuration.

use crate::helpers::{
    start_sidecar, start_sidecar_with_file, statement_for_row, statement_of_class,
};
use limewing_emulators::platform::{
    endpoint_listing_json, rollout_state_json, Answer, Client, Discovery, ListedPod, Pod,
    PodBehavior, RolloutService, SidecarConfigFile, VoteReplyScript,
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
        client.send_query(&statement_of_class("look", 1000));
        if client.read_answer() == Answer::Row(expected.into()) {
            return;
        }
    }
    panic!("no answer {expected}");
}

#[test]
fn watch_continues_from_the_known_version() {
    let (old, new) = (
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    assert!(discovery
        .next_request()
        .starts_with("GET /api/targets?follow=1&since=7 "));
    request_until(address, "old");
    let gone = ListedPod {
        state: "terminated",
        ..ListedPod::new("p1", old.address)
    };
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[gone, ListedPod::new("p2", new.address)],
    ));
    request_until(address, "new");
    // A watch that ends is reopened from the last applied version.
    discovery.close_watches();
    assert!(discovery.next_request().contains("since=9 "));
}

#[test]
fn malformed_watch_is_reopened() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let discovery = Discovery::new("{\"seq\":\"what\"".into());
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    request_until(address, "red");
    for _ in 0..2 {
        assert!(discovery.next_request().contains("since=7 "));
    }
    // The pod is still used, because it has served a request since the start.
    request_until(address, "red");
}

#[rstest]
#[case::counted(
    VoteReplyScript::Reply(200, rollout_state_json(2, 0, "Progressing", 0.5)),
    false
)]
#[case::moot(VoteReplyScript::Reply(409, "{\"error\":\"STALE\"}".into()), false)]
#[case::full(VoteReplyScript::Reply(429, "{\"error\":\"BUSY\"}".into()), true)]
#[case::failed(VoteReplyScript::Reply(500, "{\"error\":\"FAILED\"}".into()), true)]
#[case::binary(VoteReplyScript::Raw(b"\x00\x01what"), true)]
#[case::incomplete(
    VoteReplyScript::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"Revi"),
    true
)]
#[case::not_json(VoteReplyScript::Reply(200, "<html>".into()), true)]
#[case::no_reply(VoteReplyScript::NoReply, true)]
fn vote_that_was_not_counted_is_sent_again(
    #[case] vote: VoteReplyScript,
    #[case] is_repeated: bool,
) {
    let rollouts = RolloutService::new(
        &stage_message(2, 0),
        vec![
            vote,
            VoteReplyScript::Reply(200, rollout_state_json(2, 0, "Progressing", 0.5)),
        ],
    );
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.rollouts = Some(rollouts.address);
    start_sidecar(config);
    let first = rollouts.next_vote(TIMEOUT).expect("a hold vote");
    assert!(
        first.ends_with(r#"{"Revision":2,"Wave":0,"Decision":"pause"}"#),
        "{first}"
    );
    // A vote is valid for four seconds, and is renewed before it expires; an earlier one is a
    // retry.
    assert_eq!(
        rollouts.next_vote(Duration::from_millis(2200)).is_some(),
        is_repeated
    );
}

/// Errors are evidence against the build on trial; malformed answers, which any pod may give, are not.
#[rstest]
#[case::errors(PodBehavior::Error("XX000"), true)]
#[case::malformed(PodBehavior::SendBytes(vec![0, 1, 2]), false)]
fn malformed_answers_are_no_evidence_against_a_build(
    #[case] faulty: PodBehavior,
    #[case] expects_rollback: bool,
) {
    let rollouts = RolloutService::new(
        &stage_message(2, 0),
        vec![VoteReplyScript::Reply(
            200,
            rollout_state_json(2, 0, "Progressing", 0.5),
        )],
    );
    let base = Pod::new(vec![PodBehavior::Answer("red")]);
    let behaviors = [PodBehavior::Answer("red"), faulty];
    let trial = Pod::new(behaviors.iter().cycle().take(400).cloned().collect());
    let on_trial = ListedPod {
        build: 2,
        ..ListedPod::new("p2", trial.address)
    };
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", base.address), on_trial]);
    config.rollouts = Some(rollouts.address);
    let address = start_sidecar(config);
    rollouts.next_vote(TIMEOUT).expect("a hold vote");
    let mut client = Client::new(address);
    for _ in 0..150 {
        client.send_query(&statement_of_class("look", 2000));
        client.read_answer();
    }
    let votes = std::iter::from_fn(|| rollouts.next_vote(Duration::from_millis(1500)));
    assert_eq!(
        votes.take(5).any(|vote| vote.contains("abort")),
        expects_rollback
    );
}

fn stage_message(build: u16, stage: u8) -> String {
    format!(
        r#"{{"type":"news","object":{}}}"#,
        rollout_state_json(build, stage, "Progressing", 0.5)
    )
}

#[rstest]
#[case::incomplete_json("{\"type\":")]
#[case::binary("\u{0}\u{1}")]
#[case::too_long(&"x".repeat(100_000))]
fn malformed_stage_stream_is_reopened(#[case] line: &str) {
    let rollouts = RolloutService::new("{}", vec![VoteReplyScript::NoReply]);
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.rollouts = Some(rollouts.address);
    start_sidecar(config);
    rollouts.await_stream_request();
    rollouts.send_line(line);
    rollouts.await_stream_request();
    rollouts.send_line(&stage_message(2, 0));
    assert!(rollouts.next_vote(TIMEOUT).is_some());
}

/// The services of a new configuration are called immediately, and the watch continues from the
/// known version.
#[test]
fn reload_follows_moved_services() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let (first, second) = (
        Discovery::new(endpoint_listing_json(8, false, &[])),
        Discovery::new(endpoint_listing_json(9, false, &[])),
    );
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = first.address;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.next_request();
    config.discovery = second.address;
    std::fs::write(&file, "half a fi").unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    request_until(address, "red");
    std::fs::write(&file, config.json()).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    assert!(second.next_request().contains("since=8 "));
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
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let first = Discovery::new(endpoint_listing_json(8, false, &[]));
    // This service accepts connections and sends nothing.
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.discovery = first.address;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.next_request();
    request_until(address, "old");
    config.discovery = second.local_addr().unwrap();
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let _connection = second.accept().unwrap();
    let gone = ListedPod {
        state: "terminated",
        ..ListedPod::new("p1", old.address)
    };
    first.send_object(&endpoint_listing_json(
        9,
        false,
        &[gone, ListedPod::new("p2", new.address)],
    ));
    request_until(address, "new");
}

/// The same applies to the stream of the rollout service.
#[test]
fn stage_stream_of_the_former_address_is_read_to_its_end() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let counted = || {
        vec![VoteReplyScript::Reply(
            200,
            rollout_state_json(2, 0, "Progressing", 0.5),
        )]
    };
    let (first, second) = (
        RolloutService::new("{}", counted()),
        RolloutService::new("{}", counted()),
    );
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.rollouts = Some(first.address);
    start_sidecar_with_file(file.clone(), &config);
    first.await_stream_request();
    config.rollouts = Some(second.address);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    second.await_stream_request();
    first.send_line(&stage_message(2, 0));
    assert!(
        second.next_vote(TIMEOUT).is_some(),
        "the message on the former stream was ignored"
    );
}

/// A configuration with the name of another sidecar is ignored.
#[test]
fn configuration_of_another_sidecar_is_ignored() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let discovery = || Discovery::new(endpoint_listing_json(8, false, &[]));
    let (first, second, third) = (discovery(), discovery(), discovery());
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = first.address;
    let address = start_sidecar_with_file(file.clone(), &config);
    first.next_request();
    let other = SidecarConfigFile {
        discovery: second.address,
        count_and_index: (2, 1),
        ..SidecarConfigFile::new(Vec::new())
    };
    std::fs::write(&file, other.json()).unwrap();
    send_sighup();
    request_until(address, "red");
    config.discovery = third.address;
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    third.next_request();
    assert!(second.requests.try_recv().is_err());
}

/// An object may span many lines. Previously each line was treated as an object, and the watch was
/// reopened repeatedly.
#[test]
fn listing_may_span_many_lines() {
    let (old, new) = (
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let object = endpoint_listing_json(8, true, &[ListedPod::new("p2", new.address)]);
    let value: serde_json::Value = serde_json::from_str(&object).unwrap();
    let discovery = Discovery::new(serde_json::to_string_pretty(&value).unwrap());
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    discovery.next_request();
    request_until(address, "new");
    assert!(discovery.requests.try_recv().is_err());
}

/// Bytes within an object are no proof that discovery is alive. Previously each one renewed the
/// timeout.
#[test]
fn trickle_within_an_object_does_not_keep_a_watch_alive() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = discovery.address;
    start_sidecar(config);
    discovery.next_request();
    discovery.send_bytes("{");
    let deadline = Instant::now() + TIMEOUT;
    while discovery
        .requests
        .recv_timeout(Duration::from_millis(100))
        .is_err()
    {
        assert!(Instant::now() < deadline, "the watch was not closed");
        discovery.send_bytes(" ");
    }
}

/// A connection to a former address of a pod is not pooled for its current one. Previously it was
/// returned to the pool.
#[test]
fn connection_to_a_pods_former_address_is_not_reused() {
    let (old, new) = (
        Pod::new(vec![
            PodBehavior::AnswerAfterSignal("old"),
            PodBehavior::Answer("old"),
        ]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    discovery.next_request();
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 10_000));
    assert!(old.next_event().starts_with("SELECT"));
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[ListedPod::new("p1", new.address)],
    ));
    request_until(address, "new");
    old.resume.send(()).unwrap();
    assert_eq!(client.read_answer(), Answer::Row("old".into()));
    for _ in 0..5 {
        client.send_query(&statement_of_class("look", 2000));
        assert_eq!(client.read_answer(), Answer::Row("new".into()));
    }
}

/// An attempt that has not been sent when its pod is listed as draining is not sent. Previously it
/// waited for the pod.
#[test]
fn unsent_attempt_does_not_go_to_a_draining_pod() {
    let old = Pod::new(vec![
        PodBehavior::AnswerEmptyQueryAfterSignal("old"),
        PodBehavior::NoAnswer,
    ]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile {
        connect_timeout_s: 30.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)])
    };
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    discovery.next_request();
    let mut client = Client::new(address);
    client.send_query(&statement_for_row("first", "pay", 10_000));
    assert_eq!(old.next_event(), "empty");
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[ListedPod {
            state: "terminating",
            ..ListedPod::new("p1", old.address)
        }],
    ));
    // No other pod is available. The sidecar reports that the request never ran long before its
    // deadline.
    assert!(client.has_input_within(Duration::from_secs(5)));
    assert!(matches!(client.read_answer(), Answer::Error(code, _) if code == "53300"));
    old.resume.send(()).unwrap();
    assert_eq!(old.next_event(), "gone");
}

/// The same applies to an attempt to a build that is rolled back meanwhile.
#[test]
fn unsent_attempt_does_not_go_to_a_build_that_is_rolled_back() {
    let rollouts = RolloutService::new(
        &stage_message(2, 0),
        vec![VoteReplyScript::Reply(
            200,
            rollout_state_json(2, 0, "Progressing", 0.5),
        )],
    );
    let base = Pod::new(vec![PodBehavior::Answer("base")]);
    let trial = Pod::new(vec![
        PodBehavior::AnswerEmptyQueryAfterSignal("trial"),
        PodBehavior::NoAnswer,
    ]);
    let on_trial = ListedPod {
        build: 2,
        ..ListedPod::new("p2", trial.address)
    };
    let mut config = SidecarConfigFile {
        connect_timeout_s: 30.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", base.address), on_trial])
    };
    config.rollouts = Some(rollouts.address);
    let address = start_sidecar(config);
    rollouts.next_vote(TIMEOUT).expect("a hold vote");
    let mut client = Client::new(address);
    let deadline = Instant::now() + TIMEOUT;
    // Requests are served by the base build until one is assigned to the build on trial.
    'requests: loop {
        client.send_query(&statement_of_class("look", 10_000));
        while !client.has_input_within(Duration::from_millis(20)) {
            assert!(
                Instant::now() < deadline,
                "no request was assigned to the build on trial"
            );
            if trial.events.try_recv().is_ok() {
                break 'requests;
            }
        }
        client.read_answer();
    }
    rollouts.send_line(&format!(
        r#"{{"type":"news","object":{}}}"#,
        rollout_state_json(2, 0, "Aborting", 0.0)
    ));
    assert!(client.has_input_within(Duration::from_secs(5)));
    assert_ne!(client.read_answer(), Answer::Row("trial".into()));
    trial.resume.send(()).unwrap();
    assert_eq!(trial.next_event(), "gone");
}

/// A pod leaves and returns at the same address with another build: the answer to an attempt at the
/// earlier incarnation is still valid, and the connection is not pooled for the new one.
#[test]
fn connection_to_an_earlier_incarnation_is_not_pooled() {
    let pod = Pod::new(vec![
        PodBehavior::AnswerAfterSignal("old"),
        PodBehavior::Answer("new"),
    ]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = discovery.address;
    let address = start_sidecar(config);
    discovery.next_request();
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 10_000));
    assert!(pod.next_event().starts_with("SELECT"));
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[ListedPod {
            state: "terminated",
            ..ListedPod::new("p1", pod.address)
        }],
    ));
    discovery.send_object(&endpoint_listing_json(
        10,
        false,
        &[ListedPod {
            build: 2,
            ..ListedPod::new("p1", pod.address)
        }],
    ));
    request_until(address, "new");
    pod.resume.send(()).unwrap();
    assert_eq!(client.read_answer(), Answer::Row("old".into()));
    while pod.next_event() != "gone" {}
}

/// A vote sent to the former address of the rollout service without a reply is sent again to the
/// new one.
#[test]
fn vote_in_flight_during_a_reload_is_sent_again() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let first = RolloutService::new(&stage_message(2, 0), vec![VoteReplyScript::NoReply]);
    let second = RolloutService::new(
        "{}",
        vec![VoteReplyScript::Reply(
            200,
            rollout_state_json(2, 0, "Progressing", 0.5),
        )],
    );
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.rollouts = Some(first.address);
    start_sidecar_with_file(file.clone(), &config);
    first.next_vote(TIMEOUT).expect("a hold vote");
    config.rollouts = Some(second.address);
    std::fs::write(&file, config.json()).unwrap();
    send_sighup();
    let repeated = second.next_vote(TIMEOUT).expect("a repeated vote");
    assert!(repeated.contains("pause"), "{repeated}");
}

/// A listing immediately before invalid bytes is applied: the watch is reopened from its version.
/// Previously both were discarded.
#[test]
fn listing_before_invalid_bytes_is_applied() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let first = endpoint_listing_json(8, true, &[ListedPod::new("p1", pod.address)]);
    let discovery = Discovery::new(format!("{first}\u{0}noise"));
    let address = start_sidecar(SidecarConfigFile {
        discovery: discovery.address,
        ..SidecarConfigFile::new(Vec::new())
    });
    discovery.next_request();
    assert!(discovery.next_request().contains("since=8 "));
    request_until(address, "red");
}
