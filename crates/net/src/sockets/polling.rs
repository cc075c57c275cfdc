//! One round of the poll: waits and turns the system's reports into events.

use super::connection::ConnectProgress;
use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::event::Event;
use mio::Token;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// The poll token of signals. No socket has it, as generations stay below the highest bit.
pub(super) const SIGNALS_TOKEN: Token = Token(usize::MAX);

/// The readiness of one socket, as reported by the poll.
#[derive(Clone, Copy)]
struct Readiness {
    token: Token,
    readable: bool,
    writable: bool,
    read_closed: bool,
}

impl Readiness {
    fn of(event: &Event) -> Self {
        Self {
            token: event.token(),
            readable: event.is_readable(),
            writable: event.is_writable(),
            read_closed: event.is_read_closed(),
        }
    }
}

impl Sockets {
    /// Waits for events, for at most `timeout`, and returns them in the order in which the system reported them. Without a
    /// timeout it waits indefinitely.
    ///
    /// # Errors
    ///
    /// The poll failed.
    pub fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<SocketEvent>> {
        let accept_in = self
            .accept_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        self.release_taken_inputs();
        self.report_lost();
        let has_pending_work = !self.events.is_empty()
            || !self.unread_datagrams.is_empty()
            || !self.newly_lost.is_empty();
        let timeout = if has_pending_work {
            Some(Duration::ZERO)
        } else {
            timeout
        };
        let timeout = [timeout, accept_in, self.close_overdue()]
            .into_iter()
            .flatten()
            .min();
        self.poll_system(timeout)?;
        // Precedes the events of this poll, so that a batch cut short in this round continues in the next one.
        self.resume_accepting();
        self.resume_reading_datagrams();
        let reported: Vec<Readiness> = self.system_events.iter().map(Readiness::of).collect();
        for readiness in reported {
            self.handle_readiness(readiness);
        }
        self.lost.append(&mut self.newly_lost);
        Ok(self.events.drain(..).collect())
    }

    fn poll_system(&mut self, timeout: Option<Duration>) -> io::Result<()> {
        let mut result = self.poll.poll(&mut self.system_events, timeout);
        // An interrupted poll, such as after the process was stopped and continued (signal(7)), reports none of the events
        // that occurred meanwhile. The owner has to see them before it reads the clock.
        if is_interrupted(&result) {
            result = self
                .poll
                .poll(&mut self.system_events, Some(Duration::ZERO));
        }
        if is_interrupted(&result) {
            return Ok(());
        }
        result
    }

    fn handle_readiness(&mut self, readiness: Readiness) {
        if readiness.token == SIGNALS_TOKEN {
            return self.report_signals();
        }
        let id = SocketId::from_token(readiness.token);
        let newly_hung_up = readiness.read_closed && self.mark_peer_hung_up(id);
        self.handle_socket(id, readiness);
        // With a full input buffer the end can't be read, but it is reported.
        let is_end_unread = self
            .table
            .connection(id)
            .is_some_and(|connection| connection.has_unread_input && !connection.is_lingering());
        if newly_hung_up && is_end_unread {
            self.events.push_back(SocketEvent::Readable(id));
        }
    }

    fn report_signals(&mut self) {
        if let Some(signals) = &mut self.signals {
            self.events
                .extend(signals.pending().map(SocketEvent::Signal));
        }
    }

    /// Records that the peer closed its side; returns whether that is new.
    fn mark_peer_hung_up(&mut self, id: SocketId) -> bool {
        self.table
            .connection(id)
            .is_some_and(|connection| !std::mem::replace(&mut connection.peer_hung_up, true))
    }

    fn handle_socket(&mut self, id: SocketId, readiness: Readiness) {
        match self.table.get_mut(id) {
            Some(Socket::Listener(_)) => self.on_listener_readable(id),
            Some(Socket::Datagrams(_)) => self.read_datagrams(id),
            Some(Socket::Connection(_)) => self.handle_connection(id, readiness),
            None => {}
        }
    }

    fn handle_connection(&mut self, id: SocketId, readiness: Readiness) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.lost.is_some() {
            return;
        }
        if connection.connecting {
            match connection.connect_progress() {
                ConnectProgress::Pending => return,
                ConnectProgress::Failed(error) => return self.mark_lost(id, error),
                ConnectProgress::Established => self.events.push_back(SocketEvent::Connected(id)),
            }
        }
        if readiness.writable && !connection.output.is_empty() && !self.flush(id) {
            return;
        }
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.is_lingering() {
            return self.linger(id);
        }
        if readiness.readable {
            self.read(id);
        }
    }

    /// Sends queued output; returns whether the connection still works.
    fn flush(&mut self, id: SocketId) -> bool {
        let Some(connection) = self.table.connection(id) else {
            return false;
        };
        let result = connection.flush();
        let is_flushed = connection.output.is_empty() && !connection.is_lingering();
        self.count_buffered(id);
        match result {
            Err(error) => {
                self.mark_lost(id, error.kind());
                return false;
            }
            Ok(()) if is_flushed => self.events.push_back(SocketEvent::Flushed(id)),
            Ok(()) => {}
        }
        true
    }
}

fn is_interrupted(result: &io::Result<()>) -> bool {
    matches!(result, Err(e) if e.kind() == ErrorKind::Interrupted)
}
