use super::*;

#[test]
fn a_halved_sample_keeps_its_proportions_and_latest_latencies() {
    let mut sample = CanarySample::default();
    for n in 0..100 {
        let outcome = if n % 4 == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        let latency = if n < 50 { 9.0 } else { 1.0 };
        sample.record(ClassId(0), PodId(n % 2), outcome, Some(latency));
    }
    sample.halve();
    let total = sample.total();
    assert_eq!((total.outcomes, total.failures), (50, 12));
    assert_eq!(sample.latencies(), [1.0; 50]);
}
