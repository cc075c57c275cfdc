//! Records merge to the same state in any order, and only ever make a sidecar more restrictive.

mod helpers;

use helpers::secs;
use limewing_replication::{
    most_restrictive_stage, stage_after_restart, ExecutionMark, MergedState, Origin, Phase, Record,
    Stage,
};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn origin(n: u64) -> Origin {
    Origin {
        name: format!("o{}", n % 3),
        incarnation: n / 3,
    }
}

fn arbitrary_record() -> impl Strategy<Value = Record> {
    let phases = [
        Phase::OnTrial,
        Phase::Released,
        Phase::RollingBack,
        Phase::RolledBack,
    ];
    let stage = (0u64..6, 1u16..4, 0u8..3, 0usize..4, 0u8..=10).prop_map(
        move |(number, build, stage, phase, cap)| {
            Record::Stage(Stage {
                number,
                build,
                stage,
                phase: phases[phase],
                cap: f64::from(cap) / 10.0,
            })
        },
    );
    prop_oneof![
        (0u64..4, 1u16..5).prop_map(|(key, build)| Record::KeyServed { key, build }),
        (0u64..3, any::<bool>()).prop_map(|(idempotency_key, may_have_run)| Record::Execution {
            idempotency_key,
            mark: if may_have_run {
                ExecutionMark::MayHaveRun
            } else {
                ExecutionMark::NeverRan
            }
        }),
        stage,
    ]
}

/// Generates records as origins may publish them: each sequence number of an origin identifies one
/// record.
fn published_records() -> impl Strategy<Value = Vec<(Origin, u64, Duration, Record)>> {
    prop::collection::vec((0u64..6, arbitrary_record(), 1u64..50), 0..20).prop_map(|records| {
        let mut next: BTreeMap<u64, u64> = BTreeMap::new();
        let number = |(origin_number, record, expires_at)| {
            let sequence = next.entry(origin_number).or_insert(0);
            *sequence += 1;
            (
                origin(origin_number),
                *sequence,
                Duration::from_secs(expires_at),
                record,
            )
        };
        records.into_iter().map(number).collect()
    })
}

fn merged<'a>(
    records: impl IntoIterator<Item = &'a (Origin, u64, Duration, Record)>,
) -> MergedState {
    let mut state = MergedState::default();
    for (origin, sequence, expires_at, record) in records {
        state.apply(origin, *sequence, *expires_at, record);
    }
    state
}

/// Returns the answers of the merged state: the newest build of each key, and which requests may
/// have run.
fn answers(state: &MergedState, now: Duration) -> (Vec<Option<u16>>, Vec<bool>) {
    (
        (0..4)
            .map(|key| state.newest_build_served(now, key))
            .collect(),
        (0..3)
            .map(|request| state.may_have_run(now, request))
            .collect(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]
    #[test]
    fn records_merge_commutatively_and_idempotently(records in published_records(), seed: u64) {
        let mut rng = WyRand::new_seed(seed);
        let mut other: Vec<_> = records.iter().chain(records.iter().take(records.len() / 2)).cloned().collect();
        rng.shuffle(&mut other);
        let (merged_in_order, merged_shuffled) = (merged(&records), merged(&other));
        for at in [0, 5, 20, 60] {
            prop_assert_eq!(answers(&merged_in_order, secs(f64::from(at))), answers(&merged_shuffled, secs(f64::from(at))));
        }
        prop_assert_eq!(merged_in_order.stages().collect::<Vec<_>>(), merged_shuffled.stages().collect::<Vec<_>>());
        // Merging the two halves in reverse order gives the same answers.
        let (a, b) = records.split_at(records.len() / 2);
        prop_assert_eq!(answers(&merged(b.iter().chain(a)), secs(3.0)), answers(&merged_in_order, secs(3.0)));
    }

    /// No record makes an answer less restrictive, except an origin's record about its own request.
    #[test]
    fn no_record_makes_an_answer_less_restrictive(records in published_records(), additional in arbitrary_record()) {
        let (mut state, now) = (merged(&records), secs(2.0));
        let before = answers(&state, now);
        let other = Origin { name: "other".into(), incarnation: 1 };
        state.apply(&other, 1, secs(30.0), &additional);
        let after = answers(&state, now);
        prop_assert!(before.0.iter().zip(&after.0).all(|(before, after)| before <= after));
        prop_assert!(before.1.iter().zip(&after.1).all(|(before, after)| before <= after));
    }

    /// Whatever stages other sidecars have, the adopted one never allows more than the current one.
    #[test]
    fn stages_of_other_sidecars_only_restrict(current in arbitrary_record(), records in prop::collection::vec(arbitrary_record(), 0..12), seed: u64) {
        let to_stage = |record: &Record| match record { Record::Stage(stage) => Some(*stage), _ => None };
        let (current, mut others) = (to_stage(&current), records.iter().filter_map(to_stage).collect::<Vec<_>>());
        let adopted = most_restrictive_stage(current, others.iter());
        let is_rollback = |stage: &Stage| matches!(stage.phase, Phase::RollingBack | Phase::RolledBack);
        match (current, adopted) {
            (Some(current), Some(adopted)) => {
                prop_assert!(adopted.build == current.build);
                prop_assert!(is_rollback(&adopted) || (adopted.phase == current.phase && adopted.cap <= current.cap), "{:?} from {:?}", adopted, current);
            }
            (None, Some(adopted)) => prop_assert!(is_rollback(&adopted)),
            (_, None) => {}
        }
        // After a restart a stage allows no more than a build that nobody announced.
        let restarted = current.and_then(|current| stage_after_restart(current, 0.14));
        prop_assert!(restarted.is_none_or(|restarted| is_rollback(&restarted) || (restarted.stage == 0 && restarted.cap <= 0.14)));
        let mut shuffled = others.clone();
        WyRand::new_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(adopted, most_restrictive_stage(current, shuffled.iter()), "in another order");
        // Applying the stages a second time never relaxes the result.
        if let Some(adopted) = adopted {
            WyRand::new_seed(seed).shuffle(&mut others);
            let reapplied = most_restrictive_stage(Some(adopted), others.iter());
            prop_assert!(reapplied.is_none_or(|reapplied| is_rollback(&reapplied) || reapplied.cap <= adopted.cap));
        }
    }
}
