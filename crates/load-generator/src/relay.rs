//! A bare relay: each client's connection has one of its own to a pod, and bytes pass as they come.

use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Relays to the pods in turn; tells its address on standard output, and goes on until it is ended.
///
/// # Errors
/// No socket, or the poll failed.
pub fn serve(pods: &[SocketAddr], mut out: impl Write) -> io::Result<()> {
    let mut sockets = Sockets::new()?;
    let (_, address) = sockets.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    writeln!(out, "listening {address}")?;
    out.flush()?;
    let mut other: HashMap<SocketId, SocketId> = HashMap::new();
    let mut turn = 0;
    loop {
        for what in sockets.wait(None)? {
            match what {
                SocketEvent::Accepted { socket, .. } => {
                    turn += 1;
                    match sockets.connect(pods[turn % pods.len()]) {
                        Ok(link) => {
                            other.insert(socket, link);
                            other.insert(link, socket);
                        }
                        Err(_) => sockets.close(socket),
                    }
                }
                SocketEvent::Readable(id) => {
                    let Some(to) = other.get(&id).copied() else {
                        continue;
                    };
                    if let Some(bytes) = sockets.input(id).map(|input| input.split()) {
                        sockets.send(to, &bytes);
                    }
                    if sockets.has_ended(id) {
                        other.remove(&id);
                        other.remove(&to);
                        sockets.close(id);
                        sockets.close_when_sent(to);
                    } else {
                        sockets.resume_reading(id);
                    }
                }
                SocketEvent::ConnectionLost { socket, .. } => {
                    if let Some(to) = other.remove(&socket) {
                        other.remove(&to);
                        sockets.close(to);
                    }
                }
                _ => {}
            }
        }
    }
}
