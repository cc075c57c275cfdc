//! What pods answer, and what it proves.

use crate::help::{ask, sidecar, with_pod};
use limewing_pg::write;
use limewing_standins::platform::{answer, Answer, Client, Config, Does, Listed, Pod};
use rstest::rstest;
use std::net::TcpListener;

fn spoilt(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    write::again(&mut out, kind, body);
    out.to_vec()
}

fn one_hit(script: Vec<Does>, group: &str) -> (Answer, Pod, Client) {
    let (pod, at) = with_pod(script);
    let mut client = Client::new(at);
    client.asks(&ask(group, 1000));
    (client.hears(), pod, client)
}

/// A spoilt answer may have run: a hit that must not run twice fails and is asked for once.
#[rstest]
#[case::noise(b"\x00\xff\x13noise".to_vec())]
#[case::huge(vec![b'D', 0xc0, 0, 0, 0])]
#[case::negative(vec![b'T', 0xff, 0xff, 0xff, 0xff])]
#[case::row_first(spoilt(b'D', &[0, 1, 0, 0, 0, 1, b'x']))]
#[case::columns(spoilt(b'T', &[0, 2]))]
#[case::code(spoilt(b'E', b"Cxx\0\0"))]
#[case::not_whole(vec![b'T', 0, 0, 0, 50, 0, 1])]
#[case::complete_first(spoilt(b'C', b"SELECT 1\0"))]
fn a_spoilt_answer_is_not_passed_on_and_may_have_run(#[case] says: Vec<u8>) {
    let (answer, pod, _client) = one_hit(vec![Does::Says(says)], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert_eq!(pod.hears(), "gone");
}

#[rstest]
#[case::reset(Does::Closes)]
#[case::error(Does::Errs("XX000"))]
#[case::half(Does::SaysAndCloses(spoilt(b'T', b"\0\x01b\0")))]
fn what_may_have_run_is_asked_for_once_if_it_must_not_run_twice(#[case] does: Does) {
    let (answer, pod, _client) = one_hit(vec![does], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert!(pod.seen.try_iter().all(|heard| heard == "gone"));
}

/// Turned away is proof that it never ran: a refusal may say so, and when to come back.
#[test]
fn a_hit_that_never_ran_is_refused_with_a_time_to_come_back() {
    let (answer, ..) = one_hit(vec![Does::Errs("53300")], "pay");
    assert_eq!(answer, Answer::Error("53300".into(), Some("500".into())));
}

#[test]
fn a_pod_that_cannot_be_reached_leaves_the_hit_to_another() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let pod = Pod::new(vec![Does::Serves("red")]);
    let at = sidecar(&Config::new(vec![Listed::new("p1", closed), Listed::new("p2", pod.at)]));
    // The first ones may be refused, as further forwards are saved up for; none is told that it may have run.
    let mut client = Client::new(at);
    loop {
        client.asks(&ask("pay", 2000));
        match client.hears() {
            Answer::Row(value) => return assert_eq!(value, "red"),
            answer => assert!(matches!(&answer, Answer::Error(code, _) if code == "53300"), "{answer:?}"),
        }
    }
}

/// What a pod sends beyond its answer must not be taken for the next hit's.
#[test]
fn a_second_copy_of_an_answer_is_nobodys() {
    let (pod, at) = with_pod(vec![Does::ServesTwice("red"), Does::Serves("blue")]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
    assert_eq!(pod.links(), 2);
}

/// Nor what it sends again only once the next statement has come.
#[test]
fn a_late_copy_of_an_answer_is_not_the_next_ones() {
    let (_pod, at) = with_pod(vec![Does::Serves("red"), Does::Says(answer("red"))]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&ask("pay", 2000).replace("7f3a", "7f3b"));
    assert_eq!(client.hears(), Answer::Error("58000".into(), None));
}

/// What breaks before the last byte of a statement never ran: another connection carries it, also where it must
/// not run twice.
#[rstest]
#[case::kept(vec![Does::Serves("red"), Does::ClosesEarly, Does::Serves("blue")], 2)]
#[case::two(vec![Does::Serves("red"), Does::ClosesEarly, Does::ClosesEarly, Does::Serves("blue")], 3)]
fn a_connection_that_breaks_early_is_replaced(#[case] script: Vec<Does>, #[case] links: usize) {
    let (pod, at) = with_pod(script);
    let mut client = Client::new(at);
    for value in ["red", "blue"] {
        client.asks(&ask("pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
    }
    assert_eq!(pod.links(), links);
}

/// A pod that is silent before the last byte has not run the hit: a refusal may say that a retry is harmless.
#[test]
fn a_silent_connection_proves_that_nothing_ran() {
    let (answer, ..) = one_hit(vec![Does::WaitsEarly], "pay");
    assert!(matches!(&answer, Answer::Error(code, _) if code == "53300"), "{answer:?}");
}

#[test]
fn a_connection_serves_one_hit_after_the_other() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    for _ in 0..5 {
        client.asks(&ask("look", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
    }
    assert_eq!(pod.links(), 1);
}

/// An answer is the client's at once; the connection is not used before the pod says that the next may come.
#[test]
fn a_connection_that_is_not_ready_is_not_used() {
    let (pod, at) = with_pod(vec![Does::ServesSlowly("red"), Does::Serves("blue")]);
    let mut client = Client::new(at);
    client.asks(&ask("look", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&ask("look", 2000));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
    assert_eq!(pod.links(), 2);
    let _ = pod.go_on.send(());
}

#[test]
fn a_client_that_leaves_ends_its_forward() {
    let (pod, at) = with_pod(vec![Does::Waits]);
    let mut client = Client::new(at);
    client.asks(&ask("look", 4000));
    assert!(pod.hears().starts_with("SELECT"));
    drop(client);
    assert_eq!(pod.hears(), "gone");
}

/// A hit whose client has no time left has its answer at once, and its connection stays.
#[test]
fn a_hit_with_no_time_left_is_refused_at_once() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 0));
    assert_eq!(client.hears(), Answer::Error("53300".into(), Some("500".into())));
    assert!(pod.heard_nothing());
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
}

#[test]
fn a_hit_that_no_pod_answers_has_its_answer_in_time() {
    let (answer, ..) = one_hit(vec![Does::Waits], "pay");
    assert_eq!(answer, Answer::Error("57014".into(), None));
}
