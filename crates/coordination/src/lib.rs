//! Coordination of the sidecars of a fleet, so that their decisions add up: which pods each uses,
//! which of them health check an ejected pod, and which outlier hints count. Each sidecar decides
//! on its own from information that all share. Sans I/O: no sockets, no clock.
//!
//! The host reports to a [`Coordinator`] the pods, the members of the fleet with their load
//! reports, the requests and how attempts ended. [`Coordinator::take_report`] returns this member's
//! load report for the others, and [`Coordinator::take_view`] the view for the decision module;
//! both only when there is something new.
//!
//! | module | purpose |
//! | --- | --- |
//! | `coordinator` | state, report and view of one member |
//! | `load_report` | report of a member, and its encoding |
//! | `outlier_tracker` | outlier hints from a member's own outcomes |
//! | `outlier_hints` | which hints of other members count |
//! | `subsets` | assigns pods to members |
//! | `probe_rotation` | which members may health check an ejected pod now |
//! | `poll_schedule` | when a lost service is polled again |
//! | `stable_hash` | hashes that are the same at every member |
//!
//! A view changes a sidecar's choice among the pods that its rules allow, or makes it send fewer
//! health checks. It never relaxes a limit, and is not evidence about a build.

mod coordinator;
mod load_report;
mod outlier_hints;
mod outlier_tracker;
mod poll_schedule;
mod probe_rotation;
mod stable_hash;
mod subsets;

pub use coordinator::{Coordinator, FleetView};
pub use load_report::{LoadReport, LoadReportError, OutlierHint, MAX_HINTS};
pub use outlier_hints::{find_outliers, PeerReport};
pub use outlier_tracker::OutlierObservation;
pub use poll_schedule::{Service, CONCURRENT_POLLERS, MAX_POLL_INTERVAL, RECOVERY_SPREAD};
pub use probe_rotation::{is_prober, is_selected, CONCURRENT_PROBERS, ROTATION_INTERVAL};
pub use stable_hash::stable_key;
pub use subsets::{assign_subsets, preference_order, Member, Pod};
