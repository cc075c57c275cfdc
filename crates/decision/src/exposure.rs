//! Rule 5: limits the requests sent to a build on trial, and keeps a routing key with the build
//! that has served it.

use crate::context::Context;
use crate::derived_config::DerivedConfig;
use crate::endpoint_state::{EndpointState, EndpointStates};
use crate::interface::{BuildId, ClassId, Idempotency, Phase, RoutingKey, StageUpdate};
use crate::message::Refusal;
use crate::request_state::RequestRecord;
use crate::statistics::SlidingWindow;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The share of the window in which requests count. Older requests are excluded because they leave
/// the window before the attempts made for them.
const COUNTED_WINDOW_FRACTION: f64 = 0.9;

/// The number of stored routing keys from which on no further key goes to a build on trial. Bounds
/// memory, because clients choose the keys.
pub(crate) const MAX_STORED_KEYS: usize = 100_000;

/// The limit on requests for a build on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExposureCap {
    /// The maximum share of requests, from 0 to 1.
    pub(crate) share: f64,
    /// The index of the stage that the limit belongs to.
    pub(crate) stage: u8,
}

/// Returns the cap of a build on trial, or `None` if the build is not on trial. A build without a
/// stage update is treated as in the first stage, unless no older build runs.
pub(crate) fn exposure_cap(
    build: BuildId,
    lowest_build: Option<BuildId>,
    stage: Option<StageUpdate>,
    config: &DerivedConfig,
) -> Option<ExposureCap> {
    let first_stage = || ExposureCap {
        share: config.exposure_caps[0],
        stage: 0,
    };
    let Some(update) = stage else {
        let nothing_older = lowest_build.is_none_or(|lowest| build <= lowest);
        return (!nothing_older).then(first_stage);
    };
    let released = build == update.build && update.phase == Phase::Released;
    if build < update.build || released {
        None
    } else if build == update.build {
        Some(ExposureCap {
            share: update.cap,
            stage: update.stage.0,
        })
    } else {
        Some(first_stage())
    }
}

/// Counts requests and attempts, and tracks which build served each routing key.
#[derive(Default)]
pub(crate) struct ExposureControl {
    stage: Option<StageUpdate>,
    /// Arrived requests by exposure counter.
    admitted: BTreeMap<usize, SlidingWindow>,
    /// Attempts by build and exposure counter.
    exposed: BTreeMap<(BuildId, usize), SlidingWindow>,
    /// The newest build that served each key.
    key_builds: BTreeMap<RoutingKey, BuildId>,
    /// A build that counts as having served every key, set once no older build could receive
    /// requests.
    min_key_build: Option<BuildId>,
}

impl ExposureControl {
    pub(crate) fn record_request(&mut self, class: ClassId, context: &Context) {
        self.admitted
            .entry(context.config.exposure_counter(class))
            .or_default()
            .record(context.now);
    }

    pub(crate) fn record_attempt(&mut self, build: BuildId, class: ClassId, context: &Context) {
        let counter = context.config.exposure_counter(class);
        self.exposed
            .entry((build, counter))
            .or_default()
            .record(context.now);
    }

    /// Records that a build served a key. Keys of builds older than the announced one are not
    /// subject to the rule. At the limit, new keys of a released build count as all keys, because
    /// every request may go to that build.
    pub(crate) fn record_key(&mut self, key: RoutingKey, build: BuildId) {
        if self.stage.is_some_and(|update| build < update.build) {
            return;
        }
        let is_released = self
            .stage
            .is_some_and(|update| update.build == build && update.phase == Phase::Released);
        if is_released && !self.has_room_for_key(key) {
            self.key_builds.retain(|_, newest| *newest > build);
            self.min_key_build = self.min_key_build.max(Some(build));
            return;
        }
        self.key_builds
            .entry(key)
            .and_modify(|newest| *newest = build.max(*newest))
            .or_insert(build);
    }

    /// Applies a stage update. Only the keys of the newest build are subject to the rule, so keys
    /// of older builds are dropped.
    pub(crate) fn on_stage_updated(&mut self, update: StageUpdate) {
        if self.stage.is_some_and(|old| old.build < update.build) {
            self.key_builds.retain(|_, build| *build >= update.build);
            self.min_key_build = self.min_key_build.filter(|build| *build >= update.build);
        }
        self.stage = Some(update);
    }

    pub(crate) fn on_tick(&mut self, endpoints: &EndpointStates, context: &Context) {
        self.compact_keys(endpoints, context);
        self.exposed.retain(|_, window| !window.is_empty());
        let from = context.ago(context.config.exposure_window);
        for window in self.admitted.values_mut().chain(self.exposed.values_mut()) {
            window.expire_before(from);
        }
    }

    /// Replaces the keys of a released build by a single entry once no older build can receive
    /// requests, which avoids storing a million keys per day. An older pod that comes back then
    /// receives only requests without a key.
    fn compact_keys(&mut self, endpoints: &EndpointStates, context: &Context) {
        let Some(update) = self.stage else {
            return;
        };
        if update.phase != Phase::Released || self.key_builds.is_empty() {
            return;
        }
        let usable =
            |state: &EndpointState| !state.is_past_grace(context.now, context.config.drain_grace);
        let nothing_older = endpoints
            .values()
            .all(|state| state.endpoint.build >= update.build || !usable(state));
        if nothing_older {
            // Keys of a later build that was listed before its stage was announced are kept.
            self.key_builds.retain(|_, build| *build > update.build);
            self.min_key_build = Some(update.build);
        }
    }

    /// Returns the cap of a build, or `None` if it is not on trial.
    pub(crate) fn cap(
        &self,
        build: BuildId,
        endpoints: &EndpointStates,
        config: &DerivedConfig,
    ) -> Option<ExposureCap> {
        exposure_cap(build, endpoints.lowest_build(), self.stage, config)
    }

    /// Checks whether the rule allows one more attempt of a request at a build.
    ///
    /// A lowered cap takes effect as soon as its update arrives, without a grace period.
    pub(crate) fn check(
        &self,
        request: &RequestRecord,
        build: BuildId,
        endpoints: &EndpointStates,
        context: &Context,
    ) -> Result<(), Refusal> {
        let config = &context.config;
        self.check_scheduled(request, build, endpoints, config)?;
        let Some(cap) = self.cap(build, endpoints, config) else {
            return Ok(());
        };
        let has_room = !config.sticky_keys
            || request
                .routing_key
                .is_none_or(|key| self.has_room_for_key(key));
        if !has_room {
            return Err(Refusal::ExposureCap);
        }
        if self.is_within_cap(cap.share, request.class, build, context) {
            Ok(())
        } else {
            Err(Refusal::ExposureCap)
        }
    }

    /// Returns whether a build may serve a key that is not stored yet, or the key is stored.
    fn has_room_for_key(&self, key: RoutingKey) -> bool {
        self.key_builds.len() < MAX_STORED_KEYS || self.key_builds.contains_key(&key)
    }

    /// Checks whether the rule still allows an attempt of a request at a build that counts towards
    /// the cap already: the key stays with the newest build that served it, and the stage is open
    /// to the class of the request.
    pub(crate) fn check_scheduled(
        &self,
        request: &RequestRecord,
        build: BuildId,
        endpoints: &EndpointStates,
        config: &DerivedConfig,
    ) -> Result<(), Refusal> {
        if self.is_key_of_newer_build(request, build, config) {
            return Err(Refusal::StickyKey);
        }
        let Some(cap) = self.cap(build, endpoints, config) else {
            return Ok(());
        };
        let idempotent = config.class(request.class).idempotency == Idempotency::Idempotent;
        let stage_open = cap.share > 0.0 && (cap.stage >= config.guarded_stages || idempotent);
        if stage_open {
            Ok(())
        } else {
            Err(Refusal::ExposureCap)
        }
    }

    /// Returns whether the request's key was served by a newer build that is on trial or released.
    fn is_key_of_newer_build(
        &self,
        request: &RequestRecord,
        build: BuildId,
        config: &DerivedConfig,
    ) -> bool {
        let keys_are_sticky = config.sticky_keys
            && self.stage.is_some_and(|update| {
                build < update.build && matches!(update.phase, Phase::OnTrial | Phase::Released)
            });
        let served_by = |key| self.key_builds.get(&key).copied().max(self.min_key_build);
        keys_are_sticky
            && request
                .routing_key
                .is_some_and(|key| served_by(key) > Some(build))
    }

    fn is_within_cap(&self, share: f64, class: ClassId, build: BuildId, context: &Context) -> bool {
        let config = &context.config;
        let counter = config.exposure_counter(class);
        let counted_window = config.exposure_window.mul_f64(COUNTED_WINDOW_FRACTION);
        let count = |window: Option<&SlidingWindow>, span| {
            window.map_or(0, |window| window.count_since(context.ago(span)))
        };
        let attempts = count(self.exposed.get(&(build, counter)), config.exposure_window);
        let requests = count(self.admitted.get(&counter), counted_window);
        (attempts + 1) as f64 <= config.exposure_free + share * requests as f64
    }
}
