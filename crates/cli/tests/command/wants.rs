//! A sidecar that runs out of something, and comes back: logs, descriptors, memory.

use crate::help::{settings, Running};
use rstest::rstest;
use std::fs::File;
use std::io::{Read, Write};
use std::process::Stdio;

/// Requests enough that what is logged of them fills any pipe.
const MANY: usize = 3_000;

/// Standard error that takes nothing must not end or hold up a sidecar.
#[rstest]
#[case::full_disk("", Some("/dev/full"))]
#[case::file_at_its_limit("ulimit -f 1;", None)]
#[case::a_pipe_that_nobody_reads("", Some("pipe"))]
#[case::closed("exec 2>&-;", Some("/dev/null"))]
fn logs_that_go_nowhere_hold_nothing_up(#[case] limits: &str, #[case] to: Option<&str>) {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), "127.0.0.1:0");
    let log = match to {
        Some("pipe") => Stdio::piped(),
        Some(path) => File::options().write(true).open(path).unwrap().into(),
        None => File::create(folder.path().join("log")).unwrap().into(),
    };
    let mut sidecar = Running::start(&format!("export RUST_LOG=debug; {limits}"), &file, log);
    let mut client = sidecar.connect();
    for _ in 0..MANY {
        // A line is logged of each refused request.
        let mut client = sidecar.connect();
        client.write_all(b"no request\r\n\r\n").unwrap();
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("an answer in time");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    let head = crate::help::ask(&mut client, "GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200") && sidecar.runs(), "{head}");
}
