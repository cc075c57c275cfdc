//! Every decision of limewing: which pod a hit goes to, what counts as evidence, when to vote or give up.
//!
//! How to call it: make a `sidecar::Sidecar` for each instance from its start terms, then give all events to
//! `handle` and carry out the actions it returns, in order. The words of both are in `interface`. The parts
//! (pods, desk, gate, judge, lister) talk only by notes in inboxes that one loop (`sidecar`) empties. A hit's
//! way: gate (taken) -> desk (pick) -> gate (five rules) -> forward -> gate (outcome) -> pod, desk, judge.

use crate::figures::Figures;
use crate::interface::*;
use crate::ledger::{drawn, excess, median, part, tail, unevenness, Fading, Mean, Rate, Window};
use crate::notes::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

pub const BEAT: Duration = Duration::from_millis(20); // how often the one periodic timer fires
/// Evidence: the design's least sample and least time, and how long a stage may be held for it.
const LEAST_SAMPLE: usize = 20;
const LEAST_TIME: Duration = Duration::from_secs(3);
const LONGEST_HOLD: Duration = Duration::from_secs(3);
/// The design's margins for a vote back: error points over the earlier build, and times its median latency.
const ERROR_MARGIN: f64 = 0.05;
const SLOW_MARGIN: f64 = 1.5;
const DOZENS: f64 = 24.0; // votes needed from which on each may be light
const COLD_LOAD: f64 = 1.4; // a cold pod's load against that of warm ones of its present strength, at most
const RATE_OVER: Duration = Duration::from_secs(2); // rates are smoothed over this
const MOST_SHED: f64 = 0.9; // turned away by chance at most, so that what goes on tells when it ends
const FADES: Duration = Duration::from_secs(4); // what is known of a customer's hits, when none end
pub const ASK_AGAIN: Duration = Duration::from_millis(700); // a lost list is asked for again within this,
pub const REMEMBERED: f64 = 1.0 / 3.0; // of the lease is left to a list held before the start
const MOST_DOUBLED: u32 = 3; // which is doubled so often at most
const PROOFS: f64 = 0.15; // the share of hits that may go to shut pods to see whether they are back
const FEW_PODS: usize = 5; // that an idle sidecar uses
const PACE_OVER: usize = 10; // a pod's pace is the mean of about so many of its last answers
pub const SERVED_LEASE: f64 = 0.5; // of the lease for a pod that served: in less time none drains and is back
pub const OUTAGE: u32 = 5; // leases without a list: its service is down, and all known pods may serve,
const LATER: u8 = 8; // so many turns after those that do
const FORGET_AFTER: Duration = Duration::from_secs(120); // nobody speaks of a pod that has been gone for this
const MOST_SEEN: usize = 10_000; // a sample is halved here: what came late must still show, and memory end
const DOUBT_EVERY: Duration = Duration::from_millis(60); // an open forward is looked at again
const MOMENT: Duration = Duration::from_secs(2); // the allowance of so long is taken at one time
const SPARE: (f64, f64) = (0.15, 20.0); // further forwards for each hit taken, and the most saved up

/// Watches the list and tells pods, gate and judge what changed.
#[derive(Default)]
pub struct Lister {
    held: Held,
    watched: bool,
}

impl Lister {
    pub fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::List(EndpointUpdate::Delta(rows)) => {
                rows.into_iter().for_each(|row| self.tell(row, round))
            }
            Note::List(EndpointUpdate::Snapshot(rows) | EndpointUpdate::Cached(rows)) => {
                let gone = self.held.gone_from(&rows);
                gone.into_iter()
                    .chain(rows)
                    .for_each(|row| self.tell(row, round));
                let first = round.figures.on_request && !std::mem::replace(&mut self.watched, true);
                round.out.extend(first.then_some(Action::WatchEndpoints));
            }
            // Soon after a loss, ever later after calls that are refused or twice unanswered. Guards against
            // calls that keep the service too busy to answer any; hurts by late lists after a long outage.
            Note::List(EndpointUpdate::WatchLost(loss)) => {
                let doubled = match loss.cause {
                    WatchLossCause::Ended | WatchLossCause::NoService => 0,
                    WatchLossCause::TimedOut => round.list_failures.saturating_sub(2),
                    WatchLossCause::Refused => round.list_failures,
                };
                let shared = ASK_AGAIN * (1 << doubled.min(MOST_DOUBLED));
                let own = (round.figures.grace / 4).clamp(BEAT, ASK_AGAIN); // its own agent's, told at once
                let longest = if round.figures.list_pushed {
                    own
                } else {
                    shared
                };
                let wait = longest.mul_f64(0.3 + 0.7 * round.chance());
                round.later(wait, To::Lister, Note::Watch);
            }
            Note::Watch => round.out.push(Action::WatchEndpoints),
            // Guards against a pile of pods that left long ago; the gate sends nothing to unknown ones.
            Note::Forget(pod) if self.held.forget(pod, round.ago(FORGET_AFTER)) => {
                round.tell(
                    [To::Gate, To::Pod(pod), To::Desk, To::Judge],
                    &Note::Forget(pod),
                );
            }
            _ => {}
        }
    }

    fn tell(&mut self, mut row: Endpoint, round: &mut Round) {
        row.weight = row.weight.max(0.01);
        if self.held.put(&row, round.now) {
            round.later(FORGET_AFTER, To::Lister, Note::Forget(row.pod));
        }
        round.tell([To::Gate, To::Pod(row.pod), To::Judge], &Note::Listed(row));
    }
}

/// One pod as this sidecar sees it.
pub struct Pod {
    entry: Endpoint,
    open: BTreeMap<(RequestId, AttemptIndex), Duration>,
    health: Health,
}

impl Pod {
    pub fn new(entry: Endpoint) -> Self {
        Self {
            entry,
            open: BTreeMap::new(),
            health: Health::default(),
        }
    }

    pub fn take(&mut self, note: Note, round: &mut Round) {
        let now = round.now;
        match note {
            Note::Listed(entry) => {
                // A restart or another build under the same id: what was seen of it is void.
                if entry.started_at != self.entry.started_at || entry.build != self.entry.build {
                    self.health = Health::default();
                }
                self.entry = entry;
            }
            Note::Sent { hit, no, .. } => {
                self.open.insert((hit, no), now);
                // A proof is out: the next one only after a longer wait.
                (!self.health.shut_until.is_zero()).then(|| self.shut(now));
            }
            Note::Ended(ended) => {
                self.open
                    .remove(&(ended.outcome.request, ended.outcome.attempt));
                self.learn(&ended, round);
            }
            Note::Beat => {
                // Takes hits and answers none, whatever the cause: shut until it answers again.
                let oldest = self.open.values().min().copied();
                // With few hits open a heavy one explains the silence, with many it does not.
                let few = 1.0 + 2.0 / self.open.len().max(1) as f64;
                let pace = if self.health.pace.of > 0 {
                    self.health.pace.value.max(0.05)
                } else {
                    0.3
                };
                let patience =
                    Duration::from_secs_f64(round.figures.tightest * (0.15 + 2.0 * pace) * few);
                let quiet =
                    oldest.is_some_and(|sent| now > sent.max(self.health.last_answer) + patience);
                match (self.health.shut_until.is_zero(), quiet) {
                    (true, true) => self.shut(now),
                    (true, false) => return,
                    _ => {}
                }
            }
            _ => {}
        }
        self.post_card(round);
    }

    fn learn(&mut self, ended: &Ended, round: &Round) {
        let now = round.now;
        let took = ended.outcome.duration.as_secs_f64()
            / round.figures.line(ended.group).target.as_secs_f64();
        match ended.outcome.outcome {
            AttemptOutcome::Succeeded => {
                self.health.pace.add(took, PACE_OVER);
                let served = self.health.served.max(ended.sent);
                self.health = Health {
                    last_answer: now,
                    served,
                    pace: self.health.pace,
                    ..Health::default()
                };
            }
            // No connection, or resets, silence or errors in a row: shut for a while, ever longer. An error
            // is no sign of speed: a pod that fails at once would draw all hits. One reset may be a
            // connection's fault; a pod that died refuses the next one.
            AttemptOutcome::TimedOut | AttemptOutcome::Failed if ended.sour => {}
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {
                self.health.strikes += 1;
                let limit = if ended.outcome.outcome == AttemptOutcome::ConnectFailed {
                    1
                } else {
                    3
                };
                (self.health.strikes >= limit).then(|| self.shut(now));
            }
            AttemptOutcome::Rejected => {
                self.health.served = Duration::ZERO; // it may drain
                self.health.pace.add(1.0, PACE_OVER);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
    }

    fn shut(&mut self, now: Duration) {
        self.health.shuts = (self.health.shuts + 1).min(4);
        self.health.shut_until = now + Duration::from_millis(250 << self.health.shuts);
    }

    /// Whether a beat could change anything: hits are out here, or it is shut.
    pub fn watches(&self) -> bool {
        !self.open.is_empty() || !self.health.shut_until.is_zero()
    }

    pub fn post_card(&self, round: &mut Round) {
        let (now, ready) = (round.now, self.entry.state == PodState::Ready);
        let shut = !self.health.shut_until.is_zero();
        let card = Card {
            entry: self.entry.clone(),
            rank: round.rank(self.entry.pod),
            ready,
            open: self.open.len(),
            pace: self.health.pace,
            usable: ready && !shut,
            wants_proof: ready
                && shut
                && now >= self.health.shut_until
                && !round.is_held(self.entry.pod),
            served: self.health.served,
        };
        round.mail.put(To::Desk, Note::Card(card));
    }
}

/// Keeps the five rules: every forward and every final answer passes here.
#[derive(Default)]
pub struct Gate {
    news: Option<StageUpdate>,
    places: Places,
    accounts: BTreeMap<RequestId, Account>,
    taken: BTreeMap<usize, Window>,
    exposed: BTreeMap<(BuildId, usize), Window>,
    met: BTreeMap<RoutingKey, BuildId>,
    all_met: Option<BuildId>, // as if every key had met it: no older build ran any more
    answered: Rate,
    wrong: BTreeMap<TenantId, Mean>, // the share of each one's forwards that errs or times out
}

impl Gate {
    pub fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Listed(entry) => {
                let luck = round.chance();
                self.places.list(entry, round.now, luck);
            }
            Note::Forget(pod) => self.places.remove(pod),
            Note::Taken(hit) => self.open(hit, round),
            Note::Ask {
                hit,
                mut bids,
                turn,
            } => {
                best_last(&mut bids); // nearly always that one is allowed: only if not, the others are sorted
                let mut sorted = false;
                while let Some(Bid {
                    pod, build, part, ..
                }) = bids.pop_if(|bid| bid.turn == turn)
                {
                    match self.allow(hit, (pod, part), round) {
                        Ok(()) => return self.send(hit, pod, round),
                        // That holds for all of its build.
                        Err(Refusal::Exposed | Refusal::KeyStays) => {
                            bids.retain(|bid| bid.build != build)
                        }
                        Err(_) => {}
                    }
                    if !std::mem::replace(&mut sorted, true) {
                        bids.sort_unstable();
                    }
                }
                round.mail.put(To::Desk, Note::Refused(hit, bids));
            }
            Note::Back(outcome) => self.end_forward(outcome, round),
            Note::Streams(hit) => self
                .accounts
                .get_mut(&hit)
                .into_iter()
                .for_each(|a| a.streams = true),
            Note::End(hit) => self.answer(hit, round),
            Note::Over(hit) if self.accounts.contains_key(&hit) => self.close(hit, round),
            Note::Met(key, build) => {
                self.met
                    .entry(key)
                    .and_modify(|met| *met = build.max(*met))
                    .or_insert(build);
            }
            Note::Stage(news) => {
                // Rule 5 speaks of the newest build's keys alone.
                if self.news.is_some_and(|old| old.build < news.build) {
                    self.met.retain(|_, met| *met >= news.build);
                    self.all_met = self.all_met.filter(|met| *met >= news.build);
                }
                self.news = Some(news);
            }
            Note::Beat => {
                self.forget_keys(round);
                self.exposed.retain(|_, window| !window.is_empty());
                let from = round.ago(round.figures.cap_window);
                self.taken
                    .values_mut()
                    .chain(self.exposed.values_mut())
                    .for_each(|w| w.forget(from));
            }
            _ => {}
        }
    }

    /// Once a build is released and nothing older can be sent to, its keys need not be told apart: an older
    /// pod that came back would get no hit with a key. Guards against a million keys a day; may hurt when old
    /// machines come back by hand after a release: they serve hits without keys only.
    fn forget_keys(&mut self, round: &Round) {
        let Some(news) = self
            .news
            .filter(|n| n.phase == Phase::Released && !self.met.is_empty())
        else {
            return;
        };
        let (now, grace) = (round.now, round.figures.grace);
        let usable = |p: &Place| p.ended.is_none_or(|told| now < told + grace);
        if self
            .places
            .values()
            .all(|p| p.entry.build >= news.build || !usable(p))
        {
            // A later build that the list showed before the news did has keys of its own.
            self.met.retain(|_, met| *met > news.build);
            self.all_met = Some(news.build);
        }
    }

    fn open(&mut self, hit: Request, round: &mut Round) {
        if usize::from(hit.class.0) >= round.figures.lines.len()
            || self.accounts.contains_key(&hit.id)
        {
            return;
        }
        self.taken
            .entry(round.figures.counter(hit.class))
            .or_default()
            .note(round.now);
        self.accounts.insert(hit.id, Account::of(&hit));
        round.mail.put(To::Desk, Note::Taken(hit));
    }

    fn allow(
        &self,
        hit: RequestId,
        (pod, part): (PodId, f64),
        round: &Round,
    ) -> Result<(), Refusal> {
        let (now, figures) = (round.now, &round.figures);
        let account = self.accounts.get(&hit).ok_or(Refusal::Over)?;
        let place = self.places.get(pod).ok_or(Refusal::Drained)?;
        let spent = account.forwards.len() >= figures.max_forwards;
        let open = !account.over && !account.streams && now < account.due && !spent;
        open.then_some(()).ok_or(Refusal::Over)?;
        allow_repeat(account, &place.entry, round)?;
        let drained = place.ended.is_some_and(|told| now >= told + figures.grace);
        (!drained).then_some(()).ok_or(Refusal::Drained)?;
        self.allow_cold(place, part, round)?;
        self.allow_exposure(account, place.entry.build, round)
    }

    /// Asked right before the first byte of an attempt leaves: its pod may have been told to leave meanwhile.
    /// While no list is heard what was allowed expires with the grace. Hurts by attempts decided on anew.
    pub fn may_begin(
        &self,
        hit: RequestId,
        no: AttemptIndex,
        now: Duration,
        round: &Round,
    ) -> bool {
        let account = self.accounts.get(&hit).filter(|account| !account.over);
        let Some(sent) = account.and_then(|account| account.out(no)) else {
            return false;
        };
        let expired = !round.hears_list() && now > sent.at + round.figures.grace.max(BEAT);
        !expired
            && self
                .places
                .get(sent.pod)
                .is_some_and(|place| place.still_takes(sent))
    }

    /// Rule 4, with no word between sidecars: each keeps a cold pod's load to what it gives warm strength, so
    /// that the sum does too, however unequal their traffic.
    fn allow_cold(&self, place: &Place, part: f64, round: &Round) -> Result<(), Refusal> {
        let (now, figures) = (round.now, &round.figures);
        let strength = figures.strength(place.entry.started_at, now);
        if strength >= 1.0 {
            return Ok(());
        }
        let whole = self.places.strength(now, figures);
        // What it uses but a part of gets so much more from it, and nothing from sidecars that use others.
        let fair = self.answered.now(now, RATE_OVER) / (whole * part).max(0.01);
        let load = COLD_LOAD.min(figures.fall_multiple);
        let most = fair * place.entry.weight * strength * load * figures.fall_within.as_secs_f64();
        let sent = place.sends.since(round.ago(figures.fall_within));
        // Less than a whole forward is granted by chance: rounded up, hundreds of sidecars would push the pod
        // over; rounded down, light ones would never warm it.
        let fits = (sent + 1) as f64 <= most + place.luck;
        fits.then_some(()).ok_or(Refusal::Cold)
    }

    fn cap(&self, build: BuildId, figures: &Figures) -> Option<(f64, u8)> {
        cap(build, self.places.lowest(), self.news, figures)
    }

    /// Rule 5. A lower cap is kept from the moment it is told, without the grace.
    fn allow_exposure(
        &self,
        account: &Account,
        build: BuildId,
        round: &Round,
    ) -> Result<(), Refusal> {
        let figures = &round.figures;
        let newer = self.news.filter(|n| figures.keys_stay && build < n.build);
        let stays = newer.is_some_and(|n| matches!(n.phase, Phase::OnTrial | Phase::Released));
        let met = account
            .key
            .is_some_and(|key| self.met.get(&key).copied().max(self.all_met) > Some(build));
        (!stays || !met).then_some(()).ok_or(Refusal::KeyStays)?;
        let Some((cap, stage)) = self.cap(build, figures) else {
            return Ok(());
        };
        let repeatable = figures.line(account.group).repeat == Idempotency::Idempotent;
        let open = cap > 0.0 && (stage >= figures.guarded_stages || repeatable);
        let counter = figures.counter(account.group);
        // Hits near the window's far edge are left out: they fall out before the forwards made for them.
        let since = |w: Option<&Window>, span| w.map_or(0, |w| w.since(round.ago(span)));
        let sent = since(self.exposed.get(&(build, counter)), figures.cap_window);
        let taken = since(self.taken.get(&counter), figures.cap_window.mul_f64(0.9));
        let fits = (sent + 1) as f64 <= figures.cap_free + cap * taken as f64;
        (open && fits).then_some(()).ok_or(Refusal::Exposed)
    }

    fn send(&mut self, hit: RequestId, pod: PodId, round: &mut Round) {
        let found = (self.accounts.get_mut(&hit), self.places.get_mut(pod));
        let (Some(account), Some(place)) = found else {
            return;
        };
        let (no, build) = (account.sent(&place.entry, round.now), place.entry.build);
        place.sends.note(round.now);
        place.sends.forget(round.ago(round.figures.fall_within));
        let counter = round.figures.counter(account.group);
        self.exposed
            .entry((build, counter))
            .or_default()
            .note(round.now);
        round.out.push(Action::StartAttempt {
            request: hit,
            pod,
            timeout: Duration::ZERO,
        });
        round.tell([To::Pod(pod), To::Desk], &Note::Sent { hit, no, pod });
    }

    fn end_forward(&mut self, mut outcome: AttemptResult, round: &mut Round) {
        let Some(account) = self.accounts.get_mut(&outcome.request) else {
            return;
        };
        let Some(sent) = account.forwards.get_mut(usize::from(outcome.attempt.0)) else {
            return;
        };
        if sent.fate.is_some() {
            return;
        }
        sent.fate = Some(outcome.outcome);
        outcome.duration = outcome.duration.saturating_sub(round.late);
        let (pod, build, at) = (sent.pod, sent.build, sent.at);
        let was_open = !account.over;
        account.over |= outcome.request_over;
        (outcome.outcome == AttemptOutcome::Succeeded)
            .then(|| self.answered.add(round.now, RATE_OVER));
        // An answer may have been whole though its connection broke or was given up: it counts as had.
        let had = !outcome.outcome.never_ran() && outcome.outcome != AttemptOutcome::Failed;
        let key = account.key.filter(|_| round.figures.keys_stay && had);
        key.into_iter()
            .for_each(|key| round.mail.put(To::Gate, Note::Met(key, build)));
        let (hit, group, open) = (outcome.request, account.group, was_open && !account.over);
        let customer = account.customer;
        let learn = !outcome.outcome.never_ran() && self.cap(build, &round.figures).is_none();
        let sour = customer.is_some_and(|customer| self.sours(customer, outcome.outcome, learn));
        let ended = Ended {
            outcome,
            group,
            build,
            sent: at,
            open,
            customer,
            sour,
        };
        round.tell([To::Pod(pod), To::Desk, To::Judge], &Note::Ended(ended));
        self.tidy(hit, round);
    }

    /// Whether one customer's hits go wrong where the others' go well, on builds that are not on trial: then
    /// they speak neither against a pod nor against a build, as hits that nobody can answer.
    fn sours(&mut self, customer: TenantId, fate: AttemptOutcome, learn: bool) -> bool {
        if learn && fate != AttemptOutcome::Cancelled {
            let wrong = matches!(fate, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
            self.wrong
                .entry(customer)
                .or_default()
                .add(f64::from(u8::from(wrong)), 30);
        }
        let known = |c: &TenantId| self.wrong.get(c).copied().filter(|mean| mean.of >= 15);
        let others = || {
            self.wrong
                .keys()
                .filter(|c| **c != customer)
                .filter_map(known)
                .map(|mean| mean.value)
        };
        let usual = others().sum::<f64>() / others().count().max(1) as f64;
        others().count() > 0 && known(&customer).is_some_and(|own| own.value > 0.2 + 1.5 * usual)
    }

    /// A hit that is given up: bounced where a retry does no harm, errored elsewhere.
    fn answer(&mut self, hit: RequestId, round: &mut Round) {
        let Some(account) = self.accounts.get(&hit).filter(|a| !a.over && !a.streams) else {
            return;
        };
        let ran = account.forwards.iter().any(Sent::may_have_run);
        let harmless = match round.figures.line(account.group).repeat {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                deduplicated_by: drops_repeats,
                ..
            } => !ran || drops_repeats == DeduplicationScope::All,
            Idempotency::NonIdempotent => !ran,
        };
        round.out.push(match harmless {
            true => Action::Reject {
                request: hit,
                retry_after: round.figures.retry_after,
            },
            false => Action::Fail { request: hit },
        });
        self.close(hit, round);
    }

    fn close(&mut self, hit: RequestId, round: &mut Round) {
        self.accounts
            .entry(hit)
            .and_modify(|account| account.over = true);
        self.tidy(hit, round);
        round.mail.put(To::Desk, Note::Over(hit));
    }

    /// Calls off what is still out for a hit that is over, and closes its account once nothing is.
    fn tidy(&mut self, hit: RequestId, round: &mut Round) {
        let Some(account) = self.accounts.get(&hit).filter(|a| a.over) else {
            return;
        };
        let out = account.still_out();
        if out.is_empty() {
            self.accounts.remove(&hit);
        } else if round.figures.may_cancel && !account.streams {
            out.into_iter().for_each(|no| {
                round.out.push(Action::CancelAttempt {
                    request: hit,
                    attempt: no,
                })
            });
        }
    }
}

/// The cap and stage of a build on trial; none for builds that are not. One without news of it counts as in
/// the first stage, unless nothing older runs.
fn cap(
    build: BuildId,
    lowest: Option<BuildId>,
    news: Option<StageUpdate>,
    by: &Figures,
) -> Option<(f64, u8)> {
    match news {
        None if lowest.is_none_or(|l| build <= l) => None,
        Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
        Some(n) if build == n.build => Some((n.cap, n.stage.0)),
        _ => Some((by.caps[0], 0)),
    }
}

/// Rule 2: a second effect is possible only where an earlier forward may have run.
fn allow_repeat(account: &Account, to: &Endpoint, round: &Round) -> Result<(), Refusal> {
    if !round.figures.second_copies && account.forwards.iter().any(|f| f.fate.is_none()) {
        return Err(Refusal::MayHaveRun);
    }
    let mut ran = account.forwards.iter().filter(|f| f.may_have_run());
    let fine = match round.figures.line(account.group).repeat {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => ran.next().is_none(),
        Idempotency::Keyed {
            deduplicated_by: drops_repeats,
            window: memory,
        } => ran.all(|f| f.remembered_by(to, drops_repeats) && round.now < f.at + memory),
    };
    fine.then_some(()).ok_or(Refusal::MayHaveRun)
}

/// Holds the open hits and picks pods for them.
#[derive(Default)]
pub struct Desk {
    cards: Cards,
    overview: Overview,
    hits: BTreeMap<RequestId, OpenHit>,
    news: Option<StageUpdate>,
    spare: f64,
    finished: Rate,
    lanes: BTreeMap<Option<TenantId>, Fading>, // what each customer's last forwards took, in targets
    usual: BTreeMap<ClassId, Mean>,            // mean time of delivered forwards, in seconds
    kinds: BTreeMap<MachineTypeId, Mean>,      // the same by machine kind, in target latencies
}

impl Desk {
    pub fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Taken(hit) => self.arrive(hit, round),
            Note::Card(card) => self.cards.put(card),
            Note::Forget(pod) => self.cards.remove(pod),
            Note::Refused(hit, rest) if rest.is_empty() => self.wait(hit, round),
            Note::Refused(hit, rest) => self.ask(hit, rest, round),
            Note::Sent { hit, no, pod } => {
                let Some(open) = self.hits.get_mut(&hit) else {
                    return;
                };
                (open.out, open.at) = (open.out + 1, Some(pod));
                if round.figures.second_copies {
                    round.later(DOUBT_EVERY, To::Desk, Note::Doubt(hit, no, pod));
                }
            }
            Note::Ended(ended) => self.end_forward(ended, round),
            Note::Doubt(hit, no, pod) => self.doubt(hit, no, pod, round),
            Note::Retry(hit) => self.place(hit, round),
            Note::Over(hit) => drop(self.hits.remove(&hit)),
            Note::Stage(news) => self.news = Some(news),
            _ => {}
        }
    }

    fn usual(&self, group: ClassId, round: &Round) -> f64 {
        let target = round.figures.line(group).target.as_secs_f64();
        self.usual
            .get(&group)
            .map_or(0.2 * target, |mean| mean.value)
    }

    fn arrive(&mut self, hit: Request, round: &mut Round) {
        self.spare = (self.spare + SPARE.0).min(SPARE.1);
        let shed = self.overload(hit.tenant, round) * 2.0 * round.figures.line(hit.class).cheapness;
        self.hits.insert(hit.id, OpenHit::of(&hit, round.now));
        if shed > 0.0 && round.chance() < shed.min(MOST_SHED) {
            round.mail.put(To::Gate, Note::End(hit.id));
        } else {
            self.place(hit.id, round);
        }
    }

    /// What a customer's forwards took lately, in target latencies; it fades, as nothing is learned while all
    /// is shed. By customer: hits that wait for something of their own at every pod, and hold the places of
    /// all, go first.
    fn slowness(&self, customer: Option<TenantId>, now: Duration) -> f64 {
        self.lanes
            .get(&customer)
            .map_or(0.0, |took| took.read(now, FADES, 0.5))
    }

    /// How far the wait ahead of a new hit, by Little's law, is past what the target latency bears: 0 to 1.
    fn overload(&self, customer: Option<TenantId>, round: &Round) -> f64 {
        // Before the first answers there is no rate to go by.
        if round.now < round.figures.since + RATE_OVER {
            return 0.0;
        }
        let out = self
            .hits
            .values()
            .filter(|h| h.out > 0 && self.slowness(h.customer, round.now) < 1.0);
        let at = |h: &OpenHit| h.at.and_then(|pod| self.cards.get(pod));
        let open = out.filter(|h| at(h).is_some_and(|c| c.usable)).count() as f64;
        // A few open hits of a light sidecar are chance; what its last hits took tells it more.
        let by_count = (open - open.sqrt()) / self.finished.now(round.now, RATE_OVER).max(5.0);
        let wait = (by_count / round.figures.tightest).max(self.slowness(customer, round.now));
        ((wait - 0.45) / 0.6).clamp(0.0, 1.0)
    }

    /// The split: the share of hits that the build on trial gets, by its machines, stage and cap.
    fn trial_share(&self, round: &Round) -> (Option<BuildId>, f64) {
        let Some((lowest, build)) = self.overview.builds else {
            return (None, 0.0);
        };
        let cap = cap(build, Some(lowest), self.news, &round.figures);
        let Some((cap, stage)) = cap else {
            return (None, 0.0);
        };
        let strengths = self
            .cards
            .iter()
            .filter(|c| c.usable)
            .map(|c| (c.entry.build, self.strength(c, round)));
        let (whole, new) = strengths.fold((0.0, 0.0), |(whole, new), (of, strength)| {
            (
                whole + strength,
                if of == build { new + strength } else { new },
            )
        });
        let told = round
            .figures
            .stage_shares
            .get(usize::from(stage))
            .copied()
            .unwrap_or(1.0);
        (Some(build), (new / whole.max(1e-9)).min(told).min(cap))
    }

    fn place(&mut self, hit: RequestId, round: &mut Round) {
        self.overview.look_over(&mut self.cards);
        let (trial, share) = self.trial_share(round);
        if trial != self.overview.trial {
            self.overview.sort(&self.cards, trial);
        }
        let draw = round.chance();
        let Some(open) = self.hits.get(&hit) else {
            return;
        };
        let on_trial = |c: &Card| trial == Some(c.entry.build);
        let harmless = round.figures.line(open.group).repeat != Idempotency::NonIdempotent;
        // A light sidecar has few hits: most must not go to prove that what is shut still fails.
        let proves = harmless && open.tried.is_empty() && round.chance() < PROOFS;
        let want_trial = !open.no_trial && draw < share;
        let used = self.used(round);
        let among = |c: &Card| used[usize::from(on_trial(c))];
        let (since, down) = (round.relies_since(), round.is_list_service_down());
        let turn = |c: &Card| match () {
            _ if !c.ready || open.tried.contains(&c.entry.pod) => None,
            // It may have left, as no list is heard. Guards against pods that were announced as leaving, or
            // are back after that; hurts by requests that find no pod, and by more load on those that serve.
            _ if c.served < since && !down => None,
            _ if proves && c.wants_proof => Some(0),
            _ if c.usable && on_trial(c) == want_trial && c.ranked() >= among(c).0 => Some(1),
            _ if c.usable && on_trial(c) == want_trial => Some(2),
            _ if c.usable && !open.no_trial => Some(3),
            // Nothing healthy: a pod that is only quiet or shut is better than none.
            _ if !on_trial(c) && open.out == 0 => Some(4),
            _ => None,
        };
        let (mut bids, mut first) = (Vec::with_capacity(self.cards.iter().len()), u8::MAX);
        for card in self.cards.iter() {
            let chance = round.chance();
            let later = if card.served < since { LATER } else { 0 };
            let Some(turn) = turn(card).map(|turn| turn + later) else {
                continue;
            };
            first = first.min(turn);
            let cost = if turn == first {
                self.cost(card, chance, round)
            } else {
                0.0
            };
            let (pod, build, part) = (card.entry.pod, card.entry.build, among(card).1);
            bids.push(Bid {
                pod,
                build,
                turn,
                chance,
                cost,
                part,
            });
        }
        round.mail.put(
            To::Gate,
            Note::Ask {
                hit,
                bids,
                turn: first,
            },
        );
    }

    /// Asks for the pods whose turn is next; they had no price before.
    fn ask(&self, hit: RequestId, mut bids: Vec<Bid>, round: &mut Round) {
        let turn = bids.iter().map(|bid| bid.turn).min().unwrap_or(0);
        for bid in bids.iter_mut().filter(|bid| bid.turn == turn) {
            let card = self.cards.get(bid.pod);
            bid.cost = card.map_or(f64::MAX, |card| self.cost(card, bid.chance, round));
        }
        round.mail.put(To::Gate, Note::Ask { hit, bids, turn });
    }

    /// Of the pods of the base, and of the trial: the lowest rank that this sidecar uses, and which part of
    /// them that is. It uses those that rank highest in a hash of its own number and theirs, a few more than
    /// its open hits need. With few hits it can't learn what hundreds of pods are like, nor keep connections
    /// to them. A pod that is shut makes room for the next in rank.
    fn used(&self, round: &Round) -> [((u64, PodId), f64); 2] {
        let ranks = &self.overview.ranks;
        let all = ranks[0].len() + ranks[1].len();
        let uses = round.uses().max(FEW_PODS + 3 * self.cards.open()) as f64;
        [0, 1].map(|side| {
            let here = ranks[side].len();
            let most = ((uses * here as f64 / all.max(1) as f64).ceil() as usize).max(2);
            match here.checked_sub(most) {
                Some(last @ 1..) => (ranks[side][last], most as f64 / here as f64),
                // Also where none is usable: a cold pod that is shut is still asked for, and has its budget.
                _ => ((0, PodId(0)), 1.0),
            }
        })
    }

    /// What a pod can surely do by now, by its size, age and the usual pace of its kind.
    fn strength(&self, card: &Card, round: &Round) -> f64 {
        let pace = self
            .kinds
            .get(&card.entry.machine_type)
            .map_or(1.0, |mean| mean.value);
        card.entry.weight * round.figures.strength(card.entry.started_at, round.now)
            / pace.max(0.01)
    }

    /// What one more hit would bear at a pod, at its pace and present strength. Of the load a sidecar knows
    /// its own part only, one in so many; chance stands for the rest (luck, 1 in the mean): pods alike get
    /// hits in proportion to strength, and sidecars that rank alike don't herd. A pace known from few answers
    /// leans on the kind's: a new pod would be flooded while cold.
    fn cost(&self, card: &Card, chance: f64, round: &Round) -> f64 {
        let luck = -chance.max(1e-9).ln();
        let kind = self
            .kinds
            .get(&card.entry.machine_type)
            .map_or(1.0, |mean| mean.value);
        let known = card.pace.of.min(PACE_OVER) as f64;
        let pace = (card.pace.value * known + kind * 3.0) / (known + 3.0);
        let strength = card.entry.weight * round.figures.strength(card.entry.started_at, round.now);
        let far = if card.entry.zone == round.figures.zone {
            1.0
        } else {
            1.1
        };
        let own = 1.0 / round.figures.sidecars;
        (card.open as f64 + own + (1.0 - own) * luck) * pace.max(0.02) * far / strength
    }

    /// No pod may have it now: it waits while an answer could still be worth something.
    fn wait(&mut self, hit: RequestId, round: &mut Round) {
        let Some(open) = self.hits.get_mut(&hit).filter(|open| open.out == 0) else {
            return;
        };
        (open.no_trial, open.tried) = (false, Vec::new());
        let target = round.figures.line(open.group).target;
        let last = (open.arrived + target.mul_f64(0.7)).min(open.due.saturating_sub(BEAT * 3));
        if round.now < last {
            round.later(BEAT, To::Desk, Note::Retry(hit));
        } else {
            round.mail.put(To::Gate, Note::End(hit));
        }
    }

    fn end_forward(&mut self, ended: Ended, round: &mut Round) {
        let usual = self.usual(ended.group, round);
        let share = ended.outcome.duration.as_secs_f64()
            / round.figures.line(ended.group).target.as_secs_f64();
        let share = if ended.outcome.outcome == AttemptOutcome::Rejected {
            1.0
        } else {
            share.min(2.0)
        };
        // Few outcomes, or a light sidecar would still shed long after; a busy one reads half a second of
        // them.
        let last = (self.finished.now(round.now, RATE_OVER) * 0.5).max(5.0);
        self.lanes
            .entry(ended.customer)
            .or_default()
            .add(share, round.now, FADES, last);
        if ended.outcome.outcome == AttemptOutcome::Succeeded {
            self.finished.add(round.now, RATE_OVER);
            self.usual
                .entry(ended.group)
                .or_default()
                .add(ended.outcome.duration.as_secs_f64(), 20);
            if let Some(card) = self.cards.get(ended.outcome.pod) {
                self.kinds
                    .entry(card.entry.machine_type)
                    .or_default()
                    .add(share, 50);
            }
        }
        let hit = ended.outcome.request;
        if !ended.open {
            self.hits.remove(&hit);
        }
        let Some(open) = self.hits.get_mut(&hit) else {
            return;
        };
        open.out = open.out.saturating_sub(1);
        open.tried.push(ended.outcome.pod);
        if open.out > 0 {
            return;
        }
        let line = round.figures.line(open.group);
        let worth = round.now + Duration::from_secs_f64(usual * 0.5) < open.arrived + line.useful;
        let again = ended.outcome.outcome.never_ran() || line.repeat != Idempotency::NonIdempotent;
        if again && worth && round.now + BEAT < open.due && self.spare >= 1.0 {
            self.spare -= 1.0;
            open.no_trial = true;
            self.place(hit, round);
        } else {
            round.mail.put(To::Gate, Note::End(hit));
        }
    }

    /// A forward is out at a pod that went quiet: a copy, where allowed. At one that answers others a long
    /// wait means a heavy hit, and a copy would be as heavy.
    fn doubt(&mut self, hit: RequestId, no: AttemptIndex, pod: PodId, round: &mut Round) {
        let mutating =
            |o: &OpenHit| round.figures.line(o.group).repeat == Idempotency::NonIdempotent;
        let doubtful = |o: &&OpenHit| o.out == 1 && !o.tried.contains(&pod) && !mutating(o);
        let Some(open) = self.hits.get(&hit).filter(doubtful) else {
            return;
        };
        let usual = Duration::from_secs_f64(self.usual(open.group, round));
        if round.now + usual >= open.arrived + round.figures.line(open.group).useful {
            return;
        }
        if self.cards.get(pod).is_some_and(|c| c.usable) || self.spare < 1.0 {
            round.later(DOUBT_EVERY, To::Desk, Note::Doubt(hit, no, pod));
        } else {
            self.spare -= 1.0;
            self.hits.entry(hit).and_modify(|open| open.no_trial = true);
            self.place(hit, round);
        }
    }
}

/// Whether `new` is worse than `old` by more than `margin` and `sigmas` of chance; both (bad, seen).
fn worse(new: (usize, usize), old: (usize, usize), margin: f64, sigmas: f64) -> bool {
    let (more, noise) = excess(new, old);
    new.0 >= 3 && more > margin + sigmas * noise
}

/// Where dozens must agree one sign may do: what the earlier build's rate would show to fewer than half as
/// many as it takes. Guards against learning it last where hits are few; hurts where a trouble strikes new
/// pods alone.
fn stands_out(new: (usize, usize), old: (usize, usize), margin: f64, figures: &Figures) -> bool {
    let usual = (old.0 as f64 + 0.5) / (old.1 as f64 + 1.0);
    let rare = tail(new.0, new.1, usual) < figures.back_votes / figures.sidecars * 0.5;
    figures.back_votes >= DOZENS && rare && excess(new, old).0 > margin
}

/// The design's least sample is for a vote that decides alone. Where many must agree each may be lighter,
/// though not in proportion: what they see is alike.
fn least_sample(figures: &Figures) -> usize {
    ((LEAST_SAMPLE as f64 / figures.back_votes.sqrt()).ceil() as usize).max(3)
}

/// How far a sign must stand out of chance: of many sidecars that look at one sound build, the noise of as
/// many as can send it back reaches about this.
fn sigmas(figures: &Figures) -> f64 {
    (2.0 * (figures.sidecars / figures.back_votes).ln())
        .sqrt()
        .max(1.5)
}

/// When votes are called where the platform can't carry one of each sidecar, anew after 0.6 of a vote's life.
/// Guards against calls that, made at once and again as soon as refused, keep the votes needed from standing
/// together. In cycles from the stage's news: first, holds, by a third more than it takes; rest, until a
/// moment's allowance has filled up; then a call of each that votes back or on, in a window no longer than
/// the votes needed take. Hurts by the wait for the window.
struct Turns {
    holders: f64,
    lead: Duration,
    window: Duration,
}

impl Turns {
    fn of(figures: &Figures) -> Option<Self> {
        let (life, calls) = (figures.vote_life.as_secs_f64(), figures.vote_allowance);
        let (holds, moment) = (figures.hold_votes * 1.3, MOMENT.as_secs_f64());
        let window = (figures.most_votes * 1.1 / calls - moment).clamp(0.1 * life, 0.9 * life);
        (figures.sidecars > calls * life * 0.6).then(|| Self {
            holders: holds / figures.sidecars,
            lead: Duration::from_secs_f64((holds / calls - moment).max(0.0)),
            window: Duration::from_secs_f64(window),
        })
    }
}

/// Gathers evidence on the build on trial and votes.
#[derive(Default)]
pub struct Judge {
    news: Option<StageUpdate>,
    since: Duration,
    pods: BTreeMap<PodId, Endpoint>,
    new: Sample,
    old: Sample,
    before: Sample, // of the earlier build, from before this stage
    kinds: BTreeMap<MachineTypeId, Mean>, // mean time while no build is on trial, in target latencies
    bad: bool,                            // whether what was seen speaks against the build,
    fresh: bool,                          // looked at again when there is something new
    standing: Option<Vote>,
    asked: Option<Vote>,
    not_before: Duration,
    began: Duration,      // when cycles of votes began, by the news that all hear
    kept_until: Duration, // until when a sign from the stage before is voted on
    called: Option<(Verdict, u32)>, // the last call made in turn, and in which cycle
}

impl Judge {
    pub fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Listed(entry) => drop(self.pods.insert(entry.pod, entry)),
            Note::Forget(pod) => drop(self.pods.remove(&pod)),
            Note::Stage(news) => self.enter(news, round),
            Note::Ended(ended) => self.count(&ended, &round.figures),
            Note::Flagged { pod, group } => {
                let Some(build) = self.pods.get(&pod).map(|p| p.build) else {
                    return;
                };
                self.sample(build)
                    .into_iter()
                    .for_each(|sample| sample.flag(group, pod));
            }
            Note::VoteAnswered(answer) => {
                let Some(asked) = self.asked.take() else {
                    return;
                };
                match answer {
                    VoteAnswer::Counted | VoteAnswer::Moot => self.standing = Some(asked),
                    _ => self.not_before = round.now + BEAT * 15,
                }
            }
            Note::Beat => {
                if std::mem::take(&mut self.fresh) {
                    self.bad = self.is_bad(round.now, &round.figures);
                }
                self.vote(round);
            }
            _ => {}
        }
    }

    /// Evidence is gathered afresh each stage.
    fn enter(&mut self, news: StageUpdate, round: &Round) {
        self.fresh = true;
        let key = |n: StageUpdate| (n.build, n.stage, n.phase);
        if self.news.map(key) != Some(key(news)) {
            let next = self.news.is_some_and(|n| n.build != news.build);
            let base = if next { &mut self.new } else { &mut self.old };
            if base.all().seen >= least_sample(&round.figures) {
                self.before = std::mem::take(base);
            }
            // A verdict whose turn had not come is voted on in the next cycle; a window goes on to its end.
            let turns = Turns::of(&round.figures).filter(|_| !next);
            let cycle = turns.as_ref().map_or(Duration::ZERO, |t| MOMENT + t.window);
            self.kept_until = round.now + cycle * u32::from(self.bad);
            let told = round.ago(news.age).saturating_sub(self.began);
            if turns.is_none_or(|t| part(told.saturating_sub(t.lead), cycle).1 < MOMENT) {
                (self.began, self.called) = (round.now, None);
            }
            (self.new, self.old, self.since) = (Sample::default(), Sample::default(), round.now);
        }
        self.began = self.began.min(round.ago(news.age));
        self.news = Some(news);
    }

    fn sample(&mut self, build: BuildId) -> Option<&mut Sample> {
        self.fresh = true;
        let news = self.news?;
        let sample = if build < news.build {
            &mut self.old
        } else {
            &mut self.new
        };
        (build <= news.build).then_some(sample)
    }

    fn count(&mut self, ended: &Ended, figures: &Figures) {
        let fate = ended.outcome.outcome;
        let untold = fate.never_ran() || fate == AttemptOutcome::Cancelled || ended.sour;
        if untold || ended.sent < self.since {
            return;
        }
        let Some(entry) = self.pods.get(&ended.outcome.pod) else {
            return;
        };
        // A cold pod's time is its start's and its queue's, not its build's: it tells nothing of speed.
        let warm = figures.strength(entry.started_at, ended.sent) >= 1.0;
        let took =
            ended.outcome.duration.as_secs_f64() / figures.line(ended.group).target.as_secs_f64();
        let calm = self.news.is_none_or(|n| n.phase != Phase::OnTrial);
        let earlier = self.news.is_some_and(|n| ended.build < n.build);
        let mean = self.kinds.entry(entry.machine_type).or_default();
        if fate == AttemptOutcome::Succeeded && warm && (calm || (earlier && mean.of < 50)) {
            mean.add(took, 50);
        }
        let known = fate == AttemptOutcome::Succeeded && warm && mean.of >= least_sample(figures);
        let time = known.then(|| took / mean.value.max(0.001));
        let Some(sample) = self.sample(ended.build) else {
            return;
        };
        sample.count(ended.group, ended.outcome.pod, fate, time);
        (sample.all().seen >= MOST_SEEN).then(|| sample.halve());
    }

    fn trial_pods(&self) -> impl Iterator<Item = &Endpoint> {
        let build = self.news.map(|n| n.build);
        self.pods
            .values()
            .filter(move |p| Some(p.build) == build && p.state == PodState::Ready)
    }

    /// The newest machine has run for the least time: before, a cold last stage's queues look like slowness.
    fn settled(&self, now: Duration) -> bool {
        let newest = self
            .trial_pods()
            .filter_map(|p| p.started_at)
            .max()
            .unwrap_or(self.since);
        now >= newest.max(self.since) + LEAST_TIME
    }

    fn verdict(&self, now: Duration, figures: &Figures) -> Verdict {
        let judged = |n: &StageUpdate| matches!(n.phase, Phase::OnTrial | Phase::Released);
        let Some(news) = self.news.filter(judged) else {
            return Verdict::Abstain;
        };
        let short = || self.new.all().seen < least_sample(figures) || !self.settled(now);
        if self.bad || now < self.kept_until {
            return Verdict::RollBack;
        }
        match (news.phase, figures.clock) {
            (Phase::OnTrial, false) if !short() => Verdict::Promote,
            (Phase::OnTrial, true) if now < self.since + LONGEST_HOLD && short() => Verdict::Hold,
            _ => Verdict::Abstain,
        }
    }

    fn is_bad(&self, now: Duration, figures: &Figures) -> bool {
        let (least, sigmas) = (least_sample(figures), sigmas(figures));
        let beside = self.old.all().seen >= least;
        let old = if beside { &self.old } else { &self.before };
        // With no earlier build beside it, nothing tells time-outs from those of trouble that came since.
        let bad = |c: &Count| (if beside { c.bad } else { c.bad - c.timed_out }, c.seen);
        let (pairs, new, old) = (self.new.beside(old), self.new.all(), old.all());
        let errs = pairs
            .iter()
            .any(|(n, o)| worse(bad(n), bad(o), ERROR_MARGIN, sigmas));
        let wrong = pairs
            .iter()
            .any(|(n, o)| worse((n.flagged, n.seen), (o.flagged, o.seen), 0.01, sigmas));
        let stands = |sign: fn(&Count) -> usize, margin| {
            stands_out(
                (sign(&new), new.seen),
                (sign(&old).max(bad(&old).0), old.seen),
                margin,
                figures,
            )
        };
        // An error is a sign by itself; a time-out may be any trouble's, which makes errors likelier too.
        let first = (stands(|c| c.bad - c.timed_out, ERROR_MARGIN) && self.is_even(1, |p| p.bad))
            || (stands(|c| c.flagged, 0.01) && self.is_even(1, |p| p.flagged));
        let faulty =
            (errs && self.is_even(2, |p| p.bad)) || (wrong && self.is_even(2, |p| p.flagged));
        new.seen >= least && (first || faulty || (self.settled(now) && self.is_slow(least, sigmas)))
    }

    /// Whether a sign is spread over the trial's pods as chance would, and on so many unless there are fewer:
    /// one sick pod, or a few in a sick zone, do not speak for the build.
    fn is_even(&self, least: usize, sign: impl Fn(&ByPod) -> usize) -> bool {
        let signs: Vec<f64> = self.new.pods.values().map(|p| sign(p) as f64).collect();
        let on = signs.iter().filter(|s| **s > 0.0).count();
        on >= self.trial_pods().count().min(least) && unevenness(&signs) < 1.6
    }

    /// Slower by more than chance explains, also without its slowest pod, beside an earlier build that bears
    /// the same load now and well: under overload, or in a last stage's cold fleet, all times are queues.
    fn is_slow(&self, least: usize, sigmas: f64) -> bool {
        let (new, old) = (self.new.times(), self.old.times());
        if new.len().min(old.len()) < least {
            return false;
        }
        let noise =
            sigmas.max(2.5) * 1.44 * (1.0 / new.len() as f64 + 1.0 / old.len() as f64).sqrt();
        let (now, usual) = (new[new.len() / 2], old[old.len() / 2]);
        let calm = usual < 2.0 && self.kinds.values().all(|mean| mean.value < 0.25);
        let slow = calm && now > SLOW_MARGIN * usual * noise.exp();
        slow && median(self.new.times_without_slowest()) > Some(SLOW_MARGIN * usual)
    }

    fn has_turn(&mut self, verdict: Verdict, news: StageUpdate, round: &Round) -> bool {
        let Some(turns) = Turns::of(&round.figures) else {
            return true;
        };
        let told = round.now.saturating_sub(self.began);
        let (nth, since) = part(told.saturating_sub(turns.lead), MOMENT + turns.window);
        let draw = drawn(round.figures.own_number.into(), news.turn(nth));
        let due = match verdict {
            Verdict::Abstain => false, // it lapses by itself
            // One that comes late would spend what the first window needs.
            Verdict::Hold if draw >= turns.holders || told > turns.lead + MOMENT / 2 => false,
            Verdict::Hold => told >= turns.lead.mul_f64(draw / turns.holders),
            Verdict::Promote | Verdict::RollBack => since >= MOMENT + turns.window.mul_f64(draw),
        };
        due && self.called.replace((verdict, nth)) != Some((verdict, nth))
    }

    /// Calls only on a changed verdict or a lapsing vote.
    fn vote(&mut self, round: &mut Round) {
        let Some(news) = self.news else { return };
        let (now, life) = (round.now, round.figures.vote_life);
        let patience = round.figures.vote_answer_within + BEAT * 25;
        self.asked = self.asked.filter(|asked| now < asked.at + patience);
        let verdict = self.verdict(now, &round.figures);
        let here = |v: &Vote| v.build == news.build && v.stage == news.stage && now < v.at + life;
        let same = match self.standing.filter(here) {
            None => verdict == Verdict::Abstain,
            Some(v) if v.verdict == Verdict::Abstain => verdict == Verdict::Abstain,
            Some(v) => v.verdict == verdict && now < v.at + life.mul_f64(0.6),
        };
        if same
            || self.asked.is_some()
            || now < self.not_before
            || !self.has_turn(verdict, news, round)
        {
            return;
        }
        let (build, stage, new, old) = (news.build, news.stage, &self.new, &self.old);
        let log = || Action::Log(format!("back: {build:?} {stage:?}: {new} against {old}"));
        round.out.extend((verdict == Verdict::RollBack).then(log));
        self.asked = Some(Vote {
            verdict,
            build,
            stage,
            at: now,
        });
        round.out.push(Action::Vote {
            verdict,
            build,
            stage,
        });
    }
}
