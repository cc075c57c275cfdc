//! Rule 4: a pod that is warming up receives less work within the overload window than the load at which it fails.

use crate::record::{AttemptKey, Event, PodId, RecordLine, RuleLimits};
use crate::report::{Rule, RuleResult, Violations};
use crate::stalls::RecorderStalls;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Keeps divisors above 0 if a limit is 0.
const MIN_DIVISOR: f64 = 1e-9;

pub(crate) fn check(
    lines: &[RecordLine],
    limits: &RuleLimits,
    stalls: &RecorderStalls,
) -> RuleResult {
    let mut check = SlowStart {
        limits,
        stalls,
        pods: BTreeMap::new(),
        starts: 0,
        highest_load_fraction: 0.0,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

struct Arrival {
    at: Duration,
    /// In core seconds.
    work: f64,
}

struct WarmingPod {
    started_at: Duration,
    /// Capacity in cores.
    capacity: f64,
    /// Arrivals within the overload window.
    recent: VecDeque<Arrival>,
    /// Total work of these arrivals, in core seconds.
    recent_work: f64,
}

impl WarmingPod {
    fn add(&mut self, at: Duration, work: f64, window: f64) {
        self.recent.push_back(Arrival { at, work });
        self.recent_work += work;
        while let Some(first) = self.recent.front() {
            if (at - first.at).as_secs_f64() <= window {
                break;
            }
            self.recent_work -= first.work;
            self.recent.pop_front();
        }
    }
}

struct SlowStart<'a> {
    limits: &'a RuleLimits,
    stalls: &'a RecorderStalls,
    pods: BTreeMap<PodId, WarmingPod>,
    starts: usize,
    /// Highest load of a pod, as a fraction of the load at which the pod fails.
    highest_load_fraction: f64,
    violations: Violations,
}

impl SlowStart<'_> {
    fn observe(&mut self, line: &RecordLine) {
        match &line.event {
            Event::PodStarted {
                pod,
                capacity,
                warming_up: true,
                ..
            } => {
                self.starts += 1;
                let warming = WarmingPod {
                    started_at: line.at,
                    capacity: *capacity,
                    recent: VecDeque::new(),
                    recent_work: 0.0,
                };
                self.pods.insert(*pod, warming);
            }
            Event::PodExited { pod } => {
                self.pods.remove(pod);
            }
            Event::AttemptArrived {
                pod, work, attempt, ..
            } => self.attempt_arrived(line.at, *pod, *attempt, work.as_secs_f64()),
            _ => {}
        }
    }

    fn attempt_arrived(&mut self, at: Duration, pod: PodId, attempt: AttemptKey, work: f64) {
        let window = self.limits.overload_window.as_secs_f64();
        let Some(warming) = self.pods.get_mut(&pod) else {
            return;
        };
        warming.add(at, work, window);
        let age = (at - warming.started_at).as_secs_f64();
        if age > self.limits.slow_start_duration.as_secs_f64() + window {
            return;
        }
        let capacity = warming.capacity;
        // A single request is always allowed, since no less can be sent.
        let load = (warming.recent_work - work).max(0.0);
        let achievable_work = capacity * self.work_within_window(age, window, at);
        let part = load / (self.limits.overload_multiple * achievable_work).max(MIN_DIVISOR);
        self.highest_load_fraction = self.highest_load_fraction.max(part);
        if part > 1.0 {
            let text = format!(
                "{pod} got {part:.2} of its multiple with {attempt}, {age:.2} s after its start"
            );
            self.violations.add(at, text);
        }
    }

    /// Work that each core of a pod can do within the window that ends at `age`, in seconds. Time before the start counts at the
    /// pod's initial speed, so that attempts right after the start have the budget of a whole window.
    fn work_within_window(&self, age: f64, window: f64, at: Duration) -> f64 {
        let from = age - window;
        let before_start = (-from).max(0.0) * self.limits.slow_start_from;
        let tolerance = self.stalls.tolerance(at).as_secs_f64();
        work_done_by(age, self.limits) - work_done_by(from.max(0.0), self.limits)
            + before_start
            + tolerance
    }

    fn finish(self) -> RuleResult {
        RuleResult {
            rule: Rule::SlowStart,
            checked: self.starts,
            case: "cold starts",
            margin: format!("{:.2} of the multiple", self.highest_load_fraction),
            violations: self.violations.into_vec(),
        }
    }
}

/// Work that each core of a pod can do from its start until `age`, in seconds; the speed of a core grows linearly up to 1.
fn work_done_by(age: f64, limits: &RuleLimits) -> f64 {
    let from = limits.slow_start_from;
    let duration = limits.slow_start_duration.as_secs_f64().max(MIN_DIVISOR);
    let warming = age.min(duration);
    from * warming + (1.0 - from) * warming * warming / (2.0 * duration) + (age - warming)
}
