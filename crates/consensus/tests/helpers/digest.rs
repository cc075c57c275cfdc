//! A hash over all outputs of the nodes of a cluster, in order.

use limewing_consensus::{Committed, LogPosition, ProposeError, Role};
use limewing_test_support::digest::Digest;
use std::time::Duration;

/// The 64-bit FNV-1a hash of all outputs. Without a digest, outputs are not hashed.
#[derive(Default)]
pub(crate) struct OutputDigest {
    digest: Option<Digest>,
}

impl OutputDigest {
    /// Continues from the digest of earlier outputs.
    #[allow(dead_code, reason = "only the digest test keeps one")]
    pub(crate) fn resume(digest: Digest) -> Self {
        Self {
            digest: Some(digest),
        }
    }

    #[allow(dead_code, reason = "only the digest test keeps one")]
    pub(crate) fn digest(&self) -> Option<Digest> {
        self.digest
    }

    pub(super) fn observe(&mut self, bytes: &[u8]) {
        if let Some(digest) = &mut self.digest {
            digest.raw(bytes);
        }
    }

    pub(super) fn observe_numbers(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.observe(&number.to_le_bytes());
        }
    }

    pub(super) fn observe_committed(&mut self, committed: &Committed) {
        match committed {
            Committed::Command { position, command } => {
                self.observe_numbers(&[0, position.index, position.term]);
                self.observe(command);
            }
            Committed::Snapshot { last_index, state } => {
                self.observe_numbers(&[1, *last_index]);
                self.observe(state);
            }
        }
    }

    pub(super) fn observe_proposal(&mut self, result: &Result<LogPosition, ProposeError>) {
        match result {
            Ok(position) => self.observe_numbers(&[0, position.index, position.term]),
            Err(ProposeError::NotLeader(leader)) => {
                self.observe_numbers(&[1]);
                self.observe(leader.as_deref().unwrap_or_default().as_bytes());
            }
            Err(ProposeError::TooLong) => self.observe_numbers(&[2]),
            Err(ProposeError::ChangeInProgress) => self.observe_numbers(&[3]),
            Err(ProposeError::InvalidMembers) => self.observe_numbers(&[4]),
        }
    }
}

pub(super) fn nanoseconds(time: Duration) -> u64 {
    time.as_nanos() as u64
}

pub(super) fn role_number(role: Role) -> u64 {
    match role {
        Role::Unjoined => 0,
        Role::Follower => 1,
        Role::PreCandidate => 2,
        Role::Candidate => 3,
        Role::Leader => 4,
    }
}
