//! Stand-ins for the platform's parties, each on threads of its own, that do as a test tells them: pods and
//! clients in PostgreSQL's protocol, discovery and rollouts over HTTP.

mod client;
mod messages;
mod pod;
mod pod_session;
mod services;
mod world;

pub use client::{Answer, Client};
pub use messages::answer;
pub use pod::{Does, Pod};
pub use services::{Discovery, Rollouts, Vote};
pub use world::{Faults, World};

use bytes::BytesMut;
use limewing_postgres_protocol::{Message, MessageDecoder, ProtocolError};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a stand-in waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// A connection read message by message.
pub struct Link {
    pub stream: TcpStream,
    pub input: BytesMut,
    frames: MessageDecoder,
}

impl Link {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            frames: MessageDecoder::default(),
        })
    }

    /// Reads more; none at the end.
    fn fill(&mut self) -> Option<()> {
        let mut some = [0; 16 * 1024];
        let length = self
            .stream
            .read(&mut some)
            .ok()
            .filter(|length| *length > 0)?;
        self.input.extend_from_slice(&some[..length]);
        Some(())
    }

    /// The next message; none at the end, or where none can be read.
    pub fn hear(&mut self) -> Option<Message> {
        loop {
            let read: Result<_, ProtocolError> =
                self.frames.next_message(&mut self.input, |_| Some(1 << 20));
            match read.ok()? {
                Some(frame) => return Some(frame),
                None => self.fill()?,
            }
        }
    }
}

/// A pod as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub host: String,
    pub dial: SocketAddr,
    pub build: u16,
    pub health: &'static str,
    /// When it started, in Unix time in milliseconds; 0: long ago.
    pub born_ms: u64,
}

impl Listed {
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

/// One object of a watch.
pub fn listing(seq: u64, whole: bool, pods: &[Listed]) -> String {
    let pods: Vec<String> = pods.iter().map(Listed::json).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        pods.join(",")
    )
}

/// How the newest build stands.
pub fn state(build: u16, stage: u8, name: &str, cap: f64) -> String {
    format!(r#"{{"Revision":{build},"Wave":{stage},"State":"{name}","MaxShare":{cap},"AgeMs":5}}"#)
}

/// A sidecar's configuration. Its path groups: `look` may run again, `order` has a mark against repeats, `pay`
/// must not run twice.
pub struct Config {
    pub discovery: SocketAddr,
    pub rollouts: Option<SocketAddr>,
    pub known: Vec<Listed>,
    pub descriptors: usize,
    /// Client timeout of all path groups, in seconds.
    pub patience: f64,
    pub second_copies: bool,
    /// How long a connection to a pod may take to come up, in seconds.
    pub connect: f64,
    /// Whether a forward that has gone out may be cancelled.
    pub cancel: bool,
    pub listen: SocketAddr,
    /// How many sidecars there are, and which of them this one is.
    pub sidecars: (u32, u32),
}

impl Config {
    /// With no discovery and no rollouts.
    pub fn new(known: Vec<Listed>) -> Self {
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let (rollouts, descriptors, patience, sidecars) = (None, 256, 5.0, (1, 0));
        let (second_copies, cancel, connect) = (false, true, 1.0);
        Self {
            connect,
            discovery,
            rollouts,
            known,
            descriptors,
            patience,
            second_copies,
            cancel,
            listen,
            sidecars,
        }
    }

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
        let group = |name: &str, repeat: &str| {
            format!(
                r#"{{"name":"{name}","repeat":"{repeat}","group":"all","window_s":3,"target_s":{patience},"deadline_s":{patience},"worth":1}}"#
            )
        };
        let groups = [
            group("look", "free"),
            group("order", "guarded"),
            group("pay", "single_shot"),
        ]
        .join(",");
        format!(
            r#"{{"name":"n{own}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{descriptors}}},{rollouts}"known":{known},
            "settings":{{"balancers":{sidecars},"me":{own},"zone":0,"azs":["a"],"shapes":["m"],"layers":["pods"],"membership_mode":"subscribe",
              "profiles":[{groups}],"realms":[{{"name":"acme"}}],
              "rules":{{"cold_from":0.5,"cold_s":1,"fall_multiple":2,"fall_s":1,"stop_sending_within_s":0.5}},
              "limits":{{"cancel":{cancel},"max_attempts":4,"max_retry_after_s":0.5,"retry_after":true,"second_copies":{second_copies},
                "connect_timeout_s":{connect},"idle_close_s":15}},
              "domain":{{"api_timeout_s":1,"counted_by":"all","gate_mode":"timer","most_shares":[0.5],"span_s":2,"stage_share":[0.5],
                "uncounted":1,"vote_ttl_s":4,"votes_to_revert":1}}}}}}"#
        )
    }
}
