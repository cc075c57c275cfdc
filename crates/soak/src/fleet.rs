//! The made world: pods that answer after a drawn time, a list, and an installer that goes by the clock.

use limewing_decision::interface::*;
use limewing_decision::DecisionEngine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub pods: usize,
    pub hits_per_s: f64,
    /// Hits a day; when they are spent the rest of the day is idle.
    pub hits_per_day: u64,
    /// The first release's build.
    pub build: u16,
    /// Whether a key that a newer build has answered stays there.
    pub keys_stay: bool,
    pub seed: u64,
    /// Steps of the clock while nothing is open: a host wakes more often, and has as little to say.
    pub idle_step: Duration,
}

/// What one day came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Day {
    pub hits: u64,
    pub events: u64,
    pub beats: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
    pub votes: u64,
    pub handling: Duration,
}

const DAY: Duration = Duration::from_secs(86_400);
const RELEASES: u32 = 2;
const STEP: Duration = Duration::from_secs(4);

enum Due {
    Hit,
    Answer(RequestId, AttemptIndex),
    Release,
    Stage(u8),
    Released,
    PodsGo(u16),
    ListFails,
    Watch,
}

pub struct Soak {
    terms: Terms,
    sidecar: DecisionEngine,
    now: Duration,
    wake: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    number: u64,
    chance: StdRng,
    rows: Vec<Endpoint>,
    next_pod: u64,
    build: u16,
    next_hit: u64,
    open: BTreeMap<RequestId, Open>,
    list_down: bool,
    left_today: u64,
    pub day: Day,
}

struct Open {
    forwards: Vec<(PodId, Duration, bool)>,
    over: bool,
}

fn spans(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn start_terms(terms: &Terms) -> SidecarConfig {
    let group = |repeat, benefit| RequestClass {
        idempotency: repeat,
        latency_objective: spans(1.0),
        client_timeout: spans(3.0),
        priority_weight: benefit,
        late_weight: 0.0,
        streaming: false,
    };
    let tagged = Idempotency::Keyed {
        deduplicated_by: DeduplicationScope::All,
        window: spans(3.0),
    };
    SidecarConfig {
        seed: terms.seed,
        sidecar_count: 3,
        sidecar_index: 0,
        zone: ZoneId(0),
        classes: vec![
            group(Idempotency::Idempotent, 1.0),
            group(tagged, 3.0),
            group(Idempotency::NonIdempotent, 5.0),
        ],
        watch_on_request: true,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: true,
        hedging: true,
        retry_after: Some(spans(0.5)),
        max_attempts: 6,
        safety: SafetyLimits {
            drain_grace: spans(1.0),
            slow_start_from: 0.35,
            slow_start_duration: spans(3.0),
            overload_multiple: 2.0,
            overload_window: spans(3.0),
        },
        rollout: RolloutConfig {
            control: Control::Clock,
            stage_shares: vec![0.1, 0.35, 1.0],
            exposure_caps: vec![0.14, 0.45, 1.0],
            exposure_window: spans(2.0),
            exposure_free: 1.0,
            exposure_per_class: true,
            guarded_stages: 0,
            sticky_keys: terms.keys_stay,
            vote_ttl: spans(4.0),
            vote_timeout: spans(1.0),
            rollback_quorum: 1,
            hold_quorum: 1,
            promote_quorum: 1,
            vote_rate_limit: None,
        },
    }
}

impl Soak {
    pub fn new(terms: Terms) -> Self {
        let now = Duration::from_secs(3600);
        let mut soak = Self {
            terms,
            sidecar: DecisionEngine::new(now, start_terms(&terms)),
            now,
            wake: now,
            due: BTreeMap::new(),
            number: 0,
            chance: StdRng::seed_from_u64(terms.seed),
            rows: Vec::new(),
            next_pod: 0,
            build: terms.build,
            next_hit: 0,
            open: BTreeMap::new(),
            list_down: false,
            left_today: 0,
            day: Day::default(),
        };
        let rows = soak.new_pods(terms.pods, None);
        soak.rows.clone_from(&rows);
        let news = soak.news(0, Phase::Released, 1.0);
        let first = vec![
            Event::Endpoints(EndpointUpdate::Cached(Vec::new())),
            Event::Endpoints(EndpointUpdate::Snapshot(rows)),
            news,
        ];
        soak.tell(first);
        soak
    }

    fn new_pods(&mut self, many: usize, started: Option<Duration>) -> Vec<Endpoint> {
        let pods = (0..many).map(|_| {
            self.next_pod += 1;
            Endpoint {
                pod: PodId(self.next_pod),
                state: PodState::Ready,
                build: BuildId(self.build),
                weight: 4.0,
                started_at: started,
                zone: ZoneId((self.next_pod % 2) as u16),
                cell: CellId((self.next_pod / 4 % 64) as u16),
                machine_type: MachineTypeId(0),
            }
        });
        pods.collect()
    }

    fn news(&self, stage: u8, phase: Phase, cap: f64) -> Event {
        let (build, stage) = (BuildId(self.build), StageIndex(stage));
        Event::Stage {
            update: Some(StageUpdate {
                build,
                stage,
                phase,
                cap,
                age: Duration::ZERO,
            }),
            vote_answer: None,
        }
    }

    fn later(&mut self, wait: Duration, what: Due) {
        self.number += 1;
        self.due.insert((self.now + wait, self.number), what);
    }

    /// Plays one day; each `handle` of the module is timed by `stopwatch`.
    pub fn play_day(&mut self, stopwatch: impl Fn() -> Duration) -> Day {
        self.day = Day::default();
        let end = self.now + DAY;
        self.left_today = self.terms.hits_per_day;
        let busy = spans(self.terms.hits_per_day as f64 / self.terms.hits_per_s);
        self.later(Duration::ZERO, Due::Hit);
        for release in 1..=RELEASES {
            self.later(busy * release / (RELEASES + 1), Due::Release);
        }
        // The list fails through hours of the night, and comes back before the day ends.
        let night = DAY.saturating_sub(busy) / 4;
        self.later(busy + night, Due::ListFails);
        while self.now < end {
            let idle = self.left_today == 0 && self.open.is_empty();
            let wake = if idle {
                self.wake.max(self.now + self.terms.idle_step)
            } else {
                self.wake
            };
            let next = self
                .due
                .first_key_value()
                .map_or(wake, |((at, _), _)| (*at).min(wake))
                .min(end);
            self.now = next.max(self.now);
            let mut events = Vec::new();
            while let Some(entry) = self
                .due
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let what = entry.remove();
                self.happen(what, &mut events);
            }
            let began = stopwatch();
            let actions = self.handle(events);
            self.day.handling += stopwatch().saturating_sub(began);
            actions
                .into_iter()
                .for_each(|action| self.carry_out(action));
        }
        self.day
    }

    fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.day.events += events.len() as u64;
        self.day.beats += u64::from(events.is_empty());
        self.sidecar.handle(self.now, events)
    }

    fn tell(&mut self, events: Vec<Event>) {
        let actions = self.handle(events);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
    }

    fn happen(&mut self, what: Due, events: &mut Vec<Event>) {
        match what {
            Due::Hit => {
                self.left_today -= 1;
                if self.left_today > 0 {
                    let wait =
                        -self.chance.random_range(1e-9..1.0_f64).ln() / self.terms.hits_per_s;
                    self.later(spans(wait), Due::Hit);
                }
                self.next_hit += 1;
                self.day.hits += 1;
                let id = RequestId(self.next_hit);
                self.open.insert(
                    id,
                    Open {
                        forwards: Vec::new(),
                        over: false,
                    },
                );
                let group = ClassId(self.chance.random_range(0..3));
                let customer = Some(TenantId(self.chance.random_range(0..4)));
                let due = self.now + spans(3.0);
                events.push(Event::RequestArrived(Request {
                    id,
                    class: group,
                    tenant: customer,
                    routing_key: Some(RoutingKey(self.next_hit)),
                    deadline: due,
                }));
            }
            Due::Answer(hit, no) => {
                let Some(open) = self.open.get_mut(&hit) else {
                    return;
                };
                let Some((pod, sent, ended)) = open.forwards.get_mut(usize::from(no.0)) else {
                    return;
                };
                if std::mem::replace(ended, true) {
                    return;
                }
                let (pod, took) = (*pod, self.now - *sent);
                let fate = if self.chance.random_bool(0.002) {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Succeeded
                };
                self.day.delivered += u64::from(fate == AttemptOutcome::Succeeded && !open.over);
                open.over |= fate == AttemptOutcome::Succeeded;
                let over = open.over;
                events.push(Event::AttemptFinished(AttemptResult {
                    request: hit,
                    attempt: no,
                    pod,
                    outcome: fate,
                    duration: took,
                    request_over: over,
                }));
                self.tidy(hit);
            }
            Due::Release => {
                self.build += 1;
                events.push(self.news(0, Phase::OnTrial, 0.14));
                self.bring_in(0.1, events);
                self.later(STEP, Due::Stage(1));
            }
            Due::Stage(stage) => {
                let (share, cap) = if stage == 1 { (0.35, 0.45) } else { (1.0, 1.0) };
                events.push(self.news(stage, Phase::OnTrial, cap));
                self.bring_in(share, events);
                self.later(
                    STEP,
                    if stage == 1 {
                        Due::Stage(2)
                    } else {
                        Due::Released
                    },
                );
            }
            Due::Released => events.push(self.news(2, Phase::Released, 1.0)),
            Due::PodsGo(build) => {
                let gone = |row: &Endpoint| row.build.0 == build && row.state == PodState::Draining;
                let changes = self.rows.iter().filter(|row| gone(row));
                let changes = changes.map(|row| Endpoint {
                    state: PodState::Gone,
                    ..row.clone()
                });
                events.push(Event::Endpoints(EndpointUpdate::Delta(changes.collect())));
                self.rows.retain(|row| !gone(row));
            }
            Due::ListFails => {
                self.list_down = true;
                events.push(Event::Endpoints(EndpointUpdate::WatchLost(
                    WatchLoss::default(),
                )));
            }
            Due::Watch => {
                // After hours the service is there again: the whole list comes.
                self.list_down &= self.chance.random_bool(0.9999);
                let rows = self.rows.clone();
                events.push(Event::Endpoints(if self.list_down {
                    EndpointUpdate::WatchLost(WatchLoss::default())
                } else {
                    EndpointUpdate::Snapshot(rows)
                }));
            }
        }
    }

    /// Starts pods of the newest build for a share of the places, and drains as many of the old.
    fn bring_in(&mut self, share: f64, events: &mut Vec<Event>) {
        let want = (share * self.terms.pods as f64).ceil() as usize;
        let have = self
            .rows
            .iter()
            .filter(|row| row.build.0 == self.build)
            .count();
        let mut changes = self.new_pods(want.saturating_sub(have), Some(self.now));
        self.rows.extend(changes.iter().cloned());
        let build = self.build;
        let old = self
            .rows
            .iter_mut()
            .filter(|row| row.build.0 != build && row.state == PodState::Ready);
        let many = changes.len();
        let drained = old.take(many).map(|row| {
            row.state = PodState::Draining;
            row.clone()
        });
        changes.extend(drained.collect::<Vec<_>>());
        let before = changes.last().map_or(0, |row| row.build.0);
        events.push(Event::Endpoints(EndpointUpdate::Delta(changes)));
        self.later(STEP, Due::PodsGo(before));
    }

    fn tidy(&mut self, hit: RequestId) {
        let settled = |open: &Open| open.over && open.forwards.iter().all(|(.., ended)| *ended);
        if self.open.get(&hit).is_some_and(settled) {
            self.open.remove(&hit);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request: hit, pod, ..
            } => {
                let Some(open) = self.open.get_mut(&hit) else {
                    return;
                };
                let no = AttemptIndex(open.forwards.len() as u16);
                open.forwards.push((pod, self.now, false));
                let took =
                    LogNormal::new(-2.0, 0.35).map_or(0.1, |took| took.sample(&mut self.chance));
                self.later(spans(took), Due::Answer(hit, no));
            }
            Action::Reject { request: hit, .. } | Action::Fail { request: hit } => {
                let bounced = matches!(action, Action::Reject { .. });
                self.day.bounced += u64::from(bounced);
                self.day.errored += u64::from(!bounced);
                self.open.entry(hit).and_modify(|open| open.over = true);
                self.tidy(hit);
            }
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => {
                let Some(open) = self.open.get_mut(&hit) else {
                    return;
                };
                let Some((pod, sent, ended)) = open.forwards.get_mut(usize::from(no.0)) else {
                    return;
                };
                if std::mem::replace(ended, true) {
                    return;
                }
                let (pod, took, over) = (*pod, self.now - *sent, open.over);
                let fate = AttemptOutcome::Cancelled;
                self.tidy(hit);
                self.tell(vec![Event::AttemptFinished(AttemptResult {
                    request: hit,
                    attempt: no,
                    pod,
                    outcome: fate,
                    duration: took,
                    request_over: over,
                })]);
            }
            Action::Vote { .. } => {
                self.day.votes += 1;
                let answer = Event::Stage {
                    update: None,
                    vote_answer: Some(VoteAnswer::Counted),
                };
                self.tell(vec![answer]);
            }
            Action::WatchEndpoints if self.list_down || self.rows.is_empty() => {
                self.later(spans(1.0), Due::Watch)
            }
            Action::WakeAt { at } => self.wake = at,
            _ => {}
        }
    }
}
