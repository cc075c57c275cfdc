//! Tests `limewing sidecar` processes with little memory.

use crate::memory::{
    assert_within_memory_limit, peak_memory, KIB_PER_MB, MAX_DESCRIPTORS, MAX_MEMORY_MB, MAX_VALUE,
};
use crate::support::{replace_in_file, send_request, write_settings_with_pods, SidecarProcess};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::thread::{self, sleep};
use std::time::Duration;

/// A sidecar for HTTP/1.1 with the lowest memory limit, and a pod that answers after a time.
struct LimitedHttpSidecar {
    process: SidecarProcess,
    _folder: tempfile::TempDir,
}

impl LimitedHttpSidecar {
    fn start(response_delay: Duration) -> Self {
        let pod = start_http_pod(response_delay);
        let folder = tempfile::tempdir().unwrap();
        let file = write_settings_with_pods(folder.path(), &[(pod, 1)]);
        let memory = MAX_MEMORY_MB * KIB_PER_MB * KIB_PER_MB;
        let limits = format!(r#""limits": {{ "memory": {memory}, "request_within": 1.5,"#);
        replace_in_file(&file, r#""limits": {"#, &limits);
        let descriptors = format!("ulimit -n {MAX_DESCRIPTORS};");
        Self {
            process: SidecarProcess::start(&descriptors, &file, Stdio::null()),
            _folder: folder,
        }
    }
}

/// Starts a pod that answers every request after a time; returns its address. It ends with the test process.
fn start_http_pod(response_delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve_http(stream, response_delay));
        }
    });
    address
}

fn serve_http(mut stream: TcpStream, response_delay: Duration) {
    let mut input = vec![0; MAX_VALUE];
    // Each request of these tests ends with this byte.
    while let Ok(length @ 1..) = stream.read(&mut input) {
        if input[length - 1] == END_OF_REQUEST {
            sleep(response_delay);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
    }
}

const END_OF_REQUEST: u8 = b'!';

/// A request whose body has this length. Its last byte is the only [`END_OF_REQUEST`].
fn http_request(body_length: usize) -> String {
    let body = "x".repeat(body_length - 1);
    format!(
        "POST /orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: {body_length}\r\n\r\n{body}!"
    )
}

/// A request head of very many short fields, up to the limits on heads.
fn head_of_short_fields() -> String {
    let fields = "a:b\r\n".repeat(60);
    format!("POST /orders HTTP/1.1\r\nHost: a\r\n{fields}")
}

/// A request with a large body in chunks of one byte.
fn body_of_short_chunks() -> String {
    let chunks = "1\r\nx\r\n".repeat(MAX_VALUE - KIB_PER_MB);
    format!("POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}")
}

/// Hundreds of HTTP clients that stop half way through a large request, write it slowly, or send many short fields or chunks, hold no more
/// memory than the settings allow, and others are served. Guards against a sidecar that is killed for its memory: only the number of
/// clients was limited, by a limit on the address space.
#[rstest]
#[case::half_of_a_body(http_request(MAX_VALUE), MAX_VALUE)]
#[case::slowly_written_body(http_request(MAX_VALUE), 512)]
#[case::short_fields(head_of_short_fields(), MAX_VALUE)]
#[case::short_chunks(body_of_short_chunks(), 4 * 1024)]
fn unfinished_http_requests_stay_within_the_memory_limit(
    #[case] request: String,
    #[case] piece: usize,
) {
    const BAD_CLIENTS: usize = MAX_DESCRIPTORS / 3;
    let sidecar = LimitedHttpSidecar::start(Duration::ZERO);
    let process = &sidecar.process;
    let unfinished = &request.as_bytes()[..request.len() - 1];
    let peak = peak_memory(process.child.id(), || {
        let bad_clients: Vec<TcpStream> = (0..BAD_CLIENTS).map(|_| process.connect()).collect();
        for bytes in unfinished.chunks(piece) {
            for mut client in &bad_clients {
                // The sidecar may have rejected it.
                let _ = client.write_all(bytes);
            }
        }
        let head = send_request(&mut process.connect(), &http_request(2)).unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    });
    assert_within_memory_limit(peak);
}

/// Requests with large bodies that wait for a slow pod count against the memory limit: each is served, or rejected as one that a retry does
/// not harm.
#[test]
fn open_http_requests_stay_within_the_memory_limit() {
    const CLIENTS: usize = MAX_DESCRIPTORS * 2 / 5;
    let sidecar = LimitedHttpSidecar::start(Duration::from_secs(1));
    let process = &sidecar.process;
    let request = &http_request(MAX_VALUE);
    let peak = peak_memory(process.child.id(), || {
        thread::scope(|scope| {
            let send = || {
                let head = send_request(&mut process.connect(), request).unwrap();
                let is_answered = head.starts_with("HTTP/1.1 200")
                    || head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless");
                assert!(is_answered, "{head}");
            };
            (0..CLIENTS).for_each(|_| {
                scope.spawn(send);
            });
        });
    });
    assert_within_memory_limit(peak);
}
