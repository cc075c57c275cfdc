//! Bounded model checks. For the probe rotation with three members and one topic: every order of
//! crashes, of late or wrong views, and of learning late of the topic; injected faults have to be
//! found. For the budgets of cold pods: all combinations of views.

use limewing_coordination::{assign_subsets, is_selected, Member, Pod, ROTATION_INTERVAL};
use rstest::rstest;
use std::collections::BTreeSet;

const MEMBERS: [u64; 3] = [11, 22, 33];
const TICKS: u8 = 6;
/// Number of intervals by which a member may learn of the topic later than another one.
const LATE: u8 = 1;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct State {
    tick: u8,
    alive: [bool; 3],
    /// Members that each member considers present, always including itself.
    sees: [[bool; 3]; 3],
    learned_at: [Option<u8>; 3],
}

type Rule = fn(u64, u64, &[u64], u8) -> bool;

fn sound(topic: u64, own: u64, members: &[u64], ago: u8) -> bool {
    is_selected(
        1,
        topic,
        own,
        members.iter().copied(),
        ROTATION_INTERVAL * u32::from(ago),
    )
}

fn never_passes(topic: u64, own: u64, members: &[u64], _: u8) -> bool {
    sound(topic, own, members, 0)
}

fn all_are_first(topic: u64, own: u64, _: &[u64], ago: u8) -> bool {
    sound(topic, own, &[own], ago)
}

/// An interval lasts four times as long, so three intervals do not reach every member.
fn passes_late(topic: u64, own: u64, members: &[u64], ago: u8) -> bool {
    sound(topic, own, members, ago / 4)
}

fn holders(state: &State, rule: Rule) -> usize {
    let holds = |n: usize| {
        let seen: Vec<u64> = (0..3)
            .filter(|m| state.sees[n][*m])
            .map(|m| MEMBERS[m])
            .collect();
        let ago = state.learned_at[n]
            .filter(|_| state.alive[n])
            .map(|at| state.tick - at);
        ago.is_some_and(|ago| rule(7, MEMBERS[n], &seen, ago))
    };
    (0..3).filter(|n| holds(*n)).count()
}

fn next(state: &State) -> Vec<State> {
    let mut out = vec![*state];
    for n in 0..3 {
        if state.alive[n] && state.alive.iter().filter(|a| **a).count() > 1 {
            out.push(State {
                alive: std::array::from_fn(|m| state.alive[m] && m != n),
                ..*state
            });
        }
        for m in (0..3).filter(|m| *m != n) {
            let mut changed = *state;
            changed.sees[n][m] = !changed.sees[n][m];
            out.push(changed);
        }
    }
    let late = |state: State| {
        let waits: Vec<usize> = (0..3).filter(|n| state.learned_at[*n].is_none()).collect();
        // Each member that has not learned of the topic learns of it now, or later if it still may.
        (0..1u8 << waits.len()).map(move |hears| {
            let mut state = State {
                tick: state.tick + 1,
                ..state
            };
            for (bit, n) in waits.iter().enumerate() {
                if hears >> bit & 1 == 1 || state.tick > LATE {
                    state.learned_at[*n] = Some(state.tick - 1);
                }
            }
            state
        })
    };
    out.into_iter().flat_map(late).collect()
}

/// Returns the property that a state violates, if any.
fn violation(state: &State, rule: Rule) -> Option<&'static str> {
    let (all, agreed) = (
        [true; 3],
        state
            .learned_at
            .iter()
            .all(|at| *at == state.learned_at[0] && at.is_some()),
    );
    let views = state.sees.iter().all(|sees| *sees == all);
    if agreed && views && holders(state, rule) > 1 {
        return Some("two are selected though all see and have learned the same");
    }
    // Without further events, and although nobody notices a death, a live member is selected in
    // time.
    let reaches = |state: State| {
        (0..3).any(|on| {
            holders(
                &State {
                    tick: state.tick + on,
                    ..state
                },
                rule,
            ) > 0
        })
    };
    let all_learned = (0..3).all(|n| !state.alive[n] || state.learned_at[n].is_some());
    (all_learned && views && !reaches(*state)).then_some("no living member is selected")
}

fn explore(rule: Rule) -> (usize, Option<(State, &'static str)>) {
    let start = State {
        tick: 0,
        alive: [true; 3],
        sees: [[true; 3]; 3],
        learned_at: [Some(0), None, None],
    };
    let mut seen = BTreeSet::from([start]);
    let mut open = vec![start];
    while let Some(state) = open.pop() {
        if let Some(what) = violation(&state, rule) {
            return (seen.len(), Some((state, what)));
        }
        if state.tick < TICKS {
            open.extend(next(&state).into_iter().filter(|state| seen.insert(*state)));
        }
    }
    (seen.len(), None)
}

#[rstest]
#[case::sound(sound, true)]
#[case::never_passes(never_passes, false)]
#[case::all_are_first(all_are_first, false)]
#[case::passes_late(passes_late, false)]
fn the_rotation_holds_in_every_order_of_events(#[case] rule: Rule, #[case] holds: bool) {
    let (states, found) = explore(rule);
    println!("{states} states, {found:?}");
    assert_eq!(found.is_none(), holds, "{found:?} in {states} states");
}

/// With more than three members: whichever members are dead, however late each learned of the
/// topic, and into whatever partitions their views fall, no more members are selected at a time
/// than the bound allows, and a live member is selected in time.
#[rstest]
#[case::two(2)]
#[case::four(4)]
#[case::six(6)]
fn the_rotation_holds_with_more_members(#[case] n: usize) {
    const PROBERS: usize = 2;
    let keys: Vec<u64> = (0..n as u64).map(|member| 11 * (member + 1)).collect();
    let (mut most, mut states) = (0, 0);
    // Each member is in one of up to three partitions, dead or alive, and learned of the topic at
    // once or an interval later.
    for code in 0..12usize.pow(n as u32) {
        let of = |member: usize| code / 12usize.pow(member as u32) % 12;
        let (part, alive, late) = (|m| of(m) % 3, |m| of(m) / 3 % 2 == 0, |m| of(m) / 6);
        let parts = (0..3)
            .filter(|p| (0..n).any(|m| alive(m) && part(m) == *p))
            .count();
        let holders = |tick: u32| {
            let holds = |m: &usize| {
                // A dead member stays in the views of its partition, because its death is never
                // noticed here.
                let view = (0..n)
                    .filter(|other| part(*other) == part(*m))
                    .map(|other| keys[other]);
                let ago = ROTATION_INTERVAL * (tick + 1 - late(*m) as u32);
                alive(*m) && is_selected(PROBERS, 7, keys[*m], view, ago)
            };
            (0..n).filter(holds).count()
        };
        let selected: Vec<usize> = (0..2 * n as u32 + 2).map(holders).collect();
        let worst = selected.iter().copied().max().unwrap_or(0);
        let lives = (0..n).filter(|m| alive(*m)).count();
        assert!(
            worst <= (PROBERS * 3 * parts).min(lives),
            "{worst} in {parts} parts, {code}"
        );
        assert!(lives == 0 || worst > 0, "nobody is selected, {code}");
        (most, states) = (most.max(worst), states + 1);
    }
    println!("{n} members, {states} states, {most} at one time at most");
}

/// Returns the worst total load of a cold pod relative to its fair share, and the number of views
/// checked. The load is summed over a few members, whichever others each of them sees and whether
/// or not the first member's request rate is already reported.
///
/// By its own share of the pods each member sends at most 1.4 times the load that its requests put
/// on warm capacity; the limit is 2. What a member sends depends only on its own view, so the worst
/// total combines each member's worst view. All views of all members are enumerated, for up to
/// twelve members, and all sets of live members, since fewer live members lower the fair share.
fn worst_in_any_view(n: usize, part: fn(f64) -> f64) -> (f64, usize) {
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
                let place = (0..own).filter(|m| seen >> m & 1 == 1).count();
                let share = assign_subsets(&members, &pods).swap_remove(place);
                let of = part(share.len() as f64 / PODS as f64);
                let budget = 1.4 * rate(own, true) / (PODS as f64 * of);
                share
                    .iter()
                    .for_each(|pod| loads[*pod] = loads[*pod].max(budget));
                views += 1;
            }
        }
    }
    let mut worst = 0.0f64;
    for alive in 1..1usize << n {
        let of = |m: &usize| alive >> m & 1 == 1;
        let fair = (0..n).filter(of).map(|m| rate(m, true)).sum::<f64>() / PODS as f64;
        let pod = |pod: usize| (0..n).filter(of).map(|m| loads[m][pod]).sum::<f64>();
        worst = worst.max((0..PODS).map(pod).fold(0.0, f64::max) / fair);
    }
    (worst, views)
}

#[rstest]
#[case::three(3, |share: f64| share, true)]
#[case::as_if_it_used_half_as_many(3, |share: f64| share / 2.0, false)]
#[case::as_if_it_used_three(3, |share: f64| share.min(3.0 / 24.0), false)]
#[case::six(6, |share: f64| share, true)]
#[case::eight(8, |share: f64| share, true)]
fn budgets_of_cold_pods_hold_in_every_view(
    #[case] n: usize,
    #[case] part: fn(f64) -> f64,
    #[case] holds: bool,
) {
    let (worst, views) = worst_in_any_view(n, part);
    println!("{n} members, {views} views, {worst:.2} of the fair share at most");
    assert_eq!(worst <= 2.0, holds, "{worst}");
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
    let own = |m: usize| if m == 0 { 25.0 } else { 5.0 };
    // Returns what the members of a set send to each pod as a partition of their own: the worse of
    // the cases with the first member's rate reported and not yet reported.
    let loads = |set: usize| {
        let there: Vec<usize> = (0..n).filter(|m| set >> m & 1 == 1).collect();
        let mut worst = [0.0f64; PODS];
        for reported in [true, false]
            .into_iter()
            .filter(|reported| *reported || set & 1 == 1)
        {
            let as_seen = |by_first: bool| {
                let rate = |m: usize| if reported || by_first { own(m) } else { 5.0 };
                let member = |m: &usize| Member {
                    key: 11 * (*m as u64 + 1),
                    zone: 0,
                    request_rate: rate(*m),
                };
                assign_subsets(&there.iter().map(member).collect::<Vec<_>>(), &pods)
            };
            let (first, others) = (as_seen(true), as_seen(false));
            let mut load = [0.0; PODS];
            for (place, m) in there.iter().enumerate() {
                let share = if *m == 0 {
                    &first[place]
                } else {
                    &others[place]
                };
                share
                    .iter()
                    .for_each(|pod| load[*pod] += 1.4 * own(*m) / share.len() as f64);
            }
            (0..PODS).for_each(|pod| worst[pod] = worst[pod].max(load[pod]));
        }
        worst
    };
    let mut best = vec![[0.0f64; PODS]; 1 << n];
    let alone: Vec<[f64; PODS]> = (0..1usize << n).map(loads).collect();
    let mut worst = 0.0f64;
    for set in 1..1usize << n {
        let lowest = set & set.wrapping_neg();
        // Combines each partition that contains the set's first member with the worst case of the
        // rest.
        let mut part = set;
        while part > 0 {
            if part & lowest != 0 {
                for pod in 0..PODS {
                    let sum = alone[part][pod] + best[set ^ part][pod];
                    best[set][pod] = best[set][pod].max(sum);
                }
            }
            part = (part - 1) & set;
        }
        let fair = (0..n).filter(|m| set >> m & 1 == 1).map(own).sum::<f64>() / PODS as f64;
        worst = worst.max(best[set].iter().copied().fold(0.0, f64::max) / fair);
    }
    println!("{n} members in all parts: {worst:.2} of the fair share at most");
    assert!(worst <= 2.0, "{worst}");
}
