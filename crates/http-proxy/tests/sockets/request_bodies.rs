//! Request bodies that are larger than what is buffered.

use crate::support::{sidecar, Client, Pod, PodAction};
use rstest::rstest;
use std::io::Read;
use std::net::TcpListener;

/// A body far larger than all buffers, with a length and in chunks.
#[rstest]
#[case::with_a_length(false)]
#[case::in_chunks(true)]
fn a_large_body_is_streamed_completely(#[case] chunks: bool) {
    const LARGE: usize = 3_000_000;
    let pod = Pod::new(vec![PodAction::RespondWithBodyLength]);
    let mut client = Client::new(sidecar(&[pod.at]));
    let framing = if chunks {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {LARGE}")
    };
    client.send(&format!(
        "PUT /quotes/1 HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n"
    ));
    let piece = "x".repeat(LARGE / 10);
    for _ in 0..10 {
        client.send(&if chunks {
            format!("{:x}\r\n{piece}\r\n", piece.len())
        } else {
            piece.clone()
        });
    }
    client.send(if chunks { "0\r\n\r\n" } else { "" });
    assert_eq!(client.read_response().1, LARGE.to_string());
}

#[test]
fn a_large_body_is_sent_to_one_pod_only() {
    let pods = [
        Pod::new(vec![PodAction::RespondAndClose("")]),
        Pod::new(vec![PodAction::RespondAndClose("")]),
    ];
    let mut client = Client::new(sidecar(&[pods[0].at, pods[1].at]));
    let body = "x".repeat(5_000);
    client.send(&format!(
        "PUT /quotes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n{body}"
    ));
    // The body is gone, but the request is idempotent: the client may send it again.
    assert!(client.read_response().0.contains("a retry is harmless"));
    let heard = pods
        .iter()
        .flat_map(|pod| pod.received.try_iter())
        .filter(|head| head.starts_with("PUT"))
        .count();
    assert_eq!(heard, 1);
}

#[test]
fn a_client_that_disconnects_within_a_large_body_leaves_no_complete_request() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = Client::new(sidecar(&[pod.local_addr().unwrap()]));
    client.send("PUT /quotes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
    client.send(&"x".repeat(2_000));
    let (mut link, _) = pod.accept().unwrap();
    let mut first = [0; 100];
    link.read_exact(&mut first).unwrap();
    drop(client);
    let mut rest = Vec::new();
    let _ = link.read_to_end(&mut rest);
    assert!(first.starts_with(b"PUT") && rest.len() < 5_000);
}
