//! Hundreds of decision modules in simulated time, with or without a fleet's choices: what their sum does to pods. Pods
//! answer after a fixed time; what members say reaches those they are not cut off from at once.

use limewing_coordination::{stable_key, Coordinator, LoadReport, OutlierObservation, Pod};
use limewing_decision::interface::*;
use limewing_decision::DecisionEngine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What is played.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    pub sidecars: usize,
    pub pods: usize,
    pub seed: u64,
    pub lasts: Duration,
    pub choices: bool,
    /// From when on the sidecars are so many parts that know nothing of each other, each member of a part drawn.
    pub parts: (Duration, usize),
    /// This pod starts anew, cold, at that time.
    pub cold: Option<(usize, Duration)>,
    /// This pod refuses connections from one time to another.
    pub dead: Option<(usize, Duration, Duration)>,
}

/// How it went.
#[derive(Clone, Debug, Default)]
pub struct Crowd {
    /// Forwards that each pod got in the second half, over its strength.
    pub loads: Vec<f64>,
    /// The cold pod's forwards in a span, over what the mean pod of its strength at that time got: the most.
    pub cold: f64,
    /// Forwards to the dead pod in each second from its death on.
    pub to_dead: Vec<usize>,
    /// From the dead pod's return to its first answer.
    pub back_after: Option<Duration>,
    pub delivered: usize,
    pub given_up: usize,
}

impl Crowd {
    pub fn most(&self) -> f64 {
        let mean = self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64;
        self.loads.iter().copied().fold(0.0, f64::max) / mean.max(1e-9)
    }
}

const WITHIN: Duration = Duration::from_secs(3);
const COLD_FOR: Duration = Duration::from_secs(6);
const COLD_FROM: f64 = 0.35;
const ANSWERS_IN: f64 = 0.1;
/// One in five sidecars has so much more traffic, and the others so many hits a second.
const HEAVY: f64 = 5.0;
const HITS: f64 = 4.0;

fn strength(pod: usize) -> f64 {
    if pod.is_multiple_of(3) {
        2.0
    } else {
        1.0
    }
}

fn terms(number: usize, plan: &CrowdPlan) -> SidecarConfig {
    let group = RequestClass {
        idempotency: Idempotency::Idempotent,
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(3),
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    };
    SidecarConfig {
        seed: plan
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number as u64),
        sidecar_count: plan.sidecars as u32,
        sidecar_index: number as u32,
        zone: ZoneId(number as u16 % 3),
        classes: vec![group],
        watch_on_request: false,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: false,
        hedging: false,
        retry_after: None,
        max_attempts: 4,
        safety: SafetyLimits {
            drain_grace: Duration::from_secs(1),
            slow_start_from: COLD_FROM,
            slow_start_duration: COLD_FOR,
            overload_multiple: 2.0,
            overload_window: WITHIN,
        },
        rollout: RolloutConfig {
            control: Control::Clock,
            stage_shares: vec![1.0],
            exposure_caps: vec![1.0],
            exposure_window: Duration::from_secs(2),
            exposure_free: 1.0,
            exposure_per_class: false,
            guarded_stages: 0,
            sticky_keys: false,
            vote_ttl: Duration::from_secs(4),
            vote_timeout: Duration::from_secs(1),
            rollback_quorum: 1,
            hold_quorum: 1,
            promote_quorum: 0,
            vote_rate_limit: None,
        },
    }
}

fn entry(pod: usize, started: Option<Duration>) -> Endpoint {
    Endpoint {
        pod: PodId(pod as u64),
        state: PodState::Ready,
        build: BuildId(1),
        weight: strength(pod),
        started_at: started,
        zone: ZoneId(pod as u16 % 3),
        cell: CellId(0),
        machine_type: MachineTypeId(0),
    }
}

fn pod_key(pod: usize) -> u64 {
    stable_key(&format!("pod {pod}"))
}

struct One {
    module: DecisionEngine,
    choices: Coordinator,
    part: usize,
    says: Option<(LoadReport, Duration)>,
    forwards: BTreeMap<RequestId, u16>,
}

enum Due {
    Hit,
    Turn,
    Outcome(AttemptResult),
}

struct Play<'a> {
    plan: &'a CrowdPlan,
    now: Duration,
    chance: StdRng,
    all: Vec<One>,
    due: BTreeMap<(Duration, u64), (usize, Due)>,
    marks: u64,
    hits: u64,
    sent: Vec<f64>,
    /// Forwards to the cold pod, and to all, lately.
    cold: VecDeque<Duration>,
    any: VecDeque<Duration>,
    out: Crowd,
}

/// Plays it to its end.
pub fn crowd(plan: &CrowdPlan) -> Crowd {
    let mut chance = StdRng::seed_from_u64(plan.seed);
    let one = |number: usize| One {
        module: DecisionEngine::new(Duration::ZERO, terms(number, plan)),
        choices: Coordinator::new(
            Duration::ZERO,
            stable_key(&format!("s{number}")),
            number as u16 % 3,
        ),
        part: chance.random_range(0..plan.parts.1.max(1)),
        says: None,
        forwards: BTreeMap::new(),
    };
    let all: Vec<One> = (0..plan.sidecars).map(one).collect();
    let mut play = Play {
        plan,
        now: Duration::ZERO,
        chance,
        all,
        due: BTreeMap::new(),
        marks: 0,
        hits: 0,
        sent: vec![0.0; plan.pods],
        cold: VecDeque::new(),
        any: VecDeque::new(),
        out: Crowd::default(),
    };
    for number in 0..plan.sidecars {
        let rows = (0..plan.pods).map(|pod| entry(pod, None)).collect();
        play.tell(
            number,
            vec![Event::Endpoints(EndpointUpdate::Snapshot(rows))],
        );
        let pod = |pod| Pod {
            key: pod_key(pod),
            zone: pod as u16 % 3,
            capacity: strength(pod),
        };
        play.all[number]
            .choices
            .set_pods((0..plan.pods).map(pod).collect());
        play.mark(Duration::from_micros(number as u64 * 50), number, Due::Turn);
        play.next_hit(number);
    }
    play.run();
    play.out.loads = (0..plan.pods)
        .filter(|pod| plan.cold.map(|c| c.0) != Some(*pod) && plan.dead.map(|d| d.0) != Some(*pod))
        .map(|pod| play.sent[pod] / strength(pod))
        .collect();
    play.out
}

impl Play<'_> {
    fn mark(&mut self, wait: Duration, number: usize, due: Due) {
        self.marks += 1;
        self.due
            .insert((self.now + wait, self.marks), (number, due));
    }

    fn next_hit(&mut self, number: usize) {
        let rate = if number.is_multiple_of(5) {
            HITS * HEAVY
        } else {
            HITS
        };
        let wait = Exp::new(rate).map_or(1.0, |wait| wait.sample(&mut self.chance));
        self.mark(Duration::from_secs_f64(wait), number, Due::Hit);
    }

    fn run(&mut self) {
        let mut cold = self.plan.cold;
        while let Some(((at, _), (number, due))) = self.due.pop_first() {
            if at > self.plan.lasts {
                break;
            }
            self.now = at;
            if let Some((pod, _)) = cold.take_if(|(_, when)| at >= *when) {
                for number in 0..self.all.len() {
                    self.tell(
                        number,
                        vec![Event::Endpoints(EndpointUpdate::Delta(vec![entry(
                            pod,
                            Some(at),
                        )]))],
                    );
                }
            }
            match due {
                Due::Hit => {
                    self.hits += 1;
                    let hit = Request {
                        id: RequestId(self.hits),
                        class: ClassId(0),
                        tenant: None,
                        routing_key: None,
                        deadline: at + Duration::from_secs(3),
                    };
                    self.all[number].choices.record_request();
                    self.tell(number, vec![Event::RequestArrived(hit)]);
                    self.next_hit(number);
                }
                Due::Outcome(outcome) => self.outcome(number, outcome),
                Due::Turn => self.turn(number),
            }
        }
    }

    fn outcome(&mut self, number: usize, outcome: AttemptResult) {
        let pod = outcome.pod.0 as usize;
        let sign = match outcome.outcome {
            AttemptOutcome::Succeeded => {
                self.out.delivered += 1;
                self.all[number].forwards.remove(&outcome.request);
                let back = self
                    .plan
                    .dead
                    .filter(|(dead, _, to)| *dead == pod && self.now >= *to);
                if let (Some((.., to)), None) = (back, self.out.back_after) {
                    self.out.back_after = Some(self.now - to);
                }
                OutlierObservation::Answered(outcome.duration.as_secs_f64())
            }
            _ => OutlierObservation::ConnectFailed,
        };
        self.all[number]
            .choices
            .record_outcome(self.now, pod_key(pod), sign);
        self.tell(number, vec![Event::AttemptFinished(outcome)]);
    }

    /// Every 20 ms, as a host does: the module's beat, and what the fleet says.
    fn turn(&mut self, number: usize) {
        self.mark(Duration::from_millis(20), number, Due::Turn);
        let now = self.now;
        let mut events = Vec::new();
        if self.plan.choices && now >= self.all[number].choices.next_deadline() {
            if let Some(says) = self.all[number].choices.take_report(now) {
                self.all[number].says = Some((says, now));
            }
            let (since, part) = (self.plan.parts.0, self.all[number].part);
            let reach = |one: &One| now < since || one.part == part;
            let named = |(n, one): (usize, &One)| (stable_key(&format!("s{n}")), one.says.clone());
            let others: Vec<(u64, Option<(LoadReport, Duration)>)> = self
                .all
                .iter()
                .enumerate()
                .filter(|(_, one)| reach(one))
                .map(named)
                .collect();
            let choices = &mut self.all[number].choices;
            choices.set_peers(others.into_iter());
            if let Some(view) = choices.take_view(now) {
                let ids: BTreeMap<u64, PodId> = (0..self.plan.pods)
                    .map(|pod| (pod_key(pod), PodId(pod as u64)))
                    .collect();
                let view = view.map(|view| FleetView {
                    preference: view
                        .preference
                        .iter()
                        .filter_map(|key| ids.get(key).copied())
                        .collect(),
                    min_endpoints: view.min_endpoints,
                    probed_by_peers: view
                        .probed_by_peers
                        .iter()
                        .filter_map(|key| ids.get(key).copied())
                        .collect(),
                });
                events.push(Event::Fleet(view));
            }
        }
        self.tell(number, events);
    }

    fn tell(&mut self, number: usize, events: Vec<Event>) {
        for action in self.all[number].module.handle(self.now, events) {
            match action {
                Action::StartAttempt {
                    request: hit, pod, ..
                } => self.forward(number, hit, pod),
                Action::Reject { request: hit, .. } | Action::Fail { request: hit } => {
                    self.all[number].forwards.remove(&hit);
                    self.out.given_up += 1;
                }
                _ => {}
            }
        }
    }

    fn forward(&mut self, number: usize, hit: RequestId, pod: PodId) {
        let (now, place) = (self.now, pod.0 as usize);
        let no = self.all[number].forwards.entry(hit).or_insert(0);
        let this = AttemptIndex(*no);
        *no += 1;
        let dead = self
            .plan
            .dead
            .filter(|(dead, from, to)| *dead == place && (*from..*to).contains(&now));
        let (fate, took) = match dead {
            Some((_, from, _)) => {
                let second = (now - from).as_secs() as usize;
                self.out
                    .to_dead
                    .resize(self.out.to_dead.len().max(second + 1), 0);
                self.out.to_dead[second] += 1;
                (AttemptOutcome::ConnectFailed, Duration::from_millis(1))
            }
            None => (
                AttemptOutcome::Succeeded,
                Duration::from_secs_f64(ANSWERS_IN),
            ),
        };
        if now >= self.plan.lasts / 2 {
            self.sent[place] += 1.0;
        }
        self.measure_cold(place);
        let over = fate == AttemptOutcome::Succeeded;
        let outcome = AttemptResult {
            request: hit,
            attempt: this,
            pod,
            outcome: fate,
            duration: took,
            request_over: over,
        };
        self.mark(took, number, Due::Outcome(outcome));
    }

    fn measure_cold(&mut self, place: usize) {
        let now = self.now;
        self.any.push_back(now);
        while self.any.front().is_some_and(|at| *at + WITHIN < now) {
            self.any.pop_front();
        }
        let Some((_, since)) = self
            .plan
            .cold
            .filter(|(cold, since)| *cold == place && now >= *since)
        else {
            return;
        };
        self.cold.push_back(now);
        while self.cold.front().is_some_and(|at| *at + WITHIN < now) {
            self.cold.pop_front();
        }
        let whole: f64 = (0..self.plan.pods).map(strength).sum();
        // What it can do over the span, as if it had been as strong before its start as at it.
        let able = |at: f64| (COLD_FROM + (1.0 - COLD_FROM) * at / COLD_FOR.as_secs_f64()).min(1.0);
        let age = (now - since).as_secs_f64();
        let steps = 10;
        let mean = (0..steps)
            .map(|step| {
                able((age - WITHIN.as_secs_f64() * f64::from(step) / f64::from(steps)).max(0.0))
            })
            .sum::<f64>()
            / f64::from(steps);
        let fair = self.any.len() as f64 / whole * strength(place) * mean;
        // One hit is the least that can be sent.
        let part = (self.cold.len() as f64 - 1.0) / fair.max(1e-9);
        self.out.cold = self.out.cold.max(part);
    }
}
