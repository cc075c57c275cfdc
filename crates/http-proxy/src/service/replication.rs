//! State that sidecars replicate through `limewing_replication`: publishes this sidecar's records, and converts records
//! of other sidecars to events for the decision engine and to refusals of requests that may already have run.

mod stage_format;
mod view;

use super::direct_message::{DirectMessage, REPLICATION};
use super::membership::FleetMembership;
use super::unix_time::unix_ms;
use crate::stage_updates::StageMessage;
use limewing_decision::interface::{
    AttemptOutcome, AttemptResult, BuildId, Endpoint, EndpointUpdate, Event, PodId, PodState,
    RequestId, RoutingKey,
};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_replication::{
    LocalState, MergedState, Origin, Packet, Record, Refusal, Replica, ReplicaConfig,
    EXECUTION_TIME_TO_LIVE, KEY_TIME_TO_LIVE, STAGE_TIME_TO_LIVE,
};
use limewing_settings::{PeerSettings, SidecarSettings};
use std::collections::BTreeMap;
use std::time::Duration;
pub use view::{LogView, ReplicationView};

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// Number of other sidecars that receive new entries in each round.
const GOSSIP_FANOUT: usize = 4;
/// Interval at which the list of peers is updated and expired records are removed.
const MEMBERSHIP_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of pods with a remembered build. Above it all are forgotten, and endpoint updates supply them again.
const MAX_KNOWN_BUILDS: usize = 10_000;
/// Replication may use the fraction `1 / BANDWIDTH_DIVISOR` of the sidecar's bandwidth to other sidecars. The rest is
/// left to membership.
const BANDWIDTH_DIVISOR: u32 = 2;

/// The replicated state of this sidecar, and the records that it publishes.
pub(super) struct Replication {
    replica: Replica,
    merged: MergedState,
    local: LocalState,
    /// The build of each pod according to the endpoint list.
    builds: BTreeMap<PodId, BuildId>,
    next_refresh: Duration,
}

/// Updates from other sidecars that a turn produced.
#[derive(Default)]
pub(super) struct ReplicationUpdate {
    /// Events for the decision engine.
    pub(super) events: Vec<Event>,
    /// A rollout stage, to be handled as if the rollout service had announced it.
    pub(super) stage: Option<StageMessage>,
}

impl Replication {
    /// Starts without replicas. `seed` makes the choice of peers reproducible.
    pub(super) fn start(
        now: Duration,
        settings: &SidecarSettings,
        peers: &PeerSettings,
        seed: u64,
    ) -> Self {
        let origin = Origin {
            name: settings.name.clone(),
            incarnation: unix_ms(wall_clock_now()),
        };
        let first_stage = settings.rollout.stages.first();
        let first_cap = first_stage.map_or(0.0, |stage| stage.cap);
        let config = ReplicaConfig {
            origin,
            gossip_interval: GOSSIP_INTERVAL,
            gossip_fanout: GOSSIP_FANOUT,
            bytes_per_second: peers.bytes_per_s / BANDWIDTH_DIVISOR,
            seed,
        };
        Self {
            replica: Replica::new(now, config),
            merged: MergedState::default(),
            local: LocalState::new(now, settings.rollout.sticky_keys, first_cap),
            builds: BTreeMap::new(),
            next_refresh: now,
        }
    }

    /// When [`Self::turn`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.replica.next_tick().min(self.next_refresh)
    }

    /// Processes a packet from another sidecar, without the protocol byte.
    pub(super) fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match Packet::decode(bytes) {
            Ok(packet) => self.replica.receive(now, from, packet),
            Err(error) => tracing::debug!(from, %error, "replication packet rejected"),
        }
    }

    fn publish(&mut self, now: Duration, record: &Record, time_to_live: Duration) {
        let sequence = self.replica.publish(now, record, time_to_live);
        let origin = self.replica.origin().clone();
        self.merged
            .apply(&origin, sequence, now + time_to_live, record);
    }

    /// Records that an attempt of a non-idempotent request is about to be sent. `idempotency_key` is the hash of the
    /// request's key.
    pub(super) fn attempt_started(
        &mut self,
        now: Duration,
        request: RequestId,
        idempotency_key: u64,
    ) {
        if let Some(record) = self.local.attempt_started(request.0, idempotency_key) {
            self.publish(now, &record, EXECUTION_TIME_TO_LIVE);
        }
    }

    /// Records the build of each pod from an endpoint update.
    pub(super) fn observe_event(&mut self, event: &Event) {
        let Event::Endpoints(update) = event else {
            return;
        };
        let Some(endpoints) = endpoints_of(update) else {
            return;
        };
        if self.builds.len() > MAX_KNOWN_BUILDS {
            self.builds.clear();
        }
        for endpoint in endpoints {
            if endpoint.state != PodState::Gone {
                self.builds.insert(endpoint.pod, endpoint.build);
            }
        }
    }

    /// Records the end of an attempt. `key` is the routing key of the request.
    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        result: &AttemptResult,
        key: Option<RoutingKey>,
    ) {
        let record = self.local.attempt_ended(
            result.request.0,
            result.outcome.never_ran(),
            result.request_closed,
        );
        if let Some(record) = record {
            self.publish(now, &record, EXECUTION_TIME_TO_LIVE);
        }
        if result.outcome != AttemptOutcome::Succeeded {
            return;
        }
        let Some((key, build)) = key.zip(self.builds.get(&result.pod).copied()) else {
            return;
        };
        if let Some(record) = self.local.key_served(now, key.0, build.0) {
            self.publish(now, &record, KEY_TIME_TO_LIVE);
        }
    }

    /// Records that no further attempt of a request is sent.
    pub(super) fn request_finished(&mut self, request: RequestId) {
        self.local.request_finished(request.0);
    }

    /// Returns why a request must not be sent now, or `None` if it may be sent. `idempotency_key` is the hash of a
    /// non-idempotent request's key.
    pub(super) fn refusal(
        &self,
        now: Duration,
        idempotency_key: Option<u64>,
        has_routing_key: bool,
    ) -> Option<Refusal> {
        let caught_up = self.replica.caught_up();
        self.local.refusal(
            now,
            &self.merged,
            caught_up,
            idempotency_key,
            has_routing_key,
        )
    }

    /// Publishes a stage that the rollout service announced.
    pub(super) fn stage_announced(&mut self, now: Duration, message: &StageMessage) {
        let stage = stage_format::to_record(message);
        if let Some(record) = self.local.stage_announced(stage) {
            self.publish(now, &record, STAGE_TIME_TO_LIVE);
        }
    }

    /// Runs due work and sends packets through membership. Returns the updates from other sidecars' entries.
    pub(super) fn turn(
        &mut self,
        now: Duration,
        membership: &mut FleetMembership,
    ) -> ReplicationUpdate {
        if now >= self.next_refresh {
            self.next_refresh = now + MEMBERSHIP_REFRESH_INTERVAL;
            self.replica.set_peers(membership.active_names());
            self.merged.expire(now);
        }
        if now >= self.replica.next_tick() {
            self.replica.tick(now);
        }
        let mut update = ReplicationUpdate::default();
        let stages_changed = self.apply_entries(now, &mut update.events);
        while let Some((to, packet)) = self.replica.take_packet() {
            let message = DirectMessage::new(to, REPLICATION, &packet.encode());
            membership.send_direct(now, message);
        }
        if stages_changed {
            update.stage = self.merge_stages();
        }
        update
    }

    /// Applies entries of other sidecars and adds the resulting events. Returns whether the entries contained a stage.
    fn apply_entries(&mut self, now: Duration, events: &mut Vec<Event>) -> bool {
        let mut stages_changed = false;
        while let Some((origin, entry)) = self.replica.take_applied() {
            let Some(record) = Record::decode(entry.kind, &entry.body) else {
                continue;
            };
            let expires_at = now + Duration::from_millis(entry.time_to_live_ms.into());
            let is_new = self
                .merged
                .apply(&origin, entry.sequence, expires_at, &record);
            match record {
                Record::KeyServed { key, build } if is_new => {
                    events.push(Event::KeyServed(RoutingKey(key), BuildId(build)));
                }
                Record::Stage(_) => stages_changed = true,
                _ => {}
            }
        }
        stages_changed
    }

    fn merge_stages(&mut self) -> Option<StageMessage> {
        let name = &self.replica.origin().name;
        let stage = self.local.merge_stages(name, &self.merged)?;
        tracing::info!(%stage, "stage update from other sidecars");
        Some(stage_format::to_message(&stage))
    }

    /// Returns the response to `GET /limewing/state`.
    pub(super) fn view(&self) -> ReplicationView {
        let origin = self.replica.origin();
        let (keys, requests) = self.merged.key_and_request_counts();
        let logs = self.replica.logs();
        let stages = self.merged.stages();
        ReplicationView {
            name: origin.name.clone(),
            incarnation: origin.incarnation,
            caught_up: self.replica.caught_up(),
            bytes_sent: self.replica.bytes_sent(),
            keys,
            requests,
            dropped_records: self.merged.dropped_records(),
            logs: logs
                .map(|(origin, log)| LogView::new(origin, log))
                .collect(),
            stages: stages
                .map(|(name, stage)| format!("{name}: {stage}"))
                .collect(),
            stage: self.local.stage().map(ToString::to_string),
        }
    }
}

fn endpoints_of(update: &EndpointUpdate) -> Option<&[Endpoint]> {
    match update {
        EndpointUpdate::Delta(endpoints)
        | EndpointUpdate::FormerDelta(endpoints)
        | EndpointUpdate::Snapshot(endpoints)
        | EndpointUpdate::Cached(endpoints) => Some(endpoints),
        EndpointUpdate::WatchLost(_) => None,
    }
}

#[cfg(test)]
mod tests;
