//! The clients' side: statements become hits, and each hit gets one final answer.

use super::{Due, Peer, Service, MOST_UNSENT};
use crate::bounds::{self, Idle, MOST_WAITING, SPEAKS_WITHIN, SWEEP_EVERY, TURNED_AWAY_AFTER};
use crate::statement;
use bytes::BytesMut;
use limewing_decision::interface::{Event, Request, RequestId};
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_postgres_protocol::decode::StartupPacket;
use limewing_postgres_protocol::encode::{ErrorResponse, Severity};
use limewing_postgres_protocol::{count_complete_messages, decode, encode, MessageDecoder};
use std::time::Duration;

/// Messages of a client that are no statement are no longer than this.
const LONGEST_OTHER: usize = 4 * 1024;
const REFUSED: &str = "53300";
const LATE: &str = "57014";
const FAILED: &str = "58000";
const BAD_STATEMENT: &str = "42601";
const BAD_MESSAGE: &str = "08P01";
const TOO_MANY: &str = "too many statements at once";

pub struct Client {
    frames: MessageDecoder,
    begun: bool,
    /// It has had an answer to a statement of the form that is served.
    served: bool,
    hit: Option<RequestId>,
    since: Duration,
    /// When it is closed if it says nothing whole.
    silent: Option<TimerKey>,
    /// It is turned away: with what code and words.
    away: Option<(&'static str, String)>,
}

impl Service {
    pub(super) fn client_came(&mut self, id: SocketId) {
        self.clients += 1;
        let silent = Some(
            self.wheel
                .schedule(self.now + SPEAKS_WITHIN, Due::Silent(id)),
        );
        let (frames, since) = (MessageDecoder::default(), self.now);
        let client = Client {
            frames,
            begun: false,
            served: false,
            hit: None,
            since,
            silent,
            away: None,
        };
        self.peers.insert(id, Peer::Client(Box::new(client)));
    }

    fn client(&mut self, id: SocketId) -> Option<&mut Client> {
        match self.peers.get_mut(&id) {
            Some(Peer::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub(super) fn client_wrote(&mut self, id: SocketId) {
        loop {
            let ended = self.sockets.has_ended(id);
            let Some(Peer::Client(client)) = self.peers.get_mut(&id) else {
                return;
            };
            if client.away.is_some() {
                return;
            }
            if client.hit.is_some() {
                // What comes behind waits its turn; a client that closed its side is gone, whatever it left unread.
                if self.sockets.has_peer_closed(id) {
                    return self.client_gone(id);
                }
                let behind = self
                    .sockets
                    .input(id)
                    .map_or(0, |input| count_complete_messages(input, MOST_WAITING + 1));
                // A flood that comes in parts is turned away as one that comes at once.
                return if behind > MOST_WAITING {
                    self.give_up(id)
                } else {
                    Default::default()
                };
            }
            // Nothing more is taken off a client that does not read its answers.
            if self.sockets.unsent_bytes(id) > MOST_UNSENT {
                return;
            }
            let Some(input) = self.sockets.input(id) else {
                return;
            };
            if !client.begun {
                match decode::startup_packet(input) {
                    Ok(Some(StartupPacket::StartupMessage)) => self.welcome(id),
                    Ok(Some(StartupPacket::SslRequest)) => self.sockets.send(id, b"N"),
                    Ok(Some(StartupPacket::CancelRequest)) => return self.client_gone(id),
                    Ok(None) if ended => return self.client_gone(id),
                    Ok(None) => return self.sockets.resume_reading(id),
                    Err(why) => return self.turn_away(id, BAD_MESSAGE, why.to_string()),
                }
                continue;
            }
            let most = |kind| match kind {
                b'Q' => Some(statement::LONGEST),
                b'X' | b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'S' | b'F' | b'd' | b'c'
                | b'f' | b'p' => Some(LONGEST_OTHER),
                _ => None,
            };
            let before = input.len();
            match client.frames.next_message(input, most) {
                Ok(Some(frame)) if frame.kind == b'Q' => match decode::string(&frame.body) {
                    Some(text) => self.statement(id, text),
                    None => {
                        return self.turn_away(id, BAD_MESSAGE, "a query that is no text".into())
                    }
                },
                Ok(Some(frame)) if frame.kind == b'X' => return self.client_gone(id),
                Ok(Some(_)) => {
                    return self.turn_away(id, "0A000", "only simple queries are served".into())
                }
                Ok(None) if ended => return self.client_gone(id),
                Ok(None) => {
                    if client.silent.is_none() && (client.frames.is_mid_message() || before > 0) {
                        let at = self.now + SPEAKS_WITHIN;
                        client.silent = Some(self.wheel.schedule(at, Due::Silent(id)));
                    }
                    // What was held is taken over by now: the system may have more.
                    return self.sockets.resume_reading(id);
                }
                Err(why) => return self.turn_away(id, BAD_MESSAGE, why.to_string()),
            }
        }
    }

    fn welcome(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.begun = true;
        let mut out = BytesMut::with_capacity(256);
        let parameters = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        encode::session_start(&mut out, &parameters);
        self.sockets.send(id, &out);
    }

    fn statement(&mut self, id: SocketId, text: &str) {
        let plain = text.trim().trim_end_matches(';').trim();
        let verb = plain.split_ascii_whitespace().next().unwrap_or_default();
        let mut out = BytesMut::new();
        match verb.to_ascii_uppercase().as_str() {
            "" => encode::empty_query_response(&mut out),
            verb @ ("SET" | "RESET" | "DISCARD") => encode::command_complete(&mut out, verb),
            _ => return self.hit(id, text),
        }
        encode::ready_for_query(&mut out);
        self.sockets.send(id, &out);
        self.spoke(id);
    }

    /// A client said something whole: it is no longer waited for.
    fn spoke(&mut self, id: SocketId) {
        let now = self.now;
        let Some(client) = self.client(id) else {
            return;
        };
        client.since = now;
        client.silent.take().map(|key| self.wheel.cancel(key));
    }

    fn hit(&mut self, id: SocketId, text: &str) {
        let statement = match self.names.read(text) {
            Ok(statement) => statement,
            Err(why) => return self.turn_away(id, BAD_STATEMENT, why.into()),
        };
        if self.ids.contains(&statement.id) {
            return self.turn_away(
                id,
                BAD_STATEMENT,
                "the id is that of another hit that is open".into(),
            );
        }
        let behind = self
            .sockets
            .input(id)
            .map_or(0, |input| count_complete_messages(input, MOST_WAITING + 1));
        if behind > MOST_WAITING {
            return self.turn_away(id, "54000", TOO_MANY.into());
        }
        self.spoke(id);
        let due = self.now + statement.waits - bounds::margin(statement.waits);
        let (group, customer, key) = (statement.group, statement.customer, statement.key);
        self.ids.insert(statement.id.clone());
        let hit = self.hits.insert(id, due, statement);
        self.events.push(Event::RequestArrived(Request {
            id: hit,
            class: group,
            tenant: customer,
            routing_key: key,
            deadline: due,
        }));
        if let Some(client) = self.client(id) {
            client.hit = Some(hit);
        }
    }

    pub(super) fn bounce(&mut self, hit: RequestId, retry_after: Duration) {
        let mut digits = itoa::Buffer::new();
        // No time is no advice.
        let wait = (!retry_after.is_zero()).then(|| digits.format(retry_after.as_millis() as u64));
        let mut out = BytesMut::new();
        encode::error_response(
            &mut out,
            &ErrorResponse {
                severity: Severity::Error,
                sqlstate: REFUSED,
                message: "not served now: a retry is harmless",
                detail: wait,
            },
        );
        self.settle(hit, out);
    }

    pub(super) fn fail(&mut self, hit: RequestId) {
        let late = self
            .hits
            .get(hit)
            .is_some_and(|open| self.now >= open.deadline);
        let mut out = BytesMut::new();
        encode::error_response(
            &mut out,
            &ErrorResponse {
                severity: Severity::Error,
                sqlstate: if late { LATE } else { FAILED },
                message: "failed: it may have run",
                detail: None,
            },
        );
        self.settle(hit, out);
    }

    /// The final answer of a hit; `out` lacks the word that the next statement may come.
    pub(super) fn settle(&mut self, hit: RequestId, mut out: BytesMut) {
        let Some(open) = self.hits.pending_mut(hit) else {
            return;
        };
        open.completed = true;
        let client = open.client.take();
        self.call_off_rest(hit);
        self.tidy(hit);
        let Some(id) = client else { return };
        encode::ready_for_query(&mut out);
        self.sockets.send(id, &out);
        let (now, leaves) = (self.now, self.shutdown.has_begun());
        let Some(client) = self.client(id) else {
            return;
        };
        (client.hit, client.since, client.served) = (None, now, true);
        // Whoever is served by a sidecar that leaves is to find another one. What it sent behind is still served.
        if !(leaves && self.let_go(id)) {
            self.client_wrote(id);
        }
    }

    pub(super) fn tidy(&mut self, hit: RequestId) {
        let last = self.hits.remove_if_complete(hit);
        self.forget(last);
    }

    pub(super) fn forget(&mut self, last: Option<statement::Statement>) {
        if let Some(statement) = last {
            self.ids.remove(&statement.id);
        }
    }

    /// What a client says can't be used: it is told why, and its connection ends.
    fn turn_away(&mut self, id: SocketId, code: &'static str, why: String) {
        tracing::debug!(code, why, "a client is turned away");
        let at = self.now + TURNED_AWAY_AFTER;
        let Some(client) = self.client(id) else {
            return;
        };
        client.away = Some((code, why));
        client.frames = MessageDecoder::default();
        let old = client.silent.take();
        old.map(|key| self.wheel.cancel(key));
        let speak = self.wheel.schedule(at, Due::Speak(id));
        if let Some(client) = self.client(id) {
            client.silent = Some(speak);
        }
    }

    pub(super) fn turn_away_now(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.silent = None;
        let Some((code, why)) = client.away.take() else {
            return;
        };
        let mut out = BytesMut::new();
        encode::error_response(
            &mut out,
            &ErrorResponse {
                severity: Severity::Fatal,
                sqlstate: code,
                message: &why,
                detail: None,
            },
        );
        self.sockets.send(id, &out);
        self.forget_client(id);
        self.sockets.close(id);
    }

    pub(super) fn client_silent(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.silent = None;
        if client.hit.is_none() {
            let mut out = BytesMut::new();
            encode::error_response(
                &mut out,
                &ErrorResponse {
                    severity: Severity::Fatal,
                    sqlstate: "57P05",
                    message: "nothing whole was said in time",
                    detail: None,
                },
            );
            self.sockets.send(id, &out);
            self.drop_client(id);
        }
    }

    /// Where many connections stand, those that have long been idle are closed: some clients keep theirs for good.
    pub(super) fn sweep(&mut self) {
        self.wheel.schedule(self.now + SWEEP_EVERY, Due::Sweep);
        let (now, clients, room) = (self.now, self.clients, self.room.max_accepted);
        let idle = self.idle_clients().into_iter();
        let over = |idle: &Idle| {
            bounds::overstays(idle, clients, room, now) || self.shutdown.has_stopped_accepting()
        };
        let over: Vec<_> = idle
            .filter(|(idle, _)| over(idle))
            .map(|(_, id)| id)
            .collect();
        for id in over {
            self.let_go(id);
        }
    }

    /// Closes a connection that has no hit, unless a statement has begun to come on it or lies with the system: its client
    /// would have to ask again. Tells whether it did. A client that has not asked yet has its time to.
    fn let_go(&mut self, id: SocketId) -> bool {
        let Some(client) = self.client(id) else {
            return false;
        };
        let asks =
            client.hit.is_some() || client.silent.is_some() || client.frames.is_mid_message();
        if asks || !self.sockets.is_silent(id) {
            return false;
        }
        self.drop_client(id);
        true
    }

    fn idle_clients(&self) -> Vec<(Idle, SocketId)> {
        let idle = self.peers.iter().filter_map(|(id, peer)| match peer {
            Peer::Client(client) if client.hit.is_none() => Some((
                Idle {
                    served: client.served,
                    since: client.since,
                },
                *id,
            )),
            _ => None,
        });
        idle.collect()
    }

    pub(super) fn make_room_for_clients(&mut self) {
        let go = bounds::make_room(self.idle_clients(), self.now);
        go.into_iter()
            .for_each(|id| match self.client(id).map(|c| c.away.is_some()) {
                Some(true) => self.turn_away_now(id),
                // What it said lies with the system: it is read next.
                _ if self.sockets.has_unread_input(id) => {}
                _ => self.drop_client(id),
            });
        if self.sockets.open_count() >= self.room.max_connections {
            (0..self.kept.len().div_ceil(8)).for_each(|_| self.drop_kept());
        }
    }

    /// Those that still come are let in first; from now on each connection is closed once nothing is open on it.
    pub(super) fn close_door(&mut self) {
        self.door = !self.sockets.stop_listening(self.listener);
        let mut idle = self.idle_clients();
        idle.sort_unstable();
        for (_, id) in idle {
            self.let_go(id);
        }
    }

    /// The client went: its hit is over, if it had one.
    pub(super) fn client_gone(&mut self, id: SocketId) {
        let hit = self.client(id).and_then(|client| client.hit.take());
        self.forget_client(id);
        self.sockets.close(id);
        self.left(hit);
    }

    /// The client floods while its hit is out: that is over, and it is turned away.
    fn give_up(&mut self, id: SocketId) {
        let hit = self.client(id).and_then(|client| client.hit.take());
        self.left(hit);
        self.turn_away(id, "54000", TOO_MANY.into());
    }

    fn left(&mut self, hit: Option<RequestId>) {
        let Some(hit) = hit else { return };
        let Some(open) = self.hits.get_mut(hit) else {
            return;
        };
        open.client = None;
        if !open.completed {
            open.completed = true;
            self.events.push(Event::ClientDisconnected(hit));
            self.call_off_rest(hit);
            self.tidy(hit);
        }
    }

    /// Closes once all that was said is sent.
    pub(super) fn drop_client(&mut self, id: SocketId) {
        self.forget_client(id);
        self.sockets.close_when_sent(id);
    }

    fn forget_client(&mut self, id: SocketId) {
        let Some(Peer::Client(client)) = self.peers.remove(&id) else {
            return;
        };
        self.clients -= 1;
        client.silent.map(|key| self.wheel.cancel(key));
    }
}
