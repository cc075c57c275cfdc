//! Rule 2: a non-idempotent request takes effect at most once, and is rejected to the client only if it can't have taken effect.

use crate::record::{
    AttemptKey, DeduplicationScope, Event, FinalAnswer, Idempotency, PodId, RecordLine, RequestId,
    RuleLimits,
};
use crate::report::{format_milliseconds, Rule, RuleResult, Violations};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) fn check(lines: &[RecordLine], limits: &RuleLimits) -> RuleResult {
    let mut check = NoEffectTwice {
        limits,
        classes: BTreeMap::new(),
        arrivals: BTreeMap::new(),
        effects: BTreeMap::new(),
        locations: BTreeMap::new(),
        min_window_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// An attempt that arrived at a pod.
#[derive(Clone, Copy)]
struct AttemptArrival {
    pod: PodId,
    attempt: AttemptKey,
    at: Duration,
    /// Whether the pod stated that it has not begun to run it.
    rejected: bool,
}

#[derive(Clone, Copy)]
struct Location {
    zone: u16,
    cell: u16,
}

struct NoEffectTwice<'a> {
    limits: &'a RuleLimits,
    classes: BTreeMap<RequestId, usize>,
    arrivals: BTreeMap<RequestId, Vec<AttemptArrival>>,
    effects: BTreeMap<RequestId, usize>,
    locations: BTreeMap<PodId, Location>,
    min_window_left: Option<Duration>,
    violations: Violations,
}

impl NoEffectTwice<'_> {
    fn observe(&mut self, line: &RecordLine) {
        let at = line.at;
        match &line.event {
            Event::PodStarted {
                pod, zone, cell, ..
            } => {
                let location = Location {
                    zone: *zone,
                    cell: *cell,
                };
                self.locations.insert(*pod, location);
            }
            Event::RequestSent { attempt, class, .. } => {
                self.classes.insert(attempt.request, *class);
            }
            Event::AttemptArrived { pod, attempt, .. } => self.attempt_arrived(at, *pod, *attempt),
            Event::AttemptRejected { pod, attempt } => self.rejected_by_pod(*pod, *attempt),
            Event::Executed {
                pod,
                attempt,
                effect: true,
            } => self.count_effect(at, *pod, *attempt),
            Event::Answered {
                attempt,
                answer: FinalAnswer::Rejected,
                ..
            } => self.rejected_to_client(at, *attempt),
            _ => {}
        }
    }

    fn idempotency(&self, request: RequestId) -> Option<Idempotency> {
        let class = self.classes.get(&request)?;
        Some(self.limits.classes[*class].idempotency)
    }

    fn attempt_arrived(&mut self, at: Duration, pod: PodId, attempt: AttemptKey) {
        let Some(idempotency) = self.idempotency(attempt.request) else {
            return;
        };
        let arrival = AttemptArrival {
            pod,
            attempt,
            at,
            rejected: false,
        };
        match idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => self.check_sent_once(&arrival),
            Idempotency::Keyed {
                deduplicated_by,
                window,
            } => self.check_deduplicated(&arrival, deduplicated_by, window),
        }
        self.arrivals
            .entry(attempt.request)
            .or_default()
            .push(arrival);
    }

    /// Earlier arrivals of the request that their pods may have run.
    fn possible_runs(&self, request: RequestId) -> impl Iterator<Item = &AttemptArrival> {
        let arrivals = self.arrivals.get(&request).into_iter().flatten();
        arrivals.filter(|arrival| !arrival.rejected)
    }

    fn check_sent_once(&mut self, arrival: &AttemptArrival) {
        let AttemptArrival {
            pod, attempt, at, ..
        } = arrival;
        let Some(first) = self.possible_runs(attempt.request).next() else {
            return;
        };
        let text = format!(
            "{attempt} went to {pod} though {} may have run it",
            first.pod
        );
        self.violations.add(*at, text);
    }

    /// Sidecars don't know of each other's attempts, so the check covers only the arrivals of one client attempt.
    fn check_deduplicated(
        &mut self,
        arrival: &AttemptArrival,
        scope: DeduplicationScope,
        window: Duration,
    ) {
        let AttemptArrival {
            pod, attempt, at, ..
        } = *arrival;
        let earlier: Vec<AttemptArrival> = self
            .possible_runs(attempt.request)
            .filter(|earlier| earlier.attempt == attempt)
            .copied()
            .collect();
        for first in earlier {
            if !self.share_deduplication(first.pod, pod, scope) {
                let text = format!("{attempt} left the pods that drop its repeat, for {pod}");
                self.violations.add(at, text);
            }
            let expires_at = first.at + window;
            if at > expires_at {
                let text = format!("{attempt} went out again after its mark was forgotten");
                self.violations.add(at, text);
            }
            let left = expires_at.saturating_sub(at);
            let least = self.min_window_left;
            self.min_window_left = Some(least.map_or(left, |least| least.min(left)));
        }
    }

    fn share_deduplication(&self, first: PodId, second: PodId, scope: DeduplicationScope) -> bool {
        let first = self.locations.get(&first);
        let second = self.locations.get(&second);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.map(|pod| pod.zone) == second.map(|pod| pod.zone),
            DeduplicationScope::Cell => first.map(|pod| pod.cell) == second.map(|pod| pod.cell),
        }
    }

    fn rejected_by_pod(&mut self, pod: PodId, attempt: AttemptKey) {
        let arrivals = self.arrivals.entry(attempt.request).or_default();
        let last = arrivals
            .iter_mut()
            .rev()
            .find(|arrival| arrival.pod == pod && arrival.attempt == attempt);
        if let Some(last) = last {
            last.rejected = true;
        }
    }

    fn count_effect(&mut self, at: Duration, pod: PodId, attempt: AttemptKey) {
        let Some(idempotency) = self.idempotency(attempt.request) else {
            return;
        };
        let count = self.effects.entry(attempt.request).or_default();
        *count += 1;
        if *count > 1 && idempotency != Idempotency::Idempotent {
            let text = format!("{attempt} took effect {count} times, last at {pod}");
            self.violations.add(at, text);
        }
    }

    /// A rejection guarantees that a retry is harmless.
    fn rejected_to_client(&mut self, at: Duration, attempt: AttemptKey) {
        let Some(idempotency) = self.idempotency(attempt.request) else {
            return;
        };
        let harmless = match idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                deduplicated_by: DeduplicationScope::All,
                ..
            } => true,
            _ => self.possible_runs(attempt.request).next().is_none(),
        };
        if !harmless {
            let text = format!("{attempt} was bounced though it may have run");
            self.violations.add(at, text);
        }
    }

    fn finish(self) -> RuleResult {
        let checked = self
            .effects
            .keys()
            .filter_map(|request| self.idempotency(*request))
            .filter(|idempotency| *idempotency != Idempotency::Idempotent)
            .count();
        let margin = self.min_window_left.map_or("no resend".into(), |left| {
            format!("{} of memory left", format_milliseconds(left))
        });
        RuleResult {
            rule: Rule::NoEffectTwice,
            checked,
            case: "hits with effect",
            margin,
            violations: self.violations.into_vec(),
        }
    }
}
