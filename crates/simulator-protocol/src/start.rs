//! The start terms: the JSON of a `power_on` into our own words.

use limewing_decision::interface::*;
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
struct Options {
    #[serde(default)]
    azs: Vec<String>,
    balancers: u32,
    domain: Domain,
    layers: Vec<String>,
    limits: Limits,
    membership_mode: String,
    profiles: Vec<Profile>,
    #[serde(default)]
    realms: Vec<Realm>,
    rules: Rules,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    shapes: Vec<String>,
    zone: u16,
}

fn one_vote() -> u32 {
    1
}

#[derive(Deserialize)]
struct Domain {
    api_timeout_s: f64,
    #[serde(default)]
    ayes_needed: u32,
    counted_by: String,
    gate_mode: String,
    #[serde(default)]
    keys_stay: bool,
    most_shares: Vec<f64>,
    #[serde(default)]
    shielded: u8,
    span_s: f64,
    stage_share: Vec<f64>,
    uncounted: f64,
    #[serde(default)]
    vote_allowance: Option<f64>,
    vote_ttl_s: f64,
    #[serde(default)]
    votes_to_hold: u32,
    #[serde(default = "one_vote")]
    votes_to_revert: u32,
}

#[derive(Deserialize)]
struct Realm {
    #[serde(default)]
    name: String,
}

/// Where the settings are silent: a connection that stands by then, and idle ones that may be kept so long.
const CONNECT_TIMEOUT_S: f64 = 0.25;
const IDLE_CLOSE_S: f64 = 15.0;

fn connect_timeout() -> f64 {
    CONNECT_TIMEOUT_S
}

fn idle_close() -> f64 {
    IDLE_CLOSE_S
}

#[derive(Deserialize)]
struct Limits {
    cancel: bool,
    #[serde(default = "connect_timeout")]
    connect_timeout_s: f64,
    #[serde(default = "idle_close")]
    idle_close_s: f64,
    max_attempts: u16,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
struct Profile {
    deadline_s: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    name: String,
    repeat: String,
    #[serde(default)]
    streaming: bool,
    target_s: f64,
    #[serde(default)]
    window_s: f64,
    worth: f64,
}

#[derive(Deserialize)]
struct Rules {
    cold_from: f64,
    cold_s: f64,
    fall_multiple: f64,
    fall_s: f64,
    stop_sending_within_s: f64,
}

fn span(name: &str, seconds: f64) -> Result<Duration, String> {
    if !(0.0..1e9).contains(&seconds) {
        return Err(format!(
            "start terms: {name} = {seconds} is not a span of time"
        ));
    }
    Ok(Duration::from_micros((seconds * 1e6).round() as u64))
}

fn path_group(p: &Profile) -> Result<RequestClass, String> {
    let repeat = match p.repeat.as_str() {
        "free" => Idempotency::Idempotent,
        "single_shot" => Idempotency::NonIdempotent,
        "guarded" => {
            let drops_repeats = match p.group.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(format!("start terms: unknown profiles.group {other:?}")),
            };
            Idempotency::Keyed {
                deduplicated_by: drops_repeats,
                window: span("profiles.window_s", p.window_s)?,
            }
        }
        other => return Err(format!("start terms: unknown profiles.repeat {other:?}")),
    };
    Ok(RequestClass {
        idempotency: repeat,
        latency_objective: span("profiles.target_s", p.target_s)?,
        client_timeout: span("profiles.deadline_s", p.deadline_s)?,
        priority_weight: p.worth,
        late_weight: p.late_worth,
        streaming: p.streaming,
    })
}

/// What only a host on sockets needs of the start terms: names, in the order of the module's numbers, and how
/// connections are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct SocketTerms {
    pub groups: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_timeout: Duration,
    pub idle_close: Duration,
}

fn options(json: &[u8]) -> Result<Options, String> {
    serde_json::from_slice(json).map_err(|e| format!("start terms: {e}"))
}

/// Reads what a host on sockets needs; what cannot be used is told in one line.
pub fn socket_terms(json: &[u8]) -> Result<SocketTerms, String> {
    let o = options(json)?;
    Ok(SocketTerms {
        groups: o.profiles.into_iter().map(|p| p.name).collect(),
        customers: o.realms.into_iter().map(|r| r.name).collect(),
        zones: o.azs,
        kinds: o.shapes,
        connect_timeout: span("limits.connect_timeout_s", o.limits.connect_timeout_s)?,
        idle_close: span("limits.idle_close_s", o.limits.idle_close_s)?,
    })
}

/// Reads the start terms; what cannot be used is told in one line.
pub fn start_terms(seed: u64, json: &[u8]) -> Result<SidecarConfig, String> {
    let o = options(json)?;
    if o.layers.is_empty() || o.profiles.is_empty() || o.balancers == 0 {
        return Err("start terms: layers, profiles or balancers is empty".into());
    }
    if o.domain.most_shares.len() != o.domain.stage_share.len() || o.domain.most_shares.is_empty() {
        return Err("start terms: domain.most_shares and domain.stage_share do not match".into());
    }
    if o.domain
        .vote_allowance
        .is_some_and(|calls| calls.is_nan() || calls <= 0.0)
    {
        return Err("start terms: domain.vote_allowance is not over 0".into());
    }
    let control = match o.domain.gate_mode.as_str() {
        "timer" => Control::Clock,
        "any" | "share" => Control::Votes,
        other => return Err(format!("start terms: unknown domain.gate_mode {other:?}")),
    };
    let retry_after = span("limits.max_retry_after_s", o.limits.max_retry_after_s)?;
    Ok(SidecarConfig {
        seed,
        sidecar_count: o.balancers,
        sidecar_index: o.me,
        zone: ZoneId(o.zone),
        classes: o
            .profiles
            .iter()
            .map(path_group)
            .collect::<Result<_, _>>()?,
        watch_on_request: o.membership_mode == "subscribe",
        endpoints_pushed: o.membership_mode != "subscribe",
        endpoint_lease: None,
        cancellation: o.limits.cancel,
        hedging: o.limits.second_copies,
        retry_after: o.limits.retry_after.then_some(retry_after),
        max_attempts: o.limits.max_attempts,
        safety: SafetyLimits {
            drain_grace: span("rules.stop_sending_within_s", o.rules.stop_sending_within_s)?,
            slow_start_from: o.rules.cold_from,
            slow_start_duration: span("rules.cold_s", o.rules.cold_s)?,
            overload_multiple: o.rules.fall_multiple,
            overload_window: span("rules.fall_s", o.rules.fall_s)?,
        },
        rollout: RolloutConfig {
            control,
            stage_shares: o.domain.stage_share,
            exposure_caps: o.domain.most_shares,
            exposure_window: span("domain.span_s", o.domain.span_s)?,
            exposure_free: o.domain.uncounted,
            exposure_per_class: o.domain.counted_by == "class",
            guarded_stages: o.domain.shielded,
            sticky_keys: o.domain.keys_stay,
            vote_ttl: span("domain.vote_ttl_s", o.domain.vote_ttl_s)?,
            vote_timeout: span("domain.api_timeout_s", o.domain.api_timeout_s)?,
            rollback_quorum: o.domain.votes_to_revert,
            hold_quorum: o.domain.votes_to_hold,
            promote_quorum: o.domain.ayes_needed,
            vote_rate_limit: o.domain.vote_allowance,
        },
    })
}
