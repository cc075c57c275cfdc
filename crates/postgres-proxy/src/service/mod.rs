//! The service: the event loop that connects sockets, clock and decision engine of a sidecar for
//! the PostgreSQL protocol.
//!
//! All state is owned by [`Service`], whose methods are grouped by topic: `event_loop` (turns and
//! dispatch), `clients`, `client_closing` and `requests` (clients), `attempts`, `attempt_writer`,
//! `upstream`, `upstream_pool` and `pod_connection` (pods), `discovery`, `rollouts`, `votes`,
//! `service_connection` and `http_request` (services of the platform), `config_reload` and
//! `graceful_shutdown` (signals).

mod attempt_writer;
mod attempts;
mod client_closing;
mod clients;
mod config_reload;
mod discovery;
mod event_loop;
mod graceful_shutdown;
mod http_request;
mod pod_connection;
mod requests;
mod rollouts;
mod service_connection;
mod upstream;
mod upstream_pool;
mod votes;

use crate::config::{self, ConfigFileError, ProxyConfig, ServiceAddresses};
use crate::endpoint_list::EndpointList;
use crate::endpoint_listing::EndpointListing;
use crate::statement::{Statement, StatementParser};
use crate::timeouts::{shutdown_timeouts, IDLE_CLIENT_CHECK_INTERVAL};
use clients::{Client, ClientState};
use config_reload::ConfigReload;
use discovery::{DiscoveryState, WatchConnection};
use limewing_decision::interface::{AttemptIndex, ClassId, Event, Idempotency, RequestId};
use limewing_decision::DecisionEngine;
use limewing_net::sockets::{resource_limits, SocketId, Sockets, MAX_INPUT_WHEN_SHORT};
use limewing_net::timer_wheel::TimerWheel;
use limewing_proxy_core::clock::Clock;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::in_flight::InFlightRequests;
use limewing_proxy_core::memory_budget::MemoryBudget;
use limewing_proxy_core::shutdown::{ClientListener, Shutdown};
use limewing_proxy_core::signals;
use limewing_proxy_core::vote_call::VoteCall;
use pod_connection::PodConnection;
use rollouts::{RolloutTracker, StageStream};
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use upstream_pool::UpstreamState;

/// Maximum number of unsent bytes to a client before reading from it is suspended.
const MAX_UNSENT: usize = 64 * 1024;
/// Maximum length of a message from a client that is buffered without counting it against the
/// memory budget, in bytes, so that small requests are served when large ones use up the budget.
const MAX_UNCOUNTED_STATEMENT: usize = 4 * 1024;
/// Memory for the state of one client connection, its request and the attempts of that, in bytes.
const CONNECTION_STATE: usize = 4 * 1024;
/// Maximum memory of one client connection that is not counted against the memory budget, or needed
/// when the budget is used up, in bytes.
const MAX_UNCOUNTED_MEMORY: usize =
    CONNECTION_STATE + MAX_INPUT_WHEN_SHORT + MAX_UNCOUNTED_STATEMENT;
/// Input is read ahead in large pieces while buffers hold less than the memory budget divided by
/// this.
const INPUT_MEMORY_DIVISOR: usize = 4;

/// Why a sidecar cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address is in use, or not an address of this machine.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address on which clients were to be served.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The operating system refused to set up polling or signal handling.
    #[error("cannot set up polling or signal handling: {0}")]
    System(#[from] io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
}

/// The purpose of a connection, with its state.
enum ConnectionRole {
    Client(Box<Client>),
    Pod(Box<PodConnection>),
    Watch(Box<WatchConnection>),
    StageStream(Box<StageStream>),
    Vote(Box<VoteCall>),
}

/// The purpose of a timer.
#[derive(Clone, Copy)]
enum TimerEvent {
    AttemptTimeout(RequestId, AttemptIndex),
    /// The phase of a connection to a pod has timed out.
    PodPhaseTimeout(SocketId),
    SendLastByte(SocketId),
    PodIdleTimeout(SocketId),
    /// A client has not sent a complete message in time.
    ClientTimeout(SocketId),
    SendFatalError(SocketId),
    CheckIdleClients,
    WatchTimeout(SocketId),
    ReloadConfig,
    OpenStageStream,
    StageStreamTimeout(SocketId),
    VoteTimeout(SocketId),
}

/// Configuration values used by the event loop, which do not change until the next start.
struct Settings {
    name: String,
    listen: SocketAddr,
    settings_hash: u64,
    connect_timeout: Duration,
    /// Time after which pods close idle connections.
    pod_idle_timeout: Duration,
    max_attempts: usize,
    vote_timeout: Duration,
    /// For each request class, whether its requests are idempotent.
    idempotent_classes: Vec<bool>,
}

impl Settings {
    fn new(config: &ProxyConfig) -> Self {
        Self {
            name: config.name.clone(),
            listen: config.listen,
            settings_hash: config.settings_hash,
            connect_timeout: config.sockets.connect_timeout,
            pod_idle_timeout: config.sockets.idle_timeout,
            max_attempts: config.engine.max_attempts.into(),
            vote_timeout: config.engine.rollout.vote_timeout,
            idempotent_classes: config
                .engine
                .classes
                .iter()
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
        }
    }

    /// Whether requests of a class are idempotent.
    fn is_idempotent(&self, class: ClassId) -> bool {
        self.idempotent_classes[usize::from(class.0)]
    }
}

/// A running sidecar.
pub struct Service {
    settings: Settings,
    services: ServiceAddresses,
    sockets: Sockets,
    timers: TimerWheel<TimerEvent>,
    clock: Clock,
    /// The time of the current turn, on the monotonic clock.
    now: Duration,
    connections: FxHashMap<SocketId, ConnectionRole>,
    engine: DecisionEngine,
    engine_wake_at: Duration,
    /// Events to be passed to the decision engine in this turn.
    events: Vec<Event>,
    clients: ClientState,
    requests: InFlightRequests<Statement>,
    upstream: UpstreamState,
    discovery: DiscoveryState,
    rollouts: RolloutTracker,
    config_reload: ConfigReload,
    shutdown: Shutdown,
}

impl Service {
    /// Reads the configuration and starts listening.
    ///
    /// # Errors
    /// Returns an error if the file is invalid, the address is in use, or the operating system
    /// refuses a resource.
    pub fn start(file: PathBuf) -> Result<Self, StartError> {
        let config = config::read(&file)?;
        Self::start_with_config(file, config)
    }

    /// Starts listening as specified by `config`; `file` is read again on SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the address is in use or the operating system refuses a resource.
    pub fn start_with_config(file: PathBuf, config: ProxyConfig) -> Result<Self, StartError> {
        let mut sockets = Sockets::new()?;
        sockets.watch_signals(&signals::WATCHED)?;
        let address = config.listen;
        let listener = ClientListener::bind(&mut sockets, address)
            .map_err(|error| StartError::Listen { address, error })?;
        let memory = MemoryBudget::for_process(max_memory(&config));
        let budget = descriptor_budget(&config, &memory);
        sockets.limit_connections(budget.max_accepted, budget.max_connections);
        sockets.limit_buffered_bytes(memory.limit() / INPUT_MEMORY_DIVISOR);
        let clock = Clock::default();
        let now = clock.now();
        let settings = Settings::new(&config);
        let parser = statement_parser(&config);
        let shutdown = Shutdown::new(shutdown_timeouts(longest_client_timeout(&config)));
        let endpoints = EndpointList::new(&config.sockets.zones, &config.sockets.machine_types);
        let mut service = Self {
            settings,
            services: config.services,
            sockets,
            timers: TimerWheel::default(),
            clock,
            now,
            connections: FxHashMap::default(),
            engine: DecisionEngine::new(now, config.engine),
            engine_wake_at: now,
            events: Vec::new(),
            clients: ClientState::new(listener, parser, memory),
            requests: InFlightRequests::default(),
            upstream: UpstreamState::new(budget),
            discovery: DiscoveryState::new(endpoints, now),
            rollouts: RolloutTracker::new(config.sockets.classes, config.seed),
            config_reload: ConfigReload::new(file),
            shutdown,
        };
        if let Some(state) = config.rollout_state {
            service.apply_stage_update(state.to_update(None), None);
        }
        service.load_endpoints(config.cached_endpoints);
        service.open_stage_stream();
        service.timers.schedule(
            now + IDLE_CLIENT_CHECK_INTERVAL,
            TimerEvent::CheckIdleClients,
        );
        Ok(service)
    }

    /// Loads the cached endpoint list, for which the decision engine then requests the changes, or
    /// requests the whole list if there is none.
    fn load_endpoints(&mut self, cached: Option<EndpointListing>) {
        let Some(cached) = cached else {
            return self.watch_endpoints();
        };
        let endpoints = &mut self.discovery.endpoints;
        let update = endpoints.load_cached(cached, self.now, SystemTime::now());
        self.events.push(Event::Endpoints(update));
    }

    /// Returns the address on which clients are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.clients.listener.address()
    }

    /// Returns the name of the sidecar.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Serves until a signal starts the shutdown and the shutdown is complete.
    ///
    /// # Errors
    /// Returns an error if the sockets cannot be polled.
    pub fn run(mut self) -> io::Result<()> {
        while !self.shutdown.is_done() {
            self.turn()?;
        }
        Ok(())
    }
}

/// Computes the connection limits from the configured limits and those of the system, whichever are
/// lower. Connections may use a part of the memory that the memory budget leaves.
fn descriptor_budget(config: &ProxyConfig, memory_budget: &MemoryBudget) -> DescriptorBudget {
    let (descriptors, _) = resource_limits();
    let descriptors = config
        .max_descriptors
        .unwrap_or(usize::MAX)
        .min(descriptors);
    let memory = max_memory(config) - memory_budget.limit();
    DescriptorBudget::new(descriptors, memory, MAX_UNCOUNTED_MEMORY)
}

/// Returns the configured memory limit in bytes, or that of the system if it is lower.
fn max_memory(config: &ProxyConfig) -> usize {
    let (_, memory) = resource_limits();
    config.max_memory.unwrap_or(usize::MAX).min(memory)
}

fn statement_parser(config: &ProxyConfig) -> StatementParser {
    let needs_idempotency_key: Vec<bool> = config
        .engine
        .classes
        .iter()
        .map(|class| matches!(class.idempotency, Idempotency::Keyed { .. }))
        .collect();
    StatementParser::new(
        &config.sockets.classes,
        &needs_idempotency_key,
        &config.sockets.tenants,
    )
}

fn longest_client_timeout(config: &ProxyConfig) -> Duration {
    let timeouts = config
        .engine
        .classes
        .iter()
        .map(|class| class.client_timeout);
    timeouts.max().unwrap_or_default()
}
