//! The settings of the sidecars of a day.

use super::endpoint_service::SERVICE;
use super::event_loop::{any_port, Day};
use crate::fleet::key_file;
use limewing_settings::{
    EndpointListService, Fleet, Headers, MaintenanceSettings, PeerSettings, RolloutService,
    Seconds, SidecarSettings, Tenant,
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// How long a blocking query of the endpoint list may wait.
const WATCH_WAIT_SECONDS: f64 = 10.0;
/// How long a sidecar waits for a stage update before it considers the stream lost.
const STREAM_SILENCE_SECONDS: f64 = 10.0;
/// The most that a sidecar may send to its peers.
const PEER_BYTES_PER_SECOND: u32 = 65_536;
/// Separates the seeds of sidecars of different days.
const SEED_FACTOR: u64 = 1_000_003;

impl Day<'_> {
    pub(super) fn sidecar_settings(&self, number: usize, listen: SocketAddr) -> SidecarSettings {
        let script = self.script;
        let header = |name: &str| Some(name.to_owned());
        let seed = script.seed.wrapping_mul(SEED_FACTOR);
        let classes = script.classes.iter().map(|script| script.class.clone());
        let tenants = script.tenants.iter().map(|tenant| Tenant {
            name: tenant.name.clone(),
        });
        SidecarSettings {
            name: format!("sidecar-{number}"),
            listen,
            state_file: Some(self.state_file(number)),
            seed: Some(seed.wrapping_add(number as u64)),
            endpoint_list: EndpointListService {
                address: self.endpoints.address,
                service: SERVICE.to_owned(),
                wait: seconds(WATCH_WAIT_SECONDS),
            },
            rollout_service: Some(RolloutService {
                address: self.rollout_service.address(),
                silence_timeout: seconds(STREAM_SILENCE_SECONDS),
            }),
            fleet: Fleet {
                sidecar_count: script.sidecar_zones.len() as u32,
                sidecar_index: number as u32,
                zones: script.fleet.zones.clone(),
                zone: script.sidecar_zones[number].clone(),
            },
            headers: Headers {
                tenant: header("customer"),
                routing_key: header("routing-key"),
                deadline_ms: header("request-timeout-ms"),
            },
            classes: classes.collect(),
            tenants: tenants.collect(),
            limits: script.limits.clone(),
            safety: script.rules.clone(),
            rollout: script.releases.clone(),
            peers: self.peer_settings(number),
            maintenance: self.maintenance_settings(number),
        }
    }

    pub(super) fn state_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("sidecar-{number}.state.json"))
    }

    /// The directory of a voter's log.
    pub(super) fn voter_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("sidecar-{number}.work"))
    }

    fn maintenance_settings(&self, number: usize) -> Option<MaintenanceSettings> {
        let maintenance = self.script.maintenance.as_ref()?;
        let voters = (0..maintenance.voters).map(|voter| format!("sidecar-{voter}"));
        let possible_voters = maintenance.possible_voters.unwrap_or(maintenance.voters);
        Some(MaintenanceSettings {
            voters: voters.collect(),
            state_directory: (number < possible_voters).then(|| self.voter_folder(number)),
            election_timeout: maintenance.election_timeout,
            lease_duration: maintenance.lease,
        })
    }

    fn peer_settings(&self, number: usize) -> Option<PeerSettings> {
        let peers = self.script.peers.as_ref()?;
        let relay = self.relay.as_ref()?;
        Some(PeerSettings {
            listen: any_port(),
            advertise: Some(relay.addresses[number]),
            join: relay.addresses.iter().take(3).copied().collect(),
            key_file: key_file(&self.folder, number),
            period: peers.probe_interval,
            bytes_per_s: PEER_BYTES_PER_SECOND,
            coordination: peers.coordination,
            replication: peers.replication,
        })
    }
}

fn seconds(value: f64) -> Seconds {
    Seconds::try_from(value).expect("the constants are valid numbers of seconds")
}
