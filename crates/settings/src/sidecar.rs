//! The settings of one sidecar. Spans are in seconds.

use crate::{Checked, ConfigError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A span of time in seconds, 0 to 10,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "f64", into = "f64")]
#[schemars(with = "f64")]
pub struct Seconds(f64);

impl TryFrom<f64> for Seconds {
    type Error = String;
    fn try_from(seconds: f64) -> Result<Self, String> {
        let fits = (0.0..=1e7).contains(&seconds);
        fits.then_some(Self(seconds)).ok_or(format!(
            "expected seconds from 0 to 10000000, found {seconds}"
        ))
    }
}

impl From<Seconds> for f64 {
    fn from(seconds: Seconds) -> f64 {
        seconds.0
    }
}

impl From<Seconds> for Duration {
    fn from(seconds: Seconds) -> Duration {
        Duration::from_secs_f64(seconds.0)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Names this sidecar in `Via` and `Proxy-Status`: letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// Where clients are served; port 0 lets the system choose, and the choice is told on standard output.
    pub listen: SocketAddr,
    /// Where the last node list is kept over a restart.
    #[serde(default)]
    pub state_file: Option<PathBuf>,
    /// Starts the sidecar's chance; the system's if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    pub list: ListService,
    /// Without it no build is ever on trial by news, and no vote is sent.
    #[serde(default)]
    pub installer: Option<Installer>,
    pub fleet: Fleet,
    pub headers: Headers,
    pub path_groups: Vec<PathGroup>,
    #[serde(default)]
    pub customers: Vec<Customer>,
    pub limits: Limits,
    pub rules: Rules,
    pub releases: Releases,
    /// The other sidecars; none: this one knows of no other, and opens no socket for them.
    #[serde(default)]
    pub peers: Option<Peers>,
    /// Machines go out for work in an order that the sidecars settle among themselves; none: they don't. Needs `peers`.
    #[serde(default)]
    pub work: Option<Work>,
}

/// How the sidecars settle which machine goes out for work when (docs/work.md).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The names of the sidecars that settle it: three, five or seven, the same at all. The others follow.
    pub voters: Vec<String>,
    /// Where a voter keeps what it has promised; it must outlive the process, or the voter comes back as a new one. One that has
    /// a folder and is not among `voters` may be given a vote later.
    #[serde(default)]
    pub folder: Option<PathBuf>,
    /// A voter that hears no leader for so long, and up to twice that by chance, stands itself.
    #[serde(default = "third")]
    pub patience: Seconds,
    /// A sidecar that nobody hears for so long sends to no machine on a work list.
    #[serde(default = "two_seconds")]
    pub lease: Seconds,
}

/// How the sidecars of a fleet know of each other: by datagrams, sealed with a key that they share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    pub listen: SocketAddr,
    /// Where the others reach this one, if not where it listens.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where some of the others may be reached at the start.
    pub join: Vec<SocketAddr>,
    /// Read again on SIGHUP.
    pub key_file: PathBuf,
    /// Between two probes.
    #[serde(default = "second")]
    pub period: Seconds,
    /// Sent by this sidecar to all others together, at most.
    #[serde(default = "sixteen_kib")]
    pub bytes_per_s: u32,
    /// Whether what is known of the others moves this one's choice among pods, and which shut pods it proves.
    #[serde(default)]
    pub choices: bool,
    /// Whether state that matters is kept by the others too (docs/replicas.md).
    #[serde(default)]
    pub replicas: bool,
}

/// The keys of a fleet: the first seals, both open, so that one can take the other's place.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    pub keys: Vec<FleetKey>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetKey {
    pub id: u8,
    /// 16 bytes or more, in hexadecimal.
    pub secret: String,
}

impl FleetKey {
    pub fn bytes(&self) -> Option<Vec<u8>> {
        let digits = self.secret.as_bytes().chunks(2);
        digits
            .map(|two| {
                u8::from_str_radix(std::str::from_utf8(two).ok().filter(|t| t.len() == 2)?, 16).ok()
            })
            .collect()
    }
}

impl Checked for KeyFile {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        if !(1..=2).contains(&self.keys.len()) {
            found.push(ConfigError::new(
                "/keys",
                "expected one key, or two while one takes the other's place",
            ));
        }
        for (place, key) in self.keys.iter().enumerate() {
            if key.bytes().is_none_or(|bytes| bytes.len() < 16) {
                let path = format!("/keys/{place}/secret");
                found.push(ConfigError::new(
                    path,
                    "expected 16 bytes or more in hexadecimal",
                ));
            }
            if self.keys[..place].iter().any(|other| other.id == key.id) {
                found.push(ConfigError::new(
                    format!("/keys/{place}/id"),
                    "expected a number that the other key does not have",
                ));
            }
        }
        found
    }
}

fn third() -> Seconds {
    Seconds(0.3)
}

fn two_seconds() -> Seconds {
    Seconds(2.0)
}

fn second() -> Seconds {
    Seconds(1.0)
}

fn sixteen_kib() -> u32 {
    16_384
}

/// The service that tells which pods there are: Consul's catalog-health API.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    pub address: SocketAddr,
    pub service: String,
    /// How long one blocking query may wait.
    #[serde(default = "thirty")]
    pub wait: Seconds,
}

/// The service that brings builds in by stages and takes votes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Installer {
    pub address: SocketAddr,
    /// A stream of stage news that says nothing for so long is asked for again.
    #[serde(default = "thirty")]
    pub quiet_at_most: Seconds,
}

fn thirty() -> Seconds {
    Seconds(30.0)
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many sidecars share the hits.
    pub sidecars: u32,
    /// This one's number among them, from 0.
    pub own_number: u32,
    /// All zones that pods may stand in.
    pub zones: Vec<String>,
    /// The zone of this sidecar.
    pub zone: String,
}

/// The header fields that say what a hit is.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Headers {
    #[serde(default)]
    pub customer: Option<String>,
    #[serde(default)]
    pub key: Option<String>,
    /// Milliseconds that the client still waits.
    #[serde(default)]
    pub deadline_ms: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PathGroup {
    pub name: String,
    pub routes: Vec<Route>,
    pub repeat: Repeat,
    pub target_latency: Seconds,
    pub client_timeout: Seconds,
    pub benefit: f64,
    /// The part of the benefit that an answer earns after the target latency.
    #[serde(default)]
    pub late_benefit: f64,
    #[serde(default)]
    pub streamed: bool,
}

/// A method and a path pattern: `/tanks/{id}`, `/files/{*rest}`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub method: String,
    pub path: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Repeat {
    /// May run again.
    Repeatable,
    /// Carries an `Idempotency-Key`; the pods within reach drop a repeat for as long as they remember.
    Tagged { reach: Reach, memory: Seconds },
    /// Must never run twice.
    Mutating,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    pub max_forwards: u16,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub may_cancel: bool,
    /// What a bounced client is told to wait; none tells nothing.
    #[serde(default)]
    pub retry_after: Option<Seconds>,
    pub connect_timeout: Seconds,
    /// Idle connections to pods are closed after this.
    pub idle_close: Seconds,
    /// Bytes of a hit's body kept for another forward; larger bodies are passed on as they come, once.
    #[serde(default = "kept")]
    pub body_kept: usize,
    /// Bytes of an answer gathered before it is passed on; larger ones are passed on as they come.
    #[serde(default = "kept")]
    pub answer_gathered: usize,
    /// Time taken off each client's deadline for the way back.
    pub deadline_margin: Seconds,
    /// A streamed answer that a client does not read for so long is cut.
    #[serde(default = "thirty")]
    pub stall: Seconds,
    /// A request that has begun must be whole after this.
    #[serde(default = "ten")]
    pub request_within: Seconds,
    /// Open connections of clients, at most.
    #[serde(default = "many")]
    pub clients: usize,
}

fn one() -> u32 {
    1
}

fn ten() -> Seconds {
    Seconds(10.0)
}

fn kept() -> usize {
    64 * 1024
}

fn many() -> usize {
    20_000
}

/// The figures of the five rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How late an answer may be; for the account of a day, as a sidecar answers at the deadline.
    pub answer_slack: Seconds,
    pub drain_grace: Seconds,
    pub cold_from: f64,
    pub cold_for: Seconds,
    pub fall_multiple: f64,
    pub fall_within: Seconds,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// Votes move a build on.
    Votes,
    /// A clock does, unless votes hold it.
    Clock,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Releases {
    pub control: Control,
    pub stages: Vec<Stage>,
    pub cap_window: Seconds,
    pub cap_free: f64,
    #[serde(default)]
    pub cap_by_group: bool,
    #[serde(default)]
    pub guarded_stages: u8,
    #[serde(default)]
    pub keys_stay: bool,
    /// How long a stage lasts under a clock; for the installer of a day, as a sidecar goes by its news.
    pub step_after: Seconds,
    pub vote_life: Seconds,
    pub vote_answer_within: Seconds,
    pub back_votes: u32,
    /// Sidecars that it takes to hold a stage.
    #[serde(default = "one")]
    pub hold_votes: u32,
    /// Sidecars that it takes to move a stage on, where votes do.
    #[serde(default = "one")]
    pub on_votes: u32,
    /// Votes a second that the installer takes from all sidecars together, and twice that at one time; none: all.
    #[serde(default)]
    pub vote_allowance: Option<f64>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The part of the fleet that runs the build on trial.
    pub share: f64,
    /// The most of a sidecar's hits that may go to it.
    pub cap: f64,
}

/// Finds the place of a path group by method and path.
#[derive(Default)]
pub struct Router(BTreeMap<String, matchit::Router<usize>>);

impl Router {
    /// # Errors
    /// A pattern that can't be used, or that matches what another one does.
    pub fn new(groups: &[PathGroup]) -> Result<Self, ConfigError> {
        let mut router = Self::default();
        for (place, group) in groups.iter().enumerate() {
            for (number, route) in group.routes.iter().enumerate() {
                let of = router
                    .0
                    .entry(route.method.to_ascii_uppercase())
                    .or_default();
                of.insert(route.path.as_str(), place).map_err(|e| {
                    let at = format!("/path_groups/{place}/routes/{number}/path");
                    ConfigError::new(
                        at,
                        format!("expected a pattern that is valid and no other's: {e}"),
                    )
                })?;
            }
        }
        Ok(router)
    }

    pub fn find(&self, method: &str, path: &str) -> Option<usize> {
        self.0.get(method)?.at(path).ok().map(|found| *found.value)
    }
}

impl Checked for SidecarSettings {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut need = |fits: bool, path: &str, expected: &str| {
            if !fits {
                found.push(ConfigError::new(path, format!("expected {expected}")));
            }
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let named = !self.name.is_empty() && self.name.chars().all(plain);
        need(named, "/name", "letters, digits, '-', '_' or '.'");
        need(
            self.fleet.own_number < self.fleet.sidecars,
            "/fleet/own_number",
            "a number below /fleet/sidecars",
        );
        need(
            self.fleet.zones.contains(&self.fleet.zone),
            "/fleet/zone",
            "one of /fleet/zones",
        );
        need(
            !self.path_groups.is_empty(),
            "/path_groups",
            "one path group at least",
        );
        need(
            self.path_groups.len() <= 1024,
            "/path_groups",
            "1024 path groups at most",
        );
        let mut names = BTreeSet::new();
        for (place, group) in self.path_groups.iter().enumerate() {
            let at = |part: &str| format!("/path_groups/{place}/{part}");
            need(
                names.insert(&group.name),
                &at("name"),
                "a name that no other path group has",
            );
            need(
                !group.routes.is_empty(),
                &at("routes"),
                "one route at least",
            );
            need(
                f64::from(group.target_latency) > 0.0,
                &at("target_latency"),
                "more than 0 seconds",
            );
            let waits = group.client_timeout >= group.target_latency;
            need(
                waits,
                &at("client_timeout"),
                "no less than the target latency",
            );
            need(
                group.benefit.is_finite() && group.benefit > 0.0,
                &at("benefit"),
                "more than 0",
            );
            need(
                (0.0..=1.0).contains(&group.late_benefit),
                &at("late_benefit"),
                "a part from 0 to 1",
            );
            for (number, route) in group.routes.iter().enumerate() {
                need(
                    route.path.starts_with('/'),
                    &at(&format!("routes/{number}/path")),
                    "a path that begins with /",
                );
            }
        }
        need(
            self.limits.max_forwards >= 1,
            "/limits/max_forwards",
            "1 or more",
        );
        need(self.limits.clients >= 1, "/limits/clients", "1 or more");
        need(
            f64::from(self.limits.connect_timeout) > 0.0,
            "/limits/connect_timeout",
            "more than 0 seconds",
        );
        let cold = self.rules.cold_from > 0.0 && self.rules.cold_from <= 1.0;
        need(cold, "/rules/cold_from", "a part over 0 and up to 1");
        need(
            self.rules.fall_multiple >= 1.0,
            "/rules/fall_multiple",
            "1 or more",
        );
        need(
            f64::from(self.rules.fall_within) > 0.0,
            "/rules/fall_within",
            "more than 0 seconds",
        );
        need(
            !self.releases.stages.is_empty(),
            "/releases/stages",
            "one stage at least",
        );
        need(
            self.releases.stages.len() <= 255,
            "/releases/stages",
            "255 stages at most",
        );
        for (place, stage) in self.releases.stages.iter().enumerate() {
            let part = |value: f64| (0.0..=1.0).contains(&value);
            need(
                part(stage.share),
                &format!("/releases/stages/{place}/share"),
                "a part from 0 to 1",
            );
            need(
                part(stage.cap),
                &format!("/releases/stages/{place}/cap"),
                "a part from 0 to 1",
            );
        }
        need(
            f64::from(self.releases.cap_window) > 0.0,
            "/releases/cap_window",
            "more than 0 seconds",
        );
        need(
            self.releases.cap_free >= 0.0,
            "/releases/cap_free",
            "0 or more",
        );
        need(
            self.releases.back_votes >= 1,
            "/releases/back_votes",
            "1 or more",
        );
        let allowance = self.releases.vote_allowance.is_none_or(|calls| calls > 0.0);
        need(
            allowance,
            "/releases/vote_allowance",
            "more than 0 votes a second",
        );
        if let Some(peers) = &self.peers {
            let period = f64::from(peers.period);
            need(
                (0.01..=60.0).contains(&period),
                "/peers/period",
                "0.01 to 60 seconds",
            );
            need(
                peers.bytes_per_s >= 2000,
                "/peers/bytes_per_s",
                "2000 bytes a second or more",
            );
            need(
                peers.join.len() <= 64,
                "/peers/join",
                "64 addresses at most",
            );
            need(
                self.name.len() <= 64,
                "/name",
                "64 letters at most where there are peers",
            );
            let reached = peers.advertise.unwrap_or(peers.listen);
            let open =
                reached.ip().is_unspecified() || (peers.advertise.is_some() && reached.port() == 0);
            need(
                !open,
                "/peers/advertise",
                "an address and port where the others reach this sidecar",
            );
        }
        if let Some(work) = &self.work {
            need(self.peers.is_some(), "/work", "`peers` beside it");
            need(
                self.name.len() <= 32,
                "/name",
                "32 letters at most where machines go out for work",
            );
            let odd = [1, 3, 5, 7].contains(&work.voters.len());
            let names: std::collections::BTreeSet<&String> = work.voters.iter().collect();
            need(
                odd && names.len() == work.voters.len(),
                "/work/voters",
                "three, five or seven names",
            );
            let votes = work.voters.contains(&self.name);
            need(
                !votes || work.folder.is_some(),
                "/work/folder",
                "a folder, as this one is a voter",
            );
            let (patience, lease) = (f64::from(work.patience), f64::from(work.lease));
            need(
                (0.05..=60.0).contains(&patience),
                "/work/patience",
                "0.05 to 60 seconds",
            );
            need(
                lease >= 2.0 * patience && lease <= 600.0,
                "/work/lease",
                "twice `patience` to 600 seconds",
            );
        }
        found.extend(Router::new(&self.path_groups).err());
        found
    }
}
