//! Stand-ins for the second review: pods and clients in PostgreSQL's protocol 3, discovery and the
//! rollout service over HTTP/1.1, and a real sidecar as a process of its own. Everything listens on
//! loopback addresses, writes what happened to a record, and uses the standard library only.

pub mod client;
pub mod discovery;
pub mod pod;
pub mod record;
pub mod rollouts;
pub mod sidecar;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Why a case could not run.
pub type CaseError = String;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Runs a case and turns its result into the exit code of its script: 0 held, 1 broken, 2 not run.
pub fn exit_with(record: &record::Record, result: Result<Verdict, CaseError>) -> ! {
    let code = match result {
        Ok(Verdict::Held) => {
            record.say("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.say("verdict: the rule was broken");
            1
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    record.flush();
    std::process::exit(code)
}

/// Whether the disruption is to take place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Binds a listener to a free port.
pub fn listen() -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free loopback port")
}

/// Returns an address for the sidecar that is free now. It is on a loopback address of its own, so
/// that no outgoing connection of the stand-ins takes the port while the sidecar is not there.
pub fn free_address() -> SocketAddr {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 2], 0)))
        .and_then(|listener| listener.local_addr())
        .expect("a free loopback port")
}

/// The wall-clock time in milliseconds, as in `born_ms`.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.draw() >> 11) % bound
    }
}
