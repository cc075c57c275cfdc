//! Machines on their way, word by word; and whatever words come in whatever order, the limits hold.

use limewing_maintenance::*;
use proptest::prelude::*;
use rstest::rstest;

fn machine(n: u64) -> Machine {
    Machine {
        name: format!("m{n}"),
        zone: format!("z{}", n % 3),
        kind: format!("k{}", n % 2),
        capacity: 1.0,
    }
}

fn limits() -> DisruptionLimits {
    DisruptionLimits {
        max_unavailable: 3,
        max_unavailable_per_zone: 1,
        max_unavailable_per_kind: 2,
        min_ready_fraction: 0.7,
        exclusive_pairs: vec![("m0".into(), "m4".into())],
        max_rejection_rate: 0.05,
    }
}

fn terms(name: &str) -> ListConfig {
    ListConfig {
        name: name.into(),
        limits: limits(),
        work_duration_ms: 1000,
        stall_timeout_ms: 5000,
        windows: Vec::new(),
        priority: 1,
        allowed_during_trials: false,
    }
}

fn seen(upto: u64) -> FleetSummary {
    FleetSummary {
        applied_index: upto,
        total_capacity: 12.0,
        ready_capacity: 12.0,
        zone_outage: false,
        release_on_trial: false,
        rejection_rate: 0.05,
    }
}

/// Turns with a list of twelve machines, seen at 1 s; and the next place in the log.
fn with(terms: ListConfig) -> (MaintenanceSchedule, u64) {
    let mut turns = MaintenanceSchedule::default();
    turns
        .apply(
            1,
            &Command::CreateList {
                list: Identifier(1),
                config: terms,
                machine_count: 12,
            },
        )
        .unwrap();
    let machines = (0..12).map(machine).collect();
    turns
        .apply(
            2,
            &Command::AddMachines {
                list: Identifier(1),
                first: 0,
                machines,
            },
        )
        .unwrap();
    turns
        .apply(
            3,
            &Command::Observe {
                at_ms: 1000,
                summary: seen(2),
            },
        )
        .unwrap();
    turns
        .apply(
            3,
            &Command::ListKnown {
                list: Identifier(1),
            },
        )
        .unwrap();
    (turns, 4)
}

fn grant(n: u64) -> Command {
    Command::Grant {
        list: Identifier(1),
        machine: format!("m{n}"),
    }
}

#[test]
fn a_machine_goes_its_way_once() {
    let (mut turns, _) = with(terms("a"));
    assert_eq!(turns.next_command(), Some(grant(0)));
    let no = Identifier(4);
    let words = [
        grant(0),
        Command::Drained { grant: no },
        Command::WorkBegan { grant: no },
        Command::WorkEnded {
            grant: no,
            succeeded: true,
        },
        Command::WarmedUp { grant: no },
    ];
    let steps = [
        MachinePhase::Granted,
        MachinePhase::InMaintenance,
        MachinePhase::InMaintenance,
        MachinePhase::WarmingUp,
        MachinePhase::Done,
    ];
    for (place, (word, step)) in words.iter().zip(steps).enumerate() {
        let at = 4 + 2 * place as u64;
        assert_eq!(turns.apply(at, word), Ok(()));
        assert_eq!(
            turns.machine_with_grant(no).map(|(_, way)| way.phase),
            Some(step)
        );
        assert_eq!(turns.closed_machines().count(), usize::from(place < 3));
        // Told twice it changes nothing; only that it began may be told again.
        if place != 2 {
            assert!(turns.apply(at + 1, word).is_err(), "{word:?}");
        }
    }
    // Not worked on twice, also by a late word of an earlier leader.
    assert_eq!(
        turns.apply(30, &grant(0)),
        Err(ApplyError::MachineNotWaiting)
    );
    assert_eq!(
        turns.apply(31, &Command::Drained { grant: no }),
        Err(ApplyError::GrantNotInPhase)
    );
}

#[rstest]
#[case::zone(&[0], 3, BlockedReason::MaxUnavailablePerZone)]
#[case::kind(&[0, 2], 4, BlockedReason::MaxUnavailablePerKind)]
#[case::apart(&[0], 4, BlockedReason::ExclusivePair)]
#[case::all(&[0, 1, 2], 5, BlockedReason::MaxUnavailable)]
fn one_more_may_not_go(#[case] out: &[u64], #[case] then: u64, #[case] why: BlockedReason) {
    let (mut turns, next) = with(terms("a"));
    for (place, n) in out.iter().enumerate() {
        turns.apply(next + place as u64, &grant(*n)).unwrap();
    }
    assert_eq!(turns.apply(20, &grant(then)), Err(ApplyError::Blocked(why)));
}

#[rstest]
#[case::trouble(Command::Observe { at_ms: 2000, summary: FleetSummary { zone_outage: true, ..seen(3) } }, BlockedReason::ZoneOutage)]
#[case::trial(Command::Observe { at_ms: 2000, summary: FleetSummary { release_on_trial: true, ..seen(3) } }, BlockedReason::ReleaseOnTrial)]
#[case::overload(Command::Observe { at_ms: 2000, summary: FleetSummary { rejection_rate: 0.06, ..seen(3) } }, BlockedReason::Overload)]
#[case::strength(Command::Observe { at_ms: 2000, summary: FleetSummary { ready_capacity: 9.0, ..seen(3) } }, BlockedReason::InsufficientCapacity)]
#[case::held(Command::PauseList { list: Identifier(1) }, BlockedReason::ListNotActive)]
#[case::withdrawn(Command::WithdrawList { list: Identifier(1) }, BlockedReason::ListNotActive)]
fn what_stops_new_grants(#[case] word: Command, #[case] why: BlockedReason) {
    let (mut turns, _) = with(terms("a"));
    turns.apply(4, &grant(0)).unwrap();
    turns.apply(5, &word).unwrap();
    assert_eq!(
        turns.check_grant(Identifier(1), "m1"),
        Err(ApplyError::Blocked(why))
    );
    // What is granted and not out yet is taken back where it is to be; what is out is not.
    let back = !matches!(
        why,
        BlockedReason::ReleaseOnTrial | BlockedReason::InsufficientCapacity
    );
    assert_eq!(
        turns.next_command(),
        back.then_some(Command::RevokeGrant {
            grant: Identifier(4)
        })
    );
    turns
        .apply(
            6,
            &Command::Drained {
                grant: Identifier(4),
            },
        )
        .unwrap();
    assert_eq!(turns.next_command(), None);
    assert_eq!(
        turns.apply(
            7,
            &Command::RevokeGrant {
                grant: Identifier(4)
            }
        ),
        Err(ApplyError::GrantNotInPhase)
    );
}

/// What was seen before a grant still counts the machine as ready: it is counted off.
#[test]
fn a_grant_counts_beside_what_was_seen_before_it() {
    let (mut turns, _) = with(ListConfig {
        limits: DisruptionLimits {
            max_unavailable: 9,
            min_ready_fraction: 0.8,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        },
        ..terms("a")
    });
    (0..2).for_each(|n| turns.apply(4 + n, &grant(n)).unwrap());
    turns
        .apply(
            6,
            &Command::Observe {
                at_ms: 2000,
                summary: FleetSummary {
                    ready_capacity: 11.0,
                    ..seen(4)
                },
            },
        )
        .unwrap();
    assert_eq!(
        turns.check_grant(Identifier(1), "m2"),
        Err(ApplyError::Blocked(BlockedReason::InsufficientCapacity))
    );
    turns
        .apply(
            7,
            &Command::Observe {
                at_ms: 3000,
                summary: FleetSummary {
                    ready_capacity: 11.0,
                    ..seen(6)
                },
            },
        )
        .unwrap();
    assert_eq!(turns.check_grant(Identifier(1), "m2"), Ok(()));
}

#[test]
fn windows_leave_time_for_the_work() {
    let windows = vec![Window {
        start_ms: 10_000,
        end_ms: 20_000,
    }];
    let (mut turns, _) = with(ListConfig {
        windows,
        ..terms("a")
    });
    for (place, (at, fits)) in [
        (9_999, false),
        (10_000, true),
        (19_000, true),
        (19_001, false),
    ]
    .iter()
    .enumerate()
    {
        turns
            .apply(
                5 + place as u64,
                &Command::Observe {
                    at_ms: *at,
                    summary: seen(4),
                },
            )
            .unwrap();
        assert_eq!(turns.next_command().is_some(), *fits, "at {at}");
    }
    assert_eq!(
        turns.apply(
            9,
            &Command::Observe {
                at_ms: 5,
                summary: seen(4)
            }
        ),
        Err(ApplyError::ClockBackwards)
    );
}

/// Two lists with one machine: it is out for one at a time, and each list's limits hold for the other's machines.
#[test]
fn lists_overlap() {
    let (mut turns, _) = with(terms("a"));
    let other = ListConfig {
        priority: 2,
        limits: DisruptionLimits {
            max_unavailable: 9,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        },
        ..terms("b")
    };
    turns
        .apply(
            4,
            &Command::CreateList {
                list: Identifier(4),
                config: other,
                machine_count: 2,
            },
        )
        .unwrap();
    let machines = vec![machine(0), machine(3)];
    turns
        .apply(
            5,
            &Command::AddMachines {
                list: Identifier(4),
                first: 0,
                machines,
            },
        )
        .unwrap();
    let first = Command::Grant {
        list: Identifier(4),
        machine: "m0".into(),
    };
    assert_eq!(
        turns.check_grant(Identifier(4), "m0"),
        Err(ApplyError::Blocked(BlockedReason::ListNotKnown))
    );
    turns
        .apply(
            5,
            &Command::ListKnown {
                list: Identifier(4),
            },
        )
        .unwrap();
    assert_eq!(turns.next_command(), Some(first.clone()));
    turns.apply(6, &first).unwrap();
    assert_eq!(
        turns.apply(7, &grant(0)),
        Err(ApplyError::UnavailableForOtherList)
    );
    // m3 is of m0's zone: the first list has nothing out yet, and its limits do not bind the second.
    assert_eq!(turns.check_grant(Identifier(4), "m3"), Ok(()));
    turns.apply(8, &grant(1)).unwrap();
    // Now they do.
    assert_eq!(
        turns.check_grant(Identifier(4), "m3"),
        Err(ApplyError::Blocked(BlockedReason::MaxUnavailablePerZone))
    );
}

#[test]
fn work_that_takes_too_long_is_told_and_stays_out() {
    let (mut turns, _) = with(terms("a"));
    turns.apply(4, &grant(0)).unwrap();
    turns
        .apply(
            5,
            &Command::Drained {
                grant: Identifier(4),
            },
        )
        .unwrap();
    turns
        .apply(
            6,
            &Command::WorkBegan {
                grant: Identifier(4),
            },
        )
        .unwrap();
    turns
        .apply(
            7,
            &Command::Observe {
                at_ms: 6001,
                summary: seen(6),
            },
        )
        .unwrap();
    assert!(turns
        .machine_with_grant(Identifier(4))
        .is_some_and(|(_, way)| way.stalled && way.phase == MachinePhase::InMaintenance));
    turns
        .apply(
            8,
            &Command::WorkEnded {
                grant: Identifier(4),
                succeeded: true,
            },
        )
        .unwrap();
    assert!(turns
        .machine_with_grant(Identifier(4))
        .is_some_and(|(_, way)| !way.stalled && way.phase == MachinePhase::WarmingUp));
}

/// How many are out, by the words that were taken alone: kept apart from what is tested.
#[derive(Default)]
struct Ledger(std::collections::BTreeMap<u64, (u64, bool)>);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
    /// Words as two leaders, late machines and an operator might settle them, in any order: limits hold, no machine is worked
    /// on twice, and all who read the same log know the same.
    #[test]
    fn limits_hold_whatever_is_settled(words in prop::collection::vec((0u8..9, 0u64..12, 4u64..80), 1..120)) {
        let (mut turns, mut index) = with(terms("a"));
        let mut other = turns.clone();
        let (mut out, mut worked) = (Ledger::default(), Vec::new());
        for (kind, n, no) in words {
            let grant_no = Identifier(no);
            let word = match kind {
                0..=2 => grant(n),
                3 => Command::Drained { grant: grant_no },
                4 => Command::WorkBegan { grant: grant_no },
                5 => Command::WorkEnded { grant: grant_no, succeeded: n % 4 != 0 },
                6 => Command::WarmedUp { grant: grant_no },
                7 => Command::RevokeGrant { grant: grant_no },
                _ => {
                    let gone = out.0.len() as f64;
                    Command::Observe { at_ms: turns.now_ms() + 100, summary: FleetSummary { ready_capacity: 12.0 - gone, ..seen(index - 1) } }
                }
            };
            let taken = turns.apply(index, &word);
            prop_assert_eq!(taken, other.apply(index, &word));
            if taken.is_ok() {
                match word {
                    Command::Grant { .. } => drop(out.0.insert(index, (n, false))),
                    Command::Drained { grant } => drop(out.0.entry(grant.0).and_modify(|one| one.1 = true)),
                    Command::WorkEnded { grant, succeeded } => {
                        let one = out.0[&grant.0];
                        prop_assert!(one.1, "worked on while sidecars may still send there");
                        prop_assert!(!worked.contains(&one.0), "m{} was worked on twice", one.0);
                        worked.push(one.0);
                        if !succeeded {
                            out.0.remove(&grant.0);
                        }
                    }
                    Command::WarmedUp { grant } | Command::RevokeGrant { grant } => drop(out.0.remove(&grant.0)),
                    _ => {}
                }
            }
            let now: Vec<u64> = out.0.values().map(|(n, _)| *n).collect();
            let most = |of: &dyn Fn(u64) -> u64| {
                (0..3).map(|part| now.iter().filter(|n| of(**n) == part).count()).max().unwrap_or(0)
            };
            prop_assert!(now.len() <= 3 && most(&|n| n % 3) <= 1 && most(&|n| n % 2) <= 2, "{:?}", now);
            prop_assert!(!(now.contains(&0) && now.contains(&4)));
            prop_assert!(12.0 - now.len() as f64 >= 0.7 * 12.0);
            let back = MaintenanceSchedule::decode(&turns.encode());
            prop_assert_eq!(back.as_ref(), Some(&turns));
            index += 1;
        }
        prop_assert_eq!(turns, other);
    }

    #[test]
    fn noise_is_borne(noise: Vec<u8>) {
        let _ = Command::decode(&noise);
        let _ = MaintenanceSchedule::decode(&noise);
    }

    #[test]
    fn words_are_read_as_written(name in "[a-z0-9.-]{1,40}", n in 0u64..9, capacity in 0.0f64..100.0) {
        let machine = Machine { name, capacity, ..machine(n) };
        let word = Command::AddMachines { list: Identifier(n), first: 3, machines: vec![machine] };
        prop_assert_eq!(Command::decode(&word.encode()), Ok(word));
    }
}

const LASTS: std::time::Duration = std::time::Duration::from_secs(2);

fn at(seconds: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(seconds)
}

/// A machine is clear when all that hold leases say so, and those that say nothing have none any more.
#[test]
fn a_machine_is_clear_of_all_or_waits() {
    let mut turns = MaintenanceSchedule::default();
    let here = |name: &str, start| Command::SidecarStarted {
        name: name.into(),
        incarnation: start,
    };
    turns.apply(1, &here("a", 1)).unwrap();
    let mut lessor = LeaseGrantor::new(at(10.0), LASTS, at(0.5), at(1.0));
    let grant = Identifier(7);
    assert!(lessor.lease_requested(at(10.1), &turns, ("a", 1), (1, &[], 0)));
    assert!(
        !lessor.lease_requested(at(10.1), &turns, ("b", 1), (1, &[], 0)),
        "not known yet"
    );
    turns.apply(2, &here("b", 1)).unwrap();
    assert_eq!(lessor.sidecars_behind(&turns, 2), ["a", "b"]);
    // Leases that another gave may last: 2.5 s, half a second in which that one led, and a second to settle.
    assert_eq!(lessor.sidecars_not_drained(at(13.9), &turns, grant), ["b"]);
    assert_eq!(
        lessor.sidecars_not_drained(at(14.0), &turns, grant),
        Vec::<&str>::new()
    );
    for n in 0..10 {
        let now = at(11.0 + 0.5 * n as f64);
        lessor.lease_requested(now, &turns, ("a", 1), (2, &[grant], 0));
        lessor.lease_requested(
            now,
            &turns,
            ("b", 1),
            (2, &[grant][..usize::from(n >= 8)], 0),
        );
        // Who says that it is clear is not waited for.
        assert_eq!(
            lessor.sidecars_not_drained(now, &turns, grant),
            if n < 8 { vec!["b"] } else { vec![] },
            "{n}"
        );
    }
    assert_eq!(lessor.sidecars_behind(&turns, 2), Vec::<&str>::new());
    // Another start of its name is another, and its words of before are void.
    assert_eq!(
        turns.apply(3, &here("b", 1)),
        Err(ApplyError::LimitExceeded)
    );
    turns.apply(4, &here("b", 2)).unwrap();
    assert_eq!(lessor.sidecars_behind(&turns, 2), ["b"]);
    assert!(!lessor.lease_requested(at(15.6), &turns, ("b", 1), (4, &[grant], 0)));
    assert!(lessor.lease_requested(at(15.6), &turns, ("b", 2), (4, &[], 0)));
    // Its earlier start said that it is clear, with its last word.
    assert_eq!(
        lessor.sidecars_not_drained(at(15.6), &turns, Identifier(8)),
        ["a", "b"]
    );
    assert_eq!(lessor.sidecars_not_drained(at(19.0), &turns, grant), ["b"]);
    // It says nothing for long: it sends there no more by itself, or it was said to be gone.
    assert_eq!(
        lessor.sidecars_not_drained(at(19.2), &turns, grant),
        Vec::<&str>::new()
    );
    turns
        .apply(
            5,
            &Command::SidecarGone {
                name: "b".into(),
                incarnation: 1,
            },
        )
        .unwrap();
    assert!(
        turns.sidecars().contains_key("b"),
        "of a start that runs no more"
    );
    turns
        .apply(
            6,
            &Command::SidecarGone {
                name: "b".into(),
                incarnation: 2,
            },
        )
        .unwrap();
    assert_eq!(lessor.sidecars_behind(&turns, 5), ["a"]);
}

/// Whatever is lost or late on the way, with clocks that run within a fifth of each other: a holder's lease is over before
/// it is held to be over.
#[test]
fn a_lease_is_over_for_its_holder_first() {
    let mut chance = nanorand::WyRand::new_seed(5);
    let mut part = move || {
        let drawn: u64 = nanorand::Rng::generate(&mut chance);
        (drawn >> 11) as f64 / (1u64 << 53) as f64
    };
    for _ in 0..2000 {
        let rate = 0.9 + 0.2 * part();
        let mut turns = MaintenanceSchedule::default();
        turns
            .apply(
                1,
                &Command::SidecarStarted {
                    name: "a".into(),
                    incarnation: 1,
                },
            )
            .unwrap();
        let (mut lessor, mut lease) = (
            LeaseGrantor::new(at(0.0), LASTS, at(0.0), at(1.0)),
            Lease::new(at(0.0), LASTS),
        );
        // Asks on their way to it, and answers on their way back.
        let (mut now, mut there, mut back) = (4.0, Vec::new(), Vec::new());
        while now < 30.0 {
            let own = at(now * rate);
            if part() < 0.6 {
                let no = lease.request(own);
                if part() < 0.6 {
                    there.push((now + part(), no));
                }
            }
            there.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
            while let Some((_, no)) = there.pop_if(|ask| ask.0 <= now) {
                lessor.lease_requested(at(now), &turns, ("a", 1), (1, &[], 0));
                if part() < 0.7 {
                    back.push((now + part(), no));
                }
            }
            back.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
            while let Some((_, no)) = back.pop_if(|answer| answer.0 <= now) {
                lease.granted(no, 0);
            }
            if lessor
                .sidecars_not_drained(at(now), &turns, Identifier(1))
                .is_empty()
            {
                assert!(!lease.is_held(own, 0), "at {now}");
            }
            now += 0.1;
        }
    }
}

#[test]
fn without_a_lease_what_is_listed_is_closed() {
    let (mut turns, _) = with(terms("a"));
    let mut lease = Lease::new(at(0.0), LASTS);
    let closed = |lease: &Lease, turns: &MaintenanceSchedule, now: f64, read: u64| {
        lease.closed_machines(at(now), read, turns).map(|c| c.len())
    };
    // At first all; then, if nobody answers, what it knows of.
    assert_eq!(
        (
            closed(&lease, &turns, 1.0, 3),
            closed(&lease, &turns, 6.0, 3)
        ),
        (None, Some(12))
    );
    let no = lease.request(at(6.0));
    lease.granted(no, 4);
    // It has not read all that was settled; then it has.
    assert_eq!(
        (
            closed(&lease, &turns, 6.5, 3),
            closed(&lease, &turns, 6.5, 4)
        ),
        (Some(12), Some(0))
    );
    turns.apply(4, &grant(0)).unwrap();
    assert_eq!(
        (
            closed(&lease, &turns, 6.5, 4),
            closed(&lease, &turns, 8.0, 4)
        ),
        (Some(1), Some(12))
    );
}
