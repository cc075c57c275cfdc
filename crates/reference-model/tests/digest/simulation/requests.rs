//! Requests and their attempts, as seen by the sidecar's host.

use super::{ms, Attempt, OpenRequest, ScheduledEvent, Simulation, REQUESTS_PER_SECOND, STEP};
use crate::action_counts::ActionCounts;
use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, ClassId, Event, PodId, Request, RequestId,
    RoutingKey, TenantId,
};
use limewing_test_support::digest::Digest;
use rand::RngExt;
use std::time::Duration;

impl Simulation {
    pub(super) fn request_arrives(&mut self) {
        let wait = -self.rng.random_range(1e-9..1.0_f64).ln()
            / (REQUESTS_PER_SECOND * self.overload.min(4.0));
        self.schedule_in(Duration::from_secs_f64(wait), ScheduledEvent::Arrival);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let class = [0, 0, 0, 1, 1, 2, 2, 3][self.rng.random_range(0..8)];
        let has_key = self.rng.random_bool(0.6);
        let key = has_key.then(|| RoutingKey(self.rng.random_range(1..80)));
        let has_tenant = self.rng.random_bool(0.9);
        let tenant = has_tenant.then(|| TenantId(self.rng.random_range(0..4)));
        let timeout = self.config.classes[class].client_timeout;
        let deadline = self.now + timeout.mul_f64(self.rng.random_range(0.3..1.0));
        let open = OpenRequest {
            class,
            deadline,
            ended: Vec::new(),
            is_over: false,
            is_streaming: false,
        };
        self.requests.insert(id, open);
        self.events.push(Event::RequestArrived(Request {
            id,
            class: ClassId(class as u16),
            tenant,
            routing_key: key,
            deadline,
        }));
        if self.rng.random_bool(0.03) {
            let wait = self.draw_wait(10, 400);
            self.schedule_in(
                wait,
                ScheduledEvent::ClientDisconnects(self.incarnation, id),
            );
        }
        let wait = deadline + ms(40) - self.now;
        self.schedule_in(
            wait,
            ScheduledEvent::ClientDisconnects(self.incarnation, id),
        );
    }

    pub(super) fn start_attempt(&mut self, request: RequestId, pod: PodId) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let index = AttemptIndex(open.ended.len() as u16);
        let exceeds_max_attempts = index.0 >= self.config.max_attempts;
        let never_sent =
            open.is_over || open.is_streaming || exceeds_max_attempts || self.now >= open.deadline;
        open.ended.push(never_sent);
        let deadline = open.deadline;
        let attempt = Attempt {
            incarnation: self.incarnation,
            request,
            index,
            pod,
        };
        if never_sent {
            return self.report_result(attempt, AttemptOutcome::NeverSent, STEP);
        }
        self.schedule_in(
            deadline.saturating_sub(self.now),
            ScheduledEvent::AttemptTimesOut(attempt),
        );
        let needs_connection = self.rng.random_bool(0.15);
        let wait = if needs_connection {
            self.draw_wait(5, 900)
        } else {
            Duration::ZERO
        };
        self.schedule_in(wait, ScheduledEvent::ConnectionReady(attempt));
    }

    pub(super) fn cancel_attempt(&mut self, request: RequestId, index: AttemptIndex) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(ended) = open.ended.get_mut(usize::from(index.0)) else {
            return;
        };
        if *ended || open.is_streaming {
            return;
        }
        *ended = true;
        let attempt = Attempt {
            incarnation: self.incarnation,
            request,
            index,
            pod: PodId(0),
        };
        self.report_result(attempt, AttemptOutcome::Cancelled, STEP);
    }

    /// Sends an attempt on its established connection, if the engine still allows it.
    pub(super) fn connection_ready(
        &mut self,
        attempt: Attempt,
        digest: &mut Digest,
        counts: &mut ActionCounts,
    ) {
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get(&attempt.request) else {
            return;
        };
        if open.ended[usize::from(attempt.index.0)] {
            return;
        }
        if open.is_over || open.is_streaming || self.now >= open.deadline {
            return self.attempt_ends(attempt, AttemptOutcome::NeverSent);
        }
        let Some(server_index) = self
            .server_of(attempt.pod)
            .filter(|index| self.servers[*index].is_running)
        else {
            let wait = [ms(2), ms(250)][usize::from(self.rng.random_bool(0.5))];
            return self.schedule_in(
                wait,
                ScheduledEvent::AttemptEnds(attempt, AttemptOutcome::ConnectFailed),
            );
        };
        let allowed = self
            .sidecar
            .may_send_first_byte(self.now, attempt.request, attempt.index);
        digest.number(8);
        digest.number(u64::from(allowed));
        if !allowed {
            counts.refused_starts += 1;
            return self.attempt_ends(attempt, AttemptOutcome::NeverSent);
        }
        self.reaches_server(server_index, attempt);
    }

    pub(super) fn attempt_ends(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        let reached_server = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::ConnectionReset
        );
        if let Some(server_index) = self.server_of(attempt.pod).filter(|_| reached_server) {
            self.servers[server_index].in_flight =
                self.servers[server_index].in_flight.saturating_sub(1);
        }
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let index = usize::from(attempt.index.0);
        if open.ended[index] || (open.is_streaming && outcome == AttemptOutcome::TimedOut) {
            return;
        }
        let is_stream_class = self.config.classes[open.class].streaming;
        if is_stream_class
            && outcome == AttemptOutcome::Succeeded
            && !open.is_over
            && !open.is_streaming
        {
            open.is_streaming = true;
            self.events.push(Event::StreamStarted {
                request: attempt.request,
            });
            let stream_outcome = [AttemptOutcome::Succeeded, AttemptOutcome::ConnectionReset]
                [usize::from(self.rng.random_bool(0.2))];
            let wait = self.draw_wait(20, 800);
            return self.schedule_in(wait, ScheduledEvent::StreamEnds(attempt, stream_outcome));
        }
        open.ended[index] = true;
        let outcome = match outcome {
            AttemptOutcome::Succeeded if open.is_streaming => AttemptOutcome::Cancelled,
            outcome => outcome,
        };
        open.is_over |= outcome == AttemptOutcome::Succeeded;
        let duration = self.draw_wait(20, 400);
        self.report_result(attempt, outcome, duration);
    }

    pub(super) fn stream_ends(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        open.is_over = true;
        open.ended[usize::from(attempt.index.0)] = true;
        self.report_result(attempt, outcome, ms(60));
    }

    pub(super) fn client_disconnects(&mut self, incarnation: u32, request: RequestId) {
        if incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if !open.is_over {
            open.is_over = true;
            self.events.push(Event::ClientDisconnected(request));
        }
    }

    pub(super) fn report_result(
        &mut self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        duration: Duration,
    ) {
        let request_closed = self
            .requests
            .get(&attempt.request)
            .is_some_and(|open| open.is_over);
        let event = Event::AttemptFinished(AttemptResult {
            request: attempt.request,
            attempt: attempt.index,
            pod: attempt.pod,
            outcome,
            duration,
            request_closed,
        });
        self.schedule_in(STEP, ScheduledEvent::Deliver(attempt.incarnation, event));
    }
}
