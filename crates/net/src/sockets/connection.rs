//! The state and system calls of one TCP connection.

use super::output_queue::OutputQueue;
use bytes::{Bytes, BytesMut};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Instant;

/// The maximum input buffered for one connection, in bytes. Further input stays in the system's receive buffer, so that
/// a peer is not read faster than its input is consumed.
pub const MAX_INPUT: usize = 32 * 1024;
/// The maximum input buffered for one connection while the limit on buffered bytes is reached, in bytes. Reading goes on
/// in such small pieces, because input that is not read is not answered either.
pub const MAX_INPUT_WHEN_SHORT: usize = 4 * 1024;
/// The maximum input that a closing connection reads and discards, in bytes, so that a peer that never stops sending
/// can't occupy the event loop. A peer that is still sending a larger message when it is rejected may see a reset instead
/// of the response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// The size of the buffer for discarded input, in bytes.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// One TCP connection.
pub(super) struct Connection {
    stream: TcpStream,
    /// Input received and not taken by the owner yet.
    pub(super) input: BytesMut,
    /// Output waiting to be sent.
    pub(super) output: OutputQueue,
    /// The connection is not established yet.
    pub(super) connecting: bool,
    /// Input was left in the system's receive buffer because `input` was full.
    pub(super) has_unread_input: bool,
    /// The end of the input has been read.
    pub(super) input_ended: bool,
    /// The system has reported that the peer closed its side; unread input may precede the end.
    pub(super) peer_hung_up: bool,
    /// The connection was accepted by a listener.
    pub(super) accepted: bool,
    /// The bytes of this connection that are included in the total of all connections.
    pub(super) counted_bytes: usize,
    /// The longest input since its space was last freed, in bytes. Input that is taken leaves its space allocated.
    input_space: usize,
    /// The owner may have taken input since the connection was last counted.
    pub(super) is_input_borrowed: bool,
    /// Bytes written to the socket.
    pub(super) written: u64,
    /// Set once the owner has closed the connection: until this time it may send its output and discard the peer's input.
    pub(super) linger_until: Option<Instant>,
    write_shut_down: bool,
    /// Input discarded while lingering, in bytes.
    discarded_bytes: usize,
    /// The connection failed with this error. The owner is notified in the next round and can read the input until then.
    pub(super) lost: Option<ErrorKind>,
}

/// The state of a connection attempt.
pub(super) enum ConnectProgress {
    Pending,
    Established,
    Failed(ErrorKind),
}

/// The result of reading the available input.
pub(super) struct ReadProgress {
    /// New input or its end has been read.
    pub(super) has_new_input: bool,
    pub(super) error: Option<ErrorKind>,
}

/// Whether a lingering connection can be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LingerProgress {
    Pending,
    Finished,
}

impl Connection {
    /// Creates a connection that is being established.
    pub(super) fn connecting(stream: TcpStream) -> Self {
        Self {
            connecting: true,
            ..Self::established(stream)
        }
    }

    /// Creates a connection accepted by a listener.
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
            output: OutputQueue::default(),
            connecting: false,
            has_unread_input: false,
            input_ended: false,
            peer_hung_up: false,
            accepted: false,
            counted_bytes: 0,
            input_space: 0,
            is_input_borrowed: false,
            written: 0,
            linger_until: None,
            write_shut_down: false,
            discarded_bytes: 0,
            lost: None,
        }
    }

    pub(super) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        // A failure only delays small messages.
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

    /// Whether input was left in the system's receive buffer and there is room for it now.
    pub(super) fn can_resume_reading(&self) -> bool {
        self.has_unread_input && self.input.len() < MAX_INPUT
    }

    /// Whether the system's receive buffer contains neither input nor its end.
    pub(super) fn is_system_input_empty(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the system's receive buffer contains input.
    pub(super) fn has_system_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Queries the system for whether the connection is established.
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

    /// The bytes that this connection buffers, without those that its owner shares.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.input.len() + self.output.copied_bytes()
    }

    /// Frees the space of the input that the owner has taken, so that a connection holds no more than its input. Little
    /// space is kept for the next input.
    pub(super) fn release_taken_input(&mut self) {
        if self.input_space <= MAX_INPUT_WHEN_SHORT {
            return;
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        } else if self.input.len() < self.input_space {
            self.input = BytesMut::from(&self.input[..]);
        }
        self.input_space = self.input.len();
    }

    /// Reads the available input into `input`, up to `max_input` bytes, through a buffer shared by all connections.
    pub(super) fn read_available(&mut self, buffer: &mut [u8], max_input: usize) -> ReadProgress {
        let mut has_new_input = false;
        self.has_unread_input = false;
        while !self.input_ended {
            if self.input.len() >= max_input {
                self.has_unread_input = true;
                break;
            }
            let room = buffer.len().min(max_input - self.input.len());
            match self.stream.read(&mut buffer[..room]) {
                // After a loss, the end of the remaining input does not mean that the peer closed its side.
                Ok(0) if self.lost.is_some() => break,
                Ok(0) => {
                    self.input_ended = true;
                    has_new_input = true;
                }
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    self.input_space = self.input_space.max(self.input.len());
                    has_new_input = true;
                    // A short read means that no input is left, and the system reports later input (epoll(7)). If the
                    // system has already reported the end along with these bytes, the end is read now.
                    if length < room && !self.peer_hung_up && self.lost.is_none() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return ReadProgress {
                        has_new_input,
                        error: Some(e.kind()),
                    }
                }
            }
        }
        ReadProgress {
            has_new_input,
            error: None,
        }
    }

    /// Writes bytes to the socket and queues those that the system does not accept.
    pub(super) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        if !self.connecting && self.output.is_empty() {
            self.write(&mut rest)?;
        }
        self.output.push_copy(rest);
        Ok(())
    }

    /// Like [`send`](Self::send), but queues the bytes without copying them.
    pub(super) fn send_shared(&mut self, mut bytes: Bytes) -> io::Result<()> {
        if !self.connecting && self.output.is_empty() {
            let mut rest = &bytes[..];
            self.write(&mut rest)?;
            bytes = bytes.slice_ref(rest);
        }
        self.output.push_shared(bytes);
        Ok(())
    }

    /// Writes the queued output, as much as the system accepts.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let mut output = std::mem::take(&mut self.output);
        let result = self.flush_from(&mut output);
        self.output = output;
        result
    }

    fn flush_from(&mut self, output: &mut OutputQueue) -> io::Result<()> {
        while !output.is_empty() {
            let mut rest = output.front();
            let length = rest.len();
            let result = self.write(&mut rest);
            let unsent = rest.len();
            output.advance(length - unsent);
            result?;
            if unsent > 0 {
                break;
            }
        }
        Ok(())
    }

    /// Writes as many bytes as the system accepts and leaves the rest in `bytes`.
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

    /// Shuts down the sending side once all output is sent, then discards input until the peer closes.
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
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return LingerProgress::Finished,
                Ok(length) => {
                    self.discarded_bytes += length;
                    if self.discarded_bytes > MAX_DISCARDED_BYTES {
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
