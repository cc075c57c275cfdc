//! Clients: they arrive by chance, leave, and ask again.

use super::attempts::OpenRequest;
use super::event::{ClientRequest, SidecarRef, SimulationEvent};
use super::{ms, Simulation};
use limewing_decision::interface::{
    ClassId, Event, Idempotency, Request, RequestId, RoutingKey, TenantId,
};
use rand::RngExt;
use std::time::Duration;

/// The classes of requests, as often as they come.
const CLASS_MIX: [u16; 7] = [0, 0, 1, 1, 2, 2, 3];
/// How often a client asks again.
const MAX_RETRIES: u8 = 2;
/// How long after its deadline a client that has no answer leaves.
const PATIENCE_AFTER_DEADLINE: Duration = Duration::from_millis(40);

impl Simulation {
    pub(super) fn client_arrives(&mut self) {
        let class = ClassId(CLASS_MIX[self.rng.random_range(0..CLASS_MIX.len())]);
        let has_key = self.rng.random_bool(0.7);
        let routing_key = has_key.then(|| RoutingKey(self.rng.random_range(1..60)));
        self.send_request(ClientRequest {
            class,
            routing_key,
            retries: MAX_RETRIES,
        });
        // Times between arrivals are exponentially distributed.
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let wait = -draw.ln() / (self.request_rate * self.overload);
        self.schedule_in(
            Duration::from_secs_f64(wait),
            SimulationEvent::ClientArrives,
        );
    }

    pub(super) fn send_request(&mut self, client_request: ClientRequest) {
        let up: Vec<usize> = (0..self.sidecars.len())
            .filter(|sidecar| self.sidecars[*sidecar].is_up())
            .collect();
        if up.is_empty() {
            return;
        }
        // Unequal traffic: the first sidecar gets the most.
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let sidecar = self.current(up[(up.len() as f64 * draw.powi(2)) as usize]);
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let class = client_request.class;
        let timeout = self.config.classes[usize::from(class.0)].client_timeout;
        let deadline = self.now + timeout.mul_f64(self.rng.random_range(0.4..1.0));
        let tenant = TenantId(self.rng.random_range(0..3));
        let host = &mut self.sidecars[sidecar.index];
        host.requests
            .insert(id, OpenRequest::new(client_request, deadline));
        host.inbox.push(Event::RequestArrived(Request {
            id,
            class,
            tenant: Some(tenant),
            routing_key: client_request.routing_key,
            deadline,
        }));
        let leaves = |request| SimulationEvent::ClientLeaves { sidecar, request };
        if self.rng.random_bool(0.02) {
            let early = self.now + timeout.mul_f64(self.rng.random_range(0.0..0.4));
            self.schedule(early, leaves(id));
        }
        self.schedule(deadline + PATIENCE_AFTER_DEADLINE, leaves(id));
    }

    pub(super) fn client_leaves(&mut self, sidecar: SidecarRef, request: RequestId) {
        let host = &mut self.sidecars[sidecar.index];
        if host.incarnation != sidecar.incarnation {
            return;
        }
        let Some(open) = host.requests.get_mut(&request) else {
            return;
        };
        if open.is_over {
            return;
        }
        open.is_over = true;
        host.inbox.push(Event::ClientDisconnected(request));
    }

    /// The sidecar answers a client itself. After a rejection the client may ask again, and so it may where a repeat does
    /// no harm.
    pub(super) fn answer_client(&mut self, sidecar: usize, request: RequestId, is_rejection: bool) {
        let Some(open) = self.sidecars[sidecar].requests.get_mut(&request) else {
            return;
        };
        if open.is_over {
            return;
        }
        open.is_over = true;
        let client_request = open.client_request;
        let class = &self.config.classes[usize::from(client_request.class.0)];
        let may_retry = is_rejection || class.idempotency == Idempotency::Idempotent;
        if may_retry && client_request.retries > 0 && self.rng.random_bool(0.6) {
            let wait = ms(self.rng.random_range(20..600));
            let retry = ClientRequest {
                retries: client_request.retries - 1,
                ..client_request
            };
            self.schedule_in(wait, SimulationEvent::ClientRetries(retry));
        }
    }
}
