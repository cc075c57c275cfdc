//! A list of twelve machines in three zones, and its schedule.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use limewing_maintenance::{
    Command, DisruptionLimits, FleetSummary, Identifier, ListConfig, Machine, MaintenanceSchedule,
};

pub(crate) fn machine(n: u64) -> Machine {
    Machine {
        name: format!("m{n}"),
        zone: format!("z{}", n % 3),
        kind: format!("k{}", n % 2),
        capacity: 1.0,
    }
}

pub(crate) fn limits() -> DisruptionLimits {
    DisruptionLimits {
        max_unavailable: 3,
        max_unavailable_per_zone: 1,
        max_unavailable_per_kind: 2,
        min_ready_fraction: 0.7,
        exclusive_pairs: vec![("m0".into(), "m4".into())],
        max_rejection_rate: 0.05,
    }
}

pub(crate) fn config(name: &str) -> ListConfig {
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

pub(crate) fn summary(applied_index: u64) -> FleetSummary {
    FleetSummary {
        applied_index,
        total_capacity: 12.0,
        ready_capacity: 12.0,
        zone_outage: false,
        release_on_trial: false,
        rejection_rate: 0.05,
    }
}

/// Returns a schedule with a list of twelve machines, observed at 1 s, and the next index of its
/// log.
pub(crate) fn schedule_with(config: ListConfig) -> (MaintenanceSchedule, u64) {
    let list = Identifier(1);
    let commands = [
        Command::CreateList {
            list,
            config,
            machine_count: 12,
        },
        Command::AddMachines {
            list,
            first: 0,
            machines: (0..12).map(machine).collect(),
        },
        Command::Observe {
            at_ms: 1000,
            summary: summary(2),
        },
        Command::ListKnown { list },
    ];
    let mut schedule = MaintenanceSchedule::default();
    for (index, command) in [1, 2, 3, 3].into_iter().zip(&commands) {
        schedule
            .apply(index, command)
            .expect("the command should apply");
    }
    (schedule, 4)
}

pub(crate) fn grant(n: u64) -> Command {
    Command::Grant {
        list: Identifier(1),
        machine: format!("m{n}"),
    }
}
