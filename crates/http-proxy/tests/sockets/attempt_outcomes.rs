//! Outcomes of attempts: which ones prove that the request never ran, and how the sidecar then handles the request.

use crate::support::{
    sidecar, sidecar_with_state_file, Client, Pod, PodAction, GET_QUOTE, OK_RESPONSE, POST_CHARGE,
};
use rstest::rstest;
use std::net::TcpListener;

const HALF_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";
const NOT_STARTED: &str = "HTTP/1.1 503 Busy\r\nLimewing-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";

/// Number of requests that a pod serves before it fails; they fill the sidecar's retry budget.
const SERVED_BEFORE_FAILURE: usize = 12;

/// Sends requests until the failing pod has failed one. Returns the response to that request, and the heads that the other
/// pod received for it.
fn request_until_failure(request: &str, bad: PodAction) -> (String, Vec<String>) {
    let script = vec![PodAction::Respond(OK_RESPONSE); SERVED_BEFORE_FAILURE]
        .into_iter()
        .chain([bad])
        .collect();
    let (bad, good) = (
        Pod::new(script),
        Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
    );
    let sidecar_address = sidecar(&[bad.address, good.address]);
    let mut received = 0;
    for _ in 0..500 {
        let mut client = Client::new(sidecar_address);
        client.send(request);
        let (head, _) = client.read_response();
        received += bad
            .received
            .try_iter()
            .filter(|head| head != "gone")
            .count();
        let others: Vec<String> = good.received.try_iter().collect();
        if received > SERVED_BEFORE_FAILURE {
            return (head, others);
        }
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    panic!("too few requests were sent to the failing pod");
}

#[rstest]
#[case::truncated_response(PodAction::RespondAndClose(HALF_RESPONSE))]
#[case::malformed_response(PodAction::Respond("what do you want?\r\n\r\n"))]
#[case::no_response(PodAction::RespondAndClose(""))]
#[case::server_error(PodAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"))]
fn a_request_that_may_have_run_is_retried_only_if_idempotent(#[case] bad: PodAction) {
    let (head, others) = request_until_failure(GET_QUOTE, bad.clone());
    assert!(
        head.starts_with("HTTP/1.1 200") && others.len() == 1,
        "{head}"
    );
    let (head, others) = request_until_failure(POST_CHARGE, bad);
    assert!(
        head.starts_with("HTTP/1.1 502") && head.contains("it may have run"),
        "{head}"
    );
    assert!(others.is_empty());
}

#[test]
fn a_non_idempotent_request_that_was_not_started_is_retried_at_another_pod() {
    let (head, others) = request_until_failure(POST_CHARGE, PodAction::Respond(NOT_STARTED));
    assert!(
        head.starts_with("HTTP/1.1 200") && others.len() == 1,
        "{head}"
    );
}

#[test]
fn a_refused_connection_proves_that_a_non_idempotent_request_never_ran() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let good = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let sidecar_address = sidecar(&[closed, good.address]);
    for index in 0..60 {
        let mut client = Client::new(sidecar_address);
        client.send(POST_CHARGE);
        let (head, _) = client.read_response();
        // The retry budget allows no second attempt for the first requests; they are rejected without having run.
        let is_rejected = index < 20 && head.contains("a retry is harmless");
        assert!(is_rejected || head.starts_with("HTTP/1.1 200"), "{head}");
    }
}

#[test]
fn an_idle_connection_closed_upon_a_request_does_not_prove_that_it_never_ran() {
    // The pod responds once, reads the next request, and closes without a response.
    let pod = Pod::new(vec![
        PodAction::Respond(OK_RESPONSE),
        PodAction::RespondAndClose(""),
        PodAction::Respond(OK_RESPONSE),
    ]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send(POST_CHARGE);
    assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
    client.send(POST_CHARGE);
    let (head, _) = client.read_response();
    assert!(
        head.starts_with("HTTP/1.1 502") && head.contains("it may have run"),
        "{head}"
    );
    let received: Vec<String> = std::iter::from_fn(|| pod.received.try_recv().ok()).collect();
    assert_eq!(
        received
            .iter()
            .filter(|head| head.starts_with("POST"))
            .count(),
        2,
        "{received:?}"
    );
}

#[test]
fn a_late_response_is_discarded() {
    let pod = Pod::new(vec![
        PodAction::RespondInTwoParts("", OK_RESPONSE),
        PodAction::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh"),
    ]);
    let mut client = Client::new(sidecar(&[pod.address]));
    client.send("POST /charges HTTP/1.1\r\nHost: a\r\nWait-Ms: 200\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = client.read_response();
    assert!(
        head.starts_with("HTTP/1.1 504") && head.contains("it may have run"),
        "{head}"
    );
    pod.resume.send(()).unwrap();
    client.send(GET_QUOTE);
    assert_eq!(client.read_response().1, "fresh");
}

#[test]
fn a_surplus_response_is_not_used_for_the_next_request() {
    let two_responses =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    let pod = Pod::new(vec![
        PodAction::Respond(two_responses),
        PodAction::Respond(OK_RESPONSE),
    ]);
    let mut client = Client::new(sidecar(&[pod.address]));
    for _ in 0..3 {
        client.send(GET_QUOTE);
        assert_eq!(client.read_response().1, "done");
    }
}

#[test]
fn without_an_endpoint_list_requests_are_rejected_unsent() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    std::fs::write(&file, "{ broken").unwrap();
    let mut client = Client::new(sidecar_with_state_file(Some(file)));
    client.send("POST /charges HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = client.read_response();
    assert!(
        head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
        "{head}"
    );
    assert!(head.contains("retry-after"));
}
