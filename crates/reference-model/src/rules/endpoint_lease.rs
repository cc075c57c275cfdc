//! Rule 3 while the list service is unavailable. After silence for longer than the lease plus the grace period, no
//! attempt is sent to a pod that has in fact been draining for that long, provided that another pod of the same build
//! served a request within the lease and is eligible. A draining pod that still serves requests is exempt, because the
//! sidecar cannot distinguish it from a ready one.
//!
//! A list from before the start has no lease: what drained before the start counts as known from the start on, until a
//! list is received.

use super::draining::FirstByte;
use crate::coverage::Coverage;
use crate::history::{
    AttemptHistory, AuthoritativeList, ExpiredLeaseEvidence, ProposedAttempt, SidecarHistory,
};
use crate::violation::{Rule, UnattributedViolation};
use limewing_decision::interface::{AttemptOutcome, Endpoint, PodId, PodState};
use std::time::Duration;

/// The maximum time for an update to cross a link and wait for the next step.
const LINK_DELAY: Duration = Duration::from_millis(50);
/// The number of leases without a list after which a sidecar may use any pod if it knows of none that serves.
const OUTAGE_LEASES: u32 = 5;
/// A pod with an attempt in flight for longer than this may be considered unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);

/// Returns the evidence for the pod of an attempt, or `None` while the lease is valid.
pub(crate) fn evidence_for(attempt: &ProposedAttempt<'_>) -> Option<ExpiredLeaseEvidence> {
    let sidecar = attempt.sidecar;
    let now = attempt.now;
    let lease = sidecar.config.endpoint_lease?;
    if sidecar.without_list_since.is_none() && now <= sidecar.last_list_contact + lease {
        return None;
    }
    let since = now.saturating_sub(lease);
    let alternative = sidecar
        .latest_endpoints()
        .filter(|other| other.pod != attempt.endpoint.pod)
        .filter(|other| is_eligible(attempt, other))
        .find(|other| {
            served_since(sidecar, other, since + LINK_DELAY, sidecar.turn - 1)
                && is_healthy(sidecar, other, since, now)
        })
        .map(|other| other.pod);
    Some(ExpiredLeaseEvidence {
        served_within_lease: served_since(sidecar, attempt.endpoint, since, sidecar.turn),
        alternative,
    })
}

/// Checks that the decision is not stale, and that the pod is not long gone while an alternative is known.
pub(super) fn check_first_byte(
    first_byte: &FirstByte<'_>,
    authoritative_list: &AuthoritativeList,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let sidecar = first_byte.sidecar;
    let now = first_byte.now;
    let index = first_byte.index;
    let request = first_byte.request;
    let pod = first_byte.attempt.endpoint.pod;
    let grace = sidecar.config.safety.drain_grace;
    let Some(lease) = sidecar.config.endpoint_lease else {
        return Ok(());
    };
    let lease_and_grace = lease + grace;
    let checked_from = match sidecar.without_list_since {
        Some(started_at) => started_at + grace,
        None => sidecar.last_list_contact + lease_and_grace,
    };
    if now <= checked_from {
        return Ok(());
    }
    if now > first_byte.attempt.decided_at + grace {
        return Err(UnattributedViolation::new(
            Rule::Design,
            format!(
                "{index:?} of {request:?} sent to {pod:?} after lease expiry, by a decision older than the grace period"
            ),
        ));
    }
    if let Some(started_at) = sidecar.without_list_since {
        check_cached_list(first_byte, authoritative_list, started_at, lease)?;
    }
    let Some(ExpiredLeaseEvidence {
        served_within_lease,
        alternative: Some(alternative),
    }) = first_byte.attempt.expired_lease
    else {
        return Ok(());
    };
    coverage.sent_on_expired_lease += 1;
    let is_long_gone = |pod: PodId| {
        authoritative_list
            .not_ready_since(pod)
            .is_some_and(|since| now > since + lease_and_grace + LINK_DELAY)
    };
    if is_long_gone(pod) && !served_within_lease {
        return Err(UnattributedViolation::new(
            Rule::Draining,
            format!(
                "{index:?} of {request:?} sent to {pod:?} after lease expiry, although {alternative:?} serves requests"
            ),
        ));
    }
    let any_stale = sidecar
        .latest_endpoints()
        .filter(|endpoint| endpoint.state == PodState::Ready)
        .any(|endpoint| is_long_gone(endpoint.pod));
    coverage.sent_with_stale_pod_listed += usize::from(any_stale);
    Ok(())
}

/// Checks that a sidecar without a list since its start sends nothing to a pod that drained before, past the grace
/// period, unless that pod has served a request. After a long outage it may use any pod if it knows of none that serves.
fn check_cached_list(
    first_byte: &FirstByte<'_>,
    authoritative_list: &AuthoritativeList,
    started_at: Duration,
    lease: Duration,
) -> Result<(), UnattributedViolation> {
    let pod = first_byte.attempt.endpoint.pod;
    let has_drained_before_start = authoritative_list
        .not_ready_since(pod)
        .is_some_and(|since| since <= started_at);
    let evidence = &first_byte.attempt.expired_lease;
    let has_served = evidence
        .as_ref()
        .is_some_and(|evidence| evidence.served_within_lease);
    let knows_alternative = evidence
        .as_ref()
        .is_some_and(|evidence| evidence.alternative.is_some());
    let is_outage = first_byte.now > started_at + lease * OUTAGE_LEASES;
    if has_drained_before_start && !has_served && (knows_alternative || !is_outage) {
        return Err(UnattributedViolation::new(
            Rule::Draining,
            format!(
                "{:?} of {:?} sent to {pod:?}, which drained before the start, by a list from before the start",
                first_byte.index, first_byte.request
            ),
        ));
    }
    Ok(())
}

/// Whether another pod is eligible for an attempt in place of the chosen one.
fn is_eligible(attempt: &ProposedAttempt<'_>, other: &Endpoint) -> bool {
    let chosen = attempt.endpoint;
    let earlier = &attempt.request.attempts;
    let slow_start = attempt.sidecar.config.safety.slow_start_duration;
    let is_same_ready_build = other.state == PodState::Ready && other.build == chosen.build;
    let was_tried = earlier
        .iter()
        .any(|attempt| attempt.endpoint.pod == other.pod);
    let is_warm = other
        .started_at
        .is_some_and(|started_at| attempt.now > started_at + slow_start);
    let shares_location = other.zone == chosen.zone && other.cell == chosen.cell;
    is_same_ready_build && !was_tried && is_warm && (shares_location || earlier.is_empty())
}

/// The attempts of a sidecar at one start of a pod. A restarted pod counts as a different pod.
fn attempts_at<'a>(
    sidecar: &'a SidecarHistory,
    endpoint: &'a Endpoint,
) -> impl Iterator<Item = &'a AttemptHistory> {
    sidecar
        .requests
        .values()
        .flat_map(|request| &request.attempts)
        .filter(|attempt| {
            attempt.endpoint.pod == endpoint.pod
                && attempt.endpoint.started_at == endpoint.started_at
        })
}

/// Whether the sidecar knew in a turn that a pod served a request sent after `since`, and that it rejected none
/// afterwards.
fn served_since(
    sidecar: &SidecarHistory,
    endpoint: &Endpoint,
    since: Duration,
    turn: usize,
) -> bool {
    let known: Vec<&AttemptHistory> = attempts_at(sidecar, endpoint)
        .filter(|attempt| attempt.outcome_turn <= turn)
        .collect();
    let last_rejection = known
        .iter()
        .filter(|attempt| attempt.outcome == Some(AttemptOutcome::Rejected))
        .map(|attempt| attempt.outcome_turn)
        .max()
        .unwrap_or(0);
    known
        .iter()
        .filter(|attempt| attempt.outcome == Some(AttemptOutcome::Succeeded))
        .any(|attempt| attempt.decided_at >= since && attempt.outcome_turn >= last_rejection)
}

/// Whether the sidecar has no evidence against a pod: all recent attempts succeeded, and none has been in flight for
/// too long.
fn is_healthy(
    sidecar: &SidecarHistory,
    endpoint: &Endpoint,
    since: Duration,
    now: Duration,
) -> bool {
    attempts_at(sidecar, endpoint)
        .filter(|attempt| attempt.decided_at >= since)
        .all(|attempt| match attempt.outcome {
            None => now <= attempt.decided_at + UNRESPONSIVE_AFTER,
            Some(outcome) => matches!(
                outcome,
                AttemptOutcome::Succeeded | AttemptOutcome::NeverSent | AttemptOutcome::Cancelled
            ),
        })
}
