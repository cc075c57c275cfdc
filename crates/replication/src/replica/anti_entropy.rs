//! Anti-entropy: a replica sends a peer its positions in some of its logs, the peer replies with
//! the logs in which it is behind and ahead, and each sends the other the missing entries. A round
//! covers all logs in the order of their origins.
//!
//! A replica that has just started requests the next comparison as soon as one is answered, each
//! time with another random peer. It has caught up once it has everything that a caught-up peer had
//! when that peer was first asked. If no peer has caught up, as when a whole fleet starts at once,
//! there is nobody to wait for.

use super::{Replica, MAX_BATCH_BYTES};
use crate::message::{Entry, LogPosition, Message, Origin, SequenceRange, MAX_POSITIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of peers that have to report that they have not caught up before a replica concludes that
/// no peer has. With random peers of a fleet of which three in ten kept running, one round in
/// 90,000 concludes this wrongly.
const COLD_START_PEERS: usize = 32;
/// Maximum number of packets with entries in reply to one digest, so that a single peer that is far
/// behind does not use up the budget.
const MAX_PACKETS_PER_REPLY: usize = 4;
/// Gossip intervals between two digests.
const SYNC_INTERVALS: u32 = 4;
/// Gossip intervals after which a digest without a reply times out.
const REPLY_TIMEOUT_INTERVALS: u32 = 8;

/// Origins greater than `after`, up to and including `through`; `None` is unbounded.
pub(super) struct OriginInterval {
    pub(super) after: Option<Origin>,
    pub(super) through: Option<Origin>,
}

impl OriginInterval {
    fn contains(&self, origin: &Origin) -> bool {
        self.after.as_ref().is_none_or(|after| origin > after)
            && self
                .through
                .as_ref()
                .is_none_or(|through| origin <= through)
    }
}

/// A digest reply without the logs in which the peer is behind.
pub(super) struct ReplySummary {
    pub(super) request: u32,
    pub(super) through: Option<Origin>,
    pub(super) ahead: Vec<LogPosition>,
    pub(super) caught_up: bool,
}

/// A digest that has not been answered.
#[derive(Clone, Debug)]
struct PendingDigest {
    request: u32,
    through: Option<Origin>,
    deadline: Duration,
}

/// Progress of one round through all logs.
#[derive(Clone, Debug, Default)]
pub(super) struct SyncRound {
    /// Logs through this origin have been compared; `None` if none has.
    compared_through: Option<Origin>,
    pending: Option<PendingDigest>,
    /// While catching up: positions that caught-up peers had when they were first asked.
    required: BTreeMap<Origin, u64>,
    /// Origins whose required position was reached.
    satisfied: BTreeSet<Origin>,
    /// Peers that reported that they have not caught up, since a peer last reported that it has.
    peers_not_caught_up: BTreeSet<String>,
}

impl Replica {
    pub(super) fn next_sync_deadline(&self) -> Duration {
        match &self.round.pending {
            Some(pending) => pending.deadline.max(self.next_sync),
            None => self.next_sync,
        }
    }

    /// Sends a digest of the next logs of the round to a random peer, if one is due.
    pub(super) fn start_sync(&mut self, now: Duration) {
        // After a timeout the same logs are compared with another peer.
        self.round
            .pending
            .take_if(|pending| now >= pending.deadline);
        if now < self.next_sync || self.round.pending.is_some() {
            return;
        }
        self.next_sync = now + self.config.gossip_interval * SYNC_INTERVALS;
        let Some(peer) = self.draw_peers(1, "").pop() else {
            return;
        };
        let after = self.round.compared_through.clone();
        let positions: Vec<LogPosition> = self
            .logs
            .iter()
            .filter(|(origin, _)| after.as_ref().is_none_or(|after| *origin > after))
            .take(MAX_POSITIONS)
            .map(|(origin, log)| LogPosition {
                origin: origin.clone(),
                contiguous_through: log.contiguous_through(),
            })
            .collect();
        let is_last = positions.len() < MAX_POSITIONS;
        let last_origin = positions.last().map(|position| position.origin.clone());
        let through = if is_last { None } else { last_origin };
        self.last_request = self.last_request.wrapping_add(1);
        let request = self.last_request;
        self.round.pending = Some(PendingDigest {
            request,
            through: through.clone(),
            deadline: now + self.config.gossip_interval * REPLY_TIMEOUT_INTERVALS,
        });
        let digest = Message::Digest {
            request,
            after,
            through,
            positions,
        };
        self.send(&peer, digest);
    }

    /// Sends a peer the missing entries of the logs in which it is behind.
    pub(super) fn repair(&mut self, now: Duration, peer: &str, behind: &[LogPosition]) {
        for position in behind {
            self.record_acknowledgement(peer, position);
            self.send_missing(now, peer, position, MAX_PACKETS_PER_REPLY);
        }
    }

    /// Continues the round after the reply to the pending digest. Other replies are ignored.
    pub(super) fn finish_sync(&mut self, now: Duration, from: &str, reply: ReplySummary) {
        let pending = &mut self.round.pending;
        let Some(digest) = pending.take_if(|pending| pending.request == reply.request) else {
            return;
        };
        let through = reply.through.or(digest.through);
        if !self.caught_up {
            self.track_catch_up(now, from, through, reply.ahead, reply.caught_up);
            return;
        }
        self.round.compared_through = through;
        if !reply.ahead.is_empty() {
            self.next_sync = now + self.config.gossip_interval;
        }
    }

    /// While catching up: completes the compared logs once a caught-up peer is no longer ahead of
    /// what the first such peer had.
    fn track_catch_up(
        &mut self,
        now: Duration,
        from: &str,
        through: Option<Origin>,
        ahead: Vec<LogPosition>,
        peer_caught_up: bool,
    ) {
        if peer_caught_up {
            self.round.peers_not_caught_up.clear();
        } else {
            self.round.peers_not_caught_up.insert(from.to_owned());
        }
        self.next_sync = now;
        let cold_start_peers = self.peers.len().min(COLD_START_PEERS);
        if !peer_caught_up && self.round.peers_not_caught_up.len() < cold_start_peers {
            return;
        }
        let is_covered = |origin: &Origin| through.as_ref().is_none_or(|through| origin <= through);
        self.update_required(&ahead, is_covered);
        if self.round.required.keys().any(is_covered) {
            // The entries are in transit.
            self.next_sync = now + self.config.gossip_interval;
            return;
        }
        self.caught_up = through.is_none();
        self.round.compared_through = through;
        self.round.satisfied.clear();
    }

    /// Adds the positions of logs in which a peer is ahead to the required ones, and moves reached
    /// origins to the satisfied ones.
    fn update_required(&mut self, ahead: &[LogPosition], is_covered: impl Fn(&Origin) -> bool) {
        let round = &mut self.round;
        for position in ahead {
            if !round.satisfied.contains(&position.origin) {
                round
                    .required
                    .entry(position.origin.clone())
                    .or_insert(position.contiguous_through);
            }
        }
        let logs = &self.logs;
        let is_reached = |origin: &Origin, through: u64| {
            let log = logs.get(origin);
            let has_entries = log.is_some_and(|log| log.contiguous_through() >= through);
            let peer_is_ahead = ahead.iter().any(|position| position.origin == *origin);
            has_entries || (is_covered(origin) && !peer_is_ahead)
        };
        let (reached, required): (BTreeMap<_, _>, _) = std::mem::take(&mut round.required)
            .into_iter()
            .partition(|(origin, through)| is_reached(origin, *through));
        round.satisfied.extend(reached.into_keys());
        round.required = required;
    }

    /// Records a peer's reported position in this replica's own log.
    fn record_acknowledgement(&mut self, from: &str, position: &LogPosition) {
        let is_own = position.origin == self.config.origin;
        if is_own && self.peers.iter().any(|name| name == from) {
            let through = self.acknowledged.entry(from.to_owned()).or_default();
            *through = position.contiguous_through.max(*through);
        }
    }

    /// Compares a peer's positions with this replica's, replies, and sends the entries the peer
    /// lacks.
    pub(super) fn reply_to_digest(
        &mut self,
        now: Duration,
        from: &str,
        request: u32,
        interval: &OriginInterval,
        positions: &[LogPosition],
    ) {
        let mut peer_positions: BTreeMap<&Origin, u64> = BTreeMap::new();
        for position in positions {
            self.record_acknowledgement(from, position);
            peer_positions.insert(&position.origin, position.contiguous_through);
        }
        let own_positions: BTreeMap<Origin, u64> = self
            .logs
            .iter()
            .filter(|(origin, _)| interval.contains(origin))
            .map(|(origin, log)| (origin.clone(), log.contiguous_through()))
            .collect();
        let ahead = positions_ahead(&own_positions, &peer_positions);
        let is_truncated = ahead.len() == MAX_POSITIONS;
        let last_origin = ahead.last().map(|position| position.origin.clone());
        let missing: Vec<LogPosition> = ahead
            .iter()
            .map(|position| LogPosition {
                origin: position.origin.clone(),
                contiguous_through: peer_positions.get(&position.origin).copied().unwrap_or(0),
            })
            .collect();
        let reply = Message::DigestReply {
            request,
            through: if is_truncated { last_origin } else { None },
            behind: positions_behind(&own_positions, &peer_positions),
            ahead,
            caught_up: self.caught_up,
        };
        // The reply goes first, because the entries may use up the budget.
        self.send(from, reply);
        let mut packets_left = MAX_PACKETS_PER_REPLY;
        for position in &missing {
            if packets_left == 0 {
                break;
            }
            packets_left -= self.send_missing(now, from, position, packets_left);
        }
    }

    /// Sends a peer entries of a log from its position on. Returns the number of packets sent.
    fn send_missing(
        &mut self,
        now: Duration,
        to: &str,
        position: &LogPosition,
        max_packets: usize,
    ) -> usize {
        let mut after = position.contiguous_through;
        let mut packets = 0;
        while packets < max_packets && self.budget.allows_repair() {
            let Some((range, entries)) = self.next_batch(now, &position.origin, after) else {
                break;
            };
            let message = Message::Entries {
                origin: position.origin.clone(),
                range: Some(range),
                entries,
            };
            self.send(to, message);
            after = range.through;
            packets += 1;
        }
        packets
    }

    /// Returns one packet's worth of entries after a sequence number, with the range for which they
    /// are complete. The range ends within the contiguous part.
    fn next_batch(
        &self,
        now: Duration,
        origin: &Origin,
        after: u64,
    ) -> Option<(SequenceRange, Vec<Entry>)> {
        let log = self.logs.get(origin)?;
        let contiguous_through = log.contiguous_through();
        if contiguous_through <= after {
            return None;
        }
        let mut entries = log.entries_from(now, after + 1, MAX_BATCH_BYTES);
        let has_more = entries.last().is_some_and(|last| {
            log.has_entry_in(SequenceRange {
                after: last.sequence,
                through: contiguous_through,
            })
        });
        entries.retain(|entry| entry.sequence <= contiguous_through);
        let through = match entries.last() {
            Some(last) if has_more => last.sequence,
            _ => contiguous_through,
        };
        Some((SequenceRange { after, through }, entries))
    }
}

/// Returns the first logs in which this replica is ahead of a peer, as many as fit into a reply.
fn positions_ahead(
    own_positions: &BTreeMap<Origin, u64>,
    peer_positions: &BTreeMap<&Origin, u64>,
) -> Vec<LogPosition> {
    own_positions
        .iter()
        .filter(|(origin, through)| peer_positions.get(origin).copied().unwrap_or(0) < **through)
        .take(MAX_POSITIONS)
        .map(|(origin, through)| LogPosition {
            origin: origin.clone(),
            contiguous_through: *through,
        })
        .collect()
}

/// Returns this replica's positions in logs in which it is behind a peer.
fn positions_behind(
    own_positions: &BTreeMap<Origin, u64>,
    peer_positions: &BTreeMap<&Origin, u64>,
) -> Vec<LogPosition> {
    let mut behind = Vec::new();
    for (origin, peer_position) in peer_positions {
        let own_position = own_positions.get(*origin).copied().unwrap_or(0);
        if own_position < *peer_position {
            behind.push(LogPosition {
                origin: (*origin).clone(),
                contiguous_through: own_position,
            });
        }
    }
    behind
}
