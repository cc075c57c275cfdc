//! Drives sockets, clock and the decision module: the one loop of a sidecar.
//!
//! Events of one round are handed over in the order in which the system told them; due times come after what
//! was read in the same round, so that an answer that came while the process stood still is known before the
//! time-out that it beats.

mod clients;
mod control;
mod direct_message;
mod maintenance;
mod membership;
mod replication;
mod upstream;

use crate::endpoint_list::{EndpointDirectory, EndpointRecord};
use crate::endpoint_list_file;
use crate::request_classifier::RequestClassifier;
use crate::stage_updates::StageUpdateFilter;
use crate::state_store::StateStore;
use clients::{Client, ClientRequest, ResponseOrigins, MAX_UNSENT_BYTES};
use control::{EndpointListConnection, StageStreamConnection};
use limewing_decision::interface::{
    Action, AttemptIndex, EndpointUpdate, Event, Phase, RequestId, SidecarConfig, VoteAnswer,
};
use limewing_decision::DecisionEngine;
use limewing_net::http_call::HttpCall;
use limewing_net::sockets::{resource_limits, SocketEvent, SocketId, Sockets, MAX_INPUT};
use limewing_net::timer_wheel::TimerWheel;
use limewing_proxy_core::backoff::Backoff;
use limewing_proxy_core::clock::{wall_clock_now, Clock};
use limewing_proxy_core::connection_pool::ConnectionPool;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::in_flight::InFlightRequests;
use limewing_proxy_core::send_permit::SendAuthority;
use limewing_proxy_core::shutdown::{PendingWork, Shutdown, ShutdownStep, ShutdownTimeouts};
use limewing_settings::{ConfigError, SidecarSettings};
use maintenance::{EndpointContext, Maintenance, TrafficTimings};
pub use maintenance::{ListView, MachineView, MaintenanceRequest, MaintenanceView, WorkReport};
pub use membership::{EndpointSelectionView, MemberView, MembershipView};
use membership::{FleetMembership, LocalMember, ReceivedMessage};
use replication::Replication;
pub use replication::{LogView, ReplicationView};
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use upstream::UpstreamConnection;

/// The signals on which a sidecar settles what it holds and leaves: SIGTERM and SIGINT.
const LEAVE_ON: [i32; 2] = [15, 2];
/// Address space that the system's allocator reserves for a thread that allocates.
const THREAD_RESERVE: usize = 64 << 20;
/// A sidecar that leaves waits so long at most until its list is on disk.
const KEPT_WITHIN: Duration = Duration::from_secs(2);
/// On this one the keys of the fleet are read again.
const HANG_UP: i32 = 1;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("can't listen on {at}: {why}")]
    Listen { at: SocketAddr, why: io::Error },
    #[error("the system gives no poll or signals: {0}")]
    System(#[from] io::Error),
    #[error("at {}: {}", .0.path, .0.expected)]
    Settings(ConfigError),
    #[error("can't take datagrams at {at}: {why}")]
    Datagrams { at: SocketAddr, why: io::Error },
    #[error("at /peers/key_file: {0}")]
    Keys(limewing_settings::ConfigFileError),
    #[error("at /work/folder: {0}")]
    Work(io::Error),
    #[error("at /peers: {0}")]
    Membership(limewing_membership::ConfigError),
}

/// A turn of the loop that takes longer is told: hits that came meanwhile have waited for it.
const LONG_TURN: Duration = Duration::from_millis(20);

/// What decides: the module, or in tests something that stands round it.
pub trait Decisions: SendAuthority {
    /// Takes lists and stage news before what else came in the same round is handled; nothing falls due by it.
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action>;

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action>;
}

impl Decisions for DecisionEngine {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        DecisionEngine::apply_events(self, now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        DecisionEngine::handle(self, now, events)
    }
}

enum ConnectionRole {
    Client(Box<Client>),
    Upstream(Box<UpstreamConnection>),
    EndpointList(Box<EndpointListConnection>),
    StageStream(Box<StageStreamConnection>),
    Vote(Box<HttpCall>),
}

/// What is due at a time.
enum TimerEvent {
    AttemptTimeout(RequestId, AttemptIndex),
    ConnectTimeout(SocketId),
    IdleTimeout(SocketId),
    RequestTimeout(SocketId),
    ClientStalled(SocketId),
    PollEndpointList,
    EndpointListTimeout(SocketId),
    OpenStageStream,
    StageStreamTimeout(SocketId),
    VoteTimeout(SocketId),
}

/// The settings as the few figures that the loop uses.
struct ServiceSettings {
    name: String,
    /// What `Via` says.
    via: String,
    list: limewing_settings::ListService,
    installer: Option<limewing_settings::Installer>,
    connect_timeout: Duration,
    idle_close: Duration,
    body_kept: usize,
    answer_gathered: usize,
    stall: Duration,
    request_within: Duration,
    clients: usize,
    max_forwards: usize,
    vote_answer_within: Duration,
    streamed: Vec<bool>,
}

pub struct Service {
    sockets: Sockets,
    clock: Clock,
    now: Duration,
    decisions: Box<dyn Decisions + Send>,
    wake: Duration,
    events: Vec<Event>,
    latest: StageUpdateFilter,
    stage_backoff: Backoff,
    terms: ServiceSettings,
    routes: RequestClassifier,
    connections: FxHashMap<SocketId, ConnectionRole>,
    timers: TimerWheel<TimerEvent>,
    listener: SocketId,
    address: SocketAddr,
    clients: usize,
    requests: InFlightRequests<ClientRequest>,
    /// Told apart from the same sidecar's earlier lives.
    life: u32,
    idle: ConnectionPool,
    directory: EndpointDirectory,
    rows: Vec<EndpointRecord>,
    list_index: u64,
    /// A list has come since the start.
    list_known: bool,
    list_link: Option<SocketId>,
    list_asked: Duration,
    /// The list is not on disk as it is: when that is tried again.
    keeper: Option<StateStore<Vec<EndpointRecord>>>,
    room: DescriptorBudget,
    reports: ResponseOrigins,
    /// The other sidecars, where the settings tell of them.
    membership: Option<FleetMembership>,
    maintenance: Option<Maintenance>,
    /// State that the others keep too.
    replication: Option<Replication>,
    /// The node list as it was told; `rows` is what the module knows of it.
    listed: Vec<EndpointRecord>,
    /// Parcels for it came.
    maintenance_message_received: bool,
    shutdown: Shutdown,
    /// Connections wait at the listener, and there is no room for them.
    door: bool,
}

impl Service {
    /// Listens, takes up the list kept last, and begins to ask for the present one.
    ///
    /// # Errors
    /// The port is taken, the settings can't be used, or the system refuses.
    pub fn start(settings: &SidecarSettings) -> Result<Self, StartError> {
        Self::start_with(settings, |now, terms| {
            Box::new(DecisionEngine::new(now, terms))
        })
    }

    /// As `start`, with what decides made by the caller.
    ///
    /// # Errors
    /// As `start`.
    pub fn start_with(
        settings: &SidecarSettings,
        decisions: impl FnOnce(Duration, SidecarConfig) -> Box<dyn Decisions + Send>,
    ) -> Result<Self, StartError> {
        let routes = RequestClassifier::new(settings).map_err(StartError::Settings)?;
        let mut sockets = Sockets::new()?;
        sockets.watch_signals(&[HANG_UP, LEAVE_ON[0], LEAVE_ON[1]])?;
        let at = settings.listen;
        let (listener, address) = sockets
            .listen(at)
            .map_err(|why| StartError::Listen { at, why })?;
        let limits = &settings.limits;
        let client = limits.body_kept + limits.answer_gathered + MAX_INPUT + MAX_UNSENT_BYTES;
        let (descriptors, memory) = resource_limits();
        // Each thread beside the loop has an allocator's reserve of its own, which counts as address space.
        let threads =
            1 + usize::from(settings.state_file.is_some()) + usize::from(settings.work.is_some());
        let memory = memory - (threads * THREAD_RESERVE).min(memory / 4 * 3);
        let room = DescriptorBudget::new(descriptors, memory, client);
        sockets.limit_connections(room.max_accepted, room.max_connections);
        let clock = Clock::default();
        let now = clock.now();
        let seed = settings.seed.unwrap_or_else(rand::random);
        let of_peers = settings.peers.as_ref();
        let local = LocalMember {
            name: &settings.name,
            zone: settings.start_terms(seed).zone.0,
            seed,
        };
        let membership = of_peers
            .map(|peers| FleetMembership::start(now, &local, peers, &mut sockets))
            .transpose()?;
        let keep = |file: PathBuf| {
            StateStore::start(move |rows: &Vec<EndpointRecord>| {
                endpoint_list_file::save(&file, rows)
            })
        };
        let keeper = settings.state_file.clone().map(keep).transpose()?;
        let rules = &settings.rules;
        let longest = settings
            .path_groups
            .iter()
            .map(|group| Duration::from(group.client_timeout))
            .max();
        let longest_hit = longest.unwrap_or_default();
        let traffic = TrafficTimings {
            drain_grace: rules.drain_grace.into(),
            longest_request: longest_hit,
            warm_up: rules.cold_for.into(),
        };
        let maintenance = settings
            .work
            .as_ref()
            .map(|work| Maintenance::start(now, &settings.name, work, &traffic, seed));
        let maintenance = maintenance.transpose().map_err(StartError::Work)?;
        let replicas = settings.peers.as_ref().filter(|peers| peers.replicas);
        let replication = replicas.map(|told| Replication::start(now, settings, told, seed));
        let terms = ServiceSettings {
            name: settings.name.clone(),
            via: format!("1.1 {}", settings.name),
            list: settings.list.clone(),
            installer: settings.installer.clone(),
            connect_timeout: limits.connect_timeout.into(),
            idle_close: limits.idle_close.into(),
            body_kept: limits.body_kept,
            answer_gathered: limits.answer_gathered,
            stall: limits.stall.into(),
            request_within: limits.request_within.into(),
            clients: limits.clients,
            max_forwards: limits.max_forwards.into(),
            vote_answer_within: settings.releases.vote_answer_within.into(),
            streamed: settings
                .path_groups
                .iter()
                .map(|group| group.streamed)
                .collect(),
        };
        let mut service = Self {
            sockets,
            clock,
            now,
            decisions: decisions(now, settings.start_terms(seed)),
            wake: now,
            events: Vec::new(),
            latest: StageUpdateFilter::default(),
            stage_backoff: Backoff::new(seed),
            terms,
            routes,
            connections: FxHashMap::default(),
            timers: TimerWheel::default(),
            listener,
            address,
            clients: 0,
            requests: InFlightRequests::default(),
            life: rand::random(),
            idle: ConnectionPool::default(),
            directory: EndpointDirectory::new(&settings.fleet.zones),
            rows: Vec::new(),
            list_index: 0,
            list_known: false,
            list_link: None,
            list_asked: Duration::ZERO,
            keeper,
            room,
            reports: ResponseOrigins::default(),
            membership,
            maintenance,
            replication,
            listed: Vec::new(),
            maintenance_message_received: false,
            shutdown: Shutdown::new(shutdown_timeouts(longest_hit)),
            door: false,
        };
        service.recall(settings.state_file.as_deref());
        service.open_stage_stream();
        Ok(service)
    }

    /// Where clients are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until it is told to leave and all it held is settled.
    ///
    /// # Errors
    /// The poll failed.
    pub fn run(mut self) -> io::Result<()> {
        while !self.shutdown.is_done() {
            self.turn()?;
        }
        if let (Some(maintenance), Some(membership)) = (&mut self.maintenance, &mut self.membership)
        {
            maintenance.leave(self.now, membership);
            membership.leave(self.now, &mut self.sockets);
        }
        if self
            .keeper
            .as_ref()
            .is_some_and(|keeper| !keeper.flush(KEPT_WITHIN))
        {
            tracing::warn!("the newest list is not on disk; a start begins with an older one");
        }
        Ok(())
    }

    fn turn(&mut self) -> io::Result<()> {
        let next = [self.timers.next_deadline(), self.shutdown.next_deadline()]
            .into_iter()
            .flatten()
            .min();
        let next = next.map_or(self.wake, |at| at.min(self.wake));
        let next = self
            .membership
            .as_ref()
            .map_or(next, |membership| membership.next_deadline().min(next));
        let next = self
            .replication
            .as_ref()
            .map_or(next, |replication| replication.next_deadline().min(next));
        let next = self.maintenance.as_ref().map_or(next, |maintenance| {
            maintenance.next_wake(self.clock.now()).min(next)
        });
        let wait = if self.events.is_empty() {
            next.saturating_sub(self.clock.now())
        } else {
            Duration::ZERO
        };
        let socket_events = self.sockets.wait(Some(wait))?;
        self.now = self.clock.now();
        // What is known of the pods comes before anything is written to one: after a standstill a connection that came up
        // meanwhile would carry an attempt to a pod that has been leaving for long.
        let (control, rest): (Vec<_>, Vec<_>) = socket_events
            .into_iter()
            .partition(|what| self.is_control(what));
        if !control.is_empty() {
            control
                .into_iter()
                .for_each(|what| self.handle_socket_event(what));
            self.apply_control_events();
        }
        rest.into_iter()
            .for_each(|what| self.handle_socket_event(what));
        while let Some(due) = self.timers.pop_expired(self.now) {
            self.handle_timer(due);
        }
        self.receive_direct_messages();
        self.run_replication();
        self.run_maintenance();
        self.notify_coordination();
        if let Some(membership) = &mut self.membership {
            membership.turn(self.now, &mut self.sockets);
        }
        let read = self.clock.now();
        let mut decided = read;
        if !self.events.is_empty() || self.now >= self.wake {
            let events = std::mem::take(&mut self.events);
            let forbids = events
                .iter()
                .any(|event| matches!(event, Event::Endpoints(_) | Event::Stage { .. }));
            let actions = self.decisions.handle(self.now, events);
            decided = self.clock.now();
            actions
                .into_iter()
                .for_each(|action| self.carry_out(action));
            // Work, replication and time bring lists and news, too.
            if forbids {
                self.withdraw_forbidden_attempts();
            }
        }
        // What was just sent may be all that is left of this process: the others are told in the same turn.
        self.run_replication();
        if let Some(membership) = &mut self.membership {
            membership.turn(self.now, &mut self.sockets);
        }
        let done = self.clock.now();
        if done - self.now > LONG_TURN {
            let ms = |span: Duration| span.as_secs_f64() * 1e3;
            let (read, decide, act) = (ms(read - self.now), ms(decided - read), ms(done - decided));
            tracing::warn!(
                read,
                decide,
                act,
                open_hits = self.requests.len(),
                "a turn of the loop took long, in ms"
            );
        }
        self.advance_shutdown();
        Ok(())
    }

    /// Whether it tells of the node list or of stages: it happened on a connection to the list service or the installer,
    /// or another sidecar speaks.
    fn is_control(&self, what: &SocketEvent) -> bool {
        let id = match what {
            SocketEvent::Datagram { .. } => return true,
            SocketEvent::Connected(id)
            | SocketEvent::Readable(id)
            | SocketEvent::ConnectionLost { socket: id, .. } => id,
            _ => return false,
        };
        matches!(
            self.connections.get(id),
            Some(
                ConnectionRole::EndpointList(_)
                    | ConnectionRole::StageStream(_)
                    | ConnectionRole::Vote(_)
            )
        )
    }

    /// Brings what lists, news and the other sidecars have told to the decisions, and ends the attempts that are no longer
    /// allowed. Each event is shown to replication, work and fleet once: here, or later in the turn.
    fn apply_control_events(&mut self) {
        self.receive_direct_messages();
        self.run_replication();
        self.run_maintenance();
        if self.events.is_empty() {
            return;
        }
        self.notify_coordination();
        let events = std::mem::take(&mut self.events);
        let actions = self.decisions.apply_events(self.now, events);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
        self.withdraw_forbidden_attempts();
    }

    /// Shows the fleet what the module is about to be told, and adds what is news to it.
    fn notify_coordination(&mut self) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let news =
            membership.observe_events(self.now, &self.events, |pod| self.directory.address(pod));
        self.events.extend(news);
    }

    /// Gives what other sidecars sent to whom it is for.
    fn receive_direct_messages(&mut self) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        while let Some(ReceivedMessage { from, bytes }) = membership.take_direct_message() {
            match (
                bytes.split_first(),
                &mut self.replication,
                &mut self.maintenance,
            ) {
                (Some((&direct_message::REPLICATION, rest)), Some(replication), _) => {
                    replication.receive(self.now, &from, rest)
                }
                (Some((&direct_message::REPLICATION, _)), None, _) => {}
                (_, _, Some(maintenance)) => {
                    self.maintenance_message_received = true;
                    maintenance.receive(self.now, &from, &bytes);
                }
                _ => {}
            }
        }
    }

    /// Copies of state go between the others and this one; what of them is news to the module.
    fn run_replication(&mut self) {
        let (Some(replication), Some(membership)) = (&mut self.replication, &mut self.membership)
        else {
            return;
        };
        self.events
            .iter()
            .for_each(|event| replication.observe_event(event));
        let update = replication.turn(self.now, membership);
        self.events.extend(update.events);
        if let Some(news) = update
            .stage
            .and_then(|message| control::accept_stage_message(&mut self.latest, message))
        {
            self.events.push(Event::Stage {
                update: Some(news),
                vote_answer: None,
            });
        }
    }

    /// What is settled about machines that go out, and what the module is to be told of that.
    fn run_maintenance(&mut self) {
        let (Some(maintenance), Some(membership)) = (&mut self.maintenance, &mut self.membership)
        else {
            return;
        };
        for event in &self.events {
            match event {
                Event::Stage {
                    update: Some(news), ..
                } => {
                    maintenance.set_release_on_trial(matches!(
                        news.phase,
                        Phase::OnTrial | Phase::RollingBack
                    ));
                }
                Event::RequestArrived { .. } => maintenance.record_requests(self.now, 1, 0),
                _ => {}
            }
        }
        if !std::mem::take(&mut self.maintenance_message_received)
            && self.now < maintenance.next_deadline()
        {
            return;
        }
        let (requests, directory) = (&self.requests, &self.directory);
        let busy = || {
            requests
                .pods_with_attempts()
                .filter_map(|pod| directory.address(pod))
                .collect()
        };
        let context = EndpointContext {
            endpoints: &self.listed,
            busy_addresses: &busy,
        };
        if maintenance.turn(self.now, membership, &context) {
            let rows = self.told(self.listed.clone());
            let news = self
                .directory
                .changes(&self.rows, &rows, self.now, wall_clock_now());
            self.rows = rows;
            if !news.is_empty() {
                self.events
                    .push(Event::Endpoints(EndpointUpdate::Delta(news)));
            }
        }
    }

    /// The list as the module is told it: machines that go out for work drain.
    fn told(&self, mut rows: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        if let Some(maintenance) = &self.maintenance {
            rows.iter_mut()
                .for_each(|row| row.draining |= maintenance.is_closed(&row.machine));
        }
        rows
    }

    fn recall(&mut self, state_file: Option<&Path>) {
        let kept = match state_file.map(endpoint_list_file::load) {
            Some(Ok(Some(rows))) => rows,
            Some(Err(trouble)) => {
                tracing::warn!(%trouble, "the state file is of no use; started without a list");
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.listed = kept;
        self.rows = self.told(self.listed.clone());
        let entries = self
            .directory
            .entries(&self.rows, self.now, wall_clock_now());
        self.events
            .push(Event::Endpoints(EndpointUpdate::Cached(entries)));
    }

    fn handle_socket_event(&mut self, what: SocketEvent) {
        match what {
            SocketEvent::Accepted { socket, .. } => self.accept_client(socket),
            SocketEvent::Connected(id) => match self.connections.get(&id) {
                Some(ConnectionRole::Upstream(_)) => self.upstream_connected(id),
                Some(ConnectionRole::EndpointList(_)) => self.send_endpoint_list_query(id),
                Some(ConnectionRole::StageStream(_)) => self.stage_stream_connected(id),
                Some(ConnectionRole::Vote(_)) => self.vote_connected(id),
                Some(ConnectionRole::Client(_)) | None => {}
            },
            SocketEvent::Readable(id) => match self.connections.get(&id) {
                Some(ConnectionRole::Client(_)) => self.read_client(id),
                Some(ConnectionRole::Upstream(_)) => self.read_upstream(id),
                Some(ConnectionRole::EndpointList(_)) => self.read_endpoint_list(id),
                Some(ConnectionRole::StageStream(_)) => self.read_stage_stream(id),
                Some(ConnectionRole::Vote(_)) => self.read_vote(id),
                None => {}
            },
            SocketEvent::Flushed(id) => match self.connections.get(&id) {
                Some(ConnectionRole::Upstream(_)) => self.upstream_flushed(id),
                _ => self.client_flushed(id),
            },
            SocketEvent::ConnectionLost {
                socket, written, ..
            } => match self.connections.get(&socket) {
                Some(ConnectionRole::Client(_)) => self.client_disconnected(socket),
                Some(ConnectionRole::Upstream(_)) => self.upstream_lost(socket, written),
                Some(ConnectionRole::EndpointList(_)) => {
                    self.endpoint_list_failed("the connection was lost")
                }
                Some(ConnectionRole::StageStream(_)) => {
                    self.stage_stream_lost(socket, "the connection was lost")
                }
                Some(ConnectionRole::Vote(_)) => {
                    let answer = if written == 0 {
                        VoteAnswer::Failed
                    } else {
                        VoteAnswer::Unanswered
                    };
                    self.vote_completed(socket, answer, None);
                }
                None => {}
            },
            SocketEvent::AcceptFailed { why, .. } => {
                tracing::warn!(%why, open = self.sockets.open_count(), "can't accept; tried again in 100 ms");
                self.make_room_for_clients();
            }
            SocketEvent::Datagram { bytes, .. } => {
                if let Some(membership) = &mut self.membership {
                    membership.receive(self.now, &bytes);
                }
            }
            SocketEvent::Signal(HANG_UP) => {
                if let Some(membership) = &mut self.membership {
                    membership.reload_keys();
                }
            }
            SocketEvent::Signal(signal) => self.begin_shutdown(signal),
        }
    }

    fn handle_timer(&mut self, due: TimerEvent) {
        match due {
            TimerEvent::AttemptTimeout(hit, no) => self.attempt_timed_out(hit, no),
            TimerEvent::ConnectTimeout(id) => self.connect_timed_out(id),
            TimerEvent::IdleTimeout(id) => self.close_idle_connection(id),
            TimerEvent::RequestTimeout(id) => self.request_timed_out(id),
            TimerEvent::ClientStalled(id) => self.stalled(id),
            TimerEvent::PollEndpointList => self.poll_endpoint_list(),
            TimerEvent::EndpointListTimeout(id) if self.list_link == Some(id) => {
                self.endpoint_list_failed("no answer in time")
            }
            TimerEvent::EndpointListTimeout(_) => {}
            TimerEvent::OpenStageStream => self.open_stage_stream(),
            TimerEvent::StageStreamTimeout(id) => self.stage_stream_timed_out(id),
            TimerEvent::VoteTimeout(id) => self.vote_completed(id, VoteAnswer::Unanswered, None),
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request: hit,
                pod,
                timeout: within,
            } => self.start_attempt(hit, pod, within),
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => self.cancel_attempt(hit, no),
            Action::Reject {
                request: hit,
                retry_after,
            } => {
                self.maintenance
                    .iter_mut()
                    .for_each(|maintenance| maintenance.record_requests(self.now, 0, 1));
                self.reject_request(hit, retry_after);
            }
            Action::Fail { request: hit } => self.fail_request(hit),
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.send_vote(verdict, build, stage),
            Action::WatchEndpoints => self.poll_endpoint_list(),
            Action::WakeAt { at } => self.wake = at,
            Action::Log(line) => tracing::info!(target: "limewing::decisions", "{line}"),
        }
    }

    /// Takes no new connection, settles what is held, and goes in bounded time.
    fn begin_shutdown(&mut self, signal: i32) {
        if !self.shutdown.begin(self.now) {
            return;
        }
        tracing::info!(
            signal,
            open_hits = self.requests.len(),
            "leaving: no new hits are taken"
        );
        // Where machines go out for work it is waited for until it has settled all: it says so at its end.
        if let Some(membership) = self
            .membership
            .as_mut()
            .filter(|_| self.maintenance.is_none())
        {
            membership.leave(self.now, &mut self.sockets);
        }
    }

    fn advance_shutdown(&mut self) {
        if !self.shutdown.has_begun() {
            return;
        }
        if self.shutdown.has_stopped_accepting() && self.door {
            self.door = !self.sockets.stop_listening(self.listener);
        }
        loop {
            let holds = PendingWork {
                backlog: self.door,
                requests: self.requests.has_pending(),
                clients: self.clients > 0,
                // What became of forwards that are still out is to be known, too.
                unsent: !self.requests.is_empty()
                    || self.sockets.total_unsent_bytes() > 0
                    || self.sockets.has_lingering(),
            };
            match self.shutdown.advance(self.now, holds) {
                Some(ShutdownStep::StopAccepting) => self.stop_accepting(),
                Some(ShutdownStep::RespondToAll) => self.respond_to_all(),
                Some(ShutdownStep::Exit) | None => return,
            }
        }
    }

    /// Those that have come are let in and told so; connections that carry nothing are closed.
    fn stop_accepting(&mut self) {
        self.door = !self.sockets.stop_listening(self.listener);
        let clients = self.connections.iter().filter_map(|(id, peer)| match peer {
            ConnectionRole::Client(client) if client.idle() => Some(*id),
            _ => None,
        });
        let mut clients: Vec<SocketId> = clients.collect();
        clients.sort_unstable();
        // A request that lies with the system, or has begun to come, is answered first.
        clients.retain(|id| self.sockets.is_silent(*id));
        clients.into_iter().for_each(|id| self.close_client(id));
    }

    /// The time to leave is up: every request that is held is answered now.
    fn respond_to_all(&mut self) {
        for hit in self.requests.pending_ids() {
            tracing::warn!(hit = hit.0, "not answered before the end");
            let Some(open) = self.requests.get(hit) else {
                continue;
            };
            match open
                .client
                .filter(|_| open.protocol_state.passing.is_some())
            {
                // Its client sees that what was passed on is not whole.
                Some(client) => self.client_disconnected(client),
                None => {
                    self.events.push(Event::ClientDisconnected(hit));
                    self.fail_request(hit);
                }
            }
        }
    }
}

/// The times of a shutdown: the longest client timeout is waited out, and its answers' way. No connection is let in from
/// the word to leave on.
fn shutdown_timeouts(longest: Duration) -> ShutdownTimeouts {
    let second = Duration::from_secs(1);
    ShutdownTimeouts {
        stop_accepting: Duration::ZERO,
        respond_to_all: longest + second / 2,
        exit: longest + second,
    }
}
