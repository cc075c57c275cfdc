//! Status codes of HTTP (RFC 9110, 15; RFC 6585, 4).

/// The request was served.
pub(crate) const OK: u16 = 200;
/// The request is carried out.
pub(crate) const ACCEPTED: u16 = 202;
/// The request cannot be read.
pub(crate) const BAD_REQUEST: u16 = 400;
/// There is nothing here.
pub(crate) const NOT_FOUND: u16 = 404;
/// The request did not arrive in time.
pub(crate) const REQUEST_TIMEOUT: u16 = 408;
/// The request may have run before.
pub(crate) const CONFLICT: u16 = 409;
/// Too many requests.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;
/// The least code of a server's error.
pub(crate) const FIRST_SERVER_ERROR: u16 = 500;
/// The pod gave no response that can be used.
pub(crate) const BAD_GATEWAY: u16 = 502;
/// The request was not sent.
pub(crate) const SERVICE_UNAVAILABLE: u16 = 503;
/// The pod gave no response in time.
pub(crate) const GATEWAY_TIMEOUT: u16 = 504;
