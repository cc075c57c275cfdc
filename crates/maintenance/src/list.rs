//! Lists of machines and the phases of their machines.

use crate::command::{Identifier, ListConfig, Machine};
use crate::fleet_summary::FleetSummary;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The maintenance phase of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// The machine is serving and has not been granted.
    Waiting,
    /// The machine is granted, and sidecars stop sending to it.
    Granted,
    /// No sidecar sends to the machine, so it may be worked on.
    InMaintenance,
    /// The work has ended, and the machine is starting or still cold.
    WarmingUp,
    /// The machine is serving again.
    Done,
    /// The machine reported that the work failed.
    Failed,
}

impl MachinePhase {
    /// Returns whether the machine may be out of service or cold.
    pub fn is_unavailable(self) -> bool {
        matches!(
            self,
            MachinePhase::Granted | MachinePhase::InMaintenance | MachinePhase::WarmingUp
        )
    }
}

/// Formats the phase as on the proxies' maintenance page, which other programs read; these names
/// must not change.
impl fmt::Display for MachinePhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MachinePhase::Waiting => "waits",
            MachinePhase::Granted => "granted",
            MachinePhase::InMaintenance => "out",
            MachinePhase::WarmingUp => "back",
            MachinePhase::Done => "done",
            MachinePhase::Failed => "failed",
        })
    }
}

/// The state of a machine on one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    /// The machine.
    pub machine: Machine,
    /// The current phase.
    pub phase: MachinePhase,
    /// The grant of the machine, if it has one.
    pub grant: Option<Identifier>,
    /// Start of the phase in milliseconds of log time; in maintenance, the start of the work.
    pub since_ms: u64,
    /// Whether the work has begun.
    pub work_began: bool,
    /// Whether the work exceeds the stall timeout.
    pub stalled: bool,
}

impl MachineState {
    pub(crate) fn waiting(machine: Machine, now_ms: u64) -> Self {
        Self {
            machine,
            phase: MachinePhase::Waiting,
            grant: None,
            since_ms: now_ms,
            work_began: false,
            stalled: false,
        }
    }
}

/// A list of machines that need maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceList {
    /// Log index of the command that created the list.
    pub created_index: u64,
    /// The configuration of the list.
    pub config: ListConfig,
    /// The number of machines on the complete list.
    pub machine_count: u16,
    /// Log index of the command that added the last machines.
    pub completed_index: u64,
    /// Whether all sidecars know the machines of the list.
    pub known: bool,
    /// Whether an operator paused the list.
    pub paused: bool,
    /// Whether an operator withdrew the list.
    pub withdrawn: bool,
    /// The machines, in the order in which they are taken out of service.
    pub machines: Vec<MachineState>,
}

impl MaintenanceList {
    pub(crate) fn new(index: u64, config: ListConfig, machine_count: u16) -> Self {
        Self {
            created_index: index,
            config,
            machine_count,
            completed_index: index,
            known: false,
            paused: false,
            withdrawn: false,
            machines: Vec::new(),
        }
    }

    /// Returns whether all machines were added.
    pub fn is_complete(&self) -> bool {
        self.machines.len() == usize::from(self.machine_count)
    }

    pub(crate) fn is_overloaded(&self, summary: &FleetSummary) -> bool {
        summary.rejection_rate > self.config.limits.max_rejection_rate
    }

    /// Returns whether nothing is left to do for the list.
    pub fn is_finished(&self) -> bool {
        let is_settled = |state: &MachineState| match state.phase {
            MachinePhase::Done | MachinePhase::Failed => true,
            MachinePhase::Waiting => self.withdrawn,
            MachinePhase::Granted | MachinePhase::InMaintenance | MachinePhase::WarmingUp => false,
        };
        (self.is_complete() || self.withdrawn) && self.machines.iter().all(is_settled)
    }

    /// Returns whether the work on one more machine would fit into one of the windows.
    pub(crate) fn fits_window(&self, now_ms: u64) -> bool {
        let windows = &self.config.windows;
        windows.is_empty()
            || windows.iter().any(|window| {
                window.start_ms <= now_ms && now_ms + self.config.work_duration_ms <= window.end_ms
            })
    }

    pub(crate) fn has_unavailable_machine(&self) -> bool {
        self.machines
            .iter()
            .any(|state| state.phase.is_unavailable())
    }
}
