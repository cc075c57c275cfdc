//! A build on trial, seen from its pods and its installer, when forwards and votes fail on their way.

use crate::help::{run, settings, state_file_of, Client, Does, Installer, Pod, Vote, DONE};
use limewing_http_proxy::service::Service;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const ON_TRIAL: &str = r#"{"number":1,"build":2,"stage":0,"phase":"on_trial","cap":1}"#;

/// A sidecar that knows these pods and asks this installer.
fn sidecar(pods: &[(SocketAddr, u16)], installer: &Installer) -> SocketAddr {
    let mut settings = settings();
    settings.state_file = Some(state_file_of(pods));
    settings.installer = Some(installer.settings());
    run(Service::start(&settings).unwrap())
}

/// The numbers of the hits that pods heard of, each with how often.
fn numbers(pods: &[&Pod]) -> BTreeMap<usize, usize> {
    let mut heard = BTreeMap::new();
    for head in pods
        .iter()
        .flat_map(|pod| pod.seen.try_iter())
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

/// Whatever a forward to the build on trial comes to, its hit is answered once and runs at most once, or is
/// repeated where that does no harm.
#[rstest]
#[case::reset_before_the_first_byte(Does::SaysAndCloses(""), true)]
#[case::reset_in_the_head(Does::SaysAndCloses("HTTP/1.1 20"), true)]
#[case::reset_in_the_body(
    Does::SaysAndCloses("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"),
    true
)]
#[case::garbage(Does::Says("what do you want?\r\n\r\n"), true)]
#[case::an_error(Does::Says("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), true)]
#[case::silence(Does::Waits, true)]
#[case::not_begun(
    Does::Says("HTTP/1.1 503 Busy\r\nLimewing-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
    false
)]
fn a_forward_to_the_build_on_trial_that_fails_costs_no_answer_and_no_second_effect(
    #[case] bad: Does,
    #[case] may_have_run: bool,
) {
    let (base, trial) = (Pod::new(vec![Does::Says(DONE)]), Pod::new(vec![bad]));
    let installer = Installer::new(ON_TRIAL, vec![Vote::Counted]);
    let at = sidecar(&[(base.at, 1), (trial.at, 2)], &installer);
    installer.is_heard();
    let (mut failed, mut heard) = (0, BTreeMap::new());
    for number in 0..60 {
        let (method, path) = if number % 2 == 0 {
            ("GET", "/quotes/1")
        } else {
            ("POST", "/charges")
        };
        let mut client = Client::new(at);
        client.says(&format!(
            "{method} {path} HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\nNumber: {number}\r\nContent-Length: 0\r\n\r\n"
        ));
        let (head, _) = client.hears();
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
    // The pod that fails is left alone, and the other has the hits.
    assert!(
        failed < 30 && heard.len() > 50,
        "{failed} failed, {} heard",
        heard.len()
    );
}

#[test]
fn a_build_on_trial_that_takes_no_connection_costs_no_hit() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let base = Pod::new(vec![Does::Says(DONE)]);
    let installer = Installer::new(ON_TRIAL, vec![Vote::Counted]);
    let at = sidecar(&[(base.at, 1), (closed, 2)], &installer);
    installer.is_heard();
    let mut client = Client::new(at);
    for _ in 0..40 {
        client.says("POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        let (head, _) = client.hears();
        assert!(
            head.starts_with("HTTP/1.1 200") || head.contains("a retry is harmless"),
            "{head}"
        );
    }
}

/// A pod of the build on trial that failed once is tried again: one lost connection must not end the trial.
#[test]
fn a_pod_on_trial_that_was_shut_is_proven_again() {
    let script = vec![Does::Says(DONE), Does::SaysAndCloses(""), Does::Says(DONE)];
    let (base, trial) = (Pod::new(vec![Does::Says(DONE)]), Pod::new(script));
    let installer = Installer::new(ON_TRIAL, vec![Vote::Counted]);
    let at = sidecar(&[(base.at, 1), (trial.at, 2)], &installer);
    installer.is_heard();
    let mut client = Client::new(at);
    let again = (0..1500).any(|_| {
        client.says("GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
        client.hears();
        std::thread::sleep(Duration::from_millis(2));
        trial.seen.try_iter().filter(|head| head != "gone").count() > 0 && trial.count() > 4
    });
    assert!(again, "heard {} times", trial.count());
}

/// What becomes of the first vote, and whether another one must follow.
#[rstest]
#[case::counted(Vote::Counted, false)]
#[case::moot(Vote::Moot, false)]
#[case::lost(Vote::Closes, true)]
#[case::refused(Vote::Says("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"), true)]
#[case::an_error(Vote::Says("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), true)]
#[case::garbage(Vote::Says("what do you want?\r\n\r\n"), true)]
#[case::half_an_answer(
    Vote::SaysAndCloses("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"ans"),
    true
)]
#[case::no_answer(Vote::Waits, true)]
fn a_vote_that_may_not_count_is_sent_again_and_one_that_does_is_not(
    #[case] first: Vote,
    #[case] again: bool,
) {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let installer = Installer::new(ON_TRIAL, vec![first, Vote::Counted]);
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
fn a_vote_answered_after_the_next_stage_began_does_not_stand_for_that_one() {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let installer = Installer::new(ON_TRIAL, vec![Vote::WhenTold, Vote::Counted]);
    sidecar(&[(pod.at, 1)], &installer);
    installer.vote(Duration::from_secs(5)).expect("a vote");
    installer.says(r#"{"number":2,"build":2,"stage":1,"phase":"on_trial","cap":1}"#);
    installer.go_on.send(()).unwrap();
    let (_, body) = installer
        .vote(Duration::from_secs(3))
        .expect("a vote for the next stage");
    assert!(body.contains("\"stage\":1"), "{body}");
}
