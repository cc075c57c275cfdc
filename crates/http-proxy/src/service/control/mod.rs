//! The control services: the endpoint list, and the rollout service's stages and votes.
//!
//! Either may be lost for long: the sidecar goes on with what it knows and tries again.

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
    /// The head of a request to a control service.
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
