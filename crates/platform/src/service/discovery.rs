//! The watch on the list of pods. It may be lost for long: the sidecar goes on with what it knows, and the
//! module asks again.

use super::{Due, Peer, Service};
use crate::lines::Lines;
use crate::listing::Listing;
use bytes::{Bytes, BytesMut};
use limewing::interface::{Event, ListNews};
use limewing_net::body::Framing;
use limewing_net::http;
use limewing_net::sockets::SocketId;
use limewing_net::wheel::TimerKey;
use std::time::{Duration, SystemTime};

/// One object of a watch is no longer than this, in bytes.
const LONGEST_LISTING: usize = 4 * 1024 * 1024;
/// An empty line comes every two seconds: a watch that says less is lost.
const QUIET_AT_MOST: Duration = Duration::from_millis(3500);
/// The answer to a watch begins within this time.
const BEGINS_WITHIN: Duration = Duration::from_millis(1500);

pub struct WatchLink {
    lines: Lines,
    quiet: TimerKey,
}

impl Service {
    pub(super) fn request(&self, method: &str, target: &str, host: String, body: &[u8]) -> BytesMut {
        let fields = [("host", &host[..]), ("user-agent", "limewing"), ("accept", "application/json")];
        let fields = fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let mut out = BytesMut::new();
        http::write_request(&mut out, method, target, fields, Framing::Length(body.len() as u64));
        out.extend_from_slice(body);
        out
    }

    pub(super) fn ask_watch(&mut self) {
        if self.watch.is_some() {
            return;
        }
        let Ok(link) = self.sockets.connect(self.places.discovery) else {
            return self.events.push(Event::List(ListNews::Failed));
        };
        let quiet = self.wheel.arm(self.now + BEGINS_WITHIN, Due::WatchQuiet(link));
        let lines = Lines::new(LONGEST_LISTING);
        self.peers.insert(link, Peer::Watch(Box::new(WatchLink { lines, quiet })));
        self.watch = Some(link);
    }

    pub(super) fn watch_connected(&mut self, link: SocketId) {
        let target = format!("/api/targets?follow=1&since={}", self.list.seq);
        let request = self.request("GET", &target, self.places.discovery.to_string(), b"");
        self.sockets.send(link, &request);
    }

    pub(super) fn watch_wrote(&mut self, link: SocketId) {
        let ended = self.sockets.ended(link);
        let fresh = self.wheel.arm(self.now + QUIET_AT_MOST, Due::WatchQuiet(link));
        let Some(Peer::Watch(of)) = self.peers.get_mut(&link) else { return };
        self.wheel.cancel(std::mem::replace(&mut of.quiet, fresh));
        let Some(input) = self.sockets.input(link) else { return };
        let read = of.lines.take(input);
        let over = ended || of.lines.ended();
        let told = read.and_then(|lines| lines.into_iter().try_for_each(|line| self.listed(line)));
        match told {
            Err(why) => self.watch_lost(link, &why),
            Ok(()) if over => self.watch_lost(link, "the watch ended"),
            Ok(()) => self.sockets.read_on(link),
        }
    }

    fn listed(&mut self, line: Bytes) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let told: Listing =
            serde_json::from_slice(&line).map_err(|e| format!("an object of the list: {e}"))?;
        let change = self.list.take(told, self.now, SystemTime::now())?;
        tracing::debug!(seq = self.list.seq, pods = self.list.len(), "the list");
        self.events.push(Event::List(change.news));
        for pod in change.moved {
            self.kept.of(pod).into_iter().for_each(|link| self.close_link(link));
        }
        self.call_off(|_, pod| change.unwilling.contains(&pod));
        Ok(())
    }

    pub(super) fn drop_watch(&mut self) {
        let Some(link) = self.watch.take() else { return };
        if let Some(Peer::Watch(of)) = self.peers.remove(&link) {
            self.wheel.cancel(of.quiet);
        }
        self.sockets.close(link);
    }

    pub(super) fn watch_lost(&mut self, link: SocketId, why: &str) {
        if self.watch != Some(link) {
            return;
        }
        tracing::warn!(why, "no watch on the list; the old one stays");
        self.drop_watch();
        self.events.push(Event::List(ListNews::Failed));
    }
}
