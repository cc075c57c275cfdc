//! Reports that a pod gave a wrong answer, as the rollout service passes them on.

use serde::Deserialize;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// A wrong answer: of which pod, in which class, and how long ago its attempt was sent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WrongAnswer {
    /// The pod's name in the endpoint list.
    #[serde(rename = "InstanceId")]
    pub host: String,
    /// The class's name in the settings.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Milliseconds since its attempt was sent.
    #[serde(default)]
    pub age_ms: f64,
}

/// Two streams report the same wrong answer within this time...
const DUPLICATE_WINDOW: Duration = Duration::from_secs(3);
/// ...and with times of the attempt no further apart than this.
const SENT_AT_TOLERANCE: Duration = Duration::from_millis(20);
/// Reports that are remembered: some of each pod of a large fleet, and no more of a stream that reports without end. Beyond it
/// the oldest is forgotten, and may count twice.
const MAX_REMEMBERED: usize = 4096;

struct Remembered<S> {
    stream: S,
    /// A hash of the names in the report: names may be as long as a line.
    names_hash: u64,
    sent_at: Duration,
    received_at: Duration,
}

/// Recognizes wrong answers that two streams report: while the stream of the rollout service's former address stands beside
/// the new one, each may report the same. `S` identifies a stream.
pub struct WrongAnswerLog<S>(VecDeque<Remembered<S>>);

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
        self.forget_old(now);
        let names_hash = hash_names(report);
        let is_duplicate = |other: &Remembered<S>| {
            other.stream != stream
                && other.names_hash == names_hash
                && other.sent_at.abs_diff(sent_at) <= SENT_AT_TOLERANCE
        };
        if let Some(index) = self.0.iter().position(is_duplicate) {
            self.0.remove(index);
            return false;
        }
        if self.0.len() >= MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(Remembered {
            stream,
            names_hash,
            sent_at,
            received_at: now,
        });
        true
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |report: &mut Remembered<S>| now > report.received_at + DUPLICATE_WINDOW;
        while self.0.pop_front_if(is_old).is_some() {}
    }
}

fn hash_names(report: &WrongAnswer) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&report.host, &report.class).hash(&mut hasher);
    hasher.finish()
}
