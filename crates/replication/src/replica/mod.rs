//! One sidecar's replica of the logs of all origins.
//!
//! New entries are gossiped to a few random peers, each of which passes on once what is new to it (`dissemination`). Beside that
//! the replica compares its logs with one peer at a time, and each of the two sends what the other lacks (`anti_entropy`): this
//! delivers what was lost, or published while a sidecar was partitioned, stopped or not running. See Demers et al., "Epidemic
//! Algorithms for Replicated Database Maintenance", PODC 1987, for rumor mongering backed by anti-entropy.
//!
//! Traffic is bounded by [`ReplicaConfig::bytes_per_second`], of which half is reserved for new entries; memory by the numbers of
//! logs and of entries.

mod anti_entropy;
mod dissemination;

use crate::log::{Log, MAX_TOTAL_ENTRIES};
use crate::message::{Entry, Message, Origin, Packet, MAX_PACKET_BYTES, MAX_TIME_TO_LIVE};
use crate::record::Record;
use crate::send_budget::SendBudget;
use anti_entropy::SyncRound;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Logs that are stored at most, to bound memory: beyond, no logs of new origins are accepted, and empty ones are removed first.
pub(crate) const MAX_LOGS: usize = 2048;
/// An empty log is remembered for this long, so that entries that are still on their way are recognized as known.
const EMPTY_LOG_RETENTION: Duration = Duration::from_secs(120);
/// Packets that wait to be sent at most: beyond, packets are dropped.
const MAX_OUTBOX: usize = 512;
/// Bytes of entries in one packet: the rest is for the packet's own fields and the origin.
const MAX_BATCH_BYTES: usize = MAX_PACKET_BYTES - 80;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This process.
    pub origin: Origin,
    /// How often new entries are gossiped; logs are compared at a quarter of this rate.
    pub gossip_interval: Duration,
    /// Number of peers that a new entry is sent to.
    pub gossip_fanout: usize,
    /// Bound of the bytes sent per second.
    pub bytes_per_second: u32,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

/// The local replica of all origins' logs.
#[derive(Clone)]
pub struct Replica {
    config: ReplicaConfig,
    logs: BTreeMap<Origin, Log>,
    /// Since when logs have been empty.
    empty_since: BTreeMap<Origin, Duration>,
    /// Names of the other sidecars.
    peers: Vec<String>,
    /// New entries to be gossiped.
    gossip_queue: VecDeque<(Origin, u64)>,
    /// New entries of other origins that the host has not taken out yet.
    applied: VecDeque<(Origin, Entry)>,
    /// By peer: through which sequence number it has reported to have the own log.
    acknowledged: BTreeMap<String, u64>,
    round: SyncRound,
    caught_up: bool,
    last_request: u32,
    next_gossip: Duration,
    next_sync: Duration,
    budget: SendBudget,
    outbox: VecDeque<(String, Packet)>,
    rng: WyRand,
    bytes_sent: u64,
}

impl Replica {
    /// A replica with an empty log of its own, and no peers.
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
            budget: SendBudget::new(now, config.bytes_per_second),
            outbox: VecDeque::new(),
            rng: WyRand::new_seed(config.seed),
            bytes_sent: 0,
            config,
        }
    }

    /// Sets the names of the sidecars that are believed to be running; the own one is ignored.
    pub fn set_peers(&mut self, names: impl Iterator<Item = String>) {
        self.peers = names
            .filter(|name| *name != self.config.origin.name)
            .collect();
        self.acknowledged
            .retain(|name, _| self.peers.contains(name));
    }

    /// This process.
    pub fn origin(&self) -> &Origin {
        &self.config.origin
    }

    /// Whether the replica has all that its peers had when it started, or none of them has caught up either.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// The logs of all origins, the own one included.
    pub fn logs(&self) -> impl Iterator<Item = (&Origin, &Log)> {
        self.logs.iter()
    }

    /// Bytes of all packets so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// How many peers have reported to have an entry of the own log.
    pub fn acknowledgement_count(&self, sequence: u64) -> usize {
        self.acknowledged
            .values()
            .filter(|through| **through >= sequence)
            .count()
    }

    /// Publishes a record and returns its sequence number.
    pub fn publish(&mut self, now: Duration, record: &Record, time_to_live: Duration) -> u64 {
        let origin = self.config.origin.clone();
        let log = self.logs.entry(origin.clone()).or_default();
        let sequence = log.contiguous_through() + 1;
        let entry = Entry {
            sequence,
            time_to_live_ms: time_to_live.min(MAX_TIME_TO_LIVE).as_millis() as u32,
            kind: record.kind(),
            body: record.encode(),
        };
        log.insert(now, &entry);
        self.enqueue_gossip(origin, sequence);
        // An execution is gossiped at once, because it has to outlive this process.
        if matches!(record, Record::Execution { .. }) {
            self.next_gossip = self.next_gossip.min(now);
        }
        sequence
    }

    /// The next new entry of another origin; each entry comes once.
    pub fn take_applied(&mut self) -> Option<(Origin, Entry)> {
        self.applied.pop_front()
    }

    /// The next packet to send, with the name of the peer to send it to.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop_front()
    }

    /// When [`tick`](Self::tick) has to be called next.
    pub fn next_tick(&self) -> Duration {
        self.next_gossip.min(self.next_sync_deadline())
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Duration) {
        self.budget.refill(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            self.expire(now);
            self.gossip(now);
        }
        self.start_sync(now);
    }

    /// Handles a packet from the peer of this name.
    pub fn receive(&mut self, now: Duration, from: &str, packet: Packet) {
        self.budget.refill(now);
        match packet.message {
            Message::Entries {
                origin,
                range,
                entries,
            } => self.apply_entries(now, &origin, range, &entries),
            Message::Digest {
                request,
                after,
                through,
                positions,
            } => {
                let interval = anti_entropy::OriginInterval { after, through };
                self.reply_to_digest(now, from, request, &interval, &positions);
            }
            Message::DigestReply {
                request,
                through,
                behind,
                ahead,
                caught_up,
            } => {
                self.repair(now, from, &behind);
                let reply = anti_entropy::ReplySummary {
                    request,
                    through,
                    ahead,
                    caught_up,
                };
                self.finish_sync(now, from, reply);
            }
        }
    }

    fn send(&mut self, to: &str, message: Message) {
        if self.outbox.len() >= MAX_OUTBOX {
            return;
        }
        let packet = Packet { message };
        let bytes = packet.encode().len();
        self.bytes_sent += bytes as u64;
        self.budget.spend(bytes);
        self.outbox.push_back((to.to_owned(), packet));
    }

    /// Draws at most `count` different peers, none of the name `except`.
    fn draw_peers(&mut self, count: usize, except: &str) -> Vec<String> {
        let mut drawn = Vec::new();
        let mut candidates: Vec<usize> = (0..self.peers.len())
            .filter(|index| self.peers[*index] != except)
            .collect();
        while drawn.len() < count && !candidates.is_empty() {
            let position = self.rng.generate_range(0..candidates.len());
            let index = candidates.swap_remove(position);
            drawn.push(self.peers[index].clone());
        }
        drawn
    }

    /// Removes expired entries, and logs that have been empty for long.
    fn expire(&mut self, now: Duration) {
        let entries_per_log = MAX_TOTAL_ENTRIES / self.logs.len().max(1);
        for (origin, log) in &mut self.logs {
            log.expire(now);
            log.evict_beyond(entries_per_log);
            if log.live_entries() > 0 || *origin == self.config.origin {
                self.empty_since.remove(origin);
            } else {
                self.empty_since.entry(origin.clone()).or_insert(now);
            }
        }
        let too_many = self.logs.len() > MAX_LOGS;
        let removable: Vec<Origin> = self
            .empty_since
            .iter()
            .filter(|(_, since)| too_many || now >= **since + EMPTY_LOG_RETENTION)
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in removable {
            self.empty_since.remove(&origin);
            self.logs.remove(&origin);
        }
    }
}
