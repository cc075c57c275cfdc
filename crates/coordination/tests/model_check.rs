//! Bounded model checks. For the probe rotation with three members and one topic: every order of
//! crashes, of late or wrong views, and of learning late of the topic; injected faults have to be
//! found. For the budgets of cold pods: all combinations of views.

use limewing_coordination::{assign_subsets, is_selected, Member, Pod, ROTATION_INTERVAL};
use rstest::rstest;
use std::collections::BTreeSet;

const MEMBERS: [u64; 3] = [11, 22, 33];
const TICKS: u8 = 6;
/// Number of intervals by which a member may learn of the topic later than another one.
const MAX_DELAY: u8 = 1;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct State {
    tick: u8,
    alive: [bool; 3],
    /// Members that each member considers present, always including itself.
    views: [[bool; 3]; 3],
    learned_at: [Option<u8>; 3],
}

type Rule = fn(u64, u64, &[u64], u8) -> bool;

fn correct_rule(topic: u64, own: u64, members: &[u64], elapsed: u8) -> bool {
    is_selected(
        1,
        topic,
        own,
        members.iter().copied(),
        ROTATION_INTERVAL * u32::from(elapsed),
    )
}

fn never_rotates(topic: u64, own: u64, members: &[u64], _: u8) -> bool {
    correct_rule(topic, own, members, 0)
}

fn ignores_other_members(topic: u64, own: u64, _: &[u64], elapsed: u8) -> bool {
    correct_rule(topic, own, &[own], elapsed)
}

/// An interval lasts four times as long, so three intervals do not reach every member.
fn rotates_late(topic: u64, own: u64, members: &[u64], elapsed: u8) -> bool {
    correct_rule(topic, own, members, elapsed / 4)
}

fn selected_count(state: &State, rule: Rule) -> usize {
    let is_rule_selected = |n: usize| {
        let present: Vec<u64> = (0..3)
            .filter(|m| state.views[n][*m])
            .map(|m| MEMBERS[m])
            .collect();
        let elapsed = state.learned_at[n]
            .filter(|_| state.alive[n])
            .map(|at| state.tick - at);
        elapsed.is_some_and(|elapsed| rule(7, MEMBERS[n], &present, elapsed))
    };
    (0..3).filter(|n| is_rule_selected(*n)).count()
}

fn next(state: &State) -> Vec<State> {
    let mut successors = vec![*state];
    for n in 0..3 {
        if state.alive[n] && state.alive.iter().filter(|a| **a).count() > 1 {
            successors.push(State {
                alive: std::array::from_fn(|m| state.alive[m] && m != n),
                ..*state
            });
        }
        for m in (0..3).filter(|m| *m != n) {
            let mut changed = *state;
            changed.views[n][m] = !changed.views[n][m];
            successors.push(changed);
        }
    }
    let learn = |state: State| {
        let unaware: Vec<usize> = (0..3).filter(|n| state.learned_at[*n].is_none()).collect();
        // Each member that has not learned of the topic learns of it now, or later if it still may.
        (0..1u8 << unaware.len()).map(move |learning| {
            let mut state = State {
                tick: state.tick + 1,
                ..state
            };
            for (bit, n) in unaware.iter().enumerate() {
                if learning >> bit & 1 == 1 || state.tick > MAX_DELAY {
                    state.learned_at[*n] = Some(state.tick - 1);
                }
            }
            state
        })
    };
    successors.into_iter().flat_map(learn).collect()
}

/// Returns the property that a state violates, if any.
fn violation(state: &State, rule: Rule) -> Option<&'static str> {
    let (complete_view, learned_together) = (
        [true; 3],
        state
            .learned_at
            .iter()
            .all(|at| *at == state.learned_at[0] && at.is_some()),
    );
    let complete_views = state.views.iter().all(|view| *view == complete_view);
    if learned_together && complete_views && selected_count(state, rule) > 1 {
        return Some("two members are selected although all have the same view and learned of the topic together");
    }
    // Without further events, and although nobody notices a death, a live member is selected in
    // time.
    let is_selected_in_time = |state: State| {
        (0..3).any(|later| {
            selected_count(
                &State {
                    tick: state.tick + later,
                    ..state
                },
                rule,
            ) > 0
        })
    };
    let all_learned = (0..3).all(|n| !state.alive[n] || state.learned_at[n].is_some());
    (all_learned && complete_views && !is_selected_in_time(*state))
        .then_some("no live member is selected")
}

fn explore(rule: Rule) -> (usize, Option<(State, &'static str)>) {
    let start = State {
        tick: 0,
        alive: [true; 3],
        views: [[true; 3]; 3],
        learned_at: [Some(0), None, None],
    };
    let mut seen = BTreeSet::from([start]);
    let mut pending = vec![start];
    while let Some(state) = pending.pop() {
        if let Some(violated) = violation(&state, rule) {
            return (seen.len(), Some((state, violated)));
        }
        if state.tick < TICKS {
            pending.extend(next(&state).into_iter().filter(|state| seen.insert(*state)));
        }
    }
    (seen.len(), None)
}

#[rstest]
#[case::correct_rule(correct_rule, true)]
#[case::never_rotates(never_rotates, false)]
#[case::ignores_other_members(ignores_other_members, false)]
#[case::rotates_late(rotates_late, false)]
fn rotation_properties_hold_in_every_order_of_events(#[case] rule: Rule, #[case] is_valid: bool) {
    let (states, found) = explore(rule);
    println!("{states} states, {found:?}");
    assert_eq!(found.is_none(), is_valid, "{found:?} in {states} states");
}

/// With more than three members: whichever members are dead, however late each learned of the
/// topic, and into whatever partitions their views fall, no more members are selected at a time
/// than the bound allows, and a live member is selected in time.
#[rstest]
#[case::two(2)]
#[case::four(4)]
#[case::six(6)]
fn rotation_properties_hold_with_more_members(#[case] n: usize) {
    const PROBERS: usize = 2;
    let keys: Vec<u64> = (0..n as u64).map(|member| 11 * (member + 1)).collect();
    let (mut max_selected, mut states) = (0, 0);
    // Each member is in one of up to three partitions, dead or alive, and learned of the topic at
    // once or an interval later.
    for code in 0..12usize.pow(n as u32) {
        let digit = |member: usize| code / 12usize.pow(member as u32) % 12;
        let (partition, alive, delay) = (
            |m| digit(m) % 3,
            |m| digit(m) / 3 % 2 == 0,
            |m| digit(m) / 6,
        );
        let partitions = (0..3)
            .filter(|p| (0..n).any(|m| alive(m) && partition(m) == *p))
            .count();
        let selected_count = |tick: u32| {
            let is_member_selected = |m: &usize| {
                // A dead member stays in the views of its partition, because its death is never
                // noticed here.
                let view = (0..n)
                    .filter(|other| partition(*other) == partition(*m))
                    .map(|other| keys[other]);
                let elapsed = ROTATION_INTERVAL * (tick + 1 - delay(*m) as u32);
                alive(*m) && is_selected(PROBERS, 7, keys[*m], view, elapsed)
            };
            (0..n).filter(is_member_selected).count()
        };
        let selected: Vec<usize> = (0..2 * n as u32 + 2).map(selected_count).collect();
        let worst = selected.iter().copied().max().unwrap_or(0);
        let live_count = (0..n).filter(|m| alive(*m)).count();
        assert!(
            worst <= (PROBERS * 3 * partitions).min(live_count),
            "{worst} selected in {partitions} partitions, state {code}"
        );
        assert!(
            live_count == 0 || worst > 0,
            "no live member is selected, state {code}"
        );
        (max_selected, states) = (max_selected.max(worst), states + 1);
    }
    println!("{n} members, {states} states, at most {max_selected} selected at a time");
}

/// Returns the worst total load of a cold pod relative to its fair share, and the number of views
/// checked. The load is summed over a few members, whichever others each of them sees and whether
/// or not the first member's request rate is already reported.
///
/// By its own share of the pods each member sends at most 1.4 times the load that its requests put
/// on warm capacity; the limit is 2. What a member sends depends only on its own view, so the worst
/// total combines each member's worst view. All views of all members are enumerated, for up to
/// twelve members, and all sets of live members, since fewer live members lower the fair share.
fn worst_load_in_any_view(n: usize, assumed_fraction: fn(f64) -> f64) -> (f64, usize) {
    const PODS: usize = 24;
    let pods: Vec<Pod> = (0..PODS as u64)
        .map(|key| Pod {
            key,
            zone: 0,
            capacity: 1.0,
        })
        .collect();
    // The first member has five times the request rate of the others, which may not be reported
    // yet.
    let rate = |member: usize, reported: bool| if member == 0 && reported { 25.0 } else { 5.0 };
    let mut views = 0;
    let mut loads = vec![[0.0f64; PODS]; n];
    for (own, loads) in loads.iter_mut().enumerate() {
        for seen in (0..1usize << n).filter(|seen| seen >> own & 1 == 1) {
            for reported in [true, false]
                .into_iter()
                .filter(|reported| *reported || (own != 0 && seen & 1 == 1))
            {
                let member = |m: usize| Member {
                    key: 11 * (m as u64 + 1),
                    zone: 0,
                    request_rate: rate(m, reported || m == own),
                };
                let members: Vec<Member> =
                    (0..n).filter(|m| seen >> m & 1 == 1).map(member).collect();
                let index = (0..own).filter(|m| seen >> m & 1 == 1).count();
                let subset = assign_subsets(&members, &pods).swap_remove(index);
                let fraction = assumed_fraction(subset.len() as f64 / PODS as f64);
                let budget = 1.4 * rate(own, true) / (PODS as f64 * fraction);
                subset
                    .iter()
                    .for_each(|pod| loads[*pod] = loads[*pod].max(budget));
                views += 1;
            }
        }
    }
    let mut worst = 0.0f64;
    for alive in 1..1usize << n {
        let is_alive = |m: &usize| alive >> m & 1 == 1;
        let fair_share = (0..n).filter(is_alive).map(|m| rate(m, true)).sum::<f64>() / PODS as f64;
        let total_load = |pod: usize| (0..n).filter(is_alive).map(|m| loads[m][pod]).sum::<f64>();
        worst = worst.max((0..PODS).map(total_load).fold(0.0, f64::max) / fair_share);
    }
    (worst, views)
}

#[rstest]
#[case::three(3, |fraction: f64| fraction, true)]
#[case::assumes_half_the_pods(3, |fraction: f64| fraction / 2.0, false)]
#[case::assumes_three_pods(3, |fraction: f64| fraction.min(3.0 / 24.0), false)]
#[case::six(6, |fraction: f64| fraction, true)]
#[case::eight(8, |fraction: f64| fraction, true)]
fn budgets_of_cold_pods_hold_in_every_view(
    #[case] n: usize,
    #[case] assumed_fraction: fn(f64) -> f64,
    #[case] is_valid: bool,
) {
    let (worst, views) = worst_load_in_any_view(n, assumed_fraction);
    println!("{n} members, {views} views, at most {worst:.2} of the fair share");
    assert_eq!(worst <= 2.0, is_valid, "{worst}");
}

/// With more than eight members, where not all members use all pods: whatever partitions the fleet
/// falls into, each of which sees all of its own members and nobody else, whichever members are
/// dead, and whether or not the first member's request rate is reported. The worst partitioning is
/// found exactly for each pod, from what each set of members sends as a partition.
#[rstest]
#[case::nine(9)]
#[case::twelve(12)]
fn budgets_of_cold_pods_hold_in_all_partitions(#[case] n: usize) {
    const PODS: usize = 24;
    let pods: Vec<Pod> = (0..PODS as u64)
        .map(|key| Pod {
            key,
            zone: 0,
            capacity: 1.0,
        })
        .collect();
    let own_rate = |m: usize| if m == 0 { 25.0 } else { 5.0 };
    // Returns what the members of a set send to each pod as a partition of their own: the worse of
    // the cases with the first member's rate reported and not yet reported.
    let loads = |set: usize| {
        let members: Vec<usize> = (0..n).filter(|m| set >> m & 1 == 1).collect();
        let mut worst = [0.0f64; PODS];
        for reported in [true, false]
            .into_iter()
            .filter(|reported| *reported || set & 1 == 1)
        {
            let assign = |by_first_member: bool| {
                let rate = |m: usize| {
                    if reported || by_first_member {
                        own_rate(m)
                    } else {
                        5.0
                    }
                };
                let member = |m: &usize| Member {
                    key: 11 * (*m as u64 + 1),
                    zone: 0,
                    request_rate: rate(*m),
                };
                assign_subsets(&members.iter().map(member).collect::<Vec<_>>(), &pods)
            };
            let (first, others) = (assign(true), assign(false));
            let mut load = [0.0; PODS];
            for (index, m) in members.iter().enumerate() {
                let subset = if *m == 0 {
                    &first[index]
                } else {
                    &others[index]
                };
                subset
                    .iter()
                    .for_each(|pod| load[*pod] += 1.4 * own_rate(*m) / subset.len() as f64);
            }
            (0..PODS).for_each(|pod| worst[pod] = worst[pod].max(load[pod]));
        }
        worst
    };
    let mut worst_sums = vec![[0.0f64; PODS]; 1 << n];
    let partition_loads: Vec<[f64; PODS]> = (0..1usize << n).map(loads).collect();
    let mut worst = 0.0f64;
    for set in 1..1usize << n {
        let lowest = set & set.wrapping_neg();
        // Combines each partition that contains the set's first member with the worst case of the
        // rest.
        let mut partition = set;
        while partition > 0 {
            if partition & lowest != 0 {
                for pod in 0..PODS {
                    let sum = partition_loads[partition][pod] + worst_sums[set ^ partition][pod];
                    worst_sums[set][pod] = worst_sums[set][pod].max(sum);
                }
            }
            partition = (partition - 1) & set;
        }
        let fair_share = (0..n)
            .filter(|m| set >> m & 1 == 1)
            .map(own_rate)
            .sum::<f64>()
            / PODS as f64;
        worst = worst.max(worst_sums[set].iter().copied().fold(0.0, f64::max) / fair_share);
    }
    println!("{n} members in all partitions: at most {worst:.2} of the fair share");
    assert!(worst <= 2.0, "{worst}");
}
