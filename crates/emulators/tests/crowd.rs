//! What the choices of many decision modules add up to, with and without the fleet's word.

use limewing_emulators::fleet::{crowd, Crowd, CrowdPlan};
use rstest::rstest;
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn plan(sidecars: usize, pods: usize, choices: bool) -> CrowdPlan {
    CrowdPlan {
        sidecars,
        pods,
        seed: 3,
        lasts: s(16),
        choices,
        parts: (s(99), 1),
        cold: None,
        dead: None,
    }
}

fn told(what: &str, played: &Crowd) {
    let Crowd {
        cold,
        to_dead,
        back_after,
        delivered,
        given_up,
        ..
    } = played;
    let most = played.most();
    println!("{what}: most {most:.2}, cold {cold:.2}, dead {to_dead:?}, back {back_after:?}, {delivered} delivered, {given_up} given up");
}

#[rstest]
#[case::sixty(60, 30)]
#[case::hundred(100, 50)]
fn load_is_more_even_with_the_fleets_word(#[case] sidecars: usize, #[case] pods: usize) {
    let [with, without] = [true, false].map(|choices| crowd(&plan(sidecars, pods, choices)));
    told("with", &with);
    told("without", &without);
    assert!(
        with.most() < 0.85 * without.most(),
        "{} {}",
        with.most(),
        without.most()
    );
    assert!(with.given_up <= without.given_up + 5);
}

/// All sidecars together stay within a cold pod's multiple, also while parts of them each believe that they are all.
#[rstest]
#[case::without(false, 1)]
#[case::one_fleet(true, 1)]
#[case::two_halves(true, 2)]
#[case::five_parts(true, 5)]
fn a_cold_pod_gets_no_more_than_its_multiple(#[case] choices: bool, #[case] parts: usize) {
    for seed in 1..4 {
        let parts = (s(5), parts);
        let played = crowd(&CrowdPlan {
            seed,
            parts,
            cold: Some((4, s(8))),
            ..plan(60, 30, choices)
        });
        told("cold", &played);
        assert!(played.cold <= 2.0 && played.cold > 0.2, "{}", played.cold);
    }
}

/// A pod that is gone is tried by few, and found again soon after its return.
#[test]
fn few_prove_a_pod_that_is_gone() {
    let [with, without] = [true, false].map(|choices| {
        crowd(&CrowdPlan {
            dead: Some((4, s(4), s(12))),
            lasts: s(18),
            ..plan(60, 30, choices)
        })
    });
    told("with", &with);
    told("without", &without);
    let late = |played: &Crowd| played.to_dead[3..].iter().sum::<usize>();
    assert!(
        late(&with) * 2 < late(&without),
        "{} {}",
        late(&with),
        late(&without)
    );
    assert!(
        with.back_after.is_some_and(|wait| wait < s(4)),
        "{:?}",
        with.back_after
    );
}
