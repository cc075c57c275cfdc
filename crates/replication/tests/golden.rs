//! Pins the bytes of replication messages and of the records in them.
//!
//! `golden/packets.hex` has one packet of each kind per line: the case that it covers, and its
//! bytes. `golden/records.hex` has one record of each kind per line, with the number of its kind in
//! between. `GOLDEN_WRITE=1` rewrites the files, which is only for new kinds.

use limewing_replication::{
    Entry, ExecutionMark, LogPosition, Message, Origin, Packet, Phase, Record, SequenceRange, Stage,
};
use limewing_test_support::golden;

fn origin(name: &str, incarnation: u64) -> Origin {
    Origin {
        name: name.into(),
        incarnation,
    }
}

fn position(name: &str, incarnation: u64, contiguous_through: u64) -> LogPosition {
    LogPosition {
        origin: origin(name, incarnation),
        contiguous_through,
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

fn entry(sequence: u64, time_to_live_ms: u32, record: &Record) -> Entry {
    Entry {
        sequence,
        time_to_live_ms,
        kind: record.kind(),
        body: record.encode(),
    }
}

type NamedMessage = (&'static str, Message);

fn entries_messages() -> [NamedMessage; 4] {
    let entries: Vec<Entry> = (1..)
        .zip(records())
        .map(|(sequence, (_, record))| entry(sequence * 100, 600_000, &record))
        .collect();
    // A kind that this version does not know is relayed unchanged.
    let unknown = Entry {
        sequence: 2,
        time_to_live_ms: 1,
        kind: 200,
        body: vec![0, 255, 128],
    };
    let message = |origin: Origin, range: Option<(u64, u64)>, entries: Vec<Entry>| {
        let range = range.map(|(after, through)| SequenceRange { after, through });
        Message::Entries {
            origin,
            range,
            entries,
        }
    };
    let first = origin("a", 1_800_000_000_000);
    let last = origin("sidecar-12", 5);
    [
        ("entries", message(first, None, entries.clone())),
        (
            "entries-of-a-range",
            message(last.clone(), Some((99, 812)), entries),
        ),
        (
            "entries-of-an-unknown-kind",
            message(last.clone(), None, vec![unknown]),
        ),
        ("entries-none", message(last, Some((0, 300)), Vec::new())),
    ]
}

fn digest_messages() -> [NamedMessage; 4] {
    let first = origin("a", 1_800_000_000_000);
    let last = origin("sidecar-12", 5);
    let positions = vec![
        position("a", 1_800_000_000_000, 0),
        position("sidecar-12", 5, 1 << 48),
    ];
    let digest = Message::Digest {
        request: 1,
        after: None,
        through: None,
        positions: positions.clone(),
    };
    let partial_digest = Message::Digest {
        request: 70_000,
        after: Some(first),
        through: Some(last.clone()),
        positions: positions.clone(),
    };
    let reply = Message::DigestReply {
        request: 1,
        through: None,
        behind: positions.clone(),
        ahead: Vec::new(),
        caught_up: false,
    };
    let partial_reply = Message::DigestReply {
        request: u32::MAX,
        through: Some(last),
        behind: Vec::new(),
        ahead: positions,
        caught_up: true,
    };
    [
        ("digest", digest),
        ("digest-of-a-range", partial_digest),
        ("digest-reply", reply),
        ("digest-reply-of-a-range", partial_reply),
    ]
}

fn packets() -> Vec<(&'static str, Packet)> {
    entries_messages()
        .into_iter()
        .chain(digest_messages())
        .map(|(name, message)| (name, Packet { message }))
        .collect()
}

/// Returns the file's text, which must have one line for each line of `generated`.
fn read_golden(file: &str, generated: &str) -> String {
    let text = golden::read(env!("CARGO_MANIFEST_DIR"), file, generated);
    assert_eq!(text.lines().count(), generated.lines().count());
    text
}

/// Packets built in code encode to the bytes in the file. The bytes in the file decode to the same
/// packets and encode to the same bytes again.
#[test]
fn packets_match_the_golden_file() {
    let lines: Vec<String> = packets()
        .iter()
        .map(|(name, packet)| format!("{name} {}\n", golden::to_hex(&packet.encode())))
        .collect();
    let text = read_golden("packets.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(packets()) {
        let (name, hex) = line
            .split_once(' ')
            .expect("a valid line of the golden file");
        let bytes = golden::from_hex(hex);
        let packet = Packet::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(packet, built, "{name}");
        assert_eq!(packet.encode(), bytes, "{name}");
    }
}

/// The same for records, each with the number of its kind.
#[test]
fn records_match_the_golden_file() {
    let lines: Vec<String> = records()
        .iter()
        .map(|(name, record)| {
            format!(
                "{name} {} {}\n",
                record.kind(),
                golden::to_hex(&record.encode())
            )
        })
        .collect();
    let text = read_golden("records.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(records()) {
        let [name, kind, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let bytes = golden::from_hex(hex);
        let record = Record::decode(
            kind.parse().expect("a valid line of the golden file"),
            &bytes,
        );
        assert_eq!(record, Some(built), "{name}");
        assert_eq!(
            record.expect("a valid line of the golden file").encode(),
            bytes,
            "{name}"
        );
    }
}
