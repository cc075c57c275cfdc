//! How the process's file descriptors are shared out, and how many clients its memory bears.

/// Descriptors reserved for what is no connection: poll, signals, standard streams, the state file.
const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for the endpoint list, stage updates and votes, which have to arrive whatever the load.
const RESERVED_FOR_CONTROL: usize = 8;
/// One in so many of the remaining descriptors is reserved for connections to pods...
const UPSTREAM_DIVISOR: usize = 4;
/// ...and no more than this.
const MAX_RESERVED_FOR_UPSTREAM: usize = 1024;
/// Connections that are left at the least: one client and one pod.
const MIN_CONNECTIONS: usize = 2;
/// One in so many of the granted bytes may hold clients' buffers.
const CLIENT_MEMORY_DIVISOR: usize = 2;

/// Limits on connections, so that clients leave descriptors for their requests' attempts, and both for the control
/// services.
///
/// Where the system bounds the address space, the limit on clients also keeps their buffers within it, as an allocation
/// that fails ends the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Bound of accepted connections.
    pub max_accepted: usize,
    /// Bound of connections of all kinds beyond which none is opened to a pod and none accepted.
    pub max_connections: usize,
}

impl DescriptorBudget {
    /// The budget of a process with `descriptors` file descriptors and `memory` bytes, of which each client may need
    /// `client_memory` bytes.
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
