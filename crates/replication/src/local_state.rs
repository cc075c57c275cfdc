//! Records that a sidecar publishes about its own requests, keys and rollout stages, and requests
//! that it refuses because of the merged state.

use crate::merged_state::MergedState;
use crate::record::{ExecutionMark, Phase, Record, Stage};
use crate::stage::{most_restrictive_stage, stage_after_restart};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time to live of a served key. In a release that takes longer, a sidecar that did not serve the
/// key itself may route it back to an older build once this time has passed since its last answer.
pub const KEY_TIME_TO_LIVE: Duration = Duration::from_secs(600);
/// Time to live of an execution. A client's retry after this time is not refused.
pub const EXECUTION_TIME_TO_LIVE: Duration = Duration::from_secs(120);
/// Time to live of a rollout stage.
pub const STAGE_TIME_TO_LIVE: Duration = Duration::from_secs(3600);
/// Fraction of its time to live after which a served key is published again, so that it does not
/// expire while in use.
const REFRESH_FRACTION: f64 = 0.5;
/// Longest time after a start during which a sidecar that has not caught up refuses requests that
/// must not run twice.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of published keys to remember, which bounds memory.
const MAX_KEYS: usize = 100_000;

/// A request that must not run twice and has attempts in flight.
#[derive(Clone, Debug)]
struct OpenRequest {
    idempotency_key: u64,
    attempts_in_flight: u32,
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug)]
struct PublishedKey {
    build: u16,
    published_at: Duration,
}

impl PublishedKey {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.published_at + KEY_TIME_TO_LIVE.mul_f64(REFRESH_FRACTION)
    }
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Other sidecars may know a reason to refuse the request, and this one has not caught up since
    /// its start.
    NotCaughtUp,
    /// The request must not run twice and may already have run.
    MayHaveRun,
}

/// State of one sidecar from which it derives the records to publish.
#[derive(Clone, Debug)]
pub struct LocalState {
    started_at: Duration,
    /// Whether a key that a build has served stays with that build or a newer one.
    sticky_keys: bool,
    /// Cap for a build that the rollout service has not announced.
    initial_cap: f64,
    /// Keyed by the host's request number.
    requests: BTreeMap<u64, OpenRequest>,
    published_keys: BTreeMap<u64, PublishedKey>,
    stage: Option<Stage>,
    /// Whether the rollout service announced a stage to this process.
    announced_directly: bool,
}

impl LocalState {
    /// Creates the state of a sidecar that starts now.
    pub fn new(now: Duration, sticky_keys: bool, initial_cap: f64) -> Self {
        Self {
            started_at: now,
            sticky_keys,
            initial_cap,
            requests: BTreeMap::new(),
            published_keys: BTreeMap::new(),
            stage: None,
            announced_directly: false,
        }
    }

    /// Returns the rollout stage that this sidecar applies.
    pub fn stage(&self) -> Option<&Stage> {
        self.stage.as_ref()
    }

    /// Applies a stage announced by the rollout service. Returns the record to publish.
    pub fn stage_announced(&mut self, stage: Stage) -> Option<Record> {
        self.announced_directly = true;
        if self.stage.replace(stage) == Some(stage) {
            return None;
        }
        Some(Record::Stage(stage))
    }

    /// Merges the stages of other sidecars, and of the previous process of this sidecar, called
    /// `name`, into the stage it applies. Returns the stage if it changed.
    pub fn merge_stages(&mut self, name: &str, merged: &MergedState) -> Option<Stage> {
        let current = self.stage.or_else(|| self.previous_stage(name, merged));
        let stages = merged.stages().map(|(_, stage)| stage);
        let stage = most_restrictive_stage(current, stages).or(current)?;
        if self.stage == Some(stage) {
            return None;
        }
        self.stage = Some(stage);
        Some(stage)
    }

    /// Returns the stage known to this sidecar's previous process, as far as it is still valid.
    fn previous_stage(&self, name: &str, merged: &MergedState) -> Option<Stage> {
        if self.announced_directly {
            return None;
        }
        let (_, stage) = merged.stages().find(|(of, _)| *of == name)?;
        stage_after_restart(*stage, self.initial_cap)
    }

    /// Returns the reason why a request must not be sent now, if any.
    ///
    /// `idempotency_key` is the hash of the key of a request that must not run twice. Until the
    /// replica has caught up (`caught_up`), requests with a routing key are refused as well if the
    /// key may be bound to the newest build.
    pub fn refusal(
        &self,
        now: Duration,
        merged: &MergedState,
        caught_up: bool,
        idempotency_key: Option<u64>,
        has_routing_key: bool,
    ) -> Option<Refusal> {
        if idempotency_key.is_some_and(|key| merged.may_have_run(now, key)) {
            return Some(Refusal::MayHaveRun);
        }
        if caught_up || now >= self.started_at + MAX_CATCH_UP_WAIT {
            return None;
        }
        let key_may_be_bound = has_routing_key && self.sticky_keys && self.stage_binds_keys();
        if idempotency_key.is_some() || key_may_be_bound {
            return Some(Refusal::NotCaughtUp);
        }
        None
    }

    fn stage_binds_keys(&self) -> bool {
        self.stage
            .is_some_and(|stage| matches!(stage.phase, Phase::OnTrial | Phase::Released))
    }

    /// Records that an attempt of a request that must not run twice is about to be sent. Returns
    /// the record to publish before it is sent.
    pub fn attempt_started(&mut self, request: u64, idempotency_key: u64) -> Option<Record> {
        let is_first = !self.requests.contains_key(&request);
        let open = self.requests.entry(request).or_insert(OpenRequest {
            idempotency_key,
            attempts_in_flight: 0,
            may_have_run: false,
        });
        open.attempts_in_flight += 1;
        // After a `NeverRan` record, a further attempt has to be published again.
        let is_published = !is_first && (open.attempts_in_flight > 1 || open.may_have_run);
        if is_published {
            return None;
        }
        Some(Record::Execution {
            idempotency_key,
            mark: ExecutionMark::MayHaveRun,
        })
    }

    /// Records the end of an attempt. `never_ran` means proof that it did not run, `request_closed`
    /// that no further attempt follows. Returns the record to publish: once no attempt can have
    /// run, other sidecars may send the request.
    pub fn attempt_ended(
        &mut self,
        request: u64,
        never_ran: bool,
        request_closed: bool,
    ) -> Option<Record> {
        let open = self.requests.get_mut(&request)?;
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        open.may_have_run |= !never_ran;
        if open.attempts_in_flight > 0 {
            return None;
        }
        let idempotency_key = open.idempotency_key;
        let may_have_run = open.may_have_run;
        if request_closed {
            self.requests.remove(&request);
        }
        if may_have_run {
            return None;
        }
        Some(Record::Execution {
            idempotency_key,
            mark: ExecutionMark::NeverRan,
        })
    }

    /// Forgets a request that the host has finished, unless attempts are still in flight.
    pub fn request_finished(&mut self, request: u64) {
        let open = self.requests.get(&request);
        if open.is_some_and(|open| open.attempts_in_flight == 0) {
            self.requests.remove(&request);
        }
    }

    /// Records that a build answered a request with a key, given as its hash. Returns the record to
    /// publish.
    ///
    /// Builds older than the announced one are not published, because no key can return to an even
    /// older build.
    pub fn key_served(&mut self, now: Duration, key: u64, build: u16) -> Option<Record> {
        if !self.sticky_keys || self.stage.is_none_or(|stage| build < stage.build) {
            return None;
        }
        let known = self.published_keys.get(&key).copied();
        if known.is_some_and(|known| known.build >= build && known.is_fresh(now)) {
            return None;
        }
        let build = known.map_or(build, |known| build.max(known.build));
        if self.published_keys.len() >= MAX_KEYS {
            self.published_keys.retain(|_, known| known.is_fresh(now));
        }
        if self.published_keys.len() < MAX_KEYS {
            let published = PublishedKey {
                build,
                published_at: now,
            };
            self.published_keys.insert(key, published);
        }
        Some(Record::KeyServed { key, build })
    }
}
