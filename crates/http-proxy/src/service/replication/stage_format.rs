//! Converts rollout stages between messages of the rollout service and replicated records.

use crate::stage_updates::{StageMessage, StagePhase};
use limewing_replication::{Phase, Stage};

/// Converts an announced stage to a record.
pub(super) fn to_record(message: &StageMessage) -> Stage {
    Stage {
        number: message.number,
        build: message.build,
        stage: message.stage,
        phase: match message.phase {
            StagePhase::OnTrial => Phase::OnTrial,
            StagePhase::RollingBack => Phase::RollingBack,
            StagePhase::Released => Phase::Released,
            StagePhase::RolledBack => Phase::RolledBack,
        },
        cap: message.cap.clamp(0.0, 1.0),
    }
}

/// Converts a record back to the announcement.
pub(super) fn to_message(stage: &Stage) -> StageMessage {
    StageMessage {
        number: stage.number,
        build: stage.build,
        stage: stage.stage,
        phase: match stage.phase {
            Phase::OnTrial => StagePhase::OnTrial,
            Phase::RollingBack => StagePhase::RollingBack,
            Phase::Released => StagePhase::Released,
            Phase::RolledBack => StagePhase::RolledBack,
        },
        cap: stage.cap,
        // Records do not contain the age of a stage, so its time windows restart.
        age_ms: 0.0,
    }
}
