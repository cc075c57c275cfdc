//! One round of the poll: waiting, and turning what the system reports into events.

use super::connection::ConnectProgress;
use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::event::Event;
use mio::Token;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// The poll's token of signals. No socket has it, as no slot has so high a generation.
pub(super) const SIGNALS: Token = Token(usize::MAX);

/// What the poll reports of one socket.
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
    /// Waits until something happens, or for `timeout`; returns what happened, in the order in which the system reported
    /// it. No timeout means to wait without end.
    ///
    /// # Errors
    ///
    /// The poll itself failed.
    pub fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<SocketEvent>> {
        let accept_in = self
            .accept_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        self.report_lost();
        let is_work_left = !self.events.is_empty()
            || !self.unread_datagrams.is_empty()
            || !self.newly_lost.is_empty();
        let timeout = if is_work_left {
            Some(Duration::ZERO)
        } else {
            timeout
        };
        let timeout = [timeout, accept_in, self.close_overdue()]
            .into_iter()
            .flatten()
            .min();
        self.poll_system(timeout)?;
        // Before what the poll reports: a batch that is cut short in this round goes on in the next one.
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
        // An interrupted poll, as after the process was stopped and continued (signal(7)), reports nothing of what has
        // come meanwhile. The owner has to know that before it looks at the clock.
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
        if readiness.token == SIGNALS {
            return self.report_signals();
        }
        let id = SocketId::from_token(readiness.token);
        let hung_up_now = readiness.read_closed && self.note_hang_up(id);
        self.handle_socket(id, readiness);
        // Behind a full buffer the end can't be read; it is reported all the same.
        let is_end_unread = self
            .table
            .connection(id)
            .is_some_and(|connection| connection.has_unread_input && !connection.is_lingering());
        if hung_up_now && is_end_unread {
            self.events.push_back(SocketEvent::Readable(id));
        }
    }

    fn report_signals(&mut self) {
        if let Some(signals) = &mut self.signals {
            self.events
                .extend(signals.pending().map(SocketEvent::Signal));
        }
    }

    /// Notes that the peer closed its side; returns whether that is new.
    fn note_hang_up(&mut self, id: SocketId) -> bool {
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
                ConnectProgress::Failed(error) => return self.lose(id, error),
                ConnectProgress::Established => self.events.push_back(SocketEvent::Connected(id)),
            }
        }
        if readiness.writable && !connection.output.is_empty() {
            if let Err(e) = connection.flush() {
                return self.lose(id, e.kind());
            }
            if connection.output.is_empty() && !connection.is_lingering() {
                self.events.push_back(SocketEvent::Flushed(id));
            }
        }
        if connection.is_lingering() {
            return self.linger(id);
        }
        if readiness.readable {
            self.read(id);
        }
    }
}

fn is_interrupted(result: &io::Result<()>) -> bool {
    matches!(result, Err(e) if e.kind() == ErrorKind::Interrupted)
}
