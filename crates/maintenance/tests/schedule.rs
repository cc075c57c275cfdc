//! The schedule, command by command; and under any sequence of commands, the limits hold.

mod helpers;

use helpers::{config, grant, machine, schedule_with, summary};
use limewing_maintenance::{
    ApplyError, BlockedReason, Command, DisruptionLimits, FleetSummary, Identifier, ListConfig,
    Machine, MachinePhase, MaintenanceSchedule, Window,
};
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn a_machine_passes_each_phase_once() {
    let (mut schedule, _) = schedule_with(config("a"));
    assert_eq!(schedule.next_command(), Some(grant(0)));
    let id = Identifier(4);
    let commands = [
        grant(0),
        Command::Drained { grant: id },
        Command::WorkBegan { grant: id },
        Command::WorkEnded {
            grant: id,
            succeeded: true,
        },
        Command::WarmedUp { grant: id },
    ];
    let phases = [
        MachinePhase::Granted,
        MachinePhase::InMaintenance,
        MachinePhase::InMaintenance,
        MachinePhase::WarmingUp,
        MachinePhase::Done,
    ];
    for (position, (command, phase)) in commands.iter().zip(phases).enumerate() {
        let at = 4 + 2 * position as u64;
        assert_eq!(schedule.apply(at, command), Ok(()));
        assert_eq!(
            schedule
                .machine_with_grant(id)
                .map(|(_, state)| state.phase),
            Some(phase)
        );
        assert_eq!(
            schedule.closed_machines().count(),
            usize::from(position < 3)
        );
        // A repeated command changes nothing; only the report that the work began may come again.
        if position != 2 {
            assert!(schedule.apply(at + 1, command).is_err(), "{command:?}");
        }
    }
    // It is not worked on twice, not even by a late command of an earlier leader.
    assert_eq!(
        schedule.apply(30, &grant(0)),
        Err(ApplyError::MachineNotWaiting)
    );
    assert_eq!(
        schedule.apply(31, &Command::Drained { grant: id }),
        Err(ApplyError::GrantNotInPhase)
    );
}

#[rstest]
#[case::zone(&[0], 3, BlockedReason::MaxUnavailablePerZone)]
#[case::kind(&[0, 2], 4, BlockedReason::MaxUnavailablePerKind)]
#[case::exclusive_pair(&[0], 4, BlockedReason::ExclusivePair)]
#[case::all(&[0, 1, 2], 5, BlockedReason::MaxUnavailable)]
fn limits_block_one_more_machine(
    #[case] out: &[u64],
    #[case] then: u64,
    #[case] reason: BlockedReason,
) {
    let (mut schedule, next) = schedule_with(config("a"));
    for (position, n) in out.iter().enumerate() {
        schedule.apply(next + position as u64, &grant(*n)).unwrap();
    }
    assert_eq!(
        schedule.apply(20, &grant(then)),
        Err(ApplyError::Blocked(reason))
    );
}

#[rstest]
#[case::zone_outage(Command::Observe { at_ms: 2000, summary: FleetSummary { zone_outage: true, ..summary(3) } }, BlockedReason::ZoneOutage)]
#[case::release_on_trial(Command::Observe { at_ms: 2000, summary: FleetSummary { release_on_trial: true, ..summary(3) } }, BlockedReason::ReleaseOnTrial)]
#[case::overload(Command::Observe { at_ms: 2000, summary: FleetSummary { rejection_rate: 0.06, ..summary(3) } }, BlockedReason::Overload)]
#[case::capacity(Command::Observe { at_ms: 2000, summary: FleetSummary { ready_capacity: 9.0, ..summary(3) } }, BlockedReason::InsufficientCapacity)]
#[case::paused(Command::PauseList { list: Identifier(1) }, BlockedReason::ListNotActive)]
#[case::withdrawn(Command::WithdrawList { list: Identifier(1) }, BlockedReason::ListNotActive)]
fn conditions_block_and_revoke_grants(#[case] command: Command, #[case] reason: BlockedReason) {
    let (mut schedule, _) = schedule_with(config("a"));
    schedule.apply(4, &grant(0)).unwrap();
    schedule.apply(5, &command).unwrap();
    assert_eq!(
        schedule.check_grant(Identifier(1), "m1"),
        Err(ApplyError::Blocked(reason))
    );
    // What is granted and not out yet is applied back where it is to be; what is out is not.
    let is_revoked = !matches!(
        reason,
        BlockedReason::ReleaseOnTrial | BlockedReason::InsufficientCapacity
    );
    assert_eq!(
        schedule.next_command(),
        is_revoked.then_some(Command::RevokeGrant {
            grant: Identifier(4)
        })
    );
    schedule
        .apply(
            6,
            &Command::Drained {
                grant: Identifier(4),
            },
        )
        .unwrap();
    assert_eq!(schedule.next_command(), None);
    assert_eq!(
        schedule.apply(
            7,
            &Command::RevokeGrant {
                grant: Identifier(4)
            }
        ),
        Err(ApplyError::GrantNotInPhase)
    );
}

#[test]
fn capacity_granted_after_the_summary_is_subtracted() {
    let (mut schedule, _) = schedule_with(ListConfig {
        limits: DisruptionLimits {
            max_unavailable: 9,
            min_ready_fraction: 0.8,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        },
        ..config("a")
    });
    for n in 0..2 {
        schedule.apply(4 + n, &grant(n)).unwrap();
    }
    schedule
        .apply(
            6,
            &Command::Observe {
                at_ms: 2000,
                summary: FleetSummary {
                    ready_capacity: 11.0,
                    ..summary(4)
                },
            },
        )
        .unwrap();
    assert_eq!(
        schedule.check_grant(Identifier(1), "m2"),
        Err(ApplyError::Blocked(BlockedReason::InsufficientCapacity))
    );
    schedule
        .apply(
            7,
            &Command::Observe {
                at_ms: 3000,
                summary: FleetSummary {
                    ready_capacity: 11.0,
                    ..summary(6)
                },
            },
        )
        .unwrap();
    assert_eq!(schedule.check_grant(Identifier(1), "m2"), Ok(()));
}

#[test]
fn work_has_to_fit_into_a_window() {
    let windows = vec![Window {
        start_ms: 10_000,
        end_ms: 20_000,
    }];
    let (mut schedule, _) = schedule_with(ListConfig {
        windows,
        ..config("a")
    });
    for (position, (at, fits)) in [
        (9_999, false),
        (10_000, true),
        (19_000, true),
        (19_001, false),
    ]
    .iter()
    .enumerate()
    {
        schedule
            .apply(
                5 + position as u64,
                &Command::Observe {
                    at_ms: *at,
                    summary: summary(4),
                },
            )
            .unwrap();
        assert_eq!(schedule.next_command().is_some(), *fits, "at {at}");
    }
    assert_eq!(
        schedule.apply(
            9,
            &Command::Observe {
                at_ms: 5,
                summary: summary(4)
            }
        ),
        Err(ApplyError::ClockBackwards)
    );
}

/// The limits of each list with an unavailable machine hold for the other list too.
#[test]
fn a_machine_on_two_lists_is_unavailable_for_one_at_a_time() {
    let (mut schedule, _) = schedule_with(config("a"));
    let other = ListConfig {
        priority: 2,
        limits: DisruptionLimits {
            max_unavailable: 9,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        },
        ..config("b")
    };
    schedule
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
    schedule
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
        schedule.check_grant(Identifier(4), "m0"),
        Err(ApplyError::Blocked(BlockedReason::ListNotKnown))
    );
    schedule
        .apply(
            5,
            &Command::ListKnown {
                list: Identifier(4),
            },
        )
        .unwrap();
    assert_eq!(schedule.next_command(), Some(first.clone()));
    schedule.apply(6, &first).unwrap();
    assert_eq!(
        schedule.apply(7, &grant(0)),
        Err(ApplyError::UnavailableForOtherList)
    );
    // m3 is of m0's zone: the first list has no unavailable machine yet, and its limits do not bind the second.
    assert_eq!(schedule.check_grant(Identifier(4), "m3"), Ok(()));
    schedule.apply(8, &grant(1)).unwrap();
    // Now they do.
    assert_eq!(
        schedule.check_grant(Identifier(4), "m3"),
        Err(ApplyError::Blocked(BlockedReason::MaxUnavailablePerZone))
    );
}

#[test]
fn stalled_work_is_marked_and_stays_in_maintenance() {
    let (mut schedule, _) = schedule_with(config("a"));
    schedule.apply(4, &grant(0)).unwrap();
    schedule
        .apply(
            5,
            &Command::Drained {
                grant: Identifier(4),
            },
        )
        .unwrap();
    schedule
        .apply(
            6,
            &Command::WorkBegan {
                grant: Identifier(4),
            },
        )
        .unwrap();
    schedule
        .apply(
            7,
            &Command::Observe {
                at_ms: 6001,
                summary: summary(6),
            },
        )
        .unwrap();
    assert!(schedule
        .machine_with_grant(Identifier(4))
        .is_some_and(|(_, state)| state.stalled && state.phase == MachinePhase::InMaintenance));
    schedule
        .apply(
            8,
            &Command::WorkEnded {
                grant: Identifier(4),
                succeeded: true,
            },
        )
        .unwrap();
    assert!(schedule
        .machine_with_grant(Identifier(4))
        .is_some_and(|(_, state)| !state.stalled && state.phase == MachinePhase::WarmingUp));
}

/// The unavailable machines by grant, with whether they are drained: counted from the applied commands alone.
#[derive(Default)]
struct Ledger(std::collections::BTreeMap<u64, (u64, bool)>);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
    /// Commands as two leaders, late machines and an operator might commit them, in any order: limits hold, no machine is worked
    /// on twice, and all readers of the log agree.
    #[test]
    fn limits_hold_under_any_sequence_of_commands(commands in prop::collection::vec((0u8..9, 0u64..12, 4u64..80), 1..120)) {
        let (mut schedule, mut index) = schedule_with(config("a"));
        let mut other = schedule.clone();
        let (mut out, mut worked) = (Ledger::default(), Vec::new());
        for (kind, n, id) in commands {
            let started = grant(n);
            let grant = Identifier(id);
            let command = match kind {
                0..=2 => started,
                3 => Command::Drained { grant },
                4 => Command::WorkBegan { grant },
                5 => Command::WorkEnded { grant, succeeded: n % 4 != 0 },
                6 => Command::WarmedUp { grant },
                7 => Command::RevokeGrant { grant },
                _ => {
                    let unavailable_count = out.0.len() as f64;
                    Command::Observe { at_ms: schedule.now_ms() + 100, summary: FleetSummary { ready_capacity: 12.0 - unavailable_count, ..summary(index - 1) } }
                }
            };
            let applied = schedule.apply(index, &command);
            prop_assert_eq!(applied, other.apply(index, &command));
            if applied.is_ok() {
                match command {
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
            let decoded = MaintenanceSchedule::decode(&schedule.encode());
            prop_assert_eq!(decoded.as_ref(), Some(&schedule));
            index += 1;
        }
        prop_assert_eq!(schedule, other);
    }

    #[test]
    fn random_bytes_do_no_harm(noise: Vec<u8>) {
        let _ = Command::decode(&noise);
        let _ = MaintenanceSchedule::decode(&noise);
    }

    #[test]
    fn commands_round_trip(name in "[a-z0-9.-]{1,40}", n in 0u64..9, capacity in 0.0f64..100.0) {
        let machine = Machine { name, capacity, ..machine(n) };
        let command = Command::AddMachines { list: Identifier(n), first: 3, machines: vec![machine] };
        prop_assert_eq!(Command::decode(&command.encode()), Ok(command));
    }
}
