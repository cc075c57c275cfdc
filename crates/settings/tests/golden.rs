//! Pins the files of settings: what the program wrote from values that fill every field, and what it makes of the least
//! that a file may say, with the defaults. The files are read, and written again they are the same bytes.

use limewing_settings::{KeyFile, SidecarSettings, WorkList};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap()
}

fn written<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

#[rstest]
#[case::every_field(include_str!("golden/sidecar.json"))]
#[case::defaults(include_str!("golden/sidecar-defaults.json"))]
fn settings_of_a_sidecar_are_written_as_before(#[case] file: &str) {
    assert_eq!(written(&read::<SidecarSettings>(file)), file);
}

#[test]
fn the_least_settings_of_a_sidecar_get_the_defaults_of_before() {
    let least: SidecarSettings = read(include_str!("golden/sidecar-least.json"));
    assert_eq!(
        written(&least),
        include_str!("golden/sidecar-defaults.json")
    );
}

#[rstest]
#[case::every_field(include_str!("golden/work.json"))]
#[case::defaults(include_str!("golden/work-defaults.json"))]
fn a_work_list_is_written_as_before(#[case] file: &str) {
    assert_eq!(written(&read::<WorkList>(file)), file);
}

#[test]
fn the_least_work_list_gets_the_defaults_of_before() {
    let least: WorkList = read(include_str!("golden/work-least.json"));
    assert_eq!(written(&least), include_str!("golden/work-defaults.json"));
}

#[test]
fn a_file_of_keys_is_written_as_before() {
    let file = include_str!("golden/keys.json");
    assert_eq!(written(&read::<KeyFile>(file)), file);
}
