//! What a sleeping connection costs a sidecar: its memory as a slope between few and many connections, and the
//! CPU that it takes while all of them sleep.

use crate::compare::{settings, Part, Trouble};
use bytes::BytesMut;
use comfy_table::{presets, Table};
use limewing_net::body::Framing;
use limewing_net::http::write_request;
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::{SocketEvent, SocketId, Sockets};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Plan {
    pub few: usize,
    pub many: usize,
    /// Each connection has had one hit before it sleeps.
    pub after_hit: bool,
    /// How long the sleep is watched.
    pub rests: Duration,
}

/// Connections opened in one go: what a listener's backlog surely holds.
const LOT: usize = 64;
/// A sidecar that answers nothing for so long is taken for dead.
const PATIENCE: Duration = Duration::from_secs(20);

struct Sleepers {
    sockets: Sockets,
    asleep: usize,
    busy: HashMap<SocketId, ResponseReader>,
    request: BytesMut,
}

impl Sleepers {
    fn new(plan: &Plan) -> io::Result<Self> {
        let mut request = BytesMut::new();
        if plan.after_hit {
            let fields = [(&b"host"[..], &b"load.example"[..])];
            write_request(
                &mut request,
                "GET",
                "/quotes/1",
                fields.into_iter(),
                Framing::Length(0),
            );
        }
        Ok(Self {
            sockets: Sockets::new()?,
            asleep: 0,
            busy: HashMap::new(),
            request,
        })
    }

    /// Opens connections until so many sleep.
    fn open(&mut self, to: SocketAddr, many: usize) -> io::Result<()> {
        let mut last = Instant::now();
        while self.asleep < many {
            while self.busy.len() < LOT.min(many - self.asleep) {
                let failed =
                    |e| io::Error::other(format!("after {} connections: {e}", self.asleep));
                let id = self.sockets.connect(to).map_err(failed)?;
                self.busy.insert(id, ResponseReader::new(1 << 20));
            }
            for what in self.sockets.wait(Some(Duration::from_millis(100)))? {
                last = Instant::now();
                match what {
                    SocketEvent::Connected(id) if self.request.is_empty() => self.sleep(id),
                    SocketEvent::Connected(id) => self.sockets.send(id, &self.request),
                    SocketEvent::Readable(id) => self.read(id)?,
                    SocketEvent::ConnectionLost { error: why, .. } => {
                        return Err(io::Error::other(format!(
                            "after {} connections: {why}",
                            self.asleep
                        )))
                    }
                    _ => {}
                }
            }
            if last.elapsed() > PATIENCE {
                return Err(io::Error::other(format!(
                    "no answer after {} connections",
                    self.asleep
                )));
            }
        }
        Ok(())
    }

    /// That none was woken: what a closed connection costs would pass for one that sleeps.
    fn all_sleep(&mut self) -> io::Result<()> {
        match self.sockets.wait(Some(Duration::ZERO))?.first() {
            None => Ok(()),
            Some(what) => Err(io::Error::other(format!(
                "of {} connections one woke: {what:?}",
                self.asleep
            ))),
        }
    }

    fn sleep(&mut self, id: SocketId) {
        self.asleep += usize::from(self.busy.remove(&id).is_some());
    }

    fn read(&mut self, id: SocketId) -> io::Result<()> {
        let ended = self.sockets.has_ended(id);
        let (Some(responses), Some(input)) = (self.busy.get_mut(&id), self.sockets.input(id))
        else {
            return Err(io::Error::other(format!(
                "closed while {} connections slept",
                self.asleep
            )));
        };
        match responses.take(input, ended) {
            Ok(Some(_)) => self.sleep(id),
            Ok(None) if !ended => self.sockets.resume_reading(id),
            _ => {
                return Err(io::Error::other(format!(
                    "no whole answer after {} connections",
                    self.asleep
                )))
            }
        }
        Ok(())
    }
}

/// Measures with `program` as the command; gives a table and the slope as text.
///
/// # Errors
/// A part does not start, a connection is refused or closed, or the system tells nothing of the process.
pub fn measure(program: &Path, folder: &Path, plan: &Plan) -> Result<String, Trouble> {
    let (_pods, at) = Part::start(program, &["load", "pods", "4"], 4)?;
    let settings = settings(folder, &at)?;
    let (sidecar, at) = Part::start(program, &["sidecar", &settings, "--with-parent"], 1)?;
    let mut sleepers = Sleepers::new(plan)?;
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "connections",
        "resident KiB",
        "CPU while asleep, ms a second",
    ]);
    let mut seen = Vec::new();
    for many in [plan.few, plan.many] {
        sleepers.open(at[0], many)?;
        let (began, before) = (Instant::now(), sidecar.cpu()?);
        std::thread::sleep(plan.rests);
        let busy = (sidecar.cpu()? - before) / began.elapsed().as_secs_f64() * 1e3;
        let resident = sidecar.resident()?;
        sleepers.all_sleep()?;
        seen.push(resident);
        table.add_row([
            many.to_string(),
            (resident / 1024).to_string(),
            format!("{busy:.1}"),
        ]);
    }
    let slope = (seen[1] as f64 - seen[0] as f64) / (plan.many - plan.few).max(1) as f64;
    Ok(format!(
        "{table}\nthe sidecar's own memory for a sleeping connection: {slope:.0} bytes (aim: under 256)"
    ))
}
