//! Voters and followers in simulated time, with disks that write late, tear and get lost, under the scripts of faults.

use limewing_consensus::{
    read_log, Committed, Learner, LogPosition, Packet, ProposeError, RaftConfig, RaftNode, Record,
    Role,
};
use limewing_fault_injection::{Act, Fault, Line, Links, Script, Step, Who};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub const BEAT: Duration = Duration::from_millis(50);
pub const PATIENCE: Duration = Duration::from_millis(300);
/// Entries beyond the state at which a host makes its state anew.
const COMPACT_OVER: u64 = 40;
const WORDS_EVERY: Duration = Duration::from_millis(40);

pub fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Faults that nobody should survive unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    None,
    /// The disk says that it has what it has not written yet.
    SaysTooEarly,
    /// One that lost its disk comes back as the same life.
    SameLife,
}

enum Due {
    Tick,
    Arrives(Packet),
    Written(u64),
    Words,
}

#[derive(Default)]
struct Node {
    core: Option<RaftNode>,
    follow: Option<Learner>,
    /// What is on disk for good, and writes on their way there.
    disk: Vec<u8>,
    writing: VecDeque<(u64, Vec<u8>)>,
    life: Option<limewing_consensus::NodeId>,
    starts: u64,
    stopped: bool,
    /// Its disk takes nothing.
    full: bool,
    held: Vec<Packet>,
    tick: Duration,
    /// The host's state: a sum over all words, in order.
    sum: u64,
    upto: u64,
}

pub struct World {
    pub now: Duration,
    voters: usize,
    /// The first so many have a vote by their settings.
    named: usize,
    links: Links,
    nodes: Vec<Node>,
    due: BTreeMap<(Duration, u64), (usize, Due)>,
    marks: u64,
    chance: WyRand,
    plant: Plant,
    next_word: u64,
    /// What is settled, by index: term and word; and the sum of all words up to it.
    truth: BTreeMap<u64, (u64, Vec<u8>)>,
    sums: BTreeMap<u64, u64>,
    leaders: BTreeMap<u64, (u64, String)>,
    pub events: u64,
    pub broken: Vec<String>,
    pub elected: Vec<Duration>,
    /// Crashes at writes: node, which of its writes, before or after it is there.
    pub crash_at: Option<(usize, u64, bool)>,
    writes: u64,
    /// The hash of all outputs of all nodes since this was set, in order; none: outputs are not hashed.
    pub digest: Option<u64>,
}

/// Adds bytes to the digest (64-bit FNV-1a), if one is kept.
fn observe(digest: &mut Option<u64>, bytes: &[u8]) {
    if let Some(hash) = digest {
        for byte in bytes {
            *hash = (*hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

fn observe_numbers(digest: &mut Option<u64>, numbers: &[u64]) {
    for number in numbers {
        observe(digest, &number.to_le_bytes());
    }
}

fn nanoseconds(time: Duration) -> u64 {
    time.as_nanos() as u64
}

fn standing_number(standing: Role) -> u64 {
    match standing {
        Role::Unjoined => 0,
        Role::Follower => 1,
        Role::PreCandidate => 2,
        Role::Candidate => 3,
        Role::Leader => 4,
    }
}

fn observe_settled(digest: &mut Option<u64>, one: &Committed) {
    match one {
        Committed::Command {
            position: at,
            command: bytes,
        } => {
            observe_numbers(digest, &[0, at.index, at.term]);
            observe(digest, bytes);
        }
        Committed::Snapshot {
            last_index: upto,
            state,
        } => {
            observe_numbers(digest, &[1, *upto]);
            observe(digest, state);
        }
    }
}

fn observe_proposal(digest: &mut Option<u64>, result: &Result<LogPosition, ProposeError>) {
    match result {
        Ok(place) => observe_numbers(digest, &[0, place.index, place.term]),
        Err(ProposeError::NotLeader(leader)) => {
            observe_numbers(digest, &[1]);
            observe(digest, leader.as_deref().unwrap_or_default().as_bytes());
        }
        Err(ProposeError::TooLong) => observe_numbers(digest, &[2]),
        Err(ProposeError::ChangeInProgress) => observe_numbers(digest, &[3]),
        Err(ProposeError::InvalidMembers) => observe_numbers(digest, &[4]),
    }
}

fn name(number: usize) -> String {
    format!("s{number}")
}

fn mixed(a: u64, b: u64) -> u64 {
    let mut z = (a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 27)
}

fn sum_of(sum: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(mixed(sum, 1), |sum, byte| mixed(sum, u64::from(*byte)))
}

impl World {
    pub fn new(script: &Script, voters: usize, followers: usize, seed: u64, plant: Plant) -> Self {
        Self::growing(script, (voters, voters), followers, seed, plant)
    }

    /// The first `named` make the group; the other voters have a disk, and no vote yet.
    pub fn growing(
        script: &Script,
        (named, voters): (usize, usize),
        followers: usize,
        seed: u64,
        plant: Plant,
    ) -> Self {
        assert_eq!(script.misfits(), []);
        let mut world = Self {
            now: Duration::ZERO,
            voters,
            named,
            links: Links::new(script, voters + followers),
            nodes: (0..voters + followers).map(|_| Node::default()).collect(),
            due: BTreeMap::new(),
            marks: 0,
            chance: WyRand::new_seed(seed),
            plant,
            next_word: 0,
            truth: BTreeMap::new(),
            sums: BTreeMap::new(),
            leaders: BTreeMap::new(),
            events: 0,
            broken: Vec::new(),
            elected: Vec::new(),
            crash_at: None,
            writes: 0,
            digest: None,
        };
        (0..voters + followers).for_each(|number| world.start(number));
        world.mark(WORDS_EVERY, 0, Due::Words);
        world
    }

    fn mark(&mut self, at: Duration, node: usize, due: Due) {
        self.marks += 1;
        self.due.insert((at, self.marks), (node, due));
    }

    fn start(&mut self, number: usize) {
        let seed = self.chance.generate::<u64>();
        let (now, voters) = (self.now, (0..self.named).map(name).collect::<Vec<_>>());
        let node = &mut self.nodes[number];
        node.starts += 1;
        (node.stopped, node.full, node.sum, node.upto) = (false, false, 0, 0);
        node.held.clear();
        node.writing.clear();
        let disk = mixed(number as u64 + 1, node.starts) | 1;
        if number >= self.voters {
            let me = limewing_consensus::NodeId {
                name: name(number),
                incarnation: disk,
            };
            node.follow = Some(Learner::new(now, me, voters, BEAT * 4));
        } else {
            let mut records = match read_log(&node.disk) {
                Ok(read) => {
                    node.disk.truncate(read.valid_length);
                    read.records
                }
                Err(_) => {
                    node.disk.clear();
                    Vec::new()
                }
            };
            if let (Plant::SameLife, true, Some(life)) =
                (self.plant, records.is_empty(), &node.life)
            {
                records = vec![Record::Identity(life.clone())];
            }
            let terms = RaftConfig {
                voters,
                heartbeat_interval: BEAT,
                election_timeout: PATIENCE,
                seed,
            };
            let core = RaftNode::new(now, &name(number), disk, &records, terms);
            node.life = Some(core.id().clone());
            node.core = Some(core);
        }
        self.after(number);
    }

    pub fn kill(&mut self, number: usize) {
        let tear = self.chance.generate::<u64>();
        let node = &mut self.nodes[number];
        (node.core, node.follow) = (None, None);
        // What was being written is there up to some byte.
        if let Some((_, bytes)) = node.writing.pop_front() {
            node.disk
                .extend_from_slice(&bytes[..tear as usize % (bytes.len() + 1)]);
        }
        node.writing.clear();
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Kill(number) | Act::Leave(number) => self.kill(number),
            Act::Start(number) => {
                self.kill(number);
                self.start(number);
            }
            Act::LoseDisk(number) => {
                if self.nodes[number].core.is_none() {
                    self.nodes[number].disk.clear();
                }
            }
            Act::Stop(number) => self.nodes[number].stopped = true,
            Act::GoOn(number) => {
                self.nodes[number].stopped = false;
                for packet in std::mem::take(&mut self.nodes[number].held) {
                    self.hear(number, packet);
                }
                // Writes that were under way ended meanwhile.
                let no = self.nodes[number].writing.back().map(|(no, _)| *no);
                no.into_iter().for_each(|no| self.written(number, no));
                self.tick(number);
            }
            Act::FillDisk(number) => self.nodes[number].full = self.nodes[number].core.is_some(),
            Act::FreeDisk(number) => {
                self.nodes[number].full = false;
                let no = self.nodes[number].writing.back().map(|(no, _)| *no);
                no.into_iter().for_each(|no| self.written(number, no));
            }
            Act::Keys { .. } | Act::Noise { .. } => {}
        }
    }

    fn hear(&mut self, number: usize, packet: Packet) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.stopped {
            if node.held.len() < 256 {
                node.held.push(packet);
            }
            return;
        }
        if let Some(core) = &mut node.core {
            core.receive(now, packet);
        } else if let Some(follow) = &mut node.follow {
            follow.receive(now, packet);
        }
        self.after(number);
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if let Some(core) = &mut node.core {
            core.tick(now);
        } else if let Some(follow) = &mut node.follow {
            follow.tick(now);
        }
        self.after(number);
    }

    fn written(&mut self, number: usize, upto: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.core.is_none() || node.stopped || node.full {
            return;
        }
        while let Some((no, bytes)) = node.writing.pop_front() {
            if no > upto {
                node.writing.push_front((no, bytes));
                break;
            }
            node.disk.extend_from_slice(&bytes);
        }
        if let Some(core) = node.core.as_mut() {
            core.persisted(now, upto);
        }
        self.after(number);
    }

    /// Writes, sends, hands out, and looks at what must hold.
    fn after(&mut self, number: usize) {
        let now = self.now;
        if self.nodes[number].core.is_none() && self.nodes[number].follow.is_none() {
            return;
        }
        self.events += 1;
        observe_numbers(&mut self.digest, &[number as u64, nanoseconds(now)]);
        let mut out: Vec<(String, Packet)> = Vec::new();
        let mut settled: Vec<Committed> = Vec::new();
        let mut next = now + s(3600.0);
        let mut crash = false;
        let node = &mut self.nodes[number];
        if let Some(core) = &mut node.core {
            while let Some(write) = core.next_write_batch() {
                let mut bytes = Vec::new();
                write
                    .records
                    .iter()
                    .for_each(|record| record.encode_into(&mut bytes));
                observe_numbers(&mut self.digest, &[write.number]);
                observe(&mut self.digest, &bytes);
                node.writing.push_back((write.number, bytes));
                self.writes += 1;
                if let Some((of, nth, after)) = self.crash_at {
                    if of == number && nth == self.writes {
                        (crash, self.crash_at) = (true, None);
                        if after {
                            let (_, bytes) = node.writing.pop_back().expect("it was put there");
                            node.disk.extend_from_slice(&bytes);
                        }
                    }
                }
                let slow = if self.plant == Plant::SaysTooEarly {
                    20
                } else {
                    1
                };
                let late =
                    Duration::from_micros(500 + slow * self.chance.generate_range(0..8000u64));
                self.marks += 1;
                self.due.insert(
                    (now + late, self.marks),
                    (number, Due::Written(write.number)),
                );
                if self.plant == Plant::SaysTooEarly {
                    core.persisted(now, write.number);
                }
            }
            while let Some(packet) = core.take_packet() {
                out.push(packet);
            }
            while let Some(one) = core.take_committed() {
                settled.push(one);
            }
            if core.role() == Role::Leader {
                let of = self.leaders.entry(core.term()).or_insert_with(|| {
                    self.elected.push(now);
                    (core.id().incarnation, core.id().name.clone())
                });
                if *of != (core.id().incarnation, core.id().name.clone()) {
                    self.broken.push(format!("two led term {}", core.term()));
                }
            }
            next = core.next_deadline();
            let standing = standing_number(core.role());
            let numbers = [
                standing,
                core.group(),
                core.term(),
                core.commit_index(),
                core.uncompacted_entries(),
                nanoseconds(next),
            ];
            observe_numbers(&mut self.digest, &numbers);
        } else if let Some(follow) = &mut node.follow {
            while let Some(packet) = follow.take_packet() {
                out.push(packet);
            }
            while let Some(one) = follow.take_committed() {
                settled.push(one);
            }
            next = follow.next_deadline();
            let numbers = [
                follow.applied_index(),
                nanoseconds(follow.last_heard()),
                nanoseconds(next),
            ];
            observe_numbers(&mut self.digest, &numbers);
        }
        settled
            .iter()
            .for_each(|one| observe_settled(&mut self.digest, one));
        settled.into_iter().for_each(|one| self.check(number, one));
        if crash {
            self.kill(number);
            self.mark(now + s(0.4), number, Due::Tick);
            self.nodes[number].tick = now + s(0.4);
            return;
        }
        self.make_whole(number);
        let next = next.max(now + Duration::from_micros(10));
        self.nodes[number].tick = next;
        self.mark(next, number, Due::Tick);
        for (to, packet) in out {
            let Some(to) = to.strip_prefix('s').and_then(|n| n.parse::<usize>().ok()) else {
                continue;
            };
            let bytes = packet.encode();
            observe_numbers(&mut self.digest, &[to as u64]);
            observe(&mut self.digest, &bytes);
            assert!(
                bytes.len() <= limewing_consensus::MAX_PACKET_BYTES,
                "{} bytes: {packet:?}",
                bytes.len()
            );
            for arrival in self.links.pass(now, number, to, &bytes) {
                if let Ok(packet) = Packet::decode(&arrival.bytes) {
                    self.mark(arrival.at.max(now), to, Due::Arrives(packet));
                }
            }
        }
    }

    fn check(&mut self, number: usize, one: Committed) {
        let node = &mut self.nodes[number];
        match one {
            Committed::Command {
                position: at,
                command: bytes,
            } => {
                if at.index <= node.upto {
                    self.broken.push(format!(
                        "s{number} was handed {} after {}",
                        at.index, node.upto
                    ));
                }
                (node.sum, node.upto) = (sum_of(node.sum, &bytes), at.index);
                let (term, word) = self
                    .truth
                    .entry(at.index)
                    .or_insert((at.term, bytes.clone()));
                if (*term, &*word) != (at.term, &bytes) {
                    self.broken
                        .push(format!("two words are settled at {}: s{number}", at.index));
                }
                if *self.sums.entry(at.index).or_insert(node.sum) != node.sum {
                    self.broken
                        .push(format!("another order up to {}: s{number}", at.index));
                }
            }
            Committed::Snapshot {
                last_index: upto,
                state,
            } => {
                let number_of = |range: std::ops::Range<usize>| {
                    u64::from_le_bytes(state[range].try_into().expect("eight bytes"))
                };
                (node.sum, node.upto) = (number_of(0..8), upto);
                let known = self.sums.range(..=upto).next_back().map(|(_, sum)| *sum);
                if known.is_some_and(|sum| sum != node.sum) {
                    self.broken
                        .push(format!("a state that nobody had, up to {upto}: s{number}"));
                }
            }
        }
    }

    /// A host makes its state anew when many entries are held, and its disk short.
    fn make_whole(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else { return };
        if core.uncompacted_entries() > COMPACT_OVER && node.writing.is_empty() && !node.full {
            // Padded, so that it takes several pieces.
            let state = [node.sum.to_le_bytes().as_slice(), &[7; 1500]].concat();
            core.compact(node.upto, state);
            let mut bytes = Vec::new();
            core.compacted_records()
                .iter()
                .for_each(|record| record.encode_into(&mut bytes));
            observe(&mut self.digest, &bytes);
            if let Some(write) = core.next_write_batch() {
                node.disk = bytes;
                core.persisted(self.now, write.number);
            }
        }
    }

    fn words(&mut self) {
        self.mark(self.now + WORDS_EVERY, 0, Due::Words);
        let to = self.chance.generate_range(0..self.voters);
        self.next_word += 1;
        let length = 8 + self.chance.generate_range(0..60usize);
        let word = [
            self.next_word.to_le_bytes().as_slice(),
            &vec![self.next_word as u8; length],
        ]
        .concat();
        let now = self.now;
        let node = &mut self.nodes[to];
        if let Some(core) = node.core.as_mut().filter(|_| !node.stopped) {
            let proposed = core.propose(now, word.clone());
            observe_proposal(&mut self.digest, &proposed);
            if proposed.is_err() {
                core.forward_proposal(word);
            }
            self.after(to);
        }
    }

    pub fn run_to(&mut self, until: Duration) {
        loop {
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let step = self.links.due();
            let Some(at) = [next, step]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= until)
            else {
                break;
            };
            self.now = self.now.max(at);
            if step.is_some_and(|step| step <= self.now) {
                for act in self.links.turn(self.now) {
                    self.act(act);
                }
                continue;
            }
            let Some((_, (number, due))) = self.due.pop_first() else {
                break;
            };
            match due {
                Due::Arrives(packet) => self.hear(number, packet),
                Due::Written(no) => self.written(number, no),
                Due::Words => self.words(),
                Due::Tick if self.nodes[number].tick <= self.now && !self.nodes[number].stopped => {
                    let down =
                        self.nodes[number].core.is_none() && self.nodes[number].follow.is_none();
                    if down
                        && self.nodes[number].tick == self.now
                        && self.crash_at.is_none()
                        && self.restarts(number)
                    {
                        self.start(number);
                    } else {
                        self.tick(number);
                    }
                }
                Due::Tick => {}
            }
            if !self.broken.is_empty() {
                return;
            }
        }
        self.now = self.now.max(until);
    }

    /// One that crashed at a write comes back by itself.
    fn restarts(&self, number: usize) -> bool {
        self.writes > 0 && number < self.voters && self.nodes[number].starts == 1
    }

    pub fn core(&self, number: usize) -> Option<&RaftNode> {
        self.nodes[number].core.as_ref()
    }

    pub fn change(
        &mut self,
        number: usize,
        members: limewing_consensus::Members,
    ) -> Result<(), ProposeError> {
        let now = self.now;
        let core = self.nodes[number].core.as_mut().expect("it runs");
        let changed = core.change_members(now, members);
        observe_proposal(&mut self.digest, &changed);
        self.after(number);
        changed.map(drop)
    }

    /// Gives the vote to one that has none, or takes it; by whoever leads.
    pub fn vote(&mut self, name: &str, has: bool) -> Result<(), ProposeError> {
        let leader = self.leader().ok_or(ProposeError::NotLeader(None))?;
        let now = self.now;
        let core = self.nodes[leader].core.as_mut().expect("it runs");
        let done = if has {
            core.add_voter(now, name)
        } else {
            core.remove_voter(now, name)
        };
        observe_proposal(&mut self.digest, &done);
        self.after(leader);
        done.map(drop)
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.nodes[*n]
                .core
                .as_ref()
                .is_some_and(|c| c.role() == Role::Leader)
        };
        (0..self.voters)
            .filter(leads)
            .max_by_key(|n| self.nodes[*n].core.as_ref().map(RaftNode::term))
    }

    pub fn settled(&self) -> usize {
        self.truth.len()
    }

    /// How long until all that run have the same and a new word is settled; none if not within `most`.
    pub fn agrees(&mut self, most: Duration) -> Option<Duration> {
        let (from, had) = (
            self.now,
            self.truth.last_key_value().map_or(0, |(index, _)| *index),
        );
        loop {
            let runs: Vec<&Node> = self
                .nodes
                .iter()
                .filter(|node| node.core.is_some() || node.follow.is_some())
                .collect();
            let least = runs.iter().map(|node| node.upto).min().unwrap_or(0);
            if least > had {
                return Some(self.now - from);
            }
            if self.now >= from + most || !self.broken.is_empty() {
                return None;
            }
            self.run_to(self.now + s(0.02));
        }
    }
}

pub fn script(seconds: f64, loss: f64, steps: Vec<Step>) -> Script {
    let line = Line {
        loss,
        delay_ms: 1.0,
        jitter_ms: 8.0,
        duplicate: 0.02,
        ..Line::default()
    };
    Script {
        name: "drawn".into(),
        seed: 5,
        seconds,
        line,
        steps,
        clocks: Vec::new(),
    }
}

/// Faults drawn by a seed: kills and starts, cuts of all kinds, standstills, bad lines, and now and then a lost disk, which
/// is given time. The last seconds are without faults, and all run.
pub fn drawn(seed: u64, voters: usize, seconds: f64) -> Script {
    let mut chance = WyRand::new_seed(seed);
    let mut share = move || (chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64;
    let mut steps = Vec::new();
    let (mut at, mut lost_at, mut may_lose) = (2.0, 0.0, (voters - 1) / 2);
    while at < seconds - 4.0 {
        let one = |share: f64| Who::Numbers(vec![(share * voters as f64) as usize]);
        let some = |share: f64| Who::Part(0.0, (share * voters as f64).round() / voters as f64);
        let mut does = |at: f64, does: Fault| steps.push(Step { at, does });
        match (share() * 10.0) as usize {
            0 | 1 => {
                let who = one(share());
                does(at, Fault::Kill(who.clone()));
                if share() < 0.2 && at > lost_at + 12.0 && may_lose > 0 {
                    (lost_at, may_lose) = (at, may_lose - 1);
                    does(at, Fault::LoseDisk(who.clone()));
                }
                does(at + share() * 1.5, Fault::Start(who));
            }
            2 => does(
                at,
                Fault::Cut {
                    from: some(share()),
                    to: Who::All,
                    one_way: share() < 0.4,
                },
            ),
            3 => does(at, Fault::Mend),
            4 => {
                let who = one(share());
                does(at, Fault::Stop(who.clone()));
                does(at + share() * 1.5, Fault::GoOn(who));
            }
            5 => {
                let bad = Line {
                    loss: 0.3,
                    delay_ms: 1.0,
                    jitter_ms: 80.0 * share(),
                    duplicate: 0.2,
                    ..Line::default()
                };
                does(
                    at,
                    Fault::Change {
                        from: one(share()),
                        to: Who::All,
                        line: bad,
                    },
                );
            }
            6 => does(
                at,
                Fault::Cut {
                    from: one(share()),
                    to: one(share()),
                    one_way: false,
                },
            ),
            8 => {
                let who = one(share());
                does(at, Fault::FillDisk(who.clone()));
                does(at + share() * 3.0, Fault::FreeDisk(who));
            }
            7 => {
                let who = one(share());
                does(at, Fault::Kill(who.clone()));
                does(at + 0.02 + 0.1 * share(), Fault::Start(who));
            }
            _ => {
                does(at, Fault::Kill(Who::All));
                does(at + 0.3, Fault::Start(Who::All));
            }
        }
        at += 0.2 + share() * 1.2;
    }
    let end = seconds - 1.5;
    steps.push(Step {
        at: end,
        does: Fault::Mend,
    });
    let sound = Line {
        delay_ms: 1.0,
        jitter_ms: 8.0,
        ..Line::default()
    };
    steps.push(Step {
        at: end,
        does: Fault::Change {
            from: Who::All,
            to: Who::All,
            line: sound,
        },
    });
    steps.push(Step {
        at: end,
        does: Fault::GoOn(Who::All),
    });
    steps.push(Step {
        at: end,
        does: Fault::FreeDisk(Who::All),
    });
    steps.push(Step {
        at: end + 0.2,
        does: Fault::Start(Who::All),
    });
    script(seconds, 0.02, steps)
}

/// The script with all steps taken away without which it still shows the same.
pub fn smallest(script: &Script, shows: impl Fn(&Script) -> bool) -> Script {
    let mut least = script.clone();
    let mut many = (least.steps.len() / 2).max(1);
    loop {
        let mut at = 0;
        while at < least.steps.len() {
            let mut fewer = least.clone();
            fewer.steps.drain(at..(at + many).min(fewer.steps.len()));
            if shows(&fewer) {
                least = fewer;
            } else {
                at += many;
            }
        }
        if many == 1 {
            return least;
        }
        many /= 2;
    }
}
