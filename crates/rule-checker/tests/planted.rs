//! Each kind of breach, planted in a record, is named; and what comes near it is not.

use limewing_rule_checker::record::*;
use limewing_rule_checker::rules::{check, Rule};
use rstest::rstest;
use std::time::Duration;

const ONE: SidecarId = SidecarId(1);
const HIT: AttemptKey = AttemptKey::new(RequestId(7), 0);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Path groups: 0 repeatable, 1 tagged within a zone for 2 s, 2 mutating.
fn terms() -> RuleLimits {
    let group = |repeat| RequestClass {
        name: String::new(),
        idempotency: repeat,
        latency_objective: s(1.0),
        priority_weight: 1.0,
    };
    let tagged = Idempotency::Keyed {
        deduplicated_by: DeduplicationScope::Zone,
        window: s(2.0),
    };
    RuleLimits {
        classes: vec![
            group(Idempotency::Idempotent),
            group(tagged),
            group(Idempotency::NonIdempotent),
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

fn up(pod: u32, build: u16, cold: bool) -> Event {
    let zone = (pod % 2) as u16;
    Event::PodStarted {
        pod: PodId(pod),
        build,
        zone,
        cell: 0,
        capacity: 1.0,
        warming_up: cold,
    }
}

fn asked(of: AttemptKey, group: usize) -> Event {
    Event::RequestSent {
        sidecar: ONE,
        attempt: of,
        class: group,
        timeout: s(1.0),
        routing_key: Some(5),
    }
}

fn arrived(pod: u32, of: AttemptKey, group: usize) -> Event {
    Event::ForwardArrived {
        pod: PodId(pod),
        sidecar: ONE,
        attempt: of,
        class: group,
        work: s(0.2),
    }
}

fn answered(of: AttemptKey, ended: FinalAnswer, build: Option<u16>) -> Event {
    Event::Answered {
        sidecar: ONE,
        attempt: of,
        answer: ended,
        status: 200,
        build,
    }
}

fn begun(of: AttemptKey) -> Event {
    Event::AnswerStarted {
        sidecar: ONE,
        attempt: of,
    }
}

fn told(ready: &[u32], draining: &[u32]) -> Event {
    let pods = |list: &[u32]| list.iter().map(|pod| PodId(*pod)).collect();
    Event::EndpointsNotified {
        sidecar: ONE,
        ready: pods(ready),
        draining: pods(draining),
    }
}

fn stage(build: u16, stage: u8, phase: Phase, cap: f64) -> Event {
    Event::StageNotified {
        sidecar: ONE,
        number: 0,
        build,
        stage,
        phase,
        cap,
    }
}

fn numbered(number: u64, phase: Phase, cap: f64) -> Event {
    Event::StageNotified {
        sidecar: ONE,
        number,
        build: 2,
        stage: 1,
        phase,
        cap,
    }
}

/// Pods 0 and 1 on build 1, 2 on build 2; all listed; build 2 on trial in its second stage at a fifth.
fn broken(entries: Vec<(f64, Event)>) -> Vec<Rule> {
    let start = vec![
        (
            0.0,
            Event::Begin {
                day: String::new(),
                limits: terms(),
            },
        ),
        (0.0, Event::SidecarStarted { sidecar: ONE }),
        (0.0, up(0, 1, false)),
        (0.0, up(1, 1, false)),
        (0.0, up(2, 2, false)),
        (0.0, told(&[0, 1, 2], &[])),
        (0.0, stage(2, 1, Phase::OnTrial, 0.2)),
    ];
    let all = start
        .into_iter()
        .chain(entries)
        .chain([(60.0, Event::End {})]);
    let lines: Vec<RecordLine> = all
        .map(|(at, entry)| RecordLine {
            at: s(at),
            event: entry,
        })
        .collect();
    let account = check(&lines).unwrap();
    let broken = account
        .findings
        .iter()
        .filter(|finding| !finding.breaches.is_empty());
    broken.map(|finding| finding.rule).collect()
}

#[rstest]
#[case::in_time(vec![(1.0, asked(HIT, 0)), (1.9, answered(HIT, FinalAnswer::Delivered, None))], false)]
#[case::late(vec![(1.0, asked(HIT, 0)), (2.1, answered(HIT, FinalAnswer::Delivered, None))], true)]
#[case::twice(vec![(1.0, asked(HIT, 0)), (1.1, answered(HIT, FinalAnswer::Delivered, None)), (1.2, answered(HIT, FinalAnswer::Failed, None))], true)]
#[case::words_unasked(vec![(1.0, asked(HIT, 0)), (1.1, answered(HIT, FinalAnswer::Delivered, None)), (1.2, Event::UnexpectedAnswer { sidecar: ONE, attempt: None })], true)]
#[case::never(vec![(1.0, asked(HIT, 0))], true)]
#[case::dropped(vec![(1.0, asked(HIT, 0)), (1.1, Event::ConnectionLost { attempt: HIT, written: true })], true)]
#[case::killed(vec![(1.0, asked(HIT, 0)), (1.1, Event::SidecarExited { sidecar: ONE })], false)]
#[case::written_to_the_dead(vec![(0.9, Event::SidecarExited { sidecar: ONE }), (1.0, asked(HIT, 0)), (1.0, Event::ConnectionLost { attempt: HIT, written: true })], false)]
#[case::untaken_by_one_that_leaves(vec![(0.9, Event::SidecarDraining { sidecar: ONE }), (1.0, asked(HIT, 0)), (1.0, Event::ConnectionLost { attempt: HIT, written: true })], false)]
#[case::taken_by_one_that_leaves(vec![(0.9, Event::SidecarDraining { sidecar: ONE }), (1.0, asked(HIT, 0)), (1.1, arrived(0, HIT, 0)), (1.2, Event::ConnectionLost { attempt: HIT, written: true })], true)]
#[case::stopped(vec![(1.0, asked(HIT, 0)), (1.1, Event::SidecarSuspended { sidecar: ONE }), (3.0, Event::SidecarResumed { sidecar: ONE }), (3.01, answered(HIT, FinalAnswer::Failed, None))], false)]
#[case::stopped_and_slow_after(vec![(1.0, asked(HIT, 0)), (1.1, Event::SidecarSuspended { sidecar: ONE }), (3.0, Event::SidecarResumed { sidecar: ONE }), (3.2, answered(HIT, FinalAnswer::Failed, None))], true)]
#[case::given_up_as_it_goes_on(vec![(1.0, asked(HIT, 0)), (1.1, Event::SidecarSuspended { sidecar: ONE }), (3.0, Event::SidecarResumed { sidecar: ONE }), (3.0, Event::ClientTimedOut { attempt: HIT })], false)]
#[case::given_up_after_it_went_on(vec![(1.0, asked(HIT, 0)), (1.1, Event::SidecarSuspended { sidecar: ONE }), (3.0, Event::SidecarResumed { sidecar: ONE }), (3.2, Event::ClientTimedOut { attempt: HIT })], true)]
#[case::written_while_stopped(vec![(1.0, Event::SidecarSuspended { sidecar: ONE }), (1.1, asked(HIT, 0)), (3.0, Event::SidecarResumed { sidecar: ONE }), (3.5, answered(HIT, FinalAnswer::Delivered, None))], false)]
#[case::written_while_stopped_and_late(vec![(1.0, Event::SidecarSuspended { sidecar: ONE }), (1.1, asked(HIT, 0)), (3.0, Event::SidecarResumed { sidecar: ONE }), (4.1, answered(HIT, FinalAnswer::Delivered, None))], true)]
#[case::stream_begun_in_time(vec![(1.0, asked(HIT, 0)), (1.9, begun(HIT)), (4.0, answered(HIT, FinalAnswer::Delivered, None))], false)]
#[case::stream_that_breaks(vec![(1.0, asked(HIT, 0)), (1.9, begun(HIT)), (4.0, Event::ConnectionLost { attempt: HIT, written: true })], false)]
#[case::stream_begun_late(vec![(1.0, asked(HIT, 0)), (2.1, begun(HIT))], true)]
#[case::stream_answered_again(vec![(1.0, asked(HIT, 0)), (1.5, begun(HIT)), (1.6, answered(HIT, FinalAnswer::Delivered, None)), (1.7, answered(HIT, FinalAnswer::Failed, None))], true)]
#[case::sent_into_a_stream(vec![(1.0, asked(HIT, 0)), (1.5, begun(HIT)), (1.6, arrived(0, HIT, 0)), (1.7, answered(HIT, FinalAnswer::Delivered, None))], true)]
#[case::sent_after_the_end(vec![(1.0, asked(HIT, 0)), (1.1, answered(HIT, FinalAnswer::Rejected, None)), (1.2, arrived(0, HIT, 0))], true)]
fn one_answer(#[case] entries: Vec<(f64, Event)>, #[case] breach: bool) {
    assert_eq!(broken(entries).contains(&Rule::OneAnswer), breach);
}

#[rstest]
#[case::mutating_once(2, vec![(1.1, arrived(0, HIT, 2))], false)]
#[case::mutating_sent_twice(2, vec![(1.1, arrived(0, HIT, 2)), (1.3, arrived(1, HIT, 2))], true)]
#[case::mutating_sent_on_by_the_next_try(2, vec![(1.1, arrived(0, HIT, 2)), (1.3, arrived(1, AttemptKey::new(RequestId(7), 1), 2))], true)]
#[case::mutating_turned_away(2, vec![(1.1, arrived(0, HIT, 2)), (1.2, Event::ForwardRejected { pod: PodId(0), attempt: HIT }), (1.3, arrived(1, HIT, 2))], false)]
#[case::mutating_bounced(2, vec![(1.1, arrived(0, HIT, 2)), (1.3, answered(HIT, FinalAnswer::Rejected, None))], true)]
#[case::mutating_bounced_unsent(2, vec![(1.3, answered(HIT, FinalAnswer::Rejected, None))], false)]
#[case::mutating_ran_twice(2, vec![(1.2, Event::Executed { pod: PodId(0), attempt: HIT, effect: true }), (1.3, Event::Executed { pod: PodId(1), attempt: HIT, effect: true })], true)]
#[case::tagged_in_its_zone(1, vec![(1.1, arrived(0, HIT, 1)), (1.5, arrived(2, HIT, 1))], false)]
#[case::tagged_out_of_its_zone(1, vec![(1.1, arrived(0, HIT, 1)), (1.5, arrived(1, HIT, 1))], true)]
#[case::tagged_forgotten(1, vec![(1.1, arrived(0, HIT, 1)), (3.2, arrived(2, HIT, 1))], true)]
#[case::repeatable(0, vec![(1.1, arrived(0, HIT, 0)), (1.2, arrived(1, HIT, 0))], false)]
fn no_effect_twice(#[case] group: usize, #[case] entries: Vec<(f64, Event)>, #[case] breach: bool) {
    let entries = [(1.0, asked(HIT, group))]
        .into_iter()
        .chain(entries)
        .collect();
    assert_eq!(broken(entries).contains(&Rule::NoEffectTwice), breach);
}

#[rstest]
#[case::within_the_grace(told(&[1, 2], &[0]), 1.9, false)]
#[case::a_moment_late(told(&[1, 2], &[0]), 2.01, true)]
#[case::gone_from_the_list(told(&[1, 2], &[]), 2.01, true)]
#[case::listed_again(told(&[0, 1, 2], &[]), 5.0, false)]
fn drains(#[case] news: Event, #[case] at: f64, #[case] breach: bool) {
    let entries = vec![
        (1.0, news),
        (at - 0.01, asked(HIT, 0)),
        (at, arrived(0, HIT, 0)),
    ];
    assert_eq!(broken(entries).contains(&Rule::Drains), breach);
}

/// The first connection broke, and the attempt was dialled again beneath the decisions: each arrival counts by its own time.
/// Pod 0 drains from 1 s on, with a grace of 1 s.
#[rstest]
#[case::again_within_the_grace(vec![(1.5, arrived(0, HIT, 0)), (1.9, arrived(0, HIT, 0))], false)]
#[case::again_past_the_grace(vec![(1.5, arrived(0, HIT, 0)), (2.1, arrived(0, HIT, 0))], true)]
#[case::first_sent_before_the_drain(vec![(0.9, arrived(0, HIT, 0)), (2.1, arrived(0, HIT, 0))], true)]
#[case::to_another_pod(vec![(1.5, arrived(0, HIT, 0)), (2.1, arrived(1, HIT, 0))], false)]
#[case::gone_then_past_the_grace(vec![(1.2, told(&[1, 2], &[])), (2.1, arrived(0, HIT, 0))], true)]
#[case::back_and_told(vec![(2.0, told(&[1, 2], &[])), (3.0, up(0, 1, false)), (3.1, told(&[0, 1, 2], &[])), (3.2, arrived(0, HIT, 0))], false)]
#[case::back_and_not_told(vec![(2.0, told(&[1, 2], &[])), (3.0, up(0, 1, false)), (3.2, arrived(0, HIT, 0))], true)]
#[case::back_and_drains_anew(vec![(3.0, told(&[0, 1, 2], &[])), (4.0, told(&[1, 2], &[0])), (4.9, arrived(0, HIT, 0))], false)]
#[case::back_and_past_its_second_grace(vec![(3.0, told(&[0, 1, 2], &[])), (4.0, told(&[1, 2], &[0])), (5.1, arrived(0, HIT, 0))], true)]
fn drains_of_attempts_dialled_again(#[case] entries: Vec<(f64, Event)>, #[case] breach: bool) {
    let mut all = vec![(0.8, asked(HIT, 0)), (1.0, told(&[1, 2], &[0]))];
    all.extend(entries);
    all.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    assert_eq!(broken(all).contains(&Rule::Drains), breach);
}

// Half a core's work a second at the start, and a span of 2 s: about 2.3 s of work may come in the first 0.3 s.
#[rstest]
#[case::within_its_multiple(10, false)]
#[case::flooded(14, true)]
fn cold_pods(#[case] many: u64, #[case] breach: bool) {
    let hits = (0..many).map(|n| {
        (
            5.0 + n as f64 * 0.02,
            arrived(8, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let entries = [(5.0, up(8, 1, true))].into_iter().chain(hits).collect();
    assert_eq!(broken(entries).contains(&Rule::Cold), breach);
}

#[rstest]
#[case::at_the_cap(3, false)]
#[case::one_over(4, true)]
fn exposure_by_the_cap(#[case] sent: u64, #[case] breach: bool) {
    // 10 hits taken at a fifth, and one forward free: 3 may go to the trial.
    let taken = (0..10).map(|n| {
        (
            1.0 + n as f64 * 0.01,
            asked(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let sent = (0..sent).map(|n| {
        (
            1.5 + n as f64 * 0.01,
            arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    assert_eq!(
        broken(taken.chain(sent).collect()).contains(&Rule::Exposure),
        breach
    );
}

/// Requests that are written to a stopped sidecar are taken when it goes on: its window of 2 s counts them from then on, and not
/// while they lie unread. 10 hits are written from 1.1 s on while it stands still; it goes on at 3 s.
#[rstest]
#[case::at_the_cap(4.9, 3, false)]
#[case::one_over(4.9, 4, true)]
#[case::past_their_window(5.2, 2, true)]
fn exposure_after_a_standstill_of_the_sidecar(
    #[case] at: f64,
    #[case] sent: u64,
    #[case] breach: bool,
) {
    let taken = (0..10).map(|n| {
        (
            1.1 + n as f64 * 0.01,
            asked(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let sent = (0..sent).map(|n| {
        (
            at + n as f64 * 0.01,
            arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let entries = [(1.0, Event::SidecarSuspended { sidecar: ONE })]
        .into_iter()
        .chain(taken)
        .chain([(3.0, Event::SidecarResumed { sidecar: ONE })])
        .chain(sent);
    assert_eq!(broken(entries.collect()).contains(&Rule::Exposure), breach);
}

/// What lies unread at a sidecar that is killed while it stands still was never taken.
#[test]
fn exposure_counts_no_request_that_a_killed_sidecar_never_read() {
    let taken = (0..10).map(|n| {
        (
            1.1 + n as f64 * 0.01,
            asked(AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let sent = (0..2).map(|n| {
        (
            2.5 + n as f64 * 0.01,
            arrived(2, AttemptKey::new(RequestId(n), 0), 0),
        )
    });
    let entries = [(1.0, Event::SidecarSuspended { sidecar: ONE })]
        .into_iter()
        .chain(taken)
        .chain([
            (2.0, Event::SidecarExited { sidecar: ONE }),
            (2.1, Event::SidecarStarted { sidecar: ONE }),
            (2.2, told(&[0, 1, 2], &[])),
            (2.2, stage(2, 1, Phase::OnTrial, 0.2)),
        ])
        .chain(sent);
    assert!(broken(entries.collect()).contains(&Rule::Exposure));
}

#[rstest]
#[case::cap_gone_within_the_grace(vec![(1.0, stage(2, 1, Phase::RollingBack, 0.0)), (1.5, asked(HIT, 0)), (1.6, arrived(2, HIT, 0))], false)]
#[case::cap_gone(vec![(1.0, stage(2, 1, Phase::RollingBack, 0.0)), (2.5, asked(HIT, 0)), (2.6, arrived(2, HIT, 0))], true)]
#[case::cap_gone_and_old_news_late(vec![(1.0, numbered(3, Phase::RollingBack, 0.0)), (2.0, numbered(2, Phase::OnTrial, 0.2)), (4.5, asked(HIT, 0)), (4.6, arrived(2, HIT, 0))], true)]
#[case::cap_back_by_later_news(vec![(1.0, numbered(3, Phase::RollingBack, 0.0)), (2.0, numbered(4, Phase::OnTrial, 0.2)), (4.5, asked(HIT, 0)), (4.6, arrived(2, HIT, 0))], false)]
#[case::guarded_stage(vec![(1.0, stage(2, 0, Phase::OnTrial, 0.2)), (5.0, asked(HIT, 2)), (5.1, arrived(2, HIT, 2))], true)]
#[case::later_stage(vec![(5.0, asked(HIT, 2)), (5.1, arrived(2, HIT, 2))], false)]
#[case::unannounced_build(vec![(1.0, up(3, 3, false)), (1.0, asked(HIT, 2)), (1.1, arrived(3, HIT, 2))], true)]
#[case::key_goes_back(vec![(1.0, asked(HIT, 0)), (1.2, answered(HIT, FinalAnswer::Delivered, Some(2))), (2.0, asked(AttemptKey::new(RequestId(8), 0), 0)), (2.1, arrived(0, AttemptKey::new(RequestId(8), 0), 0))], true)]
#[case::key_goes_back_with_the_build(vec![(1.0, asked(HIT, 0)), (1.2, answered(HIT, FinalAnswer::Delivered, Some(2))), (1.5, stage(2, 1, Phase::RollingBack, 0.0)), (2.0, asked(AttemptKey::new(RequestId(8), 0), 0)), (2.1, arrived(0, AttemptKey::new(RequestId(8), 0), 0))], false)]
fn exposure(#[case] entries: Vec<(f64, Event)>, #[case] breach: bool) {
    assert_eq!(broken(entries).contains(&Rule::Exposure), breach);
}

#[test]
fn a_standstill_of_the_recorder_is_no_breach_of_the_sidecars() {
    let stood = Event::RecorderStalled { duration: s(0.2) };
    let entries = vec![
        (1.0, asked(HIT, 0)),
        (2.15, answered(HIT, FinalAnswer::Delivered, None)),
        (2.16, stood),
    ];
    assert!(!broken(entries).contains(&Rule::OneAnswer));
}

#[rstest]
#[case::cut_off("{\"at\":{\"secs\":0,\"nanos\":0},\"what\":\"end\"}\n", "begin")]
#[case::garbage("what?\n", "line 1")]
#[case::empty("", "begin")]
#[case::no_such_group("{\"at\":{\"secs\":1,\"nanos\":0},\"what\":\"arrived\",\"pod\":0,\"sidecar\":0,\"of\":[0,0],\"group\":9,\"work\":{\"secs\":0,\"nanos\":0}}\n", "line 2: a path group")]
#[case::back_in_time("{\"at\":{\"secs\":1,\"nanos\":0},\"what\":\"end\"}\n{\"at\":{\"secs\":0,\"nanos\":0},\"what\":\"end\"}\n", "line 3: the time goes back")]
fn a_record_that_cannot_be_trusted_is_refused(#[case] text: &str, #[case] why: &str) {
    let begin = serde_json::to_string(&RecordLine {
        at: s(0.0),
        event: Event::Begin {
            day: String::new(),
            limits: terms(),
        },
    });
    let begin = if why.starts_with("line 2") || why.starts_with("line 3") {
        begin.unwrap() + "\n"
    } else {
        String::new()
    };
    let refused = limewing_rule_checker::record::read((begin + text).as_bytes()).unwrap_err();
    assert!(refused.to_string().contains(why), "{refused}");
}
