//! One sidecar's replica of the logs of all origins.
//!
//! New entries are gossiped to a few random peers, each of which relays an entry once, when it is
//! new to it (`dissemination`). In addition the replica compares its logs with one peer at a time,
//! and each of the two sends what the other lacks (`anti_entropy`). This delivers entries that were
//! lost, or were published while a sidecar was partitioned, stopped or not running. See Demers et
//! al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987, on rumor mongering
//! backed by anti-entropy.
//!
//! Traffic is bounded by [`ReplicaConfig::bytes_per_second`], half of which is reserved for new
//! entries. Memory is bounded by the number of logs and of entries.

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

/// Maximum number of stored logs, which bounds memory. Beyond it logs of new origins are not
/// accepted, and empty logs are removed first.
pub(crate) const MAX_LOGS: usize = 2048;
/// How long an empty log is remembered, so that entries still in transit are recognized as known.
const EMPTY_LOG_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of packets waiting to be sent. Beyond it packets are dropped.
const MAX_OUTBOX: usize = 512;
/// Maximum bytes of entries in one packet; the rest is for the packet's own fields and the origin.
const MAX_BATCH_BYTES: usize = MAX_PACKET_BYTES - 80;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Origin of this process.
    pub origin: Origin,
    /// Interval at which new entries are gossiped. Logs are compared at a quarter of this rate.
    pub gossip_interval: Duration,
    /// Number of peers to which a new entry is sent.
    pub gossip_fanout: usize,
    /// Maximum number of bytes sent per second.
    pub bytes_per_second: u32,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

/// Local replica of the logs of all origins.
#[derive(Clone)]
pub struct Replica {
    config: ReplicaConfig,
    logs: BTreeMap<Origin, Log>,
    /// Time since which a log has been empty.
    empty_since: BTreeMap<Origin, Duration>,
    /// Names of the other sidecars.
    peers: Vec<String>,
    /// New entries to gossip.
    gossip_queue: VecDeque<(Origin, u64)>,
    /// New entries of other origins that the host has not taken yet.
    applied: VecDeque<(Origin, Entry)>,
    /// The position in this replica's own log that each peer has reported.
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
    /// Creates a replica with an empty log of its own and no peers.
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

    /// Sets the names of the sidecars that are believed to be running; this one's own name is
    /// ignored.
    pub fn set_peers(&mut self, names: impl Iterator<Item = String>) {
        self.peers = names
            .filter(|name| *name != self.config.origin.name)
            .collect();
        self.acknowledged
            .retain(|name, _| self.peers.contains(name));
    }

    /// Returns the origin of this process.
    pub fn origin(&self) -> &Origin {
        &self.config.origin
    }

    /// Returns whether the replica has everything that its peers had when it started, or no peer
    /// has caught up either.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the logs of all origins, including its own.
    pub fn logs(&self) -> impl Iterator<Item = (&Origin, &Log)> {
        self.logs.iter()
    }

    /// Returns the total size of all packets sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Returns the number of peers that have reported having an entry of this replica's own log.
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
        // An execution has to survive this process, so it is gossiped at once.
        if matches!(record, Record::Execution { .. }) {
            self.next_gossip = self.next_gossip.min(now);
        }
        sequence
    }

    /// Takes the next new entry of another origin. Each entry is returned once.
    pub fn take_applied(&mut self) -> Option<(Origin, Entry)> {
        self.applied.pop_front()
    }

    /// Takes the next packet to send, with the name of the receiving peer.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop_front()
    }

    /// Returns when [`tick`](Self::tick) has to be called next.
    pub fn next_tick(&self) -> Duration {
        self.next_gossip.min(self.next_sync_deadline())
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.budget.refill(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            self.expire(now);
            self.gossip(now);
        }
        self.start_sync(now);
    }

    /// Handles a packet from the peer `from`.
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

    /// Draws at most `count` distinct peers, excluding the name `except`.
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

    /// Removes expired entries, and empty logs after `EMPTY_LOG_RETENTION` or at once above
    /// `MAX_LOGS`.
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
