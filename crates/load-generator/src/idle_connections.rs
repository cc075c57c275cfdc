//! Measures the cost of idle connections to a sidecar: the memory per connection, as the slope between few and many
//! connections, and the CPU time used while all of them are idle.

use crate::child_process::ChildProcess;
use crate::error::LoadError;
use crate::request::{get_request, MAX_RESPONSE_BYTES, QUOTE_PATH};
use crate::sidecar_settings::write_sidecar_settings;
use bytes::BytesMut;
use comfy_table::{presets, Table};
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum number of connections being opened at once, which fits into the backlog of a listener.
const MAX_OPENING: usize = 64;
/// Time without any event after which the sidecar is considered unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum duration of one poll, which bounds how late the response timeout is detected.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of pods behind the sidecar.
const POD_COUNT: usize = 4;
/// Number of bytes in a KiB.
const BYTES_PER_KIB: u64 = 1024;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct IdlePlan {
    /// Number of connections in the first measurement.
    pub few: usize,
    /// Number of connections in the second measurement.
    pub many: usize,
    /// Whether each connection serves one request before it becomes idle.
    pub after_request: bool,
    /// Duration of the CPU time measurement.
    pub observation: Duration,
}

/// Runs the measurement with `program` as the limewing executable, and returns a table and the slope as text. Writes files to
/// `folder`.
///
/// # Errors
/// Returns an error if a process does not start, a connection is refused or closed, or process information is unavailable.
pub fn measure(program: &Path, folder: &Path, plan: &IdlePlan) -> Result<String, LoadError> {
    let arguments = ["load", "pods", &POD_COUNT.to_string()];
    let (_pods, pods) = ChildProcess::start(program, &arguments, POD_COUNT)?;
    let settings = write_sidecar_settings(folder, &pods)?;
    let arguments = ["sidecar", &settings, "--with-parent"];
    let (sidecar, listening) = ChildProcess::start(program, &arguments, 1)?;
    let mut clients = IdleClients::new(plan)?;
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "connections",
        "resident KiB",
        "CPU while asleep, ms a second",
    ]);
    let mut resident = Vec::new();
    for count in [plan.few, plan.many] {
        clients.open(listening[0], count)?;
        let cost = observe(&sidecar, plan.observation)?;
        clients.check_idle()?;
        resident.push(cost.resident_bytes);
        table.add_row([
            count.to_string(),
            (cost.resident_bytes / BYTES_PER_KIB).to_string(),
            format!("{:.1}", cost.cpu_ms_per_s),
        ]);
    }
    let growth = resident[1] as f64 - resident[0] as f64;
    let slope = growth / (plan.many - plan.few).max(1) as f64;
    Ok(format!(
        "{table}\nthe sidecar's own memory for a sleeping connection: {slope:.0} bytes (aim: under 256)"
    ))
}

/// Resources that a sidecar uses while all of its connections are idle.
struct IdleCost {
    resident_bytes: u64,
    cpu_ms_per_s: f64,
}

fn observe(sidecar: &ChildProcess, duration: Duration) -> Result<IdleCost, LoadError> {
    let start = Instant::now();
    let cpu_before = sidecar.cpu_seconds()?;
    std::thread::sleep(duration);
    let cpu_used = sidecar.cpu_seconds()? - cpu_before;
    Ok(IdleCost {
        cpu_ms_per_s: cpu_used / start.elapsed().as_secs_f64() * 1e3,
        resident_bytes: sidecar.resident_bytes()?,
    })
}

/// Client connections that stay open and idle.
struct IdleClients {
    sockets: Sockets,
    idle: usize,
    /// Connections that are being established or await a response.
    opening: HashMap<SocketId, ResponseReader>,
    /// First request on each connection, empty to send none.
    request: BytesMut,
}

impl IdleClients {
    fn new(plan: &IdlePlan) -> Result<Self, LoadError> {
        let request = if plan.after_request {
            get_request(QUOTE_PATH)
        } else {
            BytesMut::new()
        };
        Ok(Self {
            sockets: Sockets::new()?,
            idle: 0,
            opening: HashMap::new(),
            request,
        })
    }

    /// Opens connections until `count` of them are idle.
    fn open(&mut self, target: SocketAddr, count: usize) -> Result<(), LoadError> {
        let mut last_event = Instant::now();
        while self.idle < count {
            while self.opening.len() < MAX_OPENING.min(count - self.idle) {
                self.connect(target)?;
            }
            for event in self.sockets.wait(Some(POLL_INTERVAL))? {
                last_event = Instant::now();
                self.handle(event)?;
            }
            if last_event.elapsed() > RESPONSE_TIMEOUT {
                return Err(LoadError::NoResponse { idle: self.idle });
            }
        }
        Ok(())
    }

    fn connect(&mut self, target: SocketAddr) -> Result<(), LoadError> {
        let id = self
            .sockets
            .connect(target)
            .map_err(|error| LoadError::Connect {
                idle: self.idle,
                error,
            })?;
        let responses = ResponseReader::new(MAX_RESPONSE_BYTES);
        self.opening.insert(id, responses);
        Ok(())
    }

    fn handle(&mut self, event: SocketEvent) -> Result<(), LoadError> {
        match event {
            SocketEvent::Connected(id) if self.request.is_empty() => self.set_idle(id),
            SocketEvent::Connected(id) => self.sockets.send(id, &self.request),
            SocketEvent::Readable(id) => self.read(id)?,
            SocketEvent::ConnectionLost { error, .. } => {
                return Err(LoadError::ConnectionLost {
                    idle: self.idle,
                    error,
                })
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks that no event is pending on any connection. A connection that was closed would distort the cost of the idle ones.
    fn check_idle(&mut self) -> Result<(), LoadError> {
        let events = self.sockets.wait(Some(Duration::ZERO))?;
        match events.into_iter().next() {
            None => Ok(()),
            Some(event) => Err(LoadError::NotIdle {
                idle: self.idle,
                event,
            }),
        }
    }

    fn set_idle(&mut self, id: SocketId) {
        if self.opening.remove(&id).is_some() {
            self.idle += 1;
        }
    }

    fn read(&mut self, id: SocketId) -> Result<(), LoadError> {
        let idle = self.idle;
        let has_ended = self.sockets.has_ended(id);
        let responses = self.opening.get_mut(&id);
        let (Some(responses), Some(input)) = (responses, self.sockets.input(id)) else {
            return Err(LoadError::IdleConnectionClosed { idle });
        };
        match responses.take(input, has_ended) {
            Ok(Some(_)) => self.set_idle(id),
            Ok(None) if !has_ended => self.sockets.resume_reading(id),
            _ => return Err(LoadError::IncompleteResponse { idle }),
        }
        Ok(())
    }
}
