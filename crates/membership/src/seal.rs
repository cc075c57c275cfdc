//! Datagrams on the wire: `version key-id tag[16] count sent frame`, where the tag is an HMAC over all behind it. What is
//! not sealed by a known key, is too old, or came before, is refused before a byte of the frame is read.

use crate::words::{MemberName, Packet, MAX_DATAGRAM_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 2 + TAG_BYTES + 16;
/// How far the clocks of two members may differ, and a datagram be late, in milliseconds. Guards against what was recorded and is
/// sent again to a member that started since. Hurts a member whose clock is further off: nobody hears it.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 30_000;
/// Counts that may come out of order.
const REPLAY_WINDOW: u64 = 64;
/// Senders whose counts are kept; beyond, the one heard longest ago is forgotten.
const MAX_SENDERS: usize = 4096;

/// A key of the fleet; two may be known while one takes the other's place.
#[derive(Clone)]
pub struct Key {
    pub id: u8,
    pub secret: Vec<u8>,
}

/// Why a datagram is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    #[error("it is too short or too long")]
    Length,
    #[error("another version")]
    Version,
    #[error("a key that is not known")]
    UnknownKey,
    #[error("the seal does not fit")]
    WrongTag,
    #[error("sent too long ago, or by a clock that is ahead")]
    Stale,
    #[error("it came before")]
    Replayed,
    #[error("what is in it can't be read")]
    Malformed,
    #[error("of an earlier start of its sender")]
    EarlierProcess,
    #[error("our own")]
    OwnName,
}

struct ReplayWindow {
    start: u64,
    highest: u64,
    /// Which of the counts up to the highest came: bit n for the highest less n.
    seen: u64,
    sent_ms: u64,
}

pub struct DatagramSealer {
    keys: Vec<Key>,
    counter: u64,
    replay_windows: BTreeMap<MemberName, ReplayWindow>,
}

fn compute_tag(key: &Key, rest: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
    mac.update(&[VERSION, key.id]);
    mac.update(rest);
    mac.finalize().into_bytes()[..TAG_BYTES].try_into().ok()
}

/// In a time that does not tell where two differ.
fn constant_time_eq(a: &[u8; TAG_BYTES], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (a, b)| differs | (a ^ b)) == 0
}

impl DatagramSealer {
    /// The first key seals; all open.
    pub fn new(keys: Vec<Key>) -> Self {
        Self {
            keys,
            counter: 0,
            replay_windows: BTreeMap::new(),
        }
    }

    pub fn replace_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Bytes that a frame may have in a datagram.
    pub fn max_packet_bytes() -> usize {
        MAX_DATAGRAM_BYTES - HEADER_BYTES
    }

    pub fn seal(&mut self, frame: &Packet, today_ms: u64) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        self.counter += 1;
        let mut out = vec![VERSION, key.id];
        out.resize(2 + TAG_BYTES, 0);
        out.extend_from_slice(&self.counter.to_le_bytes());
        out.extend_from_slice(&today_ms.to_le_bytes());
        let mut out = postcard::to_extend(frame, out).ok()?;
        let seal = compute_tag(key, &out[2 + TAG_BYTES..])?;
        out[2..2 + TAG_BYTES].copy_from_slice(&seal);
        (out.len() <= MAX_DATAGRAM_BYTES).then_some(out)
    }

    /// # Errors
    /// Why it is refused; nothing of it is to be believed.
    pub fn open(&mut self, datagram: &[u8], today_ms: u64) -> Result<Packet, DatagramError> {
        if datagram.len() <= HEADER_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length);
        }
        if datagram[0] != VERSION {
            return Err(DatagramError::Version);
        }
        let key = self
            .keys
            .iter()
            .find(|key| key.id == datagram[1])
            .ok_or(DatagramError::UnknownKey)?;
        let fits = compute_tag(key, &datagram[2 + TAG_BYTES..])
            .is_some_and(|seal| constant_time_eq(&seal, &datagram[2..2 + TAG_BYTES]));
        fits.then_some(()).ok_or(DatagramError::WrongTag)?;
        let number =
            |at: usize| u64::from_le_bytes(datagram[at..at + 8].try_into().unwrap_or_default());
        let (count, sent) = (number(2 + TAG_BYTES), number(2 + TAG_BYTES + 8));
        if sent.abs_diff(today_ms) > MAX_CLOCK_DIFFERENCE_MS {
            return Err(DatagramError::Stale);
        }
        let (frame, rest) = postcard::take_from_bytes::<Packet>(&datagram[HEADER_BYTES..])
            .map_err(|_| DatagramError::Malformed)?;
        rest.is_empty()
            .then_some(())
            .ok_or(DatagramError::Malformed)?;
        self.check_replay(&frame, count, sent)?;
        Ok(frame)
    }

    fn check_replay(
        &mut self,
        frame: &Packet,
        count: u64,
        sent_ms: u64,
    ) -> Result<(), DatagramError> {
        let (name, start) = (&frame.sender.name, frame.sender.started_at_ms);
        if !self.replay_windows.contains_key(name) && self.replay_windows.len() >= MAX_SENDERS {
            let oldest = self
                .replay_windows
                .iter()
                .min_by_key(|(_, heard)| heard.sent_ms)
                .map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.replay_windows.remove(&name);
            }
        }
        let heard = self
            .replay_windows
            .entry(name.clone())
            .or_insert(ReplayWindow {
                start,
                highest: 0,
                seen: 0,
                sent_ms,
            });
        if start < heard.start {
            return Err(DatagramError::EarlierProcess);
        }
        if start > heard.start {
            *heard = ReplayWindow {
                start,
                highest: 0,
                seen: 0,
                sent_ms,
            };
        }
        if count > heard.highest {
            let ahead = count - heard.highest;
            heard.seen = if ahead < REPLAY_WINDOW {
                heard.seen << ahead | 1
            } else {
                1
            };
            (heard.highest, heard.sent_ms) = (count, sent_ms);
            return Ok(());
        }
        let behind = heard.highest - count;
        if behind >= REPLAY_WINDOW || heard.seen >> behind & 1 == 1 {
            return Err(DatagramError::Replayed);
        }
        heard.seen |= 1 << behind;
        Ok(())
    }
}
