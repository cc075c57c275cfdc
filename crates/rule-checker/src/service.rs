//! Quality of service as seen by the clients.

use crate::record::{Event, FinalAnswer, RecordLine, RequestId, RuleLimits};
use crate::report::ServiceFigures;
use std::collections::BTreeMap;
use std::time::Duration;

/// First attempt of a request.
struct FirstAttempt {
    at: Duration,
    class: usize,
}

/// Answer that counts for a request: the first one delivered by a pod, otherwise the last one.
struct LastAnswer {
    at: Duration,
    answer: FinalAnswer,
}

pub(crate) fn service_figures(lines: &[RecordLine], limits: &RuleLimits) -> ServiceFigures {
    let mut first: BTreeMap<RequestId, FirstAttempt> = BTreeMap::new();
    let mut last: BTreeMap<RequestId, LastAnswer> = BTreeMap::new();
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::RequestSent { attempt, class, .. } => {
                let class = *class;
                first
                    .entry(attempt.request)
                    .or_insert(FirstAttempt { at, class });
            }
            Event::Answered {
                attempt, answer, ..
            } => {
                let delivered = last
                    .get(&attempt.request)
                    .is_some_and(|last| last.answer == FinalAnswer::Delivered);
                if !delivered {
                    let answer = *answer;
                    last.insert(attempt.request, LastAnswer { at, answer });
                }
            }
            _ => {}
        }
    }
    let count = |answer| last.values().filter(|last| last.answer == answer).count();
    ServiceFigures {
        requests: first.len(),
        delivered: count(FinalAnswer::Delivered),
        rejected: count(FinalAnswer::Rejected),
        failed: count(FinalAnswer::Failed),
        weighted_on_time_fraction: weighted_on_time_fraction(&first, &last, limits),
    }
}

fn weighted_on_time_fraction(
    first: &BTreeMap<RequestId, FirstAttempt>,
    last: &BTreeMap<RequestId, LastAnswer>,
    limits: &RuleLimits,
) -> f64 {
    let mut total_weight = 0.0;
    let mut on_time_weight = 0.0;
    for (id, first) in first {
        let class = &limits.classes[first.class];
        total_weight += class.priority_weight;
        let on_time = last.get(id).is_some_and(|last| {
            last.answer == FinalAnswer::Delivered && last.at <= first.at + class.latency_objective
        });
        if on_time {
            on_time_weight += class.priority_weight;
        }
    }
    if total_weight > 0.0 {
        on_time_weight / total_weight
    } else {
        0.0
    }
}
