//! One HTTP sidecar: the state that its event loop owns, and its parts.
//!
//! - `startup` builds a sidecar from its settings
//! - `event_loop` waits for sockets and timers, and dispatches to the other parts
//! - `clients` reads requests and writes responses
//! - `upstream` sends attempts to pods and reads their responses
//! - `control` polls the endpoint list, watches stages and votes
//! - `peers` connects the loop with what the sidecars of a fleet share
//! - `shutdown` settles what is in flight before the process exits

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

/// How long the exit waits for the state file.
const STATE_FILE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a connection is for, with its state.
enum ConnectionRole {
    /// A client's.
    Client(Box<Client>),
    /// To a pod.
    Upstream(Box<UpstreamConnection>),
    /// A query of the endpoint list.
    EndpointList(Box<EndpointListConnection>),
    /// The stream of stage updates.
    StageStream(Box<StageStreamConnection>),
    /// A vote.
    Vote(Box<VoteCall>),
}

/// What a timer is for.
enum TimerEvent {
    /// The attempt has no response.
    AttemptTimeout(AttemptId),
    /// The connection to a pod is not established.
    ConnectTimeout(SocketId),
    /// The connection to a pod was idle for long.
    IdleTimeout(SocketId),
    /// The client's request has not arrived.
    RequestTimeout(SocketId),
    /// The client does not read its response.
    ClientStalled(SocketId),
    /// The endpoint list is to be queried.
    PollEndpointList,
    /// The query of the endpoint list has no response.
    EndpointListTimeout(SocketId),
    /// The stream of stage updates is to be opened.
    OpenStageStream,
    /// The stream of stage updates is silent.
    StageStreamTimeout(SocketId),
    /// The vote has no reply.
    VoteTimeout(SocketId),
}

/// One HTTP sidecar.
pub struct Service {
    sockets: Sockets,
    clock: Clock,
    /// The time of this turn of the event loop.
    now: Duration,
    timers: TimerWheel<TimerEvent>,
    connections: FxHashMap<SocketId, ConnectionRole>,
    decisions: Box<dyn Decisions + Send>,
    /// When the decisions have something due.
    wake_at: Duration,
    /// What the decisions are to be told next.
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
    /// Where clients are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.clients.listener.address()
    }

    /// Serves until it has been told to shut down and has settled what was in flight.
    ///
    /// # Errors
    /// The system refuses to wait for sockets.
    pub fn run(mut self) -> io::Result<()> {
        while !self.shutdown.is_done() {
            self.turn()?;
        }
        self.peers.leave_at_exit(self.now, &mut self.sockets);
        if !self.endpoints.flush_state_file(STATE_FILE_TIMEOUT) {
            tracing::warn!(
                "state file not written before the exit, the next start begins with an older list"
            );
        }
        Ok(())
    }
}
