//! Maps endpoints, zones and machine types to the numeric IDs that the decision engine uses.

use crate::endpoint_list::EndpointRecord;
use limewing_decision::interface::{
    BuildId, CellId, Endpoint, MachineTypeId, PodId, PodState, ZoneId,
};
use limewing_proxy_core::clock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

/// Number of machine types with an ID of their own; all further types share the last ID.
const MAX_MACHINE_TYPES: usize = 255;
/// Bits of a pod ID that hold an IPv4 address and its port; IDs with a higher bit set belong to all other addresses.
const IPV4_POD_ID_BITS: u32 = 48;
/// Bits of a pod ID that hold the port of an IPv4 address.
const PORT_BITS: u32 = 16;

/// A pod's start time as listed, in seconds since 1970, and on the sidecar's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    unix_seconds: f64,
    monotonic: Option<Duration>,
}

/// Assigns IDs to endpoints and machine types, and maps pod IDs back to addresses.
#[derive(Debug)]
pub struct EndpointDirectory {
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// IDs of the pods whose address is not an IPv4 address.
    non_ipv4_pods: BTreeMap<SocketAddr, PodId>,
    /// Converted once per start time, so that a step of the wall clock does not look like a restart of the pod.
    start_times: BTreeMap<SocketAddr, StartTime>,
}

impl EndpointDirectory {
    /// Creates an empty directory; zone IDs follow the order of `zones`.
    #[must_use]
    pub fn new(zones: &[String]) -> Self {
        Self {
            zones: zones.to_vec(),
            machine_types: Vec::new(),
            non_ipv4_pods: BTreeMap::new(),
            start_times: BTreeMap::new(),
        }
    }

    /// Converts a complete list to the decision engine's endpoints, and forgets the start times of unlisted endpoints.
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

    /// Returns the difference between two lists: first the removed endpoints, then the new and changed ones.
    ///
    /// Unchanged endpoints are left out, because the engine makes a new random draw for the slow start of each endpoint
    /// that it receives.
    pub fn delta(
        &mut self,
        old: &[EndpointRecord],
        new: &[EndpointRecord],
        now: Duration,
        wall_clock: SystemTime,
    ) -> Vec<Endpoint> {
        let old_records: BTreeMap<SocketAddr, &EndpointRecord> =
            old.iter().map(|record| (record.address, record)).collect();
        let new_addresses: BTreeSet<SocketAddr> = new.iter().map(|record| record.address).collect();
        let mut delta = Vec::new();
        for record in old {
            if !new_addresses.contains(&record.address) {
                let endpoint = self.endpoint(record, now, wall_clock);
                delta.push(Endpoint {
                    state: PodState::Gone,
                    ..endpoint
                });
            }
        }
        self.start_times
            .retain(|address, _| new_addresses.contains(address));
        for record in new {
            if old_records.get(&record.address) != Some(&record) {
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
        // All zones that the settings do not name share one ID, which no configured zone has.
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

    /// Returns the ID of the pod at an address: it encodes an IPv4 address and port; any other address gets the next free
    /// ID.
    pub fn pod_id(&mut self, address: SocketAddr) -> PodId {
        match address.ip() {
            IpAddr::V4(ip) => {
                let ip_bits = u64::from(u32::from(ip)) << PORT_BITS;
                PodId(ip_bits | u64::from(address.port()))
            }
            IpAddr::V6(_) => {
                let next = 1 << IPV4_POD_ID_BITS | self.non_ipv4_pods.len() as u64;
                *self.non_ipv4_pods.entry(address).or_insert(PodId(next))
            }
        }
    }

    /// Returns the address of a pod, or `None` if no pod has this ID.
    #[must_use]
    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        if pod.0 >> IPV4_POD_ID_BITS == 0 {
            let ip = Ipv4Addr::from((pod.0 >> PORT_BITS) as u32);
            return Some(SocketAddr::new(ip.into(), pod.0 as u16));
        }
        let (address, _) = self
            .non_ipv4_pods
            .iter()
            .find(|(_, known)| **known == pod)?;
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
