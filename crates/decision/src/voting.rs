//! Voting: decides when a verdict on the build on trial is sent to the rollout service.
//!
//! If the service can accept a vote from every sidecar, a vote is cast as soon as the verdict
//! changes and renewed before it expires. Otherwise votes follow a schedule: if all sidecars voted
//! at once, and retried as soon as they were refused, too few votes would count at the same time.

use crate::context::Context;
use crate::derived_config::DerivedConfig;
use crate::engine::TICK_INTERVAL;
use crate::hashing::hash_fraction;
use crate::interface::{Action, BuildId, StageIndex, StageUpdate, Verdict, VoteAnswer};
use std::time::Duration;

/// The burst of the rollout service's rate limiter, as the time that it takes to accumulate.
const RATE_LIMIT_BURST: Duration = Duration::from_secs(2);
/// The share of its time to live after which a vote is renewed.
const RENEWAL_FRACTION: f64 = 0.6;
/// The number of sidecars that vote to hold a stage, as a multiple of the quorum, because some
/// sidecars may be down.
const HOLD_VOTER_MARGIN: f64 = 1.3;
/// The length of the voting window, as a multiple of the time that the quorum takes.
const VOTE_WINDOW_MARGIN: f64 = 1.1;
/// The minimum length of the voting window, as a share of a vote's time to live.
const MIN_VOTE_WINDOW: f64 = 0.1;
/// The maximum length of the voting window, as a share of a vote's time to live.
const MAX_VOTE_WINDOW: f64 = 0.9;
/// How long after its timeout a vote without a reply is considered lost, in ticks.
const ANSWER_GRACE_TICKS: u32 = 25;
/// The delay before a vote that was not counted is cast again, in ticks.
const RETRY_TICKS: u32 = 15;

/// A vote that was sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Vote {
    pub(crate) verdict: Verdict,
    pub(crate) build: BuildId,
    pub(crate) stage: StageIndex,
    pub(crate) cast_at: Duration,
}

/// The schedule for votes if the rollout service cannot accept one vote from each sidecar within
/// 0.6 of its time to live.
///
/// Cycles are counted from the stage update. First, a third more sidecars than the quorum requires
/// vote to hold the stage. Each cycle then consists of a pause, in which the rate limiter
/// accumulates its burst, and a window for votes to promote and to roll back, which is no longer
/// than the quorum requires. The cost is the wait for the window.
struct VoteSchedule {
    /// The fraction of sidecars that vote to hold a stage.
    holder_fraction: f64,
    hold_phase: Duration,
    vote_window: Duration,
}

impl VoteSchedule {
    /// Returns the schedule, or `None` if every sidecar may vote at any time.
    fn new(config: &DerivedConfig) -> Option<Self> {
        let ttl = config.vote_ttl.as_secs_f64();
        let rate = config.vote_rate_limit;
        let is_rate_limited = config.sidecar_count > rate * ttl * RENEWAL_FRACTION;
        if !is_rate_limited {
            return None;
        }
        let holders = config.hold_quorum * HOLD_VOTER_MARGIN;
        let burst = RATE_LIMIT_BURST.as_secs_f64();
        let hold_phase = (holders / rate - burst).max(0.0);
        let vote_window = (config.max_quorum * VOTE_WINDOW_MARGIN / rate - burst)
            .clamp(MIN_VOTE_WINDOW * ttl, MAX_VOTE_WINDOW * ttl);
        Some(Self {
            holder_fraction: holders / config.sidecar_count,
            hold_phase: Duration::from_secs_f64(hold_phase),
            vote_window: Duration::from_secs_f64(vote_window),
        })
    }

    fn cycle(&self) -> Duration {
        RATE_LIMIT_BURST + self.vote_window
    }

    /// Returns the cycle number and the time since the start of that cycle, at `elapsed` after the
    /// stage update.
    fn cycle_at(&self, elapsed: Duration) -> (u32, Duration) {
        let after_hold = elapsed.saturating_sub(self.hold_phase);
        let cycle = self.cycle();
        let number = (after_hold.as_nanos() / cycle.as_nanos().max(1)) as u32;
        (number, after_hold.saturating_sub(cycle * number))
    }

    /// Returns whether a sidecar at `position` in the order (0 to 1) may vote now.
    fn is_due(
        &self,
        verdict: Verdict,
        position: f64,
        elapsed: Duration,
        in_cycle: Duration,
    ) -> bool {
        match verdict {
            // A counted vote expires by itself.
            Verdict::Abstain => false,
            Verdict::Hold => {
                // A late vote would use up the rate limit needed by the first window.
                let late = elapsed > self.hold_phase + RATE_LIMIT_BURST / 2;
                position < self.holder_fraction
                    && !late
                    && elapsed >= self.hold_phase.mul_f64(position / self.holder_fraction)
            }
            Verdict::Promote | Verdict::RollBack => {
                in_cycle >= RATE_LIMIT_BURST + self.vote_window.mul_f64(position)
            }
        }
    }
}

/// Casts votes and tracks which of them counts.
#[derive(Default)]
pub(crate) struct VoteCaster {
    counted_vote: Option<Vote>,
    pending_vote: Option<Vote>,
    /// The earliest time of the next vote.
    next_vote_at: Duration,
    /// The start of the schedule's cycles, derived from the stage update that all sidecars receive.
    cycles_started_at: Duration,
    /// The verdict and cycle of the last vote cast by the schedule.
    last_scheduled_vote: Option<(Verdict, u32)>,
}

impl VoteCaster {
    /// Starts a new stage, of the same or of another build. Returns how long a vote to roll back
    /// that was waiting for its window must still be cast.
    pub(crate) fn on_stage_entered(
        &mut self,
        age: Duration,
        same_build: bool,
        context: &Context,
    ) -> Duration {
        let schedule = if same_build {
            VoteSchedule::new(&context.config)
        } else {
            None
        };
        // A voting window that has begun continues to its end.
        let elapsed = context.ago(age).saturating_sub(self.cycles_started_at);
        let in_window = schedule
            .as_ref()
            .is_some_and(|schedule| schedule.cycle_at(elapsed).1 >= RATE_LIMIT_BURST);
        if !in_window {
            self.cycles_started_at = context.now;
            self.last_scheduled_vote = None;
        }
        schedule.map_or(Duration::ZERO, |schedule| schedule.cycle())
    }

    /// Processes an update of the current stage that is `age` old.
    pub(crate) fn on_stage_updated(&mut self, age: Duration, context: &Context) {
        self.cycles_started_at = self.cycles_started_at.min(context.ago(age));
    }

    pub(crate) fn on_vote_answered(&mut self, answer: VoteAnswer, now: Duration) {
        let Some(vote) = self.pending_vote.take() else {
            return;
        };
        match answer {
            VoteAnswer::Counted | VoteAnswer::Moot => self.counted_vote = Some(vote),
            VoteAnswer::Full | VoteAnswer::Failed | VoteAnswer::Unanswered => {
                self.next_vote_at = now + TICK_INTERVAL * RETRY_TICKS;
            }
        }
    }

    /// Returns whether a vote must be cast now: the verdict has changed or the last vote expires
    /// soon, no vote is in flight, and it is this sidecar's turn.
    pub(crate) fn is_due(
        &mut self,
        verdict: Verdict,
        stage: &StageUpdate,
        context: &Context,
    ) -> bool {
        let now = context.now;
        let reply_timeout = context.config.vote_timeout + TICK_INTERVAL * ANSWER_GRACE_TICKS;
        self.pending_vote = self
            .pending_vote
            .filter(|vote| now < vote.cast_at + reply_timeout);
        !self.is_counted(verdict, stage, context)
            && self.pending_vote.is_none()
            && now >= self.next_vote_at
            && self.is_scheduled(verdict, stage, context)
    }

    /// Returns whether the counted vote has this verdict and need not be renewed yet.
    fn is_counted(&self, verdict: Verdict, stage: &StageUpdate, context: &Context) -> bool {
        let (now, ttl) = (context.now, context.config.vote_ttl);
        let is_valid = |vote: &Vote| {
            vote.build == stage.build && vote.stage == stage.stage && now < vote.cast_at + ttl
        };
        match self.counted_vote.filter(is_valid) {
            None => verdict == Verdict::Abstain,
            Some(vote) if vote.verdict == Verdict::Abstain => verdict == Verdict::Abstain,
            Some(vote) => {
                vote.verdict == verdict && now < vote.cast_at + ttl.mul_f64(RENEWAL_FRACTION)
            }
        }
    }

    fn is_scheduled(&mut self, verdict: Verdict, stage: &StageUpdate, context: &Context) -> bool {
        let Some(schedule) = VoteSchedule::new(&context.config) else {
            return true;
        };
        let elapsed = context.now.saturating_sub(self.cycles_started_at);
        let (cycle, in_cycle) = schedule.cycle_at(elapsed);
        let sidecar = context.config.sidecar_index.into();
        let position = hash_fraction(sidecar, stage.cycle_key(cycle));
        if !schedule.is_due(verdict, position, elapsed, in_cycle) {
            return false;
        }
        let scheduled_vote = Some((verdict, cycle));
        let already_cast = self.last_scheduled_vote == scheduled_vote;
        self.last_scheduled_vote = scheduled_vote;
        !already_cast
    }

    pub(crate) fn cast(&mut self, verdict: Verdict, stage: &StageUpdate, context: &mut Context) {
        let (build, stage) = (stage.build, stage.stage);
        self.pending_vote = Some(Vote {
            verdict,
            build,
            stage,
            cast_at: context.now,
        });
        context.actions.push(Action::Vote {
            verdict,
            build,
            stage,
        });
    }
}
