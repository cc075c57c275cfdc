//! Golden tests of the settings files: a file with every field set, and a minimal file together with the file that results
//! from it with all defaults. Reading a file and writing it again must give the same bytes.

use limewing_settings::{KeyFile, SidecarSettings, WorkList};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap()
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

#[rstest]
#[case::every_field(include_str!("golden/sidecar.json"))]
#[case::defaults(include_str!("golden/sidecar-defaults.json"))]
fn sidecar_settings_match_the_golden_file(#[case] file: &str) {
    assert_eq!(to_json(&read::<SidecarSettings>(file)), file);
}

#[test]
fn minimal_sidecar_settings_get_the_golden_defaults() {
    let minimal: SidecarSettings = read(include_str!("golden/sidecar-least.json"));
    assert_eq!(
        to_json(&minimal),
        include_str!("golden/sidecar-defaults.json")
    );
}

#[rstest]
#[case::every_field(include_str!("golden/work.json"))]
#[case::defaults(include_str!("golden/work-defaults.json"))]
fn work_list_matches_the_golden_file(#[case] file: &str) {
    assert_eq!(to_json(&read::<WorkList>(file)), file);
}

#[test]
fn minimal_work_list_gets_the_golden_defaults() {
    let minimal: WorkList = read(include_str!("golden/work-least.json"));
    assert_eq!(to_json(&minimal), include_str!("golden/work-defaults.json"));
}

#[test]
fn key_file_matches_the_golden_file() {
    let file = include_str!("golden/keys.json");
    assert_eq!(to_json(&read::<KeyFile>(file)), file);
}
