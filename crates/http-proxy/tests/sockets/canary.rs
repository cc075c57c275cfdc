//! Canary traffic and votes when attempts at the canary or votes to the rollout service fail.

use crate::support::{
    settings, spawn, state_file_with_builds, Client, Pod, PodAction, RolloutService, VoteAction,
    OK_RESPONSE,
};
use limewing_http_proxy::service::Service;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const CANARY_STATE: &str = r#"{"number":1,"build":2,"stage":0,"phase":"on_trial","cap":1}"#;

/// Starts a sidecar with these pods and builds, and this rollout service.
fn sidecar(pods: &[(SocketAddr, u16)], rollout_service: &RolloutService) -> SocketAddr {
    let mut settings = settings();
    settings.state_file = Some(state_file_with_builds(pods));
    settings.rollout_service = Some(rollout_service.settings());
    spawn(Service::start(&settings).unwrap())
}

/// Counts the requests that the pods received, by the `Number` header.
fn count_requests_by_number(pods: &[&Pod]) -> BTreeMap<usize, usize> {
    let mut received_counts = BTreeMap::new();
    for head in pods
        .iter()
        .flat_map(|pod| pod.received.try_iter())
        .filter(|head| head != "gone")
    {
        let number = head
            .to_ascii_lowercase()
            .split("number: ")
            .nth(1)
            .map(|rest| {
                rest.split("\r\n")
                    .next()
                    .and_then(|number| number.parse().ok())
                    .expect("a number")
            });
        *received_counts
            .entry(number.expect("a number"))
            .or_default() += 1;
    }
    received_counts
}

/// Whatever the outcome of an attempt at the canary, its request gets exactly one response, and a non-idempotent request
/// runs at most once.
#[rstest]
#[case::reset_before_the_first_byte(PodAction::RespondAndClose(""), true)]
#[case::reset_in_the_head(PodAction::RespondAndClose("HTTP/1.1 20"), true)]
#[case::reset_in_the_body(
    PodAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"),
    true
)]
#[case::malformed_response(PodAction::Respond("what do you want?\r\n\r\n"), true)]
#[case::server_error(
    PodAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::no_response(PodAction::StaySilent, true)]
#[case::not_started(
    PodAction::Respond("HTTP/1.1 503 Busy\r\nLimewing-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
    false
)]
fn a_failed_attempt_at_the_canary_loses_no_response_and_runs_nothing_twice(
    #[case] bad: PodAction,
    #[case] may_have_run: bool,
) {
    let (baseline, canary) = (
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        Pod::new(vec![bad]),
    );
    let rollout_service = RolloutService::new(CANARY_STATE, vec![VoteAction::Counted]);
    let sidecar_address = sidecar(
        &[(baseline.address, 1), (canary.address, 2)],
        &rollout_service,
    );
    rollout_service.wait_for_first_vote();
    let (mut failed, mut received_counts) = (0, BTreeMap::new());
    for number in 0..60 {
        let (method, path) = if number % 2 == 0 {
            ("GET", "/quotes/1")
        } else {
            ("POST", "/charges")
        };
        let mut client = Client::new(sidecar_address);
        client.send(&format!(
            "{method} {path} HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\nNumber: {number}\r\nContent-Length: 0\r\n\r\n"
        ));
        let (head, _) = client.read_response();
        let counts = count_requests_by_number(&[&baseline, &canary]);
        let attempts = counts.get(&number).copied().unwrap_or(0);
        let succeeded = head.starts_with("HTTP/1.1 200");
        let is_harmless = head.contains("a retry is harmless");
        assert!(
            succeeded || is_harmless || head.contains("it may have run"),
            "{head}"
        );
        if method == "POST" && may_have_run {
            assert!(
                attempts <= 1 && !(attempts == 1 && is_harmless),
                "received {attempts} times: {head}"
            );
        }
        failed += usize::from(!succeeded);
        received_counts.extend(counts);
    }
    // The failing pod is ejected, and the other pod serves the requests.
    assert!(
        failed < 30 && received_counts.len() > 50,
        "{failed} failed, {} received",
        received_counts.len()
    );
}

#[test]
fn a_canary_that_refuses_connections_loses_no_request() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let baseline = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let rollout_service = RolloutService::new(CANARY_STATE, vec![VoteAction::Counted]);
    let sidecar_address = sidecar(&[(baseline.address, 1), (closed, 2)], &rollout_service);
    rollout_service.wait_for_first_vote();
    let mut client = Client::new(sidecar_address);
    for _ in 0..40 {
        client.send("POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        let (head, _) = client.read_response();
        assert!(
            head.starts_with("HTTP/1.1 200") || head.contains("a retry is harmless"),
            "{head}"
        );
    }
}

/// An ejected canary pod is health-checked, because a single lost connection must not end the trial of the build.
#[test]
fn an_ejected_canary_pod_is_health_checked_and_used_again() {
    let script = vec![
        PodAction::Respond(OK_RESPONSE),
        PodAction::RespondAndClose(""),
        PodAction::Respond(OK_RESPONSE),
    ];
    let (baseline, canary) = (
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        Pod::new(script),
    );
    let rollout_service = RolloutService::new(CANARY_STATE, vec![VoteAction::Counted]);
    let sidecar_address = sidecar(
        &[(baseline.address, 1), (canary.address, 2)],
        &rollout_service,
    );
    rollout_service.wait_for_first_vote();
    let mut client = Client::new(sidecar_address);
    let is_used_again = (0..1500).any(|_| {
        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
        client.read_response();
        std::thread::sleep(Duration::from_millis(2));
        canary
            .received
            .try_iter()
            .filter(|head| head != "gone")
            .count()
            > 0
            && canary.request_count() > 4
    });
    assert!(
        is_used_again,
        "received {} requests",
        canary.request_count()
    );
}

/// `first` is the handling of the first vote, `again` is whether the sidecar has to repeat the vote.
#[rstest]
#[case::counted(VoteAction::Counted, false)]
#[case::moot(VoteAction::Moot, false)]
#[case::closed_connection(VoteAction::Close, true)]
#[case::rejected(
    VoteAction::Respond("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::server_error(
    VoteAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::malformed_response(VoteAction::Respond("what do you want?\r\n\r\n"), true)]
#[case::truncated_reply(
    VoteAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"ans"),
    true
)]
#[case::no_reply(VoteAction::StaySilent, true)]
fn a_vote_is_repeated_only_if_it_may_not_be_counted(
    #[case] first: VoteAction,
    #[case] again: bool,
) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let rollout_service = RolloutService::new(CANARY_STATE, vec![first, VoteAction::Counted]);
    sidecar(&[(pod.address, 1)], &rollout_service);
    let (first_at, body) = rollout_service
        .next_vote(Duration::from_secs(5))
        .expect("a vote");
    assert!(
        body.contains("\"hold\"") && body.contains("\"stage\":0"),
        "{body}"
    );
    let second = rollout_service.next_vote(Duration::from_millis(1800));
    assert_eq!(second.is_some(), again, "{second:?}");
    if let Some((second_at, _)) = second {
        assert!(
            second_at - first_at >= Duration::from_millis(250),
            "{:?} apart",
            second_at - first_at
        );
        assert!(
            rollout_service
                .next_vote(Duration::from_millis(600))
                .is_none(),
            "a third vote after a counted one"
        );
    }
}

#[test]
fn a_late_reply_to_a_vote_does_not_apply_to_the_next_stage() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let rollout_service = RolloutService::new(
        CANARY_STATE,
        vec![VoteAction::CountOnSignal, VoteAction::Counted],
    );
    sidecar(&[(pod.address, 1)], &rollout_service);
    rollout_service
        .next_vote(Duration::from_secs(5))
        .expect("a vote");
    rollout_service.send(r#"{"number":2,"build":2,"stage":1,"phase":"on_trial","cap":1}"#);
    rollout_service.resume.send(()).unwrap();
    let (_, body) = rollout_service
        .next_vote(Duration::from_secs(3))
        .expect("a vote for the next stage");
    assert!(body.contains("\"stage\":1"), "{body}");
}

/// The rollout service does not number its changes, and answers a vote late: the reply was written before the lower cap was announced.
/// Guards against a cap that a late reply raises again (as review case 6 does to the other proxy).
#[test]
fn a_late_reply_without_a_number_does_not_raise_the_cap() {
    const ANNOUNCED: &str = r#"{"build":2,"stage":0,"phase":"on_trial","cap":1}"#;
    const LOWERED: &str = r#"{"build":2,"stage":0,"phase":"on_trial","cap":0}"#;
    let (baseline, canary) = (
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
    );
    let rollout_service = RolloutService::new(
        ANNOUNCED,
        vec![
            VoteAction::CountWithStateOnSignal(ANNOUNCED),
            VoteAction::Counted,
        ],
    );
    let address = sidecar(
        &[(baseline.address, 1), (canary.address, 2)],
        &rollout_service,
    );
    rollout_service.wait_for_first_vote();
    let mut client = Client::new(address);
    let mut reaches_canary = || {
        let before = canary.request_count();
        for _ in 0..60 {
            client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
            client.read_response();
        }
        canary.request_count() > before
    };
    rollout_service.send(LOWERED);
    while reaches_canary() {}
    rollout_service.resume.send(()).unwrap();
    // The vote is renewed, so that its reply was read.
    rollout_service
        .next_vote(Duration::from_secs(5))
        .expect("a renewed vote");
    assert!(!reaches_canary());
}
