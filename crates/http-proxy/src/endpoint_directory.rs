//! The numbers by which the decision engine knows endpoints, zones and machine types.

use crate::endpoint_list::EndpointRecord;
use limewing_decision::interface::{
    BuildId, CellId, Endpoint, MachineTypeId, PodId, PodState, ZoneId,
};
use limewing_proxy_core::clock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

/// How many machine types have a number of their own; any others share the last one.
const MAX_MACHINE_TYPES: usize = 255;
/// An IPv4 address and its port take so many bits of a pod's number; a number beyond them is of any other address.
const IPV4_POD_BITS: u32 = 48;
const PORT_BITS: u32 = 16;

/// A start time as the list tells it, and on the sidecar's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    unix_seconds: f64,
    monotonic: Option<Duration>,
}

/// Assigns numbers to endpoints and machine types, and maps pods back to their addresses.
#[derive(Debug)]
pub struct EndpointDirectory {
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// Pods whose address is not an IPv4 address.
    other_pods: BTreeMap<SocketAddr, PodId>,
    /// Kept so that a step of the time of day does not look like a restart.
    start_times: BTreeMap<SocketAddr, StartTime>,
}

impl EndpointDirectory {
    /// An empty directory; zones are numbered in the order of `zones`.
    #[must_use]
    pub fn new(zones: &[String]) -> Self {
        Self {
            zones: zones.to_vec(),
            machine_types: Vec::new(),
            other_pods: BTreeMap::new(),
            start_times: BTreeMap::new(),
        }
    }

    /// A complete list as the decision engine's endpoints; start times of all others are forgotten.
    pub fn snapshot(
        &mut self,
        list: &[EndpointRecord],
        now: Duration,
        wall_clock: SystemTime,
    ) -> Vec<Endpoint> {
        self.start_times
            .retain(|address, _| list.iter().any(|record| record.address == *address));
        list.iter()
            .map(|record| self.endpoint(record, now, wall_clock))
            .collect()
    }

    /// What differs between two lists: first the endpoints that are gone, then those that are new or changed.
    ///
    /// An unchanged endpoint is left out, as a repeated one would have the engine draw again for its slow start.
    pub fn delta(
        &mut self,
        old: &[EndpointRecord],
        new: &[EndpointRecord],
        now: Duration,
        wall_clock: SystemTime,
    ) -> Vec<Endpoint> {
        let old_by_address: BTreeMap<SocketAddr, &EndpointRecord> =
            old.iter().map(|record| (record.address, record)).collect();
        let listed: BTreeSet<SocketAddr> = new.iter().map(|record| record.address).collect();
        let mut delta = Vec::new();
        for record in old {
            if !listed.contains(&record.address) {
                let endpoint = self.endpoint(record, now, wall_clock);
                delta.push(Endpoint {
                    state: PodState::Gone,
                    ..endpoint
                });
            }
        }
        self.start_times
            .retain(|address, _| listed.contains(address));
        for record in new {
            if old_by_address.get(&record.address) != Some(&record) {
                delta.push(self.endpoint(record, now, wall_clock));
            }
        }
        delta
    }

    fn endpoint(
        &mut self,
        record: &EndpointRecord,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Endpoint {
        let state = if record.draining {
            PodState::Draining
        } else {
            PodState::Ready
        };
        let started_at = self.started_at(record, now, wall_clock);
        let zone = self.zones.iter().position(|zone| *zone == record.zone);
        // A zone that the settings don't name gets a number that is no other's.
        let zone = zone.unwrap_or(self.zones.len());
        Endpoint {
            pod: self.pod_id(record.address),
            state,
            build: BuildId(record.build),
            weight: record.weight,
            started_at,
            zone: ZoneId(zone as u16),
            cell: CellId(record.cell),
            machine_type: self.machine_type_id(&record.machine_type),
        }
    }

    fn started_at(
        &mut self,
        record: &EndpointRecord,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Option<Duration> {
        let unix_seconds = record.started?;
        if let Some(known) = self.start_times.get(&record.address) {
            if known.unix_seconds == unix_seconds {
                return known.monotonic;
            }
        }
        let monotonic = clock::from_wall_clock(unix_seconds, now, wall_clock);
        let start_time = StartTime {
            unix_seconds,
            monotonic,
        };
        self.start_times.insert(record.address, start_time);
        monotonic
    }

    /// The pod at an address: an IPv4 address with its port is the number itself, any other gets the next free one.
    pub fn pod_id(&mut self, address: SocketAddr) -> PodId {
        match address.ip() {
            IpAddr::V4(ip) => {
                let ip_bits = u64::from(u32::from(ip)) << PORT_BITS;
                PodId(ip_bits | u64::from(address.port()))
            }
            IpAddr::V6(_) => {
                let next = 1 << IPV4_POD_BITS | self.other_pods.len() as u64;
                *self.other_pods.entry(address).or_insert(PodId(next))
            }
        }
    }

    /// A pod's address; `None` if the number is no pod's.
    #[must_use]
    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        if pod.0 >> IPV4_POD_BITS == 0 {
            let ip = Ipv4Addr::from((pod.0 >> PORT_BITS) as u32);
            return Some(SocketAddr::new(ip.into(), pod.0 as u16));
        }
        let (address, _) = self.other_pods.iter().find(|(_, known)| **known == pod)?;
        Some(*address)
    }

    fn machine_type_id(&mut self, name: &str) -> MachineTypeId {
        let known = self.machine_types.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            if self.machine_types.len() < MAX_MACHINE_TYPES {
                self.machine_types.push(name.to_owned());
            }
            self.machine_types.len() - 1
        });
        MachineTypeId((index as u8).into())
    }
}
