//! Pins the output of the command: the JSON schemas, including their titles and descriptions, and the tables that show a
//! sidecar's pages.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

fn run_command(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_limewing"))
        .args(arguments)
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{arguments:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap()
}

#[rstest]
#[case::default(&[], include_str!("golden/sidecar.schema.json"))]
#[case::sidecar(&["sidecar"], include_str!("golden/sidecar.schema.json"))]
#[case::day(&["day"], include_str!("golden/day.schema.json"))]
#[case::faults(&["faults"], include_str!("golden/faults.schema.json"))]
#[case::keys(&["keys"], include_str!("golden/keys.schema.json"))]
#[case::work(&["work"], include_str!("golden/work.schema.json"))]
fn schemas_match_the_golden_files(#[case] of: &[&str], #[case] schema: &str) {
    assert_eq!(run_command(&[&["settings", "schema"], of].concat()), schema);
}

/// Serves one request with a page. The request must start with the given line.
fn serve_page(request: &'static str, page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut client, _) = listener.accept().unwrap();
        let mut received = vec![0; 4096];
        let length = client.read(&mut received).unwrap();
        let matches = received[..length].starts_with(request.as_bytes());
        let status = if matches { "200 OK" } else { "404 Not Found" };
        let length = page.len();
        write!(
            client,
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{page}"
        )
        .unwrap();
    });
    address
}

/// Uses the pages that the sidecar's own tests pin.
#[rstest]
#[case::fleet(
    &["fleet", "show"],
    "GET /limewing/fleet HTTP/1.1\r\n",
    include_str!("../../http-proxy/tests/golden/fleet.json"),
    include_str!("golden/fleet-show.txt")
)]
#[case::state(
    &["fleet", "state"],
    "GET /limewing/state HTTP/1.1\r\n",
    include_str!("../../http-proxy/tests/golden/state-page.json"),
    include_str!("golden/fleet-state.txt")
)]
#[case::work(
    &["work", "show"],
    "GET /limewing/work HTTP/1.1\r\n",
    include_str!("../../http-proxy/tests/golden/work.json"),
    include_str!("golden/work-show.txt")
)]
fn tables_match_the_golden_files(
    #[case] command: &[&str],
    #[case] request: &'static str,
    #[case] page: &'static str,
    #[case] expected: &str,
) {
    let address = serve_page(request, page).to_string();
    assert_eq!(run_command(&[command, &[&address]].concat()), expected);
}
