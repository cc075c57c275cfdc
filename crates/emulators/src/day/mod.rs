//! Plays a day: all stand-ins on one loop with one clock, the sidecars as processes of their own.

mod clients;
mod pods;
mod processes;
mod services;
mod work;

use crate::deduplication::DeduplicationMemory;
use crate::fleet::{key_file, write_keys, Relay, FIRST_KEYS};
use crate::rollout::{RolloutController, SlotId};
use crate::script::{DayFault, DayScript, FIRST_BUILD};
use clients::{ClientLink, Clients};
use limewing_fault_injection::FaultyNetwork;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use limewing_net::timer_wheel::TimerWheel;
use limewing_rule_checker::record::{Event, PodId, Recorder, RequestId, SidecarId};
use limewing_settings::Seconds;
use pods::{Pod, PodLink};
use processes::Process;
use rand::rngs::StdRng;
use rand::SeedableRng;
use services::{LateAnswer, ListLink, NewsLink, Published, VoteLink};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum DayTrouble {
    #[error("{0}")]
    System(#[from] io::Error),
    #[error("sidecar {number}: {why}")]
    Sidecar { number: usize, why: String },
    #[error("the sidecars did not ask for the list within 10 s")]
    NotReady,
}

/// What a day's view shows while it plays.
#[derive(Clone, Debug)]
pub struct Progress {
    pub at: Duration,
    pub lasts: Duration,
    pub asked: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
    pub pods: usize,
    pub build: u16,
    pub stage: u8,
    pub phase: limewing_rule_checker::record::Phase,
    pub troubles: Vec<String>,
}

enum End {
    PodListener(PodId),
    ListListener,
    InstallerListener,
    Pod(Box<PodLink>),
    List(Box<ListLink>),
    Installer(Box<VoteLink>),
    News(NewsLink),
    Client(Box<ClientLink>),
}

enum Due {
    Hit,
    Worthless(usize),
    Retry(RequestId),
    GiveUp(SocketId),
    Leave(SocketId),
    Report(SidecarId, String),
    Done(PodId, u64),
    PodUp(PodId),
    PodDown(PodId),
    Publish(Box<Published>),
    ListAnswer(SocketId, u64),
    Tick,
    TellAll,
    TellNow,
    PodRead(SocketId),
    PodRest(SocketId),
    Rest(SocketId),
    VoteAnswer(Box<LateAnswer>),
    Offer(usize),
    DayFault(usize),
    TroubleEnds(usize),
    Work(usize),
    WorkBegins(u64),
    WorkEnds(u64),
    Show,
    Over,
}

/// How often the installer looks at its fleet.
const TICK: Duration = Duration::from_millis(20);
const SHOW_EVERY: Duration = Duration::from_millis(250);
/// A turn of the loop longer than this is told in the record.
const LONG_TURN: Duration = Duration::from_millis(3);

pub struct Day<'a> {
    script: &'a DayScript,
    program: &'a Path,
    folder: PathBuf,
    sockets: Sockets,
    ends: HashMap<SocketId, End>,
    wheel: TimerWheel<Due>,
    start: Instant,
    now: Duration,
    chance: StdRng,
    record: Recorder<BufWriter<File>>,
    trouble: Option<io::Error>,
    pods: BTreeMap<PodId, Pod>,
    next_pod: u32,
    jobs: pods::Jobs,
    deduplication: DeduplicationMemory,
    installer: RolloutController,
    list: services::ListState,
    /// Troubles that last, by their place in the script.
    present: BTreeMap<usize, DayFault>,
    clients: Clients,
    processes: Vec<Process>,
    /// Between the sidecars, if they know of each other.
    relay: Option<Relay>,
    /// Of machines that go out for work.
    agents: Option<work::Agents>,
    on: bool,
    over: bool,
}

/// Plays a day with `program` as the sidecars' command, and writes its files into `folder`. The record is
/// `folder/record.jsonl`.
///
/// # Errors
/// A sidecar does not start, or a file or socket can't be had.
pub fn play(
    script: &DayScript,
    program: &Path,
    folder: &Path,
    view: &mut dyn FnMut(Progress),
) -> Result<PathBuf, DayTrouble> {
    std::fs::create_dir_all(folder)?;
    let file = folder.join("record.jsonl");
    let record = Recorder::new(BufWriter::new(File::create(&file)?));
    let mut day = Day::new(script, program, folder, record)?;
    day.run(view)?;
    Ok(file)
}

impl<'a> Day<'a> {
    fn new(
        script: &'a DayScript,
        program: &'a Path,
        folder: &Path,
        record: Recorder<BufWriter<File>>,
    ) -> Result<Self, DayTrouble> {
        let mut sockets = Sockets::new()?;
        let any = || "127.0.0.1:0".parse().expect("an address");
        let (list, list_at) = sockets.listen(any())?;
        let (installer, installer_at) = sockets.listen(any())?;
        let ends = HashMap::from([
            (list, End::ListListener),
            (installer, End::InstallerListener),
        ]);
        let mut day = Self {
            script,
            program,
            folder: folder.to_path_buf(),
            sockets,
            ends,
            wheel: TimerWheel::default(),
            start: Instant::now(),
            now: Duration::ZERO,
            chance: StdRng::seed_from_u64(script.seed),
            record,
            trouble: None,
            pods: BTreeMap::new(),
            next_pod: 0,
            jobs: pods::Jobs::default(),
            deduplication: DeduplicationMemory::default(),
            installer: RolloutController::new(
                script.releases.clone(),
                script.fleet.pods,
                FIRST_BUILD,
            ),
            list: services::ListState::new(list_at, installer_at),
            present: BTreeMap::new(),
            clients: Clients::default(),
            processes: Vec::new(),
            relay: None,
            agents: None,
            on: false,
            over: false,
        };
        day.note(Event::Begin {
            day: script.name.clone(),
            limits: script.rule_limits(),
        });
        if let Some(peers) = &script.peers {
            let members = script.sidecar_zones.len();
            for number in 0..members {
                write_keys(&key_file(&day.folder, number), &FIRST_KEYS)?;
            }
            day.relay = Some(Relay::start(
                FaultyNetwork::new(&peers.faults, members),
                members,
            )?);
        }
        for place in 0..script.fleet.pods {
            day.start_pod(SlotId(place), FIRST_BUILD, false)?;
        }
        for number in 0..script.sidecar_zones.len() {
            let process = day.spawn(number, None)?;
            day.processes.push(process);
        }
        Ok(day)
    }

    fn note(&mut self, event: Event) {
        if let Err(trouble) = self.record.append(self.now, event) {
            self.trouble.get_or_insert(trouble);
        }
    }

    fn run(&mut self, view: &mut dyn FnMut(Progress)) -> Result<(), DayTrouble> {
        // The day begins once each sidecar has been told the list.
        let ready = Instant::now() + Duration::from_secs(10);
        while self.list.told.len() < self.script.sidecar_zones.len() {
            self.turn()?;
            if Instant::now() > ready {
                return Err(DayTrouble::NotReady);
            }
        }
        self.begin();
        while !self.over {
            self.turn()?;
            if std::mem::take(&mut self.list.show) {
                view(self.progress());
            }
        }
        self.processes.iter_mut().for_each(Process::end);
        self.note(Event::End {});
        self.record.flush()?;
        self.trouble
            .take()
            .map_or(Ok(()), |trouble| Err(trouble.into()))
    }

    fn begin(&mut self) {
        self.on = true;
        self.relay.iter().for_each(Relay::begin);
        let (now, script) = (self.now, self.script);
        self.wheel.schedule(now, Due::Hit);
        self.wheel.schedule(now, Due::Tick);
        self.wheel.schedule(now, Due::Show);
        self.wheel.schedule(now, Due::TellAll);
        for (number, offer) in script.offers.iter().enumerate() {
            self.wheel
                .schedule(now + offer.at.into(), Due::Offer(number));
        }
        for (number, trouble) in script.faults.iter().enumerate() {
            self.wheel
                .schedule(now + trouble.at.into(), Due::DayFault(number));
        }
        self.begin_work();
        self.clients.until = Duration::MAX;
        self.end_by(now + script.duration.into());
    }

    /// No more hits after this, if it is before what was said before.
    fn end_by(&mut self, until: Duration) {
        if until < self.clients.until {
            self.clients.until = until;
            self.wheel.schedule(
                until + self.script.longest_timeout() + Duration::from_secs(1),
                Due::Over,
            );
        }
    }

    fn turn(&mut self) -> Result<(), DayTrouble> {
        let next = self.wheel.next_deadline().unwrap_or(self.now + TICK);
        let before = self.start.elapsed();
        let wait = next.saturating_sub(before).min(TICK);
        let happened = self.sockets.wait(Some(wait))?;
        self.now = self.start.elapsed();
        let began = self.now;
        // How much later than it was to come back at the latest: nothing was read meanwhile.
        let late = began.saturating_sub(before + wait);
        if self.on && late > LONG_TURN {
            self.note(Event::RecorderStalled { duration: late });
        }
        for what in happened {
            self.happened(what)?;
        }
        while let Some(due) = self.wheel.pop_expired(self.now) {
            self.is_due(due)?;
        }
        let span = self.start.elapsed() - began;
        if self.on && span > LONG_TURN {
            self.now = self.start.elapsed();
            self.note(Event::RecorderStalled { duration: span });
        }
        Ok(())
    }

    fn happened(&mut self, what: SocketEvent) -> Result<(), DayTrouble> {
        match what {
            SocketEvent::Accepted {
                listener, socket, ..
            } => {
                let end = match self.ends.get(&listener) {
                    Some(End::PodListener(pod)) => match self.pod_link(*pod, socket) {
                        Some(link) => End::Pod(Box::new(link)),
                        None => {
                            self.sockets.close(socket);
                            return Ok(());
                        }
                    },
                    Some(End::ListListener) => End::List(Box::default()),
                    Some(End::InstallerListener) => End::Installer(Box::default()),
                    _ => return Ok(()),
                };
                self.ends.insert(socket, end);
            }
            SocketEvent::Connected(id) => self.client_connected(id),
            SocketEvent::Readable(id) => match self.ends.get(&id) {
                Some(End::Pod(_)) => self.pod_read(id),
                Some(End::List(_)) => self.list_read(id),
                Some(End::Installer(_)) => self.installer_read(id),
                Some(End::News(_)) if self.sockets.has_ended(id) => self.drop_end(id),
                Some(End::Client(_)) => self.client_read(id),
                _ => {}
            },
            SocketEvent::ConnectionLost {
                socket, written, ..
            } => match self.ends.get(&socket) {
                Some(End::Client(_)) => self.client_lost(socket, written),
                _ => drop(self.ends.remove(&socket)),
            },
            SocketEvent::Flushed(_)
            | SocketEvent::AcceptFailed { .. }
            | SocketEvent::Datagram { .. }
            | SocketEvent::Signal(_) => {}
        }
        Ok(())
    }

    fn drop_end(&mut self, id: SocketId) {
        self.ends.remove(&id);
        self.sockets.close(id);
    }

    fn is_due(&mut self, due: Due) -> Result<(), DayTrouble> {
        match due {
            Due::Hit => self.next_hit(),
            Due::Worthless(trouble) => self.worthless(trouble),
            Due::Retry(order) => self.ask(order),
            Due::GiveUp(link) => self.give_up(link),
            Due::Leave(link) => self.leave(link),
            Due::Report(sidecar, mark) => self.report(sidecar, &mark),
            Due::Done(pod, job) => self.done(pod, job),
            Due::PodUp(pod) => self.pod_up(pod),
            Due::PodDown(pod) => self.pod_down(pod),
            Due::Publish(published) => self.publish(*published),
            Due::ListAnswer(link, asked) => self.list_wait_over(link, asked),
            Due::Tick => {
                self.faults()?;
                self.work_seen();
                self.tick()?
            }
            Due::TellAll => self.tell_all_again(),
            Due::TellNow => self.tell_now(),
            Due::PodRead(link) => self.pod_ready(link),
            Due::PodRest(link) => self.pod_rest(link),
            Due::Rest(link) => self.write_rest(link),
            Due::VoteAnswer(answer) => self.answer_vote(*answer),
            Due::Offer(number) => {
                let build = self.script.offers[number].build;
                self.installer.offer(build, self.now);
            }
            Due::DayFault(number) => self.trouble_begins(number)?,
            Due::TroubleEnds(number) => self.trouble_ends(number)?,
            Due::Work(number) => self.work_step(number),
            Due::WorkBegins(grant) => self.work_begins(grant),
            Due::WorkEnds(grant) => self.work_ends(grant)?,
            Due::Show => {
                self.list.show = true;
                self.wheel.schedule(self.now + SHOW_EVERY, Due::Show);
            }
            Due::Over => self.over = true,
        }
        Ok(())
    }

    fn trouble_begins(&mut self, number: usize) -> Result<(), DayTrouble> {
        let trouble = &self.script.faults[number];
        self.note(Event::Fault {
            text: format!("begins: {}", trouble.fault),
        });
        self.present.insert(number, trouble.fault.clone());
        if let Some(lasts) = trouble.duration {
            self.wheel
                .schedule(self.now + lasts.into(), Due::TroubleEnds(number));
        }
        match &trouble.fault {
            DayFault::PodsKilled(places) => places
                .iter()
                .for_each(|place| self.kill_pods(SlotId(*place))),
            DayFault::PodsHung(places) => self.set_hung(places, true),
            DayFault::PodsSlow {
                slots: places,
                factor,
            } => self.set_slow(places, *factor),
            DayFault::SidecarKilled(number) => self.kill_sidecar(*number),
            DayFault::SidecarTerminated(number) => {
                self.bid_leave(*number);
            }
            DayFault::SidecarSuspended(number) => {
                self.stop_sidecar(*number);
            }
            DayFault::ListDown => self.list_down(),
            DayFault::RolloutsDown => self.installer_down(),
            DayFault::FailingTenant { .. } => self.worthless(number),
            _ => {}
        }
        Ok(())
    }

    fn trouble_ends(&mut self, number: usize) -> Result<(), DayTrouble> {
        let Some(trouble) = self.present.remove(&number) else {
            return Ok(());
        };
        self.note(Event::Fault {
            text: format!("ends: {trouble}"),
        });
        match &trouble {
            DayFault::PodsKilled(places) => {
                for place in places {
                    let build = self.installer.build_at(SlotId(*place));
                    self.start_pod(SlotId(*place), build, true)?;
                }
            }
            DayFault::PodsHung(places) => self.set_hung(places, false),
            DayFault::PodsSlow { slots: places, .. } => self.set_slow(places, 1.0),
            DayFault::SidecarKilled(number) | DayFault::SidecarTerminated(number) => {
                self.start_again(*number)?
            }
            DayFault::SidecarSuspended(number) => {
                self.let_go_on(*number);
            }
            DayFault::ListDown => self.list_up()?,
            DayFault::RolloutsDown => self.installer_up()?,
            _ => {}
        }
        Ok(())
    }

    fn is_present(&self, fits: impl Fn(&DayFault) -> bool) -> bool {
        self.present.values().any(fits)
    }

    /// Whether nothing passes between two zones.
    fn is_cut(&self, one: &str, other: &str) -> bool {
        one != other
            && self.is_present(
                |t| matches!(t, DayFault::ZonePartitioned(cut) if cut == one || cut == other),
            )
    }

    fn zone_of(&self, sidecar: SidecarId) -> &'a str {
        self.script
            .sidecar_zones
            .get(sidecar.0 as usize)
            .map_or("", String::as_str)
    }

    /// Whether a sidecar is cut off from list and installer.
    fn is_cut_off(&self, sidecar: SidecarId) -> bool {
        self.is_cut(self.zone_of(sidecar), &self.script.fleet.zones[0])
    }

    fn progress(&self) -> Progress {
        let state = self.installer.state();
        Progress {
            at: self.now,
            lasts: self.clients.until + self.script.longest_timeout(),
            asked: self.clients.asked,
            delivered: self.clients.delivered,
            bounced: self.clients.bounced,
            errored: self.clients.errored,
            pods: self.pods.values().filter(|pod| pod.up).count(),
            build: state.build,
            stage: state.stage,
            phase: state.phase,
            troubles: self
                .present
                .values()
                .map(|trouble| trouble.to_string())
                .collect(),
        }
    }
}

fn span(seconds: Option<Seconds>, or: f64) -> Duration {
    seconds.map_or(Duration::from_secs_f64(or), Duration::from)
}
