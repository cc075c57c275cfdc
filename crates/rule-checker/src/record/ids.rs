//! Identifiers of requests, pods and sidecars in a record. Violations print them by their `Display`.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// A request of a client; all attempts of the client for it share the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "OrderId")]
pub struct RequestId(pub u64);

/// One process of a pod; a restarted pod gets a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "PodNo")]
pub struct PodId(pub u32);

/// A sidecar by its position in the fleet; it keeps the number across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "SidecarNo")]
pub struct SidecarId(pub u32);

/// One attempt of a client, which the receiving sidecar treats as a separate request. Serialized as the pair `[request, number]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(RequestId, u16)", into = "(RequestId, u16)")]
pub struct AttemptKey {
    /// The request that the client wants answered.
    pub request: RequestId,
    /// 0 for the client's first attempt, incremented with each retry.
    pub number: u16,
}

impl AttemptKey {
    /// Creates the key of attempt `number` of `request`.
    #[must_use]
    pub const fn new(request: RequestId, number: u16) -> Self {
        Self { request, number }
    }
}

impl From<(RequestId, u16)> for AttemptKey {
    fn from((request, number): (RequestId, u16)) -> Self {
        Self::new(request, number)
    }
}

impl From<AttemptKey> for (RequestId, u16) {
    fn from(key: AttemptKey) -> Self {
        (key.request, key.number)
    }
}

// These formats are stable: tests look up requests by them in printed violations.

impl Display for RequestId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "OrderId({})", self.0)
    }
}

impl Display for PodId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "PodNo({})", self.0)
    }
}

impl Display for SidecarId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "SidecarNo({})", self.0)
    }
}

impl Display for AttemptKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "Try({}, {})", self.request, self.number)
    }
}
