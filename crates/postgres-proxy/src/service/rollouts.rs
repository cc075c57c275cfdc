//! The stream of the rollout service: stage updates and reports of wrong answers. It may be lost
//! for a long time: the sidecar continues with the known state, and reconnects after a backoff.

use super::http_request::encode_request;
use super::service_connection::{EndedConnection, ServiceConnections};
use super::{ConnectionRole, Service, TimerEvent};
use crate::line_codec::{LineReader, StreamError};
use crate::rollout_messages::{parse_message, MessageError, RolloutMessage};
use crate::stage_updates::age_from_ms;
use crate::timeouts::STAGE_STREAM_SILENCE_TIMEOUT;
use crate::wrong_answers::{WrongAnswer, WrongAnswerLog};
use bytes::Bytes;
use limewing_decision::interface::{ClassId, Event, StageStreamId, StageUpdate, VoteAnswer};
use limewing_decision::LatestStage;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::backoff::Backoff;
use thiserror::Error;

/// Maximum length of one line of the stream, in bytes.
const MAX_LINE: usize = 16 * 1024;

/// The known state of the newest build's rollout, and the stream that keeps it up to date.
pub(super) struct RolloutTracker {
    streams: ServiceConnections,
    latest: LatestStage,
    opened_streams: u64,
    wrong_answers: WrongAnswerLog<SocketId>,
    backoff: Backoff,
    /// The names of the request classes, indexed by number.
    classes: Vec<String>,
}

impl RolloutTracker {
    /// Creates a tracker without a known state; the jitter of the backoff is generated from `seed`.
    pub(super) fn new(classes: Vec<String>, seed: u64) -> Self {
        Self {
            streams: ServiceConnections::default(),
            latest: LatestStage::default(),
            opened_streams: 0,
            wrong_answers: WrongAnswerLog::default(),
            backoff: Backoff::new(seed),
            classes,
        }
    }

    fn next_stream_id(&mut self) -> StageStreamId {
        self.opened_streams += 1;
        StageStreamId(self.opened_streams)
    }
}

/// The connection of a stream.
pub(super) struct StageStream {
    id: StageStreamId,
    reader: LineReader,
    /// Limits the wait for the next line.
    timer: TimerKey,
}

/// Why a stream ended.
#[derive(Debug, Error)]
pub(super) enum StageStreamError {
    /// No connection could be opened.
    #[error("cannot connect")]
    Unreachable,
    /// The connection broke.
    #[error("connection lost")]
    ConnectionLost,
    /// The next line did not arrive in time.
    #[error("no data received in time")]
    Silent,
    /// The response was complete.
    #[error("end of the response")]
    Ended,
    /// The response is malformed.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// A line cannot be parsed.
    #[error(transparent)]
    Message(#[from] MessageError),
}

impl Service {
    /// Applies the state of the newest build's rollout, received on a stream or in the reply to a
    /// vote.
    pub(super) fn apply_stage_update(
        &mut self,
        update: StageUpdate,
        vote_answer: Option<VoteAnswer>,
    ) {
        let accepted = self.rollouts.latest.accept(update);
        match &accepted {
            Some(accepted) => tracing::info!(update = ?accepted.update, "stage update"),
            None => tracing::warn!(?update, "outdated stage update dropped"),
        }
        // Unwritten attempts that were permitted under the previous state are ended; the decision
        // engine starts them again.
        if let Some(closed) = accepted.and_then(|accepted| accepted.closed_build) {
            self.end_unwritten_attempts(|endpoints, pod| {
                endpoints
                    .incarnation(pod)
                    .is_some_and(|incarnation| incarnation.build >= closed)
            });
        }
        if accepted.is_some() || vote_answer.is_some() {
            self.events.push(Event::Stage {
                update: accepted.map(|accepted| accepted.update),
                vote_answer,
            });
        }
    }

    /// Opens a stream, if there is a rollout service and no open stream.
    pub(super) fn open_stage_stream(&mut self) {
        let Some(address) = self.services.rollouts else {
            return;
        };
        if self.rollouts.streams.is_open() {
            return;
        }
        let Ok(socket) = self.sockets.connect(address) else {
            return self.retry_stage_stream(&StageStreamError::Unreachable);
        };
        let deadline = self.now + STAGE_STREAM_SILENCE_TIMEOUT;
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::StageStreamTimeout(socket));
        let stream = StageStream {
            id: self.rollouts.next_stream_id(),
            reader: LineReader::new(MAX_LINE),
            timer,
        };
        self.connections
            .insert(socket, ConnectionRole::StageStream(Box::new(stream)));
        self.rollouts.streams.set_current(socket);
    }

    pub(super) fn send_stage_stream_request(&mut self, socket: SocketId) {
        let address = self.services.rollouts;
        let host = address
            .map(|address| address.to_string())
            .unwrap_or_default();
        let request = encode_request("GET", "/v1/events", &host, b"");
        self.sockets.send(socket, &request);
    }

    pub(super) fn read_stage_stream(&mut self, socket: SocketId) {
        let has_ended = self.sockets.has_ended(socket);
        let Some(ConnectionRole::StageStream(stream)) = self.connections.get_mut(&socket) else {
            return;
        };
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        let received = stream.reader.read(input);
        let is_over = has_ended || stream.reader.has_ended();
        let stream_id = stream.id;
        // Bytes within a line are no proof that the service is alive.
        if received.is_alive {
            let deadline = self.now + STAGE_STREAM_SILENCE_TIMEOUT;
            let timer = self
                .timers
                .schedule(deadline, TimerEvent::StageStreamTimeout(socket));
            self.timers
                .cancel(std::mem::replace(&mut stream.timer, timer));
        }
        let result = self
            .apply_rollout_messages(socket, stream_id, &received.items)
            .and(received.error.map_or(Ok(()), |error| Err(error.into())));
        match result {
            Err(error) => self.handle_stage_stream_end(socket, &error),
            Ok(()) if is_over => self.handle_stage_stream_end(socket, &StageStreamError::Ended),
            Ok(()) => self.sockets.resume_reading(socket),
        }
    }

    fn apply_rollout_messages(
        &mut self,
        socket: SocketId,
        stream: StageStreamId,
        lines: &[Bytes],
    ) -> Result<(), StageStreamError> {
        for line in lines {
            match parse_message(line)? {
                RolloutMessage::Stage(state) => {
                    self.rollouts.backoff.reset();
                    self.apply_stage_update(state.to_update(Some(stream)), None);
                }
                RolloutMessage::WrongAnswer(report) => self.apply_wrong_answer(socket, &report),
                RolloutMessage::Ignored => {}
            }
        }
        Ok(())
    }

    fn apply_wrong_answer(&mut self, stream: SocketId, report: &WrongAnswer) {
        let sent_at = self.now.saturating_sub(age_from_ms(report.age_ms));
        let is_new = self
            .rollouts
            .wrong_answers
            .record(stream, report, sent_at, self.now);
        if !is_new {
            return;
        }
        let pod = self
            .discovery
            .endpoints
            .pod_listed_at(&report.host, sent_at);
        let class = self
            .rollouts
            .classes
            .iter()
            .position(|name| *name == report.class);
        if let (Some(pod), Some(class)) = (pod, class) {
            self.events.push(Event::Flagged {
                pod,
                class: ClassId(class as u16),
            });
        }
    }

    /// Moves the stream to a new address of the rollout service. A stream is opened there
    /// immediately, and the former one is read to its end, because messages that were sent on it
    /// count as known and are not sent again.
    pub(super) fn move_stage_stream(&mut self) {
        if let Some(socket) = self.rollouts.streams.begin_move() {
            self.close_stage_stream(socket);
        }
        self.rollouts.backoff.reset();
        self.open_stage_stream();
    }

    fn close_stage_stream(&mut self, socket: SocketId) {
        if let Some(ConnectionRole::StageStream(stream)) = self.connections.remove(&socket) {
            self.timers.cancel(stream.timer);
        }
        self.sockets.close(socket);
    }

    pub(super) fn handle_stage_stream_end(&mut self, socket: SocketId, error: &StageStreamError) {
        self.close_stage_stream(socket);
        match self.rollouts.streams.remove(socket) {
            EndedConnection::Former => {
                tracing::info!(%error, "stage stream of the former address ended");
            }
            EndedConnection::Current => self.retry_stage_stream(error),
            EndedConnection::Unknown => {}
        }
    }

    fn retry_stage_stream(&mut self, error: &StageStreamError) {
        tracing::warn!(%error, "stage stream lost, retrying");
        let delay = self.rollouts.backoff.next_delay();
        self.timers
            .schedule(self.now + delay, TimerEvent::OpenStageStream);
    }
}
