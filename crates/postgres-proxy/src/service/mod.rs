//! Drives sockets, clock and the decision module: the one loop of a sidecar on the platform.
//!
//! Due times come after what was read in the same round, so that an answer that came while the process stood
//! still is known before the time-out that it beats.

mod attempts;
mod discovery;
mod front;
mod pod_connection;
mod rollouts;

use crate::bounds;
use crate::config::{self, Places, Told, Unusable};
use crate::listing::List;
use crate::news::{Latest, Reports};
use crate::statement::{Names, Statement};
use discovery::{WatchEnd, WatchLink};
use front::Client;
use limewing_decision::interface::{
    Action, AttemptIndex, Event, Idempotency, RequestId, VoteAnswer,
};
use limewing_decision::DecisionEngine;
use limewing_net::http_call::HttpCall;
use limewing_net::sockets::{resource_limits, SocketEvent, SocketId, Sockets, MAX_INPUT};
use limewing_net::timer_wheel::{TimerKey, TimerWheel};
use limewing_proxy_core::backoff::Backoff;
use limewing_proxy_core::clock::Clock;
use limewing_proxy_core::connection_pool::ConnectionPool;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
use limewing_proxy_core::idle_timeout::IdleTimeoutEstimator;
use limewing_proxy_core::in_flight::InFlightRequests;
use limewing_proxy_core::shutdown::{PendingWork, Shutdown, ShutdownStep};
use pod_connection::PodConnection;
use rollouts::NewsLink;
use rustc_hash::{FxHashMap, FxHashSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use thiserror::Error;

const HANG_UP: i32 = 1;
/// SIGTERM and SIGINT.
const LEAVE_ON: [i32; 2] = [15, 2];
/// A turn of the loop that takes longer is told: hits that came meanwhile have waited for it.
const LONG_TURN: Duration = Duration::from_millis(20);
/// Bytes that wait for a client before it is read no further.
const MOST_UNSENT: usize = 64 * 1024;

#[derive(Debug, Error)]
pub enum StartTrouble {
    #[error("can't listen on {at}: {why}")]
    Listen { at: SocketAddr, why: io::Error },
    #[error("the system gives no poll or signals: {0}")]
    System(#[from] io::Error),
    #[error(transparent)]
    Config(#[from] Unusable),
}

enum Peer {
    Client(Box<Client>),
    Pod(Box<PodConnection>),
    Watch(Box<WatchLink>),
    News(Box<NewsLink>),
    Vote(Box<HttpCall>),
}

/// What is due at a time.
enum Due {
    Attempt(RequestId, AttemptIndex),
    Connect(SocketId),
    LastByte(SocketId),
    Idle(SocketId),
    Silent(SocketId),
    Speak(SocketId),
    Sweep,
    WatchQuiet(SocketId),
    ReadAgain,
    AskNews,
    NewsQuiet(SocketId),
    VoteLate(SocketId),
}

/// The settings as the few figures that the loop uses.
struct Terms {
    name: String,
    listen: SocketAddr,
    /// Tells the settings from others.
    mark: u64,
    connect_timeout: Duration,
    idle_close: Duration,
    max_forwards: usize,
    vote_answer_within: Duration,
}

pub struct Service {
    file: PathBuf,
    sockets: Sockets,
    clock: Clock,
    now: Duration,
    module: DecisionEngine,
    wake: Duration,
    events: Vec<Event>,
    terms: Terms,
    places: Places,
    names: Names,
    groups: Vec<String>,
    peers: FxHashMap<SocketId, Peer>,
    wheel: TimerWheel<Due>,
    listener: SocketId,
    address: SocketAddr,
    clients: usize,
    hits: InFlightRequests<Statement>,
    /// The ids of the hits that are held.
    ids: FxHashSet<String>,
    kept: ConnectionPool,
    lapses: IdleTimeoutEstimator,
    list: List,
    /// The watch, and the one to where discovery was before, until it ends.
    watch: Option<SocketId>,
    old_watch: Option<SocketId>,
    /// When discovery was last heard. What it tells from then on may be missed.
    list_heard: Duration,
    /// The stream of news, and the one to where rollouts were before, until it ends.
    news: Option<SocketId>,
    old_news: Option<SocketId>,
    reports: Reports<SocketId>,
    /// A configuration that could not be used is read again: when, and how often it was.
    reread: Option<TimerKey>,
    reread_tried: u32,
    latest: Latest,
    lost_news: Backoff,
    room: DescriptorBudget,
    shutdown: Shutdown,
    /// Connections could not be let in, for want of room.
    pressed: bool,
    /// Connections wait at the listener, and there is no room for them.
    door: bool,
}

impl Service {
    /// Reads the configuration and listens.
    ///
    /// # Errors
    /// The file can't be used, the port is taken, or the system refuses.
    pub fn start(file: PathBuf) -> Result<Self, StartTrouble> {
        let told = config::read(&file)?;
        Self::start_told(file, told)
    }

    /// As `start`, with what the file holds.
    ///
    /// # Errors
    /// The port is taken, or the system refuses.
    pub fn start_told(file: PathBuf, told: Told) -> Result<Self, StartTrouble> {
        let mut sockets = Sockets::new()?;
        sockets.watch_signals(&[HANG_UP, LEAVE_ON[0], LEAVE_ON[1]])?;
        let at = told.listen;
        let (listener, address) = sockets
            .listen(at)
            .map_err(|why| StartTrouble::Listen { at, why })?;
        let (descriptors, memory) = resource_limits();
        let descriptors = told.descriptors.unwrap_or(usize::MAX).min(descriptors);
        let memory = told.memory.unwrap_or(usize::MAX).min(memory);
        let room = DescriptorBudget::new(descriptors, memory, MAX_INPUT + MOST_UNSENT);
        sockets.limit_connections(room.max_accepted, room.max_connections);
        let clock = Clock::default();
        let now = clock.now();
        let tagged = |repeat: Idempotency| matches!(repeat, Idempotency::Keyed { .. });
        let tagged: Vec<bool> = told
            .terms
            .classes
            .iter()
            .map(|group| tagged(group.idempotency))
            .collect();
        let terms = Terms {
            name: told.name,
            listen: at,
            mark: told.mark,
            connect_timeout: told.sockets.connect_timeout,
            idle_close: told.sockets.idle_close,
            max_forwards: told.terms.max_attempts.into(),
            vote_answer_within: told.terms.rollout.vote_timeout,
        };
        let longest = told
            .terms
            .classes
            .iter()
            .map(|g| g.client_timeout)
            .max()
            .unwrap_or_default();
        let mut service = Self {
            file,
            sockets,
            clock,
            now,
            module: DecisionEngine::new(now, told.terms),
            wake: now,
            events: Vec::new(),
            terms,
            places: told.places,
            names: Names::new(&told.sockets.groups, &tagged, &told.sockets.customers),
            groups: told.sockets.groups,
            peers: FxHashMap::default(),
            wheel: TimerWheel::default(),
            listener,
            address,
            clients: 0,
            hits: InFlightRequests::default(),
            ids: FxHashSet::default(),
            kept: ConnectionPool::default(),
            lapses: IdleTimeoutEstimator::default(),
            list: List::new(&told.sockets.zones, &told.sockets.kinds),
            watch: None,
            old_watch: None,
            list_heard: now,
            news: None,
            old_news: None,
            reports: Reports::default(),
            reread: None,
            reread_tried: 0,
            latest: Latest::default(),
            lost_news: Backoff::new(told.seed),
            room,
            shutdown: Shutdown::new(bounds::shutdown(longest)),
            pressed: false,
            door: false,
        };
        if let Some(state) = told.news {
            service.stands(state, None);
        }
        if let Some(known) = told.known {
            let news = service.list.recall(known, now, SystemTime::now());
            service.events.push(Event::Endpoints(news));
        } else {
            service.ask_watch();
        }
        service.ask_news();
        service
            .wheel
            .schedule(now + bounds::SWEEP_EVERY, Due::Sweep);
        Ok(service)
    }

    /// Where clients are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn name(&self) -> &str {
        &self.terms.name
    }

    /// Serves until it is told to leave and all it held is settled.
    ///
    /// # Errors
    /// The poll failed.
    pub fn run(mut self) -> io::Result<()> {
        while !self.shutdown.is_done() {
            self.turn()?;
        }
        Ok(())
    }

    fn turn(&mut self) -> io::Result<()> {
        let next = [self.wheel.next_deadline(), self.shutdown.next_deadline()]
            .into_iter()
            .flatten()
            .min();
        let next = next.map_or(self.wake, |at| at.min(self.wake));
        let wait = if self.events.is_empty() {
            next.saturating_sub(self.clock.now())
        } else {
            Duration::ZERO
        };
        let happened = self.sockets.wait(Some(wait))?;
        self.now = self.clock.now();
        let late = self.now.saturating_sub(next);
        if late > LONG_TURN {
            tracing::debug!(late_ms = late.as_millis() as u64, "the loop runs late");
        }
        // What the list and the news say is known before anything is written to a pod: after a standstill a connection
        // that came up meanwhile would carry an attempt to a pod that has been leaving for long.
        let (control, rest): (Vec<_>, Vec<_>) =
            happened.into_iter().partition(|what| self.is_control(what));
        control.into_iter().for_each(|what| self.happened(what));
        self.learn();
        rest.into_iter().for_each(|what| self.happened(what));
        // After all that was read: who has just asked is not taken for idle.
        if std::mem::take(&mut self.pressed) {
            self.make_room_for_clients();
        }
        while let Some(due) = self.wheel.pop_expired(self.now) {
            self.is_due(due);
        }
        if !self.events.is_empty() || self.now >= self.wake {
            let events = std::mem::take(&mut self.events);
            let actions = self.module.handle(self.now, events);
            actions
                .into_iter()
                .for_each(|action| self.carry_out(action));
        }
        let took = self.clock.now().saturating_sub(self.now);
        if took > LONG_TURN {
            let ms = took.as_secs_f64() * 1e3;
            tracing::warn!(
                ms,
                open_hits = self.hits.len(),
                "a turn of the loop took long"
            );
        }
        self.shut_down();
        Ok(())
    }

    /// Whether it happened on a connection to discovery or rollouts.
    fn is_control(&self, what: &SocketEvent) -> bool {
        let (SocketEvent::Connected(id)
        | SocketEvent::Readable(id)
        | SocketEvent::ConnectionLost { socket: id, .. }) = what
        else {
            return false;
        };
        matches!(
            self.peers.get(id),
            Some(Peer::Watch(_) | Peer::News(_) | Peer::Vote(_))
        )
    }

    /// Brings what discovery and rollouts have told to the decisions, and ends the attempts that these no longer allow.
    fn learn(&mut self) {
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let actions = self.module.apply_events(self.now, events);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
        self.withdraw();
    }

    fn happened(&mut self, what: SocketEvent) {
        match what {
            SocketEvent::Accepted { socket, .. } => self.client_came(socket),
            SocketEvent::Connected(id) => match self.peers.get(&id) {
                Some(Peer::Pod(_)) => self.pod_connected(id),
                Some(Peer::Watch(_)) => self.watch_connected(id),
                Some(Peer::News(_)) => self.news_connected(id),
                Some(Peer::Vote(_)) => self.vote_connected(id),
                Some(Peer::Client(_)) | None => {}
            },
            SocketEvent::Readable(id) => match self.peers.get(&id) {
                Some(Peer::Client(_)) => self.client_wrote(id),
                Some(Peer::Pod(_)) => self.pod_wrote(id),
                Some(Peer::Watch(_)) => self.watch_wrote(id),
                Some(Peer::News(_)) => self.news_wrote(id),
                Some(Peer::Vote(_)) => self.vote_wrote(id),
                None => {}
            },
            SocketEvent::Flushed(id) => {
                if let Some(Peer::Client(_)) = self.peers.get(&id) {
                    self.client_wrote(id);
                }
            }
            SocketEvent::ConnectionLost {
                socket,
                written,
                error: why,
            } => match self.peers.get(&socket) {
                Some(Peer::Client(_)) => self.client_gone(socket),
                Some(Peer::Pod(_)) => self.pod_lost(socket, written, why),
                Some(Peer::Watch(_)) => self.watch_lost(socket, &WatchEnd::of(why)),
                Some(Peer::News(_)) => self.news_lost(socket, "the connection was lost"),
                Some(Peer::Vote(_)) => {
                    let answer = if written == 0 {
                        VoteAnswer::Failed
                    } else {
                        VoteAnswer::Unanswered
                    };
                    self.vote_over(socket, answer, None);
                }
                None => {}
            },
            SocketEvent::AcceptFailed { error: why, .. } => {
                tracing::debug!(%why, open = self.sockets.open_count(), "can't accept; tried again in 100 ms");
                self.pressed = true;
            }
            // No socket for datagrams is ever opened here: the platform tells of no peers.
            SocketEvent::Datagram { .. } => {}
            SocketEvent::Signal(HANG_UP) => self.told_anew(),
            SocketEvent::Signal(signal) => self.leave(signal),
        }
    }

    fn is_due(&mut self, due: Due) {
        match due {
            Due::Attempt(hit, no) => self.attempt_late(hit, no),
            Due::Connect(id) => self.connection_late(id),
            Due::LastByte(id) => self.release_last_byte(id),
            Due::Idle(id) => self.close_connection(id),
            Due::Silent(id) => self.client_silent(id),
            Due::Speak(id) => self.turn_away_now(id),
            Due::Sweep => self.sweep(),
            Due::WatchQuiet(id) => self.watch_lost(id, &WatchEnd::Silent),
            Due::ReadAgain => self.read_again(),
            Due::AskNews => self.ask_news(),
            Due::NewsQuiet(id) => self.news_lost(id, "the stream says nothing"),
            Due::VoteLate(id) => self.vote_over(id, VoteAnswer::Unanswered, None),
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request: hit,
                pod,
                timeout: within,
            } => self.begin_attempt(hit, pod, within),
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => self.cancel(hit, no),
            Action::Reject {
                request: hit,
                retry_after,
            } => self.bounce(hit, retry_after),
            Action::Fail { request: hit } => self.fail(hit),
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.vote(verdict, build, stage),
            Action::WatchEndpoints => self.ask_watch(),
            Action::WakeAt { at } => self.wake = at,
            Action::Log(line) => tracing::info!(target: "limewing::decisions", "{line}"),
        }
    }

    /// The configuration was replaced: the services may be elsewhere.
    fn told_anew(&mut self) {
        self.reread.take().map(|timer| self.wheel.cancel(timer));
        self.reread_tried = 0;
        self.read_again();
    }

    /// A configuration that can't be used changes nothing; it may be half written, and is read again some times.
    fn read_again(&mut self) {
        self.reread = None;
        match config::read(&self.file) {
            Ok(told) if told.name != self.terms.name => {
                let (found, expected) = (&told.name, &self.terms.name);
                let file = self.file.display();
                tracing::warn!(%file, found, expected, "name: the configuration is another sidecar's; the old one stays");
            }
            Ok(told) => {
                if told.listen != self.terms.listen || told.mark != self.terms.mark {
                    let (listen, found) = (self.terms.listen, told.listen);
                    let settings = told.mark != self.terms.mark;
                    tracing::warn!(%listen, %found, settings, "listen and settings stay as they are until the next start");
                }
                self.moves(told.places);
            }
            Err(trouble) => {
                let again = bounds::read_again(self.reread_tried);
                tracing::warn!(%trouble, ?again, "the new configuration can't be used; the old one stays");
                self.reread_tried += 1;
                self.reread =
                    again.map(|wait| self.wheel.schedule(self.now + wait, Due::ReadAgain));
            }
        }
    }

    fn moves(&mut self, places: Places) {
        tracing::info!(?places, "a new configuration");
        let old = std::mem::replace(&mut self.places, places);
        // The new ones are asked first, and the old ones read to their end: what they tell meanwhile counts as told, and
        // is not told again.
        if old.discovery != places.discovery {
            let old = std::mem::replace(&mut self.old_watch, self.watch.take());
            old.into_iter().for_each(|link| self.close_watch(link));
            self.list_heard = self
                .now
                .saturating_sub(bounds::LIST_LEASE - bounds::MOVED_LEASE);
            self.ask_watch();
        }
        if old.rollouts != places.rollouts {
            let old = std::mem::replace(&mut self.old_news, self.news.take());
            old.into_iter().for_each(|link| self.close_news(link));
            self.lost_news.reset();
            self.ask_news();
        }
    }

    /// Serves those that still come, then settles what is held and goes, in bounded time.
    fn leave(&mut self, signal: i32) {
        if self.shutdown.begin(self.now) {
            tracing::info!(signal, open_hits = self.hits.len(), "leaving");
        }
    }

    fn shut_down(&mut self) {
        if !self.shutdown.has_begun() {
            return;
        }
        if self.shutdown.has_stopped_accepting() && self.door {
            self.door = !self.sockets.stop_listening(self.listener);
        }
        loop {
            let holds = PendingWork {
                backlog: self.door,
                requests: self.hits.has_pending(),
                clients: self.clients > 0,
                unsent: self.sockets.total_unsent_bytes() > 0 || self.sockets.has_lingering(),
            };
            match self.shutdown.advance(self.now, holds) {
                Some(ShutdownStep::StopAccepting) => self.close_door(),
                Some(ShutdownStep::RespondToAll) => self.answer_all(),
                Some(ShutdownStep::Exit) | None => return,
            }
        }
    }

    /// The time to leave is up: every request that is held is answered now.
    fn answer_all(&mut self) {
        for hit in self.hits.pending_ids() {
            tracing::warn!(hit = hit.0, "not answered before the end");
            self.events.push(Event::ClientDisconnected(hit));
            self.fail(hit);
        }
    }
}
