//! HTTP status codes (RFC 9110, section 15; RFC 6585, section 4).

/// The request succeeded.
pub(crate) const OK: u16 = 200;
/// The request was accepted for processing.
pub(crate) const ACCEPTED: u16 = 202;
/// The request is malformed.
pub(crate) const BAD_REQUEST: u16 = 400;
/// No resource has this path.
pub(crate) const NOT_FOUND: u16 = 404;
/// The client did not send the complete request in time.
pub(crate) const REQUEST_TIMEOUT: u16 = 408;
/// The request may already have run.
pub(crate) const CONFLICT: u16 = 409;
/// The sender sent too many requests.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;
/// The lowest code of the server error class (5xx).
pub(crate) const FIRST_SERVER_ERROR: u16 = 500;
/// The pod did not send a valid response.
pub(crate) const BAD_GATEWAY: u16 = 502;
/// The request was not sent to a pod.
pub(crate) const SERVICE_UNAVAILABLE: u16 = 503;
/// The pod did not respond in time.
pub(crate) const GATEWAY_TIMEOUT: u16 = 504;
