//! What rollouts and a sidecar say to each other: how the newest build stands, reports of wrong answers, votes.

use limewing_decision::interface::{BuildId, Phase, StageIndex, StageUpdate, Verdict, VoteAnswer};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum Standing {
    Progressing,
    Aborting,
    Healthy,
    Aborted,
}

/// How the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct State {
    revision: u16,
    wave: u8,
    state: Standing,
    max_share: f64,
    #[serde(default)]
    age_ms: f64,
}

impl State {
    pub fn news(self) -> StageUpdate {
        StageUpdate {
            build: BuildId(self.revision),
            stage: StageIndex(self.wave),
            phase: match self.state {
                Standing::Progressing => Phase::OnTrial,
                Standing::Aborting => Phase::RollingBack,
                Standing::Healthy => Phase::Released,
                Standing::Aborted => Phase::RolledBack,
            },
            cap: if self.max_share.is_finite() {
                self.max_share.clamp(0.0, 1.0)
            } else {
                0.0
            },
            age: Duration::from_millis(self.age_ms.clamp(0.0, 1e9) as u64),
        }
    }

    /// How far a build has come: it never stands before where it stood.
    fn progress(self) -> (u16, u8, u8) {
        let far = match self.state {
            Standing::Progressing => 0,
            Standing::Healthy => 1,
            Standing::Aborting => 2,
            Standing::Aborted => 3,
        };
        (self.revision, far, if far == 0 { self.wave } else { 0 })
    }
}

/// Lets only news through that is no older than what came before: the stream and the answers to votes come on
/// connections of their own, and a late answer may tell a cap that has been lowered since.
#[derive(Default)]
pub struct Latest(Option<State>);

impl Latest {
    /// The news, if it is none that was overtaken, and the build that it closes to what has not gone out: one that goes
    /// back, or whose cap was lowered. That binds soon, and an attempt that was granted before may be on its way for longer.
    pub fn take(&mut self, state: State) -> Option<(StageUpdate, Option<BuildId>)> {
        if self.0.is_some_and(|old| old.progress() > state.progress()) {
            return None;
        }
        let (old, news) = (self.0.replace(state).map(State::news), state.news());
        let lower = old.is_some_and(|old| old.build == news.build && news.cap < old.cap);
        let closes = lower || matches!(news.phase, Phase::RollingBack | Phase::RolledBack);
        Some((news, closes.then_some(news.build)))
    }
}

/// A wrong answer: whose, in which class, and how long ago its forward was sent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Report {
    pub instance_id: String,
    pub lane: String,
    #[serde(default)]
    pub age_ms: f64,
}

/// The reports told lately. While a stream to where rollouts were before stands beside the new one, each may tell the
/// same wrong answer. `B` names a stream.
pub struct Reports<B>(VecDeque<Heard<B>>);

struct Heard<B> {
    by: B,
    /// A hash of the names in it: names may be as long as a line.
    report: u64,
    sent: Duration,
    at: Duration,
}

/// One wrong answer told by two streams is told within this time, and of forwards sent no further apart.
const TOLD_TWICE_WITHIN: Duration = Duration::from_secs(3);
const SENT_ALIKE: Duration = Duration::from_millis(20);
/// Reports that are remembered: some of each pod of a large fleet, and no more of a stream that tells without end. Beyond it the
/// oldest is forgotten, and may count twice.
const MAX_REPORTS: usize = 4096;

fn hash_of(report: &Report) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&report.instance_id, &report.lane).hash(&mut hasher);
    hasher.finish()
}

impl<B> Default for Reports<B> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<B: PartialEq> Reports<B> {
    /// Whether no other stream has told of it.
    pub fn is_new(&mut self, by: B, report: &Report, sent: Duration, now: Duration) -> bool {
        while self
            .0
            .pop_front_if(|heard| now > heard.at + TOLD_TWICE_WITHIN)
            .is_some()
        {}
        let report = hash_of(report);
        let same = |heard: &Heard<B>| {
            heard.by != by && heard.report == report && heard.sent.abs_diff(sent) <= SENT_ALIKE
        };
        if let Some(place) = self.0.iter().position(same) {
            self.0.remove(place);
            return false;
        }
        if self.0.len() >= MAX_REPORTS {
            self.0.pop_front();
        }
        self.0.push_back(Heard {
            by,
            report,
            sent,
            at: now,
        });
        true
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    News(State),
    Report(Report),
    /// A sign of life, or something that is not for us.
    Nothing,
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(borrow)]
    object: Option<&'a serde_json::value::RawValue>,
}

/// # Errors
/// A line that can't be read.
pub fn read_line(line: &[u8]) -> Result<Told, String> {
    if line.trim_ascii().is_empty() {
        return Ok(Told::Nothing);
    }
    let read: Line = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let object = read.object.map_or("null", |object| object.get());
    match read.kind.as_str() {
        "news" => serde_json::from_str(object)
            .map(Told::News)
            .map_err(|e| e.to_string()),
        "report" => serde_json::from_str(object)
            .map(Told::Report)
            .map_err(|e| e.to_string()),
        _ => Ok(Told::Nothing),
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Vote {
    revision: u16,
    wave: u8,
    decision: &'static str,
}

pub fn vote(verdict: Verdict, build: BuildId, stage: StageIndex) -> Vec<u8> {
    let decision = match verdict {
        Verdict::Abstain => "abstain",
        Verdict::Promote => "promote",
        Verdict::Hold => "pause",
        Verdict::RollBack => "abort",
    };
    serde_json::to_vec(&Vote {
        revision: build.0,
        wave: stage.0,
        decision,
    })
    .unwrap_or_default()
}

/// What an answer to a vote says, and how the newest build stands by it.
pub fn vote_answer(status: u16, body: &[u8]) -> (VoteAnswer, Option<State>) {
    match status {
        200 => match serde_json::from_slice(body) {
            Ok(state) => (VoteAnswer::Counted, Some(state)),
            Err(_) => (VoteAnswer::Unanswered, None),
        },
        409 => (VoteAnswer::Moot, None),
        429 => (VoteAnswer::Full, None),
        _ => (VoteAnswer::Failed, None),
    }
}
