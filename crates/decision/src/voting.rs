//! Voting: when a verdict on the build on trial is sent to the rollout service.
//!
//! Where the service can take a vote of each sidecar, a vote is cast as soon as the verdict changes, and again
//! before it expires. Where it can not, votes follow a schedule: cast all at once, and again as soon as they
//! were refused, too few of them would count at the same time.

use crate::context::Context;
use crate::derived_config::DerivedConfig;
use crate::engine::TICK_INTERVAL;
use crate::hashing::hash_fraction;
use crate::interface::{Action, BuildId, StageIndex, StageUpdate, Verdict, VoteAnswer};
use std::time::Duration;

/// The rate limiter of the rollout service saves up the votes of this long.
const RATE_LIMIT_BURST: Duration = Duration::from_secs(2);
/// A vote is cast anew after this share of its time to live.
const RENEWAL_FRACTION: f64 = 0.6;
/// So many more sidecars than it takes vote to hold a stage, as some may be down.
const HOLD_RESERVE: f64 = 1.3;
/// The window for calls is longer than the quorum takes by this.
const CALL_WINDOW_RESERVE: f64 = 1.1;
/// The bounds of that window, as shares of a vote's time to live.
const MIN_CALL_WINDOW: f64 = 0.1;
const MAX_CALL_WINDOW: f64 = 0.9;
/// A vote without an answer counts as lost so many ticks after the time that an answer may take.
const ANSWER_GRACE_TICKS: u32 = 25;
/// A vote that was not counted is cast again after so many ticks.
const RETRY_TICKS: u32 = 15;

/// A vote as it was sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Vote {
    pub(crate) verdict: Verdict,
    pub(crate) build: BuildId,
    pub(crate) stage: StageIndex,
    pub(crate) cast_at: Duration,
}

/// When votes are cast where the rollout service can not take one of each sidecar within 0.6 of its time to
/// live.
///
/// Cycles are counted from the update of the stage. First come votes to hold it, of a third more sidecars than
/// it takes. Then, in each cycle, there is a pause in which the rate limiter saves up, and a window for the
/// votes to promote and roll back, no longer than the quorum takes. The price is the wait for the window.
struct VoteSchedule {
    /// The fraction of sidecars that vote to hold a stage.
    holder_fraction: f64,
    hold_phase: Duration,
    call_window: Duration,
}

impl VoteSchedule {
    /// The schedule; none where every sidecar may vote at any time.
    fn new(config: &DerivedConfig) -> Option<Self> {
        let ttl = config.vote_ttl.as_secs_f64();
        let rate = config.vote_rate_limit;
        let rate_is_short = config.sidecar_count > rate * ttl * RENEWAL_FRACTION;
        if !rate_is_short {
            return None;
        }
        let holders = config.hold_quorum * HOLD_RESERVE;
        let burst = RATE_LIMIT_BURST.as_secs_f64();
        let hold_phase = (holders / rate - burst).max(0.0);
        let call_window = (config.max_quorum * CALL_WINDOW_RESERVE / rate - burst)
            .clamp(MIN_CALL_WINDOW * ttl, MAX_CALL_WINDOW * ttl);
        Some(Self {
            holder_fraction: holders / config.sidecar_count,
            hold_phase: Duration::from_secs_f64(hold_phase),
            call_window: Duration::from_secs_f64(call_window),
        })
    }

    fn cycle(&self) -> Duration {
        RATE_LIMIT_BURST + self.call_window
    }

    /// The number of the cycle, and the time since its start, at some time after the update of the stage.
    fn cycle_at(&self, elapsed: Duration) -> (u32, Duration) {
        let after_hold = elapsed.saturating_sub(self.hold_phase);
        let cycle = self.cycle();
        let number = (after_hold.as_nanos() / cycle.as_nanos().max(1)) as u32;
        (number, after_hold.saturating_sub(cycle * number))
    }

    /// Whether a sidecar whose place in the order is `draw` (0 to 1) may vote now.
    fn is_due(&self, verdict: Verdict, draw: f64, elapsed: Duration, in_cycle: Duration) -> bool {
        match verdict {
            // It expires by itself.
            Verdict::Abstain => false,
            Verdict::Hold => {
                // One that comes late would spend what the first window needs.
                let late = elapsed > self.hold_phase + RATE_LIMIT_BURST / 2;
                draw < self.holder_fraction
                    && !late
                    && elapsed >= self.hold_phase.mul_f64(draw / self.holder_fraction)
            }
            Verdict::Promote | Verdict::RollBack => {
                in_cycle >= RATE_LIMIT_BURST + self.call_window.mul_f64(draw)
            }
        }
    }
}

/// Casts votes, and knows which of them counts.
#[derive(Default)]
pub(crate) struct VoteCaster {
    counted_vote: Option<Vote>,
    pending_vote: Option<Vote>,
    /// No vote is cast before this.
    next_vote_at: Duration,
    /// The start of the cycles of the schedule, by the update that all sidecars get.
    cycles_began_at: Duration,
    /// The last vote that was cast by the schedule, and its cycle.
    last_call: Option<(Verdict, u32)>,
}

impl VoteCaster {
    /// Enters another stage, of the same build or of another one. Returns for how long a vote to roll back that
    /// waited for its window is to be cast all the same.
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
        // A window goes on to its end.
        let elapsed = context.ago(age).saturating_sub(self.cycles_began_at);
        let in_window = schedule
            .as_ref()
            .is_some_and(|schedule| schedule.cycle_at(elapsed).1 >= RATE_LIMIT_BURST);
        if !in_window {
            self.cycles_began_at = context.now;
            self.last_call = None;
        }
        schedule.map_or(Duration::ZERO, |schedule| schedule.cycle())
    }

    /// Takes an update of the current stage that is `age` old.
    pub(crate) fn on_stage_updated(&mut self, age: Duration, context: &Context) {
        self.cycles_began_at = self.cycles_began_at.min(context.ago(age));
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

    /// Whether a vote is to be cast now: the verdict has changed or the last vote expires soon, no vote is under
    /// way, and this sidecar is due.
    pub(crate) fn is_due(
        &mut self,
        verdict: Verdict,
        stage: &StageUpdate,
        context: &Context,
    ) -> bool {
        let now = context.now;
        let patience = context.config.vote_timeout + TICK_INTERVAL * ANSWER_GRACE_TICKS;
        self.pending_vote = self
            .pending_vote
            .filter(|vote| now < vote.cast_at + patience);
        !self.counts_already(verdict, stage, context)
            && self.pending_vote.is_none()
            && now >= self.next_vote_at
            && self.is_scheduled(verdict, stage, context)
    }

    /// Whether the vote that counts has this verdict and need not be renewed yet.
    fn counts_already(&self, verdict: Verdict, stage: &StageUpdate, context: &Context) -> bool {
        let (now, ttl) = (context.now, context.config.vote_ttl);
        let counts = |vote: &Vote| {
            vote.build == stage.build && vote.stage == stage.stage && now < vote.cast_at + ttl
        };
        match self.counted_vote.filter(counts) {
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
        let elapsed = context.now.saturating_sub(self.cycles_began_at);
        let (cycle, in_cycle) = schedule.cycle_at(elapsed);
        let sidecar = context.config.sidecar_index.into();
        let draw = hash_fraction(sidecar, stage.cycle_key(cycle));
        if !schedule.is_due(verdict, draw, elapsed, in_cycle) {
            return false;
        }
        let call = Some((verdict, cycle));
        let already_called = self.last_call == call;
        self.last_call = call;
        !already_called
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
