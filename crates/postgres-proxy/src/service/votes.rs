//! Votes on the build on trial; each one is a call to the rollout service.

use super::http_request::encode_request;
use super::{ConnectionRole, Service, TimerEvent};
use crate::rollout_messages::{encode_vote, parse_vote_reply};
use crate::stage_updates::RolloutState;
use limewing_decision::interface::{BuildId, Event, StageIndex, Verdict, VoteAnswer};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::vote_call::{VoteCall, VoteReply};

impl Service {
    pub(super) fn send_vote(&mut self, verdict: Verdict, build: BuildId, stage: StageIndex) {
        tracing::info!(?verdict, build = build.0, stage = stage.0, "vote sent");
        let Some(address) = self.services.rollouts else {
            return self.report_vote_answer(VoteAnswer::Failed);
        };
        let Ok(socket) = self.sockets.connect(address) else {
            return self.report_vote_answer(VoteAnswer::Failed);
        };
        let body = encode_vote(verdict, build, stage);
        let request = encode_request("POST", "/v1/votes", &address.to_string(), &body);
        let deadline = self.now + self.settings.vote_timeout;
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::VoteTimeout(socket));
        let vote = VoteCall::new(request, timer);
        self.connections
            .insert(socket, ConnectionRole::Vote(Box::new(vote)));
    }

    pub(super) fn send_vote_request(&mut self, socket: SocketId) {
        if let Some(ConnectionRole::Vote(vote)) = self.connections.get_mut(&socket) {
            vote.send(socket, &mut self.sockets);
        }
    }

    pub(super) fn read_vote_reply(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Vote(vote)) = self.connections.get_mut(&socket) else {
            return;
        };
        if let Some(reply) = vote.read_reply(socket, &mut self.sockets, parse_vote_reply) {
            self.finish_vote(socket, reply);
        }
    }

    pub(super) fn finish_vote(&mut self, socket: SocketId, reply: VoteReply<RolloutState>) {
        let Some(ConnectionRole::Vote(vote)) = self.connections.remove(&socket) else {
            return;
        };
        vote.close(socket, &mut self.sockets, &mut self.timers);
        let VoteReply { answer, state } = reply;
        tracing::info!(?answer, "vote answered");
        match state {
            Some(state) => self.apply_stage_update(state.to_update(None), Some(answer)),
            None => self.report_vote_answer(answer),
        }
    }

    fn report_vote_answer(&mut self, answer: VoteAnswer) {
        self.events.push(Event::Stage {
            update: None,
            vote_answer: Some(answer),
        });
    }
}
