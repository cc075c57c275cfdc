//! Stands before an honest sidecar and says some of its answers twice.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// Every so many answers, one is said again.
const EVERY: u64 = 20;

static ANSWERS: AtomicU64 = AtomicU64::new(0);

pub fn before(honest: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    std::thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(sidecar) = TcpStream::connect(honest) else {
                continue;
            };
            let (Ok(from_client), Ok(to_client)) = (client.try_clone(), client.try_clone()) else {
                continue;
            };
            let Ok(to_sidecar) = sidecar.try_clone() else {
                continue;
            };
            std::thread::spawn(move || pass(from_client, to_sidecar, false));
            std::thread::spawn(move || pass(sidecar, to_client, true));
        }
    });
    Ok(at)
}

fn pass(mut from: TcpStream, mut to: TcpStream, twice: bool) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        let again = twice && ANSWERS.fetch_add(1, Ordering::Relaxed) % EVERY == EVERY - 1;
        let sent = to.write_all(&bytes[..length]);
        if sent.is_err() || (again && to.write_all(&bytes[..length]).is_err()) {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
