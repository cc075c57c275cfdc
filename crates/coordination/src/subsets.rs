//! Which pods each member uses: rendezvous hashing (Thaler, Ravishankar 1998) with a bound on each pod's load (consistent
//! hashing with bounded loads: Mirrokni, Thorup, Zadimoghaddam 2018). A pure function of members and pods: all that see
//! the same assign alike, without messages.

use crate::stable_hash::rank;

/// Pods that a member uses at the least, if there are so many, counted as pods of mean capacity.
const MIN_SUBSET: usize = 6;
/// Pods that a member uses at the least whatever their capacity: one of them may die.
const MIN_PODS: usize = 4;
/// Members that use each pod, in the mean, at the least; in a smaller fleet all members use all pods. With half of the members
/// instead, the model check found a cold pod of a fleet of three at 5.6 times its share, with disjoint views and a heavy
/// member's request rate reported late.
const MIN_MEMBERS_PER_POD: usize = 8;
/// A pod is assigned this much of its fair load at the most, and up to one grid step more.
const MAX_LOAD_RATIO: f64 = 1.03;
/// What is derived from sums moves by steps of this ratio: otherwise each member that came or went would shift all bounds a
/// little, and pods between many others.
const GRID_RATIO: f64 = 1.11;
/// How much more likely a pod of the member's own zone is used than another.
const SAME_ZONE_WEIGHT: f64 = 3.0;
/// Request rates and capacities count as this at the least: sums must not be zero.
const MIN_WEIGHT: f64 = 1e-6;

/// A member, as far as it counts for the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Key of its name.
    pub key: u64,
    /// Its zone.
    pub zone: u16,
    /// Requests a second.
    pub request_rate: f64,
}

/// A pod, as far as it counts for the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pod {
    /// Key of its address.
    pub key: u64,
    /// Its zone.
    pub zone: u16,
    /// Capacity in relation to the other pods.
    pub capacity: f64,
}

/// The weight of a pod for a member in rendezvous hashing: an exponential draw; the lowest comes first.
fn score(member: &Member, pod: &Pod) -> f64 {
    let draw = ((rank(pod.key, member.key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = if pod.zone == member.zone {
        SAME_ZONE_WEIGHT
    } else {
        1.0
    };
    -draw.ln() / weight
}

/// The indexes of all pods in a member's own order of preference.
pub fn preference_order(member: &Member, pods: &[Pod]) -> Vec<usize> {
    let mut scored: Vec<(f64, u64, usize)> = pods
        .iter()
        .enumerate()
        .map(|(index, pod)| (score(member, pod), pod.key, index))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, _, index)| index).collect()
}

/// The indexes of the pods that each member uses, in its own order of preference. A member uses the more pods the more
/// requests it has, so that each member brings a pod about as much; it takes the first of its order that have room for that.
/// Within its subset a member spreads requests by capacity: so loads are counted by capacity, and pods of more capacity are
/// not drawn more often.
pub fn assign_subsets(members: &[Member], pods: &[Pod]) -> Vec<Vec<usize>> {
    if members.is_empty() || pods.is_empty() {
        return vec![Vec::new(); members.len()];
    }
    let sizing = Sizing::new(members, pods);
    let mut loads = vec![0.0; pods.len()];
    let mut subsets = vec![Vec::new(); members.len()];
    for index in heaviest_first(members, &sizing) {
        let member = &members[index];
        let subset = choose_subset(member, pods, &sizing, &loads);
        for pod in &subset {
            loads[*pod] += sizing.load_per_pod(member);
        }
        subsets[index] = subset;
    }
    assign_unused_pods(members, pods, &loads, &mut subsets);
    subsets
}

/// Figures of the whole fleet, from which the subsets' sizes are derived.
struct Sizing {
    pod_count: usize,
    mean_capacity: f64,
    /// Requests a second that one member is to bring one pod.
    rate_per_assignment: f64,
    /// The load up to which a pod has room for one more member.
    max_load: f64,
}

impl Sizing {
    fn new(members: &[Member], pods: &[Pod]) -> Self {
        let total_rate = members.iter().map(rate_of).sum::<f64>();
        let total_capacity = pods.iter().map(capacity_of).sum::<f64>();
        let assignments = (MIN_MEMBERS_PER_POD * pods.len()).max(MIN_SUBSET * members.len()) as f64;
        Self {
            pod_count: pods.len(),
            mean_capacity: total_capacity / pods.len() as f64,
            // On a grid of powers of the root of two.
            rate_per_assignment: 2f64.powf(((total_rate / assignments).log2() * 2.0).floor() / 2.0),
            max_load: round_up_to_grid(MAX_LOAD_RATIO * total_rate / total_capacity),
        }
    }

    /// Pods of mean capacity that the member is to use.
    fn subset_size(&self, member: &Member) -> usize {
        ((rate_of(member) / self.rate_per_assignment).round() as usize)
            .max(MIN_SUBSET)
            .min(self.pod_count)
    }

    /// Capacity that the member is to use.
    fn subset_capacity(&self, member: &Member) -> f64 {
        self.subset_size(member) as f64 * self.mean_capacity
    }

    /// Requests a second and unit of capacity that the member brings each pod of its subset.
    fn load_per_pod(&self, member: &Member) -> f64 {
        rate_of(member) / self.subset_capacity(member)
    }
}

fn rate_of(member: &Member) -> f64 {
    member.request_rate.max(MIN_WEIGHT)
}

fn capacity_of(pod: &Pod) -> f64 {
    pod.capacity.max(MIN_WEIGHT)
}

fn round_up_to_grid(value: f64) -> f64 {
    GRID_RATIO.powf((value.ln() / GRID_RATIO.ln()).ceil())
}

/// The members' indexes, those that bring a pod the most first: the light ones fill what is left.
fn heaviest_first(members: &[Member], sizing: &Sizing) -> Vec<usize> {
    let mut indexes: Vec<usize> = (0..members.len()).collect();
    indexes.sort_unstable_by(|a, b| {
        let (a, b) = (&members[*a], &members[*b]);
        sizing
            .load_per_pod(b)
            .total_cmp(&sizing.load_per_pod(a))
            .then(a.key.cmp(&b.key))
    });
    indexes
}

/// The first pods of the member's order that have room; if they don't suffice, the least loaded others.
fn choose_subset(member: &Member, pods: &[Pod], sizing: &Sizing, loads: &[f64]) -> Vec<usize> {
    let added = sizing.load_per_pod(member);
    let (with_room, mut others): (Vec<usize>, Vec<usize>) = preference_order(member, pods)
        .into_iter()
        .partition(|pod| loads[*pod] + added <= sizing.max_load);
    others.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let wanted = sizing.subset_capacity(member);
    let mut subset = Vec::new();
    let mut capacity = 0.0;
    for pod in with_room.into_iter().chain(others) {
        if subset.len() >= MIN_PODS && capacity >= wanted - 0.5 * sizing.mean_capacity {
            break;
        }
        subset.push(pod);
        capacity += capacity_of(&pods[pod]);
    }
    subset
}

/// No pod is left unused: the member with the best score takes it beside its own.
fn assign_unused_pods(members: &[Member], pods: &[Pod], loads: &[f64], subsets: &mut [Vec<usize>]) {
    for (index, pod) in pods.iter().enumerate() {
        if loads[index] != 0.0 {
            continue;
        }
        let score = |member: &usize| score(&members[*member], pod);
        let best = (0..members.len()).min_by(|a, b| score(a).total_cmp(&score(b)));
        if let Some(best) = best {
            subsets[best].push(index);
        }
    }
}
