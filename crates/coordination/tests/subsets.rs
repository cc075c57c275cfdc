//! Assignment of subsets: coverage, balance, minimal movement.

mod helpers;

use helpers::{assignment, balance, members, moved_fraction, pods};
use limewing_coordination::{assign_subsets, Member, Pod};
use proptest::prelude::*;
use rstest::rstest;

/// Assigns by plain rendezvous hashing for comparison: five pods, and three for each request in
/// flight at 0.1 s each.
fn plain_hashing(members: &[Member], pods: &[Pod]) -> Vec<Vec<usize>> {
    let subset_size = |m: &Member| (5.0 + 3.0 * m.request_rate * 0.1).round() as usize;
    let uniform_pods: Vec<Pod> = pods
        .iter()
        .map(|pod| Pod {
            capacity: 1.0,
            zone: 0,
            ..*pod
        })
        .collect();
    let assign = |m: &Member| {
        let plain = Member { zone: 0, ..*m };
        limewing_coordination::preference_order(&plain, &uniform_pods)
            .into_iter()
            .take(subset_size(m))
            .collect()
    };
    members.iter().map(assign).collect()
}

#[rstest]
#[case::three(3, 24, 1.15)]
#[case::few(12, 24, 1.15)]
#[case::sixty(60, 150, 1.15)]
#[case::three_hundred(300, 150, 1.15)]
#[case::thousand(1000, 500, 1.15)]
fn pods_have_balanced_loads(
    #[case] member_count: usize,
    #[case] pod_count: usize,
    #[case] max_load: f64,
) {
    let (members, pods) = (members(member_count, 3), pods(pod_count, 3));
    let started_at = std::time::Instant::now();
    let subsets = assign_subsets(&members, &pods);
    let elapsed = started_at.elapsed();
    let (load, users, unused, mean) = balance(&members, &pods, &subsets);
    let (plain, plain_users, plain_unused, plain_mean) =
        balance(&members, &pods, &plain_hashing(&members, &pods));
    println!(
        "{member_count} x {pod_count}: load {load:.2} (plain {plain:.2}), users {users:.2} ({plain_users:.2}) of {mean:.1} \
         ({plain_mean:.1}), unused {unused} ({plain_unused}), {elapsed:?}"
    );
    assert!(load <= max_load, "{load}");
    assert_eq!(unused, 0);
}

#[rstest]
#[case::few(12, 24)]
#[case::sixty(60, 150)]
#[case::three_hundred(300, 150)]
fn few_assignments_move_when_a_member_or_pod_joins_or_leaves(
    #[case] member_count: usize,
    #[case] pod_count: usize,
) {
    let (members, pods) = (members(member_count, 3), pods(pod_count, 3));
    let before = assignment(&members, &pods);
    let without_member = |n: usize| assignment(&[&members[..n], &members[n + 1..]].concat(), &pods);
    let without_pod = |n: usize| assignment(&members, &[&pods[..n], &pods[n + 1..]].concat());
    let mean_and_max = |moves: Vec<f64>| {
        let mean = moves.iter().sum::<f64>() / moves.len() as f64;
        (mean, moves.iter().copied().fold(0.0, f64::max))
    };
    let by_member = mean_and_max(
        (0..member_count)
            .step_by(member_count / 12)
            .map(|n| moved_fraction(&before, &without_member(n)))
            .collect(),
    );
    let by_pod = mean_and_max(
        (0..pod_count)
            .step_by(pod_count / 12)
            .map(|n| moved_fraction(&before, &without_pod(n)))
            .collect(),
    );
    let scaled = |(mean, max): (f64, f64), n: usize| (mean * n as f64, max * n as f64);
    let (by_member, by_pod) = (scaled(by_member, member_count), scaled(by_pod, pod_count));
    println!(
        "{member_count} x {pod_count}: moved assignments in units of 1/n: member {by_member:.2?}, pod {by_pod:.2?}"
    );
    assert!(
        by_member.0 <= 4.0 && by_pod.0 <= 4.0,
        "{by_member:?} {by_pod:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]
    /// Every pod is used, no member has a pod twice, each member has pods, and the order of members
    /// and pods in the input does not matter.
    #[test]
    fn every_pod_is_used_whatever_the_order(
        request_rates in prop::collection::vec(0.01f64..500.0, 1..40),
        capacities in prop::collection::vec(0.1f64..8.0, 1..60),
    ) {
        let members: Vec<Member> = (0u64..).zip(&request_rates)
            .map(|(n, rate)| Member { key: n * 77 + 5, zone: n as u16 % 3, request_rate: *rate }).collect();
        let pods: Vec<Pod> = (0u64..).zip(&capacities)
            .map(|(n, capacity)| Pod { key: n * 31 + 9, zone: n as u16 % 3, capacity: *capacity }).collect();
        let subsets = assign_subsets(&members, &pods);
        for subset in &subsets {
            let mut unique = subset.clone();
            unique.sort_unstable();
            unique.dedup();
            prop_assert_eq!(unique.len(), subset.len());
            prop_assert!(subset.len() >= pods.len().min(4));
        }
        prop_assert_eq!(balance(&members, &pods, &subsets).2, 0);
        let (mut reversed_members, mut reversed_pods) = (members.clone(), pods.clone());
        reversed_members.reverse();
        reversed_pods.reverse();
        let sorted = |assignment: helpers::Assignment| -> helpers::Assignment {
            assignment.into_iter().map(|(m, mut p)| { p.sort_unstable(); (m, p) }).collect()
        };
        prop_assert_eq!(sorted(assignment(&members, &pods)), sorted(assignment(&reversed_members, &reversed_pods)));
    }
}
