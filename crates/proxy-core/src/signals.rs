//! The signals that a sidecar reacts to.

/// SIGHUP.
const HANGUP: i32 = 1;
/// SIGINT.
const INTERRUPT: i32 = 2;
/// SIGTERM.
const TERMINATE: i32 = 15;

/// The signals to watch, by number.
pub const WATCHED: [i32; 3] = [HANGUP, TERMINATE, INTERRUPT];

/// What a watched signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Read again what may change while the process runs (SIGHUP).
    Reload,
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
}

impl ProcessSignal {
    /// The meaning of one of [`WATCHED`].
    #[must_use]
    pub fn from_number(number: i32) -> Self {
        if number == HANGUP {
            Self::Reload
        } else {
            Self::Shutdown
        }
    }
}

#[cfg(test)]
mod tests;
