//! Assignment of subsets: coverage, balance, minimal movement.

mod helpers;

use helpers::{assignment, balance, members, moved, pods};
use limewing_coordination::{assign_subsets, Member, Pod};
use proptest::prelude::*;
use rstest::rstest;

/// Assigns by plain rendezvous hashing for comparison: five pods, and three for each request in
/// flight at 0.1 s each.
fn plain_hashing(members: &[Member], pods: &[Pod]) -> Vec<Vec<usize>> {
    let many = |m: &Member| (5.0 + 3.0 * m.request_rate * 0.1).round() as usize;
    let alike: Vec<Pod> = pods
        .iter()
        .map(|pod| Pod {
            capacity: 1.0,
            zone: 0,
            ..*pod
        })
        .collect();
    let one = |m: &Member| {
        let plain = Member { zone: 0, ..*m };
        limewing_coordination::preference_order(&plain, &alike)
            .into_iter()
            .take(many(m))
            .collect()
    };
    members.iter().map(one).collect()
}

#[rstest]
#[case::three(3, 24, 1.15)]
#[case::few(12, 24, 1.15)]
#[case::sixty(60, 150, 1.15)]
#[case::three_hundred(300, 150, 1.15)]
#[case::thousand(1000, 500, 1.15)]
fn pods_have_balanced_loads(#[case] many: usize, #[case] of: usize, #[case] most: f64) {
    let (members, pods) = (members(many, 3), pods(of, 3));
    let began = std::time::Instant::now();
    let shares = assign_subsets(&members, &pods);
    let took = began.elapsed();
    let (load, users, unused, mean) = balance(&members, &pods, &shares);
    let (plain, plain_users, plain_unused, plain_mean) =
        balance(&members, &pods, &plain_hashing(&members, &pods));
    println!(
        "{many} x {of}: load {load:.2} (plain {plain:.2}), users {users:.2} ({plain_users:.2}) of {mean:.1} \
         ({plain_mean:.1}), unused {unused} ({plain_unused}), {took:?}"
    );
    assert!(load <= most, "{load}");
    assert_eq!(unused, 0);
}

#[rstest]
#[case::few(12, 24)]
#[case::sixty(60, 150)]
#[case::three_hundred(300, 150)]
fn few_pods_move_when_a_member_or_pod_comes_or_goes(#[case] many: usize, #[case] of: usize) {
    let (members, pods) = (members(many, 3), pods(of, 3));
    let whole = assignment(&members, &pods);
    let without = |n: usize| assignment(&[&members[..n], &members[n + 1..]].concat(), &pods);
    let fewer = |n: usize| assignment(&members, &[&pods[..n], &pods[n + 1..]].concat());
    let figures = |moves: Vec<f64>| {
        let mean = moves.iter().sum::<f64>() / moves.len() as f64;
        (mean, moves.iter().copied().fold(0.0, f64::max))
    };
    let by_member = figures(
        (0..many)
            .step_by(many / 12)
            .map(|n| moved(&whole, &without(n)))
            .collect(),
    );
    let by_pod = figures(
        (0..of)
            .step_by(of / 12)
            .map(|n| moved(&whole, &fewer(n)))
            .collect(),
    );
    let times = |(mean, most): (f64, f64), n: usize| (mean * n as f64, most * n as f64);
    let (by_member, by_pod) = (times(by_member, many), times(by_pod, of));
    println!(
        "{many} x {of}: moved, in parts of one in n: member {by_member:.2?}, pod {by_pod:.2?}"
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
        traffics in prop::collection::vec(0.01f64..500.0, 1..40),
        strengths in prop::collection::vec(0.1f64..8.0, 1..60),
    ) {
        let members: Vec<Member> = (0u64..).zip(&traffics)
            .map(|(n, t)| Member { key: n * 77 + 5, zone: n as u16 % 3, request_rate: *t }).collect();
        let pods: Vec<Pod> = (0u64..).zip(&strengths)
            .map(|(n, s)| Pod { key: n * 31 + 9, zone: n as u16 % 3, capacity: *s }).collect();
        let shares = assign_subsets(&members, &pods);
        for share in &shares {
            let mut once = share.clone();
            once.sort_unstable();
            once.dedup();
            prop_assert_eq!(once.len(), share.len());
            prop_assert!(share.len() >= pods.len().min(4));
        }
        prop_assert_eq!(balance(&members, &pods, &shares).2, 0);
        let (mut back, mut pods_back) = (members.clone(), pods.clone());
        back.reverse();
        pods_back.reverse();
        let sorted = |assignment: helpers::Assignment| -> helpers::Assignment {
            assignment.into_iter().map(|(m, mut p)| { p.sort_unstable(); (m, p) }).collect()
        };
        prop_assert_eq!(sorted(assignment(&members, &pods)), sorted(assignment(&back, &pods_back)));
    }
}
