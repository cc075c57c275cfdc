//! The schedule after individual commands, and its limits under any sequence of commands.

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
        // A repeated command is rejected, except the report that the work began, which may be
        // repeated.
        if position != 2 {
            assert!(schedule.apply(at + 1, command).is_err(), "{command:?}");
        }
    }
    // The machine is not worked on twice, not even by a late command of an earlier leader.
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
    #[case] unavailable: &[u64],
    #[case] next_machine: u64,
    #[case] reason: BlockedReason,
) {
    let (mut schedule, next) = schedule_with(config("a"));
    for (position, n) in unavailable.iter().enumerate() {
        schedule.apply(next + position as u64, &grant(*n)).unwrap();
    }
    assert_eq!(
        schedule.apply(20, &grant(next_machine)),
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
    // A grant is revoked if its machine is not in maintenance yet and the condition requires it; a
    // machine in maintenance stays there.
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

/// The limits of each list with an unavailable machine also apply to the other list.
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
    // m3 is in the same zone as m0. The first list has no unavailable machine yet, so its limits do
    // not apply to the second list.
    assert_eq!(schedule.check_grant(Identifier(4), "m3"), Ok(()));
    schedule.apply(8, &grant(1)).unwrap();
    // Now the limits of the first list apply too.
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

/// The unavailable machines by grant, with whether they are drained, derived only from the applied
/// commands.
#[derive(Default)]
struct UnavailableMachines(std::collections::BTreeMap<u64, (u64, bool)>);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
    /// Limits hold for commands of two leaders, late machines and an operator in any order. No
    /// machine is worked on twice, and all readers of the log agree.
    #[test]
    fn limits_hold_under_any_sequence_of_commands(commands in prop::collection::vec((0u8..9, 0u64..12, 4u64..80), 1..120)) {
        let (mut schedule, mut index) = schedule_with(config("a"));
        let mut other = schedule.clone();
        let (mut unavailable, mut worked) = (UnavailableMachines::default(), Vec::new());
        for (kind, n, id) in commands {
            let grant_command = grant(n);
            let grant = Identifier(id);
            let command = match kind {
                0..=2 => grant_command,
                3 => Command::Drained { grant },
                4 => Command::WorkBegan { grant },
                5 => Command::WorkEnded { grant, succeeded: n % 4 != 0 },
                6 => Command::WarmedUp { grant },
                7 => Command::RevokeGrant { grant },
                _ => {
                    let unavailable_count = unavailable.0.len() as f64;
                    Command::Observe { at_ms: schedule.now_ms() + 100, summary: FleetSummary { ready_capacity: 12.0 - unavailable_count, ..summary(index - 1) } }
                }
            };
            let applied = schedule.apply(index, &command);
            prop_assert_eq!(applied, other.apply(index, &command));
            if applied.is_ok() {
                match command {
                    Command::Grant { .. } => drop(unavailable.0.insert(index, (n, false))),
                    Command::Drained { grant } => drop(unavailable.0.entry(grant.0).and_modify(|entry| entry.1 = true)),
                    Command::WorkEnded { grant, succeeded } => {
                        let entry = unavailable.0[&grant.0];
                        prop_assert!(entry.1, "work ended while sidecars may still send to the machine");
                        prop_assert!(!worked.contains(&entry.0), "m{} was worked on twice", entry.0);
                        worked.push(entry.0);
                        if !succeeded {
                            unavailable.0.remove(&grant.0);
                        }
                    }
                    Command::WarmedUp { grant } | Command::RevokeGrant { grant } => drop(unavailable.0.remove(&grant.0)),
                    _ => {}
                }
            }
            let now: Vec<u64> = unavailable.0.values().map(|(n, _)| *n).collect();
            let max_group_size = |group: &dyn Fn(u64) -> u64| {
                (0..3).map(|number| now.iter().filter(|n| group(**n) == number).count()).max().unwrap_or(0)
            };
            prop_assert!(now.len() <= 3 && max_group_size(&|n| n % 3) <= 1 && max_group_size(&|n| n % 2) <= 2, "{:?}", now);
            prop_assert!(!(now.contains(&0) && now.contains(&4)));
            prop_assert!(12.0 - now.len() as f64 >= 0.7 * 12.0);
            let decoded = MaintenanceSchedule::decode(&schedule.encode());
            prop_assert_eq!(decoded.as_ref(), Some(&schedule));
            index += 1;
        }
        prop_assert_eq!(schedule, other);
    }

    #[test]
    fn decoding_random_bytes_does_not_panic(noise: Vec<u8>) {
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
