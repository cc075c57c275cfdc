//! Responses that this sidecar generates: rejections, failures and its own pages.

use crate::http_status;
use crate::service::Service;
use bytes::BytesMut;
use limewing_decision::interface::RequestId;
use limewing_net::body::Framing;
use limewing_net::http::{self, HttpError};
use limewing_net::sockets::SocketId;
use limewing_replication::Refusal;
use std::time::Duration;

const PROXY_STATUS: &str = "proxy-status";
const RETRY_AFTER: &str = "retry-after";
/// Default value of `Retry-After`, in seconds.
const DEFAULT_RETRY_AFTER_SECONDS: &str = "1";

/// A header field's name and value.
type Field<'a> = (&'a str, &'a str);

/// Whether a request that this sidecar answers itself may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// It did not run and will not run.
    None,
    /// It may have run.
    Unknown,
}

impl Service {
    /// Rejects a request that did not run. A `retry_after` of zero omits the `Retry-After` field.
    pub(in crate::service) fn reject_request(&mut self, id: RequestId, retry_after: Duration) {
        // Retry-After holds whole seconds only.
        let seconds = retry_after.as_secs_f64().ceil().to_string();
        let status = self.proxy_status(Effect::None);
        let mut fields = vec![(PROXY_STATUS, status.as_str())];
        if !retry_after.is_zero() {
            fields.push((RETRY_AFTER, &seconds));
        }
        self.complete_request(id, http_status::SERVICE_UNAVAILABLE, &fields);
    }

    /// Fails a request that may have run.
    pub(in crate::service) fn fail_request(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        let is_late = request.is_some_and(|request| self.now >= request.deadline);
        let code = if is_late {
            http_status::GATEWAY_TIMEOUT
        } else {
            http_status::BAD_GATEWAY
        };
        let status = self.proxy_status(Effect::Unknown);
        self.complete_request(id, code, &[(PROXY_STATUS, &status)]);
    }

    fn complete_request(&mut self, id: RequestId, status: u16, fields: &[Field]) {
        self.peers.request_finished(id);
        let Some(request) = self.requests.pending_mut(id) else {
            return;
        };
        request.completed = true;
        if let Some(client) = request.client.take() {
            self.respond(client, status, fields, b"");
            self.end_request(client);
        }
        self.remove_completed_request(id);
    }

    /// Responds to a client whose connection is not accepted, and closes the connection.
    pub(super) fn reject_client(&mut self, id: SocketId) {
        let status = self.proxy_status(Effect::None);
        let fields = [
            (RETRY_AFTER, DEFAULT_RETRY_AFTER_SECONDS),
            (PROXY_STATUS, &status),
        ];
        self.write_local_response(id, http_status::SERVICE_UNAVAILABLE, &fields, b"", false);
        self.sockets.close_when_sent(id);
    }

    /// Rejects a request for which there is no memory, and closes the connection: the rest of the request is not kept.
    pub(super) fn reject_for_lack_of_memory(&mut self, id: SocketId) {
        let memory = &self.clients.memory;
        tracing::debug!(
            reserved = memory.reserved(),
            buffered = self.sockets.buffered_bytes(),
            limit = memory.limit(),
            open_requests = self.requests.len(),
            "request rejected for lack of memory"
        );
        let status = self.proxy_status(Effect::None);
        let fields = [
            (RETRY_AFTER, DEFAULT_RETRY_AFTER_SECONDS),
            (PROXY_STATUS, &status),
        ];
        self.write_local_response(id, http_status::SERVICE_UNAVAILABLE, &fields, b"", false);
        self.close_client(id);
    }

    /// Rejects a request that arrived during shutdown.
    pub(super) fn reject_during_shutdown(&mut self, id: SocketId) {
        let status = self.proxy_status(Effect::None);
        let fields = [
            (RETRY_AFTER, DEFAULT_RETRY_AFTER_SECONDS),
            (PROXY_STATUS, &status),
        ];
        self.respond(id, http_status::SERVICE_UNAVAILABLE, &fields, b"");
    }

    /// Responds to a request that must not be sent because of replicated state.
    pub(super) fn respond_to_refusal(
        &mut self,
        id: SocketId,
        refusal: Refusal,
        is_non_idempotent: bool,
    ) {
        let (code, effect) = match refusal {
            // Until replication has caught up, another sidecar may have run the request without this one knowing.
            Refusal::NotCaughtUp if is_non_idempotent => {
                (http_status::BAD_GATEWAY, Effect::Unknown)
            }
            Refusal::NotCaughtUp => (http_status::SERVICE_UNAVAILABLE, Effect::None),
            Refusal::MayHaveRun => (http_status::CONFLICT, Effect::Unknown),
        };
        let status = self.proxy_status(effect);
        self.respond(id, code, &[(PROXY_STATUS, &status)], b"");
    }

    /// Rejects input that is not a valid HTTP/1.1 request, and closes the connection.
    pub(super) fn reject_malformed_request(&mut self, id: SocketId, error: HttpError) {
        tracing::debug!(%error, "malformed request rejected");
        let text = format!("{error}\n");
        self.write_local_response(id, error.status(), &[], text.as_bytes(), false);
        self.close_client(id);
    }

    /// Handles a request that was not received in time.
    pub(in crate::service) fn request_timed_out(&mut self, id: SocketId) {
        let Some(client) = self.client_mut(id) else {
            return;
        };
        client.request_timer = None;
        let text = b"the request did not come whole in time\n";
        self.write_local_response(id, http_status::REQUEST_TIMEOUT, &[], text, false);
        self.close_client(id);
    }

    /// Responds to a client's current request, and closes the connection if that request was its last.
    pub(super) fn respond(&mut self, id: SocketId, status: u16, fields: &[Field], body: &[u8]) {
        let keep_alive = self
            .client_mut(id)
            .is_some_and(|client| !client.close_after_response);
        self.write_local_response(id, status, fields, body, keep_alive);
        if !keep_alive {
            self.close_client(id);
        }
    }

    fn write_local_response(
        &mut self,
        id: SocketId,
        status: u16,
        fields: &[Field],
        body: &[u8],
        keep_alive: bool,
    ) {
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let framing = Framing::Length(body.len() as u64);
        let mut out = BytesMut::new();
        http::write_response(&mut out, status, fields, framing, keep_alive);
        out.extend_from_slice(body);
        self.sockets.send(id, &out);
    }

    /// Returns the value of the `Proxy-Status` field (RFC 9209).
    fn proxy_status(&self, effect: Effect) -> String {
        let name = &self.settings.name;
        match effect {
            Effect::None => format!(
                "{name}; error=destination_unavailable; details=\"bounced: a retry is harmless\""
            ),
            Effect::Unknown => format!(
                "{name}; error=http_response_incomplete; details=\"errored: it may have run\""
            ),
        }
    }
}
