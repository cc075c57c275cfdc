//! Attempts, what became of them, and the pool of connections to pods that they go over.
//!
//! What proves that an attempt never ran: its connection never came up, or broke before the last byte of the
//! attempt was with the system, or the pod says that it turned it away. So the last byte is held back until
//! the pod has answered an empty query that goes before it on the same connection: a connection that is dead,
//! or that breaks under the first bytes, then proves that nothing ran, and another one carries the attempt.
//!
//! Whoever writes bytes of an attempt needs a [`SendPermit`], which is asked for in that moment.

use super::pod_connection::{CarriedAttempt, Phase, PodConnection, Step};
use super::{Due, Peer, Service};
use crate::bounds::{self, Next, HELD_BACK, READY_WITHIN, RESTS, WHOLE_WITHIN};
use crate::listing::List;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::{AttemptIndex, AttemptOutcome, Event, PodId, RequestId};
use limewing_net::sockets::{is_resource_exhaustion, SocketId};
use limewing_postgres_protocol::encode;
use limewing_proxy_core::connection_pool::IdleConnection;
use limewing_proxy_core::in_flight::Attempt;
use limewing_proxy_core::send_permit::SendPermit;
use std::io::ErrorKind;
use std::time::Duration;

/// A row that a pod may send, and any other message of its.
const LONGEST_ROW: usize = 64 * 1024 + 64;
const LONGEST_OTHER: usize = 8 * 1024;
/// The last byte of every statement's message.
const LAST: &[u8] = &[0];
/// What a statement's message and the empty query before it take beside the statement, in bytes.
const MESSAGE_HEADS: usize = 24;

/// How many bytes a message of a pod may have; none if there is no such message.
fn longest_message(kind: u8) -> Option<usize> {
    match kind {
        b'D' => Some(LONGEST_ROW),
        b'R' | b'S' | b'K' | b'Z' | b'T' | b'C' | b'E' | b'N' | b'I' => Some(LONGEST_OTHER),
        _ => None,
    }
}

/// The life of an attempt.
impl Service {
    /// Begins an attempt that the decisions have allowed.
    pub(super) fn begin_attempt(&mut self, hit: RequestId, pod: PodId, within: Duration) {
        let now = self.now;
        let Some(open) = self.hits.get_mut(hit) else {
            return;
        };
        let no = AttemptIndex(open.attempts.len() as u16);
        let due = if within.is_zero() {
            open.deadline
        } else {
            open.deadline.min(now + within)
        };
        let timer = Some(self.wheel.schedule(due, Due::Attempt(hit, no)));
        open.attempts.push(Attempt {
            pod,
            sent_at: now,
            connection: None,
            timer,
            ended: false,
        });
        let spent = open.attempts.len() > self.terms.max_forwards;
        if open.completed || spent || now >= due {
            return self.end_attempt(hit, no, AttemptOutcome::NeverSent);
        }
        let (id, list) = (open.protocol_state.id.as_str(), self.list.seq);
        tracing::debug!(
            id,
            hit = hit.0,
            no = no.0,
            pod = pod.0,
            host = self.list.host(pod),
            list,
            "permitted"
        );
        self.dispatch(hit, no, 0);
    }

    /// Gives an attempt to a connection, after so many that broke under it before it was written.
    fn dispatch(&mut self, hit: RequestId, no: AttemptIndex, redials: u8) {
        if self.permit(hit, no).is_none() {
            return self.end_attempt(hit, no, AttemptOutcome::NeverSent);
        }
        let Some(pod) = self
            .hits
            .active_attempt_mut(hit, no)
            .map(|forward| forward.pod)
        else {
            return;
        };
        let link = match self
            .idle_connection(pod)
            .map_or_else(|| self.connect(pod), Ok)
        {
            Ok(link) => link,
            Err(fate) => return self.end_attempt(hit, no, fate),
        };
        if let Some(forward) = self.hits.active_attempt_mut(hit, no) {
            forward.connection = Some(link);
        }
        let attempt = CarriedAttempt::new(hit, no, redials);
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        match &mut connection.phase {
            Phase::Connecting(waiting) => *waiting = Some(attempt),
            _ => self.begin_writing(link, attempt),
        }
    }

    /// Permission to write an attempt now.
    fn permit(&self, hit: RequestId, no: AttemptIndex) -> Option<SendPermit> {
        SendPermit::request(&self.module, self.now, hit, no)
    }

    /// Writes an attempt to a connection that carries nothing, or ends the attempt if it is no longer allowed.
    fn begin_writing(&mut self, link: SocketId, attempt: CarriedAttempt) {
        match self.permit(attempt.hit, attempt.no) {
            Some(permit) => self.write_first_bytes(link, attempt, permit),
            None => {
                self.keep(link);
                self.withdrawn(attempt);
            }
        }
    }

    /// All but the last byte leaves.
    fn write_first_bytes(
        &mut self,
        link: SocketId,
        mut attempt: CarriedAttempt,
        _permit: SendPermit,
    ) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        let Some(open) = self.hits.get(attempt.hit) else {
            return;
        };
        let mut out = BytesMut::with_capacity(open.protocol_state.text.len() + MESSAGE_HEADS);
        encode::query(&mut out, "");
        encode::query(
            &mut out,
            &open
                .protocol_state
                .waiting(open.deadline.saturating_sub(self.now)),
        );
        attempt.until = self.sockets.bytes_written(link) + out.len() as u64;
        let sent = open
            .attempts
            .get(usize::from(attempt.no.0))
            .map_or(self.now, |forward| forward.sent_at);
        let waited_ms = (self.now - sent).as_millis() as u64;
        tracing::debug!(
            hit = attempt.hit.0,
            no = attempt.no.0,
            pod = connection.pod.0,
            waited_ms,
            "first byte"
        );
        connection.phase = Phase::Checking(attempt);
        let late = self
            .wheel
            .schedule(self.now + self.terms.connect_timeout, Due::Connect(link));
        connection
            .timer
            .replace(late)
            .map(|timer| self.wheel.cancel(timer));
        self.sockets.send(link, &out[..out.len() - LAST.len()]);
    }

    /// The empty query is answered: what breaks the connection may still be on its way.
    fn hold_back(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        let Some(attempt) = connection.phase.attempt().copied() else {
            return;
        };
        connection.phase = Phase::HoldingBack(attempt);
        let rest = self
            .wheel
            .schedule(self.now + HELD_BACK, Due::LastByte(link));
        connection
            .timer
            .replace(rest)
            .map(|timer| self.wheel.cancel(timer));
    }

    /// The connection lives: the last byte goes, and the pod begins, unless the attempt is no longer allowed.
    pub(super) fn release_last_byte(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        connection.timer = None;
        let Phase::HoldingBack(attempt) = connection.phase else {
            return;
        };
        match self.permit(attempt.hit, attempt.no) {
            Some(permit) => self.write_last_byte(link, attempt, permit),
            None => {
                self.close_connection(link);
                self.withdrawn(attempt);
            }
        }
    }

    fn write_last_byte(&mut self, link: SocketId, attempt: CarriedAttempt, _permit: SendPermit) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        tracing::debug!(
            hit = attempt.hit.0,
            no = attempt.no.0,
            pod = connection.pod.0,
            "last byte"
        );
        connection.phase = Phase::Sent(attempt, Default::default());
        self.sockets.send(link, LAST);
    }

    /// An attempt was not written and is no longer allowed: it never ran.
    fn withdrawn(&mut self, attempt: CarriedAttempt) {
        tracing::debug!(
            hit = attempt.hit.0,
            no = attempt.no.0,
            "withdrawn before it was written"
        );
        self.end_attempt(attempt.hit, attempt.no, AttemptOutcome::NeverSent);
    }

    /// What becomes of an attempt whose connection is gone.
    fn go_on(&mut self, attempt: CarriedAttempt, next: Next) {
        match next {
            Next::Again => self.dispatch(attempt.hit, attempt.no, attempt.redials + 1),
            Next::Unreached => {
                self.end_attempt(attempt.hit, attempt.no, AttemptOutcome::ConnectFailed)
            }
            Next::Broken => {
                self.end_attempt(attempt.hit, attempt.no, AttemptOutcome::ConnectionReset)
            }
        }
    }

    /// Tells the decisions how an attempt ended; each ends once.
    fn end_attempt(&mut self, hit: RequestId, no: AttemptIndex, fate: AttemptOutcome) {
        let Some(ended) = self.hits.end_attempt(hit, no, fate, self.now) else {
            return;
        };
        ended.timer.map(|timer| self.wheel.cancel(timer));
        self.events.push(Event::AttemptFinished(ended.result));
        self.forget(ended.completed_request);
    }

    pub(super) fn attempt_late(&mut self, hit: RequestId, no: AttemptIndex) {
        let Some(forward) = self.hits.active_attempt_mut(hit, no) else {
            return;
        };
        forward.timer = None;
        let link = forward.connection.take();
        // Not written for want of time: no sign of the pod, whose connection has a time-out of its own.
        let fate = if self.drop_attempt(link) {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::NeverSent
        };
        self.end_attempt(hit, no, fate);
    }

    pub(super) fn cancel(&mut self, hit: RequestId, no: AttemptIndex) {
        let Some(forward) = self.hits.active_attempt_mut(hit, no) else {
            return;
        };
        let link = forward.connection.take();
        self.drop_attempt(link);
        self.end_attempt(hit, no, AttemptOutcome::Cancelled);
    }

    /// Ends the attempts that have not been written and are no longer allowed.
    pub(super) fn withdraw(&mut self) {
        for (hit, no, _, link) in self.hits.active_attempts() {
            if self.permit(hit, no).is_none() {
                self.call_off_one(hit, no, link);
            }
        }
    }

    /// Ends the attempts to these pods that have not been written: they never ran.
    pub(super) fn call_off(&mut self, from: impl Fn(&List, PodId) -> bool) {
        for (hit, no, pod, link) in self.hits.active_attempts() {
            if from(&self.list, pod) {
                self.call_off_one(hit, no, link);
            }
        }
    }

    /// Nothing more is sent for a request that has its answer, or whose client is gone, whether or not an attempt that has
    /// been written may be cancelled.
    pub(super) fn call_off_rest(&mut self, hit: RequestId) {
        for (no, link) in self.hits.active_attempts_of(hit) {
            self.call_off_one(hit, no, link);
        }
    }

    fn call_off_one(&mut self, hit: RequestId, no: AttemptIndex, link: Option<SocketId>) {
        let Some(Peer::Pod(connection)) = link.and_then(|link| self.peers.get(&link)) else {
            return;
        };
        if connection.phase.is_unwritten() {
            self.drop_attempt(link);
            self.end_attempt(hit, no, AttemptOutcome::NeverSent);
        }
    }

    /// Takes an attempt off its connection; tells whether it had been written. A connection that still comes up is left to
    /// be used by others. One with an attempt on it is closed, as its answer may still come.
    fn drop_attempt(&mut self, link: Option<SocketId>) -> bool {
        let Some(link) = link else { return false };
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return false;
        };
        if connection.take_waiting().is_some() {
            return false;
        }
        let Some(until) = connection.phase.attempt().map(|attempt| attempt.until) else {
            return false;
        };
        let written = self.sockets.bytes_written(link) >= until;
        self.close_connection(link);
        written
    }
}

/// What comes on connections to pods.
impl Service {
    pub(super) fn pod_connected(&mut self, link: SocketId) {
        let mut out = BytesMut::new();
        encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
        self.sockets.send(link, &out);
    }

    /// The present phase of a connection has taken too long.
    pub(super) fn connection_late(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        connection.timer = None;
        if connection.phase.is_unwritten() {
            self.pod_lost(link, 0, ErrorKind::TimedOut);
            self.sockets.close(link);
        } else {
            // What began is no answer; or the pod does not say that the next attempt may come.
            self.spoilt(link);
        }
    }

    pub(super) fn pod_lost(&mut self, link: SocketId, written: u64, why: ErrorKind) {
        let Some(Peer::Pod(connection)) = self.peers.remove(&link) else {
            return;
        };
        connection.timer.map(|timer| self.wheel.cancel(timer));
        let phase = &connection.phase;
        let Some(attempt) = phase.attempt().copied() else {
            return self.forget_kept(link, connection.pod);
        };
        if let Some(idle) = connection.idle.filter(|_| !phase.has_answer()) {
            self.lapses.record(idle, false, self.now);
        }
        let unwritten = phase.is_connecting() || written < attempt.until;
        self.go_on(attempt, bounds::after_end(unwritten, why, attempt.redials));
    }

    pub(super) fn pod_wrote(&mut self, link: SocketId) {
        loop {
            let ended = self.sockets.has_ended(link);
            let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
                return;
            };
            let Some(input) = self.sockets.input(link) else {
                return;
            };
            let step = match connection.frames.next_message(input, longest_message) {
                Ok(Some(frame)) => connection.step(frame),
                Ok(None) if ended => {
                    let written = self.sockets.bytes_written(link);
                    self.sockets.close(link);
                    return self.pod_lost(link, written, ErrorKind::ConnectionReset);
                }
                Ok(None) => {
                    let has_more = !input.is_empty();
                    return self.wait_for_more(link, has_more);
                }
                Err(_) => Step::Spoilt,
            };
            match step {
                Step::On => {}
                Step::Ready => self.connection_ready(link),
                Step::CheckAnswered => self.hold_back(link),
                Step::Whole(attempt, answer) => self.answer_whole(link, attempt, &answer),
                Step::Failed(attempt, fate) => self.answer_failed(link, attempt, fate),
                Step::Spoilt => return self.spoilt(link),
            }
        }
    }

    /// No whole message is left. An answer that has begun is whole soon.
    fn wait_for_more(&mut self, link: SocketId, has_more: bool) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        let begun = connection.phase.has_answer() || connection.frames.is_mid_message() || has_more;
        if connection.phase.is_up() && begun && connection.timer.is_none() {
            connection.timer = Some(
                self.wheel
                    .schedule(self.now + WHOLE_WITHIN, Due::Connect(link)),
            );
        }
        self.sockets.resume_reading(link);
    }

    /// The pod takes the next attempt.
    fn connection_ready(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        connection
            .timer
            .take()
            .map(|timer| self.wheel.cancel(timer));
        let waiting = connection.take_waiting();
        connection.phase = Phase::Idle;
        // More bytes than an answer has: they would be taken for the next one's.
        let more = self
            .sockets
            .input(link)
            .is_none_or(|input| !input.is_empty())
            || self.sockets.has_peer_closed(link);
        // One to where the pod was, or to an earlier life of it, is not for the next attempt.
        let stale = self.list.life(connection.pod) != Some(connection.life);
        match waiting {
            Some(attempt) if more => {
                self.close_connection(link);
                self.go_on(attempt, bounds::after_noise(false, true, attempt.redials));
            }
            Some(attempt) => self.begin_writing(link, attempt),
            None if more || stale || self.shutdown.has_stopped_accepting() => {
                self.close_connection(link)
            }
            None => self.keep(link),
        }
    }

    /// Bounds the time in which the pod has to say that the next attempt may come.
    fn settle_connection(&mut self, link: SocketId) {
        let at = self.now + READY_WITHIN;
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        let old = connection
            .timer
            .replace(self.wheel.schedule(at, Due::Connect(link)));
        old.map(|timer| self.wheel.cancel(timer));
    }

    fn answer_whole(&mut self, link: SocketId, attempt: CarriedAttempt, answer: &[Bytes; 3]) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        if let Some(idle) = connection.idle.take() {
            self.lapses.record(idle, true, self.now);
        }
        self.settle_connection(link);
        let mut out = BytesMut::with_capacity(answer.iter().map(Bytes::len).sum::<usize>() + 32);
        for (kind, body) in [b'T', b'D', b'C'].into_iter().zip(answer) {
            encode::message_with_body(&mut out, kind, body);
        }
        self.settle(attempt.hit, out);
        self.end_attempt(attempt.hit, attempt.no, AttemptOutcome::Succeeded);
    }

    /// The pod answered with an error, or takes no more connections.
    fn answer_failed(
        &mut self,
        link: SocketId,
        attempt: Option<CarriedAttempt>,
        fate: AttemptOutcome,
    ) {
        let Some(Peer::Pod(connection)) = self.peers.get(&link) else {
            return;
        };
        match attempt {
            Some(_) if !connection.phase.is_connecting() => self.settle_connection(link),
            _ => self.close_connection(link),
        }
        attempt
            .into_iter()
            .for_each(|attempt| self.end_attempt(attempt.hit, attempt.no, fate));
    }

    /// What can't be an answer: the request may have run, and the connection is of no more use.
    fn spoilt(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get_mut(&link) else {
            return;
        };
        let phase = &connection.phase;
        let (connecting, unwritten) = (phase.is_connecting(), phase.is_unwritten());
        let attempt = phase.attempt().copied();
        self.close_connection(link);
        let Some(attempt) = attempt else { return };
        self.go_on(
            attempt,
            bounds::after_noise(connecting, unwritten, attempt.redials),
        );
    }
}

/// The pool.
impl Service {
    /// A kept connection on which nothing has come since: what a pod says unasked would be taken for the answer.
    fn idle_connection(&mut self, pod: PodId) -> Option<SocketId> {
        loop {
            let now = self.now;
            let IdleConnection {
                id,
                timer,
                idle_since: since,
            } = self
                .kept
                .take_if(pod, |link| now >= link.idle_since + RESTS)?;
            self.wheel.cancel(timer);
            let idle = now.saturating_sub(since);
            let good = self.lapses.is_reusable(idle) && self.sockets.is_silent(id);
            let Some(Peer::Pod(connection)) = self.peers.get_mut(&id) else {
                continue;
            };
            // Half a message that came unasked is none of the next answer.
            if good && !connection.frames.is_mid_message() && connection.timer.is_none() {
                connection.idle = Some(idle);
                return Some(id);
            }
            self.close_connection(id);
        }
    }

    fn connect(&mut self, pod: PodId) -> Result<SocketId, AttemptOutcome> {
        // What is left is for discovery, news and votes.
        if !self.makes_room() {
            return Err(AttemptOutcome::NeverSent);
        }
        let life = self.list.life(pod).ok_or(AttemptOutcome::ConnectFailed)?;
        let link = self.sockets.connect(life.dial).map_err(|trouble| {
            // Our own want is no sign of the pod: it must not be shut for it.
            let own = is_resource_exhaustion(&trouble);
            tracing::warn!(%trouble, own, "no way to a pod");
            if own {
                AttemptOutcome::NeverSent
            } else {
                AttemptOutcome::ConnectFailed
            }
        })?;
        let timer = self
            .wheel
            .schedule(self.now + self.terms.connect_timeout, Due::Connect(link));
        let connection = PodConnection::connecting(pod, life, timer);
        self.peers.insert(link, Peer::Pod(Box::new(connection)));
        Ok(link)
    }

    /// Keeps a connection that carries nothing for the next attempt to its pod.
    fn keep(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.get(&link) else {
            return;
        };
        let most = self
            .lapses
            .idle_timeout(bounds::kept(self.terms.idle_close));
        let timer = self.wheel.schedule(self.now + most, Due::Idle(link));
        self.kept.insert(
            connection.pod,
            IdleConnection {
                id: link,
                timer,
                idle_since: self.now,
            },
        );
    }

    /// Ends a connection; what it carried is ended by the caller.
    pub(super) fn close_connection(&mut self, link: SocketId) {
        let Some(Peer::Pod(connection)) = self.peers.remove(&link) else {
            return;
        };
        connection.timer.map(|timer| self.wheel.cancel(timer));
        self.forget_kept(link, connection.pod);
        self.sockets.close(link);
    }

    /// Whether a connection to a pod may be made: if all are taken, the pod with the most kept ones loses its
    /// oldest. Guards against connections kept to some pods that keep attempts from the others.
    fn makes_room(&mut self) -> bool {
        if self.sockets.open_count() >= self.room.max_connections {
            self.drop_kept();
        }
        self.sockets.open_count() < self.room.max_connections
    }

    pub(super) fn drop_kept(&mut self) {
        self.kept
            .eviction_candidate()
            .into_iter()
            .for_each(|link| self.close_connection(link));
    }

    fn forget_kept(&mut self, link: SocketId, pod: PodId) {
        self.kept
            .remove(pod, link)
            .map(|timer| self.wheel.cancel(timer));
    }
}
