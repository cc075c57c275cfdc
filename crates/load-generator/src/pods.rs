//! Pods that answer each hit at once.

use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::write_response;
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Serves at so many addresses that the system chooses; tells them on standard output, one a line, and serves
/// until it is ended.
///
/// # Errors
/// No socket, or the poll failed.
pub fn serve(many: usize, mut out: impl Write) -> io::Result<()> {
    let mut sockets = Sockets::new()?;
    for _ in 0..many {
        let (_, address) = sockets.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        writeln!(out, "listening {address}")?;
    }
    out.flush()?;
    let mut answer = BytesMut::new();
    let body = [b'x'; 256];
    write_response(
        &mut answer,
        200,
        [].into_iter(),
        Framing::Length(body.len() as u64),
        true,
    );
    answer.extend_from_slice(&body);
    let mut links: HashMap<SocketId, RequestReader> = HashMap::new();
    loop {
        for what in sockets.wait(None)? {
            match what {
                SocketEvent::Accepted { socket, .. } => {
                    drop(links.insert(socket, RequestReader::new(64 * 1024)))
                }
                SocketEvent::ConnectionLost { socket, .. } => drop(links.remove(&socket)),
                SocketEvent::Readable(id) => {
                    let Some(requests) = links.get_mut(&id) else {
                        continue;
                    };
                    let mut whole = 0;
                    let mut broken = sockets.has_ended(id);
                    while let Some(input) = sockets.input(id) {
                        match requests.take(input, false) {
                            Ok(Some(_)) => whole += 1,
                            Ok(None) => break,
                            Err(_) => {
                                broken = true;
                                break;
                            }
                        }
                    }
                    (0..whole).for_each(|_| sockets.send(id, &answer));
                    if broken {
                        links.remove(&id);
                        sockets.close(id);
                    } else {
                        sockets.resume_reading(id);
                    }
                }
                _ => {}
            }
        }
    }
}
