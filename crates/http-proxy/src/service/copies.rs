//! State that matters, kept by the others too: what this sidecar does is shown to `limewing_replication`, what the others put up goes to
//! the decision module as keys that met a build and as stage news that only closes, and says which hits are not sent again.

use super::fleet::Fleet;
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

/// The first byte of a parcel: it is of the copies.
pub const COPIES: u8 = 3;
const BEAT: Duration = Duration::from_millis(50);
/// New entries go to so many others.
const FAN: usize = 4;
/// The others are looked for so often.
const LOOKS_EVERY: Duration = Duration::from_millis(100);
/// Pods whose build is remembered, at most: beyond, the next lists tell anew.
const MOST_PODS: usize = 10_000;

pub struct Copies {
    replica: Replica,
    facts: MergedState,
    own: LocalState,
    builds: BTreeMap<PodId, BuildId>,
    next_look: Duration,
}

/// One sidecar's copies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateView {
    pub name: String,
    pub start: u64,
    pub caught_up: bool,
    pub bytes_sent: u64,
    pub keys: usize,
    pub hits: usize,
    /// Facts that were left out for want of room.
    pub left_out: u64,
    /// By origin: up to where its copy is whole, entries that live, and entries given up for want of room.
    pub logs: Vec<LogView>,
    pub stages: Vec<String>,
    /// What it goes by.
    pub stage: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogView {
    pub name: String,
    pub start: u64,
    pub upto: u64,
    pub live: usize,
    pub given_up: u64,
}

fn stage_of(message: &StageMessage) -> Stage {
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

fn message_of(stage: &Stage) -> StageMessage {
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

impl Copies {
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
        let terms = ReplicaConfig {
            origin: me,
            gossip_interval: BEAT,
            gossip_fanout: FAN,
            bytes_per_second: peers.bytes_per_s / 2,
            seed,
        };
        Self {
            replica: Replica::new(now, terms),
            facts: MergedState::default(),
            own: LocalState::new(now, settings.releases.keys_stay, first_cap),
            builds: BTreeMap::new(),
            next_look: now,
        }
    }

    pub(super) fn next(&self) -> Duration {
        self.replica.next_tick().min(self.next_look)
    }

    pub(super) fn hear(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match Packet::decode(bytes) {
            Ok(packet) => self.replica.receive(now, from, packet),
            Err(why) => tracing::debug!(from, %why, "copies that can't be read"),
        }
    }

    fn put(&mut self, now: Duration, fact: &Record, life: Duration) {
        let no = self.replica.publish(now, fact, life);
        let me = self.replica.origin().clone();
        self.facts.apply(&me, no, now + life, fact);
    }

    /// A forward of a hit that may not run twice is about to leave.
    pub(super) fn sent(&mut self, now: Duration, hit: RequestId, tag: u64) {
        if let Some(fact) = self.own.attempt_started(hit.0, tag) {
            self.put(now, &fact, EXECUTION_TIME_TO_LIVE);
        }
    }

    /// Which build a pod runs is told by the list.
    pub(super) fn see(&mut self, event: &Event) {
        let Event::Endpoints(news) = event else {
            return;
        };
        let (EndpointUpdate::Delta(rows)
        | EndpointUpdate::Snapshot(rows)
        | EndpointUpdate::Cached(rows)) = news
        else {
            return;
        };
        if self.builds.len() > MOST_PODS {
            self.builds.clear();
        }
        let here = rows.iter().filter(|row| row.state != PodState::Gone);
        self.builds.extend(here.map(|row| (row.pod, row.build)));
    }

    pub(super) fn ended(
        &mut self,
        now: Duration,
        outcome: &AttemptResult,
        key: Option<RoutingKey>,
    ) {
        let build = self.builds.get(&outcome.pod).copied();
        if let Some(fact) = self.own.attempt_ended(
            outcome.request.0,
            outcome.outcome.never_ran(),
            outcome.request_over,
        ) {
            self.put(now, &fact, EXECUTION_TIME_TO_LIVE);
        }
        let met = key
            .zip(build)
            .filter(|_| outcome.outcome == AttemptOutcome::Succeeded);
        if let Some(fact) = met.and_then(|(key, build)| self.own.key_served(now, key.0, build.0)) {
            self.put(now, &fact, KEY_TIME_TO_LIVE);
        }
    }

    /// Nothing more is sent of a hit.
    pub(super) fn over(&mut self, hit: RequestId) {
        self.own.request_finished(hit.0);
    }

    /// Whether a hit is not to be sent now.
    pub(super) fn refuses(
        &self,
        now: Duration,
        tag: Option<u64>,
        has_key: bool,
    ) -> Option<Refusal> {
        self.own
            .refusal(now, &self.facts, self.replica.caught_up(), tag, has_key)
    }

    /// The installer's word: the others are told.
    pub(super) fn stage_told(&mut self, now: Duration, message: &StageMessage) {
        if let Some(fact) = self.own.stage_announced(stage_of(message)) {
            self.put(now, &fact, STAGE_TIME_TO_LIVE);
        }
    }

    /// Does what is due; what the module is to be told, and stage news that is to pass as any other.
    pub(super) fn turn(
        &mut self,
        now: Duration,
        fleet: &mut Fleet,
    ) -> (Vec<Event>, Option<StageMessage>) {
        if now >= self.next_look {
            self.next_look = now + LOOKS_EVERY;
            self.replica.set_peers(fleet.here());
            self.facts.expire(now);
        }
        if now >= self.replica.next_tick() {
            self.replica.tick(now);
        }
        let (mut events, mut stages) = (Vec::new(), false);
        while let Some((origin, entry)) = self.replica.take_applied() {
            let Some(fact) = Record::decode(entry.kind, &entry.body) else {
                continue;
            };
            let until = now + Duration::from_millis(entry.time_to_live_ms.into());
            let fresh = self.facts.apply(&origin, entry.sequence, until, &fact);
            match fact {
                Record::KeyServed { key, build } if fresh => {
                    events.push(Event::KeyServed(RoutingKey(key), BuildId(build)))
                }
                Record::Stage(_) => stages = true,
                _ => {}
            }
        }
        while let Some((to, packet)) = self.replica.take_packet() {
            let parcel = [&[COPIES], &packet.encode()[..]].concat();
            fleet.post_parcel(now, &to, parcel);
        }
        let stage = stages
            .then(|| {
                self.own
                    .merge_stages(&self.replica.origin().name, &self.facts)
            })
            .flatten();
        if let Some(stage) = &stage {
            tracing::info!(%stage, "stage news by the others' copies");
        }
        (events, stage.as_ref().map(message_of))
    }

    pub(super) fn view(&self) -> StateView {
        let me = self.replica.origin();
        let (keys, hits) = self.facts.key_and_request_counts();
        let log = |(origin, log): (&Origin, &limewing_replication::Log)| LogView {
            name: origin.name.clone(),
            start: origin.incarnation,
            upto: log.contiguous_through(),
            live: log.live_entries(),
            given_up: log.evicted_entries(),
        };
        StateView {
            name: me.name.clone(),
            start: me.incarnation,
            caught_up: self.replica.caught_up(),
            bytes_sent: self.replica.bytes_sent(),
            keys,
            hits,
            left_out: self.facts.dropped_records(),
            logs: self.replica.logs().map(log).collect(),
            stages: self
                .facts
                .stages()
                .map(|(name, stage)| format!("{name}: {stage}"))
                .collect(),
            stage: self.own.stage().map(ToString::to_string),
        }
    }
}
