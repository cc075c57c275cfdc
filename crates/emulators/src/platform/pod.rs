//! A pod that speaks the PostgreSQL protocol and handles each statement as a test scripts.

use super::pod_session::{serve, PodScript};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// How a pod handles a statement.
#[derive(Clone, Debug)]
pub enum Does {
    /// Answers with this value.
    Serves(&'static str),
    /// Answers, and sends the same answer again right after.
    ServesTwice(&'static str),
    /// Answers; if the connection has served a statement before, that answer is repeated first.
    CopiesFirst(&'static str),
    /// Answers, but sends ReadyForQuery only after a signal from the test.
    ServesSlowly(&'static str),
    /// Answers after a signal from the test.
    ServesLater(&'static str),
    /// Sends half of the answer, and the rest after a signal from the test.
    Halves(&'static str),
    /// Answers with an error with this SQLSTATE.
    Errs(&'static str),
    /// Sends these bytes and keeps the connection open.
    Says(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SaysAndCloses(Vec<u8>),
    /// Closes the connection.
    Closes,
    /// Sends nothing until the sidecar closes the connection.
    Waits,
    /// Closes the connection as soon as the first bytes arrive.
    ClosesEarly,
    /// Sends nothing from the first bytes on.
    WaitsEarly,
    /// Reports `came` once a connection's startup message has arrived, and starts the session only after a signal from the test; then
    /// reports `welcomed`.
    WelcomesLater,
    /// Starts a session with half of another message appended in the same write, and then sends nothing.
    WelcomesWithMore,
    /// Reports `empty`, and answers the empty query before the statement only after a signal from the test; then answers the statement,
    /// if it arrives.
    LivesLater(&'static str),
    /// Answers; after a signal from the test, sends the first bytes unsolicited and reports `said`. The rest precedes its next answer.
    ServesThenSays(&'static str, &'static [u8], &'static [u8]),
}

/// A pod on its own threads.
#[derive(Debug)]
pub struct Pod {
    /// The address at which it listens.
    pub at: SocketAddr,
    /// Each statement that arrived, and `gone` when a connection ended.
    pub seen: Receiver<String>,
    /// Sends the signal from the test that some scripts wait for.
    pub go_on: Sender<()>,
    connections: Arc<AtomicUsize>,
}

impl Pod {
    /// Starts a pod that follows this script, one entry for each statement; the last entry is repeated.
    ///
    /// # Panics
    /// Panics if no port is free.
    #[must_use]
    pub fn new(script: Vec<Does>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("the listener's address");
        let (report, seen) = channel();
        let (go_on, signal) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        let script = Arc::new(PodScript::new(script));
        let signal = Arc::new(Mutex::new(signal));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                count.fetch_add(1, Ordering::SeqCst);
                let (report, script, signal) = (report.clone(), script.clone(), signal.clone());
                std::thread::spawn(move || {
                    serve(stream, &report, &script, &signal);
                    // The test may have ended.
                    let _ = report.send("gone".into());
                });
            }
        });
        Self {
            at,
            seen,
            go_on,
            connections,
        }
    }

    /// The next report of the pod.
    ///
    /// # Panics
    /// Panics if none arrives in time.
    pub fn hears(&self) -> String {
        self.seen
            .recv_timeout(super::READ_TIMEOUT)
            .expect("a report from the pod in time")
    }

    /// Whether there are no further reports so far.
    #[must_use]
    pub fn heard_nothing(&self) -> bool {
        self.seen.try_recv().is_err()
    }

    /// The number of connections accepted so far.
    #[must_use]
    pub fn links(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}
