//! The order in which machines go out for work: a pure function of a settled log, so that all who read the log know the same.
//! Without I/O and without a clock: time is what the log says it is.
//!
//! How data flows: settled words (`Word`) go into `Turns::apply`, one after the other, each with its place in the log; those that
//! can't hold there are refused, at every reader alike. So two that both believe they lead harm nothing: what decides is the
//! place in the log, not who asked. `Turns::next` tells whoever leads which words to put up now; `limits` tells whether one
//! more machine may be out. A grant's number is its word's place in the log: numbers only grow, and each is given once. A
//! list's number is drawn by whoever takes it in: put up twice it is one list. `leases` tells which sidecars may still send;
//! `leads` what whoever leads puts up next, from all of that and from what it sees of the fleet.
//!
//! A machine's way: `Waits` -> `Granted` (all sidecars are to send nothing more there) -> `Out` (all have said so, or may not
//! send any more: it may be worked on) -> `Back` (it was worked on; cold) -> `Done`. Or `Failed`: not worked on again for this list.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod leads;
mod leases;
mod limits;
mod turns;
mod words;

pub use leads::{FleetObservation, Pod, RejectionRate, Scheduler, ZoneTracker};
pub use leases::{DrainTracker, Lease, LeaseGrantor, MAX_START_WAIT};
pub use limits::{BlockedReason, FleetSummary};
pub use turns::{ApplyError, MachinePhase, MachineState, MaintenanceList, MaintenanceSchedule};
pub use words::{
    Command, DisruptionLimits, FormatError, Identifier, ListConfig, Machine, Message, Window,
    MAX_LISTS, MAX_MACHINES,
};
