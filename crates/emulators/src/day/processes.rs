//! The sidecars as processes: started, killed, told to leave, stopped and started again.

use super::services::SERVICE;
use super::{Day, DayTrouble};
use crate::fleet::{key_file, listens, write_keys, Relay, CLOCK};
use limewing_fault_injection::FaultAction;
use limewing_rule_checker::record::{Event, SidecarId};
use limewing_settings::{
    EndpointListService, Fleet, Headers, RolloutService, Seconds, SidecarSettings, Tenant,
};
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

pub struct Process {
    child: Child,
    pub address: SocketAddr,
    gone: bool,
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32).filter(|_| !self.gone) {
            // One that has ended by itself is not there any more: nothing to tell.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn leave(&self) {
        self.signal(Signal::TERM);
    }

    pub fn stop(&self, stop: bool) {
        self.signal(if stop { Signal::STOP } else { Signal::CONT });
    }

    /// Whatever it writes to any file from now on is refused, as on a full disk; its log too.
    fn fill_disk(&self, full: bool) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32).filter(|_| !self.gone) {
            let most = getrlimit(Resource::Fsize).maximum;
            let limit = Rlimit {
                current: if full { Some(0) } else { most },
                maximum: most,
            };
            // One that has ended by itself has no disk.
            let _ = prlimit(Some(pid), Resource::Fsize, limit);
        }
    }

    /// Ends it whatever it does.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.gone = true;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

impl Day<'_> {
    fn settings(&self, number: usize, listen: SocketAddr) -> SidecarSettings {
        let script = self.script;
        let name = |name: &str| Some(name.to_owned());
        SidecarSettings {
            name: format!("sidecar-{number}"),
            listen,
            state_file: Some(self.folder.join(format!("sidecar-{number}.state.json"))),
            seed: Some(
                script
                    .seed
                    .wrapping_mul(1_000_003)
                    .wrapping_add(number as u64),
            ),
            endpoint_list: EndpointListService {
                address: self.list.list_at,
                service: SERVICE.to_owned(),
                wait: seconds(10.0),
            },
            rollout_service: Some(RolloutService {
                address: self.list.installer_at,
                silence_timeout: seconds(10.0),
            }),
            fleet: Fleet {
                sidecar_count: script.sidecar_zones.len() as u32,
                sidecar_index: number as u32,
                zones: script.fleet.zones.clone(),
                zone: script.sidecar_zones[number].clone(),
            },
            headers: Headers {
                tenant: name("customer"),
                routing_key: name("routing-key"),
                deadline_ms: name("request-timeout-ms"),
            },
            classes: script
                .classes
                .iter()
                .map(|script| script.class.clone())
                .collect(),
            tenants: script
                .tenants
                .iter()
                .map(|c| Tenant {
                    name: c.name.clone(),
                })
                .collect(),
            limits: script.limits.clone(),
            safety: script.rules.clone(),
            rollout: script.releases.clone(),
            peers: self.peers(number),
            maintenance: self.work(number),
        }
    }

    fn work(&self, number: usize) -> Option<limewing_settings::MaintenanceSettings> {
        let work = self.script.maintenance.as_ref()?;
        Some(limewing_settings::MaintenanceSettings {
            voters: (0..work.voters)
                .map(|voter| format!("sidecar-{voter}"))
                .collect(),
            state_directory: (number < work.possible_voters.unwrap_or(work.voters))
                .then(|| self.work_folder(number)),
            election_timeout: work.election_timeout,
            lease_duration: work.lease,
        })
    }

    fn work_folder(&self, number: usize) -> std::path::PathBuf {
        self.folder.join(format!("sidecar-{number}.work"))
    }

    fn peers(&self, number: usize) -> Option<limewing_settings::PeerSettings> {
        let (told, relay) = (self.script.peers.as_ref()?, self.relay.as_ref()?);
        Some(limewing_settings::PeerSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: Some(relay.fronts[number]),
            join: relay.fronts.iter().take(3).copied().collect(),
            key_file: key_file(&self.folder, number),
            period: told.probe_interval,
            bytes_per_s: 65_536,
            coordination: told.coordination,
            replication: told.replication,
        })
    }

    /// What the script of faults does to links and sidecars by now.
    pub(super) fn faults(&mut self) -> Result<(), DayTrouble> {
        for act in self.relay.as_ref().map(Relay::turn).unwrap_or_default() {
            self.note(Event::Fault {
                text: recorded_text(&act),
            });
            match act {
                FaultAction::Kill(number) => self.kill_sidecar(number),
                FaultAction::Start(number) => self.start_again(number)?,
                FaultAction::Leave(number) => self.bid_leave(number),
                FaultAction::Suspend(number) => self.stop_sidecar(number),
                FaultAction::Resume(number) => self.let_go_on(number),
                FaultAction::LoseDisk(number) if self.processes[number].gone => {
                    let file = self.folder.join(format!("sidecar-{number}.state.json"));
                    // There may be none yet.
                    let _ = std::fs::remove_file(file);
                    let _ = std::fs::remove_dir_all(self.work_folder(number));
                }
                FaultAction::LoseDisk(_) => {}
                FaultAction::FillDisk(number) => self.processes[number].fill_disk(true),
                FaultAction::FreeDisk(number) => self.processes[number].fill_disk(false),
                FaultAction::ReplaceKeys { member: to, ids } => {
                    write_keys(&key_file(&self.folder, to), &ids)?;
                    self.processes[to].signal(Signal::HUP);
                }
                FaultAction::SendNoise {
                    member: to,
                    datagrams,
                } => self
                    .relay
                    .iter()
                    .try_for_each(|relay| relay.noise(to, datagrams))?,
            }
        }
        Ok(())
    }

    pub(super) fn bid_leave(&mut self, number: usize) {
        self.note(Event::SidecarDraining {
            sidecar: SidecarId(number as u32),
        });
        self.processes[number].leave();
    }

    pub(super) fn stop_sidecar(&mut self, number: usize) {
        self.processes[number].stop(true);
        self.note(Event::SidecarSuspended {
            sidecar: SidecarId(number as u32),
        });
    }

    pub(super) fn let_go_on(&mut self, number: usize) {
        self.note(Event::SidecarResumed {
            sidecar: SidecarId(number as u32),
        });
        self.processes[number].stop(false);
    }

    /// Starts a sidecar, at the address it had before if it had one; waits until it listens.
    pub(super) fn spawn(
        &mut self,
        number: usize,
        at: Option<SocketAddr>,
    ) -> Result<Process, DayTrouble> {
        let trouble = |why: String| DayTrouble::Sidecar { number, why };
        let listen = at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let settings = self.settings(number, listen);
        if at.is_none() {
            // What an earlier day left in the folder is not this day's.
            settings
                .state_file
                .iter()
                .for_each(|file| drop(std::fs::remove_file(file)));
            drop(std::fs::remove_dir_all(self.work_folder(number)));
        }
        let file = self.folder.join(format!("sidecar-{number}.json"));
        let text = serde_json::to_string_pretty(&settings).map_err(|e| trouble(e.to_string()))?;
        std::fs::write(&file, text)?;
        let name = self.folder.join(format!("sidecar-{number}.log"));
        let log = File::options()
            .create(true)
            .append(at.is_some())
            .truncate(at.is_none())
            .write(true)
            .open(name)?;
        let mut command = Command::new(self.program);
        command
            .arg("sidecar")
            .arg(&file)
            .arg("--with-parent")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log);
        if let Some(peers) = &self.script.peers {
            command.env(
                CLOCK,
                peers
                    .faults
                    .clock_offset(number, self.script.sidecar_zones.len())
                    .to_string(),
            );
        }
        self.note(Event::SidecarStarted {
            sidecar: SidecarId(number as u32),
        });
        let mut child = command.spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let told = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|address| address.parse().ok());
        let mut process = Process {
            child,
            address: listen,
            gone: false,
        };
        match told {
            Some(address) => {
                process.address = address;
                if let Some(relay) = &self.relay {
                    relay.stands(number, Some(listens(address)?));
                }
            }
            None => {
                return Err(trouble(format!(
                    "it does not listen; see sidecar-{number}.log"
                )))
            }
        }
        Ok(process)
    }

    pub(super) fn kill_sidecar(&mut self, number: usize) {
        let sidecar = SidecarId(number as u32);
        // Told first: what its end cuts off is seen afterwards.
        self.note(Event::SidecarExited { sidecar });
        self.relay
            .iter()
            .for_each(|relay| relay.stands(number, None));
        self.processes[number].end();
    }

    pub(super) fn start_again(&mut self, number: usize) -> Result<(), DayTrouble> {
        let address = self.processes[number].address;
        if !self.processes[number].gone {
            self.note(Event::SidecarExited {
                sidecar: SidecarId(number as u32),
            });
            self.processes[number].end();
        }
        self.processes[number] = self.spawn(number, Some(address))?;
        Ok(())
    }

    /// Notes a sidecar that has ended by itself.
    pub(super) fn look_after(&mut self, sidecar: SidecarId) {
        let process = &mut self.processes[sidecar.0 as usize];
        if !process.gone && matches!(process.child.try_wait(), Ok(Some(_))) {
            process.gone = true;
            self.note(Event::SidecarExited { sidecar });
        }
    }
}

/// The words by which the record names an action; a format.
fn recorded_text(action: &FaultAction) -> String {
    match action {
        FaultAction::Suspend(number) => format!("Stop({number})"),
        FaultAction::Resume(number) => format!("GoOn({number})"),
        FaultAction::ReplaceKeys { member, ids } => {
            format!("Keys {{ to: {member}, ids: {ids:?} }}")
        }
        FaultAction::SendNoise { member, datagrams } => {
            format!("Noise {{ to: {member}, datagrams: {datagrams} }}")
        }
        other => format!("{other:?}"),
    }
}

fn seconds(value: f64) -> Seconds {
    Seconds::try_from(value).expect("a span of seconds")
}
