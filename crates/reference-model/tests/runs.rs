//! The real decisions beside the model, over drawn runs; and breaks of each rule that the model must catch.

use limewing_reference_model::crooked::Crook;
use limewing_reference_model::rules::Tested;
use limewing_reference_model::world::play;
use rstest::rstest;

/// Runs of one case; cases go side by side.
const RUNS: u64 = 16;

#[rstest]
fn every_step_of_drawn_runs_keeps_the_rules(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    let mut all = Tested::default();
    for seed in part * RUNS..(part + 1) * RUNS {
        if let Err(broken) = play(seed, Crook::Honest, &mut all) {
            panic!(
                "seed {}, step {}: {}",
                broken.seed, broken.step, broken.breach
            );
        }
    }
    // None of the rules passes by not arising.
    let Tested {
        hits,
        answers,
        streams,
        repeats,
        proofs,
        after_run,
        drained_beside,
        cold,
        on_trial,
        ..
    } = all;
    assert!(hits > 10_000 && answers > 500 && streams > 1_000, "{all:?}");
    assert!(repeats > 100 && proofs > 3 && after_run > 50, "{all:?}");
    assert!(
        drained_beside > 5_000 && cold > 1_000 && on_trial > 1_000,
        "{all:?}"
    );
    assert!(
        all.lowered > 5 && all.guarded > 100 && all.met > 50,
        "{all:?}"
    );
    assert!(
        all.dialled_again > 500 && all.withheld > 100 && all.withheld_past_grace > 2,
        "{all:?}"
    );
    assert!(all.begun_unheard > 100 && all.left_aside > 50, "{all:?}");
}

/// Found among thousands of runs, played by hand.
#[rstest]
#[case::the_only_pod_of_the_base_is_cold_and_shut(20_390)]
fn runs_that_broke_a_rule_once_keep_it(#[case] seed: u64) {
    if let Err(broken) = play(seed, Crook::Honest, &mut Tested::default()) {
        panic!(
            "seed {}, step {}: {}",
            broken.seed, broken.step, broken.breach
        );
    }
}

#[rstest]
#[case::silent(Crook::Silent, 1)]
#[case::answers_twice(Crook::Twice, 1)]
#[case::sends_after_the_end(Crook::AfterTheEnd, 1)]
#[case::resends(Crook::Resends, 2)]
#[case::bounces_what_ran(Crook::BouncesAll, 2)]
#[case::out_of_reach(Crook::OutOfReach, 2)]
#[case::drained(Crook::Drained, 3)]
#[case::asks_no_more(Crook::AsksNoMore, 3)]
#[case::never_asks_at_the_first_byte(Crook::NeverAsks, 3)]
#[case::dials_again_unasked(Crook::RedialsUnasked, 3)]
#[case::forgets_the_lease(Crook::ForgetsLease, 3)]
#[case::forgets_that_a_permission_expires(Crook::ForgetsLease, 0)]
#[case::cold(Crook::Cold, 4)]
#[case::cap(Crook::Cap, 5)]
#[case::guarded(Crook::Guarded, 5)]
#[case::keys(Crook::Keys, 5)]
#[case::more_forwards_than_are_paid_for(Crook::Doubles, 0)]
fn a_planted_break_is_caught_as_what_it_is(#[case] crook: Crook, #[case] rule: u8) {
    // Not every run has the terms that its rule speaks of.
    let mut caught = (0..40)
        .filter_map(|seed| Some(play(seed, crook, &mut Tested::default()).err()?.breach.rule));
    assert!(caught.any(|broken| broken == rule));
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let mut tested = [Tested::default(); 2];
    tested
        .iter_mut()
        .for_each(|tested| play(3, Crook::Honest, tested).unwrap());
    assert_eq!(tested[0], tested[1]);
}
