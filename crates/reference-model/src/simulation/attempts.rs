//! The attempts of a sidecar, from connecting to a pod to reporting the outcome, as seen by the emulated host.

use super::event::{Attempt, ClientRequest, SimulationEvent};
use super::pods::Pod;
use super::{ms, Simulation, STEP};
use crate::mutation::RequestKind;
use crate::violation::Violation;
use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, Event, PodId, RequestId,
};
use rand::RngExt;
use std::time::Duration;

/// The share of attempts that find no idle connection and need a new one.
const NEW_CONNECTION_RATE: f64 = 0.1;
/// The share of connections that break before the first byte, by the number of earlier broken connections.
const CONNECTION_BREAK_RATES: [f64; 4] = [0.05, 0.5, 0.5, 0.0];
/// The range of the time to establish a connection, in milliseconds.
const MIN_CONNECT_MS: u64 = 5;
const MAX_CONNECT_MS: u64 = 1000;
/// The time until a connection to a pod that is not running is refused, and the timeout if there is no reply.
const CONNECT_REFUSAL_DELAY: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The duration in attempt results. The runs do not test how the engine uses it.
const REPORTED_DURATION: Duration = Duration::from_millis(50);
/// A placeholder for the pod in the result of a cancelled attempt.
const NO_POD: PodId = PodId(0);

/// A request in progress at a sidecar's host.
pub(super) struct OpenRequest {
    pub(super) client_request: ClientRequest,
    pub(super) deadline: Duration,
    /// Whether each attempt has ended, by attempt index.
    attempts_ended: Vec<bool>,
    pub(super) is_over: bool,
    is_streaming: bool,
}

/// An established connection, for one attempt.
pub(super) struct ReadyConnection {
    attempt: Attempt,
    /// The number of earlier connections that broke during this attempt.
    broken_connections: u8,
}

impl OpenRequest {
    pub(super) fn new(client_request: ClientRequest, deadline: Duration) -> Self {
        Self {
            client_request,
            deadline,
            attempts_ended: Vec::new(),
            is_over: false,
            is_streaming: false,
        }
    }

    pub(super) fn kind(&self) -> RequestKind {
        RequestKind {
            class: self.client_request.class,
            routing_key: self.client_request.routing_key,
        }
    }

    /// Whether no further attempt of the request may be sent.
    fn is_closed(&self, now: Duration) -> bool {
        self.is_over || self.is_streaming || now >= self.deadline
    }
}

impl Simulation {
    pub(super) fn start_attempt(&mut self, sidecar: usize, request: RequestId, pod: PodId) {
        let sidecar_ref = self.current_incarnation(sidecar);
        let Some(open) = self.sidecars[sidecar].requests.get_mut(&request) else {
            return;
        };
        let index = AttemptIndex(open.attempts_ended.len() as u16);
        let never_sent = open.is_closed(self.now) || index.0 >= self.config.max_attempts;
        open.attempts_ended.push(never_sent);
        let is_over = open.is_over;
        let deadline = open.deadline;
        let attempt = Attempt {
            sidecar: sidecar_ref,
            request,
            index,
            class: open.client_request.class,
            pod,
        };
        if never_sent {
            return self.report_result(&attempt, AttemptOutcome::NeverSent, is_over, STEP);
        }
        self.schedule(deadline, SimulationEvent::AttemptTimesOut(attempt.clone()));
        self.acquire_connection(attempt, 0);
    }

    pub(super) fn cancel_attempt(
        &mut self,
        sidecar: usize,
        request: RequestId,
        index: AttemptIndex,
    ) {
        let sidecar_ref = self.current_incarnation(sidecar);
        let Some(open) = self.sidecars[sidecar].requests.get_mut(&request) else {
            return;
        };
        let Some(ended) = open.attempts_ended.get_mut(usize::from(index.0)) else {
            return;
        };
        if *ended || open.is_streaming {
            return;
        }
        *ended = true;
        let is_over = open.is_over;
        let attempt = Attempt {
            sidecar: sidecar_ref,
            request,
            index,
            class: open.client_request.class,
            pod: NO_POD,
        };
        self.report_result(&attempt, AttemptOutcome::Cancelled, is_over, STEP);
    }

    /// Gets a connection for an attempt. Most attempts find an idle one, the others open a new one.
    fn acquire_connection(&mut self, attempt: Attempt, broken_connections: u8) {
        if broken_connections == 0 && !self.link_rng.random_bool(NEW_CONNECTION_RATE) {
            let connection = ReadyConnection {
                attempt,
                broken_connections,
            };
            let host = &mut self.sidecars[connection.attempt.sidecar.index];
            return host.ready_connections.push(connection);
        }
        let wait = ms(self.link_rng.random_range(MIN_CONNECT_MS..=MAX_CONNECT_MS));
        let ready = SimulationEvent::ConnectionReady {
            attempt,
            broken_connections,
        };
        self.schedule_in(wait, ready);
    }

    pub(super) fn connection_ready(&mut self, attempt: Attempt, broken_connections: u8) {
        let host = &mut self.sidecars[attempt.sidecar.index];
        if host.incarnation == attempt.sidecar.incarnation {
            host.ready_connections.push(ReadyConnection {
                attempt,
                broken_connections,
            });
        }
    }

    /// Sends the attempts whose connections are established.
    pub(super) fn write_attempts(&mut self, sidecar: usize) -> Result<(), Violation> {
        let ready = std::mem::take(&mut self.sidecars[sidecar].ready_connections);
        for connection in ready {
            self.write_attempt(connection)?;
        }
        Ok(())
    }

    /// Sends an attempt if the engine still allows it. The connection may break before the first byte.
    fn write_attempt(&mut self, connection: ReadyConnection) -> Result<(), Violation> {
        let ReadyConnection {
            attempt,
            broken_connections,
        } = connection;
        let sidecar = attempt.sidecar.index;
        let host = &self.sidecars[sidecar];
        let (Some(engine), Some(open)) = (&host.engine, host.requests.get(&attempt.request)) else {
            return Ok(());
        };
        if open.attempts_ended[usize::from(attempt.index.0)] {
            return Ok(());
        }
        if open.is_closed(self.now) {
            self.attempt_ends(&attempt, AttemptOutcome::NeverSent);
            return Ok(());
        }
        let running = |pod: &Pod| pod.endpoint.pod == attempt.pod && pod.is_running;
        let Some(pod_index) = self.pods.iter().position(running) else {
            self.connect_fails(attempt);
            return Ok(());
        };
        if self.mutation.requests_send_permit(broken_connections)
            && !engine.may_send_first_byte(self.now, attempt.request, attempt.index)
        {
            self.model.attempt_withheld(sidecar, self.now, attempt.pod);
            self.attempt_ends(&attempt, AttemptOutcome::NeverSent);
            return Ok(());
        }
        if self
            .link_rng
            .random_bool(CONNECTION_BREAK_RATES[usize::from(broken_connections)])
        {
            self.acquire_connection(attempt, broken_connections + 1);
            return Ok(());
        }
        self.model.check_first_byte(
            sidecar,
            self.now,
            attempt.request,
            attempt.index,
            broken_connections > 0,
        )?;
        let wait = ms(self.rng.random_range(1..5));
        self.schedule_in(wait, SimulationEvent::ReachesPod { pod_index, attempt });
        Ok(())
    }

    /// Fails the connection to a pod that is not running: it is either refused quickly or times out.
    fn connect_fails(&mut self, attempt: Attempt) {
        let wait = if self.rng.random_bool(0.5) {
            CONNECT_REFUSAL_DELAY
        } else {
            CONNECT_TIMEOUT
        };
        let failure = SimulationEvent::AttemptEnds {
            attempt,
            outcome: AttemptOutcome::ConnectFailed,
        };
        self.schedule_in(wait, failure);
    }

    pub(super) fn attempt_times_out(&mut self, attempt: &Attempt) {
        self.attempt_ends(attempt, AttemptOutcome::TimedOut);
    }

    /// Passes the outcome of an attempt to the host, unless the attempt has already ended there.
    pub(super) fn attempt_ends(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let host = &mut self.sidecars[attempt.sidecar.index];
        if host.incarnation != attempt.sidecar.incarnation {
            return;
        }
        let Some(open) = host.requests.get_mut(&attempt.request) else {
            return;
        };
        let ended = &mut open.attempts_ended[usize::from(attempt.index.0)];
        if *ended || open.is_streaming && outcome == AttemptOutcome::TimedOut {
            return;
        }
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let may_stream = self.config.classes[usize::from(attempt.class.0)].streaming;
        if may_stream && succeeded && !open.is_over {
            // Other attempts of this request run to their end, and their responses are dropped.
            open.is_streaming = true;
            host.inbox.push(Event::StreamStarted {
                request: attempt.request,
            });
            return self.schedule_stream_end(attempt.clone());
        }
        *ended = true;
        let outcome = if open.is_streaming && succeeded {
            AttemptOutcome::Cancelled
        } else {
            outcome
        };
        open.is_over |= outcome == AttemptOutcome::Succeeded;
        let is_over = open.is_over;
        self.report_result(attempt, outcome, is_over, REPORTED_DURATION);
    }

    fn schedule_stream_end(&mut self, attempt: Attempt) {
        let outcome = if self.rng.random_bool(0.2) {
            AttemptOutcome::ConnectionReset
        } else {
            AttemptOutcome::Succeeded
        };
        let wait = ms(self.rng.random_range(20..800));
        self.schedule_in(wait, SimulationEvent::StreamEnds { attempt, outcome });
    }

    pub(super) fn stream_ends(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let host = &mut self.sidecars[attempt.sidecar.index];
        if host.incarnation != attempt.sidecar.incarnation {
            return;
        }
        let Some(open) = host.requests.get_mut(&attempt.request) else {
            return;
        };
        open.is_over = true;
        open.attempts_ended[usize::from(attempt.index.0)] = true;
        self.report_result(attempt, outcome, true, STEP);
    }

    /// Delivers a result to the engine in the next step, or occasionally a few steps later.
    fn report_result(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        request_closed: bool,
        duration: Duration,
    ) {
        let event = Event::AttemptFinished(AttemptResult {
            request: attempt.request,
            attempt: attempt.index,
            pod: attempt.pod,
            outcome,
            duration,
            request_closed,
        });
        let is_late = outcome != AttemptOutcome::TimedOut && self.rng.random_bool(0.02);
        let wait = if is_late {
            ms(self.rng.random_range(5..15))
        } else {
            STEP
        };
        self.schedule_in(wait, SimulationEvent::Deliver(attempt.sidecar, event));
    }
}
