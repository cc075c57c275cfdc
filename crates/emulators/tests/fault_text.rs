//! Pins the texts by which records and the terminal view name the faults of a day.

use limewing_emulators::script::DayFault;
use rstest::rstest;

#[rstest]
#[case(r#"{"pods_killed": [0, 2]}"#, "PodsKilled([0, 2])")]
#[case(r#"{"pods_silent": [1]}"#, "PodsSilent([1])")]
#[case(r#"{"pods_hung": []}"#, "PodsHung([])")]
#[case(
    r#"{"pods_slow": {"places": [1], "factor": 3.0}}"#,
    "PodsSlow { places: [1], factor: 3.0 }"
)]
#[case(
    r#"{"half_answers": {"places": [4], "share": 0.25}}"#,
    "HalfAnswers { places: [4], share: 0.25 }"
)]
#[case(r#"{"pods_close": [7]}"#, "PodsClose([7])")]
#[case(r#"{"zone_cut": "east"}"#, "ZoneCut(\"east\")")]
#[case(r#"{"sidecar_killed": 1}"#, "SidecarKilled(1)")]
#[case(r#"{"sidecar_leaves": 2}"#, "SidecarLeaves(2)")]
#[case(r#"{"sidecar_stopped": 3}"#, "SidecarStopped(3)")]
#[case(r#"{"list_lags": 2}"#, "ListLags(Seconds(2.0))")]
#[case(r#""list_down""#, "ListDown")]
#[case(r#""installer_down""#, "InstallerDown")]
#[case(r#""installer_stands_still""#, "InstallerStandsStill")]
#[case(r#""votes_unanswered""#, "VotesUnanswered")]
#[case(r#"{"votes_late": 0.5}"#, "VotesLate(Seconds(0.5))")]
#[case(
    r#"{"votes_allowed": {"most": 4, "within": 1.5}}"#,
    "VotesAllowed { most: 4, within: Seconds(1.5) }"
)]
#[case(r#""votes_refused""#, "VotesRefused")]
#[case(r#"{"news_late": 1}"#, "NewsLate(Seconds(1.0))")]
#[case(
    r#"{"connections_scarce": {"most": 9}}"#,
    "ConnectionsScarce { most: 9 }"
)]
#[case(r#"{"connections_dear": 0.25}"#, "ConnectionsDear(Seconds(0.25))")]
#[case(r#"{"overload": 4}"#, "Overload(4.0)")]
#[case(
    r#"{"worthless": {"customer": "acme", "per_s": 20.5}}"#,
    "Worthless { customer: \"acme\", per_s: 20.5 }"
)]
fn a_fault_has_its_text_of_the_record(#[case] setting: &str, #[case] text: &str) {
    let fault: DayFault = serde_json::from_str(setting).unwrap();
    assert_eq!(fault.to_string(), text);
}
