//! A hash over the ordered output of a simulated run. It changes when behaviour changes (`tools/digests.sh`).

use std::time::Duration;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit FNV-1a hash, as specified by Fowler, Noll and Vo in draft-eastlake-fnv.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Self::new()
    }
}

impl Digest {
    /// Creates the digest of empty input.
    pub const fn new() -> Self {
        Self(OFFSET_BASIS)
    }

    /// Returns the hash of everything added so far.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Adds bytes without a length prefix. The length must be fixed or irrelevant.
    pub fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds bytes preceded by their length.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds an integer as eight little-endian bytes.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds integers preceded by their count.
    pub fn numbers(&mut self, numbers: impl ExactSizeIterator<Item = u64>) {
        self.number(numbers.len() as u64);
        for number in numbers {
            self.number(number);
        }
    }

    /// Adds the bit pattern of a floating-point number.
    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    /// Adds a duration in nanoseconds.
    pub fn time(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }

    /// Adds a sequence of names, followed by an end marker.
    pub fn names<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            self.bytes(name.as_bytes());
        }
        self.number(u64::MAX);
    }
}
