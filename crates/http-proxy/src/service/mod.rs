//! One HTTP sidecar: the state that its event loop owns, and its components.
//!
//! - `startup` builds a sidecar from its settings
//! - `event_loop` waits for sockets and timers, and dispatches events to the other modules
//! - `clients` reads requests and writes responses
//! - `upstream` sends attempts to pods and reads their responses
//! - `control` watches the endpoint list and the rollout stages, and sends votes
//! - `peers` connects the event loop to membership, replicated state and maintenance
//! - `shutdown` completes requests in flight before the process exits

mod attempt_token;
mod clients;
mod control;
mod decisions;
mod direct_message;
mod event_loop;
mod maintenance;
mod membership;
mod peers;
mod replication;
mod settings;
mod shutdown;
mod start_error;
mod startup;
mod unix_time;
mod upstream;

use crate::request_classifier::RequestClassifier;
use attempt_token::AttemptId;
use clients::{Client, ClientRequest, Clients};
use control::endpoint_watch::{EndpointListConnection, EndpointWatch};
use control::known_endpoints::KnownEndpoints;
use control::stage_watch::{StageStreamConnection, StageWatch};
pub use decisions::Decisions;
use limewing_decision::interface::Event;
use limewing_net::sockets::{SocketId, Sockets};
use limewing_net::timer_wheel::TimerWheel;
use limewing_proxy_core::clock::Clock;
use limewing_proxy_core::in_flight::InFlightRequests;
use limewing_proxy_core::shutdown::Shutdown;
use limewing_proxy_core::vote_call::VoteCall;
pub use maintenance::{ListView, MachineView, MaintenanceRequest, MaintenanceView, WorkReport};
pub use membership::{EndpointSelectionView, MemberView, MembershipView};
use peers::Peers;
pub use replication::{LogView, ReplicationView};
use rustc_hash::FxHashMap;
use settings::ServiceSettings;
pub use start_error::StartError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use upstream::{Upstream, UpstreamConnection};

/// Maximum time to wait at exit for the state file to be written.
const STATE_FILE_TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a connection, with its state.
enum ConnectionRole {
    /// A client connection.
    Client(Box<Client>),
    /// A connection to a pod.
    Upstream(Box<UpstreamConnection>),
    /// A query of the endpoint list.
    EndpointList(Box<EndpointListConnection>),
    /// The stage stream of the rollout service.
    StageStream(Box<StageStreamConnection>),
    /// A vote to the rollout service.
    Vote(Box<VoteCall>),
}

/// The purpose of a timer.
enum TimerEvent {
    /// An attempt has not received its response in time.
    AttemptTimeout(AttemptId),
    /// A connection to a pod was not established in time.
    ConnectTimeout(SocketId),
    /// A connection to a pod reached its idle timeout.
    IdleTimeout(SocketId),
    /// A client's request was not received in time.
    RequestTimeout(SocketId),
    /// A client has not read its response in time.
    ClientStalled(SocketId),
    /// The next query of the endpoint list is due.
    PollEndpointList,
    /// A query of the endpoint list timed out.
    EndpointListTimeout(SocketId),
    /// The next attempt to open the stage stream is due.
    OpenStageStream,
    /// The stage stream was silent for too long.
    StageStreamTimeout(SocketId),
    /// A vote has not received its reply in time.
    VoteTimeout(SocketId),
}

/// One HTTP sidecar.
pub struct Service {
    sockets: Sockets,
    clock: Clock,
    /// The time of the current turn of the event loop.
    now: Duration,
    timers: TimerWheel<TimerEvent>,
    connections: FxHashMap<SocketId, ConnectionRole>,
    decisions: Box<dyn Decisions + Send>,
    /// When the decision engine's next timer is due.
    wake_at: Duration,
    /// Events for the next call of the decision engine.
    events: Vec<Event>,
    settings: ServiceSettings,
    classifier: RequestClassifier,
    requests: InFlightRequests<ClientRequest>,
    clients: Clients,
    upstream: Upstream,
    endpoints: KnownEndpoints,
    endpoint_watch: EndpointWatch,
    stages: StageWatch,
    peers: Peers,
    shutdown: Shutdown,
}

impl Service {
    /// The address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.clients.listener.address()
    }

    /// Runs the event loop until shutdown was requested and requests in flight are complete.
    ///
    /// # Errors
    /// Waiting for socket events failed.
    pub fn run(mut self) -> io::Result<()> {
        while !self.shutdown.is_done() {
            self.turn()?;
        }
        self.peers.leave_at_exit(self.now, &mut self.sockets);
        if !self.endpoints.flush_state_file(STATE_FILE_TIMEOUT) {
            tracing::warn!(
                "state file not written before exit; the next start begins with an older endpoint list"
            );
        }
        Ok(())
    }
}
