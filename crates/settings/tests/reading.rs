//! Tests of reading settings files, and of the errors for invalid files.

use limewing_settings::{read_text, SidecarSettings};
use rstest::rstest;

const VALID_SETTINGS: &str = r#"{
  "name": "a",
  "listen": "127.0.0.1:0",
  "list": {"address": "127.0.0.1:8500", "service": "web"},
  "fleet": {"sidecars": 2, "own_number": 0, "zones": ["east"], "zone": "east"},
  "headers": {},
  "path_groups": [
    {"name": "quote", "routes": [{"method": "GET", "path": "/q"}], "repeat": "repeatable",
     "target_latency": 1, "client_timeout": 3, "benefit": 1}
  ],
  "limits": {"max_forwards": 3, "connect_timeout": 0.2, "idle_close": 10, "deadline_margin": 0.02},
  "rules": {"answer_slack": 0.02, "drain_grace": 1, "cold_from": 0.4, "cold_for": 3, "fall_multiple": 2,
            "fall_within": 3},
  "releases": {"control": "clock", "stages": [{"share": 0.1, "cap": 0.2}, {"share": 1, "cap": 1}],
               "cap_window": 2, "cap_free": 1, "step_after": 4, "vote_life": 4, "vote_answer_within": 1,
               "back_votes": 1}
}"#;

#[rstest]
#[case::unknown_key(
    r#""headers": {}"#,
    r#""headers": {"color": 1}"#,
    6,
    "/headers/color",
    "unknown field"
)]
#[case::wrong_type(
    r#""max_forwards": 3"#,
    r#""max_forwards": "3""#,
    11,
    "/limits/max_forwards",
    "expected u16"
)]
#[case::missing(
    r#""client_timeout": 3, "#,
    "",
    9,
    "/path_groups/0",
    "missing field `client_timeout`"
)]
#[case::negative_duration(
    r#""idle_close": 10"#,
    r#""idle_close": -1"#,
    11,
    "/limits/idle_close",
    "expected seconds"
)]
#[case::cap_over_one(
    r#""cap": 0.2"#,
    r#""cap": 1.2"#,
    14,
    "/releases/stages/0/cap",
    "expected a part from 0 to 1"
)]
#[case::timeout_under_target(
    r#""client_timeout": 3"#,
    r#""client_timeout": 0.5"#,
    9,
    "/path_groups/0/client_timeout",
    "no less than"
)]
#[case::index_outside_the_fleet(
    r#""own_number": 0"#,
    r#""own_number": 2"#,
    5,
    "/fleet/own_number",
    "below /fleet/sidecars"
)]
#[case::bad_pattern(
    r#""path": "/q""#,
    r#""path": "/q/{""#,
    8,
    "/path_groups/0/routes/0/path",
    "expected a pattern"
)]
#[case::no_address(
    "127.0.0.1:8500",
    "there",
    4,
    "/list/address",
    "invalid socket address"
)]
#[case::truncated(r#""back_votes": 1}"#, r#""back_votes": 1"#, 17, "/", "EOF")]
fn an_invalid_file_is_reported_with_line_path_and_expectation(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: usize,
    #[case] path: &str,
    #[case] expected: &str,
) {
    assert!(VALID_SETTINGS.contains(valid));
    let text = VALID_SETTINGS.replace(valid, invalid);
    let error = read_text::<SidecarSettings>("a.json", &text).unwrap_err();
    assert_eq!(
        (error.file.as_str(), error.line, error.path.as_str()),
        ("a.json", line, path),
        "{error}"
    );
    assert!(error.expected.contains(expected), "{error}");
}

/// An error about a value of the wrong type names the expected type as in the schema.
#[rstest]
#[case::class("[5,", r#""path_groups": ["#, "struct PathGroup")]
#[case::idempotency(r#"{"tagged": 5}"#, r#""repeatable""#, "struct variant Repeat::Tagged")]
#[case::endpoint_list(
    "5",
    r#"{"address": "127.0.0.1:8500", "service": "web"}"#,
    "struct ListService"
)]
#[case::rollout_service("5", r#""headers": {}, "installer": "#, "struct Installer")]
#[case::tenant("[5]", r#""headers": {}, "customers": "#, "struct Customer")]
#[case::peers("5", r#""headers": {}, "peers": "#, "struct Peers")]
#[case::maintenance("5", r#""headers": {}, "work": "#, "struct Work")]
#[case::stage("5", r#"{"share": 0.1, "cap": 0.2}"#, "struct Stage")]
fn a_value_of_the_wrong_type_is_reported_with_the_schema_type(
    #[case] invalid: &str,
    #[case] valid: &str,
    #[case] expected: &str,
) {
    let text = if let Some(added) = valid.strip_prefix(r#""headers": {}, "#) {
        VALID_SETTINGS.replace(
            r#""headers": {}"#,
            &format!(r#""headers": {{}}, {added}{invalid}"#),
        )
    } else if valid.ends_with('[') {
        VALID_SETTINGS.replace(valid, &format!("{}{invalid}", valid.trim_end_matches('[')))
    } else {
        VALID_SETTINGS.replace(valid, invalid)
    };
    let error = read_text::<SidecarSettings>("a.json", &text).unwrap_err();
    assert!(
        error.expected.ends_with(&format!("expected {expected}")),
        "{error}"
    );
}

#[test]
fn a_valid_file_is_converted_into_a_configuration() {
    let settings: SidecarSettings = read_text("a.json", VALID_SETTINGS).unwrap();
    let config = settings.sidecar_config(7);
    assert_eq!(
        (
            config.sidecar_count,
            config.classes.len(),
            config.rollout.exposure_caps
        ),
        (2, 1, vec![0.2, 1.0])
    );
}
