//! Client connections: malformed, pipelined and abandoned requests.

use crate::support::{sidecar, Client, Pod, PodAction, GET_QUOTE, OK_RESPONSE};
use rstest::rstest;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn a_client_that_disconnects_cancels_its_request() {
    let pod = Pod::new(vec![PodAction::StaySilent]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(GET_QUOTE);
    assert!(pod.receive().starts_with("GET"));
    client.0.shutdown(Shutdown::Both).unwrap();
    assert_eq!(pod.receive(), "gone");
}

/// The client has pipelined more than the sidecar reads ahead, so the end of the connection is behind unread bytes.
#[test]
fn a_client_that_disconnects_after_pipelined_requests_cancels_its_request() {
    let pod = Pod::new(vec![PodAction::StaySilent]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(GET_QUOTE);
    assert!(pod.receive().starts_with("GET"));
    client.send(&GET_QUOTE.repeat(60 * 1024 / GET_QUOTE.len()));
    let disconnected_at = Instant::now();
    client.0.shutdown(Shutdown::Both).unwrap();
    assert_eq!(pod.receive(), "gone");
    // The request must end long before its deadline, at which it would end in any case.
    assert!(disconnected_at.elapsed() < Duration::from_secs(5));
}

#[rstest]
#[case::two_lengths(
    "POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::malformed_chunk(
    "POST /charges HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "400"
)]
#[case::other_coding(
    "POST /charges HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
    "501"
)]
#[case::incomplete_head("GET /quotes/1 HTTP/1.1\r\nHo", "408")]
fn a_malformed_request_is_not_sent_to_a_pod_and_ends_the_connection(
    #[case] text: &str,
    #[case] status: &str,
) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(text);
    let (head, _) = client.read_response();
    assert!(
        head.starts_with(&format!("HTTP/1.1 {status}")) && head.contains("connection: close"),
        "{head}"
    );
    assert!(client.is_closed_by_sidecar() && pod.received_nothing());
}

#[rstest]
#[case::unknown_class("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", "404")]
#[case::malformed_deadline("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: soon\r\n\r\n", "400")]
fn an_unclassified_request_is_answered_and_the_connection_stays_open(
    #[case] text: &str,
    #[case] status: &str,
) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(text);
    assert!(client
        .read_response()
        .0
        .starts_with(&format!("HTTP/1.1 {status}")));
    client.send(GET_QUOTE);
    assert_eq!(client.read_response().1, "done");
}

#[test]
fn a_response_to_head_has_a_length_and_no_body() {
    let pod = Pod::new(vec![
        PodAction::Respond("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"),
        PodAction::Respond(OK_RESPONSE),
    ]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("HEAD /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client.read_until("\r\n\r\n").contains("content-length: 40"));
    client.send(GET_QUOTE);
    assert_eq!(client.read_response().1, "done");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let script = ["one", "two", "six"].map(|word| {
        PodAction::Respond(Box::leak(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{word}").into_boxed_str(),
        ))
    });
    let pod = Pod::new(script.to_vec());
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(&GET_QUOTE.repeat(3));
    let bodies: Vec<String> = (0..3).map(|_| client.read_response().1).collect();
    assert_eq!(bodies, ["one", "two", "six"]);
}

#[test]
fn a_client_that_never_reads_is_disconnected_and_its_pod_released() {
    let pod = Pod::new(vec![PodAction::SendForever]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(pod.receive().starts_with("GET /feed"));
    assert_eq!(pod.receive(), "gone");
}
