//! What pods answer, and what it proves.

use crate::help::{ask, ask_of, sidecar, with_pod};
use limewing_emulators::platform::{
    answer, listing, Answer, Client, Config, Discovery, Does, Listed, Pod,
};
use limewing_postgres_protocol::encode;
use limewing_postgres_proxy::timeouts::{ANSWER_COMPLETION_TIMEOUT, CONNECTION_REST};
use rstest::rstest;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;

fn spoilt(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    encode::message_with_body(&mut out, kind, body);
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
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let pod = Pod::new(vec![Does::Serves("red")]);
    let at = sidecar(&Config::new(vec![
        Listed::new("p1", closed),
        Listed::new("p2", pod.at),
    ]));
    // The first ones may be refused, as further forwards are saved up for; none is told that it may have run.
    let mut client = Client::new(at);
    loop {
        client.asks(&ask("pay", 2000));
        match client.hears() {
            Answer::Row(value) => return assert_eq!(value, "red"),
            answer => assert!(
                matches!(&answer, Answer::Error(code, _) if code == "53300"),
                "{answer:?}"
            ),
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

/// Nor what it sends again some milliseconds later, when the next statement is on its way: the connection rests until
/// then. Without the mend the second statement, about the same row, has the copy for its answer.
#[rstest]
#[case::same_row("7f3a", "7f3a")]
#[case::other_row("7f3a", "7f3b")]
fn a_late_copy_of_an_answer_is_not_the_next_ones(#[case] first: &str, #[case] second: &str) {
    let (pod, at) = with_pod(vec![Does::Serves("red"), Does::CopiesFirst("blue")]);
    let mut client = Client::new(at);
    for (row, value) in [(first, "red"), (second, "blue")] {
        client.asks(&ask_of(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
    }
    assert_eq!(pod.links(), 2);
}

/// Equal values of several rows are nothing odd. Without the mend the second one is taken for a copy of the first.
#[test]
fn equal_values_of_several_rows_are_served() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    for row in ["7f3a", "7f3b", "7f3c"] {
        client.asks(&ask_of(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(CONNECTION_REST * 2);
    }
    assert_eq!(pod.links(), 1);
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
        sleep(CONNECTION_REST * 2);
    }
    assert_eq!(pod.links(), links);
}

/// A pod that is silent before the last byte has not run the hit: a refusal may say that a retry is harmless.
#[test]
fn a_silent_connection_proves_that_nothing_ran() {
    let (answer, ..) = one_hit(vec![Does::WaitsEarly], "pay");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
}

#[test]
fn a_connection_serves_one_hit_after_the_other() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    for _ in 0..5 {
        client.asks(&ask("look", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(CONNECTION_REST * 2);
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
    assert_eq!(
        client.hears(),
        Answer::Error("53300".into(), Some("500".into()))
    );
    assert!(pod.heard_nothing());
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
}

#[test]
fn a_hit_that_no_pod_answers_has_its_answer_in_time() {
    let (answer, ..) = one_hit(vec![Does::Waits], "pay");
    assert_eq!(answer, Answer::Error("57014".into(), None));
}

/// Half a notice comes on a kept connection before the next statement. Without the mend the time that it has to come whole
/// in runs on into the next answer, which is then given up as broken off.
#[test]
fn half_a_message_on_a_kept_connection_is_none_of_the_next_answer() {
    let notice: (&[u8], &[u8]) = (&[b'N', 0, 0, 0, 8], &[0, 0, 0, 0]);
    let script = vec![
        Does::ServesThenSays("red", notice.0, notice.1),
        Does::ServesLater("blue"),
    ];
    let (pod, at) = with_pod(script);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert!(pod.hears().starts_with("SELECT"));
    sleep(CONNECTION_REST * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "said");
    client.asks(&ask("pay", 5000));
    while !pod.hears().starts_with("SELECT") {}
    // Longer than a message has to come whole in.
    sleep(ANSWER_COMPLETION_TIMEOUT * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("blue".into()));
}

/// What a client has not read from its pod when the pod resets is still its answer.
#[test]
fn an_answer_before_a_reset_counts() {
    let (answer, pod, _client) = one_hit(vec![Does::SaysAndCloses(answer("red"))], "pay");
    assert_eq!(answer, Answer::Row("red".into()));
    assert!(pod.hears().starts_with("SELECT"));
}

/// Connections that break early cost a bounded number of further ones, however long that goes on: four for each forward.
#[test]
fn a_hit_costs_a_bounded_number_of_connections() {
    let (answer, pod, _client) = one_hit(vec![Does::ClosesEarly], "look");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
    assert!(
        (1..=4 * 4).contains(&pod.links()),
        "{} connections",
        pod.links()
    );
    assert!(pod.seen.try_iter().all(|heard| heard == "gone"));
}

/// The client goes while its forward waits for the pod's sign of life: nothing goes out for it any more, also where a
/// forward that has gone out may not be cancelled. Without the mend the statement follows the word.
#[test]
fn nothing_goes_out_for_a_client_that_went() {
    let pod = Pod::new(vec![Does::LivesLater("red"), Does::Serves("blue")]);
    let at = sidecar(&Config {
        cancel: false,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    });
    let mut client = Client::new(at);
    client.asks(&ask_of("gone", "look", 4000));
    assert_eq!(pod.hears(), "empty");
    drop(client);
    // One that comes later has its answer: the sidecar knows of the end by then.
    let mut other = Client::new(at);
    other.asks(&ask_of("other", "look", 4000));
    assert_eq!(other.hears(), Answer::Row("blue".into()));
    pod.go_on.send(()).unwrap();
    let mut heard = vec![pod.hears(), pod.hears()];
    heard.sort();
    assert!(
        heard[0].contains("'other'") && heard[1] == "gone",
        "{heard:?}"
    );
}

/// A client that has sent more than is read ahead of it, and goes: its forward is given up. Without the mend the end is
/// not seen behind the full buffer.
#[test]
fn a_client_that_goes_behind_unread_statements_has_gone() {
    let (pod, at) = with_pod(vec![Does::Waits]);
    let mut client = Client::new(at);
    client.asks(&ask("look", 60_000));
    assert!(pod.hears().starts_with("SELECT"));
    let mut long = bytes::BytesMut::new();
    encode::query(&mut long, &"x".repeat(60 * 1024));
    assert!(client.sends(&long));
    drop(client);
    assert_eq!(pod.hears(), "gone");
}

/// A connection that comes up when its request is over carries nothing for that one.
#[test]
fn a_connection_that_comes_up_late_carries_nothing_for_a_request_that_is_over() {
    let (pod, at) = with_pod(vec![Does::WelcomesLater, Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&ask_of("over", "pay", 300));
    assert_eq!(pod.hears(), "came");
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "welcomed");
    client.asks(&ask_of("next", "pay", 5000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert!(pod.hears().contains("'next'"));
}

/// What comes behind a welcome would be taken for the answer: another connection carries the attempt that waited for it. Without
/// the mend the attempt was forgotten with its connection, and waited for the end of the request's time.
#[test]
fn an_attempt_outlives_a_connection_with_more_than_a_welcome() {
    let (pod, at) = with_pod(vec![Does::WelcomesWithMore, Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 30_000));
    assert!(client.has_come(Duration::from_secs(5)));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert_eq!(pod.links(), 2);
}

/// A client that goes while its request waits for any pod at all: the first pod that comes does not get it.
#[test]
fn nothing_goes_out_later_for_a_client_that_went_while_it_waited() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let at = sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    let mut client = Client::new(at);
    client.asks(&ask_of("gone", "look", 4000));
    // It has been taken: another one behind it on the loop has its answer.
    let mut other = Client::new(at);
    other.asks("");
    assert_eq!(other.hears(), Answer::Empty);
    drop(client);
    other.asks("");
    assert_eq!(other.hears(), Answer::Empty);
    discovery.says(&listing(9, false, &[Listed::new("p1", pod.at)]));
    other.asks(&ask_of("other", "look", 4000));
    assert_eq!(other.hears(), Answer::Row("red".into()));
    assert!(pod.hears().contains("'other'") && pod.heard_nothing());
}
