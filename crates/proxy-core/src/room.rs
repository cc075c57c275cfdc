//! Who may have how many of the process's descriptors, and how many clients its memory bears.

/// Kept for what is no connection: poll, signals, standard streams, the state file.
const OWN: usize = 16;
/// Kept for the list, the news and votes: a lowered cap must come through whatever clients and pods take.
const SERVICES: usize = 8;
/// Kept from clients for the pods: a part of all, and no more than this.
const PODS_PART: usize = 4;
const MOST_FOR_PODS: usize = 1024;
/// The part of the memory granted that clients' buffers may have.
const MEMORY_PART: usize = 2;

/// Guards against clients that take the descriptors that their hits need at pods, and against both taking
/// those that news come by; and, where the system grants a bounded address space, against clients whose buffers
/// do not fit, as an allocation that fails ends the process. Hurts where the limit is low: fewer clients are let
/// in than the system would allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections that were accepted, at most.
    pub max_accepted: usize,
    /// Connections of any kind beyond which none is made to a pod, and none accepted.
    pub max_connections: usize,
}

impl DescriptorBudget {
    /// Of a process that may hold so many descriptors and bytes, of which each client may take so many.
    pub fn new(descriptors: usize, memory: usize, client: usize) -> Self {
        let shared = descriptors.saturating_sub(OWN + SERVICES).max(2);
        let for_pods = (shared / PODS_PART).clamp(1, MOST_FOR_PODS);
        let borne = (memory / MEMORY_PART / client.max(1)).max(1);
        Self {
            max_accepted: (shared - for_pods).min(borne),
            max_connections: shared,
        }
    }
}
