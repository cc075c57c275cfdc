//! Static pods that answer each request immediately.

use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::write_response;
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// Body of each response.
const BODY: [u8; 256] = [b'x'; 256];

/// Serves on `count` loopback addresses with ports chosen by the system, until the process is terminated. Writes each
/// address to `output` on its own line once it listens.
///
/// # Errors
/// Returns an error if a socket cannot be opened, `output` cannot be written, or polling fails.
pub fn serve(count: usize, mut output: impl Write) -> io::Result<()> {
    let mut sockets = Sockets::new()?;
    for _ in 0..count {
        let (_, address) = sockets.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        writeln!(output, "listening {address}")?;
    }
    output.flush()?;
    let mut pods = Pods {
        sockets,
        connections: HashMap::new(),
        response: response(),
    };
    loop {
        for event in pods.sockets.wait(None)? {
            pods.handle(event);
        }
    }
}

fn response() -> BytesMut {
    let mut response = BytesMut::new();
    let framing = Framing::Length(BODY.len() as u64);
    write_response(&mut response, 200, [].into_iter(), framing, true);
    response.extend_from_slice(&BODY);
    response
}

struct Pods {
    sockets: Sockets,
    connections: HashMap<SocketId, RequestReader>,
    response: BytesMut,
}

impl Pods {
    fn handle(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Accepted { socket, .. } => {
                let requests = RequestReader::new(MAX_REQUEST_BYTES);
                self.connections.insert(socket, requests);
            }
            SocketEvent::ConnectionLost { socket, .. } => {
                self.connections.remove(&socket);
            }
            SocketEvent::Readable(id) => self.read(id),
            _ => {}
        }
    }

    /// Responds to all complete requests on a connection.
    fn read(&mut self, id: SocketId) {
        let Some(requests) = self.connections.get_mut(&id) else {
            return;
        };
        let mut complete = 0;
        let mut must_close = self.sockets.has_ended(id);
        while let Some(input) = self.sockets.input(id) {
            match requests.take(input, false) {
                Ok(Some(_)) => complete += 1,
                Ok(None) => break,
                Err(_) => {
                    must_close = true;
                    break;
                }
            }
        }
        for _ in 0..complete {
            self.sockets.send(id, &self.response);
        }
        if must_close {
            self.connections.remove(&id);
            self.sockets.close(id);
        } else {
            self.sockets.resume_reading(id);
        }
    }
}
