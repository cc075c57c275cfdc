//! Outlier hints from a member's own outcomes, tracked for each pod.

use crate::load_report::OutlierHint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Outcome of an attempt as far as it concerns the pod. Errors concern the build and are not
/// included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutlierObservation {
    /// The attempt was answered after this many seconds.
    Answered(f64),
    /// The attempt was reset, or not answered before its timeout.
    NoResponse,
    /// The connection could not be opened.
    ConnectFailed,
    /// The pod rejected the attempt.
    Rejected,
    /// The attempt was cancelled after this many seconds, because another hedged attempt was
    /// answered first or the client disconnected.
    Cancelled(f64),
}

/// Number of consecutive attempts without a response that eject a pod, and of consecutive
/// rejections that mark it as overloaded.
const CONSECUTIVE_FAILURES: u32 = 3;
/// A pod is slow if its mean latency exceeds the mean of all pods by this factor.
const SLOW_LATENCY_RATIO: f64 = 4.0;
/// Number of answers in a pod's mean latency, and the minimum for it to count as slow.
const LATENCY_SAMPLES: u32 = 8;
/// Reciprocal weight of the newest answer in the moving mean latency of all pods.
const FLEET_LATENCY_SAMPLES: f64 = 50.0;
/// Lower bound of the mean latency of all pods in seconds, so that pods are not called slow because
/// of tiny differences.
const MIN_FLEET_LATENCY_S: f64 = 0.01;
/// A cancelled attempt counts as unanswered if it waited longer than the mean latency of all pods
/// times this factor.
const CANCELLED_LATENCY_RATIO: f64 = 2.0;
/// How long after a pod's answer other members' hints about it are ignored, and how long a
/// recovered pod is reported as such.
const ANSWER_FRESHNESS: Duration = Duration::from_secs(5);
/// A pod without outcomes for this long is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Default)]
struct PodHistory {
    consecutive_failures: u32,
    consecutive_rejections: u32,
    /// In seconds.
    mean_latency: f64,
    latency_samples: u32,
    answered_at: Option<Duration>,
    recovered_at: Option<Duration>,
    ejected: bool,
    last_outcome_at: Duration,
}

impl PodHistory {
    fn record_answer(&mut self, now: Duration, latency: f64) {
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
        self.answered_at = Some(now);
        if self.ejected {
            self.recovered_at = Some(now);
        }
        self.ejected = false;
        self.latency_samples = (self.latency_samples + 1).min(LATENCY_SAMPLES);
        self.mean_latency += (latency - self.mean_latency) / f64::from(self.latency_samples);
    }

    fn record_no_response(&mut self) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= CONSECUTIVE_FAILURES {
            self.ejected = true;
        }
    }

    fn hint(&self, now: Duration, fleet_latency: f64) -> Option<OutlierHint> {
        let is_slow = self.latency_samples >= LATENCY_SAMPLES
            && self.mean_latency > SLOW_LATENCY_RATIO * fleet_latency.max(MIN_FLEET_LATENCY_S);
        if self.ejected {
            Some(OutlierHint::Ejected)
        } else if self.consecutive_rejections >= CONSECUTIVE_FAILURES {
            Some(OutlierHint::Overloaded)
        } else if is_fresh(self.recovered_at, now) {
            Some(OutlierHint::Recovered)
        } else if is_slow {
            Some(OutlierHint::Slow)
        } else {
            None
        }
    }
}

fn is_fresh(answered_at: Option<Duration>, now: Duration) -> bool {
    answered_at.is_some_and(|at| now < at + ANSWER_FRESHNESS)
}

/// One member's outcomes at all pods, by the pods' keys.
#[derive(Default)]
pub(crate) struct OutlierTracker {
    pods: BTreeMap<u64, PodHistory>,
    /// Moving mean over the answers of all pods in seconds, regardless of the requests' classes.
    fleet_latency: f64,
}

impl OutlierTracker {
    pub(crate) fn record(&mut self, now: Duration, pod: u64, observation: OutlierObservation) {
        let history = self.pods.entry(pod).or_default();
        history.last_outcome_at = now;
        match observation {
            OutlierObservation::Answered(latency) => {
                history.record_answer(now, latency);
                self.fleet_latency += (latency - self.fleet_latency) / FLEET_LATENCY_SAMPLES;
            }
            OutlierObservation::ConnectFailed => history.ejected = true,
            OutlierObservation::NoResponse => history.record_no_response(),
            OutlierObservation::Cancelled(waited) => {
                // Hedged attempts at a silent pod end by cancellation instead of by their timeout.
                if waited > CANCELLED_LATENCY_RATIO * self.fleet_latency {
                    history.record_no_response();
                }
            }
            OutlierObservation::Rejected => history.consecutive_rejections += 1,
        }
    }

    /// Forgets pods without recent outcomes.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.pods
            .retain(|_, history| now < history.last_outcome_at + RETENTION);
    }

    /// Returns whether the pod answered this member so recently that other members' hints do not
    /// count.
    pub(crate) fn answered_recently(&self, pod: u64, now: Duration) -> bool {
        self.pods
            .get(&pod)
            .is_some_and(|history| !history.ejected && is_fresh(history.answered_at, now))
    }

    /// Returns this member's hints by the pods' keys.
    pub(crate) fn hints(&self, now: Duration) -> Vec<(u64, OutlierHint)> {
        self.pods
            .iter()
            .filter_map(|(pod, history)| Some((*pod, history.hint(now, self.fleet_latency)?)))
            .collect()
    }
}
