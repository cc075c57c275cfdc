//! What pods answer, and what it proves.

use crate::helpers::{ask, ask_of, sidecar, with_pod};
use limewing_emulators::platform::{
    answer, listing, Answer, Client, Config, Discovery, Does, Listed, Pod,
};
use limewing_postgres_protocol::encode;
use limewing_postgres_proxy::timeouts::{ANSWER_COMPLETION_TIMEOUT, MIN_REUSE_DELAY};
use rstest::rstest;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;

fn malformed(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    encode::message_with_body(&mut out, kind, body);
    out.to_vec()
}

fn one_request(script: Vec<Does>, class: &str) -> (Answer, Pod, Client) {
    let (pod, at) = with_pod(script);
    let mut client = Client::new(at);
    client.asks(&ask(class, 1000));
    (client.hears(), pod, client)
}

/// A request with a malformed answer may have run: one that is not idempotent fails and is sent once.
#[rstest]
#[case::noise(b"\x00\xff\x13noise".to_vec())]
#[case::huge(vec![b'D', 0xc0, 0, 0, 0])]
#[case::negative(vec![b'T', 0xff, 0xff, 0xff, 0xff])]
#[case::row_first(malformed(b'D', &[0, 1, 0, 0, 0, 1, b'x']))]
#[case::columns(malformed(b'T', &[0, 2]))]
#[case::code(malformed(b'E', b"Cxx\0\0"))]
#[case::not_whole(vec![b'T', 0, 0, 0, 50, 0, 1])]
#[case::complete_first(malformed(b'C', b"SELECT 1\0"))]
fn malformed_answer_is_not_passed_on_and_may_have_run(#[case] says: Vec<u8>) {
    let (answer, pod, _client) = one_request(vec![Does::Says(says)], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert_eq!(pod.hears(), "gone");
}

#[rstest]
#[case::reset(Does::Closes)]
#[case::error(Does::Errs("XX000"))]
#[case::half(Does::SaysAndCloses(malformed(b'T', b"\0\x01b\0")))]
fn non_idempotent_request_that_may_have_run_is_not_retried(#[case] does: Does) {
    let (answer, pod, _client) = one_request(vec![does], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert!(pod.seen.try_iter().all(|heard| heard == "gone"));
}

/// A rejection proves that the request never ran: its answer says so, and when to retry.
#[test]
fn request_that_never_ran_is_rejected_with_a_retry_delay() {
    let (answer, ..) = one_request(vec![Does::Errs("53300")], "pay");
    assert_eq!(answer, Answer::Error("53300".into(), Some("500".into())));
}

#[test]
fn request_is_retried_at_another_pod_if_one_is_unreachable() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let pod = Pod::new(vec![Does::Serves("red")]);
    let at = sidecar(&Config::new(vec![
        Listed::new("p1", closed),
        Listed::new("p2", pod.at),
    ]));
    // The first ones may be rejected, as the retry budget fills up with requests; none may have run.
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

/// What a pod sends beyond its answer must not be taken for the next request's.
#[test]
fn duplicate_answer_is_discarded() {
    let (pod, at) = with_pod(vec![Does::ServesTwice("red"), Does::Serves("blue")]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&ask("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
    assert_eq!(pod.links(), 2);
}

/// Nor what it sends again some milliseconds later, when the next statement is on its way: the connection rests until
/// then. Once the second statement, about the same row, got the duplicate for its answer.
#[rstest]
#[case::same_row("7f3a", "7f3a")]
#[case::other_row("7f3a", "7f3b")]
fn late_duplicate_answer_is_not_taken_for_the_next_one(#[case] first: &str, #[case] second: &str) {
    let (pod, at) = with_pod(vec![Does::Serves("red"), Does::CopiesFirst("blue")]);
    let mut client = Client::new(at);
    for (row, value) in [(first, "red"), (second, "blue")] {
        client.asks(&ask_of(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
    }
    assert_eq!(pod.links(), 2);
}

/// Equal values of several rows are no duplicates. Once the second one was taken for a duplicate of the first.
#[test]
fn equal_values_of_several_rows_are_served() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    for row in ["7f3a", "7f3b", "7f3c"] {
        client.asks(&ask_of(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), 1);
}

/// What breaks before the last byte of a statement never ran: another connection carries it, also where it is
/// not idempotent.
#[rstest]
#[case::kept(vec![Does::Serves("red"), Does::ClosesEarly, Does::Serves("blue")], 2)]
#[case::two(vec![Does::Serves("red"), Does::ClosesEarly, Does::ClosesEarly, Does::Serves("blue")], 3)]
fn connection_that_breaks_before_the_last_byte_is_replaced(
    #[case] script: Vec<Does>,
    #[case] links: usize,
) {
    let (pod, at) = with_pod(script);
    let mut client = Client::new(at);
    for value in ["red", "blue"] {
        client.asks(&ask("pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), links);
}

/// A pod that is silent before the last byte has not run the request: the rejection says that a retry is harmless.
#[test]
fn silent_connection_proves_that_nothing_ran() {
    let (answer, ..) = one_request(vec![Does::WaitsEarly], "pay");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
}

#[test]
fn connection_is_reused_for_the_next_request() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    for _ in 0..5 {
        client.asks(&ask("look", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), 1);
}

/// The client gets an answer at once; the connection is not used before ReadyForQuery.
#[test]
fn connection_is_not_reused_before_ready_for_query() {
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
fn disconnected_client_ends_its_attempt() {
    let (pod, at) = with_pod(vec![Does::Waits]);
    let mut client = Client::new(at);
    client.asks(&ask("look", 4000));
    assert!(pod.hears().starts_with("SELECT"));
    drop(client);
    assert_eq!(pod.hears(), "gone");
}

/// A request whose client has no time left is answered at once, and the connection stays.
#[test]
fn request_without_time_left_is_answered_at_once() {
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
fn request_that_no_pod_answers_is_answered_by_its_deadline() {
    let (answer, ..) = one_request(vec![Does::Waits], "pay");
    assert_eq!(answer, Answer::Error("57014".into(), None));
}

/// A part of a notice comes on an idle connection before the next statement. Once its timeout ran on into the next answer,
/// which was then given up as incomplete.
#[test]
fn partial_message_on_an_idle_connection_is_not_part_of_the_next_answer() {
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
    sleep(MIN_REUSE_DELAY * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "said");
    client.asks(&ask("pay", 5000));
    while !pod.hears().starts_with("SELECT") {}
    // Longer than a message may take to be complete.
    sleep(ANSWER_COMPLETION_TIMEOUT * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("blue".into()));
}

/// An answer that was not read yet when the pod resets the connection is still the answer.
#[test]
fn answer_before_a_reset_counts() {
    let (answer, pod, _client) = one_request(vec![Does::SaysAndCloses(answer("red"))], "pay");
    assert_eq!(answer, Answer::Row("red".into()));
    assert!(pod.hears().starts_with("SELECT"));
}

/// Connections that break early cost a bounded number of further ones, however long that goes on: four for each attempt.
#[test]
fn request_costs_a_bounded_number_of_connections() {
    let (answer, pod, _client) = one_request(vec![Does::ClosesEarly], "look");
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

/// The client disconnects while its attempt waits for the answer to the empty query: nothing more is sent for it, also
/// where an attempt that was sent may not be cancelled. Once the statement followed that answer.
#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let pod = Pod::new(vec![Does::LivesLater("red"), Does::Serves("blue")]);
    let at = sidecar(&Config {
        cancel: false,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    });
    let mut client = Client::new(at);
    client.asks(&ask_of("gone", "look", 4000));
    assert_eq!(pod.hears(), "empty");
    drop(client);
    // A later request is answered: the sidecar knows of the disconnect by then.
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

/// A client sends more than is read ahead, and disconnects: its attempt is ended. Once the end was not seen behind the full
/// buffer.
#[test]
fn disconnect_is_seen_behind_unread_statements() {
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

/// A connection that comes up when its request is completed carries nothing for that one.
#[test]
fn late_connection_carries_nothing_for_a_completed_request() {
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

/// Bytes behind the start of a session would be taken for the answer: another connection carries the attempt that waited for
/// it. Once the attempt was forgotten with its connection, and the request timed out.
#[test]
fn attempt_survives_a_connection_with_extra_bytes_at_session_start() {
    let (pod, at) = with_pod(vec![Does::WelcomesWithMore, Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&ask("pay", 30_000));
    assert!(client.has_come(Duration::from_secs(5)));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert_eq!(pod.links(), 2);
}

/// A client disconnects while its request waits for any pod at all: the first pod that is listed does not get it.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_while_waiting_for_a_pod() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let at = sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    let mut client = Client::new(at);
    client.asks(&ask_of("gone", "look", 4000));
    // The request has been taken: another client behind it on the loop is answered.
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
