//! Rule 5: a canary receives no more than the cap of its stage, and idempotent requests only in guarded stages; a routing key does not
//! return to an older build.

mod known_stages;

use crate::record::{
    AttemptKey, Event, FinalAnswer, Idempotency, PodId, RecordLine, RuleLimits, SidecarId,
};
use crate::report::{Rule, RuleResult, Violations};
use crate::stalls::RecorderStalls;
use known_stages::{KnownStages, StageCap, StageUpdate};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) fn check(
    lines: &[RecordLine],
    limits: &RuleLimits,
    stalls: &RecorderStalls,
) -> RuleResult {
    let mut check = Exposure {
        limits,
        stalls,
        sidecars: BTreeMap::new(),
        builds: BTreeMap::new(),
        routing_keys: BTreeMap::new(),
        unread_requests: BTreeMap::new(),
        checked: 0,
        min_attempts_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// Requests that share a cap: those of one class, or of all classes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CapScope(usize);

/// Knowledge and past traffic of one process of a sidecar.
#[derive(Default)]
struct SidecarState {
    stages: KnownStages,
    requests_taken: BTreeMap<CapScope, Vec<Duration>>,
    /// Times of arrivals at the pods of a build.
    arrivals: BTreeMap<(u16, CapScope), Vec<Duration>>,
    /// Newest build that has served a routing key.
    served_by: BTreeMap<u64, u16>,
}

/// Arrival of an attempt at a pod, with the data that the checks need.
struct AttemptArrival {
    at: Duration,
    /// Uncertainty of `at`.
    tolerance: Duration,
    sidecar: SidecarId,
    attempt: AttemptKey,
    class: usize,
    build: u16,
}

struct Exposure<'a> {
    limits: &'a RuleLimits,
    stalls: &'a RecorderStalls,
    sidecars: BTreeMap<SidecarId, SidecarState>,
    builds: BTreeMap<PodId, u16>,
    routing_keys: BTreeMap<AttemptKey, u64>,
    /// Requests that were written to a suspended sidecar, which reads them when it resumes.
    unread_requests: BTreeMap<SidecarId, Vec<CapScope>>,
    checked: usize,
    /// Smallest number of attempts that were left under a cap.
    min_attempts_left: Option<f64>,
    violations: Violations,
}

impl Exposure<'_> {
    fn observe(&mut self, line: &RecordLine) {
        let at = line.at;
        match &line.event {
            Event::SidecarStarted { sidecar } => self.sidecar_started(*sidecar),
            Event::SidecarSuspended { sidecar } => {
                self.unread_requests.entry(*sidecar).or_default();
            }
            Event::SidecarResumed { sidecar } => self.sidecar_resumed(at, *sidecar),
            Event::PodStarted { pod, build, .. } => {
                self.builds.insert(*pod, *build);
            }
            Event::EndpointsNotified {
                sidecar,
                ready,
                draining,
            } => self.endpoints_notified(*sidecar, ready, draining),
            Event::StageNotified {
                sidecar,
                number,
                build,
                stage,
                phase,
                cap,
            } => {
                let update = StageUpdate {
                    at,
                    build: *build,
                    stage: *stage,
                    phase: *phase,
                    cap: *cap,
                };
                self.state(*sidecar).stages.add(*number, update);
            }
            Event::RequestSent {
                sidecar,
                attempt,
                class,
                routing_key,
                ..
            } => self.request_sent(at, *sidecar, *attempt, *class, *routing_key),
            Event::Answered {
                sidecar,
                attempt,
                answer: FinalAnswer::Delivered,
                build: Some(build),
                ..
            } => self.record_serving_build(*sidecar, *attempt, *build),
            Event::AttemptArrived {
                pod,
                sidecar,
                attempt,
                class,
                ..
            } => self.attempt_arrived(at, *pod, *sidecar, *attempt, *class),
            _ => {}
        }
    }

    fn state(&mut self, sidecar: SidecarId) -> &mut SidecarState {
        self.sidecars.entry(sidecar).or_default()
    }

    fn scope(&self, class: usize) -> CapScope {
        CapScope(if self.limits.exposure_per_class {
            class
        } else {
            0
        })
    }

    fn sidecar_started(&mut self, sidecar: SidecarId) {
        let state = self.state(sidecar);
        *state = SidecarState {
            stages: state.stages.after_restart(),
            ..SidecarState::default()
        };
        self.unread_requests.remove(&sidecar);
    }

    fn sidecar_resumed(&mut self, at: Duration, sidecar: SidecarId) {
        let unread_requests = self.unread_requests.remove(&sidecar).unwrap_or_default();
        let state = self.state(sidecar);
        for scope in unread_requests {
            state.requests_taken.entry(scope).or_default().push(at);
        }
    }

    fn endpoints_notified(&mut self, sidecar: SidecarId, ready: &[PodId], draining: &[PodId]) {
        let listed = ready.iter().chain(draining);
        let lowest = listed.filter_map(|pod| self.builds.get(pod)).min().copied();
        self.state(sidecar).stages.set_lowest_build(lowest);
    }

    fn request_sent(
        &mut self,
        at: Duration,
        sidecar: SidecarId,
        attempt: AttemptKey,
        class: usize,
        routing_key: Option<u64>,
    ) {
        let scope = self.scope(class);
        if let Some(unread_requests) = self.unread_requests.get_mut(&sidecar) {
            unread_requests.push(scope);
        } else {
            let taken = &mut self.state(sidecar).requests_taken;
            taken.entry(scope).or_default().push(at);
        }
        if let Some(key) = routing_key {
            self.routing_keys.insert(attempt, key);
        }
    }

    fn record_serving_build(&mut self, sidecar: SidecarId, attempt: AttemptKey, build: u16) {
        let Some(key) = self.routing_keys.get(&attempt).copied() else {
            return;
        };
        let newest = self.state(sidecar).served_by.entry(key).or_insert(build);
        *newest = (*newest).max(build);
    }

    fn attempt_arrived(
        &mut self,
        at: Duration,
        pod: PodId,
        sidecar: SidecarId,
        attempt: AttemptKey,
        class: usize,
    ) {
        let Some(build) = self.builds.get(&pod).copied() else {
            return;
        };
        let arrival = AttemptArrival {
            at,
            tolerance: self.stalls.tolerance(at),
            sidecar,
            attempt,
            class,
            build,
        };
        let scope = self.scope(class);
        let arrivals = &mut self.state(sidecar).arrivals;
        arrivals.entry((build, scope)).or_default().push(at);
        self.check_sticky_key(&arrival);
        let limits = self.limits;
        let grace = limits.drain_grace + arrival.tolerance;
        let stages = &self.state(sidecar).stages;
        let Some(highest) = stages.highest_cap(build, at, grace, limits) else {
            return;
        };
        self.checked += 1;
        self.check_guarded_stage(&arrival, highest.stage);
        self.check_cap(&arrival, highest);
    }

    fn check_sticky_key(&mut self, arrival: &AttemptArrival) {
        let AttemptArrival {
            at,
            sidecar,
            attempt,
            build,
            ..
        } = *arrival;
        let key = self.routing_keys.get(&attempt).copied();
        let state = self.state(sidecar);
        let served_by = key.and_then(|key| state.served_by.get(&key)).copied();
        let newer = served_by.is_some_and(|newest| newest > build);
        let key_must_stay = state.stages.keys_must_avoid(build);
        if self.limits.sticky_keys && key_must_stay && newer {
            let text = format!("{sidecar} sent {attempt} back to build {build} from {served_by:?}");
            self.violations.add(at, text);
        }
    }

    fn check_guarded_stage(&mut self, arrival: &AttemptArrival, stage: u8) {
        let AttemptArrival {
            sidecar,
            attempt,
            build,
            ..
        } = arrival;
        let idempotency = self.limits.classes[arrival.class].idempotency;
        if stage < self.limits.guarded_stages && idempotency != Idempotency::Idempotent {
            let text = format!(
                "{sidecar} sent {attempt} with an effect to build {build} in stage {stage}"
            );
            self.violations.add(arrival.at, text);
        }
    }

    fn check_cap(&mut self, arrival: &AttemptArrival, StageCap { cap, stage }: StageCap) {
        let AttemptArrival {
            at, sidecar, build, ..
        } = *arrival;
        let sent = self.attempts_in_window(arrival);
        let taken = self.requests_in_window(arrival);
        let allowed = if cap > 0.0 {
            self.limits.exposure_free + cap * taken as f64
        } else {
            0.0
        };
        let left = allowed - sent as f64;
        self.min_attempts_left = Some(self.min_attempts_left.map_or(left, |least| least.min(left)));
        if left < 0.0 {
            let text = format!(
                "{sidecar} sent {sent} forwards to build {build} where {allowed:.1} were free (stage {stage}, {taken} hits taken)"
            );
            self.violations.add(at, text);
        }
    }

    /// Attempts within the shortest window that the sidecar may have counted over. The count restarts when a lower cap begins to apply.
    fn attempts_in_window(&mut self, arrival: &AttemptArrival) -> usize {
        let limits = self.limits;
        let at = arrival.at;
        let scope = self.scope(arrival.class);
        let state = self.state(arrival.sidecar);
        let applies_by = at.saturating_sub(limits.drain_grace + arrival.tolerance);
        let lowered = state.stages.last_lowered(arrival.build, applies_by, limits);
        let counted_from = lowered.map_or(Duration::ZERO, |lowered| lowered + limits.drain_grace);
        let window = limits.exposure_window.saturating_sub(arrival.tolerance);
        let from = at.saturating_sub(window).max(counted_from);
        count_since(state.arrivals.get(&(arrival.build, scope)), from)
    }

    /// Requests within the longest window that the sidecar may have counted over.
    fn requests_in_window(&mut self, arrival: &AttemptArrival) -> usize {
        let window = self.limits.exposure_window + arrival.tolerance;
        let scope = self.scope(arrival.class);
        let state = self.state(arrival.sidecar);
        count_since(
            state.requests_taken.get(&scope),
            arrival.at.saturating_sub(window),
        )
    }

    fn finish(self) -> RuleResult {
        let margin = self
            .min_attempts_left
            .map_or("-".into(), |left| format!("{left:.1} forwards left"));
        RuleResult {
            rule: Rule::Exposure,
            checked: self.checked,
            case: "forwards on trial",
            margin,
            violations: self.violations.into_vec(),
        }
    }
}

/// Number of times at or after `from`; the times are in ascending order.
fn count_since(times: Option<&Vec<Duration>>, from: Duration) -> usize {
    let times = times.map(Vec::as_slice).unwrap_or_default();
    times.iter().rev().take_while(|time| **time >= from).count()
}
