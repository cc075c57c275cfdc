//! Machines out for work: packets go between the other sidecars and `limewing_consensus`, what is settled goes to
//! `limewing_maintenance`, and what that closes is told to the decision module as machines that drain.

use super::direct_message::{DirectMessage, CONSENSUS, MAINTENANCE};
use super::membership::FleetMembership;
use crate::endpoint_list::EndpointRecord;
use crate::vote_log::VoteLog;
use limewing_consensus::{
    Committed, Learner, NodeId, Packet, RaftConfig, RaftNode, Role, MAX_COMMAND_BYTES, MAX_VOTERS,
};
use limewing_maintenance::{
    Command, DisruptionLimits, DrainTracker, FleetObservation, Identifier, Lease, LeaseGrantor,
    Machine, MachinePhase, MaintenanceSchedule, Message, Pod, RejectionRate, Scheduler, Window,
    ZoneTracker,
};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_settings::{self as settings, WorkList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Those that follow ask for what is settled so often.
const FOLLOWS_EVERY: Duration = Duration::from_millis(400);
/// While a write is under way it is looked for so often.
const LOOKS_EVERY: Duration = Duration::from_millis(1);
/// What was asked of this sidecar is put up again so often, and for so long, until it shows.
const PUT_UP_EVERY: Duration = Duration::from_millis(300);
const PUT_UP_FOR: Duration = Duration::from_secs(20);
const MOST_PUT_UP: usize = 256;
/// Entries beyond which the log is made short.
const MOST_HELD: u64 = 400;

enum ConsensusRole {
    Voter(Box<RaftNode>, VoteLog),
    Learner(Box<Learner>),
}

pub struct Maintenance {
    name: String,
    start: u64,
    voters: Vec<String>,
    part: ConsensusRole,
    turns: MaintenanceSchedule,
    /// Up to where the log was read.
    read: u64,
    lease: Lease,
    lasts: Duration,
    patience: Duration,
    /// While this one leads.
    leader: Option<Scheduler>,
    next_ask: Duration,
    /// Who answered the last ask, and how many have not been answered since.
    answered_by: Option<String>,
    unanswered: u32,
    /// Words that were asked for here, until when.
    asked_for: Vec<(Command, Duration)>,
    /// Voter that are to be given or taken, until when.
    votes: Vec<(String, bool, Duration)>,
    next_put_up: Duration,
    /// Machines that the module was told are closed, since when; none: all.
    closed: Option<BTreeSet<String>>,
    clearing: DrainTracker,
    state: Option<(u64, bool, bool)>,
    clear: Vec<Identifier>,
    /// How long what was sent before a machine was closed may be out.
    settles: Duration,
    warm_after: Duration,
    trial: bool,
    served: ZoneTracker,
    turned_away: RejectionRate,
    out: Vec<(String, Vec<u8>)>,
}

/// What of the sidecar it goes by.
pub struct EndpointContext<'a> {
    /// The node list as it was told.
    pub rows: &'a [EndpointRecord],
    /// Addresses that forwards are out to.
    pub busy: &'a dyn Fn() -> BTreeSet<SocketAddr>,
}

/// What one may ask of it, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MaintenanceRequest {
    #[serde(rename = "ask")]
    CreateList(Box<WorkList>),
    #[serde(rename = "hold")]
    PauseList(u64),
    #[serde(rename = "go_on")]
    ResumeList(u64),
    #[serde(rename = "withdraw")]
    WithdrawList(u64),
    /// A sidecar that runs no more and did not say so.
    #[serde(rename = "gone")]
    SidecarGone(String),
    /// Gives this sidecar a vote, which it gets once it has caught up; or takes it.
    #[serde(rename = "vote")]
    AddVoter(String),
    #[serde(rename = "unvote")]
    RemoveVoter(String),
    #[serde(rename = "report")]
    ReportWork {
        grant: u64,
        #[serde(rename = "said")]
        report: WorkReport,
    },
}

/// What a machine's agent says of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkReport {
    Began,
    #[serde(rename = "worked")]
    Succeeded,
    Failed,
}

/// One sidecar's view of the work.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MaintenanceView {
    pub name: String,
    #[serde(rename = "standing")]
    pub role: String,
    pub leader: Option<String>,
    pub term: u64,
    #[serde(rename = "settled")]
    pub applied_index: u64,
    #[serde(rename = "members")]
    pub voters: Vec<String>,
    /// Who is to get a vote once it has caught up.
    #[serde(default, rename = "awaited")]
    pub pending_voter: Option<String>,
    /// Whether it holds a lease; without one it sends to no machine on a list.
    #[serde(rename = "lease")]
    pub has_lease: bool,
    pub sidecars: Vec<String>,
    #[serde(rename = "closed")]
    pub closed_machines: Vec<String>,
    pub lists: Vec<ListView>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListView {
    #[serde(rename = "list")]
    pub id: u64,
    pub name: String,
    #[serde(rename = "held")]
    pub paused: bool,
    pub withdrawn: bool,
    #[serde(rename = "over")]
    pub finished: bool,
    /// Sidecars that do not know the list yet, as far as whoever leads was told.
    #[serde(rename = "unknown_to")]
    pub sidecars_behind: Vec<String>,
    pub machines: Vec<MachineView>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineView {
    pub machine: String,
    #[serde(rename = "step")]
    pub phase: String,
    pub grant: Option<u64>,
    pub stalled: bool,
    /// Sidecars that may still send there, as far as whoever leads was told.
    #[serde(rename = "not_clear")]
    pub sidecars_not_drained: Vec<String>,
    /// Why one that waits may not go now.
    #[serde(rename = "why")]
    pub blocked_reason: Option<String>,
}

fn ms(today: SystemTime) -> u64 {
    today
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The words that bring a list about.
///
/// # Errors
/// What does not fit, as a line.
fn words(
    list: Identifier,
    told: &WorkList,
    rows: &[EndpointRecord],
) -> Result<Vec<Command>, String> {
    let fits = |row: &&EndpointRecord| {
        told.machines.contains(&row.machine)
            || told.select.as_ref().is_some_and(|select| {
                select.zone.as_ref().is_none_or(|zone| *zone == row.zone)
                    && select
                        .kind
                        .as_ref()
                        .is_none_or(|kind| *kind == row.machine_type)
                    && select.build.is_none_or(|build| build == row.build)
            })
    };
    let mut machines: BTreeMap<String, Machine> = BTreeMap::new();
    for row in rows.iter().filter(fits) {
        let new = || Machine {
            name: row.machine.clone(),
            zone: row.zone.clone(),
            kind: row.machine_type.clone(),
            capacity: 0.0,
        };
        machines
            .entry(row.machine.clone())
            .or_insert_with(new)
            .capacity += row.weight;
    }
    let unknown: Vec<&String> = told
        .machines
        .iter()
        .filter(|name| !machines.contains_key(*name))
        .collect();
    if !unknown.is_empty() {
        return Err(format!(
            "machines that are not on the node list: {unknown:?}"
        ));
    }
    if machines.is_empty() {
        return Err("no machine on the node list fits `select`".into());
    }
    let span = |seconds: settings::Seconds| Duration::from(seconds).as_millis() as u64;
    let window = |window: &settings::WorkWindow| Window {
        start_ms: (window.from * 1e3) as u64,
        end_ms: (window.to * 1e3) as u64,
    };
    let limits = DisruptionLimits {
        max_unavailable: told.limits.out,
        max_unavailable_per_zone: told.limits.out_in_zone.unwrap_or(0),
        max_unavailable_per_kind: told.limits.out_of_kind.unwrap_or(0),
        min_ready_fraction: told.limits.ready_part,
        exclusive_pairs: told.limits.apart.clone(),
        max_rejection_rate: told.limits.turned_away,
    };
    let terms = limewing_maintenance::ListConfig {
        name: told.name.clone(),
        limits,
        work_duration_ms: span(told.takes),
        stall_timeout_ms: span(told.stalls_after),
        windows: told.windows.iter().map(window).collect(),
        priority: told.priority,
        allowed_during_trials: told.beside_trials,
    };
    let all: Vec<Machine> = machines.into_values().collect();
    let mut words = vec![Command::CreateList {
        list,
        config: terms,
        machine_count: all.len() as u16,
    }];
    let mut first = 0;
    while first < all.len() {
        let part = |many: usize| Command::AddMachines {
            list,
            first: first as u16,
            machines: all[first..(first + many).min(all.len())].to_vec(),
        };
        let fits = |many: &usize| part(*many).encode().len() <= MAX_COMMAND_BYTES;
        let many = (1..=8)
            .take_while(fits)
            .last()
            .ok_or("a machine's name, zone or kind is too long")?;
        words.push(part(many));
        first += many;
    }
    if words[0].encode().len() > MAX_COMMAND_BYTES {
        return Err("limits, pairs and windows are too long together".into());
    }
    Ok(words)
}

fn pod(row: &EndpointRecord, today: SystemTime) -> Pod {
    Pod {
        machine: row.machine.clone(),
        zone: row.zone.clone(),
        capacity: row.weight,
        draining: row.draining,
        uptime_seconds: row.started.map(|started| ms(today) as f64 / 1e3 - started),
    }
}

/// The word of `/limewing/work` for a voter's role: these words are part of the page's format.
fn role_on_page(role: Role) -> &'static str {
    match role {
        Role::Unjoined => "free",
        Role::Follower => "follows",
        Role::PreCandidate => "tries",
        Role::Candidate => "stands",
        Role::Leader => "leads",
    }
}

impl Maintenance {
    pub(super) fn start(
        name: &str,
        told: &settings::Work,
        now: Duration,
        seed: u64,
        (grace, longest_hit, warm_after): (Duration, Duration, Duration),
    ) -> io::Result<Self> {
        let patience = Duration::from(told.patience);
        let voters = told.voters.clone();
        let part = match told.folder.as_deref() {
            Some(folder) => {
                let (log, records) = VoteLog::open(folder)?;
                let terms = RaftConfig {
                    voters: voters.clone(),
                    heartbeat_interval: patience / 6,
                    election_timeout: patience,
                    seed,
                };
                ConsensusRole::Voter(
                    Box::new(RaftNode::new(now, name, rand::random(), &records, terms)),
                    log,
                )
            }
            None => {
                let me = NodeId {
                    name: name.to_owned(),
                    incarnation: rand::random(),
                };
                ConsensusRole::Learner(Box::new(Learner::new(
                    now,
                    me,
                    voters.clone(),
                    FOLLOWS_EVERY,
                )))
            }
        };
        let lasts = Duration::from(told.lease);
        Ok(Self {
            name: name.to_owned(),
            start: ms(wall_clock_now()),
            voters,
            part,
            turns: MaintenanceSchedule::default(),
            read: 0,
            lease: Lease::new(now, lasts),
            lasts,
            patience,
            leader: None,
            next_ask: now,
            answered_by: None,
            unanswered: 0,
            asked_for: Vec::new(),
            votes: Vec::new(),
            next_put_up: now,
            closed: None,
            clearing: DrainTracker::new(grace),
            state: None,
            clear: Vec::new(),
            // Closed at the next ask, the latest.
            settles: grace + longest_hit + lasts / 4,
            warm_after,
            trial: false,
            served: ZoneTracker::default(),
            turned_away: RejectionRate::default(),
            out: Vec::new(),
        })
    }

    pub(super) fn next_deadline(&self) -> Duration {
        let part = match &self.part {
            ConsensusRole::Voter(agree, log) if log.is_idle() => agree.next_deadline(),
            // It is looked for at the next turn.
            ConsensusRole::Voter(..) => Duration::ZERO,
            ConsensusRole::Learner(follow) => follow.next_deadline(),
        };
        part.min(self.next_ask)
    }

    /// When the loop has to come round for it, at the latest.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        self.next_deadline().max(now + LOOKS_EVERY)
    }

    /// So many hits were taken, and so many turned away.
    pub(super) fn record_requests(&mut self, now: Duration, hits: u32, turned_away: u32) {
        self.turned_away.record(now, hits, turned_away);
    }

    /// The stage news that the module is told.
    pub(super) fn set_release_on_trial(&mut self, trial: bool) {
        self.trial = trial;
    }

    pub(super) fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) {
        match bytes.split_first() {
            Some((&CONSENSUS, rest)) => {
                let Ok(packet) = Packet::decode(rest) else {
                    return;
                };
                // Nobody speaks for another.
                if packet.from.name != from {
                    return;
                }
                match &mut self.part {
                    ConsensusRole::Voter(agree, _) => {
                        // Whoever stood still learns that it leads no more before it says another word.
                        if now >= agree.next_deadline() {
                            agree.tick(now);
                        }
                        agree.receive(now, packet);
                    }
                    ConsensusRole::Learner(follow) => follow.receive(now, packet),
                }
            }
            Some((&MAINTENANCE, rest)) => {
                if let Ok(talk) = Message::decode(rest) {
                    self.handle_message(now, from, talk);
                }
            }
            _ => {}
        }
    }

    fn leads(&self) -> Option<&RaftNode> {
        match &self.part {
            ConsensusRole::Voter(agree, _) => {
                Some(&**agree).filter(|agree| agree.role() == Role::Leader)
            }
            ConsensusRole::Learner(_) => None,
        }
    }

    fn propose(&mut self, now: Duration, word: &Command) {
        if let ConsensusRole::Voter(agree, _) = &mut self.part {
            if let Ok(place) = agree.propose(now, word.encode()) {
                self.leader
                    .iter_mut()
                    .for_each(|leader| leader.command_proposed(place.index));
            }
        }
    }

    fn send(&mut self, to: &str, talk: &Message) {
        let message = DirectMessage::new(to.to_owned(), MAINTENANCE, &talk.encode());
        self.out.push((message.to, message.bytes));
    }

    fn handle_message(&mut self, now: Duration, from: &str, talk: Message) {
        if let ConsensusRole::Voter(agree, _) = &mut self.part {
            if now >= agree.next_deadline() {
                agree.tick(now);
            }
        }
        match talk {
            Message::LeaseRequest {
                incarnation: start,
                request: no,
                applied_index: read,
                drained: clear,
                rejected_per_mille: turned_away,
            } => {
                if let Some(settled) =
                    self.give_lease(now, (from, start), (read, &clear, turned_away))
                {
                    self.send(
                        from,
                        &Message::LeaseResponse {
                            request: no,
                            commit_index: settled,
                        },
                    );
                }
            }
            Message::LeaseResponse {
                request: no,
                commit_index: settled,
            } => {
                self.lease.granted(no, settled);
                (self.answered_by, self.unanswered) = (Some(from.to_owned()), 0);
            }
            Message::Leave { incarnation: start } => {
                // Each voter sees to it: whoever leads may be the one that leaves.
                if self.turns.sidecars().get(from) == Some(&start)
                    && self.asked_for.len() < MOST_PUT_UP
                {
                    let word = Command::SidecarGone {
                        name: from.to_owned(),
                        incarnation: start,
                    };
                    self.asked_for.push((word, now + PUT_UP_FOR));
                }
            }
            Message::ChangeVote {
                name,
                is_voter: has,
            } => self.want_vote(now, name, has),
            Message::Propose { command: word } => {
                // Only what can be read is settled.
                if let (ConsensusRole::Voter(agree, _), Ok(_)) =
                    (&mut self.part, Command::decode(&word))
                {
                    if agree.role() == Role::Leader {
                        let _ = agree.propose(now, word);
                    } else {
                        agree.forward_proposal(word);
                    }
                }
            }
        }
    }

    /// Up to where all is settled, if this one leads and the asker gets its lease.
    fn give_lease(
        &mut self,
        now: Duration,
        (name, start): (&str, u64),
        says: (u64, &[Identifier], u16),
    ) -> Option<u64> {
        // What its predecessors settled it has to know, or a lease would hold for one that has not read it.
        let settled = self
            .leads()
            .filter(|agree| agree.is_established_leader())?
            .commit_index();
        let leader = self.leader.as_mut()?;
        if leader
            .grantor
            .lease_requested(now, &self.turns, (name, start), says)
        {
            return Some(settled);
        }
        if leader.has_applied_own(self.read)
            && self
                .turns
                .sidecars()
                .get(name)
                .is_none_or(|known| *known < start)
        {
            self.propose(
                now,
                &Command::SidecarStarted {
                    name: name.to_owned(),
                    incarnation: start,
                },
            );
        }
        None
    }

    /// Does what is due. Whether what is closed to the module has changed.
    pub(super) fn turn(
        &mut self,
        now: Duration,
        membership: &mut FleetMembership,
        site: &EndpointContext,
    ) -> bool {
        self.drive(now);
        self.read_on();
        self.lead(now, site);
        self.retry_pending(now);
        self.look_whether_clear(now, site);
        if now >= self.next_ask {
            let serve = site.rows.iter().filter(|row| !row.draining);
            self.served
                .observe_serving(serve.map(|row| row.zone.as_str()));
            self.ask(now);
        }
        self.drive(now);
        self.read_on();
        for (to, bytes) in std::mem::take(&mut self.out) {
            membership.send_direct(now, DirectMessage { to, bytes });
        }
        self.close_off(now)
    }

    /// Disk, clock and packets of the agreement.
    fn drive(&mut self, now: Duration) {
        let mut out = Vec::new();
        match &mut self.part {
            ConsensusRole::Voter(agree, log) => {
                if let Some(no) = log.take_durable() {
                    agree.persisted(now, no);
                }
                if now >= agree.next_deadline() {
                    agree.tick(now);
                }
                if agree.uncompacted_entries() > MOST_HELD
                    && log.is_idle()
                    && agree.commit_index() == self.read
                {
                    agree.compact(self.read, self.turns.encode());
                    if let Some(write) = agree.next_write_batch() {
                        log.replace(write.number, &agree.compacted_records());
                    }
                }
                while let Some(write) = agree.next_write_batch() {
                    log.append(write.number, &write.records);
                }
                while let Some(one) = agree.take_packet() {
                    out.push(one);
                }
            }
            ConsensusRole::Learner(follow) => {
                follow.tick(now);
                while let Some(one) = follow.take_packet() {
                    out.push(one);
                }
            }
        }
        for (to, packet) in out {
            let message = DirectMessage::new(to, CONSENSUS, &packet.encode());
            self.out.push((message.to, message.bytes));
        }
    }

    fn read_on(&mut self) {
        loop {
            let next = match &mut self.part {
                ConsensusRole::Voter(agree, _) => agree.take_committed(),
                ConsensusRole::Learner(follow) => follow.take_committed(),
            };
            match next {
                Some(Committed::Command {
                    position: at,
                    command: bytes,
                }) => {
                    match Command::decode(&bytes)
                        .map(|word| (self.turns.apply(at.index, &word), word))
                    {
                        Ok((Ok(()), Command::Observe { summary: seen, .. })) => {
                            tracing::debug!(index = at.index, ?seen, "settled")
                        }
                        Ok((Ok(()), word)) => tracing::info!(index = at.index, ?word, "settled"),
                        Ok((Err(why), word)) => {
                            tracing::info!(index = at.index, ?word, %why, "settled, and changes nothing")
                        }
                        Err(why) => {
                            tracing::warn!(index = at.index, %why, "a settled word can't be read")
                        }
                    }
                }
                Some(Committed::Snapshot { state, .. }) => {
                    match MaintenanceSchedule::decode(&state) {
                        Some(turns) => self.turns = turns,
                        None => tracing::error!(
                            "the state of the work can't be read: it is of another version"
                        ),
                    }
                }
                None => break,
            }
        }
        self.read = match &self.part {
            ConsensusRole::Voter(agree, _) => agree.commit_index(),
            ConsensusRole::Learner(follow) => follow.applied_index(),
        };
    }

    fn lead(&mut self, now: Duration, site: &EndpointContext) {
        let term = self.leads().map(RaftNode::term);
        if self.leader.as_ref().map(|leader| leader.term) != term {
            let lessor = || LeaseGrantor::new(now, self.lasts, self.patience * 2, self.settles);
            self.leader = term.map(|term| Scheduler::new(now, term, lessor()));
        }
        let idle = self.turns.lists().values().all(|list| list.is_finished());
        if idle || !self.leads().is_some_and(RaftNode::is_established_leader) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let today = wall_clock_now();
        let pods: Vec<Pod> = site.rows.iter().map(|row| pod(row, today)).collect();
        let sight = FleetObservation {
            pods: &pods,
            warm_up_seconds: self.warm_after.as_secs_f64(),
            release_on_trial: self.trial,
        };
        let word = leader.next_command(
            now,
            ms(today),
            (&self.turns, self.read),
            &self.served,
            &sight,
        );
        if let Some(word) = word {
            self.propose(now, &word);
        }
    }

    /// Gives or takes votes that were asked for here and do not show yet; where this one does not lead, by whoever does.
    fn change_votes(&mut self, now: Duration) {
        let ConsensusRole::Voter(agree, _) = &mut self.part else {
            let wanted: Vec<_> = self.votes.drain(..).collect();
            let to = self
                .answered_by
                .clone()
                .or_else(|| self.voters.first().cloned());
            for ((name, has, _), to) in wanted
                .into_iter()
                .filter_map(|wanted| Some((wanted, to.clone()?)))
            {
                self.send(
                    &to,
                    &Message::ChangeVote {
                        name,
                        is_voter: has,
                    },
                );
            }
            return;
        };
        let shows = |name: &String, has: bool| {
            let voter = agree.members().iter().any(|id| id.name == *name);
            let awaited = agree.pending_voter() == Some(name);
            if has {
                voter || awaited
            } else {
                !voter && !awaited
            }
        };
        self.votes
            .retain(|(name, has, until)| now < *until && !shows(name, *has));
        let Some((name, has, _)) = self.votes.first() else {
            return;
        };
        if agree.role() == Role::Leader {
            let done = if *has {
                agree.add_voter(now, name)
            } else {
                agree.remove_voter(now, name)
            }
            .map(drop);
            tracing::info!(name, has, ?done, "a vote is to change");
        } else if let Some(leader) = agree.leader().map(|id| id.name.clone()) {
            let talk = Message::ChangeVote {
                name: name.clone(),
                is_voter: *has,
            };
            self.send(&leader, &talk);
        }
    }

    fn want_vote(&mut self, now: Duration, name: String, has: bool) {
        self.votes.retain(|(of, ..)| *of != name);
        if self.votes.len() < MAX_VOTERS {
            self.votes.push((name, has, now + PUT_UP_FOR));
        }
    }

    /// Puts up again what was asked for here and does not show yet.
    fn retry_pending(&mut self, now: Duration) {
        if (self.asked_for.is_empty() && self.votes.is_empty()) || now < self.next_put_up {
            return;
        }
        self.next_put_up = now + PUT_UP_EVERY;
        self.change_votes(now);
        let turns = &self.turns;
        self.asked_for
            .retain(|(word, until)| now < *until && !turns.is_reflected(word));
        for (word, _) in self.asked_for.clone() {
            match &mut self.part {
                ConsensusRole::Voter(agree, _) if agree.role() == Role::Leader => {
                    let _ = agree.propose(now, word.encode());
                }
                ConsensusRole::Voter(agree, _) => agree.forward_proposal(word.encode()),
                ConsensusRole::Learner(_) => {
                    let to = self
                        .answered_by
                        .clone()
                        .or_else(|| self.voters.first().cloned());
                    let talk = Message::Propose {
                        command: word.encode(),
                    };
                    to.into_iter().for_each(|to| self.send(&to, &talk));
                }
            }
        }
    }

    /// Of which grants' machines this sidecar is clear: the module knows that they drain, its grace is over, nothing is out.
    fn look_whether_clear(&mut self, now: Duration, site: &EndpointContext) {
        let quiet: Vec<(String, Identifier)> = self
            .clearing
            .past_grace(now, &self.turns)
            .map(|(machine, grant)| (machine.to_owned(), grant))
            .collect();
        if quiet.iter().all(|(_, grant)| self.clear.contains(grant)) {
            self.clear
                .retain(|grant| quiet.iter().any(|(_, of)| of == grant));
            return;
        }
        let busy = (site.busy)();
        let free = |machine: &String| {
            !site
                .rows
                .iter()
                .any(|row| row.machine == *machine && busy.contains(&row.address))
        };
        let clear: Vec<Identifier> = quiet
            .iter()
            .filter(|(machine, _)| free(machine))
            .map(|(_, grant)| *grant)
            .collect();
        if clear != self.clear {
            (self.clear, self.next_ask) = (clear, now);
        }
    }

    fn ask(&mut self, now: Duration) {
        self.next_ask = now + self.lease.request_interval();
        let no = self.lease.request(now);
        let (start, read, clear) = (self.start, self.read, self.clear.clone());
        let turned_away = self.turned_away.per_mille(now);
        if self.leads().is_some() {
            let name = self.name.clone();
            if let Some(settled) = self.give_lease(now, (&name, start), (read, &clear, turned_away))
            {
                self.lease.granted(no, settled);
            }
            return;
        }
        let ask = Message::LeaseRequest {
            incarnation: start,
            request: no,
            applied_index: read,
            drained: clear,
            rejected_per_mille: turned_away,
        };
        let to = match self.answered_by.clone().filter(|_| self.unanswered < 2) {
            Some(leader) => vec![leader],
            None => self.may_lead(),
        };
        self.unanswered += 1;
        to.iter().for_each(|to| self.send(to, &ask));
    }

    /// All others that may lead: by the settings, and by the log.
    fn may_lead(&self) -> Vec<String> {
        let known: Vec<String> = match &self.part {
            ConsensusRole::Voter(agree, _) => {
                agree.members().iter().map(|id| id.name.clone()).collect()
            }
            ConsensusRole::Learner(follow) => follow.voters().to_vec(),
        };
        let all: BTreeSet<String> = known
            .into_iter()
            .chain(self.voters.iter().cloned())
            .collect();
        all.into_iter().filter(|name| *name != self.name).collect()
    }

    fn close_off(&mut self, now: Duration) -> bool {
        let waits = self.lease.awaits_first_grant(now);
        let state = (self.read, self.lease.is_held(now, self.read), waits);
        if self.state == Some(state) {
            return false;
        }
        self.state = Some(state);
        let closed = self.lease.closed_machines(now, self.read, &self.turns);
        let names = closed.clone().unwrap_or_default();
        self.clearing.set_closed(now, &names);
        let changed = closed != self.closed;
        self.closed = closed;
        changed
    }

    /// Whether the module is to be told that a machine drains.
    pub(super) fn is_closed(&self, machine: &str) -> bool {
        self.closed
            .as_ref()
            .is_none_or(|closed| closed.contains(machine))
    }

    pub(super) fn leave(&mut self, now: Duration, membership: &mut FleetMembership) {
        let talk = Message::Leave {
            incarnation: self.start,
        };
        self.may_lead()
            .iter()
            .for_each(|voter| self.send(voter, &talk));
        for (to, bytes) in std::mem::take(&mut self.out) {
            membership.send_direct(now, DirectMessage { to, bytes });
        }
    }

    /// Takes in what an operator or a machine's agent asks; the list's number, if it is one.
    ///
    /// # Errors
    /// What of it can't be used.
    pub(super) fn handle_request(
        &mut self,
        now: Duration,
        asked: &MaintenanceRequest,
        rows: &[EndpointRecord],
    ) -> Result<Option<u64>, String> {
        let known = |list: &u64| {
            let known = self.turns.lists().contains_key(&Identifier(*list));
            known
                .then_some(Identifier(*list))
                .ok_or(format!("no list {list}"))
        };
        let (words, list) = match asked {
            MaintenanceRequest::CreateList(told) => {
                if let Some(error) = settings::Checked::config_errors(&**told).first() {
                    return Err(format!("at {}: {}", error.path, error.expected));
                }
                let list = Identifier(u64::from(rand::random::<u32>()));
                (words(list, told, rows)?, Some(list.0))
            }
            MaintenanceRequest::PauseList(list) => {
                (vec![Command::PauseList { list: known(list)? }], None)
            }
            MaintenanceRequest::ResumeList(list) => {
                (vec![Command::ResumeList { list: known(list)? }], None)
            }
            MaintenanceRequest::WithdrawList(list) => {
                (vec![Command::WithdrawList { list: known(list)? }], None)
            }
            MaintenanceRequest::SidecarGone(name) => {
                let start = self
                    .turns
                    .sidecars()
                    .get(name)
                    .ok_or(format!("no sidecar {name}"))?;
                (
                    vec![Command::SidecarGone {
                        name: name.clone(),
                        incarnation: *start,
                    }],
                    None,
                )
            }
            MaintenanceRequest::AddVoter(name) | MaintenanceRequest::RemoveVoter(name) => {
                if name.is_empty() || name.len() > 32 {
                    return Err("expected a sidecar's name of 1 to 32 letters".into());
                }
                self.want_vote(
                    now,
                    name.clone(),
                    matches!(asked, MaintenanceRequest::AddVoter(_)),
                );
                (Vec::new(), None)
            }
            MaintenanceRequest::ReportWork { grant, report } => {
                let grant = Identifier(*grant);
                self.turns
                    .machine_with_grant(grant)
                    .ok_or(format!("no grant {}", grant.0))?;
                let word = match report {
                    WorkReport::Began => Command::WorkBegan { grant },
                    WorkReport::Succeeded => Command::WorkEnded {
                        grant,
                        succeeded: true,
                    },
                    WorkReport::Failed => Command::WorkEnded {
                        grant,
                        succeeded: false,
                    },
                };
                (vec![word], None)
            }
        };
        if self.asked_for.len() + words.len() > MOST_PUT_UP {
            return Err("too much is asked for at once".into());
        }
        self.asked_for
            .extend(words.into_iter().map(|word| (word, now + PUT_UP_FOR)));
        self.next_put_up = now;
        self.next_ask = self.next_ask.min(now);
        Ok(list)
    }

    pub(super) fn view(&self, now: Duration) -> MaintenanceView {
        let (standing, leader, term, members) = match &self.part {
            ConsensusRole::Voter(agree, _) => (
                role_on_page(agree.role()).to_owned(),
                agree.leader().map(|id| id.name.clone()),
                agree.term(),
                agree.members().iter().map(|id| id.name.clone()).collect(),
            ),
            ConsensusRole::Learner(_) => {
                ("asks".to_owned(), self.answered_by.clone(), 0, Vec::new())
            }
        };
        let lessor = self.leader.as_ref().map(|leader| &leader.grantor);
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_owned).collect();
        let way = |list: &Identifier, way: &limewing_maintenance::MachineState| MachineView {
            machine: way.machine.name.clone(),
            phase: way.phase.to_string(),
            grant: way.grant.map(|grant| grant.0),
            stalled: way.stalled,
            sidecars_not_drained: way
                .grant
                .filter(|_| way.phase == MachinePhase::Granted)
                .zip(lessor)
                .map_or(Vec::new(), |(grant, lessor)| {
                    owned(lessor.sidecars_not_drained(now, &self.turns, grant))
                }),
            blocked_reason: (way.phase == MachinePhase::Waiting)
                .then(|| {
                    self.turns
                        .check_grant(*list, &way.machine.name)
                        .err()
                        .map(|why| why.to_string())
                })
                .flatten(),
        };
        let list = |(no, list): (&Identifier, &limewing_maintenance::MaintenanceList)| ListView {
            id: no.0,
            name: list.config.name.clone(),
            paused: list.paused,
            withdrawn: list.withdrawn,
            finished: list.is_finished(),
            sidecars_behind: lessor.filter(|_| !list.known).map_or(Vec::new(), |lessor| {
                owned(lessor.sidecars_behind(&self.turns, list.completed_index))
            }),
            machines: list.machines.iter().map(|one| way(no, one)).collect(),
        };
        MaintenanceView {
            name: self.name.clone(),
            role: standing,
            leader,
            term,
            applied_index: self.read,
            voters: members,
            pending_voter: match &self.part {
                ConsensusRole::Voter(agree, _) => agree.pending_voter().map(str::to_owned),
                ConsensusRole::Learner(_) => None,
            },
            has_lease: self.lease.is_held(now, self.read),
            sidecars: self.turns.sidecars().keys().cloned().collect(),
            closed_machines: self
                .closed
                .clone()
                .unwrap_or_default()
                .into_iter()
                .collect(),
            lists: self.turns.lists().iter().map(list).collect(),
        }
    }
}
