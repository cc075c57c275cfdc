//! Tests the answers of pods and what they prove.

use crate::helpers::{
    start_sidecar, start_sidecar_with_pod, statement_for_row, statement_of_class,
};
use limewing_emulators::platform::{
    encode_answer, endpoint_listing_json, Answer, Client, Discovery, ListedPod, Pod, PodBehavior,
    SidecarConfigFile,
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

fn send_one_request(script: Vec<PodBehavior>, class: &str) -> (Answer, Pod, Client) {
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class(class, 1000));
    (client.read_answer(), pod, client)
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
    let (answer, pod, _client) = send_one_request(vec![PodBehavior::SendBytes(bytes)], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.next_event().starts_with("SELECT"));
    assert_eq!(pod.next_event(), "gone");
}

#[rstest]
#[case::reset(PodBehavior::Close)]
#[case::error(PodBehavior::Error("XX000"))]
#[case::partial_answer(PodBehavior::SendBytesAndClose(encode_message(b'T', b"\0\x01b\0")))]
fn non_idempotent_request_that_may_have_run_is_not_retried(#[case] behavior: PodBehavior) {
    let (answer, pod, _client) = send_one_request(vec![behavior], "pay");
    assert_eq!(answer, Answer::Error("58000".into(), None));
    assert!(pod.next_event().starts_with("SELECT"));
    assert!(pod.events.try_iter().all(|received| received == "gone"));
}

/// A rejection proves that the request never ran: the response says so, and when to retry.
#[test]
fn request_that_never_ran_is_rejected_with_a_retry_delay() {
    let (answer, ..) = send_one_request(vec![PodBehavior::Error("53300")], "pay");
    assert_eq!(answer, Answer::Error("53300".into(), Some("500".into())));
}

#[test]
fn request_is_retried_at_another_pod_if_one_is_unreachable() {
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let address = start_sidecar(SidecarConfigFile::new(vec![
        ListedPod::new("p1", unused_address),
        ListedPod::new("p2", pod.address),
    ]));
    // The first requests may be rejected until the retry budget is filled; none may have run.
    let mut client = Client::new(address);
    loop {
        client.send_query(&statement_of_class("pay", 2000));
        match client.read_answer() {
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
    let (pod, address) = start_sidecar_with_pod(vec![
        PodBehavior::AnswerTwice("red"),
        PodBehavior::Answer("blue"),
    ]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("pay", 2000));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
    client.send_query(&statement_of_class("pay", 2000));
    assert_eq!(client.read_answer(), Answer::Row("blue".into()));
    assert_eq!(pod.connection_count(), 2);
}

/// The same applies to a duplicate that arrives some milliseconds later, when the next statement
/// may already be sent; the minimum reuse delay of the connection prevents this. Previously the
/// second statement, for the same row, got the duplicate as its answer.
#[rstest]
#[case::same_row("7f3a", "7f3a")]
#[case::other_row("7f3a", "7f3b")]
fn late_duplicate_answer_is_not_taken_for_the_next_one(#[case] first: &str, #[case] second: &str) {
    let (pod, address) = start_sidecar_with_pod(vec![
        PodBehavior::Answer("red"),
        PodBehavior::DuplicateThenAnswer("blue"),
    ]);
    let mut client = Client::new(address);
    for (row, value) in [(first, "red"), (second, "blue")] {
        client.send_query(&statement_for_row(row, "pay", 2000));
        assert_eq!(client.read_answer(), Answer::Row(value.into()));
    }
    assert_eq!(pod.connection_count(), 2);
}

/// Equal values of several rows are not duplicates. Previously the second one was treated as a
/// duplicate of the first.
#[test]
fn equal_values_of_several_rows_are_served() {
    let (pod, address) = start_sidecar_with_pod(vec![PodBehavior::Answer("red")]);
    let mut client = Client::new(address);
    for row in ["7f3a", "7f3b", "7f3c"] {
        client.send_query(&statement_for_row(row, "pay", 2000));
        assert_eq!(client.read_answer(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.connection_count(), 1);
}

/// An attempt whose connection breaks before the last byte never ran: another connection carries
/// it, even if it is not idempotent.
#[rstest]
#[case::one_broken(vec![PodBehavior::Answer("red"), PodBehavior::CloseOnFirstBytes, PodBehavior::Answer("blue")], 2)]
#[case::two_broken(vec![PodBehavior::Answer("red"), PodBehavior::CloseOnFirstBytes, PodBehavior::CloseOnFirstBytes, PodBehavior::Answer("blue")], 3)]
fn connection_that_breaks_before_the_last_byte_is_replaced(
    #[case] script: Vec<PodBehavior>,
    #[case] connections: usize,
) {
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    for value in ["red", "blue"] {
        client.send_query(&statement_of_class("pay", 2000));
        assert_eq!(client.read_answer(), Answer::Row(value.into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.connection_count(), connections);
}

/// A pod that does not respond before the last byte has not run the request: the rejection says
/// that a retry is harmless.
#[test]
fn silent_connection_proves_that_nothing_ran() {
    let (answer, ..) = send_one_request(vec![PodBehavior::IgnoreFirstBytes], "pay");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
}

#[test]
fn connection_is_reused_for_the_next_request() {
    let (pod, address) = start_sidecar_with_pod(vec![PodBehavior::Answer("red")]);
    let mut client = Client::new(address);
    for _ in 0..5 {
        client.send_query(&statement_of_class("look", 2000));
        assert_eq!(client.read_answer(), Answer::Row("red".into()));
        sleep(MIN_REUSE_DELAY * 2);
    }
    assert_eq!(pod.connection_count(), 1);
}

/// The client gets its answer immediately; the connection is not used before ReadyForQuery.
#[test]
fn connection_is_not_reused_before_ready_for_query() {
    let (pod, address) = start_sidecar_with_pod(vec![
        PodBehavior::DelayReadyForQuery("red"),
        PodBehavior::Answer("blue"),
    ]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 2000));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
    client.send_query(&statement_of_class("look", 2000));
    assert_eq!(client.read_answer(), Answer::Row("blue".into()));
    assert_eq!(pod.connection_count(), 2);
    let _ = pod.resume.send(());
}

#[test]
fn disconnected_client_ends_its_attempt() {
    let (pod, address) = start_sidecar_with_pod(vec![PodBehavior::NoAnswer]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 4000));
    assert!(pod.next_event().starts_with("SELECT"));
    drop(client);
    assert_eq!(pod.next_event(), "gone");
}

/// A request with no time left is answered immediately, and its session continues.
#[test]
fn request_without_time_left_is_answered_immediately() {
    let (pod, address) = start_sidecar_with_pod(vec![PodBehavior::Answer("red")]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("pay", 0));
    assert_eq!(
        client.read_answer(),
        Answer::Error("53300".into(), Some("500".into()))
    );
    assert!(pod.has_no_event());
    client.send_query(&statement_of_class("pay", 2000));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
}

#[test]
fn request_that_no_pod_answers_is_answered_by_its_deadline() {
    let (answer, ..) = send_one_request(vec![PodBehavior::NoAnswer], "pay");
    assert_eq!(answer, Answer::Error("57014".into(), None));
}

/// Part of a notice arrives on an idle connection before the next statement. Previously its timeout
/// continued during the next answer, which was then abandoned as incomplete.
#[test]
fn partial_message_on_an_idle_connection_is_not_part_of_the_next_answer() {
    let notice: (&[u8], &[u8]) = (&[b'N', 0, 0, 0, 8], &[0, 0, 0, 0]);
    let script = vec![
        PodBehavior::AnswerThenSendBytes("red", notice.0, notice.1),
        PodBehavior::AnswerAfterSignal("blue"),
    ];
    let (pod, address) = start_sidecar_with_pod(script);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("pay", 2000));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
    assert!(pod.next_event().starts_with("SELECT"));
    sleep(MIN_REUSE_DELAY * 2);
    pod.resume.send(()).unwrap();
    assert_eq!(pod.next_event(), "said");
    client.send_query(&statement_of_class("pay", 5000));
    while !pod.next_event().starts_with("SELECT") {}
    // Longer than the time in which a message must be completed.
    sleep(ANSWER_COMPLETION_TIMEOUT * 2);
    pod.resume.send(()).unwrap();
    assert_eq!(client.read_answer(), Answer::Row("blue".into()));
}

/// An answer that is still unread when the pod resets the connection is valid.
#[test]
fn answer_before_a_reset_counts() {
    let (answer, pod, _client) = send_one_request(
        vec![PodBehavior::SendBytesAndClose(encode_answer("red"))],
        "pay",
    );
    assert_eq!(answer, Answer::Row("red".into()));
    assert!(pod.next_event().starts_with("SELECT"));
}

/// The number of further connections after ones that break early is limited, to four per attempt.
#[test]
fn request_uses_a_limited_number_of_connections() {
    let (answer, pod, _client) = send_one_request(vec![PodBehavior::CloseOnFirstBytes], "look");
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "{answer:?}"
    );
    assert!(
        (1..=4 * 4).contains(&pod.connection_count()),
        "{} connections",
        pod.connection_count()
    );
    assert!(pod.events.try_iter().all(|received| received == "gone"));
}

/// A client disconnects while its attempt waits for the answer to the empty query: nothing more is
/// sent for it, even if attempts that were sent may not be cancelled. Previously the statement was
/// sent after that answer.
#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let pod = Pod::new(vec![
        PodBehavior::AnswerEmptyQueryAfterSignal("red"),
        PodBehavior::Answer("blue"),
    ]);
    let address = start_sidecar(SidecarConfigFile {
        may_cancel: false,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)])
    });
    let mut client = Client::new(address);
    client.send_query(&statement_for_row("gone", "look", 4000));
    assert_eq!(pod.next_event(), "empty");
    drop(client);
    // A later request is answered, so the sidecar has processed the disconnect.
    let mut other = Client::new(address);
    other.send_query(&statement_for_row("other", "look", 4000));
    assert_eq!(other.read_answer(), Answer::Row("blue".into()));
    pod.resume.send(()).unwrap();
    let mut received = vec![pod.next_event(), pod.next_event()];
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
    let (pod, address) = start_sidecar_with_pod(vec![PodBehavior::NoAnswer]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("look", 60_000));
    assert!(pod.next_event().starts_with("SELECT"));
    let mut long = bytes::BytesMut::new();
    encode::query(&mut long, &"x".repeat(60 * 1024));
    assert!(client.send_bytes(&long));
    drop(client);
    assert_eq!(pod.next_event(), "gone");
}

/// A connection that is established after its request was completed carries nothing for that
/// request.
#[test]
fn late_connection_carries_nothing_for_a_completed_request() {
    let (pod, address) = start_sidecar_with_pod(vec![
        PodBehavior::StartSessionAfterSignal,
        PodBehavior::Answer("red"),
    ]);
    let mut client = Client::new(address);
    client.send_query(&statement_for_row("over", "pay", 300));
    assert_eq!(pod.next_event(), "came");
    assert!(matches!(client.read_answer(), Answer::Error(code, _) if code == "53300"));
    pod.resume.send(()).unwrap();
    assert_eq!(pod.next_event(), "welcomed");
    client.send_query(&statement_for_row("next", "pay", 5000));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
    assert!(pod.next_event().contains("'next'"));
}

/// Extra bytes after the start of a session would be taken for the answer: the waiting attempt is
/// moved to another connection. Previously the attempt was lost with its connection, and the
/// request timed out.
#[test]
fn attempt_survives_a_connection_with_extra_bytes_at_session_start() {
    let (pod, address) = start_sidecar_with_pod(vec![
        PodBehavior::StartSessionWithExtraBytes,
        PodBehavior::Answer("red"),
    ]);
    let mut client = Client::new(address);
    client.send_query(&statement_of_class("pay", 30_000));
    assert!(client.has_input_within(Duration::from_secs(5)));
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
    assert_eq!(pod.connection_count(), 2);
}

/// A client disconnects while its request waits for any pod: the first pod that is listed does not
/// receive it.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_while_waiting_for_a_pod() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let address = start_sidecar(SidecarConfigFile {
        discovery: discovery.address,
        ..SidecarConfigFile::new(Vec::new())
    });
    discovery.next_request();
    let mut client = Client::new(address);
    client.send_query(&statement_for_row("gone", "look", 4000));
    // Another client that is handled later in the event loop is answered, so the request has been
    // accepted.
    let mut other = Client::new(address);
    other.send_query("");
    assert_eq!(other.read_answer(), Answer::Empty);
    drop(client);
    other.send_query("");
    assert_eq!(other.read_answer(), Answer::Empty);
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[ListedPod::new("p1", pod.address)],
    ));
    other.send_query(&statement_for_row("other", "look", 4000));
    assert_eq!(other.read_answer(), Answer::Row("red".into()));
    assert!(pod.next_event().contains("'other'") && pod.has_no_event());
}
