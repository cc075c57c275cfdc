//! Resource limits of the process, and errors that mean that a resource is exhausted.

use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};
use std::io;

/// Errors of system calls that fail for lack of a resource of the process or its machine.
const EXHAUSTION_ERRORS: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
];

/// The maximum number of file descriptors and the maximum address space in bytes of this process; `usize::MAX` where the
/// system sets no limit.
#[must_use]
pub fn resource_limits() -> (usize, usize) {
    (soft_limit(Resource::Nofile), soft_limit(Resource::As))
}

fn soft_limit(resource: Resource) -> usize {
    match getrlimit(resource).current {
        Some(limit) => usize::try_from(limit).unwrap_or(usize::MAX),
        None => usize::MAX,
    }
}

/// Whether an operation failed because the process or its machine has run out of a resource, which is no evidence against
/// the peer.
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| EXHAUSTION_ERRORS.contains(&errno))
}
