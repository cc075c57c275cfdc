//! The requests in flight: each one gets exactly one final response, and each of its attempts ends
//! exactly once.

use limewing_decision::interface::{AttemptIndex, AttemptOutcome, AttemptResult, PodId, RequestId};
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A request without a final response, or with an active attempt. `T` is its protocol-specific
/// state.
#[derive(Debug)]
pub struct InFlightRequest<T> {
    /// The socket of the client; `None` once the client has disconnected.
    pub client: Option<SocketId>,
    /// The deadline for the final response, on the monotonic clock of the sidecar.
    pub deadline: Duration,
    /// Whether it has its final response.
    pub completed: bool,
    /// Whether an attempt has ended that may have run.
    pub may_have_run: bool,
    /// All attempts, indexed by [`AttemptIndex`].
    pub attempts: Vec<Attempt>,
    /// The protocol-specific state.
    pub protocol_state: T,
}

impl<T> InFlightRequest<T> {
    fn active_attempts(&self) -> impl Iterator<Item = (AttemptIndex, &Attempt)> {
        (0..)
            .map(AttemptIndex)
            .zip(&self.attempts)
            .filter(|(_, attempt)| !attempt.ended)
    }
}

/// One attempt to get a response from a pod.
#[derive(Debug)]
pub struct Attempt {
    /// The pod to which it is sent.
    pub pod: PodId,
    /// When it was started, on the monotonic clock of the sidecar.
    pub sent_at: Duration,
    /// Its connection, if one is assigned.
    pub connection: Option<SocketId>,
    /// The timer that limits its next step.
    pub timer: Option<TimerKey>,
    /// Whether its outcome is known.
    pub ended: bool,
}

/// An active attempt with its request, pod and connection.
pub type ActiveAttempt = (RequestId, AttemptIndex, PodId, Option<SocketId>);

/// All requests in flight; identifiers are assigned in ascending order from 0.
#[derive(Debug)]
pub struct InFlightRequests<T> {
    requests: FxHashMap<RequestId, InFlightRequest<T>>,
    next_id: u64,
}

impl<T> Default for InFlightRequests<T> {
    fn default() -> Self {
        Self {
            requests: FxHashMap::default(),
            next_id: 0,
        }
    }
}

/// The effects of ending an attempt.
#[derive(Debug)]
pub struct EndedAttempt<T> {
    /// The result to report to the decision engine.
    pub result: AttemptResult,
    /// The timer of the attempt, which the caller must cancel.
    pub timer: Option<TimerKey>,
    /// The request, if ending the attempt removed it.
    pub completed_request: Option<InFlightRequest<T>>,
}

impl<T> InFlightRequests<T> {
    /// Adds a request and returns its identifier.
    pub fn insert(&mut self, client: SocketId, deadline: Duration, protocol_state: T) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = InFlightRequest {
            client: Some(client),
            deadline,
            completed: false,
            may_have_run: false,
            attempts: Vec::new(),
            protocol_state,
        };
        self.requests.insert(id, request);
        id
    }

    /// Returns a request, completed or not.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest<T>> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to a request, completed or not.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest<T>> {
        self.requests.get_mut(&id)
    }

    /// Returns a mutable reference to a request without a final response.
    pub fn pending_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest<T>> {
        self.requests
            .get_mut(&id)
            .filter(|request| !request.completed)
    }

    /// Returns the identifiers of the requests without a final response, in ascending order.
    #[must_use]
    pub fn pending_ids(&self) -> Vec<RequestId> {
        let mut pending: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.completed)
            .map(|(id, _)| *id)
            .collect();
        pending.sort_unstable();
        pending
    }

    /// Whether any request has no final response.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.requests.values().any(|request| !request.completed)
    }

    /// Returns the active attempts of all requests, in ascending order.
    #[must_use]
    pub fn active_attempts(&self) -> Vec<ActiveAttempt> {
        let mut active = Vec::new();
        for (id, request) in &self.requests {
            for (index, attempt) in request.active_attempts() {
                active.push((*id, index, attempt.pod, attempt.connection));
            }
        }
        active.sort_unstable();
        active
    }

    /// Returns the active attempts of one request, with their connections.
    #[must_use]
    pub fn active_attempts_of(&self, id: RequestId) -> Vec<(AttemptIndex, Option<SocketId>)> {
        self.requests
            .get(&id)
            .into_iter()
            .flat_map(InFlightRequest::active_attempts)
            .map(|(index, attempt)| (index, attempt.connection))
            .collect()
    }

    /// Returns the pods with active attempts, once per attempt, in no particular order.
    pub fn pods_with_attempts(&self) -> impl Iterator<Item = PodId> + '_ {
        self.requests
            .values()
            .flat_map(InFlightRequest::active_attempts)
            .map(|(_, attempt)| attempt.pod)
    }

    /// Returns the number of requests added so far.
    #[must_use]
    pub fn total_accepted(&self) -> u64 {
        self.next_id
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns an attempt, ended or not.
    #[must_use]
    pub fn attempt(&self, id: RequestId, index: AttemptIndex) -> Option<&Attempt> {
        self.requests.get(&id)?.attempts.get(usize::from(index.0))
    }

    /// Returns a mutable reference to an attempt that has not ended.
    pub fn active_attempt_mut(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
    ) -> Option<&mut Attempt> {
        self.requests
            .get_mut(&id)?
            .attempts
            .get_mut(usize::from(index.0))
            .filter(|attempt| !attempt.ended)
    }

    /// Ends an attempt. Returns `None` if it had already ended or its request is unknown.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        outcome: AttemptOutcome,
        now: Duration,
    ) -> Option<EndedAttempt<T>> {
        let request = self.requests.get_mut(&id)?;
        let request_closed = request.completed;
        let attempt = request
            .attempts
            .get_mut(usize::from(index.0))
            .filter(|attempt| !attempt.ended)?;
        request.may_have_run |= !outcome.never_ran();
        attempt.ended = true;
        attempt.connection = None;
        let timer = attempt.timer.take();
        let result = AttemptResult {
            request: id,
            attempt: index,
            pod: attempt.pod,
            outcome,
            duration: now.saturating_sub(attempt.sent_at),
            request_closed,
        };
        Some(EndedAttempt {
            result,
            timer,
            completed_request: self.remove_if_complete(id),
        })
    }

    /// Removes and returns a request that has its final response and no active attempt.
    pub fn remove_if_complete(&mut self, id: RequestId) -> Option<InFlightRequest<T>> {
        let request = self.requests.get(&id)?;
        if !request.completed || request.active_attempts().next().is_some() {
            return None;
        }
        self.requests.remove(&id)
    }
}
