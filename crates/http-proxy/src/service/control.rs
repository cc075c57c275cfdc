//! The two services a sidecar asks: the node list by blocking queries, and the installer's news and votes.
//! Either may be absent for long: the sidecar goes on with what it knows and asks again.

use super::{ConnectionRole, Service, TimerEvent};
use crate::endpoint_list;
use crate::stage_updates::{StageEventReader, StageMessage, StageUpdateFilter};
use crate::votes::{parse_vote_response, VoteMessage};
use bytes::BytesMut;
use limewing_coordination::Service as Asked;
use limewing_decision::interface::{
    BuildId, EndpointUpdate, Event, StageIndex, StageUpdate, Verdict, VoteAnswer, WatchLoss,
};
use limewing_net::body::{BodyReader, Framing};
use limewing_net::http::{self, HeadLimits};
use limewing_net::http_call::{CallProgress, HttpCall};
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::clock::wall_clock_now;
use std::time::Duration;

/// The longest list that is read, in bytes.
const MOST_LIST: usize = 16 * 1024 * 1024;
const MOST_VOTE: usize = 16 * 1024;
/// Queries are no closer together than this, whatever the service answers.
const LIST_EVERY: Duration = Duration::from_millis(20);

pub struct EndpointListConnection {
    answers: ResponseReader,
    timer: TimerKey,
}

pub struct StageStreamConnection {
    body: Option<BodyReader>,
    events: StageEventReader,
    quiet: TimerKey,
}

pub(super) fn accept_stage_message(
    latest: &mut StageUpdateFilter,
    message: StageMessage,
) -> Option<StageUpdate> {
    let news = latest.accept(message);
    if news.is_none() {
        tracing::warn!(number = message.number, "old stage news left out");
    }
    news
}

impl Service {
    fn request_head(&self, method: &str, target: &str, host: String, framing: Framing) -> BytesMut {
        let agent = format!("limewing ({})", self.terms.name);
        let fields = [("host", &host[..]), ("user-agent", &agent)];
        let mut out = BytesMut::new();
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        http::write_request(&mut out, method, target, fields, framing);
        out
    }

    /// When a lost service is to be thought of again, if it is others' turn to ask it now.
    fn deferred_poll_time(&self, service: Asked) -> Option<Duration> {
        let at = self
            .membership
            .as_ref()
            .map(|membership| membership.next_poll(self.now, service));
        at.filter(|at| *at > self.now)
    }

    fn record_service_state(&mut self, service: Asked, answers: bool) {
        let now = self.now;
        self.membership
            .iter_mut()
            .for_each(|membership| membership.record_poll(now, service, answers));
    }

    pub(super) fn poll_endpoint_list(&mut self) {
        if self.list_link.is_some() || self.shutdown.has_begun() {
            return;
        }
        if let Some(at) = self.deferred_poll_time(Asked::EndpointList) {
            self.timers.schedule(at, TimerEvent::PollEndpointList);
            return;
        }
        let Ok(link) = self.sockets.connect(self.terms.list.address) else {
            return self.endpoint_list_failed("no connection");
        };
        let timer = self.timers.schedule(
            self.now + self.terms.connect_timeout,
            TimerEvent::EndpointListTimeout(link),
        );
        let answers = ResponseReader::new(MOST_LIST);
        self.connections.insert(
            link,
            ConnectionRole::EndpointList(Box::new(EndpointListConnection { answers, timer })),
        );
        self.list_link = Some(link);
    }

    pub(super) fn send_endpoint_list_query(&mut self, link: SocketId) {
        let (list, asked) = (&self.terms.list, self.list_index);
        let wait = Duration::from(list.wait);
        // The service adds up to a sixteenth of the wait, so that not all answers come at once.
        let patience = wait + wait / 16 + Duration::from_secs(2);
        let ms = wait.as_millis();
        let target = format!(
            "/v1/health/service/{}?index={asked}&wait={ms}ms",
            list.service
        );
        let request =
            self.request_head("GET", &target, list.address.to_string(), Framing::Length(0));
        let fresh = self
            .timers
            .schedule(self.now + patience, TimerEvent::EndpointListTimeout(link));
        if let Some(ConnectionRole::EndpointList(of)) = self.connections.get_mut(&link) {
            self.timers.cancel(std::mem::replace(&mut of.timer, fresh));
        }
        self.list_asked = self.now;
        self.sockets.send(link, &request);
    }

    pub(super) fn read_endpoint_list(&mut self, link: SocketId) {
        let ended = self.sockets.has_ended(link);
        let Some(ConnectionRole::EndpointList(of)) = self.connections.get_mut(&link) else {
            return;
        };
        let Some(input) = self.sockets.input(link) else {
            return;
        };
        let (head, body) = match of.answers.take(input, ended) {
            Ok(Some(answer)) => answer,
            Ok(None) if !ended => return self.sockets.resume_reading(link),
            _ => return self.endpoint_list_failed("half an answer, or one that can't be read"),
        };
        let index = head
            .fields
            .text("x-consul-index")
            .and_then(|text| text.parse::<u64>().ok());
        let Some(index) = index.filter(|_| head.status == 200) else {
            return self.endpoint_list_failed("a status other than 200, or no X-Consul-Index");
        };
        self.record_service_state(Asked::EndpointList, true);
        // An index that goes back means that the service began anew.
        let changed = index != self.list_index;
        self.list_index = if index < self.list_index { 0 } else { index };
        if changed {
            match endpoint_list::parse_endpoint_list(&body) {
                Ok(list) => {
                    list.rejected.iter().for_each(
                        |trouble| tracing::warn!(%trouble, "an entry of the list is not used"),
                    );
                    self.apply_endpoint_list(list.endpoints);
                }
                Err(trouble) => {
                    tracing::warn!(%trouble, "the list can't be used");
                    // Asked for whole again: the next answer may be the same list, and well.
                    self.list_index = 0;
                    return self.endpoint_list_failed("an answer that can't be used");
                }
            }
        }
        if ended || !head.keep_alive {
            self.close_endpoint_list_connection();
            self.timers.schedule(
                (self.list_asked + LIST_EVERY).max(self.now),
                TimerEvent::PollEndpointList,
            );
        } else if self.now < self.list_asked + LIST_EVERY {
            self.close_endpoint_list_connection();
            self.timers
                .schedule(self.list_asked + LIST_EVERY, TimerEvent::PollEndpointList);
        } else {
            self.send_endpoint_list_query(link);
        }
    }

    fn apply_endpoint_list(&mut self, rows: Vec<endpoint_list::EndpointRecord>) {
        self.listed = rows;
        let rows = self.told(self.listed.clone());
        let today = wall_clock_now();
        // The first one tells what of the remembered list is gone; later ones only what changed.
        let news = match std::mem::replace(&mut self.list_known, true) {
            false => EndpointUpdate::Snapshot(self.directory.snapshot(&rows, self.now, today)),
            true => EndpointUpdate::Delta(self.directory.delta(&self.rows, &rows, self.now, today)),
        };
        self.events.push(Event::Endpoints(news));
        if rows != self.rows {
            self.rows = rows;
            tracing::info!(
                pods = self.rows.len(),
                index = self.list_index,
                "a new list"
            );
            self.keeper
                .iter()
                .for_each(|keeper| keeper.store(self.rows.clone()));
        }
    }

    fn close_endpoint_list_connection(&mut self) {
        let Some(link) = self.list_link.take() else {
            return;
        };
        if let Some(ConnectionRole::EndpointList(of)) = self.connections.remove(&link) {
            self.timers.cancel(of.timer);
        }
        self.sockets.close(link);
    }

    pub(super) fn endpoint_list_failed(&mut self, why: &str) {
        tracing::warn!(why, "the node list was not had; the old one stays");
        self.record_service_state(Asked::EndpointList, false);
        self.close_endpoint_list_connection();
        self.events.push(Event::Endpoints(EndpointUpdate::WatchLost(
            WatchLoss::default(),
        )));
    }

    pub(super) fn open_stage_stream(&mut self) {
        let Some(installer) = self
            .terms
            .installer
            .as_ref()
            .filter(|_| !self.shutdown.has_begun())
        else {
            return;
        };
        let (patience, address) = (
            self.now + Duration::from(installer.quiet_at_most),
            installer.address,
        );
        if let Some(at) = self.deferred_poll_time(Asked::Installer) {
            self.timers.schedule(at, TimerEvent::OpenStageStream);
            return;
        }
        let Ok(link) = self.sockets.connect(address) else {
            return self.retry_stage_stream("no connection");
        };
        let quiet = self
            .timers
            .schedule(patience, TimerEvent::StageStreamTimeout(link));
        let of = StageStreamConnection {
            body: None,
            events: StageEventReader::default(),
            quiet,
        };
        self.connections
            .insert(link, ConnectionRole::StageStream(Box::new(of)));
    }

    pub(super) fn stage_stream_connected(&mut self, link: SocketId) {
        let Some(installer) = &self.terms.installer else {
            return;
        };
        let host = installer.address.to_string();
        let request = self.request_head("GET", "/v1/stages", host, Framing::Length(0));
        self.sockets.send(link, &request);
    }

    pub(super) fn read_stage_stream(&mut self, link: SocketId) {
        let Some(installer) = &self.terms.installer else {
            return;
        };
        let patience = self.now + Duration::from(installer.quiet_at_most);
        let ended = self.sockets.has_ended(link);
        let Some(ConnectionRole::StageStream(of)) = self.connections.get_mut(&link) else {
            return;
        };
        let fresh = self
            .timers
            .schedule(patience, TimerEvent::StageStreamTimeout(link));
        self.timers.cancel(std::mem::replace(&mut of.quiet, fresh));
        let Some(input) = self.sockets.input(link) else {
            return;
        };
        if of.body.is_none() {
            match http::parse_response(input, false, HeadLimits::default()) {
                Ok(Some(head)) if head.status == 200 => {
                    of.body = Some(BodyReader::new(head.framing))
                }
                Ok(None) if !ended => return,
                _ => return self.stage_stream_lost(link, "no stream of events"),
            }
        }
        let Some(body) = &mut of.body else { return };
        loop {
            let news = match body.next(input) {
                Ok(Some(piece)) => of.events.read(&piece).map_err(|error| error.to_string()),
                Ok(None) => break,
                Err(why) => Err(why.to_string()),
            };
            match news {
                Ok(news) => {
                    if !news.is_empty() {
                        self.stage_backoff.reset();
                        let now = self.now;
                        let membership = self.membership.as_mut();
                        membership.into_iter().for_each(|membership| {
                            membership.record_poll(now, Asked::Installer, true)
                        });
                    }
                    for message in news {
                        let Some(news) = accept_stage_message(&mut self.latest, message) else {
                            continue;
                        };
                        self.replication.iter_mut().for_each(|replication| {
                            replication.stage_announced(self.now, &message)
                        });
                        self.events.push(Event::Stage {
                            update: Some(news),
                            vote_answer: None,
                        });
                    }
                }
                Err(why) => return self.stage_stream_lost(link, &why),
            }
        }
        if ended || body.ended() {
            return self.stage_stream_lost(link, "the stream ended");
        }
        self.sockets.resume_reading(link);
    }

    pub(super) fn stage_stream_timed_out(&mut self, link: SocketId) {
        self.stage_stream_lost(link, "the stream says nothing");
    }

    pub(super) fn stage_stream_lost(&mut self, link: SocketId, why: &str) {
        let Some(ConnectionRole::StageStream(of)) = self.connections.remove(&link) else {
            return;
        };
        self.timers.cancel(of.quiet);
        self.sockets.close(link);
        self.retry_stage_stream(why);
    }

    fn retry_stage_stream(&mut self, why: &str) {
        self.record_service_state(Asked::Installer, false);
        tracing::warn!(why, "no stage news; asked for again");
        let wait = self.stage_backoff.next_delay();
        self.timers
            .schedule(self.now + wait, TimerEvent::OpenStageStream);
    }

    pub(super) fn send_vote(&mut self, verdict: Verdict, build: BuildId, stage: StageIndex) {
        tracing::info!(?verdict, build = build.0, stage = stage.0, "votes");
        let send_vote = VoteMessage::new(&self.terms.name, verdict, build, stage);
        let link = self
            .terms
            .installer
            .as_ref()
            .map(|installer| self.sockets.connect(installer.address));
        let (Some(Ok(link)), Some(installer)) = (link, &self.terms.installer) else {
            self.events.push(Event::Stage {
                update: None,
                vote_answer: Some(VoteAnswer::Failed),
            });
            return;
        };
        let body = serde_json::to_vec(&send_vote).unwrap_or_default();
        let host = installer.address.to_string();
        let mut request = self.request_head(
            "POST",
            "/v1/votes",
            host,
            Framing::Length(body.len() as u64),
        );
        request.extend_from_slice(&body);
        let timer = self.timers.schedule(
            self.now + self.terms.vote_answer_within,
            TimerEvent::VoteTimeout(link),
        );
        self.connections.insert(
            link,
            ConnectionRole::Vote(Box::new(HttpCall::new(request, MOST_VOTE, timer))),
        );
    }

    pub(super) fn vote_connected(&mut self, link: SocketId) {
        if let Some(ConnectionRole::Vote(call)) = self.connections.get_mut(&link) {
            call.on_connected(link, &mut self.sockets);
        }
    }

    pub(super) fn read_vote(&mut self, link: SocketId) {
        let Some(ConnectionRole::Vote(call)) = self.connections.get_mut(&link) else {
            return;
        };
        match call.on_readable(link, &mut self.sockets) {
            CallProgress::Pending => {}
            CallProgress::Complete(head, body) => {
                let reply = parse_vote_response(head.status, &body);
                self.vote_completed(link, reply.answer, reply.state);
            }
            CallProgress::Failed => self.vote_completed(link, VoteAnswer::Unanswered, None),
        }
    }

    pub(super) fn vote_completed(
        &mut self,
        link: SocketId,
        answer: VoteAnswer,
        news: Option<StageMessage>,
    ) {
        let Some(ConnectionRole::Vote(of)) = self.connections.remove(&link) else {
            return;
        };
        self.timers.cancel(of.timer);
        self.sockets.close(link);
        tracing::debug!(?answer, "a vote was answered");
        let now = news.and_then(|message| accept_stage_message(&mut self.latest, message));
        if let (Some(message), Some(_), Some(replication)) = (news, now, &mut self.replication) {
            replication.stage_announced(self.now, &message);
        }
        self.events.push(Event::Stage {
            update: now,
            vote_answer: Some(answer),
        });
    }
}
