//! What the system grants this process, and errors that mean that it is used up.

use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};
use std::io;

/// Errors of a system call that lacks something of this process or its machine.
const EXHAUSTION: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
];

/// How many file descriptors, and how many bytes of address space, this process may have; `usize::MAX` where the system
/// sets no limit.
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

/// Whether an operation failed because this process or its machine has run out of a resource, which says nothing of the
/// peer.
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| EXHAUSTION.contains(&errno))
}
