//! Fleets of replicas in simulated time under scripts of faults: after the last fault all converge, no expired entry comes back, and
//! an entry that two peers have survives the crash of any two members.

mod helpers;

use helpers::{drawn, s, script, step, Node, FLEET, PUBLISHED, TIME_TO_LIVE};
use limewing_fault_injection::{Fault, Script, Who, World};
use limewing_replication::Origin;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn world(script: &Script, members: usize, publish_until: f64, every: f64) -> World<Node> {
    assert_eq!(script.config_errors(), []);
    FLEET.with(|fleet| *fleet.borrow_mut() = (members, s(publish_until), s(every)));
    PUBLISHED.with(|published| published.borrow_mut().clear());
    World::new(script, members)
}

/// The entries of a replica that have not expired, by origin.
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

fn have_converged(world: &World<Node>) -> bool {
    let mut nodes = (0..world.members()).filter_map(|n| world.core(n));
    let Some(first) = nodes.next() else {
        return true;
    };
    // Positions alone: an entry may have expired at one replica and not yet at another.
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

/// How long after `from` all replicas have the same positions.
fn convergence_time(world: &mut World<Node>, from: Duration, most: Duration) -> Option<Duration> {
    world.run_to(from);
    while world.now() < from + most {
        if have_converged(world) {
            return Some(world.now() - from);
        }
        let next = world.now() + s(0.02);
        world.run_to(next);
    }
    None
}

fn assert_no_expired_entries(world: &World<Node>) {
    let now = world.now();
    for number in 0..world.members() {
        let Some(node) = world.core(number) else {
            continue;
        };
        assert!(!node.applied_twice, "m{number} applied an entry twice");
        for (origin, all) in live_entries(node, now) {
            for sequence in all {
                let published = PUBLISHED
                    .with(|published| published.borrow().get(&(origin.clone(), sequence)).copied());
                // On its way an entry may wait: a line that holds it for 0.3 s, a member that stands still for 3 s.
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
        let mut world = world(&script, members, 34.0, 0.4);
        for at in 1..35 {
            world.run_to(s(f64::from(at)));
            assert_no_expired_entries(&world);
        }
        let took = convergence_time(&mut world, s(35.0), s(20.0));
        assert_no_expired_entries(&world);
        let took =
            took.unwrap_or_else(|| panic!("seed {seed}: not alike 20 s after the last fault"));
        worst = worst.max(took);
        // Once all entries have expired none is stored, and none comes back.
        world.run_to(s(34.0) + TIME_TO_LIVE + s(8.0));
        for number in 0..members {
            let held = world
                .core(number)
                .map_or(0, |node| live_entries(node, world.now()).len());
            assert_eq!(held, 0, "seed {seed}: m{number} holds expired entries");
        }
    }
    println!("{members} members, {seeds} scripts: alike within {worst:?} after the last fault");
}

/// An entry that two peers have acknowledged survives the crash of any two members, its origin included.
#[test]
fn entries_on_two_peers_survive_any_two_crashes() {
    let mut checked = 0;
    for seed in 0..40u64 {
        let (one, other) = ((seed % 12) as usize, ((seed / 3 + 5) % 12) as usize);
        let at = 2.0 + seed as f64 * 0.07;
        let steps = vec![step(at, Fault::Kill(Who::Numbers(vec![one, other])))];
        let mut world = world(&script(30.0, 0.1, steps), 12, 6.0, 0.3);
        world.run_to(s(at - 0.001));
        let acknowledged: Vec<(Origin, u64)> = [one, other]
            .iter()
            .filter_map(|n| world.core(*n))
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
        world.run_to(s(at + 3.0));
        for (origin, sequence) in &acknowledged {
            for number in (0..12).filter(|n| *n != one && *n != other) {
                let received = world.core(number).is_some_and(|node| {
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

/// While restarted members catch up, new entries still reach all in time, also where the first packet is lost.
#[test]
fn new_entries_spread_in_time_while_others_catch_up() {
    let one = |n: usize| Who::Numbers(vec![n]);
    let steps = (0..6).flat_map(|n| {
        let at = 10.0 + 2.0 * n as f64;
        [
            step(at, Fault::Kill(one(n))),
            step(at + 0.7, Fault::Start(one(n))),
        ]
    });
    let mut world = world(&script(30.0, 0.01, steps.collect()), 6, 23.0, 0.025);
    let mut known: BTreeMap<(usize, Origin, u64), Duration> = BTreeMap::new();
    let mut late: Vec<Duration> = Vec::new();
    while world.now() < s(23.0) {
        let next = world.now() + s(0.01);
        world.run_to(next);
        for number in 0..6 {
            let Some(node) = world.core(number) else {
                continue;
            };
            // Entries published before it had caught up come by the catch-up.
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
                        .or_insert_with(|| world.now());
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

/// Half the fleet cut off for ten seconds, while both halves publish.
#[test]
fn halves_converge_soon_after_a_partition() {
    let mut took = Vec::new();
    for seed in 0..25 {
        let half = || Who::Part(0.0, 0.5);
        let steps = vec![
            step(
                3.0,
                Fault::Cut {
                    from: half(),
                    to: Who::Part(0.5, 1.0),
                    one_way: seed % 4 == 3,
                },
            ),
            step(13.0, Fault::Mend),
        ];
        let mut script = script(40.0, 0.02, steps);
        script.seed = seed;
        let mut world = world(&script, 12, 12.9, 0.2);
        took.push(convergence_time(&mut world, s(13.0), s(20.0)).expect("alike"));
        assert_no_expired_entries(&world);
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

/// Seven in ten are killed at once and restart empty a second later: those that kept running are not overloaded, and all catch up.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn most_of_a_fleet_catches_up_after_a_restart(#[case] members: usize) {
    let most = || Who::Part(0.0, 0.7);
    let steps = vec![
        step(8.0, Fault::Kill(most())),
        step(9.0, Fault::Start(most())),
    ];
    let every = if members > 100 { 4.0 } else { 0.5 };
    let mut world = world(&script(40.0, 0.01, steps), members, 36.0, every);
    world.run_to(s(7.9));
    let sent: Vec<u64> = (0..members)
        .filter_map(|n| world.core(n))
        .map(|n| n.replica.bytes_sent())
        .collect();
    let before = sent.iter().sum::<u64>() as f64 / members as f64 / 7.9;
    let last = members - 1;
    let at_8 = world.core(last).map_or(0, |node| node.replica.bytes_sent());
    // What all that keep running had received before; what only some had may come later.
    let mut all: std::collections::BTreeSet<(Origin, u64)> = Default::default();
    for number in members * 7 / 10..members {
        let Some(node) = world.core(number) else {
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
    let caught = |world: &World<Node>| {
        (0..members)
            .filter(|n| world.core(*n).is_some_and(|n| n.caught_up.is_some()))
            .count()
    };
    while world.now() < s(39.0) && (world.now() < s(9.1) || caught(&world) < members) {
        let next = world.now() + s(0.05);
        world.run_to(next);
        // A replica that reports to have caught up has all that those that kept running had.
        for number in (0..members * 7 / 10).filter(|_| world.now() > s(9.0)) {
            let Some(node) = world.core(number).filter(|node| node.caught_up.is_some()) else {
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
    assert_eq!(caught(&world), members);
    let took = world.now() - s(9.0);
    let rate = world
        .core(last)
        .map_or(0, |n| n.replica.bytes_sent() - at_8) as f64
        / (world.now() - s(7.9)).as_secs_f64();
    let most_held = world.core(last).map_or(0, |n| {
        n.replica
            .logs()
            .map(|(_, log)| log.live_entries())
            .sum::<usize>()
    });
    println!("{members} members, a fact each {every} s: {before:.0} bytes/s each before; all caught up {took:?} after the return, {most_held} entries; one that stayed sent {rate:.0} bytes/s");
    assert!(rate <= 66_000.0 && took < s(20.0));
    assert_no_expired_entries(&world);
}
