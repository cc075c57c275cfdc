//! HTTP requests to discovery and the rollout service.

use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http;

/// Value of the `User-Agent` header.
const USER_AGENT: &str = "limewing";

/// Encodes a request.
pub(super) fn encode_request(method: &str, target: &str, host: &str, body: &[u8]) -> BytesMut {
    let fields = [
        ("host", host),
        ("user-agent", USER_AGENT),
        ("accept", "application/json"),
    ];
    let fields = fields.map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let framing = Framing::Length(body.len() as u64);
    let mut out = BytesMut::new();
    http::write_request(&mut out, method, target, fields.into_iter(), framing);
    out.extend_from_slice(body);
    out
}
