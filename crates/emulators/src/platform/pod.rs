//! A pod that speaks the PostgreSQL protocol and handles each statement as a test scripts.

use super::pod_session::{serve, PodScript};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// How a pod handles a statement.
#[derive(Clone, Debug)]
pub enum PodBehavior {
    /// Answers with this value.
    Answer(&'static str),
    /// Answers, and sends the same answer again right after.
    AnswerTwice(&'static str),
    /// Answers; if the connection has served a statement before, that answer is repeated first.
    DuplicateThenAnswer(&'static str),
    /// Answers, but sends ReadyForQuery only after a signal from the test.
    DelayReadyForQuery(&'static str),
    /// Answers after a signal from the test.
    AnswerAfterSignal(&'static str),
    /// Sends half of the answer, and the rest after a signal from the test.
    SplitAnswer(&'static str),
    /// Answers with an error with this SQLSTATE.
    Error(&'static str),
    /// Sends these bytes and keeps the connection open.
    SendBytes(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendBytesAndClose(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Sends nothing until the sidecar closes the connection.
    NoAnswer,
    /// Closes the connection as soon as the first bytes arrive.
    CloseOnFirstBytes,
    /// Sends nothing from the first bytes on.
    IgnoreFirstBytes,
    /// Reports `came` once a connection's startup message has arrived, and starts the session only after a signal from the test; then
    /// reports `welcomed`.
    StartSessionAfterSignal,
    /// Starts a session with half of another message appended in the same write, and then sends nothing.
    StartSessionWithExtraBytes,
    /// Reports `empty`, and answers the empty query before the statement only after a signal from the test; then answers the statement,
    /// if it arrives.
    AnswerEmptyQueryAfterSignal(&'static str),
    /// Answers; after a signal from the test, sends the first bytes unsolicited and reports `said`. The rest precedes its next answer.
    AnswerThenSendBytes(&'static str, &'static [u8], &'static [u8]),
}

/// A pod on its own threads.
#[derive(Debug)]
pub struct Pod {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Each statement that arrived, and `gone` when a connection ended.
    pub events: Receiver<String>,
    /// Sends the signal from the test that some scripts wait for.
    pub resume: Sender<()>,
    connections: Arc<AtomicUsize>,
}

impl Pod {
    /// Starts a pod that follows this script, one entry for each statement; the last entry is repeated.
    ///
    /// # Panics
    /// Panics if no port is free.
    #[must_use]
    pub fn new(script: Vec<PodBehavior>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let (report, events) = channel();
        let (resume, signal) = channel();
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
            address,
            events,
            resume,
            connections,
        }
    }

    /// The next event of the pod.
    ///
    /// # Panics
    /// Panics if none arrives in time.
    pub fn next_event(&self) -> String {
        self.events
            .recv_timeout(super::READ_TIMEOUT)
            .expect("a report from the pod in time")
    }

    /// Whether there are no further events so far.
    #[must_use]
    pub fn has_no_event(&self) -> bool {
        self.events.try_recv().is_err()
    }

    /// The number of connections accepted so far.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}
