//! One voter: who leads, which entries are held, and up to where they are settled.

use crate::begin::{voters_mark, Bootstrap};
use crate::disk::{PersistentState, Record};
use crate::log::Log;
use crate::words::{
    Configuration, Entry, EntryPayload, LogPosition, Members, Message, NodeId, Packet,
    MAX_COMMAND_BYTES, MAX_VOTERS, SNAPSHOT_CHUNK_BYTES,
};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bytes of entries in one packet.
const BATCH: usize = 800;
/// Packets that wait to be taken, at most: beyond, the oldest are lost, as on the way.
const MOST_WAITING: usize = 4096;
/// State that is taken in, at most, in bytes.
const MOST_STATE: usize = 4 * 1024 * 1024;
/// A member that was not heard for so many times a leader's patience may be replaced by a new life of its name.
const GONE: u32 = 10;
/// A member that was not taken in and says nothing is not written to any more, after so many times the patience.
const NEWCOMERS_WAIT: u32 = 3;

#[derive(Clone)]
pub struct RaftConfig {
    /// All that have a vote at the start, this one among them, by name.
    pub voters: Vec<String>,
    /// Between two words of a leader.
    pub heartbeat_interval: Duration,
    /// Without a word of the leader for so long a member thinks of standing; up to twice that, by chance.
    pub election_timeout: Duration,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// In no group yet.
    Unjoined,
    Follower,
    /// Asks whether it would get the votes.
    PreCandidate,
    Candidate,
    Leader,
}

/// What is to be kept on disk, in this order, and then told by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    pub number: u64,
    pub records: Vec<Record>,
}

/// What is settled, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    Command {
        position: LogPosition,
        command: Vec<u8>,
    },
    /// The host's own state up to an entry, in the place of all words up to it.
    Snapshot { last_index: u64, state: Vec<u8> },
}

/// Why a word is not taken now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    #[error("it does not lead; as far as it knows {0:?} does")]
    NotLeader(Option<String>),
    #[error("longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    #[error("another change of members is not settled yet, or this term has settled nothing")]
    ChangeInProgress,
    #[error("expected 1 to {MAX_VOTERS} members, one of them other than now")]
    InvalidMembers,
}

#[derive(Clone, Debug)]
struct Progress {
    /// The next entry to send, and up to where both logs are the same.
    next: u64,
    same: u64,
    heard: Duration,
    /// The last round it has answered.
    round: u64,
    /// Entries are on their way since; sent again with the next beat.
    waits: bool,
    /// How much of the state it has, and of the state up to which entry.
    piece: (u64, u32),
}

pub struct RaftNode {
    me: NodeId,
    terms: RaftConfig,
    chance: WyRand,
    group: u64,
    term: u64,
    voted: Option<NodeId>,
    log: Log,
    standing: Role,
    leader: Option<NodeId>,
    heard: Duration,
    stand_at: Duration,
    beat_at: Duration,
    votes: BTreeSet<NodeId>,
    /// Its own vote counts once this much is on disk.
    vote_no: u64,
    progress: BTreeMap<NodeId, Progress>,
    round: u64,
    led_since: Duration,
    settled: u64,
    handed: u64,
    taken_in: Option<(LogPosition, Vec<u8>)>,
    whole: Option<(u64, Vec<u8>)>,
    begin: Bootstrap,
    /// What is to be written, what was handed out to be, and up to which number it is.
    pending: Vec<Record>,
    write_no: u64,
    written: u64,
    /// Up to which entry the log is on disk; by number of the write, what will be.
    stable: u64,
    marks: VecDeque<(u64, u64)>,
    out: VecDeque<(u64, String, Packet)>,
}

fn majority(members: &Members) -> usize {
    members.len() / 2 + 1
}

impl RaftNode {
    /// With what its disk holds. An empty disk makes a new life, of the number `disk`, which must never come twice.
    pub fn new(
        now: Duration,
        name: &str,
        disk: u64,
        records: &[Record],
        terms: RaftConfig,
    ) -> Self {
        let mut held = PersistentState::default();
        let _ = records.iter().all(|record| held.take(record));
        let fresh = held.life.is_none();
        let me = held.life.clone().unwrap_or(NodeId {
            name: name.to_owned(),
            incarnation: disk,
        });
        let mut chance = WyRand::new_seed(terms.seed ^ me.incarnation);
        let begin = Bootstrap::new(chance.generate::<u64>() | 1);
        let (base, last) = (held.log.base().index, held.log.last().index);
        let whole = (base > 0).then(|| (base, held.log.state().to_vec()));
        let mut agree = Self {
            terms,
            chance,
            group: held.group,
            term: held.term,
            voted: held.voted,
            standing: if held.group == 0 {
                Role::Unjoined
            } else {
                Role::Follower
            },
            leader: None,
            heard: now,
            stand_at: now,
            beat_at: now,
            votes: BTreeSet::new(),
            vote_no: 0,
            progress: BTreeMap::new(),
            round: 0,
            led_since: now,
            settled: base,
            handed: base,
            taken_in: None,
            whole,
            begin,
            pending: if fresh {
                vec![Record::Identity(me.clone())]
            } else {
                Vec::new()
            },
            write_no: 0,
            written: 0,
            stable: last,
            marks: VecDeque::new(),
            out: VecDeque::new(),
            log: held.log,
            me,
        };
        agree.be_patient(now);
        agree
    }

    pub fn id(&self) -> &NodeId {
        &self.me
    }

    pub fn role(&self) -> Role {
        self.standing
    }

    /// It leads, and has settled an entry of its term: what was settled before it knows too.
    pub fn is_established_leader(&self) -> bool {
        self.standing == Role::Leader && self.log.term_at(self.settled) == Some(self.term)
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn group(&self) -> u64 {
        self.group
    }

    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    pub fn members(&self) -> &Members {
        &self.log.members().1.voters
    }

    /// Up to which entry all is settled, as far as it knows.
    pub fn commit_index(&self) -> u64 {
        self.settled
    }

    /// Entries held beyond the last state: when many, `compact` is due.
    pub fn uncompacted_entries(&self) -> u64 {
        self.log.last().index - self.log.base().index
    }

    /// When `tick` is to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        match self.standing {
            Role::Unjoined | Role::Leader => self.beat_at,
            _ if self.has_vote() => self.stand_at,
            _ => self.beat_at,
        }
    }

    fn has_vote(&self) -> bool {
        self.members().contains(&self.me)
    }

    fn be_patient(&mut self, now: Duration) {
        let part = (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64;
        self.stand_at = now + self.terms.election_timeout.mul_f64(1.0 + part);
    }

    fn keep(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// What is to be put on disk before anything that hangs on it leaves.
    pub fn next_write_batch(&mut self) -> Option<WriteBatch> {
        if self.pending.is_empty() {
            return None;
        }
        self.write_no += 1;
        self.marks.push_back((self.write_no, self.log.last().index));
        Some(WriteBatch {
            number: self.write_no,
            records: std::mem::take(&mut self.pending),
        })
    }

    /// All up to this write is on disk, for good.
    pub fn persisted(&mut self, now: Duration, no: u64) {
        self.written = self.written.max(no);
        while let Some((_, upto)) = self
            .marks
            .front()
            .copied()
            .filter(|(no, _)| *no <= self.written)
        {
            self.marks.pop_front();
            self.stable = self.stable.max(upto);
        }
        match self.standing {
            Role::Candidate | Role::PreCandidate => self.count(now),
            Role::Leader => self.settle(now),
            _ => {}
        }
    }

    /// The whole of what the disk is to hold, in the fewest words: a host may put it in the place of a long file, if all that
    /// was handed out before is written.
    pub fn compacted_records(&self) -> Vec<Record> {
        let (life, group, term) = (Some(self.me.clone()), self.group, self.term);
        PersistentState {
            life,
            group,
            term,
            voted: self.voted.clone(),
            log: self.log.clone(),
        }
        .records()
    }

    /// The next packet to send, and to whom by name.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        let (needs, ..) = self.out.front()?;
        if *needs > self.written {
            return None;
        }
        self.out.pop_front().map(|(_, to, packet)| (to, packet))
    }

    fn say(&mut self, to: &NodeId, say: Message) {
        self.say_to(&to.name.clone(), to.incarnation, say);
    }

    fn say_to(&mut self, name: &str, disk: u64, say: Message) {
        let packet = Packet {
            group: self.group,
            from: self.me.clone(),
            to_incarnation: disk,
            term: self.term,
            message: say,
        };
        let needs = self.write_no + u64::from(!self.pending.is_empty());
        if self.out.len() >= MOST_WAITING {
            self.out.pop_front();
        }
        self.out.push_back((needs, name.to_owned(), packet));
    }

    /// What is settled next, in order; each once in this life of the process.
    pub fn take_committed(&mut self) -> Option<Committed> {
        if let Some((upto, state)) = self.whole.take() {
            self.handed = self.handed.max(upto);
            return Some(Committed::Snapshot {
                last_index: upto,
                state,
            });
        }
        while self.handed < self.settled {
            self.handed += 1;
            let entry = self.log.get(self.handed)?;
            if let EntryPayload::Command(bytes) = &entry.payload {
                let at = LogPosition {
                    index: self.handed,
                    term: entry.term,
                };
                return Some(Committed::Command {
                    position: at,
                    command: bytes.clone(),
                });
            }
        }
        None
    }

    /// The host's state holds all up to this entry, which it was handed: the log may forget them.
    pub fn compact(&mut self, upto: u64, state: Vec<u8>) {
        if upto <= self.handed && self.log.compact(upto, state) {
            let (last, members) = (self.log.base(), self.log.base_members().clone());
            let state = self.log.state().to_vec();
            self.keep(Record::Snapshot {
                last,
                configuration: members,
                state,
            });
        }
    }

    /// Puts a word up to be settled; its place, which it may lose again to another leader's.
    ///
    /// # Errors
    /// It does not lead, or the word is too long.
    pub fn propose(&mut self, now: Duration, bytes: Vec<u8>) -> Result<LogPosition, ProposeError> {
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLong);
        }
        if self.standing != Role::Leader {
            return Err(ProposeError::NotLeader(
                self.leader.as_ref().map(|id| id.name.clone()),
            ));
        }
        let place = self.push(EntryPayload::Command(bytes));
        self.spread(now);
        Ok(place)
    }

    /// Gives the leader a word to settle; nobody tells whether it came there.
    pub fn forward_proposal(&mut self, bytes: Vec<u8>) {
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.me) {
            self.say(&leader, Message::Propose { command: bytes });
        }
    }

    /// Gives or takes one vote.
    ///
    /// # Errors
    /// It does not lead, or can't change now.
    pub fn change_members(
        &mut self,
        now: Duration,
        members: Members,
    ) -> Result<LogPosition, ProposeError> {
        self.change_to(
            now,
            Configuration {
                voters: members,
                pending_voter: None,
            },
        )
    }

    /// One of this name that has no vote is to get one, once it has caught up; until then nothing changes. In the place of one
    /// that was awaited before.
    ///
    /// # Errors
    /// It does not lead, can't change now, or there are as many members as may be.
    pub fn add_voter(&mut self, now: Duration, name: &str) -> Result<LogPosition, ProposeError> {
        if self.members().iter().any(|id| id.name == name) || self.members().len() >= MAX_VOTERS {
            return Err(ProposeError::InvalidMembers);
        }
        self.change_to(
            now,
            Configuration {
                voters: self.members().clone(),
                pending_voter: Some(name.to_owned()),
            },
        )
    }

    /// Takes the vote of this name, or the wait for it.
    ///
    /// # Errors
    /// It does not lead, can't change now, or there is no such member, or no other.
    pub fn remove_voter(&mut self, now: Duration, name: &str) -> Result<LogPosition, ProposeError> {
        let mut ids = self.members().clone();
        let awaited = self.pending_voter().is_some_and(|awaited| awaited == name);
        ids.retain(|id| id.name != name);
        if ids == *self.members() && !awaited {
            return Err(ProposeError::InvalidMembers);
        }
        self.change_to(
            now,
            Configuration {
                voters: ids,
                pending_voter: None,
            },
        )
    }

    /// Whose new life is to get a vote next.
    pub fn pending_voter(&self) -> Option<&str> {
        self.log.members().1.pending_voter.as_deref()
    }

    fn change_to(
        &mut self,
        now: Duration,
        voters: Configuration,
    ) -> Result<LogPosition, ProposeError> {
        if self.standing != Role::Leader {
            return Err(ProposeError::NotLeader(
                self.leader.as_ref().map(|id| id.name.clone()),
            ));
        }
        let (said_at, old) = self.log.members();
        let one = match old.voters.symmetric_difference(&voters.voters).count() {
            // Who is awaited alone changes: all majorities stay as they are.
            0 => old.pending_voter != voters.pending_voter,
            many => many == 1,
        };
        if !one || voters.voters.is_empty() || voters.voters.len() > MAX_VOTERS {
            return Err(ProposeError::InvalidMembers);
        }
        // Without an entry of its own term settled, two leaders might each change by one from different members.
        if said_at > self.settled || self.log.term_at(self.settled) != Some(self.term) {
            return Err(ProposeError::ChangeInProgress);
        }
        let place = self.push(EntryPayload::Configuration(voters));
        self.spread(now);
        Ok(place)
    }

    fn push(&mut self, what: EntryPayload) -> LogPosition {
        let entry = Entry {
            term: self.term,
            payload: what,
        };
        let index = self.log.push(entry.clone());
        self.keep(Record::Entry { index, entry });
        LogPosition {
            index,
            term: self.term,
        }
    }

    fn step_to(&mut self, now: Duration, term: u64) {
        if term > self.term {
            (self.term, self.voted) = (term, None);
            self.keep(Record::Term {
                term,
                voted_for: None,
            });
            self.leader = None;
        }
        if !matches!(self.standing, Role::Unjoined | Role::Follower) {
            self.standing = Role::Follower;
            self.be_patient(now);
        }
        self.progress.clear();
        self.votes.clear();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        match self.standing {
            Role::Unjoined if now >= self.beat_at => self.look_for_a_group(now),
            Role::Leader if now >= self.beat_at => self.beat(now),
            Role::Follower | Role::PreCandidate | Role::Candidate if self.has_vote() => {
                if now < self.stand_at {
                    return;
                }
                self.try_to_lead(now);
            }
            // One that is not taken in yet, or not any more.
            Role::Follower if now >= self.beat_at => {
                self.beat_at = now + self.terms.election_timeout;
                if now >= self.heard + self.terms.election_timeout * 2 {
                    self.ask_to_be_taken_in();
                }
            }
            _ => {}
        }
    }

    /// All that may have a vote, as far as it knows: by its settings, and by the log.
    fn others_named(&self) -> Vec<String> {
        let members = self.members().iter().map(|id| &id.name);
        let all: BTreeSet<&String> = self.terms.voters.iter().chain(members).collect();
        all.into_iter()
            .filter(|name| **name != self.me.name)
            .cloned()
            .collect()
    }

    fn ask_to_be_taken_in(&mut self) {
        for name in self.others_named() {
            self.say_to(&name, 0, Message::JoinRequest);
        }
    }

    fn look_for_a_group(&mut self, now: Duration) {
        self.beat_at = now + self.terms.heartbeat_interval * 2;
        let (nonce, voters) = (self.begin.nonce, voters_mark(&self.terms.voters));
        for name in self.others_named() {
            self.say_to(
                &name,
                0,
                Message::DiscoveryRequest {
                    nonce,
                    voters_checksum: voters,
                },
            );
        }
        self.make_a_group(now);
    }

    fn make_a_group(&mut self, now: Duration) {
        if let Some(members) = self.begin.group(&self.me, &self.terms.voters) {
            self.join(now, self.me.incarnation, members);
        }
    }

    fn join(&mut self, now: Duration, group: u64, members: Members) {
        self.group = group;
        self.standing = Role::Follower;
        let members = Configuration {
            voters: members,
            pending_voter: None,
        };
        self.log = Log::of(LogPosition::default(), members.clone(), Vec::new());
        self.keep(Record::Group {
            group,
            initial: members,
        });
        self.heard = now;
        self.beat_at = now;
        self.be_patient(now);
    }

    /// Whether there would be votes: nobody's term goes up for one that is cut off and comes back.
    fn try_to_lead(&mut self, now: Duration) {
        self.standing = Role::PreCandidate;
        (self.leader, self.votes) = (None, BTreeSet::from([self.me.clone()]));
        self.be_patient(now);
        // Its vote may have been taken while it heard nobody: then nobody would tell it.
        if now >= self.heard + self.terms.election_timeout * NEWCOMERS_WAIT {
            self.ask_to_be_taken_in();
        }
        self.ask_for_votes(true);
        self.count(now);
    }

    fn stand(&mut self, now: Duration) {
        self.standing = Role::Candidate;
        self.term += 1;
        self.voted = Some(self.me.clone());
        self.keep(Record::Term {
            term: self.term,
            voted_for: self.voted.clone(),
        });
        self.vote_no = self.write_no + 1;
        self.votes = BTreeSet::from([self.me.clone()]);
        self.be_patient(now);
        self.ask_for_votes(false);
        self.count(now);
    }

    fn ask_for_votes(&mut self, trial: bool) {
        let last = self.log.last();
        for id in self.other_members() {
            self.say(
                &id,
                Message::VoteRequest {
                    last,
                    pre_vote: trial,
                },
            );
        }
    }

    fn other_members(&self) -> Vec<NodeId> {
        self.members()
            .iter()
            .filter(|id| **id != self.me)
            .cloned()
            .collect()
    }

    fn count(&mut self, now: Duration) {
        let members = self.members();
        let have = self.votes.iter().filter(|id| members.contains(*id)).count();
        if have < majority(members) {
            return;
        }
        match self.standing {
            Role::PreCandidate => self.stand(now),
            Role::Candidate if self.written >= self.vote_no => self.lead(now),
            _ => {}
        }
    }

    fn lead(&mut self, now: Duration) {
        self.standing = Role::Leader;
        self.leader = Some(self.me.clone());
        self.led_since = now;
        self.progress.clear();
        self.push(EntryPayload::Noop);
        self.beat(now);
    }

    /// All to be written to: the members, and those that are to be.
    fn track(&mut self, now: Duration) {
        let (next, members) = (self.log.last().index, self.other_members());
        for id in &members {
            let fresh = Progress {
                next: next.max(1),
                same: 0,
                heard: now,
                round: 0,
                waits: false,
                piece: (0, 0),
            };
            self.progress.entry(id.clone()).or_insert(fresh);
        }
        let wait = self.terms.election_timeout * NEWCOMERS_WAIT;
        self.progress
            .retain(|id, of| members.contains(id) || now < of.heard + wait);
    }

    fn beat(&mut self, now: Duration) {
        self.beat_at = now + self.terms.heartbeat_interval;
        self.track(now);
        // Without a majority that hears it, another may lead by now.
        let heard = |id: &NodeId| {
            let patient = now < self.led_since + self.terms.election_timeout;
            *id == self.me
                || patient
                || self
                    .progress
                    .get(id)
                    .is_some_and(|of| now < of.heard + self.terms.election_timeout)
        };
        let members = self.members();
        if members.iter().filter(|id| heard(id)).count() < majority(members) {
            let term = self.term;
            self.leader = None;
            return self.step_to(now, term);
        }
        self.progress.values_mut().for_each(|of| of.waits = false);
        self.spread(now);
        self.settle(now);
        self.take_others_in(now);
    }

    fn spread(&mut self, now: Duration) {
        self.track(now);
        self.round += 1;
        for id in self.progress.keys().cloned().collect::<Vec<_>>() {
            self.append_to(&id);
        }
    }

    fn append_to(&mut self, id: &NodeId) {
        let (base, last, round) = (self.log.base(), self.log.last().index, self.round);
        let Some(of) = self.progress.get_mut(id) else {
            return;
        };
        if of.next <= base.index {
            // What it lacks is in the state alone.
            if of.piece.0 != base.index {
                of.piece = (base.index, 0);
            }
            let (from, whole) = (of.piece.1, self.log.state().len() as u32);
            let upto = (from as usize + SNAPSHOT_CHUNK_BYTES).min(whole as usize);
            let bytes = self
                .log
                .state()
                .get(from as usize..upto)
                .unwrap_or_default()
                .to_vec();
            let members = self.log.base_members().clone();
            let say = Message::SnapshotRequest {
                last: base,
                configuration: members,
                offset: from,
                total_length: whole,
                data: bytes,
                round,
            };
            return self.say(id, say);
        }
        let before = of.next - 1;
        // While entries are on their way only the beat says a word, with none.
        let entries = if of.waits {
            Vec::new()
        } else {
            self.log.some_from(of.next, BATCH, last)
        };
        of.waits |= !entries.is_empty();
        let Some(term) = self.log.term_at(before) else {
            return;
        };
        let settled = self.settled;
        self.say(
            id,
            Message::AppendRequest {
                previous: LogPosition {
                    index: before,
                    term,
                },
                entries,
                commit_index: settled,
                round,
            },
        );
    }

    /// What a majority has on disk, of this term, is settled, and all before it.
    fn settle(&mut self, now: Duration) {
        let members = self.members().clone();
        let same = |id: &NodeId| {
            if *id == self.me {
                self.stable.min(self.log.last().index)
            } else {
                self.progress.get(id).map_or(0, |of| of.same)
            }
        };
        let mut all: Vec<u64> = members.iter().map(same).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(upto) = all.get(majority(&members) - 1).copied() else {
            return;
        };
        if upto > self.settled && self.log.term_at(upto) == Some(self.term) {
            self.settled = upto;
            if !members.contains(&self.me) && self.log.members().0 <= upto {
                // It has no vote any more: the others go on without it.
                self.spread(now);
                let term = self.term;
                self.leader = None;
                return self.step_to(now, term);
            }
            self.spread(now);
        }
    }

    /// A new life of a member's name takes that one's place once it is gone and the new one has caught up: first the old
    /// one's vote is taken, then the new one gets its own.
    fn take_others_in(&mut self, now: Duration) {
        let near = self.settled.saturating_sub(8);
        let newcomer = self.progress.iter().find(|(id, of)| {
            let silent = |old: &NodeId| {
                let of = self.progress.get(old);
                of.is_none_or(|of| now >= of.heard + self.terms.election_timeout * GONE)
            };
            let gone = self
                .members()
                .iter()
                .filter(|old| old.name == id.name)
                .all(silent);
            let old = self.members().iter().any(|old| old.name == id.name);
            let place = old || self.log.members().1.pending_voter.as_ref() == Some(&id.name);
            !self.members().contains(id) && place && of.same >= near.max(1) && gone
        });
        let Some(id) = newcomer.map(|(id, _)| id.clone()) else {
            return;
        };
        let mut voters = Configuration {
            voters: self.members().clone(),
            pending_voter: None,
        };
        match voters
            .voters
            .iter()
            .find(|old| old.name == id.name)
            .cloned()
        {
            Some(old) => {
                voters.voters.remove(&old);
                voters.pending_voter = Some(id.name);
            }
            None => drop(voters.voters.insert(id)),
        }
        // Not now: with a later beat.
        let _ = self.change_to(now, voters);
    }

    /// Takes a packet in.
    pub fn receive(&mut self, now: Duration, packet: Packet) {
        let Packet {
            group,
            from,
            to_incarnation: to,
            term,
            message: say,
        } = packet;
        if from == self.me || (to != 0 && to != self.me.incarnation) {
            return;
        }
        match &say {
            Message::DiscoveryRequest {
                nonce,
                voters_checksum: voters,
            } => return self.tell_who_is_here(&from, *nonce, *voters),
            Message::DiscoveryResponse {
                nonce,
                voters_checksum: voters,
                initial_members: first,
            } => return self.heard_who_is_here(now, group, &from, (*nonce, *voters), first),
            Message::LearnerRequest {
                next_index: next,
                snapshot_index: of,
                snapshot_offset: byte,
            } => return self.tell_follower(group, &from, *next, *of, *byte),
            _ => {}
        }
        if group != self.group || self.group == 0 {
            return;
        }
        match say {
            Message::JoinRequest if self.standing == Role::Leader => {
                return self.take_in(now, from)
            }
            // Who asks may know nobody that leads now.
            Message::JoinRequest => {
                if let Some(leader) = self.leader.clone() {
                    self.say(&leader, Message::JoinForwarded { id: from });
                }
                return;
            }
            Message::JoinForwarded { id } => return self.take_in(now, id),
            _ => {}
        }
        if let Message::Propose { command: bytes } = say {
            // Not led by this one: whoever gave it will ask again.
            let _ = self.propose(now, bytes);
            return;
        }
        // A trial asks with the term that its asker has.
        if term > self.term {
            self.step_to(now, term);
        }
        match say {
            Message::VoteRequest {
                last,
                pre_vote: trial,
            } => self.give_vote(now, &from, term, last, trial),
            Message::VoteResponse {
                granted: yes,
                pre_vote: trial,
            } => {
                let asked = if trial {
                    Role::PreCandidate
                } else {
                    Role::Candidate
                };
                if yes && term == self.term && self.standing == asked {
                    self.votes.insert(from);
                    self.count(now);
                }
            }
            Message::AppendRequest {
                previous: before,
                entries,
                commit_index: settled,
                round,
            } => {
                if !self.is_led_by(now, &from, term, round) {
                    return;
                }
                self.append(&from, before, entries, settled, round);
            }
            Message::SnapshotRequest {
                last,
                configuration: members,
                offset: byte,
                total_length: whole,
                data: bytes,
                round,
            } => {
                if !self.is_led_by(now, &from, term, round) {
                    return;
                }
                self.take_piece(&from, last, members, (byte, whole), &bytes, round);
            }
            Message::AppendResponse {
                matched: same,
                round,
            } => {
                if term != self.term || self.standing != Role::Leader {
                    return;
                }
                self.was_appended(now, &from, same, round);
            }
            Message::SnapshotResponse {
                last,
                received: upto,
                round,
            } => {
                if term != self.term || self.standing != Role::Leader {
                    return;
                }
                self.had_piece(now, &from, last, upto, round);
            }
            _ => {}
        }
    }

    /// One without a vote is written to from now on, for as long as it answers.
    fn take_in(&mut self, now: Duration, id: NodeId) {
        if self.standing == Role::Leader && !self.members().contains(&id) {
            let next = self.log.last().index.max(1);
            let fresh = Progress {
                next,
                same: 0,
                heard: now,
                round: 0,
                waits: false,
                piece: (0, 0),
            };
            self.progress.entry(id).or_insert(fresh);
        }
    }

    fn tell_who_is_here(&mut self, from: &NodeId, nonce: u64, theirs: u64) {
        let voters = voters_mark(&self.terms.voters);
        if theirs != voters && self.group == 0 {
            return;
        }
        let reaches_back = self.log.base().index == 0;
        let first = if reaches_back {
            self.log.base_members().voters.clone()
        } else {
            Members::new()
        };
        self.say(
            from,
            Message::DiscoveryResponse {
                nonce,
                voters_checksum: voters,
                initial_members: first,
            },
        );
    }

    fn heard_who_is_here(
        &mut self,
        now: Duration,
        group: u64,
        from: &NodeId,
        of: (u64, u64),
        first: &Members,
    ) {
        if self.group != 0 || of.0 != self.begin.nonce || from.name == self.me.name {
            return;
        }
        if group == 0 {
            if of.1 == voters_mark(&self.terms.voters) {
                self.begin.is_free(from);
                self.make_a_group(now);
            }
            return;
        }
        self.begin.is_taken();
        // With a vote from the first only by this very life; else it learns who has one with all else.
        let members = if first.contains(&self.me) {
            first.clone()
        } else {
            Members::new()
        };
        let named = !members.is_empty();
        self.join(now, group, members);
        if !named {
            self.ask_to_be_taken_in();
        }
    }

    fn tell_follower(&mut self, group: u64, from: &NodeId, next: u64, of: u64, byte: u32) {
        if self.group == 0 || (group != 0 && group != self.group) {
            return;
        }
        let base = self.log.base().index;
        if next <= base {
            let state = self.log.state();
            let byte = if of == base { byte as usize } else { 0 };
            let bytes = state
                .get(byte..(byte + SNAPSHOT_CHUNK_BYTES).min(state.len()))
                .unwrap_or_default()
                .to_vec();
            let (index, byte, whole) = (base, byte as u32, state.len() as u32);
            let members = self.log.base_members().voters.clone();
            return self.say(
                from,
                Message::LearnerSnapshot {
                    last_index: index,
                    offset: byte,
                    total_length: whole,
                    data: bytes,
                    members,
                },
            );
        }
        let entries = self.log.some_from(next, BATCH, self.settled);
        self.say(
            from,
            Message::LearnerEntries {
                first_index: next,
                entries,
                commit_index: self.settled,
            },
        );
    }

    fn give_vote(
        &mut self,
        now: Duration,
        from: &NodeId,
        term: u64,
        last: LogPosition,
        trial: bool,
    ) {
        let reaches = term == self.term && last.is_up_to_date_with(&self.log.last());
        let yes = if trial {
            // While a leader is heard nobody is to be troubled by one that does not hear it.
            let led = self.leader.is_some() && now < self.heard + self.terms.election_timeout;
            reaches && !led && self.standing != Role::Leader
        } else {
            let free = self.voted.as_ref().is_none_or(|voted| voted == from);
            let yes =
                reaches && free && matches!(self.standing, Role::Follower | Role::PreCandidate);
            if yes && self.voted.is_none() {
                self.voted = Some(from.clone());
                self.keep(Record::Term {
                    term: self.term,
                    voted_for: self.voted.clone(),
                });
            }
            if yes {
                self.standing = Role::Follower;
                self.be_patient(now);
            }
            yes
        };
        self.say(
            from,
            Message::VoteResponse {
                granted: yes,
                pre_vote: trial,
            },
        );
    }

    /// Whether the sender leads this term.
    fn is_led_by(&mut self, now: Duration, from: &NodeId, term: u64, round: u64) -> bool {
        if term < self.term {
            // It learns by the answer's term that its own is over.
            self.say(
                from,
                Message::AppendResponse {
                    matched: Err(0),
                    round,
                },
            );
            return false;
        }
        self.standing = Role::Follower;
        self.leader = Some(from.clone());
        self.heard = now;
        self.be_patient(now);
        true
    }

    fn append(
        &mut self,
        from: &NodeId,
        before: LogPosition,
        entries: Vec<Entry>,
        settled: u64,
        round: u64,
    ) {
        let base = self.log.base().index;
        let held = if before.index < base {
            Some(before.term)
        } else {
            self.log.term_at(before.index)
        };
        if held != Some(before.term) {
            // What can't be the same is passed over a term at a time; what is settled is the same.
            let mut hint = before.index.saturating_sub(1).min(self.log.last().index);
            while hint > self.settled && held.is_some() && self.log.term_at(hint) == held {
                hint -= 1;
            }
            let same = Err(hint.max(self.settled));
            return self.say(
                from,
                Message::AppendResponse {
                    matched: same,
                    round,
                },
            );
        }
        let mut index = before.index;
        for entry in entries {
            index += 1;
            match self.log.term_at(index) {
                _ if index <= base => {}
                Some(term) if term == entry.term => {}
                // Settled and yet another: no leader can have it so.
                Some(_) if index <= self.settled => return,
                other => {
                    if other.is_some() {
                        self.log.cut(index);
                        self.keep(Record::Truncate { from_index: index });
                        self.stable = self.stable.min(index - 1);
                        self.marks
                            .iter_mut()
                            .for_each(|mark| mark.1 = mark.1.min(index - 1));
                    }
                    self.log.push(entry.clone());
                    self.keep(Record::Entry { index, entry });
                }
            }
        }
        self.settled = self.settled.max(settled.min(index));
        self.say(
            from,
            Message::AppendResponse {
                matched: Ok(index),
                round,
            },
        );
    }

    fn take_piece(
        &mut self,
        from: &NodeId,
        last: LogPosition,
        members: Configuration,
        (byte, whole): (u32, u32),
        bytes: &[u8],
        round: u64,
    ) {
        if last.index <= self.settled {
            return self.say(
                from,
                Message::AppendResponse {
                    matched: Ok(self.settled),
                    round,
                },
            );
        }
        let taken = match self.taken_in.take() {
            Some((of, taken)) if of == last => taken,
            _ => Vec::new(),
        };
        let (mut taken, whole) = (taken, whole as usize);
        if byte as usize == taken.len() && whole <= MOST_STATE {
            taken.extend_from_slice(bytes);
        }
        if taken.len() < whole {
            let upto = taken.len() as u32;
            self.taken_in = Some((last, taken));
            return self.say(
                from,
                Message::SnapshotResponse {
                    last,
                    received: upto,
                    round,
                },
            );
        }
        let record = Record::Snapshot {
            last,
            configuration: members.clone(),
            state: taken.clone(),
        };
        let follows = self.log.term_at(last.index) == Some(last.term);
        if !(follows && self.log.compact(last.index, taken.clone())) {
            self.log = Log::of(last, members, taken.clone());
            self.stable = self.stable.min(last.index);
            self.marks
                .iter_mut()
                .for_each(|mark| mark.1 = mark.1.min(last.index));
        }
        self.keep(record);
        (self.settled, self.whole) = (last.index, Some((last.index, taken)));
        self.say(
            from,
            Message::AppendResponse {
                matched: Ok(last.index),
                round,
            },
        );
    }

    fn was_appended(&mut self, now: Duration, from: &NodeId, same: Result<u64, u64>, round: u64) {
        let last = self.log.last().index;
        let Some(of) = self.progress.get_mut(from).filter(|of| round >= of.round) else {
            return;
        };
        (of.heard, of.round, of.waits) = (now, round, false);
        let more = match same {
            Ok(same) => {
                of.same = of.same.max(same.min(last));
                of.next = of.next.max(of.same + 1);
                of.next <= last
            }
            Err(hint) => {
                of.next = (hint + 1).min(of.next.saturating_sub(1)).max(of.same + 1);
                true
            }
        };
        self.settle(now);
        if more && self.standing == Role::Leader {
            self.append_to(from);
        }
    }

    fn had_piece(
        &mut self,
        now: Duration,
        from: &NodeId,
        last: LogPosition,
        upto: u32,
        round: u64,
    ) {
        let base = self.log.base();
        let Some(of) = self.progress.get_mut(from).filter(|of| round >= of.round) else {
            return;
        };
        (of.heard, of.round) = (now, round);
        if last == base {
            of.piece = (base.index, upto);
            self.append_to(from);
        }
    }
}
