//! A service that is lost to many: how often they ask it, and how soon all have it again.

use limewing_coordination::{
    stable_key, Coordinator, LoadReport, Pod, Service, MAX_POLL_INTERVAL, RECOVERY_SPREAD,
};
use rstest::rstest;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Members that each try a service, wait a second or two, and ask whether they may try it again.
struct Members {
    all: Vec<(u64, Coordinator)>,
    due: Vec<Option<Duration>>,
    said: Vec<Option<(LoadReport, Duration)>>,
    asks: Vec<Duration>,
    has: Vec<Option<Duration>>,
}

const STEP: Duration = Duration::from_millis(50);

/// The service is gone from 5 s on, up to `back`; what a member says reaches those of its part after `gossip`.
fn run(
    members: usize,
    parts: usize,
    gossip: Duration,
    heard: bool,
    back: Duration,
    until: Duration,
) -> Members {
    let own = |n: usize| stable_key(&format!("s{n}"));
    let pods = vec![Pod {
        key: 1,
        zone: 0,
        capacity: 1.0,
    }];
    let choices = |n| {
        let mut choices = Coordinator::new(Duration::ZERO, own(n), (n % 3) as u16);
        choices.set_pods(pods.clone());
        (own(n), choices)
    };
    let mut world = Members {
        all: (0..members).map(choices).collect(),
        due: (0..members)
            .map(|n| Some(s(5.0) + s(0.3) * (n as u32 % 7) / 7))
            .collect(),
        said: vec![None; members],
        asks: Vec::new(),
        has: vec![None; members],
    };
    let mut now = Duration::ZERO;
    let mut on_the_way: Vec<(Duration, usize, LoadReport)> = Vec::new();
    while now < until {
        let (arrived, later) = on_the_way.into_iter().partition(|(at, ..)| *at <= now);
        on_the_way = later;
        for (_, who, says) in arrived {
            world.said[who] = Some((says, now));
        }
        for n in 0..members {
            if now < world.all[n].1.next_deadline() {
                continue;
            }
            if let Some(says) = world.all[n].1.take_report(now).filter(|_| heard) {
                on_the_way.push((now + gossip, n, says));
            }
            let others: Vec<_> = (0..members)
                .filter(|other| *other != n && other % parts == n % parts)
                .map(|other| (own(other), world.said[other].clone()))
                .collect();
            world.all[n].1.set_peers(others.into_iter());
            let _ = world.all[n].1.take_view(now);
        }
        for n in 0..members {
            let Some(_) = world.due[n].filter(|due| *due <= now) else {
                continue;
            };
            let at = world.all[n].1.next_poll(now, Service::EndpointList);
            if at > now {
                world.due[n] = Some(at);
                continue;
            }
            world.asks.push(now);
            if now < back {
                world.all[n]
                    .1
                    .record_poll_failure(now, Service::EndpointList);
                world.due[n] = Some(now + s(0.3) + s(0.7) * (n as u32 * 7 % 10) / 10);
            } else {
                world.all[n].1.record_poll_success(Service::EndpointList);
                (world.due[n], world.has[n]) = (None, Some(now));
            }
        }
        now += STEP;
    }
    world
}

impl Members {
    fn asks(&self, from: f64, to: f64) -> usize {
        self.asks
            .iter()
            .filter(|at| (s(from)..s(to)).contains(*at))
            .count()
    }

    fn last(&self, members: usize) -> Duration {
        self.has
            .iter()
            .take(members)
            .map(|at| at.expect("it was found again"))
            .max()
            .unwrap_or_default()
    }
}

/// Asks of a second while it is gone, at most, in the mean; and all have it soon after it is back.
#[rstest]
#[case::twelve(12, 1, 4.0)]
#[case::three_hundred(300, 1, 42.0)]
#[case::in_two_halves(300, 2, 44.0)]
#[case::one_alone(1, 1, 4.0)]
fn few_ask_while_it_is_gone(#[case] members: usize, #[case] parts: usize, #[case] most: f64) {
    let world = run(members, parts, s(1.5), true, s(25.0), s(40.0));
    let a_second = world.asks(10.0, 25.0) as f64 / 15.0;
    let alone = run(members, parts, s(1.5), false, s(25.0), s(40.0)).asks(10.0, 25.0) as f64 / 15.0;
    let took = world.last(members) - s(25.0);
    println!("{members}: {a_second:.1} a second for {alone:.1}, all had it after {took:?}");
    assert!(
        a_second <= most && a_second <= alone,
        "{a_second} a second, alone {alone}"
    );
    assert!(
        took <= TURNS + s(2.0) * 2 + RECOVERY_SPREAD + s(1.0),
        "{took:?}"
    );
    // No crowd, while it is gone nor when it comes up.
    let crowd = (100..400)
        .map(|n| world.asks(n as f64 / 10.0, (n + 1) as f64 / 10.0))
        .max()
        .unwrap_or(0);
    assert!(crowd <= (members / 4).max(4), "{crowd} at once");
}

const TURNS: Duration = Duration::from_secs(2);

/// Nobody waits for longer than that for the others, whatever they say: they say that it is lost and never that it is back.
#[test]
fn others_that_go_on_saying_it_is_lost_hold_nobody_up_for_long() {
    let mut choices = Coordinator::new(Duration::ZERO, stable_key("own"), 0);
    choices.set_pods(vec![Pod {
        key: 1,
        zone: 0,
        capacity: 1.0,
    }]);
    let lost = LoadReport {
        zone: 1,
        rate_exponent: 4,
        hints: Vec::new(),
        lost_services: Service::EndpointList.bit(),
    };
    choices.record_poll_failure(s(1.0), Service::EndpointList);
    let (mut now, mut asked) = (s(1.0), Vec::new());
    while now < s(60.0) {
        choices.set_peers((0..200).map(|n| (n, Some((lost.clone(), now)))));
        let _ = choices.take_view(now);
        if choices.next_poll(now, Service::EndpointList) <= now {
            asked.push(now);
            choices.record_poll_failure(now, Service::EndpointList);
        }
        now += s(0.5);
    }
    let gaps: Vec<Duration> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        asked.len() >= 6 && gaps.iter().all(|gap| *gap <= MAX_POLL_INTERVAL + s(0.5)),
        "{asked:?}"
    );
}

/// What is lost to one alone, or to others but not to it, holds nothing up; nor does a word that is old.
#[rstest]
#[case::nobody_else(0, 0.0)]
#[case::said_long_ago(200, 30.0)]
fn alone_it_asks_at_once(#[case] others: u64, #[case] ago: f64) {
    let mut choices = Coordinator::new(Duration::ZERO, stable_key("own"), 0);
    choices.set_pods(vec![Pod {
        key: 1,
        zone: 0,
        capacity: 1.0,
    }]);
    assert_eq!(choices.next_poll(s(50.0), Service::Installer), s(50.0));
    choices.record_poll_failure(s(50.0), Service::Installer);
    let lost = LoadReport {
        zone: 1,
        rate_exponent: 4,
        hints: Vec::new(),
        lost_services: Service::Installer.bit(),
    };
    choices.set_peers((0..others).map(|n| (n, Some((lost.clone(), s(50.0) - s(ago))))));
    let _ = choices.take_view(s(50.5));
    assert_eq!(choices.next_poll(s(50.5), Service::Installer), s(50.5));
    assert_eq!(choices.next_poll(s(50.5), Service::EndpointList), s(50.5));
}
