//! Pods, discovery, rollouts and clients for several sidecars at once, with a record of all messages in the format of
//! `limewing_rule_checker`. Each pod has a separate address for each sidecar, so that the record identifies the sidecar of an attempt.
//! Its times are taken at the emulators, not at the sidecars.

use super::world_client::WorldClient;
use super::world_pod::{Faults, WorldPod};
use super::world_record::WorldRecord;
use super::{
    endpoint_listing_json, rollout_state_json, Discovery, ListedPod, RolloutService,
    VoteReplyScript,
};
use crate::locks::lock;
use limewing_rule_checker::record::{
    DeduplicationScope, Event, Idempotency, Phase, PodId, RecordLine, RequestClass, RuleLimits,
    SidecarId,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of a pod's cores.
const POD_CORES: f64 = 4.0;
/// The number of the endpoint list in the sidecars' configuration.
const INITIAL_LIST_NUMBER: u64 = 7;

struct PodListeners {
    pod: Arc<WorldPod>,
    /// Its address for each sidecar, by index.
    addresses: Vec<SocketAddr>,
}

/// The environment of several sidecars.
pub struct World {
    record: WorldRecord,
    pods: Vec<PodListeners>,
    executed: Arc<Mutex<BTreeSet<String>>>,
    /// The discovery service of each sidecar.
    pub discovery: Vec<Discovery>,
    /// The rollout service of each sidecar.
    pub rollouts: Vec<RolloutService>,
    list_number: u64,
    stage_number: u64,
    seed: u64,
}

impl World {
    /// Creates the environment of this many sidecars, none of which runs yet.
    #[must_use]
    pub fn new(sidecars: usize, limits: RuleLimits, seed: u64) -> Self {
        let record = WorldRecord::new();
        record.append(Event::Begin {
            day: "platform".into(),
            limits,
        });
        // Each watch begins with an empty update of the list that the sidecar already knows (`since`), until a test sends a new list.
        let discovery = (0..sidecars)
            .map(|_| Discovery::new(endpoint_listing_json(INITIAL_LIST_NUMBER, false, &[])));
        let released = rollout_state_json(1, 0, "Healthy", 1.0);
        let first = format!(r#"{{"type":"news","object":{released}}}"#);
        let rollouts = (0..sidecars).map(|_| {
            RolloutService::new(&first, vec![VoteReplyScript::Reply(200, released.clone())])
        });
        Self {
            record,
            pods: Vec::new(),
            executed: Arc::default(),
            discovery: discovery.collect(),
            rollouts: rollouts.collect(),
            list_number: INITIAL_LIST_NUMBER,
            stage_number: 0,
            seed,
        }
    }

    /// The limits of the rules, with these exposure caps.
    #[must_use]
    pub fn limits(caps: Vec<f64>) -> RuleLimits {
        let class = |idempotency| RequestClass {
            name: String::new(),
            idempotency,
            latency_objective: Duration::from_secs(1),
            priority_weight: 1.0,
        };
        let keyed = Idempotency::Keyed {
            deduplicated_by: DeduplicationScope::All,
            window: Duration::from_secs(3),
        };
        RuleLimits {
            classes: vec![
                class(Idempotency::Idempotent),
                class(keyed),
                class(Idempotency::NonIdempotent),
            ],
            answer_slack: Duration::from_millis(100),
            drain_grace: Duration::from_millis(500),
            slow_start_from: 0.5,
            slow_start_duration: Duration::from_secs(1),
            overload_multiple: 2.0,
            overload_window: Duration::from_secs(1),
            exposure_caps: caps,
            exposure_window: Duration::from_secs(2),
            exposure_free: 1.0,
            exposure_per_class: false,
            guarded_stages: 0,
            sticky_keys: false,
        }
    }

    /// Starts a pod that is not listed yet, and returns its number.
    ///
    /// # Panics
    /// Panics if no port is free.
    pub fn start_pod(&mut self, build: u16, warming_up: bool, faults: Faults) -> usize {
        let number = self.pods.len();
        let id = PodId(number as u32);
        let seed = self.seed ^ u64::from(id.0) << 32;
        let pod = Arc::new(WorldPod {
            id,
            build,
            faults: Mutex::new(faults),
            record: self.record.clone(),
            executed: self.executed.clone(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        self.record.append(Event::PodStarted {
            pod: id,
            build,
            zone: 0,
            cell: 0,
            capacity: POD_CORES,
            warming_up,
        });
        let sidecars = 0..self.discovery.len() as u32;
        let addresses = sidecars.map(|sidecar| listen_for(&pod, SidecarId(sidecar)));
        let addresses = addresses.collect();
        self.pods.push(PodListeners { pod, addresses });
        number
    }

    /// A pod's entry in the list for one sidecar.
    #[must_use]
    pub fn listed_pod(
        &self,
        sidecar: usize,
        pod: usize,
        state: &'static str,
        started_at_ms: u64,
    ) -> ListedPod {
        let PodListeners {
            pod: listed,
            addresses,
        } = &self.pods[pod];
        ListedPod {
            build: listed.build,
            state,
            started_at_ms,
            ..ListedPod::new(&format!("p{pod}"), addresses[sidecar])
        }
    }

    /// Sends the whole list on one sidecar's watch: pods with their health and start time.
    pub fn send_endpoint_list(&mut self, sidecar: usize, pods: &[(usize, &'static str, u64)]) {
        self.list_number += 1;
        let rows: Vec<ListedPod> = pods
            .iter()
            .map(|(pod, state, started_at_ms)| {
                self.listed_pod(sidecar, *pod, state, *started_at_ms)
            })
            .collect();
        self.discovery[sidecar].send_object(&endpoint_listing_json(self.list_number, true, &rows));
        self.record_endpoint_list(sidecar, pods);
    }

    /// Records that a sidecar received this list, by its configuration or its watch.
    pub fn record_endpoint_list(&self, sidecar: usize, pods: &[(usize, &'static str, u64)]) {
        let with = |wanted: &str| {
            let some = pods.iter().filter(|(_, state, _)| *state == wanted);
            some.map(|(pod, ..)| PodId(*pod as u32)).collect()
        };
        self.record.append(Event::EndpointsNotified {
            sidecar: SidecarId(sidecar as u32),
            ready: with("in_service"),
            draining: with("terminating"),
        });
    }

    /// Sends the newest build's stage to all sidecars.
    pub fn send_stage(&mut self, build: u16, stage: u8, name: &str, cap: f64) {
        self.stage_number += 1;
        let state = rollout_state_json(build, stage, name, cap);
        for (sidecar, rollouts) in self.rollouts.iter().enumerate() {
            rollouts.send_line(&format!(r#"{{"type":"news","object":{state}}}"#));
            self.record_stage(sidecar, build, stage, name, cap);
        }
    }

    /// Records that a sidecar received a stage update.
    pub fn record_stage(&self, sidecar: usize, build: u16, stage: u8, name: &str, cap: f64) {
        let phase = match name {
            "Progressing" => Phase::OnTrial,
            "Aborting" => Phase::RollingBack,
            "Healthy" => Phase::Released,
            _ => Phase::RolledBack,
        };
        self.record.append(Event::StageNotified {
            sidecar: SidecarId(sidecar as u32),
            number: self.stage_number,
            build,
            stage,
            phase,
            cap,
        });
    }

    /// Appends an event to the record.
    pub fn record_event(&self, event: Event) {
        self.record.append(event);
    }

    /// Sets the faults of a pod from now on.
    pub fn set_faults(&self, pod: usize, faults: Faults) {
        *lock(&self.pods[pod].pod.faults) = faults;
    }

    /// Starts a client of a sidecar on its own thread. It sends one request after the other until it is stopped, and reconnects when its
    /// connection ends. The thread returns the number of delivered requests. `name` is the upper half of its requests' numbers.
    pub fn start_client(
        &self,
        (sidecar, address): (usize, SocketAddr),
        name: u64,
        timeout: Duration,
        stop: Arc<AtomicBool>,
    ) -> JoinHandle<usize> {
        let client = WorldClient {
            record: self.record.clone(),
            sidecar: SidecarId(sidecar as u32),
            address,
            name,
            timeout,
            rng: StdRng::seed_from_u64(self.seed ^ name),
        };
        std::thread::spawn(move || client.run(&stop))
    }

    /// Ends the record, and returns it.
    #[must_use]
    pub fn lines(&self) -> Vec<RecordLine> {
        self.record.append(Event::End {});
        self.record.lines()
    }
}

/// Listens for one sidecar's connections to a pod.
fn listen_for(pod: &Arc<WorldPod>, sidecar: SidecarId) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    let pod = pod.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let pod = pod.clone();
            std::thread::spawn(move || pod.serve(stream, sidecar));
        }
    });
    address
}
