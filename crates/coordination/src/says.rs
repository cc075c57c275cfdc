//! What a member says of itself and of pods, as bytes.

use limewing_versioned_codec::{decode_prefix, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Pods that one member may hint at.
pub const MOST_HINTS: usize = 16;
const VERSION: u8 = 1;

/// What a member holds a pod to be, by its own outcomes. That it is cold all know from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Hint {
    /// It answers nothing.
    Shut,
    /// It answers far slower than others.
    Slow,
    /// It turns hits away.
    Full,
    /// It was shut, and answered again a moment ago.
    Open,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Says {
    pub zone: u16,
    /// Hits a second, as twice the logarithm to the base of two.
    pub traffic: u8,
    pub hints: Vec<(u64, Hint)>,
    /// The services that it holds lost, a bit for each; absent in an earlier version's words.
    #[serde(skip)]
    pub lost: u8,
}

/// Why what a member says can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Of another version: the member counts with nothing said.
    Version,
    Damaged,
    ManyHints,
}

impl From<DecodeError> for Unreadable {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Damaged,
        }
    }
}

impl Says {
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = encode(VERSION, self);
        bytes.push(self.lost);
        bytes
    }

    /// # Errors
    /// Why it can't be used. What follows a known version's fields is left to later ones.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        let (says, rest): (Self, _) = decode_prefix(VERSION, bytes)?;
        if says.hints.len() > MOST_HINTS {
            return Err(Unreadable::ManyHints);
        }
        Ok(Self {
            lost: rest.first().copied().unwrap_or(0),
            ..says
        })
    }
}
