//! Emulators of the platform's services, each on its own threads and scripted by a test: pods and clients in the PostgreSQL protocol,
//! discovery and the rollout service over HTTP.

mod client;
mod messages;
mod pod;
mod pod_session;
mod services;
mod world;
mod world_client;
mod world_pod;
mod world_record;

pub use client::{Answer, Client};
pub use messages::encode_answer;
pub use pod::{Pod, PodBehavior};
pub use services::{Discovery, RolloutService, VoteReplyScript};
pub use world::World;
pub use world_pod::Faults;

use bytes::BytesMut;
use limewing_postgres_protocol::{Message, MessageDecoder, ProtocolError};
use std::io::{self, Read};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// How long an emulator waits for an expected message.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest message that is accepted; tests send shorter ones.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection that is read message by message.
struct Connection {
    stream: TcpStream,
    /// Bytes that were read but do not form a whole message yet.
    input: BytesMut,
    decoder: MessageDecoder,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            decoder: MessageDecoder::default(),
        })
    }

    /// Reads more bytes; returns `None` at the end of the connection.
    fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let length = self
            .stream
            .read(&mut bytes)
            .ok()
            .filter(|length| *length > 0)?;
        self.input.extend_from_slice(&bytes[..length]);
        Some(())
    }

    /// Reads the next message; returns `None` at the end of the connection or after a protocol error.
    fn read_message(&mut self) -> Option<Message> {
        loop {
            let read: Result<_, ProtocolError> = self
                .decoder
                .next_message(&mut self.input, |_| Some(MAX_MESSAGE_BYTES));
            match read.ok()? {
                Some(message) => return Some(message),
                None => self.read_more()?,
            }
        }
    }
}

/// A pod's entry in the list of discovery.
#[derive(Clone, Debug)]
pub struct ListedPod {
    /// Its name.
    pub host: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The build that it runs.
    pub build: u16,
    /// Its health as discovery reports it.
    pub state: &'static str,
    /// Its start, as Unix time in milliseconds; 0 stands for long ago.
    pub started_at_ms: u64,
}

impl ListedPod {
    /// A pod in service that started long ago and runs build 1.
    #[must_use]
    pub fn new(host: &str, address: SocketAddr) -> Self {
        Self {
            host: host.into(),
            address,
            build: 1,
            state: "in_service",
            started_at_ms: 0,
        }
    }

    fn json(&self) -> String {
        let Self {
            host,
            address,
            build,
            state,
            started_at_ms,
        } = self;
        format!(
            r#"{{"host":"{host}","dial":"{address}","site":"a","class":"m","block":0,"health":"{state}","share":1.0,"born_ms":{started_at_ms},"version_no":{build}}}"#
        )
    }
}

/// One object on a discovery watch.
#[must_use]
pub fn endpoint_listing_json(seq: u64, whole: bool, pods: &[ListedPod]) -> String {
    let pods: Vec<String> = pods.iter().map(ListedPod::json).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        pods.join(",")
    )
}

/// The state of the newest build, as the rollout service reports it.
#[must_use]
pub fn rollout_state_json(build: u16, stage: u8, name: &str, cap: f64) -> String {
    format!(r#"{{"Revision":{build},"Wave":{stage},"State":"{name}","MaxShare":{cap},"AgeMs":5}}"#)
}

/// The version of the endpoint list that a sidecar starts with.
const CACHED_VERSION: u64 = 7;
/// An address at which nothing listens.
const NO_SERVICE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A sidecar's configuration. Of its request classes, `look` is idempotent, `order` has an idempotency key, and `pay` must not run twice.
pub struct SidecarConfigFile {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the rollout service, if there is one.
    pub rollouts: Option<SocketAddr>,
    /// The endpoint list that the sidecar starts with.
    pub cached_endpoints: Vec<ListedPod>,
    /// The number of file descriptors that it may use.
    pub max_descriptors: usize,
    /// The memory that it may use, in megabytes.
    pub max_memory_mb: usize,
    /// The client timeout of all request classes, in seconds.
    pub client_timeout_s: f64,
    /// The longest wait for the reply to a vote, in seconds.
    pub vote_timeout_s: f64,
    /// How long requests may go to a pod after its drain was told, in seconds.
    pub drain_grace_s: f64,
    /// Whether requests are hedged.
    pub second_copies: bool,
    /// The connect timeout for pods, in seconds.
    pub connect_timeout_s: f64,
    /// Whether an attempt that was sent may be cancelled.
    pub may_cancel: bool,
    /// Whether a routing key stays with the newest build that served it.
    pub sticky_keys: bool,
    /// The address at which it listens.
    pub listen: SocketAddr,
    /// The number of sidecars, and the index of this one.
    pub count_and_index: (u32, u32),
}

impl SidecarConfigFile {
    /// A configuration without discovery and the rollout service.
    #[must_use]
    pub fn new(cached_endpoints: Vec<ListedPod>) -> Self {
        Self {
            discovery: NO_SERVICE,
            rollouts: None,
            cached_endpoints,
            max_descriptors: 256,
            max_memory_mb: 64,
            client_timeout_s: 5.0,
            vote_timeout_s: 1.0,
            drain_grace_s: 0.5,
            second_copies: false,
            connect_timeout_s: 1.0,
            may_cancel: true,
            sticky_keys: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            count_and_index: (1, 0),
        }
    }

    /// Starts discovery that confirms the cached list, if the configuration has none. Without it, the sidecar relies on that list for the
    /// drain grace period only.
    pub fn confirm_endpoints(&mut self) {
        if self.discovery == NO_SERVICE {
            // It answers until the test process ends.
            let discovery = Discovery::new(endpoint_listing_json(CACHED_VERSION, false, &[]));
            self.discovery = discovery.address;
        }
    }

    /// The configuration in the sidecar's JSON format.
    #[must_use]
    pub fn json(&self) -> String {
        let Self {
            discovery,
            max_descriptors,
            max_memory_mb,
            client_timeout_s,
            vote_timeout_s,
            drain_grace_s,
            second_copies,
            connect_timeout_s,
            may_cancel,
            listen,
            count_and_index,
            ..
        } = self;
        let (sidecar_count, own_index) = count_and_index;
        let cached_endpoints = endpoint_listing_json(CACHED_VERSION, true, &self.cached_endpoints);
        let rollouts = self.rollouts.map_or(String::new(), |at| {
            format!(
                r#""rollouts":{{"address":"{at}","news":{}}},"#,
                rollout_state_json(1, 0, "Healthy", 1.0)
            )
        });
        let sticky_keys = if self.sticky_keys {
            r#""keys_stay":true,"#
        } else {
            ""
        };
        let class = |name: &str, repeat: &str| {
            format!(
                r#"{{"name":"{name}","repeat":"{repeat}","group":"all","window_s":3,"target_s":{client_timeout_s},"deadline_s":{client_timeout_s},"worth":1}}"#
            )
        };
        let classes = [
            class("look", "free"),
            class("order", "guarded"),
            class("pay", "single_shot"),
        ]
        .join(",");
        format!(
            r#"{{"name":"n{own_index}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{max_memory_mb},"sockets":{max_descriptors}}},{rollouts}"known":{cached_endpoints},
            "settings":{{"balancers":{sidecar_count},"me":{own_index},"zone":0,"azs":["a"],"shapes":["m"],"layers":["pods"],"membership_mode":"subscribe",
              "profiles":[{classes}],"realms":[{{"name":"acme"}}],
              "rules":{{"cold_from":0.5,"cold_s":1,"fall_multiple":2,"fall_s":1,"stop_sending_within_s":{drain_grace_s}}},
              "limits":{{"cancel":{may_cancel},"max_attempts":4,"max_retry_after_s":0.5,"retry_after":true,"second_copies":{second_copies},
                "connect_timeout_s":{connect_timeout_s},"idle_close_s":15}},
              "domain":{{"api_timeout_s":{vote_timeout_s},"counted_by":"all","gate_mode":"timer",{sticky_keys}"most_shares":[0.5],"span_s":2,"stage_share":[0.5],
                "uncounted":1,"vote_ttl_s":4,"votes_to_revert":1}}}}}}"#
        )
    }
}
