//! Clients of the control services: the endpoint list, and the stages and votes of the rollout service.
//!
//! Either service may be unavailable for a long time: the sidecar keeps its last known state and retries.

pub(super) mod endpoint_watch;
pub(super) mod known_endpoints;
pub(super) mod stage_watch;
mod votes;

use super::Service;
use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http;
use std::net::SocketAddr;

impl Service {
    /// Builds the head of a request to a control service.
    fn control_request(
        &self,
        method: &str,
        target: &str,
        host: SocketAddr,
        framing: Framing,
    ) -> BytesMut {
        let host = host.to_string();
        let agent = format!("limewing ({})", self.settings.name);
        let fields = [
            (&b"host"[..], host.as_bytes()),
            (&b"user-agent"[..], agent.as_bytes()),
        ];
        let mut out = BytesMut::new();
        http::write_request(&mut out, method, target, fields.into_iter(), framing);
        out
    }
}
