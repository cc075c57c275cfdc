//! Requests at the pods: read from connections, queued, and run by the model.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::Day;
use super::headers::{self, concrete_path, parse_attempt, parse_sidecar};
use crate::deduplication::DeduplicationKey;
use crate::pod_model::{Arrival, Dequeued};
use crate::rollout::SlotId;
use crate::script::DayFault;
use limewing_net::http::RequestHead;
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{AttemptKey, Event, PodId, SidecarId};
use limewing_settings::{DeduplicationScope, Route};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::time::Duration;

/// The longest request that is accepted; clients send shorter ones.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// The standard deviation of the logarithm of a request's work.
const WORK_LOG_STD_DEV: f64 = 0.25;
/// Spreads request numbers over the range of seeds.
const SEED_FACTOR: u64 = 0x9e37_79b9;
/// Stands for no timeout: half of the longest duration, so that adding any time of the day does not overflow.
const NO_TIMEOUT: Duration = Duration::new(u64::MAX / 2, 0);

/// A connection from a sidecar to a pod.
pub(super) struct PodConnection {
    pub(super) pod: PodId,
    pub(super) sidecar: Option<SidecarId>,
    requests: RequestReader,
    /// Whether a request is not answered yet.
    pub(super) busy: bool,
    /// Whether the connection is not usable yet, because a fault delays it.
    connecting: bool,
}

/// The requests at all pods, by number.
#[derive(Default)]
pub(super) struct PodRequests {
    next: u64,
    pub(super) open: HashMap<u64, PodRequest>,
}

/// A request at a pod.
pub(super) struct PodRequest {
    pub(super) socket: SocketId,
    pub(super) attempt: AttemptKey,
    pub(super) class: usize,
    /// Whether it fails at every pod.
    pub(super) failing: bool,
    pub(super) key: Option<DeduplicationKey>,
    /// Whether it takes effect; set when it begins to run.
    pub(super) effect: bool,
}

impl Day<'_> {
    pub(super) fn pod_connection(&mut self, socket: SocketId) -> Option<&mut PodConnection> {
        match self.owners.get_mut(&socket) {
            Some(SocketOwner::Pod(connection)) => Some(connection),
            _ => None,
        }
    }

    /// Accepts a new connection to a pod, unless the pod has too many.
    pub(super) fn accept_at_pod(&mut self, pod: PodId, socket: SocketId) -> Option<PodConnection> {
        let mut connection = PodConnection {
            pod,
            sidecar: None,
            requests: RequestReader::new(MAX_REQUEST_BYTES),
            busy: false,
            connecting: false,
        };
        for fault in self.active_faults.values() {
            match fault {
                DayFault::ConnectionsLimited { max } => {
                    let at_this_pod =
                        |owner: &&SocketOwner| matches!(owner, SocketOwner::Pod(c) if c.pod == pod);
                    if self.owners.values().filter(at_this_pod).count() >= *max {
                        return None;
                    }
                }
                DayFault::ConnectionsDelayed(delay) => {
                    connection.connecting = true;
                    let at = self.now + (*delay).into();
                    self.timers
                        .schedule(at, TimerEvent::ConnectionUsable(socket));
                }
                _ => {}
            }
        }
        Some(connection)
    }

    pub(super) fn connection_usable(&mut self, socket: SocketId) {
        if let Some(connection) = self.pod_connection(socket) {
            connection.connecting = false;
            self.read_pod_request(socket);
        }
    }

    pub(super) fn read_pod_request(&mut self, socket: SocketId) {
        let ended = self.sockets.has_ended(socket);
        let Some(SocketOwner::Pod(connection)) = self.owners.get_mut(&socket) else {
            return;
        };
        if ended {
            // The sidecar closed the connection: a running request continues, but its answer is dropped.
            return self.close(socket);
        }
        if connection.busy || connection.connecting {
            return;
        }
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        match connection.requests.take(input, false) {
            Ok(Some((head, _))) => self.request_arrived(socket, &head),
            Ok(None) => self.sockets.resume_reading(socket),
            Err(_) => self.close(socket),
        }
    }

    fn request_arrived(&mut self, socket: SocketId, head: &RequestHead) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        let id = connection.pod;
        let sender = (parse_attempt(head), parse_sidecar(head.fields.text("via")));
        let (Some(attempt), Some(sidecar)) = sender else {
            return self.close(socket);
        };
        let Some(pod) = self.pods.get(&id) else {
            return;
        };
        let slot = pod.slot.0;
        // The partition would have stopped these bytes, so that they are not recorded.
        let zone = &self.script.fleet.zones[pod.zone];
        if self.is_partitioned(self.zone_of(sidecar), zone) {
            return;
        }
        if let Some(connection) = self.pod_connection(socket) {
            connection.busy = true;
            connection.sidecar = Some(sidecar);
        }
        let Some(class) = self.class_of(head) else {
            return self.close(socket);
        };
        let work = self.work_for(attempt, class);
        self.record(Event::AttemptArrived {
            pod: id,
            sidecar,
            attempt,
            class,
            work,
        });
        let silent = |fault: &DayFault| matches!(fault, DayFault::PodsSilent(slots) if slots.contains(&slot));
        if self.has_fault(silent) {
            return;
        }
        let request = PodRequest {
            socket,
            attempt,
            class,
            failing: head.fields.get(headers::FAILING).is_some(),
            key: self.deduplication_key(id, class, head),
            effect: false,
        };
        let timeout = head.fields.text(headers::TIMEOUT_MS);
        let timeout = timeout.and_then(|ms| ms.parse().ok());
        let deadline = self.now + timeout.map_or(NO_TIMEOUT, Duration::from_millis);
        self.queue_request(id, request, work, deadline);
    }

    fn queue_request(
        &mut self,
        id: PodId,
        request: PodRequest,
        work: Duration,
        deadline: Duration,
    ) {
        let socket = request.socket;
        let attempt = request.attempt;
        let number = self.pod_requests.next;
        self.pod_requests.next += 1;
        self.pod_requests.open.insert(number, request);
        let Some(pod) = self.pods.get_mut(&id) else {
            return;
        };
        match pod.model.arrive(number, work, deadline, self.now) {
            Arrival::Begun(request, until) => self.begin_request(id, request, until),
            Arrival::Queued => {}
            Arrival::Rejected(request) => {
                self.pod_requests.open.remove(&request);
                self.record(Event::AttemptRejected { pod: id, attempt });
                self.reject(socket, id);
            }
        }
    }

    fn class_of(&self, head: &RequestHead) -> Option<usize> {
        let fits = |route: &Route| {
            route.method == head.method && concrete_path(&route.path) == head.target
        };
        self.script
            .classes
            .iter()
            .position(|script| script.class.routes.iter().any(fits))
    }

    /// The work of an attempt: the same for all attempts of a request, at every pod.
    fn work_for(&self, attempt: AttemptKey, class: usize) -> Duration {
        let mean = f64::from(self.script.classes[class].mean_work);
        let seed = self.script.seed ^ attempt.request.0.wrapping_mul(SEED_FACTOR);
        let mut rng = StdRng::seed_from_u64(seed);
        let factor = match LogNormal::new(0.0, WORK_LOG_STD_DEV) {
            Ok(factors) => factors.sample(&mut rng),
            Err(_) => 1.0,
        };
        Duration::from_secs_f64(mean * factor)
    }

    fn deduplication_key(
        &self,
        id: PodId,
        class: usize,
        head: &RequestHead,
    ) -> Option<DeduplicationKey> {
        let pod = self.pods.get(&id)?;
        let (deduplicated_by, _) = self.script.deduplication(class)?;
        let idempotency_key = head.fields.text(headers::IDEMPOTENCY_KEY)?.to_owned();
        let scope = match deduplicated_by {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => pod.zone,
            DeduplicationScope::Cell => usize::from(pod.cell),
        };
        Some(DeduplicationKey {
            class,
            scope,
            idempotency_key,
        })
    }

    /// Runs a request until `until`, and registers its idempotency key.
    fn begin_request(&mut self, pod: PodId, number: u64, until: Duration) {
        if let Some(request) = self.pod_requests.open.get_mut(&number) {
            let keyed = request
                .key
                .clone()
                .zip(self.script.deduplication(request.class));
            request.effect = match keyed {
                Some((key, (_, window))) => self.deduplication.begin(key, window, self.now),
                None => true,
            };
        }
        self.timers
            .schedule(until, TimerEvent::RequestDone(pod, number));
    }

    /// Begins queued requests of a pod while it has free cores.
    pub(super) fn dequeue_requests(&mut self, id: PodId) {
        let now = self.now;
        while let Some(next) = self
            .pods
            .get_mut(&id)
            .and_then(|pod| pod.model.dequeue(now))
        {
            match next {
                Dequeued::Begun(request, until) => self.begin_request(id, request, until),
                Dequeued::Expired(request) => {
                    self.pod_requests.open.remove(&request);
                }
            }
        }
    }

    /// The number of requests that are queued or running at the pods of a slot.
    pub(super) fn in_flight_at(&self, slot: SlotId) -> usize {
        let at_this_pod = |request: &&PodRequest| match self.owners.get(&request.socket) {
            Some(SocketOwner::Pod(connection)) => self
                .pods
                .get(&connection.pod)
                .is_some_and(|pod| pod.slot == slot),
            _ => false,
        };
        self.pod_requests.open.values().filter(at_this_pod).count()
    }
}
