//! The hard cases on sockets: what proves that a forward never ran, answers that are none, clients that go.

use crate::help::{
    run, settings, sidecar, sidecar_to_all, sidecar_with, Client, Does, Pod, CHARGE, DONE, QUOTE,
};
use limewing_http_proxy::service::Service;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";
const NOT_BEGUN: &str = "HTTP/1.1 503 Busy\r\nLimewing-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";

/// Hits that a pod answers well before it fails: they earn the sidecar its further forwards.
const GOOD: usize = 12;

/// Asks until the pod that fails has done so; tells that hit's answer, and what the other pod heard for it.
fn asked_of(request: &str, bad: Does) -> (String, Vec<String>) {
    let script = vec![Does::Says(DONE); GOOD]
        .into_iter()
        .chain([bad])
        .collect();
    let (bad, good) = (Pod::new(script), Pod::new(vec![Does::Says(DONE)]));
    let to = sidecar(&[bad.at, good.at]);
    let mut heard = 0;
    for _ in 0..500 {
        let mut client = Client::new(to);
        client.says(request);
        let (head, _) = client.hears();
        heard += bad.seen.try_iter().filter(|head| head != "gone").count();
        let others: Vec<String> = good.seen.try_iter().collect();
        if heard > GOOD {
            return (head, others);
        }
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    panic!("too few hits went to the bad pod");
}

#[rstest]
#[case::half_an_answer(Does::SaysAndCloses(HALF))]
#[case::garbage(Does::Says("what do you want?\r\n\r\n"))]
#[case::nothing(Does::SaysAndCloses(""))]
#[case::an_error(Does::Says("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"))]
fn what_may_have_run_goes_out_again_only_if_that_does_no_harm(#[case] bad: Does) {
    let (head, others) = asked_of(QUOTE, bad.clone());
    assert!(
        head.starts_with("HTTP/1.1 200") && others.len() == 1,
        "{head}"
    );
    let (head, others) = asked_of(CHARGE, bad);
    assert!(
        head.starts_with("HTTP/1.1 502") && head.contains("it may have run"),
        "{head}"
    );
    assert!(others.is_empty());
}

#[test]
fn a_pod_that_has_not_begun_a_mutating_hit_loses_it_to_another() {
    let (head, others) = asked_of(CHARGE, Does::Says(NOT_BEGUN));
    assert!(
        head.starts_with("HTTP/1.1 200") && others.len() == 1,
        "{head}"
    );
}

#[test]
fn a_refused_connection_proves_that_a_mutating_hit_never_ran() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let good = Pod::new(vec![Does::Says(DONE)]);
    let to = sidecar(&[closed, good.at]);
    for turn in 0..60 {
        let mut client = Client::new(to);
        client.says(CHARGE);
        let (head, _) = client.hears();
        // The first hits have not earned a further forward: they are given back unharmed.
        let unharmed = turn < 20 && head.contains("a retry is harmless");
        assert!(unharmed || head.starts_with("HTTP/1.1 200"), "{head}");
    }
}

#[test]
fn a_kept_connection_closed_on_the_hit_proves_nothing() {
    // The pod answers once, reads the next hit, and closes without a word.
    let pod = Pod::new(vec![
        Does::Says(DONE),
        Does::SaysAndCloses(""),
        Does::Says(DONE),
    ]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(CHARGE);
    assert!(client.hears().0.starts_with("HTTP/1.1 200"));
    client.says(CHARGE);
    let (head, _) = client.hears();
    assert!(
        head.starts_with("HTTP/1.1 502") && head.contains("it may have run"),
        "{head}"
    );
    let heard: Vec<String> = std::iter::from_fn(|| pod.seen.try_recv().ok()).collect();
    assert_eq!(
        heard.iter().filter(|head| head.starts_with("POST")).count(),
        2,
        "{heard:?}"
    );
}

#[test]
fn an_answer_after_its_time_goes_nowhere() {
    let pod = Pod::new(vec![
        Does::SaysInTwo("", DONE),
        Does::Says("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh"),
    ]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("POST /charges HTTP/1.1\r\nHost: a\r\nWait-Ms: 200\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = client.hears();
    assert!(
        head.starts_with("HTTP/1.1 504") && head.contains("it may have run"),
        "{head}"
    );
    pod.go_on.send(()).unwrap();
    client.says(QUOTE);
    assert_eq!(client.hears().1, "fresh");
}

#[test]
fn a_second_answer_is_not_taken_for_the_next_hits() {
    let twice =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    let pod = Pod::new(vec![Does::Says(twice), Does::Says(DONE)]);
    let mut client = Client::new(sidecar(&[pod.at]));
    for _ in 0..3 {
        client.says(QUOTE);
        assert_eq!(client.hears().1, "done");
    }
}

#[test]
fn a_client_that_goes_takes_its_hit_back() {
    let pod = Pod::new(vec![Does::Waits]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(QUOTE);
    assert!(pod.hears().starts_with("GET"));
    client.0.shutdown(Shutdown::Both).unwrap();
    assert_eq!(pod.hears(), "gone");
}

/// Also where it has sent more than is read ahead of it: its end stands behind that.
#[test]
fn a_client_that_goes_behind_unread_requests_takes_its_hit_back() {
    let pod = Pod::new(vec![Does::Waits]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(QUOTE);
    assert!(pod.hears().starts_with("GET"));
    client.says(&QUOTE.repeat(60 * 1024 / QUOTE.len()));
    let went = Instant::now();
    client.0.shutdown(Shutdown::Both).unwrap();
    assert_eq!(pod.hears(), "gone");
    // Long before the hit's time is up, at which it ends in any case.
    assert!(went.elapsed() < Duration::from_secs(5));
}

#[rstest]
#[case::two_lengths(
    "POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::bad_chunk(
    "POST /charges HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "400"
)]
#[case::other_coding(
    "POST /charges HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
    "501"
)]
#[case::slow("GET /quotes/1 HTTP/1.1\r\nHo", "408")]
fn what_is_refused_is_not_forwarded_and_ends_the_connection(
    #[case] text: &str,
    #[case] status: &str,
) {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(text);
    let (head, _) = client.hears();
    assert!(
        head.starts_with(&format!("HTTP/1.1 {status}")) && head.contains("connection: close"),
        "{head}"
    );
    assert!(client.hears_the_end() && pod.heard_nothing());
}

#[rstest]
#[case::no_group("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", "404")]
#[case::odd_deadline("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: soon\r\n\r\n", "400")]
fn what_is_no_hit_is_answered_and_the_connection_goes_on(#[case] text: &str, #[case] status: &str) {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(text);
    assert!(client.hears().0.starts_with(&format!("HTTP/1.1 {status}")));
    client.says(QUOTE);
    assert_eq!(client.hears().1, "done");
}

/// A body far beyond what is kept and what buffers hold, as it comes and as chunks.
#[rstest]
#[case::with_a_length(false)]
#[case::in_chunks(true)]
fn a_large_body_is_passed_on_whole(#[case] chunks: bool) {
    const LARGE: usize = 3_000_000;
    let pod = Pod::new(vec![Does::Counts]);
    let mut client = Client::new(sidecar(&[pod.at]));
    let framing = if chunks {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {LARGE}")
    };
    client.says(&format!(
        "PUT /quotes/1 HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n"
    ));
    let piece = "x".repeat(LARGE / 10);
    for _ in 0..10 {
        client.says(&if chunks {
            format!("{:x}\r\n{piece}\r\n", piece.len())
        } else {
            piece.clone()
        });
    }
    client.says(if chunks { "0\r\n\r\n" } else { "" });
    assert_eq!(client.hears().1, LARGE.to_string());
}

#[test]
fn a_large_body_goes_to_one_pod_only() {
    let pods = [
        Pod::new(vec![Does::SaysAndCloses("")]),
        Pod::new(vec![Does::SaysAndCloses("")]),
    ];
    let mut client = Client::new(sidecar(&[pods[0].at, pods[1].at]));
    let body = "x".repeat(5_000);
    client.says(&format!(
        "PUT /quotes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n{body}"
    ));
    // Nothing of it is left, but it may run again: the client may send it anew.
    assert!(client.hears().0.contains("a retry is harmless"));
    let heard = pods
        .iter()
        .flat_map(|pod| pod.seen.try_iter())
        .filter(|head| head.starts_with("PUT"))
        .count();
    assert_eq!(heard, 1);
}

#[test]
fn a_client_that_goes_in_the_middle_of_a_large_body_leaves_no_whole_hit() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = Client::new(sidecar(&[pod.local_addr().unwrap()]));
    client.says("PUT /quotes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
    client.says(&"x".repeat(2_000));
    let (mut link, _) = pod.accept().unwrap();
    let mut first = [0; 100];
    link.read_exact(&mut first).unwrap();
    drop(client);
    let mut rest = Vec::new();
    let _ = link.read_to_end(&mut rest);
    assert!(first.starts_with(b"PUT") && rest.len() < 5_000);
}

#[test]
fn an_answer_to_head_tells_a_length_and_has_no_body() {
    let pod = Pod::new(vec![
        Does::Says("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"),
        Does::Says(DONE),
    ]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("HEAD /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client
        .reads_until("\r\n\r\n")
        .contains("content-length: 40"));
    client.says(QUOTE);
    assert_eq!(client.hears().1, "done");
}

#[test]
fn pipelined_hits_are_answered_in_order() {
    let script = ["one", "two", "six"].map(|word| {
        Does::Says(Box::leak(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{word}").into_boxed_str(),
        ))
    });
    let pod = Pod::new(script.to_vec());
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says(&QUOTE.repeat(3));
    let heard: Vec<String> = (0..3).map(|_| client.hears().1).collect();
    assert_eq!(heard, ["one", "two", "six"]);
}

#[test]
fn a_streamed_answer_passes_through_before_its_end() {
    let (first, second) = (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
        "3\r\ntwo\r\n0\r\n\r\n",
    );
    let pod = Pod::new(vec![Does::SaysInTwo(first, second)]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client
        .reads_until("3\r\none\r\n")
        .starts_with("HTTP/1.1 200"));
    pod.go_on.send(()).unwrap();
    assert_eq!(client.reads_until("0\r\n\r\n"), "3\r\ntwo\r\n0\r\n\r\n");
}

#[rstest]
#[case::a_small_one(DONE)]
#[case::another_stream(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n"
)]
fn a_second_copys_answer_does_not_come_into_a_stream(#[case] other: &'static str) {
    let (head, rest) = (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
        "3\r\ntwo\r\n0\r\n\r\n",
    );
    let (first, second) = (
        Pod::new(vec![Does::SaysInTwo(head, rest)]),
        Pod::new(vec![Does::SaysInTwo("", other)]),
    );
    let mut client = Client::new(sidecar_to_all(&[first.at, second.at]));
    client.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.reads_until("3\r\none\r\n");
    second.go_on.send(()).unwrap();
    // The second pod's next word is heard once its answer was read.
    let mut other = Client::new(second.at);
    other.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(second.hears().starts_with("GET"));
    first.go_on.send(()).unwrap();
    assert_eq!(client.reads_until("0\r\n\r\n"), rest);
}

#[test]
fn a_list_that_could_not_be_used_is_asked_for_whole_again() {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.list.address = list.local_addr().unwrap();
    let entry = format!(
        r#"[{{"Service":{{"ID":"a","Address":"127.0.0.1","Port":{},"Meta":{{"build":"1"}}}}}}]"#,
        pod.at.port()
    );
    let mut client = Client::new(run(Service::start(&settings).unwrap()));
    for body in ["half a li", &entry] {
        let (mut link, _) = list.accept().unwrap();
        let mut asked = [0; 500];
        let length = link.read(&mut asked).unwrap();
        assert!(String::from_utf8_lossy(&asked[..length]).contains("index=0&"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        link.write_all((head + body).as_bytes()).unwrap();
        client.says("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\n\r\n");
        let (head, _) = client.hears();
        assert_eq!(head.starts_with("HTTP/1.1 200"), body.len() > 20, "{head}");
    }
}

#[test]
fn a_streamed_answer_that_breaks_is_cut() {
    let half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
    let pod = Pod::new(vec![Does::SaysAndCloses(half)]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.reads_until("3\r\none\r\n");
    assert!(client.hears_the_end());
}

/// A stream has no deadline, and no setting says how long one may be quiet.
#[test]
#[should_panic(expected = "finding 15")]
fn a_streamed_answer_whose_pod_goes_silent_is_cut() {
    let half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
    let pod = Pod::new(vec![Does::SaysInTwo(half, "")]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    client.reads_until("3\r\none\r\n");
    client
        .0
        .set_read_timeout(Some(std::time::Duration::from_secs(2)))
        .unwrap();
    let cut = client.0.read(&mut [0]);
    assert!(
        cut.is_ok(),
        "finding 15: its client still waits after four times the stall: {cut:?}"
    );
}

#[test]
fn a_client_that_never_reads_is_cut_and_its_pod_let_go() {
    let pod = Pod::new(vec![Does::Floods]);
    let mut client = Client::new(sidecar(&[pod.at]));
    client.says("GET /feed HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(pod.hears().starts_with("GET /feed"));
    assert_eq!(pod.hears(), "gone");
}

#[test]
fn without_a_list_hits_are_bounced_without_harm() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    std::fs::write(&file, "{ broken").unwrap();
    let mut client = Client::new(sidecar_with(Some(file)));
    client.says("POST /charges HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = client.hears();
    assert!(
        head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
        "{head}"
    );
    assert!(head.contains("retry-after"));
}
