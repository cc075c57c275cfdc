//! The faults of a day, and the builds that are rolled out.

use super::schema::undocumented_words_as_enum;
use limewing_settings::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// A build that is rolled out.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Offer", deny_unknown_fields)]
#[schemars(description = "")]
pub struct BuildOffer {
    /// The time at which its rollout begins.
    #[schemars(description = "")]
    pub at: Seconds,
    /// The number of the build.
    #[schemars(description = "")]
    pub build: u16,
    /// The factor by which work takes longer than on the first build.
    #[serde(rename = "slow", default = "default_slowdown")]
    pub slowdown: f64,
    /// Its faults.
    #[serde(default)]
    #[schemars(description = "")]
    pub faults: Vec<BuildFault>,
}

fn default_slowdown() -> f64 {
    1.0
}

/// A fault of a build.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Fault", deny_unknown_fields)]
#[schemars(description = "")]
pub enum BuildFault {
    /// A share of its requests fails; optionally only requests of one class, or only at pods that have run for some time.
    #[serde(rename = "errors")]
    Errors {
        /// The share that is affected.
        #[schemars(description = "")]
        share: f64,
        /// The name of the only affected request class.
        #[serde(rename = "group", default)]
        #[schemars(description = "")]
        class: Option<String>,
        /// How long a pod runs before it is affected.
        #[serde(rename = "after", default)]
        #[schemars(description = "")]
        min_age: Option<Seconds>,
    },
    /// A share of its answers is wrong, although they look like successful ones.
    #[serde(rename = "wrong")]
    WrongAnswers {
        /// The share that is affected.
        #[schemars(description = "")]
        share: f64,
    },
}

/// A fault and its schedule.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "TroubleAt", deny_unknown_fields)]
#[schemars(description = "")]
pub struct ScheduledFault {
    /// The time at which it begins.
    #[schemars(description = "")]
    pub at: Seconds,
    /// Its duration; if absent, it lasts until the end of the day.
    #[serde(rename = "for", default)]
    pub duration: Option<Seconds>,
    /// The fault.
    #[serde(rename = "what")]
    #[schemars(description = "")]
    pub fault: DayFault,
}

/// A fault during a day. Pods are identified by their slots in the fleet, which are counted from 0.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Trouble", rename_all = "snake_case", deny_unknown_fields)]
#[schemars(transform = undocumented_words_as_enum)]
pub enum DayFault {
    /// The pods' processes are killed; others start in their slots when the fault ends.
    PodsKilled(Vec<usize>),
    /// The pods accept connections and requests, but never answer: requests are lost.
    PodsSilent(Vec<usize>),
    /// The pods begin no requests until the fault ends, and then continue.
    PodsHung(Vec<usize>),
    /// The pods' work takes longer.
    #[schemars(description = "")]
    PodsSlow {
        /// The slots of the pods.
        #[serde(rename = "places")]
        #[schemars(description = "")]
        slots: Vec<usize>,
        /// The factor by which it takes longer.
        #[schemars(description = "")]
        factor: f64,
    },
    /// A share of the pods' answers is truncated.
    #[serde(rename = "half_answers")]
    TruncatedAnswers {
        /// The slots of the pods.
        #[serde(rename = "places")]
        #[schemars(description = "")]
        slots: Vec<usize>,
        /// The share that is affected.
        #[schemars(description = "")]
        share: f64,
    },
    /// The pods close each connection after one answer, while the next request may already be in flight.
    #[serde(rename = "pods_close")]
    PodsCloseConnections(Vec<usize>),
    /// A zone is partitioned from all others; the endpoint list and the rollout service are in the first zone.
    #[serde(rename = "zone_cut")]
    ZonePartitioned(String),
    /// SIGKILL to this sidecar, which restarts when the fault ends.
    SidecarKilled(usize),
    /// SIGTERM to this sidecar, which restarts when the fault ends.
    #[serde(rename = "sidecar_leaves")]
    SidecarTerminated(usize),
    /// SIGSTOP to this sidecar until the fault ends.
    #[serde(rename = "sidecar_stopped")]
    SidecarSuspended(usize),
    /// The endpoint list is delayed further by this.
    #[serde(rename = "list_lags")]
    #[schemars(description = "")]
    ListDelayed(Seconds),
    /// The endpoint list accepts no connections.
    #[schemars(description = "")]
    ListDown,
    /// The rollout service is down: there are no stage updates, no stage changes and no answers to votes.
    #[serde(rename = "installer_down")]
    RolloutsDown,
    /// The rollout makes no progress; stage updates and votes continue.
    #[serde(rename = "installer_stands_still")]
    RolloutsPaused,
    /// Votes are never answered, but every other one counts.
    VotesUnanswered,
    /// Votes count at once, but their answers are delayed by this; they state the stage at the time of the vote.
    #[serde(rename = "votes_late")]
    VoteAnswersDelayed(Seconds),
    /// Votes of all sidecars together are limited to a number within a window; the others are refused.
    #[serde(rename = "votes_allowed")]
    VotesRateLimited {
        /// The limit.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        max: usize,
        /// The window.
        #[serde(rename = "within")]
        #[schemars(description = "")]
        window: Seconds,
    },
    /// All votes are refused, as if they exceeded the rate limit.
    VotesRefused,
    /// Stage updates are delayed by this.
    #[serde(rename = "news_late")]
    StageUpdatesDelayed(Seconds),
    /// Each pod accepts only this many connections, and closes others at once.
    #[serde(rename = "connections_scarce")]
    ConnectionsLimited {
        /// The limit.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        max: usize,
    },
    /// A new connection to a pod becomes usable only after this delay.
    #[serde(rename = "connections_dear")]
    ConnectionsDelayed(Seconds),
    /// The request rate is multiplied by this factor.
    Overload(f64),
    /// One tenant sends additional requests, which fail at every pod.
    #[serde(rename = "worthless")]
    FailingTenant {
        /// The tenant's name.
        #[serde(rename = "customer")]
        #[schemars(description = "")]
        tenant: String,
        /// The additional requests per second.
        #[serde(rename = "per_s")]
        #[schemars(description = "")]
        requests_per_second: f64,
    },
}

/// The text by which records and the terminal view name a fault; part of the format of records.
impl Display for DayFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            DayFault::PodsKilled(slots) => write!(f, "PodsKilled({slots:?})"),
            DayFault::PodsSilent(slots) => write!(f, "PodsSilent({slots:?})"),
            DayFault::PodsHung(slots) => write!(f, "PodsHung({slots:?})"),
            DayFault::PodsSlow { slots, factor } => {
                write!(f, "PodsSlow {{ places: {slots:?}, factor: {factor:?} }}")
            }
            DayFault::TruncatedAnswers { slots, share } => {
                write!(f, "HalfAnswers {{ places: {slots:?}, share: {share:?} }}")
            }
            DayFault::PodsCloseConnections(slots) => write!(f, "PodsClose({slots:?})"),
            DayFault::ZonePartitioned(zone) => write!(f, "ZoneCut({zone:?})"),
            DayFault::SidecarKilled(number) => write!(f, "SidecarKilled({number})"),
            DayFault::SidecarTerminated(number) => write!(f, "SidecarLeaves({number})"),
            DayFault::SidecarSuspended(number) => write!(f, "SidecarStopped({number})"),
            DayFault::ListDelayed(delay) => write!(f, "ListLags({delay:?})"),
            DayFault::ListDown => f.write_str("ListDown"),
            DayFault::RolloutsDown => f.write_str("InstallerDown"),
            DayFault::RolloutsPaused => f.write_str("InstallerStandsStill"),
            DayFault::VotesUnanswered => f.write_str("VotesUnanswered"),
            DayFault::VoteAnswersDelayed(delay) => write!(f, "VotesLate({delay:?})"),
            DayFault::VotesRateLimited { max, window } => {
                write!(f, "VotesAllowed {{ most: {max}, within: {window:?} }}")
            }
            DayFault::VotesRefused => f.write_str("VotesRefused"),
            DayFault::StageUpdatesDelayed(delay) => write!(f, "NewsLate({delay:?})"),
            DayFault::ConnectionsLimited { max } => {
                write!(f, "ConnectionsScarce {{ most: {max} }}")
            }
            DayFault::ConnectionsDelayed(delay) => write!(f, "ConnectionsDear({delay:?})"),
            DayFault::Overload(factor) => write!(f, "Overload({factor:?})"),
            DayFault::FailingTenant {
                tenant,
                requests_per_second,
            } => write!(
                f,
                "Worthless {{ customer: {tenant:?}, per_s: {requests_per_second:?} }}"
            ),
        }
    }
}
