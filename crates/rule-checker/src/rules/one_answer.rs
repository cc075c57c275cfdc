//! Rule 1: each request that a sidecar takes gets one answer within its time, and nothing is sent for it afterwards.

use crate::record::{AttemptKey, Event, PodId, RecordLine, RuleLimits, SidecarId};
use crate::report::{milliseconds, Rule, RuleResult, Violations};
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
        least_time_left: None,
        violations: Violations::default(),
    };
    for line in lines {
        check.observe(line);
    }
    check.finish()
}

/// What a client waits for.
struct ClientAttempt {
    sidecar: SidecarId,
    /// Written while the sidecar was suspended: it takes the request when it resumes at the earliest, and can't know how long the
    /// client has waited by then.
    sent_while_suspended: bool,
    timeout: Duration,
    deadline: Duration,
    /// When it was answered or given up; nothing may be sent for it any more.
    ended: Option<Duration>,
    answers: usize,
    /// When its streamed answer started.
    answer_started: Option<Duration>,
    forwarded: bool,
}

impl ClientAttempt {
    /// Ends it, unless it has ended before.
    fn end(&mut self, at: Duration) {
        self.ended = self.ended.or(Some(at));
    }
}

struct OneAnswer<'a> {
    limits: &'a RuleLimits,
    stalls: &'a RecorderStalls,
    attempts: BTreeMap<AttemptKey, ClientAttempt>,
    /// What falls due while a sidecar is suspended is owed once it resumes.
    suspended: BTreeSet<SidecarId>,
    exited: BTreeSet<SidecarId>,
    draining: BTreeSet<SidecarId>,
    least_time_left: Option<Duration>,
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
                let last = last_attempt(attempt.as_ref());
                let text = format!("{sidecar} sent words that nobody waited for, after {last}");
                self.violations.add(at, text);
            }
            Event::ClientTimedOut { attempt } => self.client_timed_out(at, *attempt),
            Event::ConnectionLost { attempt, written } => {
                self.connection_lost(at, *attempt, *written);
            }
            Event::ClientDisconnected { attempt } => {
                if let Some(open) = self.attempts.get_mut(attempt) {
                    open.end(at);
                }
            }
            Event::ForwardArrived {
                attempt,
                sidecar,
                pod,
                ..
            } => self.forward_arrived(at, *attempt, *sidecar, *pod),
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

    /// How much later than its deadline an answer may be recorded.
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
        // Nobody took what was written to a process that had exited.
        let ended = self.exited.contains(&sidecar).then_some(at);
        let open = ClientAttempt {
            sidecar,
            sent_while_suspended: self.suspended.contains(&sidecar),
            timeout,
            deadline: at.saturating_add(timeout),
            ended,
            answers: 0,
            answer_started: None,
            forwarded: false,
        };
        self.attempts.insert(attempt, open);
    }

    fn answered(&mut self, at: Duration, attempt: AttemptKey) {
        let open = self.attempts.get_mut(&attempt);
        // A stream that has started is in time: what follows is up to the client and the pod.
        if let Some(open) = open.filter(|open| open.answer_started.is_some() && open.answers == 1) {
            open.answers = 2;
            open.ended = Some(at);
            return;
        }
        self.first_bytes(at, attempt);
        if let Some(open) = self.attempts.get_mut(&attempt) {
            open.answer_started = None;
            open.end(at);
        }
    }

    fn answer_started(&mut self, at: Duration, attempt: AttemptKey) {
        self.first_bytes(at, attempt);
        if let Some(open) = self.attempts.get_mut(&attempt) {
            open.answer_started = Some(at);
        }
    }

    /// Counts an answer, and checks that it comes in time.
    fn first_bytes(&mut self, at: Duration, attempt: AttemptKey) {
        let tolerance = self.tolerance(at);
        let Some(open) = self.attempts.get_mut(&attempt) else {
            let text = format!("{attempt} was answered and never asked");
            self.violations.add(at, text);
            return;
        };
        open.answers += 1;
        if open.answers > 1 {
            let text = format!("{attempt} was answered {} times", open.answers);
            self.violations.add(at, text);
        }
        let latest = open.deadline + tolerance;
        if at > latest {
            let late = milliseconds(at - latest);
            let text = format!("{attempt} was answered {late} late");
            self.violations.add(at, text);
        }
        let left = latest.saturating_sub(at);
        self.least_time_left = Some(self.least_time_left.map_or(left, |least| least.min(left)));
    }

    fn client_timed_out(&mut self, at: Duration, attempt: AttemptKey) {
        let tolerance = self.tolerance(at);
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if open.answer_started.is_some() {
            open.end(at);
            return;
        }
        // The client's time was up before the sidecar's, which was suspended for a part of it. At the very moment at which it
        // resumes, it could not have answered yet.
        let excused = self.suspended.contains(&open.sidecar) || at <= open.deadline + tolerance;
        if excused {
            open.ended = Some(at);
        } else if open.ended.is_none() {
            open.ended = Some(at);
            let text = format!("{attempt} had no answer within its time");
            self.violations.add(at, text);
        }
    }

    fn connection_lost(&mut self, at: Duration, attempt: AttemptKey, written: bool) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if open.answer_started.is_some() {
            open.end(at);
            return;
        }
        // The sidecar never had it, so that no answer is owed.
        if !written {
            self.attempts.remove(&attempt);
            return;
        }
        // What reaches a draining sidecar as it closes an idle connection was not taken, unless it was forwarded.
        let taken = open.forwarded || !self.draining.contains(&open.sidecar);
        if open.ended.is_none() && taken {
            open.ended = Some(at);
            let text = format!("{attempt}: a running sidecar dropped it without an answer");
            self.violations.add(at, text);
        }
    }

    fn forward_arrived(
        &mut self,
        at: Duration,
        attempt: AttemptKey,
        sidecar: SidecarId,
        pod: PodId,
    ) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        open.forwarded = true;
        let Some(ended) = open.answer_started.or(open.ended) else {
            return;
        };
        if at > ended + self.stalls.tolerance(at) {
            let late = milliseconds(at - ended);
            let text = format!("{sidecar} sent {attempt} to {pod} {late} after its end");
            self.violations.add(at, text);
        }
    }

    fn sidecar_resumed(&mut self, at: Duration, sidecar: SidecarId) {
        self.suspended.remove(&sidecar);
        let unanswered = self
            .attempts
            .values_mut()
            .filter(|open| open.sidecar == sidecar && open.ended.is_none());
        for open in unanswered {
            let mut earliest = at;
            if open.sent_while_suspended {
                open.sent_while_suspended = false;
                earliest = at.saturating_add(open.timeout);
            }
            open.deadline = open.deadline.max(earliest);
        }
    }

    /// What a process held that has exited is not owed any more.
    fn sidecar_exited(&mut self, at: Duration, sidecar: SidecarId) {
        self.exited.insert(sidecar);
        for open in self.attempts.values_mut() {
            if open.sidecar == sidecar {
                open.end(at);
            }
        }
    }

    fn day_ended(&mut self, at: Duration) {
        let tolerance = self.tolerance(at);
        for (attempt, open) in &self.attempts {
            let unanswered = open.ended.is_none() && open.answer_started.is_none();
            let taken = open.forwarded || !self.draining.contains(&open.sidecar);
            if unanswered && taken && at > open.deadline + tolerance {
                let text = format!("{attempt} never had an answer");
                self.violations.add(at, text);
            }
        }
    }

    fn finish(self) -> RuleResult {
        let margin = self
            .least_time_left
            .map_or("-".into(), |left| format!("{} left", milliseconds(left)));
        RuleResult {
            rule: Rule::OneAnswer,
            checked: self.attempts.len(),
            case: "hits taken",
            margin,
            violations: self.violations.into_vec(),
        }
    }
}

/// The words for the attempt that a connection carried last.
fn last_attempt(attempt: Option<&AttemptKey>) -> String {
    attempt.map_or("None".into(), |attempt| format!("Some({attempt})"))
}
