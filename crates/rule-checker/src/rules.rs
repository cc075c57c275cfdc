//! The five rules, each checked by itself over the whole record.
//!
//! Times in the record are those of the far ends: a hit is noted when the client writes it (before the sidecar
//! takes it), a forward when the pod has read it (after the sidecar sent it). Each check grants what these
//! ways round may take (`Stalls::blur`), and no more.

use crate::balance::{balance, Balance};
use crate::record::*;
use crate::stalls::Stalls;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    Drains,
    Cold,
    Exposure,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::Drains,
        Rule::Cold,
        Rule::Exposure,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "1 one answer in time",
            Rule::NoEffectTwice => "2 no effect twice",
            Rule::Drains => "3 drains kept",
            Rule::Cold => "4 cold pods",
            Rule::Exposure => "5 exposure",
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: Duration,
    pub text: String,
}

/// What was found of one rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    /// How many things were held to it, and what they are.
    pub counted: usize,
    pub of: &'static str,
    /// The case that came nearest to a breach, in the rule's own unit.
    pub margin: String,
    pub breaches: Vec<Breach>,
}

/// How the day went for the clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub orders: usize,
    pub delivered: usize,
    pub bounced: usize,
    pub errored: usize,
    /// The benefit answered within the target latency over the benefit asked for; retries count as part of
    /// the first try.
    pub figure: f64,
}

pub struct Account {
    pub day: String,
    pub findings: Vec<Finding>,
    pub service: Service,
    pub balance: Balance,
}

impl Account {
    pub fn kept(&self) -> bool {
        self.findings
            .iter()
            .all(|finding| finding.breaches.is_empty())
    }
}

/// Checks a whole record; `read` makes sure that it has a begin and an end.
pub fn check(lines: &[RecordLine]) -> Option<Account> {
    let Some(RecordLine {
        event: Event::Begin { day, limits: terms },
        ..
    }) = lines.first()
    else {
        return None;
    };
    let stalls = Stalls::of(lines);
    let findings = vec![
        one_answer(lines, terms, &stalls),
        no_effect_twice(lines, terms),
        drains(lines, terms, &stalls),
        cold(lines, terms, &stalls),
        exposure(lines, terms, &stalls),
    ];
    Some(Account {
        day: day.clone(),
        findings,
        service: service(lines, terms),
        balance: balance(lines),
    })
}

fn ms(span: Duration) -> String {
    format!("{:.1} ms", span.as_secs_f64() * 1e3)
}

struct Open {
    sidecar: SidecarId,
    /// Written while the sidecar did not run: taken, at the earliest, when it goes on, and nobody can tell it how
    /// long the client has waited by then.
    unseen: bool,
    waits: Duration,
    due: Duration,
    /// Answered or given back; nothing may be sent for it any more.
    ended: Option<Duration>,
    answers: usize,
    /// When its streamed answer began.
    begun: Option<Duration>,
    forwarded: bool,
}

fn one_answer(lines: &[RecordLine], terms: &RuleLimits, stalls: &Stalls) -> Finding {
    let mut tries: BTreeMap<AttemptKey, Open> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut least: Option<Duration> = None;
    let mut breach = |at: Duration, text: String| {
        breaches.push(Breach {
            rule: Rule::OneAnswer,
            at,
            text,
        })
    };
    // Sidecars that do not run now. What falls due meanwhile is owed once they do.
    let mut stopped: BTreeSet<SidecarId> = BTreeSet::new();
    let (mut down, mut leaving) = (BTreeSet::new(), BTreeSet::new());
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::RequestSent {
                sidecar,
                attempt: of,
                timeout: waits,
                ..
            } => {
                // Written to a process that is dead already: nobody took it.
                let ended = down.contains(sidecar).then_some(at);
                let (due, unseen) = (at.saturating_add(*waits), stopped.contains(sidecar));
                let (sidecar, waits, answers, begun, forwarded) =
                    (*sidecar, *waits, 0, None, false);
                let open = Open {
                    sidecar,
                    unseen,
                    waits,
                    due,
                    ended,
                    answers,
                    begun,
                    forwarded,
                };
                tries.insert(*of, open);
            }
            // A stream that has begun is in time: what follows is the client's and the pod's.
            Event::Answered { attempt: of, .. }
                if tries
                    .get(of)
                    .is_some_and(|open| open.begun.is_some() && open.answers == 1) =>
            {
                tries
                    .entry(*of)
                    .and_modify(|open| (open.answers, open.ended) = (2, Some(at)));
            }
            Event::ClientTimedOut { attempt: of } | Event::ConnectionLost { attempt: of, .. }
                if tries.get(of).is_some_and(|open| open.begun.is_some()) =>
            {
                tries
                    .entry(*of)
                    .and_modify(|open| open.ended = open.ended.or(Some(at)));
            }
            Event::Answered { attempt: of, .. } | Event::AnswerStarted { attempt: of, .. } => {
                let Some(open) = tries.get_mut(of) else {
                    breach(at, format!("{of} was answered and never asked"));
                    continue;
                };
                open.answers += 1;
                if open.answers > 1 {
                    breach(at, format!("{of} was answered {} times", open.answers));
                }
                let begins = matches!(line.event, Event::AnswerStarted { .. });
                open.begun = begins.then_some(at);
                let last = open.due + terms.answer_slack + stalls.blur(at);
                if at > last {
                    breach(at, format!("{of} was answered {} late", ms(at - last)));
                }
                least =
                    Some(least.map_or(last.saturating_sub(at), |l| l.min(last.saturating_sub(at))));
                if !begins {
                    open.ended = open.ended.or(Some(at));
                }
            }
            Event::UnexpectedAnswer {
                sidecar,
                attempt: of,
            } => breach(
                at,
                format!(
                    "{sidecar} sent words that nobody waited for, after {}",
                    last_attempt(of.as_ref())
                ),
            ),
            Event::SidecarSuspended { sidecar } => drop(stopped.replace(*sidecar)),
            Event::SidecarResumed { sidecar } => {
                stopped.remove(sidecar);
                let held = tries
                    .values_mut()
                    .filter(|open| open.sidecar == *sidecar && open.ended.is_none());
                for open in held {
                    let taken = if std::mem::take(&mut open.unseen) {
                        at.saturating_add(open.waits)
                    } else {
                        at
                    };
                    open.due = open.due.max(taken);
                }
            }
            // The client's time was up before the sidecar's, which did not run for a part of it; in the very moment in which it
            // goes on, it could not have answered yet.
            Event::ClientTimedOut { attempt: of }
                if tries.get(of).is_some_and(|open| {
                    let last = open.due + terms.answer_slack + stalls.blur(at);
                    stopped.contains(&open.sidecar) || at <= last
                }) =>
            {
                tries.entry(*of).and_modify(|open| open.ended = Some(at));
            }
            Event::ClientTimedOut { attempt: of } => {
                if let Some(open) = tries.get_mut(of).filter(|open| open.ended.is_none()) {
                    breach(at, format!("{of} had no answer within its time"));
                    open.ended = Some(at);
                }
            }
            Event::ConnectionLost {
                attempt: of,
                written: true,
            } => {
                // What reaches one that leaves as it closes a kept connection was not taken, unless it went on.
                let untaken = |open: &Open| leaving.contains(&open.sidecar) && !open.forwarded;
                if let Some(open) = tries
                    .get_mut(of)
                    .filter(|open| open.ended.is_none() && !untaken(open))
                {
                    breach(
                        at,
                        format!("{of}: a running sidecar dropped it without an answer"),
                    );
                    open.ended = Some(at);
                }
            }
            // The sidecar never had it, or the client went: nobody is owed anything.
            Event::ConnectionLost {
                attempt: of,
                written: false,
            } => drop(tries.remove(of)),
            Event::ClientDisconnected { attempt: of } => {
                if let Some(open) = tries.get_mut(of) {
                    open.ended = open.ended.or(Some(at));
                }
            }
            // What a dead sidecar held is no longer its duty.
            Event::SidecarDraining { sidecar } => drop(leaving.replace(*sidecar)),
            Event::SidecarStarted { sidecar } => {
                down.remove(sidecar);
                leaving.remove(sidecar);
            }
            Event::SidecarExited { sidecar } => {
                down.insert(*sidecar);
                let held = tries.values_mut().filter(|open| open.sidecar == *sidecar);
                held.for_each(|open| open.ended = open.ended.or(Some(at)));
            }
            Event::ForwardArrived {
                attempt: of,
                sidecar,
                pod,
                ..
            } => {
                tries.entry(*of).and_modify(|open| open.forwarded = true);
                let ended = tries.get(of).and_then(|open| open.begun.or(open.ended));
                if let Some(ended) = ended.filter(|ended| at > *ended + stalls.blur(at)) {
                    let late = ms(at - ended);
                    breach(
                        at,
                        format!("{sidecar} sent {of} to {pod} {late} after its end"),
                    );
                }
            }
            Event::End {} => {
                let unsettled = |open: &Open| open.ended.is_none() && open.begun.is_none();
                for (of, open) in tries.iter().filter(|(_, open)| unsettled(open)) {
                    let untaken = leaving.contains(&open.sidecar) && !open.forwarded;
                    if at > open.due + terms.answer_slack + stalls.blur(at) && !untaken {
                        breach(at, format!("{of} never had an answer"));
                    }
                }
            }
            _ => {}
        }
    }
    let margin = least.map_or("-".into(), |least| format!("{} left", ms(least)));
    Finding {
        rule: Rule::OneAnswer,
        counted: tries.len(),
        of: "hits taken",
        margin,
        breaches,
    }
}

#[derive(Clone, Copy)]
struct Seen {
    pod: PodId,
    of: AttemptKey,
    at: Duration,
    turned_away: bool,
}

fn no_effect_twice(lines: &[RecordLine], terms: &RuleLimits) -> Finding {
    let mut groups: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut seen: BTreeMap<RequestId, Vec<Seen>> = BTreeMap::new();
    let mut effects: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut places: BTreeMap<PodId, (u16, u16)> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |at: Duration, text: String| {
        breaches.push(Breach {
            rule: Rule::NoEffectTwice,
            at,
            text,
        })
    };
    let mut slimmest: Option<Duration> = None;
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::PodStarted {
                pod, zone, cell, ..
            } => drop(places.insert(*pod, (*zone, *cell))),
            Event::RequestSent {
                attempt: of,
                class: group,
                ..
            } => drop(groups.insert(of.request, *group)),
            Event::ForwardArrived {
                pod, attempt: of, ..
            } => {
                let Some(repeat) = groups
                    .get(&of.request)
                    .map(|group| terms.classes[*group].idempotency)
                else {
                    continue;
                };
                let before = seen.entry(of.request).or_default();
                let mut ran = before.iter().filter(|seen| !seen.turned_away);
                match repeat {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        if let Some(first) = ran.next() {
                            breach(
                                at,
                                format!("{of} went to {pod} though {} may have run it", first.pod),
                            );
                        }
                    }
                    // Between tries of a client the sidecars know nothing of each other: their own forwards
                    // of one try are held to the rule.
                    Idempotency::Keyed {
                        deduplicated_by: reach,
                        window: memory,
                    } => {
                        let own = ran.filter(|seen| seen.of == *of);
                        for first in own {
                            let (old, new) = (places.get(&first.pod), places.get(pod));
                            let within = match reach {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => old.map(|p| p.0) == new.map(|p| p.0),
                                DeduplicationScope::Cell => old.map(|p| p.1) == new.map(|p| p.1),
                            };
                            if !within {
                                breach(
                                    at,
                                    format!("{of} left the pods that drop its repeat, for {pod}"),
                                );
                            }
                            if at > first.at + memory {
                                breach(
                                    at,
                                    format!("{of} went out again after its mark was forgotten"),
                                );
                            }
                            let left = (first.at + memory).saturating_sub(at);
                            slimmest = Some(slimmest.map_or(left, |s| s.min(left)));
                        }
                    }
                }
                before.push(Seen {
                    pod: *pod,
                    of: *of,
                    at,
                    turned_away: false,
                });
            }
            Event::ForwardRejected { pod, attempt: of } => {
                let held = seen.entry(of.request).or_default().iter_mut();
                let last = held.rev().find(|seen| seen.pod == *pod && seen.of == *of);
                last.into_iter().for_each(|seen| seen.turned_away = true);
            }
            Event::Executed {
                pod,
                attempt: of,
                effect: true,
            } => {
                let Some(group) = groups.get(&of.request).map(|group| &terms.classes[*group])
                else {
                    continue;
                };
                let count = effects.entry(of.request).or_default();
                *count += 1;
                if *count > 1 && group.idempotency != Idempotency::Idempotent {
                    breach(at, format!("{of} took effect {count} times, last at {pod}"));
                }
            }
            Event::Answered {
                attempt: of,
                answer: FinalAnswer::Rejected,
                ..
            } => {
                let Some(repeat) = groups
                    .get(&of.request)
                    .map(|group| terms.classes[*group].idempotency)
                else {
                    continue;
                };
                let harmless = match repeat {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        deduplicated_by: DeduplicationScope::All,
                        ..
                    } => true,
                    _ => seen
                        .get(&of.request)
                        .is_none_or(|seen| seen.iter().all(|seen| seen.turned_away)),
                };
                if !harmless {
                    breach(at, format!("{of} was bounced though it may have run"));
                }
            }
            _ => {}
        }
    }
    let counted = effects.keys().filter(|id| {
        groups
            .get(id)
            .is_some_and(|group| terms.classes[*group].idempotency != Idempotency::Idempotent)
    });
    let counted = counted.count();
    let margin = slimmest.map_or("no resend".into(), |left| {
        format!("{} of memory left", ms(left))
    });
    Finding {
        rule: Rule::NoEffectTwice,
        counted,
        of: "hits with effect",
        margin,
        breaches,
    }
}

fn drains(lines: &[RecordLine], terms: &RuleLimits, stalls: &Stalls) -> Finding {
    let mut listed: BTreeMap<SidecarId, BTreeSet<PodId>> = BTreeMap::new();
    let mut told: BTreeMap<(SidecarId, PodId), Duration> = BTreeMap::new();
    let (mut breaches, mut counted) = (Vec::new(), 0);
    let mut latest: Option<Duration> = None;
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::EndpointsNotified {
                sidecar,
                ready,
                draining,
            } => {
                let held = listed.entry(*sidecar).or_default();
                let gone: Vec<PodId> = held
                    .iter()
                    .filter(|pod| !ready.contains(pod))
                    .copied()
                    .collect();
                for pod in gone.iter().chain(draining) {
                    told.entry((*sidecar, *pod)).or_insert(at);
                }
                for pod in ready {
                    told.remove(&(*sidecar, *pod));
                    held.insert(*pod);
                }
                counted += gone.len();
                held.retain(|pod| !gone.contains(pod));
            }
            // A new process knows only what it is told anew.
            Event::SidecarStarted { sidecar } => {
                listed.remove(sidecar);
                told.retain(|(of, _), _| of != sidecar);
            }
            Event::ForwardArrived {
                pod,
                sidecar,
                attempt: of,
                ..
            } => {
                let Some(since) = told.get(&(*sidecar, *pod)) else {
                    continue;
                };
                let after = at - *since;
                latest = Some(latest.map_or(after, |l| l.max(after)));
                if after > terms.drain_grace + stalls.blur(at) {
                    let late = ms(after - terms.drain_grace);
                    let text =
                        format!("{sidecar} sent {of} to {pod} {late} past the grace of its drain");
                    breaches.push(Breach {
                        rule: Rule::Drains,
                        at,
                        text,
                    });
                }
            }
            _ => {}
        }
    }
    let margin = latest.map_or("none after".into(), |l| {
        format!("last {} after, of {}", ms(l), ms(terms.drain_grace))
    });
    Finding {
        rule: Rule::Drains,
        counted,
        of: "drains told",
        margin,
        breaches,
    }
}

struct ColdPod {
    up: Duration,
    capacity: f64,
    sends: VecDeque<(Duration, f64)>,
    sum: f64,
}

/// The work that a pod can do from its start until `age`, in seconds of a core's work over its capacity.
fn done_by(age: f64, terms: &RuleLimits) -> f64 {
    let (from, whole) = (
        terms.slow_start_from,
        terms.slow_start_duration.as_secs_f64().max(1e-9),
    );
    let cold = age.min(whole);
    from * cold + (1.0 - from) * cold * cold / (2.0 * whole) + (age - cold)
}

fn cold(lines: &[RecordLine], terms: &RuleLimits, stalls: &Stalls) -> Finding {
    let mut pods: BTreeMap<PodId, ColdPod> = BTreeMap::new();
    let (mut breaches, mut worst, mut counted) = (Vec::new(), 0.0_f64, 0);
    let span = terms.overload_window.as_secs_f64();
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::PodStarted {
                pod,
                capacity,
                warming_up: true,
                ..
            } => {
                counted += 1;
                let sends = VecDeque::new();
                pods.insert(
                    *pod,
                    ColdPod {
                        up: at,
                        capacity: *capacity,
                        sends,
                        sum: 0.0,
                    },
                );
            }
            Event::PodExited { pod } => drop(pods.remove(pod)),
            Event::ForwardArrived {
                pod,
                work,
                attempt: of,
                ..
            } => {
                let Some(cold) = pods.get_mut(pod) else {
                    continue;
                };
                let age = (at - cold.up).as_secs_f64();
                let work = work.as_secs_f64();
                cold.sends.push_back((at, work));
                cold.sum += work;
                while cold
                    .sends
                    .front()
                    .is_some_and(|(t, _)| (at - *t).as_secs_f64() > span)
                {
                    cold.sum -= cold.sends.pop_front().map_or(0.0, |(_, work)| work);
                }
                if age > terms.slow_start_duration.as_secs_f64() + span {
                    continue;
                }
                // The budget of a whole span, as if the pod had been as strong before its start as at it: what
                // comes at once after the start may spend it before the span has passed.
                let from = age - span;
                let before = (-from).max(0.0) * terms.slow_start_from;
                let late = stalls.blur(at).as_secs_f64();
                let able = cold.capacity
                    * (done_by(age, terms) - done_by(from.max(0.0), terms) + before + late);
                // One hit is the least that can be sent.
                let part = (cold.sum - work).max(0.0) / (terms.overload_multiple * able).max(1e-9);
                worst = worst.max(part);
                if part > 1.0 {
                    let text = format!(
                        "{pod} got {part:.2} of its multiple with {of}, {age:.2} s after its start"
                    );
                    breaches.push(Breach {
                        rule: Rule::Cold,
                        at,
                        text,
                    });
                }
            }
            _ => {}
        }
    }
    let margin = format!("{worst:.2} of the multiple");
    Finding {
        rule: Rule::Cold,
        counted,
        of: "cold starts",
        margin,
        breaches,
    }
}

/// What one sidecar knows and has done, for the exposure rule.
#[derive(Default)]
struct Exposed {
    /// News by the time it was told.
    news: Vec<(Duration, u16, u8, Phase, f64)>,
    /// The number of the last of them.
    told: u64,
    taken: BTreeMap<usize, VecDeque<Duration>>,
    sent: BTreeMap<(u16, usize), VecDeque<Duration>>,
    met: BTreeMap<u64, u16>,
    lowest: Option<u16>,
}

impl Exposed {
    /// Cap and stage of a build by the news that held `ago` before: none if it is not on trial.
    fn cap(&self, build: u16, until: Duration, terms: &RuleLimits) -> Option<(f64, u8)> {
        let last = self.news.iter().rev().find(|news| news.0 <= until);
        match last {
            None if self.lowest.is_none_or(|lowest| build <= lowest) => None,
            Some((_, of, _, phase, _))
                if build < *of || (build == *of && *phase == Phase::Released) =>
            {
                None
            }
            Some((_, of, stage, _, cap)) if build == *of => Some((*cap, *stage)),
            _ => Some((terms.exposure_caps[0], 0)),
        }
    }

    /// The widest cap that may still be in force: news just told, or a higher one within the grace.
    fn widest(
        &self,
        build: u16,
        at: Duration,
        back: Duration,
        terms: &RuleLimits,
    ) -> Option<(f64, u8)> {
        let from = at.saturating_sub(back);
        let told = self
            .news
            .iter()
            .map(|news| news.0)
            .filter(|told| *told > from && *told <= at);
        let mut widest = self.cap(build, from, terms)?;
        for told in told {
            let (cap, stage) = self.cap(build, told, terms)?;
            widest = (widest.0.max(cap), widest.1.max(stage));
        }
        Some(widest)
    }

    /// When the cap was last lowered, by news before `until`.
    fn lowered(&self, build: u16, until: Duration, terms: &RuleLimits) -> Option<Duration> {
        let cap = |at: Duration| self.cap(build, at, terms).map_or(1.0, |(cap, _)| cap);
        let told = self
            .news
            .windows(2)
            .filter(|pair| pair[1].0 <= until && cap(pair[1].0) < cap(pair[0].0));
        told.map(|pair| pair[1].0).next_back()
    }
}

fn exposure(lines: &[RecordLine], terms: &RuleLimits, stalls: &Stalls) -> Finding {
    let mut sidecars: BTreeMap<SidecarId, Exposed> = BTreeMap::new();
    let mut builds: BTreeMap<PodId, u16> = BTreeMap::new();
    let mut keys: BTreeMap<AttemptKey, u64> = BTreeMap::new();
    let (mut breaches, mut counted) = (Vec::new(), 0);
    let mut worst: Option<f64> = None;
    let counter = |group: usize| if terms.exposure_per_class { group } else { 0 };
    // Requests that were written to a stopped sidecar, by its counters: it takes them when it goes on.
    let mut unread: BTreeMap<SidecarId, Vec<usize>> = BTreeMap::new();
    for line in lines {
        let at = line.at;
        let mut breach = |text: String| {
            breaches.push(Breach {
                rule: Rule::Exposure,
                at,
                text,
            })
        };
        match &line.event {
            Event::SidecarStarted { sidecar } => {
                let lowest = sidecars.remove(sidecar).and_then(|old| old.lowest);
                sidecars.insert(
                    *sidecar,
                    Exposed {
                        lowest,
                        ..Exposed::default()
                    },
                );
                unread.remove(sidecar);
            }
            Event::SidecarSuspended { sidecar } => {
                unread.entry(*sidecar).or_default();
            }
            Event::SidecarResumed { sidecar } => {
                let this = sidecars.entry(*sidecar).or_default();
                for counter in unread.remove(sidecar).unwrap_or_default() {
                    this.taken.entry(counter).or_default().push_back(at);
                }
            }
            Event::PodStarted { pod, build, .. } => drop(builds.insert(*pod, *build)),
            Event::EndpointsNotified {
                sidecar,
                ready,
                draining,
            } => {
                let of = sidecars.entry(*sidecar).or_default();
                let here = ready
                    .iter()
                    .chain(draining)
                    .filter_map(|pod| builds.get(pod))
                    .min();
                of.lowest = here.copied();
            }
            Event::StageNotified {
                sidecar,
                number,
                build,
                stage,
                phase,
                cap,
            } => {
                let this = sidecars.entry(*sidecar).or_default();
                if *number >= this.told {
                    this.told = *number;
                    this.news.push((at, *build, *stage, *phase, *cap));
                }
            }
            Event::RequestSent {
                sidecar,
                attempt: of,
                class: group,
                routing_key: key,
                ..
            } => {
                match unread.get_mut(sidecar) {
                    Some(unread) => unread.push(counter(*group)),
                    None => {
                        let taken = &mut sidecars.entry(*sidecar).or_default().taken;
                        taken.entry(counter(*group)).or_default().push_back(at);
                    }
                }
                if let Some(key) = key {
                    keys.insert(*of, *key);
                }
            }
            Event::Answered {
                sidecar,
                attempt: of,
                answer: FinalAnswer::Delivered,
                build: Some(build),
                ..
            } => {
                let Some(key) = keys.get(of) else { continue };
                let met = sidecars
                    .entry(*sidecar)
                    .or_default()
                    .met
                    .entry(*key)
                    .or_insert(*build);
                *met = (*met).max(*build);
            }
            Event::ForwardArrived {
                pod,
                sidecar,
                attempt: of,
                class: group,
                ..
            } => {
                let Some(build) = builds.get(pod).copied() else {
                    continue;
                };
                let blur = stalls.blur(at);
                let this = sidecars.entry(*sidecar).or_default();
                let sent = this.sent.entry((build, counter(*group))).or_default();
                sent.push_back(at);
                let met = keys.get(of).and_then(|key| this.met.get(key)).copied();
                let news = this.news.last();
                let stays = news.is_some_and(|n| {
                    build < n.1 && matches!(n.3, Phase::OnTrial | Phase::Released)
                });
                if terms.sticky_keys && stays && met.is_some_and(|met| met > build) {
                    breach(format!(
                        "{sidecar} sent {of} back to build {build} from {met:?}"
                    ));
                }
                let Some((cap, stage)) = this.widest(build, at, terms.drain_grace + blur, terms)
                else {
                    continue;
                };
                counted += 1;
                let repeatable = terms.classes[*group].idempotency == Idempotency::Idempotent;
                if stage < terms.guarded_stages && !repeatable {
                    breach(format!(
                        "{sidecar} sent {of} with an effect to build {build} in stage {stage}"
                    ));
                }
                // Attempts are counted anew once a lower cap binds.
                let anew = this.lowered(build, at.saturating_sub(terms.drain_grace + blur), terms);
                let anew = anew.map_or(Duration::ZERO, |told| told + terms.drain_grace);
                // The window as the sidecar may have seen it: shorter for what it sent, longer for what it took.
                let from = at
                    .saturating_sub(terms.exposure_window.saturating_sub(blur))
                    .max(anew);
                let took_from = at.saturating_sub(terms.exposure_window + blur);
                let sent = &this.sent[&(build, counter(*group))];
                let sent = sent.iter().rev().take_while(|t| **t >= from).count();
                let taken = this.taken.get(&counter(*group));
                let taken = taken.map_or(0, |taken| {
                    taken.iter().rev().take_while(|t| **t >= took_from).count()
                });
                let allowed = if cap > 0.0 {
                    terms.exposure_free + cap * taken as f64
                } else {
                    0.0
                };
                let left = allowed - sent as f64;
                worst = Some(worst.map_or(left, |w: f64| w.min(left)));
                if left < 0.0 {
                    let text = format!(
                        "{sidecar} sent {sent} forwards to build {build} where {allowed:.1} were free"
                    );
                    breach(format!("{text} (stage {stage}, {taken} hits taken)"));
                }
            }
            _ => {}
        }
    }
    let margin = worst.map_or("-".into(), |left| format!("{left:.1} forwards left"));
    Finding {
        rule: Rule::Exposure,
        counted,
        of: "forwards on trial",
        margin,
        breaches,
    }
}

fn service(lines: &[RecordLine], terms: &RuleLimits) -> Service {
    let mut first: BTreeMap<RequestId, (Duration, usize)> = BTreeMap::new();
    let mut last: BTreeMap<RequestId, (Duration, FinalAnswer)> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::RequestSent {
                attempt: of,
                class: group,
                ..
            } => drop(first.entry(of.request).or_insert((line.at, *group))),
            Event::Answered {
                attempt: of,
                answer: ended,
                ..
            } => {
                let kept = last
                    .get(&of.request)
                    .is_some_and(|(_, ended)| *ended == FinalAnswer::Delivered);
                if !kept {
                    last.insert(of.request, (line.at, *ended));
                }
            }
            _ => {}
        }
    }
    let count = |what: FinalAnswer| last.values().filter(|(_, ended)| *ended == what).count();
    let mut service = Service {
        orders: first.len(),
        delivered: count(FinalAnswer::Delivered),
        bounced: count(FinalAnswer::Rejected),
        errored: count(FinalAnswer::Failed),
        figure: 0.0,
    };
    let (mut asked, mut earned) = (0.0, 0.0);
    for (id, (at, group)) in &first {
        let group = &terms.classes[*group];
        asked += group.priority_weight;
        let timely = |(end, ended): &&(Duration, FinalAnswer)| {
            *ended == FinalAnswer::Delivered && *end <= *at + group.latency_objective
        };
        earned += last
            .get(id)
            .filter(timely)
            .map_or(0.0, |_| group.priority_weight);
    }
    service.figure = if asked > 0.0 { earned / asked } else { 0.0 };
    service
}

/// The words for the attempt that a connection carried last.
fn last_attempt(key: Option<&AttemptKey>) -> String {
    key.map_or("None".into(), |key| format!("Some({key})"))
}
