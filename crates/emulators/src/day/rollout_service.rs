//! The rollout service: streams stage updates, and accepts the sidecars' votes.

use super::dispatch::{SocketOwner, TimerEvent};
use super::event_loop::{Day, TICK_INTERVAL};
use super::headers::parse_sidecar;
use super::DayError;
use crate::rollout::{RolloutAction, RolloutState, Verdict};
use crate::script::DayFault;
use bytes::BytesMut;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http::write_response;
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{Event, Phase, SidecarId};
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest call that is accepted; votes are shorter.
const MAX_CALL_BYTES: usize = 16 * 1024;
/// How often stage updates are repeated if the script does not state an interval.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// The shortest interval at which stage updates are repeated.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The address of the service, and its state of votes.
pub(super) struct RolloutService {
    address: SocketAddr,
    /// The number of votes received so far.
    received_votes: u64,
    /// The times of the votes accepted within the window of the rate limit.
    accepted_at: Vec<Duration>,
}

impl RolloutService {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            received_votes: 0,
            accepted_at: Vec::new(),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection on which a call may arrive.
pub(super) struct RolloutCall(RequestReader);

impl Default for RolloutCall {
    fn default() -> Self {
        Self(RequestReader::new(MAX_CALL_BYTES))
    }
}

/// A connection on which stage updates are sent.
pub(super) struct StageStream {
    sidecar: SidecarId,
}

/// The answer to a vote, which may be delayed.
pub(super) struct VoteAnswer {
    socket: SocketId,
    sidecar: SidecarId,
    /// The state when the vote arrived.
    state: RolloutState,
    body: String,
}

/// A vote as received.
#[derive(Deserialize)]
struct Vote {
    build: u16,
    stage: u8,
    verdict: String,
}

impl Vote {
    fn parsed_verdict(&self) -> Option<Verdict> {
        match &self.verdict[..] {
            "on" => Some(Verdict::Promote),
            "hold" => Some(Verdict::Hold),
            "back" => Some(Verdict::RollBack),
            "withhold" => Some(Verdict::Abstain),
            _ => None,
        }
    }
}

impl Day<'_> {
    pub(super) fn stop_rollout_service(&mut self) {
        self.close_all(|owner| {
            matches!(
                owner,
                SocketOwner::Rollout(_)
                    | SocketOwner::StageStream(_)
                    | SocketOwner::RolloutListener
            )
        });
    }

    pub(super) fn start_rollout_service(&mut self) -> Result<(), DayError> {
        let (listener, _) = self.sockets.listen(self.rollout_service.address)?;
        self.owners.insert(listener, SocketOwner::RolloutListener);
        Ok(())
    }

    pub(super) fn read_rollout_call(&mut self, socket: SocketId) {
        if self.sockets.has_ended(socket) {
            return self.close(socket);
        }
        let Some(SocketOwner::Rollout(call)) = self.owners.get_mut(&socket) else {
            return;
        };
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        let (head, body) = match call.0.take(input, false) {
            Ok(Some(request)) => request,
            Ok(None) => return self.sockets.resume_reading(socket),
            Err(_) => return self.close(socket),
        };
        let Some(sidecar) = parse_sidecar(head.fields.text("user-agent")) else {
            return self.send_response(socket, 400, b"");
        };
        if self.is_partitioned_from_services(sidecar) {
            return;
        }
        match (&head.method[..], &head.target[..]) {
            ("GET", "/v1/stages") => self.open_stage_stream(socket, sidecar),
            ("POST", "/v1/votes") => self.handle_vote(socket, sidecar, &body),
            _ => self.send_response(socket, 404, b""),
        }
    }

    fn open_stage_stream(&mut self, socket: SocketId, sidecar: SidecarId) {
        let fields = [(&b"content-type"[..], &b"text/event-stream"[..])];
        let mut out = BytesMut::new();
        write_response(&mut out, 200, fields.into_iter(), Framing::Chunked, true);
        self.sockets.send(socket, &out);
        let stream = SocketOwner::StageStream(StageStream { sidecar });
        self.owners.insert(socket, stream);
        self.send_stage(socket);
    }

    fn stage_json(&self) -> Value {
        let state = self.rollout.state();
        let phase = match state.phase {
            Phase::OnTrial => "on_trial",
            Phase::RollingBack => "going_back",
            Phase::Released => "released",
            Phase::RolledBack => "withdrawn",
        };
        json!({
            "number": state.number,
            "build": state.build,
            "stage": state.stage,
            "phase": phase,
            "cap": state.cap,
        })
    }

    fn record_stage_notified(&mut self, sidecar: SidecarId, state: RolloutState) {
        self.record(Event::StageNotified {
            sidecar,
            number: state.number,
            build: state.build,
            stage: state.stage,
            phase: state.phase,
            cap: state.cap,
        });
    }

    fn send_stage(&mut self, socket: SocketId) {
        let Some(SocketOwner::StageStream(stream)) = self.owners.get(&socket) else {
            return;
        };
        let sidecar = stream.sidecar;
        if self.is_partitioned_from_services(sidecar) {
            return;
        }
        self.record_stage_notified(sidecar, self.rollout.state());
        let event = format!("event: stage\ndata: {}\n\n", self.stage_json());
        let mut out = BytesMut::new();
        write_chunk(&mut out, event.as_bytes());
        self.sockets.send(socket, &out);
    }

    fn notify_stage_change(&mut self) {
        let delay = self.find_fault(|fault| match fault {
            DayFault::StageUpdatesDelayed(delay) => Some(Duration::from(*delay)),
            _ => None,
        });
        match delay {
            // The delayed update carries the state at the time of sending: a stale one would be another kind of fault.
            Some(delay) => {
                let at = self.now + delay;
                self.timers.schedule(at, TimerEvent::SendStageUpdates);
            }
            None => self.send_stage_updates(),
        }
    }

    pub(super) fn send_stage_updates(&mut self) {
        for socket in self.sockets_where(|owner| matches!(owner, SocketOwner::StageStream(_))) {
            self.send_stage(socket);
        }
    }

    pub(super) fn repeat_stage_updates(&mut self) {
        self.notify_stage_change();
        let interval = self.script.fleet.stage_update_interval;
        let interval = interval.map_or(UPDATE_INTERVAL, Duration::from);
        let next = self.now + interval.max(MIN_UPDATE_INTERVAL);
        self.timers.schedule(next, TimerEvent::RepeatStageUpdates);
    }

    fn handle_vote(&mut self, socket: SocketId, sidecar: SidecarId, body: &[u8]) {
        let Ok(vote) = serde_json::from_slice::<Vote>(body) else {
            return self.send_response(socket, 400, b"");
        };
        let Some(verdict) = vote.parsed_verdict() else {
            return self.send_response(socket, 400, b"");
        };
        self.rollout_service.received_votes += 1;
        if self.refuses_vote() {
            return self.send_response(socket, 429, b"");
        }
        let unanswered = self.has_fault(|fault| matches!(fault, DayFault::VotesUnanswered));
        // Every other one of the unanswered votes is lost.
        if unanswered && self.rollout_service.received_votes.is_multiple_of(2) {
            return;
        }
        let counted = self
            .rollout
            .vote(sidecar, vote.build, vote.stage, verdict, self.now);
        let answer = if counted { "counted" } else { "moot" };
        self.record(Event::Voted {
            sidecar,
            build: vote.build,
            stage: vote.stage,
            verdict: vote.verdict,
            answer: answer.to_owned(),
        });
        if unanswered {
            return;
        }
        let answer = VoteAnswer {
            socket,
            sidecar,
            state: self.rollout.state(),
            body: json!({"answer": answer, "stage": self.stage_json()}).to_string(),
        };
        self.schedule_vote_answer(answer);
    }

    /// Whether a vote exceeds the rate limit; an accepted vote counts towards it.
    fn refuses_vote(&mut self) -> bool {
        if self.has_fault(|fault| matches!(fault, DayFault::VotesRefused)) {
            return true;
        }
        let limit = self.find_fault(|fault| match fault {
            DayFault::VotesRateLimited { max, window } => Some((*max, Duration::from(*window))),
            _ => None,
        });
        let Some((max, window)) = limit else {
            return false;
        };
        let from = self.now.saturating_sub(window);
        let accepted_at = &mut self.rollout_service.accepted_at;
        accepted_at.retain(|at| *at > from);
        if accepted_at.len() >= max {
            return true;
        }
        accepted_at.push(self.now);
        false
    }

    fn schedule_vote_answer(&mut self, answer: VoteAnswer) {
        let delay = self.find_fault(|fault| match fault {
            DayFault::VoteAnswersDelayed(delay) => Some(Duration::from(*delay)),
            _ => None,
        });
        match delay {
            Some(delay) => {
                let at = self.now + delay;
                self.timers
                    .schedule(at, TimerEvent::AnswerVote(Box::new(answer)));
            }
            None => self.answer_vote(answer),
        }
    }

    /// Answers a vote with the stage at the time of its arrival.
    pub(super) fn answer_vote(&mut self, answer: VoteAnswer) {
        let socket = answer.socket;
        // The sidecar may have closed the connection or given up waiting.
        if matches!(self.owners.get(&socket), Some(SocketOwner::Rollout(_))) {
            self.record_stage_notified(answer.sidecar, answer.state);
            self.send_response(socket, 200, answer.body.as_bytes());
        }
    }

    pub(super) fn tick_rollout(&mut self) -> Result<(), DayError> {
        let next = self.now + TICK_INTERVAL;
        self.timers.schedule(next, TimerEvent::Tick);
        let paused =
            |fault: &DayFault| matches!(fault, DayFault::RolloutsDown | DayFault::RolloutsPaused);
        if self.has_fault(paused) {
            return Ok(());
        }
        let pods = &self.pods;
        let is_running = |slot, build| {
            pods.values()
                .any(|pod| pod.slot == slot && pod.build == build && pod.running)
        };
        for action in self.rollout.tick(self.now, is_running) {
            match action {
                RolloutAction::StartPod { slot, build } => self.start_pod(slot, build, true)?,
                RolloutAction::DrainOtherBuilds { slot, build } => {
                    self.drain_other_builds(slot, build)
                }
                RolloutAction::NotifySidecars => {
                    let state = self.rollout.state();
                    self.record(Event::StageChanged {
                        build: state.build,
                        stage: state.stage,
                        phase: state.phase,
                    });
                    self.notify_stage_change();
                }
            }
        }
        Ok(())
    }
}
