//! Probes, suspicions and refutations: who asks whom when, and what an answer or none is held to mean.

use crate::gossip::{size, Gossip, Rides};
use crate::roll::{Effect, Member, Roll};
use crate::seal::{Key, Refused, Seal};
use crate::words::{Claim, Frame, Kind, Name, Poster, Standing, MOST_PARCEL, MOST_POSTER};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Members that are asked to probe in one's stead.
const STEADS: usize = 3;
/// Members that are told what is new, beside the one that is probed.
const TOLD: usize = 2;
/// How often a claim rides, times the logarithm of the members: all but surely all hear it.
const RIDES: f64 = 4.0;
/// A suspect has so many periods, times the logarithm of the members, to clear itself when several accuse it, and
/// `LONGEST` times that when one alone does.
const SUSPICION: f64 = 4.0;
const LONGEST: f64 = 6.0;
const ACCUSERS: f64 = 3.0;
/// A member that is slow itself waits up to so many times longer for others.
const SLOWEST: u32 = 8;
/// Periods between two tries to reach who is not here: the dead, and the addresses to join by.
const REACHES_EVERY: u32 = 10;
/// Periods between two exchanges of a part of the roll, and members in that part.
const EXCHANGES_EVERY: u32 = 20;
const EXCHANGED: usize = 16;
/// Members told at a leave.
const BIDDEN_FAREWELL: usize = 5;
/// Probes in others' stead that are under way, and datagrams that wait to be taken, at most.
const MOST_STEADS: usize = 256;
const MOST_WAITING: usize = 1024;

/// What a member goes by.
#[derive(Clone)]
pub struct Terms {
    pub name: Name,
    /// When this process started, in Unix time in milliseconds, and what the caller's clock showed then.
    pub start: u64,
    pub since: Duration,
    /// Where others reach it.
    pub at: SocketAddr,
    /// Where some others may be reached.
    pub join: Vec<SocketAddr>,
    pub keys: Vec<Key>,
    /// Between two probes.
    pub period: Duration,
    pub bytes_per_s: u32,
    pub seed: u64,
}

/// Terms that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Trouble {
    #[error("no key, expected one or two")]
    NoKey,
    #[error("key {0} has {1} bytes, expected 16 or more")]
    ShortKey(u8, usize),
    #[error("two keys have the number {0}")]
    SameKey(u8),
    #[error("more than two keys")]
    ManyKeys,
    #[error("a period of {0:?}, expected 10 ms to 60 s")]
    Period(Duration),
    #[error("{0} bytes a second, expected 2000 or more")]
    Bytes(u32),
}

/// What changed of who is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It is here, under a new name or with a new start, or is back.
    Up(Name),
    Suspected(Name),
    Down(Name),
    /// It left of its own will.
    Left(Name),
    /// Another process has this member's name and started later: this one says nothing any more.
    Usurped,
}

struct Probe {
    no: u32,
    whom: Name,
    /// When others are asked in our stead, and when it is over.
    stead_at: Duration,
    until: Duration,
    asked: u32,
    silent: u32,
}

struct Stead {
    no: u32,
    asker: SocketAddr,
    until: Duration,
}

pub struct Peers {
    terms: Terms,
    me: Claim,
    roll: Roll,
    gossip: Gossip<Claim>,
    /// What members have put up, each with the time at which it was heard, and what of it still rides.
    posters: BTreeMap<Name, (Poster, Duration)>,
    posting: Gossip<Poster>,
    seal: Seal,
    chance: WyRand,
    probe: Option<Probe>,
    ring: Vec<Name>,
    steads: BTreeMap<u32, Stead>,
    next_no: u32,
    next_probe: Duration,
    next_reach: Duration,
    next_exchange: Duration,
    /// How slow this member itself is: answers that came late, and accusations.
    slow: u32,
    /// Bytes that may be sent now, and when that was so.
    budget: (f64, Duration),
    quiet: bool,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    news: VecDeque<News>,
    parcels: VecDeque<(Name, Vec<u8>)>,
    sent: u64,
    refused: BTreeMap<Refused, u64>,
}

impl Peers {
    /// # Errors
    /// What of the terms can't be used.
    pub fn new(now: Duration, terms: Terms) -> Result<Self, Trouble> {
        check(&terms.keys)?;
        let period = terms.period;
        if !(Duration::from_millis(10)..=Duration::from_secs(60)).contains(&period) {
            return Err(Trouble::Period(period));
        }
        if terms.bytes_per_s < 2000 {
            return Err(Trouble::Bytes(terms.bytes_per_s));
        }
        let mut chance = WyRand::new_seed(terms.seed);
        let me = Claim {
            name: terms.name.clone(),
            start: terms.start,
            incarnation: 0,
            standing: Standing::Alive,
            at: terms.at,
        };
        // A fleet that starts at once does not probe at once.
        let first = period.mul_f64(share(&mut chance));
        Ok(Self {
            seal: Seal::new(terms.keys.clone()),
            budget: (f64::from(terms.bytes_per_s), now),
            me,
            roll: Roll::default(),
            gossip: Gossip::default(),
            posters: BTreeMap::new(),
            posting: Gossip::default(),
            probe: None,
            ring: Vec::new(),
            steads: BTreeMap::new(),
            next_no: 0,
            next_probe: now + first,
            next_reach: now,
            next_exchange: now + period * EXCHANGES_EVERY + first,
            slow: 0,
            quiet: false,
            out: VecDeque::new(),
            news: VecDeque::new(),
            parcels: VecDeque::new(),
            sent: 0,
            refused: BTreeMap::new(),
            chance,
            terms,
        })
    }

    /// Who is here beside this one, the suspects among them.
    pub fn here(&self) -> impl Iterator<Item = &Member> {
        self.roll.here()
    }

    /// All that are held, the dead among them.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.roll.iter()
    }

    pub fn me(&self) -> &Claim {
        &self.me
    }

    /// Puts something up for all members to read, in the place of what was there; false if it is too long.
    pub fn put_up(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        let fits = bytes.len() <= MOST_POSTER;
        if fits {
            let no = self
                .posters
                .get(&self.me.name)
                .map_or(0, |(old, _)| old.no.wrapping_add(1));
            let poster = Poster {
                name: self.me.name.clone(),
                start: self.me.start,
                no,
                bytes,
            };
            self.posting.put(poster.clone());
            self.posters.insert(self.me.name.clone(), (poster, now));
        }
        fits
    }

    /// What another member that is here has put up, and when it was heard.
    pub fn put_up_by(&self, name: &Name) -> Option<(&[u8], Duration)> {
        let (poster, at) = self.posters.get(name)?;
        let here = |member: &&Member| member.is_here() && member.claim.start == poster.start;
        self.roll
            .get(name)
            .filter(here)
            .map(|_| (poster.bytes.as_slice(), *at))
    }

    /// Only of members that are here: so there are no more of them.
    fn read_poster(&mut self, now: Duration, poster: Poster) {
        let here = |member: &&Member| member.is_here() && member.claim.start == poster.start;
        let known =
            poster.name != self.me.name && self.roll.get(&poster.name).filter(here).is_some();
        let old = self
            .posters
            .get(&poster.name)
            .map(|(old, _)| (old.start, old.no));
        if known && poster.bytes.len() <= MOST_POSTER && old < Some((poster.start, poster.no)) {
            self.posting.put(poster.clone());
            self.posters.insert(poster.name.clone(), (poster, now));
        }
    }

    /// Sends another something, whatever it is held to be: who is cut off here may be reached there. False if it is not
    /// known, or too long. It does not count against the budget of claims: whoever stands above bounds it.
    pub fn post_parcel(&mut self, now: Duration, to: &Name, bytes: Vec<u8>) -> bool {
        let Some(at) = self.roll.get(to).map(|member| member.claim.at) else {
            return false;
        };
        let fits = bytes.len() <= MOST_PARCEL;
        if fits {
            let budget = self.budget;
            self.post(now, at, Kind::Parcel { bytes }, Vec::new(), Vec::new());
            self.budget = budget;
        }
        fits
    }

    /// The next parcel that came, and from whom.
    pub fn parcel(&mut self) -> Option<(Name, Vec<u8>)> {
        self.parcels.pop_front()
    }

    /// 0 to 8: how much longer it waits for others, for being slow itself.
    pub fn slowness(&self) -> u32 {
        self.slow
    }

    pub fn bytes_sent(&self) -> u64 {
        self.sent
    }

    /// Datagrams that were refused, by cause.
    pub fn refused(&self) -> &BTreeMap<Refused, u64> {
        &self.refused
    }

    /// # Errors
    /// Keys that can't be used; the old ones stay.
    pub fn change_keys(&mut self, keys: Vec<Key>) -> Result<(), Trouble> {
        check(&keys)?;
        self.seal.change(keys);
        Ok(())
    }

    /// The next datagram to send.
    pub fn take(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    pub fn news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// When `tick` is to be called at the latest.
    pub fn next(&self) -> Duration {
        let probe = self
            .probe
            .as_ref()
            .map(|p| if p.asked == 0 { p.stead_at } else { p.until });
        let suspects = self.roll.suspects().map(|m| m.since + self.suspicion(m));
        let steads = self.steads.values().map(|stead| stead.until);
        let own = [
            probe.unwrap_or(self.next_probe),
            self.next_reach,
            self.next_exchange,
        ];
        own.into_iter()
            .chain(suspects)
            .chain(steads)
            .min()
            .unwrap_or(self.next_probe)
    }

    fn today_ms(&self, now: Duration) -> u64 {
        self.terms.start + now.saturating_sub(self.terms.since).as_millis() as u64
    }

    fn members(&self) -> usize {
        self.roll.count_here() + 1
    }

    /// How long a suspect has to clear itself: the longer, the fewer accuse it.
    fn suspicion(&self, suspect: &Member) -> Duration {
        let members = self.members() as f64;
        let least = SUSPICION * members.max(10.0).log10();
        let needed = ACCUSERS.min(members - 2.0);
        let others = suspect.accusers.len().saturating_sub(1) as f64;
        let part = if needed < 1.0 {
            1.0
        } else {
            ((others + 1.0).ln() / (needed + 1.0).ln()).min(1.0)
        };
        self.terms
            .period
            .mul_f64(least * (LONGEST - (LONGEST - 1.0) * part))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next());
        if late > self.terms.period {
            // This process stood still: nobody is to blame for what was not heard meanwhile.
            self.slow = (self.slow + 1).min(SLOWEST);
            self.roll.shift_suspicion(late);
            if let Some(probe) = &mut self.probe {
                (probe.stead_at, probe.until) = (probe.stead_at + late, probe.until + late);
            }
        }
        if self.quiet {
            self.park(now);
            return;
        }
        self.steads_over(now);
        self.probe_on(now);
        self.suspects_over(now);
        if self.probe.is_none() && now >= self.next_probe {
            self.begin_probe(now);
        }
        if now >= self.next_reach {
            self.reach(now);
        }
        if now >= self.next_exchange {
            self.next_exchange = now + self.terms.period * EXCHANGES_EVERY;
            self.exchange(now);
            self.roll.forget(now);
            let (roll, me) = (&self.roll, &self.me.name);
            self.posters
                .retain(|name, _| name == me || roll.get(name).is_some_and(Member::is_here));
        }
    }

    /// Nothing is due any more.
    fn park(&mut self, now: Duration) {
        let later = now + Duration::from_secs(3600);
        (
            self.next_probe,
            self.next_reach,
            self.next_exchange,
            self.probe,
        ) = (later, later, later, None);
        self.steads.clear();
        let suspects: Vec<Claim> = self.suspects();
        for claim in suspects {
            let me = self.me.name.clone();
            self.roll.take(
                Claim {
                    standing: Standing::Dead,
                    ..claim
                },
                &me,
                now,
            );
        }
    }

    fn suspects(&self) -> Vec<Claim> {
        self.roll
            .suspects()
            .map(|member| member.claim.clone())
            .collect()
    }

    fn steads_over(&mut self, now: Duration) {
        let over = |stead: &Stead| now >= stead.until;
        let late: Vec<u32> = self
            .steads
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(no, _)| *no)
            .collect();
        for stead in late
            .into_iter()
            .filter_map(|no| self.steads.remove(&no))
            .collect::<Vec<_>>()
        {
            self.send(now, stead.asker, Kind::Silent { no: stead.no }, None);
        }
    }

    fn begin_probe(&mut self, now: Duration) {
        let longer = self.terms.period * (1 + self.slow);
        self.next_probe = now + longer;
        let Some(whom) = self.next_in_ring() else {
            return;
        };
        let Some(at) = self.roll.get(&whom).map(|member| member.claim.at) else {
            return;
        };
        let no = self.number();
        self.send(
            now,
            at,
            Kind::Probe {
                no,
                whom: whom.clone(),
            },
            Some(&whom),
        );
        let (stead_at, until) = (now + longer / 2, now + longer);
        self.probe = Some(Probe {
            no,
            whom,
            stead_at,
            until,
            asked: 0,
            silent: 0,
        });
        if self.gossip.len() + self.posting.len() > 0 {
            for at in self.some(TOLD, None) {
                self.send(now, at, Kind::Tell, None);
            }
        }
    }

    /// Each member in turn, in an order drawn anew each time round: none waits longer than two rounds.
    fn next_in_ring(&mut self) -> Option<Name> {
        loop {
            while let Some(name) = self.ring.pop() {
                if self.roll.get(&name).is_some_and(Member::is_here) {
                    return Some(name);
                }
            }
            let mut ring: Vec<Name> = self
                .here()
                .map(|member| member.claim.name.clone())
                .collect();
            if ring.is_empty() {
                return None;
            }
            self.chance.shuffle(&mut ring);
            self.ring = ring;
        }
    }

    fn number(&mut self) -> u32 {
        self.next_no = self.next_no.wrapping_add(1);
        self.next_no
    }

    /// Addresses of some members that are here, drawn.
    fn some(&mut self, most: usize, but: Option<&Name>) -> Vec<SocketAddr> {
        let here = self.here().filter(|member| Some(&member.claim.name) != but);
        let mut here: Vec<SocketAddr> = here.map(|member| member.claim.at).collect();
        let most = most.min(here.len());
        for place in 0..most {
            let other = self.chance.generate_range(place..here.len());
            here.swap(place, other);
        }
        here.truncate(most);
        here
    }

    fn probe_on(&mut self, now: Duration) {
        let Some(probe) = &self.probe else { return };
        let (no, whom) = (probe.no, probe.whom.clone());
        if now >= probe.until {
            let missed = probe.asked.saturating_sub(probe.silent);
            // Of those that were asked to say at least that it is silent, some said nothing: it may be us.
            self.slow = (self.slow + missed).min(SLOWEST);
            self.probe = None;
            if let Some(member) = self
                .roll
                .get(&whom)
                .filter(|m| m.claim.standing == Standing::Alive)
            {
                let claim = Claim {
                    standing: Standing::Suspect,
                    ..member.claim.clone()
                };
                let at = claim.at;
                self.believe(now, claim, &self.me.name.clone());
                // It hears of it first, and its answer clears it.
                let no = self.number();
                self.send(
                    now,
                    at,
                    Kind::Probe {
                        no,
                        whom: whom.clone(),
                    },
                    Some(&whom),
                );
            }
        } else if now >= probe.stead_at && probe.asked == 0 {
            let Some(at) = self.roll.get(&whom).map(|member| member.claim.at) else {
                return;
            };
            let steads = self.some(STEADS, Some(&whom));
            if let Some(probe) = &mut self.probe {
                // With nobody to ask, the rest of the time is the member's own.
                probe.asked = steads.len() as u32;
                probe.stead_at = probe.until;
            }
            for stead in steads {
                self.send(
                    now,
                    stead,
                    Kind::Ask {
                        no,
                        whom: whom.clone(),
                        at,
                    },
                    None,
                );
            }
        }
    }

    fn suspects_over(&mut self, now: Duration) {
        let over = |member: &&Member| now >= member.since + self.suspicion(member);
        let dead: Vec<Claim> = self
            .roll
            .suspects()
            .filter(over)
            .map(|m| m.claim.clone())
            .collect();
        for claim in dead {
            self.believe(
                now,
                Claim {
                    standing: Standing::Dead,
                    ..claim
                },
                &self.me.name.clone(),
            );
        }
    }

    /// Tries to reach who is not here: heals a fleet that was cut in two, and brings in one that knows nobody.
    fn reach(&mut self, now: Duration) {
        let alone = self.here().next().is_none();
        let periods = if alone { 1 } else { REACHES_EVERY };
        self.next_reach =
            now + (self.terms.period * periods).mul_f64(0.5 + share(&mut self.chance));
        let here =
            |at: &SocketAddr| *at == self.me.at || self.here().any(|member| member.claim.at == *at);
        let dead = self
            .roll
            .iter()
            .filter(|member| member.claim.standing == Standing::Dead);
        let away = dead
            .map(|member| member.claim.at)
            .chain(self.terms.join.iter().copied());
        let away: Vec<SocketAddr> = away.filter(|at| !here(at)).collect();
        if !away.is_empty() {
            let one = self.chance.generate_range(0..away.len());
            // It is told first what it is held to be here, so that it can refute that.
            let held = self.roll.iter().find(|member| member.claim.at == away[one]);
            let held = held.map(|member| member.claim.clone());
            let name = held.as_ref().map(|claim| claim.name.clone());
            held.into_iter().for_each(|claim| self.gossip.put(claim));
            self.send(now, away[one], Kind::Join, name.as_ref());
        }
    }

    /// Tells one member a drawn part of the roll: what gossip lost is mended in time.
    fn exchange(&mut self, now: Duration) {
        let mut claims: Vec<Claim> = self
            .roll
            .iter()
            .map(|member| member.claim.clone())
            .collect();
        self.chance.shuffle(&mut claims);
        claims.truncate(EXCHANGED);
        for to in self.some(1, None) {
            let left = Seal::room() - size(&self.me) - 12 - claims.iter().map(size).sum::<usize>();
            let posters = self.posters_of(&claims, left);
            self.post(now, to, Kind::Roll { back: false }, claims.clone(), posters);
        }
    }

    /// All members, in as many datagrams as it takes, while the budget lasts.
    fn tell_all(&mut self, now: Duration, to: SocketAddr, back: bool) {
        let mut claims: Vec<Claim> = self
            .roll
            .iter()
            .map(|member| member.claim.clone())
            .collect();
        self.chance.shuffle(&mut claims);
        let mut first = true;
        while (first || !claims.is_empty()) && self.may_send(now) {
            let (mut some, mut left) = (Vec::new(), Seal::room() - size(&self.me) - 8);
            let own = if first {
                self.posters_of(std::slice::from_ref(&self.me), left)
            } else {
                Vec::new()
            };
            left -= own.iter().map(Rides::size).sum::<usize>();
            let with = |claim: &Claim| size(claim) + self.poster_size(&claim.name);
            while let Some(claim) = claims.pop_if(|claim| with(claim) <= left) {
                left -= with(&claim);
                some.push(claim);
            }
            let posters = self
                .posters_of(&some, Seal::room())
                .into_iter()
                .chain(own)
                .collect();
            self.post(
                now,
                to,
                Kind::Roll {
                    back: back && first,
                },
                some,
                posters,
            );
            first = false;
        }
    }

    fn poster_size(&self, name: &Name) -> usize {
        self.posters
            .get(name)
            .map_or(0, |(poster, _)| poster.size())
    }

    /// What those of the claims have put up, as far as it fits.
    fn posters_of(&self, claims: &[Claim], mut left: usize) -> Vec<Poster> {
        let held = claims
            .iter()
            .filter_map(|claim| self.posters.get(&claim.name));
        let fits = |poster: &&Poster| {
            let fits = poster.size() <= left;
            left -= if fits { poster.size() } else { 0 };
            fits
        };
        held.map(|(poster, _)| poster)
            .filter(fits)
            .cloned()
            .collect()
    }

    fn may_send(&mut self, now: Duration) -> bool {
        let (left, at) = self.budget;
        let rate = f64::from(self.terms.bytes_per_s);
        self.budget = (
            (left + rate * now.saturating_sub(at).as_secs_f64()).min(rate),
            now,
        );
        self.budget.0 > 0.0
    }

    /// Sends a frame with what gossip has; `first` is told first.
    fn send(&mut self, now: Duration, to: SocketAddr, kind: Kind, first: Option<&Name>) {
        let words = match &kind {
            Kind::Probe { .. } | Kind::Ask { .. } => 100,
            _ => 16,
        };
        let room = Seal::room().saturating_sub(size(&self.me) + words);
        let rides = (RIDES * (self.members() as f64 + 1.0).log10().ceil()) as u32;
        if !self.may_send(now) {
            return self.post(now, to, kind, Vec::new(), Vec::new());
        }
        let claims = self.gossip.take(room, rides, first);
        let left = room.saturating_sub(claims.iter().map(size).sum());
        let posters = self.posting.take(left, rides, None);
        self.post(now, to, kind, claims, posters);
    }

    fn post(
        &mut self,
        now: Duration,
        to: SocketAddr,
        kind: Kind,
        claims: Vec<Claim>,
        posters: Vec<Poster>,
    ) {
        if self.quiet || self.out.len() >= MOST_WAITING {
            return;
        }
        let frame = Frame {
            from: self.me.clone(),
            kind,
            claims,
            posters,
        };
        let Some(datagram) = self.seal.close(&frame, self.today_ms(now)) else {
            return;
        };
        self.budget.0 -= datagram.len() as f64;
        self.sent += datagram.len() as u64;
        self.out.push_back((to, datagram));
    }

    /// Takes a datagram.
    ///
    /// # Errors
    /// Why it is not heard.
    pub fn hear(&mut self, now: Duration, datagram: &[u8]) -> Result<(), Refused> {
        let heard = self
            .seal
            .open(datagram, self.today_ms(now))
            .and_then(|frame| self.is_others(frame, now));
        match heard {
            Ok(frame) => {
                self.take_frame(now, frame);
                Ok(())
            }
            Err(refused) => {
                *self.refused.entry(refused).or_default() += 1;
                Err(refused)
            }
        }
    }

    fn is_others(&mut self, frame: Frame, now: Duration) -> Result<Frame, Refused> {
        if frame.from.name != self.me.name {
            return Ok(frame);
        }
        if frame.from.start > self.me.start {
            self.usurped(now);
        }
        Err(Refused::Own)
    }

    fn usurped(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.quiet, true) {
            self.news.push_back(News::Usurped);
            self.park(now);
        }
    }

    fn take_frame(&mut self, now: Duration, frame: Frame) {
        if self.quiet {
            return;
        }
        let Frame {
            from,
            kind,
            claims,
            posters,
        } = frame;
        let (name, at) = (from.name.clone(), from.at);
        // Of itself a member says that it is here or leaves; nothing else.
        if matches!(from.standing, Standing::Alive | Standing::Left) {
            self.believe(now, from, &name);
        }
        let all = matches!(kind, Kind::Roll { .. });
        for claim in claims {
            if claim.name == self.me.name {
                self.refute(now, claim);
            } else if all && claim.standing == Standing::Dead && self.is_here(&claim) {
                // Whoever was cut off holds many dead that are not: they get the time to clear themselves.
                self.believe(
                    now,
                    Claim {
                        standing: Standing::Suspect,
                        ..claim
                    },
                    &name,
                );
            } else {
                self.believe(now, claim, &name);
            }
        }
        posters
            .into_iter()
            .for_each(|poster| self.read_poster(now, poster));
        // One that is not held to be alive is told so, to clear itself.
        let doubted = self
            .roll
            .get(&name)
            .filter(|member| member.claim.standing != Standing::Alive);
        let doubted = doubted.map(|member| member.claim.clone());
        let first = doubted.as_ref().map(|claim| claim.name.clone());
        doubted.into_iter().for_each(|claim| self.gossip.put(claim));
        match kind {
            Kind::Probe { no, whom } if whom == self.me.name => {
                self.send(now, at, Kind::Answer { no }, first.as_ref());
            }
            Kind::Answer { no } => self.answered(now, no, &name),
            Kind::Ask {
                no,
                whom,
                at: there,
            } if self.steads.len() < MOST_STEADS => {
                let own = self.number();
                let until = now + self.terms.period.mul_f64(0.4);
                self.steads.insert(
                    own,
                    Stead {
                        no,
                        asker: at,
                        until,
                    },
                );
                self.send(now, there, Kind::Probe { no: own, whom }, None);
            }
            Kind::Silent { no } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.no == no) {
                    probe.silent += 1;
                }
            }
            // Beyond that many they are lost, as on the way.
            Kind::Parcel { bytes } if self.parcels.len() < MOST_WAITING => {
                self.parcels.push_back((name, bytes))
            }
            Kind::Join => self.tell_all(now, at, true),
            Kind::Roll { back: true } => self.tell_all(now, at, false),
            _ => {}
        }
    }

    fn is_here(&self, claim: &Claim) -> bool {
        let same = |member: &&Member| member.claim.start == claim.start;
        self.roll
            .get(&claim.name)
            .filter(same)
            .is_some_and(Member::is_here)
    }

    fn answered(&mut self, now: Duration, no: u32, from: &Name) {
        if let Some(stead) = self.steads.remove(&no) {
            self.send(now, stead.asker, Kind::Answer { no: stead.no }, None);
        }
        let Some(probe) = self.probe.take_if(|probe| probe.no == no) else {
            return;
        };
        if probe.whom == *from || probe.asked > 0 {
            self.slow = self.slow.saturating_sub(1);
        } else {
            self.probe = Some(probe);
        }
    }

    /// What is said of this member itself.
    fn refute(&mut self, now: Duration, claim: Claim) {
        if claim.start > self.me.start {
            self.usurped(now);
        } else if claim.start == self.me.start
            && matches!(claim.standing, Standing::Suspect | Standing::Dead)
            && claim.incarnation >= self.me.incarnation
            && self.me.standing == Standing::Alive
        {
            self.me.incarnation = claim.incarnation.saturating_add(1);
            self.slow = (self.slow + 1).min(SLOWEST);
            self.gossip.put(self.me.clone());
        }
    }

    /// Takes a claim about another member, and tells it on if it is news.
    fn believe(&mut self, now: Duration, claim: Claim, from: &Name) {
        if claim.name == self.me.name {
            return;
        }
        match self.roll.take(claim.clone(), from, now) {
            Effect::Nothing | Effect::Full => {}
            Effect::Accused => self.gossip.put(claim),
            Effect::Changed { before } => {
                let here = before.is_some_and(|before| before <= Standing::Suspect);
                let name = claim.name.clone();
                match claim.standing {
                    Standing::Alive if before != Some(Standing::Alive) => {
                        self.news.push_back(News::Up(name))
                    }
                    Standing::Suspect => self.news.push_back(News::Suspected(name)),
                    Standing::Dead if here => self.news.push_back(News::Down(name)),
                    Standing::Left if here => self.news.push_back(News::Left(name)),
                    _ => {}
                }
                self.gossip.put(claim);
            }
        }
        // Nobody has to read them.
        while self.news.len() > MOST_WAITING {
            self.news.pop_front();
        }
    }

    /// Leaves: some are told, who tell it on. Nothing is due afterwards.
    pub fn leave(&mut self, now: Duration) {
        self.me.standing = Standing::Left;
        for at in self.some(BIDDEN_FAREWELL, None) {
            self.post(now, at, Kind::Tell, Vec::new(), Vec::new());
        }
        self.quiet = true;
        self.park(now);
    }
}

fn share(chance: &mut WyRand) -> f64 {
    (chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

fn check(keys: &[Key]) -> Result<(), Trouble> {
    if let Some(short) = keys.iter().find(|key| key.secret.len() < 16) {
        return Err(Trouble::ShortKey(short.id, short.secret.len()));
    }
    match keys {
        [] => Err(Trouble::NoKey),
        [_] => Ok(()),
        [a, b] if a.id == b.id => Err(Trouble::SameKey(a.id)),
        [_, _] => Ok(()),
        _ => Err(Trouble::ManyKeys),
    }
}
