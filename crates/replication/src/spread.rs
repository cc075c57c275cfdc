//! Who is told what, and when. New entries go to a few others drawn anew each time, each of whom passes on once what is new to it;
//! beside that each compares its logs with one other at a time, some origins after the other, and what one of the two lacks is
//! sent. So what is lost on the way, or was said while one was cut off, stopped or not there, comes by the comparison.
//!
//! Bounds: packets by `bytes_per_s`, half of it left for new entries; entries of a log and logs by number. One that has just started compares
//! as often as it is answered, with another each time, until it has all that one that knows had when it was first asked: then it has caught up. Where 32 others, or all, say that they
//! have not caught up themselves, as where all start at once, there is nobody to wait for. Those
//! that come back all at once so ask many, each of whom gives no more than its own bound.

use crate::logs::{Log, MAX_TOTAL_ENTRIES};
use crate::words::{
    Entry, LogPosition, Message, Origin, Packet, Record, MAX_PACKET_BYTES, MAX_POSITIONS,
    MAX_TIME_TO_LIVE,
};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Logs that are known, at most: beyond, empty ones go first.
pub(crate) const MAX_LOGS: usize = 2048;
/// A log with nothing in it any more is known for so long after: whatever copy is still on its way is told by it.
const EMPTY_LOG_RETENTION: Duration = Duration::from_secs(120);
/// New entries that wait to be told, at most: beyond, they come by the comparison.
const MAX_GOSSIP_QUEUE: usize = 4096;
const MAX_OUTBOX: usize = 512;
/// Bytes of entries in one packet.
const MAX_BATCH_BYTES: usize = MAX_PACKET_BYTES - 80;
/// Where so many others have not caught up themselves nobody has: drawn by chance, of a fleet of which three in ten stayed, one in
/// 90,000 rounds would think so wrongly.
const COLD_START_QUORUM: usize = 32;
/// Packets of entries for one answer to a comparison.
const MAX_PACKETS_PER_REPLY: usize = 4;

#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    pub origin: Origin,
    /// New entries are told so often, and logs compared four times as seldom.
    pub gossip_interval: Duration,
    /// To so many others.
    pub gossip_fanout: usize,
    pub bytes_per_second: u32,
    pub seed: u64,
}

/// A round of comparisons, some logs after the other.
#[derive(Clone, Debug, Default)]
struct SyncRound {
    /// Compared up to here; none: at the beginning.
    compared_through: Option<Origin>,
    /// The comparison that is not answered yet, where it ends, and until when it is waited for.
    pending: Option<(u32, Option<Origin>, Duration)>,
    /// Of one that has not caught up: what those that know had when they were first asked for these logs, and of which it came.
    required: BTreeMap<Origin, u64>,
    satisfied: BTreeSet<Origin>,
    /// Others that said that they have not caught up, since one last said that it has.
    peers_not_caught_up: BTreeSet<String>,
}

#[derive(Clone)]
pub struct Replica {
    config: ReplicaConfig,
    logs: BTreeMap<Origin, Log>,
    /// Since when a log has had nothing in it.
    empty_since: BTreeMap<Origin, Duration>,
    peers: Vec<String>,
    gossip_queue: VecDeque<(Origin, u64)>,
    applied: VecDeque<(Origin, Entry)>,
    /// Up to where others have this one's own log, as far as they said.
    acknowledged: BTreeMap<String, u64>,
    round: SyncRound,
    caught_up: bool,
    last_request: u32,
    next_gossip: Duration,
    next_sync: Duration,
    budget: (f64, Duration),
    outbox: VecDeque<(String, Packet)>,
    rng: WyRand,
    bytes_sent: u64,
}

impl Replica {
    pub fn new(now: Duration, config: ReplicaConfig) -> Self {
        Self {
            logs: BTreeMap::from([(config.origin.clone(), Log::default())]),
            empty_since: BTreeMap::new(),
            peers: Vec::new(),
            gossip_queue: VecDeque::new(),
            applied: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            round: SyncRound::default(),
            caught_up: false,
            last_request: 0,
            next_gossip: now,
            next_sync: now,
            budget: (f64::from(config.bytes_per_second), now),
            outbox: VecDeque::new(),
            rng: WyRand::new_seed(config.seed),
            bytes_sent: 0,
            config,
        }
    }

    /// The others that are held to be there, by name, in any order.
    pub fn set_peers(&mut self, names: impl Iterator<Item = String>) {
        self.peers = names
            .filter(|name| *name != self.config.origin.name)
            .collect();
        self.acknowledged
            .retain(|name, _| self.peers.contains(name));
    }

    pub fn origin(&self) -> &Origin {
        &self.config.origin
    }

    /// All that others had when it started it has too, or none of them knows more.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    pub fn logs(&self) -> impl Iterator<Item = (&Origin, &Log)> {
        self.logs.iter()
    }

    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// How many others have this own entry, as far as they said.
    pub fn acknowledgement_count(&self, no: u64) -> usize {
        self.acknowledged
            .values()
            .filter(|upto| **upto >= no)
            .count()
    }

    /// Puts up a fact that lives for so long; its number.
    pub fn publish(&mut self, now: Duration, fact: &Record, life: Duration) -> u64 {
        let me = self.config.origin.clone();
        let log = self.logs.entry(me.clone()).or_default();
        let no = log.contiguous_through() + 1;
        let left = life.min(MAX_TIME_TO_LIVE).as_millis() as u32;
        log.insert(
            now,
            &Entry {
                sequence: no,
                time_to_live_ms: left,
                kind: fact.kind(),
                body: fact.encode(),
            },
        );
        self.enqueue_gossip(me, no);
        // A hit's mark is told with the next packet: it may be all that is left of this process.
        if matches!(fact, Record::Execution { .. }) {
            self.next_gossip = self.next_gossip.min(now);
        }
        no
    }

    fn enqueue_gossip(&mut self, origin: Origin, no: u64) {
        if self.gossip_queue.len() >= MAX_GOSSIP_QUEUE {
            self.gossip_queue.pop_front();
        }
        self.gossip_queue.push_back((origin, no));
    }

    /// What is new to this one, each entry once.
    pub fn take_applied(&mut self) -> Option<(Origin, Entry)> {
        self.applied.pop_front()
    }

    /// The next packet to send, and to whom by name.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop_front()
    }

    /// When `tick` is to be called at the latest.
    pub fn next_tick(&self) -> Duration {
        let answer = self.round.pending.as_ref().map(|(.., until)| *until);
        let round = answer.map_or(self.next_sync, |until| until.max(self.next_sync));
        self.next_gossip.min(round)
    }

    fn send(&mut self, to: &str, say: Message) {
        if self.outbox.len() < MAX_OUTBOX {
            let packet = Packet { message: say };
            let size = packet.encode().len();
            self.bytes_sent += size as u64;
            self.budget.0 -= size as f64;
            self.outbox.push_back((to.to_owned(), packet));
        }
    }

    fn refill_budget(&mut self, now: Duration) {
        let most = f64::from(self.config.bytes_per_second);
        let earned = most * now.saturating_sub(self.budget.1).as_secs_f64();
        self.budget = ((self.budget.0 + earned).min(most), now);
    }

    fn draw_peers(&mut self, many: usize, but: &str) -> Vec<String> {
        let mut drawn = Vec::new();
        let mut left: Vec<usize> = (0..self.peers.len())
            .filter(|n| self.peers[*n] != but)
            .collect();
        while drawn.len() < many && !left.is_empty() {
            let at = self.rng.generate_range(0..left.len());
            drawn.push(self.peers[left.swap_remove(at)].clone());
        }
        drawn
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.refill_budget(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            self.expire(now);
            self.gossip(now);
        }
        self.start_sync(now);
    }

    fn expire(&mut self, now: Duration) {
        let most = MAX_TOTAL_ENTRIES / self.logs.len().max(1);
        for (origin, log) in &mut self.logs {
            log.expire(now);
            log.evict_beyond(most);
            if log.live_entries() > 0 || *origin == self.config.origin {
                self.empty_since.remove(origin);
            } else {
                self.empty_since.entry(origin.clone()).or_insert(now);
            }
        }
        let over = self.logs.len() > MAX_LOGS;
        let gone: Vec<Origin> = self
            .empty_since
            .iter()
            .filter(|(_, since)| over || now >= **since + EMPTY_LOG_RETENTION)
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in gone {
            self.empty_since.remove(&origin);
            self.logs.remove(&origin);
        }
    }

    /// New entries, those of one origin together, to a few others.
    fn gossip(&mut self, now: Duration) {
        if self.peers.is_empty() {
            return;
        }
        let mut by_origin: BTreeMap<Origin, VecDeque<u64>> = BTreeMap::new();
        for (origin, no) in self.gossip_queue.drain(..) {
            by_origin.entry(origin).or_default().push_back(no);
        }
        for (origin, mut nos) in by_origin {
            while self.budget.0 > 0.0 && !nos.is_empty() {
                self.gossip_batch(now, &origin, &mut nos);
            }
            // What may not be sent now waits.
            self.gossip_queue
                .extend(nos.into_iter().map(|no| (origin.clone(), no)));
        }
    }

    /// One packet of them.
    fn gossip_batch(&mut self, now: Duration, origin: &Origin, nos: &mut VecDeque<u64>) {
        let (mut entries, mut size) = (Vec::new(), 0);
        while let Some(no) = nos.pop_front() {
            // What is over is not told any more.
            let Some(entry) = self.logs.get(origin).and_then(|log| log.get(now, no)) else {
                continue;
            };
            if size + entry.max_encoded_bytes() > MAX_BATCH_BYTES {
                nos.push_front(no);
                break;
            }
            size += entry.max_encoded_bytes();
            entries.push(entry);
        }
        if !entries.is_empty() {
            // Where there are few an origin tells all itself, and one more each is enough for what is lost.
            let (few, own) = (
                self.peers.len() <= self.config.gossip_fanout * 2,
                *origin == self.config.origin,
            );
            let fan = match (few, own) {
                (true, true) => self.peers.len(),
                (true, false) => 1,
                (false, _) => self.config.gossip_fanout,
            };
            for to in self.draw_peers(fan, &origin.name) {
                let (origin, entries) = (origin.clone(), entries.clone());
                self.send(
                    &to,
                    Message::Entries {
                        origin,
                        range: None,
                        entries,
                    },
                );
            }
        }
    }

    /// Compares the next few logs with another.
    fn start_sync(&mut self, now: Duration) {
        if self
            .round
            .pending
            .as_ref()
            .is_some_and(|(.., until)| now >= *until)
        {
            // Not answered: the same again, of another.
            self.round.pending = None;
        }
        if now < self.next_sync || self.round.pending.is_some() {
            return;
        }
        self.next_sync = now + self.config.gossip_interval * 4;
        let Some(to) = self.draw_peers(1, "").pop() else {
            // Nobody is there to ask.
            return;
        };
        let from = self.round.compared_through.clone();
        let beyond = |origin: &Origin| from.as_ref().is_none_or(|from| origin > from);
        let rows: Vec<LogPosition> = self
            .logs
            .iter()
            .filter(|(origin, _)| beyond(origin))
            .take(MAX_POSITIONS)
            .map(|(origin, log)| LogPosition {
                origin: origin.clone(),
                contiguous_through: log.contiguous_through(),
            })
            .collect();
        let last = rows.len() < MAX_POSITIONS;
        let end = rows.last().map(|row| row.origin.clone()).filter(|_| !last);
        self.last_request = self.last_request.wrapping_add(1);
        let no = self.last_request;
        self.round.pending = Some((no, end.clone(), now + self.config.gossip_interval * 8));
        self.send(
            &to,
            Message::Digest {
                request: no,
                after: from,
                through: end,
                positions: rows,
            },
        );
    }

    /// Takes a packet in, from the other of this name.
    pub fn receive(&mut self, now: Duration, from: &str, packet: Packet) {
        self.refill_budget(now);
        match packet.message {
            Message::Entries {
                origin,
                range: all,
                entries,
            } => self.apply_entries(now, &origin, all, &entries),
            Message::Digest {
                request: no,
                after: first,
                through: to,
                positions: rows,
            } => self.reply_to_digest(now, from, no, (first, to), &rows),
            Message::DigestReply {
                request: no,
                through: to,
                behind: rows,
                ahead,
                caught_up: knows,
            } => {
                for row in &rows {
                    self.record_acknowledgement(from, row);
                    self.send_missing(now, from, row, MAX_PACKETS_PER_REPLY);
                }
                if let Some((_, end, _)) = self.round.pending.take_if(|(asked, ..)| *asked == no) {
                    let end = to.or(end);
                    if self.caught_up {
                        self.round.compared_through = end;
                        if !ahead.is_empty() {
                            self.next_sync = now + self.config.gossip_interval;
                        }
                    } else {
                        self.track_catch_up(now, from, end, ahead, knows);
                    }
                }
            }
        }
    }

    /// These logs are done with once one that knows is not ahead any more in what such a one had first.
    fn track_catch_up(
        &mut self,
        now: Duration,
        from: &str,
        end: Option<Origin>,
        ahead: Vec<LogPosition>,
        knows: bool,
    ) {
        let round = &mut self.round;
        if knows {
            round.peers_not_caught_up.clear();
        } else {
            round.peers_not_caught_up.insert(from.to_owned());
        }
        self.next_sync = now;
        if !knows && round.peers_not_caught_up.len() < self.peers.len().min(COLD_START_QUORUM) {
            return;
        }
        for row in ahead
            .iter()
            .filter(|row| !round.satisfied.contains(&row.origin))
        {
            round
                .required
                .entry(row.origin.clone())
                .or_insert(row.contiguous_through);
        }
        let covers = |origin: &Origin| end.as_ref().is_none_or(|end| origin <= end);
        let logs = &self.logs;
        let has = |origin: &Origin, upto: u64| {
            let known = logs
                .get(origin)
                .is_some_and(|log| log.contiguous_through() >= upto);
            known || (covers(origin) && ahead.iter().all(|row| row.origin != *origin))
        };
        let (came, wanted): (BTreeMap<_, _>, _) = std::mem::take(&mut round.required)
            .into_iter()
            .partition(|(origin, upto)| has(origin, *upto));
        round.satisfied.extend(came.into_keys());
        round.required = wanted;
        if round.required.keys().any(covers) {
            // It is on its way.
            self.next_sync = now + self.config.gossip_interval;
            return;
        }
        self.caught_up = end.is_none();
        round.compared_through = end;
        round.satisfied.clear();
    }

    /// What another said about how far it is.
    fn record_acknowledgement(&mut self, from: &str, row: &LogPosition) {
        if row.origin == self.config.origin && self.peers.iter().any(|name| name == from) {
            let upto = self.acknowledged.entry(from.to_owned()).or_default();
            *upto = row.contiguous_through.max(*upto);
        }
    }

    fn apply_entries(
        &mut self,
        now: Duration,
        origin: &Origin,
        all: Option<(u64, u64)>,
        entries: &[Entry],
    ) {
        // Nobody tells this one what it said itself in this life.
        if *origin == self.config.origin
            || (self.logs.len() >= MAX_LOGS && !self.logs.contains_key(origin))
        {
            return;
        }
        let most = (MAX_TOTAL_ENTRIES / (self.logs.len() + 1)).max(1);
        let log = self.logs.entry(origin.clone()).or_default();
        let fresh = match all {
            Some(range) => log.insert_range(now, range, entries),
            None => entries
                .iter()
                .filter(|entry| log.insert(now, entry))
                .cloned()
                .collect(),
        };
        log.evict_beyond(most);
        for entry in fresh {
            self.enqueue_gossip(origin.clone(), entry.sequence);
            self.applied.push_back((origin.clone(), entry));
        }
    }

    fn reply_to_digest(
        &mut self,
        now: Duration,
        from: &str,
        no: u32,
        (first, last): (Option<Origin>, Option<Origin>),
        rows: &[LogPosition],
    ) {
        let mut theirs: BTreeMap<&Origin, u64> = BTreeMap::new();
        for row in rows {
            self.record_acknowledgement(from, row);
            theirs.insert(&row.origin, row.contiguous_through);
        }
        let within = |origin: &Origin| {
            first.as_ref().is_none_or(|first| origin > first)
                && last.as_ref().is_none_or(|last| origin <= last)
        };
        let mine: BTreeMap<Origin, u64> = self
            .logs
            .iter()
            .filter(|(origin, _)| within(origin))
            .map(|(origin, log)| (origin.clone(), log.contiguous_through()))
            .collect();
        let behind = |(origin, upto): (&Origin, &u64)| {
            let mine = mine.get(origin).copied().unwrap_or(0);
            (mine < *upto).then(|| LogPosition {
                origin: (*origin).clone(),
                contiguous_through: mine,
            })
        };
        let lacks: Vec<LogPosition> = theirs
            .iter()
            .map(|(origin, upto)| (*origin, upto))
            .filter_map(behind)
            .collect();
        let mut ahead: Vec<LogPosition> = Vec::new();
        let mut to = None;
        for (origin, upto) in &mine {
            if theirs.get(origin).copied().unwrap_or(0) < *upto {
                ahead.push(LogPosition {
                    origin: origin.clone(),
                    contiguous_through: *upto,
                });
            }
            if ahead.len() == MAX_POSITIONS {
                to = Some(origin.clone());
                break;
            }
        }
        // The answer first: entries beside it may use up what may be sent.
        let behind_in: Vec<LogPosition> = ahead
            .iter()
            .map(|row| LogPosition {
                contiguous_through: theirs.get(&row.origin).copied().unwrap_or(0),
                ..row.clone()
            })
            .collect();
        self.send(
            from,
            Message::DigestReply {
                request: no,
                through: to,
                behind: lacks,
                ahead,
                caught_up: self.caught_up,
            },
        );
        let mut room = MAX_PACKETS_PER_REPLY;
        for row in &behind_in {
            if room == 0 {
                break;
            }
            room -= self.send_missing(now, from, row, room);
        }
    }

    /// What one lacks of a log, from where its copy is whole; how many packets that took.
    fn send_missing(&mut self, now: Duration, to: &str, row: &LogPosition, room: usize) -> usize {
        let (mut after, mut packets) = (row.contiguous_through, 0);
        // Half of what may be sent is left for new entries, whoever comes back.
        while packets < room && self.budget.0 > f64::from(self.config.bytes_per_second) / 2.0 {
            // Only as far as this copy is whole itself.
            let Some(log) = self
                .logs
                .get(&row.origin)
                .filter(|log| log.contiguous_through() > after)
            else {
                break;
            };
            let whole = log.contiguous_through();
            let mut entries = log.entries_from(now, after + 1, MAX_BATCH_BYTES);
            let more = entries
                .last()
                .is_some_and(|last| log.has_entry_between(last.sequence, whole));
            entries.retain(|entry| entry.sequence <= whole);
            let upto = entries
                .last()
                .filter(|_| more)
                .map_or(whole, |last| last.sequence);
            self.send(
                to,
                Message::Entries {
                    origin: row.origin.clone(),
                    range: Some((after, upto)),
                    entries,
                },
            );
            (after, packets) = (upto, packets + 1);
        }
        packets
    }
}
