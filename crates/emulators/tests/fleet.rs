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
        .map(|(at, fault)| ScriptStep { at, fault })
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

fn partition(from: (f64, f64), to: (f64, f64), one_way: bool) -> Fault {
    Fault::Partition {
        from: Selector::Fraction(from.0, from.1),
        to: Selector::Fraction(to.0, to.1),
        one_way,
    }
}

fn simulation(members: usize, script: &Script) -> Simulation<Member> {
    assert_eq!(script.config_errors(), []);
    Simulation::new(script, members)
}

const CONSISTENT: Views = Views {
    missing: 0,
    stale: 0,
};

/// Runs until each running member considers exactly the running members to run, and returns how long that takes; fails after
/// `max_seconds`.
fn run_until_consistent(simulation: &mut Simulation<Member>, max_seconds: f64) -> Duration {
    let from = simulation.now();
    while views(simulation) != CONSISTENT {
        assert!(
            simulation.now() < from + s(max_seconds),
            "views still differ after {max_seconds} s: {:?}",
            views(simulation)
        );
        simulation.run_until(simulation.now() + s(0.5));
    }
    simulation.now() - from
}

#[rstest]
#[case::two(2, 5.0)]
#[case::twelve(12, 15.0)]
#[case::hundred(100, 30.0)]
fn members_started_at_once_find_each_other(#[case] members: usize, #[case] max_seconds: f64) {
    run_until_consistent(
        &mut simulation(members, &script(0.0, 100.0, vec![])),
        max_seconds,
    );
}

/// A loss of one in twenty datagrams in both directions for ten minutes causes no false deaths.
#[rstest]
#[case::twelve(12)]
#[case::sixty(60)]
fn packet_loss_causes_no_deaths(#[case] members: usize) {
    let mut simulation = simulation(members, &script(0.05, 600.0, vec![]));
    simulation.run_until(s(600.0));
    assert_eq!(deaths(&simulation).len(), 0);
    assert_eq!(views(&simulation), CONSISTENT);
}

/// After the last fault is over, all views agree again within 90 seconds.
#[rstest]
#[case::half_partitioned(vec![(30.0, partition((0.0, 0.5), (0.5, 1.0), false)), (40.0, Fault::HealPartitions)], 40.0)]
#[case::half_partitioned_for_long(vec![(30.0, partition((0.0, 0.5), (0.5, 1.0), false)), (150.0, Fault::HealPartitions)], 150.0)]
#[case::one_way(vec![(30.0, partition((0.0, 0.2), (0.2, 1.0), true)), (60.0, Fault::HealPartitions)], 60.0)]
#[case::one_partitioned(vec![(30.0, partition((0.0, 0.05), (0.05, 1.0), false)), (150.0, Fault::HealPartitions)], 150.0)]
#[case::seventy_percent_killed(vec![(30.0, Fault::Kill(Selector::Fraction(0.3, 1.0)))], 30.0)]
#[case::killed_and_restarted(
    vec![(30.0, Fault::Kill(Selector::Fraction(0.3, 1.0))), (33.0, Fault::Start(Selector::Fraction(0.3, 1.0)))], 33.0
)]
#[case::rolling_restart_by_tenths(
    (0..10).flat_map(|n| {
        let who = || Selector::Fraction(n as f64 / 10.0, (n + 1) as f64 / 10.0);
        [(30.0 + 3.0 * n as f64, Fault::Leave(who())), (32.0 + 3.0 * n as f64, Fault::Start(who()))]
    }).collect(),
    60.0
)]
#[case::noise(vec![(30.0, Fault::SendNoise { to: Selector::All, datagrams: 500 })], 30.0)]
#[case::corrupted_duplicated_and_slow(
    vec![
        (10.0, Fault::ChangeLinks {
            from: Selector::All, to: Selector::All,
            conditions: LinkConditions { loss: 0.05, delay_ms: 50.0, jitter_ms: 150.0, duplicate: 0.2, corrupt: 0.05, bytes_per_second: 0.0 },
        }),
        (60.0, Fault::ChangeLinks { from: Selector::All, to: Selector::All, conditions: LinkConditions::default() }),
    ],
    60.0
)]
fn views_agree_after_faults(#[case] steps: Vec<(f64, Fault)>, #[case] over: f64) {
    for members in [6, 40] {
        let mut simulation = simulation(members, &script(0.01, 400.0, steps.clone()));
        simulation.run_until(s(over));
        run_until_consistent(&mut simulation, 90.0);
    }
}

/// A member that was suspended for three seconds continues without events: it suspects nobody, and is not declared dead.
#[test]
fn a_suspended_member_suspects_nobody() {
    let suspension = vec![
        (30.0, Fault::Suspend(Selector::Numbers(vec![4]))),
        (33.0, Fault::Resume(Selector::Numbers(vec![4]))),
    ];
    let mut simulation = simulation(12, &script(0.0, 100.0, suspension));
    simulation.run_until(s(80.0));
    assert_eq!(deaths(&simulation).len(), 0);
    let event_count = simulation
        .member(4)
        .map(|member| member.events.iter().filter(|(at, _)| *at > s(30.0)).count());
    assert_eq!(event_count, Some(0));
}

/// A fleet grows from three to twelve members and shrinks again, under loss.
#[test]
fn a_fleet_grows_and_shrinks() {
    let later_members = || Selector::Fraction(0.25, 1.0);
    let steps = vec![
        (0.0, Fault::Kill(later_members())),
        (20.0, Fault::Start(later_members())),
        (60.0, Fault::Leave(later_members())),
    ];
    let mut simulation = simulation(12, &script(0.02, 200.0, steps));
    simulation.run_until(s(19.0));
    run_until_consistent(&mut simulation, 30.0);
    simulation.run_until(s(59.0));
    assert_eq!(views(&simulation), CONSISTENT);
    simulation.run_until(s(60.1));
    run_until_consistent(&mut simulation, 30.0);
}

/// Keys are rotated in three steps, in one half of the members after the other, under loss and with clocks ten seconds off.
#[test]
fn key_rotation_causes_no_deaths() {
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
    let mut simulation = simulation(24, &script);
    simulation.run_until(s(120.0));
    assert_eq!(deaths(&simulation).len(), 0);
    assert_eq!(views(&simulation), CONSISTENT);
}

/// A member whose clock is off by more than the maximum age of datagrams neither accepts datagrams of others nor has its own accepted.
#[test]
fn a_member_with_a_wrong_clock_is_isolated() {
    let mut script = script(0.0, 200.0, vec![]);
    script.clock_offsets = vec![ClockOffset {
        members: Selector::Numbers(vec![3]),
        seconds: 40.0,
    }];
    let mut simulation = simulation(6, &script);
    simulation.run_until(s(60.0));
    assert_eq!(views(&simulation).missing, 10);
}

/// Two runs of the same script give the same traffic and deaths.
#[test]
fn runs_are_deterministic() {
    let run = || {
        let mut simulation = simulation(
            20,
            &script(
                0.2,
                100.0,
                vec![(20.0, Fault::Kill(Selector::Fraction(0.5, 1.0)))],
            ),
        );
        simulation.run_until(s(60.0));
        (simulation.traffic(), deaths(&simulation))
    };
    assert_eq!(run(), run());
}

/// In a lasting partition, each half declares all of the other half dead.
#[test]
fn a_lasting_partition_is_seen_as_deaths() {
    let mut simulation = simulation(
        12,
        &script(
            0.0,
            200.0,
            vec![(20.0, partition((0.0, 0.5), (0.5, 1.0), false))],
        ),
    );
    simulation.run_until(s(120.0));
    assert_eq!(deaths(&simulation).len(), 12);
    assert_eq!(views(&simulation).missing, 2 * 6 * 6);
}

/// A member that publishes its number and how often it was started.
struct PublishingMember(Member, u8);

impl SimulatedMember for PublishingMember {
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
#[case::without_faults(vec![], 30.0)]
#[case::half_restarted(
    vec![(20.0, Fault::Kill(Selector::Fraction(0.5, 1.0))), (22.0, Fault::Start(Selector::Fraction(0.5, 1.0)))], 60.0
)]
#[case::restarted_during_partition(
    vec![
        (20.0, partition((0.0, 0.5), (0.5, 1.0), false)),
        (25.0, Fault::Kill(Selector::Numbers(vec![1]))),
        (26.0, Fault::Start(Selector::Numbers(vec![1]))),
        (60.0, Fault::HealPartitions),
    ],
    130.0
)]
#[case::one_killed(vec![(20.0, Fault::Kill(Selector::Numbers(vec![3])))], 90.0)]
fn published_data_reaches_all_members(#[case] steps: Vec<(f64, Fault)>, #[case] by: f64) {
    let script = script(0.05, 200.0, steps);
    let mut simulation: Simulation<PublishingMember> = Simulation::new(&script, 24);
    simulation.run_until(s(by));
    for reader in (0..24).filter(|n| simulation.member(*n).is_some()) {
        for other in (0..24).filter(|n| *n != reader) {
            let name = format!("s{other}").try_into().unwrap();
            let read = simulation
                .member(reader)
                .and_then(|member| member.0.membership.published_by(&name));
            let found = read.map(|(bytes, _)| bytes.to_vec());
            let expected = simulation
                .member(other)
                .map(|member| vec![other as u8, member.1]);
            assert_eq!(found, expected, "s{other} as read by s{reader}");
        }
    }
}
