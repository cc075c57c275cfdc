//! Days of the repository, played through the command.

use crate::support::{repository_file, run_limewing};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Days of many processes are played one after the other: each goes by the machine's time.
pub(crate) fn one_day_at_a_time() -> MutexGuard<'static, ()> {
    static DAY: Mutex<()> = Mutex::new(());
    DAY.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A day that was played, and what the command printed of it.
pub(crate) struct PlayedDay {
    /// Whether the command ended with success.
    pub succeeded: bool,
    /// Standard output, and standard error behind it.
    pub output: String,
    /// Holds the record and the logs.
    pub folder: tempfile::TempDir,
}

impl PlayedDay {
    /// Fails with the excerpt of the record if the command failed.
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

/// Plays a day of the repository after a change to its script.
pub(crate) fn play_day(name: &str, change: impl FnOnce(&mut serde_json::Value)) -> PlayedDay {
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
    PlayedDay {
        succeeded: out.status.success(),
        output,
        folder,
    }
}

/// The lines of the record on the attempts that a text names, on sidecars, and on times at which an event loop stalled.
pub(crate) fn record_excerpt(text: &str, folder: &Path) -> String {
    let record = std::fs::read_to_string(folder.join("record.jsonl")).unwrap_or_default();
    let attempts: Vec<String> = text
        .split("Try(OrderId(")
        .skip(1)
        .take(3)
        .filter_map(|rest| rest.split_once(')'))
        .map(|(order, _)| format!("\"of\":[{order},"))
        .collect();
    let tells = |line: &&str| {
        attempts.iter().any(|of| line.contains(of))
            || line.contains("sidecar_")
            || line.contains("\"stood\"")
    };
    let lines: Vec<&str> = record.lines().filter(tells).take(400).collect();
    lines.join("\n")
}
