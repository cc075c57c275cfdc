//! Discovery, rollouts, and new configurations.

use crate::help::{ask, sidecar, sidecar_of};
use limewing_platform::service::Service;
use limewing_standins::platform::{
    listing, state, Answer, Client, Config, Discovery, Does, Listed, Pod, Rollouts, Vote,
};
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(15);

/// Asks until the answer is that one.
fn asks_until(at: std::net::SocketAddr, wanted: &str) {
    let mut client = Client::new(at);
    loop {
        client.asks(&ask("look", 1000));
        if client.hears() == Answer::Row(wanted.into()) {
            return;
        }
    }
}

#[test]
fn a_watch_goes_on_from_what_is_known_and_tells_what_changes() {
    let (old, new) = (Pod::new(vec![Does::Serves("old")]), Pod::new(vec![Does::Serves("new")]));
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let at = sidecar(&config);
    assert!(discovery.is_asked().starts_with("GET /api/targets?follow=1&since=7 "));
    asks_until(at, "old");
    let gone = Listed { health: "terminated", ..Listed::new("p1", old.at) };
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
#[case::part(Vote::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"Revi"), true)]
#[case::other(Vote::Says(200, "<html>".into()), true)]
#[case::silence(Vote::Waits, true)]
fn a_vote_that_did_not_count_is_cast_again(#[case] vote: Vote, #[case] again: bool) {
    let rollouts = Rollouts::new(&news(2, 0), vec![vote, Vote::Says(200, state(2, 0, "Progressing", 0.5))]);
    let pod = Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.rollouts = Some(rollouts.at);
    sidecar(&config);
    let first = rollouts.vote(SOON).expect("a vote to hold");
    assert!(first.ends_with(r#"{"Revision":2,"Wave":0,"Decision":"pause"}"#), "{first}");
    // A vote stands for four seconds, and is told anew before it lapses; what comes earlier is a second try.
    assert_eq!(rollouts.vote(Duration::from_millis(2200)).is_some(), again);
}

/// Errors speak against the build on trial; answers that come spoilt, as any pod's may, do not.
#[rstest]
#[case::errors(Does::Errs("XX000"), true)]
#[case::spoilt(Does::Says(vec![0, 1, 2]), false)]
fn spoilt_answers_speak_against_no_build(#[case] bad: Does, #[case] back: bool) {
    let rollouts = Rollouts::new(&news(2, 0), vec![Vote::Says(200, state(2, 0, "Progressing", 0.5))]);
    let good = Pod::new(vec![Does::Serves("red")]);
    let half = [Does::Serves("red"), bad];
    let trial = Pod::new(half.iter().cycle().take(400).cloned().collect());
    let on_trial = Listed { build: 2, ..Listed::new("p2", trial.at) };
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
    format!(r#"{{"type":"news","object":{}}}"#, state(build, stage, "Progressing", 0.5))
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
    let (first, second) = (Discovery::new(listing(8, false, &[])), Discovery::new(listing(9, false, &[])));
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
    let trouble = Service::start(PathBuf::from("nowhere.json")).map(|_| ()).unwrap_err();
    assert!(trouble.to_string().starts_with("nowhere.json: "));
}
