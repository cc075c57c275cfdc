//! Suspicion (SWIM, section 4.2) with Lifeguard's dynamic timeouts (LHA-Suspicion): the more
//! members independently suspect a member, the less time it has to refute.

use crate::event::MembershipEvent;
use crate::member_table::{Member, UpdateEffect};
use crate::membership::{Membership, MAX_QUEUED};
use crate::status::{MemberName, MemberStatus, StatusUpdate};
use std::time::Duration;

/// Shortest timeout in probe intervals, multiplied by the logarithm of the group's size
/// (memberlist's SuspicionMult).
const TIMEOUT_MULTIPLIER: f64 = 4.0;
/// Ratio of the longest to the shortest timeout (memberlist's SuspicionMaxTimeoutMult).
const MAX_TIMEOUT_MULTIPLIER: f64 = 6.0;
/// Number of confirmations from other members at which the timeout is the shortest.
const REQUIRED_CONFIRMATIONS: f64 = 3.0;
/// Smaller groups have the timeouts of a group of this size.
const MIN_GROUP_SIZE: f64 = 10.0;

/// Returns how long a suspect has to refute if `confirmations` members suspect it in addition to
/// the first one.
fn suspicion_timeout(
    probe_interval: Duration,
    group_size: usize,
    confirmations: usize,
) -> Duration {
    let group_size = group_size as f64;
    let min_intervals = TIMEOUT_MULTIPLIER * group_size.max(MIN_GROUP_SIZE).log10();
    // This member and the suspect cannot confirm the suspicion.
    let needed = REQUIRED_CONFIRMATIONS.min(group_size - 2.0);
    let confirmation_progress = if needed < 1.0 {
        1.0
    } else {
        ((confirmations as f64 + 1.0).ln() / (needed + 1.0).ln()).min(1.0)
    };
    let factor = MAX_TIMEOUT_MULTIPLIER - (MAX_TIMEOUT_MULTIPLIER - 1.0) * confirmation_progress;
    probe_interval.mul_f64(min_intervals * factor)
}

impl Membership {
    /// Returns when a suspect is declared dead unless it refutes.
    pub(crate) fn suspicion_deadline(&self, suspect: &Member) -> Duration {
        let confirmations = suspect.suspected_by.len().saturating_sub(1);
        let interval = self.config.probe_interval;
        suspect.status_since + suspicion_timeout(interval, self.group_size(), confirmations)
    }

    /// Declares suspects dead that did not refute in time.
    pub(crate) fn expire_suspicions(&mut self, now: Duration) {
        let expired: Vec<StatusUpdate> = self
            .table
            .suspects()
            .filter(|suspect| now >= self.suspicion_deadline(suspect))
            .map(|suspect| suspect.update.clone())
            .collect();
        let local_name = self.local.name.clone();
        for suspect in expired {
            self.apply_update(now, suspect.with_status(MemberStatus::Dead), &local_name);
        }
    }

    /// Refutes an update that calls this member suspect or dead, by raising its incarnation.
    pub(crate) fn refute(&mut self, now: Duration, update: &StatusUpdate) {
        if update.started_at_ms > self.local.started_at_ms {
            self.supersede(now);
            return;
        }
        let needs_refutation = matches!(update.status, MemberStatus::Suspect | MemberStatus::Dead)
            && update.started_at_ms == self.local.started_at_ms
            && update.incarnation >= self.local.incarnation;
        if needs_refutation && self.local.status == MemberStatus::Alive {
            self.local.incarnation = update.incarnation.saturating_add(1);
            self.detector.worsen_local_health(1);
            self.update_queue.enqueue(self.local.clone());
        }
    }

    /// Applies an update about another member and gossips it if it is new.
    pub(crate) fn apply_update(&mut self, now: Duration, update: StatusUpdate, from: &MemberName) {
        if update.name == self.local.name {
            return;
        }
        match self.table.apply(update.clone(), from, now) {
            UpdateEffect::Ignored => {}
            UpdateEffect::Confirmed => self.update_queue.enqueue(update),
            UpdateEffect::Changed { previous } => {
                self.notify(&update, previous);
                self.update_queue.enqueue(update);
            }
        }
    }

    fn notify(&mut self, update: &StatusUpdate, previous: Option<MemberStatus>) {
        let name = update.name.clone();
        let was_active = previous.is_some_and(MemberStatus::is_active);
        let event = match update.status {
            MemberStatus::Alive if previous != Some(MemberStatus::Alive) => {
                MembershipEvent::Up(name)
            }
            MemberStatus::Suspect => MembershipEvent::Suspected(name),
            MemberStatus::Dead if was_active => MembershipEvent::Down(name),
            MemberStatus::Left if was_active => MembershipEvent::Left(name),
            MemberStatus::Alive | MemberStatus::Dead | MemberStatus::Left => return,
        };
        self.events.push_back(event);
        // The host is not obliged to take events, so the queue is bounded.
        while self.events.len() > MAX_QUEUED {
            self.events.pop_front();
        }
    }
}
