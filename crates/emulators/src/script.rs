//! A day as its file says: the fleet, the hits, the releases, and what goes wrong when. JSON; spans in seconds.

use limewing_fault_injection::Script;
use limewing_rule_checker::record::{DeduplicationScope, Idempotency, RequestClass, RuleLimits};
use limewing_settings::{
    Checked, ConfigError, Limits, PathGroup, Reach, Releases, Repeat, Rules, Seconds, WorkList,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DayScript {
    pub name: String,
    pub seed: u64,
    /// Hits come for so long; then what is open is settled.
    pub lasts: Seconds,
    pub hits_per_s: f64,
    pub fleet: FleetScript,
    /// The zone of each sidecar.
    pub sidecars: Vec<String>,
    pub groups: Vec<GroupScript>,
    #[serde(default)]
    pub customers: Vec<CustomerScript>,
    pub clients: ClientScript,
    pub limits: Limits,
    pub rules: Rules,
    pub releases: Releases,
    #[serde(default)]
    pub offers: Vec<Offer>,
    #[serde(default)]
    pub troubles: Vec<TroubleAt>,
    /// The parts of the hits that the sidecars get; alike if absent.
    #[serde(default)]
    pub traffic: Vec<f64>,
    /// The sidecars know of each other, through links of this script; none: they don't.
    #[serde(default)]
    pub peers: Option<PeersScript>,
    /// Machines go out for work; needs `peers`. A machine is a place of the fleet: `node-0` and so on.
    #[serde(default)]
    pub work: Option<WorkScript>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkScript {
    /// The first so many sidecars have a vote.
    pub voters: usize,
    /// The first so many have a folder, and may be given a vote; none: those with a vote.
    #[serde(default)]
    pub folders: Option<usize>,
    /// So many places of a zone are one machine of several pods, named by the first one's number.
    #[serde(default = "one_pod")]
    pub pods_a_machine: usize,
    pub patience: Seconds,
    pub lease: Seconds,
    /// How long the work on a machine takes.
    pub works_for: Seconds,
    /// Machines whose work never ends, fails, or is told twice, by their place.
    #[serde(default)]
    pub stall: Vec<usize>,
    #[serde(default)]
    pub fail: Vec<usize>,
    #[serde(default)]
    pub twice: Vec<usize>,
    /// The day ends once all lists are over, if that is before its time.
    #[serde(default)]
    pub ends_when_over: bool,
    pub steps: Vec<WorkStep>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkStep {
    pub at: Seconds,
    pub does: WorkDoes,
}

/// What an operator does; of the list that was asked for last.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkDoes {
    Ask(Box<WorkList>),
    Hold,
    GoOn,
    Withdraw,
    /// This sidecar runs no more.
    Gone(String),
    /// Gives this sidecar a vote, or takes it.
    Vote(String),
    Unvote(String),
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeersScript {
    /// Whether what they know of each other moves their choices.
    pub choices: bool,
    /// Whether they keep each other's state that matters.
    #[serde(default)]
    pub replicas: bool,
    /// Between two probes.
    pub period: Seconds,
    /// Faults of the links between them and of the sidecars; its members are the day's sidecars.
    pub faults: Script,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetScript {
    pub zones: Vec<String>,
    pub pods: usize,
    pub cores: usize,
    /// Hits that may wait at a pod.
    pub waiting: usize,
    /// Pods of a cell are neighbours that share a memory of marks.
    #[serde(default = "four")]
    pub cell: usize,
    /// How long a new pod takes to run.
    pub starts_within: Seconds,
    /// How late the node list is.
    pub list_lag: Seconds,
    /// A pod that drains goes after this.
    pub drains_for: Seconds,
    /// Stage news is told again every so often.
    #[serde(default)]
    pub told_every: Option<Seconds>,
}

fn four() -> usize {
    4
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupScript {
    pub group: PathGroup,
    /// Part of all hits.
    pub share: f64,
    /// Mean work on a warm core.
    pub work: Seconds,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CustomerScript {
    pub name: String,
    pub share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientScript {
    pub retries: u16,
    /// Mean wait before a retry.
    pub wait: Seconds,
    /// A try waits for this part of the client timeout at the least.
    pub patience_from: f64,
    /// The part of wrong answers that is reported.
    #[serde(default)]
    pub reports: f64,
    /// The part of tries that are sent in two pieces, with a wait between.
    #[serde(default)]
    pub slow: f64,
    /// They try again also where it may run twice, with a tag, as those do that know no better.
    #[serde(default)]
    pub careless: bool,
    /// The part of tries whose client goes before the answer.
    #[serde(default)]
    pub leaves: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    pub at: Seconds,
    pub build: u16,
    /// Work takes so many times as long as on the first build.
    #[serde(default = "one")]
    pub slow: f64,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn one() -> f64 {
    1.0
}

fn one_pod() -> usize {
    1
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A share of its hits errs; of one path group only, or of a pod that has run for a while.
    Errors {
        share: f64,
        #[serde(default)]
        group: Option<String>,
        #[serde(default)]
        after: Option<Seconds>,
    },
    /// A share of its answers is wrong, and looks right.
    Wrong { share: f64 },
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TroubleAt {
    pub at: Seconds,
    /// How long it lasts.
    #[serde(rename = "for", default)]
    pub lasts: Option<Seconds>,
    pub what: Trouble,
}

/// What goes wrong. Pods are named by their place in the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// The process dies; another one starts at its place when the trouble ends.
    PodsKilled(Vec<usize>),
    /// Takes connections and bytes, and never answers: what comes is lost.
    PodsSilent(Vec<usize>),
    /// Begins nothing until the trouble ends; then goes on.
    PodsHung(Vec<usize>),
    PodsSlow {
        places: Vec<usize>,
        factor: f64,
    },
    /// A share of the pods' answers is cut off half way.
    HalfAnswers {
        places: Vec<usize>,
        share: f64,
    },
    /// Pods close each connection after one answer, as the next hit may already be on its way.
    PodsClose(Vec<usize>),
    /// Nothing passes between a zone and the rest; list and installer stand in the first zone.
    ZoneCut(String),
    /// SIGKILL; started again when the trouble ends.
    SidecarKilled(usize),
    /// SIGTERM; started again when the trouble ends.
    SidecarLeaves(usize),
    /// SIGSTOP until the trouble ends.
    SidecarStopped(usize),
    ListLags(Seconds),
    ListDown,
    /// No news, no steps, votes unanswered.
    InstallerDown,
    /// No steps; news and votes go on.
    InstallerStandsStill,
    /// Votes are never answered; every other one counts all the same.
    VotesUnanswered,
    /// Votes count at once, and are answered so much later, with the stage of then.
    VotesLate(Seconds),
    /// Of the votes of all sidecars, so many are taken within a span; the others are refused.
    VotesAllowed {
        most: usize,
        within: Seconds,
    },
    /// Votes are refused, as over the allowance.
    VotesRefused,
    /// News of stages comes so much later.
    NewsLate(Seconds),
    /// Each pod takes so many connections and closes any other one at once.
    ConnectionsScarce {
        most: usize,
    },
    /// A new connection to a pod is of use only after so long.
    ConnectionsDear(Seconds),
    /// So many times the hits.
    Overload(f64),
    /// One customer sends so many more hits a second, which err at every pod.
    Worthless {
        customer: String,
        per_s: f64,
    },
}

impl DayScript {
    /// What the rules are held to on this day.
    #[must_use]
    pub fn rule_limits(&self) -> RuleLimits {
        let classes = self.groups.iter().map(|class| RequestClass {
            name: class.group.name.clone(),
            idempotency: idempotency_of(class.group.repeat),
            latency_objective: class.group.target_latency.into(),
            priority_weight: class.group.benefit,
        });
        RuleLimits {
            classes: classes.collect(),
            answer_slack: self.rules.answer_slack.into(),
            drain_grace: self.rules.drain_grace.into(),
            slow_start_from: self.rules.cold_from,
            slow_start_duration: self.rules.cold_for.into(),
            overload_multiple: self.rules.fall_multiple,
            overload_window: self.rules.fall_within.into(),
            exposure_caps: self.releases.stages.iter().map(|stage| stage.cap).collect(),
            exposure_window: self.releases.cap_window.into(),
            exposure_free: self.releases.cap_free,
            exposure_per_class: self.releases.cap_by_group,
            guarded_stages: self.releases.guarded_stages,
            sticky_keys: self.releases.keys_stay,
        }
    }

    /// How many times as long a build's work takes.
    pub fn slow_of(&self, build: u16) -> f64 {
        self.offers
            .iter()
            .find(|offer| offer.build == build)
            .map_or(1.0, |offer| offer.slow)
    }

    /// Which pods share a memory of a tagged path group's marks, and how long they remember.
    pub fn memory(&self, group: usize) -> Option<(Reach, Duration)> {
        match self.groups[group].group.repeat {
            Repeat::Tagged { reach, memory } => Some((reach, memory.into())),
            _ => None,
        }
    }

    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self
            .groups
            .iter()
            .map(|group| Duration::from(group.group.client_timeout));
        timeouts.max().unwrap_or_default()
    }
}

fn idempotency_of(repeat: Repeat) -> Idempotency {
    match repeat {
        Repeat::Repeatable => Idempotency::Idempotent,
        Repeat::Mutating => Idempotency::NonIdempotent,
        Repeat::Tagged { reach, memory } => Idempotency::Keyed {
            deduplicated_by: match reach {
                Reach::All => DeduplicationScope::All,
                Reach::Zone => DeduplicationScope::Zone,
                Reach::Cell => DeduplicationScope::Cell,
            },
            window: memory.into(),
        },
    }
}

impl Checked for DayScript {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut need = |fits: bool, path: String, expected: &str| {
            if !fits {
                found.push(ConfigError::new(path, format!("expected {expected}")));
            }
        };
        let part = |value: f64| (0.0..=1.0).contains(&value);
        need(
            (0.0..=100_000.0).contains(&self.hits_per_s),
            "/hits_per_s".into(),
            "0 to 100000 hits a second",
        );
        need(
            !self.fleet.zones.is_empty(),
            "/fleet/zones".into(),
            "one zone at least",
        );
        need(
            (1..=1000).contains(&self.fleet.pods),
            "/fleet/pods".into(),
            "1 to 1000 pods",
        );
        need(
            (1..=1000).contains(&self.fleet.cores),
            "/fleet/cores".into(),
            "1 to 1000 cores",
        );
        need(self.fleet.cell >= 1, "/fleet/cell".into(), "1 pod or more");
        need(
            (1..=64).contains(&self.sidecars.len()),
            "/sidecars".into(),
            "1 to 64 sidecars",
        );
        for (place, zone) in self.sidecars.iter().enumerate() {
            need(
                self.fleet.zones.contains(zone),
                format!("/sidecars/{place}"),
                "one of /fleet/zones",
            );
        }
        let traffic = self.traffic.is_empty()
            || (self.traffic.len() == self.sidecars.len()
                && self.traffic.iter().all(|part| (0.0..=1e6).contains(part))
                && self.traffic.iter().sum::<f64>() > 0.0);
        need(
            traffic,
            "/traffic".into(),
            "a part from 0 for each sidecar, one of them over 0",
        );
        for error in self
            .peers
            .iter()
            .flat_map(|peers| peers.faults.config_errors())
        {
            need(
                false,
                format!("/peers/faults{}", error.path),
                error.expected,
            );
        }
        if let Some(work) = &self.work {
            need(self.peers.is_some(), "/work".into(), "`peers` beside it");
            let odd = [1, 3, 5, 7].contains(&work.voters) && work.voters <= self.sidecars.len();
            need(
                odd,
                "/work/voters".into(),
                "1, 3, 5 or 7, and no more than there are sidecars",
            );
            let folders = work
                .folders
                .is_none_or(|many| (work.voters..=self.sidecars.len()).contains(&many));
            need(
                folders,
                "/work/folders".into(),
                "as many as voters to as many as sidecars",
            );
            need(
                (1..=16).contains(&work.pods_a_machine),
                "/work/pods_a_machine".into(),
                "1 to 16 pods",
            );
        }
        let shares: f64 = self.groups.iter().map(|group| group.share).sum();
        need(
            (shares - 1.0).abs() < 1e-6,
            "/groups".into(),
            "shares that sum to 1",
        );
        for (place, group) in self.groups.iter().enumerate() {
            need(
                part(group.share),
                format!("/groups/{place}/share"),
                "a part from 0 to 1",
            );
            let one = group.group.routes.len() == 1;
            need(
                one,
                format!("/groups/{place}/group/routes"),
                "just one route: the clients use it",
            );
        }
        let shares: f64 = self.customers.iter().map(|customer| customer.share).sum();
        let fits = self.customers.is_empty() || (shares - 1.0).abs() < 1e-6;
        need(fits, "/customers".into(), "shares that sum to 1");
        need(
            part(self.clients.patience_from),
            "/clients/patience_from".into(),
            "a part from 0 to 1",
        );
        need(
            part(self.clients.reports),
            "/clients/reports".into(),
            "a part from 0 to 1",
        );
        need(
            part(self.clients.slow),
            "/clients/slow".into(),
            "a part from 0 to 1",
        );
        need(
            part(self.clients.leaves),
            "/clients/leaves".into(),
            "a part from 0 to 1",
        );
        let rising = self
            .offers
            .windows(2)
            .all(|pair| pair[0].build < pair[1].build && pair[0].at < pair[1].at);
        need(rising, "/offers".into(), "builds and times that rise");
        let first = self
            .offers
            .first()
            .is_none_or(|offer| offer.build > FIRST_BUILD);
        need(
            first,
            "/offers/0/build".into(),
            "a build over 1, which runs at the start",
        );
        for (place, offer) in self.offers.iter().enumerate() {
            let speed = offer.slow.is_finite() && offer.slow > 0.0;
            need(speed, format!("/offers/{place}/slow"), "a factor over 0");
            for (number, fault) in offer.faults.iter().enumerate() {
                let at = format!("/offers/{place}/faults/{number}");
                match fault {
                    Fault::Errors { share, group, .. } => {
                        need(
                            part(*share),
                            format!("{at}/errors/share"),
                            "a part from 0 to 1",
                        );
                        let known = |name: &String| {
                            self.groups.iter().any(|group| group.group.name == *name)
                        };
                        need(
                            group.as_ref().is_none_or(known),
                            format!("{at}/errors/group"),
                            "a path group's name",
                        );
                    }
                    Fault::Wrong { share } => need(
                        part(*share),
                        format!("{at}/wrong/share"),
                        "a part from 0 to 1",
                    ),
                }
            }
        }
        for (place, trouble) in self.troubles.iter().enumerate() {
            let at = format!("/troubles/{place}/what");
            let pods = |places: &Vec<usize>| places.iter().all(|place| *place < self.fleet.pods);
            match &trouble.what {
                Trouble::PodsKilled(places)
                | Trouble::PodsSilent(places)
                | Trouble::PodsHung(places)
                | Trouble::PodsClose(places)
                | Trouble::PodsSlow { places, .. }
                | Trouble::HalfAnswers { places, .. } => {
                    need(pods(places), at, "places below /fleet/pods")
                }
                Trouble::ZoneCut(zone) => {
                    need(self.fleet.zones.contains(zone), at, "one of /fleet/zones")
                }
                Trouble::SidecarKilled(number)
                | Trouble::SidecarLeaves(number)
                | Trouble::SidecarStopped(number) => {
                    need(*number < self.sidecars.len(), at, "a place in /sidecars")
                }
                Trouble::Overload(factor) => need(
                    (0.0..=1000.0).contains(factor),
                    at,
                    "a factor from 0 to 1000",
                ),
                Trouble::Worthless { customer, per_s } => {
                    let known = self.customers.iter().any(|known| known.name == *customer);
                    need(
                        known && (0.0..=100_000.0).contains(per_s),
                        at,
                        "a customer's name and hits a second",
                    );
                }
                _ => {}
            }
        }
        found
    }
}

/// The build that runs when a day starts.
pub const FIRST_BUILD: u16 = 1;

impl DayScript {
    /// The machine that a place is on, by the number of its first place.
    pub fn machine_of(&self, place: usize) -> usize {
        let (zones, many) = (
            self.fleet.zones.len().max(1),
            self.work.as_ref().map_or(1, |w| w.pods_a_machine),
        );
        (place / zones / many * many) * zones + place % zones
    }

    /// The places of a machine.
    pub fn places_of(&self, machine: usize) -> Vec<usize> {
        (0..self.fleet.pods)
            .filter(|place| self.machine_of(*place) == machine)
            .collect()
    }
}
