//! A pod that establishes no connection until a test lets it.

use rustix::net::listen;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long a test waits for an expected connection or bytes on it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// A pod whose backlog is full, so that no connection is established until it accepts one.
pub(crate) struct UnacceptingPod {
    listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl UnacceptingPod {
    pub(crate) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        // A backlog of 0 holds one connection that is not accepted.
        listen(&listener, 0).unwrap();
        TcpStream::connect(address).unwrap();
        let rejected = TcpStream::connect_timeout(&address, Duration::from_millis(300));
        assert!(rejected.is_err(), "the backlog is not full");
        Self { listener, address }
    }

    /// Accepts the sidecar's connection. It is established when the kernel retransmits the SYN, one or more seconds after the
    /// first one.
    pub(crate) fn accept_sidecar(&self) -> TcpStream {
        drop(accept_within_timeout(&self.listener));
        accept_within_timeout(&self.listener)
    }
}

/// Accepts the next connection; panics after a timeout instead of waiting forever.
pub(crate) fn accept_within_timeout(listener: &TcpListener) -> TcpStream {
    let deadline = Instant::now() + 2 * TIMEOUT;
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((connection, _)) => {
                connection.set_nonblocking(false).unwrap();
                connection.set_read_timeout(Some(TIMEOUT)).unwrap();
                return connection;
            }
            Err(_) => assert!(
                Instant::now() < deadline,
                "no connection within the timeout"
            ),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}
