//! Tests an HTTP sidecar that is signalled to shut down while requests are in transit to it.

use crate::support::{suspend, write_settings, SidecarProcess};
use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::process::Stdio;

const REQUEST: &str =
    "GET /quotes/1 HTTP/1.1\r\nhost: q\r\ncustomer: alder\r\nrouting-key: a\r\n\r\n";

/// A request that arrives together with the shutdown signal, on a new or an idle connection, is answered. Guards against
/// closing the connection without a response when the process handles the signal before it has read the request.
#[rstest]
#[case::new(true)]
#[case::idle(false)]
fn a_request_that_crosses_the_signal_to_shut_down_is_answered(#[case] new: bool) {
    let folder = tempfile::tempdir().unwrap();
    let mut sidecar = SidecarProcess::start(
        "",
        &write_settings(folder.path(), "127.0.0.1:0"),
        Stdio::null(),
    );
    let mut client = sidecar.connect();
    let signal = |signal| kill_process(Pid::from_child(&sidecar.child), signal).unwrap();
    // A connection that the sidecar has accepted.
    let mut first = sidecar.connect();
    first
        .write_all(b"GET /limewing/status HTTP/1.1\r\nhost: q\r\n\r\n")
        .unwrap();
    assert!(first.read(&mut [0; 4096]).unwrap() > 0);
    suspend(&sidecar.child);
    if new {
        client = sidecar.connect();
    }
    signal(Signal::TERM);
    client.write_all(REQUEST.as_bytes()).unwrap();
    signal(Signal::CONT);
    let mut answer = String::new();
    let _ = client.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    drop((client, first));
    assert!(sidecar.child.wait().unwrap().success());
}
