//! State that matters, kept by the others too: what this sidecar does is shown to `limewing_replica`, what the others put up goes to
//! the decision module as keys that met a build and as stage news that only closes, and says which hits are not sent again.

use super::fleet::Fleet;
use crate::stages::{PhaseName, StageMessage};
use limewing::interface::{BuildId, Event, Fate, HitId, KeyId, ListNews, Outcome, PodId, PodState};
use limewing_hosting::clock::today;
use limewing_replica::{
    known_again, stage_to_go_by, Fact, Facts, Keeper, Origin, Packet, Phase, Replica, Stage, Terms,
    CATCHES_UP_WITHIN, HITS_FOR, KEYS_FOR, STAGES_FOR,
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
    facts: Facts,
    keeper: Keeper,
    keys_stay: bool,
    /// The cap of a build that nobody announced.
    first_cap: f64,
    builds: BTreeMap<PodId, BuildId>,
    started: Duration,
    next_look: Duration,
    /// What the module was told last, by whomever.
    told: Option<Stage>,
    /// By the installer, in this life.
    heard: bool,
}

/// Why a hit that may not run twice is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refuses {
    /// Another may have sent it, and this one does not know yet.
    NotCaughtUp,
    MayHaveRun,
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
            PhaseName::OnTrial => Phase::OnTrial,
            PhaseName::GoingBack => Phase::GoingBack,
            PhaseName::Released => Phase::Released,
            PhaseName::Withdrawn => Phase::Withdrawn,
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
            Phase::OnTrial => PhaseName::OnTrial,
            Phase::GoingBack => PhaseName::GoingBack,
            Phase::Released => PhaseName::Released,
            Phase::Withdrawn => PhaseName::Withdrawn,
        },
        cap: stage.cap,
        // Since when it stands so nobody tells: its clocks begin anew.
        age_ms: 0.0,
    }
}

impl Copies {
    pub(super) fn start(now: Duration, settings: &SidecarSettings, peers: &Peers, seed: u64) -> Self {
        let start = today().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let me = Origin { name: settings.name.clone(), start };
        // The rest is for knowing who is there.
        let terms = Terms { me, beat: BEAT, fan: FAN, bytes_per_s: peers.bytes_per_s / 2, seed };
        Self {
            replica: Replica::new(now, terms),
            facts: Facts::default(),
            keeper: Keeper::default(),
            keys_stay: settings.releases.keys_stay,
            first_cap: settings.releases.stages.first().map_or(0.0, |stage| stage.cap),
            builds: BTreeMap::new(),
            started: now,
            next_look: now,
            told: None,
            heard: false,
        }
    }

    pub(super) fn next(&self) -> Duration {
        self.replica.next().min(self.next_look)
    }

    pub(super) fn hear(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match Packet::read(bytes) {
            Ok(packet) => self.replica.hear(now, from, packet),
            Err(why) => tracing::debug!(from, %why, "copies that can't be read"),
        }
    }

    fn put(&mut self, now: Duration, fact: &Fact, life: Duration) {
        let no = self.replica.put(now, fact, life);
        let me = self.replica.me().clone();
        self.facts.take(&me, no, now + life, fact);
    }

    /// A forward of a hit that may not run twice is about to leave.
    pub(super) fn sent(&mut self, now: Duration, hit: HitId, tag: u64) {
        if let Some(fact) = self.keeper.sent(hit.0, tag) {
            self.put(now, &fact, HITS_FOR);
        }
    }

    /// Which build a pod runs is told by the list.
    pub(super) fn see(&mut self, event: &Event) {
        let Event::List(news) = event else { return };
        let (ListNews::Change(rows) | ListNews::Whole(rows) | ListNews::Remembered(rows)) = news else {
            return;
        };
        if self.builds.len() > MOST_PODS {
            self.builds.clear();
        }
        let here = rows.iter().filter(|row| row.state != PodState::Gone);
        self.builds.extend(here.map(|row| (row.pod, row.build)));
    }

    pub(super) fn ended(&mut self, now: Duration, outcome: &Outcome, key: Option<KeyId>) {
        let build = self.builds.get(&outcome.pod).copied();
        if let Some(fact) = self.keeper.ended(outcome.hit.0, outcome.fate.never_ran(), outcome.over) {
            self.put(now, &fact, HITS_FOR);
        }
        // Of older builds nobody asks: a key can't go back to what is older still.
        let newest = |build: &BuildId| self.told.is_some_and(|told| build.0 >= told.build);
        let build = build.filter(|build| newest(build));
        let met = key.zip(build).filter(|_| self.keys_stay && outcome.fate == Fate::Delivered);
        if let Some(fact) = met.and_then(|(key, build)| self.keeper.met(now, key.0, build.0)) {
            self.put(now, &fact, KEYS_FOR);
        }
    }

    /// Nothing more is sent of a hit.
    pub(super) fn over(&mut self, hit: HitId) {
        self.keeper.over(hit.0);
    }

    /// Whether a hit is not to be sent now: one that may not run twice, by its tag, and may have; or, while this sidecar does not
    /// know yet what the others know, one that may not run twice, or has a key that may have met the newest build.
    pub(super) fn refuses(&self, now: Duration, tag: Option<u64>, has_key: bool) -> Option<Refuses> {
        if tag.is_some_and(|tag| self.facts.may_have_run(now, tag)) {
            return Some(Refuses::MayHaveRun);
        }
        let knows = self.replica.caught_up() || now >= self.started + CATCHES_UP_WITHIN;
        let binds = |stage: &Stage| matches!(stage.phase, Phase::OnTrial | Phase::Released);
        let key_binds = has_key && self.keys_stay && self.told.as_ref().is_some_and(binds);
        (!knows && (tag.is_some() || key_binds)).then_some(Refuses::NotCaughtUp)
    }

    /// The installer's word: the others are told.
    pub(super) fn stage_told(&mut self, now: Duration, message: &StageMessage) {
        let stage = stage_of(message);
        self.heard = true;
        if self.told != Some(stage) {
            self.told = Some(stage);
            self.put(now, &Fact::Stage(stage), STAGES_FOR);
        }
    }

    /// Does what is due; what the module is to be told, and stage news that is to pass as any other.
    pub(super) fn turn(&mut self, now: Duration, fleet: &mut Fleet) -> (Vec<Event>, Option<StageMessage>) {
        if now >= self.next_look {
            self.next_look = now + LOOKS_EVERY;
            self.replica.others(fleet.here());
            self.facts.forget(now);
        }
        if now >= self.replica.next() {
            self.replica.tick(now);
        }
        let (mut events, mut stages) = (Vec::new(), false);
        while let Some((origin, entry)) = self.replica.learned() {
            let Some(fact) = Fact::read(entry.kind, &entry.body) else { continue };
            let until = now + Duration::from_millis(entry.left.into());
            let fresh = self.facts.take(&origin, entry.no, until, &fact);
            match fact {
                Fact::Met { key, build } if fresh => events.push(Event::Met(KeyId(key), BuildId(build))),
                Fact::Stage(_) => stages = true,
                _ => {}
            }
        }
        while let Some((to, packet)) = self.replica.take() {
            let parcel = [&[COPIES], &packet.write()[..]].concat();
            fleet.post_parcel(now, &to, parcel);
        }
        (events, stages.then(|| self.go_by()).flatten())
    }

    fn go_by(&mut self) -> Option<StageMessage> {
        let name = &self.replica.me().name;
        // What it was told in an earlier life it knows again, until the installer speaks.
        let own = self.facts.stages().find(|(of, _)| of == name).map(|(_, stage)| *stage);
        let own = own.filter(|_| !self.heard).and_then(|own| known_again(own, self.first_cap));
        let base = self.told.or(own);
        let closes = stage_to_go_by(base, self.facts.stages().map(|(_, stage)| stage));
        let stage = closes.or(base).filter(|stage| self.told != Some(*stage))?;
        self.told = Some(stage);
        tracing::info!(?stage, "stage news by the others' copies");
        Some(message_of(&stage))
    }

    pub(super) fn view(&self) -> StateView {
        let me = self.replica.me();
        let (keys, hits) = self.facts.held();
        let log = |(origin, log): (&Origin, &limewing_replica::Log)| LogView {
            name: origin.name.clone(),
            start: origin.start,
            upto: log.upto(),
            live: log.live(),
            given_up: log.given_up(),
        };
        StateView {
            name: me.name.clone(),
            start: me.start,
            caught_up: self.replica.caught_up(),
            bytes_sent: self.replica.bytes_sent(),
            keys,
            hits,
            left_out: self.facts.left_out(),
            logs: self.replica.logs().map(log).collect(),
            stages: self.facts.stages().map(|(name, stage)| format!("{name}: {stage:?}")).collect(),
            stage: self.told.map(|stage| format!("{stage:?}")),
        }
    }
}
