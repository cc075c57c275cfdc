//! Configuration of a member and its validation.

use crate::sealer::Key;
use crate::status::MemberName;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Minimum length of a key's secret, in bytes.
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
    /// Start of this process, Unix time in milliseconds.
    pub started_at_ms: u64,
    /// Reading of the caller's clock at `started_at_ms`.
    pub started_at: Duration,
    /// Address at which the other members reach this one.
    pub address: SocketAddr,
    /// Addresses of some members through which this one joins the fleet.
    pub seed_addresses: Vec<SocketAddr>,
    /// One key, or two during a rotation. The first key seals datagrams; every key opens them.
    pub keys: Vec<Key>,
    /// SWIM's protocol period: the time between two probes, 10 ms to 60 s.
    pub probe_interval: Duration,
    /// Mean number of bytes that may be sent per second, at least 2000. Gossip pauses when it is
    /// exceeded; probes and acks do not.
    pub bytes_per_second: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// No key was given.
    #[error("no key given, expected one or two")]
    NoKey,
    /// The secret of this key (first field) has too few bytes (second field).
    #[error("the secret of key {0} has {1} bytes, expected at least {MIN_SECRET_BYTES}")]
    ShortKey(u8, usize),
    /// Both keys have this id.
    #[error("two keys have the number {0}")]
    DuplicateKeyId(u8),
    /// There are more than two keys.
    #[error("more than two keys given")]
    TooManyKeys,
    /// The probe interval is out of range.
    #[error("the period {0:?} is out of range, expected 10 ms to 60 s")]
    ProbeInterval(Duration),
    /// The byte rate is too low.
    #[error("{0} bytes per second are too few, expected at least {MIN_BYTES_PER_SECOND}")]
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
