//! Limits on connections, derived from the file descriptors and the memory of the process.

/// Descriptors reserved for uses other than connections: poll, signals, standard streams, the state
/// file.
const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for the endpoint list, stage updates and votes, which must get through
/// under any load.
const RESERVED_FOR_CONTROL: usize = 8;
/// One in this many of the remaining descriptors is reserved for connections to pods.
const UPSTREAM_DIVISOR: usize = 4;
/// Maximum number of descriptors reserved for connections to pods.
const MAX_RESERVED_FOR_UPSTREAM: usize = 1024;
/// Minimum number of connections: one client and one pod.
const MIN_CONNECTIONS: usize = 2;
/// Client buffers may use the memory limit divided by this.
const CLIENT_MEMORY_DIVISOR: usize = 2;

/// Limits on connections. Clients leave descriptors for the attempts of their requests, and both
/// leave some for the control services.
///
/// If the system limits the address space, the limit on clients also keeps their buffers within it,
/// because a failed allocation aborts the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Maximum number of accepted connections.
    pub max_accepted: usize,
    /// Maximum number of connections of all kinds; at this number, none is opened to a pod and none
    /// is accepted.
    pub max_connections: usize,
}

impl DescriptorBudget {
    /// Computes the budget for a process that may use `descriptors` file descriptors and `memory`
    /// bytes, where each client may need `client_memory` bytes.
    #[must_use]
    pub fn new(descriptors: usize, memory: usize, client_memory: usize) -> Self {
        let max_connections = descriptors
            .saturating_sub(RESERVED_FOR_PROCESS + RESERVED_FOR_CONTROL)
            .max(MIN_CONNECTIONS);
        let upstream = (max_connections / UPSTREAM_DIVISOR).clamp(1, MAX_RESERVED_FOR_UPSTREAM);
        let max_by_memory = (memory / CLIENT_MEMORY_DIVISOR / client_memory.max(1)).max(1);
        Self {
            max_accepted: (max_connections - upstream).min(max_by_memory),
            max_connections,
        }
    }
}

#[cfg(test)]
mod tests;
