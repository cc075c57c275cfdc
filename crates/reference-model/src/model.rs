//! Records the events and actions of sidecars, and checks each action against the rules.

use crate::coverage::Coverage;
use crate::history::{
    Arrival, AttemptHistory, AttemptStart, AuthoritativeList, PodStart, ProposedAttempt,
    RequestHistory, SidecarHistory, StageRecord,
};
use crate::rules::draining::FirstByte;
use crate::rules::{
    draining, endpoint_lease, exposure, one_answer, repeated_effect, retry_budget, slow_start,
};
use crate::violation::{Rule, UnattributedViolation, Violation};
use limewing_decision::interface::{
    Action, AttemptIndex, AttemptResult, Endpoint, Event, Phase, PodId, Request, RequestId,
    SidecarConfig, StageUpdate,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Checks the rules over a whole fleet. The caller assigns the sidecar indices. All times are measured from a common
/// epoch.
#[derive(Default)]
pub struct ReferenceModel {
    sidecars: BTreeMap<usize, SidecarHistory>,
    pod_starts: BTreeMap<PodId, PodStart>,
    authoritative_list: AuthoritativeList,
    /// Counts of how often each rule was exercised.
    pub coverage: Coverage,
}

impl ReferenceModel {
    /// Records the start of a sidecar, and discards the history of its earlier incarnations.
    pub fn sidecar_started(&mut self, sidecar: usize, now: Duration, config: SidecarConfig) {
        self.sidecars
            .insert(sidecar, SidecarHistory::new(config, now));
    }

    /// Records that a sidecar's process ended.
    pub fn sidecar_stopped(&mut self, sidecar: usize) {
        self.sidecars.remove(&sidecar);
    }

    /// Records that a paused sidecar resumed. Answers that became due during the pause are due now.
    pub fn sidecar_resumed(&mut self, sidecar: usize, now: Duration) {
        let Some(history) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        for request in history.requests.values_mut() {
            request.answer_deadline = request.answer_deadline.max(now);
        }
    }

    /// Records the start of a pod. `capacity` is the number of requests per second it can serve after slow start.
    pub fn pod_started(&mut self, pod: PodId, at: Duration, capacity: f64) {
        self.pod_starts.insert(pod, PodStart::new(at, capacity));
    }

    /// Records a new version of the endpoint list in the list service.
    pub fn list_changed(&mut self, now: Duration, endpoints: Vec<Endpoint>) {
        self.authoritative_list.record(now, endpoints);
    }

    /// Records that a sidecar received data or a keep-alive from the list service.
    pub fn list_service_contacted(&mut self, sidecar: usize, now: Duration) {
        if let Some(history) = self.sidecars.get_mut(&sidecar) {
            history.last_list_contact = now;
        }
    }

    /// Records that the engine refused to let the first byte of an attempt be sent.
    pub fn attempt_withheld(&mut self, sidecar: usize, now: Duration, pod: PodId) {
        let is_past_grace = self
            .sidecars
            .get(&sidecar)
            .is_some_and(|history| history.knows_drained_past_grace(pod, now));
        self.coverage.withheld += 1;
        self.coverage.withheld_past_grace += usize::from(is_past_grace);
    }

    /// Records a batch of events delivered to a sidecar, which starts a new turn.
    pub fn record_events(&mut self, sidecar: usize, now: Duration, events: &[Event]) {
        let Some(history) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        history.turn += 1;
        for event in events {
            match event {
                Event::Endpoints(update) => history.record_list(now, update),
                Event::RequestArrived(request) => {
                    record_request(history, &mut self.coverage, now, request);
                }
                Event::AttemptFinished(result) => record_result(history, result),
                Event::StreamStarted { request } => {
                    self.coverage.streams += 1;
                    let turn = history.turn;
                    if let Some(request) = history.requests.get_mut(request) {
                        request.stream_turn = Some(turn);
                    }
                }
                Event::ClientDisconnected(request) => record_over(history, *request),
                Event::Stage {
                    update: Some(update),
                    ..
                } => record_stage(history, &mut self.coverage, now, update),
                _ => {}
            }
        }
    }

    /// Checks and records the actions of a sidecar.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check_actions(
        &mut self,
        sidecar: usize,
        now: Duration,
        actions: &[Action],
    ) -> Result<(), Violation> {
        for action in actions {
            let checked = match action {
                Action::StartAttempt { request, pod, .. } => {
                    self.check_attempt(sidecar, now, *request, *pod)
                }
                Action::Reject { request, .. } => self.check_answer(sidecar, now, *request, true),
                Action::Fail { request } => self.check_answer(sidecar, now, *request, false),
                Action::WatchEndpoints => {
                    if let Some(history) = self.sidecars.get_mut(&sidecar) {
                        history.last_list_call = now;
                        history.list_call_failed = false;
                    }
                    Ok(())
                }
                _ => Ok(()),
            };
            checked.map_err(|violation| violation.by_sidecar(sidecar, now))?;
        }
        Ok(())
    }

    /// Checks that no request is overdue. Sidecars for which `excused` returns true are skipped, as they are paused.
    ///
    /// # Errors
    ///
    /// Returns a violation for the first request past its deadline without an answer.
    pub fn check_deadlines(
        &self,
        now: Duration,
        excused: impl Fn(usize) -> bool,
    ) -> Result<(), Violation> {
        for (sidecar, history) in &self.sidecars {
            if excused(*sidecar) {
                continue;
            }
            for request in history.requests.values() {
                one_answer::check_deadline(request, now)
                    .map_err(|violation| violation.by_sidecar(*sidecar, now))?;
            }
        }
        Ok(())
    }

    /// Checks an attempt at the moment its first byte is sent. Rules 4 and 5 count attempts earlier, when they are
    /// decided. That includes attempts that are never sent, so these checks are at least as strict.
    ///
    /// # Errors
    ///
    /// Returns the violation.
    pub fn check_first_byte(
        &mut self,
        sidecar: usize,
        now: Duration,
        request: RequestId,
        index: AttemptIndex,
        is_reconnect: bool,
    ) -> Result<(), Violation> {
        self.coverage.reconnects += usize::from(is_reconnect);
        let Some(history) = self.sidecars.get(&sidecar) else {
            return Ok(());
        };
        let attempt = history
            .requests
            .get(&request)
            .and_then(|request| request.attempts.get(usize::from(index.0)));
        let Some(attempt) = attempt else {
            let description = format!("{index:?} of {request:?} was sent without a decision");
            return Err(
                UnattributedViolation::new(Rule::OneAnswer, description).by_sidecar(sidecar, now)
            );
        };
        let first_byte = FirstByte {
            sidecar: history,
            request,
            index,
            attempt,
            now,
        };
        draining::check_first_byte(&first_byte, &self.authoritative_list, &mut self.coverage)
            .map_err(|violation| violation.by_sidecar(sidecar, now))
    }

    fn check_answer(
        &mut self,
        sidecar: usize,
        now: Duration,
        request: RequestId,
        is_rejection: bool,
    ) -> Result<(), UnattributedViolation> {
        let history = self
            .sidecars
            .get_mut(&sidecar)
            .ok_or_else(unknown_sidecar)?;
        let turn = history.turn;
        let request = history
            .requests
            .get_mut(&request)
            .ok_or_else(|| unknown_request(request))?;
        one_answer::check_answer(request, turn, now)?;
        let may_have_run = request.attempts_that_may_have_run().next().is_some();
        self.coverage.answers += 1;
        self.coverage.answers_after_possible_run += usize::from(may_have_run);
        if is_rejection {
            repeated_effect::check_rejection(request, &history.config)?;
        }
        request.answered_turn = Some(turn);
        Ok(())
    }

    fn check_attempt(
        &mut self,
        sidecar: usize,
        now: Duration,
        request: RequestId,
        pod: PodId,
    ) -> Result<(), UnattributedViolation> {
        let history = self.sidecars.get(&sidecar).ok_or_else(unknown_sidecar)?;
        let request_history = history
            .requests
            .get(&request)
            .ok_or_else(|| unknown_request(request))?;
        let endpoint = history.endpoint(pod).cloned().ok_or_else(|| {
            UnattributedViolation::new(
                Rule::Draining,
                format!("{pod:?} was never in the endpoint list"),
            )
        })?;
        let attempt = ProposedAttempt {
            sidecar: history,
            request: request_history,
            endpoint: &endpoint,
            now,
        };
        one_answer::check_attempt(&attempt)?;
        repeated_effect::check_attempt(&attempt, &mut self.coverage)?;
        draining::check_attempt(&attempt, &self.authoritative_list, &mut self.coverage)?;
        exposure::check_attempt(&attempt, &mut self.coverage)?;
        // This check runs last because it records the attempt, and only attempts that pass the other rules count.
        if let Some(start) = self.pod_starts.get_mut(&pod) {
            slow_start::check_attempt(&attempt, start, &mut self.coverage)?;
        }
        let recorded = AttemptHistory {
            expired_lease: endpoint_lease::evidence_for(&attempt),
            endpoint,
            decided_at: now,
            outcome: None,
            outcome_turn: 0,
        };
        self.record_attempt(sidecar, request, recorded)
    }

    fn record_attempt(
        &mut self,
        sidecar: usize,
        request: RequestId,
        attempt: AttemptHistory,
    ) -> Result<(), UnattributedViolation> {
        let history = self
            .sidecars
            .get_mut(&sidecar)
            .ok_or_else(unknown_sidecar)?;
        let request = history
            .requests
            .get_mut(&request)
            .ok_or_else(|| unknown_request(request))?;
        history.attempt_starts.push(AttemptStart {
            at: attempt.decided_at,
            build: attempt.endpoint.build,
            class: request.request.class,
        });
        request.attempts.push(attempt);
        retry_budget::check(history)
    }
}

fn record_request(
    history: &mut SidecarHistory,
    coverage: &mut Coverage,
    now: Duration,
    request: &Request,
) {
    coverage.requests += 1;
    let is_guarded_stage = history.stages.last().is_some_and(|record| {
        record.update.phase == Phase::OnTrial
            && record.update.stage.0 < history.config.rollout.guarded_stages
    });
    if is_guarded_stage && exposure::is_guarded(history, request.class) {
        coverage.guarded_requests += 1;
    }
    history.arrivals.push(Arrival {
        at: now,
        class: request.class,
    });
    history
        .requests
        .insert(request.id, RequestHistory::new(request.clone(), now));
}

fn record_result(history: &mut SidecarHistory, result: &AttemptResult) {
    let turn = history.turn;
    let Some(request) = history.requests.get_mut(&result.request) else {
        return;
    };
    if let Some(attempt) = request.attempts.get_mut(usize::from(result.attempt.0)) {
        attempt.outcome = Some(result.outcome);
        attempt.outcome_turn = turn;
    }
    if result.request_closed {
        record_over(history, result.request);
    }
}

fn record_over(history: &mut SidecarHistory, request: RequestId) {
    let turn = history.turn;
    if let Some(request) = history.requests.get_mut(&request) {
        request.finished_turn = request.finished_turn.or(Some(turn));
    }
}

fn record_stage(
    history: &mut SidecarHistory,
    coverage: &mut Coverage,
    now: Duration,
    update: &StageUpdate,
) {
    let before = exposure::effective_cap(history, update.build, now);
    let is_lowered = before.is_some_and(|before| update.cap < before.cap);
    coverage.lowered_caps += usize::from(is_lowered);
    history.stages.push(StageRecord {
        received_at: now,
        update: *update,
    });
}

fn unknown_sidecar() -> UnattributedViolation {
    UnattributedViolation::new(
        Rule::OneAnswer,
        "action by a sidecar that is not running".to_owned(),
    )
}

fn unknown_request(request: RequestId) -> UnattributedViolation {
    UnattributedViolation::new(Rule::OneAnswer, format!("{request:?} never arrived"))
}
