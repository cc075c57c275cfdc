use super::canary;
use crate::canary::CanaryAnalysis;
use crate::context::Context;
use crate::derived_config::DerivedConfig;
use crate::engine::TICK_INTERVAL;
use crate::interface::{Action, Phase, StageUpdate, Verdict, VoteAnswer};
use crate::message::Message;
use crate::test_support::{at, context, stage_update};
use crate::voting::Vote;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn a_counted_vote_is_not_repeated() {
    let mut canary = canary(&[(3, 0, 5, 0.1)], (0, 200, 0.1));
    let stage = stage_update(Phase::OnTrial, 0.2);
    canary.voting.cast(Verdict::Hold, &stage, &mut context(0.5));
    canary.voting.on_vote_answered(VoteAnswer::Counted, at(0.5));
    let mut context = context(1.0);
    canary.vote(&mut context);
    assert_eq!(context.actions, []);
}

/// Limits votes like the rollout service: a rate per second, with a burst of twice that many.
struct RolloutService {
    tokens: f64,
    refilled_at: Duration,
    votes: BTreeMap<usize, Vote>,
}

impl RolloutService {
    fn call(&mut self, from: usize, vote: Vote, rate_limit: f64) -> VoteAnswer {
        let refill = (vote.cast_at - self.refilled_at).as_secs_f64() * rate_limit;
        self.tokens = (self.tokens + refill).min(2.0 * rate_limit);
        self.refilled_at = vote.cast_at;
        if self.tokens < 1.0 {
            return VoteAnswer::Full;
        }
        self.tokens -= 1.0;
        self.votes.insert(from, vote);
        VoteAnswer::Counted
    }

    /// Returns the number of votes that count at `now`.
    fn count(&self, verdict: Verdict, now: Duration, ttl: Duration) -> usize {
        self.votes
            .values()
            .filter(|vote| vote.verdict == verdict && now < vote.cast_at + ttl)
            .count()
    }
}

const SIDECARS: usize = 300;
const QUORUM: usize = 76;
const RATE_LIMIT: f64 = 16.0;

/// Returns a sidecar of the fleet that learns of the stage `delay` seconds after its start.
fn start_sidecar(index: usize, delay: f64) -> (CanaryAnalysis, Context) {
    let mut canary = CanaryAnalysis::default();
    let mut context = context(delay);
    context.config = DerivedConfig {
        sidecar_count: SIDECARS as f64,
        sidecar_index: index as u32,
        rollback_quorum: QUORUM as f64,
        max_quorum: QUORUM as f64,
        hold_quorum: 31.0,
        vote_rate_limit: RATE_LIMIT,
        ..context.config
    };
    let update = StageUpdate {
        age: at(delay),
        ..stage_update(Phase::OnTrial, 0.2)
    };
    canary.on_stage_updated(update, &context);
    context.now = Duration::ZERO;
    (canary, context)
}

/// Many of 300 sidecars want to roll a build back, starting when they notice the fault. The quorum
/// must count at the same time within 1.5 times the time to live of a vote. If they notice it in
/// the middle of a voting window, twice the time to live is allowed: the rest of the window, the
/// pause after it and the time imposed by the rate limit. Both must also hold while part of the
/// fleet is down or learns of the stage late.
#[rstest]
#[case::all_from_the_start(300, 0.0, 1.0, 0.0, 1.5)]
#[case::all_at_the_end_of_a_window(300, 5.6, 1.0, 0.0, 1.5)]
#[case::barely_a_quorum(84, 0.0, 1.0, 0.0, 1.5)]
#[case::barely_a_quorum_later(84, 7.3, 1.0, 0.0, 1.5)]
#[case::a_third_is_down(300, 3.0, 0.67, 0.0, 2.0)]
#[case::a_third_learns_late(300, 4.5, 1.0, 1.5, 2.0)]
fn a_quorum_of_votes_counts_at_the_same_time(
    #[case] voting_sidecars: usize,
    #[case] from: f64,
    #[case] alive: f64,
    #[case] delay: f64,
    #[case] max_ttls: f64,
) {
    let ttl = at(4.0);
    let mut fleet: Vec<(CanaryAnalysis, Context)> = (0..SIDECARS)
        .map(|index| start_sidecar(index, if index.is_multiple_of(3) { delay } else { 0.0 }))
        .collect();
    let mut service = RolloutService {
        tokens: 2.0 * RATE_LIMIT,
        refilled_at: Duration::ZERO,
        votes: BTreeMap::new(),
    };
    let mut answers: Vec<(Duration, usize, VoteAnswer)> = Vec::new();
    for step in 0..800u32 {
        let now = TICK_INTERVAL * step;
        let due = answers
            .extract_if(.., |(when, ..)| *when <= now)
            .collect::<Vec<_>>();
        for (_, index, answer) in due {
            let (canary, context) = &mut fleet[index];
            context.now = now;
            canary.receive(Message::VoteAnswered(answer), context);
        }
        for (index, (canary, context)) in fleet.iter_mut().enumerate() {
            // Makes the choice of dead and voting sidecars independent of their position in the
            // schedule.
            let shuffled_index = index * 7 % SIDECARS;
            if shuffled_index as f64 >= alive * SIDECARS as f64 {
                continue;
            }
            context.now = now;
            canary.regressed = shuffled_index < voting_sidecars && now >= at(from);
            canary.vote(context);
            for action in std::mem::take(&mut context.actions) {
                let Action::Vote {
                    verdict,
                    build,
                    stage,
                } = action
                else {
                    continue;
                };
                let vote = Vote {
                    verdict,
                    build,
                    stage,
                    cast_at: now,
                };
                let answer = service.call(index, vote, RATE_LIMIT);
                answers.push((now + TICK_INTERVAL * 2, index, answer));
            }
        }
        if service.count(Verdict::RollBack, now, ttl) >= QUORUM {
            assert!(
                now <= at(from) + ttl.mul_f64(max_ttls) + TICK_INTERVAL * 2,
                "the quorum counted only after {:?}",
                now - at(from)
            );
            return;
        }
    }
    panic!("the quorum never counted at the same time");
}

/// A sidecar does not wait for a voting window if the rollout service can accept every vote.
#[test]
fn with_an_ample_rate_limit_votes_are_cast_immediately() {
    let mut canary = canary(&[], (0, 200, 0.1));
    let mut context = context(0.0);
    context.config.vote_rate_limit = 25.0;
    context.config.sidecar_count = 50.0;
    canary.regressed = true;
    canary.vote(&mut context);
    assert!(context.actions.iter().any(|action| matches!(
        action,
        Action::Vote {
            verdict: Verdict::RollBack,
            ..
        }
    )));
}
