//! Shutdown over drawn orders of events: every accepted request is answered once, and it ends in bounded time.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

const SPANS: Spans = Spans {
    found: Duration::from_millis(550),
    answered: Duration::from_millis(3500),
    ended: Duration::from_millis(3650),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open() -> Holds {
    Holds {
        requests: true,
        ..Holds::default()
    }
}

#[test]
fn one_that_is_not_told_does_nothing() {
    let mut shutdown = Shutdown::new(SPANS);
    assert_eq!(
        (shutdown.step(ms(90_000), Holds::default()), shutdown.next()),
        (None, None)
    );
    assert!(!shutdown.is_told() && !shutdown.closes() && !shutdown.is_done());
}

/// Idle or not, it serves while clients still come.
#[test]
fn it_serves_on_while_clients_still_come() {
    let mut shutdown = Shutdown::new(SPANS);
    assert!(shutdown.tell(ms(1000)));
    assert!(!shutdown.tell(ms(1400)));
    assert_eq!(shutdown.next(), Some(ms(1550)));
    assert_eq!(shutdown.step(ms(1549), Holds::default()), None);
    assert_eq!(
        shutdown.step(ms(1550), Holds::default()),
        Some(Step::CloseDoor)
    );
    assert_eq!(shutdown.step(ms(1550), Holds::default()), Some(Step::End));
    assert!(shutdown.is_done() && shutdown.closes());
}

#[rstest]
#[case::door(Holds { door: true, ..Holds::default() })]
#[case::requests(open())]
#[case::clients(Holds { clients: true, ..Holds::default() })]
#[case::unsent(Holds { unsent: true, ..Holds::default() })]
fn it_waits_for_whatever_it_holds_and_no_longer_than_it_may(#[case] holds: Holds) {
    let mut shutdown = Shutdown::new(SPANS);
    shutdown.tell(ms(0));
    assert_eq!(shutdown.step(ms(550), holds), Some(Step::CloseDoor));
    assert_eq!(shutdown.step(ms(3499), holds), None);
    assert_eq!(shutdown.step(ms(3500), holds), Some(Step::AnswerAll));
    assert_eq!(shutdown.next(), Some(ms(3650)));
    // What was answered is still to be read by its client, up to the end.
    let unsent = Holds {
        unsent: true,
        ..Holds::default()
    };
    assert_eq!(shutdown.step(ms(3500), unsent), None);
    assert_eq!(shutdown.step(ms(3650), unsent), Some(Step::End));
}

/// Spans out of order, as settings with short deadlines may give, close the door before all is answered.
#[test]
fn nothing_is_answered_before_the_door_closes() {
    let mut shutdown = Shutdown::new(Spans {
        found: ms(500),
        answered: ms(100),
        ended: ms(50),
    });
    shutdown.tell(ms(0));
    assert_eq!(shutdown.next(), Some(ms(500)));
    assert_eq!(shutdown.step(ms(500), open()), Some(Step::CloseDoor));
    assert_eq!(shutdown.step(ms(500), open()), Some(Step::AnswerAll));
    // One that came at the last moment is answered too, and then it ends whatever its host says.
    assert_eq!(shutdown.step(ms(500), open()), Some(Step::AnswerAll));
    assert_eq!(shutdown.step(ms(500), open()), Some(Step::End));
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
                    let news = shutdown.tell(now);
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
                Event::Passes(span) => now = shutdown.next().unwrap_or(Duration::MAX).min(now + ms(span)).max(now),
            }
            loop {
                let holds = Holds { requests: !host.open.is_empty(), unsent: host.unsent > 0, ..Holds::default() };
                match shutdown.step(now, holds) {
                    Some(Step::CloseDoor) => {
                        prop_assert!(now >= told.unwrap() + SPANS.found);
                        host.door = false;
                    }
                    Some(Step::AnswerAll) => {
                        prop_assert!(now >= told.unwrap() + SPANS.answered);
                        host.unsent += host.open.len() as u32;
                        let open = std::mem::take(&mut host.open);
                        host.answered.extend(open);
                    }
                    Some(Step::End) => {
                        prop_assert!(host.open.is_empty(), "requests are open at the end");
                        prop_assert!(host.unsent == 0 || now >= told.unwrap() + SPANS.ended);
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
        prop_assert!(now <= told.unwrap() + SPANS.ended);
        prop_assert_eq!(host.answered.len() as u32, host.taken);
        host.answered.sort_unstable();
        host.answered.dedup();
        prop_assert_eq!(host.answered.len() as u32, host.taken);
    }
}
