//! Sidecars as processes under a script of faults: started, killed, told to leave, stopped and started again, with a relay
//! between them; what each holds of the others is asked for all along.

use super::relay::Relay;
use limewing_fault_injection::{FaultAction, FaultyNetwork, Script};
use limewing_settings as settings;
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What is played.
pub struct Plan<'a> {
    pub program: &'a Path,
    pub script: &'a Script,
    pub members: usize,
    /// Between two probes of a member.
    pub period: Duration,
    /// Settings that all start from; names, addresses and peers are put in.
    pub settings: &'a settings::SidecarSettings,
    pub folder: &'a Path,
}

#[derive(Debug, thiserror::Error)]
pub enum RigTrouble {
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("sidecar {number}: {why}")]
    Sidecar { number: usize, why: String },
}

/// One sidecar's view at a time: names and what they are held to be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub at: Duration,
    pub of: usize,
    pub members: Vec<(String, String)>,
}

/// How it went.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub samples: Vec<Sample>,
    /// When each process ran: from, to.
    pub lives: Vec<Vec<(Duration, Duration)>>,
    /// Datagrams and bytes that all sent.
    pub sent: (u64, u64),
    pub refused: u64,
    pub ended: Duration,
    /// Processes that ended though nobody told them to.
    pub crashed: Vec<usize>,
}

struct Process {
    child: Child,
    address: SocketAddr,
    stopped: bool,
    since: Duration,
}

const SAMPLES_EVERY: Duration = Duration::from_millis(200);
const ANSWERS_WITHIN: Duration = Duration::from_secs(2);

/// Plays a script to its end.
///
/// # Errors
/// A process does not start, or the system refuses.
pub fn play(plan: &Plan) -> Result<Played, RigTrouble> {
    std::fs::create_dir_all(plan.folder)?;
    for number in 0..plan.members {
        write_keys(&key_file(plan.folder, number), &FIRST_KEYS)?;
    }
    let relay = Relay::start(FaultyNetwork::new(plan.script, plan.members), plan.members)?;
    let mut rig = Rig {
        plan,
        processes: (0..plan.members).map(|_| None).collect(),
        played: Played {
            samples: Vec::new(),
            lives: vec![Vec::new(); plan.members],
            sent: (0, 0),
            refused: 0,
            ended: Duration::ZERO,
            crashed: Vec::new(),
        },
        relay,
    };
    for number in 0..plan.members {
        rig.start(number)?;
    }
    rig.run()?;
    Ok(std::mem::take(&mut rig.played))
}

/// The keys that a fleet that is played starts with.
pub const FIRST_KEYS: [u8; 1] = [1];
/// Tells a process how far its clock is ahead, in seconds.
pub const CLOCK: &str = "LIMEWING_CLOCK_AHEAD_S";

/// Each member of a fleet that is played has a key file of its own.
pub fn key_file(folder: &Path, number: usize) -> PathBuf {
    folder.join(format!("keys-{number}.json"))
}

pub fn write_keys(file: &Path, ids: &[u8]) -> io::Result<()> {
    let key = |id: &u8| {
        format!(
            r#"{{"id": {id}, "secret": "{}"}}"#,
            format!("{id:02x}").repeat(32)
        )
    };
    let keys: Vec<String> = ids.iter().map(key).collect();
    std::fs::write(file, format!(r#"{{"keys": [{}]}}"#, keys.join(", ")))
}

struct Rig<'a> {
    plan: &'a Plan<'a>,
    processes: Vec<Option<Process>>,
    played: Played,
    relay: Relay,
}

impl Rig<'_> {
    fn run(&mut self) -> Result<(), RigTrouble> {
        let end = self.plan.script.duration();
        let mut sample_at = Duration::ZERO;
        loop {
            let now = self.relay.now();
            for act in self.relay.turn() {
                self.act(act)?;
            }
            self.look_after(now);
            if now >= sample_at || now >= end {
                self.sample();
                sample_at = now + SAMPLES_EVERY;
            }
            if now >= end {
                break;
            }
            let next = self.relay.due().unwrap_or(end).min(sample_at).min(end);
            std::thread::sleep(
                next.saturating_sub(self.relay.now())
                    .min(Duration::from_millis(50)),
            );
        }
        self.played.ended = self.relay.now();
        self.played.sent = self.relay.passed();
        for number in 0..self.processes.len() {
            if let Some(process) = &self.processes[number] {
                let view = ask(process.address)
                    .ok()
                    .and_then(|text| serde_json::from_str(&text).ok());
                let view: Option<View> = view;
                self.played.refused += view.map_or(0, |view| {
                    view.refused.iter().map(|(_, count)| count).sum::<u64>()
                });
            }
            self.end(number);
        }
        Ok(())
    }

    fn act(&mut self, act: FaultAction) -> Result<(), RigTrouble> {
        match act {
            FaultAction::Kill(number) => self.end(number),
            FaultAction::Start(number) => {
                self.end(number);
                self.start(number)?;
            }
            FaultAction::Leave(number) => {
                let now = self.relay.now();
                if let Some(mut process) = self.processes[number].take() {
                    signal(&process.child, Signal::TERM);
                    process.child.wait()?;
                    self.played.lives[number].push((process.since, now));
                }
            }
            FaultAction::Suspend(number) | FaultAction::Resume(number) => {
                let stop = matches!(act, FaultAction::Suspend(_));
                if let Some(process) = &mut self.processes[number] {
                    process.stopped = stop;
                    signal(
                        &process.child,
                        if stop { Signal::STOP } else { Signal::CONT },
                    );
                }
            }
            // These are started without a state file.
            FaultAction::LoseDisk(_) | FaultAction::FillDisk(_) | FaultAction::FreeDisk(_) => {}
            FaultAction::ReplaceKeys { member: to, ids } => {
                write_keys(&key_file(self.plan.folder, to), &ids)?;
                if let Some(process) = &self.processes[to] {
                    signal(&process.child, Signal::HUP);
                }
            }
            FaultAction::SendNoise {
                member: to,
                datagrams,
            } => self.relay.noise(to, datagrams)?,
        }
        Ok(())
    }

    /// Notes those that ended by themselves.
    fn look_after(&mut self, now: Duration) {
        for number in 0..self.processes.len() {
            let ended = |p: &mut Process| !matches!(p.child.try_wait(), Ok(None));
            if self.processes[number].as_mut().is_some_and(ended) {
                let since = self.processes[number]
                    .take()
                    .map_or(now, |process| process.since);
                self.played.lives[number].push((since, now));
                self.played.crashed.push(number);
            }
        }
    }

    fn start(&mut self, number: usize) -> Result<(), RigTrouble> {
        let trouble = |why: String| RigTrouble::Sidecar { number, why };
        let period = settings::Seconds::try_from(self.plan.period.as_secs_f64())
            .map_err(|e| trouble(e.to_string()))?;
        let mut told = self.plan.settings.clone();
        told.name = format!("s{number}");
        told.listen = SocketAddr::from(([127, 0, 0, 1], 0));
        told.state_file = None;
        told.fleet.sidecar_count = self.plan.members as u32;
        told.fleet.sidecar_index = number as u32;
        told.peers = Some(settings::PeerSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: Some(self.relay.fronts[number]),
            join: self.relay.fronts.iter().take(3).copied().collect(),
            key_file: key_file(self.plan.folder, number),
            period,
            bytes_per_s: 65_536,
            replication: told.peers.as_ref().is_some_and(|peers| peers.replication),
            coordination: told.peers.as_ref().is_some_and(|peers| peers.coordination),
        });
        let file = self.plan.folder.join(format!("s{number}.json"));
        std::fs::write(
            &file,
            serde_json::to_string_pretty(&told).map_err(|e| trouble(e.to_string()))?,
        )?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.plan.folder.join(format!("s{number}.log")))?;
        let mut command = Command::new(self.plan.program);
        command.arg("sidecar").arg(&file).arg("--with-parent");
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log);
        command.env(
            CLOCK,
            self.plan
                .script
                .clock_offset(number, self.plan.members)
                .to_string(),
        );
        let mut child = command.spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let Some(address) = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|at| at.parse().ok())
        else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(trouble(format!("it does not listen; see s{number}.log")));
        };
        self.relay.stands(number, Some(listens(address)?));
        let since = self.relay.now();
        self.processes[number] = Some(Process {
            child,
            address,
            stopped: false,
            since,
        });
        Ok(())
    }

    fn end(&mut self, number: usize) {
        let now = self.relay.now();
        self.relay.stands(number, None);
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.played.lives[number].push((process.since, now));
        }
    }

    fn sample(&mut self) {
        for (of, process) in self.processes.iter().enumerate() {
            let Some(process) = process.as_ref().filter(|process| !process.stopped) else {
                continue;
            };
            let Ok(text) = ask(process.address) else {
                continue;
            };
            let Ok(view) = serde_json::from_str::<View>(&text) else {
                continue;
            };
            let members = view
                .members
                .into_iter()
                .map(|seen| (seen.name, seen.standing))
                .collect();
            self.played.samples.push(Sample {
                at: self.relay.now(),
                of,
                members,
            });
        }
    }
}

impl Drop for Rig<'_> {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|number| self.end(number));
    }
}

/// What is read of a sidecar's view.
#[derive(Deserialize)]
struct View {
    listens: SocketAddr,
    refused: Vec<(String, u64)>,
    members: Vec<Seen>,
}

#[derive(Deserialize)]
struct Seen {
    name: String,
    standing: String,
}

fn signal(child: &Child, signal: Signal) {
    // One that has ended by itself is not there any more: nothing to tell.
    let _ = kill_process(Pid::from_child(child), signal);
}

/// Where a sidecar takes datagrams.
pub fn listens(at: SocketAddr) -> io::Result<SocketAddr> {
    let view: View = serde_json::from_str(&ask(at)?)?;
    Ok(view.listens)
}

/// The body of a sidecar's page on its fleet.
pub fn ask(at: SocketAddr) -> io::Result<String> {
    call(at, "GET", "/limewing/fleet", "")
}

/// One call of a sidecar's own pages; the body of its answer, if that is a good one.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<String> {
    let mut link = TcpStream::connect_timeout(&at, ANSWERS_WITHIN)?;
    link.set_read_timeout(Some(ANSWERS_WITHIN))?;
    link.write_all(
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .as_bytes(),
    )?;
    let mut answer = String::new();
    link.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    if matches!(head.split(' ').nth(1), Some("200" | "202")) {
        Ok(body.to_owned())
    } else {
        let said = if body.is_empty() {
            head.lines().next().unwrap_or("nothing")
        } else {
            body.trim()
        };
        Err(io::Error::other(said.to_owned()))
    }
}

impl Played {
    /// Which of the others each that runs at the end does not hold as it should: (who, whom, what it holds it to be).
    pub fn wrong_at_the_end(&self, members: usize) -> Vec<(usize, usize, String)> {
        let runs = |number: usize| {
            self.lives[number]
                .last()
                .is_some_and(|(_, to)| *to >= self.ended)
        };
        let mut wrong = Vec::new();
        for of in (0..members).filter(|number| runs(*number)) {
            let last = self.samples.iter().rev().find(|sample| sample.of == of);
            let held = |whom: usize| {
                let named = |(name, _): &&(String, String)| *name == format!("s{whom}");
                let found = last.and_then(|sample| sample.members.iter().find(named));
                found.map_or("unknown".to_owned(), |(_, standing)| standing.clone())
            };
            for whom in (0..members).filter(|whom| *whom != of) {
                let held = held(whom);
                if (held == "alive") != runs(whom) {
                    wrong.push((of, whom, held));
                }
            }
        }
        wrong
    }

    /// How often one that ran was held to be dead, by (who, whom).
    pub fn held_dead_while_running(&self) -> Vec<(Duration, usize, String)> {
        let mut found = Vec::new();
        for sample in &self.samples {
            for (name, standing) in &sample.members {
                let number = name.strip_prefix('s').and_then(|n| n.parse::<usize>().ok());
                let ran = |number: usize| {
                    self.lives[number]
                        .iter()
                        .any(|(from, to)| *from <= sample.at && sample.at < *to)
                };
                if standing == "dead" && number.is_some_and(|n| n < self.lives.len() && ran(n)) {
                    found.push((sample.at, sample.of, name.clone()));
                }
            }
        }
        found
    }
}
