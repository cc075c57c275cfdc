//! One connection to a pod, without I/O: the life of the attempt on it as a state machine.

use crate::listing::Life;
use bytes::Bytes;
use limewing_decision::interface::{AttemptIndex, AttemptOutcome, PodId, RequestId};
use limewing_net::timer_wheel::TimerKey;
use limewing_postgres_protocol::{decode, Message, MessageDecoder};
use std::mem;
use std::time::Duration;

/// With this code a pod tells that it has not begun a request.
const TURNED_AWAY: &str = "53300";

/// A connection to a pod; it carries at most one attempt at a time.
pub struct PodConnection {
    pub pod: PodId,
    /// The life of the pod that it was made to.
    pub life: Life,
    pub phase: Phase,
    pub frames: MessageDecoder,
    /// Bounds the present phase.
    pub timer: Option<TimerKey>,
    /// How long it had been idle before the present attempt, if it was kept.
    pub idle: Option<Duration>,
}

/// Where a connection stands, with the attempt that it carries.
pub enum Phase {
    /// It comes up. The attempt that it was made for may have ended since.
    Connecting(Option<CarriedAttempt>),
    /// It waits for the next attempt.
    Idle,
    /// All but the last byte of the attempt is written, behind an empty query that is not answered yet.
    Checking(CarriedAttempt),
    /// The empty query is answered, and the last byte is held back for a moment.
    HoldingBack(CarriedAttempt),
    /// The attempt is written whole.
    Sent(CarriedAttempt, Answer),
    /// The answer has come, but not yet the word that the next attempt may.
    Settling,
}

/// An attempt on a connection.
#[derive(Clone, Copy)]
pub struct CarriedAttempt {
    pub hit: RequestId,
    pub no: AttemptIndex,
    /// Bytes written on this connection when all of the attempt is.
    pub until: u64,
    /// Connections that broke under it before it was written.
    pub redials: u8,
}

/// What has come of an answer.
#[derive(Default)]
pub struct Answer {
    description: Option<Bytes>,
    row: Option<Bytes>,
}

/// What a message of a pod means.
pub enum Step {
    /// Nothing yet, or nothing for us.
    On,
    /// The connection takes the next attempt.
    Ready,
    /// The empty query is answered.
    CheckAnswered,
    /// The answer is whole: the bodies of its description, its row and its completion.
    Whole(CarriedAttempt, [Bytes; 3]),
    /// The pod answered with an error.
    Failed(Option<CarriedAttempt>, AttemptOutcome),
    /// What can't be an answer.
    Spoilt,
}

impl CarriedAttempt {
    pub fn new(hit: RequestId, no: AttemptIndex, redials: u8) -> Self {
        Self {
            hit,
            no,
            until: u64::MAX,
            redials,
        }
    }
}

impl Phase {
    pub fn attempt(&self) -> Option<&CarriedAttempt> {
        match self {
            Self::Connecting(attempt) => attempt.as_ref(),
            Self::Checking(attempt) | Self::HoldingBack(attempt) | Self::Sent(attempt, _) => {
                Some(attempt)
            }
            Self::Idle | Self::Settling => None,
        }
    }

    pub fn is_connecting(&self) -> bool {
        matches!(self, Self::Connecting(_))
    }

    /// Whether the pod can't have begun what the connection carries: its last byte is not written.
    pub fn is_unwritten(&self) -> bool {
        matches!(
            self,
            Self::Connecting(_) | Self::Checking(_) | Self::HoldingBack(_)
        )
    }

    /// Whether bytes that come belong to an answer, or to nothing.
    pub fn is_up(&self) -> bool {
        !matches!(self, Self::Connecting(_) | Self::Settling)
    }

    /// Whether a part of an answer has come.
    pub fn has_answer(&self) -> bool {
        matches!(self, Self::Sent(_, answer) if answer.description.is_some())
    }
}

impl PodConnection {
    pub fn connecting(pod: PodId, life: Life, timer: TimerKey) -> Self {
        let (phase, frames) = (Phase::Connecting(None), MessageDecoder::default());
        Self {
            pod,
            life,
            phase,
            frames,
            timer: Some(timer),
            idle: None,
        }
    }

    /// Takes the attempt off a connection that still comes up.
    pub fn take_waiting(&mut self) -> Option<CarriedAttempt> {
        match &mut self.phase {
            Phase::Connecting(attempt) => attempt.take(),
            _ => None,
        }
    }

    /// What a message means, which may end the attempt.
    pub fn step(&mut self, frame: Message) -> Step {
        let Message { kind, body } = frame;
        match (&mut self.phase, kind) {
            // Notices and parameters may come at any time.
            (_, b'N' | b'S') => Step::On,
            (Phase::Connecting(_), b'R') if decode::is_authentication_ok(&body) => Step::On,
            (Phase::Connecting(_), b'K') => Step::On,
            (Phase::Connecting(_) | Phase::Settling, b'Z') => Step::Ready,
            (Phase::Connecting(attempt), b'E') => {
                Step::Failed(attempt.take(), connecting_fate(&body))
            }
            (Phase::Checking(_) | Phase::HoldingBack(_), b'I') if body.is_empty() => Step::On,
            (Phase::Checking(_) | Phase::HoldingBack(_), b'Z') => Step::CheckAnswered,
            (Phase::Sent(..), _) => self.answer(kind, body),
            _ => Step::Spoilt,
        }
    }

    fn answer(&mut self, kind: u8, body: Bytes) -> Step {
        let Phase::Sent(attempt, answer) = &mut self.phase else {
            return Step::Spoilt;
        };
        match (kind, &answer.description, &answer.row) {
            (b'T', None, None) if decode::single_column_name(&body).is_some() => {
                answer.description = Some(body)
            }
            (b'D', Some(_), None) if decode::single_value(&body).is_some() => {
                answer.row = Some(body)
            }
            (b'C', Some(description), Some(row)) if decode::string(&body).is_some() => {
                let step = Step::Whole(*attempt, [description.clone(), row.clone(), body]);
                self.phase = Phase::Settling;
                return step;
            }
            (b'E', description, _) => {
                let begun = description.is_some();
                return self.failed(begun, &body);
            }
            _ => return Step::Spoilt,
        }
        Step::On
    }

    fn failed(&mut self, begun: bool, body: &Bytes) -> Step {
        let fate = match decode::sqlstate(body) {
            Some(TURNED_AWAY) if !begun => AttemptOutcome::Rejected,
            Some(_) => AttemptOutcome::Failed,
            None => return Step::Spoilt,
        };
        let attempt = mem::replace(&mut self.phase, Phase::Settling)
            .attempt()
            .copied();
        Step::Failed(attempt, fate)
    }
}

/// A pod that takes no more connections has not begun anything.
fn connecting_fate(body: &Bytes) -> AttemptOutcome {
    match decode::sqlstate(body) {
        Some(TURNED_AWAY) => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ConnectFailed,
    }
}
