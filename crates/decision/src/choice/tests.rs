//! Each test builds the state that it needs and calls one function.

use super::*;
use crate::ledger::rendezvous_rank;
use crate::sidecar::in_processing_order;
use rstest::rstest;
use std::collections::BTreeSet;

mod lists;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn group(repeat: Idempotency) -> RequestClass {
    let (target_latency, client_timeout) = (at(1.0), at(3.0));
    RequestClass {
        idempotency: repeat,
        latency_objective: target_latency,
        client_timeout,
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    }
}

const TAGGED: Idempotency = Idempotency::Keyed {
    deduplicated_by: DeduplicationScope::Zone,
    window: Duration::from_secs(2),
};

/// Path groups: 0 repeatable, 1 tagged within a zone, 2 mutating.
fn terms() -> SidecarConfig {
    SidecarConfig {
        seed: 7,
        sidecar_count: 2,
        sidecar_index: 1,
        zone: ZoneId(0),
        classes: vec![
            group(Idempotency::Idempotent),
            group(TAGGED),
            group(Idempotency::NonIdempotent),
        ],
        watch_on_request: false,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: true,
        hedging: true,
        retry_after: None,
        max_attempts: 3,
        safety: SafetyLimits {
            drain_grace: at(1.0),
            slow_start_from: 0.4,
            slow_start_duration: at(4.0),
            overload_multiple: 2.0,
            overload_window: at(2.0),
        },
        rollout: RolloutConfig {
            control: Control::Clock,
            stage_shares: vec![0.1, 1.0],
            exposure_caps: vec![0.2, 1.0],
            exposure_window: at(2.0),
            exposure_free: 1.0,
            exposure_per_class: false,
            guarded_stages: 1,
            sticky_keys: true,
            vote_ttl: at(4.0),
            vote_timeout: at(1.0),
            rollback_quorum: 1,
            hold_quorum: 1,
            promote_quorum: 0,
            vote_rate_limit: None,
        },
    }
}

fn round(now: f64) -> Context {
    let mut round = Context::new(Duration::ZERO, &terms());
    round.now = at(now);
    round
}

fn pod(id: u64, build: u16) -> Endpoint {
    let (pod, zone, cell) = (PodId(id), ZoneId(id as u16 % 2), CellId(0));
    let (build, kind, state) = (BuildId(build), MachineTypeId(0), PodState::Ready);
    Endpoint {
        pod,
        state,
        build,
        weight: 1.0,
        started_at: None,
        zone,
        cell,
        machine_type: kind,
    }
}

fn news(phase: Phase, cap: f64) -> StageUpdate {
    StageUpdate {
        build: BuildId(2),
        stage: StageIndex(0),
        phase,
        cap,
        age: Duration::ZERO,
    }
}

/// A gate with pods 0 to 2 on build 1 and pod 3 on build 2, and hit 0 of a path group, due at 9 s.
fn gate(of: u16, phase: Phase, cap: f64) -> AdmissionControl {
    let mut gate = AdmissionControl {
        stage: Some(news(phase, cap)),
        ..AdmissionControl::default()
    };
    for entry in [pod(0, 1), pod(1, 1), pod(2, 1), pod(3, 2)] {
        gate.endpoints.update(entry, Duration::ZERO, 0.0);
    }
    let hit = Request {
        id: RequestId(0),
        class: ClassId(of),
        tenant: None,
        routing_key: Some(RoutingKey(5)),
        deadline: at(9.0),
    };
    gate.requests.insert(hit.id, RequestRecord::new(&hit));
    gate
}

fn remove_builds_below(gate: &mut AdmissionControl, lowest: u16) {
    let older = |place: &&EndpointState| place.endpoint.build < BuildId(lowest);
    let older: Vec<PodId> = gate
        .endpoints
        .values()
        .filter(older)
        .map(|place| place.endpoint.pod)
        .collect();
    older.into_iter().for_each(|pod| gate.endpoints.remove(pod));
}

fn sent(to: Endpoint, when: f64, fate: Option<AttemptOutcome>) -> AttemptRecord {
    AttemptRecord {
        pod: to.pod,
        build: to.build,
        zone: to.zone,
        cell: to.cell,
        pod_started_at: to.started_at,
        sent_at: at(when),
        outcome: fate,
    }
}

#[rstest]
#[case::late(9.0, false, Err(Refusal::RequestClosed))]
#[case::over(1.0, true, Err(Refusal::RequestClosed))]
#[case::open(1.0, false, Ok(()))]
fn nothing_is_sent_after_the_end(
    #[case] now: f64,
    #[case] over: bool,
    #[case] want: Result<(), Refusal>,
) {
    let mut gate = gate(0, Phase::Released, 1.0);
    gate.requests.get_mut(&RequestId(0)).unwrap().closed = over;
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round(now)),
        want
    );
}

#[rstest]
#[case::mutating_out(2, None, 0, 1.0, false)]
#[case::mutating_timed_out(2, Some(AttemptOutcome::TimedOut), 0, 1.0, false)]
#[case::mutating_never_ran(2, Some(AttemptOutcome::Rejected), 0, 1.0, true)]
#[case::tagged_same_zone(1, Some(AttemptOutcome::TimedOut), 2, 1.0, true)]
#[case::tagged_other_zone(1, Some(AttemptOutcome::TimedOut), 1, 1.0, false)]
#[case::tagged_memory_lapsed(1, Some(AttemptOutcome::TimedOut), 2, 2.6, false)]
#[case::repeatable(0, Some(AttemptOutcome::Failed), 1, 2.6, true)]
fn no_effect_happens_twice(
    #[case] of: u16,
    #[case] fate: Option<AttemptOutcome>,
    #[case] to: u64,
    #[case] now: f64,
    #[case] allowed: bool,
) {
    let mut gate = gate(of, Phase::Released, 1.0);
    gate.requests
        .get_mut(&RequestId(0))
        .unwrap()
        .attempts
        .push(sent(pod(0, 1), 0.5, fate));
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(to), 1.0), &round(now))
            .is_ok(),
        allowed
    );
}

#[test]
fn a_hit_that_may_have_run_is_errored_not_bounced() {
    let (mut gate, mut round) = (gate(2, Phase::Released, 1.0), round(1.0));
    gate.requests
        .get_mut(&RequestId(0))
        .unwrap()
        .attempts
        .push(sent(pod(0, 1), 0.5, Some(AttemptOutcome::TimedOut)));
    gate.give_up(RequestId(0), &mut round);
    assert_eq!(
        round.actions,
        [Action::Fail {
            request: RequestId(0)
        }]
    );
}

#[rstest]
#[case::in_grace(1.9, Ok(()))]
#[case::after(2.1, Err(Refusal::EndpointDrained))]
fn a_draining_pod_gets_nothing_after_the_grace(
    #[case] now: f64,
    #[case] want: Result<(), Refusal>,
) {
    let mut gate = gate(0, Phase::Released, 1.0);
    gate.endpoints.get_mut(PodId(0)).unwrap().leaving_since = Some(at(1.0));
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round(now)),
        want
    );
}

#[rstest]
#[case::just_started(8.9, 9, 2.0, Err(Refusal::SlowStart))]
#[case::half_warm(7.0, 9, 2.0, Ok(()))]
#[case::half_warm_and_easily_pushed_over(7.0, 9, 1.0, Err(Refusal::SlowStart))]
#[case::warm(1.0, 99, 1.0, Ok(()))]
fn a_cold_pod_gets_its_part_only(
    #[case] started: f64,
    #[case] sent: usize,
    #[case] fall_multiple: f64,
    #[case] want: Result<(), Refusal>,
) {
    let (mut gate, mut round) = (gate(0, Phase::Released, 1.0), round(0.0));
    round.config.overload_multiple = fall_multiple;
    for n in 0..200 {
        gate.success_rate
            .record(at(0.05 * f64::from(n)), RATE_SMOOTHING);
    }
    round.now = at(8.95);
    let place = gate.endpoints.get_mut(PodId(0)).unwrap();
    place.endpoint.started_at = Some(at(started));
    (0..sent).for_each(|_| place.attempts.record(at(8.9)));
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round),
        want
    );
}

#[rstest]
#[case::within(Phase::OnTrial, 0.5, 4, Ok(()))]
#[case::spent(Phase::OnTrial, 0.5, 6, Err(Refusal::ExposureCap))]
#[case::going_back(Phase::RollingBack, 0.0, 0, Err(Refusal::ExposureCap))]
#[case::released(Phase::Released, 0.0, 99, Ok(()))]
fn exposure_stays_under_the_cap(
    #[case] phase: Phase,
    #[case] cap: f64,
    #[case] before: usize,
    #[case] want: Result<(), Refusal>,
) {
    let mut gate = gate(0, phase, cap);
    (0..10).for_each(|_| gate.admitted.entry(0).or_default().record(at(1.0)));
    (0..before).for_each(|_| {
        gate.exposed
            .entry((BuildId(2), 0))
            .or_default()
            .record(at(1.0))
    });
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(3), 1.0), &round(1.5)),
        want
    );
}

fn bid(pod: u64, build: u16, turn: u8, cost: f64) -> Candidate {
    Candidate {
        pod: PodId(pod),
        build: BuildId(build),
        tier: turn,
        random_draw: 0.5,
        cost,
        used_fraction: 1.0,
    }
}

/// Build 2 may have nothing: what the gate says to bids of the first turn, of 1.
#[rstest]
#[case::cheapest(&[bid(0, 1, 1, 2.0), bid(1, 1, 1, 1.0), bid(2, 1, 1, 3.0)], Some(1), 0)]
#[case::of_two_alike_the_lower(&[bid(2, 1, 1, 1.0), bid(1, 1, 1, 1.0)], Some(1), 0)]
#[case::next_after_a_refusal(&[bid(3, 2, 1, 0.1), bid(2, 1, 1, 3.0), bid(0, 1, 1, 2.0)], Some(0), 0)]
#[case::next_turn_waits(&[bid(3, 2, 1, 0.1), bid(0, 1, 2, 0.0)], None, 1)]
#[case::a_refused_build_does_not(&[bid(3, 2, 1, 0.1), bid(4, 2, 2, 0.0), bid(0, 1, 3, 0.0)], None, 1)]
fn the_best_bid_that_is_allowed_gets_the_hit(
    #[case] bids: &[Candidate],
    #[case] to: Option<u64>,
    #[case] rest: usize,
) {
    let (mut gate, mut round) = (gate(0, Phase::OnTrial, 0.0), round(1.0));
    gate.take(
        Message::AttemptProposed {
            request: RequestId(0),
            candidates: bids.to_vec(),
            tier: 1,
        },
        &mut round,
    );
    let sent = round.actions.first().map(|action| match action {
        Action::StartAttempt { pod, .. } => pod.0,
        _ => panic!("{action:?}"),
    });
    assert_eq!(sent, to);
    if sent.is_none() {
        let Some((_, Message::AttemptRefused(_, left))) = round.mailboxes.pop() else {
            panic!("no word to the desk")
        };
        assert_eq!(left.len(), rest);
    }
}

#[test]
fn a_build_without_news_counts_as_in_the_first_stage() {
    let gate = AdmissionControl {
        stage: None,
        ..gate(0, Phase::OnTrial, 1.0)
    };
    assert_eq!(
        gate.exposure_cap(BuildId(2), &round(1.0).config),
        Some((0.2, 0))
    );
}

#[test]
fn a_guarded_stage_takes_repeatable_hits_only() {
    assert_eq!(
        gate(1, Phase::OnTrial, 1.0).check_rules(RequestId(0), (PodId(3), 1.0), &round(1.0)),
        Err(Refusal::ExposureCap)
    );
}

#[test]
fn a_key_that_met_the_new_build_stays_there() {
    let mut gate = gate(0, Phase::OnTrial, 1.0);
    gate.key_builds.insert(RoutingKey(5), BuildId(2));
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round(1.0)),
        Err(Refusal::StickyKey)
    );
}

/// A whole answer may have come though its connection broke under it or was given up: its key stays all the same. What never
/// ran, or failed by the pod's word, binds nothing. Without the mend only what was delivered does.
#[rstest]
#[case::delivered(AttemptOutcome::Succeeded, true)]
#[case::broken(AttemptOutcome::ConnectionReset, true)]
#[case::timed_out(AttemptOutcome::TimedOut, true)]
#[case::cancelled(AttemptOutcome::Cancelled, true)]
#[case::failed(AttemptOutcome::Failed, false)]
#[case::turned_away(AttemptOutcome::Rejected, false)]
#[case::unreached(AttemptOutcome::ConnectFailed, false)]
fn a_key_whose_answer_may_have_come_stays(#[case] fate: AttemptOutcome, #[case] stays: bool) {
    let mut gate = gate(0, Phase::OnTrial, 1.0);
    let mut round = round(1.0);
    gate.start_attempt(RequestId(0), PodId(3), &mut round);
    let (hit, no, pod, took) = (RequestId(0), AttemptIndex(0), PodId(3), at(0.1));
    gate.end_attempt(
        AttemptResult {
            request: hit,
            attempt: no,
            pod,
            outcome: fate,
            duration: took,
            request_over: false,
        },
        &mut round,
    );
    while let Some((to, note)) = round.mailboxes.pop() {
        if to == Component::AdmissionControl {
            gate.take(note, &mut round);
        }
    }
    let want = if stays {
        Err(Refusal::StickyKey)
    } else {
        Ok(())
    };
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round),
        want
    );
}

/// A judge on build 2 with pods 3 and 5 on trial; each entry is (pod, errors, outcomes, time).
fn judge(new: &[(u64, usize, usize, f64)], old: (usize, usize, f64)) -> CanaryAnalysis {
    let mut judge = CanaryAnalysis {
        stage: Some(news(Phase::OnTrial, 0.2)),
        ..CanaryAnalysis::default()
    };
    let fill = |sample: &mut CanarySample, (id, bad, seen, time): (u64, usize, usize, f64)| {
        (0..seen).for_each(|n| {
            sample.record(
                ClassId(0),
                PodId(id),
                if n < bad {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Succeeded
                },
                Some(time),
            )
        });
    };
    new.iter().for_each(|part| fill(&mut judge.trial, *part));
    fill(&mut judge.baseline, (0, old.0, old.1, old.2));
    judge
        .endpoints
        .extend([pod(0, 1), pod(3, 2), pod(5, 2)].map(|entry| (entry.pod, entry)));
    judge
}

#[rstest]
#[case::sound(&[(3, 0, 30, 0.1), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::errs(&[(3, 8, 30, 0.1), (5, 9, 30, 0.1)], (1, 200, 0.1), Verdict::RollBack)]
#[case::both_builds_err(&[(3, 8, 30, 0.1), (5, 9, 30, 0.1)], (60, 200, 0.1), Verdict::Abstain)]
#[case::one_sick_pod(&[(3, 28, 30, 0.1), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::slow(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 200, 0.1), Verdict::RollBack)]
#[case::one_slow_pod(&[(3, 0, 40, 0.9), (5, 0, 30, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
#[case::slow_with_no_earlier_build(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 0, 0.1), Verdict::Abstain)]
#[case::few(&[(3, 5, 9, 0.1), (5, 5, 9, 0.1)], (0, 200, 0.1), Verdict::Abstain)]
fn the_judge_sends_back_what_is_bad_on_most_pods(
    #[case] new: &[(u64, usize, usize, f64)],
    #[case] old: (usize, usize, f64),
    #[case] want: Verdict,
) {
    let mut judge = judge(new, old);
    let figures = round(30.0).config;
    judge.regressed = judge.is_regression(at(30.0), &figures);
    assert_eq!(judge.verdict(at(30.0), &figures), want);
}

/// What a cold pod takes is the time of its start and its queue: it counts as an outcome, not as a time.
#[rstest]
#[case::cold(Some(at(0.5)), 0)]
#[case::warm(None, 1)]
fn a_cold_pods_time_tells_nothing_of_its_build(
    #[case] started: Option<Duration>,
    #[case] times: usize,
) {
    let mut judge = judge(&[], (0, 0, 0.1));
    judge.machine_latency.insert(
        MachineTypeId(0),
        RunningMean {
            value: 0.1,
            count: 50,
        },
    );
    judge.endpoints.insert(
        PodId(0),
        Endpoint {
            started_at: started,
            ..pod(0, 1)
        },
    );
    judge.record_outcome(&ended(AttemptOutcome::Succeeded), &round(1.0).config);
    assert_eq!(
        (
            judge.baseline.total().outcomes,
            judge.baseline.latencies().len()
        ),
        (1, times)
    );
}

#[rstest]
#[case::short(2.0, true, Verdict::Hold)]
#[case::held_long_enough(30.0, true, Verdict::Abstain)]
#[case::no_clock(2.0, false, Verdict::Abstain)]
fn a_short_sample_holds_the_clock(#[case] now: f64, #[case] clock: bool, #[case] want: Verdict) {
    let figures = DerivedConfig {
        clock_controlled: clock,
        ..round(now).config
    };
    assert_eq!(
        judge(&[(3, 0, 5, 0.1)], (0, 200, 0.1)).verdict(at(now), &figures),
        want
    );
}

#[test]
fn a_standing_vote_is_not_repeated() {
    let (mut judge, mut round) = (judge(&[(3, 0, 5, 0.1)], (0, 200, 0.1)), round(1.0));
    let (build, stage) = (BuildId(2), StageIndex(0));
    judge.counted_vote = Some(Vote {
        verdict: Verdict::Hold,
        build,
        stage,
        cast_at: at(0.5),
    });
    judge.vote(&mut round);
    assert_eq!(round.actions, []);
}

fn ended(fate: AttemptOutcome) -> AttemptEnded {
    let (hit, no, pod, took) = (RequestId(0), AttemptIndex(0), PodId(0), at(0.002));
    let outcome = AttemptResult {
        request: hit,
        attempt: no,
        pod,
        outcome: fate,
        duration: took,
        request_over: false,
    };
    AttemptEnded {
        result: outcome,
        class: ClassId(0),
        build: BuildId(1),
        sent_at: at(1.0),
        request_open: true,
        tenant: None,
        tenant_outlier: false,
    }
}

#[test]
fn a_pod_that_fails_at_once_is_shut_and_not_taken_for_quick() {
    let (mut pod, round) = (OutlierDetector::new(pod(0, 1)), round(1.0));
    (0..3).for_each(|_| pod.record_outcome(&ended(AttemptOutcome::Failed), &round));
    assert!(pod.health.ejected_until > round.now && pod.health.latency_ratio.count == 0);
}

/// A reset may be the fault of one connection; a pod that can't be reached is shut at once.
#[rstest]
#[case::one_reset(AttemptOutcome::ConnectionReset, 1, false)]
#[case::three_resets(AttemptOutcome::ConnectionReset, 3, true)]
#[case::unreached(AttemptOutcome::ConnectFailed, 1, true)]
fn signs_against_a_pod_shut_it(
    #[case] fate: AttemptOutcome,
    #[case] times: usize,
    #[case] shut: bool,
) {
    let (mut pod, round) = (OutlierDetector::new(pod(0, 1)), round(1.0));
    (0..times).for_each(|_| pod.record_outcome(&ended(fate), &round));
    assert_eq!(!pod.health.ejected_until.is_zero(), shut);
}

#[rstest]
#[case::still_silent(None, true)]
#[case::answered(Some(AttemptOutcome::Succeeded), false)]
#[case::called_off(Some(AttemptOutcome::Cancelled), true)]
fn a_quiet_pod_stays_shut_until_it_answers(
    #[case] fate: Option<AttemptOutcome>,
    #[case] shut: bool,
) {
    let (mut pod, mut round) = (OutlierDetector::new(pod(0, 1)), round(9.0));
    pod.in_flight
        .insert((RequestId(0), AttemptIndex(0)), at(1.0));
    pod.take(Message::Tick, &mut round);
    fate.into_iter()
        .for_each(|fate| pod.take(Message::AttemptEnded(ended(fate)), &mut round));
    assert_eq!(!pod.health.ejected_until.is_zero(), shut);
}

#[test]
fn a_new_pod_of_unknown_pace_is_not_the_cheapest() {
    let (mut desk, round) = (LoadBalancer::default(), round(1.0));
    desk.machine_latency.insert(
        MachineTypeId(0),
        RunningMean {
            value: 0.3,
            count: 50,
        },
    );
    let card = |of| {
        let pace = RunningMean {
            value: if of > 0 { 0.2 } else { 0.0 },
            count: of,
        };
        EndpointSnapshot {
            endpoint: pod(0, 1),
            rank: 0,
            ready: true,
            in_flight: 0,
            latency_ratio: pace,
            usable: true,
            wants_health_check: false,
            last_served_at: Duration::ZERO,
        }
    };
    assert!(desk.cost(&card(0), 1.0, &round) > desk.cost(&card(10), 1.0, &round));
    assert!(desk.cost(&card(1), 1.0, &round) > desk.cost(&card(10), 1.0, &round));
}

#[rstest]
#[case::decides_alone(2.0, 1.0, 20, 1.5)]
#[case::one_of_many_decides(45.0, 1.0, 20, 2.76)]
#[case::many_must_agree(600.0, 30.0, 4, 2.45)]
fn evidence_goes_by_the_votes_needed(
    #[case] sidecars: f64,
    #[case] back_votes: f64,
    #[case] least: usize,
    #[case] far: f64,
) {
    let figures = DerivedConfig {
        sidecar_count: sidecars,
        rollback_quorum: back_votes,
        ..round(0.0).config
    };
    assert_eq!(min_sample(&figures), least);
    assert!((significance_threshold(&figures) - far).abs() < 0.01);
}

#[rstest]
#[case::one_error_a_pod(&[1, 1, 1, 0, 0, 0], true)]
#[case::a_sick_pod(&[9, 0, 0, 0, 0, 0], false)]
#[case::two_sick_pods(&[9, 8, 0, 0, 0, 0], false)]
#[case::everywhere(&[5, 7, 4, 6, 8, 5], true)]
fn a_fault_of_the_build_is_spread_over_its_pods(#[case] errors: &[usize], #[case] want: bool) {
    let parts: Vec<_> = (10..)
        .zip(errors)
        .map(|(pod, errors)| (pod, *errors, 10, 0.1))
        .collect();
    assert_eq!(
        judge(&parts, (0, 100, 0.1)).is_spread_evenly(2, |p| p.failures),
        want
    );
}

#[test]
fn time_outs_with_no_earlier_build_beside_speak_against_none() {
    let mut judge = judge(&[], (0, 0, 0.1));
    for n in 0..40 {
        judge
            .trial
            .record(ClassId(0), PodId(n % 5), AttemptOutcome::TimedOut, None);
    }
    judge
        .previous_baseline
        .record(ClassId(0), PodId(9), AttemptOutcome::Succeeded, None);
    assert!(!judge.is_regression(at(9.0), &round(9.0).config));
}

/// Hundreds of sidecars with a tenth of a forward each for a cold pod: a tenth of them may send one.
#[rstest]
#[case::unlucky(0.5, Err(Refusal::SlowStart))]
#[case::lucky(0.95, Ok(()))]
fn less_than_a_forward_to_a_cold_pod_is_granted_by_chance(
    #[case] luck: f64,
    #[case] want: Result<(), Refusal>,
) {
    let (mut gate, round) = (gate(0, Phase::Released, 1.0), round(8.0));
    gate.success_rate.record(at(8.0), RATE_SMOOTHING);
    let place = gate.endpoints.get_mut(PodId(0)).unwrap();
    (place.endpoint.started_at, place.fractional_allowance) = (Some(at(7.9)), luck);
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round),
        want
    );
}

#[rstest]
#[case::errs_alone(0.8, 0.0, true)]
#[case::all_err(0.8, 0.7, false)]
#[case::sound(0.1, 0.0, false)]
fn one_customers_errors_are_its_own_where_others_fare_well(
    #[case] own: f64,
    #[case] other: f64,
    #[case] want: bool,
) {
    let mut gate = gate(0, Phase::Released, 1.0);
    for (customer, value) in [(0, own), (1, other)] {
        gate.tenant_failures
            .insert(TenantId(customer), RunningMean { value, count: 30 });
    }
    assert_eq!(
        gate.is_tenant_outlier(TenantId(0), AttemptOutcome::Failed, false),
        want
    );
}

#[test]
fn errors_of_a_customers_own_shut_no_pod() {
    let (mut pod, round) = (OutlierDetector::new(pod(0, 1)), round(1.0));
    (0..9).for_each(|_| {
        pod.record_outcome(
            &AttemptEnded {
                tenant_outlier: true,
                ..ended(AttemptOutcome::Failed)
            },
            &round,
        )
    });
    assert!(pod.health.ejected_until.is_zero());
}

fn card(entry: Endpoint) -> EndpointSnapshot {
    let pace = RunningMean {
        value: 0.2,
        count: 10,
    };
    let rank = rendezvous_rank(1, entry.pod.0);
    EndpointSnapshot {
        endpoint: entry,
        rank,
        ready: true,
        in_flight: 0,
        latency_ratio: pace,
        usable: true,
        wants_health_check: false,
        last_served_at: Duration::ZERO,
    }
}

/// A desk with so many pods alike, and hit 0 of customer 0.
fn desk(pods: u64) -> LoadBalancer {
    let mut desk = LoadBalancer::default();
    (0..pods).for_each(|id| desk.table.put(card(pod(id, 1))));
    let customer = Some(TenantId(0));
    let hit = Request {
        id: RequestId(0),
        class: ClassId(0),
        tenant: customer,
        routing_key: None,
        deadline: at(9.0),
    };
    desk.requests
        .insert(hit.id, OpenRequest::new(&hit, at(5.0)));
    desk
}

#[test]
fn pods_alike_get_hits_alike() {
    let (mut desk, mut round) = (desk(5), round(5.0));
    let mut firsts = BTreeMap::new();
    for _ in 0..500 {
        desk.place(RequestId(0), &mut round);
        let Some((
            _,
            Message::AttemptProposed {
                candidates: bids, ..
            },
        )) = round.mailboxes.pop()
        else {
            panic!("no pod asked for")
        };
        *firsts
            .entry(bids.iter().max().map(|best| best.pod))
            .or_insert(0) += 1;
    }
    assert!(
        firsts.len() == 5 && firsts.values().all(|n| (50..200).contains(n)),
        "{firsts:?}"
    );
}

#[test]
fn the_few_pods_in_use_stay_when_one_is_shut() {
    let mut desk = desk(40);
    let in_use = |desk: &mut LoadBalancer| {
        desk.summary.refresh(&mut desk.table);
        let [(last, part), _] = desk.endpoints_in_use(&round(1.0));
        let cards: Vec<EndpointSnapshot> = desk
            .table
            .iter()
            .filter(|c| c.usable && c.rank_key() >= last)
            .cloned()
            .collect();
        (cards, part)
    };
    let (before, part) = in_use(&mut desk);
    assert!(before.len() == MIN_ENDPOINTS_IN_USE && (part - 0.125).abs() < 1e-9);
    desk.table.put(EndpointSnapshot {
        usable: false,
        ..before[0].clone()
    });
    let (after, _) = in_use(&mut desk);
    let stays = |card: &EndpointSnapshot| after.iter().any(|c| c.endpoint.pod == card.endpoint.pod);
    assert!(after.len() == MIN_ENDPOINTS_IN_USE && before[1..].iter().all(stays));
}

/// Bids for pods of a side that has none usable stand for the whole of it, or rule 4's budget would have no bound.
#[test]
fn pods_that_are_all_shut_are_used_as_a_whole() {
    let mut desk = desk(3);
    for id in 0..3 {
        let card = desk.table.get(PodId(id)).cloned().unwrap();
        desk.table.put(EndpointSnapshot {
            usable: false,
            ..card
        });
    }
    desk.summary.refresh(&mut desk.table);
    assert_eq!(
        desk.endpoints_in_use(&round(1.0)).map(|(_, part)| part),
        [1.0, 1.0]
    );
}

#[test]
fn a_pod_that_has_long_been_gone_is_forgotten_and_one_that_came_back_is_not() {
    let (mut lister, mut round) = (EndpointTracker::default(), round(0.0));
    let gone = |id| Endpoint {
        state: PodState::Gone,
        ..pod(id, 1)
    };
    lister.take(
        Message::EndpointsUpdated(EndpointUpdate::Delta(vec![gone(0), gone(1)])),
        &mut round,
    );
    round.now = at(60.0);
    lister.take(
        Message::EndpointsUpdated(EndpointUpdate::Delta(vec![pod(1, 1)])),
        &mut round,
    );
    round.now = FORGET_GONE_AFTER;
    while let Some((to, note)) = round.timers.pop_due(FORGET_GONE_AFTER) {
        round.mailboxes.push(to, note);
    }
    let mut forgotten = Vec::new();
    while let Some((to, note)) = round.mailboxes.pop() {
        match (to, note) {
            (Component::EndpointTracker, note) => lister.take(note, &mut round),
            (Component::AdmissionControl, Message::EndpointForgotten(pod)) => forgotten.push(pod),
            _ => {}
        }
    }
    assert_eq!(forgotten, [PodId(0)]);
}

#[rstest]
#[case::an_older_pod_still_runs(1, Some(RoutingKey(5)), Err(Refusal::StickyKey))]
#[case::nothing_older_runs(2, Some(RoutingKey(5)), Err(Refusal::StickyKey))]
#[case::a_hit_without_a_key(2, None, Ok(()))]
fn keys_of_a_released_build_stay_also_once_they_are_not_told_apart(
    #[case] lowest: u16,
    #[case] key: Option<RoutingKey>,
    #[case] want: Result<(), Refusal>,
) {
    let mut gate = gate(0, Phase::Released, 1.0);
    gate.key_builds.insert(RoutingKey(5), BuildId(2));
    gate.requests.get_mut(&RequestId(0)).unwrap().routing_key = key;
    remove_builds_below(&mut gate, lowest);
    gate.compact_keys(&round(1.0));
    assert_eq!(gate.key_builds.is_empty(), lowest == 2);
    // An older machine comes back.
    gate.endpoints.update(pod(0, 1), at(1.0), 0.0);
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(0), 1.0), &round(1.0)),
        want
    );
}

#[test]
fn a_halved_sample_keeps_its_shares_and_its_later_times() {
    let mut sample = CanarySample::default();
    for n in 0..100 {
        let fate = if n % 4 == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        sample.record(
            ClassId(0),
            PodId(n % 2),
            fate,
            Some(if n < 50 { 9.0 } else { 1.0 }),
        );
    }
    sample.halve();
    let all = sample.total();
    assert!((all.outcomes, all.failures) == (50, 12) && sample.latencies().len() == 50);
    assert!(sample.latencies().iter().all(|time| *time == 1.0));
}

#[rstest]
#[case::one_open_hit(1, 0.1, 0, 0.0)]
#[case::many_open_hits(60, 0.1, 0, 1.0)]
#[case::late_answers(0, 1.5, 0, 1.0)]
#[case::another_customers_late_answers(0, 1.5, 1, 0.0)]
fn overload_is_told_by_more_open_hits_than_chance_or_by_late_answers(
    #[case] open: u64,
    #[case] took: f64,
    #[case] of: u32,
    #[case] want: f64,
) {
    let (mut desk, mut round) = (desk(3), round(5.0));
    for n in 1..=open {
        let hit = Request {
            id: RequestId(n),
            class: ClassId(0),
            tenant: None,
            routing_key: None,
            deadline: at(9.0),
        };
        desk.requests.insert(
            hit.id,
            OpenRequest {
                attempts_in_flight: 1,
                last_pod: Some(PodId(0)),
                ..OpenRequest::new(&hit, at(4.9))
            },
        );
    }
    for _ in 0..5 {
        desk.tenant_latency
            .entry(Some(TenantId(of)))
            .or_default()
            .add(took, at(5.0), TENANT_LATENCY_DECAY, 5.0);
    }
    round.now = at(5.1);
    assert_eq!(desk.overload(Some(TenantId(0)), &round), want);
}

#[test]
fn outcomes_are_read_before_hits_that_came_meanwhile() {
    let hit = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        routing_key: None,
        deadline: at(9.0),
    };
    let events = in_processing_order(vec![
        Event::RequestArrived(hit),
        Event::ClientDisconnected(RequestId(2)),
        Event::AttemptFinished(ended(AttemptOutcome::Succeeded).result),
    ]);
    assert!(matches!(
        events[..],
        [
            Event::AttemptFinished(_),
            Event::RequestArrived(_),
            Event::ClientDisconnected(_)
        ]
    ));
}

#[test]
fn lists_and_stage_news_are_read_before_outcomes_that_send_hits_on() {
    let news = Some(news(Phase::OnTrial, 0.0));
    let events = in_processing_order(vec![
        Event::AttemptFinished(ended(AttemptOutcome::ConnectFailed).result),
        Event::Stage {
            update: news,
            vote_answer: None,
        },
        Event::Endpoints(EndpointUpdate::Delta(vec![pod(0, 2)])),
    ]);
    assert!(matches!(
        events[..],
        [
            Event::Stage { .. },
            Event::Endpoints(_),
            Event::AttemptFinished(_)
        ]
    ));
}

/// The list shows a build before the news does: its keys outlive the marks of the build released before it.
#[test]
fn keys_of_a_build_not_announced_yet_are_kept() {
    let mut gate = gate(0, Phase::Released, 1.0);
    gate.key_builds.insert(RoutingKey(5), BuildId(3));
    remove_builds_below(&mut gate, 2);
    gate.compact_keys(&round(1.0));
    let news = StageUpdate {
        build: BuildId(3),
        ..news(Phase::OnTrial, 0.5)
    };
    gate.take(Message::StageUpdated(news), &mut round(1.1));
    assert_eq!(
        gate.check_rules(RequestId(0), (PodId(3), 1.0), &round(1.2)),
        Err(Refusal::StickyKey)
    );
}

#[rstest]
#[case::just_started(10.0, false)]
#[case::settled(13.0, true)]
fn slowness_speaks_only_once_the_newest_machine_has_run_for_the_least_time(
    #[case] now: f64,
    #[case] want: bool,
) {
    let mut judge = judge(&[(3, 0, 30, 0.4), (5, 0, 30, 0.4)], (0, 200, 0.1));
    judge.endpoints.get_mut(&PodId(3)).unwrap().started_at = Some(at(9.5));
    assert_eq!(judge.is_regression(at(now), &round(now).config), want);
}

/// Where dozens must agree, one error among a light sidecar's few outcomes speaks against a build; where one
/// decides alone, or where the earlier build errs as well, it does not.
#[rstest]
#[case::many_agree(300.0, 76.0, (1, 5), (0, 40), true)]
#[case::of_many_outcomes(300.0, 76.0, (1, 19), (0, 200), true)]
#[case::within_the_margin(300.0, 76.0, (2, 50), (0, 200), false)]
#[case::the_earlier_is_hardly_known(300.0, 76.0, (1, 5), (0, 5), false)]
#[case::the_earlier_errs_too(300.0, 76.0, (1, 5), (3, 40), false)]
#[case::decides_alone(300.0, 1.0, (2, 6), (0, 40), false)]
fn few_signs_do_where_many_agree(
    #[case] sidecars: f64,
    #[case] back_votes: f64,
    #[case] new: (usize, usize),
    #[case] old: (usize, usize),
    #[case] want: bool,
) {
    let figures = DerivedConfig {
        sidecar_count: sidecars,
        rollback_quorum: back_votes,
        ..round(0.0).config
    };
    assert_eq!(is_rare_sign(new, old, ERROR_MARGIN, &figures), want);
}

/// Takes votes as the platform does: so many calls a second, and twice that many at one time.
struct Votes {
    left: f64,
    last: Duration,
    standing: BTreeMap<usize, Vote>,
}

impl Votes {
    fn call(&mut self, from: usize, vote: Vote, allowance: f64) -> VoteAnswer {
        let filled = (vote.cast_at - self.last).as_secs_f64() * allowance;
        (self.left, self.last) = ((self.left + filled).min(2.0 * allowance), vote.cast_at);
        if self.left < 1.0 {
            return VoteAnswer::Full;
        }
        self.left -= 1.0;
        self.standing.insert(from, vote);
        VoteAnswer::Counted
    }

    fn stand(&self, verdict: Verdict, now: Duration, life: Duration) -> usize {
        self.standing
            .values()
            .filter(|v| v.verdict == verdict && now < v.cast_at + life)
            .count()
    }
}

/// Of 300 sidecars many want a build back, from when they know: the votes it takes stand together within a life and
/// a half of a vote, or two if they come to know in the middle of a window (the rest of it, the rest after it and
/// the time that the allowance takes), also while a part of the fleet is dead or late.
#[rstest]
#[case::all_from_the_start(300, 0.0, 1.0, 0.0, 1.5)]
#[case::all_at_a_windows_end(300, 5.6, 1.0, 0.0, 1.5)]
#[case::hardly_enough(84, 0.0, 1.0, 0.0, 1.5)]
#[case::hardly_enough_later(84, 7.3, 1.0, 0.0, 1.5)]
#[case::a_third_is_dead(300, 3.0, 0.67, 0.0, 2.0)]
#[case::a_third_heard_late(300, 4.5, 1.0, 1.5, 2.0)]
fn the_votes_needed_stand_together(
    #[case] wanting: usize,
    #[case] from: f64,
    #[case] alive: f64,
    #[case] late: f64,
    #[case] lives: f64,
) {
    let (sidecars, allowance, life) = (300, 16.0, at(4.0));
    let figures = |own_number| DerivedConfig {
        sidecar_count: sidecars as f64,
        sidecar_index: own_number,
        rollback_quorum: 76.0,
        max_quorum: 76.0,
        hold_quorum: 31.0,
        vote_rate_limit: allowance,
        ..round(0.0).config
    };
    let start = |own: usize| {
        let mut judge = CanaryAnalysis::default();
        let heard = if own.is_multiple_of(3) { late } else { 0.0 };
        let mut round = Context {
            config: figures(own as u32),
            ..round(heard)
        };
        judge.enter_stage(
            StageUpdate {
                age: at(heard),
                ..news(Phase::OnTrial, 0.2)
            },
            &round,
        );
        round.now = Duration::ZERO;
        (judge, round)
    };
    let mut fleet: Vec<(CanaryAnalysis, Context)> = (0..sidecars).map(start).collect();
    let mut votes = Votes {
        left: 2.0 * allowance,
        last: Duration::ZERO,
        standing: BTreeMap::new(),
    };
    let mut under_way: Vec<(Duration, usize, VoteAnswer)> = Vec::new();
    for step in 0..800u32 {
        let now = TICK_INTERVAL * step;
        let due = under_way
            .extract_if(.., |(when, ..)| *when <= now)
            .collect::<Vec<_>>();
        for (_, from, answer) in due {
            let (judge, round) = &mut fleet[from];
            round.now = now;
            judge.take(Message::VoteAnswered(answer), round);
        }
        for (own, (judge, round)) in fleet.iter_mut().enumerate() {
            // Whose number is dead or wants says nothing of its turn.
            let place = own * 7 % sidecars;
            if place as f64 >= alive * sidecars as f64 {
                continue;
            }
            round.now = now;
            judge.regressed = place < wanting && now >= at(from);
            judge.vote(round);
            for action in std::mem::take(&mut round.actions) {
                let Action::Vote {
                    verdict,
                    build,
                    stage,
                } = action
                else {
                    continue;
                };
                let answer = votes.call(
                    own,
                    Vote {
                        verdict,
                        build,
                        stage,
                        cast_at: now,
                    },
                    allowance,
                );
                under_way.push((now + TICK_INTERVAL * 2, own, answer));
            }
        }
        if votes.stand(Verdict::RollBack, now, life) >= 76 {
            assert!(
                now <= at(from) + life.mul_f64(lives) + TICK_INTERVAL * 2,
                "only after {:?}",
                now - at(from)
            );
            return;
        }
    }
    panic!("they never stood together");
}

/// Where every vote can be carried, a sidecar waits for no turn.
#[test]
fn with_an_ample_allowance_votes_are_called_at_once() {
    let (mut judge, mut round) = (judge(&[], (0, 200, 0.1)), round(0.0));
    round.config = DerivedConfig {
        vote_rate_limit: 25.0,
        sidecar_count: 50.0,
        ..round.config
    };
    judge.regressed = true;
    judge.vote(&mut round);
    assert!(round.actions.iter().any(|a| matches!(
        a,
        Action::Vote {
            verdict: Verdict::RollBack,
            ..
        }
    )));
}

/// The fleet's order and number of pods take the place of its own; never fewer.
#[rstest]
#[case::as_told(3, vec![4, 9, 2], 5)]
#[case::more(8, vec![4, 9, 2], 8)]
fn a_fleets_view_moves_the_choice(
    #[case] uses: usize,
    #[case] order: Vec<u64>,
    #[case] used: usize,
) {
    let (mut desk, mut round) = (desk(40), round(1.0));
    let order: Vec<PodId> = order.into_iter().map(PodId).collect();
    round.set_fleet_view(Some(FleetView {
        preference: order.clone(),
        min_endpoints: uses,
        probed_by_peers: BTreeSet::new(),
    }));
    let cards: Vec<EndpointSnapshot> = desk.table.iter().cloned().collect();
    cards.into_iter().for_each(|card| {
        desk.table.put(EndpointSnapshot {
            rank: round.rank(card.endpoint.pod),
            ..card
        })
    });
    desk.summary.refresh(&mut desk.table);
    let [((last, _), part), _] = desk.endpoints_in_use(&round);
    let mut first: Vec<&EndpointSnapshot> =
        desk.table.iter().filter(|card| card.rank >= last).collect();
    first.sort_by_key(|card| std::cmp::Reverse(card.rank));
    assert_eq!(first.len(), used);
    assert!(first.iter().map(|card| card.endpoint.pod).take(3).eq(order));
    assert!((part - used as f64 / 40.0).abs() < 1e-9);
}

/// A shut pod that others are to prove does not ask for a proof here; own outcomes still open it.
#[rstest]
#[case::own_turn(vec![], true)]
#[case::others_turn(vec![0], false)]
fn a_proof_that_is_others_turn_waits(#[case] held: Vec<u64>, #[case] proves: bool) {
    let mut round = round(9.0);
    round.set_fleet_view(Some(FleetView {
        probed_by_peers: held.into_iter().map(PodId).collect(),
        ..FleetView::default()
    }));
    let mut shut = OutlierDetector::new(pod(0, 1));
    shut.health.ejected_until = at(1.0);
    shut.publish_snapshot(&mut round);
    let Some((_, Message::SnapshotPublished(card))) = round.mailboxes.pop() else {
        panic!("no card")
    };
    assert_eq!((card.usable, card.wants_health_check), (false, proves));
}
