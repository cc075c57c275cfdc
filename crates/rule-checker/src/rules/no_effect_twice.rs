//! Rule 2: a request that is not idempotent takes effect once, and is rejected only if it took none.

use crate::record::{
    AttemptKey, DeduplicationScope, Event, FinalAnswer, Idempotency, PodId, RecordLine, RequestId,
    RuleLimits,
};
use crate::report::{milliseconds, Rule, RuleResult, Violations};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) fn check(lines: &[RecordLine], limits: &RuleLimits) -> RuleResult {
    let mut check = NoEffectTwice {
        limits,
        classes: BTreeMap::new(),
        forwards: BTreeMap::new(),
        effects: BTreeMap::new(),
        locations: BTreeMap::new(),
        least_window_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// A request that arrived at a pod.
#[derive(Clone, Copy)]
struct Forward {
    pod: PodId,
    attempt: AttemptKey,
    at: Duration,
    /// The pod said that it did not begin it.
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
    forwards: BTreeMap<RequestId, Vec<Forward>>,
    effects: BTreeMap<RequestId, usize>,
    locations: BTreeMap<PodId, Location>,
    least_window_left: Option<Duration>,
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
            Event::ForwardArrived { pod, attempt, .. } => self.arrived(at, *pod, *attempt),
            Event::ForwardRejected { pod, attempt } => self.rejected_by_pod(*pod, *attempt),
            Event::Executed {
                pod,
                attempt,
                effect: true,
            } => self.took_effect(at, *pod, *attempt),
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

    fn arrived(&mut self, at: Duration, pod: PodId, attempt: AttemptKey) {
        let Some(idempotency) = self.idempotency(attempt.request) else {
            return;
        };
        let forward = Forward {
            pod,
            attempt,
            at,
            rejected: false,
        };
        match idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => self.check_sent_once(&forward),
            Idempotency::Keyed {
                deduplicated_by,
                window,
            } => self.check_deduplicated(&forward, deduplicated_by, window),
        }
        self.forwards
            .entry(attempt.request)
            .or_default()
            .push(forward);
    }

    /// Earlier forwards of the request that its pods may have run.
    fn possible_runs(&self, request: RequestId) -> impl Iterator<Item = &Forward> {
        let forwards = self.forwards.get(&request).into_iter().flatten();
        forwards.filter(|forward| !forward.rejected)
    }

    fn check_sent_once(&mut self, forward: &Forward) {
        let Forward {
            pod, attempt, at, ..
        } = forward;
        let Some(first) = self.possible_runs(attempt.request).next() else {
            return;
        };
        let text = format!(
            "{attempt} went to {pod} though {} may have run it",
            first.pod
        );
        self.violations.add(*at, text);
    }

    /// Sidecars know nothing of each other's attempts, so that the rule holds for the forwards of one client attempt.
    fn check_deduplicated(
        &mut self,
        forward: &Forward,
        scope: DeduplicationScope,
        window: Duration,
    ) {
        let Forward {
            pod, attempt, at, ..
        } = *forward;
        let earlier: Vec<Forward> = self
            .possible_runs(attempt.request)
            .filter(|earlier| earlier.attempt == attempt)
            .copied()
            .collect();
        for first in earlier {
            if !self.share_memory(first.pod, pod, scope) {
                let text = format!("{attempt} left the pods that drop its repeat, for {pod}");
                self.violations.add(at, text);
            }
            let forgotten_at = first.at + window;
            if at > forgotten_at {
                let text = format!("{attempt} went out again after its mark was forgotten");
                self.violations.add(at, text);
            }
            let left = forgotten_at.saturating_sub(at);
            let least = self.least_window_left;
            self.least_window_left = Some(least.map_or(left, |least| least.min(left)));
        }
    }

    fn share_memory(&self, first: PodId, second: PodId, scope: DeduplicationScope) -> bool {
        let first = self.locations.get(&first);
        let second = self.locations.get(&second);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.map(|pod| pod.zone) == second.map(|pod| pod.zone),
            DeduplicationScope::Cell => first.map(|pod| pod.cell) == second.map(|pod| pod.cell),
        }
    }

    fn rejected_by_pod(&mut self, pod: PodId, attempt: AttemptKey) {
        let forwards = self.forwards.entry(attempt.request).or_default();
        let last = forwards
            .iter_mut()
            .rev()
            .find(|forward| forward.pod == pod && forward.attempt == attempt);
        if let Some(last) = last {
            last.rejected = true;
        }
    }

    fn took_effect(&mut self, at: Duration, pod: PodId, attempt: AttemptKey) {
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

    /// A rejection promises that a retry does no harm.
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
        let margin = self.least_window_left.map_or("no resend".into(), |left| {
            format!("{} of memory left", milliseconds(left))
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
