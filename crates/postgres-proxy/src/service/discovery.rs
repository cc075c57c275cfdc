//! The watch on the list of pods. It may be lost for long: the sidecar goes on with what it knows, and the
//! module asks again.

use super::{Due, Peer, Service};
use crate::bounds::{LIST_BEGINS_WITHIN, LIST_QUIET_AT_MOST};
use crate::lines::{Broken, Objects};
use crate::listing::Listing;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::{EndpointUpdate, Event, WatchLoss, WatchLossCause};
use limewing_net::body::Framing;
use limewing_net::http;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::io::ErrorKind;
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// One object of a watch is no longer than this, in bytes.
const LONGEST_LISTING: usize = 4 * 1024 * 1024;

pub struct WatchLink {
    objects: Objects,
    quiet: TimerKey,
    /// When its call was made.
    asked: Duration,
    /// The answer has begun.
    answered: bool,
    /// A list has come whole by it.
    listed: bool,
}

/// Why a watch is over.
#[derive(Debug, Error)]
pub enum WatchEnd {
    #[error("the connection was lost")]
    Lost,
    #[error("no connection: there is nobody at its address")]
    Unreachable,
    #[error("the watch ended")]
    Ended,
    #[error("the watch says nothing")]
    Silent,
    #[error(transparent)]
    Broken(#[from] Broken),
    #[error("{0}")]
    Unusable(String),
}

impl WatchEnd {
    /// A connection ended, or never came up.
    pub(super) fn of(why: ErrorKind) -> Self {
        match why {
            ErrorKind::ConnectionRefused => Self::Unreachable,
            _ => Self::Lost,
        }
    }

    /// What that means of the list.
    fn cause(&self, watch: &WatchLink) -> WatchLossCause {
        match self {
            Self::Broken(broken) if broken.is_refusal() => WatchLossCause::Refused,
            // A call that can't be taken may end by a reset, too.
            Self::Lost if !watch.answered => WatchLossCause::Refused,
            Self::Silent if !watch.answered => WatchLossCause::TimedOut,
            // Half an object, and no more of it.
            Self::Silent if !watch.listed => WatchLossCause::NoService,
            Self::Unreachable | Self::Broken(_) | Self::Unusable(_) => WatchLossCause::NoService,
            Self::Lost | Self::Ended | Self::Silent => WatchLossCause::Ended,
        }
    }
}

impl Service {
    pub(super) fn request(
        &self,
        method: &str,
        target: &str,
        host: String,
        body: &[u8],
    ) -> BytesMut {
        let fields = [
            ("host", &host[..]),
            ("user-agent", "limewing"),
            ("accept", "application/json"),
        ];
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let mut out = BytesMut::new();
        http::write_request(
            &mut out,
            method,
            target,
            fields,
            Framing::Length(body.len() as u64),
        );
        out.extend_from_slice(body);
        out
    }

    pub(super) fn ask_watch(&mut self) {
        if self.watch.is_some() {
            return;
        }
        let Ok(link) = self.sockets.connect(self.places.discovery) else {
            return self.list_fails(WatchLossCause::Ended);
        };
        let quiet = self
            .wheel
            .schedule(self.now + LIST_BEGINS_WITHIN, Due::WatchQuiet(link));
        let objects = Objects::new(LONGEST_LISTING);
        let (asked, answered, listed) = (self.now, false, false);
        let watch = WatchLink {
            objects,
            quiet,
            asked,
            answered,
            listed,
        };
        self.peers.insert(link, Peer::Watch(Box::new(watch)));
        self.watch = Some(link);
    }

    pub(super) fn watch_connected(&mut self, link: SocketId) {
        let target = format!("/api/targets?follow=1&since={}", self.list.seq);
        let request = self.request("GET", &target, self.places.discovery.to_string(), b"");
        self.sockets.send(link, &request);
    }

    pub(super) fn watch_wrote(&mut self, link: SocketId) {
        let ended = self.sockets.has_ended(link);
        let Some(Peer::Watch(of)) = self.peers.get_mut(&link) else {
            return;
        };
        let Some(input) = self.sockets.input(link) else {
            return;
        };
        let came = of.objects.take(input);
        let over = ended || of.objects.ended();
        // A trickle within one object is no sign of life: what it should tell is not told.
        if came.alive {
            self.list_heard = self.now;
            let fresh = self
                .wheel
                .schedule(self.now + LIST_QUIET_AT_MOST, Due::WatchQuiet(link));
            self.wheel.cancel(std::mem::replace(&mut of.quiet, fresh));
        }
        if came.alive && !std::mem::replace(&mut of.answered, true) {
            let waited_ms = (self.now - of.asked).as_millis() as u64;
            tracing::debug!(waited_ms, objects = came.objects.len(), "discovery answers");
        }
        of.listed |= !came.objects.is_empty();
        // What came whole before something that can't be read is told.
        let told = came
            .objects
            .iter()
            .try_for_each(|object| self.listed(object));
        match told.and(came.broken.map_or(Ok(()), |broken| Err(broken.into()))) {
            Err(why) => self.watch_lost(link, &why),
            Ok(()) if over => self.watch_lost(link, &WatchEnd::Ended),
            Ok(()) => self.sockets.resume_reading(link),
        }
    }

    fn listed(&mut self, object: &Bytes) -> Result<(), WatchEnd> {
        let unusable = |why: String| WatchEnd::Unusable(format!("an object of the list: {why}"));
        let told: Listing =
            serde_json::from_slice(object).map_err(|why| unusable(why.to_string()))?;
        let (seq, held) = (told.seq, self.list.seq);
        if seq < held {
            tracing::warn!(
                seq,
                held,
                "an older list: only what makes more careful is taken from it"
            );
        }
        let change = self
            .list
            .take(told, self.now, SystemTime::now())
            .map_err(unusable)?;
        for why in &change.unusable {
            tracing::warn!(
                seq,
                why,
                "an entry of the list can't be used: its pod gets nothing more"
            );
        }
        tracing::debug!(seq = self.list.seq, pods = self.list.len(), "the list");
        self.events.push(Event::Endpoints(change.news));
        // An attempt to a pod that drains or left is withdrawn by the decisions; they do not know of addresses.
        for pod in &change.moved {
            self.kept
                .connections_to(*pod)
                .into_iter()
                .for_each(|link| self.close_connection(link));
        }
        self.call_off(|_, pod| change.moved.contains(&pod));
        Ok(())
    }

    pub(super) fn close_watch(&mut self, link: SocketId) {
        if let Some(Peer::Watch(of)) = self.peers.remove(&link) {
            self.wheel.cancel(of.quiet);
        }
        self.sockets.close(link);
    }

    pub(super) fn watch_lost(&mut self, link: SocketId, why: &WatchEnd) {
        let mut cause = WatchLossCause::Ended;
        if let Some(Peer::Watch(of)) = self.peers.get(&link) {
            cause = why.cause(of);
            let waited_ms = (self.now - of.asked).as_millis() as u64;
            tracing::debug!(waited_ms, answered = of.answered, %why, "a watch ends");
        }
        self.close_watch(link);
        if self.old_watch == Some(link) {
            tracing::info!(%why, "the old watch is over");
            self.old_watch = None;
        } else if self.watch == Some(link) {
            tracing::warn!(%why, "no watch on the list; the old one stays");
            self.watch = None;
            self.list_fails(cause);
        }
    }

    fn list_fails(&mut self, why: WatchLossCause) {
        let silent = self.now.saturating_sub(self.list_heard);
        self.events
            .push(Event::Endpoints(EndpointUpdate::WatchLost(WatchLoss {
                silent_for: silent,
                cause: why,
            })));
    }
}
