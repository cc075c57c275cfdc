//! State that matters, kept by the others too: what this sidecar does is shown to `limewing_replication`, what the others put up goes to
//! the decision module as keys that met a build and as stage news that only closes, and says which hits are not sent again.

use super::direct_message::{DirectMessage, REPLICATION};
use super::membership::FleetMembership;
use crate::stage_updates::{StageMessage, StagePhase};
use limewing_decision::interface::{
    AttemptOutcome, AttemptResult, BuildId, EndpointUpdate, Event, PodId, PodState, RequestId,
    RoutingKey,
};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_replication::{
    LocalState, MergedState, Origin, Packet, Phase, Record, Refusal, Replica, ReplicaConfig, Stage,
    EXECUTION_TIME_TO_LIVE, KEY_TIME_TO_LIVE, STAGE_TIME_TO_LIVE,
};
use limewing_settings::{Peers, SidecarSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// New entries go to so many others.
const GOSSIP_FANOUT: usize = 4;
/// The others are looked for so often.
const MEMBERSHIP_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Pods whose build is remembered, at most: beyond, the next lists tell anew.
const MAX_KNOWN_BUILDS: usize = 10_000;

pub struct Replication {
    replica: Replica,
    merged: MergedState,
    local: LocalState,
    builds: BTreeMap<PodId, BuildId>,
    next_refresh: Duration,
}

/// One sidecar's copies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicationView {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    pub caught_up: bool,
    pub bytes_sent: u64,
    pub keys: usize,
    #[serde(rename = "hits")]
    pub requests: usize,
    /// Facts that were left out for want of room.
    #[serde(rename = "left_out")]
    pub dropped_records: u64,
    /// By origin: up to where its copy is whole, entries that live, and entries given up for want of room.
    pub logs: Vec<LogView>,
    pub stages: Vec<String>,
    /// What it goes by.
    pub stage: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogView {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    #[serde(rename = "upto")]
    pub contiguous_through: u64,
    #[serde(rename = "live")]
    pub live_entries: usize,
    #[serde(rename = "given_up")]
    pub evicted_entries: u64,
}

fn to_record(message: &StageMessage) -> Stage {
    Stage {
        number: message.number,
        build: message.build,
        stage: message.stage,
        phase: match message.phase {
            StagePhase::OnTrial => Phase::OnTrial,
            StagePhase::RollingBack => Phase::RollingBack,
            StagePhase::Released => Phase::Released,
            StagePhase::RolledBack => Phase::RolledBack,
        },
        cap: message.cap.clamp(0.0, 1.0),
    }
}

fn to_message(stage: &Stage) -> StageMessage {
    StageMessage {
        number: stage.number,
        build: stage.build,
        stage: stage.stage,
        phase: match stage.phase {
            Phase::OnTrial => StagePhase::OnTrial,
            Phase::RollingBack => StagePhase::RollingBack,
            Phase::Released => StagePhase::Released,
            Phase::RolledBack => StagePhase::RolledBack,
        },
        cap: stage.cap,
        // Since when it stands so nobody tells: its clocks begin anew.
        age_ms: 0.0,
    }
}

impl Replication {
    pub(super) fn start(
        now: Duration,
        settings: &SidecarSettings,
        peers: &Peers,
        seed: u64,
    ) -> Self {
        let start = wall_clock_now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let me = Origin {
            name: settings.name.clone(),
            incarnation: start,
        };
        let first_cap = settings
            .releases
            .stages
            .first()
            .map_or(0.0, |stage| stage.cap);
        // The rest is for knowing who is there.
        let config = ReplicaConfig {
            origin: me,
            gossip_interval: GOSSIP_INTERVAL,
            gossip_fanout: GOSSIP_FANOUT,
            bytes_per_second: peers.bytes_per_s / 2,
            seed,
        };
        Self {
            replica: Replica::new(now, config),
            merged: MergedState::default(),
            local: LocalState::new(now, settings.releases.keys_stay, first_cap),
            builds: BTreeMap::new(),
            next_refresh: now,
        }
    }

    pub(super) fn next_deadline(&self) -> Duration {
        self.replica.next_tick().min(self.next_refresh)
    }

    pub(super) fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match Packet::decode(bytes) {
            Ok(packet) => self.replica.receive(now, from, packet),
            Err(error) => tracing::debug!(from, %error, "replication packet rejected"),
        }
    }

    fn publish(&mut self, now: Duration, record: &Record, life: Duration) {
        let no = self.replica.publish(now, record, life);
        let me = self.replica.origin().clone();
        self.merged.apply(&me, no, now + life, record);
    }

    /// A forward of a hit that may not run twice is about to leave.
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

    /// Which build a pod runs is told by the list.
    pub(super) fn observe_event(&mut self, event: &Event) {
        let Event::Endpoints(news) = event else {
            return;
        };
        let (EndpointUpdate::Delta(rows)
        | EndpointUpdate::Snapshot(rows)
        | EndpointUpdate::Cached(rows)) = news
        else {
            return;
        };
        if self.builds.len() > MAX_KNOWN_BUILDS {
            self.builds.clear();
        }
        let here = rows.iter().filter(|row| row.state != PodState::Gone);
        self.builds.extend(here.map(|row| (row.pod, row.build)));
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        outcome: &AttemptResult,
        key: Option<RoutingKey>,
    ) {
        let build = self.builds.get(&outcome.pod).copied();
        if let Some(record) = self.local.attempt_ended(
            outcome.request.0,
            outcome.outcome.never_ran(),
            outcome.request_over,
        ) {
            self.publish(now, &record, EXECUTION_TIME_TO_LIVE);
        }
        let met = key
            .zip(build)
            .filter(|_| outcome.outcome == AttemptOutcome::Succeeded);
        if let Some(record) =
            met.and_then(|(key, build)| self.local.key_served(now, key.0, build.0))
        {
            self.publish(now, &record, KEY_TIME_TO_LIVE);
        }
    }

    /// Nothing more is sent of a hit.
    pub(super) fn request_finished(&mut self, request: RequestId) {
        self.local.request_finished(request.0);
    }

    /// Whether a hit is not to be sent now.
    pub(super) fn refusal(
        &self,
        now: Duration,
        idempotency_key: Option<u64>,
        has_routing_key: bool,
    ) -> Option<Refusal> {
        self.local.refusal(
            now,
            &self.merged,
            self.replica.caught_up(),
            idempotency_key,
            has_routing_key,
        )
    }

    /// The installer's word: the others are told.
    pub(super) fn stage_announced(&mut self, now: Duration, message: &StageMessage) {
        if let Some(record) = self.local.stage_announced(to_record(message)) {
            self.publish(now, &record, STAGE_TIME_TO_LIVE);
        }
    }

    /// Does what is due; what the module is to be told, and stage news that is to pass as any other.
    pub(super) fn turn(
        &mut self,
        now: Duration,
        membership: &mut FleetMembership,
    ) -> (Vec<Event>, Option<StageMessage>) {
        if now >= self.next_refresh {
            self.next_refresh = now + MEMBERSHIP_REFRESH_INTERVAL;
            self.replica.set_peers(membership.active_names());
            self.merged.expire(now);
        }
        if now >= self.replica.next_tick() {
            self.replica.tick(now);
        }
        let (mut events, mut stages) = (Vec::new(), false);
        while let Some((origin, entry)) = self.replica.take_applied() {
            let Some(record) = Record::decode(entry.kind, &entry.body) else {
                continue;
            };
            let until = now + Duration::from_millis(entry.time_to_live_ms.into());
            let fresh = self.merged.apply(&origin, entry.sequence, until, &record);
            match record {
                Record::KeyServed { key, build } if fresh => {
                    events.push(Event::KeyServed(RoutingKey(key), BuildId(build)))
                }
                Record::Stage(_) => stages = true,
                _ => {}
            }
        }
        while let Some((to, packet)) = self.replica.take_packet() {
            let message = DirectMessage::new(to, REPLICATION, &packet.encode());
            membership.send_direct(now, message);
        }
        let stage = stages
            .then(|| {
                self.local
                    .merge_stages(&self.replica.origin().name, &self.merged)
            })
            .flatten();
        if let Some(stage) = &stage {
            tracing::info!(%stage, "stage update from other sidecars");
        }
        (events, stage.as_ref().map(to_message))
    }

    pub(super) fn view(&self) -> ReplicationView {
        let me = self.replica.origin();
        let (keys, requests) = self.merged.key_and_request_counts();
        let log = |(origin, log): (&Origin, &limewing_replication::Log)| LogView {
            name: origin.name.clone(),
            incarnation: origin.incarnation,
            contiguous_through: log.contiguous_through(),
            live_entries: log.live_entries(),
            evicted_entries: log.evicted_entries(),
        };
        ReplicationView {
            name: me.name.clone(),
            incarnation: me.incarnation,
            caught_up: self.replica.caught_up(),
            bytes_sent: self.replica.bytes_sent(),
            keys,
            requests,
            dropped_records: self.merged.dropped_records(),
            logs: self.replica.logs().map(log).collect(),
            stages: self
                .merged
                .stages()
                .map(|(name, stage)| format!("{name}: {stage}"))
                .collect(),
            stage: self.local.stage().map(ToString::to_string),
        }
    }
}
