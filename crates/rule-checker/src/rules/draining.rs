//! Rule 3: a sidecar sends nothing to a pod once the grace period has passed since it was notified that the pod is draining or is no
//! longer listed.

use crate::record::{AttemptKey, Event, PodId, RecordLine, RuleLimits, SidecarId};
use crate::report::{format_milliseconds, Rule, RuleResult, Violations};
use crate::stalls::RecorderStalls;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) fn check(
    lines: &[RecordLine],
    limits: &RuleLimits,
    stalls: &RecorderStalls,
) -> RuleResult {
    let mut check = Draining {
        limits,
        stalls,
        ready: BTreeMap::new(),
        notified_at: BTreeMap::new(),
        drains: 0,
        max_arrival_delay: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

struct Draining<'a> {
    limits: &'a RuleLimits,
    stalls: &'a RecorderStalls,
    /// Ready pods of the last endpoint list that a sidecar was notified of.
    ready: BTreeMap<SidecarId, BTreeSet<PodId>>,
    /// When a sidecar was notified that a pod accepts nothing new.
    notified_at: BTreeMap<(SidecarId, PodId), Duration>,
    drains: usize,
    /// Longest time from a notification to an arrival after it.
    max_arrival_delay: Option<Duration>,
    violations: Violations,
}

impl Draining<'_> {
    fn observe(&mut self, line: &RecordLine) {
        match &line.event {
            Event::EndpointsNotified {
                sidecar,
                ready,
                draining,
            } => self.endpoints_notified(line.at, *sidecar, ready, draining),
            // A restarted process has no endpoint list until it is notified of one.
            Event::SidecarStarted { sidecar } => {
                self.ready.remove(sidecar);
                self.notified_at.retain(|(of, _), _| of != sidecar);
            }
            Event::AttemptArrived {
                pod,
                sidecar,
                attempt,
                ..
            } => self.attempt_arrived(line.at, *pod, *sidecar, *attempt),
            _ => {}
        }
    }

    fn endpoints_notified(
        &mut self,
        at: Duration,
        sidecar: SidecarId,
        ready: &[PodId],
        draining: &[PodId],
    ) {
        let listed = self.ready.entry(sidecar).or_default();
        let gone: Vec<PodId> = listed
            .iter()
            .filter(|pod| !ready.contains(pod))
            .copied()
            .collect();
        for pod in gone.iter().chain(draining) {
            self.notified_at.entry((sidecar, *pod)).or_insert(at);
        }
        for pod in ready {
            self.notified_at.remove(&(sidecar, *pod));
            listed.insert(*pod);
        }
        self.drains += gone.len();
        listed.retain(|pod| !gone.contains(pod));
    }

    fn attempt_arrived(
        &mut self,
        at: Duration,
        pod: PodId,
        sidecar: SidecarId,
        attempt: AttemptKey,
    ) {
        let Some(since) = self.notified_at.get(&(sidecar, pod)) else {
            return;
        };
        let after = at - *since;
        self.max_arrival_delay = Some(
            self.max_arrival_delay
                .map_or(after, |latest| latest.max(after)),
        );
        let grace = self.limits.drain_grace;
        if after > grace + self.stalls.tolerance(at) {
            let late = format_milliseconds(after - grace);
            let text =
                format!("{sidecar} sent {attempt} to {pod} {late} past the grace of its drain");
            self.violations.add(at, text);
        }
    }

    fn finish(self) -> RuleResult {
        let margin = self
            .max_arrival_delay
            .map_or("none after".into(), |latest| {
                let grace = format_milliseconds(self.limits.drain_grace);
                format!("last {} after, of {grace}", format_milliseconds(latest))
            });
        RuleResult {
            rule: Rule::Draining,
            checked: self.drains,
            case: "drains told",
            margin,
            violations: self.violations.into_vec(),
        }
    }
}
