//! What a sidecar lacks is its own trouble: descriptors, disk, memory. And how it comes back.

use crate::help::{run, settings, state_file, Client, Does, Pod, DONE, QUOTE};
use limewing_sidecar::service::Service;
use rstest::rstest;
use std::io::Write;
use std::time::Duration;

/// Answers that a client does not read are not heaped up without an end.
#[rstest]
#[case::no_hits("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::status("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::hits(QUOTE)]
fn a_client_that_asks_and_never_reads_is_not_answered_without_an_end(#[case] request: &str) {
    let pod = Pod::new(vec![Does::Says(DONE)]);
    let at = run(Service::start(&{
        let mut settings = settings();
        settings.state_file = Some(state_file(&[pod.at]));
        settings
    })
    .unwrap());
    let client = Client::new(at);
    client.0.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let text = request.repeat(1000);
    // Until nothing more is taken, or far more than buffers hold.
    let taken = (0..400).take_while(|_| (&client.0).write_all(text.as_bytes()).is_ok()).count();
    let mut other = Client::new(at);
    other.says("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
    let (_, body) = other.hears();
    let unsent =
        body.split("\"unsent\":").nth(1).and_then(|rest| rest.trim_end_matches('}').parse::<usize>().ok());
    assert!(unsent.is_some_and(|unsent| unsent < 200_000), "{taken} thousand taken: {body}");
}

#[test]
fn a_client_that_is_refused_and_sends_on_holds_nobody_up() {
    let at = run(Service::start(&settings()).unwrap());
    for _ in 0..3 {
        std::thread::spawn(move || {
            let mut client = Client::new(at);
            client.says("no request\r\n\r\n");
            while client.0.write_all(&[b'x'; 1 << 20]).is_ok() {}
        });
    }
    let mut slowest = Duration::ZERO;
    for _ in 0..40 {
        let began = std::time::Instant::now();
        let mut client = Client::new(at);
        client.says("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(client.hears().0.starts_with("HTTP/1.1 200"));
        slowest = slowest.max(began.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}
