use super::*;
use crate::test_support::context;
use rstest::rstest;

fn config(sidecar_count: f64, rollback_quorum: f64) -> DerivedConfig {
    DerivedConfig {
        sidecar_count,
        rollback_quorum,
        ..context(0.0).config
    }
}

#[rstest]
#[case::decides_alone(2.0, 1.0, 20, 1.5)]
#[case::one_of_many_decides(45.0, 1.0, 20, 2.76)]
#[case::many_must_agree(600.0, 30.0, 4, 2.45)]
fn required_evidence_depends_on_the_quorum(
    #[case] sidecar_count: f64,
    #[case] rollback_quorum: f64,
    #[case] sample: usize,
    #[case] standard_errors: f64,
) {
    let config = config(sidecar_count, rollback_quorum);
    assert_eq!(min_sample(&config), sample);
    assert!((significance_threshold(&config) - standard_errors).abs() < 0.01);
}

/// Where dozens of sidecars must agree, one error among the few outcomes of a low-traffic sidecar
/// is evidence against a build. It is not where one sidecar decides alone or where the baseline
/// build fails as well.
#[rstest]
#[case::large_quorum(300.0, 76.0, (1, 5), (0, 40), true)]
#[case::one_error_of_many_outcomes(300.0, 76.0, (1, 19), (0, 200), true)]
#[case::within_the_margin(300.0, 76.0, (2, 50), (0, 200), false)]
#[case::small_baseline_sample(300.0, 76.0, (1, 5), (0, 5), false)]
#[case::baseline_fails_too(300.0, 76.0, (1, 5), (3, 40), false)]
#[case::decides_alone(300.0, 1.0, (2, 6), (0, 40), false)]
fn rare_observations_suffice_for_a_large_quorum(
    #[case] sidecar_count: f64,
    #[case] rollback_quorum: f64,
    #[case] new: (usize, usize),
    #[case] old: (usize, usize),
    #[case] expected: bool,
) {
    let config = config(sidecar_count, rollback_quorum);
    let (new, old) = (Proportion::new(new.0, new.1), Proportion::new(old.0, old.1));
    assert_eq!(is_rare_observation(new, old, 0.05, &config), expected);
}
