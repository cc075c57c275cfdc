//! The list of endpoints, and what becomes of the watch on it.

use super::{BuildId, CellId, MachineTypeId, PodId, ZoneId};
use std::time::Duration;

/// The state of a pod in the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
    /// It has left.
    Gone,
}

/// A row of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The pod.
    pub pod: PodId,
    /// Its state.
    pub state: PodState,
    /// The build that it runs.
    pub build: BuildId,
    /// Its capacity, against that of other pods.
    pub weight: f64,
    /// When this incarnation of it started, if known.
    pub started_at: Option<Duration>,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell that it runs in.
    pub cell: CellId,
    /// The type of its machine.
    pub machine_type: MachineTypeId,
}

/// News of the list of endpoints.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// Rows that changed.
    Delta(Vec<Endpoint>),
    /// The complete list.
    Snapshot(Vec<Endpoint>),
    /// The list as it was cached before a restart; it may be old.
    Cached(Vec<Endpoint>),
    /// A call for the list failed, or the watch on it ended: later changes are not heard.
    WatchLost(WatchLoss),
}

/// How the watch on the list of endpoints was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchLoss {
    /// For how long nothing had been heard by then.
    pub silent_for: Duration,
    /// Why it was lost.
    pub cause: WatchLossCause,
}

/// Why the watch on the list of endpoints was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchLossCause {
    /// A watch ended or fell silent, or a call failed otherwise.
    #[default]
    Ended,
    /// There is no service, or its answer can't be read.
    NoService,
    /// A call was not answered in time.
    TimedOut,
    /// The service answered that it can't take the call now.
    Refused,
}
