//! Fleets and figures for the tests.
#![allow(dead_code)]

use limewing_coordination::{assign_subsets, stable_key, Member, Pod};
use std::collections::BTreeMap;

/// One in five has five times the traffic.
pub fn members(many: usize, zones: u16) -> Vec<Member> {
    let traffic = |n: usize| if n.is_multiple_of(5) { 25.0 } else { 5.0 };
    let zone = |n: usize| (n % usize::from(zones)) as u16;
    (0..many)
        .map(|n| Member {
            key: stable_key(&format!("s{n}")),
            zone: zone(n),
            request_rate: traffic(n),
        })
        .collect()
}

/// One in three is twice as strong.
pub fn pods(many: usize, zones: u16) -> Vec<Pod> {
    let strength = |n: usize| if n.is_multiple_of(3) { 2.0 } else { 1.0 };
    let zone = |n: usize| (n % usize::from(zones)) as u16;
    let named = |n: usize| stable_key(&format!("10.0.{}.{}:80", n / 250, n % 250));
    (0..many)
        .map(|n| Pod {
            key: named(n),
            zone: zone(n),
            capacity: strength(n),
        })
        .collect()
}

/// Most over mean of load per strength and of members per pod, pods unused, and members per pod in the mean.
pub fn balance(members: &[Member], pods: &[Pod], shares: &[Vec<usize>]) -> (f64, f64, usize, f64) {
    let (mut loads, mut users) = (vec![0.0; pods.len()], vec![0usize; pods.len()]);
    for (member, share) in members.iter().zip(shares) {
        let whole: f64 = share.iter().map(|pod| pods[*pod].capacity).sum();
        for pod in share {
            loads[*pod] += member.request_rate * pods[*pod].capacity / whole;
            users[*pod] += 1;
        }
    }
    let fair = members.iter().map(|m| m.request_rate).sum::<f64>()
        / pods.iter().map(|p| p.capacity).sum::<f64>();
    let most = loads
        .iter()
        .zip(pods)
        .map(|(load, pod)| load / pod.capacity / fair)
        .fold(0.0, f64::max);
    let mean = users.iter().sum::<usize>() as f64 / pods.len() as f64;
    let busiest = users.iter().max().copied().unwrap_or(0) as f64 / mean;
    (
        most,
        busiest,
        users.iter().filter(|users| **users == 0).count(),
        mean,
    )
}

pub type Held = BTreeMap<u64, Vec<u64>>;

pub fn held(members: &[Member], pods: &[Pod]) -> Held {
    let shares = assign_subsets(members, pods);
    let keys = |share: Vec<usize>| share.into_iter().map(|place| pods[place].key).collect();
    members
        .iter()
        .map(|m| m.key)
        .zip(shares.into_iter().map(keys))
        .collect()
}

/// The part of all assignments that those who stay did not have before.
pub fn moved(before: &Held, after: &Held) -> f64 {
    let all: usize = before.values().map(Vec::len).sum();
    let new = |(member, pods): (&u64, &Vec<u64>)| {
        before.get(member).map_or(0, |had| {
            pods.iter().filter(|pod| !had.contains(pod)).count()
        })
    };
    after.iter().map(new).sum::<usize>() as f64 / all as f64
}
