//! Sidecars as processes under a script of faults: started, killed, terminated, suspended and restarted, with a relay between them. Each
//! one's view of the others is sampled throughout.

use super::pages::{fetch_datagram_address, fleet_page};
use super::played::{Lifetime, ObservedMember, RunResult, Sample};
use super::relay::Relay;
use limewing_fault_injection::{FaultAction, FaultyNetwork, Script};
use limewing_settings::{PeerSettings, Seconds, SidecarSettings};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often views are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The longest pause between two checks of the processes and the script.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// The most that a member may send.
const BYTES_PER_SECOND: u32 = 65_536;
/// The number of members that each one contacts first to join.
const SEED_MEMBER_COUNT: usize = 3;
/// What a sidecar prints before its address once it listens.
const LISTENING_PREFIX: &str = "listening ";

/// The identifiers of the keys that the fleet starts with.
pub const INITIAL_KEY_IDS: [u8; 1] = [1];
/// The environment variable that states how far a process's clock is ahead, in seconds.
pub const CLOCK_OFFSET_VARIABLE: &str = "LIMEWING_CLOCK_AHEAD_S";

/// The parameters of a run.
pub struct RunPlan<'a> {
    /// The program that runs as the sidecars.
    pub program: &'a Path,
    /// The script of faults.
    pub script: &'a Script,
    /// The number of sidecars.
    pub members: usize,
    /// The interval between two probes of a member.
    pub period: Duration,
    /// The base settings of all sidecars; names, addresses and peers are filled in.
    pub settings: &'a SidecarSettings,
    /// The folder for settings, keys and logs.
    pub folder: &'a Path,
}

/// Why a script could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum FleetRunError {
    /// A system call on a file, socket or process failed.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A sidecar did not start.
    #[error("sidecar {number}: {why}")]
    Sidecar {
        /// The number of the sidecar.
        number: usize,
        /// The reason.
        why: String,
    },
}

/// Runs a script to its end.
///
/// # Errors
/// Fails if a process does not start, or if a system call fails.
pub fn run_script(plan: &RunPlan) -> Result<RunResult, FleetRunError> {
    std::fs::create_dir_all(plan.folder)?;
    for number in 0..plan.members {
        write_keys(&key_file(plan.folder, number), &INITIAL_KEY_IDS)?;
    }
    let network = FaultyNetwork::new(plan.script, plan.members);
    let relay = Relay::start(network, plan.members)?;
    let mut runner = FleetRunner {
        plan,
        processes: (0..plan.members).map(|_| None).collect(),
        result: RunResult {
            lifetimes: vec![Vec::new(); plan.members],
            ..RunResult::default()
        },
        relay,
    };
    for number in 0..plan.members {
        runner.start(number)?;
    }
    runner.run()?;
    Ok(std::mem::take(&mut runner.result))
}

/// The path of a member's key file; each member has its own.
#[must_use]
pub fn key_file(folder: &Path, number: usize) -> PathBuf {
    folder.join(format!("keys-{number}.json"))
}

/// Writes a key file with these keys, of which the first one seals datagrams.
///
/// # Errors
/// Fails if the file can't be written.
pub fn write_keys(file: &Path, ids: &[u8]) -> io::Result<()> {
    let key = |id: &u8| {
        let secret = format!("{id:02x}").repeat(32);
        format!(r#"{{"id": {id}, "secret": "{secret}"}}"#)
    };
    let keys: Vec<String> = ids.iter().map(key).collect();
    std::fs::write(file, format!(r#"{{"keys": [{}]}}"#, keys.join(", ")))
}

struct Process {
    child: Child,
    address: SocketAddr,
    suspended: bool,
    started_at: Duration,
}

struct FleetRunner<'a> {
    plan: &'a RunPlan<'a>,
    processes: Vec<Option<Process>>,
    result: RunResult,
    relay: Relay,
}

impl FleetRunner<'_> {
    fn run(&mut self) -> Result<(), FleetRunError> {
        let end = self.plan.script.duration();
        let mut sample_at = Duration::ZERO;
        loop {
            let now = self.relay.now();
            for action in self.relay.advance() {
                self.apply_action(action)?;
            }
            self.record_crashes(now);
            if now >= sample_at || now >= end {
                self.sample();
                sample_at = now + SAMPLE_INTERVAL;
            }
            if now >= end {
                break;
            }
            let step = self.relay.next_deadline().unwrap_or(end);
            let next = step.min(sample_at).min(end);
            let pause = next.saturating_sub(self.relay.now());
            std::thread::sleep(pause.min(MAX_PAUSE));
        }
        self.result.ended = self.relay.now();
        self.result.traffic = self.relay.traffic();
        for number in 0..self.processes.len() {
            self.count_rejected_datagrams(number);
            self.kill(number);
        }
        Ok(())
    }

    fn count_rejected_datagrams(&mut self, number: usize) {
        let process = self.processes[number].as_ref();
        let Some(page) = process.and_then(|process| fleet_page(process.address)) else {
            return;
        };
        self.result.rejected_datagrams += page.refused.iter().map(|(_, count)| count).sum::<u64>();
    }

    fn apply_action(&mut self, action: FaultAction) -> Result<(), FleetRunError> {
        match action {
            FaultAction::Kill(number) => self.kill(number),
            FaultAction::Start(number) => {
                self.kill(number);
                self.start(number)?;
            }
            FaultAction::Leave(number) => self.terminate(number)?,
            FaultAction::Suspend(number) => self.set_suspended(number, true),
            FaultAction::Resume(number) => self.set_suspended(number, false),
            // These sidecars have no state file.
            FaultAction::LoseDisk(_) | FaultAction::FillDisk(_) | FaultAction::FreeDisk(_) => {}
            FaultAction::ReplaceKeys { member, ids } => {
                write_keys(&key_file(self.plan.folder, member), &ids)?;
                if let Some(process) = &self.processes[member] {
                    signal(&process.child, Signal::HUP);
                }
            }
            FaultAction::SendNoise { member, datagrams } => {
                self.relay.send_noise(member, datagrams)?;
            }
        }
        Ok(())
    }

    fn terminate(&mut self, number: usize) -> io::Result<()> {
        let now = self.relay.now();
        if let Some(mut process) = self.processes[number].take() {
            signal(&process.child, Signal::TERM);
            process.child.wait()?;
            self.record_lifetime(number, process.started_at, now);
        }
        Ok(())
    }

    fn set_suspended(&mut self, number: usize, suspended: bool) {
        if let Some(process) = &mut self.processes[number] {
            process.suspended = suspended;
            let job_signal = if suspended {
                Signal::STOP
            } else {
                Signal::CONT
            };
            signal(&process.child, job_signal);
        }
    }

    fn record_lifetime(&mut self, number: usize, from: Duration, to: Duration) {
        self.result.lifetimes[number].push(Lifetime { from, to });
    }

    /// Records processes that have exited by themselves.
    fn record_crashes(&mut self, now: Duration) {
        for number in 0..self.processes.len() {
            let ended = |p: &mut Process| !matches!(p.child.try_wait(), Ok(None));
            let Some(process) = self.processes[number].take_if(ended) else {
                continue;
            };
            self.record_lifetime(number, process.started_at, now);
            self.result.crashed.push(number);
        }
    }

    fn start(&mut self, number: usize) -> Result<(), FleetRunError> {
        let error = |why: String| FleetRunError::Sidecar { number, why };
        let settings = self.settings(number).map_err(error)?;
        let file = self.plan.folder.join(format!("s{number}.json"));
        let text = serde_json::to_string_pretty(&settings).map_err(|why| error(why.to_string()))?;
        std::fs::write(&file, text)?;
        let mut child = self.command(&file, number)?.spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix(LISTENING_PREFIX);
        let Some(address) = address.and_then(|address| address.parse().ok()) else {
            // The process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
            return Err(error(format!(
                "it did not print its listen address; see s{number}.log"
            )));
        };
        self.relay
            .set_member(number, Some(fetch_datagram_address(address)?));
        self.processes[number] = Some(Process {
            child,
            address,
            suspended: false,
            started_at: self.relay.now(),
        });
        Ok(())
    }

    fn settings(&self, number: usize) -> Result<SidecarSettings, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = self.plan.settings.clone();
        let peers = settings.peers.as_ref();
        let addresses = &self.relay.addresses;
        settings.peers = Some(PeerSettings {
            listen: any_port,
            advertise: Some(addresses[number]),
            join: addresses.iter().take(SEED_MEMBER_COUNT).copied().collect(),
            key_file: key_file(self.plan.folder, number),
            period: Seconds::try_from(self.plan.period.as_secs_f64())
                .map_err(|error| error.to_string())?,
            bytes_per_s: BYTES_PER_SECOND,
            replication: peers.is_some_and(|peers| peers.replication),
            coordination: peers.is_some_and(|peers| peers.coordination),
        });
        settings.name = format!("s{number}");
        settings.listen = any_port;
        settings.state_file = None;
        settings.fleet.sidecar_count = self.plan.members as u32;
        settings.fleet.sidecar_index = number as u32;
        Ok(settings)
    }

    fn command(&self, settings: &Path, number: usize) -> io::Result<Command> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.plan.folder.join(format!("s{number}.log")))?;
        let offset = self.plan.script.clock_offset(number, self.plan.members);
        let mut command = Command::new(self.plan.program);
        command
            .arg("sidecar")
            .arg(settings)
            .arg("--with-parent")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .env(CLOCK_OFFSET_VARIABLE, offset.to_string());
        Ok(command)
    }

    fn kill(&mut self, number: usize) {
        let now = self.relay.now();
        self.relay.set_member(number, None);
        if let Some(mut process) = self.processes[number].take() {
            // The process may have exited by itself.
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.record_lifetime(number, process.started_at, now);
        }
    }

    /// Samples the view of each running sidecar.
    fn sample(&mut self) {
        for (observer, process) in self.processes.iter().enumerate() {
            let Some(process) = process.as_ref().filter(|process| !process.suspended) else {
                continue;
            };
            let Some(page) = fleet_page(process.address) else {
                continue;
            };
            let members = page.members.into_iter().map(|member| ObservedMember {
                name: member.name,
                status: member.status,
            });
            self.result.samples.push(Sample {
                at: self.relay.now(),
                observer,
                members: members.collect(),
            });
        }
    }
}

impl Drop for FleetRunner<'_> {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
        }
    }
}

fn signal(child: &Child, signal: Signal) {
    // Fails only if the process has exited by itself.
    let _ = kill_process(Pid::from_child(child), signal);
}
