//! Header fields between clients and pods, which sidecars pass on like any others.

use limewing_net::http::RequestHead;
use limewing_rule_checker::record::{AttemptKey, RequestId, SidecarId};

/// Identifies a client's attempt as `REQUEST-ATTEMPT`, both counted from 0.
pub(super) const ATTEMPT: &str = "day-try";
/// Set by a pod on a wrong answer, which the client may report.
pub(super) const WRONG_ANSWER: &str = "day-wrong";
/// Set by a client on a request that is to fail at every pod.
pub(super) const FAILING: &str = "day-worthless";
/// The build of the pod that answered.
pub(super) const BUILD: &str = "day-build";
/// The client's timeout for an answer.
pub(super) const TIMEOUT_MS: &str = "request-timeout-ms";
/// The key by which pods detect a repeated request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A path that matches a pattern: each parameter is replaced by 1.
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

/// The client attempt that a request belongs to.
pub(super) fn parse_attempt(head: &RequestHead) -> Option<AttemptKey> {
    let (request, number) = head.fields.text(ATTEMPT)?.split_once('-')?;
    let request = RequestId(request.parse().ok()?);
    Some(AttemptKey::new(request, number.parse().ok()?))
}

/// The sidecar named in a field as `... sidecar-N`.
pub(super) fn parse_sidecar(text: Option<&str>) -> Option<SidecarId> {
    let number = text?.split("sidecar-").nth(1)?;
    let digits: String = number.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(SidecarId)
}
