//! How a process that was told to leave goes: one state machine, with no I/O and no clock.
//!
//! It owns the order (serve on, close the door, answer what is left, end) and the times by which each step is taken. It
//! never touches a socket or a request: its host tells what it still holds and carries out the steps.

use std::time::Duration;

/// The times of a shutdown, from the word to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// Connections still come for so long: all goes on until then.
    pub stop_accepting: Duration,
    /// By then every request has its answer, whatever it waits for.
    pub respond_to_all: Duration,
    /// Then the process ends, whatever still hangs.
    pub exit: Duration,
}

/// What the host still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Connections wait to be let in.
    pub backlog: bool,
    /// Requests without their answer.
    pub requests: bool,
    /// Clients whose next request may be on its way.
    pub clients: bool,
    /// Bytes of answers that are not with the system, or connections whose peers have not read them yet.
    pub unsent: bool,
}

/// What the host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Lets in what has come and takes no connection after that; closes what carries nothing.
    StopAccepting,
    /// Answers every request that is held, now.
    RespondToAll,
    /// Ends the process.
    Exit,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Serving,
    /// Told to leave; clients still come.
    Draining {
        told: Duration,
    },
    /// No connection is let in; each goes once nothing is open on it.
    Closing {
        told: Duration,
    },
    /// The time is up: what still comes has its answer at once.
    Answering {
        told: Duration,
    },
    /// The last ones were answered: the end is next.
    Ending,
    Done,
}

pub struct Shutdown {
    spans: ShutdownTimeouts,
    state: State,
}

impl Shutdown {
    pub fn new(spans: ShutdownTimeouts) -> Self {
        let answered = spans.respond_to_all.max(spans.stop_accepting);
        let spans = ShutdownTimeouts {
            respond_to_all: answered,
            exit: spans.exit.max(answered),
            ..spans
        };
        Self {
            spans,
            state: State::Serving,
        }
    }

    /// The process is told to leave; whether that is news. A second word changes nothing.
    pub fn begin(&mut self, now: Duration) -> bool {
        let news = self.state == State::Serving;
        if news {
            self.state = State::Draining { told: now };
        }
        news
    }

    /// Whether no connection is let in any more.
    pub fn has_stopped_accepting(&self) -> bool {
        matches!(
            self.state,
            State::Closing { .. } | State::Answering { .. } | State::Ending | State::Done
        )
    }

    pub fn has_begun(&self) -> bool {
        self.state != State::Serving
    }

    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// When `step` is to be called at the latest.
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.state {
            State::Serving | State::Done => None,
            State::Ending => Some(Duration::ZERO),
            State::Draining { told } => Some(told + self.spans.stop_accepting),
            State::Closing { told } => Some(told + self.spans.respond_to_all),
            State::Answering { told } => Some(told + self.spans.exit),
        }
    }

    /// What is to be done now; to be called until it says nothing, with what is held each time.
    pub fn advance(&mut self, now: Duration, holds: PendingWork) -> Option<ShutdownStep> {
        match self.state {
            State::Serving | State::Done => None,
            State::Draining { told } if now < told + self.spans.stop_accepting => None,
            State::Draining { told } => {
                self.state = State::Closing { told };
                Some(ShutdownStep::StopAccepting)
            }
            State::Closing { .. } if holds == PendingWork::default() => self.end(),
            State::Closing { told } if now < told + self.spans.respond_to_all => None,
            State::Closing { told } => {
                self.state = State::Answering { told };
                Some(ShutdownStep::RespondToAll)
            }
            // One that comes later than that is answered as it comes: none may be open at the end.
            State::Answering { told } if now >= told + self.spans.exit && holds.requests => {
                self.state = State::Ending;
                Some(ShutdownStep::RespondToAll)
            }
            State::Answering { told } if now >= told + self.spans.exit => self.end(),
            State::Ending => self.end(),
            State::Answering { .. } if holds.requests => Some(ShutdownStep::RespondToAll),
            State::Answering { .. } if !holds.unsent => self.end(),
            State::Answering { .. } => None,
        }
    }

    fn end(&mut self) -> Option<ShutdownStep> {
        self.state = State::Done;
        Some(ShutdownStep::Exit)
    }
}

#[cfg(test)]
mod tests;
