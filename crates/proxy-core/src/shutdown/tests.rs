//! Shutdown over drawn orders of events: every accepted request is answered once, and it ends in bounded time.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

const SPANS: ShutdownTimeouts = ShutdownTimeouts {
    stop_accepting: Duration::from_millis(550),
    respond_to_all: Duration::from_millis(3500),
    exit: Duration::from_millis(3650),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open() -> PendingWork {
    PendingWork {
        requests: true,
        ..PendingWork::default()
    }
}

#[test]
fn one_that_is_not_told_does_nothing() {
    let mut shutdown = Shutdown::new(SPANS);
    assert_eq!(
        (
            shutdown.advance(ms(90_000), PendingWork::default()),
            shutdown.next_deadline()
        ),
        (None, None)
    );
    assert!(!shutdown.has_begun() && !shutdown.has_stopped_accepting() && !shutdown.is_done());
}

/// Idle or not, it serves while clients still come.
#[test]
fn it_serves_on_while_clients_still_come() {
    let mut shutdown = Shutdown::new(SPANS);
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
#[case::requests(open())]
#[case::clients(PendingWork { clients: true, ..PendingWork::default() })]
#[case::unsent(PendingWork { unsent: true, ..PendingWork::default() })]
fn it_waits_for_whatever_it_holds_and_no_longer_than_it_may(#[case] holds: PendingWork) {
    let mut shutdown = Shutdown::new(SPANS);
    shutdown.begin(ms(0));
    assert_eq!(
        shutdown.advance(ms(550), holds),
        Some(ShutdownStep::StopAccepting)
    );
    assert_eq!(shutdown.advance(ms(3499), holds), None);
    assert_eq!(
        shutdown.advance(ms(3500), holds),
        Some(ShutdownStep::RespondToAll)
    );
    assert_eq!(shutdown.next_deadline(), Some(ms(3650)));
    // What was answered is still to be read by its client, up to the end.
    let unsent = PendingWork {
        unsent: true,
        ..PendingWork::default()
    };
    assert_eq!(shutdown.advance(ms(3500), unsent), None);
    assert_eq!(shutdown.advance(ms(3650), unsent), Some(ShutdownStep::Exit));
}

/// Spans out of order, as settings with short deadlines may give, close the door before all is answered.
#[test]
fn nothing_is_answered_before_the_door_closes() {
    let mut shutdown = Shutdown::new(ShutdownTimeouts {
        stop_accepting: ms(500),
        respond_to_all: ms(100),
        exit: ms(50),
    });
    shutdown.begin(ms(0));
    assert_eq!(shutdown.next_deadline(), Some(ms(500)));
    assert_eq!(
        shutdown.advance(ms(500), open()),
        Some(ShutdownStep::StopAccepting)
    );
    assert_eq!(
        shutdown.advance(ms(500), open()),
        Some(ShutdownStep::RespondToAll)
    );
    // One that came at the last moment is answered too, and then it ends whatever its host says.
    assert_eq!(
        shutdown.advance(ms(500), open()),
        Some(ShutdownStep::RespondToAll)
    );
    assert_eq!(shutdown.advance(ms(500), open()), Some(ShutdownStep::Exit));
}

/// A host that does as it is told, with requests that come and are answered by others at drawn times.
#[derive(Default)]
struct Host {
    open: Vec<u32>,
    answered: Vec<u32>,
    unsent: u32,
    taken: u32,
    door: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Tell,
    /// A request comes on an open connection, or through the door.
    Request {
        new: bool,
    },
    /// An answer comes for the oldest one open.
    Answer,
    /// A client reads.
    Reads,
    Passes(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let one = prop_oneof![
        Just(Event::Tell),
        any::<bool>().prop_map(|new| Event::Request { new }),
        Just(Event::Answer),
        Just(Event::Reads),
        (0u64..900).prop_map(Event::Passes),
    ];
    prop::collection::vec(one, 1..80)
}

proptest! {
    #[test]
    fn every_request_is_answered_once_and_it_ends_in_time(events in events()) {
        let (mut shutdown, mut host, mut now, mut told) = (Shutdown::new(SPANS), Host { door: true, ..Host::default() }, ms(0), None);
        // What is drawn, and then silence up to the end.
        let all = events.into_iter().chain([Event::Tell]).chain((0..80).map(|_| Event::Passes(50)));
        for event in all {
            match event {
                Event::Tell => {
                    let news = shutdown.begin(now);
                    prop_assert_eq!(news, told.is_none());
                    told = told.or(Some(now));
                }
                Event::Request { new } if host.door || !new => {
                    host.taken += 1;
                    host.open.push(host.taken);
                }
                Event::Request { .. } => {}
                Event::Answer if !host.open.is_empty() => {
                    host.answered.push(host.open.remove(0));
                    host.unsent += 1;
                }
                Event::Answer => {}
                Event::Reads => host.unsent = 0,
                // The loop wakes at the latest when it is asked to.
                Event::Passes(span) => now = shutdown.next_deadline().unwrap_or(Duration::MAX).min(now + ms(span)).max(now),
            }
            loop {
                let holds = PendingWork { requests: !host.open.is_empty(), unsent: host.unsent > 0, ..PendingWork::default() };
                match shutdown.advance(now, holds) {
                    Some(ShutdownStep::StopAccepting) => {
                        prop_assert!(now >= told.unwrap() + SPANS.stop_accepting);
                        host.door = false;
                    }
                    Some(ShutdownStep::RespondToAll) => {
                        prop_assert!(now >= told.unwrap() + SPANS.respond_to_all);
                        host.unsent += host.open.len() as u32;
                        let open = std::mem::take(&mut host.open);
                        host.answered.extend(open);
                    }
                    Some(ShutdownStep::Exit) => {
                        prop_assert!(host.open.is_empty(), "requests are open at the end");
                        prop_assert!(host.unsent == 0 || now >= told.unwrap() + SPANS.exit);
                        break;
                    }
                    None => break,
                }
            }
            if shutdown.is_done() {
                break;
            }
        }
        prop_assert!(shutdown.is_done(), "it does not end");
        prop_assert!(now <= told.unwrap() + SPANS.exit);
        prop_assert_eq!(host.answered.len() as u32, host.taken);
        host.answered.sort_unstable();
        host.answered.dedup();
        prop_assert_eq!(host.answered.len() as u32, host.taken);
    }
}
