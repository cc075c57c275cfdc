//! Membership in simulated time under scripts of faults: which members are declared dead, by whom, and how soon all views agree
//! again.

use limewing_emulators::fleet::{deaths, views, Member, Views};
use limewing_fault_injection::{
    ClockOffset, Fault, LinkConditions, Script, ScriptStep, Selector, SimulatedMember, Simulation,
};
use rstest::rstest;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn script(loss: f64, seconds: f64, steps: Vec<(f64, Fault)>) -> Script {
    let conditions = LinkConditions {
        loss,
        delay_ms: 1.0,
        jitter_ms: 20.0,
        ..LinkConditions::default()
    };
    let steps = steps
        .into_iter()
        .map(|(at, does)| ScriptStep { at, fault: does })
        .collect();
    Script {
        name: "drawn".into(),
        seed: 11,
        seconds,
        conditions,
        steps,
        clock_offsets: Vec::new(),
    }
}

fn cut(from: (f64, f64), to: (f64, f64), one_way: bool) -> Fault {
    Fault::Partition {
        from: Selector::Fraction(from.0, from.1),
        to: Selector::Fraction(to.0, to.1),
        one_way,
    }
}

fn world(members: usize, script: &Script) -> Simulation<Member> {
    assert_eq!(script.config_errors(), []);
    Simulation::new(script, members)
}

const AGREED: Views = Views {
    missing: 0,
    ghosts: 0,
};

/// Runs until each running member considers exactly the running members to run, and returns how long that takes; fails after `most`
/// seconds.
fn agrees(world: &mut Simulation<Member>, most: f64) -> Duration {
    let from = world.now();
    while views(world) != AGREED {
        assert!(
            world.now() < from + s(most),
            "{:?} after {most} s",
            views(world)
        );
        world.run_until(world.now() + s(0.5));
    }
    world.now() - from
}

#[rstest]
#[case::two(2, 5.0)]
#[case::twelve(12, 15.0)]
#[case::hundred(100, 30.0)]
fn a_fleet_that_starts_at_once_knows_itself(#[case] members: usize, #[case] most: f64) {
    agrees(&mut world(members, &script(0.0, 100.0, vec![])), most);
}

/// A loss of one in twenty datagrams in both directions for ten minutes causes no false deaths.
#[rstest]
#[case::twelve(12)]
#[case::sixty(60)]
fn loss_alone_kills_nobody(#[case] members: usize) {
    let mut world = world(members, &script(0.05, 600.0, vec![]));
    world.run_until(s(600.0));
    assert_eq!(deaths(&world).len(), 0);
    assert_eq!(views(&world), AGREED);
}

/// After the last fault is over, all views agree again within 90 seconds.
#[rstest]
#[case::a_half_cut_off(vec![(30.0, cut((0.0, 0.5), (0.5, 1.0), false)), (40.0, Fault::HealPartitions)], 40.0)]
#[case::a_half_cut_off_for_long(vec![(30.0, cut((0.0, 0.5), (0.5, 1.0), false)), (150.0, Fault::HealPartitions)], 150.0)]
#[case::one_way(vec![(30.0, cut((0.0, 0.2), (0.2, 1.0), true)), (60.0, Fault::HealPartitions)], 60.0)]
#[case::one_alone(vec![(30.0, cut((0.0, 0.05), (0.05, 1.0), false)), (150.0, Fault::HealPartitions)], 150.0)]
#[case::seven_in_ten_killed(vec![(30.0, Fault::Kill(Selector::Fraction(0.3, 1.0)))], 30.0)]
#[case::killed_and_back(
    vec![(30.0, Fault::Kill(Selector::Fraction(0.3, 1.0))), (33.0, Fault::Start(Selector::Fraction(0.3, 1.0)))], 33.0
)]
#[case::rolled_by_tenths(
    (0..10).flat_map(|n| {
        let who = || Selector::Fraction(n as f64 / 10.0, (n + 1) as f64 / 10.0);
        [(30.0 + 3.0 * n as f64, Fault::Leave(who())), (32.0 + 3.0 * n as f64, Fault::Start(who()))]
    }).collect(),
    60.0
)]
#[case::noise(vec![(30.0, Fault::SendNoise { to: Selector::All, datagrams: 500 })], 30.0)]
#[case::corrupted_doubled_and_slow(
    vec![
        (10.0, Fault::ChangeLinks {
            from: Selector::All, to: Selector::All,
            conditions: LinkConditions { loss: 0.05, delay_ms: 50.0, jitter_ms: 150.0, duplicate: 0.2, corrupt: 0.05, bytes_per_second: 0.0 },
        }),
        (60.0, Fault::ChangeLinks { from: Selector::All, to: Selector::All, conditions: LinkConditions::default() }),
    ],
    60.0
)]
fn all_agree_again(#[case] steps: Vec<(f64, Fault)>, #[case] over: f64) {
    for members in [6, 40] {
        let mut world = world(members, &script(0.01, 400.0, steps.clone()));
        world.run_until(s(over));
        agrees(&mut world, 90.0);
    }
}

/// A member that was suspended for three seconds continues without events: it suspects nobody, and is not declared dead.
#[test]
fn one_that_stood_still_blames_nobody() {
    let stands = vec![
        (30.0, Fault::Suspend(Selector::Numbers(vec![4]))),
        (33.0, Fault::Resume(Selector::Numbers(vec![4]))),
    ];
    let mut world = world(12, &script(0.0, 100.0, stands));
    world.run_until(s(80.0));
    assert_eq!(deaths(&world).len(), 0);
    let said = world
        .member(4)
        .map(|member| member.events.iter().filter(|(at, _)| *at > s(30.0)).count());
    assert_eq!(said, Some(0));
}

/// A fleet grows from three to twelve members and shrinks again, under loss.
#[test]
fn a_fleet_grows_and_shrinks() {
    let late = || Selector::Fraction(0.25, 1.0);
    let steps = vec![
        (0.0, Fault::Kill(late())),
        (20.0, Fault::Start(late())),
        (60.0, Fault::Leave(late())),
    ];
    let mut world = world(12, &script(0.02, 200.0, steps));
    world.run_until(s(19.0));
    agrees(&mut world, 30.0);
    world.run_until(s(59.0));
    assert_eq!(views(&world), AGREED);
    world.run_until(s(60.1));
    agrees(&mut world, 30.0);
}

/// Keys are rotated in three steps, in one half of the members after the other, under loss and with clocks ten seconds off.
#[test]
fn keys_are_changed_in_turn() {
    let half = |n: usize| Selector::Fraction(n as f64 / 2.0, (n + 1) as f64 / 2.0);
    let step = |turn: usize, ids: &[u8]| {
        let at = 20.0 + 10.0 * turn as f64;
        [0, 1].map(|n| {
            (
                at + 3.0 * n as f64,
                Fault::ReplaceKeys {
                    members: half(n),
                    ids: ids.to_vec(),
                },
            )
        })
    };
    let steps = [step(0, &[1, 2]), step(1, &[2, 1]), step(2, &[2])].concat();
    let mut script = script(0.05, 200.0, steps);
    script.clock_offsets = vec![
        ClockOffset {
            members: Selector::Numbers(vec![3, 9]),
            seconds: 10.0,
        },
        ClockOffset {
            members: Selector::Numbers(vec![5]),
            seconds: -10.0,
        },
    ];
    let mut world = world(24, &script);
    world.run_until(s(120.0));
    assert_eq!(deaths(&world).len(), 0);
    assert_eq!(views(&world), AGREED);
}

/// A member whose clock is off by more than the maximum age of datagrams neither accepts datagrams of others nor has its own accepted.
#[test]
fn a_clock_that_is_far_off_is_alone() {
    let mut script = script(0.0, 200.0, vec![]);
    script.clock_offsets = vec![ClockOffset {
        members: Selector::Numbers(vec![3]),
        seconds: 40.0,
    }];
    let mut world = world(6, &script);
    world.run_until(s(60.0));
    assert_eq!(views(&world).missing, 10);
}

/// Two runs of the same script give the same traffic and deaths.
#[test]
fn a_run_is_the_same_each_time() {
    let run = || {
        let mut world = world(
            20,
            &script(
                0.2,
                100.0,
                vec![(20.0, Fault::Kill(Selector::Fraction(0.5, 1.0)))],
            ),
        );
        world.run_until(s(60.0));
        (world.traffic(), deaths(&world))
    };
    assert_eq!(run(), run());
}

/// In a lasting partition, each half declares all of the other half dead.
#[test]
fn a_cut_that_stays_is_seen_as_deaths() {
    let mut world = world(
        12,
        &script(0.0, 200.0, vec![(20.0, cut((0.0, 0.5), (0.5, 1.0), false))]),
    );
    world.run_until(s(120.0));
    assert_eq!(deaths(&world).len(), 12);
    assert_eq!(views(&world).missing, 2 * 6 * 6);
}

/// A member that publishes its number and how often it was started.
struct Posting(Member, u8);

impl SimulatedMember for Posting {
    fn start(number: usize, start: u32, now: Duration, ahead: f64) -> Self {
        let mut member = Member::start(number, start, now, ahead);
        assert!(
            !member.membership.publish(now, vec![0; 257])
                && member.membership.publish(now, b"first".to_vec())
        );
        assert!(member
            .membership
            .publish(now, vec![number as u8, start as u8]));
        Self(member, start as u8)
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        self.0.receive(now, datagram);
    }

    fn tick(&mut self, now: Duration) {
        self.0.tick(now);
    }

    fn next_deadline(&self) -> Duration {
        self.0.next_deadline()
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        self.0.take_datagram()
    }

    fn leave(&mut self, now: Duration) {
        self.0.leave(now);
    }
}

/// Published data reaches all members under loss, restarts and a partition; that of a dead member can't be read.
#[rstest]
#[case::at_once(vec![], 30.0)]
#[case::some_started_anew(
    vec![(20.0, Fault::Kill(Selector::Fraction(0.5, 1.0))), (22.0, Fault::Start(Selector::Fraction(0.5, 1.0)))], 60.0
)]
#[case::started_in_a_cut(
    vec![
        (20.0, cut((0.0, 0.5), (0.5, 1.0), false)),
        (25.0, Fault::Kill(Selector::Numbers(vec![1]))),
        (26.0, Fault::Start(Selector::Numbers(vec![1]))),
        (60.0, Fault::HealPartitions),
    ],
    130.0
)]
#[case::one_is_gone(vec![(20.0, Fault::Kill(Selector::Numbers(vec![3])))], 90.0)]
fn what_is_put_up_reaches_all(#[case] steps: Vec<(f64, Fault)>, #[case] by: f64) {
    let script = script(0.05, 200.0, steps);
    let mut world: Simulation<Posting> = Simulation::new(&script, 24);
    world.run_until(s(by));
    for reader in (0..24).filter(|n| world.member(*n).is_some()) {
        for other in (0..24).filter(|n| *n != reader) {
            let name = format!("s{other}").try_into().unwrap();
            let read = world
                .member(reader)
                .and_then(|core| core.0.membership.published_by(&name));
            let found = read.map(|(bytes, _)| bytes.to_vec());
            let expected = world.member(other).map(|core| vec![other as u8, core.1]);
            assert_eq!(found, expected, "s{other} as read by s{reader}");
        }
    }
}
