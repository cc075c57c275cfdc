//! The event loop of a day: waits for sockets and timers, keeps the time, and writes the record.

use super::clients::Clients;
use super::dispatch::{SocketOwner, TimerEvent};
use super::endpoint_service::EndpointService;
use super::maintenance_agents::MaintenanceAgents;
use super::pod_requests::PodRequests;
use super::pods::Pod;
use super::processes::Process;
use super::rollout_service::RolloutService;
use super::{DayError, Progress};
use crate::deduplication::DeduplicationMemory;
use crate::fleet::{key_file, write_keys, Relay, INITIAL_KEY_IDS};
use crate::rollout::{RolloutController, SlotId};
use crate::script::{DayFault, DayScript, FIRST_BUILD};
use limewing_fault_injection::FaultyNetwork;
use limewing_net::sockets::{SocketId, Sockets};
use limewing_net::timer_wheel::TimerWheel;
use limewing_rule_checker::record::{Event, PodId, Recorder};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often the rollout controller checks its fleet.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often progress is reported to the view.
pub(super) const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// A turn of the loop that takes longer than this is recorded, as recorded times may be late by as much.
const SLOW_TURN: Duration = Duration::from_millis(3);
/// The time within which each sidecar must have asked for the endpoint list, or the day fails.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the day goes on after the longest client timeout.
const END_MARGIN: Duration = Duration::from_secs(1);

/// A day being played.
pub(super) struct Day<'a> {
    pub(super) script: &'a DayScript,
    /// The program that runs as the sidecars.
    pub(super) program: &'a Path,
    pub(super) folder: PathBuf,
    pub(super) sockets: Sockets,
    pub(super) owners: HashMap<SocketId, SocketOwner>,
    pub(super) timers: TimerWheel<TimerEvent>,
    started_at: Instant,
    /// The time since the start, as of the current turn.
    pub(super) now: Duration,
    pub(super) rng: StdRng,
    record: Recorder<BufWriter<File>>,
    /// The first error that occurred while writing the record.
    record_error: Option<io::Error>,
    pub(super) pods: BTreeMap<PodId, Pod>,
    pub(super) next_pod: u32,
    pub(super) pod_requests: PodRequests,
    pub(super) deduplication: DeduplicationMemory,
    pub(super) rollout: RolloutController,
    pub(super) rollout_service: RolloutService,
    pub(super) endpoints: EndpointService,
    /// The faults that are active, by their index in the script.
    pub(super) active_faults: BTreeMap<usize, DayFault>,
    pub(super) clients: Clients,
    pub(super) processes: Vec<Process>,
    /// Carries the datagrams between the sidecars, if they are peers of each other.
    pub(super) relay: Option<Relay>,
    /// The agents of the machines, if the day has maintenance.
    pub(super) agents: Option<MaintenanceAgents>,
    /// Whether all sidecars have the endpoint list, so that requests are sent.
    pub(super) started: bool,
    pub(super) finished: bool,
    pub(super) show_progress: bool,
}

impl<'a> Day<'a> {
    pub(super) fn new(
        script: &'a DayScript,
        program: &'a Path,
        folder: &Path,
        record: Recorder<BufWriter<File>>,
    ) -> Result<Self, DayError> {
        let mut sockets = Sockets::new()?;
        let (endpoint_listener, endpoint_address) = sockets.listen(any_port())?;
        let (rollout_listener, rollout_address) = sockets.listen(any_port())?;
        let owners = HashMap::from([
            (endpoint_listener, SocketOwner::EndpointListener),
            (rollout_listener, SocketOwner::RolloutListener),
        ]);
        let rollout =
            RolloutController::new(script.releases.clone(), script.fleet.pods, FIRST_BUILD);
        let mut day = Self {
            script,
            program,
            folder: folder.to_path_buf(),
            sockets,
            owners,
            timers: TimerWheel::default(),
            started_at: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(script.seed),
            record,
            record_error: None,
            pods: BTreeMap::new(),
            next_pod: 0,
            pod_requests: PodRequests::default(),
            deduplication: DeduplicationMemory::default(),
            rollout,
            rollout_service: RolloutService::new(rollout_address),
            endpoints: EndpointService::new(endpoint_address),
            active_faults: BTreeMap::new(),
            clients: Clients::default(),
            processes: Vec::new(),
            relay: None,
            agents: None,
            started: false,
            finished: false,
            show_progress: false,
        };
        day.start_all()?;
        Ok(day)
    }

    fn start_all(&mut self) -> Result<(), DayError> {
        let script = self.script;
        self.record(Event::Begin {
            day: script.name.clone(),
            limits: script.rule_limits(),
        });
        let sidecars = script.sidecar_zones.len();
        if let Some(peers) = &script.peers {
            for number in 0..sidecars {
                write_keys(&key_file(&self.folder, number), &INITIAL_KEY_IDS)?;
            }
            let network = FaultyNetwork::new(&peers.faults, sidecars);
            self.relay = Some(Relay::start(network, sidecars)?);
        }
        for slot in 0..script.fleet.pods {
            self.start_pod(SlotId(slot), FIRST_BUILD, false)?;
        }
        for number in 0..sidecars {
            let process = self.spawn(number, None)?;
            self.processes.push(process);
        }
        Ok(())
    }

    /// Appends to the record; an error is returned at the end of the day.
    pub(super) fn record(&mut self, event: Event) {
        if let Err(error) = self.record.append(self.now, event) {
            self.record_error.get_or_insert(error);
        }
    }

    pub(super) fn run(&mut self, view: &mut dyn FnMut(Progress)) -> Result<(), DayError> {
        self.wait_for_sidecars()?;
        self.begin();
        while !self.finished {
            self.run_turn()?;
            if std::mem::take(&mut self.show_progress) {
                view(self.progress());
            }
        }
        for process in &mut self.processes {
            process.kill();
        }
        self.record(Event::End {});
        self.record.flush()?;
        match self.record_error.take() {
            Some(error) => Err(error.into()),
            None => Ok(()),
        }
    }

    /// Waits until each sidecar has been sent the endpoint list.
    fn wait_for_sidecars(&mut self) -> Result<(), DayError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.endpoints.notified.len() < self.script.sidecar_zones.len() {
            self.run_turn()?;
            if Instant::now() > deadline {
                return Err(DayError::NotReady);
            }
        }
        Ok(())
    }

    fn begin(&mut self) {
        self.started = true;
        if let Some(relay) = &self.relay {
            relay.begin_script();
        }
        let (now, script) = (self.now, self.script);
        self.timers.schedule(now, TimerEvent::NextRequest);
        self.timers.schedule(now, TimerEvent::Tick);
        self.timers.schedule(now, TimerEvent::ShowProgress);
        self.timers.schedule(now, TimerEvent::RepeatStageUpdates);
        for (index, offer) in script.offers.iter().enumerate() {
            let at = now + offer.at.into();
            self.timers.schedule(at, TimerEvent::OfferBuild(index));
        }
        for (index, fault) in script.faults.iter().enumerate() {
            let at = now + fault.at.into();
            self.timers.schedule(at, TimerEvent::FaultBegins(index));
        }
        self.begin_maintenance();
        self.clients.end_at = Duration::MAX;
        self.end_by(now + script.duration.into());
    }

    /// Stops new requests at this time, unless an earlier end is set.
    pub(super) fn end_by(&mut self, until: Duration) {
        if until < self.clients.end_at {
            self.clients.end_at = until;
            let over = until + self.script.longest_timeout() + END_MARGIN;
            self.timers.schedule(over, TimerEvent::EndOfDay);
        }
    }

    fn run_turn(&mut self) -> Result<(), DayError> {
        let next = self
            .timers
            .next_deadline()
            .unwrap_or(self.now + TICK_INTERVAL);
        let before = self.started_at.elapsed();
        let wait = next.saturating_sub(before).min(TICK_INTERVAL);
        let events = self.sockets.wait(Some(wait))?;
        self.now = self.started_at.elapsed();
        let began = self.now;
        // The delay beyond the requested wait, during which no socket was read.
        self.record_stall(began.saturating_sub(before + wait));
        for event in events {
            self.handle_socket_event(event);
        }
        while let Some(event) = self.timers.pop_expired(self.now) {
            self.handle_timer_event(event)?;
        }
        let duration = self.started_at.elapsed() - began;
        if self.started && duration > SLOW_TURN {
            self.now = self.started_at.elapsed();
            self.record_stall(duration);
        }
        Ok(())
    }

    fn record_stall(&mut self, duration: Duration) {
        if self.started && duration > SLOW_TURN {
            self.record(Event::RecorderStalled { duration });
        }
    }

    pub(super) fn close(&mut self, socket: SocketId) {
        self.owners.remove(&socket);
        self.sockets.close(socket);
    }

    /// Closes all matching sockets, in ascending order.
    pub(super) fn close_all(&mut self, predicate: impl Fn(&SocketOwner) -> bool) {
        for socket in self.sockets_where(predicate) {
            self.close(socket);
        }
    }

    /// Returns all matching sockets, in ascending order.
    pub(super) fn sockets_where(&self, predicate: impl Fn(&SocketOwner) -> bool) -> Vec<SocketId> {
        let owners = self.owners.iter().filter(|(_, owner)| predicate(owner));
        let mut sockets: Vec<SocketId> = owners.map(|(socket, _)| *socket).collect();
        sockets.sort_unstable();
        sockets
    }

    pub(super) fn tick(&mut self) -> Result<(), DayError> {
        self.apply_fleet_faults()?;
        self.process_maintenance_views();
        self.tick_rollout()
    }

    fn progress(&self) -> Progress {
        let state = self.rollout.state();
        Progress {
            at: self.now,
            ends_at: self.clients.end_at + self.script.longest_timeout(),
            requests: self.clients.requests,
            delivered: self.clients.delivered,
            rejected: self.clients.rejected,
            failed: self.clients.failed,
            pods: self.pods.values().filter(|pod| pod.running).count(),
            build: state.build,
            stage: state.stage,
            phase: state.phase,
            faults: self
                .active_faults
                .values()
                .map(DayFault::to_string)
                .collect(),
        }
    }
}

/// The loopback address with any free port.
pub(super) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
