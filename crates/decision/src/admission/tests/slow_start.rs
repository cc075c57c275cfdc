use super::{admission, check};
use crate::interface::{Phase, PodId};
use crate::message::Refusal;
use crate::test_support::{at, context};
use rstest::rstest;

#[rstest]
#[case::just_started(8.9, 9, 2.0, Err(Refusal::SlowStart))]
#[case::half_warm(7.0, 9, 2.0, Ok(()))]
#[case::half_warm_and_easily_overloaded(7.0, 9, 1.0, Err(Refusal::SlowStart))]
#[case::warm(1.0, 99, 1.0, Ok(()))]
fn a_cold_pod_is_limited_to_its_budget(
    #[case] started_at: f64,
    #[case] attempts: usize,
    #[case] overload_multiple: f64,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, Phase::Released, 1.0);
    let mut context = context(0.0);
    context.config.overload_multiple = overload_multiple;
    for n in 0..200 {
        admission.slow_start.record_success(at(0.05 * f64::from(n)));
    }
    context.now = at(8.95);
    let state = admission.endpoints.get_mut(PodId(0)).unwrap();
    state.endpoint.started_at = Some(at(started_at));
    for _ in 0..attempts {
        state.attempts.record(at(8.9));
    }
    assert_eq!(check(&admission, 0, &context), expected);
}

/// With a budget of about a tenth of an attempt per sidecar, roughly one sidecar in ten may start
/// one.
#[rstest]
#[case::low_draw(0.5, Err(Refusal::SlowStart))]
#[case::high_draw(0.95, Ok(()))]
fn fractional_attempts_at_a_cold_pod_are_granted_at_random(
    #[case] fractional_allowance: f64,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, Phase::Released, 1.0);
    admission.slow_start.record_success(at(8.0));
    let state = admission.endpoints.get_mut(PodId(0)).unwrap();
    state.endpoint.started_at = Some(at(7.9));
    state.fractional_allowance = fractional_allowance;
    assert_eq!(check(&admission, 0, &context(8.0)), expected);
}
