//! One voter: who leads, which entries are held, and up to where they are settled.

use crate::begin::{voters_mark, Begin};
use crate::disk::{Held, Record};
use crate::log::Log;
use crate::words::{
    Entry, Id, Members, Packet, Place, Say, Voters, What, MOST_VOTERS, MOST_WORD, PIECE,
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
pub struct Terms {
    /// All that have a vote at the start, this one among them, by name.
    pub voters: Vec<String>,
    /// Between two words of a leader.
    pub beat: Duration,
    /// Without a word of the leader for so long a member thinks of standing; up to twice that, by chance.
    pub patience: Duration,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// In no group yet.
    Free,
    Follows,
    /// Asks whether it would get the votes.
    Tries,
    Stands,
    Leads,
}

/// What is to be kept on disk, in this order, and then told by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub no: u64,
    pub records: Vec<Record>,
}

/// What is settled, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    Word {
        at: Place,
        bytes: Vec<u8>,
    },
    /// The host's own state up to an entry, in the place of all words up to it.
    Whole {
        upto: u64,
        state: Vec<u8>,
    },
}

/// Why a word is not taken now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotNow {
    #[error("it does not lead; as far as it knows {0:?} does")]
    Follows(Option<String>),
    #[error("longer than {MOST_WORD} bytes")]
    Long,
    #[error("another change of members is not settled yet, or this term has settled nothing")]
    Changing,
    #[error("expected 1 to {MOST_VOTERS} members, one of them other than now")]
    Members,
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

pub struct Agree {
    me: Id,
    terms: Terms,
    chance: WyRand,
    group: u64,
    term: u64,
    voted: Option<Id>,
    log: Log,
    standing: Standing,
    leader: Option<Id>,
    heard: Duration,
    stand_at: Duration,
    beat_at: Duration,
    votes: BTreeSet<Id>,
    /// Its own vote counts once this much is on disk.
    vote_no: u64,
    progress: BTreeMap<Id, Progress>,
    round: u64,
    led_since: Duration,
    settled: u64,
    handed: u64,
    taken_in: Option<(Place, Vec<u8>)>,
    whole: Option<(u64, Vec<u8>)>,
    begin: Begin,
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

impl Agree {
    /// With what its disk holds. An empty disk makes a new life, of the number `disk`, which must never come twice.
    pub fn new(now: Duration, name: &str, disk: u64, records: &[Record], terms: Terms) -> Self {
        let mut held = Held::default();
        let _ = records.iter().all(|record| held.take(record));
        let fresh = held.life.is_none();
        let me = held.life.clone().unwrap_or(Id {
            name: name.to_owned(),
            disk,
        });
        let mut chance = WyRand::new_seed(terms.seed ^ me.disk);
        let begin = Begin::new(chance.generate::<u64>() | 1);
        let (base, last) = (held.log.base().index, held.log.last().index);
        let whole = (base > 0).then(|| (base, held.log.state().to_vec()));
        let mut agree = Self {
            terms,
            chance,
            group: held.group,
            term: held.term,
            voted: held.voted,
            standing: if held.group == 0 {
                Standing::Free
            } else {
                Standing::Follows
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
                vec![Record::Life(me.clone())]
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

    pub fn me(&self) -> &Id {
        &self.me
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// It leads, and has settled an entry of its term: what was settled before it knows too.
    pub fn leads_for_good(&self) -> bool {
        self.standing == Standing::Leads && self.log.term_at(self.settled) == Some(self.term)
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn group(&self) -> u64 {
        self.group
    }

    pub fn leader(&self) -> Option<&Id> {
        self.leader.as_ref()
    }

    pub fn members(&self) -> &Members {
        &self.log.members().1.ids
    }

    /// Up to which entry all is settled, as far as it knows.
    pub fn upto(&self) -> u64 {
        self.settled
    }

    /// Entries held beyond the last state: when many, `compact` is due.
    pub fn held(&self) -> u64 {
        self.log.last().index - self.log.base().index
    }

    /// When `tick` is to be called at the latest.
    pub fn next(&self) -> Duration {
        match self.standing {
            Standing::Free | Standing::Leads => self.beat_at,
            _ if self.has_vote() => self.stand_at,
            _ => self.beat_at,
        }
    }

    fn has_vote(&self) -> bool {
        self.members().contains(&self.me)
    }

    fn be_patient(&mut self, now: Duration) {
        let part = (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64;
        self.stand_at = now + self.terms.patience.mul_f64(1.0 + part);
    }

    fn keep(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// What is to be put on disk before anything that hangs on it leaves.
    pub fn write(&mut self) -> Option<Write> {
        if self.pending.is_empty() {
            return None;
        }
        self.write_no += 1;
        self.marks.push_back((self.write_no, self.log.last().index));
        Some(Write {
            no: self.write_no,
            records: std::mem::take(&mut self.pending),
        })
    }

    /// All up to this write is on disk, for good.
    pub fn wrote(&mut self, now: Duration, no: u64) {
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
            Standing::Stands | Standing::Tries => self.count(now),
            Standing::Leads => self.settle(now),
            _ => {}
        }
    }

    /// The whole of what the disk is to hold, in the fewest words: a host may put it in the place of a long file, if all that
    /// was handed out before is written.
    pub fn records(&self) -> Vec<Record> {
        let (life, group, term) = (Some(self.me.clone()), self.group, self.term);
        Held {
            life,
            group,
            term,
            voted: self.voted.clone(),
            log: self.log.clone(),
        }
        .records()
    }

    /// The next packet to send, and to whom by name.
    pub fn take(&mut self) -> Option<(String, Packet)> {
        let (needs, ..) = self.out.front()?;
        if *needs > self.written {
            return None;
        }
        self.out.pop_front().map(|(_, to, packet)| (to, packet))
    }

    fn say(&mut self, to: &Id, say: Say) {
        self.say_to(&to.name.clone(), to.disk, say);
    }

    fn say_to(&mut self, name: &str, disk: u64, say: Say) {
        let packet = Packet {
            group: self.group,
            from: self.me.clone(),
            to: disk,
            term: self.term,
            say,
        };
        let needs = self.write_no + u64::from(!self.pending.is_empty());
        if self.out.len() >= MOST_WAITING {
            self.out.pop_front();
        }
        self.out.push_back((needs, name.to_owned(), packet));
    }

    /// What is settled next, in order; each once in this life of the process.
    pub fn settled(&mut self) -> Option<Settled> {
        if let Some((upto, state)) = self.whole.take() {
            self.handed = self.handed.max(upto);
            return Some(Settled::Whole { upto, state });
        }
        while self.handed < self.settled {
            self.handed += 1;
            let entry = self.log.get(self.handed)?;
            if let What::Word(bytes) = &entry.what {
                let at = Place {
                    index: self.handed,
                    term: entry.term,
                };
                return Some(Settled::Word {
                    at,
                    bytes: bytes.clone(),
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
            self.keep(Record::State {
                last,
                members,
                state,
            });
        }
    }

    /// Puts a word up to be settled; its place, which it may lose again to another leader's.
    ///
    /// # Errors
    /// It does not lead, or the word is too long.
    pub fn propose(&mut self, now: Duration, bytes: Vec<u8>) -> Result<Place, NotNow> {
        if bytes.len() > MOST_WORD {
            return Err(NotNow::Long);
        }
        if self.standing != Standing::Leads {
            return Err(NotNow::Follows(
                self.leader.as_ref().map(|id| id.name.clone()),
            ));
        }
        let place = self.push(What::Word(bytes));
        self.spread(now);
        Ok(place)
    }

    /// Gives the leader a word to settle; nobody tells whether it came there.
    pub fn pass_on(&mut self, bytes: Vec<u8>) {
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.me) {
            self.say(&leader, Say::Propose { bytes });
        }
    }

    /// Gives or takes one vote.
    ///
    /// # Errors
    /// It does not lead, or can't change now.
    pub fn change(&mut self, now: Duration, members: Members) -> Result<Place, NotNow> {
        self.change_to(
            now,
            Voters {
                ids: members,
                awaited: None,
            },
        )
    }

    /// One of this name that has no vote is to get one, once it has caught up; until then nothing changes. In the place of one
    /// that was awaited before.
    ///
    /// # Errors
    /// It does not lead, can't change now, or there are as many members as may be.
    pub fn give_vote_to(&mut self, now: Duration, name: &str) -> Result<Place, NotNow> {
        if self.members().iter().any(|id| id.name == name) || self.members().len() >= MOST_VOTERS {
            return Err(NotNow::Members);
        }
        self.change_to(
            now,
            Voters {
                ids: self.members().clone(),
                awaited: Some(name.to_owned()),
            },
        )
    }

    /// Takes the vote of this name, or the wait for it.
    ///
    /// # Errors
    /// It does not lead, can't change now, or there is no such member, or no other.
    pub fn take_vote_of(&mut self, now: Duration, name: &str) -> Result<Place, NotNow> {
        let mut ids = self.members().clone();
        let awaited = self.awaited().is_some_and(|awaited| awaited == name);
        ids.retain(|id| id.name != name);
        if ids == *self.members() && !awaited {
            return Err(NotNow::Members);
        }
        self.change_to(now, Voters { ids, awaited: None })
    }

    /// Whose new life is to get a vote next.
    pub fn awaited(&self) -> Option<&str> {
        self.log.members().1.awaited.as_deref()
    }

    fn change_to(&mut self, now: Duration, voters: Voters) -> Result<Place, NotNow> {
        if self.standing != Standing::Leads {
            return Err(NotNow::Follows(
                self.leader.as_ref().map(|id| id.name.clone()),
            ));
        }
        let (said_at, old) = self.log.members();
        let one = match old.ids.symmetric_difference(&voters.ids).count() {
            // Who is awaited alone changes: all majorities stay as they are.
            0 => old.awaited != voters.awaited,
            many => many == 1,
        };
        if !one || voters.ids.is_empty() || voters.ids.len() > MOST_VOTERS {
            return Err(NotNow::Members);
        }
        // Without an entry of its own term settled, two leaders might each change by one from different members.
        if said_at > self.settled || self.log.term_at(self.settled) != Some(self.term) {
            return Err(NotNow::Changing);
        }
        let place = self.push(What::Members(voters));
        self.spread(now);
        Ok(place)
    }

    fn push(&mut self, what: What) -> Place {
        let entry = Entry {
            term: self.term,
            what,
        };
        let index = self.log.push(entry.clone());
        self.keep(Record::Entry { index, entry });
        Place {
            index,
            term: self.term,
        }
    }

    fn step_to(&mut self, now: Duration, term: u64) {
        if term > self.term {
            (self.term, self.voted) = (term, None);
            self.keep(Record::Term { term, voted: None });
            self.leader = None;
        }
        if !matches!(self.standing, Standing::Free | Standing::Follows) {
            self.standing = Standing::Follows;
            self.be_patient(now);
        }
        self.progress.clear();
        self.votes.clear();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        match self.standing {
            Standing::Free if now >= self.beat_at => self.look_for_a_group(now),
            Standing::Leads if now >= self.beat_at => self.beat(now),
            Standing::Follows | Standing::Tries | Standing::Stands if self.has_vote() => {
                if now < self.stand_at {
                    return;
                }
                self.try_to_lead(now);
            }
            // One that is not taken in yet, or not any more.
            Standing::Follows if now >= self.beat_at => {
                self.beat_at = now + self.terms.patience;
                if now >= self.heard + self.terms.patience * 2 {
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
            self.say_to(&name, 0, Say::TakeMeIn);
        }
    }

    fn look_for_a_group(&mut self, now: Duration) {
        self.beat_at = now + self.terms.beat * 2;
        let (nonce, voters) = (self.begin.nonce, voters_mark(&self.terms.voters));
        for name in self.others_named() {
            self.say_to(&name, 0, Say::Here { nonce, voters });
        }
        self.make_a_group(now);
    }

    fn make_a_group(&mut self, now: Duration) {
        if let Some(members) = self.begin.group(&self.me, &self.terms.voters) {
            self.join(now, self.me.disk, members);
        }
    }

    fn join(&mut self, now: Duration, group: u64, members: Members) {
        self.group = group;
        self.standing = Standing::Follows;
        let members = Voters {
            ids: members,
            awaited: None,
        };
        self.log = Log::of(Place::default(), members.clone(), Vec::new());
        self.keep(Record::Group {
            group,
            first: members,
        });
        self.heard = now;
        self.beat_at = now;
        self.be_patient(now);
    }

    /// Whether there would be votes: nobody's term goes up for one that is cut off and comes back.
    fn try_to_lead(&mut self, now: Duration) {
        self.standing = Standing::Tries;
        (self.leader, self.votes) = (None, BTreeSet::from([self.me.clone()]));
        self.be_patient(now);
        // Its vote may have been taken while it heard nobody: then nobody would tell it.
        if now >= self.heard + self.terms.patience * NEWCOMERS_WAIT {
            self.ask_to_be_taken_in();
        }
        self.ask_for_votes(true);
        self.count(now);
    }

    fn stand(&mut self, now: Duration) {
        self.standing = Standing::Stands;
        self.term += 1;
        self.voted = Some(self.me.clone());
        self.keep(Record::Term {
            term: self.term,
            voted: self.voted.clone(),
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
            self.say(&id, Say::MayI { last, trial });
        }
    }

    fn other_members(&self) -> Vec<Id> {
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
            Standing::Tries => self.stand(now),
            Standing::Stands if self.written >= self.vote_no => self.lead(now),
            _ => {}
        }
    }

    fn lead(&mut self, now: Duration) {
        self.standing = Standing::Leads;
        self.leader = Some(self.me.clone());
        self.led_since = now;
        self.progress.clear();
        self.push(What::Begins);
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
        let wait = self.terms.patience * NEWCOMERS_WAIT;
        self.progress
            .retain(|id, of| members.contains(id) || now < of.heard + wait);
    }

    fn beat(&mut self, now: Duration) {
        self.beat_at = now + self.terms.beat;
        self.track(now);
        // Without a majority that hears it, another may lead by now.
        let heard = |id: &Id| {
            let patient = now < self.led_since + self.terms.patience;
            *id == self.me
                || patient
                || self
                    .progress
                    .get(id)
                    .is_some_and(|of| now < of.heard + self.terms.patience)
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

    fn append_to(&mut self, id: &Id) {
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
            let upto = (from as usize + PIECE).min(whole as usize);
            let bytes = self
                .log
                .state()
                .get(from as usize..upto)
                .unwrap_or_default()
                .to_vec();
            let members = self.log.base_members().clone();
            let say = Say::Piece {
                last: base,
                members,
                from,
                whole,
                bytes,
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
            Say::Append {
                before: Place {
                    index: before,
                    term,
                },
                entries,
                settled,
                round,
            },
        );
    }

    /// What a majority has on disk, of this term, is settled, and all before it.
    fn settle(&mut self, now: Duration) {
        let members = self.members().clone();
        let same = |id: &Id| {
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
            let silent = |old: &Id| {
                let of = self.progress.get(old);
                of.is_none_or(|of| now >= of.heard + self.terms.patience * GONE)
            };
            let gone = self
                .members()
                .iter()
                .filter(|old| old.name == id.name)
                .all(silent);
            let old = self.members().iter().any(|old| old.name == id.name);
            let place = old || self.log.members().1.awaited.as_ref() == Some(&id.name);
            !self.members().contains(id) && place && of.same >= near.max(1) && gone
        });
        let Some(id) = newcomer.map(|(id, _)| id.clone()) else {
            return;
        };
        let mut voters = Voters {
            ids: self.members().clone(),
            awaited: None,
        };
        match voters.ids.iter().find(|old| old.name == id.name).cloned() {
            Some(old) => {
                voters.ids.remove(&old);
                voters.awaited = Some(id.name);
            }
            None => drop(voters.ids.insert(id)),
        }
        // Not now: with a later beat.
        let _ = self.change_to(now, voters);
    }

    /// Takes a packet in.
    pub fn hear(&mut self, now: Duration, packet: Packet) {
        let Packet {
            group,
            from,
            to,
            term,
            say,
        } = packet;
        if from == self.me || (to != 0 && to != self.me.disk) {
            return;
        }
        match &say {
            Say::Here { nonce, voters } => return self.tell_who_is_here(&from, *nonce, *voters),
            Say::HereToo {
                nonce,
                voters,
                first,
            } => return self.heard_who_is_here(now, group, &from, (*nonce, *voters), first),
            Say::Ask {
                next,
                of,
                from: byte,
            } => return self.tell_follower(group, &from, *next, *of, *byte),
            _ => {}
        }
        if group != self.group || self.group == 0 {
            return;
        }
        match say {
            Say::TakeMeIn if self.standing == Standing::Leads => return self.take_in(now, from),
            // Who asks may know nobody that leads now.
            Say::TakeMeIn => {
                if let Some(leader) = self.leader.clone() {
                    self.say(&leader, Say::TakeIn { id: from });
                }
                return;
            }
            Say::TakeIn { id } => return self.take_in(now, id),
            _ => {}
        }
        if let Say::Propose { bytes } = say {
            // Not led by this one: whoever gave it will ask again.
            let _ = self.propose(now, bytes);
            return;
        }
        // A trial asks with the term that its asker has.
        if term > self.term {
            self.step_to(now, term);
        }
        match say {
            Say::MayI { last, trial } => self.give_vote(now, &from, term, last, trial),
            Say::Vote { yes, trial } => {
                let asked = if trial {
                    Standing::Tries
                } else {
                    Standing::Stands
                };
                if yes && term == self.term && self.standing == asked {
                    self.votes.insert(from);
                    self.count(now);
                }
            }
            Say::Append {
                before,
                entries,
                settled,
                round,
            } => {
                if !self.is_led_by(now, &from, term, round) {
                    return;
                }
                self.append(&from, before, entries, settled, round);
            }
            Say::Piece {
                last,
                members,
                from: byte,
                whole,
                bytes,
                round,
            } => {
                if !self.is_led_by(now, &from, term, round) {
                    return;
                }
                self.take_piece(&from, last, members, (byte, whole), &bytes, round);
            }
            Say::Appended { same, round } => {
                if term != self.term || self.standing != Standing::Leads {
                    return;
                }
                self.was_appended(now, &from, same, round);
            }
            Say::HadPiece { last, upto, round } => {
                if term != self.term || self.standing != Standing::Leads {
                    return;
                }
                self.had_piece(now, &from, last, upto, round);
            }
            _ => {}
        }
    }

    /// One without a vote is written to from now on, for as long as it answers.
    fn take_in(&mut self, now: Duration, id: Id) {
        if self.standing == Standing::Leads && !self.members().contains(&id) {
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

    fn tell_who_is_here(&mut self, from: &Id, nonce: u64, theirs: u64) {
        let voters = voters_mark(&self.terms.voters);
        if theirs != voters && self.group == 0 {
            return;
        }
        let reaches_back = self.log.base().index == 0;
        let first = if reaches_back {
            self.log.base_members().ids.clone()
        } else {
            Members::new()
        };
        self.say(
            from,
            Say::HereToo {
                nonce,
                voters,
                first,
            },
        );
    }

    fn heard_who_is_here(
        &mut self,
        now: Duration,
        group: u64,
        from: &Id,
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

    fn tell_follower(&mut self, group: u64, from: &Id, next: u64, of: u64, byte: u32) {
        if self.group == 0 || (group != 0 && group != self.group) {
            return;
        }
        let base = self.log.base().index;
        if next <= base {
            let state = self.log.state();
            let byte = if of == base { byte as usize } else { 0 };
            let bytes = state
                .get(byte..(byte + PIECE).min(state.len()))
                .unwrap_or_default()
                .to_vec();
            let (index, byte, whole) = (base, byte as u32, state.len() as u32);
            let members = self.log.base_members().ids.clone();
            return self.say(
                from,
                Say::ToldPiece {
                    index,
                    from: byte,
                    whole,
                    bytes,
                    members,
                },
            );
        }
        let entries = self.log.some_from(next, BATCH, self.settled);
        self.say(
            from,
            Say::Told {
                first: next,
                entries,
                settled: self.settled,
            },
        );
    }

    fn give_vote(&mut self, now: Duration, from: &Id, term: u64, last: Place, trial: bool) {
        let reaches = term == self.term && last.reaches(&self.log.last());
        let yes = if trial {
            // While a leader is heard nobody is to be troubled by one that does not hear it.
            let led = self.leader.is_some() && now < self.heard + self.terms.patience;
            reaches && !led && self.standing != Standing::Leads
        } else {
            let free = self.voted.as_ref().is_none_or(|voted| voted == from);
            let yes =
                reaches && free && matches!(self.standing, Standing::Follows | Standing::Tries);
            if yes && self.voted.is_none() {
                self.voted = Some(from.clone());
                self.keep(Record::Term {
                    term: self.term,
                    voted: self.voted.clone(),
                });
            }
            if yes {
                self.standing = Standing::Follows;
                self.be_patient(now);
            }
            yes
        };
        self.say(from, Say::Vote { yes, trial });
    }

    /// Whether the sender leads this term.
    fn is_led_by(&mut self, now: Duration, from: &Id, term: u64, round: u64) -> bool {
        if term < self.term {
            // It learns by the answer's term that its own is over.
            self.say(
                from,
                Say::Appended {
                    same: Err(0),
                    round,
                },
            );
            return false;
        }
        self.standing = Standing::Follows;
        self.leader = Some(from.clone());
        self.heard = now;
        self.be_patient(now);
        true
    }

    fn append(&mut self, from: &Id, before: Place, entries: Vec<Entry>, settled: u64, round: u64) {
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
            return self.say(from, Say::Appended { same, round });
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
                        self.keep(Record::Cut { from: index });
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
            Say::Appended {
                same: Ok(index),
                round,
            },
        );
    }

    fn take_piece(
        &mut self,
        from: &Id,
        last: Place,
        members: Voters,
        (byte, whole): (u32, u32),
        bytes: &[u8],
        round: u64,
    ) {
        if last.index <= self.settled {
            return self.say(
                from,
                Say::Appended {
                    same: Ok(self.settled),
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
            return self.say(from, Say::HadPiece { last, upto, round });
        }
        let record = Record::State {
            last,
            members: members.clone(),
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
            Say::Appended {
                same: Ok(last.index),
                round,
            },
        );
    }

    fn was_appended(&mut self, now: Duration, from: &Id, same: Result<u64, u64>, round: u64) {
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
        if more && self.standing == Standing::Leads {
            self.append_to(from);
        }
    }

    fn had_piece(&mut self, now: Duration, from: &Id, last: Place, upto: u32, round: u64) {
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
