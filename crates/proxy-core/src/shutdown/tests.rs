//! Tests the graceful shutdown, also with random sequences of events: each accepted request gets
//! exactly one response, and the process exits in bounded time.

use super::{
    ClientListener, GracefulShutdown, PendingWork, Shutdown, ShutdownStep, ShutdownTimeouts,
};
use limewing_net::sockets::Sockets;
use proptest::prelude::{any, prop, Just, Strategy};
use proptest::{prop_assert, prop_assert_eq, prop_oneof, proptest};
use rstest::rstest;
use std::time::Duration;

const TIMEOUTS: ShutdownTimeouts = ShutdownTimeouts {
    stop_accepting: Duration::from_millis(550),
    respond_to_all: Duration::from_millis(3500),
    exit: Duration::from_millis(3650),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open_requests() -> PendingWork {
    PendingWork {
        requests: true,
        ..PendingWork::default()
    }
}

#[test]
fn does_nothing_before_it_begins() {
    let mut shutdown = Shutdown::new(TIMEOUTS);
    assert_eq!(
        (
            shutdown.advance(ms(90_000), PendingWork::default()),
            shutdown.next_deadline()
        ),
        (None, None)
    );
    assert!(!shutdown.has_begun() && !shutdown.has_stopped_accepting() && !shutdown.is_done());
}

#[test]
fn keeps_serving_until_stop_accepting_timeout_even_when_idle() {
    let mut shutdown = Shutdown::new(TIMEOUTS);
    assert!(shutdown.begin(ms(1000)));
    assert!(!shutdown.begin(ms(1400)));
    assert_eq!(shutdown.next_deadline(), Some(ms(1550)));
    assert_eq!(shutdown.advance(ms(1549), PendingWork::default()), None);
    assert_eq!(
        shutdown.advance(ms(1550), PendingWork::default()),
        Some(ShutdownStep::StopAccepting)
    );
    assert_eq!(
        shutdown.advance(ms(1550), PendingWork::default()),
        Some(ShutdownStep::Exit)
    );
    assert!(shutdown.is_done() && shutdown.has_stopped_accepting());
}

#[rstest]
#[case::backlog(PendingWork { backlog: true, ..PendingWork::default() })]
#[case::requests(open_requests())]
#[case::clients(PendingWork { clients: true, ..PendingWork::default() })]
#[case::unsent(PendingWork { unsent: true, ..PendingWork::default() })]
fn waits_for_pending_work_up_to_the_timeouts(#[case] pending: PendingWork) {
    let mut shutdown = Shutdown::new(TIMEOUTS);
    shutdown.begin(ms(0));
    assert_eq!(
        shutdown.advance(ms(550), pending),
        Some(ShutdownStep::StopAccepting)
    );
    assert_eq!(shutdown.advance(ms(3499), pending), None);
    assert_eq!(
        shutdown.advance(ms(3500), pending),
        Some(ShutdownStep::RespondToAll)
    );
    assert_eq!(shutdown.next_deadline(), Some(ms(3650)));
    // Clients may read their responses until the exit.
    let unsent = PendingWork {
        unsent: true,
        ..PendingWork::default()
    };
    assert_eq!(shutdown.advance(ms(3500), unsent), None);
    assert_eq!(shutdown.advance(ms(3650), unsent), Some(ShutdownStep::Exit));
}

/// Settings with short deadlines may produce timeouts in the wrong order.
#[test]
fn timeouts_out_of_order_stop_accepting_before_responding() {
    let mut shutdown = Shutdown::new(ShutdownTimeouts {
        stop_accepting: ms(500),
        respond_to_all: ms(100),
        exit: ms(50),
    });
    shutdown.begin(ms(0));
    assert_eq!(shutdown.next_deadline(), Some(ms(500)));
    assert_eq!(
        shutdown.advance(ms(500), open_requests()),
        Some(ShutdownStep::StopAccepting)
    );
    assert_eq!(
        shutdown.advance(ms(500), open_requests()),
        Some(ShutdownStep::RespondToAll)
    );
    // A request that arrives at the last moment is answered too; after that, the proxy exits
    // regardless of pending work.
    assert_eq!(
        shutdown.advance(ms(500), open_requests()),
        Some(ShutdownStep::RespondToAll)
    );
    assert_eq!(
        shutdown.advance(ms(500), open_requests()),
        Some(ShutdownStep::Exit)
    );
}

/// A proxy that performs the steps, with requests that arrive and are answered at random times.
#[derive(Default)]
struct FakeProxy {
    open: Vec<u32>,
    answered: Vec<u32>,
    unsent: u32,
    accepted: u32,
    accepting: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin,
    /// A request arrives on a new or an existing connection.
    Request {
        new_connection: bool,
    },
    /// The oldest open request is answered.
    Answer,
    /// Clients read everything that was sent.
    ClientsRead,
    /// Time passes, in milliseconds.
    AdvanceTime(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        Just(Event::Begin),
        any::<bool>().prop_map(|new_connection| Event::Request { new_connection }),
        Just(Event::Answer),
        Just(Event::ClientsRead),
        (0u64..900).prop_map(Event::AdvanceTime),
    ];
    prop::collection::vec(event, 1..80)
}

proptest! {
    #[test]
    fn answers_each_request_once_and_exits_in_time(events in events()) {
        let mut shutdown = Shutdown::new(TIMEOUTS);
        let mut proxy = FakeProxy { accepting: true, ..FakeProxy::default() };
        let mut now = ms(0);
        let mut begun_at = None;
        // The random events, followed by idle time until the exit.
        let all = events.into_iter().chain([Event::Begin]).chain((0..80).map(|_| Event::AdvanceTime(50)));
        for event in all {
            match event {
                Event::Begin => {
                    let is_first = shutdown.begin(now);
                    prop_assert_eq!(is_first, begun_at.is_none());
                    begun_at = begun_at.or(Some(now));
                }
                Event::Request { new_connection } if proxy.accepting || !new_connection => {
                    proxy.accepted += 1;
                    proxy.open.push(proxy.accepted);
                }
                Event::Request { .. } => {}
                Event::Answer if !proxy.open.is_empty() => {
                    proxy.answered.push(proxy.open.remove(0));
                    proxy.unsent += 1;
                }
                Event::Answer => {}
                Event::ClientsRead => proxy.unsent = 0,
                // The event loop wakes up no later than at the next deadline.
                Event::AdvanceTime(elapsed_ms) => now = shutdown.next_deadline().unwrap_or(Duration::MAX).min(now + ms(elapsed_ms)).max(now),
            }
            loop {
                let pending = PendingWork { requests: !proxy.open.is_empty(), unsent: proxy.unsent > 0, ..PendingWork::default() };
                match shutdown.advance(now, pending) {
                    Some(ShutdownStep::StopAccepting) => {
                        prop_assert!(now >= begun_at.expect("the shutdown has begun") + TIMEOUTS.stop_accepting);
                        proxy.accepting = false;
                    }
                    Some(ShutdownStep::RespondToAll) => {
                        prop_assert!(now >= begun_at.expect("the shutdown has begun") + TIMEOUTS.respond_to_all);
                        proxy.unsent += proxy.open.len() as u32;
                        let open = std::mem::take(&mut proxy.open);
                        proxy.answered.extend(open);
                    }
                    Some(ShutdownStep::Exit) => {
                        prop_assert!(proxy.open.is_empty(), "requests are pending at the exit");
                        prop_assert!(proxy.unsent == 0 || now >= begun_at.expect("the shutdown has begun") + TIMEOUTS.exit);
                        break;
                    }
                    None => break,
                }
            }
            if shutdown.is_done() {
                break;
            }
        }
        prop_assert!(shutdown.is_done(), "the proxy did not exit");
        prop_assert!(now <= begun_at.expect("the shutdown has begun") + TIMEOUTS.exit);
        prop_assert_eq!(proxy.answered.len() as u32, proxy.accepted);
        proxy.answered.sort_unstable();
        proxy.answered.dedup();
        prop_assert_eq!(proxy.answered.len() as u32, proxy.accepted);
    }
}

/// A proxy that records the calls it receives.
struct RecordingProxy {
    shutdown: Shutdown,
    now: Duration,
    pending: PendingWork,
    calls: Vec<&'static str>,
}

impl GracefulShutdown for RecordingProxy {
    fn shutdown(&mut self) -> &mut Shutdown {
        &mut self.shutdown
    }

    fn now(&self) -> Duration {
        self.now
    }

    fn pending_work(&self) -> PendingWork {
        self.pending
    }

    fn accept_backlog(&mut self) {
        self.calls.push("accept_backlog");
    }

    fn stop_accepting(&mut self) {
        self.calls.push("stop_accepting");
    }

    fn respond_to_all(&mut self) {
        self.calls.push("respond_to_all");
        self.pending.requests = false;
    }
}

#[test]
fn proxy_performs_the_steps_in_order() {
    let mut proxy = RecordingProxy {
        shutdown: Shutdown::new(TIMEOUTS),
        now: ms(0),
        pending: open_requests(),
        calls: Vec::new(),
    };
    proxy.advance_shutdown();
    assert!(proxy.calls.is_empty(), "{:?}", proxy.calls);
    proxy.shutdown.begin(ms(0));
    proxy.advance_shutdown();
    assert!(proxy.calls.is_empty(), "{:?}", proxy.calls);
    proxy.now = ms(550);
    proxy.advance_shutdown();
    assert_eq!(proxy.calls, ["stop_accepting"]);
    proxy.now = ms(3500);
    proxy.advance_shutdown();
    let expected = ["stop_accepting", "accept_backlog", "respond_to_all"];
    assert_eq!(proxy.calls, expected);
    assert!(proxy.shutdown.is_done());
}

#[test]
fn listener_without_waiting_connections_is_closed_immediately() {
    let mut sockets = Sockets::new().unwrap();
    let mut listener = ClientListener::bind(&mut sockets, "127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.address();
    assert!(std::net::TcpStream::connect(address).is_ok());
    assert!(!listener.has_backlog());
    listener.close(&mut sockets);
    assert!(!listener.has_backlog());
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn backlog_of_a_closed_listener_is_accepted_once_the_limit_allows() {
    let mut sockets = Sockets::new().unwrap();
    sockets.limit_connections(0, 0);
    let mut listener = ClientListener::bind(&mut sockets, "127.0.0.1:0".parse().unwrap()).unwrap();
    let _waiting = std::net::TcpStream::connect(listener.address()).unwrap();
    listener.close(&mut sockets);
    assert!(listener.has_backlog());
    listener.accept_backlog(&mut sockets);
    assert!(listener.has_backlog());
    // The backlog is known to be empty only if the limit leaves room for one more connection.
    sockets.limit_connections(2, 3);
    listener.accept_backlog(&mut sockets);
    assert!(!listener.has_backlog());
    assert_eq!(sockets.open_count(), 1);
}
