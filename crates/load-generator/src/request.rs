//! The request that the load consists of.

use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::write_request;

/// Path of the request class in [`sidecar_settings`](crate::sidecar_settings).
pub(crate) const QUOTE_PATH: &str = "/quotes/1";
/// Maximum size of a response, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Encodes a `GET` request for this path.
pub(crate) fn get_request(path: &str) -> BytesMut {
    let mut request = BytesMut::new();
    let fields = [(&b"host"[..], &b"load.example"[..])];
    write_request(
        &mut request,
        "GET",
        path,
        fields.into_iter(),
        Framing::Length(0),
    );
    request
}
