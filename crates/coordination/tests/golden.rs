//! Pins what coordination has in common between versions: the bytes of a load report, and the keys
//! of names.
//!
//! `golden/reports.hex` holds one report a line, `golden/keys.txt` one name a line with its key.
//! `GOLDEN_WRITE=1` writes the files anew; that is for new kinds only.

use limewing_coordination::{stable_key, LoadReport, OutlierHint, Service, MAX_HINTS};
use std::path::Path;

fn reports() -> Vec<(&'static str, LoadReport)> {
    let report = |zone, traffic, hints, lost| LoadReport {
        zone,
        rate_exponent: traffic,
        hints,
        lost_services: lost,
    };
    let all_hints = vec![
        (1, OutlierHint::Ejected),
        (300, OutlierHint::Slow),
        (1 << 40, OutlierHint::Overloaded),
        (u64::MAX, OutlierHint::Recovered),
    ];
    let most: Vec<_> = (0..MAX_HINTS as u64)
        .map(|n| (stable_key(&format!("pod{n}")), OutlierHint::Ejected))
        .collect();
    let both = Service::EndpointList.bit() | Service::Installer.bit();
    vec![
        ("idle", report(0, 0, Vec::new(), 0)),
        (
            "shut",
            report(
                1,
                4,
                vec![(stable_key("10.0.0.1:80"), OutlierHint::Ejected)],
                0,
            ),
        ),
        (
            "slow",
            report(
                2,
                9,
                vec![(stable_key("10.0.0.1:80"), OutlierHint::Slow)],
                0,
            ),
        ),
        (
            "full",
            report(
                3,
                17,
                vec![(stable_key("10.0.0.1:80"), OutlierHint::Overloaded)],
                0,
            ),
        ),
        (
            "open",
            report(
                4,
                60,
                vec![(stable_key("10.0.0.1:80"), OutlierHint::Recovered)],
                0,
            ),
        ),
        ("each-hint", report(300, 255, all_hints, 0)),
        ("most-hints", report(u16::MAX, 12, most, 0)),
        (
            "lost-list",
            report(5, 6, Vec::new(), Service::EndpointList.bit()),
        ),
        (
            "lost-installer",
            report(5, 6, Vec::new(), Service::Installer.bit()),
        ),
        (
            "lost-both",
            report(5, 6, vec![(7, OutlierHint::Overloaded)], both),
        ),
    ]
}

const NAMES: [&str; 7] = [
    "s0",
    "s1",
    "sidecar-12",
    "127.0.0.1:8080",
    "[::1]:9000",
    "10.0.0.1:80",
    "zone-ü",
];

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

fn read_golden(file: &str, today: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, today).unwrap();
    }
    std::fs::read_to_string(path).unwrap()
}

/// Reports built from code are written as in the file; those of the file are read as those values,
/// and written again alike. So are those of an earlier version, which end before the lost services,
/// and of a later one, which has more behind them.
#[test]
fn reports_are_read_and_written_as_in_the_file() {
    let lines: Vec<String> = reports()
        .iter()
        .map(|(name, report)| format!("{name} {}\n", to_hex(&report.encode())))
        .collect();
    let text = read_golden("reports.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, built)) in text.lines().zip(reports()) {
        let (name, hex) = line.split_once(' ').unwrap();
        let bytes = from_hex(hex);
        let report = LoadReport::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error:?}"));
        assert_eq!(report, built, "{name}");
        assert_eq!(report.encode(), bytes, "{name}");

        let earlier = LoadReport::decode(&bytes[..bytes.len() - 1]);
        assert_eq!(
            earlier,
            Ok(LoadReport {
                lost_services: 0,
                ..built.clone()
            }),
            "{name}"
        );
        let later = [&bytes[..], &[1, 2, 3]].concat();
        assert_eq!(LoadReport::decode(&later), Ok(built), "{name}");
    }
}

/// Keys of members' names and pods' addresses are the same at every sidecar and in every version.
#[test]
fn names_have_the_keys_of_the_file() {
    let lines: String = NAMES
        .iter()
        .map(|name| format!("{name} {:016x}\n", stable_key(name)))
        .collect();
    assert_eq!(lines, read_golden("keys.txt", &lines));
}
