//! How often the runs put each rule to the test.

/// Counts of situations in which a rule could have been broken. A run in which they stay at zero proves nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Requests that arrived.
    pub requests: usize,
    /// Final answers that a sidecar gave itself.
    pub answers: usize,
    /// Responses that began to stream.
    pub streams: usize,
    /// Attempts of a request of which an earlier attempt may have run.
    pub repeats: usize,
    /// Retries of a non-idempotent request, after proof that no earlier attempt ran.
    pub proven_retries: usize,
    /// Answers to requests that may have run.
    pub answers_after_run: usize,
    /// Attempts decided while a pod was known that had drained past its grace.
    pub attempts_beside_drained_pod: usize,
    /// Attempts begun on a connection after one that broke.
    pub redials: usize,
    /// Attempts refused at their first byte.
    pub withheld: usize,
    /// Of these, attempts at pods known to have drained past their grace.
    pub withheld_past_grace: usize,
    /// Attempts that began while nothing had been heard of the endpoint list for longer than lease and grace, and another
    /// pod of the same build that had served within the lease could have taken them.
    pub begun_on_expired_list: usize,
    /// Of these, attempts that began while a pod was held for ready that had in truth drained for that long.
    pub begun_beside_stale_pod: usize,
    /// Attempts at pods that were warming up.
    pub attempts_at_cold_pods: usize,
    /// Attempts at builds on trial.
    pub attempts_on_trial: usize,
    /// Exposure caps that were lowered.
    pub lowered_caps: usize,
    /// Requests that are not idempotent, taken in a guarded stage.
    pub guarded_requests: usize,
    /// Attempts of a routing key that the newest build had served, while an older build ran.
    pub sticky_attempts: usize,
}
