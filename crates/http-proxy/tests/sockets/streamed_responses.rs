//! Streamed responses.

use crate::support::{sidecar, sidecar_that_sends_to_all, Client, Pod, PodAction, OK_RESPONSE};
use rstest::rstest;
use std::io::Read;

#[test]
fn a_streamed_response_is_sent_to_the_client_before_its_end() {
    let (first, second) = (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
        "3\r\ntwo\r\n0\r\n\r\n",
    );
    let pod = Pod::new(vec![PodAction::RespondInTwoParts(first, second)]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client
        .read_until("3\r\none\r\n")
        .starts_with("HTTP/1.1 200"));
    pod.resume.send(()).unwrap();
    assert_eq!(client.read_until("0\r\n\r\n"), "3\r\ntwo\r\n0\r\n\r\n");
}

#[rstest]
#[case::small_response(OK_RESPONSE)]
#[case::streamed_response(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n"
)]
fn a_hedged_response_is_not_mixed_into_a_stream(#[case] other: &'static str) {
    let (head, rest) = (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
        "3\r\ntwo\r\n0\r\n\r\n",
    );
    let (first, second) = (
        Pod::new(vec![PodAction::RespondInTwoParts(head, rest)]),
        Pod::new(vec![PodAction::RespondInTwoParts("", other)]),
    );
    let mut client = Client::new(sidecar_that_sends_to_all(&[first.address, second.address]));
    client.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.read_until("3\r\none\r\n");
    second.resume.send(()).unwrap();
    // The second pod accepts its next request once the sidecar has read its response.
    let mut other = Client::new(second.address);
    other.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(second.receive().starts_with("GET"));
    first.resume.send(()).unwrap();
    assert_eq!(client.read_until("0\r\n\r\n"), rest);
}

#[test]
fn a_truncated_stream_ends_the_connection() {
    let half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
    let pod = Pod::new(vec![PodAction::RespondAndClose(half)]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.read_until("3\r\none\r\n");
    assert!(client.is_closed_by_sidecar());
}

/// A stream has no deadline, and no setting limits how long a stream may be silent.
#[test]
#[should_panic(expected = "finding 15")]
fn a_stream_whose_pod_is_silent_ends_the_connection() {
    let half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
    let pod = Pod::new(vec![PodAction::RespondInTwoParts(half, "")]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.read_until("3\r\none\r\n");
    client
        .0
        .set_read_timeout(Some(std::time::Duration::from_secs(2)))
        .unwrap();
    let end = client.0.read(&mut [0]);
    assert!(
        end.is_ok(),
        "finding 15: the client still waits after four times the `stall` setting: {end:?}"
    );
}
