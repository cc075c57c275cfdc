//! The pods' side: forwards, what became of them, and the connections they go over.
//!
//! What proves that a forward never ran: its connection never came up, or broke before the last byte of the
//! forward was with the system, or the pod says that it turned it away. So the last byte is held back until
//! the pod has answered an empty query that goes before it on the same connection: a connection that is dead,
//! or that breaks under the first bytes, then proves that nothing ran, and another one carries the forward.

use super::{Due, Peer, Service};
use crate::bounds::{self, Next, HELD_BACK, READY_WITHIN, RESTS, WHOLE_WITHIN};
use crate::listing::{Life, List};
use bytes::{Bytes, BytesMut};
use limewing::interface::{Event, Fate, ForwardNo, HitId, PodId};
use limewing_hosting::kept::Link;
use limewing_hosting::open::Forward;
use limewing_hosting::permit::SendPermit;
use limewing_net::sockets::{is_own_want, SocketId};
use limewing_net::wheel::TimerKey;
use limewing_pg::{read, write, Frame, Frames};
use std::io::ErrorKind;
use std::time::Duration;

/// A row that a pod may send, and any other message of its.
const LONGEST_ROW: usize = 64 * 1024 + 64;
const LONGEST_OTHER: usize = 8 * 1024;
/// The last byte of every statement's message.
const LAST: &[u8] = &[0];
/// With this code a pod tells that it has not begun a hit.
const TURNED_AWAY: &str = "53300";

pub struct PodLink {
    pod: PodId,
    /// The life of the pod that it was made to.
    life: Life,
    state: State,
    frames: Frames,
    /// While it comes up, settles, or has begun an answer.
    timer: Option<TimerKey>,
    job: Option<Job>,
    /// How long it had been idle before the present forward, if it was kept.
    idle: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    /// Carries a forward, or is kept for the next.
    Up,
    /// The answer has come, but not yet the word that the next may.
    Settling,
}

/// One forward on a connection.
struct Job {
    hit: HitId,
    no: ForwardNo,
    /// The connection's empty query is not answered yet, and the last byte not written.
    checking: bool,
    /// Bytes written on this connection when all of it is.
    until: u64,
    /// Connections that broke under it before it was written.
    broken: u8,
    described: Option<Bytes>,
    row: Option<Bytes>,
}

/// What a message of a pod means.
enum Step {
    On,
    Up,
    /// The empty query is answered.
    Lives,
    /// The answer is whole: the completion's bytes.
    Whole(Bytes),
    Turned(Fate),
    Spoilt,
}

impl Service {
    pub(super) fn forward(&mut self, hit: HitId, pod: PodId, within: Duration) {
        let now = self.now;
        let Some(open) = self.hits.get_mut(hit) else { return };
        let no = ForwardNo(open.forwards.len() as u16);
        let due = if within.is_zero() { open.due } else { open.due.min(now + within) };
        let timer = Some(self.wheel.arm(due, Due::Forward(hit, no)));
        open.forwards.push(Forward { pod, sent: now, link: None, timer, ended: false });
        let spent = open.forwards.len() > self.terms.max_forwards;
        if open.over || spent || now >= due {
            return self.end_forward(hit, no, Fate::Void);
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (id, list) = (open.of.id.as_str(), self.list.seq);
            tracing::debug!(
                id,
                hit = hit.0,
                no = no.0,
                pod = pod.0,
                host = self.list.host(pod),
                list,
                "permitted"
            );
        }
        self.carry(hit, no, 0);
    }

    /// Puts a forward on a connection.
    fn carry(&mut self, hit: HitId, no: ForwardNo, broken: u8) {
        if SendPermit::ask(&self.module, self.now, hit, no).is_none() {
            return self.end_forward(hit, no, Fate::Void);
        }
        let Some(pod) = self.hits.out(hit, no).map(|forward| forward.pod) else { return };
        let link = match self.kept_link(pod) {
            Some(link) => link,
            None => match self.new_link(pod) {
                Ok(link) => link,
                Err(fate) => return self.end_forward(hit, no, fate),
            },
        };
        if let Some(forward) = self.hits.out(hit, no) {
            forward.link = Some(link);
        }
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        of.job = Some(Job { hit, no, checking: true, until: u64::MAX, broken, described: None, row: None });
        if of.state == State::Up {
            self.write_forward(link);
        }
    }

    /// A kept connection on which nothing has come since: what a pod says unasked would be taken for the answer.
    fn kept_link(&mut self, pod: PodId) -> Option<SocketId> {
        loop {
            let now = self.now;
            let Link { id, timer, since } = self.kept.take_if(pod, |link| now >= link.since + RESTS)?;
            self.wheel.cancel(timer);
            let idle = now.saturating_sub(since);
            let good = self.lapses.bears(idle) && self.sockets.is_quiet(id);
            let Some(Peer::Pod(of)) = self.peers.get_mut(&id) else { continue };
            // Half a message that came unasked is none of the next answer.
            if good && !of.frames.begun() && of.timer.is_none() {
                of.idle = Some(idle);
                return Some(id);
            }
            self.close_link(id);
        }
    }

    fn new_link(&mut self, pod: PodId) -> Result<SocketId, Fate> {
        // What is left is for discovery, news and votes.
        if !self.makes_room() {
            return Err(Fate::Void);
        }
        let life = self.list.life(pod).ok_or(Fate::Unreached)?;
        let link = self.sockets.connect(life.dial).map_err(|trouble| {
            // Our own want is no sign of the pod: it must not be shut for it.
            let own = is_own_want(&trouble);
            tracing::warn!(%trouble, own, "no way to a pod");
            if own {
                Fate::Void
            } else {
                Fate::Unreached
            }
        })?;
        let timer = Some(self.wheel.arm(self.now + self.terms.connect_timeout, Due::Connect(link)));
        let (state, frames) = (State::Opening, Frames::default());
        let link_to = PodLink { pod, life, state, frames, timer, job: None, idle: None };
        self.peers.insert(link, Peer::Pod(Box::new(link_to)));
        Ok(link)
    }

    /// The first bytes of a forward leave: all but its last one.
    fn write_forward(&mut self, link: SocketId) {
        let Some(_permit) = self.permit(link) else { return self.withdraw_from(link) };
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let Some(job) = &mut of.job else { return };
        let Some(open) = self.hits.get(job.hit) else { return };
        if let Some(sent) = self.hits.forward(job.hit, job.no) {
            let waited_ms = (self.now - sent.sent).as_millis() as u64;
            tracing::debug!(hit = job.hit.0, no = job.no.0, pod = of.pod.0, waited_ms, "first byte");
        }
        let mut out = BytesMut::with_capacity(open.of.text.len() + 24);
        write::query(&mut out, "");
        write::query(&mut out, &open.of.waiting(open.due.saturating_sub(self.now)));
        job.until = self.sockets.written(link) + out.len() as u64;
        let late = self.wheel.arm(self.now + self.terms.connect_timeout, Due::Connect(link));
        of.timer.replace(late).map(|timer| self.wheel.cancel(timer));
        self.sockets.send(link, &out[..out.len() - LAST.len()]);
    }

    /// The empty query is answered: what breaks the connection may still be on its way.
    fn lives(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let rest = self.wheel.arm(self.now + HELD_BACK, Due::Rest(link));
        of.timer.replace(rest).map(|timer| self.wheel.cancel(timer));
    }

    /// The connection lives: the last byte goes, and the pod begins.
    pub(super) fn write_rest(&mut self, link: SocketId) {
        let Some(_permit) = self.permit(link) else { return self.withdraw_from(link) };
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let Some(job) = &mut of.job else { return };
        tracing::debug!(hit = job.hit.0, no = job.no.0, pod = of.pod.0, "last byte");
        job.checking = false;
        of.timer = None;
        self.sockets.send(link, LAST);
    }

    pub(super) fn pod_connected(&mut self, link: SocketId) {
        let mut out = BytesMut::new();
        write::startup(&mut out, &[("user", "api"), ("database", "ledger")]);
        self.sockets.send(link, &out);
    }

    pub(super) fn connect_late(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        of.timer = None;
        let silent = of.state == State::Opening || of.job.as_ref().is_some_and(|job| job.checking);
        if silent {
            self.pod_lost(link, 0, ErrorKind::TimedOut);
            self.sockets.close(link);
        } else {
            // What began is no answer; or the pod does not say that the next forward may come.
            self.spoilt(link);
        }
    }

    pub(super) fn pod_lost(&mut self, link: SocketId, written: u64, why: ErrorKind) {
        let Some(Peer::Pod(of)) = self.peers.remove(&link) else { return };
        of.timer.map(|timer| self.wheel.cancel(timer));
        let Some(job) = of.job else { return self.forget_kept(link, of.pod) };
        if let Some(idle) = of.idle.filter(|_| job.described.is_none()) {
            self.lapses.note(idle, false, self.now);
        }
        let unwritten = of.state == State::Opening || written < job.until;
        self.goes_on(job, |broken| bounds::after_end(unwritten, why, broken));
    }

    /// What becomes of a forward whose connection is gone.
    fn goes_on(&mut self, job: Job, next: impl FnOnce(u8) -> Next) {
        match next(job.broken) {
            Next::Again => self.carry(job.hit, job.no, job.broken + 1),
            Next::Unreached => self.end_forward(job.hit, job.no, Fate::Unreached),
            Next::Broken => self.end_forward(job.hit, job.no, Fate::Broken),
        }
    }

    pub(super) fn pod_wrote(&mut self, link: SocketId) {
        loop {
            let ended = self.sockets.ended(link);
            let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
            let Some(input) = self.sockets.input(link) else { return };
            let most = |kind| match kind {
                b'D' => Some(LONGEST_ROW),
                b'R' | b'S' | b'K' | b'Z' | b'T' | b'C' | b'E' | b'N' | b'I' => Some(LONGEST_OTHER),
                _ => None,
            };
            let step = match of.frames.take(input, most) {
                Ok(Some(frame)) => of.step(frame),
                Ok(None) if ended => {
                    let written = self.sockets.written(link);
                    self.sockets.close(link);
                    return self.pod_lost(link, written, ErrorKind::ConnectionReset);
                }
                Ok(None) => {
                    let begun = of.job.as_ref().is_some_and(|job| job.described.is_some())
                        || of.frames.begun()
                        || !input.is_empty();
                    if of.state == State::Up && begun && of.timer.is_none() {
                        of.timer = Some(self.wheel.arm(self.now + WHOLE_WITHIN, Due::Connect(link)));
                    }
                    return self.sockets.read_on(link);
                }
                Err(_) => Step::Spoilt,
            };
            match step {
                Step::On => {}
                Step::Up => self.pod_is_up(link),
                Step::Lives => self.lives(link),
                Step::Whole(tag) => self.answer_whole(link, &tag),
                Step::Turned(fate) => self.answer_turned(link, fate),
                Step::Spoilt => return self.spoilt(link),
            }
        }
    }

    /// The pod takes the next forward.
    fn pod_is_up(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let timer = of.timer.take();
        of.state = State::Up;
        let (free, pod, life) = (of.job.is_none(), of.pod, of.life);
        timer.map(|timer| self.wheel.cancel(timer));
        // More bytes than an answer has: they would be taken for the next one's.
        let more =
            self.sockets.input(link).is_none_or(|input| !input.is_empty()) || self.sockets.hung_up(link);
        // One to where the pod was, or to an earlier life of it, is not for the next forward.
        let stale = self.list.life(pod) != Some(life);
        if more || (self.shutdown.closes() || stale) && free {
            return self.close_link(link);
        }
        if free {
            self.keep_link(link);
        } else {
            self.write_forward(link);
        }
    }

    fn take_job(&mut self, link: SocketId) -> Option<Job> {
        let at = self.now + READY_WITHIN;
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return None };
        let job = of.job.take()?;
        of.state = State::Settling;
        let old = of.timer.replace(self.wheel.arm(at, Due::Connect(link)));
        old.map(|timer| self.wheel.cancel(timer));
        Some(job)
    }

    fn answer_whole(&mut self, link: SocketId, tag: &[u8]) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let Some(Job { row: Some(_), .. }) = &of.job else { return };
        if let Some(idle) = of.idle.take() {
            self.lapses.note(idle, true, self.now);
        }
        let Some(job) = self.take_job(link) else { return };
        let (Some(described), Some(row)) = (job.described, job.row) else { return };
        let mut out = BytesMut::with_capacity(described.len() + row.len() + tag.len() + 32);
        for (kind, body) in [(b'T', &described[..]), (b'D', &row[..]), (b'C', tag)] {
            write::again(&mut out, kind, body);
        }
        self.settle(job.hit, out);
        self.end_forward(job.hit, job.no, Fate::Delivered);
    }

    /// The pod answered with an error.
    fn answer_turned(&mut self, link: SocketId, fate: Fate) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        if of.state == State::Opening {
            // It takes no more connections.
            let job = of.job.take();
            self.close_link(link);
            job.into_iter().for_each(|job| self.end_forward(job.hit, job.no, fate));
            return;
        }
        match self.take_job(link) {
            Some(job) => self.end_forward(job.hit, job.no, fate),
            None => self.close_link(link),
        }
    }

    /// What can't be an answer: the hit may have run, and the connection is of no more use.
    fn spoilt(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let (job, opening) = (of.job.take(), of.state == State::Opening);
        self.close_link(link);
        let Some(job) = job else { return };
        let unwritten = job.checking;
        self.goes_on(job, |broken| bounds::after_noise(opening, unwritten, broken));
    }

    /// Tells the module how a forward ended; each ends once.
    fn end_forward(&mut self, hit: HitId, no: ForwardNo, fate: Fate) {
        let Some(ended) = self.hits.end(hit, no, fate, self.now) else { return };
        ended.timer.map(|timer| self.wheel.cancel(timer));
        self.events.push(Event::Outcome(ended.outcome));
        self.forget(ended.last);
    }

    pub(super) fn forward_late(&mut self, hit: HitId, no: ForwardNo) {
        let Some(forward) = self.hits.out(hit, no) else { return };
        forward.timer = None;
        let link = forward.link.take();
        // Not written for want of time: no sign of the pod, whose connection has a time-out of its own.
        let fate = if self.drop_job(link) { Fate::TimedOut } else { Fate::Void };
        self.end_forward(hit, no, fate);
    }

    /// Permission for the forward on a connection to begin or to end now.
    fn permit(&self, link: SocketId) -> Option<SendPermit> {
        let Some(Peer::Pod(of)) = self.peers.get(&link) else { return None };
        let job = of.job.as_ref()?;
        SendPermit::ask(&self.module, self.now, job.hit, job.no)
    }

    /// The forward on a connection is no longer allowed: it never ran. A connection that carries nothing of it yet is kept.
    fn withdraw_from(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return };
        let Some(job) = &of.job else { return };
        let (hit, no) = (job.hit, job.no);
        tracing::debug!(hit = hit.0, no = no.0, pod = of.pod.0, "withdrawn before it was written");
        if of.state == State::Up && job.until == u64::MAX {
            of.job = None;
            self.keep_link(link);
        } else {
            self.drop_job(Some(link));
        }
        self.end_forward(hit, no, Fate::Void);
    }

    /// Keeps a connection that carries nothing for the next forward to its pod.
    fn keep_link(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.get(&link) else { return };
        let most = self.lapses.keeps(bounds::kept(self.terms.idle_close));
        let timer = self.wheel.arm(self.now + most, Due::Idle(link));
        self.kept.put(of.pod, Link { id: link, timer, since: self.now });
    }

    /// Ends the forwards that have not gone out and are no longer allowed.
    pub(super) fn withdraw(&mut self) {
        for (hit, no, _, link) in self.hits.all_out() {
            if SendPermit::ask(&self.module, self.now, hit, no).is_none() {
                self.call_off_one(hit, no, link);
            }
        }
    }

    /// Ends the forwards to these pods that have not gone out: they never ran.
    pub(super) fn call_off(&mut self, from: impl Fn(&List, PodId) -> bool) {
        for (hit, no, pod, link) in self.hits.all_out() {
            if from(&self.list, pod) {
                self.call_off_one(hit, no, link);
            }
        }
    }

    /// Nothing more is sent for a hit that has its answer, or whose client is gone, whether or not a forward that has gone
    /// out may be cancelled.
    pub(super) fn call_off_rest(&mut self, hit: HitId) {
        for (no, link) in self.hits.out_of(hit) {
            self.call_off_one(hit, no, link);
        }
    }

    fn call_off_one(&mut self, hit: HitId, no: ForwardNo, link: Option<SocketId>) {
        let on = link.and_then(|link| match self.peers.get(&link) {
            Some(Peer::Pod(of)) => Some(of),
            _ => None,
        });
        let waits =
            |of: &PodLink| of.state == State::Opening || of.job.as_ref().is_some_and(|job| job.checking);
        if on.is_some_and(|of| waits(of)) {
            self.drop_job(link);
            self.end_forward(hit, no, Fate::Void);
        }
    }

    pub(super) fn cancel(&mut self, hit: HitId, no: ForwardNo) {
        let Some(forward) = self.hits.out(hit, no) else { return };
        let link = forward.link.take();
        self.drop_job(link);
        self.end_forward(hit, no, Fate::Cancelled);
    }

    /// Takes a forward off its connection; tells whether it had been written. A connection that still comes up
    /// is left to be used by others. One with a forward on it is closed, as its answer may still come.
    fn drop_job(&mut self, link: Option<SocketId>) -> bool {
        let Some(link) = link else { return false };
        let Some(Peer::Pod(of)) = self.peers.get_mut(&link) else { return false };
        let Some(job) = of.job.take() else { return false };
        if of.state == State::Opening {
            return false;
        }
        let written = self.sockets.written(link) >= job.until;
        self.close_link(link);
        written
    }

    pub(super) fn close_idle(&mut self, link: SocketId) {
        self.close_link(link);
    }

    /// Ends a connection that carries nothing.
    pub(super) fn close_link(&mut self, link: SocketId) {
        let Some(Peer::Pod(of)) = self.peers.remove(&link) else { return };
        of.timer.map(|timer| self.wheel.cancel(timer));
        self.forget_kept(link, of.pod);
        self.sockets.close(link);
    }

    /// Whether a connection to a pod may be made: if all are taken, the pod with the most kept ones loses its
    /// oldest. Guards against connections kept to some pods that keep hits from the others.
    fn makes_room(&mut self) -> bool {
        if self.sockets.open() >= self.room.shared {
            self.drop_kept();
        }
        self.sockets.open() < self.room.shared
    }

    pub(super) fn drop_kept(&mut self) {
        self.kept.spare().into_iter().for_each(|link| self.close_link(link));
    }

    fn forget_kept(&mut self, link: SocketId, pod: PodId) {
        self.kept.forget(pod, link).map(|timer| self.wheel.cancel(timer));
    }
}

impl PodLink {
    fn step(&mut self, frame: Frame) -> Step {
        let Frame { kind, body } = frame;
        match (self.state, kind) {
            // Notices and parameters may come at any time.
            (_, b'N' | b'S') => Step::On,
            (State::Opening, b'R') if read::is_welcome(&body) => Step::On,
            (State::Opening, b'K') => Step::On,
            (State::Opening | State::Settling, b'Z') => Step::Up,
            (State::Opening, b'E') => Step::Turned(match read::code(&body) {
                Some(TURNED_AWAY) => Fate::TurnedAway,
                _ => Fate::Unreached,
            }),
            (State::Up, kind) => self.answer(kind, body),
            _ => Step::Spoilt,
        }
    }

    fn answer(&mut self, kind: u8, body: Bytes) -> Step {
        let Some(job) = &mut self.job else { return Step::Spoilt };
        match kind {
            b'I' if job.checking && body.is_empty() => return Step::On,
            b'Z' if job.checking => return Step::Lives,
            _ if job.checking => return Step::Spoilt,
            _ => {}
        }
        match (kind, &job.described, &job.row) {
            (b'T', None, None) if read::only_column(&body).is_some() => job.described = Some(body),
            (b'D', Some(_), None) if read::only_value(&body).is_some() => job.row = Some(body),
            (b'C', Some(_), Some(_)) if read::text(&body).is_some() => return Step::Whole(body),
            (b'E', ..) => {
                return match read::code(&body) {
                    Some(TURNED_AWAY) if job.described.is_none() => Step::Turned(Fate::TurnedAway),
                    Some(_) => Step::Turned(Fate::Errored),
                    None => Step::Spoilt,
                }
            }
            _ => return Step::Spoilt,
        }
        Step::On
    }
}
