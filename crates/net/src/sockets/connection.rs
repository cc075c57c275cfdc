//! The state and the system calls of one TCP connection.

use bytes::{Buf, BytesMut};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Instant;

/// The most input held for one connection, in bytes. Beyond it the rest stays with the system, so that a peer is not
/// read faster than its bytes are used.
pub const MAX_INPUT: usize = 32 * 1024;
/// The most input that a closing connection reads and discards, in bytes, so that a peer that sends without end can't
/// occupy the loop. One that sends a larger message while it is refused may see a reset instead of the answer.
const MAX_DISCARDED: usize = 1024 * 1024;
/// How much is discarded by one system call, in bytes.
const DISCARD_BUFFER: usize = 4096;

/// One TCP connection.
pub(super) struct Connection {
    stream: TcpStream,
    /// What has come in and was not taken yet.
    pub(super) input: BytesMut,
    /// What waits to be sent.
    pub(super) output: BytesMut,
    /// Not established yet.
    pub(super) connecting: bool,
    /// Input was left with the system, as the buffer was full.
    pub(super) has_unread_input: bool,
    /// The end of the input was read.
    pub(super) input_ended: bool,
    /// The system has reported that the peer closed its side: the end stands behind what is left to read.
    pub(super) peer_hung_up: bool,
    /// It came through a listener.
    pub(super) accepted: bool,
    /// Bytes given to the system.
    pub(super) written: u64,
    /// Set once its owner closed it: until then it may send its output and read the peer's last input.
    pub(super) linger_until: Option<Instant>,
    write_shut_down: bool,
    /// Input discarded since then, in bytes.
    discarded: usize,
    /// It is gone. Its owner is told in the next round and can read its input until then.
    pub(super) lost: Option<ErrorKind>,
}

/// What became of an attempt to connect.
pub(super) enum ConnectProgress {
    Pending,
    Established,
    Failed(ErrorKind),
}

/// What one turn of reading brought.
pub(super) struct ReadProgress {
    /// There is new input, or its end.
    pub(super) has_news: bool,
    pub(super) error: Option<ErrorKind>,
}

/// Whether a closing connection can be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LingerProgress {
    Pending,
    Finished,
}

impl Connection {
    /// A connection that was begun and is not established.
    pub(super) fn connecting(stream: TcpStream) -> Self {
        Self {
            connecting: true,
            ..Self::established(stream)
        }
    }

    /// A connection that came through a listener.
    pub(super) fn accepted(stream: TcpStream) -> Self {
        Self {
            accepted: true,
            ..Self::established(stream)
        }
    }

    fn established(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            connecting: false,
            has_unread_input: false,
            input_ended: false,
            peer_hung_up: false,
            accepted: false,
            written: 0,
            linger_until: None,
            write_shut_down: false,
            discarded: 0,
            lost: None,
        }
    }

    pub(super) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        // If it fails, small messages are merely delayed.
        let _ = self.stream.set_nodelay(true);
        registry.register(
            &mut self.stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )
    }

    pub(super) fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
        registry.deregister(&mut self.stream)
    }

    pub(super) fn is_lingering(&self) -> bool {
        self.linger_until.is_some()
    }

    /// Whether input was left with the system and there is room for it now.
    pub(super) fn can_read_on(&self) -> bool {
        self.has_unread_input && self.input.len() < MAX_INPUT
    }

    /// Whether the system holds neither input nor its end.
    pub(super) fn is_system_input_empty(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the system holds input.
    pub(super) fn has_system_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Asks the system whether the connection is established by now.
    pub(super) fn connect_progress(&mut self) -> ConnectProgress {
        if let Ok(Some(error)) | Err(error) = self.stream.take_error() {
            return ConnectProgress::Failed(error.kind());
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connecting = false;
                ConnectProgress::Established
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => ConnectProgress::Pending,
            Err(e) => ConnectProgress::Failed(e.kind()),
        }
    }

    /// Reads what the system holds into `input`, up to [`MAX_INPUT`], through a buffer shared by all connections.
    pub(super) fn read_available(&mut self, buffer: &mut [u8]) -> ReadProgress {
        let mut has_news = false;
        self.has_unread_input = false;
        while !self.input_ended {
            if self.input.len() >= MAX_INPUT {
                self.has_unread_input = true;
                break;
            }
            let room = buffer.len().min(MAX_INPUT - self.input.len());
            match self.stream.read(&mut buffer[..room]) {
                // The end of what a lost connection left is not an end that the peer made.
                Ok(0) if self.lost.is_some() => break,
                Ok(0) => {
                    self.input_ended = true;
                    has_news = true;
                }
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    has_news = true;
                    // Less than asked for: nothing is left, and the system reports what comes next (epoll(7)). If it has
                    // reported the end with these bytes already, the end is read now.
                    if length < room && !self.peer_hung_up && self.lost.is_none() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return ReadProgress {
                        has_news,
                        error: Some(e.kind()),
                    }
                }
            }
        }
        ReadProgress {
            has_news,
            error: None,
        }
    }

    /// Gives bytes to the system, and keeps those that it does not take.
    pub(super) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        if !self.connecting && self.output.is_empty() {
            self.write(&mut rest)?;
        }
        self.output.extend_from_slice(rest);
        Ok(())
    }

    /// Gives the system what waits to be sent.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let output = std::mem::take(&mut self.output);
        let mut rest = &output[..];
        let result = self.write(&mut rest);
        // Once all is sent the buffer is freed: idle connections hold none.
        if !rest.is_empty() {
            let sent = output.len() - rest.len();
            self.output = output;
            self.output.advance(sent);
        }
        result
    }

    /// Writes what the system takes and leaves the rest in `bytes`.
    fn write(&mut self, bytes: &mut &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    *bytes = &bytes[length..];
                    self.written += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Shuts down the sending side once all is sent, then discards input until the peer closes.
    pub(super) fn linger(&mut self) -> LingerProgress {
        if !self.connecting && self.output.is_empty() && !self.write_shut_down {
            self.write_shut_down = true;
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        if self.write_shut_down {
            self.discard_input()
        } else {
            LingerProgress::Pending
        }
    }

    fn discard_input(&mut self) -> LingerProgress {
        let mut buffer = [0; DISCARD_BUFFER];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return LingerProgress::Finished,
                Ok(length) => {
                    self.discarded += length;
                    if self.discarded > MAX_DISCARDED {
                        return LingerProgress::Finished;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return LingerProgress::Pending,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return LingerProgress::Finished,
            }
        }
    }
}
