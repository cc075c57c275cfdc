//! Breaks of each rule, put between the decisions and the world: what the model must catch.

use limewing_decision::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crook {
    Honest,
    /// Swallows final answers.
    Silent,
    /// Answers twice.
    Twice,
    /// Sends on after the answer.
    AfterTheEnd,
    /// Sends mutating hits to two pods.
    Resends,
    /// Bounces what may have run.
    BouncesAll,
    /// Sends a tagged hit to pods that do not know its mark.
    OutOfReach,
    /// Sends to pods that have left the list.
    Drained,
    /// Sends all to the youngest pod.
    Cold,
    /// Sends most to the newest build.
    Cap,
    /// Sends mutating hits to the newest build.
    Guarded,
    /// Sends keyed hits to the oldest build.
    Keys,
    /// Sends each repeatable hit twice.
    Doubles,
    /// Never asks for the list again.
    AsksNoMore,
    /// Writes an attempt without asking whether it may begin.
    NeverAsks,
    /// Asks on the first connection of an attempt alone.
    RedialsUnasked,
    /// Relies for good on a list that is no longer heard.
    ForgetsLease,
}

/// Whether a host asks before the first byte of an attempt, on a connection after so many that broke.
pub fn asks_to_begin(how: Crook, broken: u8) -> bool {
    match how {
        Crook::NeverAsks => false,
        Crook::RedialsUnasked => broken == 0,
        _ => true,
    }
}

/// What becomes of actions; `held` is the list as this instance has it, of pods that are not gone.
pub fn crook(
    how: Crook,
    turn: u64,
    actions: Vec<Action>,
    held: &[Endpoint],
    hits: &BTreeMap<RequestId, (ClassId, Option<RoutingKey>)>,
    terms: &SidecarConfig,
    now: Duration,
) -> Vec<Action> {
    let repeat = |hit: &RequestId| {
        hits.get(hit)
            .map(|(group, _)| terms.classes[usize::from(group.0)].idempotency)
    };
    let mutating = |hit: &RequestId| repeat(hit) == Some(Idempotency::NonIdempotent);
    let ready = || held.iter().filter(|row| row.state == PodState::Ready);
    let newest = ready().max_by_key(|row| row.build);
    let oldest = ready().min_by_key(|row| row.build);
    let forward = |hit: RequestId, pod: PodId| Action::StartAttempt {
        request: hit,
        pod,
        timeout: Duration::ZERO,
    };
    let mut out = Vec::new();
    for action in actions {
        match (how, &action) {
            (Crook::AsksNoMore, Action::WatchEndpoints) => continue,
            (Crook::Silent, Action::Reject { .. } | Action::Fail { .. }) => continue,
            (Crook::Twice, Action::Reject { request: hit, .. }) => {
                out.push(Action::Fail { request: *hit })
            }
            (Crook::AfterTheEnd, Action::Reject { request: hit, .. }) => {
                out.push(action.clone());
                out.extend(ready().next().map(|row| forward(*hit, row.pod)));
                continue;
            }
            (
                Crook::Resends,
                Action::StartAttempt {
                    request: hit, pod, ..
                },
            ) if mutating(hit) => {
                out.extend(
                    ready()
                        .find(|row| row.pod != *pod)
                        .map(|row| forward(*hit, row.pod)),
                );
            }
            (Crook::BouncesAll, Action::Fail { request: hit }) => {
                out.push(Action::Reject {
                    request: *hit,
                    retry_after: Duration::ZERO,
                });
                continue;
            }
            (
                Crook::OutOfReach,
                Action::StartAttempt {
                    request: hit, pod, ..
                },
            ) => {
                let from = held.iter().find(|row| row.pod == *pod);
                let reach = match repeat(hit) {
                    Some(Idempotency::Keyed {
                        deduplicated_by: drops_repeats,
                        ..
                    }) if terms.hedging => drops_repeats,
                    _ => DeduplicationScope::All,
                };
                let away = |row: &&Endpoint| match (reach, from) {
                    (DeduplicationScope::Zone, Some(from)) => row.zone != from.zone,
                    (DeduplicationScope::Cell, Some(from)) => row.cell != from.cell,
                    _ => false,
                };
                out.push(action.clone());
                out.extend(ready().find(away).map(|row| forward(*hit, row.pod)));
                continue;
            }
            (Crook::Drained, Action::StartAttempt { request: hit, .. }) => {
                // Pods are numbered as they come: one that is not held any more has been told gone.
                let gone = (1..1000)
                    .map(PodId)
                    .find(|pod| held.iter().all(|row| row.pod != *pod));
                let known = gone.filter(|pod| held.iter().any(|row| row.pod > *pod));
                if let Some(pod) = known {
                    out.push(forward(*hit, pod));
                    continue;
                }
            }
            (Crook::Cold, Action::StartAttempt { request: hit, .. }) => {
                // Of the earlier build, or the cap would be broken first.
                let base = oldest.map(|row| row.build);
                let young = ready().filter(|row| Some(row.build) == base);
                let young = young.filter(|row| {
                    row.started_at
                        .is_some_and(|at| now < at + Duration::from_secs(3))
                });
                if let Some(row) = young.max_by_key(|row| row.started_at) {
                    out.push(forward(*hit, row.pod));
                    continue;
                }
            }
            (Crook::Cap, Action::StartAttempt { request: hit, .. })
                if turn.is_multiple_of(2) && !mutating(hit) =>
            {
                out.extend(newest.map(|row| forward(*hit, row.pod)));
                continue;
            }
            (Crook::Guarded, Action::StartAttempt { request: hit, .. })
                if turn.is_multiple_of(20) && mutating(hit) =>
            {
                out.extend(newest.map(|row| forward(*hit, row.pod)));
                continue;
            }
            (Crook::Keys, Action::StartAttempt { request: hit, .. })
                if hit.0.is_multiple_of(2)
                    && repeat(hit) == Some(Idempotency::Idempotent)
                    && hits.get(hit).is_some_and(|(_, key)| key.is_some()) =>
            {
                out.extend(oldest.map(|row| forward(*hit, row.pod)));
                continue;
            }
            (Crook::Doubles, Action::StartAttempt { request: hit, .. })
                if repeat(hit) == Some(Idempotency::Idempotent) =>
            {
                out.push(action.clone());
            }
            _ => {}
        }
        out.push(action);
    }
    out
}
