//! Pins the bytes of replication messages and of the records in them.
//!
//! `golden/packets.hex` holds one packet of each kind a line, `golden/records.hex` one record of
//! each kind with its kind number: what it shows, its bytes. `GOLDEN_WRITE=1` writes the files
//! anew; that is for new kinds only.

use limewing_replication::{
    Entry, ExecutionMark, LogPosition, Message, Origin, Packet, Phase, Record, Stage,
};
use std::path::Path;

fn origin(name: &str, start: u64) -> Origin {
    Origin {
        name: name.into(),
        incarnation: start,
    }
}

fn row(name: &str, start: u64, upto: u64) -> LogPosition {
    LogPosition {
        origin: origin(name, start),
        contiguous_through: upto,
    }
}

fn stage(number: u64, phase: Phase, cap: f64) -> Record {
    Record::Stage(Stage {
        number,
        build: 517,
        stage: 3,
        phase,
        cap,
    })
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        (
            "key-met-build",
            Record::KeyServed {
                key: 0xfedc_ba98_7654_3210,
                build: 300,
            },
        ),
        (
            "key-met-build-small",
            Record::KeyServed { key: 1, build: 2 },
        ),
        (
            "may-have-run",
            Record::Execution {
                idempotency_key: 0x0123_4567_89ab_cdef,
                mark: ExecutionMark::MayHaveRun,
            },
        ),
        (
            "never-ran",
            Record::Execution {
                idempotency_key: 77,
                mark: ExecutionMark::NeverRan,
            },
        ),
        ("stage-on-trial", stage(9, Phase::OnTrial, 0.14)),
        ("stage-released", stage(10, Phase::Released, 1.0)),
        ("stage-rolling-back", stage(0, Phase::RollingBack, 0.0)),
        ("stage-rolled-back", stage(1 << 40, Phase::RolledBack, 0.5)),
    ]
}

fn entry(no: u64, left: u32, fact: &Record) -> Entry {
    Entry {
        sequence: no,
        time_to_live_ms: left,
        kind: fact.kind(),
        body: fact.encode(),
    }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let entries: Vec<Entry> = (1..)
        .zip(records())
        .map(|(no, (_, fact))| entry(no * 100, 600_000, &fact))
        .collect();
    // Of a kind that this version does not know: passed on as it came.
    let unknown = Entry {
        sequence: 2,
        time_to_live_ms: 1,
        kind: 200,
        body: vec![0, 255, 128],
    };
    let (first, last) = (origin("a", 1_800_000_000_000), origin("sidecar-12", 5));
    let rows = vec![
        row("a", 1_800_000_000_000, 0),
        row("sidecar-12", 5, 1 << 48),
    ];
    let says = [
        (
            "entries",
            Message::Entries {
                origin: first.clone(),
                range: None,
                entries: entries.clone(),
            },
        ),
        (
            "entries-of-a-range",
            Message::Entries {
                origin: last.clone(),
                range: Some((99, 812)),
                entries,
            },
        ),
        (
            "entries-of-an-unknown-kind",
            Message::Entries {
                origin: last.clone(),
                range: None,
                entries: vec![unknown],
            },
        ),
        (
            "entries-none",
            Message::Entries {
                origin: last.clone(),
                range: Some((0, 300)),
                entries: Vec::new(),
            },
        ),
        (
            "digest",
            Message::Digest {
                request: 1,
                after: None,
                through: None,
                positions: rows.clone(),
            },
        ),
        (
            "digest-of-a-range",
            Message::Digest {
                request: 70_000,
                after: Some(first.clone()),
                through: Some(last.clone()),
                positions: rows.clone(),
            },
        ),
        (
            "digest-reply",
            Message::DigestReply {
                request: 1,
                through: None,
                behind: rows.clone(),
                ahead: Vec::new(),
                caught_up: false,
            },
        ),
        (
            "digest-reply-of-a-range",
            Message::DigestReply {
                request: u32::MAX,
                through: Some(last),
                behind: Vec::new(),
                ahead: rows,
                caught_up: true,
            },
        ),
    ];
    says.into_iter()
        .map(|(name, say)| (name, Packet { message: say }))
        .collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The file's text, which must have one line for each of `today`.
fn read_golden(file: &str, today: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, today).unwrap();
    }
    let text = std::fs::read_to_string(path).unwrap();
    assert_eq!(text.lines().count(), today.lines().count());
    text
}

/// Packets built from code are written as in the file; those of the file are read as those values,
/// and written again alike.
#[test]
fn packets_are_read_and_written_as_in_the_file() {
    let lines: Vec<String> = packets()
        .iter()
        .map(|(name, packet)| format!("{name} {}\n", to_hex(&packet.encode())))
        .collect();
    let text = read_golden("packets.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(packets()) {
        let (name, hex) = line.split_once(' ').unwrap();
        let bytes = from_hex(hex);
        let packet = Packet::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(packet, built, "{name}");
        assert_eq!(packet.encode(), bytes, "{name}");
    }
}

/// The same for records, each with the number of its kind.
#[test]
fn records_are_read_and_written_as_in_the_file() {
    let lines: Vec<String> = records()
        .iter()
        .map(|(name, fact)| format!("{name} {} {}\n", fact.kind(), to_hex(&fact.encode())))
        .collect();
    let text = read_golden("records.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(records()) {
        let [name, kind, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let bytes = from_hex(hex);
        let fact = Record::decode(kind.parse().unwrap(), &bytes);
        assert_eq!(fact, Some(built), "{name}");
        assert_eq!(fact.unwrap().encode(), bytes, "{name}");
    }
}
