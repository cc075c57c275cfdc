//! The clients: they send requests at random times, as attempts to sidecars, and retry where the answers allow it.

use super::dispatch::TimerEvent;
use super::event_loop::Day;
use super::headers::{self, concrete_path};
use crate::script::DayFault;
use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::write_request;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{AttemptKey, RequestId, SidecarId};
use limewing_settings::{DeduplicationScope, Idempotency};
use rand::RngExt;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The number of distinct routing keys.
const ROUTING_KEY_COUNT: u64 = 5_000;
/// The lower bound of the request rate, as the interval distribution needs a rate above 0.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-6;
/// The longest interval between two requests, however low the rate is.
const MAX_INTERVAL_SECONDS: f64 = 3600.0;
/// The fraction of the deduplication window in which a request with an idempotency key is retried; the rest is left for transit.
const DEDUPLICATION_WINDOW_FRACTION: f64 = 0.9;
/// The fraction of the backoff that precedes a retry after an attempt that did not reach a sidecar.
const UNSENT_BACKOFF_FRACTION: f64 = 0.1;
/// The body of every request except GET.
const REQUEST_BODY: &[u8] = b"{\"litres\": 500}";

/// The state of all clients of a day.
#[derive(Default)]
pub(super) struct Clients {
    next_id: u64,
    /// The time from which no new requests are sent.
    pub(super) end_at: Duration,
    pub(super) open: HashMap<RequestId, ClientRequest>,
    pub(super) idle: BTreeMap<SidecarId, Vec<SocketId>>,
    pub(super) requests: u64,
    pub(super) delivered: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
}

/// A request and the state of its attempts.
pub(super) struct ClientRequest {
    pub(super) class: usize,
    tenant: Option<usize>,
    pub(super) routing_key: u64,
    /// Whether it fails at every pod.
    failing: bool,
    attempts: u16,
    /// The time until which it is retried.
    retry_until: Duration,
}

impl Day<'_> {
    pub(super) fn next_request(&mut self) {
        let factors = self.active_faults.values().map(|fault| match fault {
            DayFault::Overload(factor) => *factor,
            _ => 1.0,
        });
        let rate = self.script.requests_per_second * factors.product::<f64>();
        let next = self.draw_next_arrival(rate);
        if next < self.clients.end_at {
            self.timers.schedule(next, TimerEvent::NextRequest);
        }
        self.new_request(None);
    }

    /// Sends the next request of one tenant that fails at every pod, as long as that fault is active.
    pub(super) fn next_failing_request(&mut self, fault: usize) {
        let Some(DayFault::FailingTenant {
            tenant,
            requests_per_second,
        }) = self.active_faults.get(&fault)
        else {
            return;
        };
        let rate = *requests_per_second;
        let tenants = &self.script.tenants;
        let tenant = tenants.iter().position(|known| known.name == *tenant);
        let next = self.draw_next_arrival(rate);
        if next < self.clients.end_at {
            self.timers
                .schedule(next, TimerEvent::NextFailingRequest(fault));
            self.new_request(tenant);
        }
    }

    fn draw_next_arrival(&mut self, rate: f64) -> Duration {
        let interval = match Exp::new(rate.max(MIN_REQUESTS_PER_SECOND)) {
            Ok(intervals) => intervals.sample(&mut self.rng),
            Err(_) => 1.0,
        };
        self.now + Duration::from_secs_f64(interval.min(MAX_INTERVAL_SECONDS))
    }

    /// Creates a request and sends its first attempt; it fails at every pod if a tenant is given.
    fn new_request(&mut self, failing_tenant: Option<usize>) {
        let script = self.script;
        let class = self.draw_index(script.classes.iter().map(|class| class.share));
        let class = class.unwrap_or(0);
        let tenant = self.draw_index(script.tenants.iter().map(|tenant| tenant.share));
        let id = RequestId(self.clients.next_id);
        self.clients.next_id += 1;
        let timeout = Duration::from(script.classes[class].class.client_timeout);
        let retry_window = match script.deduplication(class) {
            Some((_, window)) => timeout.min(window.mul_f64(DEDUPLICATION_WINDOW_FRACTION)),
            None => timeout,
        };
        let request = ClientRequest {
            class,
            tenant: failing_tenant.or(tenant),
            routing_key: self.rng.random_range(0..ROUTING_KEY_COUNT),
            failing: failing_tenant.is_some(),
            attempts: 0,
            retry_until: self.now + retry_window,
        };
        self.clients.open.insert(id, request);
        self.clients.requests += 1;
        self.send_attempt(id);
    }

    /// Draws an index with the given shares as weights; returns `None` if there are no shares.
    fn draw_index(&mut self, shares: impl Iterator<Item = f64>) -> Option<usize> {
        let weights = WeightedIndex::new(shares).ok()?;
        Some(weights.sample(&mut self.rng))
    }

    fn draw_sidecar(&mut self) -> SidecarId {
        if let Ok(shares) = WeightedIndex::new(&self.script.traffic_shares) {
            return SidecarId(shares.sample(&mut self.rng) as u32);
        }
        let sidecars = self.script.sidecar_zones.len() as u32;
        SidecarId(self.rng.random_range(0..sidecars))
    }

    /// Sends the next attempt of a request to a sidecar drawn at random.
    pub(super) fn send_attempt(&mut self, id: RequestId) {
        let script = self.script;
        let sidecar = self.draw_sidecar();
        let timeout_part = self.rng.random_range(script.clients.min_timeout_part..=1.0);
        let disconnects = self.rng.random_bool(script.clients.disconnecting_part);
        let Some(request) = self.clients.open.get_mut(&id) else {
            return;
        };
        let attempt = AttemptKey::new(id, request.attempts);
        request.attempts += 1;
        let class = &script.classes[request.class].class;
        let timeout = Duration::from(class.client_timeout).mul_f64(timeout_part);
        let remaining = request.retry_until.saturating_sub(self.now);
        // The header field states whole milliseconds.
        let timeout = Duration::from_millis(timeout.min(remaining).as_millis() as u64);
        if timeout.is_zero() {
            self.clients.open.remove(&id);
            return;
        }
        let Some(bytes) = self.encode_request(attempt, timeout) else {
            return;
        };
        self.send_to(sidecar, attempt, timeout, bytes, disconnects);
    }

    fn encode_request(&self, attempt: AttemptKey, timeout: Duration) -> Option<BytesMut> {
        let request = self.clients.open.get(&attempt.request)?;
        let script = self.script;
        let class = &script.classes[request.class].class;
        let route = &class.routes[0];
        let name = format!("{}-{}", attempt.request.0, attempt.number);
        let timeout_ms = timeout.as_millis().to_string();
        let routing_key = request.routing_key.to_string();
        let idempotency_key = format!("order-{}", attempt.request.0);
        let mut fields = vec![
            ("host", "orders.example"),
            (headers::ATTEMPT, &name[..]),
            (headers::TIMEOUT_MS, &timeout_ms),
            ("routing-key", &routing_key),
        ];
        if let Some(tenant) = request.tenant {
            fields.push(("customer", &script.tenants[tenant].name));
        }
        let retried_with_key = script.clients.retries_non_idempotent
            && class.idempotency == Idempotency::NonIdempotent;
        if retried_with_key || matches!(class.idempotency, Idempotency::Keyed { .. }) {
            fields.push((headers::IDEMPOTENCY_KEY, &idempotency_key));
        }
        if request.failing {
            fields.push((headers::FAILING, "1"));
        }
        let body = if route.method == "GET" {
            b""
        } else {
            REQUEST_BODY
        };
        let mut bytes = BytesMut::new();
        write_request(
            &mut bytes,
            &route.method,
            &concrete_path(&route.path),
            fields
                .into_iter()
                .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
            Framing::Length(body.len() as u64),
        );
        bytes.extend_from_slice(body);
        Some(bytes)
    }

    /// Schedules a retry after a backoff, or drops the request. A retry is allowed if the last attempt is known not to have run
    /// (`harmless`) or if the request class may be repeated.
    pub(super) fn retry_or_drop(&mut self, id: RequestId, harmless: bool, unsent: bool) {
        let clients = &self.script.clients;
        let wait = f64::from(clients.mean_backoff) * self.rng.random_range(0.5..1.5);
        let Some(request) = self.clients.open.get(&id) else {
            return;
        };
        let repeatable = match self.script.classes[request.class].class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                deduplicated_by, ..
            } => deduplicated_by == DeduplicationScope::All,
            Idempotency::NonIdempotent => clients.retries_non_idempotent,
        };
        let wait = if unsent {
            wait * UNSENT_BACKOFF_FRACTION
        } else {
            wait
        };
        let at = self.now + Duration::from_secs_f64(wait);
        let retries = request.attempts <= clients.max_retries
            && at < request.retry_until
            && (harmless || repeatable);
        if retries {
            self.timers.schedule(at, TimerEvent::Retry(id));
        } else {
            self.clients.open.remove(&id);
        }
    }
}
