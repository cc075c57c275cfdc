//! Emulators of the platform's services, each on its own threads and scripted by a test: pods and clients in the PostgreSQL protocol,
//! discovery and rollouts over HTTP.

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
pub use messages::answer;
pub use pod::{Does, Pod};
pub use services::{Discovery, Rollouts, Vote};
pub use world::World;
pub use world_pod::Faults;

use bytes::BytesMut;
use limewing_postgres_protocol::{Message, MessageDecoder, ProtocolError};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
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
pub struct Listed {
    /// Its name.
    pub host: String,
    /// The address at which it listens.
    pub dial: SocketAddr,
    /// The build that it runs.
    pub build: u16,
    /// Its health as discovery reports it.
    pub health: &'static str,
    /// Its start, as Unix time in milliseconds; 0 stands for long ago.
    pub born_ms: u64,
}

impl Listed {
    /// A pod in service that started long ago and runs build 1.
    #[must_use]
    pub fn new(host: &str, dial: SocketAddr) -> Self {
        Self {
            host: host.into(),
            dial,
            build: 1,
            health: "in_service",
            born_ms: 0,
        }
    }

    fn json(&self) -> String {
        let Self {
            host,
            dial,
            build,
            health,
            born_ms,
        } = self;
        format!(
            r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":{born_ms},"version_no":{build}}}"#
        )
    }
}

/// One object on a discovery watch.
#[must_use]
pub fn listing(seq: u64, whole: bool, pods: &[Listed]) -> String {
    let pods: Vec<String> = pods.iter().map(Listed::json).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        pods.join(",")
    )
}

/// The state of the newest build, as rollouts report it.
#[must_use]
pub fn state(build: u16, stage: u8, name: &str, cap: f64) -> String {
    format!(r#"{{"Revision":{build},"Wave":{stage},"State":"{name}","MaxShare":{cap},"AgeMs":5}}"#)
}

/// A sidecar's configuration. Of its request classes, `look` is idempotent, `order` has an idempotency key, and `pay` must not run twice.
pub struct Config {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of rollouts, if there are any.
    pub rollouts: Option<SocketAddr>,
    /// The endpoint list that the sidecar starts with.
    pub known: Vec<Listed>,
    /// The number of file descriptors that it may use.
    pub descriptors: usize,
    /// The client timeout of all request classes, in seconds.
    pub patience: f64,
    /// Whether requests are hedged.
    pub second_copies: bool,
    /// The connect timeout for pods, in seconds.
    pub connect: f64,
    /// Whether an attempt that was sent may be cancelled.
    pub cancel: bool,
    /// The address at which it listens.
    pub listen: SocketAddr,
    /// The number of sidecars, and the index of this one.
    pub sidecars: (u32, u32),
}

impl Config {
    /// A configuration without discovery and rollouts.
    #[must_use]
    pub fn new(known: Vec<Listed>) -> Self {
        Self {
            // Nothing listens on this port.
            discovery: SocketAddr::from(([127, 0, 0, 1], 1)),
            rollouts: None,
            known,
            descriptors: 256,
            patience: 5.0,
            second_copies: false,
            connect: 1.0,
            cancel: true,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            sidecars: (1, 0),
        }
    }

    /// The configuration in the sidecar's JSON format.
    #[must_use]
    pub fn json(&self) -> String {
        let Self {
            discovery,
            descriptors,
            patience,
            second_copies,
            connect,
            cancel,
            listen,
            sidecars,
            ..
        } = self;
        let (sidecars, own) = sidecars;
        let known = listing(7, true, &self.known);
        let rollouts = self.rollouts.map_or(String::new(), |at| {
            format!(
                r#""rollouts":{{"address":"{at}","news":{}}},"#,
                state(1, 0, "Healthy", 1.0)
            )
        });
        let class = |name: &str, repeat: &str| {
            format!(
                r#"{{"name":"{name}","repeat":"{repeat}","group":"all","window_s":3,"target_s":{patience},"deadline_s":{patience},"worth":1}}"#
            )
        };
        let classes = [
            class("look", "free"),
            class("order", "guarded"),
            class("pay", "single_shot"),
        ]
        .join(",");
        format!(
            r#"{{"name":"n{own}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{descriptors}}},{rollouts}"known":{known},
            "settings":{{"balancers":{sidecars},"me":{own},"zone":0,"azs":["a"],"shapes":["m"],"layers":["pods"],"membership_mode":"subscribe",
              "profiles":[{classes}],"realms":[{{"name":"acme"}}],
              "rules":{{"cold_from":0.5,"cold_s":1,"fall_multiple":2,"fall_s":1,"stop_sending_within_s":0.5}},
              "limits":{{"cancel":{cancel},"max_attempts":4,"max_retry_after_s":0.5,"retry_after":true,"second_copies":{second_copies},
                "connect_timeout_s":{connect},"idle_close_s":15}},
              "domain":{{"api_timeout_s":1,"counted_by":"all","gate_mode":"timer","most_shares":[0.5],"span_s":2,"stage_share":[0.5],
                "uncounted":1,"vote_ttl_s":4,"votes_to_revert":1}}}}}}"#
        )
    }
}
