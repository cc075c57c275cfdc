//! The made world: pods that answer after a drawn time, a list, and an installer that goes by the clock.

use limewing_decision::interface::*;
use limewing_decision::sidecar::Sidecar;
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
    Answer(HitId, ForwardNo),
    Release,
    Stage(u8),
    Released,
    PodsGo(u16),
    ListFails,
    Watch,
}

pub struct Soak {
    terms: Terms,
    sidecar: Sidecar,
    now: Duration,
    wake: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    number: u64,
    chance: StdRng,
    rows: Vec<PodEntry>,
    next_pod: u64,
    build: u16,
    next_hit: u64,
    open: BTreeMap<HitId, Open>,
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

fn start_terms(terms: &Terms) -> StartTerms {
    let group = |repeat, benefit| PathGroup {
        repeat,
        target_latency: spans(1.0),
        client_timeout: spans(3.0),
        benefit,
        late_benefit: 0.0,
        streamed: false,
    };
    let tagged = Repeat::Tagged {
        drops_repeats: Reach::All,
        memory: spans(3.0),
    };
    StartTerms {
        seed: terms.seed,
        sidecars: 3,
        own_number: 0,
        zone: ZoneId(0),
        groups: vec![
            group(Repeat::Repeatable, 1.0),
            group(tagged, 3.0),
            group(Repeat::Mutating, 5.0),
        ],
        list_on_request: true,
        list_pushed: false,
        list_lease: None,
        may_cancel: true,
        second_copies: true,
        retry_after: Some(spans(0.5)),
        max_forwards: 6,
        rules: RuleTerms {
            drain_grace: spans(1.0),
            cold_from: 0.35,
            cold_for: spans(3.0),
            fall_multiple: 2.0,
            fall_within: spans(3.0),
        },
        release: ReleaseTerms {
            control: Control::Clock,
            stage_shares: vec![0.1, 0.35, 1.0],
            caps: vec![0.14, 0.45, 1.0],
            cap_window: spans(2.0),
            cap_free: 1.0,
            cap_by_group: true,
            guarded_stages: 0,
            keys_stay: terms.keys_stay,
            vote_life: spans(4.0),
            vote_answer_within: spans(1.0),
            back_votes: 1,
            hold_votes: 1,
            on_votes: 1,
            vote_allowance: None,
        },
    }
}

impl Soak {
    pub fn new(terms: Terms) -> Self {
        let now = Duration::from_secs(3600);
        let mut soak = Self {
            terms,
            sidecar: Sidecar::new(now, start_terms(&terms)),
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
            Event::List(ListNews::Remembered(Vec::new())),
            Event::List(ListNews::Whole(rows)),
            news,
        ];
        soak.tell(first);
        soak
    }

    fn new_pods(&mut self, many: usize, started: Option<Duration>) -> Vec<PodEntry> {
        let pods = (0..many).map(|_| {
            self.next_pod += 1;
            PodEntry {
                pod: PodId(self.next_pod),
                state: PodState::Ready,
                build: BuildId(self.build),
                size: 4.0,
                started,
                zone: ZoneId((self.next_pod % 2) as u16),
                cell: CellId((self.next_pod / 4 % 64) as u16),
                kind: KindId(0),
            }
        });
        pods.collect()
    }

    fn news(&self, stage: u8, phase: Phase, cap: f64) -> Event {
        let (build, stage) = (BuildId(self.build), StageNo(stage));
        Event::Stage {
            news: Some(StageNews {
                build,
                stage,
                phase,
                cap,
                age: Duration::ZERO,
            }),
            answer: None,
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
                let id = HitId(self.next_hit);
                self.open.insert(
                    id,
                    Open {
                        forwards: Vec::new(),
                        over: false,
                    },
                );
                let group = GroupId(self.chance.random_range(0..3));
                let customer = Some(CustomerId(self.chance.random_range(0..4)));
                let due = self.now + spans(3.0);
                events.push(Event::Hit(Hit {
                    id,
                    group,
                    customer,
                    key: Some(KeyId(self.next_hit)),
                    due,
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
                    Fate::Errored
                } else {
                    Fate::Delivered
                };
                self.day.delivered += u64::from(fate == Fate::Delivered && !open.over);
                open.over |= fate == Fate::Delivered;
                let over = open.over;
                events.push(Event::Outcome(Outcome {
                    hit,
                    no,
                    pod,
                    fate,
                    took,
                    over,
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
                let gone = |row: &PodEntry| row.build.0 == build && row.state == PodState::Draining;
                let changes = self.rows.iter().filter(|row| gone(row));
                let changes = changes.map(|row| PodEntry {
                    state: PodState::Gone,
                    ..row.clone()
                });
                events.push(Event::List(ListNews::Change(changes.collect())));
                self.rows.retain(|row| !gone(row));
            }
            Due::ListFails => {
                self.list_down = true;
                events.push(Event::List(ListNews::Failed(ListLoss::default())));
            }
            Due::Watch => {
                // After hours the service is there again: the whole list comes.
                self.list_down &= self.chance.random_bool(0.9999);
                let rows = self.rows.clone();
                events.push(Event::List(if self.list_down {
                    ListNews::Failed(ListLoss::default())
                } else {
                    ListNews::Whole(rows)
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
        events.push(Event::List(ListNews::Change(changes)));
        self.later(STEP, Due::PodsGo(before));
    }

    fn tidy(&mut self, hit: HitId) {
        let settled = |open: &Open| open.over && open.forwards.iter().all(|(.., ended)| *ended);
        if self.open.get(&hit).is_some_and(settled) {
            self.open.remove(&hit);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { hit, pod, .. } => {
                let Some(open) = self.open.get_mut(&hit) else {
                    return;
                };
                let no = ForwardNo(open.forwards.len() as u16);
                open.forwards.push((pod, self.now, false));
                let took =
                    LogNormal::new(-2.0, 0.35).map_or(0.1, |took| took.sample(&mut self.chance));
                self.later(spans(took), Due::Answer(hit, no));
            }
            Action::Bounce { hit, .. } | Action::Fail { hit } => {
                let bounced = matches!(action, Action::Bounce { .. });
                self.day.bounced += u64::from(bounced);
                self.day.errored += u64::from(!bounced);
                self.open.entry(hit).and_modify(|open| open.over = true);
                self.tidy(hit);
            }
            Action::Cancel { hit, no } => {
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
                let fate = Fate::Cancelled;
                self.tidy(hit);
                self.tell(vec![Event::Outcome(Outcome {
                    hit,
                    no,
                    pod,
                    fate,
                    took,
                    over,
                })]);
            }
            Action::Vote { .. } => {
                self.day.votes += 1;
                let answer = Event::Stage {
                    news: None,
                    answer: Some(VoteAnswer::Counted),
                };
                self.tell(vec![answer]);
            }
            Action::Watch if self.list_down || self.rows.is_empty() => {
                self.later(spans(1.0), Due::Watch)
            }
            Action::Wake { at } => self.wake = at,
            _ => {}
        }
    }
}
