//! Maintenance scheduling: which machines are taken out of service, in which order, and when it is
//! safe. The crate has no I/O and no clock.
//!
//! The schedule is a pure function of a replicated log, so all sidecars that have applied the same
//! log agree; the time is stored in the log too. Committed commands ([`Command`]) are passed in
//! order to [`MaintenanceSchedule::apply`], each with its log index. All readers reject the same
//! commands, namely those that do not apply. Two overlapping leaders are therefore harmless: the
//! position in the log decides, not the proposer. The identifier of a grant is the log index of its
//! command, so identifiers of grants increase and are unique. The identifier of a list is drawn by
//! the sidecar that accepts it, so a list that is proposed twice is still one list.
//!
//! The leader's [`Scheduler`] proposes the next command based on the schedule, the granted leases
//! ([`LeaseGrantor`]) and its observation of the fleet ([`FleetObservation`]). Each sidecar holds a
//! [`Lease`] and uses a [`DrainTracker`] to report the machines that it has drained.
//!
//! The phases of a machine are `Waiting` -> `Granted` (all sidecars stop sending to it) ->
//! `InMaintenance` (all sidecars have drained it or no longer hold a lease, so work may begin) ->
//! `WarmingUp` (the work ended) -> `Done`. A machine whose work failed is `Failed` and is not
//! worked on again for the same list.

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
