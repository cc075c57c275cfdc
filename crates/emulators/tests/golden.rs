//! Pins the file formats of days and scripts of faults: each file in `days/` and `fleets/` can be read, and is written again with the
//! same content. The schemas, with all names and defaults, are pinned by the tests of the command.

use limewing_emulators::script::DayScript;
use limewing_fault_injection::Script;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn files_in(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(folder);
    let entries = std::fs::read_dir(&folder).unwrap();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

/// The first difference between the file and the written value; values with defaults may be written in addition.
fn difference(at: &str, file: &Value, written: &Value) -> Option<String> {
    let differs = || {
        Some(format!(
            "{at}: the file has {file}, but {written} is written"
        ))
    };
    match (file, written) {
        (Value::Object(file), Value::Object(written)) => file.iter().find_map(|(name, value)| {
            let at = format!("{at}/{name}");
            match written.get(name) {
                Some(again) => difference(&at, value, again),
                None => Some(format!("{at}: missing in the written value")),
            }
        }),
        (Value::Array(file), Value::Array(written)) if file.len() == written.len() => {
            let pairs = file.iter().zip(written).enumerate();
            pairs.into_iter().find_map(|(place, (value, again))| {
                difference(&format!("{at}/{place}"), value, again)
            })
        }
        (Value::Number(file), Value::Number(written)) if file.as_f64() == written.as_f64() => None,
        _ if file == written => None,
        _ => differs(),
    }
}

fn assert_round_trip<T: Serialize + DeserializeOwned>(file: &Path) {
    let text = std::fs::read_to_string(file).unwrap();
    let of_file: Value = serde_json::from_str(&text).unwrap();
    let read: T =
        serde_json::from_str(&text).unwrap_or_else(|why| panic!("{}: {why}", file.display()));
    let written = serde_json::to_string(&read).unwrap();
    let of_written: Value = serde_json::from_str(&written).unwrap();
    assert_eq!(
        difference("", &of_file, &of_written),
        None,
        "{}",
        file.display()
    );
    let again: T = serde_json::from_str(&written).unwrap();
    assert_eq!(
        serde_json::to_string(&again).unwrap(),
        written,
        "{}",
        file.display()
    );
}

#[test]
fn every_day_survives_a_round_trip() {
    let files = files_in("days");
    assert!(files.len() >= 16, "{files:?}");
    for file in files {
        assert_round_trip::<DayScript>(&file);
    }
}

#[test]
fn every_fault_script_survives_a_round_trip() {
    let files = files_in("fleets");
    assert!(files.len() >= 9, "{files:?}");
    for file in files {
        assert_round_trip::<Script>(&file);
    }
}
