//! The request that all load consists of.

use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::write_request;

/// The path of the request class in [`sidecar_settings`](crate::sidecar_settings).
pub(crate) const QUOTE_PATH: &str = "/quotes/1";
/// The longest response that is read, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A `GET` of this path, as it goes on the wire.
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
