//! Seals and opens datagrams: `version key-id tag[16] counter[8] sent-ms[8] packet`, numbers little-endian. The tag is
//! HMAC-SHA-256 (RFC 2104), cut to 16 bytes, over version, key id and all that follows it. Nothing of a datagram is decoded
//! before its tag is verified.

use crate::packet::{Packet, MAX_DATAGRAM_BYTES};
use crate::replay_filter::ReplayFilter;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
/// Where the tag starts: after version and key id.
const TAG_AT: usize = 2;
const COUNTER_AT: usize = TAG_AT + TAG_BYTES;
const SENT_AT: usize = COUNTER_AT + 8;
const HEADER_BYTES: usize = SENT_AT + 8;
/// How far a datagram's time may differ from the receiver's clock, in milliseconds. A receiver that has just started knows no
/// counters, so age alone protects it from replays; a member whose clock is further off is not heard.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 30_000;
/// Longest packet of a datagram.
pub(crate) const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;

/// A key of the fleet; two are known during a rotation.
#[derive(Clone)]
pub struct Key {
    /// Tells the keys apart on the wire.
    pub id: u8,
    /// Shared by all members, 16 bytes at the least.
    pub secret: Vec<u8>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// Shorter than the header or longer than [`MAX_DATAGRAM_BYTES`].
    #[error(
        "datagram of a wrong length, expected a header and at most {MAX_DATAGRAM_BYTES} bytes"
    )]
    Length,
    /// Of another version of this protocol.
    #[error("datagram of another version, expected {VERSION}")]
    Version,
    /// Sealed with a key that this member does not have.
    #[error("datagram sealed with an unknown key")]
    UnknownKey,
    /// The tag does not match: corrupted or forged.
    #[error("datagram with a wrong authentication tag")]
    WrongTag,
    /// The sender's time differs too much from this member's clock.
    #[error("datagram more than {MAX_CLOCK_DIFFERENCE_MS} ms old, or by a clock that is ahead")]
    Stale,
    /// Its counter came before, or is too far behind.
    #[error("replayed datagram")]
    Replayed,
    /// The tag matches but the packet can't be decoded.
    #[error("malformed packet in a datagram")]
    Malformed,
    /// Its sender has restarted since.
    #[error("datagram of an earlier process of its sender")]
    EarlierProcess,
    /// It bears this member's own name.
    #[error("datagram with this member's own name")]
    OwnName,
}

/// Seals outgoing packets and opens received datagrams.
pub(crate) struct DatagramSealer {
    keys: Vec<Key>,
    counter: u64,
    replay_filter: ReplayFilter,
}

impl DatagramSealer {
    /// The first key seals; all open.
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

    /// The datagram for a packet; none if it would be too long.
    pub(crate) fn seal(&mut self, packet: &Packet, unix_time_ms: u64) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        self.counter += 1;
        let mut datagram = vec![VERSION, key.id];
        datagram.resize(COUNTER_AT, 0);
        datagram.extend_from_slice(&self.counter.to_le_bytes());
        datagram.extend_from_slice(&unix_time_ms.to_le_bytes());
        let mut datagram = postcard::to_extend(packet, datagram).ok()?;
        let tag = compute_tag(key, &datagram[COUNTER_AT..])?;
        datagram[TAG_AT..COUNTER_AT].copy_from_slice(&tag);
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
        let counter = read_u64(datagram, COUNTER_AT);
        let sent_ms = read_u64(datagram, SENT_AT);
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
        let tag = compute_tag(key, &datagram[COUNTER_AT..]).ok_or(DatagramError::WrongTag)?;
        if !equal_in_constant_time(&tag, &datagram[TAG_AT..COUNTER_AT]) {
            return Err(DatagramError::WrongTag);
        }
        Ok(())
    }
}

/// Eight bytes at that offset; the caller has checked that the header is complete.
fn read_u64(datagram: &[u8], offset: usize) -> u64 {
    let bytes = datagram[offset..offset + 8].try_into();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

/// The tag for what follows it; none if the key can't be used, which the check of the configuration rules out.
fn compute_tag(key: &Key, authenticated: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
    mac.update(&[VERSION, key.id]);
    mac.update(authenticated);
    mac.finalize().into_bytes()[..TAG_BYTES].try_into().ok()
}

/// Takes the same time wherever the two differ, so that a forger learns nothing from it.
fn equal_in_constant_time(left: &[u8; TAG_BYTES], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    left.len() == right.len() && difference == 0
}
