//! Builds the commands that create a maintenance list from an operator's list and the endpoint list.

use super::request::RequestError;
use crate::endpoint_list::EndpointRecord;
use limewing_consensus::MAX_COMMAND_BYTES;
use limewing_maintenance::{Command, DisruptionLimits, Identifier, ListConfig, Machine, Window};
use limewing_settings::{MachineSelector, Seconds, WorkLimits, WorkList, WorkWindow};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of machines in one command.
const MAX_MACHINES_PER_COMMAND: usize = 8;
/// Converts windows from seconds, as in the settings, to milliseconds, as in the log.
const MS_PER_SECOND: f64 = 1e3;

/// Returns the commands that create a list and add its machines, in the order to propose them.
///
/// # Errors
/// A machine is unknown, no machine is selected, or a command would exceed the size limit of log entries.
pub(super) fn create_list(
    list: Identifier,
    settings: &WorkList,
    endpoints: &[EndpointRecord],
) -> Result<Vec<Command>, RequestError> {
    let machines = selected_machines(settings, endpoints);
    let is_unknown = |name: &&String| !machines.contains_key(*name);
    let unknown: Vec<String> = settings
        .machines
        .iter()
        .filter(is_unknown)
        .cloned()
        .collect();
    if !unknown.is_empty() {
        return Err(RequestError::UnknownMachines(unknown));
    }
    if machines.is_empty() {
        return Err(RequestError::NoMachineSelected);
    }
    let machines: Vec<Machine> = machines.into_values().collect();
    let mut commands = vec![Command::CreateList {
        list,
        config: list_config(settings),
        machine_count: machines.len() as u16,
    }];
    let mut first = 0;
    while first < machines.len() {
        let count = largest_batch(list, &machines, first).ok_or(RequestError::MachineTooLong)?;
        commands.push(add_machines(list, &machines, first, count));
        first += count;
    }
    if !fits_log_entry(&commands[0]) {
        return Err(RequestError::ListConfigTooLong);
    }
    Ok(commands)
}

/// Returns the machines that the list names or selects, by name. A machine's capacity is the sum over its pods.
fn selected_machines(
    settings: &WorkList,
    endpoints: &[EndpointRecord],
) -> BTreeMap<String, Machine> {
    let mut machines: BTreeMap<String, Machine> = BTreeMap::new();
    for endpoint in endpoints {
        let is_named = settings.machines.contains(&endpoint.machine);
        let select = settings.select.as_ref();
        if !is_named && !select.is_some_and(|select| matches_selector(select, endpoint)) {
            continue;
        }
        let machine = machines
            .entry(endpoint.machine.clone())
            .or_insert_with(|| Machine {
                name: endpoint.machine.clone(),
                zone: endpoint.zone.clone(),
                kind: endpoint.machine_type.clone(),
                capacity: 0.0,
            });
        machine.capacity += endpoint.weight;
    }
    machines
}

fn matches_selector(select: &MachineSelector, endpoint: &EndpointRecord) -> bool {
    let zone = select.zone.as_ref();
    let kind = select.machine_type.as_ref();
    zone.is_none_or(|zone| *zone == endpoint.zone)
        && kind.is_none_or(|kind| *kind == endpoint.machine_type)
        && select.build.is_none_or(|build| build == endpoint.build)
}

fn list_config(settings: &WorkList) -> ListConfig {
    ListConfig {
        name: settings.name.clone(),
        limits: disruption_limits(&settings.limits),
        work_duration_ms: to_ms(settings.work_duration),
        stall_timeout_ms: to_ms(settings.stall_timeout),
        windows: settings.windows.iter().map(to_window).collect(),
        priority: settings.priority,
        allowed_during_trials: settings.allowed_during_trials,
    }
}

/// Converts limits for the log, where 0 means no limit.
fn disruption_limits(settings: &WorkLimits) -> DisruptionLimits {
    DisruptionLimits {
        max_unavailable: settings.max_unavailable,
        max_unavailable_per_zone: settings.max_unavailable_per_zone.unwrap_or(0),
        max_unavailable_per_kind: settings.max_unavailable_per_type.unwrap_or(0),
        min_ready_fraction: settings.min_ready_fraction,
        exclusive_pairs: settings.exclusive_pairs.clone(),
        max_rejection_rate: settings.max_rejection_rate,
    }
}

fn to_ms(seconds: Seconds) -> u64 {
    Duration::from(seconds).as_millis() as u64
}

fn to_window(window: &WorkWindow) -> Window {
    Window {
        start_ms: (window.start * MS_PER_SECOND) as u64,
        end_ms: (window.end * MS_PER_SECOND) as u64,
    }
}

/// Returns how many machines from `first` on fit into one command, or `None` if not even one does.
fn largest_batch(list: Identifier, machines: &[Machine], first: usize) -> Option<usize> {
    (1..=MAX_MACHINES_PER_COMMAND)
        .take_while(|count| fits_log_entry(&add_machines(list, machines, first, *count)))
        .last()
}

fn add_machines(list: Identifier, machines: &[Machine], first: usize, count: usize) -> Command {
    let end = machines.len().min(first + count);
    Command::AddMachines {
        list,
        first: first as u16,
        machines: machines[first..end].to_vec(),
    }
}

fn fits_log_entry(command: &Command) -> bool {
    command.encode().len() <= MAX_COMMAND_BYTES
}
