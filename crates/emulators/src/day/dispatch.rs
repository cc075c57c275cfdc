//! Dispatches socket events and expired timers to the emulators that own them.

use super::client_connections::ClientConnection;
use super::endpoint_service::{EndpointWatch, PublishedList};
use super::event_loop::{Day, PROGRESS_INTERVAL};
use super::pod_requests::PodConnection;
use super::rollout_service::{RolloutCall, StageStream, VoteAnswer};
use super::DayError;
use limewing_net::sockets::{SocketEvent, SocketId};
use limewing_rule_checker::record::{PodId, RequestId, SidecarId};

/// The emulator that owns a socket, with the state of the connection.
pub(super) enum SocketOwner {
    PodListener(PodId),
    EndpointListener,
    RolloutListener,
    Pod(Box<PodConnection>),
    EndpointWatch(Box<EndpointWatch>),
    Rollout(Box<RolloutCall>),
    StageStream(StageStream),
    Client(Box<ClientConnection>),
}

/// What an expired timer triggers. Faults, offers and steps are identified by their index in the script.
pub(super) enum TimerEvent {
    NextRequest,
    NextFailingRequest(usize),
    Retry(RequestId),
    ClientTimeout(SocketId),
    ClientDisconnect(SocketId),
    FinishSlowRequest(SocketId),
    ReportWrongAnswer(SidecarId, String),
    RequestDone(PodId, u64),
    PodStarted(PodId),
    PodExit(PodId),
    PublishList(Box<PublishedList>),
    WatchTimeout(SocketId, u64),
    Tick,
    RepeatStageUpdates,
    SendStageUpdates,
    ConnectionUsable(SocketId),
    FinishStream(SocketId),
    AnswerVote(Box<VoteAnswer>),
    OfferBuild(usize),
    FaultBegins(usize),
    FaultEnds(usize),
    MaintenanceStep(usize),
    MaintenanceBegins(u64),
    MaintenanceEnds(u64),
    ShowProgress,
    EndOfDay,
}

impl Day<'_> {
    pub(super) fn handle_socket_event(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Accepted {
                listener, socket, ..
            } => self.handle_accept(listener, socket),
            SocketEvent::Connected(socket) => self.client_connected(socket),
            SocketEvent::Readable(socket) => match self.owners.get(&socket) {
                Some(SocketOwner::Pod(_)) => self.read_pod_request(socket),
                Some(SocketOwner::EndpointWatch(_)) => self.read_endpoint_query(socket),
                Some(SocketOwner::Rollout(_)) => self.read_rollout_call(socket),
                Some(SocketOwner::StageStream(_)) if self.sockets.has_ended(socket) => {
                    self.close(socket);
                }
                Some(SocketOwner::Client(_)) => self.read_answer(socket),
                _ => {}
            },
            SocketEvent::ConnectionLost {
                socket, written, ..
            } => match self.owners.get(&socket) {
                Some(SocketOwner::Client(_)) => self.client_connection_lost(socket, written),
                _ => {
                    self.owners.remove(&socket);
                }
            },
            SocketEvent::Flushed(_)
            | SocketEvent::AcceptFailed { .. }
            | SocketEvent::Datagram { .. }
            | SocketEvent::Signal(_) => {}
        }
    }

    fn handle_accept(&mut self, listener: SocketId, socket: SocketId) {
        let owner = match self.owners.get(&listener) {
            Some(SocketOwner::PodListener(pod)) => match self.accept_at_pod(*pod, socket) {
                Some(connection) => SocketOwner::Pod(Box::new(connection)),
                None => {
                    self.sockets.close(socket);
                    return;
                }
            },
            Some(SocketOwner::EndpointListener) => SocketOwner::EndpointWatch(Box::default()),
            Some(SocketOwner::RolloutListener) => SocketOwner::Rollout(Box::default()),
            _ => return,
        };
        self.owners.insert(socket, owner);
    }

    pub(super) fn handle_timer_event(&mut self, event: TimerEvent) -> Result<(), DayError> {
        match event {
            TimerEvent::NextRequest => self.next_request(),
            TimerEvent::NextFailingRequest(fault) => self.next_failing_request(fault),
            TimerEvent::Retry(request) => self.send_attempt(request),
            TimerEvent::ClientTimeout(socket) => self.client_timed_out(socket),
            TimerEvent::ClientDisconnect(socket) => self.client_disconnected(socket),
            TimerEvent::FinishSlowRequest(socket) => self.finish_slow_request(socket),
            TimerEvent::ReportWrongAnswer(sidecar, attempt_id) => {
                self.report_wrong_answer(sidecar, &attempt_id);
            }
            TimerEvent::RequestDone(pod, request) => self.request_done(pod, request),
            TimerEvent::PodStarted(pod) => self.pod_started(pod),
            TimerEvent::PodExit(pod) => self.end_pod(pod),
            TimerEvent::PublishList(list) => self.publish(*list),
            TimerEvent::WatchTimeout(socket, query) => self.watch_timed_out(socket, query),
            TimerEvent::Tick => self.tick()?,
            TimerEvent::RepeatStageUpdates => self.repeat_stage_updates(),
            TimerEvent::SendStageUpdates => self.send_stage_updates(),
            TimerEvent::ConnectionUsable(socket) => self.connection_usable(socket),
            TimerEvent::FinishStream(socket) => self.finish_stream(socket),
            TimerEvent::AnswerVote(answer) => self.answer_vote(*answer),
            TimerEvent::OfferBuild(index) => {
                let build = self.script.offers[index].build;
                self.rollout.offer(build, self.now);
            }
            TimerEvent::FaultBegins(index) => self.fault_begins(index),
            TimerEvent::FaultEnds(index) => self.fault_ends(index)?,
            TimerEvent::MaintenanceStep(index) => self.maintenance_step(index),
            TimerEvent::MaintenanceBegins(grant) => self.maintenance_begins(grant),
            TimerEvent::MaintenanceEnds(grant) => self.maintenance_ends(grant)?,
            TimerEvent::ShowProgress => {
                self.show_progress = true;
                let next = self.now + PROGRESS_INTERVAL;
                self.timers.schedule(next, TimerEvent::ShowProgress);
            }
            TimerEvent::EndOfDay => self.finished = true,
        }
        Ok(())
    }
}
