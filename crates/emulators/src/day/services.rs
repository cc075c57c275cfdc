//! The node list (a subset of Consul's health API with blocking queries) and the installer's sockets.

use super::pods::sidecar_of;
use super::{Day, DayTrouble, Due, End};
use crate::rollout::{RolloutAction, RolloutState, Verdict};
use crate::script::DayFault;
use bytes::BytesMut;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http::{write_response, RequestHead};
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{Event, Phase, PodId, SidecarId};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The service that the pods register as.
pub const SERVICE: &str = "order-node";

pub struct ListState {
    pub list_at: SocketAddr,
    pub installer_at: SocketAddr,
    index: u64,
    body: Vec<u8>,
    ready: Vec<PodId>,
    draining: Vec<PodId>,
    /// Sidecars that were told a list with pods in it.
    pub told: BTreeSet<SidecarId>,
    pub show: bool,
    made: u64,
    newest: u64,
    votes: u64,
    /// When votes were taken, while there is an allowance.
    taken: Vec<Duration>,
}

/// A list as it will be told once its lag is over; an older one that comes due after it is not told any more.
pub struct Published {
    number: u64,
    body: Vec<u8>,
    ready: Vec<PodId>,
    draining: Vec<PodId>,
}

pub struct ListLink {
    requests: RequestReader,
    sidecar: Option<SidecarId>,
    /// Waits for an index other than this; with the number of the query.
    waits: Option<u64>,
    asked: u64,
}

impl Default for ListLink {
    fn default() -> Self {
        Self {
            requests: RequestReader::new(1024),
            sidecar: None,
            waits: None,
            asked: 0,
        }
    }
}

pub struct VoteLink(RequestReader);

impl Default for VoteLink {
    fn default() -> Self {
        Self(RequestReader::new(16 * 1024))
    }
}

/// What is still to be said to a vote.
pub struct LateAnswer {
    id: SocketId,
    sidecar: SidecarId,
    state: RolloutState,
    reply: String,
}

pub struct NewsLink {
    sidecar: SidecarId,
}

#[derive(Deserialize)]
struct Vote {
    build: u16,
    stage: u8,
    verdict: String,
}

impl ListState {
    pub fn new(list_at: SocketAddr, installer_at: SocketAddr) -> Self {
        let (body, ready, draining) = (b"[]".to_vec(), Vec::new(), Vec::new());
        Self {
            list_at,
            installer_at,
            index: 1,
            body,
            ready,
            draining,
            told: BTreeSet::new(),
            show: false,
            made: 0,
            newest: 0,
            votes: 0,
            taken: Vec::new(),
        }
    }
}

impl Day<'_> {
    /// The fleet changed: the list tells it after its lag.
    pub(super) fn publish_later(&mut self) {
        let up = || self.pods.iter().filter(|(_, pod)| pod.up);
        let entries = up().map(|(number, pod)| {
            let status = if pod.draining { "critical" } else { "passing" };
            json!({
                "Node": {"Node": format!("node-{}", self.script.machine_of(pod.place.0)), "Datacenter": self.script.fleet.zones[pod.zone]},
                "Service": {
                    "ID": format!("{SERVICE}-{}", number.0),
                    "Service": SERVICE,
                    "Address": pod.address.ip().to_string(),
                    "Port": pod.address.port(),
                    "Meta": {
                        "build": pod.build.to_string(),
                        "started": format!("{:.3}", pod.started),
                        "cell": pod.cell.to_string(),
                        "kind": "plain",
                    },
                    "Weights": {"Passing": self.script.fleet.cores, "Warning": 1},
                },
                "Checks": [{"CheckID": format!("_service_maintenance:{SERVICE}-{}", number.0), "Status": status}],
            })
        });
        let body = serde_json::to_vec(&entries.collect::<Vec<_>>()).unwrap_or_default();
        let ready = up()
            .filter(|(_, pod)| !pod.draining)
            .map(|(number, _)| *number)
            .collect();
        let draining = up()
            .filter(|(_, pod)| pod.draining)
            .map(|(number, _)| *number)
            .collect();
        self.list.made += 1;
        let published = Published {
            number: self.list.made,
            body,
            ready,
            draining,
        };
        if !self.on {
            return self.publish(published);
        }
        let more = self.present.values().find_map(|trouble| match trouble {
            DayFault::ListDelayed(more) => Some(Duration::from(*more)),
            _ => None,
        });
        let lag = Duration::from(self.script.fleet.list_delay) + more.unwrap_or_default();
        self.wheel
            .schedule(self.now + lag, Due::Publish(Box::new(published)));
    }

    pub(super) fn publish(&mut self, published: Published) {
        let Published {
            number,
            body,
            ready,
            draining,
        } = published;
        if number < self.list.newest {
            return;
        }
        self.list.newest = number;
        (self.list.body, self.list.ready, self.list.draining) = (body, ready, draining);
        self.list.index += 1;
        let waiting = self
            .ends
            .iter()
            .filter(|(_, end)| matches!(end, End::List(link) if link.waits.is_some()));
        let mut waiting: Vec<SocketId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|id| self.tell_list(id));
    }

    pub(super) fn list_read(&mut self, id: SocketId) {
        if self.sockets.has_ended(id) {
            return self.drop_end(id);
        }
        let Some(End::List(link)) = self.ends.get_mut(&id) else {
            return;
        };
        if link.waits.is_some() {
            return;
        }
        let Some(input) = self.sockets.input(id) else {
            return;
        };
        let head = match link.requests.take(input, false) {
            Ok(Some((head, _))) => head,
            Ok(None) => return self.sockets.resume_reading(id),
            Err(_) => return self.drop_end(id),
        };
        link.sidecar = sidecar_of(head.fields.text("user-agent"));
        if link.sidecar.is_some_and(|sidecar| self.is_cut_off(sidecar)) {
            return;
        }
        if !head
            .target
            .starts_with(&format!("/v1/health/service/{SERVICE}?"))
        {
            return self.plain(id, 404, b"");
        }
        let query = |name: &str| {
            let rest = head
                .target
                .split(['?', '&'])
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            rest.map(str::to_owned)
        };
        let known = query("index")
            .and_then(|index| index.parse::<u64>().ok())
            .unwrap_or(0);
        let wait = query("wait")
            .and_then(|wait| wait.strip_suffix("ms")?.parse::<u64>().ok())
            .unwrap_or(300_000);
        let Some(End::List(link)) = self.ends.get_mut(&id) else {
            return;
        };
        link.waits = Some(known);
        link.asked += 1;
        if known != self.list.index {
            self.tell_list(id);
        } else {
            let asked = link.asked;
            self.wheel.schedule(
                self.now + Duration::from_millis(wait),
                Due::ListAnswer(id, asked),
            );
        }
    }

    /// A blocking query has waited as long as it may: it is answered with what is.
    pub(super) fn list_wait_over(&mut self, id: SocketId, asked: u64) {
        let waits = matches!(self.ends.get(&id), Some(End::List(link)) if link.waits.is_some() && link.asked == asked);
        if waits {
            self.tell_list(id);
        }
    }

    fn tell_list(&mut self, id: SocketId) {
        let Some(End::List(link)) = self.ends.get_mut(&id) else {
            return;
        };
        let Some(sidecar) = link.sidecar else {
            return self.drop_end(id);
        };
        link.waits = None;
        if self.is_cut_off(sidecar) {
            return;
        }
        let (ready, draining) = (self.list.ready.clone(), self.list.draining.clone());
        if !ready.is_empty() {
            self.list.told.insert(sidecar);
        }
        self.note(Event::EndpointsNotified {
            sidecar,
            ready,
            draining,
        });
        let index = self.list.index.to_string();
        let fields = [
            ("x-consul-index", &index[..]),
            ("content-type", "application/json"),
        ];
        let mut out = BytesMut::new();
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        write_response(
            &mut out,
            200,
            fields,
            Framing::Length(self.list.body.len() as u64),
            true,
        );
        out.extend_from_slice(&self.list.body);
        self.sockets.send(id, &out);
        self.list_read(id);
    }

    fn plain(&mut self, id: SocketId, status: u16, body: &[u8]) {
        let mut out = BytesMut::new();
        write_response(
            &mut out,
            status,
            [].into_iter(),
            Framing::Length(body.len() as u64),
            true,
        );
        out.extend_from_slice(body);
        self.sockets.send(id, &out);
    }

    fn close_service(&mut self, fits: impl Fn(&End) -> bool) {
        let ends = self.ends.iter().filter(|(_, end)| fits(end));
        let mut ends: Vec<SocketId> = ends.map(|(id, _)| *id).collect();
        ends.sort_unstable();
        ends.into_iter().for_each(|id| self.drop_end(id));
    }

    pub(super) fn list_down(&mut self) {
        self.close_service(|end| matches!(end, End::List(_) | End::ListListener));
    }

    pub(super) fn list_up(&mut self) -> Result<(), DayTrouble> {
        let (listener, _) = self.sockets.listen(self.list.list_at)?;
        self.ends.insert(listener, End::ListListener);
        Ok(())
    }

    pub(super) fn installer_down(&mut self) {
        self.close_service(|end| {
            matches!(
                end,
                End::Installer(_) | End::News(_) | End::InstallerListener
            )
        });
    }

    pub(super) fn installer_up(&mut self) -> Result<(), DayTrouble> {
        let (listener, _) = self.sockets.listen(self.list.installer_at)?;
        self.ends.insert(listener, End::InstallerListener);
        Ok(())
    }

    pub(super) fn installer_read(&mut self, id: SocketId) {
        if self.sockets.has_ended(id) {
            return self.drop_end(id);
        }
        let Some(End::Installer(link)) = self.ends.get_mut(&id) else {
            return;
        };
        let Some(input) = self.sockets.input(id) else {
            return;
        };
        let (head, body) = match link.0.take(input, false) {
            Ok(Some(request)) => request,
            Ok(None) => return self.sockets.resume_reading(id),
            Err(_) => return self.drop_end(id),
        };
        let Some(sidecar) = sidecar_of(head.fields.text("user-agent")) else {
            return self.plain(id, 400, b"");
        };
        if self.is_cut_off(sidecar) {
            return;
        }
        match (&head.method[..], &head.target[..]) {
            ("GET", "/v1/stages") => self.open_news(id, sidecar, &head),
            ("POST", "/v1/votes") => self.vote(id, sidecar, &body),
            _ => self.plain(id, 404, b""),
        }
    }

    fn open_news(&mut self, id: SocketId, sidecar: SidecarId, _: &RequestHead) {
        let mut out = BytesMut::new();
        let fields = [(&b"content-type"[..], &b"text/event-stream"[..])];
        write_response(&mut out, 200, fields.into_iter(), Framing::Chunked, true);
        self.sockets.send(id, &out);
        self.ends.insert(id, End::News(NewsLink { sidecar }));
        self.tell_stage(id);
    }

    fn stage_json(&self) -> serde_json::Value {
        let state = self.installer.state();
        let phase = match state.phase {
            Phase::OnTrial => "on_trial",
            Phase::RollingBack => "going_back",
            Phase::Released => "released",
            Phase::RolledBack => "withdrawn",
        };
        let RolloutState {
            number,
            build,
            stage,
            cap,
            ..
        } = state;
        json!({
            "number": number, "build": build, "stage": stage, "phase": phase, "cap": cap
        })
    }

    fn note_stage_told(&mut self, sidecar: SidecarId) {
        let state = self.installer.state();
        self.note_told(sidecar, state);
    }

    fn note_told(
        &mut self,
        sidecar: SidecarId,
        RolloutState {
            number,
            build,
            stage,
            phase,
            cap,
            ..
        }: RolloutState,
    ) {
        self.note(Event::StageNotified {
            sidecar,
            number,
            build,
            stage,
            phase,
            cap,
        });
    }

    fn tell_stage(&mut self, id: SocketId) {
        let Some(End::News(NewsLink { sidecar })) = self.ends.get(&id) else {
            return;
        };
        let sidecar = *sidecar;
        if self.is_cut_off(sidecar) {
            return;
        }
        self.note_stage_told(sidecar);
        let event = format!("event: stage\ndata: {}\n\n", self.stage_json());
        let mut out = BytesMut::new();
        write_chunk(&mut out, event.as_bytes());
        self.sockets.send(id, &out);
    }

    pub(super) fn tell_all(&mut self) {
        let late = self.present.values().find_map(|trouble| match trouble {
            DayFault::StageUpdatesDelayed(late) => Some(Duration::from(*late)),
            _ => None,
        });
        match late {
            // What is told then is how it stands then: news that is older than that is no trouble more.
            Some(late) => drop(self.wheel.schedule(self.now + late, Due::TellNow)),
            None => self.tell_now(),
        }
    }

    pub(super) fn tell_now(&mut self) {
        let news = self
            .ends
            .iter()
            .filter(|(_, end)| matches!(end, End::News(_)));
        let mut news: Vec<SocketId> = news.map(|(id, _)| *id).collect();
        news.sort_unstable();
        news.into_iter().for_each(|id| self.tell_stage(id));
    }

    pub(super) fn tell_all_again(&mut self) {
        self.tell_all();
        let every = super::span(self.script.fleet.stage_update_interval, 2.0)
            .max(Duration::from_millis(100));
        self.wheel.schedule(self.now + every, Due::TellAll);
    }

    fn vote(&mut self, id: SocketId, sidecar: SidecarId, body: &[u8]) {
        let Ok(vote) = serde_json::from_slice::<Vote>(body) else {
            return self.plain(id, 400, b"");
        };
        let verdict = match &vote.verdict[..] {
            "on" => Verdict::Promote,
            "hold" => Verdict::Hold,
            "back" => Verdict::RollBack,
            "withhold" => Verdict::Abstain,
            _ => return self.plain(id, 400, b""),
        };
        self.list.votes += 1;
        if self.is_present(|t| matches!(t, DayFault::VotesRefused)) {
            return self.plain(id, 429, b"");
        }
        let allowance = self.present.values().find_map(|trouble| match trouble {
            DayFault::VotesRateLimited {
                max: most,
                window: within,
            } => Some((*most, Duration::from(*within))),
            _ => None,
        });
        if let Some((most, within)) = allowance {
            let from = self.now.saturating_sub(within);
            self.list.taken.retain(|at| *at > from);
            if self.list.taken.len() >= most {
                return self.plain(id, 429, b"");
            }
            self.list.taken.push(self.now);
        }
        let silent = self.is_present(|t| matches!(t, DayFault::VotesUnanswered));
        if silent && self.list.votes.is_multiple_of(2) {
            return;
        }
        let counted = self
            .installer
            .vote(sidecar, vote.build, vote.stage, verdict, self.now);
        let answer = if counted { "counted" } else { "moot" };
        let (build, stage, verdict) = (vote.build, vote.stage, vote.verdict);
        self.note(Event::Voted {
            sidecar,
            build,
            stage,
            verdict,
            answer: answer.to_owned(),
        });
        if silent {
            return;
        }
        let reply = json!({"answer": answer, "stage": self.stage_json()}).to_string();
        let late = self.present.values().find_map(|trouble| match trouble {
            DayFault::VoteAnswersDelayed(late) => Some(Duration::from(*late)),
            _ => None,
        });
        let answer = LateAnswer {
            id,
            sidecar,
            state: self.installer.state(),
            reply,
        };
        match late {
            Some(late) => drop(
                self.wheel
                    .schedule(self.now + late, Due::VoteAnswer(Box::new(answer))),
            ),
            None => self.answer_vote(answer),
        }
    }

    /// An answer tells the stage as it was when the vote came.
    pub(super) fn answer_vote(
        &mut self,
        LateAnswer {
            id,
            sidecar,
            state,
            reply,
        }: LateAnswer,
    ) {
        // The sidecar may have gone, or wait no more.
        if matches!(self.ends.get(&id), Some(End::Installer(_))) {
            self.note_told(sidecar, state);
            self.plain(id, 200, reply.as_bytes());
        }
    }

    pub(super) fn tick(&mut self) -> Result<(), DayTrouble> {
        self.wheel.schedule(self.now + super::TICK, Due::Tick);
        let still = |t: &DayFault| matches!(t, DayFault::RolloutsDown | DayFault::RolloutsPaused);
        if self.is_present(still) {
            return Ok(());
        }
        let pods = &self.pods;
        let runs = |place, build| {
            pods.values()
                .any(|pod| pod.place == place && pod.build == build && pod.up)
        };
        for step in self.installer.tick(self.now, runs) {
            match step {
                RolloutAction::StartPod { slot: place, build } => {
                    self.start_pod(place, build, true)?
                }
                RolloutAction::DrainOthers { slot: place, build } => {
                    self.drain_others(place, build)
                }
                RolloutAction::NotifyStage => {
                    let state = self.installer.state();
                    self.note(Event::StageChanged {
                        build: state.build,
                        stage: state.stage,
                        phase: state.phase,
                    });
                    self.tell_all();
                }
            }
        }
        Ok(())
    }
}
