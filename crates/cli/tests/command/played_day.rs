//! Runs days of the repository through the command.

use crate::support::{repository_file, run_limewing};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes days with many processes, because each runs in real time.
pub(crate) fn lock_real_time_days() -> MutexGuard<'static, ()> {
    static DAY: Mutex<()> = Mutex::new(());
    DAY.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A day that was run, and the output of the command.
pub(crate) struct DayOutcome {
    /// Whether the command succeeded.
    pub succeeded: bool,
    /// Standard output, followed by standard error.
    pub output: String,
    /// Folder with the record and the logs.
    pub folder: tempfile::TempDir,
}

impl DayOutcome {
    /// Panics with an excerpt of the record if the command failed.
    pub(crate) fn assert_success(&self) {
        assert!(
            self.succeeded,
            "{}\n{}",
            self.output,
            record_excerpt(&self.output, self.folder.path())
        );
    }

    pub(crate) fn sidecar_log(&self, number: usize) -> String {
        let file = self.folder.path().join(format!("sidecar-{number}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }
}

/// Runs a day of the repository with a modified script.
pub(crate) fn run_day(name: &str, change: impl FnOnce(&mut serde_json::Value)) -> DayOutcome {
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(repository_file(&format!("days/{name}.json"))).unwrap();
    let mut day: serde_json::Value = serde_json::from_str(&text).unwrap();
    change(&mut day);
    let script = folder.path().join("day.json");
    std::fs::write(&script, day.to_string()).unwrap();
    let out = run_limewing(&[
        "day",
        "play",
        script.to_str().unwrap(),
        "--folder",
        folder.path().to_str().unwrap(),
    ]);
    let output =
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    DayOutcome {
        succeeded: out.status.success(),
        output,
        folder,
    }
}

/// Returns the lines of the record about the attempts that a text names, about sidecars, and about stalls of an event loop.
pub(crate) fn record_excerpt(text: &str, folder: &Path) -> String {
    let record = std::fs::read_to_string(folder.join("record.jsonl")).unwrap_or_default();
    let attempts: Vec<String> = text
        .split("Try(OrderId(")
        .skip(1)
        .take(3)
        .filter_map(|rest| rest.split_once(')'))
        .map(|(order, _)| format!("\"of\":[{order},"))
        .collect();
    let is_relevant = |line: &&str| {
        attempts.iter().any(|of| line.contains(of))
            || line.contains("sidecar_")
            || line.contains("\"stood\"")
    };
    let lines: Vec<&str> = record.lines().filter(is_relevant).take(400).collect();
    lines.join("\n")
}
