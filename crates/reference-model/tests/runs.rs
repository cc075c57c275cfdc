//! The real decisions beside the model, over drawn runs; and breaks of each rule that the model must catch.

use limewing_reference_model::coverage::Coverage;
use limewing_reference_model::mutation::Mutation;
use limewing_reference_model::violation::Rule;
use limewing_reference_model::world::play;
use rstest::rstest;

/// Runs of one case; cases go side by side.
const RUNS: u64 = 16;

#[rstest]
fn every_step_of_drawn_runs_keeps_the_rules(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    let mut all = Coverage::default();
    for seed in part * RUNS..(part + 1) * RUNS {
        if let Err(broken) = play(seed, Mutation::None, &mut all) {
            panic!(
                "seed {}, step {}: {}",
                broken.seed, broken.step, broken.breach
            );
        }
    }
    // None of the rules passes by not arising.
    assert!(
        all.requests > 10_000 && all.answers > 500 && all.streams > 1_000,
        "{all:?}"
    );
    assert!(
        all.repeats > 100 && all.proven_retries > 3 && all.answers_after_run > 50,
        "{all:?}"
    );
    assert!(
        all.attempts_beside_drained_pod > 5_000
            && all.attempts_at_cold_pods > 1_000
            && all.attempts_on_trial > 1_000,
        "{all:?}"
    );
    assert!(
        all.lowered_caps > 5 && all.guarded_requests > 100 && all.sticky_attempts > 50,
        "{all:?}"
    );
    assert!(
        all.redials > 500 && all.withheld > 100 && all.withheld_past_grace > 2,
        "{all:?}"
    );
    assert!(
        all.begun_on_expired_list > 100 && all.begun_beside_stale_pod > 50,
        "{all:?}"
    );
}

/// Found among thousands of runs, played by hand.
#[rstest]
#[case::the_only_pod_of_the_base_is_cold_and_shut(20_390)]
fn runs_that_broke_a_rule_once_keep_it(#[case] seed: u64) {
    if let Err(broken) = play(seed, Mutation::None, &mut Coverage::default()) {
        panic!(
            "seed {}, step {}: {}",
            broken.seed, broken.step, broken.breach
        );
    }
}

#[rstest]
#[case::silent(Mutation::DropsAnswers, Rule::OneAnswer)]
#[case::answers_twice(Mutation::AnswersTwice, Rule::OneAnswer)]
#[case::sends_after_the_end(Mutation::StartsAfterAnswer, Rule::OneAnswer)]
#[case::resends(Mutation::RepeatsNonIdempotent, Rule::NoRepeatedEffect)]
#[case::bounces_what_ran(Mutation::RejectsAll, Rule::NoRepeatedEffect)]
#[case::out_of_reach(Mutation::LeavesDeduplicationScope, Rule::NoRepeatedEffect)]
#[case::drained(Mutation::UsesRemovedPods, Rule::Draining)]
#[case::asks_no_more(Mutation::NeverWatches, Rule::Draining)]
#[case::never_asks_at_the_first_byte(Mutation::SkipsPermission, Rule::Draining)]
#[case::dials_again_unasked(Mutation::SkipsPermissionOnRedial, Rule::Draining)]
#[case::forgets_the_lease(Mutation::IgnoresEndpointLease, Rule::Draining)]
#[case::forgets_that_a_permission_expires(Mutation::IgnoresEndpointLease, Rule::Design)]
#[case::cold(Mutation::FloodsColdPods, Rule::SlowStart)]
#[case::cap(Mutation::ExceedsCap, Rule::Exposure)]
#[case::guarded(Mutation::IgnoresGuardedStages, Rule::Exposure)]
#[case::keys(Mutation::IgnoresStickyKeys, Rule::Exposure)]
#[case::more_forwards_than_are_paid_for(Mutation::DoublesAttempts, Rule::Design)]
fn a_planted_break_is_caught_as_what_it_is(#[case] mutation: Mutation, #[case] rule: Rule) {
    // Not every run has the terms that its rule speaks of.
    let mut caught = (0..40).filter_map(|seed| {
        Some(
            play(seed, mutation, &mut Coverage::default())
                .err()?
                .breach
                .rule,
        )
    });
    assert!(caught.any(|broken| broken == rule));
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let mut coverage = [Coverage::default(); 2];
    coverage
        .iter_mut()
        .for_each(|coverage| play(3, Mutation::None, coverage).unwrap());
    assert_eq!(coverage[0], coverage[1]);
}
