//! What the sidecars of a fleet coordinate so that the sum of their decisions is right: the pods that each uses, who health
//! checks an ejected pod, which outlier hints count. Each decides alone, from what all know alike. Sans I/O: no sockets, no
//! clock.
//!
//! The host tells [`Coordinator`] the pods, the members of the fleet with their load reports, requests and how attempts
//! ended. [`Coordinator::take_report`] returns this member's load report for the others, [`Coordinator::take_view`] what the
//! decision module is to use; both only when there is news.
//!
//! | module | job |
//! | --- | --- |
//! | `coordinator` | one member's state, report and view |
//! | `load_report` | what a member reports, and its encoding |
//! | `outlier_tracker` | outlier hints from a member's own outcomes |
//! | `outlier_hints` | which hints of other members count |
//! | `subsets` | assigns pods to members |
//! | `probe_rotation` | which members may health check an ejected pod now |
//! | `poll_schedule` | when a lost service is polled again |
//! | `stable_hash` | hashes that are the same at every member |
//!
//! A view moves a sidecar's choice among pods that its rules allow, or has it send fewer health checks. It never widens a
//! limit, and is no evidence on a build.

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
