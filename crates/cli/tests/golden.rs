//! Pins what the command prints and reads: the JSON schemas, whose titles and descriptions are part of them, and the tables
//! made of a sidecar's pages.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

fn printed(arguments: &[&str]) -> String {
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
fn a_schema_is_printed_as_before(#[case] of: &[&str], #[case] schema: &str) {
    assert_eq!(printed(&[&["settings", "schema"], of].concat()), schema);
}

/// Answers one request with a page; the request's first line must be this.
fn serves(request: &'static str, page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut client, _) = listener.accept().unwrap();
        let mut asked = vec![0; 4096];
        let length = client.read(&mut asked).unwrap();
        let known = asked[..length].starts_with(request.as_bytes());
        let status = if known { "200 OK" } else { "404 Not Found" };
        let length = page.len();
        write!(
            client,
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{page}"
        )
        .unwrap();
    });
    address
}

/// The pages are the ones that the sidecar's own tests pin.
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
fn a_page_is_shown_as_before(
    #[case] command: &[&str],
    #[case] request: &'static str,
    #[case] page: &'static str,
    #[case] shown: &str,
) {
    let address = serves(request, page).to_string();
    assert_eq!(printed(&[command, &[&address]].concat()), shown);
}
