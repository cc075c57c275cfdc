//! Pins the file format of records: `golden/record.jsonl` has every kind of event, with every value of the enumerations, as the
//! program wrote them when the file was made.

use limewing_rule_checker::record::{
    read, AttemptKey, DeduplicationScope, Event, FinalAnswer, Idempotency, Phase, PodId,
    RecordLine, Recorder, RequestClass, RequestId, RuleLimits, SidecarId,
};
use std::time::Duration;

const RECORD: &str = include_str!("golden/record.jsonl");

const SIDECAR: SidecarId = SidecarId(2);
const POD: PodId = PodId(31);
const FIRST: AttemptKey = AttemptKey::new(RequestId(70), 0);
const SECOND: AttemptKey = AttemptKey::new(RequestId(70), 1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn limits() -> RuleLimits {
    let class = |name: &str, idempotency, latency_objective, priority_weight| {
        let name = name.to_owned();
        RequestClass {
            name,
            idempotency,
            latency_objective: ms(latency_objective),
            priority_weight,
        }
    };
    let keyed = |deduplicated_by, window| Idempotency::Keyed {
        deduplicated_by,
        window: ms(window),
    };
    RuleLimits {
        classes: vec![
            class("quote", Idempotency::Idempotent, 1000, 1.0),
            class("order", keyed(DeduplicationScope::All, 3000), 1250, 3.5),
            class("basket", keyed(DeduplicationScope::Zone, 2500), 800, 2.0),
            class("search", keyed(DeduplicationScope::Cell, 1), 300, 0.25),
            class("charge", Idempotency::NonIdempotent, 600, 5.0),
        ],
        answer_slack: ms(20),
        drain_grace: ms(1000),
        slow_start_from: 0.35,
        slow_start_duration: ms(3000),
        overload_multiple: 2.5,
        overload_window: ms(3250),
        exposure_caps: vec![0.14, 0.45, 1.0],
        exposure_window: ms(2000),
        exposure_free: 1.5,
        exposure_per_class: true,
        guarded_stages: 2,
        sticky_keys: false,
    }
}

fn stage_notified(number: u64, phase: Phase, cap: f64) -> Event {
    Event::StageNotified {
        sidecar: SIDECAR,
        number,
        build: 3,
        stage: 1,
        phase,
        cap,
    }
}

fn answered(attempt: AttemptKey, answer: FinalAnswer, status: u16, build: Option<u16>) -> Event {
    Event::Answered {
        sidecar: SIDECAR,
        attempt,
        answer,
        status,
        build,
    }
}

fn stage_changed(phase: Phase) -> Event {
    Event::StageChanged {
        build: 3,
        stage: 1,
        phase,
    }
}

fn events() -> Vec<Event> {
    vec![
        Event::Begin {
            day: "a day \"of\" all".into(),
            limits: limits(),
        },
        Event::SidecarStarted { sidecar: SIDECAR },
        Event::SidecarExited { sidecar: SIDECAR },
        Event::SidecarDraining { sidecar: SIDECAR },
        Event::SidecarSuspended { sidecar: SIDECAR },
        Event::SidecarResumed { sidecar: SIDECAR },
        Event::RequestSent {
            sidecar: SIDECAR,
            attempt: FIRST,
            class: 1,
            timeout: ms(2750),
            routing_key: Some(u64::MAX),
        },
        Event::RequestSent {
            sidecar: SIDECAR,
            attempt: SECOND,
            class: 0,
            timeout: ms(3000),
            routing_key: None,
        },
        answered(FIRST, FinalAnswer::Delivered, 200, Some(2)),
        answered(FIRST, FinalAnswer::Rejected, 503, None),
        answered(SECOND, FinalAnswer::Failed, 500, Some(3)),
        Event::AnswerStarted {
            sidecar: SIDECAR,
            attempt: SECOND,
        },
        Event::UnexpectedAnswer {
            sidecar: SIDECAR,
            attempt: Some(SECOND),
        },
        Event::UnexpectedAnswer {
            sidecar: SIDECAR,
            attempt: None,
        },
        Event::ClientDisconnected { attempt: FIRST },
        Event::ClientTimedOut { attempt: SECOND },
        Event::ConnectionLost {
            attempt: FIRST,
            written: true,
        },
        Event::ConnectionLost {
            attempt: SECOND,
            written: false,
        },
        Event::PodStarted {
            pod: POD,
            build: 2,
            zone: 1,
            cell: 4,
            capacity: 3.5,
            warming_up: true,
        },
        Event::PodExited { pod: POD },
        Event::AttemptArrived {
            pod: POD,
            sidecar: SIDECAR,
            attempt: FIRST,
            class: 1,
            work: Duration::new(0, 12_345_678),
        },
        Event::MaintenanceRequested {
            max_out: 6,
            max_out_in_zone: 2,
        },
        Event::MachineOut {
            machine: 12,
            pod: POD,
        },
        Event::MaintenanceStarted {
            machine: 12,
            zone: 1,
            in_flight: 3,
        },
        Event::MaintenanceEnded {
            machine: 12,
            succeeded: true,
        },
        Event::MaintenanceEnded {
            machine: 13,
            succeeded: false,
        },
        Event::AttemptRejected {
            pod: POD,
            attempt: SECOND,
        },
        Event::Executed {
            pod: POD,
            attempt: FIRST,
            effect: true,
        },
        Event::Executed {
            pod: POD,
            attempt: SECOND,
            effect: false,
        },
        Event::EndpointsNotified {
            sidecar: SIDECAR,
            ready: vec![PodId(1), POD],
            draining: vec![PodId(9)],
        },
        Event::EndpointsNotified {
            sidecar: SIDECAR,
            ready: vec![],
            draining: vec![],
        },
        stage_notified(0, Phase::OnTrial, 0.14),
        stage_notified(7, Phase::RollingBack, 0.0),
        stage_notified(8, Phase::Released, 1.0),
        stage_notified(9, Phase::RolledBack, 0.5),
        Event::Voted {
            sidecar: SIDECAR,
            build: 3,
            stage: 1,
            verdict: "hold".into(),
            answer: "counted".into(),
        },
        stage_changed(Phase::OnTrial),
        stage_changed(Phase::RollingBack),
        stage_changed(Phase::Released),
        stage_changed(Phase::RolledBack),
        Event::Fault {
            text: "zone east cut".into(),
        },
        Event::RecorderStalled { duration: ms(120) },
        Event::End {},
    ]
}

fn lines() -> Vec<RecordLine> {
    let at = |index: usize| Duration::new(index as u64, 5_000_001);
    events()
        .into_iter()
        .enumerate()
        .map(|(index, event)| RecordLine {
            at: at(index),
            event,
        })
        .collect()
}

fn written(lines: &[RecordLine]) -> String {
    let mut bytes = Vec::new();
    let mut recorder = Recorder::new(&mut bytes);
    for line in lines {
        recorder.append(line.at, line.event.clone()).unwrap();
    }
    recorder.flush().unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn every_event_is_written_in_the_pinned_format() {
    assert_eq!(written(&lines()), RECORD);
}

#[test]
fn every_event_is_read_from_the_pinned_format() {
    let found = read(RECORD.as_bytes()).unwrap();
    assert_eq!(found, lines());
    assert_eq!(written(&found), RECORD);
}

/// Stage updates in older records have no number, since updates were not numbered then.
#[test]
fn a_stage_update_without_a_number_is_read() {
    let text = r#"{"at":{"secs":1,"nanos":0},"what":"stage_told","sidecar":2,"build":3,"stage":1,"phase":"on_trial","cap":0.14}"#;
    let line: RecordLine = serde_json::from_str(text).unwrap();
    assert_eq!(line.event, stage_notified(0, Phase::OnTrial, 0.14));
}
