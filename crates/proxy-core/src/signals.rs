//! The signals that a sidecar handles.

/// SIGHUP.
const HANGUP: i32 = 1;
/// SIGINT.
const INTERRUPT: i32 = 2;
/// SIGTERM.
const TERMINATE: i32 = 15;

/// The numbers of the signals to watch.
pub const WATCHED: [i32; 3] = [HANGUP, TERMINATE, INTERRUPT];

/// The action that a watched signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Reload the configuration that may change while the process runs (SIGHUP).
    Reload,
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
}

impl ProcessSignal {
    /// Returns the action requested by one of the signals in [`WATCHED`].
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
