//! Membership of the fleet: passes datagrams between the socket and `limewing_membership`, which tracks the other
//! sidecars, and delivers direct messages between sidecars.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `key_file` | the keys that authenticate datagrams, reloaded on SIGHUP |
//! | `coordination` | which pods this sidecar uses and health-checks, coordinated with other sidecars |
//! | `view` | `GET /limewing/fleet` |

mod coordination;
mod key_file;
mod view;

use super::direct_message::DirectMessage;
use super::unix_time::unix_ms;
use super::StartError;
use coordination::EndpointCoordination;
use key_file::KeyFile;
use limewing_coordination::Service;
use limewing_decision::interface::{Event, PodId};
use limewing_membership::{Config, MemberName, Membership};
use limewing_net::sockets::{SocketId, Sockets};
use limewing_proxy_core::clock::wall_clock_now;
use limewing_settings::{ConfigError, PeerSettings};
use std::net::SocketAddr;
use std::time::Duration;
pub use view::{EndpointSelectionView, MemberView, MembershipView};

/// The local sidecar, which joins the fleet.
pub(super) struct LocalMember<'a> {
    /// Its name, which identifies it to other sidecars.
    pub(super) name: &'a str,
    /// Index of its zone.
    pub(super) zone: u16,
    /// Seed of the random number generator of membership.
    pub(super) seed: u64,
}

/// A direct message from another sidecar.
pub(super) struct ReceivedMessage {
    /// Name of the sending sidecar.
    pub(super) from: String,
    /// The protocol byte and the encoded message.
    pub(super) bytes: Vec<u8>,
}

/// Membership of the fleet, with its socket and keys.
pub(super) struct FleetMembership {
    membership: Membership,
    socket: SocketId,
    listen_address: SocketAddr,
    keys: KeyFile,
    /// `None` if this sidecar selects its pods without coordination.
    coordination: Option<EndpointCoordination>,
}

impl FleetMembership {
    /// Binds the datagram socket and begins to join the fleet.
    ///
    /// # Errors
    /// The keys, the address or the name are invalid, or the socket cannot be bound.
    pub(super) fn start(
        now: Duration,
        local: &LocalMember,
        settings: &PeerSettings,
        sockets: &mut Sockets,
    ) -> Result<Self, StartError> {
        let (key_file, keys) = KeyFile::open(&settings.key_file).map_err(StartError::Keys)?;
        let at = settings.listen;
        let (socket, listen_address) = sockets
            .bind_datagrams(at)
            .map_err(|error| StartError::Datagrams { address: at, error })?;
        let name = MemberName::try_from(local.name.to_owned()).map_err(|expected| {
            StartError::Settings(ConfigError::new("/name", expected.to_string()))
        })?;
        let config = Config {
            name,
            started_at_ms: unix_ms(wall_clock_now()),
            started_at: now,
            address: settings.advertise.unwrap_or(listen_address),
            seed_addresses: settings.join.clone(),
            keys,
            probe_interval: settings.period.into(),
            bytes_per_second: settings.bytes_per_s,
            seed: local.seed,
        };
        let membership = Membership::new(now, config).map_err(StartError::Membership)?;
        tracing::info!(address = %listen_address, "membership is listening for datagrams");
        let coordination = settings
            .coordination
            .then(|| EndpointCoordination::new(now, local.name, local.zone));
        Ok(Self {
            membership,
            socket,
            listen_address,
            keys: key_file,
            coordination,
        })
    }

    /// When [`Self::turn`] or [`Self::observe_events`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        let next = self.membership.next_deadline();
        match &self.coordination {
            Some(coordination) => coordination.next_deadline().min(next),
            None => next,
        }
    }

    /// Observes the events that the decision engine is about to receive. `address` returns a pod's address. Returns the
    /// event that results from the load reports of other sidecars, if any.
    pub(super) fn observe_events(
        &mut self,
        now: Duration,
        events: &[Event],
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<Event> {
        let coordination = self.coordination.as_mut()?;
        for event in events {
            coordination.observe_event(now, event, &address);
        }
        let view = coordination.update(now, &mut self.membership)?;
        Some(Event::Fleet(view))
    }

    /// Records whether a control service answered its last poll, or whether its watch is established.
    pub(super) fn record_poll(&mut self, now: Duration, service: Service, answered: bool) {
        if let Some(coordination) = &mut self.coordination {
            coordination.record_poll(now, service, answered);
        }
    }

    /// When this sidecar may poll a service: `now`, or a later time at which to call this method again.
    pub(super) fn next_poll(&self, now: Duration, service: Service) -> Duration {
        match &self.coordination {
            Some(coordination) => coordination.next_poll(now, service),
            None => now,
        }
    }

    /// Processes a received datagram.
    pub(super) fn receive(&mut self, now: Duration, bytes: &[u8]) {
        if let Err(error) = self.membership.receive(now, bytes) {
            tracing::debug!(%error, "datagram rejected");
        }
    }

    /// Runs timers that are due, and sends outgoing datagrams.
    pub(super) fn turn(&mut self, now: Duration, sockets: &mut Sockets) {
        if now >= self.membership.next_deadline() {
            self.membership.tick(now);
        }
        while let Some((to, bytes)) = self.membership.take_datagram() {
            sockets.send_datagram(self.socket, to, &bytes);
        }
        while let Some(event) = self.membership.take_event() {
            tracing::info!(?event, "membership event");
        }
    }

    /// Sends a message to another sidecar. Does nothing if that sidecar is not known.
    pub(super) fn send_direct(&mut self, now: Duration, message: DirectMessage) {
        if let Ok(name) = MemberName::try_from(message.to) {
            self.membership.send_direct(now, &name, message.bytes);
        }
    }

    /// Takes the next received direct message.
    pub(super) fn take_direct_message(&mut self) -> Option<ReceivedMessage> {
        let (from, bytes) = self.membership.take_direct_message()?;
        Some(ReceivedMessage {
            from: from.to_string(),
            bytes,
        })
    }

    /// Names of the other members with status alive or suspect.
    pub(super) fn active_names(&self) -> impl Iterator<Item = String> + '_ {
        self.membership
            .active_members()
            .map(|member| member.update.name.to_string())
    }

    /// Leaves the fleet and notifies some of the other members.
    pub(super) fn leave(&mut self, now: Duration, sockets: &mut Sockets) {
        self.membership.leave(now);
        self.turn(now, sockets);
    }

    /// Reloads the key file. On an error, the old keys stay in use.
    pub(super) fn reload_keys(&mut self) {
        self.keys.reload(&mut self.membership);
    }
}
