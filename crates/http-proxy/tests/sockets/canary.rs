//! A canary as its pods and the rollout service see it, when attempts and votes fail on their way.

use crate::support::{
    run, settings, state_file_of, Client, Pod, PodAction, RolloutService, VoteAction, OK_RESPONSE,
};
use limewing_http_proxy::service::Service;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const ON_TRIAL: &str = r#"{"number":1,"build":2,"stage":0,"phase":"on_trial","cap":1}"#;

/// A sidecar that knows these pods and this rollout service.
fn sidecar(pods: &[(SocketAddr, u16)], installer: &RolloutService) -> SocketAddr {
    let mut settings = settings();
    settings.state_file = Some(state_file_of(pods));
    settings.rollout_service = Some(installer.settings());
    run(Service::start(&settings).unwrap())
}

/// The numbers of the requests that pods received, each with how often.
fn numbers(pods: &[&Pod]) -> BTreeMap<usize, usize> {
    let mut heard = BTreeMap::new();
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
        *heard.entry(number.expect("a number")).or_default() += 1;
    }
    heard
}

/// However an attempt at the canary ends, its request gets one response and runs at most once, or is repeated where it is
/// idempotent.
#[rstest]
#[case::reset_before_the_first_byte(PodAction::RespondAndClose(""), true)]
#[case::reset_in_the_head(PodAction::RespondAndClose("HTTP/1.1 20"), true)]
#[case::reset_in_the_body(
    PodAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"),
    true
)]
#[case::garbage(PodAction::Respond("what do you want?\r\n\r\n"), true)]
#[case::an_error(
    PodAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::silence(PodAction::StaySilent, true)]
#[case::not_begun(
    PodAction::Respond("HTTP/1.1 503 Busy\r\nLimewing-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
    false
)]
fn a_failed_attempt_at_the_canary_loses_no_response_and_has_no_second_effect(
    #[case] bad: PodAction,
    #[case] may_have_run: bool,
) {
    let (base, trial) = (
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        Pod::new(vec![bad]),
    );
    let installer = RolloutService::new(ON_TRIAL, vec![VoteAction::Counted]);
    let at = sidecar(&[(base.at, 1), (trial.at, 2)], &installer);
    installer.wait_for_first_vote();
    let (mut failed, mut heard) = (0, BTreeMap::new());
    for number in 0..60 {
        let (method, path) = if number % 2 == 0 {
            ("GET", "/quotes/1")
        } else {
            ("POST", "/charges")
        };
        let mut client = Client::new(at);
        client.send(&format!(
            "{method} {path} HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\nNumber: {number}\r\nContent-Length: 0\r\n\r\n"
        ));
        let (head, _) = client.read_response();
        let times = numbers(&[&base, &trial]);
        let here = times.get(&number).copied().unwrap_or(0);
        let well = head.starts_with("HTTP/1.1 200");
        let harmless = head.contains("a retry is harmless");
        assert!(
            well || harmless || head.contains("it may have run"),
            "{head}"
        );
        if method == "POST" && may_have_run {
            assert!(
                here <= 1 && !(here == 1 && harmless),
                "heard {here} times: {head}"
            );
        }
        failed += usize::from(!well);
        heard.extend(times);
    }
    // The failing pod is ejected, and the other one serves the requests.
    assert!(
        failed < 30 && heard.len() > 50,
        "{failed} failed, {} heard",
        heard.len()
    );
}

#[test]
fn a_canary_that_refuses_connections_loses_no_request() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let base = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let installer = RolloutService::new(ON_TRIAL, vec![VoteAction::Counted]);
    let at = sidecar(&[(base.at, 1), (closed, 2)], &installer);
    installer.wait_for_first_vote();
    let mut client = Client::new(at);
    for _ in 0..40 {
        client.send("POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        let (head, _) = client.read_response();
        assert!(
            head.starts_with("HTTP/1.1 200") || head.contains("a retry is harmless"),
            "{head}"
        );
    }
}

/// A canary pod that failed once is health-checked again: one lost connection must not end the trial.
#[test]
fn an_ejected_canary_pod_is_health_checked_again() {
    let script = vec![
        PodAction::Respond(OK_RESPONSE),
        PodAction::RespondAndClose(""),
        PodAction::Respond(OK_RESPONSE),
    ];
    let (base, trial) = (
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        Pod::new(script),
    );
    let installer = RolloutService::new(ON_TRIAL, vec![VoteAction::Counted]);
    let at = sidecar(&[(base.at, 1), (trial.at, 2)], &installer);
    installer.wait_for_first_vote();
    let mut client = Client::new(at);
    let again = (0..1500).any(|_| {
        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
        client.read_response();
        std::thread::sleep(Duration::from_millis(2));
        trial
            .received
            .try_iter()
            .filter(|head| head != "gone")
            .count()
            > 0
            && trial.count() > 4
    });
    assert!(again, "heard {} times", trial.count());
}

/// What becomes of the first vote, and whether another one must follow.
#[rstest]
#[case::counted(VoteAction::Counted, false)]
#[case::moot(VoteAction::Moot, false)]
#[case::lost(VoteAction::Close, true)]
#[case::refused(
    VoteAction::Respond("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::an_error(
    VoteAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
    true
)]
#[case::garbage(VoteAction::Respond("what do you want?\r\n\r\n"), true)]
#[case::half_an_answer(
    VoteAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"ans"),
    true
)]
#[case::no_answer(VoteAction::StaySilent, true)]
fn a_vote_is_repeated_only_if_it_may_not_count(#[case] first: VoteAction, #[case] again: bool) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let installer = RolloutService::new(ON_TRIAL, vec![first, VoteAction::Counted]);
    sidecar(&[(pod.at, 1)], &installer);
    let (one, body) = installer.vote(Duration::from_secs(5)).expect("a vote");
    assert!(
        body.contains("\"hold\"") && body.contains("\"stage\":0"),
        "{body}"
    );
    let second = installer.vote(Duration::from_millis(1800));
    assert_eq!(second.is_some(), again, "{second:?}");
    if let Some((two, _)) = second {
        assert!(
            two - one >= Duration::from_millis(250),
            "{:?} apart",
            two - one
        );
        assert!(
            installer.vote(Duration::from_millis(600)).is_none(),
            "a third, after one that counted"
        );
    }
}

#[test]
fn a_late_reply_to_a_vote_does_not_count_for_the_next_stage() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let installer = RolloutService::new(
        ON_TRIAL,
        vec![VoteAction::CountOnSignal, VoteAction::Counted],
    );
    sidecar(&[(pod.at, 1)], &installer);
    installer.vote(Duration::from_secs(5)).expect("a vote");
    installer.send(r#"{"number":2,"build":2,"stage":1,"phase":"on_trial","cap":1}"#);
    installer.resume.send(()).unwrap();
    let (_, body) = installer
        .vote(Duration::from_secs(3))
        .expect("a vote for the next stage");
    assert!(body.contains("\"stage\":1"), "{body}");
}
