//! Graceful shutdown of a proxy.
//!
//! [`Shutdown`] is a state machine without I/O or a clock. It defines the order of the steps (keep
//! serving, stop accepting, respond to all pending requests, exit) and the deadline of each one.
//! [`GracefulShutdown`] is implemented by a proxy, which reports its pending work and performs the
//! steps. [`ClientListener`] is closed by the first step.

use limewing_net::sockets::{SocketId, Sockets};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeouts of a shutdown, measured from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// Until this time, connections are accepted and served as before, because clients may not know
    /// of the shutdown yet.
    pub stop_accepting: Duration,
    /// By this time, every request has its response, regardless of what it is waiting for.
    pub respond_to_all: Duration,
    /// By this time, the process exits, regardless of pending work.
    pub exit: Duration,
}

/// Pending work of the proxy; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Connections are waiting to be accepted.
    pub backlog: bool,
    /// Some requests have no response yet.
    pub requests: bool,
    /// Clients are connected, and may have a request in transit.
    pub clients: bool,
    /// Some bytes of responses have not been handed to the operating system, or have not been read
    /// by the clients.
    pub unsent: bool,
}

/// The next step for the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Accept the backlog and no later connection, and close connections without pending work.
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
    /// The shutdown has begun; new connections are still accepted.
    Draining {
        since: Duration,
    },
    /// No connection is accepted; existing ones are closed once they have no pending work.
    Closing {
        since: Duration,
    },
    /// The deadline for responses has passed; requests that still arrive are answered immediately.
    Responding {
        since: Duration,
    },
    /// The last requests have been answered; the next step is the exit.
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
    /// Creates a shutdown that has not begun. A timeout that is shorter than the preceding one is
    /// raised to it.
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

    /// Begins the shutdown. If it had already begun, changes nothing and returns false.
    pub fn begin(&mut self, now: Duration) -> bool {
        if self.has_begun() {
            return false;
        }
        self.phase = Phase::Draining { since: now };
        true
    }

    /// Whether the proxy has stopped accepting connections.
    #[must_use]
    pub fn has_stopped_accepting(&self) -> bool {
        !matches!(self.phase, Phase::Serving | Phase::Draining { .. })
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether the step [`ShutdownStep::Exit`] has been returned.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Returns the time by which [`Shutdown::advance`] must be called again, or `None` if it need
    /// not be.
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

    /// Returns the next step, if one is due. To be called until it returns `None`, each time with
    /// the current pending work.
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
                // Requests that arrive later are answered on arrival: none may be open at the exit.
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
    /// Returns the state of the shutdown.
    fn shutdown(&mut self) -> &mut Shutdown;

    /// Returns the time of the current turn of the event loop.
    fn now(&self) -> Duration;

    /// Returns the pending work.
    fn pending_work(&self) -> PendingWork;

    /// Accepts more of the connections that are waiting at a listener that is being closed.
    ///
    /// Called in each turn after [`ShutdownStep::StopAccepting`]; does nothing if no connection is
    /// waiting.
    fn accept_backlog(&mut self);

    /// Performs [`ShutdownStep::StopAccepting`].
    fn stop_accepting(&mut self);

    /// Performs [`ShutdownStep::RespondToAll`].
    fn respond_to_all(&mut self);

    /// Performs all steps that are due. To be called at the end of each turn.
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

/// The listening socket for clients.
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
    /// Returns the error of the operating system, for example if the address is in use.
    pub fn bind(sockets: &mut Sockets, address: SocketAddr) -> io::Result<Self> {
        let (socket, address) = sockets.listen(address)?;
        Ok(Self {
            socket,
            address,
            has_backlog: false,
        })
    }

    /// Returns the address that it listens on, with the port chosen by the system if none was
    /// specified.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether connections were still waiting to be accepted when it was closed.
    #[must_use]
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Accepts the waiting connections and closes the listener. If the connection limit does not
    /// allow accepting all of them, the listener stays open.
    pub fn close(&mut self, sockets: &mut Sockets) {
        self.has_backlog = !sockets.stop_listening(self.socket);
    }

    /// Retries [`ClientListener::close`] if connections were still waiting.
    pub fn accept_backlog(&mut self, sockets: &mut Sockets) {
        if self.has_backlog {
            self.close(sockets);
        }
    }
}

#[cfg(test)]
mod tests;
