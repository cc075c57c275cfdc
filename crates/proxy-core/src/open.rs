//! The hits that a host holds: each gets one final answer, and each of its forwards ends once.

use limewing_decision::interface::{AttemptIndex, AttemptOutcome, AttemptResult, PodId, RequestId};
use limewing_net::sockets::SocketId;
use limewing_net::wheel::TimerKey;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A hit that is not settled, or still has a forward out; `of` is what its protocol knows of it.
pub struct InFlightRequest<T> {
    pub client: Option<SocketId>,
    pub deadline: Duration,
    pub completed: bool,
    pub attempts: Vec<Attempt>,
    pub protocol_state: T,
}

pub struct Attempt {
    pub pod: PodId,
    pub sent_at: Duration,
    pub connection: Option<SocketId>,
    pub timer: Option<TimerKey>,
    pub ended: bool,
}

pub struct InFlightRequests<T> {
    hits: FxHashMap<RequestId, InFlightRequest<T>>,
    next: u64,
}

impl<T> Default for InFlightRequests<T> {
    fn default() -> Self {
        Self {
            hits: FxHashMap::default(),
            next: 0,
        }
    }
}

/// What came of ending a forward.
pub struct EndedAttempt<T> {
    pub result: AttemptResult,
    /// To be cancelled.
    pub timer: Option<TimerKey>,
    /// The hit, if that was the last of it.
    pub completed_request: Option<T>,
}

impl<T> InFlightRequests<T> {
    pub fn insert(&mut self, client: SocketId, due: Duration, of: T) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let open = InFlightRequest {
            client: Some(client),
            deadline: due,
            completed: false,
            attempts: Vec::new(),
            protocol_state: of,
        };
        self.hits.insert(id, open);
        id
    }

    pub fn get(&self, hit: RequestId) -> Option<&InFlightRequest<T>> {
        self.hits.get(&hit)
    }

    pub fn get_mut(&mut self, hit: RequestId) -> Option<&mut InFlightRequest<T>> {
        self.hits.get_mut(&hit)
    }

    /// One that is not over.
    pub fn pending_mut(&mut self, hit: RequestId) -> Option<&mut InFlightRequest<T>> {
        self.hits.get_mut(&hit).filter(|open| !open.completed)
    }

    /// Those that are not over, in their order.
    pub fn pending_ids(&self) -> Vec<RequestId> {
        let open = self
            .hits
            .iter()
            .filter(|(_, open)| !open.completed)
            .map(|(hit, _)| *hit);
        let mut open: Vec<RequestId> = open.collect();
        open.sort_unstable();
        open
    }

    /// Whether any is not over.
    pub fn has_pending(&self) -> bool {
        self.hits.values().any(|open| !open.completed)
    }

    /// The forwards that are out, in their order, each with its pod and connection.
    pub fn active_attempts(&self) -> Vec<(RequestId, AttemptIndex, PodId, Option<SocketId>)> {
        let of = |(hit, open): (&RequestId, &InFlightRequest<T>)| {
            let (hit, out) = (
                *hit,
                (0..)
                    .zip(&open.attempts)
                    .filter(|(_, forward)| !forward.ended),
            );
            out.map(|(no, forward)| (hit, AttemptIndex(no), forward.pod, forward.connection))
                .collect::<Vec<_>>()
        };
        let mut all: Vec<_> = self.hits.iter().flat_map(of).collect();
        all.sort_unstable();
        all
    }

    /// The forwards of a hit that are out, each with its connection.
    pub fn active_attempts_of(&self, hit: RequestId) -> Vec<(AttemptIndex, Option<SocketId>)> {
        let forwards = self
            .hits
            .get(&hit)
            .into_iter()
            .flat_map(|open| &open.attempts);
        let out = (0..).zip(forwards).filter(|(_, forward)| !forward.ended);
        out.map(|(no, forward)| (AttemptIndex(no), forward.connection))
            .collect()
    }

    /// The pods that forwards are out to, each as often as there are.
    pub fn pods_with_attempts(&self) -> impl Iterator<Item = PodId> + '_ {
        let forwards = self.hits.values().flat_map(|open| &open.attempts);
        forwards
            .filter(|forward| !forward.ended)
            .map(|forward| forward.pod)
    }

    /// How many were ever taken.
    pub fn total_accepted(&self) -> u64 {
        self.next
    }

    pub fn len(&self) -> usize {
        self.hits.len()
    }

    pub fn is_empty(&self) -> bool {
        self.hits.is_empty()
    }

    pub fn attempt(&self, hit: RequestId, no: AttemptIndex) -> Option<&Attempt> {
        self.hits.get(&hit)?.attempts.get(usize::from(no.0))
    }

    /// A forward that has not ended.
    pub fn active_attempt_mut(&mut self, hit: RequestId, no: AttemptIndex) -> Option<&mut Attempt> {
        self.hits
            .get_mut(&hit)?
            .attempts
            .get_mut(usize::from(no.0))
            .filter(|forward| !forward.ended)
    }

    /// Ends a forward; nothing if it had ended.
    pub fn end_attempt(
        &mut self,
        hit: RequestId,
        no: AttemptIndex,
        fate: AttemptOutcome,
        now: Duration,
    ) -> Option<EndedAttempt<T>> {
        let over = self.hits.get(&hit)?.completed;
        let forward = self.active_attempt_mut(hit, no)?;
        (forward.ended, forward.connection) = (true, None);
        let (pod, took, timer) = (
            forward.pod,
            now.saturating_sub(forward.sent_at),
            forward.timer.take(),
        );
        let outcome = AttemptResult {
            request: hit,
            attempt: no,
            pod,
            outcome: fate,
            duration: took,
            request_over: over,
        };
        Some(EndedAttempt {
            result: outcome,
            timer,
            completed_request: self.remove_if_complete(hit),
        })
    }

    /// Forgets a hit that is over once nothing of it is out.
    pub fn remove_if_complete(&mut self, hit: RequestId) -> Option<T> {
        let settled =
            |open: &InFlightRequest<T>| open.completed && open.attempts.iter().all(|f| f.ended);
        self.hits.get(&hit).filter(|open| settled(open))?;
        self.hits.remove(&hit).map(|open| open.protocol_state)
    }
}
