//! Watches rollout stages through a stream of server-sent events.

use crate::http_status;
use crate::service::{ConnectionRole, Service, TimerEvent};
use crate::stage_updates::{StageEventReader, StageMessage, StageStreamError};
use limewing_coordination::Service as ControlService;
use limewing_decision::interface::{Event, StageStreamId, StageUpdate};
use limewing_decision::LatestStage;
use limewing_net::body::{BodyReader, Framing};
use limewing_net::http::{self, HeadLimits, HttpError};
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::backoff::Backoff;
use std::time::Duration;

/// Path of the stream on the rollout service.
const STAGES_PATH: &str = "/v1/stages";

/// The connection of the stage stream.
pub(in crate::service) struct StageStreamConnection {
    id: StageStreamId,
    /// Reads the response body, once the head was read.
    body: Option<BodyReader>,
    events: StageEventReader,
    /// Expires if the stream is silent for too long.
    timer: TimerKey,
}

/// The state of the watch that is kept across connections.
pub(in crate::service) struct StageWatch {
    latest: LatestStage,
    opened_streams: u64,
    backoff: Backoff,
}

/// Why the stream was lost.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(in crate::service) enum StageStreamLoss {
    /// The operating system could not open a connection.
    #[error("cannot open a connection")]
    Connect,
    /// The connection was lost.
    #[error("connection lost")]
    ConnectionLost,
    /// The response is not an event stream.
    #[error("expected status 200 and an event stream")]
    UnexpectedResponse,
    /// The stream was silent for too long.
    #[error("the stream was silent for too long")]
    Silent,
    /// The service ended the stream.
    #[error("the service ended the stream")]
    Ended,
    /// The response body is not valid HTTP.
    #[error("{0}")]
    Body(HttpError),
    /// An event is malformed.
    #[error("{0}")]
    Event(#[from] StageStreamError),
}

impl StageWatch {
    /// Creates a watch. `seed` seeds the jitter of the reconnection backoff.
    pub(in crate::service) fn new(seed: u64) -> Self {
        Self {
            latest: LatestStage::default(),
            opened_streams: 0,
            backoff: Backoff::new(seed),
        }
    }

    /// Converts a message to a stage update; `stream` is the stream that delivered it, if any. Returns `None` for a
    /// message older than one that was accepted before.
    pub(in crate::service) fn accept(
        &mut self,
        message: StageMessage,
        stream: Option<StageStreamId>,
    ) -> Option<StageUpdate> {
        let update = message.to_update(stream);
        let accepted = self.latest.accept(update);
        if accepted.is_none() {
            tracing::warn!(?update, "outdated stage update dropped");
        }
        accepted.map(|accepted| accepted.update)
    }

    fn next_stream_id(&mut self) -> StageStreamId {
        self.opened_streams += 1;
        StageStreamId(self.opened_streams)
    }
}

impl Service {
    /// Opens the stream, unless only other sidecars may probe the failed service now.
    pub(in crate::service) fn open_stage_stream(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let Some(service) = &self.settings.rollout_service else {
            return;
        };
        let address = service.address;
        let silent_at = self.now + Duration::from(service.silence_timeout);
        let deferred = self
            .peers
            .deferred_poll(self.now, ControlService::RolloutService);
        if let Some(at) = deferred {
            self.timers.schedule(at, TimerEvent::OpenStageStream);
            return;
        }
        let Ok(socket) = self.sockets.connect(address) else {
            return self.retry_stage_stream(&StageStreamLoss::Connect);
        };
        let timer = self
            .timers
            .schedule(silent_at, TimerEvent::StageStreamTimeout(socket));
        let connection = StageStreamConnection {
            id: self.stages.next_stream_id(),
            body: None,
            events: StageEventReader::default(),
            timer,
        };
        self.connections
            .insert(socket, ConnectionRole::StageStream(Box::new(connection)));
    }

    /// Requests the stream on an established connection.
    pub(in crate::service) fn stage_stream_connected(&mut self, socket: SocketId) {
        let Some(service) = &self.settings.rollout_service else {
            return;
        };
        let request = self.control_request("GET", STAGES_PATH, service.address, Framing::Length(0));
        self.sockets.send(socket, &request);
    }

    /// Reads the received part of the stream.
    pub(in crate::service) fn read_stage_stream(&mut self, socket: SocketId) {
        let ended = self.sockets.has_ended(socket);
        if !self.restart_silence_timer(socket) {
            return;
        }
        match self.read_stage_stream_head(socket, ended) {
            Ok(true) => {}
            Ok(false) => return,
            Err(loss) => return self.stage_stream_lost(socket, &loss),
        }
        loop {
            match self.read_stage_messages(socket) {
                Ok(Some(messages)) => self.handle_stage_messages(socket, &messages),
                Ok(None) => break,
                Err(loss) => return self.stage_stream_lost(socket, &loss),
            }
        }
        if ended || self.has_stage_stream_ended(socket) {
            return self.stage_stream_lost(socket, &StageStreamLoss::Ended);
        }
        self.sockets.resume_reading(socket);
    }

    fn restart_silence_timer(&mut self, socket: SocketId) -> bool {
        let Some(service) = &self.settings.rollout_service else {
            return false;
        };
        let Some(ConnectionRole::StageStream(connection)) = self.connections.get_mut(&socket)
        else {
            return false;
        };
        let silent_at = self.now + Duration::from(service.silence_timeout);
        let timer = self
            .timers
            .schedule(silent_at, TimerEvent::StageStreamTimeout(socket));
        let old_timer = std::mem::replace(&mut connection.timer, timer);
        self.timers.cancel(old_timer);
        true
    }

    /// Reads the response head if it was not read before. Returns whether it was read.
    fn read_stage_stream_head(
        &mut self,
        socket: SocketId,
        ended: bool,
    ) -> Result<bool, StageStreamLoss> {
        let Some(ConnectionRole::StageStream(connection)) = self.connections.get_mut(&socket)
        else {
            return Ok(false);
        };
        let Some(input) = self.sockets.input(socket) else {
            return Ok(false);
        };
        if connection.body.is_some() {
            return Ok(true);
        }
        match http::parse_response(input, false, HeadLimits::default()) {
            Ok(Some(head)) if head.status == http_status::OK => {
                connection.body = Some(BodyReader::new(head.framing));
                Ok(true)
            }
            Ok(None) if !ended => Ok(false),
            _ => Err(StageStreamLoss::UnexpectedResponse),
        }
    }

    /// Reads the messages in the next part of the stream. Returns `None` if there is no further input.
    fn read_stage_messages(
        &mut self,
        socket: SocketId,
    ) -> Result<Option<Vec<StageMessage>>, StageStreamLoss> {
        let Some(ConnectionRole::StageStream(connection)) = self.connections.get_mut(&socket)
        else {
            return Ok(None);
        };
        let (Some(body), Some(input)) = (&mut connection.body, self.sockets.input(socket)) else {
            return Ok(None);
        };
        let Some(piece) = body.next(input).map_err(StageStreamLoss::Body)? else {
            return Ok(None);
        };
        Ok(Some(connection.events.read(&piece)?))
    }

    fn handle_stage_messages(&mut self, socket: SocketId, messages: &[StageMessage]) {
        let stream = match self.connections.get(&socket) {
            Some(ConnectionRole::StageStream(connection)) => Some(connection.id),
            _ => None,
        };
        if !messages.is_empty() {
            self.stages.backoff.reset();
            self.peers
                .record_poll(self.now, ControlService::RolloutService, true);
        }
        for message in messages {
            let Some(update) = self.stages.accept(*message, stream) else {
                continue;
            };
            self.peers.stage_announced(self.now, message);
            self.events.push(Event::Stage {
                update: Some(update),
                vote_answer: None,
            });
        }
    }

    fn has_stage_stream_ended(&self, socket: SocketId) -> bool {
        match self.connections.get(&socket) {
            Some(ConnectionRole::StageStream(connection)) => {
                connection.body.as_ref().is_some_and(BodyReader::ended)
            }
            _ => false,
        }
    }

    /// Closes a lost stream and schedules a reconnection after a backoff.
    pub(in crate::service) fn stage_stream_lost(
        &mut self,
        socket: SocketId,
        loss: &StageStreamLoss,
    ) {
        let Some(ConnectionRole::StageStream(connection)) = self.connections.remove(&socket) else {
            return;
        };
        self.timers.cancel(connection.timer);
        self.sockets.close(socket);
        self.retry_stage_stream(loss);
    }

    fn retry_stage_stream(&mut self, loss: &StageStreamLoss) {
        self.peers
            .record_poll(self.now, ControlService::RolloutService, false);
        tracing::warn!(error = %loss, "stage stream lost, retrying");
        let delay = self.stages.backoff.next_delay();
        self.timers
            .schedule(self.now + delay, TimerEvent::OpenStageStream);
    }
}
