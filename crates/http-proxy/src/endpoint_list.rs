//! The endpoint list as Consul's health API serves it (`GET /v1/health/service/NAME`, blocking queries).
//!
//! Of an entry are read: `Service.ID`, `Service.Address` (else `Node.Address`), `Service.Port`,
//! `Service.Weights.Passing` (weight), `Service.Meta` (`build`, `started` in seconds since 1970, `zone`, `cell`,
//! `kind`), `Node.Node` (the machine's name), `Node.Datacenter` (zone where Meta has none) and `Checks[].Status`: a
//! critical check, as the maintenance mode sets one, means that the endpoint is draining.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Bound of entries in one response.
const MAX_ENTRIES: usize = 10_000;
/// Status of a check that takes its endpoint out of service.
const CRITICAL: &str = "critical";

/// One endpoint as the list has it, before the decision engine's numbers: what the state file keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it takes no new requests.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The build that it runs.
    pub build: u16,
    /// Its relative capacity, over 0.
    #[serde(rename = "size")]
    pub weight: f64,
    /// When it was started, in seconds since 1970.
    pub started: Option<f64>,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u16,
    /// The type of its machine.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The machine's name; the endpoint's address if the list has none.
    #[serde(default)]
    pub machine: String,
}

/// Why a response, or an entry of it, can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    /// The whole response; the text is the JSON parser's.
    #[error("expected a JSON array of health entries: {0}")]
    Malformed(String),
    /// More entries than are read.
    #[error("expected {MAX_ENTRIES} entries at most, found {0}")]
    TooManyEntries(usize),
    /// One entry.
    #[error("service {id}: {cause}")]
    Entry {
        /// `Service.ID`, or the entry's place in the list.
        id: String,
        /// What is wrong with it.
        cause: EntryError,
    },
}

/// Why an entry can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EntryError {
    /// It is no health entry; the text is the JSON parser's.
    #[error("{0}")]
    Malformed(String),
    /// The address is no IP address.
    #[error("expected an IP address, found {0:?}")]
    Address(String),
    /// A field of `Service.Meta` is no number that fits.
    #[error("Meta.{field}: expected a number below 65536, found {text:?}")]
    Number {
        /// The field's name.
        field: &'static str,
        /// What it says.
        text: String,
    },
    /// The start time is no finite number.
    #[error("Meta.started: expected seconds since 1970, found {0:?}")]
    Started(String),
    /// The weight is not a finite number over 0.
    #[error("Weights.Passing: expected a finite number over 0, found {0}")]
    Weight(f64),
    /// The build is not given.
    #[error("Meta.build: expected a number below 65536, found none")]
    NoBuild,
    /// An earlier entry has the same address.
    #[error("{0} is listed twice")]
    Duplicate(SocketAddr),
}

/// What a response holds.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedEndpointList {
    /// The endpoints, in the order of their addresses.
    pub endpoints: Vec<EndpointRecord>,
    /// Why each of the other entries is left out.
    pub rejected: Vec<EndpointListError>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthEntry {
    #[serde(default)]
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    #[serde(default, rename = "Node")]
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    datacenter: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    /// An entry without it is rejected, as it could not be named.
    #[serde(rename = "ID")]
    _id: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: BTreeMap<String, String>,
    #[serde(default)]
    weights: Weights,
}

impl Service {
    fn meta_number(&self, field: &'static str) -> Result<Option<u16>, EntryError> {
        let Some(text) = self.meta.get(field) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(EntryError::Number {
                field,
                text: text.clone(),
            }),
        }
    }

    fn started(&self) -> Result<Option<f64>, EntryError> {
        let Some(text) = self.meta.get("started") else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(seconds) if seconds.is_finite() => Ok(Some(seconds)),
            _ => Err(EntryError::Started(text.clone())),
        }
    }

    fn weight(&self) -> Result<f64, EntryError> {
        let weight = self.weights.passing;
        if weight.is_finite() && weight > 0.0 {
            return Ok(weight);
        }
        Err(EntryError::Weight(weight))
    }
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

/// Reads a response's body; entries that can't be used are returned beside the endpoints.
///
/// # Errors
/// The body is not a JSON array, or has too many entries.
pub fn parse_endpoint_list(body: &[u8]) -> Result<ParsedEndpointList, EndpointListError> {
    let entries: Vec<serde_json::Value> = serde_json::from_slice(body)
        .map_err(|error| EndpointListError::Malformed(error.to_string()))?;
    if entries.len() > MAX_ENTRIES {
        return Err(EndpointListError::TooManyEntries(entries.len()));
    }
    let mut endpoints = BTreeMap::new();
    let mut rejected = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        let id = match entry["Service"]["ID"].as_str() {
            Some(id) => id.to_owned(),
            None => format!("number {index}"),
        };
        match parse_entry(entry) {
            Ok(endpoint) if endpoints.contains_key(&endpoint.address) => {
                let cause = EntryError::Duplicate(endpoint.address);
                rejected.push(EndpointListError::Entry { id, cause });
            }
            Ok(endpoint) => {
                endpoints.insert(endpoint.address, endpoint);
            }
            Err(cause) => rejected.push(EndpointListError::Entry { id, cause }),
        }
    }
    Ok(ParsedEndpointList {
        endpoints: endpoints.into_values().collect(),
        rejected,
    })
}

fn parse_entry(entry: serde_json::Value) -> Result<EndpointRecord, EntryError> {
    let entry: HealthEntry =
        serde_json::from_value(entry).map_err(|error| EntryError::Malformed(error.to_string()))?;
    let HealthEntry {
        node,
        service,
        checks,
    } = entry;
    let address = if service.address.is_empty() {
        &node.address
    } else {
        &service.address
    };
    let ip: IpAddr = address
        .parse()
        .map_err(|_| EntryError::Address(address.clone()))?;
    let started = service.started()?;
    let weight = service.weight()?;
    let build = service.meta_number("build")?.ok_or(EntryError::NoBuild)?;
    let cell = service.meta_number("cell")?.unwrap_or(0);
    let zone = service.meta.get("zone").unwrap_or(&node.datacenter);
    let machine = if node.name.is_empty() {
        format!("{ip}:{}", service.port)
    } else {
        node.name.clone()
    };
    Ok(EndpointRecord {
        address: SocketAddr::new(ip, service.port),
        draining: checks.iter().any(|check| check.status == CRITICAL),
        build,
        weight,
        started,
        zone: zone.clone(),
        cell,
        machine_type: service.meta.get("kind").cloned().unwrap_or_default(),
        machine,
    })
}
