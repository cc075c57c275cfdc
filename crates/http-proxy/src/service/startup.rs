//! Builds a sidecar from its settings.

use super::attempt_token::AttemptTokens;
use super::clients::{Clients, MAX_UNCOUNTED_MESSAGE};
use super::control::endpoint_watch::EndpointWatch;
use super::control::known_endpoints::KnownEndpoints;
use super::control::stage_watch::StageWatch;
use super::peers::Peers;
use super::settings::ServiceSettings;
use super::shutdown::shutdown_timeouts;
use super::upstream::Upstream;
use super::{Decisions, Service, StartError};
use crate::endpoint_list::EndpointRecord;
use crate::endpoint_list_file;
use crate::request_classifier::RequestClassifier;
use crate::state_store::StateStore;
use limewing_decision::interface::SidecarConfig;
use limewing_decision::DecisionEngine;
use limewing_net::sockets::{resource_limits, Sockets, MAX_INPUT_WHEN_SHORT};
use limewing_net::timer_wheel::TimerWheel;
use limewing_proxy_core::clock::Clock;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::in_flight::InFlightRequests;
use limewing_proxy_core::memory_budget::MemoryBudget;
use limewing_proxy_core::shutdown::{ClientListener, Shutdown};
use limewing_proxy_core::signals;
use limewing_settings::SidecarSettings;
use rustc_hash::FxHashMap;
use std::io;
use std::time::Duration;

/// Address space that the system allocator reserves for each thread that allocates, in bytes.
const ALLOCATOR_RESERVE_BYTES: usize = 64 << 20;
/// Memory for the state of one client connection, its request and the attempts of that, in bytes.
const CONNECTION_STATE: usize = 4 * 1024;
/// Maximum memory of one client connection that is not counted against the memory budget, or needed when the budget is
/// used up, in bytes: a request and a response that are not counted, and little input.
const MAX_UNCOUNTED_MEMORY: usize =
    CONNECTION_STATE + MAX_INPUT_WHEN_SHORT + 2 * MAX_UNCOUNTED_MESSAGE;
/// Input is read ahead in large pieces while buffers hold less than the memory budget divided by this.
const INPUT_MEMORY_DIVISOR: usize = 4;

impl Service {
    /// Binds the listen address, loads the saved endpoint list and begins to query the current one.
    ///
    /// # Errors
    /// The settings are invalid, an address cannot be bound, or the operating system denies a resource.
    pub fn start(settings: &SidecarSettings) -> Result<Self, StartError> {
        Self::start_with(settings, |now, config| {
            Box::new(DecisionEngine::new(now, config))
        })
    }

    /// Starts a sidecar like [`Service::start`], with decisions created by the caller from the time and the
    /// configuration.
    ///
    /// # Errors
    /// Fails for the same reasons as [`Service::start`].
    pub fn start_with(
        settings: &SidecarSettings,
        decisions: impl FnOnce(Duration, SidecarConfig) -> Box<dyn Decisions + Send>,
    ) -> Result<Self, StartError> {
        let classifier = RequestClassifier::new(settings).map_err(StartError::Settings)?;
        let mut sockets = Sockets::new()?;
        sockets.watch_signals(&signals::WATCHED)?;
        let address = settings.listen;
        let listener = ClientListener::bind(&mut sockets, address)
            .map_err(|error| StartError::Listen { address, error })?;
        let max_memory = max_memory(settings);
        let memory = MemoryBudget::for_process(max_memory);
        // Connections may use a part of the memory that the memory budget leaves.
        let (descriptors, _) = resource_limits();
        let uncounted = max_memory - memory.limit();
        let budget = DescriptorBudget::new(descriptors, uncounted, MAX_UNCOUNTED_MEMORY);
        sockets.limit_connections(budget.max_accepted, budget.max_connections);
        sockets.limit_buffered_bytes(memory.limit() / INPUT_MEMORY_DIVISOR);
        let clock = Clock::default();
        let now = clock.now();
        let seed = settings.seed.unwrap_or_else(rand::random);
        let max_client_timeout = max_client_timeout(settings);
        let peers = Peers::start(settings, now, seed, max_client_timeout, &mut sockets)?;
        let state_store = start_state_store(settings)?;
        let tokens = AttemptTokens::new(&settings.name, rand::random());
        let mut service = Self {
            sockets,
            clock,
            now,
            timers: TimerWheel::default(),
            connections: FxHashMap::default(),
            decisions: decisions(now, settings.sidecar_config(seed)),
            wake_at: now,
            events: Vec::new(),
            settings: ServiceSettings::new(settings),
            classifier,
            requests: InFlightRequests::default(),
            clients: Clients::new(listener, memory),
            upstream: Upstream::new(budget, tokens),
            endpoints: KnownEndpoints::new(&settings.fleet.zones, state_store),
            endpoint_watch: EndpointWatch::default(),
            stages: StageWatch::new(seed),
            peers,
            shutdown: Shutdown::new(shutdown_timeouts(max_client_timeout)),
        };
        service.announce_cached_list(settings.state_file.as_deref());
        service.open_stage_stream();
        Ok(service)
    }
}

/// Returns the configured memory limit in bytes, or that of the system if it is lower.
fn max_memory(settings: &SidecarSettings) -> usize {
    let (_, address_space) = resource_limits();
    // The allocator reserves address space for each background thread as well, which counts towards the limit.
    let threads = 1
        + usize::from(settings.state_file.is_some())
        + usize::from(settings.maintenance.is_some());
    let reserved = (threads * ALLOCATOR_RESERVE_BYTES).min(address_space / 4 * 3);
    let available = address_space - reserved;
    settings
        .limits
        .max_memory
        .map_or(available, |limit| limit.min(available))
}

fn max_client_timeout(settings: &SidecarSettings) -> Duration {
    settings
        .classes
        .iter()
        .map(|class| Duration::from(class.client_timeout))
        .max()
        .unwrap_or_default()
}

fn start_state_store(
    settings: &SidecarSettings,
) -> io::Result<Option<StateStore<Vec<EndpointRecord>>>> {
    let Some(path) = settings.state_file.clone() else {
        return Ok(None);
    };
    let store = StateStore::start(move |endpoints: &Vec<EndpointRecord>| {
        endpoint_list_file::save(&path, endpoints)
    })?;
    Ok(Some(store))
}
