//! A plain TCP relay: opens one upstream connection per client connection, and copies bytes in both directions.

use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Relays connections to the pods in round-robin order, until the process is terminated. Writes its address to `output` once it
/// listens.
///
/// # Errors
/// Returns an error if a socket cannot be opened, `output` cannot be written, or polling fails.
pub fn serve(pods: &[SocketAddr], mut output: impl Write) -> io::Result<()> {
    let mut sockets = Sockets::new()?;
    let (_, address) = sockets.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    writeln!(output, "listening {address}")?;
    output.flush()?;
    let mut relay = Relay {
        sockets,
        pods,
        accepted: 0,
        peers: HashMap::new(),
    };
    loop {
        for event in relay.sockets.wait(None)? {
            relay.handle(event);
        }
    }
}

struct Relay<'a> {
    sockets: Sockets,
    pods: &'a [SocketAddr],
    accepted: usize,
    /// Maps each connection to the one that its bytes are copied to.
    peers: HashMap<SocketId, SocketId>,
}

impl Relay<'_> {
    fn handle(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Accepted { socket, .. } => self.accept(socket),
            SocketEvent::Readable(id) => self.relay_bytes(id),
            SocketEvent::ConnectionLost { socket, .. } => {
                if let Some(peer) = self.peers.remove(&socket) {
                    self.peers.remove(&peer);
                    self.sockets.close(peer);
                }
            }
            _ => {}
        }
    }

    fn accept(&mut self, client: SocketId) {
        self.accepted += 1;
        let pod = self.pods[self.accepted % self.pods.len()];
        match self.sockets.connect(pod) {
            Ok(upstream) => {
                self.peers.insert(client, upstream);
                self.peers.insert(upstream, client);
            }
            Err(_) => self.sockets.close(client),
        }
    }

    fn relay_bytes(&mut self, id: SocketId) {
        let Some(peer) = self.peers.get(&id).copied() else {
            return;
        };
        if let Some(bytes) = self.sockets.input(id).map(|input| input.split()) {
            self.sockets.send(peer, &bytes);
        }
        if self.sockets.has_ended(id) {
            self.peers.remove(&id);
            self.peers.remove(&peer);
            self.sockets.close(id);
            self.sockets.close_when_sent(peer);
        } else {
            self.sockets.resume_reading(id);
        }
    }
}
