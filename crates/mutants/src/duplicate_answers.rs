//! A TCP relay in front of a sidecar that sends some of its answers twice.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// One in this many answers is sent twice.
const DUPLICATE_INTERVAL: u64 = 20;
/// The size of a relay buffer.
const RELAY_BUFFER_BYTES: usize = 16 * 1024;

/// The number of answers on all connections so far.
static ANSWER_COUNT: AtomicU64 = AtomicU64::new(0);

/// Starts a relay to a sidecar, and returns the relay's listen address.
///
/// # Errors
///
/// Returns an error if the listen socket cannot be bound.
pub(crate) fn start_relay(sidecar: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            // If the sidecar cannot be reached, dropping the connection closes it for the client.
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
        ANSWER_COUNT.fetch_add(1, Ordering::Relaxed) % DUPLICATE_INTERVAL == DUPLICATE_INTERVAL - 1
    });
}

/// Copies bytes until either side closes the connection. `should_duplicate` decides for each read whether it is sent
/// twice.
fn copy(mut from: TcpStream, mut to: TcpStream, should_duplicate: impl Fn() -> bool) {
    let mut buffer = [0; RELAY_BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        let bytes = &buffer[..length];
        let is_duplicated = should_duplicate();
        if to.write_all(bytes).is_err() {
            break;
        }
        if is_duplicated && to.write_all(bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
