use super::stage_format::{to_message, to_record};
use crate::stage_updates::{StageMessage, StagePhase};
use limewing_replication::Phase;

fn announced(phase: StagePhase) -> StageMessage {
    StageMessage {
        number: 7,
        build: 3,
        stage: 1,
        phase,
        cap: 0.25,
        age_ms: 0.0,
    }
}

#[test]
fn a_stage_message_is_unchanged_by_replication() {
    let phases = [
        (StagePhase::OnTrial, Phase::OnTrial),
        (StagePhase::RollingBack, Phase::RollingBack),
        (StagePhase::Released, Phase::Released),
        (StagePhase::RolledBack, Phase::RolledBack),
    ];
    for (announced_phase, recorded_phase) in phases {
        let message = announced(announced_phase);
        let record = to_record(&message);
        assert_eq!(record.phase, recorded_phase);
        assert_eq!(to_message(&record), message);
    }
}

#[test]
fn a_replicated_cap_is_clamped_between_0_and_1() {
    let with_cap = |cap| StageMessage {
        cap,
        ..announced(StagePhase::OnTrial)
    };
    assert!(to_record(&with_cap(-1.0)).cap.abs() < f64::EPSILON);
    assert!((to_record(&with_cap(2.0)).cap - 1.0).abs() < f64::EPSILON);
}

/// The age of a stage is not replicated: the receiver counts from the time at which it receives the record.
#[test]
fn a_replicated_stage_has_no_age() {
    let message = StageMessage {
        age_ms: 900.0,
        ..announced(StagePhase::OnTrial)
    };
    assert!(to_message(&to_record(&message)).age_ms.abs() < f64::EPSILON);
}
