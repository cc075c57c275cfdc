//! Each kind of violation is found in a record that contains it, and near misses are not reported.

use limewing_rule_checker::checker::RuleChecker;
use limewing_rule_checker::record::{
    read, AttemptKey, DeduplicationScope, Event, FinalAnswer, Idempotency, Phase, PodId,
    RecordLine, RequestClass, RequestId, RuleLimits, SidecarId,
};
use limewing_rule_checker::report::Rule;
use rstest::rstest;
use std::time::Duration;

const SIDECAR: SidecarId = SidecarId(1);
const REQUEST: AttemptKey = AttemptKey::new(RequestId(7), 0);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Request classes: 0 idempotent, 1 with an idempotency key that the pods of a zone remember for 2 s, 2 not idempotent.
fn limits() -> RuleLimits {
    let class = |idempotency| RequestClass {
        name: String::new(),
        idempotency,
        latency_objective: s(1.0),
        priority_weight: 1.0,
    };
    let keyed = Idempotency::Keyed {
        deduplicated_by: DeduplicationScope::Zone,
        window: s(2.0),
    };
    RuleLimits {
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        answer_slack: s(0.02),
        drain_grace: s(1.0),
        slow_start_from: 0.5,
        slow_start_duration: s(4.0),
        overload_multiple: 2.0,
        overload_window: s(2.0),
        exposure_caps: vec![0.2, 1.0],
        exposure_window: s(2.0),
        exposure_free: 1.0,
        exposure_per_class: false,
        guarded_stages: 1,
        sticky_keys: true,
    }
}

fn pod_started(pod: u32, build: u16, warming_up: bool) -> Event {
    let zone = (pod % 2) as u16;
    Event::PodStarted {
        pod: PodId(pod),
        build,
        zone,
        cell: 0,
        capacity: 1.0,
        warming_up,
    }
}

fn request_sent(attempt: AttemptKey, class: usize) -> Event {
    Event::RequestSent {
        sidecar: SIDECAR,
        attempt,
        class,
        timeout: s(1.0),
        routing_key: Some(5),
    }
}

fn attempt_arrived(pod: u32, attempt: AttemptKey, class: usize) -> Event {
    Event::AttemptArrived {
        pod: PodId(pod),
        sidecar: SIDECAR,
        attempt,
        class,
        work: s(0.2),
    }
}

fn answered(attempt: AttemptKey, answer: FinalAnswer, build: Option<u16>) -> Event {
    Event::Answered {
        sidecar: SIDECAR,
        attempt,
        answer,
        status: 200,
        build,
    }
}

fn answer_started(attempt: AttemptKey) -> Event {
    Event::AnswerStarted {
        sidecar: SIDECAR,
        attempt,
    }
}

fn endpoints(ready: &[u32], draining: &[u32]) -> Event {
    let pods = |list: &[u32]| list.iter().map(|pod| PodId(*pod)).collect();
    Event::EndpointsNotified {
        sidecar: SIDECAR,
        ready: pods(ready),
        draining: pods(draining),
    }
}

fn stage(build: u16, stage: u8, phase: Phase, cap: f64) -> Event {
    Event::StageNotified {
        sidecar: SIDECAR,
        number: 0,
        build,
        stage,
        phase,
        cap,
    }
}

fn stage_update(number: u64, phase: Phase, cap: f64) -> Event {
    Event::StageNotified {
        sidecar: SIDECAR,
        number,
        build: 2,
        stage: 1,
        phase,
        cap,
    }
}

/// Returns the rules that a record with these events violates. Pods 0 and 1 run build 1, pod 2 runs build 2; all are listed, and build
/// 2 is a canary in its second stage with a cap of one fifth.
fn violated_rules(events: Vec<(f64, Event)>) -> Vec<Rule> {
    let start = vec![
        (
            0.0,
            Event::Begin {
                day: String::new(),
                limits: limits(),
            },
        ),
        (0.0, Event::SidecarStarted { sidecar: SIDECAR }),
        (0.0, pod_started(0, 1, false)),
        (0.0, pod_started(1, 1, false)),
        (0.0, pod_started(2, 2, false)),
        (0.0, endpoints(&[0, 1, 2], &[])),
        (0.0, stage(2, 1, Phase::OnTrial, 0.2)),
    ];
    let all = start
        .into_iter()
        .chain(events)
        .chain([(60.0, Event::End {})]);
    let lines: Vec<RecordLine> = all
        .map(|(at, event)| RecordLine { at: s(at), event })
        .collect();
    let report = RuleChecker::new(&lines).unwrap().report();
    report
        .violated_results()
        .map(|result| result.rule)
        .collect()
}

#[rstest]
#[case::answered_in_time(vec![(1.0, request_sent(REQUEST, 0)), (1.9, answered(REQUEST, FinalAnswer::Delivered, None))], false)]
#[case::answered_late(vec![(1.0, request_sent(REQUEST, 0)), (2.1, answered(REQUEST, FinalAnswer::Delivered, None))], true)]
#[case::answered_twice(vec![(1.0, request_sent(REQUEST, 0)), (1.1, answered(REQUEST, FinalAnswer::Delivered, None)), (1.2, answered(REQUEST, FinalAnswer::Failed, None))], true)]
#[case::unexpected_bytes(vec![(1.0, request_sent(REQUEST, 0)), (1.1, answered(REQUEST, FinalAnswer::Delivered, None)), (1.2, Event::UnexpectedAnswer { sidecar: SIDECAR, attempt: None })], true)]
#[case::never_answered(vec![(1.0, request_sent(REQUEST, 0))], true)]
#[case::connection_dropped(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::ConnectionLost { attempt: REQUEST, written: true })], true)]
#[case::sidecar_killed(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::SidecarExited { sidecar: SIDECAR })], false)]
#[case::sent_to_an_exited_sidecar(vec![(0.9, Event::SidecarExited { sidecar: SIDECAR }), (1.0, request_sent(REQUEST, 0)), (1.0, Event::ConnectionLost { attempt: REQUEST, written: true })], false)]
#[case::not_taken_by_a_draining_sidecar(vec![(0.9, Event::SidecarDraining { sidecar: SIDECAR }), (1.0, request_sent(REQUEST, 0)), (1.0, Event::ConnectionLost { attempt: REQUEST, written: true })], false)]
#[case::forwarded_by_a_draining_sidecar(vec![(0.9, Event::SidecarDraining { sidecar: SIDECAR }), (1.0, request_sent(REQUEST, 0)), (1.1, attempt_arrived(0, REQUEST, 0)), (1.2, Event::ConnectionLost { attempt: REQUEST, written: true })], true)]
#[case::suspended(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::SidecarSuspended { sidecar: SIDECAR }), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (3.01, answered(REQUEST, FinalAnswer::Failed, None))], false)]
#[case::answered_late_after_resuming(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::SidecarSuspended { sidecar: SIDECAR }), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (3.2, answered(REQUEST, FinalAnswer::Failed, None))], true)]
#[case::client_timeout_as_it_resumes(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::SidecarSuspended { sidecar: SIDECAR }), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (3.0, Event::ClientTimedOut { attempt: REQUEST })], false)]
#[case::client_timeout_after_it_resumed(vec![(1.0, request_sent(REQUEST, 0)), (1.1, Event::SidecarSuspended { sidecar: SIDECAR }), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (3.2, Event::ClientTimedOut { attempt: REQUEST })], true)]
#[case::sent_while_suspended(vec![(1.0, Event::SidecarSuspended { sidecar: SIDECAR }), (1.1, request_sent(REQUEST, 0)), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (3.5, answered(REQUEST, FinalAnswer::Delivered, None))], false)]
#[case::sent_while_suspended_and_answered_late(vec![(1.0, Event::SidecarSuspended { sidecar: SIDECAR }), (1.1, request_sent(REQUEST, 0)), (3.0, Event::SidecarResumed { sidecar: SIDECAR }), (4.1, answered(REQUEST, FinalAnswer::Delivered, None))], true)]
#[case::stream_started_in_time(vec![(1.0, request_sent(REQUEST, 0)), (1.9, answer_started(REQUEST)), (4.0, answered(REQUEST, FinalAnswer::Delivered, None))], false)]
#[case::stream_that_breaks(vec![(1.0, request_sent(REQUEST, 0)), (1.9, answer_started(REQUEST)), (4.0, Event::ConnectionLost { attempt: REQUEST, written: true })], false)]
#[case::stream_started_late(vec![(1.0, request_sent(REQUEST, 0)), (2.1, answer_started(REQUEST))], true)]
#[case::stream_answered_again(vec![(1.0, request_sent(REQUEST, 0)), (1.5, answer_started(REQUEST)), (1.6, answered(REQUEST, FinalAnswer::Delivered, None)), (1.7, answered(REQUEST, FinalAnswer::Failed, None))], true)]
#[case::forwarded_during_a_stream(vec![(1.0, request_sent(REQUEST, 0)), (1.5, answer_started(REQUEST)), (1.6, attempt_arrived(0, REQUEST, 0)), (1.7, answered(REQUEST, FinalAnswer::Delivered, None))], true)]
#[case::forwarded_after_the_end(vec![(1.0, request_sent(REQUEST, 0)), (1.1, answered(REQUEST, FinalAnswer::Rejected, None)), (1.2, attempt_arrived(0, REQUEST, 0))], true)]
fn one_answer(#[case] events: Vec<(f64, Event)>, #[case] violated: bool) {
    assert_eq!(violated_rules(events).contains(&Rule::OneAnswer), violated);
}

#[rstest]
#[case::non_idempotent_once(2, vec![(1.1, attempt_arrived(0, REQUEST, 2))], false)]
#[case::non_idempotent_sent_twice(2, vec![(1.1, attempt_arrived(0, REQUEST, 2)), (1.3, attempt_arrived(1, REQUEST, 2))], true)]
#[case::non_idempotent_forwarded_by_the_retry(2, vec![(1.1, attempt_arrived(0, REQUEST, 2)), (1.3, attempt_arrived(1, AttemptKey::new(RequestId(7), 1), 2))], true)]
#[case::non_idempotent_rejected_by_the_pod(2, vec![(1.1, attempt_arrived(0, REQUEST, 2)), (1.2, Event::AttemptRejected { pod: PodId(0), attempt: REQUEST }), (1.3, attempt_arrived(1, REQUEST, 2))], false)]
#[case::non_idempotent_rejected_after_attempt(2, vec![(1.1, attempt_arrived(0, REQUEST, 2)), (1.3, answered(REQUEST, FinalAnswer::Rejected, None))], true)]
#[case::non_idempotent_rejected_unsent(2, vec![(1.3, answered(REQUEST, FinalAnswer::Rejected, None))], false)]
#[case::non_idempotent_executed_twice(2, vec![(1.2, Event::Executed { pod: PodId(0), attempt: REQUEST, effect: true }), (1.3, Event::Executed { pod: PodId(1), attempt: REQUEST, effect: true })], true)]
#[case::keyed_in_its_zone(1, vec![(1.1, attempt_arrived(0, REQUEST, 1)), (1.5, attempt_arrived(2, REQUEST, 1))], false)]
#[case::keyed_out_of_its_zone(1, vec![(1.1, attempt_arrived(0, REQUEST, 1)), (1.5, attempt_arrived(1, REQUEST, 1))], true)]
#[case::keyed_after_its_window(1, vec![(1.1, attempt_arrived(0, REQUEST, 1)), (3.2, attempt_arrived(2, REQUEST, 1))], true)]
#[case::idempotent(0, vec![(1.1, attempt_arrived(0, REQUEST, 0)), (1.2, attempt_arrived(1, REQUEST, 0))], false)]
fn no_effect_twice(
    #[case] class: usize,
    #[case] events: Vec<(f64, Event)>,
    #[case] violated: bool,
) {
    let events = [(1.0, request_sent(REQUEST, class))]
        .into_iter()
        .chain(events)
        .collect();
    assert_eq!(
        violated_rules(events).contains(&Rule::NoEffectTwice),
        violated
    );
}

#[rstest]
#[case::within_the_grace(endpoints(&[1, 2], &[0]), 1.9, false)]
#[case::past_the_grace(endpoints(&[1, 2], &[0]), 2.01, true)]
#[case::gone_from_the_list(endpoints(&[1, 2], &[]), 2.01, true)]
#[case::listed_again(endpoints(&[0, 1, 2], &[]), 5.0, false)]
fn draining(#[case] update: Event, #[case] at: f64, #[case] violated: bool) {
    let events = vec![
        (1.0, update),
        (at - 0.01, request_sent(REQUEST, 0)),
        (at, attempt_arrived(0, REQUEST, 0)),
    ];
    assert_eq!(violated_rules(events).contains(&Rule::Draining), violated);
}

/// After a broken connection the transport reconnects and sends an attempt again without a new routing decision: each arrival is
/// checked by its own time. Pod 0 drains from 1 s on, with a grace period of 1 s.
#[rstest]
#[case::again_within_the_grace(vec![(1.5, attempt_arrived(0, REQUEST, 0)), (1.9, attempt_arrived(0, REQUEST, 0))], false)]
#[case::again_past_the_grace(vec![(1.5, attempt_arrived(0, REQUEST, 0)), (2.1, attempt_arrived(0, REQUEST, 0))], true)]
#[case::first_sent_before_the_drain(vec![(0.9, attempt_arrived(0, REQUEST, 0)), (2.1, attempt_arrived(0, REQUEST, 0))], true)]
#[case::to_another_pod(vec![(1.5, attempt_arrived(0, REQUEST, 0)), (2.1, attempt_arrived(1, REQUEST, 0))], false)]
#[case::unlisted_later_than_draining(vec![(1.2, endpoints(&[1, 2], &[])), (2.1, attempt_arrived(0, REQUEST, 0))], true)]
#[case::listed_again_by_a_new_list(vec![(2.0, endpoints(&[1, 2], &[])), (3.0, pod_started(0, 1, false)), (3.1, endpoints(&[0, 1, 2], &[])), (3.2, attempt_arrived(0, REQUEST, 0))], false)]
#[case::restarted_but_not_listed(vec![(2.0, endpoints(&[1, 2], &[])), (3.0, pod_started(0, 1, false)), (3.2, attempt_arrived(0, REQUEST, 0))], true)]
#[case::listed_again_and_drains_again(vec![(3.0, endpoints(&[0, 1, 2], &[])), (4.0, endpoints(&[1, 2], &[0])), (4.9, attempt_arrived(0, REQUEST, 0))], false)]
#[case::listed_again_and_past_its_second_grace(vec![(3.0, endpoints(&[0, 1, 2], &[])), (4.0, endpoints(&[1, 2], &[0])), (5.1, attempt_arrived(0, REQUEST, 0))], true)]
fn draining_with_resent_attempts(#[case] events: Vec<(f64, Event)>, #[case] violated: bool) {
    let mut all = vec![
        (0.8, request_sent(REQUEST, 0)),
        (1.0, endpoints(&[1, 2], &[0])),
    ];
    all.extend(events);
    all.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    assert_eq!(violated_rules(all).contains(&Rule::Draining), violated);
}

/// With half a core at the start, an overload multiple of 2 and an overload window of 2 s, about 2.3 s of work may arrive in the first
/// 0.3 s.
#[rstest]
#[case::below_the_overload(10, false)]
#[case::overloaded(14, true)]
fn slow_start(#[case] count: u64, #[case] violated: bool) {
    let arrivals = (0..count).map(|n| {
        (
            5.0 + n as f64 * 0.02,
            attempt_arrived(8, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let events = [(5.0, pod_started(8, 1, true))]
        .into_iter()
        .chain(arrivals)
        .collect();
    assert_eq!(violated_rules(events).contains(&Rule::SlowStart), violated);
}

#[rstest]
#[case::at_the_cap(3, false)]
#[case::one_over(4, true)]
fn exposure_by_the_cap(#[case] attempts: u64, #[case] violated: bool) {
    // 10 requests with a cap of one fifth, and one free attempt: 3 may go to the canary.
    let taken = (0..10).map(|n| {
        (
            1.0 + n as f64 * 0.01,
            request_sent(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let arrivals = (0..attempts).map(|n| {
        (
            1.5 + n as f64 * 0.01,
            attempt_arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    assert_eq!(
        violated_rules(taken.chain(arrivals).collect()).contains(&Rule::Exposure),
        violated
    );
}

/// A suspended sidecar reads its requests only when it resumes, so its window of 2 s counts them from then on. 10 requests are written
/// from 1.1 s on while it is suspended; it resumes at 3 s.
#[rstest]
#[case::at_the_cap(4.9, 3, false)]
#[case::one_over(4.9, 4, true)]
#[case::past_their_window(5.2, 2, true)]
fn exposure_after_a_suspension_of_the_sidecar(
    #[case] at: f64,
    #[case] attempts: u64,
    #[case] violated: bool,
) {
    let taken = (0..10).map(|n| {
        (
            1.1 + n as f64 * 0.01,
            request_sent(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let arrivals = (0..attempts).map(|n| {
        (
            at + n as f64 * 0.01,
            attempt_arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let events = [(1.0, Event::SidecarSuspended { sidecar: SIDECAR })]
        .into_iter()
        .chain(taken)
        .chain([(3.0, Event::SidecarResumed { sidecar: SIDECAR })])
        .chain(arrivals);
    assert_eq!(
        violated_rules(events.collect()).contains(&Rule::Exposure),
        violated
    );
}

/// Requests that were written to a suspended sidecar do not count towards the cap if the sidecar is killed before it reads them.
#[test]
fn exposure_ignores_requests_that_a_killed_sidecar_never_read() {
    let taken = (0..10).map(|n| {
        (
            1.1 + n as f64 * 0.01,
            request_sent(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let arrivals = (0..2).map(|n| {
        (
            2.5 + n as f64 * 0.01,
            attempt_arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let events = [(1.0, Event::SidecarSuspended { sidecar: SIDECAR })]
        .into_iter()
        .chain(taken)
        .chain([
            (2.0, Event::SidecarExited { sidecar: SIDECAR }),
            (2.1, Event::SidecarStarted { sidecar: SIDECAR }),
            (2.2, endpoints(&[0, 1, 2], &[])),
            (2.2, stage(2, 1, Phase::OnTrial, 0.2)),
        ])
        .chain(arrivals);
    assert!(violated_rules(events.collect()).contains(&Rule::Exposure));
}

#[rstest]
#[case::rolled_back_within_the_grace(vec![(1.0, stage(2, 1, Phase::RollingBack, 0.0)), (1.5, request_sent(REQUEST, 0)), (1.6, attempt_arrived(2, REQUEST, 0))], false)]
#[case::rolled_back(vec![(1.0, stage(2, 1, Phase::RollingBack, 0.0)), (2.5, request_sent(REQUEST, 0)), (2.6, attempt_arrived(2, REQUEST, 0))], true)]
#[case::rolled_back_before_an_outdated_update(vec![(1.0, stage_update(3, Phase::RollingBack, 0.0)), (2.0, stage_update(2, Phase::OnTrial, 0.2)), (4.5, request_sent(REQUEST, 0)), (4.6, attempt_arrived(2, REQUEST, 0))], true)]
#[case::on_trial_again_by_a_newer_update(vec![(1.0, stage_update(3, Phase::RollingBack, 0.0)), (2.0, stage_update(4, Phase::OnTrial, 0.2)), (4.5, request_sent(REQUEST, 0)), (4.6, attempt_arrived(2, REQUEST, 0))], false)]
#[case::guarded_stage(vec![(1.0, stage(2, 0, Phase::OnTrial, 0.2)), (5.0, request_sent(REQUEST, 2)), (5.1, attempt_arrived(2, REQUEST, 2))], true)]
#[case::later_stage(vec![(5.0, request_sent(REQUEST, 2)), (5.1, attempt_arrived(2, REQUEST, 2))], false)]
#[case::unannounced_build(vec![(1.0, pod_started(3, 3, false)), (1.0, request_sent(REQUEST, 2)), (1.1, attempt_arrived(3, REQUEST, 2))], true)]
#[case::key_returns_to_the_older_build(vec![(1.0, request_sent(REQUEST, 0)), (1.2, answered(REQUEST, FinalAnswer::Delivered, Some(2))), (2.0, request_sent(AttemptKey::new(RequestId(8), 0), 0)), (2.1, attempt_arrived(0, AttemptKey::new(RequestId(8), 0), 0))], true)]
#[case::key_returns_after_a_rollback(vec![(1.0, request_sent(REQUEST, 0)), (1.2, answered(REQUEST, FinalAnswer::Delivered, Some(2))), (1.5, stage(2, 1, Phase::RollingBack, 0.0)), (2.0, request_sent(AttemptKey::new(RequestId(8), 0), 0)), (2.1, attempt_arrived(0, AttemptKey::new(RequestId(8), 0), 0))], false)]
fn exposure(#[case] events: Vec<(f64, Event)>, #[case] violated: bool) {
    assert_eq!(violated_rules(events).contains(&Rule::Exposure), violated);
}

#[test]
fn a_recorder_stall_is_not_reported_as_a_violation() {
    let stall = Event::RecorderStalled { duration: s(0.2) };
    let events = vec![
        (1.0, request_sent(REQUEST, 0)),
        (2.15, answered(REQUEST, FinalAnswer::Delivered, None)),
        (2.16, stall),
    ];
    assert!(!violated_rules(events).contains(&Rule::OneAnswer));
}

#[rstest]
#[case::without_begin("{\"at\":{\"secs\":0,\"nanos\":0},\"what\":\"end\"}\n", "begin")]
#[case::no_json("what?\n", "line 1")]
#[case::empty("", "begin")]
#[case::unknown_class("{\"at\":{\"secs\":1,\"nanos\":0},\"what\":\"arrived\",\"pod\":0,\"sidecar\":0,\"of\":[0,0],\"group\":9,\"work\":{\"secs\":0,\"nanos\":0}}\n", "line 2: undefined request class in `group`")]
#[case::time_goes_back("{\"at\":{\"secs\":1,\"nanos\":0},\"what\":\"end\"}\n{\"at\":{\"secs\":0,\"nanos\":0},\"what\":\"end\"}\n", "line 3: the time is earlier than that of the previous line")]
fn an_unreadable_record_is_rejected(#[case] text: &str, #[case] expected_text: &str) {
    let begin = serde_json::to_string(&RecordLine {
        at: s(0.0),
        event: Event::Begin {
            day: String::new(),
            limits: limits(),
        },
    });
    let begin = if expected_text.starts_with("line 2") || expected_text.starts_with("line 3") {
        begin.unwrap() + "\n"
    } else {
        String::new()
    };
    let error = read((begin + text).as_bytes()).unwrap_err();
    assert!(error.to_string().contains(expected_text), "{error}");
}
