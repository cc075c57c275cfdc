//! Votes on the build on trial, sent as requests to the rollout service.

use crate::service::{ConnectionRole, Service, TimerEvent};
use crate::stage_updates::StageMessage;
use crate::votes::{parse_vote_response, VoteMessage};
use limewing_decision::interface::{BuildId, Event, StageIndex, Verdict, VoteAnswer};
use limewing_net::body::Framing;
use limewing_net::sockets::SocketId;
use limewing_proxy_core::vote_call::{VoteCall, VoteReply};

/// Path for votes on the rollout service.
const VOTES_PATH: &str = "/v1/votes";

impl Service {
    /// Opens a connection to send a vote.
    pub(in crate::service) fn send_vote(
        &mut self,
        verdict: Verdict,
        build: BuildId,
        stage: StageIndex,
    ) {
        tracing::info!(?verdict, build = build.0, stage = stage.0, "vote sent");
        let Some(service) = &self.settings.rollout_service else {
            return self.vote_failed();
        };
        let Ok(socket) = self.sockets.connect(service.address) else {
            return self.vote_failed();
        };
        let message = VoteMessage::new(&self.settings.name, verdict, build, stage);
        let body = serde_json::to_vec(&message).unwrap_or_default();
        let framing = Framing::Length(body.len() as u64);
        let mut request = self.control_request("POST", VOTES_PATH, service.address, framing);
        request.extend_from_slice(&body);
        let timer = self.timers.schedule(
            self.now + self.settings.vote_timeout,
            TimerEvent::VoteTimeout(socket),
        );
        let call = VoteCall::new(request, timer);
        self.connections
            .insert(socket, ConnectionRole::Vote(Box::new(call)));
    }

    fn vote_failed(&mut self) {
        self.events.push(Event::Stage {
            update: None,
            vote_answer: Some(VoteAnswer::Failed),
        });
    }

    /// Sends the vote on an established connection.
    pub(in crate::service) fn vote_connected(&mut self, socket: SocketId) {
        if let Some(ConnectionRole::Vote(call)) = self.connections.get_mut(&socket) {
            call.send(socket, &mut self.sockets);
        }
    }

    /// Reads the reply to a vote.
    pub(in crate::service) fn read_vote(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Vote(call)) = self.connections.get_mut(&socket) else {
            return;
        };
        if let Some(reply) = call.read_reply(socket, &mut self.sockets, parse_vote_response) {
            self.vote_completed(socket, reply);
        }
    }

    /// Reports the outcome of a vote to the decision engine, with the rollout state if the reply contains it.
    pub(in crate::service) fn vote_completed(
        &mut self,
        socket: SocketId,
        reply: VoteReply<StageMessage>,
    ) {
        let Some(ConnectionRole::Vote(call)) = self.connections.remove(&socket) else {
            return;
        };
        call.close(socket, &mut self.sockets, &mut self.timers);
        let answer = reply.answer;
        tracing::debug!(?answer, "vote answered");
        let mut update = None;
        if let Some(message) = reply.state {
            update = self.stages.accept(message, None);
            if update.is_some() {
                self.peers.stage_announced(self.now, &message);
            }
        }
        self.events.push(Event::Stage {
            update,
            vote_answer: Some(answer),
        });
    }
}
