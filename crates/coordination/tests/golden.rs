//! Pins what versions of coordination have to agree on: the bytes of a load report, and the keys of
//! names.
//!
//! `golden/reports.hex` has one report per line, `golden/keys.txt` one name per line with its key.
//! `GOLDEN_WRITE=1` rewrites the files, which is only for new kinds.

use limewing_coordination::{stable_key, LoadReport, OutlierHint, Service, MAX_HINTS};
use limewing_test_support::golden;

fn report(
    zone: u16,
    rate_exponent: u8,
    hints: Vec<(u64, OutlierHint)>,
    lost_services: u8,
) -> LoadReport {
    LoadReport {
        zone,
        rate_exponent,
        hints,
        lost_services,
    }
}

/// Returns reports with the names that label the lines of the file.
fn reports() -> Vec<(&'static str, LoadReport)> {
    let one_hint = |hint| vec![(stable_key("10.0.0.1:80"), hint)];
    let all_hints = vec![
        (1, OutlierHint::Ejected),
        (300, OutlierHint::Slow),
        (1 << 40, OutlierHint::Overloaded),
        (u64::MAX, OutlierHint::Recovered),
    ];
    let max_hints: Vec<_> = (0..MAX_HINTS as u64)
        .map(|n| (stable_key(&format!("pod{n}")), OutlierHint::Ejected))
        .collect();
    let endpoint_list = Service::EndpointList.bit();
    let rollout_service = Service::RolloutService.bit();
    let overloaded = vec![(7, OutlierHint::Overloaded)];
    vec![
        ("idle", report(0, 0, Vec::new(), 0)),
        ("shut", report(1, 4, one_hint(OutlierHint::Ejected), 0)),
        ("slow", report(2, 9, one_hint(OutlierHint::Slow), 0)),
        ("full", report(3, 17, one_hint(OutlierHint::Overloaded), 0)),
        ("open", report(4, 60, one_hint(OutlierHint::Recovered), 0)),
        ("each-hint", report(300, 255, all_hints, 0)),
        ("most-hints", report(u16::MAX, 12, max_hints, 0)),
        ("lost-list", report(5, 6, Vec::new(), endpoint_list)),
        ("lost-installer", report(5, 6, Vec::new(), rollout_service)),
        (
            "lost-both",
            report(5, 6, overloaded, endpoint_list | rollout_service),
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

/// Reports built in code encode to the bytes in the file. The bytes in the file decode to the same
/// reports and encode to the same bytes again. Reports of an earlier version, which end before the
/// lost services, and of a later version, which have more bytes after them, decode as well.
#[test]
fn reports_match_the_golden_file() {
    let lines: Vec<String> = reports()
        .iter()
        .map(|(name, report)| format!("{name} {}\n", golden::to_hex(&report.encode())))
        .collect();
    let text = golden::read(env!("CARGO_MANIFEST_DIR"), "reports.hex", &lines.concat());
    assert_eq!(lines.concat(), text);
    for (line, (_, expected)) in text.lines().zip(reports()) {
        let (name, hex) = line.split_once(' ').unwrap();
        let bytes = golden::from_hex(hex);
        let report = LoadReport::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error:?}"));
        assert_eq!(report, expected, "{name}");
        assert_eq!(report.encode(), bytes, "{name}");

        let earlier = LoadReport::decode(&bytes[..bytes.len() - 1]);
        assert_eq!(
            earlier,
            Ok(LoadReport {
                lost_services: 0,
                ..expected.clone()
            }),
            "{name}"
        );
        let later = [&bytes[..], &[1, 2, 3]].concat();
        assert_eq!(LoadReport::decode(&later), Ok(expected), "{name}");
    }
}

/// Keys of members' names and pods' addresses are the same at every sidecar and in every version.
#[test]
fn keys_match_the_golden_file() {
    let lines: String = NAMES
        .iter()
        .map(|name| format!("{name} {:016x}\n", stable_key(name)))
        .collect();
    assert_eq!(
        lines,
        golden::read(env!("CARGO_MANIFEST_DIR"), "keys.txt", &lines)
    );
}
