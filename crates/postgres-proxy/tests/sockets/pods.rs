//! Tests the answers of pods and what they prove.

use crate::helpers::{
    start_sidecar, start_sidecar_with_pod, statement_for_row, statement_of_class,
};
use limewing_emulators::platform::{
    answer, listing, Answer, Client, Config, Discovery, Does, Listed, Pod,
};
use limewing_postgres_protocol::encode;
use limewing_postgres_proxy::timeouts::{ANSWER_COMPLETION_TIMEOUT, MIN_REUSE_DELAY};
use rstest::rstest;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;

fn encode_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    encode::message_with_body(&mut out, kind, body);
    out.to_vec()
}

fn send_one_request(script: Vec<Does>, class: &str) -> (Answer, Pod, Client) {
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    client.asks(&statement_of_class(class, 1000));
    (client.hears(), pod, client)
}

/// A request with a malformed answer may have run: one that is not idempotent fails and is sent
/// only once.
#[rstest]
#[case::binary(b"\x00\xff\x13noise".to_vec())]
#[case::huge_length(vec![b'D', 0xc0, 0, 0, 0])]
#[case::negative_length(vec![b'T', 0xff, 0xff, 0xff, 0xff])]
#[case::row_first(encode_message(b'D', &[0, 1, 0, 0, 0, 1, b'x']))]
#[case::two_columns(encode_message(b'T', &[0, 2]))]
#[case::invalid_sqlstate(encode_message(b'E', b"Cxx\0\0"))]
#[case::incomplete(vec![b'T', 0, 0, 0, 50, 0, 1])]
#[case::complete_first(encode_message(b'C', b"SELECT 1\0"))]
fn malformed_answer_is_not_passed_on_and_may_have_run(#[case] bytes: Vec<u8>) {
    let (answer, pod, _client) = send_one_request(vec![Does::Says(bytes)], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert_eq!(pod.hears(), "gone");
}

#[rstest]
#[case::reset(Does::Closes)]
#[case::error(Does::Errs("XX000"))]
#[case::partial_answer(Does::SaysAndCloses(encode_message(b'T', b"\0\x01b\0")))]
fn non_idempotent_request_that_may_have_run_is_not_retried(#[case] behavior: Does) {
    let (answer, pod, _client) = send_one_request(vec![behavior], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.hears().starts_with("SELECT"));
    assert!(pod.seen.try_iter().all(|received| received == "gone"));
}

/// A rejection proves that the request never ran: the response says so, and when to retry.
#[test]
fn request_that_never_ran_is_rejected_with_a_retry_delay() {
    let (answer, ..) = send_one_request(vec![Does::Errs("53300")], "pay");
    assert_eq!(answer, Answer::Error("53300".into(), Some("500".into())));
}

#[test]
fn request_is_retried_at_another_pod_if_one_is_unreachable() {
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let pod = Pod::new(vec![Does::Serves("red")]);
    let address = start_sidecar(&Config::new(vec![
        Listed::new("p1", unused_address),
        Listed::new("p2", pod.at),
    ]));
    // The first requests may be rejected until the retry budget is filled; none may have run.
    let mut client = Client::new(address);
    loop {
        client.asks(&statement_of_class("pay", 2000));
        match client.hears() {
            Answer::Row(value) => return assert_eq!(value, "red"),
            answer => assert!(
                matches!(&answer, Answer::Error(code, _) if code == "53300"),
                "{answer:?}"
            ),
        }
    }
}

/// Bytes that a pod sends after its answer must not be taken for the answer to the next request.
#[test]
fn duplicate_answer_is_discarded() {
    let (pod, address) =
        start_sidecar_with_pod(vec![Does::ServesTwice("red"), Does::Serves("blue")]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&statement_of_class("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
    assert_eq!(pod.links(), 2);
}

/// The same applies to a duplicate that arrives some milliseconds later, when the next statement
/// may already be sent; the minimum reuse delay of the connection prevents this. Previously the
/// second statement, for the same row, got the duplicate as its answer.
#[rstest]
#[case::same_row("7f3a", "7f3a")]
#[case::other_row("7f3a", "7f3b")]
fn late_duplicate_answer_is_not_taken_for_the_next_one(#[case] first: &str, #[case] second: &str) {
    let (pod, address) =
        start_sidecar_with_pod(vec![Does::Serves("red"), Does::CopiesFirst("blue")]);
    let mut client = Client::new(address);
    for (row, value) in [(first, "red"), (second, "blue")] {
        client.asks(&statement_for_row(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
    }
    assert_eq!(pod.links(), 2);
}

/// Equal values of several rows are not duplicates. Previously the second one was treated as a
/// duplicate of the first.
#[test]
fn equal_values_of_several_rows_are_served() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(address);
    for row in ["7f3a", "7f3b", "7f3c"] {
        client.asks(&statement_for_row(row, "pay", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), 1);
}

/// An attempt whose connection breaks before the last byte never ran: another connection carries
/// it, even if it is not idempotent.
#[rstest]
#[case::one_broken(vec![Does::Serves("red"), Does::ClosesEarly, Does::Serves("blue")], 2)]
#[case::two_broken(vec![Does::Serves("red"), Does::ClosesEarly, Does::ClosesEarly, Does::Serves("blue")], 3)]
fn connection_that_breaks_before_the_last_byte_is_replaced(
    #[case] script: Vec<Does>,
    #[case] connections: usize,
) {
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    for value in ["red", "blue"] {
        client.asks(&statement_of_class("pay", 2000));
        assert_eq!(client.hears(), Answer::Row(value.into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), connections);
}

/// A pod that does not respond before the last byte has not run the request: the rejection says
/// that a retry is harmless.
#[test]
fn silent_connection_proves_that_nothing_ran() {
    let (answer, ..) = send_one_request(vec![Does::WaitsEarly], "pay");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
}

#[test]
fn connection_is_reused_for_the_next_request() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(address);
    for _ in 0..5 {
        client.asks(&statement_of_class("look", 2000));
        assert_eq!(client.hears(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.links(), 1);
}

/// The client gets its answer immediately; the connection is not used before ReadyForQuery.
#[test]
fn connection_is_not_reused_before_ready_for_query() {
    let (pod, address) =
        start_sidecar_with_pod(vec![Does::ServesSlowly("red"), Does::Serves("blue")]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    client.asks(&statement_of_class("look", 2000));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
    assert_eq!(pod.links(), 2);
    let _ = pod.go_on.send(());
}

#[test]
fn disconnected_client_ends_its_attempt() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::Waits]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 4000));
    assert!(pod.hears().starts_with("SELECT"));
    drop(client);
    assert_eq!(pod.hears(), "gone");
}

/// A request with no time left is answered immediately, and its session continues.
#[test]
fn request_without_time_left_is_answered_immediately() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("pay", 0));
    assert_eq!(
        client.hears(),
        Answer::Error("53300".into(), Some("500".into()))
    );
    assert!(pod.heard_nothing());
    client.asks(&statement_of_class("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
}

#[test]
fn request_that_no_pod_answers_is_answered_by_its_deadline() {
    let (answer, ..) = send_one_request(vec![Does::Waits], "pay");
    assert_eq!(answer, Answer::Error("57014".into(), None));
}

/// Part of a notice arrives on an idle connection before the next statement. Previously its timeout
/// continued during the next answer, which was then abandoned as incomplete.
#[test]
fn partial_message_on_an_idle_connection_is_not_part_of_the_next_answer() {
    let notice: (&[u8], &[u8]) = (&[b'N', 0, 0, 0, 8], &[0, 0, 0, 0]);
    let script = vec![
        Does::ServesThenSays("red", notice.0, notice.1),
        Does::ServesLater("blue"),
    ];
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("pay", 2000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert!(pod.hears().starts_with("SELECT"));
    sleep(MIN_REUSE_DELAY * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "said");
    client.asks(&statement_of_class("pay", 5000));
    while !pod.hears().starts_with("SELECT") {}
    // Longer than the time in which a message must be completed.
    sleep(ANSWER_COMPLETION_TIMEOUT * 2);
    pod.go_on.send(()).unwrap();
    assert_eq!(client.hears(), Answer::Row("blue".into()));
}

/// An answer that is still unread when the pod resets the connection is valid.
#[test]
fn answer_before_a_reset_counts() {
    let (answer, pod, _client) = send_one_request(vec![Does::SaysAndCloses(answer("red"))], "pay");
    assert_eq!(answer, Answer::Row("red".into()));
    assert!(pod.hears().starts_with("SELECT"));
}

/// The number of further connections after ones that break early is limited, to four per attempt.
#[test]
fn request_uses_a_limited_number_of_connections() {
    let (answer, pod, _client) = send_one_request(vec![Does::ClosesEarly], "look");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
    assert!(
        (1..=4 * 4).contains(&pod.links()),
        "{} connections",
        pod.links()
    );
    assert!(pod.seen.try_iter().all(|received| received == "gone"));
}

/// A client disconnects while its attempt waits for the answer to the empty query: nothing more is
/// sent for it, even if attempts that were sent may not be cancelled. Previously the statement was
/// sent after that answer.
#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let pod = Pod::new(vec![Does::LivesLater("red"), Does::Serves("blue")]);
    let address = start_sidecar(&Config {
        cancel: false,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    });
    let mut client = Client::new(address);
    client.asks(&statement_for_row("gone", "look", 4000));
    assert_eq!(pod.hears(), "empty");
    drop(client);
    // A later request is answered, so the sidecar has processed the disconnect.
    let mut other = Client::new(address);
    other.asks(&statement_for_row("other", "look", 4000));
    assert_eq!(other.hears(), Answer::Row("blue".into()));
    pod.go_on.send(()).unwrap();
    let mut received = vec![pod.hears(), pod.hears()];
    received.sort();
    assert!(
        received[0].contains("'other'") && received[1] == "gone",
        "{received:?}"
    );
}

/// A client sends more than is read ahead, and disconnects: its attempt is ended. Previously the
/// disconnect was not detected behind the full buffer.
#[test]
fn disconnect_is_seen_behind_unread_statements() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::Waits]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("look", 60_000));
    assert!(pod.hears().starts_with("SELECT"));
    let mut long = bytes::BytesMut::new();
    encode::query(&mut long, &"x".repeat(60 * 1024));
    assert!(client.sends(&long));
    drop(client);
    assert_eq!(pod.hears(), "gone");
}

/// A connection that is established after its request was completed carries nothing for that
/// request.
#[test]
fn late_connection_carries_nothing_for_a_completed_request() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::WelcomesLater, Does::Serves("red")]);
    let mut client = Client::new(address);
    client.asks(&statement_for_row("over", "pay", 300));
    assert_eq!(pod.hears(), "came");
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "welcomed");
    client.asks(&statement_for_row("next", "pay", 5000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert!(pod.hears().contains("'next'"));
}

/// Extra bytes after the start of a session would be taken for the answer: the waiting attempt is
/// moved to another connection. Previously the attempt was lost with its connection, and the
/// request timed out.
#[test]
fn attempt_survives_a_connection_with_extra_bytes_at_session_start() {
    let (pod, address) = start_sidecar_with_pod(vec![Does::WelcomesWithMore, Does::Serves("red")]);
    let mut client = Client::new(address);
    client.asks(&statement_of_class("pay", 30_000));
    assert!(client.has_come(Duration::from_secs(5)));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert_eq!(pod.links(), 2);
}

/// A client disconnects while its request waits for any pod: the first pod that is listed does not
/// receive it.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_while_waiting_for_a_pod() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let address = start_sidecar(&Config {
        discovery: discovery.at,
        ..Config::new(Vec::new())
    });
    discovery.is_asked();
    let mut client = Client::new(address);
    client.asks(&statement_for_row("gone", "look", 4000));
    // Another client that is handled later in the event loop is answered, so the request has been
    // accepted.
    let mut other = Client::new(address);
    other.asks("");
    assert_eq!(other.hears(), Answer::Empty);
    drop(client);
    other.asks("");
    assert_eq!(other.hears(), Answer::Empty);
    discovery.says(&listing(9, false, &[Listed::new("p1", pod.at)]));
    other.asks(&statement_for_row("other", "look", 4000));
    assert_eq!(other.hears(), Answer::Row("red".into()));
    assert!(pod.hears().contains("'other'") && pod.heard_nothing());
}
