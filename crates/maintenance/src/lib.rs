//! Maintenance of machines: which machines are taken out of service, in which order, and when it is safe. Without I/O and without a
//! clock.
//!
//! The schedule is a pure function of a replicated log, so all sidecars that have applied the same log agree; time is what the log
//! says it is. Committed commands ([`Command`]) go into [`MaintenanceSchedule::apply`] one after the other, each with its index in the
//! log; those that don't apply are rejected by all readers alike. So two leaders that overlap do no harm: the position in the log
//! decides, not the proposer. The index of a grant's command is the grant's identifier, so these only grow and each is given once. A
//! list's identifier is drawn by the sidecar that accepts the list: proposed twice, it is one list.
//!
//! The leader's [`Scheduler`] proposes the next command, from the schedule, the leases it has granted ([`LeaseGrantor`]) and what it
//! observes of the fleet ([`FleetObservation`]). Each sidecar holds a [`Lease`] and reports by a [`DrainTracker`] from which machines
//! it is drained.
//!
//! Phases of a machine: `Waiting` -> `Granted` (all sidecars stop sending to it) -> `InMaintenance` (all have drained, or hold no
//! lease any more: it may be worked on) -> `WarmingUp` (the work ended) -> `Done`. Or `Failed`: not worked on again for this list.

mod command;
mod drain_tracker;
mod fleet_observation;
mod fleet_summary;
mod lease;
mod lease_grantor;
mod limits;
mod list;
mod message;
mod rejection_rate;
mod schedule;
mod scheduler;

pub use command::{
    Command, DisruptionLimits, FormatError, Identifier, ListConfig, Machine, Window, MAX_LISTS,
    MAX_MACHINES,
};
pub use drain_tracker::DrainTracker;
pub use fleet_observation::{FleetObservation, Pod, ZoneTracker};
pub use fleet_summary::FleetSummary;
pub use lease::{Lease, MAX_START_WAIT};
pub use lease_grantor::{LeaseGrantor, SidecarProcess, SidecarReport};
pub use limits::BlockedReason;
pub use list::{MachinePhase, MachineState, MaintenanceList};
pub use message::Message;
pub use rejection_rate::RejectionRate;
pub use schedule::{ApplyError, MaintenanceSchedule};
pub use scheduler::Scheduler;
