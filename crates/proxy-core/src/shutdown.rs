//! Graceful shutdown of a proxy.
//!
//! [`Shutdown`] is a state machine without I/O or a clock of its own. It owns the order of the steps (serve on, stop
//! accepting, respond to what is left, exit) and the times by which each is taken. [`GracefulShutdown`] is the proxy's side:
//! it says what work is pending and carries out the steps. [`ClientListener`] is closed by the first of them.

use limewing_net::sockets::{SocketId, Sockets};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The times of a shutdown, counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// Until then new connections are accepted and all goes on, as clients may not know of the shutdown yet.
    pub stop_accepting: Duration,
    /// By then every request has its response, whatever it waits for.
    pub respond_to_all: Duration,
    /// By then the process exits, whatever is still pending.
    pub exit: Duration,
}

/// What the proxy still has to do; the default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Connections wait to be accepted.
    pub backlog: bool,
    /// Requests have no response yet.
    pub requests: bool,
    /// Clients are connected whose next request may be on its way.
    pub clients: bool,
    /// Bytes of responses are not with the operating system, or not read by their clients yet.
    pub unsent: bool,
}

/// What the proxy has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Accept the backlog and no connection after that, and close connections that carry nothing.
    StopAccepting,
    /// Respond to every pending request at once.
    RespondToAll,
    /// Exit the process.
    Exit,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Serving,
    /// The shutdown has begun; clients still connect.
    Draining {
        since: Duration,
    },
    /// No connection is accepted; each is closed once nothing is pending on it.
    Closing {
        since: Duration,
    },
    /// The time for responses is up: what still arrives is answered at once.
    Responding {
        since: Duration,
    },
    /// The last requests were answered; the exit is next.
    Exiting,
    Done,
}

/// The state machine of a graceful shutdown.
#[derive(Debug)]
pub struct Shutdown {
    timeouts: ShutdownTimeouts,
    phase: Phase,
}

impl Shutdown {
    /// A shutdown that has not begun. Timeouts out of order are raised to the one before.
    #[must_use]
    pub fn new(timeouts: ShutdownTimeouts) -> Self {
        let respond_to_all = timeouts.respond_to_all.max(timeouts.stop_accepting);
        let timeouts = ShutdownTimeouts {
            respond_to_all,
            exit: timeouts.exit.max(respond_to_all),
            ..timeouts
        };
        Self {
            timeouts,
            phase: Phase::Serving,
        }
    }

    /// Begins the shutdown. Returns false, and changes nothing, if it had begun.
    pub fn begin(&mut self, now: Duration) -> bool {
        if self.has_begun() {
            return false;
        }
        self.phase = Phase::Draining { since: now };
        true
    }

    /// Whether no connection is accepted any more.
    #[must_use]
    pub fn has_stopped_accepting(&self) -> bool {
        !matches!(self.phase, Phase::Serving | Phase::Draining { .. })
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether the process has been told to exit.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// When [`Shutdown::advance`] has to be called at the latest; `None` if it need not be.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.phase {
            Phase::Serving | Phase::Done => None,
            Phase::Exiting => Some(Duration::ZERO),
            Phase::Draining { since } => Some(since + self.timeouts.stop_accepting),
            Phase::Closing { since } => Some(since + self.timeouts.respond_to_all),
            Phase::Responding { since } => Some(since + self.timeouts.exit),
        }
    }

    /// The next step, if one is due. To be called until it returns `None`, with what is pending each time.
    pub fn advance(&mut self, now: Duration, pending: PendingWork) -> Option<ShutdownStep> {
        match self.phase {
            Phase::Serving | Phase::Done => None,
            Phase::Draining { since } => self.advance_draining(now, since),
            Phase::Closing { since } => self.advance_closing(now, since, pending),
            Phase::Responding { since } => self.advance_responding(now, since, pending),
            Phase::Exiting => self.exit(),
        }
    }

    fn advance_draining(&mut self, now: Duration, since: Duration) -> Option<ShutdownStep> {
        if now < since + self.timeouts.stop_accepting {
            return None;
        }
        self.phase = Phase::Closing { since };
        Some(ShutdownStep::StopAccepting)
    }

    fn advance_closing(
        &mut self,
        now: Duration,
        since: Duration,
        pending: PendingWork,
    ) -> Option<ShutdownStep> {
        if pending == PendingWork::default() {
            return self.exit();
        }
        if now < since + self.timeouts.respond_to_all {
            return None;
        }
        self.phase = Phase::Responding { since };
        Some(ShutdownStep::RespondToAll)
    }

    fn advance_responding(
        &mut self,
        now: Duration,
        since: Duration,
        pending: PendingWork,
    ) -> Option<ShutdownStep> {
        let time_is_up = now >= since + self.timeouts.exit;
        if pending.requests {
            if time_is_up {
                // Requests that arrive after this are answered as they arrive: none may be open at the exit.
                self.phase = Phase::Exiting;
            }
            return Some(ShutdownStep::RespondToAll);
        }
        if time_is_up || !pending.unsent {
            return self.exit();
        }
        None
    }

    fn exit(&mut self) -> Option<ShutdownStep> {
        self.phase = Phase::Done;
        Some(ShutdownStep::Exit)
    }
}

/// A proxy that can be shut down gracefully.
pub trait GracefulShutdown {
    /// The state of its shutdown.
    fn shutdown(&mut self) -> &mut Shutdown;

    /// The time of this turn of its event loop.
    fn now(&self) -> Duration;

    /// What it still has to do.
    fn pending_work(&self) -> PendingWork;

    /// Accepts more of the connections that wait at a listener that is being closed. Called in each turn once no
    /// further ones are accepted; does nothing if none wait.
    fn accept_backlog(&mut self);

    /// Carries out [`ShutdownStep::StopAccepting`].
    fn stop_accepting(&mut self);

    /// Carries out [`ShutdownStep::RespondToAll`].
    fn respond_to_all(&mut self);

    /// Carries out all steps that are due. To be called at the end of each turn.
    fn advance_shutdown(&mut self) {
        if !self.shutdown().has_begun() {
            return;
        }
        if self.shutdown().has_stopped_accepting() {
            self.accept_backlog();
        }
        loop {
            let (now, pending) = (self.now(), self.pending_work());
            match self.shutdown().advance(now, pending) {
                Some(ShutdownStep::StopAccepting) => self.stop_accepting(),
                Some(ShutdownStep::RespondToAll) => self.respond_to_all(),
                Some(ShutdownStep::Exit) | None => return,
            }
        }
    }
}

/// The socket on which clients are accepted.
#[derive(Clone, Copy, Debug)]
pub struct ClientListener {
    socket: SocketId,
    address: SocketAddr,
    has_backlog: bool,
}

impl ClientListener {
    /// Listens on `address`.
    ///
    /// # Errors
    /// The system refuses, for instance because the address is in use.
    pub fn bind(sockets: &mut Sockets, address: SocketAddr) -> io::Result<Self> {
        let (socket, address) = sockets.listen(address)?;
        Ok(Self {
            socket,
            address,
            has_backlog: false,
        })
    }

    /// The address that it listens on, with the port that the system chose if none was given.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether connections wait that could not be accepted when it was closed.
    #[must_use]
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Accepts the connections that wait and closes the listener, or keeps it while there is no room for all of them.
    pub fn close(&mut self, sockets: &mut Sockets) {
        self.has_backlog = !sockets.stop_listening(self.socket);
    }

    /// Tries [`ClientListener::close`] again, if connections were left waiting.
    pub fn accept_backlog(&mut self, sockets: &mut Sockets) {
        if self.has_backlog {
            self.close(sockets);
        }
    }
}

#[cfg(test)]
mod tests;
