//! One hash over all that a simulated run puts out, in order: it moves when behaviour moves (`tools/digests.sh`).

use std::time::Duration;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit FNV-1a hash. Source: Fowler, Noll and Vo, draft-eastlake-fnv.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Self::new()
    }
}

impl Digest {
    /// The hash of nothing.
    pub const fn new() -> Self {
        Self(OFFSET_BASIS)
    }

    /// The hash so far.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Adds bytes whose length is known to the reader, or does not matter.
    pub fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds a length and so many bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds eight bytes, the least significant first.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds a count and so many numbers.
    pub fn numbers(&mut self, numbers: impl ExactSizeIterator<Item = u64>) {
        self.number(numbers.len() as u64);
        for number in numbers {
            self.number(number);
        }
    }

    /// Adds a number bit by bit.
    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    /// Adds a time in nanoseconds.
    pub fn time(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }

    /// Adds any number of names, and a mark behind the last.
    pub fn names<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            self.bytes(name.as_bytes());
        }
        self.number(u64::MAX);
    }
}
