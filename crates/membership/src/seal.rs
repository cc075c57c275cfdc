//! Datagrams on the wire: `version key-id tag[16] count sent frame`, where the tag is an HMAC over all behind it. What is
//! not sealed by a known key, is too old, or came before, is refused before a byte of the frame is read.

use crate::words::{Frame, Name, MOST_DATAGRAM};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

const VERSION: u8 = 1;
const TAG: usize = 16;
const HEAD: usize = 2 + TAG + 16;
/// How far the clocks of two members may differ, and a datagram be late, in milliseconds. Guards against what was recorded and is
/// sent again to a member that started since. Hurts a member whose clock is further off: nobody hears it.
const MOST_AGE_MS: u64 = 30_000;
/// Counts that may come out of order.
const WINDOW: u64 = 64;
/// Senders whose counts are kept; beyond, the one heard longest ago is forgotten.
const MOST_SENDERS: usize = 4096;

/// A key of the fleet; two may be known while one takes the other's place.
#[derive(Clone)]
pub struct Key {
    pub id: u8,
    pub secret: Vec<u8>,
}

/// Why a datagram is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refused {
    #[error("it is too short or too long")]
    Length,
    #[error("another version")]
    Version,
    #[error("a key that is not known")]
    UnknownKey,
    #[error("the seal does not fit")]
    Forged,
    #[error("sent too long ago, or by a clock that is ahead")]
    Stale,
    #[error("it came before")]
    Replayed,
    #[error("what is in it can't be read")]
    Unreadable,
    #[error("of an earlier start of its sender")]
    EarlierStart,
    #[error("our own")]
    Own,
}

struct Heard {
    start: u64,
    highest: u64,
    /// Which of the counts up to the highest came: bit n for the highest less n.
    came: u64,
    sent_ms: u64,
}

pub struct Seal {
    keys: Vec<Key>,
    count: u64,
    heard: BTreeMap<Name, Heard>,
}

fn tag(key: &Key, rest: &[u8]) -> Option<[u8; TAG]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
    mac.update(&[VERSION, key.id]);
    mac.update(rest);
    mac.finalize().into_bytes()[..TAG].try_into().ok()
}

/// In a time that does not tell where two differ.
fn same(a: &[u8; TAG], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (a, b)| differs | (a ^ b)) == 0
}

impl Seal {
    /// The first key seals; all open.
    pub fn new(keys: Vec<Key>) -> Self {
        Self {
            keys,
            count: 0,
            heard: BTreeMap::new(),
        }
    }

    pub fn change(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Bytes that a frame may have in a datagram.
    pub fn room() -> usize {
        MOST_DATAGRAM - HEAD
    }

    pub fn close(&mut self, frame: &Frame, today_ms: u64) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        self.count += 1;
        let mut out = vec![VERSION, key.id];
        out.resize(2 + TAG, 0);
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&today_ms.to_le_bytes());
        let mut out = postcard::to_extend(frame, out).ok()?;
        let seal = tag(key, &out[2 + TAG..])?;
        out[2..2 + TAG].copy_from_slice(&seal);
        (out.len() <= MOST_DATAGRAM).then_some(out)
    }

    /// # Errors
    /// Why it is refused; nothing of it is to be believed.
    pub fn open(&mut self, datagram: &[u8], today_ms: u64) -> Result<Frame, Refused> {
        if datagram.len() <= HEAD || datagram.len() > MOST_DATAGRAM {
            return Err(Refused::Length);
        }
        if datagram[0] != VERSION {
            return Err(Refused::Version);
        }
        let key = self
            .keys
            .iter()
            .find(|key| key.id == datagram[1])
            .ok_or(Refused::UnknownKey)?;
        let fits =
            tag(key, &datagram[2 + TAG..]).is_some_and(|seal| same(&seal, &datagram[2..2 + TAG]));
        fits.then_some(()).ok_or(Refused::Forged)?;
        let number =
            |at: usize| u64::from_le_bytes(datagram[at..at + 8].try_into().unwrap_or_default());
        let (count, sent) = (number(2 + TAG), number(2 + TAG + 8));
        if sent.abs_diff(today_ms) > MOST_AGE_MS {
            return Err(Refused::Stale);
        }
        let (frame, rest) = postcard::take_from_bytes::<Frame>(&datagram[HEAD..])
            .map_err(|_| Refused::Unreadable)?;
        rest.is_empty().then_some(()).ok_or(Refused::Unreadable)?;
        self.fresh(&frame, count, sent)?;
        Ok(frame)
    }

    fn fresh(&mut self, frame: &Frame, count: u64, sent_ms: u64) -> Result<(), Refused> {
        let (name, start) = (&frame.from.name, frame.from.start);
        if !self.heard.contains_key(name) && self.heard.len() >= MOST_SENDERS {
            let oldest = self
                .heard
                .iter()
                .min_by_key(|(_, heard)| heard.sent_ms)
                .map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.heard.remove(&name);
            }
        }
        let heard = self.heard.entry(name.clone()).or_insert(Heard {
            start,
            highest: 0,
            came: 0,
            sent_ms,
        });
        if start < heard.start {
            return Err(Refused::EarlierStart);
        }
        if start > heard.start {
            *heard = Heard {
                start,
                highest: 0,
                came: 0,
                sent_ms,
            };
        }
        if count > heard.highest {
            let ahead = count - heard.highest;
            heard.came = if ahead < WINDOW {
                heard.came << ahead | 1
            } else {
                1
            };
            (heard.highest, heard.sent_ms) = (count, sent_ms);
            return Ok(());
        }
        let behind = heard.highest - count;
        if behind >= WINDOW || heard.came >> behind & 1 == 1 {
            return Err(Refused::Replayed);
        }
        heard.came |= 1 << behind;
        Ok(())
    }
}
