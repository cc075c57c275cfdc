//! The records of an input frame. The fields of a record are read in wire order.

use crate::cursor::Cursor;
use crate::error::{FrameError, FrameErrorKind};
use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, BuildId, CellId, ClassId, Endpoint, Event,
    MachineTypeId, Phase, PodState, Request, RequestId, RoutingKey, StageIndex, StageOrder,
    StageStreamId, StageUpdate, TenantId, VoteAnswer, ZoneId,
};

/// Record codes; each record starts with its code.
mod code {
    pub(super) const WAKE: u16 = 256;
    pub(super) const HEALTH_CHECK: u16 = 257;
    pub(super) const STAGE: u16 = 258;
    pub(super) const ENDPOINT_UPDATE: u16 = 259;
    pub(super) const FLAGGED: u16 = 260;
    pub(super) const PEER_MESSAGE: u16 = 261;
    pub(super) const ATTEMPT_FINISHED: u16 = 262;
    pub(super) const SELECT_INSTANCE: u16 = 263;
    pub(super) const TALLY: u16 = 264;
    pub(super) const ENDPOINT_TABLE: u16 = 265;
    pub(super) const CLIENT_DISCONNECTED: u16 = 266;
    pub(super) const STREAM_STARTED: u16 = 267;
    pub(super) const STOP: u16 = 268;
    pub(super) const REQUEST_ARRIVED: u16 = 269;
    pub(super) const START: u16 = 270;
}

/// The size of a request's estimated work, which is not used, in bytes.
const WORK_ESTIMATE_BYTES: usize = 8;
/// The size of the attempt, pod and duration in a stream start, which are not used, in bytes.
const STREAM_DETAIL_BYTES: usize = 2 + 6 + 8;

/// The content of an endpoint update's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The endpoints that changed.
    Delta,
    /// All endpoints.
    Snapshot,
    /// All endpoints as last known before the start.
    Cached,
    /// No content: the watch was lost.
    WatchLost,
}

/// One record of a batch.
#[derive(Debug)]
pub enum Record {
    /// Selects the instance that the following records are for.
    SelectInstance(u32),
    /// A table of endpoints that endpoint updates of any instance can refer to.
    EndpointTable {
        /// The number of the table.
        table: u16,
        /// The endpoints, in wire order.
        rows: Vec<Endpoint>,
    },
    /// The selected instance starts.
    Start {
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The instance's settings, as JSON.
        settings: Vec<u8>,
        /// The start of the record, in bytes from the start of the frame's body.
        offset: usize,
    },
    /// The selected instance stops.
    Stop,
    /// An endpoint update for the selected instance.
    EndpointUpdate {
        /// The content of the table.
        kind: EndpointUpdateKind,
        /// The number of the table; meaningless if the watch was lost.
        table: u16,
        /// The start of the record, in bytes from the start of the frame's body.
        offset: usize,
    },
    /// An event for the selected instance.
    Event(Event),
    /// A record that the decision engine does not use: timers (calling the instance is enough), results of health checks,
    /// tallies and messages from peers.
    Ignored,
}

impl Record {
    pub(crate) fn decode(cursor: &mut Cursor<'_>) -> Result<Self, FrameError> {
        let offset = cursor.offset();
        Ok(match cursor.u16()? {
            code::STAGE => Self::Event(stage(cursor)?),
            code::ENDPOINT_UPDATE => endpoint_update(cursor, offset)?,
            code::FLAGGED => Self::Event(flagged(cursor)?),
            code::ATTEMPT_FINISHED => Self::Event(attempt_finished(cursor)?),
            code::SELECT_INSTANCE => Self::SelectInstance(cursor.u32()?),
            code::ENDPOINT_TABLE => endpoint_table(cursor)?,
            code::CLIENT_DISCONNECTED => {
                Self::Event(Event::ClientDisconnected(RequestId(cursor.u64()?)))
            }
            code::STREAM_STARTED => Self::Event(stream_started(cursor)?),
            code::STOP => Self::Stop,
            code::REQUEST_ARRIVED => Self::Event(request_arrived(cursor)?),
            code::START => start(cursor, offset)?,
            code::WAKE => {
                cursor.u64()?;
                Self::Ignored
            }
            code::HEALTH_CHECK => {
                skip_health_check(cursor)?;
                Self::Ignored
            }
            code::PEER_MESSAGE => {
                skip_peer_message(cursor)?;
                Self::Ignored
            }
            code::TALLY => {
                skip_tally(cursor)?;
                Self::Ignored
            }
            other => {
                return Err(FrameError {
                    kind: FrameErrorKind::UnknownRecordCode(other),
                    offset,
                })
            }
        })
    }
}

fn start(cursor: &mut Cursor<'_>, offset: usize) -> Result<Record, FrameError> {
    let seed = cursor.u64()?;
    let length = cursor.u32()?;
    let settings = cursor.bytes(length as usize)?.to_vec();
    Ok(Record::Start {
        seed,
        settings,
        offset,
    })
}

fn endpoint_table(cursor: &mut Cursor<'_>) -> Result<Record, FrameError> {
    let table = cursor.u16()?;
    let count = cursor.u32()?;
    let mut rows = Vec::new();
    for _ in 0..count {
        rows.push(endpoint(cursor)?);
    }
    Ok(Record::EndpointTable { table, rows })
}

fn endpoint(cursor: &mut Cursor<'_>) -> Result<Endpoint, FrameError> {
    let machine_type = MachineTypeId(cursor.u8()?.into());
    let state = match cursor.u8()? {
        0 => PodState::Gone,
        1 => PodState::Ready,
        2 => PodState::Draining,
        other => return Err(cursor.error(FrameErrorKind::UnknownPodState(other))),
    };
    let build = BuildId(cursor.f32()? as u16);
    let weight = f64::from(cursor.f32()?);
    let started_at = Some(cursor.duration()?).filter(|at| !at.is_zero());
    let cell = CellId(cursor.u16()?);
    let pod = cursor.pod()?;
    let zone = ZoneId(cursor.u16()?);
    Ok(Endpoint {
        pod,
        state,
        build,
        weight,
        started_at,
        zone,
        cell,
        machine_type,
    })
}

fn endpoint_update(cursor: &mut Cursor<'_>, offset: usize) -> Result<Record, FrameError> {
    let kind = match cursor.u8()? {
        0 => EndpointUpdateKind::Delta,
        1 => EndpointUpdateKind::Snapshot,
        2 => EndpointUpdateKind::Cached,
        3 => EndpointUpdateKind::WatchLost,
        other => return Err(cursor.error(FrameErrorKind::UnknownEndpointUpdate(other))),
    };
    let _version = cursor.u32()?;
    let table = cursor.u16()?;
    Ok(Record::EndpointUpdate {
        kind,
        table,
        offset,
    })
}

fn request_arrived(cursor: &mut Cursor<'_>) -> Result<Event, FrameError> {
    let id = RequestId(cursor.u64()?);
    let class = ClassId(cursor.u16()?);
    let tenant = Some(TenantId(cursor.u32()?));
    // A key of 0 means that there is none.
    let routing_key = Some(cursor.u64()?).filter(|key| *key != 0).map(RoutingKey);
    let deadline = cursor.duration()?;
    cursor.skip(WORK_ESTIMATE_BYTES)?;
    let _flags = cursor.u8()?;
    Ok(Event::RequestArrived(Request {
        id,
        class,
        tenant,
        routing_key,
        deadline,
    }))
}

fn stream_started(cursor: &mut Cursor<'_>) -> Result<Event, FrameError> {
    let request = RequestId(cursor.u64()?);
    cursor.skip(STREAM_DETAIL_BYTES)?;
    Ok(Event::StreamStarted { request })
}

fn attempt_finished(cursor: &mut Cursor<'_>) -> Result<Event, FrameError> {
    let request = RequestId(cursor.u64()?);
    let pod = cursor.pod()?;
    let request_closed = cursor.u8()? != 0;
    let duration = cursor.duration()?;
    let outcome = attempt_outcome(cursor)?;
    let attempt = AttemptIndex(cursor.u16()?);
    cursor.skip_load_report()?;
    Ok(Event::AttemptFinished(AttemptResult {
        request,
        attempt,
        pod,
        outcome,
        duration,
        request_closed,
    }))
}

fn attempt_outcome(cursor: &mut Cursor<'_>) -> Result<AttemptOutcome, FrameError> {
    Ok(match cursor.u16()? {
        0 => AttemptOutcome::Succeeded,
        13 => AttemptOutcome::Failed,
        8 => AttemptOutcome::Rejected,
        4 => AttemptOutcome::TimedOut,
        14 => AttemptOutcome::ConnectFailed,
        10 => AttemptOutcome::ConnectionReset,
        1 => AttemptOutcome::Cancelled,
        9 => AttemptOutcome::NeverSent,
        other => return Err(cursor.error(FrameErrorKind::UnknownOutcome(other))),
    })
}

fn flagged(cursor: &mut Cursor<'_>) -> Result<Event, FrameError> {
    let pod = cursor.pod()?;
    let class = ClassId(cursor.u16()?);
    let _age = cursor.duration()?;
    Ok(Event::Flagged { pod, class })
}

/// The simulator delivers all stage updates of an instance, replies to votes included, in order.
const STAGE_STREAM: StageStreamId = StageStreamId(0);

fn stage(cursor: &mut Cursor<'_>) -> Result<Event, FrameError> {
    let cap = f64::from(cursor.f32()?);
    let phase = match cursor.u8()? {
        0 => Phase::OnTrial,
        1 => Phase::RollingBack,
        2 => Phase::Released,
        3 => Phase::RolledBack,
        other => return Err(cursor.error(FrameErrorKind::UnknownPhase(other))),
    };
    let build = BuildId(cursor.u16()?);
    let age = cursor.duration()?;
    let stage = StageIndex(cursor.u8()?);
    let answer = vote_answer(cursor)?;
    let voted = cursor.u8()? != 0;
    // The record contains a stage only with the answer `Counted`.
    let update = (answer == VoteAnswer::Counted).then_some(StageUpdate {
        build,
        stage,
        phase,
        cap,
        age,
        order: StageOrder {
            number: None,
            stream: Some(STAGE_STREAM),
        },
    });
    Ok(Event::Stage {
        update,
        vote_answer: voted.then_some(answer),
    })
}

fn vote_answer(cursor: &mut Cursor<'_>) -> Result<VoteAnswer, FrameError> {
    Ok(match cursor.u16()? {
        0 => VoteAnswer::Counted,
        9 => VoteAnswer::Moot,
        8 => VoteAnswer::Full,
        13 => VoteAnswer::Failed,
        4 => VoteAnswer::Unanswered,
        other => return Err(cursor.error(FrameErrorKind::UnknownVoteAnswer(other))),
    })
}

fn skip_health_check(cursor: &mut Cursor<'_>) -> Result<(), FrameError> {
    let _pod = cursor.pod()?;
    let _outcome = attempt_outcome(cursor)?;
    let _duration = cursor.duration()?;
    cursor.skip_load_report()
}

fn skip_peer_message(cursor: &mut Cursor<'_>) -> Result<(), FrameError> {
    let _sender = cursor.u32()?;
    let length = cursor.u16()?;
    cursor.skip(length.into())
}

fn skip_tally(cursor: &mut Cursor<'_>) -> Result<(), FrameError> {
    let _age = cursor.duration()?;
    let _build = cursor.u16()?;
    let _mean_latency = cursor.duration()?;
    let _attempts = cursor.u32()?;
    let _class = cursor.u16()?;
    let _failures = cursor.u32()?;
    Ok(())
}
