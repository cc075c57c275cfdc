//! The endpoint list service: a subset of Consul's health API with blocking queries.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::Day;
use super::headers::parse_sidecar;
use super::DayError;
use crate::script::DayFault;
use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::{write_response, RequestHead};
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{Event, PodId, SidecarId};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the service that the pods register as.
pub(super) const SERVICE: &str = "order-node";
/// The longest query that is accepted; queries have no body.
const MAX_QUERY_BYTES: usize = 1024;
/// How long a blocking query without a `wait` parameter waits: Consul's default.
const DEFAULT_WAIT_MS: u64 = 300_000;

/// The endpoint list as last published.
pub(super) struct EndpointService {
    pub(super) address: SocketAddr,
    /// Consul's index, which grows with each list.
    index: u64,
    body: Vec<u8>,
    ready: Vec<PodId>,
    draining: Vec<PodId>,
    /// The sidecars that were sent a list with ready pods.
    pub(super) notified: BTreeSet<SidecarId>,
    /// The number of lists created so far.
    lists_created: u64,
    /// The number of the newest published list.
    newest_number: u64,
}

impl EndpointService {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            index: 1,
            body: b"[]".to_vec(),
            ready: Vec::new(),
            draining: Vec::new(),
            notified: BTreeSet::new(),
            lists_created: 0,
            newest_number: 0,
        }
    }
}

/// A list to be published after its delay, unless a newer one is published first.
pub(super) struct PublishedList {
    number: u64,
    body: Vec<u8>,
    ready: Vec<PodId>,
    draining: Vec<PodId>,
}

/// A sidecar's connection that watches the list.
pub(super) struct EndpointWatch {
    requests: RequestReader,
    sidecar: Option<SidecarId>,
    /// Whether a query waits for a newer list.
    waiting: bool,
    /// The number of queries so far.
    queries: u64,
}

impl Default for EndpointWatch {
    fn default() -> Self {
        Self {
            requests: RequestReader::new(MAX_QUERY_BYTES),
            sidecar: None,
            waiting: false,
            queries: 0,
        }
    }
}

impl Day<'_> {
    /// Publishes the changed fleet after the delay of the list.
    pub(super) fn publish_fleet(&mut self) {
        self.endpoints.lists_created += 1;
        let list = PublishedList {
            number: self.endpoints.lists_created,
            body: serde_json::to_vec(&self.list_entries()).unwrap_or_default(),
            ready: self.listed_pods(false),
            draining: self.listed_pods(true),
        };
        if !self.started {
            return self.publish(list);
        }
        let fault_delay = self.find_fault(|fault| match fault {
            DayFault::ListDelayed(delay) => Some(Duration::from(*delay)),
            _ => None,
        });
        let delay = Duration::from(self.script.fleet.list_delay) + fault_delay.unwrap_or_default();
        self.timers
            .schedule(self.now + delay, TimerEvent::PublishList(Box::new(list)));
    }

    fn listed_pods(&self, draining: bool) -> Vec<PodId> {
        let pods = self
            .pods
            .iter()
            .filter(|(_, pod)| pod.running && pod.draining == draining);
        pods.map(|(id, _)| *id).collect()
    }

    fn list_entries(&self) -> Vec<Value> {
        let running = self.pods.iter().filter(|(_, pod)| pod.running);
        let rows = running.map(|(id, pod)| {
            let status = if pod.draining { "critical" } else { "passing" };
            json!({
                "Node": {
                    "Node": format!("node-{}", self.script.machine_of(pod.slot.0)),
                    "Datacenter": self.script.fleet.zones[pod.zone],
                },
                "Service": {
                    "ID": format!("{SERVICE}-{}", id.0),
                    "Service": SERVICE,
                    "Address": pod.address.ip().to_string(),
                    "Port": pod.address.port(),
                    "Meta": {
                        "build": pod.build.to_string(),
                        "started": format!("{:.3}", pod.started_at_unix),
                        "cell": pod.cell.to_string(),
                        "kind": "plain",
                    },
                    "Weights": {"Passing": self.script.fleet.cores, "Warning": 1},
                },
                "Checks": [{
                    "CheckID": format!("_service_maintenance:{SERVICE}-{}", id.0),
                    "Status": status,
                }],
            })
        });
        rows.collect()
    }

    pub(super) fn publish(&mut self, list: PublishedList) {
        if list.number < self.endpoints.newest_number {
            return;
        }
        self.endpoints.newest_number = list.number;
        self.endpoints.body = list.body;
        self.endpoints.ready = list.ready;
        self.endpoints.draining = list.draining;
        self.endpoints.index += 1;
        let waiting =
            |owner: &SocketOwner| matches!(owner, SocketOwner::EndpointWatch(w) if w.waiting);
        for socket in self.sockets_where(waiting) {
            self.send_list(socket);
        }
    }

    pub(super) fn read_endpoint_query(&mut self, socket: SocketId) {
        if self.sockets.has_ended(socket) {
            return self.close(socket);
        }
        let Some(SocketOwner::EndpointWatch(watch)) = self.owners.get_mut(&socket) else {
            return;
        };
        if watch.waiting {
            return;
        }
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        let head = match watch.requests.take(input, false) {
            Ok(Some((head, _))) => head,
            Ok(None) => return self.sockets.resume_reading(socket),
            Err(_) => return self.close(socket),
        };
        let sidecar = parse_sidecar(head.fields.text("user-agent"));
        watch.sidecar = sidecar;
        if sidecar.is_some_and(|sidecar| self.is_partitioned_from_services(sidecar)) {
            return;
        }
        self.answer_endpoint_query(socket, &head);
    }

    fn answer_endpoint_query(&mut self, socket: SocketId, head: &RequestHead) {
        let path = format!("/v1/health/service/{SERVICE}?");
        if !head.target.starts_with(&path) {
            return self.send_response(socket, 404, b"");
        }
        let known = query_parameter(head, "index").and_then(|index| index.parse::<u64>().ok());
        let wait = query_parameter(head, "wait")
            .and_then(|wait| wait.strip_suffix("ms")?.parse::<u64>().ok())
            .unwrap_or(DEFAULT_WAIT_MS);
        let Some(SocketOwner::EndpointWatch(watch)) = self.owners.get_mut(&socket) else {
            return;
        };
        watch.waiting = true;
        watch.queries += 1;
        let query = watch.queries;
        if known.unwrap_or(0) != self.endpoints.index {
            self.send_list(socket);
            return;
        }
        let at = self.now + Duration::from_millis(wait);
        self.timers
            .schedule(at, TimerEvent::WatchTimeout(socket, query));
    }

    /// Answers a blocking query whose wait has expired with the current list.
    pub(super) fn watch_timed_out(&mut self, socket: SocketId, query: u64) {
        let Some(SocketOwner::EndpointWatch(watch)) = self.owners.get(&socket) else {
            return;
        };
        if watch.waiting && watch.queries == query {
            self.send_list(socket);
        }
    }

    fn send_list(&mut self, socket: SocketId) {
        let Some(SocketOwner::EndpointWatch(watch)) = self.owners.get_mut(&socket) else {
            return;
        };
        let Some(sidecar) = watch.sidecar else {
            return self.close(socket);
        };
        watch.waiting = false;
        if self.is_partitioned_from_services(sidecar) {
            return;
        }
        let ready = self.endpoints.ready.clone();
        let draining = self.endpoints.draining.clone();
        if !ready.is_empty() {
            self.endpoints.notified.insert(sidecar);
        }
        self.record(Event::EndpointsNotified {
            sidecar,
            ready,
            draining,
        });
        let index = self.endpoints.index.to_string();
        let fields = [
            ("x-consul-index", &index[..]),
            ("content-type", "application/json"),
        ];
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let framing = Framing::Length(self.endpoints.body.len() as u64);
        let mut out = BytesMut::new();
        write_response(&mut out, 200, fields, framing, true);
        out.extend_from_slice(&self.endpoints.body);
        self.sockets.send(socket, &out);
        self.read_endpoint_query(socket);
    }

    /// Sends an answer without additional header fields.
    pub(super) fn send_response(&mut self, socket: SocketId, status: u16, body: &[u8]) {
        let framing = Framing::Length(body.len() as u64);
        let mut out = BytesMut::new();
        write_response(&mut out, status, [].into_iter(), framing, true);
        out.extend_from_slice(body);
        self.sockets.send(socket, &out);
    }

    pub(super) fn stop_endpoint_service(&mut self) {
        self.close_all(|owner| {
            matches!(
                owner,
                SocketOwner::EndpointWatch(_) | SocketOwner::EndpointListener
            )
        });
    }

    pub(super) fn start_endpoint_service(&mut self) -> Result<(), DayError> {
        let (listener, _) = self.sockets.listen(self.endpoints.address)?;
        self.owners.insert(listener, SocketOwner::EndpointListener);
        Ok(())
    }
}

fn query_parameter<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.target
        .split(['?', '&'])
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
