//! Format of the script, and the values that are rejected.

use limewing_fault_injection::{Fault, Script, Selector};
use rstest::rstest;

/// A script with every key and every fault of the format.
const SCRIPT: &str = r#"{
    "name": "all", "seed": 1, "seconds": 9.0,
    "line": {"loss": 0.1, "delay_ms": 1.0, "jitter_ms": 2.0, "duplicate": 0.2, "corrupt": 0.3, "bytes_per_s": 5.0},
    "steps": [
        {"at": 1.0, "does": {"cut": {"from": "all", "to": {"part": [0.0, 0.5]}, "one_way": true}}},
        {"at": 1.0, "does": "mend"},
        {"at": 1.0, "does": {"change": {"from": "all", "to": {"numbers": [1]}, "line":
            {"loss": 0.0, "delay_ms": 0.0, "jitter_ms": 0.0, "duplicate": 0.0, "corrupt": 0.0, "bytes_per_s": 0.0}}}},
        {"at": 1.0, "does": {"kill": "all"}},
        {"at": 1.0, "does": {"leave": "all"}},
        {"at": 1.0, "does": {"stop": "all"}},
        {"at": 1.0, "does": {"go_on": "all"}},
        {"at": 1.0, "does": {"start": "all"}},
        {"at": 1.0, "does": {"lose_disk": "all"}},
        {"at": 1.0, "does": {"fill_disk": "all"}},
        {"at": 1.0, "does": {"free_disk": "all"}},
        {"at": 1.0, "does": {"keys": {"who": "all", "ids": [1, 2]}}},
        {"at": 1.0, "does": {"noise": {"to": "all", "datagrams": 3}}}
    ],
    "clocks": [{"who": {"numbers": [2]}, "seconds": -3.0}]
}"#;

fn without_spaces(text: &str) -> String {
    text.split_whitespace().collect()
}

#[test]
fn a_script_is_written_as_it_is_read() {
    let script: Script = serde_json::from_str(SCRIPT).unwrap();
    assert!(script.config_errors().is_empty());
    assert_eq!(
        serde_json::to_string(&script).unwrap(),
        without_spaces(SCRIPT)
    );
}

#[test]
fn omitted_values_have_their_defaults() {
    let script: Script =
        serde_json::from_str(r#"{"name": "a", "seed": 1, "seconds": 9.0}"#).unwrap();
    assert!(script.steps.is_empty() && script.clock_offsets.is_empty());
    assert!(script.conditions.loss.abs() < f64::EPSILON);
}

#[rstest]
#[case::too_short(r#""seconds": 0.0"#, "/seconds")]
#[case::loss_over_one(r#""seconds": 9.0, "line": {"loss": 1.5}"#, "/line")]
#[case::after_the_end(
    r#""seconds": 9.0, "steps": [{"at": 10.0, "does": "mend"}]"#,
    "/steps/0/at"
)]
#[case::part_that_ends_before_it_begins(
    r#""seconds": 9.0, "steps": [{"at": 1.0, "does": {"kill": {"part": [0.5, 0.2]}}}]"#,
    "/steps/0/does"
)]
#[case::the_same_key_twice(
    r#""seconds": 9.0, "steps": [{"at": 1.0, "does": {"keys": {"who": "all", "ids": [1, 1]}}}]"#,
    "/steps/0/does/keys/ids"
)]
#[case::links_with_a_delay_below_zero(
    r#""seconds": 9.0, "steps": [{"at": 1.0, "does": {"change": {"from": "all", "to": "all", "line": {"delay_ms": -1.0}}}}]"#,
    "/steps/0/does/change/line"
)]
#[case::a_clock_more_than_a_day_off(
    r#""seconds": 9.0, "clocks": [{"who": "all", "seconds": 90000.0}]"#,
    "/clocks/0"
)]
fn an_invalid_value_is_reported_with_its_path(#[case] remaining_keys: &str, #[case] path: &str) {
    let text = format!(r#"{{"name": "a", "seed": 1, {remaining_keys}}}"#);
    let script: Script = serde_json::from_str(&text).unwrap();
    let errors = script.config_errors();
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].path, path);
}

#[rstest]
#[case::all(Selector::All, &[0, 1, 2, 3])]
#[case::second_half(Selector::Fraction(0.5, 1.0), &[2, 3])]
#[case::bounds_are_rounded(Selector::Fraction(0.1, 0.4), &[0, 1])]
#[case::only_existing_numbers(Selector::Numbers(vec![3, 0, 7]), &[3, 0])]
fn a_selector_resolves_to_numbers(#[case] selector: Selector, #[case] expected: &[usize]) {
    assert_eq!(selector.resolve(4), expected);
}

#[test]
fn clock_offsets_of_one_member_add_up() {
    let mut script: Script = serde_json::from_str(SCRIPT).unwrap();
    script.clock_offsets.extend(script.clock_offsets.clone());
    assert!((script.clock_offset(2, 4) + 6.0).abs() < f64::EPSILON);
    assert!(script.clock_offset(1, 4).abs() < f64::EPSILON);
}

#[test]
fn an_unknown_fault_is_rejected() {
    let text = r#"{"at": 1.0, "does": {"partition": {"from": "all", "to": "all"}}}"#;
    assert!(serde_json::from_str::<limewing_fault_injection::ScriptStep>(text).is_err());
    assert!(matches!(
        serde_json::from_str::<Fault>(r#""mend""#),
        Ok(Fault::HealPartitions)
    ));
}
