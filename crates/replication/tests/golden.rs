//! Pins the bytes of replication messages and of the records in them.
//!
//! `golden/packets.hex` holds one packet of each kind a line, `golden/records.hex` one record of
//! each kind with its kind number: what it shows, its bytes. `GOLDEN_WRITE=1` writes the files
//! anew; that is for new kinds only.

use limewing_replication::{Entry, Fact, Mark, Origin, Packet, Phase, Row, Say, Stage};
use std::path::Path;

fn origin(name: &str, start: u64) -> Origin {
    Origin {
        name: name.into(),
        start,
    }
}

fn row(name: &str, start: u64, upto: u64) -> Row {
    Row {
        origin: origin(name, start),
        upto,
    }
}

fn stage(number: u64, phase: Phase, cap: f64) -> Fact {
    Fact::Stage(Stage {
        number,
        build: 517,
        stage: 3,
        phase,
        cap,
    })
}

fn records() -> Vec<(&'static str, Fact)> {
    vec![
        (
            "key-met-build",
            Fact::Met {
                key: 0xfedc_ba98_7654_3210,
                build: 300,
            },
        ),
        ("key-met-build-small", Fact::Met { key: 1, build: 2 }),
        (
            "may-have-run",
            Fact::Hit {
                tag: 0x0123_4567_89ab_cdef,
                mark: Mark::MayHaveRun,
            },
        ),
        (
            "never-ran",
            Fact::Hit {
                tag: 77,
                mark: Mark::NeverRan,
            },
        ),
        ("stage-on-trial", stage(9, Phase::OnTrial, 0.14)),
        ("stage-released", stage(10, Phase::Released, 1.0)),
        ("stage-rolling-back", stage(0, Phase::GoingBack, 0.0)),
        ("stage-rolled-back", stage(1 << 40, Phase::Withdrawn, 0.5)),
    ]
}

fn entry(no: u64, left: u32, fact: &Fact) -> Entry {
    Entry {
        no,
        left,
        kind: fact.kind(),
        body: fact.write(),
    }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let entries: Vec<Entry> = (1..)
        .zip(records())
        .map(|(no, (_, fact))| entry(no * 100, 600_000, &fact))
        .collect();
    // Of a kind that this version does not know: passed on as it came.
    let unknown = Entry {
        no: 2,
        left: 1,
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
            Say::Entries {
                origin: first.clone(),
                all: None,
                entries: entries.clone(),
            },
        ),
        (
            "entries-of-a-range",
            Say::Entries {
                origin: last.clone(),
                all: Some((99, 812)),
                entries,
            },
        ),
        (
            "entries-of-an-unknown-kind",
            Say::Entries {
                origin: last.clone(),
                all: None,
                entries: vec![unknown],
            },
        ),
        (
            "entries-none",
            Say::Entries {
                origin: last.clone(),
                all: Some((0, 300)),
                entries: Vec::new(),
            },
        ),
        (
            "digest",
            Say::Have {
                no: 1,
                from: None,
                to: None,
                rows: rows.clone(),
            },
        ),
        (
            "digest-of-a-range",
            Say::Have {
                no: 70_000,
                from: Some(first.clone()),
                to: Some(last.clone()),
                rows: rows.clone(),
            },
        ),
        (
            "digest-reply",
            Say::Lack {
                no: 1,
                to: None,
                rows: rows.clone(),
                ahead: Vec::new(),
                knows: false,
            },
        ),
        (
            "digest-reply-of-a-range",
            Say::Lack {
                no: u32::MAX,
                to: Some(last),
                rows: Vec::new(),
                ahead: rows,
                knows: true,
            },
        ),
    ];
    says.into_iter()
        .map(|(name, say)| (name, Packet { say }))
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
        .map(|(name, packet)| format!("{name} {}\n", to_hex(&packet.write())))
        .collect();
    let text = read_golden("packets.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(packets()) {
        let (name, hex) = line.split_once(' ').unwrap();
        let bytes = from_hex(hex);
        let packet = Packet::read(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(packet, built, "{name}");
        assert_eq!(packet.write(), bytes, "{name}");
    }
}

/// The same for records, each with the number of its kind.
#[test]
fn records_are_read_and_written_as_in_the_file() {
    let lines: Vec<String> = records()
        .iter()
        .map(|(name, fact)| format!("{name} {} {}\n", fact.kind(), to_hex(&fact.write())))
        .collect();
    let text = read_golden("records.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(records()) {
        let [name, kind, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let bytes = from_hex(hex);
        let fact = Fact::read(kind.parse().unwrap(), &bytes);
        assert_eq!(fact, Some(built), "{name}");
        assert_eq!(fact.unwrap().write(), bytes, "{name}");
    }
}
