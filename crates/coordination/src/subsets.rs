//! Which pods each member uses: rendezvous hashing, with bounds on each pod's load (consistent hashing with bounded
//! loads: Mirrokni, Thorup, Zadimoghaddam 2018). A pure function of members and pods: all who see the same share them
//! out alike, with no word between them.

use crate::rank;

/// Pods that a member uses at the least, while there are so many, counted as of mean strength.
const FEW: usize = 6;
/// However strong they are: as many that one may die.
const LEAST: usize = 4;
/// Members that use each pod, in the mean, at the least; where there are fewer, all use all. With half of the members
/// instead, of three the explorer found a cold pod at 5.6 times its share: views apart, and a heavy one's traffic told
/// late.
const USERS: usize = 8;
/// A pod gets so much over its fair load at most, and up to a step of the grid more. What is derived from sums moves by
/// steps: else each member that came or went would shift all bounds a little, and pods between many others.
const BOUND: f64 = 1.03;
const GRID: f64 = 1.11;
/// How much likelier a pod of one's own zone is used than another.
const NEAR: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub key: u64,
    pub zone: u16,
    pub request_rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pod {
    pub key: u64,
    pub zone: u16,
    pub capacity: f64,
}

fn score(member: &Member, pod: &Pod) -> f64 {
    let draw = ((rank(pod.key, member.key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let near = if pod.zone == member.zone { NEAR } else { 1.0 };
    -draw.ln() / near
}

/// The places of all pods in a member's own order, the one it would use first at the front.
pub fn preference_order(member: &Member, pods: &[Pod]) -> Vec<usize> {
    let mut scored: Vec<(f64, u64, usize)> = pods
        .iter()
        .enumerate()
        .map(|(place, pod)| (score(member, pod), pod.key, place))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(.., place)| place).collect()
}

fn step_up(value: f64) -> f64 {
    GRID.powf((value.ln() / GRID.ln()).ceil())
}

/// The places of the pods that each member uses, in its own order. A member uses the more pods the more traffic it has,
/// so that each brings a pod about as much; it takes the first of its order that have room for that. Among its pods a
/// member spreads its hits by strength: so loads are counted by strength, and the strong are not drawn more often.
pub fn assign_subsets(members: &[Member], pods: &[Pod]) -> Vec<Vec<usize>> {
    let traffic = |member: &Member| member.request_rate.max(1e-6);
    let (whole, strength) = (
        members.iter().map(traffic).sum::<f64>(),
        pods.iter().map(|p| p.capacity.max(1e-6)).sum::<f64>(),
    );
    if members.is_empty() || pods.is_empty() {
        return vec![Vec::new(); members.len()];
    }
    let uses = (USERS * pods.len()).max(FEW * members.len()) as f64;
    let each = 2f64.powf(((whole / uses).log2() * 2.0).floor() / 2.0);
    let many = |member: &Member| {
        ((traffic(member) / each).round() as usize)
            .max(FEW)
            .min(pods.len())
    };
    let room = step_up(BOUND * whole / strength);
    let mean = strength / pods.len() as f64;
    let mut loads = vec![0.0; pods.len()];
    // The heaviest first: the light ones fill what is left.
    let mut turns: Vec<usize> = (0..members.len()).collect();
    let brings = |place: usize| traffic(&members[place]) / (many(&members[place]) as f64 * mean);
    turns.sort_unstable_by(|a, b| {
        brings(*b)
            .total_cmp(&brings(*a))
            .then(members[*a].key.cmp(&members[*b].key))
    });
    let mut shares = vec![Vec::new(); members.len()];
    for place in turns {
        let (member, brings) = (&members[place], brings(place));
        let order = preference_order(member, pods);
        let fits = |pod: &usize| loads[*pod] + brings <= room;
        let (room_for_it, mut rest): (Vec<usize>, Vec<usize>) = order.into_iter().partition(fits);
        rest.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
        // So many that their strength is that of as many mean pods.
        let (enough, mut share, mut has) = (many(member) as f64 * mean, Vec::new(), 0.0);
        for pod in room_for_it.into_iter().chain(rest) {
            if share.len() >= LEAST && has >= enough - 0.5 * mean {
                break;
            }
            share.push(pod);
            has += pods[pod].capacity.max(1e-6);
        }
        share.iter().for_each(|pod| loads[*pod] += brings);
        shares[place] = share;
    }
    // No pod is left unused: whoever it suits best takes it beside its own.
    for place in (0..pods.len()).filter(|place| loads[*place] == 0.0) {
        let suits = |member: &usize| score(&members[*member], &pods[place]);
        if let Some(best) = (0..members.len()).min_by(|a, b| suits(a).total_cmp(&suits(b))) {
            shares[best].push(place);
        }
    }
    shares
}
