//! Fleets of replicas in simulated time with scripted faults. After the last fault all replicas
//! converge, no expired entry reappears, and an entry that two peers have survives the crash of any
//! two members.

mod helpers;

use helpers::{random_script, script, secs, step, Node, FLEET_SETTINGS, PUBLISHED, TIME_TO_LIVE};
use limewing_fault_injection::{Fault, Script, Selector, Simulation};
use limewing_replication::Origin;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn simulation(
    script: &Script,
    members: usize,
    publish_until: f64,
    publish_interval: f64,
) -> Simulation<Node> {
    assert_eq!(script.config_errors(), []);
    FLEET_SETTINGS
        .with(|fleet| *fleet.borrow_mut() = (members, secs(publish_until), secs(publish_interval)));
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
    logs.filter(|(_, sequences)| !sequences.is_empty())
        .collect()
}

fn have_converged(simulation: &Simulation<Node>) -> bool {
    let mut nodes = (0..simulation.member_count()).filter_map(|n| simulation.member(n));
    let Some(first) = nodes.next() else {
        return true;
    };
    // Only positions are compared: an entry may have expired at one replica and not yet at another.
    let positions = |node: &Node| -> Vec<(Origin, u64)> {
        node.replica
            .logs()
            .map(|(origin, log)| (origin.clone(), log.contiguous_through()))
            .filter(|(_, contiguous_through)| *contiguous_through > 0)
            .collect()
    };
    let expected = positions(first);
    nodes.all(|node| positions(node) == expected)
}

/// Returns how long after `from` all replicas have the same positions.
fn convergence_time(
    simulation: &mut Simulation<Node>,
    from: Duration,
    max_duration: Duration,
) -> Option<Duration> {
    simulation.run_until(from);
    while simulation.now() < from + max_duration {
        if have_converged(simulation) {
            return Some(simulation.now() - from);
        }
        let next = simulation.now() + secs(0.02);
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
        for (origin, sequences) in live_entries(node, now) {
            for sequence in sequences {
                let published = PUBLISHED
                    .with(|published| published.borrow().get(&(origin.clone(), sequence)).copied());
                // An entry may be delayed in transit: 0.3 s on a link, 3 s at a suspended member.
                let published = published
                    .unwrap_or_else(|| panic!("nobody published {sequence} of {origin:?}"));
                assert!(
                    now < published + TIME_TO_LIVE + secs(4.0),
                    "m{number} stores {sequence} of {origin:?}, which has expired"
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
        let script = random_script(seed, 40.0);
        let mut simulation = simulation(&script, members, 34.0, 0.4);
        for at in 1..35 {
            simulation.run_until(secs(f64::from(at)));
            assert_no_expired_entries(&simulation);
        }
        let elapsed = convergence_time(&mut simulation, secs(35.0), secs(20.0));
        assert_no_expired_entries(&simulation);
        let elapsed = elapsed
            .unwrap_or_else(|| panic!("seed {seed}: not converged 20 s after the last fault"));
        worst = worst.max(elapsed);
        // Once all entries have expired, none is stored and none reappears.
        simulation.run_until(secs(34.0) + TIME_TO_LIVE + secs(8.0));
        for number in 0..members {
            let stored = simulation
                .member(number)
                .map_or(0, |node| live_entries(node, simulation.now()).len());
            assert_eq!(stored, 0, "seed {seed}: m{number} stores expired entries");
        }
    }
    println!("{members} members, {seeds} scripts: converged within {worst:?} after the last fault");
}

/// Guards against the loss of an entry that two peers have acknowledged when any two members crash,
/// including its origin.
#[test]
fn entries_on_two_peers_survive_any_two_crashes() {
    let mut checked = 0;
    for seed in 0..40u64 {
        let (first_killed, second_killed) = ((seed % 12) as usize, ((seed / 3 + 5) % 12) as usize);
        let at = 2.0 + seed as f64 * 0.07;
        let steps = vec![step(
            at,
            Fault::Kill(Selector::Numbers(vec![first_killed, second_killed])),
        )];
        let mut simulation = simulation(&script(30.0, 0.1, steps), 12, 6.0, 0.3);
        simulation.run_until(secs(at - 0.001));
        let acknowledged: Vec<(Origin, u64)> = [first_killed, second_killed]
            .iter()
            .filter_map(|n| simulation.member(*n))
            .flat_map(|node| {
                let own = node.replica.origin().clone();
                let contiguous_through = node
                    .replica
                    .logs()
                    .find(|(origin, _)| **origin == own)
                    .map_or(0, |(_, log)| log.contiguous_through());
                (1..=contiguous_through)
                    .filter(|sequence| node.replica.acknowledgement_count(*sequence) >= 2)
                    .map(|sequence| (own.clone(), sequence))
                    .collect::<Vec<_>>()
            })
            .collect();
        simulation.run_until(secs(at + 3.0));
        for (origin, sequence) in &acknowledged {
            for number in (0..12).filter(|n| *n != first_killed && *n != second_killed) {
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
    println!("{checked} entries that two peers had survived the crash of two members");
}

/// While restarted members catch up, new entries still reach all members in time, even if the first
/// packet is lost.
#[test]
fn new_entries_spread_in_time_while_others_catch_up() {
    let member = |n: usize| Selector::Numbers(vec![n]);
    let steps = (0..6).flat_map(|n| {
        let at = 10.0 + 2.0 * n as f64;
        [
            step(at, Fault::Kill(member(n))),
            step(at + 0.7, Fault::Start(member(n))),
        ]
    });
    let mut simulation = simulation(&script(30.0, 0.01, steps.collect()), 6, 23.0, 0.025);
    let mut known: BTreeMap<(usize, Origin, u64), Duration> = BTreeMap::new();
    let mut delays: Vec<Duration> = Vec::new();
    while simulation.now() < secs(23.0) {
        let next = simulation.now() + secs(0.01);
        simulation.run_until(next);
        for number in 0..6 {
            let Some(node) = simulation.member(number) else {
                continue;
            };
            // Entries published before the member had caught up arrive by anti-entropy.
            let Some(from) = node.caught_up.map(|elapsed| node.started_at + elapsed) else {
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
        delays.push(at.saturating_sub(published));
    }
    delays.sort();
    let quantile = |fraction: f64| delays[(delays.len() as f64 * fraction) as usize];
    println!(
        "{} deliveries: median {:?}, 99.9% within {:?}",
        delays.len(),
        quantile(0.5),
        quantile(0.999)
    );
    assert!(quantile(0.999) < secs(0.3), "{:?}", quantile(0.999));
}

/// Half of the fleet is partitioned for ten seconds while both halves publish.
#[test]
fn halves_converge_soon_after_a_partition() {
    let mut convergence_times = Vec::new();
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
        convergence_times.push(
            convergence_time(&mut simulation, secs(13.0), secs(20.0)).expect("the halves converge"),
        );
        assert_no_expired_entries(&simulation);
    }
    convergence_times.sort();
    println!(
        "12 members, a partition of 10 s: converged after {:?} (median), {:?} (worst of {})",
        convergence_times[12],
        convergence_times[24],
        convergence_times.len()
    );
    assert!(convergence_times[24] < secs(8.0));
}

/// Seven in ten members are killed at once and restart empty a second later. The members that kept
/// running must not be overloaded, and all must catch up.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn most_of_a_fleet_catches_up_after_a_restart(#[case] members: usize) {
    let restarted = || Selector::Fraction(0.0, 0.7);
    let steps = vec![
        step(8.0, Fault::Kill(restarted())),
        step(9.0, Fault::Start(restarted())),
    ];
    let publish_interval = if members > 100 { 4.0 } else { 0.5 };
    let mut simulation = simulation(&script(40.0, 0.01, steps), members, 36.0, publish_interval);
    simulation.run_until(secs(7.9));
    let sent: Vec<u64> = (0..members)
        .filter_map(|n| simulation.member(n))
        .map(|n| n.replica.bytes_sent())
        .collect();
    let rate_before = sent.iter().sum::<u64>() as f64 / members as f64 / 7.9;
    let last = members - 1;
    let sent_before = simulation
        .member(last)
        .map_or(0, |node| node.replica.bytes_sent());
    // Entries that all surviving members had received before. Entries that only some had may arrive
    // later.
    let mut common: std::collections::BTreeSet<(Origin, u64)> = Default::default();
    for number in members * 7 / 10..members {
        let Some(node) = simulation.member(number) else {
            continue;
        };
        let received = node.received.iter().flat_map(|(origin, sequences)| {
            sequences.iter().map(|sequence| (origin.clone(), *sequence))
        });
        let (own, is_first) = (node.replica.origin().clone(), common.is_empty());
        let received: std::collections::BTreeSet<(Origin, u64)> = received.collect();
        common = if is_first {
            received
        } else {
            common
                .into_iter()
                .filter(|(origin, sequence)| {
                    *origin == own || received.contains(&(origin.clone(), *sequence))
                })
                .collect()
        };
    }
    let mut checked = std::collections::BTreeSet::new();
    let caught_up_count = |simulation: &Simulation<Node>| {
        (0..members)
            .filter(|n| simulation.member(*n).is_some_and(|n| n.caught_up.is_some()))
            .count()
    };
    while simulation.now() < secs(39.0)
        && (simulation.now() < secs(9.1) || caught_up_count(&simulation) < members)
    {
        let next = simulation.now() + secs(0.05);
        simulation.run_until(next);
        // A replica that reports to have caught up has all entries that all surviving members had.
        for number in (0..members * 7 / 10).filter(|_| simulation.now() > secs(9.0)) {
            let Some(node) = simulation
                .member(number)
                .filter(|node| node.caught_up.is_some())
            else {
                continue;
            };
            if checked.insert(number) {
                let missing = common.iter().filter(|(origin, sequence)| {
                    !node
                        .received
                        .get(origin)
                        .is_some_and(|received| received.contains(sequence))
                });
                assert_eq!(
                    missing.count(),
                    0,
                    "m{number} reports to have caught up, but lacks some of {}",
                    common.len()
                );
            }
        }
    }
    assert_eq!(caught_up_count(&simulation), members);
    let elapsed = simulation.now() - secs(9.0);
    let rate = simulation
        .member(last)
        .map_or(0, |n| n.replica.bytes_sent() - sent_before) as f64
        / (simulation.now() - secs(7.9)).as_secs_f64();
    let stored = simulation.member(last).map_or(0, |n| {
        n.replica
            .logs()
            .map(|(_, log)| log.live_entries())
            .sum::<usize>()
    });
    println!("{members} members, a record every {publish_interval} s: {rate_before:.0} bytes/s each before; all caught up {elapsed:?} after the restart, {stored} entries; a surviving member sent {rate:.0} bytes/s");
    assert!(rate <= 66_000.0 && elapsed < secs(20.0));
    assert_no_expired_entries(&simulation);
}
