//! Rule 1: each request that a sidecar accepts is answered once and in time, and no attempt for it arrives at a pod afterwards.

use crate::record::{AttemptKey, Event, PodId, RecordLine, RuleLimits, SidecarId};
use crate::report::{format_milliseconds, Rule, RuleResult, Violations};
use crate::stalls::RecorderStalls;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) fn check(
    lines: &[RecordLine],
    limits: &RuleLimits,
    stalls: &RecorderStalls,
) -> RuleResult {
    let mut check = OneAnswer {
        limits,
        stalls,
        attempts: BTreeMap::new(),
        suspended: BTreeSet::new(),
        exited: BTreeSet::new(),
        draining: BTreeSet::new(),
        min_time_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// A client's attempt, and what is known of its answer.
struct ClientAttempt {
    sidecar: SidecarId,
    /// Whether it was written while the sidecar was suspended: the sidecar reads it only after resuming, and can't know how long the
    /// client has waited by then.
    sent_while_suspended: bool,
    timeout: Duration,
    deadline: Duration,
    /// When it was answered or abandoned; no attempt may arrive at a pod after this.
    ended: Option<Duration>,
    answers: usize,
    /// When its streamed answer started, if it is streamed.
    answer_started: Option<Duration>,
    reached_pod: bool,
}

impl ClientAttempt {
    /// Marks it as ended, unless it has ended before.
    fn end(&mut self, at: Duration) {
        self.ended = self.ended.or(Some(at));
    }
}

struct OneAnswer<'a> {
    limits: &'a RuleLimits,
    stalls: &'a RecorderStalls,
    attempts: BTreeMap<AttemptKey, ClientAttempt>,
    /// An answer that is due while its sidecar is suspended is due when the sidecar resumes.
    suspended: BTreeSet<SidecarId>,
    exited: BTreeSet<SidecarId>,
    draining: BTreeSet<SidecarId>,
    min_time_left: Option<Duration>,
    violations: Violations,
}

impl OneAnswer<'_> {
    fn observe(&mut self, line: &RecordLine) {
        let at = line.at;
        match &line.event {
            Event::RequestSent {
                sidecar,
                attempt,
                timeout,
                ..
            } => self.request_sent(at, *sidecar, *attempt, *timeout),
            Event::Answered { attempt, .. } => self.answered(at, *attempt),
            Event::AnswerStarted { attempt, .. } => self.answer_started(at, *attempt),
            Event::UnexpectedAnswer { sidecar, attempt } => {
                let last = format_last_attempt(attempt.as_ref());
                let text = format!("{sidecar} sent words that nobody waited for, after {last}");
                self.violations.add(at, text);
            }
            Event::ClientTimedOut { attempt } => self.client_timed_out(at, *attempt),
            Event::ConnectionLost { attempt, written } => {
                self.connection_lost(at, *attempt, *written);
            }
            Event::ClientDisconnected { attempt } => {
                if let Some(state) = self.attempts.get_mut(attempt) {
                    state.end(at);
                }
            }
            Event::AttemptArrived {
                attempt,
                sidecar,
                pod,
                ..
            } => self.attempt_arrived(at, *attempt, *sidecar, *pod),
            Event::SidecarSuspended { sidecar } => {
                self.suspended.insert(*sidecar);
            }
            Event::SidecarResumed { sidecar } => self.sidecar_resumed(at, *sidecar),
            Event::SidecarDraining { sidecar } => {
                self.draining.insert(*sidecar);
            }
            Event::SidecarStarted { sidecar } => {
                self.exited.remove(sidecar);
                self.draining.remove(sidecar);
            }
            Event::SidecarExited { sidecar } => self.sidecar_exited(at, *sidecar),
            Event::End {} => self.day_ended(at),
            _ => {}
        }
    }

    /// How long after its deadline an answer may be recorded.
    fn tolerance(&self, at: Duration) -> Duration {
        self.limits.answer_slack + self.stalls.tolerance(at)
    }

    fn request_sent(
        &mut self,
        at: Duration,
        sidecar: SidecarId,
        attempt: AttemptKey,
        timeout: Duration,
    ) {
        // A sidecar that had exited can't have accepted the request.
        let ended = self.exited.contains(&sidecar).then_some(at);
        let state = ClientAttempt {
            sidecar,
            sent_while_suspended: self.suspended.contains(&sidecar),
            timeout,
            deadline: at.saturating_add(timeout),
            ended,
            answers: 0,
            answer_started: None,
            reached_pod: false,
        };
        self.attempts.insert(attempt, state);
    }

    fn answered(&mut self, at: Duration, attempt: AttemptKey) {
        let state = self.attempts.get_mut(&attempt);
        // Only the start of a stream has to be in time; its rest depends on the client and the pod.
        if let Some(state) =
            state.filter(|state| state.answer_started.is_some() && state.answers == 1)
        {
            state.answers = 2;
            state.ended = Some(at);
            return;
        }
        self.check_first_bytes(at, attempt);
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.answer_started = None;
            state.end(at);
        }
    }

    fn answer_started(&mut self, at: Duration, attempt: AttemptKey) {
        self.check_first_bytes(at, attempt);
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.answer_started = Some(at);
        }
    }

    /// Counts an answer, and checks that it is in time.
    fn check_first_bytes(&mut self, at: Duration, attempt: AttemptKey) {
        let tolerance = self.tolerance(at);
        let Some(state) = self.attempts.get_mut(&attempt) else {
            let text = format!("{attempt} was answered and never asked");
            self.violations.add(at, text);
            return;
        };
        state.answers += 1;
        if state.answers > 1 {
            let text = format!("{attempt} was answered {} times", state.answers);
            self.violations.add(at, text);
        }
        let latest = state.deadline + tolerance;
        if at > latest {
            let late = format_milliseconds(at - latest);
            let text = format!("{attempt} was answered {late} late");
            self.violations.add(at, text);
        }
        let left = latest.saturating_sub(at);
        self.min_time_left = Some(self.min_time_left.map_or(left, |least| least.min(left)));
    }

    fn client_timed_out(&mut self, at: Duration, attempt: AttemptKey) {
        let tolerance = self.tolerance(at);
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if state.answer_started.is_some() {
            state.end(at);
            return;
        }
        // A suspension extends the sidecar's deadline beyond the client's timeout. A sidecar can't have answered at the moment at which
        // it resumes.
        let excused = self.suspended.contains(&state.sidecar) || at <= state.deadline + tolerance;
        if excused {
            state.ended = Some(at);
        } else if state.ended.is_none() {
            state.ended = Some(at);
            let text = format!("{attempt} had no answer within its time");
            self.violations.add(at, text);
        }
    }

    fn connection_lost(&mut self, at: Duration, attempt: AttemptKey, written: bool) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if state.answer_started.is_some() {
            state.end(at);
            return;
        }
        // The sidecar never received the request, so no answer is due.
        if !written {
            self.attempts.remove(&attempt);
            return;
        }
        // A request that reaches a draining sidecar as it closes an idle connection counts as not accepted, unless it arrived at a pod.
        let accepted = state.reached_pod || !self.draining.contains(&state.sidecar);
        if state.ended.is_none() && accepted {
            state.ended = Some(at);
            let text = format!("{attempt}: a running sidecar dropped it without an answer");
            self.violations.add(at, text);
        }
    }

    fn attempt_arrived(
        &mut self,
        at: Duration,
        attempt: AttemptKey,
        sidecar: SidecarId,
        pod: PodId,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        state.reached_pod = true;
        let Some(ended) = state.answer_started.or(state.ended) else {
            return;
        };
        if at > ended + self.stalls.tolerance(at) {
            let late = format_milliseconds(at - ended);
            let text = format!("{sidecar} sent {attempt} to {pod} {late} after its end");
            self.violations.add(at, text);
        }
    }

    fn sidecar_resumed(&mut self, at: Duration, sidecar: SidecarId) {
        self.suspended.remove(&sidecar);
        let unanswered = self
            .attempts
            .values_mut()
            .filter(|state| state.sidecar == sidecar && state.ended.is_none());
        for state in unanswered {
            let mut earliest = at;
            if state.sent_while_suspended {
                state.sent_while_suspended = false;
                earliest = at.saturating_add(state.timeout);
            }
            state.deadline = state.deadline.max(earliest);
        }
    }

    /// No answer is due any more for requests of a process that has exited.
    fn sidecar_exited(&mut self, at: Duration, sidecar: SidecarId) {
        self.exited.insert(sidecar);
        for state in self.attempts.values_mut() {
            if state.sidecar == sidecar {
                state.end(at);
            }
        }
    }

    fn day_ended(&mut self, at: Duration) {
        let tolerance = self.tolerance(at);
        for (attempt, state) in &self.attempts {
            let unanswered = state.ended.is_none() && state.answer_started.is_none();
            let accepted = state.reached_pod || !self.draining.contains(&state.sidecar);
            if unanswered && accepted && at > state.deadline + tolerance {
                let text = format!("{attempt} never had an answer");
                self.violations.add(at, text);
            }
        }
    }

    fn finish(self) -> RuleResult {
        let margin = self.min_time_left.map_or("-".into(), |left| {
            format!("{} left", format_milliseconds(left))
        });
        RuleResult {
            rule: Rule::OneAnswer,
            checked: self.attempts.len(),
            case: "hits taken",
            margin,
            violations: self.violations.into_vec(),
        }
    }
}

/// Formats the last attempt of a connection for a violation.
fn format_last_attempt(attempt: Option<&AttemptKey>) -> String {
    attempt.map_or("None".into(), |attempt| format!("Some({attempt})"))
}
