//! Trials of the total load that many sidecars put on the pods, with and without coordination.

use limewing_emulators::fleet::{
    run_trial, PodOutage, PodRestart, TrialPartition, TrialPlan, TrialResult,
};
use rstest::rstest;
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn plan(sidecars: usize, pods: usize, coordination: bool) -> TrialPlan {
    TrialPlan {
        sidecars,
        pods,
        seed: 3,
        duration: s(16),
        coordination,
        partition: TrialPartition {
            at: s(99),
            parts: 1,
        },
        restart: None,
        outage: None,
    }
}

fn print_result(what: &str, result: &TrialResult) {
    let TrialResult {
        warming_load,
        attempts_in_outage,
        recovery_time,
        delivered,
        failed,
        ..
    } = result;
    let highest = result.max_over_mean();
    println!("{what}: highest {highest:.2}, warming {warming_load:.2}, in outage {attempts_in_outage:?}, recovery {recovery_time:?}, {delivered} delivered, {failed} given up");
}

#[rstest]
#[case::sixty(60, 30)]
#[case::hundred(100, 50)]
fn load_is_more_even_with_coordination(#[case] sidecars: usize, #[case] pods: usize) {
    let [with, without] =
        [true, false].map(|coordination| run_trial(&plan(sidecars, pods, coordination)));
    print_result("with", &with);
    print_result("without", &without);
    assert!(
        with.max_over_mean() < 0.85 * without.max_over_mean(),
        "{} {}",
        with.max_over_mean(),
        without.max_over_mean()
    );
    assert!(with.failed <= without.failed + 5);
}

/// All sidecars together stay within a warming pod's overload multiple, also while they are partitioned and each group takes itself for
/// the whole fleet.
#[rstest]
#[case::without(false, 1)]
#[case::one_fleet(true, 1)]
#[case::two_halves(true, 2)]
#[case::five_parts(true, 5)]
fn a_warming_pod_stays_within_its_overload_multiple(
    #[case] coordination: bool,
    #[case] parts: usize,
) {
    for seed in 1..4 {
        let partition = TrialPartition { at: s(5), parts };
        let result = run_trial(&TrialPlan {
            seed,
            partition,
            restart: Some(PodRestart { pod: 4, at: s(8) }),
            ..plan(60, 30, coordination)
        });
        print_result("warming", &result);
        let load = result.warming_load;
        assert!(load <= 2.0 && load > 0.2, "{load}");
    }
}

/// Coordinated sidecars send few probes to a pod that is down, and detect its return soon.
#[test]
fn few_sidecars_probe_a_pod_that_is_down() {
    let [with, without] = [true, false].map(|coordination| {
        run_trial(&TrialPlan {
            outage: Some(PodOutage {
                pod: 4,
                from: s(4),
                to: s(12),
            }),
            duration: s(18),
            ..plan(60, 30, coordination)
        })
    });
    print_result("with", &with);
    print_result("without", &without);
    let attempts_after_detection =
        |result: &TrialResult| result.attempts_in_outage[3..].iter().sum::<usize>();
    assert!(
        attempts_after_detection(&with) * 2 < attempts_after_detection(&without),
        "{} {}",
        attempts_after_detection(&with),
        attempts_after_detection(&without)
    );
    assert!(
        with.recovery_time.is_some_and(|wait| wait < s(4)),
        "{:?}",
        with.recovery_time
    );
}
