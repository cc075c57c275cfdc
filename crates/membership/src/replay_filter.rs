//! Rejects replayed datagrams with a sliding window over each sender's counter, as in IPsec's
//! anti-replay service (RFC 4303, section 3.4.3).

use crate::sealer::DatagramError;
use crate::status::MemberName;
use std::collections::BTreeMap;

/// How far a datagram's counter may be behind the highest one received.
const WINDOW: u64 = 64;
/// Maximum number of tracked senders; beyond it the sender with the oldest datagram is forgotten.
const MAX_SENDERS: usize = 4096;

/// Counters received from one process of a sender.
struct ReplayWindow {
    /// Start of the process, Unix time in milliseconds.
    started_at_ms: u64,
    highest: u64,
    /// Bit n is set if the counter `highest - n` was received.
    seen: u64,
    /// The sender's clock in the datagram with the highest counter, Unix time in milliseconds.
    sent_ms: u64,
}

impl ReplayWindow {
    const fn new(started_at_ms: u64, sent_ms: u64) -> Self {
        Self {
            started_at_ms,
            highest: 0,
            seen: 0,
            sent_ms,
        }
    }

    fn record(&mut self, counter: u64, sent_ms: u64) -> Result<(), DatagramError> {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead < WINDOW {
                self.seen << ahead | 1
            } else {
                1
            };
            self.highest = counter;
            self.sent_ms = sent_ms;
            return Ok(());
        }
        let behind = self.highest - counter;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
            return Err(DatagramError::Replayed);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}

/// Replay windows of all senders.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    windows: BTreeMap<MemberName, ReplayWindow>,
}

impl ReplayFilter {
    /// Records a datagram of an authenticated sender. Returns an error if it is a replay or comes
    /// from an earlier process of the sender.
    pub(crate) fn record(
        &mut self,
        sender: &MemberName,
        started_at_ms: u64,
        counter: u64,
        sent_ms: u64,
    ) -> Result<(), DatagramError> {
        if !self.windows.contains_key(sender) && self.windows.len() >= MAX_SENDERS {
            self.forget_oldest();
        }
        let window = self
            .windows
            .entry(sender.clone())
            .or_insert(ReplayWindow::new(started_at_ms, sent_ms));
        if started_at_ms < window.started_at_ms {
            return Err(DatagramError::EarlierProcess);
        }
        if started_at_ms > window.started_at_ms {
            *window = ReplayWindow::new(started_at_ms, sent_ms);
        }
        window.record(counter, sent_ms)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.sent_ms)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.windows.remove(&name);
        }
    }
}
