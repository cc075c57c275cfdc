//! A pod in PostgreSQL's protocol that does with each statement what a test scripts.

use super::pod_session::{serve, PodScript};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// What a pod does with a statement.
#[derive(Clone, Debug)]
pub enum Does {
    /// Answers with this value.
    Serves(&'static str),
    /// Answers, and sends the same again right after.
    ServesTwice(&'static str),
    /// Answers; where the connection has served before, that answer comes once more first.
    CopiesFirst(&'static str),
    /// Answers, but says that the next statement may come only after a word of the test.
    ServesSlowly(&'static str),
    /// Answers after a word of the test.
    ServesLater(&'static str),
    /// Answers half, and the rest after a word of the test.
    Halves(&'static str),
    /// Answers with this code.
    Errs(&'static str),
    /// Sends these bytes and keeps the connection.
    Says(Vec<u8>),
    /// Sends these bytes and closes.
    SaysAndCloses(Vec<u8>),
    /// Closes.
    Closes,
    /// Sends nothing until the sidecar closes.
    Waits,
    /// Closes as soon as the first bytes come.
    ClosesEarly,
    /// Sends nothing from the first bytes on.
    WaitsEarly,
    /// Tells `came` once a connection's startup message is here, and starts the session only after a word of the test; then tells
    /// `welcomed`.
    WelcomesLater,
    /// Starts a session with half a message behind the start, in one piece, and then sends nothing.
    WelcomesWithMore,
    /// Answers the empty query before the statement only after a word of the test, which it asks for by `empty`; then the statement, if
    /// it comes.
    LivesLater(&'static str),
    /// Answers; after a word of the test sends the first bytes unasked and tells `said`, and the rest before its next answer.
    ServesThenSays(&'static str, &'static [u8], &'static [u8]),
}

/// A pod on threads of its own.
#[derive(Debug)]
pub struct Pod {
    /// Where it listens.
    pub at: SocketAddr,
    /// Each statement that came, and `gone` when a connection ended.
    pub seen: Receiver<String>,
    /// The word of the test that some scripts wait for.
    pub go_on: Sender<()>,
    connections: Arc<AtomicUsize>,
}

impl Pod {
    /// A pod that does these in turn, one for each statement, and the last of them ever after.
    ///
    /// # Panics
    /// No port is free.
    #[must_use]
    pub fn new(script: Vec<Does>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("the listener's address");
        let (tell, seen) = channel();
        let (go_on, word) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        let script = Arc::new(PodScript::new(script));
        let word = Arc::new(Mutex::new(word));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                count.fetch_add(1, Ordering::SeqCst);
                let (tell, script, word) = (tell.clone(), script.clone(), word.clone());
                std::thread::spawn(move || {
                    serve(stream, &tell, &script, &word);
                    // The test may be over.
                    let _ = tell.send("gone".into());
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

    /// The next of what it saw.
    ///
    /// # Panics
    /// Nothing comes.
    #[must_use]
    pub fn hears(&self) -> String {
        self.seen
            .recv_timeout(super::PATIENCE)
            .expect("the pod hears something")
    }

    /// Whether it saw nothing more so far.
    #[must_use]
    pub fn heard_nothing(&self) -> bool {
        self.seen.try_recv().is_err()
    }

    /// Connections that were made so far.
    #[must_use]
    pub fn links(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}
