//! Who is told what, and when. New entries go to a few others drawn anew each time, each of whom passes on once what is new to it;
//! beside that each compares its logs with one other at a time, some origins after the other, and what one of the two lacks is
//! sent. So what is lost on the way, or was said while one was cut off, stopped or not there, comes by the comparison.
//!
//! Bounds: packets by `bytes_per_s`, half of it left for new entries; entries of a log and logs by number. One that has just started compares
//! as often as it is answered, with another each time, until it has all that one that knows had when it was first asked: then it has caught up. Where 32 others, or all, say that they
//! have not caught up themselves, as where all start at once, there is nobody to wait for. Those
//! that come back all at once so ask many, each of whom gives no more than its own bound.

use crate::logs::{Log, MOST_OF_ALL};
use crate::words::{Entry, Fact, Origin, Packet, Row, Say, MOST_LIFE, MOST_PACKET, MOST_ROWS};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Logs that are known, at most: beyond, empty ones go first.
pub(crate) const MOST_LOGS: usize = 2048;
/// A log with nothing in it any more is known for so long after: whatever copy is still on its way is told by it.
const KNOWN_FOR: Duration = Duration::from_secs(120);
/// New entries that wait to be told, at most: beyond, they come by the comparison.
const MOST_FRESH: usize = 4096;
const MOST_OUT: usize = 512;
/// Bytes of entries in one packet.
const BATCH: usize = MOST_PACKET - 80;
/// Where so many others have not caught up themselves nobody has: drawn by chance, of a fleet of which three in ten stayed, one in
/// 90,000 rounds would think so wrongly.
const NOBODY_KNOWS: usize = 32;
/// Packets of entries for one answer to a comparison.
const PACKETS_AN_ANSWER: usize = 4;

#[derive(Clone, Debug)]
pub struct Terms {
    pub me: Origin,
    /// New entries are told so often, and logs compared four times as seldom.
    pub beat: Duration,
    /// To so many others.
    pub fan: usize,
    pub bytes_per_s: u32,
    pub seed: u64,
}

/// A round of comparisons, some logs after the other.
#[derive(Clone, Debug, Default)]
struct Round {
    /// Compared up to here; none: at the beginning.
    upto: Option<Origin>,
    /// The comparison that is not answered yet, where it ends, and until when it is waited for.
    asked: Option<(u32, Option<Origin>, Duration)>,
    /// Of one that has not caught up: what those that know had when they were first asked for these logs, and of which it came.
    wanted: BTreeMap<Origin, u64>,
    came: BTreeSet<Origin>,
    /// Others that said that they have not caught up, since one last said that it has.
    unknowing: BTreeSet<String>,
}

#[derive(Clone)]
pub struct Replica {
    terms: Terms,
    logs: BTreeMap<Origin, Log>,
    /// Since when a log has had nothing in it.
    empty: BTreeMap<Origin, Duration>,
    others: Vec<String>,
    fresh: VecDeque<(Origin, u64)>,
    learned: VecDeque<(Origin, Entry)>,
    /// Up to where others have this one's own log, as far as they said.
    kept: BTreeMap<String, u64>,
    round: Round,
    caught_up: bool,
    next_no: u32,
    next_beat: Duration,
    next_round: Duration,
    budget: (f64, Duration),
    out: VecDeque<(String, Packet)>,
    chance: WyRand,
    sent: u64,
}

impl Replica {
    pub fn new(now: Duration, terms: Terms) -> Self {
        Self {
            logs: BTreeMap::from([(terms.me.clone(), Log::default())]),
            empty: BTreeMap::new(),
            others: Vec::new(),
            fresh: VecDeque::new(),
            learned: VecDeque::new(),
            kept: BTreeMap::new(),
            round: Round::default(),
            caught_up: false,
            next_no: 0,
            next_beat: now,
            next_round: now,
            budget: (f64::from(terms.bytes_per_s), now),
            out: VecDeque::new(),
            chance: WyRand::new_seed(terms.seed),
            sent: 0,
            terms,
        }
    }

    /// The others that are held to be there, by name, in any order.
    pub fn others(&mut self, names: impl Iterator<Item = String>) {
        self.others = names.filter(|name| *name != self.terms.me.name).collect();
        self.kept.retain(|name, _| self.others.contains(name));
    }

    pub fn me(&self) -> &Origin {
        &self.terms.me
    }

    /// All that others had when it started it has too, or none of them knows more.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    pub fn logs(&self) -> impl Iterator<Item = (&Origin, &Log)> {
        self.logs.iter()
    }

    pub fn bytes_sent(&self) -> u64 {
        self.sent
    }

    /// How many others have this own entry, as far as they said.
    pub fn kept_by(&self, no: u64) -> usize {
        self.kept.values().filter(|upto| **upto >= no).count()
    }

    /// Puts up a fact that lives for so long; its number.
    pub fn put(&mut self, now: Duration, fact: &Fact, life: Duration) -> u64 {
        let me = self.terms.me.clone();
        let log = self.logs.entry(me.clone()).or_default();
        let no = log.upto() + 1;
        let left = life.min(MOST_LIFE).as_millis() as u32;
        log.take(
            now,
            &Entry {
                no,
                left,
                kind: fact.kind(),
                body: fact.write(),
            },
        );
        self.tell(me, no);
        // A hit's mark is told with the next packet: it may be all that is left of this process.
        if matches!(fact, Fact::Hit { .. }) {
            self.next_beat = self.next_beat.min(now);
        }
        no
    }

    fn tell(&mut self, origin: Origin, no: u64) {
        if self.fresh.len() >= MOST_FRESH {
            self.fresh.pop_front();
        }
        self.fresh.push_back((origin, no));
    }

    /// What is new to this one, each entry once.
    pub fn learned(&mut self) -> Option<(Origin, Entry)> {
        self.learned.pop_front()
    }

    /// The next packet to send, and to whom by name.
    pub fn take(&mut self) -> Option<(String, Packet)> {
        self.out.pop_front()
    }

    /// When `tick` is to be called at the latest.
    pub fn next(&self) -> Duration {
        let answer = self.round.asked.as_ref().map(|(.., until)| *until);
        let round = answer.map_or(self.next_round, |until| until.max(self.next_round));
        self.next_beat.min(round)
    }

    fn say(&mut self, to: &str, say: Say) {
        if self.out.len() < MOST_OUT {
            let packet = Packet { say };
            let size = packet.write().len();
            self.sent += size as u64;
            self.budget.0 -= size as f64;
            self.out.push_back((to.to_owned(), packet));
        }
    }

    fn earn(&mut self, now: Duration) {
        let most = f64::from(self.terms.bytes_per_s);
        let earned = most * now.saturating_sub(self.budget.1).as_secs_f64();
        self.budget = ((self.budget.0 + earned).min(most), now);
    }

    fn some_others(&mut self, many: usize, but: &str) -> Vec<String> {
        let mut drawn = Vec::new();
        let mut left: Vec<usize> = (0..self.others.len())
            .filter(|n| self.others[*n] != but)
            .collect();
        while drawn.len() < many && !left.is_empty() {
            let at = self.chance.generate_range(0..left.len());
            drawn.push(self.others[left.swap_remove(at)].clone());
        }
        drawn
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.earn(now);
        if now >= self.next_beat {
            self.next_beat = now + self.terms.beat;
            self.forget(now);
            self.tell_fresh(now);
        }
        self.go_round(now);
    }

    fn forget(&mut self, now: Duration) {
        let most = MOST_OF_ALL / self.logs.len().max(1);
        for (origin, log) in &mut self.logs {
            log.forget(now);
            log.keep_most(most);
            if log.live() > 0 || *origin == self.terms.me {
                self.empty.remove(origin);
            } else {
                self.empty.entry(origin.clone()).or_insert(now);
            }
        }
        let over = self.logs.len() > MOST_LOGS;
        let gone: Vec<Origin> = self
            .empty
            .iter()
            .filter(|(_, since)| over || now >= **since + KNOWN_FOR)
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in gone {
            self.empty.remove(&origin);
            self.logs.remove(&origin);
        }
    }

    /// New entries, those of one origin together, to a few others.
    fn tell_fresh(&mut self, now: Duration) {
        if self.others.is_empty() {
            return;
        }
        let mut by_origin: BTreeMap<Origin, VecDeque<u64>> = BTreeMap::new();
        for (origin, no) in self.fresh.drain(..) {
            by_origin.entry(origin).or_default().push_back(no);
        }
        for (origin, mut nos) in by_origin {
            while self.budget.0 > 0.0 && !nos.is_empty() {
                self.tell_some(now, &origin, &mut nos);
            }
            // What may not be sent now waits.
            self.fresh
                .extend(nos.into_iter().map(|no| (origin.clone(), no)));
        }
    }

    /// One packet of them.
    fn tell_some(&mut self, now: Duration, origin: &Origin, nos: &mut VecDeque<u64>) {
        let (mut entries, mut size) = (Vec::new(), 0);
        while let Some(no) = nos.pop_front() {
            // What is over is not told any more.
            let Some(entry) = self.logs.get(origin).and_then(|log| log.get(now, no)) else {
                continue;
            };
            if size + entry.size() > BATCH {
                nos.push_front(no);
                break;
            }
            size += entry.size();
            entries.push(entry);
        }
        if !entries.is_empty() {
            // Where there are few an origin tells all itself, and one more each is enough for what is lost.
            let (few, own) = (
                self.others.len() <= self.terms.fan * 2,
                *origin == self.terms.me,
            );
            let fan = match (few, own) {
                (true, true) => self.others.len(),
                (true, false) => 1,
                (false, _) => self.terms.fan,
            };
            for to in self.some_others(fan, &origin.name) {
                let (origin, entries) = (origin.clone(), entries.clone());
                self.say(
                    &to,
                    Say::Entries {
                        origin,
                        all: None,
                        entries,
                    },
                );
            }
        }
    }

    /// Compares the next few logs with another.
    fn go_round(&mut self, now: Duration) {
        if self
            .round
            .asked
            .as_ref()
            .is_some_and(|(.., until)| now >= *until)
        {
            // Not answered: the same again, of another.
            self.round.asked = None;
        }
        if now < self.next_round || self.round.asked.is_some() {
            return;
        }
        self.next_round = now + self.terms.beat * 4;
        let Some(to) = self.some_others(1, "").pop() else {
            // Nobody is there to ask.
            return;
        };
        let from = self.round.upto.clone();
        let beyond = |origin: &Origin| from.as_ref().is_none_or(|from| origin > from);
        let rows: Vec<Row> = self
            .logs
            .iter()
            .filter(|(origin, _)| beyond(origin))
            .take(MOST_ROWS)
            .map(|(origin, log)| Row {
                origin: origin.clone(),
                upto: log.upto(),
            })
            .collect();
        let last = rows.len() < MOST_ROWS;
        let end = rows.last().map(|row| row.origin.clone()).filter(|_| !last);
        self.next_no = self.next_no.wrapping_add(1);
        let no = self.next_no;
        self.round.asked = Some((no, end.clone(), now + self.terms.beat * 8));
        self.say(
            &to,
            Say::Have {
                no,
                from,
                to: end,
                rows,
            },
        );
    }

    /// Takes a packet in, from the other of this name.
    pub fn hear(&mut self, now: Duration, from: &str, packet: Packet) {
        self.earn(now);
        match packet.say {
            Say::Entries {
                origin,
                all,
                entries,
            } => self.take_in(now, &origin, all, &entries),
            Say::Have {
                no,
                from: first,
                to,
                rows,
            } => self.compare(now, from, no, (first, to), &rows),
            Say::Lack {
                no,
                to,
                rows,
                ahead,
                knows,
            } => {
                for row in &rows {
                    self.said(from, row);
                    self.give(now, from, row, PACKETS_AN_ANSWER);
                }
                if let Some((_, end, _)) = self.round.asked.take_if(|(asked, ..)| *asked == no) {
                    let end = to.or(end);
                    if self.caught_up {
                        self.round.upto = end;
                        if !ahead.is_empty() {
                            self.next_round = now + self.terms.beat;
                        }
                    } else {
                        self.catch_up(now, from, end, ahead, knows);
                    }
                }
            }
        }
    }

    /// These logs are done with once one that knows is not ahead any more in what such a one had first.
    fn catch_up(
        &mut self,
        now: Duration,
        from: &str,
        end: Option<Origin>,
        ahead: Vec<Row>,
        knows: bool,
    ) {
        let round = &mut self.round;
        if knows {
            round.unknowing.clear();
        } else {
            round.unknowing.insert(from.to_owned());
        }
        self.next_round = now;
        if !knows && round.unknowing.len() < self.others.len().min(NOBODY_KNOWS) {
            return;
        }
        for row in ahead.iter().filter(|row| !round.came.contains(&row.origin)) {
            round.wanted.entry(row.origin.clone()).or_insert(row.upto);
        }
        let covers = |origin: &Origin| end.as_ref().is_none_or(|end| origin <= end);
        let logs = &self.logs;
        let has = |origin: &Origin, upto: u64| {
            let known = logs.get(origin).is_some_and(|log| log.upto() >= upto);
            known || (covers(origin) && ahead.iter().all(|row| row.origin != *origin))
        };
        let (came, wanted): (BTreeMap<_, _>, _) = std::mem::take(&mut round.wanted)
            .into_iter()
            .partition(|(origin, upto)| has(origin, *upto));
        round.came.extend(came.into_keys());
        round.wanted = wanted;
        if round.wanted.keys().any(covers) {
            // It is on its way.
            self.next_round = now + self.terms.beat;
            return;
        }
        self.caught_up = end.is_none();
        round.upto = end;
        round.came.clear();
    }

    /// What another said about how far it is.
    fn said(&mut self, from: &str, row: &Row) {
        if row.origin == self.terms.me && self.others.iter().any(|name| name == from) {
            let upto = self.kept.entry(from.to_owned()).or_default();
            *upto = row.upto.max(*upto);
        }
    }

    fn take_in(
        &mut self,
        now: Duration,
        origin: &Origin,
        all: Option<(u64, u64)>,
        entries: &[Entry],
    ) {
        // Nobody tells this one what it said itself in this life.
        if *origin == self.terms.me
            || (self.logs.len() >= MOST_LOGS && !self.logs.contains_key(origin))
        {
            return;
        }
        let most = (MOST_OF_ALL / (self.logs.len() + 1)).max(1);
        let log = self.logs.entry(origin.clone()).or_default();
        let fresh = match all {
            Some(range) => log.take_all(now, range, entries),
            None => entries
                .iter()
                .filter(|entry| log.take(now, entry))
                .cloned()
                .collect(),
        };
        log.keep_most(most);
        for entry in fresh {
            self.tell(origin.clone(), entry.no);
            self.learned.push_back((origin.clone(), entry));
        }
    }

    fn compare(
        &mut self,
        now: Duration,
        from: &str,
        no: u32,
        (first, last): (Option<Origin>, Option<Origin>),
        rows: &[Row],
    ) {
        let mut theirs: BTreeMap<&Origin, u64> = BTreeMap::new();
        for row in rows {
            self.said(from, row);
            theirs.insert(&row.origin, row.upto);
        }
        let within = |origin: &Origin| {
            first.as_ref().is_none_or(|first| origin > first)
                && last.as_ref().is_none_or(|last| origin <= last)
        };
        let mine: BTreeMap<Origin, u64> = self
            .logs
            .iter()
            .filter(|(origin, _)| within(origin))
            .map(|(origin, log)| (origin.clone(), log.upto()))
            .collect();
        let behind = |(origin, upto): (&Origin, &u64)| {
            let mine = mine.get(origin).copied().unwrap_or(0);
            (mine < *upto).then(|| Row {
                origin: (*origin).clone(),
                upto: mine,
            })
        };
        let lacks: Vec<Row> = theirs
            .iter()
            .map(|(origin, upto)| (*origin, upto))
            .filter_map(behind)
            .collect();
        let mut ahead: Vec<Row> = Vec::new();
        let mut to = None;
        for (origin, upto) in &mine {
            if theirs.get(origin).copied().unwrap_or(0) < *upto {
                ahead.push(Row {
                    origin: origin.clone(),
                    upto: *upto,
                });
            }
            if ahead.len() == MOST_ROWS {
                to = Some(origin.clone());
                break;
            }
        }
        // The answer first: entries beside it may use up what may be sent.
        let behind_in: Vec<Row> = ahead
            .iter()
            .map(|row| Row {
                upto: theirs.get(&row.origin).copied().unwrap_or(0),
                ..row.clone()
            })
            .collect();
        self.say(
            from,
            Say::Lack {
                no,
                to,
                rows: lacks,
                ahead,
                knows: self.caught_up,
            },
        );
        let mut room = PACKETS_AN_ANSWER;
        for row in &behind_in {
            if room == 0 {
                break;
            }
            room -= self.give(now, from, row, room);
        }
    }

    /// What one lacks of a log, from where its copy is whole; how many packets that took.
    fn give(&mut self, now: Duration, to: &str, row: &Row, room: usize) -> usize {
        let (mut after, mut packets) = (row.upto, 0);
        // Half of what may be sent is left for new entries, whoever comes back.
        while packets < room && self.budget.0 > f64::from(self.terms.bytes_per_s) / 2.0 {
            // Only as far as this copy is whole itself.
            let Some(log) = self.logs.get(&row.origin).filter(|log| log.upto() > after) else {
                break;
            };
            let whole = log.upto();
            let mut entries = log.some_from(now, after + 1, BATCH);
            let more = entries
                .last()
                .is_some_and(|last| log.goes_on_after(last.no, whole));
            entries.retain(|entry| entry.no <= whole);
            let upto = entries
                .last()
                .filter(|_| more)
                .map_or(whole, |last| last.no);
            self.say(
                to,
                Say::Entries {
                    origin: row.origin.clone(),
                    all: Some((after, upto)),
                    entries,
                },
            );
            (after, packets) = (upto, packets + 1);
        }
        packets
    }
}
