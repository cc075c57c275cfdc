//! Counts, over all sidecars, violations that a single sidecar can't prevent: routing keys that returned to an older build at another
//! sidecar or after a restart, and non-idempotent requests that took effect twice.

use crate::record::{
    AttemptKey, Event, FinalAnswer, Idempotency, Phase, PodId, RecordLine, RequestId, RuleLimits,
    SidecarId,
};
use crate::report::{Violation, Violations};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which gossip carries what one sidecar knows to the others.
const GOSSIP_DELAY: Duration = Duration::from_millis(300);

/// Counts over all sidecars.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrossSidecarReport {
    /// Attempts with a routing key that a build had served at any sidecar, early enough for gossip to have spread it.
    pub sticky_attempts: usize,
    /// Those of them that returned to an older build although the sidecar knew of no rollback.
    pub returned_to_older_build: usize,
    /// Non-idempotent requests that took effect.
    pub non_idempotent: usize,
    /// Those of them that took effect more than once.
    pub executed_twice: usize,
    /// The first case of each kind.
    pub examples: Vec<Violation>,
}

/// Counts over a whole record; `None` if it has no [`Event::Begin`].
#[must_use]
pub fn check_across_sidecars(lines: &[RecordLine]) -> Option<CrossSidecarReport> {
    let limits = lines.iter().find_map(|line| match &line.event {
        Event::Begin { limits, .. } => Some(limits),
        _ => None,
    })?;
    let mut check = CrossSidecarCheck {
        limits,
        routing_keys: BTreeMap::new(),
        classes: BTreeMap::new(),
        builds: BTreeMap::new(),
        served_by: BTreeMap::new(),
        stages: BTreeMap::new(),
        effects: BTreeMap::new(),
        examples: Violations::default(),
        report: CrossSidecarReport::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.report.examples = check.examples.into_vec();
    Some(check.report)
}

/// The newest build that has served a key, and the time of its first answer for the key.
#[derive(Clone, Copy)]
struct NewestBuild {
    build: u16,
    since: Duration,
}

/// The last stage update that a sidecar was notified of.
struct KnownStage {
    build: u16,
    phase: Phase,
}

struct CrossSidecarCheck<'a> {
    limits: &'a RuleLimits,
    routing_keys: BTreeMap<AttemptKey, u64>,
    classes: BTreeMap<AttemptKey, usize>,
    builds: BTreeMap<PodId, u16>,
    /// The newest build by routing key.
    served_by: BTreeMap<u64, NewestBuild>,
    stages: BTreeMap<SidecarId, KnownStage>,
    effects: BTreeMap<RequestId, usize>,
    examples: Violations,
    report: CrossSidecarReport,
}

impl CrossSidecarCheck<'_> {
    fn observe(&mut self, line: &RecordLine) {
        match &line.event {
            Event::PodStarted { pod, build, .. } => {
                self.builds.insert(*pod, *build);
            }
            Event::SidecarStarted { sidecar } => {
                self.stages.remove(sidecar);
            }
            Event::StageNotified {
                sidecar,
                build,
                phase,
                ..
            } => {
                let (build, phase) = (*build, *phase);
                self.stages.insert(*sidecar, KnownStage { build, phase });
            }
            Event::RequestSent {
                attempt,
                class,
                routing_key,
                ..
            } => {
                self.classes.insert(*attempt, *class);
                if let Some(key) = routing_key {
                    self.routing_keys.insert(*attempt, *key);
                }
            }
            Event::Answered {
                attempt,
                answer: FinalAnswer::Delivered,
                build: Some(build),
                ..
            } => self.record_serving_build(line.at, *attempt, *build),
            Event::AttemptArrived {
                pod,
                sidecar,
                attempt,
                ..
            } if self.limits.sticky_keys => {
                self.check_sticky_key(line.at, *pod, *sidecar, *attempt)
            }
            Event::Executed {
                attempt,
                effect: true,
                ..
            } => self.count_effect(line.at, *attempt),
            _ => {}
        }
    }

    fn record_serving_build(&mut self, at: Duration, attempt: AttemptKey, build: u16) {
        let Some(key) = self.routing_keys.get(&attempt) else {
            return;
        };
        let this_build = NewestBuild { build, since: at };
        let newest = self.served_by.entry(*key).or_insert(this_build);
        if newest.build < build {
            *newest = this_build;
        }
    }

    fn check_sticky_key(
        &mut self,
        at: Duration,
        pod: PodId,
        sidecar: SidecarId,
        attempt: AttemptKey,
    ) {
        let Some(build) = self.builds.get(&pod).copied() else {
            return;
        };
        let Some(key) = self.routing_keys.get(&attempt) else {
            return;
        };
        let Some(known) = self.stages.get(&sidecar) else {
            return;
        };
        let Some(newest) = self.served_by.get(key) else {
            return;
        };
        if at < newest.since + GOSSIP_DELAY {
            return;
        }
        self.report.sticky_attempts += 1;
        let key_must_stay =
            build < known.build && matches!(known.phase, Phase::OnTrial | Phase::Released);
        if !key_must_stay || newest.build <= build {
            return;
        }
        self.report.returned_to_older_build += 1;
        if self.report.returned_to_older_build == 1 {
            let text = format!(
                "{sidecar} sent key {key} to build {build}, which had met {} at {:.3} s",
                newest.build,
                newest.since.as_secs_f64()
            );
            self.examples.add(at, text);
        }
    }

    fn count_effect(&mut self, at: Duration, attempt: AttemptKey) {
        let Some(class) = self.classes.get(&attempt) else {
            return;
        };
        if self.limits.classes[*class].idempotency != Idempotency::NonIdempotent {
            return;
        }
        let count = self.effects.entry(attempt.request).or_insert(0);
        *count += 1;
        match *count {
            1 => self.report.non_idempotent += 1,
            2 => {
                self.report.executed_twice += 1;
                if self.report.executed_twice == 1 {
                    let text = format!("{} had an effect twice", attempt.request);
                    self.examples.add(at, text);
                }
            }
            _ => {}
        }
    }
}
