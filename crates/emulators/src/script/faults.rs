//! What goes wrong during a day, and the builds that are rolled out.

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
    /// When its rollout begins.
    #[schemars(description = "")]
    pub at: Seconds,
    /// The build.
    #[schemars(description = "")]
    pub build: u16,
    /// Work takes so many times as long as on the first build.
    #[serde(rename = "slow", default = "default_slowdown")]
    pub slowdown: f64,
    /// What is wrong with it.
    #[serde(default)]
    #[schemars(description = "")]
    pub faults: Vec<BuildFault>,
}

fn default_slowdown() -> f64 {
    1.0
}

/// What is wrong with a build.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Fault", deny_unknown_fields)]
#[schemars(description = "")]
pub enum BuildFault {
    /// A share of its hits errs; of one path group only, or of a pod that has run for a while.
    #[serde(rename = "errors")]
    Errors {
        /// The share.
        #[schemars(description = "")]
        share: f64,
        /// The name of the only class that it concerns.
        #[serde(rename = "group", default)]
        #[schemars(description = "")]
        class: Option<String>,
        /// How long a pod runs before.
        #[serde(rename = "after", default)]
        #[schemars(description = "")]
        min_age: Option<Seconds>,
    },
    /// A share of its answers is wrong, and looks right.
    #[serde(rename = "wrong")]
    WrongAnswers {
        /// The share.
        #[schemars(description = "")]
        share: f64,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "TroubleAt", deny_unknown_fields)]
#[schemars(description = "")]
pub struct ScheduledFault {
    /// When it begins.
    #[schemars(description = "")]
    pub at: Seconds,
    /// How long it lasts.
    #[serde(rename = "for", default)]
    pub duration: Option<Seconds>,
    /// What it is.
    #[serde(rename = "what")]
    #[schemars(description = "")]
    pub fault: DayFault,
}

/// What goes wrong. Pods are named by their place in the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Trouble", rename_all = "snake_case", deny_unknown_fields)]
#[schemars(transform = undocumented_words_as_enum)]
pub enum DayFault {
    /// The process dies; another one starts at its place when the trouble ends.
    PodsKilled(Vec<usize>),
    /// Takes connections and bytes, and never answers: what comes is lost.
    PodsSilent(Vec<usize>),
    /// Begins nothing until the trouble ends; then goes on.
    PodsHung(Vec<usize>),
    /// Pods whose work takes longer.
    #[schemars(description = "")]
    PodsSlow {
        /// Their slots.
        #[serde(rename = "places")]
        #[schemars(description = "")]
        slots: Vec<usize>,
        /// How many times as long.
        #[schemars(description = "")]
        factor: f64,
    },
    /// A share of the pods' answers is cut off half way.
    #[serde(rename = "half_answers")]
    TruncatedAnswers {
        /// Their slots.
        #[serde(rename = "places")]
        #[schemars(description = "")]
        slots: Vec<usize>,
        /// The share.
        #[schemars(description = "")]
        share: f64,
    },
    /// Pods close each connection after one answer, as the next hit may already be on its way.
    #[serde(rename = "pods_close")]
    PodsCloseConnections(Vec<usize>),
    /// Nothing passes between a zone and the rest; list and installer stand in the first zone.
    #[serde(rename = "zone_cut")]
    ZonePartitioned(String),
    /// SIGKILL; started again when the trouble ends.
    SidecarKilled(usize),
    /// SIGTERM; started again when the trouble ends.
    #[serde(rename = "sidecar_leaves")]
    SidecarTerminated(usize),
    /// SIGSTOP until the trouble ends.
    #[serde(rename = "sidecar_stopped")]
    SidecarSuspended(usize),
    /// The endpoint list is so much later.
    #[serde(rename = "list_lags")]
    #[schemars(description = "")]
    ListDelayed(Seconds),
    /// The endpoint list takes no connections.
    #[schemars(description = "")]
    ListDown,
    /// No news, no steps, votes unanswered.
    #[serde(rename = "installer_down")]
    RolloutsDown,
    /// No steps; news and votes go on.
    #[serde(rename = "installer_stands_still")]
    RolloutsPaused,
    /// Votes are never answered; every other one counts all the same.
    VotesUnanswered,
    /// Votes count at once, and are answered so much later, with the stage of then.
    #[serde(rename = "votes_late")]
    VoteAnswersDelayed(Seconds),
    /// Of the votes of all sidecars, so many are taken within a span; the others are refused.
    #[serde(rename = "votes_allowed")]
    VotesRateLimited {
        /// How many.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        max: usize,
        /// The span.
        #[serde(rename = "within")]
        #[schemars(description = "")]
        window: Seconds,
    },
    /// Votes are refused, as over the allowance.
    VotesRefused,
    /// News of stages comes so much later.
    #[serde(rename = "news_late")]
    StageUpdatesDelayed(Seconds),
    /// Each pod takes so many connections and closes any other one at once.
    #[serde(rename = "connections_scarce")]
    ConnectionsLimited {
        /// How many.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        max: usize,
    },
    /// A new connection to a pod is of use only after so long.
    #[serde(rename = "connections_dear")]
    ConnectionsDelayed(Seconds),
    /// So many times the hits.
    Overload(f64),
    /// One customer sends so many more hits a second, which err at every pod.
    #[serde(rename = "worthless")]
    FailingTenant {
        /// The tenant's name.
        #[serde(rename = "customer")]
        #[schemars(description = "")]
        tenant: String,
        /// Requests a second.
        #[serde(rename = "per_s")]
        #[schemars(description = "")]
        requests_per_second: f64,
    },
}

/// The words by which records and the terminal view name a fault: a format.
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
