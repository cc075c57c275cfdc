//! Probes, suspicions and refutations: who asks whom when, and what an answer or none is held to mean.

use crate::gossip::{status_update_size, Broadcast, BroadcastQueue};
use crate::roll::{Member, MemberTable, UpdateEffect};
use crate::seal::{DatagramError, DatagramSealer, Key};
use crate::words::{
    MemberName, MemberStatus, Message, Packet, PublishedState, StatusUpdate, MAX_DIRECT_BYTES,
    MAX_PUBLISHED_BYTES,
};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Members that are asked to probe in one's stead.
const INDIRECT_PROBES: usize = 3;
/// Members that are told what is new, beside the one that is probed.
const GOSSIP_FANOUT: usize = 2;
/// How often a claim rides, times the logarithm of the members: all but surely all hear it.
const RETRANSMIT_MULTIPLIER: f64 = 4.0;
/// A suspect has so many periods, times the logarithm of the members, to clear itself when several accuse it, and
/// `LONGEST` times that when one alone does.
const SUSPICION_MULTIPLIER: f64 = 4.0;
const SUSPICION_MAX_MULTIPLIER: f64 = 6.0;
const SUSPICION_CONFIRMATIONS: f64 = 3.0;
/// A member that is slow itself waits up to so many times longer for others.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Periods between two tries to reach who is not here: the dead, and the addresses to join by.
const RECONNECT_PERIODS: u32 = 10;
/// Periods between two exchanges of a part of the roll, and members in that part.
const SYNC_PERIODS: u32 = 20;
const SYNC_MEMBERS: usize = 16;
/// Members told at a leave.
const LEAVE_FANOUT: usize = 5;
/// Probes in others' stead that are under way, and datagrams that wait to be taken, at most.
const MAX_RELAYED_PROBES: usize = 256;
const MAX_QUEUED: usize = 1024;

/// What a member goes by.
#[derive(Clone)]
pub struct Config {
    pub name: MemberName,
    /// When this process started, in Unix time in milliseconds, and what the caller's clock showed then.
    pub started_at_ms: u64,
    pub started_at: Duration,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where some others may be reached.
    pub seed_addresses: Vec<SocketAddr>,
    pub keys: Vec<Key>,
    /// Between two probes.
    pub probe_interval: Duration,
    pub bytes_per_second: u32,
    pub seed: u64,
}

/// Terms that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    #[error("no key, expected one or two")]
    NoKey,
    #[error("key {0} has {1} bytes, expected 16 or more")]
    ShortKey(u8, usize),
    #[error("two keys have the number {0}")]
    DuplicateKeyId(u8),
    #[error("more than two keys")]
    TooManyKeys,
    #[error("a period of {0:?}, expected 10 ms to 60 s")]
    ProbeInterval(Duration),
    #[error("{0} bytes a second, expected 2000 or more")]
    ByteRate(u32),
}

/// What changed of who is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// It is here, under a new name or with a new start, or is back.
    Up(MemberName),
    Suspected(MemberName),
    Down(MemberName),
    /// It left of its own will.
    Left(MemberName),
    /// Another process has this member's name and started later: this one says nothing any more.
    Superseded,
}

struct PendingProbe {
    number: u32,
    target: MemberName,
    /// When others are asked in our stead, and when it is over.
    indirect_at: Duration,
    deadline: Duration,
    helpers: u32,
    nacks: u32,
}

struct RelayedProbe {
    origin_number: u32,
    origin: SocketAddr,
    deadline: Duration,
}

pub struct Membership {
    config: Config,
    local: StatusUpdate,
    table: MemberTable,
    update_queue: BroadcastQueue<StatusUpdate>,
    /// What members have put up, each with the time at which it was heard, and what of it still rides.
    published: BTreeMap<MemberName, (PublishedState, Duration)>,
    published_queue: BroadcastQueue<PublishedState>,
    sealer: DatagramSealer,
    rng: WyRand,
    probe: Option<PendingProbe>,
    probe_order: Vec<MemberName>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    last_probe_number: u32,
    next_probe: Duration,
    next_reconnect: Duration,
    next_sync: Duration,
    /// How slow this member itself is: answers that came late, and accusations.
    local_health: u32,
    /// Bytes that may be sent now, and when that was so.
    budget: (f64, Duration),
    stopped: bool,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<MembershipEvent>,
    direct_messages: VecDeque<(MemberName, Vec<u8>)>,
    bytes_sent: u64,
    rejected: BTreeMap<DatagramError, u64>,
}

impl Membership {
    /// # Errors
    /// What of the terms can't be used.
    pub fn new(now: Duration, terms: Config) -> Result<Self, ConfigError> {
        check_keys(&terms.keys)?;
        let period = terms.probe_interval;
        if !(Duration::from_millis(10)..=Duration::from_secs(60)).contains(&period) {
            return Err(ConfigError::ProbeInterval(period));
        }
        if terms.bytes_per_second < 2000 {
            return Err(ConfigError::ByteRate(terms.bytes_per_second));
        }
        let mut chance = WyRand::new_seed(terms.seed);
        let me = StatusUpdate {
            name: terms.name.clone(),
            started_at_ms: terms.started_at_ms,
            incarnation: 0,
            status: MemberStatus::Alive,
            address: terms.address,
        };
        // A fleet that starts at once does not probe at once.
        let first = period.mul_f64(random_fraction(&mut chance));
        Ok(Self {
            sealer: DatagramSealer::new(terms.keys.clone()),
            budget: (f64::from(terms.bytes_per_second), now),
            local: me,
            table: MemberTable::default(),
            update_queue: BroadcastQueue::default(),
            published: BTreeMap::new(),
            published_queue: BroadcastQueue::default(),
            probe: None,
            probe_order: Vec::new(),
            relayed_probes: BTreeMap::new(),
            last_probe_number: 0,
            next_probe: now + first,
            next_reconnect: now,
            next_sync: now + period * SYNC_PERIODS + first,
            local_health: 0,
            stopped: false,
            datagrams: VecDeque::new(),
            events: VecDeque::new(),
            direct_messages: VecDeque::new(),
            bytes_sent: 0,
            rejected: BTreeMap::new(),
            rng: chance,
            config: terms,
        })
    }

    /// Who is here beside this one, the suspects among them.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.table.active()
    }

    /// All that are held, the dead among them.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    pub fn local_member(&self) -> &StatusUpdate {
        &self.local
    }

    /// Puts something up for all members to read, in the place of what was there; false if it is too long.
    pub fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        let fits = bytes.len() <= MAX_PUBLISHED_BYTES;
        if fits {
            let no = self
                .published
                .get(&self.local.name)
                .map_or(0, |(old, _)| old.version.wrapping_add(1));
            let poster = PublishedState {
                name: self.local.name.clone(),
                started_at_ms: self.local.started_at_ms,
                version: no,
                bytes,
            };
            self.published_queue.enqueue(poster.clone());
            self.published
                .insert(self.local.name.clone(), (poster, now));
        }
        fits
    }

    /// What another member that is here has put up, and when it was heard.
    pub fn published_by(&self, name: &MemberName) -> Option<(&[u8], Duration)> {
        let (poster, at) = self.published.get(name)?;
        let here = |member: &&Member| {
            member.is_active() && member.update.started_at_ms == poster.started_at_ms
        };
        self.table
            .get(name)
            .filter(here)
            .map(|_| (poster.bytes.as_slice(), *at))
    }

    /// Only of members that are here: so there are no more of them.
    fn apply_published(&mut self, now: Duration, poster: PublishedState) {
        let here = |member: &&Member| {
            member.is_active() && member.update.started_at_ms == poster.started_at_ms
        };
        let known =
            poster.name != self.local.name && self.table.get(&poster.name).filter(here).is_some();
        let old = self
            .published
            .get(&poster.name)
            .map(|(old, _)| (old.started_at_ms, old.version));
        if known
            && poster.bytes.len() <= MAX_PUBLISHED_BYTES
            && old < Some((poster.started_at_ms, poster.version))
        {
            self.published_queue.enqueue(poster.clone());
            self.published.insert(poster.name.clone(), (poster, now));
        }
    }

    /// Sends another something, whatever it is held to be: who is cut off here may be reached there. False if it is not
    /// known, or too long. It does not count against the budget of claims: whoever stands above bounds it.
    pub fn send_direct(&mut self, now: Duration, to: &MemberName, bytes: Vec<u8>) -> bool {
        let Some(at) = self.table.get(to).map(|member| member.update.address) else {
            return false;
        };
        let fits = bytes.len() <= MAX_DIRECT_BYTES;
        if fits {
            let budget = self.budget;
            self.send_packet(now, at, Message::Direct { bytes }, Vec::new(), Vec::new());
            self.budget = budget;
        }
        fits
    }

    /// The next parcel that came, and from whom.
    pub fn take_direct_message(&mut self) -> Option<(MemberName, Vec<u8>)> {
        self.direct_messages.pop_front()
    }

    /// 0 to 8: how much longer it waits for others, for being slow itself.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Datagrams that were refused, by cause.
    pub fn rejected_datagrams(&self) -> &BTreeMap<DatagramError, u64> {
        &self.rejected
    }

    /// # Errors
    /// Keys that can't be used; the old ones stay.
    pub fn replace_keys(&mut self, keys: Vec<Key>) -> Result<(), ConfigError> {
        check_keys(&keys)?;
        self.sealer.replace_keys(keys);
        Ok(())
    }

    /// The next datagram to send.
    pub fn take_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    pub fn take_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// When `tick` is to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let probe = self.probe.as_ref().map(|p| {
            if p.helpers == 0 {
                p.indirect_at
            } else {
                p.deadline
            }
        });
        let suspects = self
            .table
            .suspects()
            .map(|m| m.status_since + self.suspicion_timeout(m));
        let steads = self.relayed_probes.values().map(|stead| stead.deadline);
        let own = [
            probe.unwrap_or(self.next_probe),
            self.next_reconnect,
            self.next_sync,
        ];
        own.into_iter()
            .chain(suspects)
            .chain(steads)
            .min()
            .unwrap_or(self.next_probe)
    }

    fn unix_time_ms(&self, now: Duration) -> u64 {
        self.config.started_at_ms + now.saturating_sub(self.config.started_at).as_millis() as u64
    }

    fn group_size(&self) -> usize {
        self.table.active_count() + 1
    }

    /// How long a suspect has to clear itself: the longer, the fewer accuse it.
    fn suspicion_timeout(&self, suspect: &Member) -> Duration {
        let members = self.group_size() as f64;
        let least = SUSPICION_MULTIPLIER * members.max(10.0).log10();
        let needed = SUSPICION_CONFIRMATIONS.min(members - 2.0);
        let others = suspect.suspected_by.len().saturating_sub(1) as f64;
        let part = if needed < 1.0 {
            1.0
        } else {
            ((others + 1.0).ln() / (needed + 1.0).ln()).min(1.0)
        };
        self.config
            .probe_interval
            .mul_f64(least * (SUSPICION_MAX_MULTIPLIER - (SUSPICION_MAX_MULTIPLIER - 1.0) * part))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_deadline());
        if late > self.config.probe_interval {
            // This process stood still: nobody is to blame for what was not heard meanwhile.
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            self.table.postpone_suspicions(late);
            if let Some(probe) = &mut self.probe {
                (probe.indirect_at, probe.deadline) =
                    (probe.indirect_at + late, probe.deadline + late);
            }
        }
        if self.stopped {
            self.stop(now);
            return;
        }
        self.expire_relayed_probes(now);
        self.continue_probe(now);
        self.expire_suspicions(now);
        if self.probe.is_none() && now >= self.next_probe {
            self.start_probe(now);
        }
        if now >= self.next_reconnect {
            self.reconnect(now);
        }
        if now >= self.next_sync {
            self.next_sync = now + self.config.probe_interval * SYNC_PERIODS;
            self.sync(now);
            self.table.remove_expired(now);
            let (roll, me) = (&self.table, &self.local.name);
            self.published
                .retain(|name, _| name == me || roll.get(name).is_some_and(Member::is_active));
        }
    }

    /// Nothing is due any more.
    fn stop(&mut self, now: Duration) {
        let later = now + Duration::from_secs(3600);
        (
            self.next_probe,
            self.next_reconnect,
            self.next_sync,
            self.probe,
        ) = (later, later, later, None);
        self.relayed_probes.clear();
        let suspects: Vec<StatusUpdate> = self.suspects();
        for claim in suspects {
            let me = self.local.name.clone();
            self.table.apply(
                StatusUpdate {
                    status: MemberStatus::Dead,
                    ..claim
                },
                &me,
                now,
            );
        }
    }

    fn suspects(&self) -> Vec<StatusUpdate> {
        self.table
            .suspects()
            .map(|member| member.update.clone())
            .collect()
    }

    fn expire_relayed_probes(&mut self, now: Duration) {
        let over = |stead: &RelayedProbe| now >= stead.deadline;
        let late: Vec<u32> = self
            .relayed_probes
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(no, _)| *no)
            .collect();
        for stead in late
            .into_iter()
            .filter_map(|no| self.relayed_probes.remove(&no))
            .collect::<Vec<_>>()
        {
            self.send(
                now,
                stead.origin,
                Message::Nack {
                    number: stead.origin_number,
                },
                None,
            );
        }
    }

    fn start_probe(&mut self, now: Duration) {
        let longer = self.config.probe_interval * (1 + self.local_health);
        self.next_probe = now + longer;
        let Some(whom) = self.next_probe_target() else {
            return;
        };
        let Some(at) = self.table.get(&whom).map(|member| member.update.address) else {
            return;
        };
        let no = self.next_probe_number();
        self.send(
            now,
            at,
            Message::Probe {
                number: no,
                target: whom.clone(),
            },
            Some(&whom),
        );
        let (stead_at, until) = (now + longer / 2, now + longer);
        self.probe = Some(PendingProbe {
            number: no,
            target: whom,
            indirect_at: stead_at,
            deadline: until,
            helpers: 0,
            nacks: 0,
        });
        if self.update_queue.len() + self.published_queue.len() > 0 {
            for at in self.random_members(GOSSIP_FANOUT, None) {
                self.send(now, at, Message::Gossip, None);
            }
        }
    }

    /// Each member in turn, in an order drawn anew each time round: none waits longer than two rounds.
    fn next_probe_target(&mut self) -> Option<MemberName> {
        loop {
            while let Some(name) = self.probe_order.pop() {
                if self.table.get(&name).is_some_and(Member::is_active) {
                    return Some(name);
                }
            }
            let mut ring: Vec<MemberName> = self
                .active_members()
                .map(|member| member.update.name.clone())
                .collect();
            if ring.is_empty() {
                return None;
            }
            self.rng.shuffle(&mut ring);
            self.probe_order = ring;
        }
    }

    fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Addresses of some members that are here, drawn.
    fn random_members(&mut self, most: usize, but: Option<&MemberName>) -> Vec<SocketAddr> {
        let here = self
            .active_members()
            .filter(|member| Some(&member.update.name) != but);
        let mut here: Vec<SocketAddr> = here.map(|member| member.update.address).collect();
        let most = most.min(here.len());
        for place in 0..most {
            let other = self.rng.generate_range(place..here.len());
            here.swap(place, other);
        }
        here.truncate(most);
        here
    }

    fn continue_probe(&mut self, now: Duration) {
        let Some(probe) = &self.probe else { return };
        let (no, whom) = (probe.number, probe.target.clone());
        if now >= probe.deadline {
            let missed = probe.helpers.saturating_sub(probe.nacks);
            // Of those that were asked to say at least that it is silent, some said nothing: it may be us.
            self.local_health = (self.local_health + missed).min(MAX_LOCAL_HEALTH);
            self.probe = None;
            if let Some(member) = self
                .table
                .get(&whom)
                .filter(|m| m.update.status == MemberStatus::Alive)
            {
                let claim = StatusUpdate {
                    status: MemberStatus::Suspect,
                    ..member.update.clone()
                };
                let at = claim.address;
                self.apply_update(now, claim, &self.local.name.clone());
                // It hears of it first, and its answer clears it.
                let no = self.next_probe_number();
                self.send(
                    now,
                    at,
                    Message::Probe {
                        number: no,
                        target: whom.clone(),
                    },
                    Some(&whom),
                );
            }
        } else if now >= probe.indirect_at && probe.helpers == 0 {
            let Some(at) = self.table.get(&whom).map(|member| member.update.address) else {
                return;
            };
            let steads = self.random_members(INDIRECT_PROBES, Some(&whom));
            if let Some(probe) = &mut self.probe {
                // With nobody to ask, the rest of the time is the member's own.
                probe.helpers = steads.len() as u32;
                probe.indirect_at = probe.deadline;
            }
            for stead in steads {
                self.send(
                    now,
                    stead,
                    Message::IndirectProbe {
                        number: no,
                        target: whom.clone(),
                        address: at,
                    },
                    None,
                );
            }
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let over = |member: &&Member| now >= member.status_since + self.suspicion_timeout(member);
        let dead: Vec<StatusUpdate> = self
            .table
            .suspects()
            .filter(over)
            .map(|m| m.update.clone())
            .collect();
        for claim in dead {
            self.apply_update(
                now,
                StatusUpdate {
                    status: MemberStatus::Dead,
                    ..claim
                },
                &self.local.name.clone(),
            );
        }
    }

    /// Tries to reach who is not here: heals a fleet that was cut in two, and brings in one that knows nobody.
    fn reconnect(&mut self, now: Duration) {
        let alone = self.active_members().next().is_none();
        let periods = if alone { 1 } else { RECONNECT_PERIODS };
        self.next_reconnect = now
            + (self.config.probe_interval * periods).mul_f64(0.5 + random_fraction(&mut self.rng));
        let here = |at: &SocketAddr| {
            *at == self.local.address
                || self
                    .active_members()
                    .any(|member| member.update.address == *at)
        };
        let dead = self
            .table
            .iter()
            .filter(|member| member.update.status == MemberStatus::Dead);
        let away = dead
            .map(|member| member.update.address)
            .chain(self.config.seed_addresses.iter().copied());
        let away: Vec<SocketAddr> = away.filter(|at| !here(at)).collect();
        if !away.is_empty() {
            let one = self.rng.generate_range(0..away.len());
            // It is told first what it is held to be here, so that it can refute that.
            let held = self
                .table
                .iter()
                .find(|member| member.update.address == away[one]);
            let held = held.map(|member| member.update.clone());
            let name = held.as_ref().map(|claim| claim.name.clone());
            held.into_iter()
                .for_each(|claim| self.update_queue.enqueue(claim));
            self.send(now, away[one], Message::Join, name.as_ref());
        }
    }

    /// Tells one member a drawn part of the roll: what gossip lost is mended in time.
    fn sync(&mut self, now: Duration) {
        let mut claims: Vec<StatusUpdate> = self
            .table
            .iter()
            .map(|member| member.update.clone())
            .collect();
        self.rng.shuffle(&mut claims);
        claims.truncate(SYNC_MEMBERS);
        for to in self.random_members(1, None) {
            let left = DatagramSealer::max_packet_bytes()
                - status_update_size(&self.local)
                - 12
                - claims.iter().map(status_update_size).sum::<usize>();
            let posters = self.published_of(&claims, left);
            self.send_packet(
                now,
                to,
                Message::MemberTable {
                    reply_wanted: false,
                },
                claims.clone(),
                posters,
            );
        }
    }

    /// All members, in as many datagrams as it takes, while the budget lasts.
    fn send_member_table(&mut self, now: Duration, to: SocketAddr, back: bool) {
        let mut claims: Vec<StatusUpdate> = self
            .table
            .iter()
            .map(|member| member.update.clone())
            .collect();
        self.rng.shuffle(&mut claims);
        let mut first = true;
        while (first || !claims.is_empty()) && self.refill_budget(now) {
            let (mut some, mut left) = (
                Vec::new(),
                DatagramSealer::max_packet_bytes() - status_update_size(&self.local) - 8,
            );
            let own = if first {
                self.published_of(std::slice::from_ref(&self.local), left)
            } else {
                Vec::new()
            };
            left -= own.iter().map(Broadcast::encoded_size).sum::<usize>();
            let with =
                |claim: &StatusUpdate| status_update_size(claim) + self.published_size(&claim.name);
            while let Some(claim) = claims.pop_if(|claim| with(claim) <= left) {
                left -= with(&claim);
                some.push(claim);
            }
            let posters = self
                .published_of(&some, DatagramSealer::max_packet_bytes())
                .into_iter()
                .chain(own)
                .collect();
            self.send_packet(
                now,
                to,
                Message::MemberTable {
                    reply_wanted: back && first,
                },
                some,
                posters,
            );
            first = false;
        }
    }

    fn published_size(&self, name: &MemberName) -> usize {
        self.published
            .get(name)
            .map_or(0, |(poster, _)| poster.encoded_size())
    }

    /// What those of the claims have put up, as far as it fits.
    fn published_of(&self, claims: &[StatusUpdate], mut left: usize) -> Vec<PublishedState> {
        let held = claims
            .iter()
            .filter_map(|claim| self.published.get(&claim.name));
        let fits = |poster: &&PublishedState| {
            let fits = poster.encoded_size() <= left;
            left -= if fits { poster.encoded_size() } else { 0 };
            fits
        };
        held.map(|(poster, _)| poster)
            .filter(fits)
            .cloned()
            .collect()
    }

    fn refill_budget(&mut self, now: Duration) -> bool {
        let (left, at) = self.budget;
        let rate = f64::from(self.config.bytes_per_second);
        self.budget = (
            (left + rate * now.saturating_sub(at).as_secs_f64()).min(rate),
            now,
        );
        self.budget.0 > 0.0
    }

    /// Sends a frame with what gossip has; `first` is told first.
    fn send(&mut self, now: Duration, to: SocketAddr, kind: Message, first: Option<&MemberName>) {
        let words = match &kind {
            Message::Probe { .. } | Message::IndirectProbe { .. } => 100,
            _ => 16,
        };
        let room = DatagramSealer::max_packet_bytes()
            .saturating_sub(status_update_size(&self.local) + words);
        let rides =
            (RETRANSMIT_MULTIPLIER * (self.group_size() as f64 + 1.0).log10().ceil()) as u32;
        if !self.refill_budget(now) {
            return self.send_packet(now, to, kind, Vec::new(), Vec::new());
        }
        let claims = self.update_queue.take_batch(room, rides, first);
        let left = room.saturating_sub(claims.iter().map(status_update_size).sum());
        let posters = self.published_queue.take_batch(left, rides, None);
        self.send_packet(now, to, kind, claims, posters);
    }

    fn send_packet(
        &mut self,
        now: Duration,
        to: SocketAddr,
        kind: Message,
        claims: Vec<StatusUpdate>,
        posters: Vec<PublishedState>,
    ) {
        if self.stopped || self.datagrams.len() >= MAX_QUEUED {
            return;
        }
        let frame = Packet {
            sender: self.local.clone(),
            message: kind,
            updates: claims,
            published: posters,
        };
        let Some(datagram) = self.sealer.seal(&frame, self.unix_time_ms(now)) else {
            return;
        };
        self.budget.0 -= datagram.len() as f64;
        self.bytes_sent += datagram.len() as u64;
        self.datagrams.push_back((to, datagram));
    }

    /// Takes a datagram.
    ///
    /// # Errors
    /// Why it is not heard.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DatagramError> {
        let heard = self
            .sealer
            .open(datagram, self.unix_time_ms(now))
            .and_then(|frame| self.check_sender(frame, now));
        match heard {
            Ok(frame) => {
                self.handle_packet(now, frame);
                Ok(())
            }
            Err(refused) => {
                *self.rejected.entry(refused).or_default() += 1;
                Err(refused)
            }
        }
    }

    fn check_sender(&mut self, frame: Packet, now: Duration) -> Result<Packet, DatagramError> {
        if frame.sender.name != self.local.name {
            return Ok(frame);
        }
        if frame.sender.started_at_ms > self.local.started_at_ms {
            self.supersede(now);
        }
        Err(DatagramError::OwnName)
    }

    fn supersede(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.stopped, true) {
            self.events.push_back(MembershipEvent::Superseded);
            self.stop(now);
        }
    }

    fn handle_packet(&mut self, now: Duration, frame: Packet) {
        if self.stopped {
            return;
        }
        let Packet {
            sender: from,
            message: kind,
            updates: claims,
            published: posters,
        } = frame;
        let (name, at) = (from.name.clone(), from.address);
        // Of itself a member says that it is here or leaves; nothing else.
        if matches!(from.status, MemberStatus::Alive | MemberStatus::Left) {
            self.apply_update(now, from, &name);
        }
        let all = matches!(kind, Message::MemberTable { .. });
        for claim in claims {
            if claim.name == self.local.name {
                self.refute(now, claim);
            } else if all && claim.status == MemberStatus::Dead && self.is_here(&claim) {
                // Whoever was cut off holds many dead that are not: they get the time to clear themselves.
                self.apply_update(
                    now,
                    StatusUpdate {
                        status: MemberStatus::Suspect,
                        ..claim
                    },
                    &name,
                );
            } else {
                self.apply_update(now, claim, &name);
            }
        }
        posters
            .into_iter()
            .for_each(|poster| self.apply_published(now, poster));
        // One that is not held to be alive is told so, to clear itself.
        let doubted = self
            .table
            .get(&name)
            .filter(|member| member.update.status != MemberStatus::Alive);
        let doubted = doubted.map(|member| member.update.clone());
        let first = doubted.as_ref().map(|claim| claim.name.clone());
        doubted
            .into_iter()
            .for_each(|claim| self.update_queue.enqueue(claim));
        match kind {
            Message::Probe {
                number: no,
                target: whom,
            } if whom == self.local.name => {
                self.send(now, at, Message::Ack { number: no }, first.as_ref());
            }
            Message::Ack { number: no } => self.handle_ack(now, no, &name),
            Message::IndirectProbe {
                number: no,
                target: whom,
                address: there,
            } if self.relayed_probes.len() < MAX_RELAYED_PROBES => {
                let own = self.next_probe_number();
                let until = now + self.config.probe_interval.mul_f64(0.4);
                self.relayed_probes.insert(
                    own,
                    RelayedProbe {
                        origin_number: no,
                        origin: at,
                        deadline: until,
                    },
                );
                self.send(
                    now,
                    there,
                    Message::Probe {
                        number: own,
                        target: whom,
                    },
                    None,
                );
            }
            Message::Nack { number: no } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == no) {
                    probe.nacks += 1;
                }
            }
            // Beyond that many they are lost, as on the way.
            Message::Direct { bytes } if self.direct_messages.len() < MAX_QUEUED => {
                self.direct_messages.push_back((name, bytes))
            }
            Message::Join => self.send_member_table(now, at, true),
            Message::MemberTable { reply_wanted: true } => self.send_member_table(now, at, false),
            _ => {}
        }
    }

    fn is_here(&self, claim: &StatusUpdate) -> bool {
        let same = |member: &&Member| member.update.started_at_ms == claim.started_at_ms;
        self.table
            .get(&claim.name)
            .filter(same)
            .is_some_and(Member::is_active)
    }

    fn handle_ack(&mut self, now: Duration, no: u32, from: &MemberName) {
        if let Some(stead) = self.relayed_probes.remove(&no) {
            self.send(
                now,
                stead.origin,
                Message::Ack {
                    number: stead.origin_number,
                },
                None,
            );
        }
        let Some(probe) = self.probe.take_if(|probe| probe.number == no) else {
            return;
        };
        if probe.target == *from || probe.helpers > 0 {
            self.local_health = self.local_health.saturating_sub(1);
        } else {
            self.probe = Some(probe);
        }
    }

    /// What is said of this member itself.
    fn refute(&mut self, now: Duration, claim: StatusUpdate) {
        if claim.started_at_ms > self.local.started_at_ms {
            self.supersede(now);
        } else if claim.started_at_ms == self.local.started_at_ms
            && matches!(claim.status, MemberStatus::Suspect | MemberStatus::Dead)
            && claim.incarnation >= self.local.incarnation
            && self.local.status == MemberStatus::Alive
        {
            self.local.incarnation = claim.incarnation.saturating_add(1);
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            self.update_queue.enqueue(self.local.clone());
        }
    }

    /// Takes a claim about another member, and tells it on if it is news.
    fn apply_update(&mut self, now: Duration, claim: StatusUpdate, from: &MemberName) {
        if claim.name == self.local.name {
            return;
        }
        match self.table.apply(claim.clone(), from, now) {
            UpdateEffect::Ignored | UpdateEffect::TableFull => {}
            UpdateEffect::Corroborated => self.update_queue.enqueue(claim),
            UpdateEffect::Changed { previous: before } => {
                let here = before.is_some_and(|before| before <= MemberStatus::Suspect);
                let name = claim.name.clone();
                match claim.status {
                    MemberStatus::Alive if before != Some(MemberStatus::Alive) => {
                        self.events.push_back(MembershipEvent::Up(name))
                    }
                    MemberStatus::Suspect => {
                        self.events.push_back(MembershipEvent::Suspected(name))
                    }
                    MemberStatus::Dead if here => {
                        self.events.push_back(MembershipEvent::Down(name))
                    }
                    MemberStatus::Left if here => {
                        self.events.push_back(MembershipEvent::Left(name))
                    }
                    _ => {}
                }
                self.update_queue.enqueue(claim);
            }
        }
        // Nobody has to read them.
        while self.events.len() > MAX_QUEUED {
            self.events.pop_front();
        }
    }

    /// Leaves: some are told, who tell it on. Nothing is due afterwards.
    pub fn leave(&mut self, now: Duration) {
        self.local.status = MemberStatus::Left;
        for at in self.random_members(LEAVE_FANOUT, None) {
            self.send_packet(now, at, Message::Gossip, Vec::new(), Vec::new());
        }
        self.stopped = true;
        self.stop(now);
    }
}

fn random_fraction(chance: &mut WyRand) -> f64 {
    (chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

fn check_keys(keys: &[Key]) -> Result<(), ConfigError> {
    if let Some(short) = keys.iter().find(|key| key.secret.len() < 16) {
        return Err(ConfigError::ShortKey(short.id, short.secret.len()));
    }
    match keys {
        [] => Err(ConfigError::NoKey),
        [_] => Ok(()),
        [a, b] if a.id == b.id => Err(ConfigError::DuplicateKeyId(a.id)),
        [_, _] => Ok(()),
        _ => Err(ConfigError::TooManyKeys),
    }
}
