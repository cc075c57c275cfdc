//! The model: it records what sidecars are told and do, and checks each action against the rules.

use crate::coverage::Coverage;
use crate::history::{
    Arrival, AttemptHistory, AttemptStart, PodStart, ProposedAttempt, RequestHistory,
    SidecarHistory, StageRecord, TrueList,
};
use crate::rules::draining::FirstByte;
use crate::rules::{
    draining, endpoint_lease, exposure, one_answer, repeated_effect, retry_budget, slow_start,
};
use crate::violation::{Rule, RuleBroken, Violation};
use limewing_decision::interface::{
    Action, AttemptIndex, AttemptResult, Endpoint, Event, Phase, PodId, Request, RequestId,
    SidecarConfig, StageUpdate,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The rules over a whole fleet. Sidecars are numbered by whoever steps them; times are spans since a common start.
#[derive(Default)]
pub struct ReferenceModel {
    sidecars: BTreeMap<usize, SidecarHistory>,
    pod_starts: BTreeMap<PodId, PodStart>,
    true_list: TrueList,
    /// How often each rule was put to the test.
    pub coverage: Coverage,
}

impl ReferenceModel {
    /// A sidecar starts, with no memory of earlier incarnations.
    pub fn sidecar_started(&mut self, sidecar: usize, now: Duration, config: SidecarConfig) {
        self.sidecars
            .insert(sidecar, SidecarHistory::new(config, now));
    }

    /// A sidecar's process ends.
    pub fn sidecar_stopped(&mut self, sidecar: usize) {
        self.sidecars.remove(&sidecar);
    }

    /// A sidecar that stood still runs again: answers that fell due meanwhile are due now.
    pub fn sidecar_resumed(&mut self, sidecar: usize, now: Duration) {
        let Some(history) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        for request in history.requests.values_mut() {
            request.answer_due = request.answer_due.max(now);
        }
    }

    /// A pod starts; `capacity` is how many requests a second it can serve when warm.
    pub fn pod_started(&mut self, pod: PodId, at: Duration, capacity: f64) {
        self.pod_starts.insert(pod, PodStart::new(at, capacity));
    }

    /// The list service holds this list from now on.
    pub fn list_changed(&mut self, now: Duration, endpoints: Vec<Endpoint>) {
        self.true_list.record(now, endpoints);
    }

    /// Something was heard of the endpoint list, if only that nothing has changed.
    pub fn list_heard(&mut self, sidecar: usize, now: Duration) {
        if let Some(history) = self.sidecars.get_mut(&sidecar) {
            history.list_heard_at = now;
        }
    }

    /// The decisions refused the first byte of an attempt.
    pub fn attempt_withheld(&mut self, sidecar: usize, now: Duration, pod: PodId) {
        let is_past_grace = self
            .sidecars
            .get(&sidecar)
            .is_some_and(|history| history.knows_past_grace(pod, now));
        self.coverage.withheld += 1;
        self.coverage.withheld_past_grace += usize::from(is_past_grace);
    }

    /// A sidecar is given events, which makes a new turn.
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

    /// Checks the actions of a sidecar, and records them.
    ///
    /// # Errors
    ///
    /// The first rule that they break.
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
                        history.list_asked_at = now;
                        history.list_call_failed = false;
                    }
                    Ok(())
                }
                _ => Ok(()),
            };
            checked.map_err(|broken| broken.by(sidecar, now))?;
        }
        Ok(())
    }

    /// Checks that no request is overdue. Those of `excused` sidecars are left out, which did not run.
    ///
    /// # Errors
    ///
    /// The first request that has no answer though its deadline has passed.
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
                one_answer::check_overdue(request, now)
                    .map_err(|broken| broken.by(*sidecar, now))?;
            }
        }
        Ok(())
    }

    /// Checks the first byte of an attempt as it leaves. Rules 4 and 5 count attempts when they are decided on, which
    /// comes first: attempts that never begin are counted too, so the rules are no easier.
    ///
    /// # Errors
    ///
    /// The rule that it breaks.
    pub fn check_first_byte(
        &mut self,
        sidecar: usize,
        now: Duration,
        request: RequestId,
        index: AttemptIndex,
        redialled: bool,
    ) -> Result<(), Violation> {
        self.coverage.redials += usize::from(redialled);
        let Some(history) = self.sidecars.get(&sidecar) else {
            return Ok(());
        };
        let attempt = history
            .requests
            .get(&request)
            .and_then(|request| request.attempts.get(usize::from(index.0)));
        let Some(attempt) = attempt else {
            let description = format!("{index:?} of {request:?} was never decided on");
            return Err(RuleBroken::new(Rule::OneAnswer, description).by(sidecar, now));
        };
        let first_byte = FirstByte {
            sidecar: history,
            request,
            index,
            attempt,
            now,
        };
        draining::check_first_byte(&first_byte, &self.true_list, &mut self.coverage)
            .map_err(|broken| broken.by(sidecar, now))
    }

    fn check_answer(
        &mut self,
        sidecar: usize,
        now: Duration,
        request: RequestId,
        is_rejection: bool,
    ) -> Result<(), RuleBroken> {
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
        self.coverage.answers_after_run += usize::from(may_have_run);
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
    ) -> Result<(), RuleBroken> {
        let history = self.sidecars.get(&sidecar).ok_or_else(unknown_sidecar)?;
        let request_history = history
            .requests
            .get(&request)
            .ok_or_else(|| unknown_request(request))?;
        let endpoint = history.endpoint(pod).cloned().ok_or_else(|| {
            RuleBroken::new(Rule::Draining, format!("{pod:?} was in no endpoint list"))
        })?;
        let attempt = ProposedAttempt {
            sidecar: history,
            request: request_history,
            endpoint: &endpoint,
            now,
        };
        one_answer::check_attempt(&attempt)?;
        repeated_effect::check_attempt(&attempt, &mut self.coverage)?;
        draining::check_attempt(&attempt, &self.true_list, &mut self.coverage)?;
        exposure::check_attempt(&attempt, &mut self.coverage)?;
        // Last, as it counts the attempts of all sidecars that pass the other rules.
        if let Some(start) = self.pod_starts.get_mut(&pod) {
            slow_start::check_attempt(&attempt, start, &mut self.coverage)?;
        }
        let recorded = AttemptHistory {
            expired_lease: endpoint_lease::assess(&attempt),
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
    ) -> Result<(), RuleBroken> {
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
    if result.request_over {
        record_over(history, result.request);
    }
}

fn record_over(history: &mut SidecarHistory, request: RequestId) {
    let turn = history.turn;
    if let Some(request) = history.requests.get_mut(&request) {
        request.over_turn = request.over_turn.or(Some(turn));
    }
}

fn record_stage(
    history: &mut SidecarHistory,
    coverage: &mut Coverage,
    now: Duration,
    update: &StageUpdate,
) {
    let before = exposure::binding_cap(history, update.build, now);
    let is_lowered = before.is_some_and(|before| update.cap < before.cap);
    coverage.lowered_caps += usize::from(is_lowered);
    history.stages.push(StageRecord {
        learned_at: now,
        update: *update,
    });
}

fn unknown_sidecar() -> RuleBroken {
    RuleBroken::new(
        Rule::OneAnswer,
        "a sidecar acts that does not run".to_owned(),
    )
}

fn unknown_request(request: RequestId) -> RuleBroken {
    RuleBroken::new(Rule::OneAnswer, format!("{request:?} never arrived"))
}
