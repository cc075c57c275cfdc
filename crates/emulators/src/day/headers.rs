//! What clients and pods tell each other in header fields, which sidecars pass on as any others.

use limewing_net::http::RequestHead;
use limewing_rule_checker::record::{AttemptKey, RequestId, SidecarId};

/// Names a client's attempt: `REQUEST-ATTEMPT`, both counted from 0.
pub(super) const ATTEMPT: &str = "day-try";
/// Set by a pod on an answer that its client can find wrong.
pub(super) const WRONG_ANSWER: &str = "day-wrong";
/// Set by a client on a request that fails at every pod.
pub(super) const FAILING: &str = "day-worthless";
/// The build that answered.
pub(super) const BUILD: &str = "day-build";
/// The time that a client waits for an answer.
pub(super) const TIMEOUT_MS: &str = "request-timeout-ms";
/// The key by which pods drop a repeat.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A path as clients ask for it: each parameter of the pattern is 1.
pub(super) fn concrete_path(pattern: &str) -> String {
    let segments = pattern.split('/').map(|segment| {
        if segment.starts_with('{') {
            "1"
        } else {
            segment
        }
    });
    segments.collect::<Vec<_>>().join("/")
}

/// The client's attempt that a request belongs to.
pub(super) fn attempt_of(head: &RequestHead) -> Option<AttemptKey> {
    let (request, number) = head.fields.text(ATTEMPT)?.split_once('-')?;
    let request = RequestId(request.parse().ok()?);
    Some(AttemptKey::new(request, number.parse().ok()?))
}

/// The sidecar that a field names as `... sidecar-N`.
pub(super) fn sidecar_named_in(text: Option<&str>) -> Option<SidecarId> {
    let number = text?.split("sidecar-").nth(1)?;
    let digits: String = number.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(SidecarId)
}
