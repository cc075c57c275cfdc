//! The watch on the endpoint list of discovery. It may be lost for a long time: the sidecar
//! continues with the known list, and the decision engine requests a new watch.

use super::http_request::encode_request;
use super::service_connection::{EndedConnection, ServiceConnections};
use super::{ConnectionRole, Service, TimerEvent};
use crate::endpoint_list::{EndpointList, ListingError};
use crate::endpoint_listing::EndpointListing;
use crate::line_codec::{ObjectReader, StreamError};
use crate::timeouts::{
    ENDPOINT_LEASE, ENDPOINT_LEASE_AFTER_MOVE, WATCH_ANSWER_TIMEOUT, WATCH_SILENCE_TIMEOUT,
};
use bytes::Bytes;
use limewing_decision::interface::{EndpointUpdate, Event, WatchLoss, WatchLossCause};
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::io::ErrorKind;
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// Maximum length of one object of a watch, in bytes.
const MAX_OBJECT: usize = 4 * 1024 * 1024;

/// The endpoint list, and the watch that keeps it up to date.
pub(super) struct DiscoveryState {
    pub(super) endpoints: EndpointList,
    watches: ServiceConnections,
    /// When a listing, or an empty line after one, was last received on the current watch, on the
    /// monotonic clock of the sidecar. Later updates may have been missed.
    last_heard: Duration,
}

impl DiscoveryState {
    pub(super) fn new(endpoints: EndpointList, now: Duration) -> Self {
        Self {
            endpoints,
            watches: ServiceConnections::default(),
            last_heard: now,
        }
    }
}

/// The service that a watch is connected to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListSource {
    Current,
    /// The service at the address before a new configuration.
    Former,
}

/// The connection of a watch.
pub(super) struct WatchConnection {
    reader: ObjectReader,
    /// Limits the wait for the response, or for the next line or object.
    timer: TimerKey,
    /// When the call was made, on the monotonic clock of the sidecar.
    called_at: Duration,
    has_answer: bool,
    /// Whether a complete object has been received.
    has_object: bool,
}

/// Why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// The connection broke.
    #[error("connection lost")]
    ConnectionLost,
    /// The connection was refused.
    #[error("connection refused")]
    Unreachable,
    /// The response was complete.
    #[error("end of the response")]
    Ended,
    /// The response, or the next line or object, did not arrive in time.
    #[error("no data received in time")]
    Silent,
    /// The response is malformed.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// An object is not a listing.
    #[error("invalid listing: {0}")]
    Json(#[from] serde_json::Error),
    /// A listing cannot be applied.
    #[error("unusable listing: {0}")]
    Listing(#[from] ListingError),
}

impl WatchError {
    /// Returns the error for a connection that was lost or not established.
    pub(super) fn from_connection_error(error: ErrorKind) -> Self {
        match error {
            ErrorKind::ConnectionRefused => Self::Unreachable,
            _ => Self::ConnectionLost,
        }
    }

    /// Returns the cause of the loss, for the decision engine.
    fn cause(&self, watch: &WatchConnection) -> WatchLossCause {
        match self {
            Self::Stream(error) if error.is_overload() => WatchLossCause::Refused,
            // Discovery may also reset a call that it cannot accept.
            Self::ConnectionLost if !watch.has_answer => WatchLossCause::Refused,
            Self::Silent if !watch.has_answer => WatchLossCause::TimedOut,
            // A slow service: the response began, but its first object did not arrive in time.
            Self::Silent if !watch.has_object => WatchLossCause::TimedOut,
            Self::Unreachable => WatchLossCause::NoService,
            Self::ConnectionLost
            | Self::Ended
            | Self::Silent
            | Self::Stream(_)
            | Self::Json(_)
            | Self::Listing(_) => WatchLossCause::Ended,
        }
    }
}

impl Service {
    /// Opens a watch, if there is none.
    pub(super) fn watch_endpoints(&mut self) {
        if self.discovery.watches.is_open() {
            return;
        }
        let Ok(socket) = self.sockets.connect(self.services.discovery) else {
            return self.report_watch_loss(WatchLossCause::Ended);
        };
        let deadline = self.now + WATCH_ANSWER_TIMEOUT;
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::WatchTimeout(socket));
        let watch = WatchConnection {
            reader: ObjectReader::new(MAX_OBJECT),
            timer,
            called_at: self.now,
            has_answer: false,
            has_object: false,
        };
        self.connections
            .insert(socket, ConnectionRole::Watch(Box::new(watch)));
        self.discovery.watches.set_current(socket);
    }

    pub(super) fn send_watch_request(&mut self, socket: SocketId) {
        let version = self.discovery.endpoints.version();
        let target = format!("/api/targets?follow=1&since={version}");
        let host = self.services.discovery.to_string();
        let request = encode_request("GET", &target, &host, b"");
        self.sockets.send(socket, &request);
    }

    pub(super) fn read_watch(&mut self, socket: SocketId) {
        let has_ended = self.sockets.has_ended(socket);
        let Some(ConnectionRole::Watch(watch)) = self.connections.get_mut(&socket) else {
            return;
        };
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        let received = watch.reader.read(input);
        let is_over = has_ended || watch.reader.has_ended();
        // Bytes within an object are no proof that discovery is alive, because they carry no update
        // until it is complete.
        if received.is_alive {
            let deadline = self.now + WATCH_SILENCE_TIMEOUT;
            let timer = self
                .timers
                .schedule(deadline, TimerEvent::WatchTimeout(socket));
            self.timers
                .cancel(std::mem::replace(&mut watch.timer, timer));
        }
        if received.is_alive && !watch.has_answer {
            watch.has_answer = true;
            let waited_ms = (self.now - watch.called_at).as_millis() as u64;
            let objects = received.items.len();
            tracing::debug!(waited_ms, objects, "endpoint watch answered");
        }
        let is_empty_line = received.is_alive && received.items.is_empty() && watch.has_object;
        watch.has_object |= !received.items.is_empty();
        let source = if self.discovery.watches.is_current(socket) {
            ListSource::Current
        } else {
            ListSource::Former
        };
        if is_empty_line {
            self.record_contact(source);
        }
        // Complete objects before invalid bytes are applied.
        let result = self
            .apply_listings(&received.items, source)
            .and(received.error.map_or(Ok(()), |error| Err(error.into())));
        match result {
            Err(error) => self.handle_watch_end(socket, &error),
            Ok(()) if is_over => self.handle_watch_end(socket, &WatchError::Ended),
            Ok(()) => self.sockets.resume_reading(socket),
        }
    }

    /// Records that the list was up to date until now, unless the source is a former one.
    fn record_contact(&mut self, source: ListSource) {
        if source == ListSource::Current {
            self.discovery.last_heard = self.now;
        }
    }

    fn apply_listings(&mut self, objects: &[Bytes], source: ListSource) -> Result<(), WatchError> {
        for object in objects {
            self.apply_listing(object, source)?;
        }
        Ok(())
    }

    fn apply_listing(&mut self, object: &Bytes, source: ListSource) -> Result<(), WatchError> {
        let listing: EndpointListing = serde_json::from_slice(object)?;
        let version = listing.version;
        let known_version = self.discovery.endpoints.version();
        if version < known_version {
            tracing::warn!(
                version,
                known_version,
                "endpoint list is older than the known one, only its restrictions are applied"
            );
        }
        let endpoints = &mut self.discovery.endpoints;
        let change = match source {
            ListSource::Current => endpoints.apply(listing, self.now, SystemTime::now())?,
            ListSource::Former => endpoints.apply_former(listing, self.now, SystemTime::now())?,
        };
        self.record_contact(source);
        for error in &change.errors {
            tracing::warn!(
                version,
                error,
                "endpoint cannot be used, it gets no further requests"
            );
        }
        tracing::debug!(
            version = self.discovery.endpoints.version(),
            endpoints = self.discovery.endpoints.len(),
            "endpoint list applied"
        );
        self.events.push(Event::Endpoints(change.update));
        // The decision engine ends attempts to pods that are draining or have left, but does not
        // know addresses, so connections to former addresses are closed here.
        for pod in &change.relocated {
            for socket in self.upstream.pool.connections_to(*pod) {
                self.close_pod_connection(socket);
            }
        }
        self.end_unwritten_attempts(|_, pod| change.relocated.contains(&pod));
        Ok(())
    }

    /// Moves the watch to a new address of discovery. A watch is opened there immediately, and the
    /// former one is read to its end, because updates that were sent on it count as known and are
    /// not sent again.
    pub(super) fn move_watch(&mut self) {
        if let Some(socket) = self.discovery.watches.begin_move() {
            self.close_watch(socket);
        }
        let lease_spent = ENDPOINT_LEASE - ENDPOINT_LEASE_AFTER_MOVE;
        self.discovery.last_heard = self.now.saturating_sub(lease_spent);
        self.watch_endpoints();
    }

    fn close_watch(&mut self, socket: SocketId) {
        if let Some(ConnectionRole::Watch(watch)) = self.connections.remove(&socket) {
            self.timers.cancel(watch.timer);
        }
        self.sockets.close(socket);
    }

    pub(super) fn handle_watch_end(&mut self, socket: SocketId, error: &WatchError) {
        let mut cause = WatchLossCause::Ended;
        if let Some(ConnectionRole::Watch(watch)) = self.connections.get(&socket) {
            cause = error.cause(watch);
            let waited_ms = (self.now - watch.called_at).as_millis() as u64;
            tracing::debug!(waited_ms, answered = watch.has_answer, %error, "endpoint watch ended");
        }
        self.close_watch(socket);
        match self.discovery.watches.remove(socket) {
            EndedConnection::Former => {
                tracing::info!(%error, "endpoint watch on the former address ended");
            }
            EndedConnection::Current => {
                tracing::warn!(%error, "endpoint watch lost, keeping the known list");
                self.report_watch_loss(cause);
            }
            EndedConnection::Unknown => {}
        }
    }

    fn report_watch_loss(&mut self, cause: WatchLossCause) {
        let loss = WatchLoss {
            silent_for: self.now.saturating_sub(self.discovery.last_heard),
            cause,
        };
        let update = EndpointUpdate::WatchLost(loss);
        self.events.push(Event::Endpoints(update));
    }
}

#[cfg(test)]
mod tests;
