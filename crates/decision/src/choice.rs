//! Every decision of limewing: which pod a hit goes to, what counts as evidence, when to vote or give up.
//!
//! How to call it: make a `sidecar::Sidecar` for each instance from its start terms, then give all events to
//! `handle` and carry out the actions it returns, in order. The words of both are in `interface`. The parts
//! (pods, desk, gate, judge, lister) talk only by notes in inboxes that one loop (`sidecar`) empties. A hit's
//! way: gate (taken) -> desk (pick) -> gate (five rules) -> forward -> gate (outcome) -> pod, desk, judge.

use crate::figures::DerivedConfig;
use crate::interface::*;
use crate::ledger::{
    binomial_tail, dispersion, hash_fraction, median, period_at, proportion_excess, DecayingMean,
    RunningMean, SlidingWindow, SmoothedRate,
};
use crate::notes::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

pub const TICK_INTERVAL: Duration = Duration::from_millis(20); // how often the one periodic timer fires
/// Evidence: the design's least sample and least time, and how long a stage may be held for it.
const MIN_SAMPLE: usize = 20;
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(3);
const MAX_HOLD: Duration = Duration::from_secs(3);
/// The design's margins for a vote back: error points over the earlier build, and times its median latency.
const ERROR_MARGIN: f64 = 0.05;
const LATENCY_MARGIN: f64 = 1.5;
const LARGE_QUORUM: f64 = 24.0; // votes needed from which on each may be light
const MAX_SLOW_START_LOAD: f64 = 1.4; // a cold pod's load against that of warm ones of its present strength, at most
const RATE_SMOOTHING: Duration = Duration::from_secs(2); // rates are smoothed over this
const MAX_SHED_PROBABILITY: f64 = 0.9; // turned away by chance at most, so that what goes on tells when it ends
const TENANT_LATENCY_DECAY: Duration = Duration::from_secs(4); // what is known of a customer's hits, when none end
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(700); // a lost list is asked for again within this,
pub const CACHED_LEASE_FRACTION: f64 = 1.0 / 3.0; // of the lease is left to a list held before the start
const MAX_BACKOFF_DOUBLINGS: u32 = 3; // which is doubled so often at most
const HEALTH_CHECK_PROBABILITY: f64 = 0.15; // the share of hits that may go to shut pods to see whether they are back
const MIN_ENDPOINTS_IN_USE: usize = 5; // that an idle sidecar uses
const LATENCY_RATIO_SAMPLES: usize = 10; // a pod's pace is the mean of about so many of its last answers
pub const SERVED_LEASE_FRACTION: f64 = 0.5; // of the lease for a pod that served: in less time none drains and is back
pub const OUTAGE_LEASES: u32 = 5; // leases without a list: its service is down, and all known pods may serve,
const UNCONFIRMED_TIER_OFFSET: u8 = 8; // so many turns after those that do
const FORGET_GONE_AFTER: Duration = Duration::from_secs(120); // nobody speaks of a pod that has been gone for this
const MAX_SAMPLE: usize = 10_000; // a sample is halved here: what came late must still show, and memory end
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(60); // an open forward is looked at again
const RATE_LIMIT_BURST: Duration = Duration::from_secs(2); // the allowance of so long is taken at one time
const RETRY_BUDGET: (f64, f64) = (0.15, 20.0); // further forwards for each hit taken, and the most saved up

/// Watches the list and tells pods, gate and judge what changed.
#[derive(Default)]
pub struct EndpointTracker {
    known: KnownEndpoints,
    watching: bool,
}

impl EndpointTracker {
    pub fn take(&mut self, note: Message, round: &mut Context) {
        match note {
            Message::EndpointsUpdated(EndpointUpdate::Delta(rows)) => {
                rows.into_iter().for_each(|row| self.announce(row, round))
            }
            Message::EndpointsUpdated(
                EndpointUpdate::Snapshot(rows) | EndpointUpdate::Cached(rows),
            ) => {
                let gone = self.known.missing_from(&rows);
                gone.into_iter()
                    .chain(rows)
                    .for_each(|row| self.announce(row, round));
                let first =
                    round.config.watch_on_request && !std::mem::replace(&mut self.watching, true);
                round
                    .actions
                    .extend(first.then_some(Action::WatchEndpoints));
            }
            // Soon after a loss, ever later after calls that are refused or twice unanswered. Guards against
            // calls that keep the service too busy to answer any; hurts by late lists after a long outage.
            Message::EndpointsUpdated(EndpointUpdate::WatchLost(loss)) => {
                let doubled = match loss.cause {
                    WatchLossCause::Ended | WatchLossCause::NoService => 0,
                    WatchLossCause::TimedOut => round.watch_failures.saturating_sub(2),
                    WatchLossCause::Refused => round.watch_failures,
                };
                let shared = WATCH_RETRY_DELAY * (1 << doubled.min(MAX_BACKOFF_DOUBLINGS));
                let own = (round.config.drain_grace / 4).clamp(TICK_INTERVAL, WATCH_RETRY_DELAY); // its own agent's, told at once
                let longest = if round.config.endpoints_pushed {
                    own
                } else {
                    shared
                };
                let wait = longest.mul_f64(0.3 + 0.7 * round.random_unit());
                round.schedule(wait, Component::EndpointTracker, Message::WatchDue);
            }
            Message::WatchDue => round.actions.push(Action::WatchEndpoints),
            // Guards against a pile of pods that left long ago; the gate sends nothing to unknown ones.
            Message::EndpointForgotten(pod)
                if self.known.forget(pod, round.ago(FORGET_GONE_AFTER)) =>
            {
                round.broadcast(
                    [
                        Component::AdmissionControl,
                        Component::OutlierDetector(pod),
                        Component::LoadBalancer,
                        Component::CanaryAnalysis,
                    ],
                    &Message::EndpointForgotten(pod),
                );
            }
            _ => {}
        }
    }

    fn announce(&mut self, mut row: Endpoint, round: &mut Context) {
        row.weight = row.weight.max(0.01);
        if self.known.insert(&row, round.now) {
            round.schedule(
                FORGET_GONE_AFTER,
                Component::EndpointTracker,
                Message::EndpointForgotten(row.pod),
            );
        }
        round.broadcast(
            [
                Component::AdmissionControl,
                Component::OutlierDetector(row.pod),
                Component::CanaryAnalysis,
            ],
            &Message::EndpointChanged(row),
        );
    }
}

/// One pod as this sidecar sees it.
pub struct OutlierDetector {
    endpoint: Endpoint,
    in_flight: BTreeMap<(RequestId, AttemptIndex), Duration>,
    health: EndpointHealth,
}

impl OutlierDetector {
    pub fn new(entry: Endpoint) -> Self {
        Self {
            endpoint: entry,
            in_flight: BTreeMap::new(),
            health: EndpointHealth::default(),
        }
    }

    pub fn take(&mut self, note: Message, round: &mut Context) {
        let now = round.now;
        match note {
            Message::EndpointChanged(entry) => {
                // A restart or another build under the same id: what was seen of it is void.
                if entry.started_at != self.endpoint.started_at
                    || entry.build != self.endpoint.build
                {
                    self.health = EndpointHealth::default();
                }
                self.endpoint = entry;
            }
            Message::AttemptStarted {
                request: hit,
                attempt: no,
                ..
            } => {
                self.in_flight.insert((hit, no), now);
                // A proof is out: the next one only after a longer wait.
                (!self.health.ejected_until.is_zero()).then(|| self.eject(now));
            }
            Message::AttemptEnded(ended) => {
                self.in_flight
                    .remove(&(ended.result.request, ended.result.attempt));
                self.record_outcome(&ended, round);
            }
            Message::Tick => {
                // Takes hits and answers none, whatever the cause: shut until it answers again.
                let oldest = self.in_flight.values().min().copied();
                // With few hits open a heavy one explains the silence, with many it does not.
                let few = 1.0 + 2.0 / self.in_flight.len().max(1) as f64;
                let pace = if self.health.latency_ratio.count > 0 {
                    self.health.latency_ratio.value.max(0.05)
                } else {
                    0.3
                };
                let patience = Duration::from_secs_f64(
                    round.config.min_latency_objective * (0.15 + 2.0 * pace) * few,
                );
                let quiet = oldest
                    .is_some_and(|sent| now > sent.max(self.health.last_success_at) + patience);
                match (self.health.ejected_until.is_zero(), quiet) {
                    (true, true) => self.eject(now),
                    (true, false) => return,
                    _ => {}
                }
            }
            _ => {}
        }
        self.publish_snapshot(round);
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, round: &Context) {
        let now = round.now;
        let took = ended.result.duration.as_secs_f64()
            / round
                .config
                .class(ended.class)
                .latency_objective
                .as_secs_f64();
        match ended.result.outcome {
            AttemptOutcome::Succeeded => {
                self.health.latency_ratio.add(took, LATENCY_RATIO_SAMPLES);
                let served = self.health.last_served_at.max(ended.sent_at);
                self.health = EndpointHealth {
                    last_success_at: now,
                    last_served_at: served,
                    latency_ratio: self.health.latency_ratio,
                    ..EndpointHealth::default()
                };
            }
            // No connection, or resets, silence or errors in a row: shut for a while, ever longer. An error
            // is no sign of speed: a pod that fails at once would draw all hits. One reset may be a
            // connection's fault; a pod that died refuses the next one.
            AttemptOutcome::TimedOut | AttemptOutcome::Failed if ended.tenant_outlier => {}
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {
                self.health.consecutive_failures += 1;
                let limit = if ended.result.outcome == AttemptOutcome::ConnectFailed {
                    1
                } else {
                    3
                };
                (self.health.consecutive_failures >= limit).then(|| self.eject(now));
            }
            AttemptOutcome::Rejected => {
                self.health.last_served_at = Duration::ZERO; // it may drain
                self.health.latency_ratio.add(1.0, LATENCY_RATIO_SAMPLES);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
    }

    fn eject(&mut self, now: Duration) {
        self.health.ejections = (self.health.ejections + 1).min(4);
        self.health.ejected_until = now + Duration::from_millis(250 << self.health.ejections);
    }

    /// Whether a beat could change anything: hits are out here, or it is shut.
    pub fn needs_tick(&self) -> bool {
        !self.in_flight.is_empty() || !self.health.ejected_until.is_zero()
    }

    pub fn publish_snapshot(&self, round: &mut Context) {
        let (now, ready) = (round.now, self.endpoint.state == PodState::Ready);
        let shut = !self.health.ejected_until.is_zero();
        let card = EndpointSnapshot {
            endpoint: self.endpoint.clone(),
            rank: round.rank(self.endpoint.pod),
            ready,
            in_flight: self.in_flight.len(),
            latency_ratio: self.health.latency_ratio,
            usable: ready && !shut,
            wants_health_check: ready
                && shut
                && now >= self.health.ejected_until
                && !round.is_probed_by_peers(self.endpoint.pod),
            last_served_at: self.health.last_served_at,
        };
        round
            .mailboxes
            .push(Component::LoadBalancer, Message::SnapshotPublished(card));
    }
}

/// Keeps the five rules: every forward and every final answer passes here.
#[derive(Default)]
pub struct AdmissionControl {
    stage: Option<StageUpdate>,
    endpoints: EndpointStates,
    requests: BTreeMap<RequestId, RequestRecord>,
    admitted: BTreeMap<usize, SlidingWindow>,
    exposed: BTreeMap<(BuildId, usize), SlidingWindow>,
    key_builds: BTreeMap<RoutingKey, BuildId>,
    all_keys_build: Option<BuildId>, // as if every key had met it: no older build ran any more
    success_rate: SmoothedRate,
    tenant_failures: BTreeMap<TenantId, RunningMean>, // the share of each one's forwards that errs or times out
}

impl AdmissionControl {
    pub fn take(&mut self, note: Message, round: &mut Context) {
        match note {
            Message::EndpointChanged(entry) => {
                let luck = round.random_unit();
                self.endpoints.update(entry, round.now, luck);
            }
            Message::EndpointForgotten(pod) => self.endpoints.remove(pod),
            Message::RequestArrived(hit) => self.open_request(hit, round),
            Message::AttemptProposed {
                request: hit,
                candidates: mut bids,
                tier: turn,
            } => {
                best_last(&mut bids); // nearly always that one is allowed: only if not, the others are sorted
                let mut sorted = false;
                while let Some(Candidate {
                    pod,
                    build,
                    used_fraction: part,
                    ..
                }) = bids.pop_if(|bid| bid.tier == turn)
                {
                    match self.check_rules(hit, (pod, part), round) {
                        Ok(()) => return self.start_attempt(hit, pod, round),
                        // That holds for all of its build.
                        Err(Refusal::ExposureCap | Refusal::StickyKey) => {
                            bids.retain(|bid| bid.build != build)
                        }
                        Err(_) => {}
                    }
                    if !std::mem::replace(&mut sorted, true) {
                        bids.sort_unstable();
                    }
                }
                round
                    .mailboxes
                    .push(Component::LoadBalancer, Message::AttemptRefused(hit, bids));
            }
            Message::AttemptFinished(outcome) => self.end_attempt(outcome, round),
            Message::StreamStarted(hit) => self
                .requests
                .get_mut(&hit)
                .into_iter()
                .for_each(|a| a.streaming = true),
            Message::RequestGivenUp(hit) => self.give_up(hit, round),
            Message::RequestClosed(hit) if self.requests.contains_key(&hit) => {
                self.close(hit, round)
            }
            Message::KeyServed(key, build) => {
                self.key_builds
                    .entry(key)
                    .and_modify(|met| *met = build.max(*met))
                    .or_insert(build);
            }
            Message::StageUpdated(news) => {
                // Rule 5 speaks of the newest build's keys alone.
                if self.stage.is_some_and(|old| old.build < news.build) {
                    self.key_builds.retain(|_, met| *met >= news.build);
                    self.all_keys_build = self.all_keys_build.filter(|met| *met >= news.build);
                }
                self.stage = Some(news);
            }
            Message::Tick => {
                self.compact_keys(round);
                self.exposed.retain(|_, window| !window.is_empty());
                let from = round.ago(round.config.exposure_window);
                self.admitted
                    .values_mut()
                    .chain(self.exposed.values_mut())
                    .for_each(|w| w.expire_before(from));
            }
            _ => {}
        }
    }

    /// Once a build is released and nothing older can be sent to, its keys need not be told apart: an older
    /// pod that came back would get no hit with a key. Guards against a million keys a day; may hurt when old
    /// machines come back by hand after a release: they serve hits without keys only.
    fn compact_keys(&mut self, round: &Context) {
        let Some(news) = self
            .stage
            .filter(|n| n.phase == Phase::Released && !self.key_builds.is_empty())
        else {
            return;
        };
        let (now, grace) = (round.now, round.config.drain_grace);
        let usable = |p: &EndpointState| p.leaving_since.is_none_or(|told| now < told + grace);
        if self
            .endpoints
            .values()
            .all(|p| p.endpoint.build >= news.build || !usable(p))
        {
            // A later build that the list showed before the news did has keys of its own.
            self.key_builds.retain(|_, met| *met > news.build);
            self.all_keys_build = Some(news.build);
        }
    }

    fn open_request(&mut self, hit: Request, round: &mut Context) {
        if usize::from(hit.class.0) >= round.config.classes.len()
            || self.requests.contains_key(&hit.id)
        {
            return;
        }
        self.admitted
            .entry(round.config.exposure_counter(hit.class))
            .or_default()
            .record(round.now);
        self.requests.insert(hit.id, RequestRecord::new(&hit));
        round
            .mailboxes
            .push(Component::LoadBalancer, Message::RequestArrived(hit));
    }

    fn check_rules(
        &self,
        hit: RequestId,
        (pod, part): (PodId, f64),
        round: &Context,
    ) -> Result<(), Refusal> {
        let (now, figures) = (round.now, &round.config);
        let account = self.requests.get(&hit).ok_or(Refusal::RequestClosed)?;
        let place = self.endpoints.get(pod).ok_or(Refusal::EndpointDrained)?;
        let spent = account.attempts.len() >= figures.max_attempts;
        let open = !account.closed && !account.streaming && now < account.deadline && !spent;
        open.then_some(()).ok_or(Refusal::RequestClosed)?;
        check_idempotency(account, &place.endpoint, round)?;
        let drained = place
            .leaving_since
            .is_some_and(|told| now >= told + figures.drain_grace);
        (!drained).then_some(()).ok_or(Refusal::EndpointDrained)?;
        self.check_slow_start(place, part, round)?;
        self.check_exposure(account, place.endpoint.build, round)
    }

    /// Asked right before the first byte of an attempt leaves: its pod may have been told to leave meanwhile.
    /// While no list is heard what was allowed expires with the grace. Hurts by attempts decided on anew.
    pub fn may_begin(
        &self,
        hit: RequestId,
        no: AttemptIndex,
        now: Duration,
        round: &Context,
    ) -> bool {
        let account = self.requests.get(&hit).filter(|account| !account.closed);
        let Some(sent) = account.and_then(|account| account.open_attempt(no)) else {
            return false;
        };
        let expired = !round.endpoints_are_current()
            && now > sent.sent_at + round.config.drain_grace.max(TICK_INTERVAL);
        !expired
            && self
                .endpoints
                .get(sent.pod)
                .is_some_and(|place| place.still_accepts(sent))
    }

    /// Rule 4, with no word between sidecars: each keeps a cold pod's load to what it gives warm strength, so
    /// that the sum does too, however unequal their traffic.
    fn check_slow_start(
        &self,
        place: &EndpointState,
        part: f64,
        round: &Context,
    ) -> Result<(), Refusal> {
        let (now, figures) = (round.now, &round.config);
        let strength = figures.capacity_factor(place.endpoint.started_at, now);
        if strength >= 1.0 {
            return Ok(());
        }
        let whole = self.endpoints.ready_capacity(now, figures);
        // What it uses but a part of gets so much more from it, and nothing from sidecars that use others.
        let fair = self.success_rate.per_second(now, RATE_SMOOTHING) / (whole * part).max(0.01);
        let load = MAX_SLOW_START_LOAD.min(figures.overload_multiple);
        let most =
            fair * place.endpoint.weight * strength * load * figures.overload_window.as_secs_f64();
        let sent = place
            .attempts
            .count_since(round.ago(figures.overload_window));
        // Less than a whole forward is granted by chance: rounded up, hundreds of sidecars would push the pod
        // over; rounded down, light ones would never warm it.
        let fits = (sent + 1) as f64 <= most + place.fractional_allowance;
        fits.then_some(()).ok_or(Refusal::SlowStart)
    }

    fn exposure_cap(&self, build: BuildId, figures: &DerivedConfig) -> Option<(f64, u8)> {
        exposure_cap(build, self.endpoints.lowest_build(), self.stage, figures)
    }

    /// Rule 5. A lower cap is kept from the moment it is told, without the grace.
    fn check_exposure(
        &self,
        account: &RequestRecord,
        build: BuildId,
        round: &Context,
    ) -> Result<(), Refusal> {
        let figures = &round.config;
        let newer = self
            .stage
            .filter(|n| figures.sticky_keys && build < n.build);
        let stays = newer.is_some_and(|n| matches!(n.phase, Phase::OnTrial | Phase::Released));
        let met = account.routing_key.is_some_and(|key| {
            self.key_builds.get(&key).copied().max(self.all_keys_build) > Some(build)
        });
        (!stays || !met).then_some(()).ok_or(Refusal::StickyKey)?;
        let Some((cap, stage)) = self.exposure_cap(build, figures) else {
            return Ok(());
        };
        let repeatable = figures.class(account.class).idempotency == Idempotency::Idempotent;
        let open = cap > 0.0 && (stage >= figures.guarded_stages || repeatable);
        let counter = figures.exposure_counter(account.class);
        // Hits near the window's far edge are left out: they fall out before the forwards made for them.
        let since =
            |w: Option<&SlidingWindow>, span| w.map_or(0, |w| w.count_since(round.ago(span)));
        let sent = since(self.exposed.get(&(build, counter)), figures.exposure_window);
        let taken = since(
            self.admitted.get(&counter),
            figures.exposure_window.mul_f64(0.9),
        );
        let fits = (sent + 1) as f64 <= figures.exposure_free + cap * taken as f64;
        (open && fits).then_some(()).ok_or(Refusal::ExposureCap)
    }

    fn start_attempt(&mut self, hit: RequestId, pod: PodId, round: &mut Context) {
        let found = (self.requests.get_mut(&hit), self.endpoints.get_mut(pod));
        let (Some(account), Some(place)) = found else {
            return;
        };
        let (no, build) = (
            account.record_attempt(&place.endpoint, round.now),
            place.endpoint.build,
        );
        place.attempts.record(round.now);
        place
            .attempts
            .expire_before(round.ago(round.config.overload_window));
        let counter = round.config.exposure_counter(account.class);
        self.exposed
            .entry((build, counter))
            .or_default()
            .record(round.now);
        round.actions.push(Action::StartAttempt {
            request: hit,
            pod,
            timeout: Duration::ZERO,
        });
        round.broadcast(
            [Component::OutlierDetector(pod), Component::LoadBalancer],
            &Message::AttemptStarted {
                request: hit,
                attempt: no,
                pod,
            },
        );
    }

    fn end_attempt(&mut self, mut outcome: AttemptResult, round: &mut Context) {
        let Some(account) = self.requests.get_mut(&outcome.request) else {
            return;
        };
        let Some(sent) = account.attempts.get_mut(usize::from(outcome.attempt.0)) else {
            return;
        };
        if sent.outcome.is_some() {
            return;
        }
        sent.outcome = Some(outcome.outcome);
        outcome.duration = outcome.duration.saturating_sub(round.lateness);
        let (pod, build, at) = (sent.pod, sent.build, sent.sent_at);
        let was_open = !account.closed;
        account.closed |= outcome.request_over;
        (outcome.outcome == AttemptOutcome::Succeeded)
            .then(|| self.success_rate.record(round.now, RATE_SMOOTHING));
        // An answer may have been whole though its connection broke or was given up: it counts as had.
        let had = !outcome.outcome.never_ran() && outcome.outcome != AttemptOutcome::Failed;
        let key = account
            .routing_key
            .filter(|_| round.config.sticky_keys && had);
        key.into_iter().for_each(|key| {
            round
                .mailboxes
                .push(Component::AdmissionControl, Message::KeyServed(key, build))
        });
        let (hit, group, open) = (outcome.request, account.class, was_open && !account.closed);
        let customer = account.tenant;
        let learn =
            !outcome.outcome.never_ran() && self.exposure_cap(build, &round.config).is_none();
        let sour = customer
            .is_some_and(|customer| self.is_tenant_outlier(customer, outcome.outcome, learn));
        let ended = AttemptEnded {
            result: outcome,
            class: group,
            build,
            sent_at: at,
            request_open: open,
            tenant: customer,
            tenant_outlier: sour,
        };
        round.broadcast(
            [
                Component::OutlierDetector(pod),
                Component::LoadBalancer,
                Component::CanaryAnalysis,
            ],
            &Message::AttemptEnded(ended),
        );
        self.settle(hit, round);
    }

    /// Whether one customer's hits go wrong where the others' go well, on builds that are not on trial: then
    /// they speak neither against a pod nor against a build, as hits that nobody can answer.
    fn is_tenant_outlier(&mut self, customer: TenantId, fate: AttemptOutcome, learn: bool) -> bool {
        if learn && fate != AttemptOutcome::Cancelled {
            let wrong = matches!(fate, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
            self.tenant_failures
                .entry(customer)
                .or_default()
                .add(f64::from(u8::from(wrong)), 30);
        }
        let known = |c: &TenantId| {
            self.tenant_failures
                .get(c)
                .copied()
                .filter(|mean| mean.count >= 15)
        };
        let others = || {
            self.tenant_failures
                .keys()
                .filter(|c| **c != customer)
                .filter_map(known)
                .map(|mean| mean.value)
        };
        let usual = others().sum::<f64>() / others().count().max(1) as f64;
        others().count() > 0 && known(&customer).is_some_and(|own| own.value > 0.2 + 1.5 * usual)
    }

    /// A hit that is given up: bounced where a retry does no harm, errored elsewhere.
    fn give_up(&mut self, hit: RequestId, round: &mut Context) {
        let Some(account) = self
            .requests
            .get(&hit)
            .filter(|a| !a.closed && !a.streaming)
        else {
            return;
        };
        let ran = account.attempts.iter().any(AttemptRecord::may_have_run);
        let harmless = match round.config.class(account.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                deduplicated_by: drops_repeats,
                ..
            } => !ran || drops_repeats == DeduplicationScope::All,
            Idempotency::NonIdempotent => !ran,
        };
        round.actions.push(match harmless {
            true => Action::Reject {
                request: hit,
                retry_after: round.config.retry_after,
            },
            false => Action::Fail { request: hit },
        });
        self.close(hit, round);
    }

    fn close(&mut self, hit: RequestId, round: &mut Context) {
        self.requests
            .entry(hit)
            .and_modify(|account| account.closed = true);
        self.settle(hit, round);
        round
            .mailboxes
            .push(Component::LoadBalancer, Message::RequestClosed(hit));
    }

    /// Calls off what is still out for a hit that is over, and closes its account once nothing is.
    fn settle(&mut self, hit: RequestId, round: &mut Context) {
        let Some(account) = self.requests.get(&hit).filter(|a| a.closed) else {
            return;
        };
        let out = account.open_attempts();
        if out.is_empty() {
            self.requests.remove(&hit);
        } else if round.config.cancellation && !account.streaming {
            out.into_iter().for_each(|no| {
                round.actions.push(Action::CancelAttempt {
                    request: hit,
                    attempt: no,
                })
            });
        }
    }
}

/// The cap and stage of a build on trial; none for builds that are not. One without news of it counts as in
/// the first stage, unless nothing older runs.
fn exposure_cap(
    build: BuildId,
    lowest: Option<BuildId>,
    news: Option<StageUpdate>,
    by: &DerivedConfig,
) -> Option<(f64, u8)> {
    match news {
        None if lowest.is_none_or(|l| build <= l) => None,
        Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
        Some(n) if build == n.build => Some((n.cap, n.stage.0)),
        _ => Some((by.exposure_caps[0], 0)),
    }
}

/// Rule 2: a second effect is possible only where an earlier forward may have run.
fn check_idempotency(
    account: &RequestRecord,
    to: &Endpoint,
    round: &Context,
) -> Result<(), Refusal> {
    if !round.config.hedging && account.attempts.iter().any(|f| f.outcome.is_none()) {
        return Err(Refusal::MayHaveRun);
    }
    let mut ran = account.attempts.iter().filter(|f| f.may_have_run());
    let fine = match round.config.class(account.class).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => ran.next().is_none(),
        Idempotency::Keyed {
            deduplicated_by: drops_repeats,
            window: memory,
        } => ran.all(|f| f.is_deduplicated_by(to, drops_repeats) && round.now < f.sent_at + memory),
    };
    fine.then_some(()).ok_or(Refusal::MayHaveRun)
}

/// Holds the open hits and picks pods for them.
#[derive(Default)]
pub struct LoadBalancer {
    table: EndpointTable,
    summary: FleetSummary,
    requests: BTreeMap<RequestId, OpenRequest>,
    stage: Option<StageUpdate>,
    retry_budget: f64,
    success_rate: SmoothedRate,
    tenant_latency: BTreeMap<Option<TenantId>, DecayingMean>, // what each customer's last forwards took, in targets
    class_latency: BTreeMap<ClassId, RunningMean>, // mean time of delivered forwards, in seconds
    machine_latency: BTreeMap<MachineTypeId, RunningMean>, // the same by machine kind, in target latencies
}

impl LoadBalancer {
    pub fn take(&mut self, note: Message, round: &mut Context) {
        match note {
            Message::RequestArrived(hit) => self.admit(hit, round),
            Message::SnapshotPublished(card) => self.table.put(card),
            Message::EndpointForgotten(pod) => self.table.remove(pod),
            Message::AttemptRefused(hit, rest) if rest.is_empty() => self.postpone(hit, round),
            Message::AttemptRefused(hit, rest) => self.propose_next_tier(hit, rest, round),
            Message::AttemptStarted {
                request: hit,
                attempt: no,
                pod,
            } => {
                let Some(open) = self.requests.get_mut(&hit) else {
                    return;
                };
                (open.attempts_in_flight, open.last_pod) = (open.attempts_in_flight + 1, Some(pod));
                if round.config.hedging {
                    round.schedule(
                        HEDGE_CHECK_INTERVAL,
                        Component::LoadBalancer,
                        Message::HedgeCheckDue(hit, no, pod),
                    );
                }
            }
            Message::AttemptEnded(ended) => self.end_attempt(ended, round),
            Message::HedgeCheckDue(hit, no, pod) => self.check_hedge(hit, no, pod, round),
            Message::PlacementDue(hit) => self.place(hit, round),
            Message::RequestClosed(hit) => drop(self.requests.remove(&hit)),
            Message::StageUpdated(news) => self.stage = Some(news),
            _ => {}
        }
    }

    fn expected_latency(&self, group: ClassId, round: &Context) -> f64 {
        let target = round.config.class(group).latency_objective.as_secs_f64();
        self.class_latency
            .get(&group)
            .map_or(0.2 * target, |mean| mean.value)
    }

    fn admit(&mut self, hit: Request, round: &mut Context) {
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        let shed =
            self.overload(hit.tenant, round) * 2.0 * round.config.class(hit.class).inverse_priority;
        self.requests
            .insert(hit.id, OpenRequest::new(&hit, round.now));
        if shed > 0.0 && round.random_unit() < shed.min(MAX_SHED_PROBABILITY) {
            round
                .mailboxes
                .push(Component::AdmissionControl, Message::RequestGivenUp(hit.id));
        } else {
            self.place(hit.id, round);
        }
    }

    /// What a customer's forwards took lately, in target latencies; it fades, as nothing is learned while all
    /// is shed. By customer: hits that wait for something of their own at every pod, and hold the places of
    /// all, go first.
    fn tenant_latency(&self, customer: Option<TenantId>, now: Duration) -> f64 {
        self.tenant_latency
            .get(&customer)
            .map_or(0.0, |took| took.shrunk_mean(now, TENANT_LATENCY_DECAY, 0.5))
    }

    /// How far the wait ahead of a new hit, by Little's law, is past what the target latency bears: 0 to 1.
    fn overload(&self, customer: Option<TenantId>, round: &Context) -> f64 {
        // Before the first answers there is no rate to go by.
        if round.now < round.config.started_at + RATE_SMOOTHING {
            return 0.0;
        }
        let out = self
            .requests
            .values()
            .filter(|h| h.attempts_in_flight > 0 && self.tenant_latency(h.tenant, round.now) < 1.0);
        let at = |h: &OpenRequest| h.last_pod.and_then(|pod| self.table.get(pod));
        let open = out.filter(|h| at(h).is_some_and(|c| c.usable)).count() as f64;
        // A few open hits of a light sidecar are chance; what its last hits took tells it more.
        let by_count = (open - open.sqrt())
            / self
                .success_rate
                .per_second(round.now, RATE_SMOOTHING)
                .max(5.0);
        let wait = (by_count / round.config.min_latency_objective)
            .max(self.tenant_latency(customer, round.now));
        ((wait - 0.45) / 0.6).clamp(0.0, 1.0)
    }

    /// The split: the share of hits that the build on trial gets, by its machines, stage and cap.
    fn trial_share(&self, round: &Context) -> (Option<BuildId>, f64) {
        let Some((lowest, build)) = self.summary.build_range else {
            return (None, 0.0);
        };
        let cap = exposure_cap(build, Some(lowest), self.stage, &round.config);
        let Some((cap, stage)) = cap else {
            return (None, 0.0);
        };
        let strengths = self
            .table
            .iter()
            .filter(|c| c.usable)
            .map(|c| (c.endpoint.build, self.capacity(c, round)));
        let (whole, new) = strengths.fold((0.0, 0.0), |(whole, new), (of, strength)| {
            (
                whole + strength,
                if of == build { new + strength } else { new },
            )
        });
        let told = round
            .config
            .stage_shares
            .get(usize::from(stage))
            .copied()
            .unwrap_or(1.0);
        (Some(build), (new / whole.max(1e-9)).min(told).min(cap))
    }

    fn place(&mut self, hit: RequestId, round: &mut Context) {
        self.summary.refresh(&mut self.table);
        let (trial, share) = self.trial_share(round);
        if trial != self.summary.trial_build {
            self.summary.sort_ranks(&self.table, trial);
        }
        let draw = round.random_unit();
        let Some(open) = self.requests.get(&hit) else {
            return;
        };
        let on_trial = |c: &EndpointSnapshot| trial == Some(c.endpoint.build);
        let harmless = round.config.class(open.class).idempotency != Idempotency::NonIdempotent;
        // A light sidecar has few hits: most must not go to prove that what is shut still fails.
        let proves = harmless
            && open.tried_pods.is_empty()
            && round.random_unit() < HEALTH_CHECK_PROBABILITY;
        let want_trial = !open.avoids_trial && draw < share;
        let used = self.endpoints_in_use(round);
        let among = |c: &EndpointSnapshot| used[usize::from(on_trial(c))];
        let (since, down) = (round.served_since(), round.is_list_service_down());
        let turn = |c: &EndpointSnapshot| match () {
            _ if !c.ready || open.tried_pods.contains(&c.endpoint.pod) => None,
            // It may have left, as no list is heard. Guards against pods that were announced as leaving, or
            // are back after that; hurts by requests that find no pod, and by more load on those that serve.
            _ if c.last_served_at < since && !down => None,
            _ if proves && c.wants_health_check => Some(0),
            _ if c.usable && on_trial(c) == want_trial && c.rank_key() >= among(c).0 => Some(1),
            _ if c.usable && on_trial(c) == want_trial => Some(2),
            _ if c.usable && !open.avoids_trial => Some(3),
            // Nothing healthy: a pod that is only quiet or shut is better than none.
            _ if !on_trial(c) && open.attempts_in_flight == 0 => Some(4),
            _ => None,
        };
        let (mut bids, mut first) = (Vec::with_capacity(self.table.iter().len()), u8::MAX);
        for card in self.table.iter() {
            let chance = round.random_unit();
            let later = if card.last_served_at < since {
                UNCONFIRMED_TIER_OFFSET
            } else {
                0
            };
            let Some(turn) = turn(card).map(|turn| turn + later) else {
                continue;
            };
            first = first.min(turn);
            let cost = if turn == first {
                self.cost(card, chance, round)
            } else {
                0.0
            };
            let (pod, build, part) = (card.endpoint.pod, card.endpoint.build, among(card).1);
            bids.push(Candidate {
                pod,
                build,
                tier: turn,
                random_draw: chance,
                cost,
                used_fraction: part,
            });
        }
        round.mailboxes.push(
            Component::AdmissionControl,
            Message::AttemptProposed {
                request: hit,
                candidates: bids,
                tier: first,
            },
        );
    }

    /// Asks for the pods whose turn is next; they had no price before.
    fn propose_next_tier(&self, hit: RequestId, mut bids: Vec<Candidate>, round: &mut Context) {
        let turn = bids.iter().map(|bid| bid.tier).min().unwrap_or(0);
        for bid in bids.iter_mut().filter(|bid| bid.tier == turn) {
            let card = self.table.get(bid.pod);
            bid.cost = card.map_or(f64::MAX, |card| self.cost(card, bid.random_draw, round));
        }
        round.mailboxes.push(
            Component::AdmissionControl,
            Message::AttemptProposed {
                request: hit,
                candidates: bids,
                tier: turn,
            },
        );
    }

    /// Of the pods of the base, and of the trial: the lowest rank that this sidecar uses, and which part of
    /// them that is. It uses those that rank highest in a hash of its own number and theirs, a few more than
    /// its open hits need. With few hits it can't learn what hundreds of pods are like, nor keep connections
    /// to them. A pod that is shut makes room for the next in rank.
    fn endpoints_in_use(&self, round: &Context) -> [((u64, PodId), f64); 2] {
        let ranks = &self.summary.ranks;
        let all = ranks[0].len() + ranks[1].len();
        let uses = round
            .min_endpoints()
            .max(MIN_ENDPOINTS_IN_USE + 3 * self.table.in_flight()) as f64;
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
    fn capacity(&self, card: &EndpointSnapshot, round: &Context) -> f64 {
        let pace = self
            .machine_latency
            .get(&card.endpoint.machine_type)
            .map_or(1.0, |mean| mean.value);
        card.endpoint.weight
            * round
                .config
                .capacity_factor(card.endpoint.started_at, round.now)
            / pace.max(0.01)
    }

    /// What one more hit would bear at a pod, at its pace and present strength. Of the load a sidecar knows
    /// its own part only, one in so many; chance stands for the rest (luck, 1 in the mean): pods alike get
    /// hits in proportion to strength, and sidecars that rank alike don't herd. A pace known from few answers
    /// leans on the kind's: a new pod would be flooded while cold.
    fn cost(&self, card: &EndpointSnapshot, chance: f64, round: &Context) -> f64 {
        let luck = -chance.max(1e-9).ln();
        let kind = self
            .machine_latency
            .get(&card.endpoint.machine_type)
            .map_or(1.0, |mean| mean.value);
        let known = card.latency_ratio.count.min(LATENCY_RATIO_SAMPLES) as f64;
        let pace = (card.latency_ratio.value * known + kind * 3.0) / (known + 3.0);
        let strength = card.endpoint.weight
            * round
                .config
                .capacity_factor(card.endpoint.started_at, round.now);
        let far = if card.endpoint.zone == round.config.zone {
            1.0
        } else {
            1.1
        };
        let own = 1.0 / round.config.sidecar_count;
        (card.in_flight as f64 + own + (1.0 - own) * luck) * pace.max(0.02) * far / strength
    }

    /// No pod may have it now: it waits while an answer could still be worth something.
    fn postpone(&mut self, hit: RequestId, round: &mut Context) {
        let Some(open) = self
            .requests
            .get_mut(&hit)
            .filter(|open| open.attempts_in_flight == 0)
        else {
            return;
        };
        (open.avoids_trial, open.tried_pods) = (false, Vec::new());
        let target = round.config.class(open.class).latency_objective;
        let last = (open.arrived_at + target.mul_f64(0.7))
            .min(open.deadline.saturating_sub(TICK_INTERVAL * 3));
        if round.now < last {
            round.schedule(
                TICK_INTERVAL,
                Component::LoadBalancer,
                Message::PlacementDue(hit),
            );
        } else {
            round
                .mailboxes
                .push(Component::AdmissionControl, Message::RequestGivenUp(hit));
        }
    }

    fn end_attempt(&mut self, ended: AttemptEnded, round: &mut Context) {
        let usual = self.expected_latency(ended.class, round);
        let share = ended.result.duration.as_secs_f64()
            / round
                .config
                .class(ended.class)
                .latency_objective
                .as_secs_f64();
        let share = if ended.result.outcome == AttemptOutcome::Rejected {
            1.0
        } else {
            share.min(2.0)
        };
        // Few outcomes, or a light sidecar would still shed long after; a busy one reads half a second of
        // them.
        let last = (self.success_rate.per_second(round.now, RATE_SMOOTHING) * 0.5).max(5.0);
        self.tenant_latency.entry(ended.tenant).or_default().add(
            share,
            round.now,
            TENANT_LATENCY_DECAY,
            last,
        );
        if ended.result.outcome == AttemptOutcome::Succeeded {
            self.success_rate.record(round.now, RATE_SMOOTHING);
            self.class_latency
                .entry(ended.class)
                .or_default()
                .add(ended.result.duration.as_secs_f64(), 20);
            if let Some(card) = self.table.get(ended.result.pod) {
                self.machine_latency
                    .entry(card.endpoint.machine_type)
                    .or_default()
                    .add(share, 50);
            }
        }
        let hit = ended.result.request;
        if !ended.request_open {
            self.requests.remove(&hit);
        }
        let Some(open) = self.requests.get_mut(&hit) else {
            return;
        };
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        open.tried_pods.push(ended.result.pod);
        if open.attempts_in_flight > 0 {
            return;
        }
        let line = round.config.class(open.class);
        let worth =
            round.now + Duration::from_secs_f64(usual * 0.5) < open.arrived_at + line.useful_for;
        let again =
            ended.result.outcome.never_ran() || line.idempotency != Idempotency::NonIdempotent;
        if again && worth && round.now + TICK_INTERVAL < open.deadline && self.retry_budget >= 1.0 {
            self.retry_budget -= 1.0;
            open.avoids_trial = true;
            self.place(hit, round);
        } else {
            round
                .mailboxes
                .push(Component::AdmissionControl, Message::RequestGivenUp(hit));
        }
    }

    /// A forward is out at a pod that went quiet: a copy, where allowed. At one that answers others a long
    /// wait means a heavy hit, and a copy would be as heavy.
    fn check_hedge(&mut self, hit: RequestId, no: AttemptIndex, pod: PodId, round: &mut Context) {
        let mutating =
            |o: &OpenRequest| round.config.class(o.class).idempotency == Idempotency::NonIdempotent;
        let doubtful = |o: &&OpenRequest| {
            o.attempts_in_flight == 1 && !o.tried_pods.contains(&pod) && !mutating(o)
        };
        let Some(open) = self.requests.get(&hit).filter(doubtful) else {
            return;
        };
        let usual = Duration::from_secs_f64(self.expected_latency(open.class, round));
        if round.now + usual >= open.arrived_at + round.config.class(open.class).useful_for {
            return;
        }
        if self.table.get(pod).is_some_and(|c| c.usable) || self.retry_budget < 1.0 {
            round.schedule(
                HEDGE_CHECK_INTERVAL,
                Component::LoadBalancer,
                Message::HedgeCheckDue(hit, no, pod),
            );
        } else {
            self.retry_budget -= 1.0;
            self.requests
                .entry(hit)
                .and_modify(|open| open.avoids_trial = true);
            self.place(hit, round);
        }
    }
}

/// Whether `new` is worse than `old` by more than `margin` and `sigmas` of chance; both (bad, seen).
fn is_significantly_worse(
    new: (usize, usize),
    old: (usize, usize),
    margin: f64,
    sigmas: f64,
) -> bool {
    let (more, noise) = proportion_excess(new, old);
    new.0 >= 3 && more > margin + sigmas * noise
}

/// Where dozens must agree one sign may do: what the earlier build's rate would show to fewer than half as
/// many as it takes. Guards against learning it last where hits are few; hurts where a trouble strikes new
/// pods alone.
fn is_rare_sign(
    new: (usize, usize),
    old: (usize, usize),
    margin: f64,
    figures: &DerivedConfig,
) -> bool {
    let usual = (old.0 as f64 + 0.5) / (old.1 as f64 + 1.0);
    let rare =
        binomial_tail(new.0, new.1, usual) < figures.rollback_quorum / figures.sidecar_count * 0.5;
    figures.rollback_quorum >= LARGE_QUORUM && rare && proportion_excess(new, old).0 > margin
}

/// The design's least sample is for a vote that decides alone. Where many must agree each may be lighter,
/// though not in proportion: what they see is alike.
fn min_sample(figures: &DerivedConfig) -> usize {
    ((MIN_SAMPLE as f64 / figures.rollback_quorum.sqrt()).ceil() as usize).max(3)
}

/// How far a sign must stand out of chance: of many sidecars that look at one sound build, the noise of as
/// many as can send it back reaches about this.
fn significance_threshold(figures: &DerivedConfig) -> f64 {
    (2.0 * (figures.sidecar_count / figures.rollback_quorum).ln())
        .sqrt()
        .max(1.5)
}

/// When votes are called where the platform can't carry one of each sidecar, anew after 0.6 of a vote's life.
/// Guards against calls that, made at once and again as soon as refused, keep the votes needed from standing
/// together. In cycles from the stage's news: first, holds, by a third more than it takes; rest, until a
/// moment's allowance has filled up; then a call of each that votes back or on, in a window no longer than
/// the votes needed take. Hurts by the wait for the window.
struct VoteSchedule {
    holder_fraction: f64,
    hold_phase: Duration,
    call_window: Duration,
}

impl VoteSchedule {
    fn new(figures: &DerivedConfig) -> Option<Self> {
        let (life, calls) = (figures.vote_ttl.as_secs_f64(), figures.vote_rate_limit);
        let (holds, moment) = (figures.hold_quorum * 1.3, RATE_LIMIT_BURST.as_secs_f64());
        let window = (figures.max_quorum * 1.1 / calls - moment).clamp(0.1 * life, 0.9 * life);
        (figures.sidecar_count > calls * life * 0.6).then(|| Self {
            holder_fraction: holds / figures.sidecar_count,
            hold_phase: Duration::from_secs_f64((holds / calls - moment).max(0.0)),
            call_window: Duration::from_secs_f64(window),
        })
    }
}

/// Gathers evidence on the build on trial and votes.
#[derive(Default)]
pub struct CanaryAnalysis {
    stage: Option<StageUpdate>,
    stage_entered_at: Duration,
    endpoints: BTreeMap<PodId, Endpoint>,
    trial: CanarySample,
    baseline: CanarySample,
    previous_baseline: CanarySample, // of the earlier build, from before this stage
    machine_latency: BTreeMap<MachineTypeId, RunningMean>, // mean time while no build is on trial, in target latencies
    regressed: bool,        // whether what was seen speaks against the build,
    has_new_evidence: bool, // looked at again when there is something new
    counted_vote: Option<Vote>,
    pending_vote: Option<Vote>,
    next_vote_at: Duration,
    cycles_began_at: Duration, // when cycles of votes began, by the news that all hear
    rollback_until: Duration,  // until when a sign from the stage before is voted on
    last_call: Option<(Verdict, u32)>, // the last call made in turn, and in which cycle
}

impl CanaryAnalysis {
    pub fn take(&mut self, note: Message, round: &mut Context) {
        match note {
            Message::EndpointChanged(entry) => drop(self.endpoints.insert(entry.pod, entry)),
            Message::EndpointForgotten(pod) => drop(self.endpoints.remove(&pod)),
            Message::StageUpdated(news) => self.enter_stage(news, round),
            Message::AttemptEnded(ended) => self.record_outcome(&ended, &round.config),
            Message::ResponseFlagged { pod, class: group } => {
                let Some(build) = self.endpoints.get(&pod).map(|p| p.build) else {
                    return;
                };
                self.sample_of(build)
                    .into_iter()
                    .for_each(|sample| sample.record_flag(group, pod));
            }
            Message::VoteAnswered(answer) => {
                let Some(asked) = self.pending_vote.take() else {
                    return;
                };
                match answer {
                    VoteAnswer::Counted | VoteAnswer::Moot => self.counted_vote = Some(asked),
                    _ => self.next_vote_at = round.now + TICK_INTERVAL * 15,
                }
            }
            Message::Tick => {
                if std::mem::take(&mut self.has_new_evidence) {
                    self.regressed = self.is_regression(round.now, &round.config);
                }
                self.vote(round);
            }
            _ => {}
        }
    }

    /// Evidence is gathered afresh each stage.
    fn enter_stage(&mut self, news: StageUpdate, round: &Context) {
        self.has_new_evidence = true;
        let key = |n: StageUpdate| (n.build, n.stage, n.phase);
        if self.stage.map(key) != Some(key(news)) {
            let next = self.stage.is_some_and(|n| n.build != news.build);
            let base = if next {
                &mut self.trial
            } else {
                &mut self.baseline
            };
            if base.total().outcomes >= min_sample(&round.config) {
                self.previous_baseline = std::mem::take(base);
            }
            // A verdict whose turn had not come is voted on in the next cycle; a window goes on to its end.
            let turns = VoteSchedule::new(&round.config).filter(|_| !next);
            let cycle = turns
                .as_ref()
                .map_or(Duration::ZERO, |t| RATE_LIMIT_BURST + t.call_window);
            self.rollback_until = round.now + cycle * u32::from(self.regressed);
            let told = round.ago(news.age).saturating_sub(self.cycles_began_at);
            if turns.is_none_or(|t| {
                period_at(told.saturating_sub(t.hold_phase), cycle).1 < RATE_LIMIT_BURST
            }) {
                (self.cycles_began_at, self.last_call) = (round.now, None);
            }
            (self.trial, self.baseline, self.stage_entered_at) =
                (CanarySample::default(), CanarySample::default(), round.now);
        }
        self.cycles_began_at = self.cycles_began_at.min(round.ago(news.age));
        self.stage = Some(news);
    }

    fn sample_of(&mut self, build: BuildId) -> Option<&mut CanarySample> {
        self.has_new_evidence = true;
        let news = self.stage?;
        let sample = if build < news.build {
            &mut self.baseline
        } else {
            &mut self.trial
        };
        (build <= news.build).then_some(sample)
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, figures: &DerivedConfig) {
        let fate = ended.result.outcome;
        let untold = fate.never_ran() || fate == AttemptOutcome::Cancelled || ended.tenant_outlier;
        if untold || ended.sent_at < self.stage_entered_at {
            return;
        }
        let Some(entry) = self.endpoints.get(&ended.result.pod) else {
            return;
        };
        // A cold pod's time is its start's and its queue's, not its build's: it tells nothing of speed.
        let warm = figures.capacity_factor(entry.started_at, ended.sent_at) >= 1.0;
        let took = ended.result.duration.as_secs_f64()
            / figures.class(ended.class).latency_objective.as_secs_f64();
        let calm = self.stage.is_none_or(|n| n.phase != Phase::OnTrial);
        let earlier = self.stage.is_some_and(|n| ended.build < n.build);
        let mean = self.machine_latency.entry(entry.machine_type).or_default();
        if fate == AttemptOutcome::Succeeded && warm && (calm || (earlier && mean.count < 50)) {
            mean.add(took, 50);
        }
        let known = fate == AttemptOutcome::Succeeded && warm && mean.count >= min_sample(figures);
        let time = known.then(|| took / mean.value.max(0.001));
        let Some(sample) = self.sample_of(ended.build) else {
            return;
        };
        sample.record(ended.class, ended.result.pod, fate, time);
        (sample.total().outcomes >= MAX_SAMPLE).then(|| sample.halve());
    }

    fn trial_pods(&self) -> impl Iterator<Item = &Endpoint> {
        let build = self.stage.map(|n| n.build);
        self.endpoints
            .values()
            .filter(move |p| Some(p.build) == build && p.state == PodState::Ready)
    }

    /// The newest machine has run for the least time: before, a cold last stage's queues look like slowness.
    fn has_settled(&self, now: Duration) -> bool {
        let newest = self
            .trial_pods()
            .filter_map(|p| p.started_at)
            .max()
            .unwrap_or(self.stage_entered_at);
        now >= newest.max(self.stage_entered_at) + MIN_OBSERVATION_TIME
    }

    fn verdict(&self, now: Duration, figures: &DerivedConfig) -> Verdict {
        let judged = |n: &StageUpdate| matches!(n.phase, Phase::OnTrial | Phase::Released);
        let Some(news) = self.stage.filter(judged) else {
            return Verdict::Abstain;
        };
        let short = || self.trial.total().outcomes < min_sample(figures) || !self.has_settled(now);
        if self.regressed || now < self.rollback_until {
            return Verdict::RollBack;
        }
        match (news.phase, figures.clock_controlled) {
            (Phase::OnTrial, false) if !short() => Verdict::Promote,
            (Phase::OnTrial, true) if now < self.stage_entered_at + MAX_HOLD && short() => {
                Verdict::Hold
            }
            _ => Verdict::Abstain,
        }
    }

    fn is_regression(&self, now: Duration, figures: &DerivedConfig) -> bool {
        let (least, sigmas) = (min_sample(figures), significance_threshold(figures));
        let beside = self.baseline.total().outcomes >= least;
        let old = if beside {
            &self.baseline
        } else {
            &self.previous_baseline
        };
        // With no earlier build beside it, nothing tells time-outs from those of trouble that came since.
        let bad = |c: &OutcomeCounts| {
            (
                if beside {
                    c.failures
                } else {
                    c.failures - c.timed_out
                },
                c.outcomes,
            )
        };
        let (pairs, new, old) = (self.trial.paired_with(old), self.trial.total(), old.total());
        let errs = pairs
            .iter()
            .any(|(n, o)| is_significantly_worse(bad(n), bad(o), ERROR_MARGIN, sigmas));
        let wrong = pairs.iter().any(|(n, o)| {
            is_significantly_worse(
                (n.flagged, n.outcomes),
                (o.flagged, o.outcomes),
                0.01,
                sigmas,
            )
        });
        let stands = |sign: fn(&OutcomeCounts) -> usize, margin| {
            is_rare_sign(
                (sign(&new), new.outcomes),
                (sign(&old).max(bad(&old).0), old.outcomes),
                margin,
                figures,
            )
        };
        // An error is a sign by itself; a time-out may be any trouble's, which makes errors likelier too.
        let first = (stands(|c| c.failures - c.timed_out, ERROR_MARGIN)
            && self.is_spread_evenly(1, |p| p.failures))
            || (stands(|c| c.flagged, 0.01) && self.is_spread_evenly(1, |p| p.flagged));
        let faulty = (errs && self.is_spread_evenly(2, |p| p.failures))
            || (wrong && self.is_spread_evenly(2, |p| p.flagged));
        new.outcomes >= least
            && (first || faulty || (self.has_settled(now) && self.is_slower(least, sigmas)))
    }

    /// Whether a sign is spread over the trial's pods as chance would, and on so many unless there are fewer:
    /// one sick pod, or a few in a sick zone, do not speak for the build.
    fn is_spread_evenly(&self, least: usize, sign: impl Fn(&PodSample) -> usize) -> bool {
        let signs: Vec<f64> = self.trial.by_pod.values().map(|p| sign(p) as f64).collect();
        let on = signs.iter().filter(|s| **s > 0.0).count();
        on >= self.trial_pods().count().min(least) && dispersion(&signs) < 1.6
    }

    /// Slower by more than chance explains, also without its slowest pod, beside an earlier build that bears
    /// the same load now and well: under overload, or in a last stage's cold fleet, all times are queues.
    fn is_slower(&self, least: usize, sigmas: f64) -> bool {
        let (new, old) = (self.trial.latencies(), self.baseline.latencies());
        if new.len().min(old.len()) < least {
            return false;
        }
        let noise =
            sigmas.max(2.5) * 1.44 * (1.0 / new.len() as f64 + 1.0 / old.len() as f64).sqrt();
        let (now, usual) = (new[new.len() / 2], old[old.len() / 2]);
        let calm = usual < 2.0 && self.machine_latency.values().all(|mean| mean.value < 0.25);
        let slow = calm && now > LATENCY_MARGIN * usual * noise.exp();
        slow && median(self.trial.latencies_without_slowest_pod()) > Some(LATENCY_MARGIN * usual)
    }

    fn has_turn(&mut self, verdict: Verdict, news: StageUpdate, round: &Context) -> bool {
        let Some(turns) = VoteSchedule::new(&round.config) else {
            return true;
        };
        let told = round.now.saturating_sub(self.cycles_began_at);
        let (nth, since) = period_at(
            told.saturating_sub(turns.hold_phase),
            RATE_LIMIT_BURST + turns.call_window,
        );
        let draw = hash_fraction(round.config.sidecar_index.into(), news.cycle_key(nth));
        let due = match verdict {
            Verdict::Abstain => false, // it lapses by itself
            // One that comes late would spend what the first window needs.
            Verdict::Hold
                if draw >= turns.holder_fraction
                    || told > turns.hold_phase + RATE_LIMIT_BURST / 2 =>
            {
                false
            }
            Verdict::Hold => told >= turns.hold_phase.mul_f64(draw / turns.holder_fraction),
            Verdict::Promote | Verdict::RollBack => {
                since >= RATE_LIMIT_BURST + turns.call_window.mul_f64(draw)
            }
        };
        due && self.last_call.replace((verdict, nth)) != Some((verdict, nth))
    }

    /// Calls only on a changed verdict or a lapsing vote.
    fn vote(&mut self, round: &mut Context) {
        let Some(news) = self.stage else { return };
        let (now, life) = (round.now, round.config.vote_ttl);
        let patience = round.config.vote_timeout + TICK_INTERVAL * 25;
        self.pending_vote = self
            .pending_vote
            .filter(|asked| now < asked.cast_at + patience);
        let verdict = self.verdict(now, &round.config);
        let here =
            |v: &Vote| v.build == news.build && v.stage == news.stage && now < v.cast_at + life;
        let same = match self.counted_vote.filter(here) {
            None => verdict == Verdict::Abstain,
            Some(v) if v.verdict == Verdict::Abstain => verdict == Verdict::Abstain,
            Some(v) => v.verdict == verdict && now < v.cast_at + life.mul_f64(0.6),
        };
        if same
            || self.pending_vote.is_some()
            || now < self.next_vote_at
            || !self.has_turn(verdict, news, round)
        {
            return;
        }
        let (build, stage, new, old) = (news.build, news.stage, &self.trial, &self.baseline);
        let log = || Action::Log(format!("back: {build:?} {stage:?}: {new} against {old}"));
        round
            .actions
            .extend((verdict == Verdict::RollBack).then(log));
        self.pending_vote = Some(Vote {
            verdict,
            build,
            stage,
            cast_at: now,
        });
        round.actions.push(Action::Vote {
            verdict,
            build,
            stage,
        });
    }
}
