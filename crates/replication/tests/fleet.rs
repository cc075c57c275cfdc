//! Fleets of replicas in simulated time with scripted faults. After the last fault all replicas
//! converge, no expired entry reappears, and an entry that two peers have survives the crash of any
//! two members.

mod helpers;

use helpers::{drawn, s, script, step, Node, FLEET, PUBLISHED, TIME_TO_LIVE};
use limewing_fault_injection::{Fault, Script, Selector, Simulation};
use limewing_replication::Origin;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn simulation(script: &Script, members: usize, publish_until: f64, every: f64) -> Simulation<Node> {
    assert_eq!(script.config_errors(), []);
    FLEET.with(|fleet| *fleet.borrow_mut() = (members, s(publish_until), s(every)));
    PUBLISHED.with(|published| published.borrow_mut().clear());
    Simulation::new(script, members)
}

/// Returns the entries of a replica that have not expired, by origin.
fn live_entries(node: &Node, now: Duration) -> BTreeMap<Origin, Vec<u64>> {
    let logs = node.replica.logs().map(|(origin, log)| {
        (
            origin.clone(),
            log.iter(now)
                .filter(|e| e.time_to_live_ms > 0)
                .map(|e| e.sequence)
                .collect::<Vec<_>>(),
        )
    });
    logs.filter(|(_, all)| !all.is_empty()).collect()
}

fn have_converged(simulation: &Simulation<Node>) -> bool {
    let mut nodes = (0..simulation.member_count()).filter_map(|n| simulation.member(n));
    let Some(first) = nodes.next() else {
        return true;
    };
    // Only positions are compared: an entry may have expired at one replica and not yet at another.
    let all = |node: &Node| -> Vec<(Origin, u64)> {
        node.replica
            .logs()
            .map(|(origin, log)| (origin.clone(), log.contiguous_through()))
            .filter(|(_, contiguous_through)| *contiguous_through > 0)
            .collect()
    };
    let received = all(first);
    nodes.all(|node| all(node) == received)
}

/// Returns how long after `from` all replicas have the same positions.
fn convergence_time(
    simulation: &mut Simulation<Node>,
    from: Duration,
    most: Duration,
) -> Option<Duration> {
    simulation.run_until(from);
    while simulation.now() < from + most {
        if have_converged(simulation) {
            return Some(simulation.now() - from);
        }
        let next = simulation.now() + s(0.02);
        simulation.run_until(next);
    }
    None
}

fn assert_no_expired_entries(simulation: &Simulation<Node>) {
    let now = simulation.now();
    for number in 0..simulation.member_count() {
        let Some(node) = simulation.member(number) else {
            continue;
        };
        assert!(!node.applied_twice, "m{number} applied an entry twice");
        for (origin, all) in live_entries(node, now) {
            for sequence in all {
                let published = PUBLISHED
                    .with(|published| published.borrow().get(&(origin.clone(), sequence)).copied());
                // An entry may be delayed in transit: 0.3 s on a link, 3 s at a suspended member.
                let published = published
                    .unwrap_or_else(|| panic!("nobody published {sequence} of {origin:?}"));
                assert!(
                    now < published + TIME_TO_LIVE + s(4.0),
                    "m{number} holds {sequence} of {origin:?}, which has expired"
                );
            }
        }
    }
}

#[rstest]
#[case::three(3, 40)]
#[case::twelve(12, 20)]
#[case::fifty(50, 3)]
fn replicas_converge_after_random_faults(#[case] members: usize, #[case] seeds: u64) {
    let mut worst = Duration::ZERO;
    for seed in 0..seeds {
        let script = drawn(seed, 40.0);
        let mut simulation = simulation(&script, members, 34.0, 0.4);
        for at in 1..35 {
            simulation.run_until(s(f64::from(at)));
            assert_no_expired_entries(&simulation);
        }
        let took = convergence_time(&mut simulation, s(35.0), s(20.0));
        assert_no_expired_entries(&simulation);
        let took =
            took.unwrap_or_else(|| panic!("seed {seed}: not alike 20 s after the last fault"));
        worst = worst.max(took);
        // Once all entries have expired, none is stored and none reappears.
        simulation.run_until(s(34.0) + TIME_TO_LIVE + s(8.0));
        for number in 0..members {
            let held = simulation
                .member(number)
                .map_or(0, |node| live_entries(node, simulation.now()).len());
            assert_eq!(held, 0, "seed {seed}: m{number} holds expired entries");
        }
    }
    println!("{members} members, {seeds} scripts: alike within {worst:?} after the last fault");
}

/// Guards against the loss of an entry that two peers have acknowledged when any two members crash,
/// including its origin.
#[test]
fn entries_on_two_peers_survive_any_two_crashes() {
    let mut checked = 0;
    for seed in 0..40u64 {
        let (one, other) = ((seed % 12) as usize, ((seed / 3 + 5) % 12) as usize);
        let at = 2.0 + seed as f64 * 0.07;
        let steps = vec![step(at, Fault::Kill(Selector::Numbers(vec![one, other])))];
        let mut simulation = simulation(&script(30.0, 0.1, steps), 12, 6.0, 0.3);
        simulation.run_until(s(at - 0.001));
        let acknowledged: Vec<(Origin, u64)> = [one, other]
            .iter()
            .filter_map(|n| simulation.member(*n))
            .flat_map(|node| {
                let me = node.replica.origin().clone();
                let contiguous_through = node
                    .replica
                    .logs()
                    .find(|(of, _)| **of == me)
                    .map_or(0, |(_, log)| log.contiguous_through());
                (1..=contiguous_through)
                    .filter(|sequence| node.replica.acknowledgement_count(*sequence) >= 2)
                    .map(|sequence| (me.clone(), sequence))
                    .collect::<Vec<_>>()
            })
            .collect();
        simulation.run_until(s(at + 3.0));
        for (origin, sequence) in &acknowledged {
            for number in (0..12).filter(|n| *n != one && *n != other) {
                let received = simulation.member(number).is_some_and(|node| {
                    node.received
                        .get(origin)
                        .is_some_and(|received| received.contains(sequence))
                });
                assert!(
                    received,
                    "seed {seed}: m{number} lacks {sequence} of {origin:?}"
                );
            }
        }
        checked += acknowledged.len();
    }
    assert!(checked > 200, "{checked}");
    println!("{checked} entries that two peers had outlived two members");
}

/// While restarted members catch up, new entries still reach all members in time, even if the first
/// packet is lost.
#[test]
fn new_entries_spread_in_time_while_others_catch_up() {
    let one = |n: usize| Selector::Numbers(vec![n]);
    let steps = (0..6).flat_map(|n| {
        let at = 10.0 + 2.0 * n as f64;
        [
            step(at, Fault::Kill(one(n))),
            step(at + 0.7, Fault::Start(one(n))),
        ]
    });
    let mut simulation = simulation(&script(30.0, 0.01, steps.collect()), 6, 23.0, 0.025);
    let mut known: BTreeMap<(usize, Origin, u64), Duration> = BTreeMap::new();
    let mut late: Vec<Duration> = Vec::new();
    while simulation.now() < s(23.0) {
        let next = simulation.now() + s(0.01);
        simulation.run_until(next);
        for number in 0..6 {
            let Some(node) = simulation.member(number) else {
                continue;
            };
            // Entries published before the member had caught up arrive by anti-entropy.
            let Some(from) = node.caught_up.map(|took| node.started + took) else {
                continue;
            };
            for (origin, received) in &node.received {
                for sequence in received.iter().rev().take(60) {
                    if PUBLISHED.with(|published| published.borrow()[&(origin.clone(), *sequence)])
                        < from
                    {
                        break;
                    }
                    known
                        .entry((number, origin.clone(), *sequence))
                        .or_insert_with(|| simulation.now());
                }
            }
        }
    }
    for ((_, origin, sequence), at) in &known {
        let published =
            PUBLISHED.with(|published| published.borrow()[&(origin.clone(), *sequence)]);
        late.push(at.saturating_sub(published));
    }
    late.sort();
    let part = |part: f64| late[(late.len() as f64 * part) as usize];
    println!(
        "{} tellings: {:?} in the median, 99.9% within {:?}",
        late.len(),
        part(0.5),
        part(0.999)
    );
    assert!(part(0.999) < s(0.3), "{:?}", part(0.999));
}

/// Half of the fleet is partitioned for ten seconds while both halves publish.
#[test]
fn halves_converge_soon_after_a_partition() {
    let mut took = Vec::new();
    for seed in 0..25 {
        let half = || Selector::Fraction(0.0, 0.5);
        let steps = vec![
            step(
                3.0,
                Fault::Partition {
                    from: half(),
                    to: Selector::Fraction(0.5, 1.0),
                    one_way: seed % 4 == 3,
                },
            ),
            step(13.0, Fault::HealPartitions),
        ];
        let mut script = script(40.0, 0.02, steps);
        script.seed = seed;
        let mut simulation = simulation(&script, 12, 12.9, 0.2);
        took.push(convergence_time(&mut simulation, s(13.0), s(20.0)).expect("alike"));
        assert_no_expired_entries(&simulation);
    }
    took.sort();
    println!(
        "12 members, a cut of 10 s: alike after {:?} (median), {:?} (worst of {})",
        took[12],
        took[24],
        took.len()
    );
    assert!(took[24] < s(8.0));
}

/// Seven in ten members are killed at once and restart empty a second later. The members that kept
/// running must not be overloaded, and all must catch up.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn most_of_a_fleet_catches_up_after_a_restart(#[case] members: usize) {
    let most = || Selector::Fraction(0.0, 0.7);
    let steps = vec![
        step(8.0, Fault::Kill(most())),
        step(9.0, Fault::Start(most())),
    ];
    let every = if members > 100 { 4.0 } else { 0.5 };
    let mut simulation = simulation(&script(40.0, 0.01, steps), members, 36.0, every);
    simulation.run_until(s(7.9));
    let sent: Vec<u64> = (0..members)
        .filter_map(|n| simulation.member(n))
        .map(|n| n.replica.bytes_sent())
        .collect();
    let before = sent.iter().sum::<u64>() as f64 / members as f64 / 7.9;
    let last = members - 1;
    let at_8 = simulation
        .member(last)
        .map_or(0, |node| node.replica.bytes_sent());
    // Entries that all surviving members had received before. Entries that only some had may arrive
    // later.
    let mut all: std::collections::BTreeSet<(Origin, u64)> = Default::default();
    for number in members * 7 / 10..members {
        let Some(node) = simulation.member(number) else {
            continue;
        };
        let received = node
            .received
            .iter()
            .flat_map(|(of, sequences)| sequences.iter().map(|sequence| (of.clone(), *sequence)));
        let (own, first) = (node.replica.origin().clone(), all.is_empty());
        let received: std::collections::BTreeSet<(Origin, u64)> = received.collect();
        all = if first {
            received
        } else {
            all.into_iter()
                .filter(|(of, sequence)| *of == own || received.contains(&(of.clone(), *sequence)))
                .collect()
        };
    }
    let mut looked_at = std::collections::BTreeSet::new();
    let caught = |simulation: &Simulation<Node>| {
        (0..members)
            .filter(|n| simulation.member(*n).is_some_and(|n| n.caught_up.is_some()))
            .count()
    };
    while simulation.now() < s(39.0) && (simulation.now() < s(9.1) || caught(&simulation) < members)
    {
        let next = simulation.now() + s(0.05);
        simulation.run_until(next);
        // A replica that reports to have caught up has all entries that all surviving members had.
        for number in (0..members * 7 / 10).filter(|_| simulation.now() > s(9.0)) {
            let Some(node) = simulation
                .member(number)
                .filter(|node| node.caught_up.is_some())
            else {
                continue;
            };
            if looked_at.insert(number) {
                let lacks = all.iter().filter(|(of, sequence)| {
                    !node
                        .received
                        .get(of)
                        .is_some_and(|received| received.contains(sequence))
                });
                assert_eq!(
                    lacks.count(),
                    0,
                    "m{number} reports to have caught up, but lacks some of {}",
                    all.len()
                );
            }
        }
    }
    assert_eq!(caught(&simulation), members);
    let took = simulation.now() - s(9.0);
    let rate = simulation
        .member(last)
        .map_or(0, |n| n.replica.bytes_sent() - at_8) as f64
        / (simulation.now() - s(7.9)).as_secs_f64();
    let most_held = simulation.member(last).map_or(0, |n| {
        n.replica
            .logs()
            .map(|(_, log)| log.live_entries())
            .sum::<usize>()
    });
    println!("{members} members, a fact each {every} s: {before:.0} bytes/s each before; all caught up {took:?} after the return, {most_held} entries; one that stayed sent {rate:.0} bytes/s");
    assert!(rate <= 66_000.0 && took < s(20.0));
    assert_no_expired_entries(&simulation);
}
