//! Configuration of a member and the check of it.

use crate::sealer::Key;
use crate::status::MemberName;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Shortest secret of a key, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Lowest byte rate that still carries probes and some gossip.
const MIN_BYTES_PER_SECOND: u32 = 2000;
const PROBE_INTERVALS: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(60);

/// Configuration of a member.
#[derive(Clone)]
pub struct Config {
    /// Name of this member, unique in the fleet.
    pub name: MemberName,
    /// When this process started, Unix time in milliseconds.
    pub started_at_ms: u64,
    /// What the caller's clock showed at that moment.
    pub started_at: Duration,
    /// Where the other members reach this one.
    pub address: SocketAddr,
    /// Addresses of some members, for joining.
    pub seed_addresses: Vec<SocketAddr>,
    /// One key, or two during a rotation: the first seals, all open.
    pub keys: Vec<Key>,
    /// SWIM's protocol period: the time between two probes, 10 ms to 60 s.
    pub probe_interval: Duration,
    /// Bytes that may be sent a second in the mean, 2000 at the least. Gossip stops above it; probes and acks do not.
    pub bytes_per_second: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A configuration that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// No key was given.
    #[error("no key, expected one or two")]
    NoKey,
    /// A secret is too short: the key's number and the secret's bytes.
    #[error("key {0} has {1} bytes, expected {MIN_SECRET_BYTES} or more")]
    ShortKey(u8, usize),
    /// Both keys have this number.
    #[error("two keys have the number {0}")]
    DuplicateKeyId(u8),
    /// There are three keys or more.
    #[error("more than two keys")]
    TooManyKeys,
    /// The probe interval is out of its range.
    #[error("a period of {0:?}, expected 10 ms to 60 s")]
    ProbeInterval(Duration),
    /// The byte rate is too low.
    #[error("{0} bytes a second, expected {MIN_BYTES_PER_SECOND} or more")]
    ByteRate(u32),
}

impl Config {
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        validate_keys(&self.keys)?;
        if !PROBE_INTERVALS.contains(&self.probe_interval) {
            return Err(ConfigError::ProbeInterval(self.probe_interval));
        }
        if self.bytes_per_second < MIN_BYTES_PER_SECOND {
            return Err(ConfigError::ByteRate(self.bytes_per_second));
        }
        Ok(())
    }
}

pub(crate) fn validate_keys(keys: &[Key]) -> Result<(), ConfigError> {
    for key in keys {
        if key.secret.len() < MIN_SECRET_BYTES {
            return Err(ConfigError::ShortKey(key.id, key.secret.len()));
        }
    }
    match keys {
        [] => Err(ConfigError::NoKey),
        [first, second] if first.id == second.id => Err(ConfigError::DuplicateKeyId(first.id)),
        [_] | [_, _] => Ok(()),
        _ => Err(ConfigError::TooManyKeys),
    }
}
