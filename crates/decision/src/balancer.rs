//! Load balancing: tracks open requests and selects pods for them.
//!
//! A request is first assigned to the build on trial or to the baseline, then to a tier of pods,
//! and then to the pod of that tier with the lowest cost. Admission control has the final decision.

use crate::candidate::Candidate;
use crate::context::Context;
use crate::endpoint_table::{EndpointSnapshot, EndpointTable, FleetSummary};
use crate::engine::TICK_INTERVAL;
use crate::exposure::exposure_cap;
use crate::hedging::RetryBudget;
use crate::interface::{
    BuildId, ClassId, Idempotency, MachineTypeId, PodId, Request, RequestId, StageUpdate,
};
use crate::message::{Component, Message};
use crate::outlier::LATENCY_RATIO_SAMPLES;
use crate::overload::OverloadEstimator;
use crate::placement::{EndpointsInUse, Placement};
use crate::request_state::OpenRequest;
use crate::statistics::{RunningMean, MIN_DIVISOR};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The probability that a request may be sent to an ejected pod as a health check. It is low
/// because a sidecar with little traffic would otherwise spend most of its requests on pods that
/// still fail.
const HEALTH_CHECK_PROBABILITY: f64 = 0.15;
/// The number of pods that an idle sidecar uses.
const MIN_ENDPOINTS_IN_USE: usize = 5;
/// The number of additional pods used per attempt in flight.
const ENDPOINTS_PER_ATTEMPT: usize = 3;
/// The minimum number of pods used on either side of the split between trial and baseline.
const MIN_ENDPOINTS_PER_SIDE: usize = 2;
/// The cost multiplier for a pod in a different zone.
const OTHER_ZONE_COST_FACTOR: f64 = 1.1;
/// The weight of the machine type's latency ratio in that of a pod, as a number of responses.
const MACHINE_TYPE_PRIOR: f64 = 3.0;
/// The lower bound on the latency ratio in a pod's cost.
const MIN_COST_LATENCY_RATIO: f64 = 0.02;
/// The lower bound on a machine type's latency ratio in a pod's capacity.
const MIN_MACHINE_LATENCY_RATIO: f64 = 0.01;
/// The assumed latency of a class without any responses, in latency objectives.
const INITIAL_LATENCY_RATIO: f64 = 0.2;
/// How long a request without an admissible pod is queued, as a share of its latency objective.
const PLACEMENT_WAIT_SHARE: f64 = 0.7;
/// A queued request is abandoned at the latest this many ticks before its deadline.
const TICKS_BEFORE_DEADLINE: u32 = 3;

/// Selects pods for requests.
#[derive(Default)]
pub(crate) struct LoadBalancer {
    pub(crate) table: EndpointTable,
    summary: FleetSummary,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    stage: Option<StageUpdate>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) overload: OverloadEstimator,
    /// The mean latency of each class, in seconds.
    pub(crate) class_latency: BTreeMap<ClassId, RunningMean>,
    /// The mean latency on each machine type, in latency objectives.
    pub(crate) machine_latency: BTreeMap<MachineTypeId, RunningMean>,
}

impl LoadBalancer {
    pub(crate) fn receive(&mut self, message: Message, context: &mut Context) {
        match message {
            Message::RequestArrived(request) => self.on_request_arrived(&request, context),
            Message::SnapshotPublished(snapshot) => self.table.put(snapshot),
            Message::EndpointRemoved(pod) => self.table.remove(pod),
            Message::AttemptRefused(request, remaining) => {
                self.on_attempt_refused(request, remaining, context);
            }
            Message::AttemptStarted {
                request,
                attempt,
                pod,
            } => self.on_attempt_started(request, attempt, pod, context),
            Message::AttemptEnded(ended) => self.on_attempt_ended(&ended, context),
            Message::HedgeCheckDue(request, attempt, pod) => {
                self.on_hedge_check_due(request, attempt, pod, context);
            }
            Message::PlacementDue(request) => self.place(request, context),
            Message::RequestClosed(request) => {
                self.requests.remove(&request);
            }
            Message::StageUpdated(update) => self.stage = Some(update),
            _ => {}
        }
    }

    fn on_request_arrived(&mut self, request: &Request, context: &mut Context) {
        self.retry_budget.deposit();
        let shed_probability = self.overload.shed_probability(
            request.class,
            request.tenant,
            self.requests.values(),
            &self.table,
            context,
        );
        self.requests
            .insert(request.id, OpenRequest::new(request, context.now));
        if shed_probability > 0.0 && context.random_unit() < shed_probability {
            let abandoned = Message::RequestAbandoned(request.id);
            context.send(Component::AdmissionControl, abandoned);
        } else {
            self.place(request.id, context);
        }
    }

    fn on_attempt_refused(
        &mut self,
        request: RequestId,
        remaining: Vec<Candidate>,
        context: &mut Context,
    ) {
        if remaining.is_empty() {
            self.postpone(request, context);
        } else {
            self.propose_next_tier(request, remaining, context);
        }
    }

    /// Returns the expected latency of a class, in seconds.
    pub(crate) fn expected_latency(&self, class: ClassId, context: &Context) -> f64 {
        let objective = context.config.class(class).latency_objective.as_secs_f64();
        self.class_latency
            .get(&class)
            .map_or(INITIAL_LATENCY_RATIO * objective, |mean| mean.value)
    }

    /// Returns the build on trial, if any, and its share of requests: limited by its share of the
    /// capacity, its stage and its cap.
    fn trial_share(&self, context: &Context) -> (Option<BuildId>, f64) {
        let Some((lowest, newest)) = self.summary.build_range else {
            return (None, 0.0);
        };
        let Some(cap) = exposure_cap(newest, Some(lowest), self.stage, &context.config) else {
            return (None, 0.0);
        };
        let mut total: f64 = 0.0;
        let mut on_trial: f64 = 0.0;
        for snapshot in self.table.iter().filter(|snapshot| snapshot.usable) {
            let capacity = self.capacity(snapshot, context);
            total += capacity;
            if snapshot.endpoint.build == newest {
                on_trial += capacity;
            }
        }
        let stage_share = context
            .config
            .stage_shares
            .get(usize::from(cap.stage))
            .copied()
            .unwrap_or(1.0);
        let share = (on_trial / total.max(MIN_DIVISOR))
            .min(stage_share)
            .min(cap.share);
        (Some(newest), share)
    }

    /// Proposes pods for a request to admission control.
    pub(crate) fn place(&mut self, request: RequestId, context: &mut Context) {
        self.summary.refresh(&mut self.table);
        let (trial, trial_share) = self.trial_share(context);
        if trial != self.summary.trial_build {
            self.summary.sort_ranks(&self.table, trial);
        }
        let trial_draw = context.random_unit();
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        let idempotency = context.config.class(open.class).idempotency;
        let placement = Placement {
            request: open,
            trial,
            wants_trial: !open.avoids_trial && trial_draw < trial_share,
            may_check_health: idempotency != Idempotency::NonIdempotent
                && open.tried_pods.is_empty()
                && context.random_unit() < HEALTH_CHECK_PROBABILITY,
            in_use: self.endpoints_in_use(context),
            served_since: context.endpoint_lease.served_since(context.now),
            service_down: context.endpoint_lease.is_service_down(context.now),
        };
        let (candidates, tier) = self.rank_candidates(&placement, context);
        let proposed = Message::AttemptProposed {
            request,
            candidates,
            tier,
        };
        context.send(Component::AdmissionControl, proposed);
    }

    /// Returns all pods that the request may be sent to, and the lowest tier among them. Costs are
    /// computed for that tier only, because the other tiers are rarely needed.
    fn rank_candidates(
        &self,
        placement: &Placement,
        context: &mut Context,
    ) -> (Vec<Candidate>, u8) {
        let mut candidates = Vec::with_capacity(self.table.len());
        let mut lowest_tier = u8::MAX;
        for snapshot in self.table.iter() {
            let random_draw = context.random_unit();
            let Some(tier) = placement.tier(snapshot) else {
                continue;
            };
            lowest_tier = lowest_tier.min(tier);
            let cost = if tier == lowest_tier {
                self.cost(snapshot, random_draw, context)
            } else {
                0.0
            };
            candidates.push(Candidate {
                pod: snapshot.endpoint.pod,
                build: snapshot.endpoint.build,
                tier,
                random_draw,
                cost,
                used_fraction: placement.in_use(snapshot).fraction,
            });
        }
        (candidates, lowest_tier)
    }

    /// Proposes the candidates of the next tier, whose costs have not been computed yet.
    fn propose_next_tier(
        &self,
        request: RequestId,
        mut candidates: Vec<Candidate>,
        context: &mut Context,
    ) {
        let tier = candidates
            .iter()
            .map(|candidate| candidate.tier)
            .min()
            .unwrap_or(0);
        for candidate in &mut candidates {
            if candidate.tier == tier {
                candidate.cost = self.table.get(candidate.pod).map_or(f64::MAX, |snapshot| {
                    self.cost(snapshot, candidate.random_draw, context)
                });
            }
        }
        let proposed = Message::AttemptProposed {
            request,
            candidates,
            tier,
        };
        context.send(Component::AdmissionControl, proposed);
    }

    /// Returns the subsets of the baseline pods and of the trial pods that this sidecar uses: the
    /// highest-ranked ones in its own order, slightly more than its attempts in flight need. A
    /// sidecar with little traffic could neither measure hundreds of pods nor keep connections to
    /// them. When a pod is ejected, the next in rank takes its place.
    fn endpoints_in_use(&self, context: &Context) -> [EndpointsInUse; 2] {
        let ranks = &self.summary.ranks;
        let total_size = ranks[0].len() + ranks[1].len();
        let own_minimum = MIN_ENDPOINTS_IN_USE + ENDPOINTS_PER_ATTEMPT * self.table.in_flight();
        let target = context.min_endpoints().max(own_minimum) as f64;
        [0, 1].map(|side| {
            let side_size = ranks[side].len();
            let side_target =
                (target * side_size as f64 / total_size.max(1) as f64).ceil() as usize;
            let side_target = side_target.max(MIN_ENDPOINTS_PER_SIDE);
            match side_size.checked_sub(side_target) {
                Some(unused @ 1..) => EndpointsInUse {
                    lowest_rank: ranks[side][unused],
                    fraction: side_target as f64 / side_size as f64,
                },
                // This also applies if no pod is usable: an ejected cold pod may still be proposed
                // and then needs a slow-start budget.
                _ => EndpointsInUse {
                    lowest_rank: (0, PodId(0)),
                    fraction: 1.0,
                },
            }
        })
    }

    fn machine_latency_ratio(&self, snapshot: &EndpointSnapshot) -> f64 {
        self.machine_latency
            .get(&snapshot.endpoint.machine_type)
            .map_or(1.0, |mean| mean.value)
    }

    /// Returns the guaranteed capacity of a pod, based on its weight, its age and the usual latency
    /// of its machine type.
    fn capacity(&self, snapshot: &EndpointSnapshot, context: &Context) -> f64 {
        let endpoint = &snapshot.endpoint;
        let factor = context
            .config
            .capacity_factor(endpoint.started_at, context.now);
        let latency_ratio = self.machine_latency_ratio(snapshot);
        endpoint.weight * factor / latency_ratio.max(MIN_MACHINE_LATENCY_RATIO)
    }

    /// Returns the expected cost of one more request at a pod, from its latency ratio and current
    /// capacity.
    ///
    /// A sidecar sees only its own part of the load, one in as many as there are sidecars. An
    /// exponential random variable of mean 1 represents the rest. As a result, identical pods
    /// receive requests in proportion to their capacity, and sidecars that rank pods alike do not
    /// cause a thundering herd. The latency ratio of a pod with few responses is shrunk towards
    /// that of its machine type; otherwise a new pod would be flooded while it is cold.
    fn cost(&self, snapshot: &EndpointSnapshot, random_draw: f64, context: &Context) -> f64 {
        let (endpoint, config) = (&snapshot.endpoint, &context.config);
        let unseen_load = -random_draw.max(MIN_DIVISOR).ln();
        let known = snapshot.latency_ratio.count.min(LATENCY_RATIO_SAMPLES) as f64;
        let own_sum = snapshot.latency_ratio.value * known;
        let prior_sum = self.machine_latency_ratio(snapshot) * MACHINE_TYPE_PRIOR;
        let latency_ratio = (own_sum + prior_sum) / (known + MACHINE_TYPE_PRIOR);
        let capacity = endpoint.weight * config.capacity_factor(endpoint.started_at, context.now);
        let zone_cost = if endpoint.zone == config.zone {
            1.0
        } else {
            OTHER_ZONE_COST_FACTOR
        };
        let own_part = 1.0 / config.sidecar_count;
        let load = snapshot.in_flight as f64 + own_part + (1.0 - own_part) * unseen_load;
        load * latency_ratio.max(MIN_COST_LATENCY_RATIO) * zone_cost / capacity
    }

    /// Queues a request that no pod may take now, for as long as a response would still be useful.
    fn postpone(&mut self, request: RequestId, context: &mut Context) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if open.attempts_in_flight > 0 {
            return;
        }
        open.avoids_trial = false;
        open.tried_pods.clear();
        let objective = context.config.class(open.class).latency_objective;
        let useful_until = open.arrived_at + objective.mul_f64(PLACEMENT_WAIT_SHARE);
        let before_deadline = open
            .deadline
            .saturating_sub(TICK_INTERVAL * TICKS_BEFORE_DEADLINE);
        if context.now < useful_until.min(before_deadline) {
            let due = Message::PlacementDue(request);
            context.schedule(TICK_INTERVAL, Component::LoadBalancer, due);
        } else {
            let abandoned = Message::RequestAbandoned(request);
            context.send(Component::AdmissionControl, abandoned);
        }
    }
}
