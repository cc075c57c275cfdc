//! Pins the record of a day, one line of JSON for each thing that happened: `golden/record.jsonl` has every kind of line
//! with every value of the enumerations in it, as the program wrote them when the file was made.

use limewing_rule_checker::record::{
    read, Entry, Final, Group, Line, OrderId, Phase, PodNo, Reach, Recorder, Repeat, SidecarNo,
    Terms, Try,
};
use std::time::Duration;

const RECORD: &str = include_str!("golden/record.jsonl");

const SIDECAR: SidecarNo = SidecarNo(2);
const POD: PodNo = PodNo(31);
const FIRST: Try = Try(OrderId(70), 0);
const SECOND: Try = Try(OrderId(70), 1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn terms() -> Terms {
    let group = |name: &str, repeat, target_latency, benefit| {
        let name = name.to_owned();
        Group {
            name,
            repeat,
            target_latency: ms(target_latency),
            benefit,
        }
    };
    let tagged = |reach, memory| Repeat::Tagged {
        reach,
        memory: ms(memory),
    };
    Terms {
        groups: vec![
            group("quote", Repeat::Repeatable, 1000, 1.0),
            group("order", tagged(Reach::All, 3000), 1250, 3.5),
            group("basket", tagged(Reach::Zone, 2500), 800, 2.0),
            group("search", tagged(Reach::Cell, 1), 300, 0.25),
            group("charge", Repeat::Mutating, 600, 5.0),
        ],
        answer_slack: ms(20),
        drain_grace: ms(1000),
        cold_from: 0.35,
        cold_for: ms(3000),
        fall_multiple: 2.5,
        fall_within: ms(3250),
        caps: vec![0.14, 0.45, 1.0],
        cap_window: ms(2000),
        cap_free: 1.5,
        cap_by_group: true,
        guarded_stages: 2,
        keys_stay: false,
    }
}

fn stage_told(number: u64, phase: Phase, cap: f64) -> Entry {
    Entry::StageTold {
        sidecar: SIDECAR,
        number,
        build: 3,
        stage: 1,
        phase,
        cap,
    }
}

fn answered(of: Try, ended: Final, status: u16, build: Option<u16>) -> Entry {
    Entry::Answered {
        sidecar: SIDECAR,
        of,
        ended,
        status,
        build,
    }
}

fn stage(phase: Phase) -> Entry {
    Entry::Stage {
        build: 3,
        stage: 1,
        phase,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry::Begin {
            day: "a day \"of\" all".into(),
            terms: terms(),
        },
        Entry::SidecarUp { sidecar: SIDECAR },
        Entry::SidecarDown { sidecar: SIDECAR },
        Entry::SidecarLeaves { sidecar: SIDECAR },
        Entry::SidecarStopped { sidecar: SIDECAR },
        Entry::SidecarGoesOn { sidecar: SIDECAR },
        Entry::Asked {
            sidecar: SIDECAR,
            of: FIRST,
            group: 1,
            waits: ms(2750),
            key: Some(u64::MAX),
        },
        Entry::Asked {
            sidecar: SIDECAR,
            of: SECOND,
            group: 0,
            waits: ms(3000),
            key: None,
        },
        answered(FIRST, Final::Delivered, 200, Some(2)),
        answered(FIRST, Final::Bounced, 503, None),
        answered(SECOND, Final::Errored, 500, Some(3)),
        Entry::AnswerBegun {
            sidecar: SIDECAR,
            of: SECOND,
        },
        Entry::Unasked {
            sidecar: SIDECAR,
            of: Some(SECOND),
        },
        Entry::Unasked {
            sidecar: SIDECAR,
            of: None,
        },
        Entry::Left { of: FIRST },
        Entry::GaveUp { of: SECOND },
        Entry::Lost {
            of: FIRST,
            reached: true,
        },
        Entry::Lost {
            of: SECOND,
            reached: false,
        },
        Entry::PodUp {
            pod: POD,
            build: 2,
            zone: 1,
            cell: 4,
            capacity: 3.5,
            cold: true,
        },
        Entry::PodDown { pod: POD },
        Entry::Arrived {
            pod: POD,
            sidecar: SIDECAR,
            of: FIRST,
            group: 1,
            work: Duration::new(0, 12_345_678),
        },
        Entry::WorkAsked {
            out: 6,
            out_in_zone: 2,
        },
        Entry::WorkOut {
            place: 12,
            pod: POD,
        },
        Entry::WorkBegins {
            place: 12,
            zone: 1,
            open: 3,
        },
        Entry::WorkEnds {
            place: 12,
            well: true,
        },
        Entry::WorkEnds {
            place: 13,
            well: false,
        },
        Entry::TurnedAway {
            pod: POD,
            of: SECOND,
        },
        Entry::Ran {
            pod: POD,
            of: FIRST,
            effect: true,
        },
        Entry::Ran {
            pod: POD,
            of: SECOND,
            effect: false,
        },
        Entry::ListTold {
            sidecar: SIDECAR,
            ready: vec![PodNo(1), POD],
            draining: vec![PodNo(9)],
        },
        Entry::ListTold {
            sidecar: SIDECAR,
            ready: vec![],
            draining: vec![],
        },
        stage_told(0, Phase::OnTrial, 0.14),
        stage_told(7, Phase::GoingBack, 0.0),
        stage_told(8, Phase::Released, 1.0),
        stage_told(9, Phase::Withdrawn, 0.5),
        Entry::Voted {
            sidecar: SIDECAR,
            build: 3,
            stage: 1,
            verdict: "hold".into(),
            answer: "counted".into(),
        },
        stage(Phase::OnTrial),
        stage(Phase::GoingBack),
        stage(Phase::Released),
        stage(Phase::Withdrawn),
        Entry::Trouble {
            text: "zone east cut".into(),
        },
        Entry::Stood { span: ms(120) },
        Entry::End {},
    ]
}

fn lines() -> Vec<Line> {
    let at = |place: usize| Duration::new(place as u64, 5_000_001);
    entries()
        .into_iter()
        .enumerate()
        .map(|(place, entry)| Line {
            at: at(place),
            entry,
        })
        .collect()
}

fn written(lines: &[Line]) -> String {
    let mut bytes = Vec::new();
    let mut recorder = Recorder::new(&mut bytes);
    for line in lines {
        recorder.note(line.at, line.entry.clone()).unwrap();
    }
    recorder.flush().unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn every_kind_of_line_is_written_as_before() {
    assert_eq!(written(&lines()), RECORD);
}

#[test]
fn every_kind_of_line_is_read_as_before() {
    let found = read(RECORD.as_bytes()).unwrap();
    assert_eq!(found, lines());
    assert_eq!(written(&found), RECORD);
}

/// Records from before stage news were numbered have no number.
#[test]
fn a_line_without_a_number_of_stage_news_is_read() {
    let text = r#"{"at":{"secs":1,"nanos":0},"what":"stage_told","sidecar":2,"build":3,"stage":1,"phase":"on_trial","cap":0.14}"#;
    let line: Line = serde_json::from_str(text).unwrap();
    assert_eq!(line.entry, stage_told(0, Phase::OnTrial, 0.14));
}
