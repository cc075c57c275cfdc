//! Canary analysis: collects evidence on the build on trial and derives a verdict.

use crate::canary_sample::{CanarySample, OutcomeCounts, PodSample};
use crate::context::Context;
use crate::derived_config::DerivedConfig;
use crate::evidence::{
    is_rare_observation, is_significantly_worse, min_sample, significance_threshold,
};
use crate::interface::{
    Action, AttemptOutcome, BuildId, ClassId, Endpoint, MachineTypeId, Phase, PodId, PodState,
    StageUpdate, Verdict,
};
use crate::message::{AttemptEnded, Message};
use crate::statistics::{dispersion, median, Proportion, RunningMean};
use crate::voting::VoteCaster;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The minimum time that a build must run in a stage before it is promoted or considered slow.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// The longest time that a stage is held because the sample is too small.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// The excess failure rate over the baseline above which a build counts as regressed.
const ERROR_MARGIN: f64 = 0.05;
/// The excess rate of responses flagged as incorrect. It is lower than for failures because
/// overload never causes such responses.
const FLAGGED_MARGIN: f64 = 0.01;
/// The multiple of the baseline's median latency above which a build counts as slow.
const LATENCY_MARGIN: f64 = 1.5;
/// The number of outcomes at which a sample is halved, so that recent changes remain visible and
/// memory is bounded.
const MAX_SAMPLE: usize = 10_000;
/// The minimum number of pods that must show a problem, if the build has that many, for it to be
/// attributed to the build rather than to its pods.
const MIN_FAULTY_PODS: usize = 2;
/// The dispersion over the pods above which a problem is attributed to a few of them.
const MAX_DISPERSION: f64 = 1.6;
/// The number of responses over which the mean latency of a machine type is averaged.
const MACHINE_LATENCY_SAMPLES: usize = 50;
/// The lower bound on a machine type's latency ratio when it is used as a divisor.
const MIN_MACHINE_LATENCY_RATIO: f64 = 0.001;
/// The standard error of the logarithm of the median of n exponentially distributed latencies,
/// times the square root of n: 1 / ln 2.
const MEDIAN_LOG_ERROR: f64 = 1.44;
/// The minimum number of standard errors for a significant difference of medians.
const MIN_LATENCY_SIGNIFICANCE: f64 = 2.5;
/// The upper bound on the baseline's median latency, as a multiple of its usual latency. Above it,
/// the system is overloaded and latencies mostly measure queueing.
const MAX_UNLOADED_MEDIAN: f64 = 2.0;
/// The upper bound on the latency ratio of each machine type. Above it, the system is overloaded
/// and latencies mostly measure queueing.
const MAX_UNLOADED_LATENCY_RATIO: f64 = 0.25;

/// Compares the build on trial with the baseline.
#[derive(Default)]
pub(crate) struct CanaryAnalysis {
    stage: Option<StageUpdate>,
    stage_entered_at: Duration,
    endpoints: BTreeMap<PodId, Endpoint>,
    /// Observations of the build on trial in this stage.
    trial: CanarySample,
    /// Observations of the baseline in this stage.
    baseline: CanarySample,
    /// Observations of the baseline before this stage.
    previous_baseline: CanarySample,
    /// The mean latency of each machine type while no build is on trial, in latency objectives.
    machine_latency: BTreeMap<MachineTypeId, RunningMean>,
    /// Whether the evidence shows that the build on trial is worse than the baseline.
    regressed: bool,
    has_new_evidence: bool,
    /// Until when evidence from the previous stage still leads to a vote to roll back.
    rollback_until: Duration,
    voting: VoteCaster,
}

impl CanaryAnalysis {
    pub(crate) fn receive(&mut self, message: Message, context: &mut Context) {
        match message {
            Message::EndpointChanged(endpoint) => {
                self.endpoints.insert(endpoint.pod, endpoint);
            }
            Message::EndpointRemoved(pod) => {
                self.endpoints.remove(&pod);
            }
            Message::StageUpdated(update) => self.on_stage_updated(update, context),
            Message::AttemptEnded(ended) => self.record_outcome(&ended, &context.config),
            Message::ResponseFlagged { pod, class } => self.on_response_flagged(pod, class),
            Message::VoteAnswered(answer) => self.voting.on_vote_answered(answer, context.now),
            Message::Tick => self.on_tick(context),
            _ => {}
        }
    }

    fn on_tick(&mut self, context: &mut Context) {
        if std::mem::take(&mut self.has_new_evidence) {
            self.regressed = self.is_regression(context.now, &context.config);
        }
        self.vote(context);
    }

    fn on_response_flagged(&mut self, pod: PodId, class: ClassId) {
        let Some(build) = self.endpoints.get(&pod).map(|endpoint| endpoint.build) else {
            return;
        };
        if let Some(sample) = self.sample_for(build) {
            sample.record_flag(class, pod);
        }
    }

    fn on_stage_updated(&mut self, update: StageUpdate, context: &Context) {
        self.has_new_evidence = true;
        let key = |update: &StageUpdate| (update.build, update.stage, update.phase);
        if self.stage.as_ref().map(key) != Some(key(&update)) {
            self.enter_stage(&update, context);
        }
        self.voting.on_stage_updated(update.age, context);
        self.stage = Some(update);
    }

    /// Starts a new stage with empty samples.
    fn enter_stage(&mut self, update: &StageUpdate, context: &Context) {
        let next_build = self.stage.is_some_and(|old| old.build != update.build);
        let last_baseline = if next_build {
            &mut self.trial
        } else {
            &mut self.baseline
        };
        if last_baseline.total().outcomes >= min_sample(&context.config) {
            self.previous_baseline = std::mem::take(last_baseline);
        }
        let rollback_for = self
            .voting
            .on_stage_entered(update.age, !next_build, context);
        self.rollback_until = if self.regressed {
            context.now + rollback_for
        } else {
            context.now
        };
        self.trial = CanarySample::default();
        self.baseline = CanarySample::default();
        self.stage_entered_at = context.now;
    }

    /// Returns the sample that records outcomes of a build, or `None` for builds newer than the one
    /// on trial.
    fn sample_for(&mut self, build: BuildId) -> Option<&mut CanarySample> {
        self.has_new_evidence = true;
        let trial_build = self.stage?.build;
        if build < trial_build {
            Some(&mut self.baseline)
        } else if build == trial_build {
            Some(&mut self.trial)
        } else {
            None
        }
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, config: &DerivedConfig) {
        let outcome = ended.result.outcome;
        let is_uninformative =
            outcome.never_ran() || outcome == AttemptOutcome::Cancelled || ended.tenant_outlier;
        if is_uninformative || ended.sent_at < self.stage_entered_at {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&ended.result.pod) else {
            return;
        };
        // The latency of a cold pod is dominated by startup and queueing and says nothing about its
        // build.
        let warm = config.capacity_factor(endpoint.started_at, ended.sent_at) >= 1.0;
        let objective = config.class(ended.class).latency_objective;
        let latency_ratio = ended.result.duration.as_secs_f64() / objective.as_secs_f64();
        let no_trial = self.stage.is_none_or(|stage| stage.phase != Phase::OnTrial);
        let is_baseline = self.stage.is_some_and(|stage| ended.build < stage.build);
        let has_valid_latency = outcome == AttemptOutcome::Succeeded && warm;
        let usual = self
            .machine_latency
            .entry(endpoint.machine_type)
            .or_default();
        let still_learning = is_baseline && usual.count < MACHINE_LATENCY_SAMPLES;
        if has_valid_latency && (no_trial || still_learning) {
            usual.add(latency_ratio, MACHINE_LATENCY_SAMPLES);
        }
        let latency = (has_valid_latency && usual.count >= min_sample(config))
            .then(|| latency_ratio / usual.value.max(MIN_MACHINE_LATENCY_RATIO));
        let Some(sample) = self.sample_for(ended.build) else {
            return;
        };
        sample.record(ended.class, ended.result.pod, outcome, latency);
        if sample.total().outcomes >= MAX_SAMPLE {
            sample.halve();
        }
    }

    fn trial_pods(&self) -> impl Iterator<Item = &Endpoint> {
        let trial_build = self.stage.map(|stage| stage.build);
        self.endpoints.values().filter(move |endpoint| {
            Some(endpoint.build) == trial_build && endpoint.state == PodState::Ready
        })
    }

    /// Returns whether the newest pod of the build has run for the minimum observation time. Before
    /// that, queueing at cold pods is indistinguishable from a slow build.
    fn has_settled(&self, now: Duration) -> bool {
        let newest = self
            .trial_pods()
            .filter_map(|endpoint| endpoint.started_at)
            .max()
            .unwrap_or(self.stage_entered_at);
        now >= newest.max(self.stage_entered_at) + MIN_OBSERVATION_TIME
    }

    fn verdict(&self, now: Duration, config: &DerivedConfig) -> Verdict {
        let Some(stage) = self.stage else {
            return Verdict::Abstain;
        };
        if !matches!(stage.phase, Phase::OnTrial | Phase::Released) {
            return Verdict::Abstain;
        }
        if self.regressed || now < self.rollback_until {
            return Verdict::RollBack;
        }
        if stage.phase != Phase::OnTrial {
            return Verdict::Abstain;
        }
        let is_sample_insufficient =
            || self.trial.total().outcomes < min_sample(config) || !self.has_settled(now);
        let may_hold = now < self.stage_entered_at + MAX_HOLD;
        if config.clock_controlled {
            if may_hold && is_sample_insufficient() {
                Verdict::Hold
            } else {
                Verdict::Abstain
            }
        } else if is_sample_insufficient() {
            Verdict::Abstain
        } else {
            Verdict::Promote
        }
    }

    /// Returns whether the evidence shows that the build on trial is worse than the baseline.
    fn is_regression(&self, now: Duration, config: &DerivedConfig) -> bool {
        let min_sample = min_sample(config);
        if self.trial.total().outcomes < min_sample {
            return false;
        }
        let significance = significance_threshold(config);
        let has_concurrent_baseline = self.baseline.total().outcomes >= min_sample;
        let reference = if has_concurrent_baseline {
            &self.baseline
        } else {
            &self.previous_baseline
        };
        self.has_rare_observation(reference, has_concurrent_baseline, config)
            || self.has_excess_failures(reference, has_concurrent_baseline, significance)
            || (self.has_settled(now) && self.is_slower(min_sample, significance))
    }

    /// Returns whether a few errors or flagged responses are sufficient evidence. An error counts
    /// by itself; timeouts do not, because any fault can cause them. As such a fault makes errors
    /// more likely too, all counted failures of the baseline lower the significance of an error.
    fn has_rare_observation(
        &self,
        reference: &CanarySample,
        has_concurrent_baseline: bool,
        config: &DerivedConfig,
    ) -> bool {
        let (trial, old) = (self.trial.total(), reference.total());
        let old_failures = failures(&old, has_concurrent_baseline).count;
        let is_rare = |new_count, old_count: usize, margin| {
            let new = Proportion::new(new_count, trial.outcomes);
            let old = Proportion::new(old_count.max(old_failures), old.outcomes);
            is_rare_observation(new, old, margin, config)
        };
        (is_rare(trial.errors(), old.errors(), ERROR_MARGIN)
            && self.is_spread_evenly(1, |pod| pod.failures))
            || (is_rare(trial.flagged, old.flagged, FLAGGED_MARGIN)
                && self.is_spread_evenly(1, |pod| pod.flagged))
    }

    /// Returns whether any request class, or all classes together, fail or are flagged
    /// significantly more often than in the reference sample.
    fn has_excess_failures(
        &self,
        reference: &CanarySample,
        has_concurrent_baseline: bool,
        significance: f64,
    ) -> bool {
        let pairs = self.trial.paired_with(reference);
        let excess_failures = pairs.iter().any(|(new, old)| {
            let new = failures(new, has_concurrent_baseline);
            let old = failures(old, has_concurrent_baseline);
            is_significantly_worse(new, old, ERROR_MARGIN, significance)
        });
        let flagged = pairs.iter().any(|(new, old)| {
            is_significantly_worse(new.flagged(), old.flagged(), FLAGGED_MARGIN, significance)
        });
        (excess_failures && self.is_spread_evenly(MIN_FAULTY_PODS, |pod| pod.failures))
            || (flagged && self.is_spread_evenly(MIN_FAULTY_PODS, |pod| pod.flagged))
    }

    /// Returns whether a kind of bad outcome is spread over the trial's pods as chance would, and
    /// occurs on at least `min_pods` of them (or on all if there are fewer). One faulty pod, or a
    /// few in a faulty zone, are not evidence against the build.
    fn is_spread_evenly(
        &self,
        min_pods: usize,
        bad_outcomes: impl Fn(&PodSample) -> usize,
    ) -> bool {
        let counts: Vec<f64> = self
            .trial
            .by_pod
            .values()
            .map(|pod| bad_outcomes(pod) as f64)
            .collect();
        let affected_pods = counts.iter().filter(|count| **count > 0.0).count();
        affected_pods >= self.trial_pods().count().min(min_pods)
            && dispersion(&counts) < MAX_DISPERSION
    }

    /// Returns whether the build is significantly slower, even without its slowest pod, than a
    /// baseline that handles the same load at the same time without overload. Under overload, or on
    /// the cold pods of a last stage, latencies mostly measure queueing.
    fn is_slower(&self, min_sample: usize, significance: f64) -> bool {
        let (new, old) = (self.trial.latencies(), self.baseline.latencies());
        if new.len().min(old.len()) < min_sample {
            return false;
        }
        let log_error = significance.max(MIN_LATENCY_SIGNIFICANCE)
            * MEDIAN_LOG_ERROR
            * (1.0 / new.len() as f64 + 1.0 / old.len() as f64).sqrt();
        let (new_median, old_median) = (new[new.len() / 2], old[old.len() / 2]);
        let is_unloaded = old_median < MAX_UNLOADED_MEDIAN
            && self
                .machine_latency
                .values()
                .all(|mean| mean.value < MAX_UNLOADED_LATENCY_RATIO);
        let slower = is_unloaded && new_median > LATENCY_MARGIN * old_median * log_error.exp();
        slower
            && median(self.trial.latencies_without_slowest_pod())
                > Some(LATENCY_MARGIN * old_median)
    }

    /// Casts a vote if one is due.
    fn vote(&mut self, context: &mut Context) {
        let Some(stage) = self.stage else { return };
        let verdict = self.verdict(context.now, &context.config);
        if !self.voting.is_due(verdict, &stage, context) {
            return;
        }
        if verdict == Verdict::RollBack {
            context.actions.push(self.log_rollback(&stage));
        }
        self.voting.cast(verdict, &stage, context);
    }

    /// Formats the evidence for a vote to roll back. The simulator records this text, so its format
    /// is fixed.
    fn log_rollback(&self, stage: &StageUpdate) -> Action {
        let (build, stage) = (stage.build.0, stage.stage.0);
        let (new, old) = (&self.trial, &self.baseline);
        Action::Log(format!(
            "back: BuildId({build}) StageNo({stage}): {new} against {old}"
        ))
    }
}

/// Returns the failures to compare. Without a concurrent baseline, the timeouts of the trial cannot
/// be told apart from those of a fault that began later, so only errors count.
fn failures(counts: &OutcomeCounts, has_concurrent_baseline: bool) -> Proportion {
    if has_concurrent_baseline {
        counts.failed()
    } else {
        Proportion::new(counts.errors(), counts.outcomes)
    }
}
