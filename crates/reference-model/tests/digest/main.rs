//! Digests of the actions of the decision engine. A digest changes with any change of a decision, of the order of
//! random draws, of an iteration order or of a floating-point sum. Only numbers are hashed, so renaming does not change
//! a digest. The presence of a log line is hashed, its text is not.
//!
//! `decision` hashes every action, in order, of one sidecar in a small separate simulation. `reference-model` hashes
//! the coverage counts of the reference model's runs, and the step at which the model detects each mutation.

mod action_counts;
mod hash;
mod simulation;

use action_counts::ActionCounts;
use limewing_reference_model::coverage::Coverage;
use limewing_reference_model::mutation::Mutation;
use limewing_reference_model::simulation::run_seed;
use limewing_test_support::digest::Digest;
use simulation::Simulation;

/// The number of seeds per digest.
const SEEDS: u64 = 20;

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn decisions() {
    let mut digest = Digest::new();
    let mut counts = ActionCounts::default();
    for seed in 0..SEEDS {
        Simulation::new(seed).run(&mut digest, &mut counts);
    }
    // Each kind of action has to occur often, otherwise the digest covers too little.
    assert!(counts.attempts > 100_000, "{} attempts", counts.attempts);
    assert!(
        counts.cancellations > 100,
        "{} cancellations",
        counts.cancellations
    );
    assert!(counts.rejections > 100, "{} rejections", counts.rejections);
    assert!(counts.failures > 100, "{} failures", counts.failures);
    let [_, promote, hold, roll_back] = counts.votes;
    assert!(
        promote > 5 && hold > 5 && roll_back > 5,
        "{promote} {hold} {roll_back} votes"
    );
    assert!(
        counts.watches > 100,
        "{} list service calls",
        counts.watches
    );
    assert!(counts.wakes > 1000, "{} wakes", counts.wakes);
    assert!(counts.logs > 0, "{} log lines", counts.logs);
    let refused = counts.refused_starts;
    assert!(refused > 20, "{refused} refused first bytes");
    println!("digest decision {:016x}", digest.value());
}

/// Mutations that the reference model detects, at a step that depends on every earlier action.
const MUTATIONS: [Mutation; 16] = [
    Mutation::DropsAnswers,
    Mutation::AnswersTwice,
    Mutation::StartsAfterAnswer,
    Mutation::RepeatsNonIdempotent,
    Mutation::RejectsAll,
    Mutation::LeavesDeduplicationScope,
    Mutation::UsesRemovedPods,
    Mutation::FloodsColdPods,
    Mutation::ExceedsCap,
    Mutation::IgnoresGuardedStages,
    Mutation::IgnoresStickyKeys,
    Mutation::DoublesAttempts,
    Mutation::NeverWatches,
    Mutation::SkipsSendPermit,
    Mutation::SkipsSendPermitOnReconnect,
    Mutation::IgnoresEndpointLease,
];

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn reference_model() {
    let mut digest = Digest::new();
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let passed = run_seed(seed, Mutation::None, &mut coverage).is_ok();
        digest.number(u64::from(passed));
        hash_coverage(&mut digest, &coverage);
    }
    for (number, mutation) in MUTATIONS.into_iter().enumerate() {
        for seed in [number as u64, number as u64 + 100] {
            let mut coverage = Coverage::default();
            if let Err(failure) = run_seed(seed, mutation, &mut coverage) {
                digest.number(failure.step as u64);
                digest.number(failure.violation.rule.number().into());
                digest.number(failure.violation.sidecar as u64);
                digest.time(failure.violation.at);
            }
            hash_coverage(&mut digest, &coverage);
        }
    }
    println!("digest reference-model {:016x}", digest.value());
}

fn hash_coverage(digest: &mut Digest, coverage: &Coverage) {
    let counts = [
        coverage.requests,
        coverage.answers,
        coverage.streams,
        coverage.repeats,
        coverage.safe_retries,
        coverage.answers_after_possible_run,
        coverage.attempts_with_drained_pod_known,
        coverage.reconnects,
        coverage.withheld,
        coverage.withheld_past_grace,
        coverage.sent_on_expired_lease,
        coverage.sent_with_stale_pod_listed,
        coverage.attempts_at_cold_pods,
        coverage.attempts_on_trial,
        coverage.lowered_caps,
        coverage.guarded_requests,
        coverage.sticky_attempts,
    ];
    for count in counts {
        digest.number(count as u64);
    }
}
