//! Test fleets and statistics of their assignments. Each test file uses only some of them.
#![allow(dead_code)]

use limewing_coordination::{assign_subsets, stable_key, Member, Pod};
use std::collections::BTreeMap;

/// Returns members spread over zones; one in five has five times the request rate.
pub(crate) fn members(count: usize, zones: u16) -> Vec<Member> {
    let request_rate = |n: usize| if n.is_multiple_of(5) { 25.0 } else { 5.0 };
    let zone = |n: usize| (n % usize::from(zones)) as u16;
    (0..count)
        .map(|n| Member {
            key: stable_key(&format!("s{n}")),
            zone: zone(n),
            request_rate: request_rate(n),
        })
        .collect()
}

/// Returns pods spread over zones; one in three has twice the capacity.
pub(crate) fn pods(count: usize, zones: u16) -> Vec<Pod> {
    let capacity = |n: usize| if n.is_multiple_of(3) { 2.0 } else { 1.0 };
    let zone = |n: usize| (n % usize::from(zones)) as u16;
    let pod_key = |n: usize| stable_key(&format!("10.0.{}.{}:80", n / 250, n % 250));
    (0..count)
        .map(|n| Pod {
            key: pod_key(n),
            zone: zone(n),
            capacity: capacity(n),
        })
        .collect()
}

/// Returns the maximum load per capacity and the maximum number of members per pod, each relative
/// to the mean, then the number of unused pods and the mean number of members per pod.
pub(crate) fn balance(
    members: &[Member],
    pods: &[Pod],
    subsets: &[Vec<usize>],
) -> (f64, f64, usize, f64) {
    let (mut loads, mut users) = (vec![0.0; pods.len()], vec![0usize; pods.len()]);
    for (member, subset) in members.iter().zip(subsets) {
        let subset_capacity: f64 = subset.iter().map(|pod| pods[*pod].capacity).sum();
        for pod in subset {
            loads[*pod] += member.request_rate * pods[*pod].capacity / subset_capacity;
            users[*pod] += 1;
        }
    }
    let mean_load = members.iter().map(|m| m.request_rate).sum::<f64>()
        / pods.iter().map(|p| p.capacity).sum::<f64>();
    let max_load = loads
        .iter()
        .zip(pods)
        .map(|(load, pod)| load / pod.capacity / mean_load)
        .fold(0.0, f64::max);
    let mean_users = users.iter().sum::<usize>() as f64 / pods.len() as f64;
    let max_users = users.iter().max().copied().unwrap_or(0) as f64 / mean_users;
    (
        max_load,
        max_users,
        users.iter().filter(|users| **users == 0).count(),
        mean_users,
    )
}

pub(crate) type Assignment = BTreeMap<u64, Vec<u64>>;

pub(crate) fn assignment(members: &[Member], pods: &[Pod]) -> Assignment {
    let subsets = assign_subsets(members, pods);
    let keys = |subset: Vec<usize>| subset.into_iter().map(|index| pods[index].key).collect();
    members
        .iter()
        .map(|m| m.key)
        .zip(subsets.into_iter().map(keys))
        .collect()
}

/// Returns the fraction of all assignments that the remaining members did not have before.
pub(crate) fn moved_fraction(before: &Assignment, after: &Assignment) -> f64 {
    let total: usize = before.values().map(Vec::len).sum();
    let new = |(member, pods): (&u64, &Vec<u64>)| {
        before.get(member).map_or(0, |previous| {
            pods.iter().filter(|pod| !previous.contains(pod)).count()
        })
    };
    after.iter().map(new).sum::<usize>() as f64 / total as f64
}
