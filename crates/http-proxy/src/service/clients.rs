//! The clients' side: requests become hits, and each hit gets one final answer.

use super::{ConnectionRole, Service, TimerEvent};
use crate::request_classifier::{path_of, RequestTraits};
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::{
    AttemptIndex, ClassId, Event, PodId, Request, RequestId, RoutingKey,
};
use limewing_net::body::{write_chunk, BodyReader, Framing};
use limewing_net::http::{self, HttpError, RequestHead, ResponseHead};
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::in_flight::InFlightRequest;
use limewing_replication::Refusal;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Names the forward that an answer came from; reports of wrong answers give it back.
pub const ATTEMPT_FIELD: &str = "limewing-forward";
/// Where clients report wrong answers, and where operators look.
const REPORTS: &str = "/limewing/reports";
const STATUS: &str = "/limewing/status";
const FLEET: &str = "/limewing/fleet";
const WORK: &str = "/limewing/work";
const STATE: &str = "/limewing/state";
/// Output that may wait for a client before its pod is read no further, in bytes.
pub const MAX_UNSENT_BYTES: usize = 64 * 1024;

pub struct Client {
    requests: RequestReader,
    hit: Option<RequestId>,
    /// Reads the part of the hit's body that is passed on as it comes.
    rest: Option<BodyReader>,
    /// What it is told goes no further than the present answer.
    close: bool,
    slow: Option<TimerKey>,
    stalled: Option<TimerKey>,
}

impl Client {
    pub fn idle(&self) -> bool {
        self.hit.is_none()
    }

    /// A part of its hit's body is still to come.
    pub fn reads_on(&self) -> bool {
        self.rest.is_some()
    }
}

/// What is held of a hit's request.
pub struct ClientRequest {
    pub head: RequestHead,
    pub body: Bytes,
    /// The body is whole in `body`; else the rest is passed on as it comes, and no second forward can have it.
    pub whole: bool,
    /// The forward that the rest of the body goes with.
    pub carrier: Option<AttemptIndex>,
    pub group: ClassId,
    pub key: Option<RoutingKey>,
    /// The hash of its tag, if it may not run twice.
    pub once: Option<u64>,
    /// The forward whose answer is passed on as it comes.
    pub passing: Option<AttemptIndex>,
}

/// Whether no answer has been given, or begun.
fn accepts_response(open: &InFlightRequest<ClientRequest>) -> bool {
    !open.completed && open.protocol_state.passing.is_none()
}

/// Which pod each answer given lately came from, so that reports can be understood.
#[derive(Default)]
pub struct ResponseOrigins(BTreeMap<(RequestId, AttemptIndex), (PodId, ClassId)>);

/// Answers remembered for reports.
const REMEMBERED: usize = 50_000;

impl ResponseOrigins {
    fn note(&mut self, hit: RequestId, no: AttemptIndex, of: (PodId, ClassId)) {
        self.0.insert((hit, no), of);
        if self.0.len() > REMEMBERED {
            self.0.pop_first();
        }
    }
}

#[derive(Deserialize)]
struct WrongAnswerReport {
    start_attempt: String,
}

impl Service {
    pub(super) fn accept_client(&mut self, id: SocketId) {
        if self.clients >= self.terms.clients || self.shutdown.has_begun() {
            let status = self.proxy_status("bounced", true);
            self.say(
                id,
                503,
                &[("retry-after", "1"), ("proxy-status", &status)],
                b"",
                false,
            );
            return self.sockets.close_when_sent(id);
        }
        self.clients += 1;
        let requests = RequestReader::new(self.terms.body_kept);
        let client = Client {
            requests,
            hit: None,
            rest: None,
            close: false,
            slow: None,
            stalled: None,
        };
        self.connections
            .insert(id, ConnectionRole::Client(Box::new(client)));
    }

    fn client(&mut self, id: SocketId) -> Option<&mut Client> {
        match self.connections.get_mut(&id) {
            Some(ConnectionRole::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub(super) fn read_client(&mut self, id: SocketId) {
        loop {
            let ended = self.sockets.has_ended(id);
            let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
                return;
            };
            if client.hit.is_some() {
                if client.rest.is_some() {
                    return self.forward_request_body(id);
                }
                // What is pipelined waits its turn; a client that closed its side is gone, whatever it left unread.
                return if self.sockets.has_peer_closed(id) {
                    self.client_disconnected(id)
                } else {
                    Default::default()
                };
            }
            // Nothing more is taken off a client that does not read its answers, and it is not waited for forever.
            if self.sockets.unsent_bytes(id) > MAX_UNSENT_BYTES {
                return self.start_stall_timer(id);
            }
            let Some(input) = self.sockets.input(id) else {
                return;
            };
            match client.requests.take(input, ended) {
                Ok(Some((head, body))) => {
                    client.slow.take().map(|key| self.timers.cancel(key));
                    self.request(id, head, body.freeze());
                }
                Ok(None) if ended => return self.client_disconnected(id),
                Ok(None) => {
                    let begun = client.requests.begun() || !input.is_empty();
                    if begun && client.slow.is_none() {
                        let at = self.now + self.terms.request_within;
                        client.slow =
                            Some(self.timers.schedule(at, TimerEvent::RequestTimeout(id)));
                    }
                    if client.requests.wants_continue() {
                        self.sockets.send(id, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return self.sockets.resume_reading(id);
                }
                Err(HttpError::Early) => return self.client_disconnected(id),
                Err(HttpError::BodyTooLarge) => {
                    let Some((head, body, reader)) = client.requests.give_up() else {
                        return;
                    };
                    client.slow.take().map(|key| self.timers.cancel(key));
                    client.rest = (!reader.ended()).then_some(reader);
                    self.request(id, head, body.freeze());
                }
                Err(why) => {
                    tracing::debug!(%why, "a request was refused");
                    self.say(id, why.status(), &[], format!("{why}\n").as_bytes(), false);
                    return self.close_client(id);
                }
            }
        }
    }

    fn request(&mut self, id: SocketId, head: RequestHead, body: Bytes) {
        let keep_alive = head.keep_alive && !self.shutdown.has_begun();
        let Some(client) = self.client(id) else {
            return;
        };
        // Unless all of its body was read, what follows can't be told from it.
        client.close = !keep_alive || client.rest.is_some();
        match (head.method.as_str(), path_of(&head.target)) {
            ("POST", REPORTS) => return self.handle_report(id, &body),
            ("GET", STATUS) => return self.tell_status(id),
            ("GET", FLEET) => return self.tell_fleet(id),
            ("GET", STATE) => return self.tell_state(id),
            ("GET", WORK) => return self.tell_work(id),
            ("POST", WORK) => return self.asked_for_work(id, &body),
            _ => {}
        }
        if self.shutdown.has_begun() {
            let fields = [
                ("retry-after", "1"),
                ("proxy-status", &self.proxy_status("bounced", true)[..]),
            ];
            return self.reply(id, 503, &fields, b"");
        }
        match self.routes.classify(&head, self.now) {
            Ok(traits) => self.start_request(id, head, body, traits),
            Err(no) => self.reply(id, no.status, &[], format!("{}\n", no.why).as_bytes()),
        }
    }

    fn start_request(
        &mut self,
        client: SocketId,
        head: RequestHead,
        body: Bytes,
        traits: RequestTraits,
    ) {
        let RequestTraits {
            group,
            customer,
            key,
            due,
            once,
        } = traits;
        let refused = self
            .replication
            .as_ref()
            .and_then(|replication| replication.refusal(self.now, once, key.is_some()));
        if let Some(refused) = refused {
            let (status, harmless) = match refused {
                // That it never ran nobody here can say yet.
                Refusal::NotCaughtUp if once.is_some() => (502, false),
                Refusal::NotCaughtUp => (503, true),
                Refusal::MayHaveRun => (409, false),
            };
            let text = self.proxy_status(if harmless { "bounced" } else { "errored" }, harmless);
            return self.reply(client, status, &[("proxy-status", &text)], b"");
        }
        let whole = self
            .client(client)
            .is_none_or(|client| client.rest.is_none());
        let (passing, carrier) = (None, None);
        let id = self.requests.insert(
            client,
            due,
            ClientRequest {
                head,
                body,
                whole,
                carrier,
                group,
                key,
                once,
                passing,
            },
        );
        self.events.push(Event::RequestArrived(Request {
            id,
            class: group,
            tenant: customer,
            routing_key: key,
            deadline: due,
        }));
        if let Some(client) = self.client(client) {
            client.hit = Some(id);
        }
    }

    /// Passes on what has come of a body, as fast as the pod takes it.
    pub(super) fn forward_request_body(&mut self, id: SocketId) {
        let ended = self.sockets.has_ended(id);
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        let (Some(hit), Some(reader)) = (client.hit, client.rest.as_mut()) else {
            return;
        };
        let open = self.requests.get(hit).filter(|open| !open.completed);
        let link = open.and_then(|open| {
            let carrier = open
                .attempts
                .get(usize::from(open.protocol_state.carrier?.0))?;
            Some((carrier.connection?, open.protocol_state.head.framing))
        });
        // Before a pod has it, or while that one is full, the client is read no further.
        let Some((link, framing)) = link else {
            return if ended {
                self.client_disconnected(id)
            } else {
                Default::default()
            };
        };
        let mut out = BytesMut::new();
        while self.sockets.unsent_bytes(link) + out.len() <= MAX_UNSENT_BYTES {
            let Some(input) = self.sockets.input(id) else {
                return;
            };
            match reader.next(input) {
                Ok(Some(piece)) if framing == Framing::Chunked => write_chunk(&mut out, &piece),
                Ok(Some(piece)) => out.extend_from_slice(&piece),
                Ok(None) => break,
                // The rest can't be read: the pod must not take what it has for the whole.
                Err(_) => return self.client_disconnected(id),
            }
        }
        let whole = reader.ended();
        if whole {
            client.rest = None;
            if framing == Framing::Chunked {
                out.extend_from_slice(b"0\r\n\r\n");
            }
        }
        if !out.is_empty() {
            self.sockets.send(link, &out);
        }
        if ended {
            self.client_disconnected(id);
        } else {
            self.sockets.resume_reading(id);
        }
    }

    /// Answers what is no hit.
    fn reply(&mut self, id: SocketId, status: u16, fields: &[(&str, &str)], body: &[u8]) {
        let close = self.client(id).is_none_or(|client| client.close);
        self.say(id, status, fields, body, !close);
        if close {
            self.close_client(id);
        }
    }

    fn say(
        &mut self,
        id: SocketId,
        status: u16,
        fields: &[(&str, &str)],
        body: &[u8],
        keep_alive: bool,
    ) {
        let mut out = BytesMut::new();
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        http::write_response(
            &mut out,
            status,
            fields,
            Framing::Length(body.len() as u64),
            keep_alive,
        );
        out.extend_from_slice(body);
        self.sockets.send(id, &out);
    }

    /// `Proxy-Status` (RFC 9209) of an answer that is this sidecar's own.
    fn proxy_status(&self, what: &str, harmless: bool) -> String {
        let error = if harmless {
            "destination_unavailable"
        } else {
            "http_response_incomplete"
        };
        let retry = if harmless {
            "a retry is harmless"
        } else {
            "it may have run"
        };
        format!(
            "{}; error={error}; details=\"{what}: {retry}\"",
            self.terms.name
        )
    }

    pub(super) fn reject_request(&mut self, hit: RequestId, retry_after: Duration) {
        // Whole seconds are all that the field can say.
        let wait = retry_after.as_secs_f64().ceil().to_string();
        let status = self.proxy_status("bounced", true);
        let fields = [("proxy-status", &status[..]), ("retry-after", &wait)];
        // No time is no advice.
        self.complete_with_own_response(
            hit,
            503,
            &fields[..if retry_after.is_zero() { 1 } else { 2 }],
        );
    }

    pub(super) fn fail_request(&mut self, hit: RequestId) {
        let late = self
            .requests
            .get(hit)
            .is_some_and(|open| self.now >= open.deadline);
        let status = self.proxy_status("errored", false);
        self.complete_with_own_response(
            hit,
            if late { 504 } else { 502 },
            &[("proxy-status", &status)],
        );
    }

    /// The final answer of a hit that no pod answered.
    fn complete_with_own_response(&mut self, hit: RequestId, status: u16, fields: &[(&str, &str)]) {
        self.replication
            .iter_mut()
            .for_each(|replication| replication.request_finished(hit));
        let Some(open) = self.requests.pending_mut(hit) else {
            return;
        };
        open.completed = true;
        if let Some(client) = open.client.take() {
            self.reply(client, status, fields, b"");
            self.read_next_request(client);
        }
        self.requests.remove_if_complete(hit);
    }

    /// Passes a gathered answer on: the hit is delivered.
    pub(super) fn deliver_response(
        &mut self,
        hit: RequestId,
        no: AttemptIndex,
        head: &ResponseHead,
        body: &[u8],
    ) {
        // The first answer is the client's, also one that is still passed on.
        let Some(open) = self
            .requests
            .get_mut(hit)
            .filter(|open| accepts_response(open))
        else {
            return;
        };
        open.completed = true;
        let (client, to_head) = (
            open.client.take(),
            open.protocol_state.head.method == "HEAD",
        );
        self.record_response_origin(hit, no);
        let Some(client) = client else { return };
        // The answer to HEAD tells the length that the body would have.
        let told = head
            .fields
            .text("content-length")
            .filter(|_| to_head)
            .and_then(|text| text.parse().ok());
        let framing = Framing::Length(told.unwrap_or(body.len() as u64));
        let mut out = self.response_head(client, hit, no, head, framing);
        if !to_head {
            out.extend_from_slice(body);
        }
        // Head and body in one piece: a call to the system is the dearest part of a hit.
        self.sockets.send(client, &out);
        self.finish_response(client);
    }

    /// Begins an answer that is passed on as it comes.
    pub(super) fn begin_streaming(
        &mut self,
        hit: RequestId,
        no: AttemptIndex,
        head: &ResponseHead,
    ) {
        let Some(open) = self.requests.get_mut(hit) else {
            return;
        };
        open.protocol_state.passing = Some(no);
        let Some(client) = open.client else { return };
        self.record_response_origin(hit, no);
        let out = self.response_head(client, hit, no, head, streamed_framing(head));
        self.sockets.send(client, &out);
    }

    pub(super) fn pass(&mut self, hit: RequestId, head: &ResponseHead, piece: &[u8]) {
        let Some(client) = self.requests.get(hit).and_then(|open| open.client) else {
            return;
        };
        if streamed_framing(head) == Framing::Chunked {
            let mut out = BytesMut::with_capacity(piece.len() + 16);
            write_chunk(&mut out, piece);
            self.sockets.send(client, &out);
        } else {
            self.sockets.send(client, piece);
        }
        if self.sockets.unsent_bytes(client) > MAX_UNSENT_BYTES {
            self.start_stall_timer(client);
        }
    }

    /// Ends an answer that was passed on; one that broke is cut, so that the client sees it.
    pub(super) fn end_streaming(&mut self, hit: RequestId, head: &ResponseHead, whole: bool) {
        let Some(open) = self.requests.get_mut(hit) else {
            return;
        };
        open.completed = true;
        let Some(client) = open.client.take() else {
            return;
        };
        if !whole {
            if let Some(client) = self.client(client) {
                client.hit = None;
            }
            return self.client_disconnected(client);
        }
        if streamed_framing(head) == Framing::Chunked {
            self.sockets.send(client, b"0\r\n\r\n");
        }
        self.finish_response(client);
    }

    /// Whether the client of a hit takes no more for now.
    pub(super) fn client_is_backlogged(&mut self, hit: RequestId) -> bool {
        let client = self.requests.get(hit).and_then(|open| open.client);
        client.is_some_and(|client| self.sockets.unsent_bytes(client) > MAX_UNSENT_BYTES)
    }

    fn record_response_origin(&mut self, hit: RequestId, no: AttemptIndex) {
        let Some(open) = self.requests.get(hit) else {
            return;
        };
        let Some(start_attempt) = open.attempts.get(usize::from(no.0)) else {
            return;
        };
        self.reports
            .note(hit, no, (start_attempt.pod, open.protocol_state.group));
    }

    /// The head of an answer that a pod gave, as its client gets it.
    fn response_head(
        &mut self,
        to: SocketId,
        hit: RequestId,
        no: AttemptIndex,
        head: &ResponseHead,
        framing: Framing,
    ) -> BytesMut {
        let close = self.client(to).is_none_or(|client| client.close);
        let attempt_token = self.attempt_token(hit, no);
        let own = [
            (ATTEMPT_FIELD.as_bytes(), attempt_token.as_bytes()),
            (&b"via"[..], self.terms.via.as_bytes()),
        ];
        let mut out = BytesMut::with_capacity(1024);
        http::write_response(
            &mut out,
            head.status,
            head.fields.passed_on().chain(own),
            framing,
            !close,
        );
        out
    }

    fn finish_response(&mut self, client: SocketId) {
        if self.client(client).is_some_and(|client| client.close) {
            return self.close_client(client);
        }
        self.read_next_request(client);
    }

    fn read_next_request(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.hit = None;
        if let Some(key) = client.stalled.take() {
            self.timers.cancel(key);
        }
        self.read_client(id);
    }

    fn start_stall_timer(&mut self, id: SocketId) {
        let at = self.now + self.terms.stall;
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        if client.stalled.is_none() {
            client.stalled = Some(self.timers.schedule(at, TimerEvent::ClientStalled(id)));
        }
    }

    /// The mark of a forward: this sidecar's name and life, the hit and the forward's number.
    pub(super) fn attempt_token(&self, hit: RequestId, no: AttemptIndex) -> String {
        let (mut life, mut number, mut last) = (
            itoa::Buffer::new(),
            itoa::Buffer::new(),
            itoa::Buffer::new(),
        );
        let parts = [
            &self.terms.name,
            ".",
            life.format(self.life),
            ".",
            number.format(hit.0),
            ".",
            last.format(no.0),
        ];
        parts.concat()
    }

    fn parse_attempt_token(&self, attempt_token: &str) -> Option<(RequestId, AttemptIndex)> {
        let own = format!("{}.{}.", self.terms.name, self.life);
        let (hit, no) = attempt_token.strip_prefix(&own)?.split_once('.')?;
        Some((RequestId(hit.parse().ok()?), AttemptIndex(no.parse().ok()?)))
    }

    fn handle_report(&mut self, id: SocketId, body: &[u8]) {
        let report = serde_json::from_slice::<WrongAnswerReport>(body);
        let Ok(report) = report else {
            return self.reply(id, 400, &[], b"expected {\"forward\": mark}\n");
        };
        let of = self
            .parse_attempt_token(&report.start_attempt)
            .and_then(|key| self.reports.0.remove(&key));
        let Some((pod, group)) = of else {
            return self.reply(id, 404, &[], b"no such forward\n");
        };
        self.events.push(Event::Flagged { pod, class: group });
        self.reply(id, 202, &[], b"");
    }

    /// Who else is there, as this sidecar holds it.
    fn tell_fleet(&mut self, id: SocketId) {
        match self.membership.as_ref().map(|membership| {
            serde_json::to_vec(&membership.view(self.now, |pod| self.directory.address(pod)))
        }) {
            Some(Ok(body)) => self.reply(id, 200, &[("content-type", "application/json")], &body),
            _ => self.reply(
                id,
                404,
                &[],
                b"this sidecar knows of no others: no peers in its settings\n",
            ),
        }
    }

    fn tell_state(&mut self, id: SocketId) {
        match self
            .replication
            .as_ref()
            .map(|replication| serde_json::to_vec(&replication.view()))
        {
            Some(Ok(body)) => self.reply(id, 200, &[("content-type", "application/json")], &body),
            _ => self.reply(
                id,
                404,
                &[],
                b"nothing is kept for others here: no `peers.replicas` in its settings\n",
            ),
        }
    }

    fn tell_work(&mut self, id: SocketId) {
        match self
            .maintenance
            .as_ref()
            .map(|maintenance| serde_json::to_vec(&maintenance.view(self.now)))
        {
            Some(Ok(body)) => self.reply(id, 200, &[("content-type", "application/json")], &body),
            _ => self.reply(
                id,
                404,
                &[],
                b"no machine goes out for work here: no `work` in its settings\n",
            ),
        }
    }

    fn asked_for_work(&mut self, id: SocketId, body: &[u8]) {
        let Some(maintenance) = &mut self.maintenance else {
            return self.tell_work(id);
        };
        let asked = serde_json::from_slice(body).map_err(|e| e.to_string());
        let result = asked.and_then(|request| {
            let result = maintenance.handle_request(self.now, &request, &self.listed);
            result.map_err(|error| error.to_string())
        });
        match result {
            Ok(list) => {
                let said = serde_json::json!({ "list": list }).to_string();
                self.reply(
                    id,
                    202,
                    &[("content-type", "application/json")],
                    said.as_bytes(),
                );
            }
            Err(why) => self.reply(id, 400, &[], format!("{why}\n").as_bytes()),
        }
    }

    fn tell_status(&mut self, id: SocketId) {
        let status = serde_json::json!({
            "name": self.terms.name,
            "open_hits": self.requests.len(),
            "clients": self.clients,
            "sockets": self.sockets.open_count(),
            "pods": self.rows.len(),
            "list_index": self.list_index,
            "list_watched": self.list_link.is_some(),
            "hits": self.requests.total_accepted(),
            "unsent": self.sockets.total_unsent_bytes(),
        });
        self.reply(
            id,
            200,
            &[("content-type", "application/json")],
            status.to_string().as_bytes(),
        );
    }

    pub(super) fn client_flushed(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        let (hit, stalled) = (client.hit, client.stalled.take());
        stalled.map(|key| self.timers.cancel(key));
        match hit.and_then(|hit| self.requests.get(hit)) {
            Some(open) => {
                let link = open
                    .protocol_state
                    .passing
                    .and_then(|no| open.attempts.get(usize::from(no.0)))
                    .and_then(|f| f.connection);
                link.into_iter().for_each(|link| self.read_upstream(link));
            }
            None => self.read_client(id),
        }
    }

    pub(super) fn request_timed_out(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.slow = None;
        self.say(
            id,
            408,
            &[],
            b"the request did not come whole in time\n",
            false,
        );
        self.close_client(id);
    }

    pub(super) fn stalled(&mut self, id: SocketId) {
        if let Some(client) = self.client(id) {
            client.stalled = None;
            self.client_disconnected(id);
        }
    }

    /// The client went: its hit is over, if it had one.
    pub(super) fn client_disconnected(&mut self, id: SocketId) {
        let hit = self.client(id).and_then(|client| client.hit.take());
        self.remove_client(id);
        self.sockets.close(id);
        let Some(hit) = hit else { return };
        let Some(open) = self.requests.get_mut(hit) else {
            return;
        };
        open.client = None;
        if !open.completed {
            open.completed = true;
            self.replication
                .iter_mut()
                .for_each(|replication| replication.request_finished(hit));
            self.events.push(Event::ClientDisconnected(hit));
            // An answer in mid-way has nobody to go to.
            if let Some(no) = open.protocol_state.passing {
                self.abort_streamed_attempt(hit, no);
            }
            self.requests.remove_if_complete(hit);
        }
    }

    /// Closes once all that was said is sent.
    pub(super) fn close_client(&mut self, id: SocketId) {
        self.remove_client(id);
        self.sockets.close_when_sent(id);
    }

    fn remove_client(&mut self, id: SocketId) {
        let Some(ConnectionRole::Client(client)) = self.connections.remove(&id) else {
            return;
        };
        self.clients -= 1;
        for key in [client.slow, client.stalled].into_iter().flatten() {
            self.timers.cancel(key);
        }
    }
}

/// A passed-on answer keeps its length; where the pod told none, chunks tell its end.
fn streamed_framing(head: &ResponseHead) -> Framing {
    match head.framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    }
}
