//! Reports of wrong answers from pods, relayed by the rollout service.

use serde::Deserialize;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// A wrong answer: its pod, its request class, and the age of its attempt.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WrongAnswer {
    /// The name of the pod in the endpoint list.
    #[serde(rename = "InstanceId")]
    pub host: String,
    /// The name of the request class in the settings.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Time since its attempt was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: f64,
}

/// Maximum time between the reports of the same wrong answer on two streams.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(3);
/// Maximum difference between the send times in these reports.
const SENT_AT_TOLERANCE: Duration = Duration::from_millis(20);
/// Maximum number of stored reports: enough for several from each pod of a large fleet, and a limit
/// for a stream that reports without end. Beyond it, the oldest report is dropped, and its wrong
/// answer may be counted twice.
const MAX_STORED_REPORTS: usize = 4096;

struct StoredReport<S> {
    stream: S,
    /// A hash of the names in the report, which may be as long as a line.
    names_hash: u64,
    sent_at: Duration,
    received_at: Duration,
}

/// Detects wrong answers that are reported on two streams. While the stream from the former address
/// of the rollout service is open beside the new one, both may report the same wrong answer. `S`
/// identifies a stream.
pub struct WrongAnswerLog<S>(VecDeque<StoredReport<S>>);

impl<S> Default for WrongAnswerLog<S> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<S: PartialEq> WrongAnswerLog<S> {
    /// Records a report; returns whether no other stream has reported the same wrong answer.
    pub fn record(
        &mut self,
        stream: S,
        report: &WrongAnswer,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        self.remove_expired(now);
        let names_hash = hash_names(report);
        let is_duplicate = |other: &StoredReport<S>| {
            other.stream != stream
                && other.names_hash == names_hash
                && other.sent_at.abs_diff(sent_at) <= SENT_AT_TOLERANCE
        };
        if let Some(index) = self.0.iter().position(is_duplicate) {
            self.0.remove(index);
            return false;
        }
        if self.0.len() >= MAX_STORED_REPORTS {
            self.0.pop_front();
        }
        self.0.push_back(StoredReport {
            stream,
            names_hash,
            sent_at,
            received_at: now,
        });
        true
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_expired = |report: &mut StoredReport<S>| now > report.received_at + DUPLICATE_WINDOW;
        while self.0.pop_front_if(is_expired).is_some() {}
    }
}

fn hash_names(report: &WrongAnswer) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&report.host, &report.class).hash(&mut hasher);
    hasher.finish()
}
