//! A sidecar that runs out of something, and comes back: logs, descriptors, memory.

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
    let file = write_settings(folder.path(), "127.0.0.1:0");
    let log = match to {
        Some("pipe") => Stdio::piped(),
        Some(path) => File::options().write(true).open(path).unwrap().into(),
        None => File::create(folder.path().join("log")).unwrap().into(),
    };
    let mut sidecar =
        SidecarProcess::start(&format!("export RUST_LOG=debug; {limits}"), &file, log);
    let mut client = sidecar.connect();
    for _ in 0..MANY {
        // A line is logged of each refused request.
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

/// A pod that answers each request, and reports it.
fn start_pod() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let tell = tell.clone();
            std::thread::spawn(move || {
                while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
                    let _ = tell.send(());
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                }
            });
        }
    });
    (at, told)
}

/// A rollout service, and the streams of stage updates that a sidecar opens there. Votes get no answer.
fn start_rollout_service() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (tell, streams) = channel();
    std::thread::spawn(move || {
        let mut votes = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut asked = [0; 1000];
            let length = stream.read(&mut asked).unwrap_or(0);
            if asked[..length].starts_with(b"GET /v1/stages") {
                let _ = tell.send(stream);
            } else {
                votes.push(stream);
            }
        }
    });
    (at, streams)
}

/// Sends a state on the next stream that is opened.
fn send_stage(streams: &Receiver<TcpStream>, state: &str) -> TcpStream {
    let mut stream = streams
        .recv_timeout(Duration::from_secs(20))
        .expect("stage news are asked for");
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    write!(stream, "{head}event: stage\ndata: {state}\n\n").unwrap();
    stream
}

#[test]
fn clients_cannot_take_the_descriptors_of_pods_and_news_and_a_lowered_cap_comes_through() {
    let folder = tempfile::tempdir().unwrap();
    let ((base, _), (trial, at_trial)) = (start_pod(), start_pod());
    let (rollout_service, streams) = start_rollout_service();
    let file = write_settings_with_pods(folder.path(), &[(base, 1), (trial, 2)]);
    replace_in_file(&file, "127.0.0.1:8600", &rollout_service.to_string());
    let sidecar = SidecarProcess::start("ulimit -n 64;", &file, Stdio::null());
    let on_trial = r#"{"number":1,"build":2,"stage":2,"phase":"on_trial","cap":1}"#;
    let news = send_stage(&streams, on_trial);
    let mut client = sidecar.connect();
    let mut hits = |many: usize| {
        let well = (0..many).filter(|_| {
            send_request(&mut client, QUOTE)
                .unwrap()
                .starts_with("HTTP/1.1 200")
        });
        well.count()
    };
    while at_trial.try_recv().is_err() {
        assert_eq!(hits(1), 1);
    }
    // More connections than there are descriptors; those that are not accepted wait in the backlog.
    let crowd: Vec<TcpStream> = (0..100).map(|_| sidecar.connect()).collect();
    assert_eq!(hits(20), 20);
    drop(news);
    let back = r#"{"number":2,"build":2,"stage":2,"phase":"going_back","cap":0}"#;
    let _news = send_stage(&streams, back);
    // Of twenty hits half would go there until the news is read; the rule grants a second from then.
    let until = Instant::now() + Duration::from_secs(1);
    while hits(20) < 20 || at_trial.try_iter().count() > 0 {
        assert!(
            Instant::now() < until,
            "hits still go to the build on trial"
        );
    }
    assert_eq!((hits(60), at_trial.try_iter().count()), (60, 0));
    drop(crowd);
    let late = fetch_status(&sidecar.address);
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
}

/// Bodies that many clients have half sent, under a limit of memory.
#[test]
fn buffers_of_many_clients_do_not_end_a_sidecar() {
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
    let mut crowd = Vec::new();
    for _ in 0..CLIENTS {
        // Until the backlog is full as well.
        let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) else {
            break;
        };
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        if stream.write_all(&half).is_err() {
            break;
        }
        crowd.push(stream);
    }
    let answer = send_request(&mut client, QUOTE);
    assert!(
        sidecar.is_running(),
        "it ended with {} clients",
        crowd.len()
    );
    assert!(answer.is_ok_and(|head| head.starts_with("HTTP/1.1 200")));
    drop(crowd);
    let mut late = sidecar.connect();
    assert!(send_request(&mut late, QUOTE).is_ok_and(|head| head.starts_with("HTTP/1.1 200")));
}

/// Connections kept to some pods must not be what keeps hits from the others, or clients from being let in.
#[test]
fn kept_connections_make_room_for_pods_that_have_none_and_for_clients() {
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
                let well = (0..100).filter(|_| {
                    send_request(&mut client, QUOTE)
                        .unwrap()
                        .starts_with("HTTP/1.1 200")
                });
                (well.count(), client)
            })
        })
        .collect();
    let clients: Vec<(usize, TcpStream)> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert_eq!(clients.iter().map(|(well, _)| well).sum::<usize>(), 600);
    let more: Vec<TcpStream> = (0..4).map(|_| sidecar.connect()).collect();
    for mut client in more {
        let head = send_request(&mut client, QUOTE)
            .expect("a client is let in before kept connections end by themselves");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
}
