//! State machine of one connection to a pod, without I/O: its session and its attempt.

use crate::endpoint_listing::Incarnation;
use bytes::Bytes;
use limewing_decision::interface::{AttemptIndex, AttemptOutcome, PodId, RequestId};
use limewing_net::timer_wheel::TimerKey;
use limewing_postgres_protocol::{backend, decode, Message, MessageDecoder};
use limewing_proxy_core::memory_budget::MemoryReservation;
use std::mem;
use std::time::Duration;

/// The SQLSTATE `too_many_connections`, with which a pod reports that it has not started a request.
const REJECTED_SQLSTATE: &str = "53300";

/// A connection to a pod; it carries at most one attempt at a time.
pub(super) struct PodConnection {
    pub(super) pod: PodId,
    /// The incarnation of the pod at the time of connecting.
    pub(super) incarnation: Incarnation,
    pub(super) phase: Phase,
    pub(super) decoder: MessageDecoder,
    /// The memory for the answer that the pod is sending.
    pub(super) reservation: MemoryReservation,
    /// Limits the current phase.
    pub(super) timer: Option<TimerKey>,
    /// How long it had been idle before the current attempt, if it came from the pool.
    pub(super) idle_time: Option<Duration>,
}

/// The phase of a connection, with the attempt that it carries.
pub(super) enum Phase {
    /// The connection or its session is being established. The attempt for which it was opened may
    /// have ended.
    Connecting(Option<CarriedAttempt>),
    /// The connection is available for the next attempt.
    Idle,
    /// All but the last byte of the attempt is written, after an empty query that has not been
    /// answered yet.
    Verifying(CarriedAttempt),
    /// The empty query is answered; the last byte is held back for a short time.
    HoldingLastByte(CarriedAttempt),
    /// The whole attempt is written.
    AwaitingAnswer(CarriedAttempt, PartialAnswer),
    /// The answer is complete; ReadyForQuery has not arrived.
    AwaitingReady,
}

/// An attempt on a connection.
#[derive(Clone, Copy)]
pub(super) struct CarriedAttempt {
    pub(super) request: RequestId,
    pub(super) index: AttemptIndex,
    /// The number of bytes written on this connection when the whole attempt is written.
    pub(super) end_offset: u64,
    /// Number of connections that broke under it before it was written.
    pub(super) broken_connections: u8,
}

/// The part of an answer received so far.
#[derive(Default)]
pub(super) struct PartialAnswer {
    row_description: Option<Bytes>,
    data_row: Option<Bytes>,
}

/// The bodies of the messages of a complete answer.
pub(super) struct Answer {
    pub(super) row_description: Bytes,
    pub(super) data_row: Bytes,
    pub(super) command_complete: Bytes,
}

/// The result of processing a message from a pod.
pub(super) enum Progress {
    /// No change.
    Pending,
    /// The connection is available for the next attempt.
    Ready,
    /// The empty query was answered.
    Verified,
    /// The answer is complete.
    Answered(CarriedAttempt, Answer),
    /// The pod answered with an error.
    Failed(Option<CarriedAttempt>, AttemptOutcome),
    /// The message is not allowed in this phase.
    ProtocolViolation,
}

impl CarriedAttempt {
    pub(super) fn new(request: RequestId, index: AttemptIndex, broken_connections: u8) -> Self {
        Self {
            request,
            index,
            end_offset: u64::MAX,
            broken_connections,
        }
    }
}

impl Phase {
    pub(super) fn attempt(&self) -> Option<&CarriedAttempt> {
        match self {
            Self::Connecting(attempt) => attempt.as_ref(),
            Self::Verifying(attempt)
            | Self::HoldingLastByte(attempt)
            | Self::AwaitingAnswer(attempt, _) => Some(attempt),
            Self::Idle | Self::AwaitingReady => None,
        }
    }

    pub(super) fn is_connecting(&self) -> bool {
        matches!(self, Self::Connecting(_))
    }

    /// Whether the pod cannot have started what the connection carries, because its last byte is
    /// not written.
    pub(super) fn is_unwritten(&self) -> bool {
        matches!(
            self,
            Self::Connecting(_) | Self::Verifying(_) | Self::HoldingLastByte(_)
        )
    }

    /// Whether received bytes can only belong to an answer, if to anything.
    pub(super) fn expects_answer_only(&self) -> bool {
        !matches!(self, Self::Connecting(_) | Self::AwaitingReady)
    }

    /// Whether part of an answer has been received.
    pub(super) fn has_partial_answer(&self) -> bool {
        matches!(self, Self::AwaitingAnswer(_, answer) if answer.row_description.is_some())
    }
}

impl PodConnection {
    pub(super) fn connecting(
        pod: PodId,
        incarnation: Incarnation,
        timer: TimerKey,
        reservation: MemoryReservation,
    ) -> Self {
        Self {
            pod,
            incarnation,
            phase: Phase::Connecting(None),
            decoder: MessageDecoder::default(),
            reservation,
            timer: Some(timer),
            idle_time: None,
        }
    }

    /// Removes the attempt from a connection that is not established yet.
    pub(super) fn take_waiting_attempt(&mut self) -> Option<CarriedAttempt> {
        match &mut self.phase {
            Phase::Connecting(attempt) => attempt.take(),
            _ => None,
        }
    }

    /// Processes a message, which may end the attempt.
    pub(super) fn handle_message(&mut self, message: Message) -> Progress {
        let Message { kind, body } = message;
        match (&mut self.phase, kind) {
            // These messages may arrive at any time.
            (_, backend::NOTICE_RESPONSE | backend::PARAMETER_STATUS) => Progress::Pending,
            (Phase::Connecting(_), backend::AUTHENTICATION)
                if decode::is_authentication_ok(&body) =>
            {
                Progress::Pending
            }
            (Phase::Connecting(_), backend::BACKEND_KEY_DATA) => Progress::Pending,
            (Phase::Connecting(_) | Phase::AwaitingReady, backend::READY_FOR_QUERY) => {
                Progress::Ready
            }
            (Phase::Connecting(attempt), backend::ERROR_RESPONSE) => {
                Progress::Failed(attempt.take(), outcome_of_refused_session(&body))
            }
            (Phase::Verifying(_) | Phase::HoldingLastByte(_), backend::EMPTY_QUERY_RESPONSE)
                if body.is_empty() =>
            {
                Progress::Pending
            }
            (Phase::Verifying(_) | Phase::HoldingLastByte(_), backend::READY_FOR_QUERY) => {
                Progress::Verified
            }
            (Phase::AwaitingAnswer(..), _) => self.handle_answer_message(kind, body),
            _ => Progress::ProtocolViolation,
        }
    }

    fn handle_answer_message(&mut self, kind: u8, body: Bytes) -> Progress {
        let Phase::AwaitingAnswer(attempt, answer) = &mut self.phase else {
            return Progress::ProtocolViolation;
        };
        match (kind, &answer.row_description, &answer.data_row) {
            (backend::ROW_DESCRIPTION, None, None)
                if decode::single_column_name(&body).is_some() =>
            {
                answer.row_description = Some(body);
                Progress::Pending
            }
            (backend::DATA_ROW, Some(_), None) if decode::single_value(&body).is_some() => {
                answer.data_row = Some(body);
                Progress::Pending
            }
            (backend::COMMAND_COMPLETE, Some(row_description), Some(data_row))
                if decode::string(&body).is_some() =>
            {
                let answer = Answer {
                    row_description: row_description.clone(),
                    data_row: data_row.clone(),
                    command_complete: body,
                };
                let progress = Progress::Answered(*attempt, answer);
                self.phase = Phase::AwaitingReady;
                progress
            }
            (backend::ERROR_RESPONSE, row_description, _) => {
                let has_begun = row_description.is_some();
                self.handle_answer_error(has_begun, &body)
            }
            _ => Progress::ProtocolViolation,
        }
    }

    fn handle_answer_error(&mut self, has_begun: bool, body: &Bytes) -> Progress {
        let outcome = match decode::sqlstate(body) {
            Some(REJECTED_SQLSTATE) if !has_begun => AttemptOutcome::Rejected,
            Some(_) => AttemptOutcome::Failed,
            None => return Progress::ProtocolViolation,
        };
        let phase = mem::replace(&mut self.phase, Phase::AwaitingReady);
        Progress::Failed(phase.attempt().copied(), outcome)
    }
}

/// Returns the outcome for a refused session: a pod that accepts no more connections has not
/// started anything.
fn outcome_of_refused_session(body: &Bytes) -> AttemptOutcome {
    match decode::sqlstate(body) {
        Some(REJECTED_SQLSTATE) => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ConnectFailed,
    }
}
