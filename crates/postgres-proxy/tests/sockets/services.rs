//! Discovery, rollouts, and new configurations.

use crate::help::{ask, ask_of, sidecar, sidecar_of};
use limewing_emulators::platform::{
    listing, state, Answer, Client, Config, Discovery, Does, Listed, Pod, Rollouts, Vote,
};
use limewing_postgres_proxy::service::Service;
use rstest::rstest;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(15);

/// Asks until the answer is that one.
fn asks_until(at: std::net::SocketAddr, wanted: &str) {
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
fn a_watch_goes_on_from_what_is_known_and_tells_what_changes() {
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
    asks_until(at, "old");
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    discovery.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    asks_until(at, "new");
    // One that ends is asked for again, from what was told last.
    discovery.cuts();
    assert!(discovery.is_asked().contains("since=9 "));
}

#[test]
fn what_is_no_list_is_left_and_asked_for_again() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new("{\"seq\":\"what\"".into());
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    for _ in 0..2 {
        assert!(discovery.is_asked().contains("since=7 "));
    }
    asks_until(at, "red");
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
fn a_vote_that_did_not_count_is_cast_again(#[case] vote: Vote, #[case] again: bool) {
    let rollouts = Rollouts::new(
        &news(2, 0),
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
    // A vote stands for four seconds, and is told anew before it lapses; what comes earlier is a second try.
    assert_eq!(rollouts.vote(Duration::from_millis(2200)).is_some(), again);
}

/// Errors speak against the build on trial; answers that come spoilt, as any pod's may, do not.
#[rstest]
#[case::errors(Does::Errs("XX000"), true)]
#[case::spoilt(Does::Says(vec![0, 1, 2]), false)]
fn spoilt_answers_speak_against_no_build(#[case] bad: Does, #[case] back: bool) {
    let rollouts = Rollouts::new(
        &news(2, 0),
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

fn news(build: u16, stage: u8) -> String {
    format!(
        r#"{{"type":"news","object":{}}}"#,
        state(build, stage, "Progressing", 0.5)
    )
}

#[rstest]
#[case::unreadable("{\"type\":")]
#[case::other_bytes("\u{0}\u{1}")]
#[case::too_long(&"x".repeat(100_000))]
fn news_that_cannot_be_read_is_asked_for_again(#[case] line: &str) {
    let rollouts = Rollouts::new("{}", vec![Vote::Waits]);
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    sidecar(&config);
    rollouts.is_asked();
    rollouts.says(line);
    rollouts.is_asked();
    rollouts.says(&news(2, 0));
    assert!(rollouts.vote(SOON).is_some());
}

/// The services of a new configuration are asked at once, and the list goes on from what is known.
#[test]
fn a_new_configuration_is_followed() {
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
    asks_until(at, "red");
    std::fs::write(&file, config.json()).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
    assert!(second.is_asked().contains("since=8 "));
    asks_until(at, "red");
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_with_its_file() {
    let trouble = Service::start(PathBuf::from("nowhere.json"))
        .map(|_| ())
        .unwrap_err();
    assert!(trouble.to_string().starts_with("nowhere.json: "));
}

fn hang_up() {
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
}

/// What discovery writes to the old watch after a new configuration has come counts as told: it is read until it ends.
/// Without the mend the old watch is closed at once.
#[test]
fn an_old_watch_is_read_to_its_end() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let first = Discovery::new(listing(8, false, &[]));
    // Takes connections and says nothing.
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = first.at;
    let at = sidecar_of(file.clone(), &config);
    first.is_asked();
    asks_until(at, "old");
    config.discovery = second.local_addr().unwrap();
    std::fs::write(&file, config.json()).unwrap();
    hang_up();
    let _asked = second.accept().unwrap();
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    first.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    asks_until(at, "new");
}

/// The same of news.
#[test]
fn an_old_stream_of_news_is_read_to_its_end() {
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
    hang_up();
    second.is_asked();
    first.says(&news(2, 0));
    assert!(
        second.vote(SOON).is_some(),
        "what the old stream told is not known"
    );
}

/// One that is another sidecar's is not followed.
#[test]
fn another_sidecars_configuration_is_not_followed() {
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
    hang_up();
    asks_until(at, "red");
    config.discovery = third.at;
    std::fs::write(&file, config.json()).unwrap();
    hang_up();
    third.is_asked();
    assert!(second.calls.try_recv().is_err());
}

/// An object over many lines is as good as one on a line. Without the mend each line is taken for an object, and the watch
/// is asked for again and again.
#[test]
fn a_list_may_come_over_many_lines() {
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
    asks_until(at, "new");
    assert!(discovery.calls.try_recv().is_err());
}

/// Bytes within one object are no sign of life. Without the mend each renews the wait.
#[test]
fn a_trickle_within_an_object_does_not_keep_a_watch() {
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

/// A connection to where a pod was is not kept for where it is. Without the mend it goes back among those of the pod.
#[test]
fn a_connection_to_where_a_pod_was_is_not_used_again() {
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
    asks_until(at, "new");
    old.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    for _ in 0..5 {
        client.asks(&ask("look", 2000));
        assert_eq!(client.hears(), Answer::Row("new".into()));
    }
}

/// What has not gone out to a pod when it is told to drain goes to it no more. Without the mend it waits for the pod.
#[test]
fn what_has_not_gone_out_does_not_go_to_a_pod_that_drains() {
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
    // No pod is left for it. That it never ran is known, long before its time is up.
    assert!(client.has_come(Duration::from_secs(5)));
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    old.go_on.send(()).unwrap();
    assert_eq!(old.hears(), "gone");
}

/// Nor to a build whose cap was lowered meanwhile.
#[test]
fn what_has_not_gone_out_does_not_go_to_a_build_that_goes_back() {
    let rollouts = Rollouts::new(
        &news(2, 0),
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
    // Others are served by the base, until one is meant for the trial.
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

/// A pod that left and is back under the same address with another build: what an attempt of its earlier life answers still
/// counts, and its connection is not kept for the new one.
#[test]
fn a_connection_to_an_earlier_life_of_a_pod_is_not_kept() {
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
    asks_until(at, "new");
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("old".into()));
    while pod.hears() != "gone" {}
}

/// A vote that was out to where rollouts were before, and has no answer, is cast again where they are now.
#[test]
fn a_vote_that_crosses_a_new_configuration_is_cast_again() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = Rollouts::new(&news(2, 0), vec![Vote::Waits]);
    let second = Rollouts::new("{}", vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(first.at);
    sidecar_of(file.clone(), &config);
    first.vote(SOON).expect("a vote to hold");
    config.rollouts = Some(second.at);
    std::fs::write(&file, config.json()).unwrap();
    hang_up();
    let again = second.vote(SOON).expect("the vote once more");
    assert!(again.contains("pause"), "{again}");
}

/// A list right before noise counts: the watch is asked for again from there. Without the mend both are thrown away.
#[test]
fn a_list_right_before_noise_is_told() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = listing(8, true, &[Listed::new("p1", pod.at)]);
    let discovery = Discovery::new(format!("{first}\u{0}noise"));
    let at = sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    assert!(discovery.is_asked().contains("since=8 "));
    asks_until(at, "red");
}
