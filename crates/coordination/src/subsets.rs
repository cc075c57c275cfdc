//! Assignment of pods to members: rendezvous hashing (Thaler, Ravishankar 1998) with a bound on
//! each pod's load (consistent hashing with bounded loads: Mirrokni, Thorup, Zadimoghaddam 2018).
//! It is a pure function of members and pods, so all members with the same view compute the same
//! assignment without messages.

use crate::stable_hash::rank;

/// Minimum size of a member's subset if there are enough pods, in pods of mean capacity.
const MIN_SUBSET: usize = 6;
/// Minimum number of pods in a subset regardless of their capacity, because one of them may fail.
const MIN_PODS: usize = 4;
/// Minimum mean number of members per pod; in a smaller fleet all members use all pods. With half
/// as many members, the model check found a cold pod at 5.6 times its share in a fleet of three,
/// with disjoint views and a heavy member's request rate reported late.
const MIN_MEMBERS_PER_POD: usize = 8;
/// Maximum load of a pod relative to its fair load, before rounding up to the next grid step.
const MAX_LOAD_RATIO: f64 = 1.03;
/// Ratio of the grid's steps, to which values derived from sums are rounded. Otherwise each member
/// that joins or leaves would shift all bounds slightly, and move pods between many other members.
const GRID_RATIO: f64 = 1.11;
/// Weight of a pod in the member's own zone relative to pods in other zones.
const SAME_ZONE_WEIGHT: f64 = 3.0;
/// Lower bound of request rates and capacities, so that their sums are not zero.
const MIN_WEIGHT: f64 = 1e-6;

/// A member as input of the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Key of the member's name.
    pub key: u64,
    /// Zone of the member.
    pub zone: u16,
    /// Requests per second.
    pub request_rate: f64,
}

/// A pod as input of the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pod {
    /// Key of the pod's address.
    pub key: u64,
    /// Zone of the pod.
    pub zone: u16,
    /// Capacity relative to the other pods.
    pub capacity: f64,
}

/// Returns the rendezvous-hashing score of a pod for a member, an exponential draw. Lower is
/// preferred.
fn score(member: &Member, pod: &Pod) -> f64 {
    let draw = ((rank(pod.key, member.key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = if pod.zone == member.zone {
        SAME_ZONE_WEIGHT
    } else {
        1.0
    };
    -draw.ln() / weight
}

/// Returns the indexes of all pods in a member's order of preference.
pub fn preference_order(member: &Member, pods: &[Pod]) -> Vec<usize> {
    let mut scored: Vec<(f64, u64, usize)> = pods
        .iter()
        .enumerate()
        .map(|(index, pod)| (score(member, pod), pod.key, index))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, _, index)| index).collect()
}

/// Returns the indexes of the pods that each member uses, in its order of preference.
///
/// A member with more requests uses more pods, so that each member adds about the same load to a
/// pod. It takes the first pods in its order that have room for that load. Within its subset a
/// member spreads requests by capacity. Loads are therefore counted per unit of capacity, and
/// larger pods are not drawn more often.
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

/// Totals of the fleet from which the sizes of the subsets are derived.
struct Sizing {
    pod_count: usize,
    mean_capacity: f64,
    /// Requests per second that one member is to send to one pod.
    rate_per_assignment: f64,
    /// Load up to which a pod has room for another member.
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
            // Rounded down to a power of the square root of two.
            rate_per_assignment: 2f64.powf(((total_rate / assignments).log2() * 2.0).floor() / 2.0),
            max_load: round_up_to_grid(MAX_LOAD_RATIO * total_rate / total_capacity),
        }
    }

    /// Returns the size of the member's subset in pods of mean capacity.
    fn subset_size(&self, member: &Member) -> usize {
        ((rate_of(member) / self.rate_per_assignment).round() as usize)
            .max(MIN_SUBSET)
            .min(self.pod_count)
    }

    /// Returns the capacity of the member's subset.
    fn subset_capacity(&self, member: &Member) -> f64 {
        self.subset_size(member) as f64 * self.mean_capacity
    }

    /// Returns the load that the member adds to each pod of its subset, in requests per second and
    /// unit of capacity.
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

/// Returns the members' indexes, those with the highest load per pod first, so that light members
/// fill the remaining room.
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

/// Returns the first pods in the member's order that have room and, if these do not suffice, the
/// least loaded others.
fn choose_subset(member: &Member, pods: &[Pod], sizing: &Sizing, loads: &[f64]) -> Vec<usize> {
    let added_load = sizing.load_per_pod(member);
    let (with_room, mut others): (Vec<usize>, Vec<usize>) = preference_order(member, pods)
        .into_iter()
        .partition(|pod| loads[*pod] + added_load <= sizing.max_load);
    others.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let target_capacity = sizing.subset_capacity(member);
    let mut subset = Vec::new();
    let mut capacity = 0.0;
    for pod in with_room.into_iter().chain(others) {
        if subset.len() >= MIN_PODS && capacity >= target_capacity - 0.5 * sizing.mean_capacity {
            break;
        }
        subset.push(pod);
        capacity += capacity_of(&pods[pod]);
    }
    subset
}

/// Assigns each unused pod additionally to the member with the best score for it.
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
