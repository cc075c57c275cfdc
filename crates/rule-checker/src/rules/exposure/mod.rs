//! Rule 5: a canary gets no more than the cap of its stage, guarded stages get idempotent requests only, and a routing key does not go
//! back to an older build.

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
        unread: BTreeMap::new(),
        checked: 0,
        least_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// What a cap counts over: a request class, or all of them as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CapScope(usize);

/// What one process of a sidecar knows and has done.
#[derive(Default)]
struct SidecarState {
    stages: KnownStages,
    requests_taken: BTreeMap<CapScope, Vec<Duration>>,
    /// Arrivals at the pods of a build.
    forwards: BTreeMap<(u16, CapScope), Vec<Duration>>,
    /// The newest build that has served a routing key.
    served_by: BTreeMap<u64, u16>,
}

/// An arrival at a pod, with what the checks look up of it.
struct Forward {
    at: Duration,
    /// How far `at` may be off.
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
    /// Requests that were written to a suspended sidecar: it takes them when it resumes.
    unread: BTreeMap<SidecarId, Vec<CapScope>>,
    checked: usize,
    least_left: Option<f64>,
    violations: Violations,
}

impl Exposure<'_> {
    fn observe(&mut self, line: &RecordLine) {
        let at = line.at;
        match &line.event {
            Event::SidecarStarted { sidecar } => self.sidecar_started(*sidecar),
            Event::SidecarSuspended { sidecar } => {
                self.unread.entry(*sidecar).or_default();
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
            } => self.delivered(*sidecar, *attempt, *build),
            Event::ForwardArrived {
                pod,
                sidecar,
                attempt,
                class,
                ..
            } => self.forward_arrived(at, *pod, *sidecar, *attempt, *class),
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
        self.unread.remove(&sidecar);
    }

    fn sidecar_resumed(&mut self, at: Duration, sidecar: SidecarId) {
        let unread = self.unread.remove(&sidecar).unwrap_or_default();
        let state = self.state(sidecar);
        for scope in unread {
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
        if let Some(unread) = self.unread.get_mut(&sidecar) {
            unread.push(scope);
        } else {
            let taken = &mut self.state(sidecar).requests_taken;
            taken.entry(scope).or_default().push(at);
        }
        if let Some(key) = routing_key {
            self.routing_keys.insert(attempt, key);
        }
    }

    fn delivered(&mut self, sidecar: SidecarId, attempt: AttemptKey, build: u16) {
        let Some(key) = self.routing_keys.get(&attempt).copied() else {
            return;
        };
        let newest = self.state(sidecar).served_by.entry(key).or_insert(build);
        *newest = (*newest).max(build);
    }

    fn forward_arrived(
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
        let forward = Forward {
            at,
            tolerance: self.stalls.tolerance(at),
            sidecar,
            attempt,
            class,
            build,
        };
        let scope = self.scope(class);
        let forwards = &mut self.state(sidecar).forwards;
        forwards.entry((build, scope)).or_default().push(at);
        self.check_sticky_key(&forward);
        let limits = self.limits;
        let grace = limits.drain_grace + forward.tolerance;
        let stages = &self.state(sidecar).stages;
        let Some(widest) = stages.widest_cap(build, at, grace, limits) else {
            return;
        };
        self.checked += 1;
        self.check_guarded_stage(&forward, widest.stage);
        self.check_cap(&forward, widest);
    }

    fn check_sticky_key(&mut self, forward: &Forward) {
        let Forward {
            at,
            sidecar,
            attempt,
            build,
            ..
        } = *forward;
        let key = self.routing_keys.get(&attempt).copied();
        let state = self.state(sidecar);
        let served_by = key.and_then(|key| state.served_by.get(&key)).copied();
        let newer = served_by.is_some_and(|newest| newest > build);
        let stays = state.stages.keys_stay_off(build);
        if self.limits.sticky_keys && stays && newer {
            let text = format!("{sidecar} sent {attempt} back to build {build} from {served_by:?}");
            self.violations.add(at, text);
        }
    }

    fn check_guarded_stage(&mut self, forward: &Forward, stage: u8) {
        let Forward {
            sidecar,
            attempt,
            build,
            ..
        } = forward;
        let idempotency = self.limits.classes[forward.class].idempotency;
        if stage < self.limits.guarded_stages && idempotency != Idempotency::Idempotent {
            let text = format!(
                "{sidecar} sent {attempt} with an effect to build {build} in stage {stage}"
            );
            self.violations.add(forward.at, text);
        }
    }

    fn check_cap(&mut self, forward: &Forward, StageCap { cap, stage }: StageCap) {
        let Forward {
            at, sidecar, build, ..
        } = *forward;
        let sent = self.forwards_in_window(forward);
        let taken = self.requests_in_window(forward);
        let allowed = if cap > 0.0 {
            self.limits.exposure_free + cap * taken as f64
        } else {
            0.0
        };
        let left = allowed - sent as f64;
        self.least_left = Some(self.least_left.map_or(left, |least| least.min(left)));
        if left < 0.0 {
            let text = format!(
                "{sidecar} sent {sent} forwards to build {build} where {allowed:.1} were free (stage {stage}, {taken} hits taken)"
            );
            self.violations.add(at, text);
        }
    }

    /// The window as the sidecar may have seen it: shorter for what it sent. Attempts are counted anew once a lower cap binds.
    fn forwards_in_window(&mut self, forward: &Forward) -> usize {
        let limits = self.limits;
        let at = forward.at;
        let scope = self.scope(forward.class);
        let state = self.state(forward.sidecar);
        let bound_by = at.saturating_sub(limits.drain_grace + forward.tolerance);
        let lowered = state.stages.last_lowered(forward.build, bound_by, limits);
        let counted_from = lowered.map_or(Duration::ZERO, |lowered| lowered + limits.drain_grace);
        let window = limits.exposure_window.saturating_sub(forward.tolerance);
        let from = at.saturating_sub(window).max(counted_from);
        count_since(state.forwards.get(&(forward.build, scope)), from)
    }

    /// The window as the sidecar may have seen it: longer for what it took.
    fn requests_in_window(&mut self, forward: &Forward) -> usize {
        let window = self.limits.exposure_window + forward.tolerance;
        let scope = self.scope(forward.class);
        let state = self.state(forward.sidecar);
        count_since(
            state.requests_taken.get(&scope),
            forward.at.saturating_sub(window),
        )
    }

    fn finish(self) -> RuleResult {
        let margin = self
            .least_left
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

/// How many of the times, which rise, are at `from` or later.
fn count_since(times: Option<&Vec<Duration>>, from: Duration) -> usize {
    let times = times.map(Vec::as_slice).unwrap_or_default();
    times.iter().rev().take_while(|time| **time >= from).count()
}
