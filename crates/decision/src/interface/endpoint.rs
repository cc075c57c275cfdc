//! The endpoint list and the loss of its watch.

use super::{BuildId, CellId, MachineTypeId, PodId, ZoneId};
use std::time::Duration;

/// The state of a pod in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    /// The pod accepts requests.
    Ready,
    /// The pod is about to shut down.
    Draining,
    /// The pod no longer exists.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The id of the pod.
    pub pod: PodId,
    /// The state of the pod.
    pub state: PodState,
    /// The build that the pod runs.
    pub build: BuildId,
    /// The capacity of the pod relative to other pods.
    pub weight: f64,
    /// When this incarnation of the pod started, if known.
    pub started_at: Option<Duration>,
    /// The zone that the pod runs in.
    pub zone: ZoneId,
    /// The cell that the pod runs in.
    pub cell: CellId,
    /// The machine type that the pod runs on.
    pub machine_type: MachineTypeId,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta(Vec<Endpoint>),
    /// The entries that changed, from a source that is no longer the one that is watched. They do not
    /// show that later changes are received.
    FormerDelta(Vec<Endpoint>),
    /// The complete list.
    Snapshot(Vec<Endpoint>),
    /// The list cached before a restart, which may be outdated.
    Cached(Vec<Endpoint>),
    /// A call for the list failed or its watch ended, so later changes are not received.
    WatchLost(WatchLoss),
}

/// How the watch on the endpoint list was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchLoss {
    /// How long nothing had been received when the loss was detected.
    pub silent_for: Duration,
    /// Why the watch was lost.
    pub cause: WatchLossCause,
}

/// Why the watch on the endpoint list was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchLossCause {
    /// A watch ended or stopped responding, or a call failed for another reason.
    #[default]
    Ended,
    /// The service does not exist.
    NoService,
    /// A call was not answered in time.
    TimedOut,
    /// The service answered that it cannot accept the call now.
    Refused,
}
