//! The settings of an instance, as JSON written by the simulator in a start record or a file. `rename` and `expecting`
//! attributes hold the names used in that format and in its errors.

use crate::error::StartSettingsError;
use limewing_decision::interface::{
    Control, DeduplicationScope, Idempotency, RequestClass, RolloutConfig, SafetyLimits,
    SidecarConfig, ZoneId,
};
use serde::Deserialize;
use std::time::Duration;

/// The default connect timeout, in seconds.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// The default idle timeout of a connection, in seconds.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
/// The default number of votes that roll a build back.
const DEFAULT_ROLLBACK_QUORUM: u32 = 1;
/// The exclusive upper bound of durations, in seconds; about 30 years.
const DURATION_LIMIT_S: f64 = 1e9;
/// The simulator's clock has a resolution of 1 microsecond.
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// The `membership_mode` in which an instance requests its endpoints; otherwise they are pushed.
const WATCH_MODE: &str = "subscribe";
/// The value of `domain.counted_by` with which exposure is counted per request class.
const COUNTED_BY_CLASS: &str = "class";

#[derive(Deserialize)]
#[serde(expecting = "struct Options")]
struct StartSettings {
    #[serde(default, rename = "azs")]
    zones: Vec<String>,
    #[serde(rename = "balancers")]
    sidecar_count: u32,
    #[serde(rename = "domain")]
    rollout: RolloutSettings,
    layers: Vec<String>,
    limits: Limits,
    membership_mode: String,
    #[serde(rename = "profiles")]
    classes: Vec<ClassSettings>,
    #[serde(default, rename = "realms")]
    tenants: Vec<TenantSettings>,
    rules: Rules,
    #[serde(default, rename = "me")]
    sidecar_index: u32,
    #[serde(default, rename = "shapes")]
    machine_types: Vec<String>,
    zone: u16,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Domain")]
struct RolloutSettings {
    #[serde(rename = "api_timeout_s")]
    vote_timeout_s: f64,
    #[serde(default, rename = "ayes_needed")]
    promote_quorum: u32,
    counted_by: String,
    gate_mode: String,
    #[serde(default, rename = "keys_stay")]
    sticky_keys: bool,
    #[serde(rename = "most_shares")]
    exposure_caps: Vec<f64>,
    #[serde(default, rename = "shielded")]
    guarded_stages: u8,
    #[serde(rename = "span_s")]
    exposure_window_s: f64,
    #[serde(rename = "stage_share")]
    stage_shares: Vec<f64>,
    #[serde(rename = "uncounted")]
    exposure_free: f64,
    #[serde(default, rename = "vote_allowance")]
    vote_rate_limit: Option<f64>,
    vote_ttl_s: f64,
    #[serde(default, rename = "votes_to_hold")]
    hold_quorum: u32,
    #[serde(default = "default_rollback_quorum", rename = "votes_to_revert")]
    rollback_quorum: u32,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Realm")]
struct TenantSettings {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "cancel")]
    cancellation: bool,
    #[serde(default = "default_connect_timeout")]
    connect_timeout_s: f64,
    #[serde(default = "default_idle_timeout", rename = "idle_close_s")]
    idle_timeout_s: f64,
    max_attempts: u16,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    retry_after: bool,
    #[serde(rename = "second_copies")]
    hedging: bool,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Profile")]
struct ClassSettings {
    #[serde(rename = "deadline_s")]
    client_timeout_s: f64,
    #[serde(default, rename = "group")]
    deduplicated_by: String,
    #[serde(default, rename = "late_worth")]
    late_weight: f64,
    #[serde(default)]
    name: String,
    #[serde(rename = "repeat")]
    idempotency: String,
    #[serde(default)]
    streaming: bool,
    #[serde(rename = "target_s")]
    latency_objective_s: f64,
    #[serde(default, rename = "window_s")]
    deduplication_window_s: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(rename = "cold_from")]
    slow_start_from: f64,
    #[serde(rename = "cold_s")]
    slow_start_duration_s: f64,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_s")]
    overload_window_s: f64,
    #[serde(rename = "stop_sending_within_s")]
    drain_grace_s: f64,
}

/// The settings that a proxy with real sockets needs in addition to [`SidecarConfig`]: names, in the order of the decision
/// engine's ids, and connection timeouts.
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine types.
    pub machine_types: Vec<String>,
    /// The timeout for connecting to a pod.
    pub connect_timeout: Duration,
    /// How long an idle connection to a pod is kept open.
    pub idle_timeout: Duration,
}

/// Reads the settings that a proxy with real sockets needs.
///
/// # Errors
/// The settings are not JSON of the expected form, or a duration is out of range.
pub fn socket_settings(json: &[u8]) -> Result<SocketSettings, StartSettingsError> {
    let settings: StartSettings = serde_json::from_slice(json)?;
    let limits = settings.limits;
    Ok(SocketSettings {
        classes: settings
            .classes
            .into_iter()
            .map(|class| class.name)
            .collect(),
        tenants: settings
            .tenants
            .into_iter()
            .map(|tenant| tenant.name)
            .collect(),
        zones: settings.zones,
        machine_types: settings.machine_types,
        connect_timeout: duration("limits.connect_timeout_s", limits.connect_timeout_s)?,
        idle_timeout: duration("limits.idle_close_s", limits.idle_timeout_s)?,
    })
}

/// Reads the decision engine's configuration from an instance's settings.
///
/// # Errors
/// The settings are not JSON of the expected form, or contain an invalid value.
pub fn sidecar_config(seed: u64, json: &[u8]) -> Result<SidecarConfig, StartSettingsError> {
    let settings: StartSettings = serde_json::from_slice(json)?;
    check(&settings)?;
    let control = control(&settings.rollout)?;
    let limits = &settings.limits;
    let max_retry_after = duration("limits.max_retry_after_s", limits.max_retry_after_s)?;
    let classes = settings
        .classes
        .iter()
        .map(request_class)
        .collect::<Result<_, _>>()?;
    let watches = settings.membership_mode == WATCH_MODE;
    Ok(SidecarConfig {
        seed,
        sidecar_count: settings.sidecar_count,
        sidecar_index: settings.sidecar_index,
        zone: ZoneId(settings.zone),
        classes,
        watch_on_request: watches,
        endpoints_pushed: !watches,
        endpoint_lease: None,
        cancellation: limits.cancellation,
        hedging: limits.hedging,
        retry_after: limits.retry_after.then_some(max_retry_after),
        max_attempts: limits.max_attempts,
        safety: safety_limits(&settings.rules)?,
        rollout: rollout_config(settings.rollout, control)?,
    })
}

fn check(settings: &StartSettings) -> Result<(), StartSettingsError> {
    let rollout = &settings.rollout;
    if settings.layers.is_empty() || settings.classes.is_empty() || settings.sidecar_count == 0 {
        return Err(StartSettingsError::Empty);
    }
    let stages_match = rollout.exposure_caps.len() == rollout.stage_shares.len();
    if !stages_match || rollout.exposure_caps.is_empty() {
        return Err(StartSettingsError::StagesMismatch);
    }
    if let Some(limit) = rollout.vote_rate_limit {
        if limit.is_nan() || limit <= 0.0 {
            return Err(StartSettingsError::VoteRateLimit);
        }
    }
    Ok(())
}

fn control(rollout: &RolloutSettings) -> Result<Control, StartSettingsError> {
    match rollout.gate_mode.as_str() {
        "timer" => Ok(Control::Clock),
        "any" | "share" => Ok(Control::Votes),
        other => Err(unknown_value("domain.gate_mode", other)),
    }
}

fn request_class(class: &ClassSettings) -> Result<RequestClass, StartSettingsError> {
    Ok(RequestClass {
        idempotency: idempotency(class)?,
        latency_objective: duration("profiles.target_s", class.latency_objective_s)?,
        client_timeout: duration("profiles.deadline_s", class.client_timeout_s)?,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        streaming: class.streaming,
    })
}

fn idempotency(class: &ClassSettings) -> Result<Idempotency, StartSettingsError> {
    match class.idempotency.as_str() {
        "free" => Ok(Idempotency::Idempotent),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        "guarded" => Ok(Idempotency::Keyed {
            deduplicated_by: deduplication_scope(class)?,
            window: duration("profiles.window_s", class.deduplication_window_s)?,
        }),
        other => Err(unknown_value("profiles.repeat", other)),
    }
}

fn deduplication_scope(class: &ClassSettings) -> Result<DeduplicationScope, StartSettingsError> {
    match class.deduplicated_by.as_str() {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(unknown_value("profiles.group", other)),
    }
}

fn safety_limits(rules: &Rules) -> Result<SafetyLimits, StartSettingsError> {
    Ok(SafetyLimits {
        drain_grace: duration("rules.stop_sending_within_s", rules.drain_grace_s)?,
        slow_start_from: rules.slow_start_from,
        slow_start_duration: duration("rules.cold_s", rules.slow_start_duration_s)?,
        overload_multiple: rules.overload_multiple,
        overload_window: duration("rules.fall_s", rules.overload_window_s)?,
    })
}

fn rollout_config(
    rollout: RolloutSettings,
    control: Control,
) -> Result<RolloutConfig, StartSettingsError> {
    Ok(RolloutConfig {
        control,
        stage_shares: rollout.stage_shares,
        exposure_caps: rollout.exposure_caps,
        exposure_window: duration("domain.span_s", rollout.exposure_window_s)?,
        exposure_free: rollout.exposure_free,
        exposure_per_class: rollout.counted_by == COUNTED_BY_CLASS,
        guarded_stages: rollout.guarded_stages,
        sticky_keys: rollout.sticky_keys,
        vote_ttl: duration("domain.vote_ttl_s", rollout.vote_ttl_s)?,
        vote_timeout: duration("domain.api_timeout_s", rollout.vote_timeout_s)?,
        rollback_quorum: rollout.rollback_quorum,
        hold_quorum: rollout.hold_quorum,
        promote_quorum: rollout.promote_quorum,
        vote_rate_limit: rollout.vote_rate_limit,
    })
}

fn duration(setting: &'static str, seconds: f64) -> Result<Duration, StartSettingsError> {
    if !(0.0..DURATION_LIMIT_S).contains(&seconds) {
        return Err(StartSettingsError::Duration { setting, seconds });
    }
    let microseconds = seconds * MICROSECONDS_PER_SECOND;
    Ok(Duration::from_micros(microseconds.round() as u64))
}

fn unknown_value(setting: &'static str, found: &str) -> StartSettingsError {
    StartSettingsError::UnknownValue {
        setting,
        found: found.to_owned(),
    }
}

fn default_connect_timeout() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_S
}

fn default_idle_timeout() -> f64 {
    DEFAULT_IDLE_TIMEOUT_S
}

fn default_rollback_quorum() -> u32 {
    DEFAULT_ROLLBACK_QUORUM
}
