//! Seals and opens datagrams of the form `version key-id tag[16] counter[8] sent-ms[8] packet`,
//! with little-endian numbers. The tag is HMAC-SHA-256 (RFC 2104), truncated to 16 bytes, over
//! version, key id and everything that follows the tag. No part of a datagram is decoded before its
//! tag is verified.

use crate::packet::{Packet, MAX_DATAGRAM_BYTES};
use crate::replay_filter::ReplayFilter;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
/// Offset of the tag, after version and key id.
const TAG_OFFSET: usize = 2;
const COUNTER_OFFSET: usize = TAG_OFFSET + TAG_BYTES;
const SENT_MS_OFFSET: usize = COUNTER_OFFSET + 8;
const HEADER_BYTES: usize = SENT_MS_OFFSET + 8;
/// Maximum difference in milliseconds between a datagram's time and the receiver's clock. A
/// receiver that has just started knows no counters, so only this check protects it from replays.
/// Datagrams of a member whose clock differs more are rejected.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 30_000;
/// Maximum size of the packet in a datagram.
pub(crate) const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;

/// A key of the fleet; two are in use during a rotation.
#[derive(Clone)]
pub struct Key {
    /// Identifies the key on the wire.
    pub id: u8,
    /// Secret shared by all members, at least 16 bytes.
    pub secret: Vec<u8>,
}

/// Reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is shorter than its header or longer than [`MAX_DATAGRAM_BYTES`].
    #[error("invalid datagram length, expected a header and at most {MAX_DATAGRAM_BYTES} bytes")]
    Length,
    /// The datagram is of another protocol version.
    #[error("unsupported datagram version, expected {VERSION}")]
    Version,
    /// The datagram is sealed with a key that this member does not have.
    #[error("datagram sealed with an unknown key")]
    UnknownKey,
    /// The tag does not match: the datagram is corrupted or forged.
    #[error("datagram with an invalid authentication tag")]
    WrongTag,
    /// The sender's time differs too much from this member's clock.
    #[error(
        "datagram time differs by more than {MAX_CLOCK_DIFFERENCE_MS} ms from the local clock"
    )]
    Stale,
    /// The counter was already received, or is too far behind.
    #[error("replayed datagram")]
    Replayed,
    /// The tag matches, but the packet cannot be decoded.
    #[error("malformed packet in datagram")]
    Malformed,
    /// The sender has restarted since.
    #[error("datagram from an earlier process of its sender")]
    EarlierProcess,
    /// The sender uses this member's own name.
    #[error("datagram sent under this member's own name")]
    OwnName,
}

/// Seals outgoing packets and opens received datagrams.
pub(crate) struct DatagramSealer {
    keys: Vec<Key>,
    counter: u64,
    replay_filter: ReplayFilter,
}

impl DatagramSealer {
    /// Creates a sealer that seals with the first key and opens with any of them.
    pub(crate) fn new(keys: Vec<Key>) -> Self {
        Self {
            keys,
            counter: 0,
            replay_filter: ReplayFilter::default(),
        }
    }

    pub(crate) fn replace_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Seals a packet. Returns `None` if the datagram would be too long.
    pub(crate) fn seal(&mut self, packet: &Packet, unix_time_ms: u64) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        self.counter += 1;
        let mut datagram = vec![VERSION, key.id];
        datagram.resize(COUNTER_OFFSET, 0);
        datagram.extend_from_slice(&self.counter.to_le_bytes());
        datagram.extend_from_slice(&unix_time_ms.to_le_bytes());
        let mut datagram = postcard::to_extend(packet, datagram).ok()?;
        let tag = compute_tag(key, &datagram[COUNTER_OFFSET..])?;
        datagram[TAG_OFFSET..COUNTER_OFFSET].copy_from_slice(&tag);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// Verifies and decodes a datagram.
    pub(crate) fn open(
        &mut self,
        datagram: &[u8],
        unix_time_ms: u64,
    ) -> Result<Packet, DatagramError> {
        if datagram.len() <= HEADER_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length);
        }
        self.verify_tag(datagram)?;
        let counter = read_u64(datagram, COUNTER_OFFSET);
        let sent_ms = read_u64(datagram, SENT_MS_OFFSET);
        if sent_ms.abs_diff(unix_time_ms) > MAX_CLOCK_DIFFERENCE_MS {
            return Err(DatagramError::Stale);
        }
        let (packet, rest) = postcard::take_from_bytes::<Packet>(&datagram[HEADER_BYTES..])
            .map_err(|_| DatagramError::Malformed)?;
        if !rest.is_empty() {
            return Err(DatagramError::Malformed);
        }
        let sender = &packet.sender;
        self.replay_filter
            .record(&sender.name, sender.started_at_ms, counter, sent_ms)?;
        Ok(packet)
    }

    fn verify_tag(&self, datagram: &[u8]) -> Result<(), DatagramError> {
        if datagram[0] != VERSION {
            return Err(DatagramError::Version);
        }
        let key = self
            .keys
            .iter()
            .find(|key| key.id == datagram[1])
            .ok_or(DatagramError::UnknownKey)?;
        let tag = compute_tag(key, &datagram[COUNTER_OFFSET..]).ok_or(DatagramError::WrongTag)?;
        if !equal_in_constant_time(&tag, &datagram[TAG_OFFSET..COUNTER_OFFSET]) {
            return Err(DatagramError::WrongTag);
        }
        Ok(())
    }
}

/// Reads eight bytes at an offset; the caller has checked that the header is complete.
fn read_u64(datagram: &[u8], offset: usize) -> u64 {
    let bytes = datagram[offset..offset + 8].try_into();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

/// Computes the tag of the bytes that follow it. Returns `None` if the key is unusable, which
/// validation of the configuration rules out.
fn compute_tag(key: &Key, authenticated: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
    mac.update(&[VERSION, key.id]);
    mac.update(authenticated);
    mac.finalize().into_bytes()[..TAG_BYTES].try_into().ok()
}

/// Compares in time independent of the position of a difference, so that it leaks nothing to a
/// forger.
fn equal_in_constant_time(left: &[u8; TAG_BYTES], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    left.len() == right.len() && difference == 0
}
