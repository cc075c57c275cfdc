//! Parser for the endpoint list of Consul's health API (`GET /v1/health/service/NAME`, blocking queries).
//!
//! The parser reads these fields of an entry: `Service.ID`, `Service.Address` (falls back to `Node.Address`),
//! `Service.Port`, `Service.Weights.Passing` (weight), `Service.Meta` (`build`, `started` in seconds since 1970, `zone`,
//! `cell`, `kind`), `Node.Node` (machine name), `Node.Datacenter` (zone if Meta has none) and `Checks[].Status`. An
//! endpoint with a critical check is draining; Consul's maintenance mode sets such a check.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Maximum number of entries in one response.
const MAX_ENTRIES: usize = 10_000;
/// Check status that takes an endpoint out of service.
const CRITICAL: &str = "critical";

/// An endpoint as listed and as stored in the state file, with names in place of the decision engine's IDs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// The address and port that the pod listens on.
    pub address: SocketAddr,
    /// Whether the endpoint gets no new requests.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The build that the pod runs.
    pub build: u16,
    /// The relative capacity, greater than 0.
    #[serde(rename = "size")]
    pub weight: f64,
    /// The start time of the pod, in seconds since 1970.
    pub started: Option<f64>,
    /// The name of the zone.
    pub zone: String,
    /// The number of the cell.
    pub cell: u16,
    /// The machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The machine name; the endpoint's address if the list has none.
    #[serde(default)]
    pub machine: String,
}

/// The reason why a response or one of its entries is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    /// The response is not a JSON array; carries the message of the JSON parser.
    #[error("expected a JSON array of health entries: {0}")]
    Malformed(String),
    /// The response has more entries than the maximum.
    #[error("expected {MAX_ENTRIES} entries at most, found {0}")]
    TooManyEntries(usize),
    /// One entry is invalid.
    #[error("service {id}: {cause}")]
    Entry {
        /// `Service.ID`, or the entry's position in the list.
        id: String,
        /// The reason why the entry is rejected.
        cause: EntryError,
    },
}

/// The reason why an entry is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EntryError {
    /// The entry is not a health entry; carries the message of the JSON parser.
    #[error("{0}")]
    Malformed(String),
    /// The address is not an IP address.
    #[error("expected an IP address, found {0:?}")]
    Address(String),
    /// A field of `Service.Meta` is not a number below 65536.
    #[error("Meta.{field}: expected a number below 65536, found {text:?}")]
    Number {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        text: String,
    },
    /// The start time is not a finite number.
    #[error("Meta.started: expected seconds since 1970, found {0:?}")]
    Started(String),
    /// The weight is not a finite number greater than 0.
    #[error("Weights.Passing: expected a finite number over 0, found {0}")]
    Weight(f64),
    /// The build is missing.
    #[error("Meta.build: expected a number below 65536, found none")]
    NoBuild,
    /// An earlier entry has the same address.
    #[error("{0} is listed twice")]
    Duplicate(SocketAddr),
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedEndpointList {
    /// The valid endpoints, ordered by address.
    pub endpoints: Vec<EndpointRecord>,
    /// The errors of all other entries.
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
    /// Required, because log lines name an entry by it; an entry without an ID is rejected.
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
    fn parse_meta_number(&self, field: &'static str) -> Result<Option<u16>, EntryError> {
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

    fn parse_started(&self) -> Result<Option<f64>, EntryError> {
        let Some(text) = self.meta.get("started") else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(seconds) if seconds.is_finite() => Ok(Some(seconds)),
            _ => Err(EntryError::Started(text.clone())),
        }
    }

    fn checked_weight(&self) -> Result<f64, EntryError> {
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

/// Parses a response body; invalid entries are returned as errors next to the endpoints.
///
/// # Errors
/// Fails if the body is not a JSON array or has too many entries.
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
    let started = service.parse_started()?;
    let weight = service.checked_weight()?;
    let build = service
        .parse_meta_number("build")?
        .ok_or(EntryError::NoBuild)?;
    let cell = service.parse_meta_number("cell")?.unwrap_or(0);
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
