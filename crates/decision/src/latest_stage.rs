//! The newest known stage of the rollout: decides which stage update replaces the known one.
//!
//! Updates arrive on several connections: the stream, replies to votes, the former stream after a
//! change of address, and messages of other sidecars. A message may be delayed on each of them, so
//! the order of arrival is not the order in which the rollout service wrote them. The age in an
//! update does not order them either, because it does not contain the delay. An update is newer
//! than the known one
//!
//! 1. if the service numbers its changes, by the number;
//! 2. if it follows the known one on the same stream;
//! 3. otherwise by the progress of the rollout: a later build, a later phase of the same build, or
//!    a later stage of the same trial;
//! 4. with equal progress, if it does not raise the cap.

use crate::interface::{BuildId, Phase, StageIndex, StageUpdate};
use std::cmp::Ordering;
use std::num::NonZeroU64;

#[cfg(test)]
mod tests;

/// A stage update that is newer than the previous ones, or repeats the newest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptedStage {
    /// The update.
    pub update: StageUpdate,
    /// A build to which no unsent attempt may be sent any more, because it is being rolled back or
    /// its cap was lowered. Such a change takes effect soon, while an attempt permitted before may
    /// remain unsent for longer.
    pub closed_build: Option<BuildId>,
}

/// The newest stage update that was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatestStage {
    update: Option<StageUpdate>,
    highest_number: Option<NonZeroU64>,
}

impl LatestStage {
    /// Records an update; returns `None` if it is outdated.
    pub fn accept(&mut self, update: StageUpdate) -> Option<AcceptedStage> {
        let previous = self.update;
        if previous.is_some_and(|previous| self.is_outdated(&update, &previous)) {
            return None;
        }
        self.highest_number = self.highest_number.max(update.order.number);
        self.update = Some(match previous {
            // A repetition does not end the order of the stream.
            Some(previous) if is_repetition(&update, &previous) => StageUpdate {
                order: previous.order,
                ..update
            },
            _ => update,
        });
        let is_cap_lowered = previous
            .is_some_and(|previous| previous.build == update.build && update.cap < previous.cap);
        let is_rolled_back = matches!(update.phase, Phase::RollingBack | Phase::RolledBack);
        let is_closed = is_cap_lowered || is_rolled_back;
        Some(AcceptedStage {
            update,
            closed_build: is_closed.then_some(update.build),
        })
    }

    fn is_outdated(&self, update: &StageUpdate, known: &StageUpdate) -> bool {
        let by_number = update
            .order
            .number
            .zip(self.highest_number)
            .map_or(Ordering::Equal, |(number, highest)| number.cmp(&highest));
        if by_number.is_ne() {
            return by_number.is_lt();
        }
        let follows_on_stream =
            update.order.stream.is_some() && update.order.stream == known.order.stream;
        if follows_on_stream {
            return false;
        }
        match progress(update).cmp(&progress(known)) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => update.cap > known.cap,
        }
    }
}

/// Returns whether an update that is not from another stream tells what is known already.
fn is_repetition(update: &StageUpdate, known: &StageUpdate) -> bool {
    update.order.stream.is_none()
        && progress(update) == progress(known)
        && update.cap.to_bits() == known.cap.to_bits()
}

/// Returns a measure of the progress of a rollout, which does not decrease. A build keeps its stage
/// once it has left the trial.
fn progress(update: &StageUpdate) -> (BuildId, u8, StageIndex) {
    let (phase, stage) = match update.phase {
        Phase::OnTrial => (0, update.stage),
        Phase::Released => (1, StageIndex(0)),
        Phase::RollingBack => (2, StageIndex(0)),
        Phase::RolledBack => (3, StageIndex(0)),
    };
    (update.build, phase, stage)
}
