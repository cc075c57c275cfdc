//! A relay before a sidecar that sends some of its answers twice.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// One in so many answers is sent twice.
const DUPLICATE_INTERVAL: u64 = 20;
/// What is relayed at once, in bytes.
const RELAY_BUFFER: usize = 16 * 1024;

/// Counts the answers of all connections.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

/// Starts a relay to a sidecar; returns the address that it listens at.
///
/// # Errors
///
/// No port is free.
pub(crate) fn start_relay(sidecar: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            // A client that can't be relayed sees its connection closed.
            let _ = relay(client, sidecar);
        }
    });
    Ok(address)
}

fn relay(client: TcpStream, sidecar: SocketAddr) -> io::Result<()> {
    let sidecar = TcpStream::connect(sidecar)?;
    let from_client = client.try_clone()?;
    let to_sidecar = sidecar.try_clone()?;
    thread::spawn(move || copy_requests(from_client, to_sidecar));
    thread::spawn(move || copy_answers(sidecar, client));
    Ok(())
}

fn copy_requests(from: TcpStream, to: TcpStream) {
    copy(from, to, || false);
}

fn copy_answers(from: TcpStream, to: TcpStream) {
    copy(from, to, || {
        ANSWERS.fetch_add(1, Ordering::Relaxed) % DUPLICATE_INTERVAL == DUPLICATE_INTERVAL - 1
    });
}

/// Copies bytes until a side closes; `duplicates` is asked for each read whether it is sent twice.
fn copy(mut from: TcpStream, mut to: TcpStream, duplicates: impl Fn() -> bool) {
    let mut buffer = [0; RELAY_BUFFER];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        let bytes = &buffer[..length];
        let is_duplicated = duplicates();
        if to.write_all(bytes).is_err() {
            break;
        }
        if is_duplicated && to.write_all(bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
