//! Tests that a sidecar survives exhausted resources: log output, descriptors, memory.

use crate::support::{
    fetch_status, replace_in_file, send_request, write_settings, write_settings_with_pods,
    SidecarProcess,
};
use rstest::rstest;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Number of requests whose log lines exceed the capacity of any pipe.
const REQUEST_COUNT: usize = 3_000;

/// A standard error that accepts no output must neither terminate nor block a sidecar.
#[rstest]
#[case::full_disk("", Some("/dev/full"))]
#[case::file_at_its_limit("ulimit -f 1;", None)]
#[case::pipe_without_reader("", Some("pipe"))]
#[case::closed("exec 2>&-;", Some("/dev/null"))]
fn log_output_that_cannot_be_written_does_not_block(
    #[case] limits: &str,
    #[case] to: Option<&str>,
) {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(folder.path(), "127.0.0.1:0");
    let log = match to {
        Some("pipe") => Stdio::piped(),
        Some(path) => File::options().write(true).open(path).unwrap().into(),
        None => File::create(folder.path().join("log")).unwrap().into(),
    };
    let mut sidecar =
        SidecarProcess::start(&format!("export RUST_LOG=debug; {limits}"), &file, log);
    let mut client = sidecar.connect();
    for _ in 0..REQUEST_COUNT {
        // The sidecar logs a line for each rejected request.
        let mut client = sidecar.connect();
        client.write_all(b"no request\r\n\r\n").unwrap();
        let mut answer = String::new();
        client
            .read_to_string(&mut answer)
            .expect("an answer in time");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    let head = send_request(
        &mut client,
        "GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n",
    )
    .unwrap();
    assert!(
        head.starts_with("HTTP/1.1 200") && sidecar.is_running(),
        "{head}"
    );
}

const QUOTE: &str = "GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a pod that answers each request and reports it on a channel.
fn start_pod() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (reports, requests) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let reports = reports.clone();
            std::thread::spawn(move || {
                while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
                    let _ = reports.send(());
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                }
            });
        }
    });
    (at, requests)
}

/// Starts a rollout service that passes on the stage streams opened by a sidecar, and does not answer votes.
fn start_rollout_service() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (reports, streams) = channel();
    std::thread::spawn(move || {
        let mut votes = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 1000];
            let length = stream.read(&mut request).unwrap_or(0);
            if request[..length].starts_with(b"GET /v1/stages") {
                let _ = reports.send(stream);
            } else {
                votes.push(stream);
            }
        }
    });
    (at, streams)
}

/// Sends a stage update on the next stream that is opened.
fn send_stage(streams: &Receiver<TcpStream>, state: &str) -> TcpStream {
    let mut stream = streams
        .recv_timeout(Duration::from_secs(20))
        .expect("a request for stage updates");
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    write!(stream, "{head}event: stage\ndata: {state}\n\n").unwrap();
    stream
}

#[test]
fn clients_cannot_exhaust_the_descriptors_for_pods_and_stage_updates() {
    let folder = tempfile::tempdir().unwrap();
    let ((base, _), (trial, at_trial)) = (start_pod(), start_pod());
    let (rollout_service, streams) = start_rollout_service();
    let file = write_settings_with_pods(folder.path(), &[(base, 1), (trial, 2)]);
    replace_in_file(&file, "127.0.0.1:8600", &rollout_service.to_string());
    let sidecar = SidecarProcess::start("ulimit -n 64;", &file, Stdio::null());
    let on_trial = r#"{"number":1,"build":2,"stage":2,"phase":"on_trial","cap":1}"#;
    let stage_stream = send_stage(&streams, on_trial);
    let mut client = sidecar.connect();
    let mut send_requests = |count: usize| {
        let succeeded = (0..count).filter(|_| {
            send_request(&mut client, QUOTE)
                .unwrap()
                .starts_with("HTTP/1.1 200")
        });
        succeeded.count()
    };
    while at_trial.try_recv().is_err() {
        assert_eq!(send_requests(1), 1);
    }
    // Opens more connections than there are descriptors. Those that are not accepted wait in the backlog.
    let connections: Vec<TcpStream> = (0..100).map(|_| sidecar.connect()).collect();
    assert_eq!(send_requests(20), 20);
    drop(stage_stream);
    let rollback = r#"{"number":2,"build":2,"stage":2,"phase":"going_back","cap":0}"#;
    let _stage_stream = send_stage(&streams, rollback);
    // Half of twenty requests would go to the build on trial until the stage update is read. The rule allows one second
    // from then.
    let deadline = Instant::now() + Duration::from_secs(1);
    while send_requests(20) < 20 || at_trial.try_iter().count() > 0 {
        assert!(
            Instant::now() < deadline,
            "requests still go to the build on trial"
        );
    }
    assert_eq!((send_requests(60), at_trial.try_iter().count()), (60, 0));
    drop(connections);
    let late = fetch_status(&sidecar.address);
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
}

/// Many clients send incomplete bodies while the memory of the sidecar is limited.
#[test]
fn buffers_of_many_clients_do_not_exhaust_memory() {
    const CLIENTS: usize = 3_000;
    let folder = tempfile::tempdir().unwrap();
    let (base, _) = start_pod();
    let file = write_settings_with_pods(folder.path(), &[(base, 1)]);
    let mut sidecar =
        SidecarProcess::start("ulimit -n 8000; ulimit -v 220000;", &file, Stdio::null());
    let mut client = sidecar.connect();
    let half = [
        b"POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 65000\r\n\r\n",
        &[b'x'; 60_000][..],
    ]
    .concat();
    let at = sidecar.address.parse().unwrap();
    let mut connections = Vec::new();
    for _ in 0..CLIENTS {
        // Continues until the backlog is full as well.
        let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) else {
            break;
        };
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        if stream.write_all(&half).is_err() {
            break;
        }
        connections.push(stream);
    }
    let answer = send_request(&mut client, QUOTE);
    assert!(
        sidecar.is_running(),
        "the sidecar exited with {} clients",
        connections.len()
    );
    assert!(answer.is_ok_and(|head| head.starts_with("HTTP/1.1 200")));
    drop(connections);
    let mut late = sidecar.connect();
    assert!(send_request(&mut late, QUOTE).is_ok_and(|head| head.starts_with("HTTP/1.1 200")));
}

/// Idle connections to some pods must not prevent requests to other pods, or prevent clients from being accepted.
#[test]
fn idle_pod_connections_are_closed_for_other_pods_and_clients() {
    let folder = tempfile::tempdir().unwrap();
    let pods: Vec<_> = (0..24).map(|_| start_pod()).collect();
    let known: Vec<(SocketAddr, u16)> = pods.iter().map(|(at, _)| (*at, 1)).collect();
    let sidecar = SidecarProcess::start(
        "ulimit -n 40;",
        &write_settings_with_pods(folder.path(), &known),
        Stdio::null(),
    );
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let mut client = sidecar.connect();
            std::thread::spawn(move || {
                let succeeded = (0..100).filter(|_| {
                    send_request(&mut client, QUOTE)
                        .unwrap()
                        .starts_with("HTTP/1.1 200")
                });
                (succeeded.count(), client)
            })
        })
        .collect();
    let clients: Vec<(usize, TcpStream)> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert_eq!(
        clients
            .iter()
            .map(|(succeeded, _)| succeeded)
            .sum::<usize>(),
        600
    );
    let more: Vec<TcpStream> = (0..4).map(|_| sidecar.connect()).collect();
    for mut client in more {
        let head = send_request(&mut client, QUOTE)
            .expect("a client is accepted before idle connections time out");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
}
