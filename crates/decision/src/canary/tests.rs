use super::*;
use crate::interface::StageIndex;
use crate::test_support::{at, attempt_ended, context, endpoint, stage_update};
use rstest::rstest;

mod votes;

/// The observations of one pod: its id, number of failures, number of outcomes, and latency.
type PodObservation = (u64, usize, usize, f64);

fn observe(sample: &mut CanarySample, (pod, failures, outcomes, latency): PodObservation) {
    for n in 0..outcomes {
        let outcome = if n < failures {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        sample.record(ClassId(0), PodId(pod), outcome, Some(latency));
    }
}

/// Returns an analysis with build 2 on trial on pods 3 and 5 and the baseline on pod 0 (failures,
/// outcomes, latency).
fn canary(trial: &[PodObservation], baseline: (usize, usize, f64)) -> CanaryAnalysis {
    let mut canary = CanaryAnalysis {
        stage: Some(stage_update(Phase::OnTrial, 0.2)),
        ..CanaryAnalysis::default()
    };
    for observation in trial {
        observe(&mut canary.trial, *observation);
    }
    let (failures, outcomes, latency) = baseline;
    observe(&mut canary.baseline, (0, failures, outcomes, latency));
    for endpoint in [endpoint(0, 1), endpoint(3, 2), endpoint(5, 2)] {
        canary.endpoints.insert(endpoint.pod, endpoint);
    }
    canary
}

#[rstest]
#[case::healthy(&[(3, 0, 30, 0.1), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::fails(&[(3, 8, 30, 0.1), (5, 9, 30, 0.1)], (1, 200, 0.1), Verdict::RollBack)]
#[case::both_builds_fail(&[(3, 8, 30, 0.1), (5, 9, 30, 0.1)], (60, 200, 0.1), Verdict::Abstain)]
#[case::one_faulty_pod(&[(3, 28, 30, 0.1), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::slow(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 200, 0.1), Verdict::RollBack)]
#[case::one_slow_pod(&[(3, 0, 40, 0.9), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::slow_without_a_baseline(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 0, 0.1), Verdict::Abstain)]
#[case::few_outcomes(&[(3, 5, 9, 0.1), (5, 5, 9, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
fn a_build_that_regresses_on_most_pods_is_rolled_back(
    #[case] trial: &[PodObservation],
    #[case] baseline: (usize, usize, f64),
    #[case] expected: Verdict,
) {
    let mut canary = canary(trial, baseline);
    let config = context(30.0).config;
    canary.regressed = canary.is_regression(at(30.0), &config);
    assert_eq!(canary.verdict(at(30.0), &config), expected);
}

/// The latency of a cold pod measures its startup and queue, so it is recorded as an outcome
/// without a latency.
#[rstest]
#[case::cold(Some(at(0.5)), 0)]
#[case::warm(None, 1)]
fn the_latency_of_a_cold_pod_is_not_recorded(
    #[case] started_at: Option<Duration>,
    #[case] latencies: usize,
) {
    let mut canary = canary(&[], (0, 0, 0.1));
    let usual = RunningMean {
        value: 0.1,
        count: 50,
    };
    canary.machine_latency.insert(MachineTypeId(0), usual);
    let endpoint = Endpoint {
        started_at,
        ..endpoint(0, 1)
    };
    canary.endpoints.insert(endpoint.pod, endpoint);
    let ended = attempt_ended(AttemptOutcome::Succeeded);
    canary.record_outcome(&ended, &context(1.0).config);
    assert_eq!(canary.baseline.total().outcomes, 1);
    assert_eq!(canary.baseline.latencies().len(), latencies);
}

#[rstest]
#[case::small_sample(2.0, true, Verdict::Hold)]
#[case::held_long_enough(30.0, true, Verdict::Abstain)]
#[case::no_clock(2.0, false, Verdict::Abstain)]
fn a_small_sample_holds_the_stage(
    #[case] now: f64,
    #[case] clock_controlled: bool,
    #[case] expected: Verdict,
) {
    let config = DerivedConfig {
        clock_controlled,
        ..context(now).config
    };
    let canary = canary(&[(3, 0, 5, 0.1)], (0, 200, 0.1));
    assert_eq!(canary.verdict(at(now), &config), expected);
}

#[rstest]
#[case::one_error_per_pod(&[1, 1, 1, 0, 0, 0], true)]
#[case::one_faulty_pod(&[9, 0, 0, 0, 0, 0], false)]
#[case::two_faulty_pods(&[9, 8, 0, 0, 0, 0], false)]
#[case::everywhere(&[5, 7, 4, 6, 8, 5], true)]
fn only_evenly_spread_faults_are_attributed_to_the_build(
    #[case] errors: &[usize],
    #[case] expected: bool,
) {
    let trial: Vec<PodObservation> = (10..)
        .zip(errors)
        .map(|(pod, errors)| (pod, *errors, 10, 0.1))
        .collect();
    let canary = canary(&trial, (0, 100, 0.1));
    assert_eq!(canary.is_spread_evenly(2, |pod| pod.failures), expected);
}

#[test]
fn timeouts_without_a_concurrent_baseline_are_no_regression() {
    let mut canary = canary(&[], (0, 0, 0.1));
    for n in 0..40 {
        canary
            .trial
            .record(ClassId(0), PodId(n % 5), AttemptOutcome::TimedOut, None);
    }
    canary
        .previous_baseline
        .record(ClassId(0), PodId(9), AttemptOutcome::Succeeded, None);
    assert!(!canary.is_regression(at(9.0), &context(9.0).config));
}

#[rstest]
#[case::just_started(10.0, false)]
#[case::settled(13.0, true)]
fn slowness_counts_only_after_the_minimum_observation_time(
    #[case] now: f64,
    #[case] expected: bool,
) {
    let mut canary = canary(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 200, 0.1));
    canary.endpoints.get_mut(&PodId(3)).unwrap().started_at = Some(at(9.5));
    assert_eq!(
        canary.is_regression(at(now), &context(now).config),
        expected
    );
}

/// The simulator records this text, so its format must not change.
#[test]
fn the_rollback_log_line_has_a_fixed_format() {
    let mut canary = canary(&[(3, 2, 30, 0.1)], (0, 200, 0.25));
    let mut context = context(1.0);
    canary.stage = Some(StageUpdate {
        stage: StageIndex(1),
        ..stage_update(Phase::OnTrial, 0.2)
    });
    canary.regressed = true;
    canary.vote(&mut context);
    let text =
        "back: BuildId(2) StageNo(1): 2 bad and 0 flagged of 30 on 1 pods, median 0.10 of 30 \
                against 0 bad and 0 flagged of 200 on 1 pods, median 0.25 of 200";
    assert_eq!(context.actions.first(), Some(&Action::Log(text.to_owned())));
}
