//! The start terms: the JSON of a `power_on` into our own words.

use limewing::interface::*;
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
struct Options {
    balancers: u32,
    domain: Domain,
    layers: Vec<String>,
    limits: Limits,
    membership_mode: String,
    #[serde(default = "one")]
    over_share_worth: f64,
    profiles: Vec<Profile>,
    #[serde(default)]
    realms: Vec<Realm>,
    rules: Rules,
    #[serde(default)]
    stats: Stats,
    #[serde(default)]
    me: u32,
    zone: u16,
}

fn one() -> f64 {
    1.0
}

fn one_vote() -> u32 {
    1
}

#[derive(Deserialize)]
struct Domain {
    api_timeout_s: f64,
    counted_by: String,
    #[serde(default)]
    flag_share: f64,
    gate_mode: String,
    #[serde(default)]
    keys_stay: bool,
    most_shares: Vec<f64>,
    #[serde(default)]
    moves_after_s: f64,
    #[serde(default)]
    shielded: u8,
    span_s: f64,
    stage_share: Vec<f64>,
    uncounted: f64,
    vote_ttl_s: f64,
    #[serde(default = "one_vote")]
    votes_to_revert: u32,
}

#[derive(Deserialize)]
struct Limits {
    cancel: bool,
    max_attempts: u16,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    probing: bool,
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
    repeat: String,
    #[serde(default)]
    streaming: bool,
    target_s: f64,
    #[serde(default)]
    window_s: f64,
    worth: f64,
}

#[derive(Deserialize)]
struct Realm {
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Rules {
    answer_slack_s: f64,
    #[serde(default)]
    ask_within_s: f64,
    cold_from: f64,
    cold_s: f64,
    fall_multiple: f64,
    fall_s: f64,
    stop_sending_within_s: f64,
}

#[derive(Deserialize, Default)]
struct Stats {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Clone, Copy, PartialEq)]
enum Field {
    Held,
    Waiting,
    Busy,
    Other,
}

/// What the values of a load report mean at this site, in order.
#[derive(Clone)]
pub struct ReportFields(Vec<Field>);

impl ReportFields {
    pub fn explain(&self, report: &[f32]) -> LoadReport {
        let value = |field: Field| {
            let place = self.0.iter().position(|f| *f == field)?;
            report.get(place).map(|v| f64::from(*v)).filter(|v| v.is_finite())
        };
        LoadReport { held: value(Field::Held), waiting: value(Field::Waiting), busy: value(Field::Busy) }
    }
}

pub struct Start {
    pub terms: StartTerms,
    pub fields: ReportFields,
}

fn span(name: &str, seconds: f64) -> Result<Duration, String> {
    if !(0.0..1e9).contains(&seconds) {
        return Err(format!("start terms: {name} = {seconds} is not a span of time"));
    }
    Ok(Duration::from_micros((seconds * 1e6).round() as u64))
}

fn path_group(p: &Profile) -> Result<PathGroup, String> {
    let repeat = match p.repeat.as_str() {
        "free" => Repeat::Repeatable,
        "single_shot" => Repeat::Mutating,
        "guarded" => {
            let drops_repeats = match p.group.as_str() {
                "all" => Reach::All,
                "zone" => Reach::Zone,
                "cell" => Reach::Cell,
                other => return Err(format!("start terms: unknown profiles.group {other:?}")),
            };
            Repeat::Tagged { drops_repeats, memory: span("profiles.window_s", p.window_s)? }
        }
        other => return Err(format!("start terms: unknown profiles.repeat {other:?}")),
    };
    Ok(PathGroup {
        repeat,
        target_latency: span("profiles.target_s", p.target_s)?,
        client_timeout: span("profiles.deadline_s", p.deadline_s)?,
        benefit: p.worth,
        late_benefit: p.late_worth,
        streamed: p.streaming,
    })
}

/// Reads the start terms; what cannot be used is told in one line.
pub fn start_terms(seed: u64, options: &[u8]) -> Result<Start, String> {
    let o: Options = serde_json::from_slice(options).map_err(|e| format!("start terms: {e}"))?;
    if o.layers.is_empty() || o.profiles.is_empty() || o.balancers == 0 {
        return Err("start terms: layers, profiles or balancers is empty".into());
    }
    if o.domain.most_shares.len() != o.domain.stage_share.len() || o.domain.most_shares.is_empty() {
        return Err("start terms: domain.most_shares and domain.stage_share do not match".into());
    }
    let control = match o.domain.gate_mode.as_str() {
        "timer" => Control::Clock,
        "any" | "share" => Control::Votes,
        other => return Err(format!("start terms: unknown domain.gate_mode {other:?}")),
    };
    let fields = o.stats.fields.iter().map(|name| match name.as_str() {
        "active" => Field::Held,
        "waiting" => Field::Waiting,
        "cpu" => Field::Busy,
        _ => Field::Other,
    });
    let fields = ReportFields(fields.collect());
    let retry_after = span("limits.max_retry_after_s", o.limits.max_retry_after_s)?;
    let terms = StartTerms {
        seed,
        sidecars: o.balancers,
        own_number: o.me,
        zone: ZoneId(o.zone),
        groups: o.profiles.iter().map(path_group).collect::<Result<_, _>>()?,
        customers: o.realms.iter().map(|r| Customer { quota_per_s: r.quota_per_s }).collect(),
        over_quota_worth: o.over_share_worth,
        list_on_request: o.membership_mode == "subscribe",
        may_probe: o.limits.probing,
        may_cancel: o.limits.cancel,
        second_copies: o.limits.second_copies,
        retry_after: o.limits.retry_after.then_some(retry_after),
        max_forwards: o.limits.max_attempts,
        rules: RuleTerms {
            answer_slack: span("rules.answer_slack_s", o.rules.answer_slack_s)?,
            drain_grace: span("rules.stop_sending_within_s", o.rules.stop_sending_within_s)?,
            cold_from: o.rules.cold_from,
            cold_for: span("rules.cold_s", o.rules.cold_s)?,
            fall_multiple: o.rules.fall_multiple,
            fall_within: span("rules.fall_s", o.rules.fall_s)?,
            ask_list_within: span("rules.ask_within_s", o.rules.ask_within_s)?,
        },
        release: ReleaseTerms {
            control,
            stage_shares: o.domain.stage_share,
            caps: o.domain.most_shares,
            cap_window: span("domain.span_s", o.domain.span_s)?,
            cap_free: o.domain.uncounted,
            cap_by_group: o.domain.counted_by == "class",
            guarded_stages: o.domain.shielded,
            keys_stay: o.domain.keys_stay,
            step_after: span("domain.moves_after_s", o.domain.moves_after_s)?,
            vote_life: span("domain.vote_ttl_s", o.domain.vote_ttl_s)?,
            vote_answer_within: span("domain.api_timeout_s", o.domain.api_timeout_s)?,
            flagged_share: o.domain.flag_share,
            back_votes: o.domain.votes_to_revert,
        },
    };
    Ok(Start { terms, fields })
}
