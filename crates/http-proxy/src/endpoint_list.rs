//! The node list as Consul's health API has it (`GET /v1/health/service/NAME`, blocking queries), as rows of
//! the decision module's list.
//!
//! Of an entry are read: `Service.ID`, `Service.Address` (else `Node.Address`), `Service.Port`,
//! `Service.Weights.Passing` (size), `Service.Meta` (`build`, `started` in seconds since 1970, `zone`, `cell`,
//! `kind`), `Node.Node` (the machine's name), `Node.Datacenter` (zone where Meta has none) and `Checks[].Status`: a critical check, as the
//! maintenance mode sets one, means that the pod drains.

use limewing_decision::interface::{
    BuildId, CellId, Endpoint, MachineTypeId, PodId, PodState, ZoneId,
};
use limewing_proxy_core::clock;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    #[serde(default)]
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    /// Its name.
    #[serde(default)]
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    datacenter: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: BTreeMap<String, String>,
    #[serde(default)]
    weights: Weights,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    passing: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { passing: 1.0 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    status: String,
}

/// One pod as the list has it, before the module's numbers: what the state file keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    pub address: SocketAddr,
    #[serde(rename = "drains")]
    pub draining: bool,
    pub build: u16,
    #[serde(rename = "size")]
    pub weight: f64,
    /// Seconds since 1970.
    pub started: Option<f64>,
    pub zone: String,
    pub cell: u16,
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The machine's name; its address if the list tells none.
    #[serde(default)]
    pub machine: String,
}

/// What could not be used of an answer.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    #[error("the list is not a JSON array of health entries: {0}")]
    Unreadable(String),
    #[error("service {id}: {what}")]
    Entry { id: String, what: String },
}

/// Entries in one answer, at most.
const MAX_ENTRIES: usize = 10_000;

/// Reads an answer; entries that can't be used are told beside the rows that can.
///
/// # Errors
/// The whole answer can't be used.
pub fn parse_endpoint_list(
    body: &[u8],
) -> Result<(Vec<EndpointRecord>, Vec<EndpointListError>), EndpointListError> {
    let entries: Vec<serde_json::Value> =
        serde_json::from_slice(body).map_err(|e| EndpointListError::Unreadable(e.to_string()))?;
    if entries.len() > MAX_ENTRIES {
        return Err(EndpointListError::Unreadable(format!(
            "{} entries, at most {MAX_ENTRIES}",
            entries.len()
        )));
    }
    let (mut rows, mut errors) = (BTreeMap::new(), Vec::new());
    for (place, entry) in entries.into_iter().enumerate() {
        let id = entry["Service"]["ID"]
            .as_str()
            .map_or(format!("number {place}"), str::to_owned);
        let read = serde_json::from_value::<Entry>(entry)
            .map_err(|e| e.to_string())
            .and_then(row);
        match read {
            Ok(row) if rows.contains_key(&row.address) => errors.push(EndpointListError::Entry {
                id,
                what: format!("{} is listed twice", row.address),
            }),
            Ok(row) => drop(rows.insert(row.address, row)),
            Err(what) => errors.push(EndpointListError::Entry { id, what }),
        }
    }
    Ok((rows.into_values().collect(), errors))
}

fn row(entry: Entry) -> Result<EndpointRecord, String> {
    let (service, meta) = (&entry.service, &entry.service.meta);
    let address = if service.address.is_empty() {
        &entry.node.address
    } else {
        &service.address
    };
    let ip: IpAddr = address
        .parse()
        .map_err(|_| format!("{address:?} is not an IP address"))?;
    let number = |name: &str| match meta.get(name) {
        None => Ok(None),
        Some(text) => text
            .parse::<u16>()
            .map(Some)
            .map_err(|_| format!("Meta.{name} {text:?} is no number below 65536")),
    };
    let started = match meta.get("started") {
        None => None,
        Some(text) => {
            let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite());
            Some(seconds.ok_or(format!("Meta.started {text:?} is no time in seconds"))?)
        }
    };
    let size = service.weights.passing;
    if !(size.is_finite() && size > 0.0) {
        return Err(format!(
            "{}: Weights.Passing {size} is not over 0",
            service.id
        ));
    }
    Ok(EndpointRecord {
        address: SocketAddr::new(ip, service.port),
        draining: entry.checks.iter().any(|check| check.status == "critical"),
        build: number("build")?.ok_or("Meta.build is missing")?,
        weight: size,
        started,
        zone: meta.get("zone").unwrap_or(&entry.node.datacenter).clone(),
        cell: number("cell")?.unwrap_or(0),
        machine_type: meta.get("kind").cloned().unwrap_or_default(),
        machine: if entry.node.node.is_empty() {
            format!("{ip}:{}", service.port)
        } else {
            entry.node.node.clone()
        },
    })
}

/// Gives pods and machine kinds the numbers that the module knows them by, and remembers where pods are.
pub struct EndpointDirectory {
    zones: Vec<String>,
    kinds: Vec<String>,
    others: BTreeMap<SocketAddr, PodId>,
    /// Start times on our clock, kept so that a step of the time of day does not look like a restart.
    starts: BTreeMap<SocketAddr, (f64, Option<Duration>)>,
}

impl EndpointDirectory {
    pub fn new(zones: &[String]) -> Self {
        let (others, starts) = (BTreeMap::new(), BTreeMap::new());
        Self {
            zones: zones.to_vec(),
            kinds: Vec::new(),
            others,
            starts,
        }
    }

    /// A whole list as the module's rows; pods that are not in it are forgotten here too.
    pub fn entries(
        &mut self,
        rows: &[EndpointRecord],
        now: Duration,
        today: SystemTime,
    ) -> Vec<Endpoint> {
        self.starts
            .retain(|address, _| rows.iter().any(|row| row.address == *address));
        rows.iter().map(|row| self.entry(row, now, today)).collect()
    }

    /// What differs between two lists: rows that are new or changed, and those that are gone. A row that is told
    /// again though nothing changed would have the module draw its luck with a cold pod anew.
    pub fn changes(
        &mut self,
        old: &[EndpointRecord],
        new: &[EndpointRecord],
        now: Duration,
        today: SystemTime,
    ) -> Vec<Endpoint> {
        let before: BTreeMap<SocketAddr, &EndpointRecord> =
            old.iter().map(|row| (row.address, row)).collect();
        let here: BTreeSet<SocketAddr> = new.iter().map(|row| row.address).collect();
        let gone = old.iter().filter(|row| !here.contains(&row.address));
        let gone: Vec<Endpoint> = gone
            .map(|row| Endpoint {
                state: PodState::Gone,
                ..self.entry(row, now, today)
            })
            .collect();
        self.starts.retain(|address, _| here.contains(address));
        let changed = new
            .iter()
            .filter(|row| before.get(&row.address) != Some(row));
        let changed: Vec<Endpoint> = changed.map(|row| self.entry(row, now, today)).collect();
        gone.into_iter().chain(changed).collect()
    }

    fn entry(&mut self, row: &EndpointRecord, now: Duration, today: SystemTime) -> Endpoint {
        let known = self
            .starts
            .get(&row.address)
            .filter(|(told, _)| Some(*told) == row.started);
        let started = match (known, row.started) {
            (Some((_, started)), _) => *started,
            (None, None) => None,
            (None, Some(told)) => {
                let started = clock::from_wall_clock(told, now, today);
                self.starts.insert(row.address, (told, started));
                started
            }
        };
        Endpoint {
            pod: self.pod(row.address),
            state: if row.draining {
                PodState::Draining
            } else {
                PodState::Ready
            },
            build: BuildId(row.build),
            weight: row.weight,
            started_at: started,
            // A zone that the settings don't name is one that is not ours.
            zone: ZoneId(
                self.zones
                    .iter()
                    .position(|z| *z == row.zone)
                    .unwrap_or(self.zones.len()) as u16,
            ),
            cell: CellId(row.cell),
            machine_type: MachineTypeId(place_of(&mut self.kinds, &row.machine_type).into()),
        }
    }

    /// An IPv4 address is its pod's number; any other address gets the next free one.
    pub fn pod(&mut self, at: SocketAddr) -> PodId {
        match at.ip() {
            IpAddr::V4(ip) => PodId(u64::from(u32::from(ip)) << 16 | u64::from(at.port())),
            IpAddr::V6(_) => {
                let next = 1 << 48 | self.others.len() as u64;
                *self.others.entry(at).or_insert(PodId(next))
            }
        }
    }

    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        if pod.0 >> 48 == 0 {
            let ip = Ipv4Addr::from((pod.0 >> 16) as u32);
            return Some(SocketAddr::new(ip.into(), pod.0 as u16));
        }
        self.others
            .iter()
            .find(|(_, known)| **known == pod)
            .map(|(address, _)| *address)
    }
}

/// Kinds beyond the 255th share the last number.
fn place_of(kinds: &mut Vec<String>, kind: &str) -> u8 {
    let known = kinds.iter().position(|known| known == kind);
    let place = known.unwrap_or_else(|| {
        if kinds.len() < 255 {
            kinds.push(kind.to_owned());
        }
        kinds.len() - 1
    });
    place as u8
}
