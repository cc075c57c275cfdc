//! The sidecar processes: they are started, killed, terminated, suspended, resumed and restarted.

use super::event_loop::{any_port, Day};
use super::DayError;
use crate::fleet::{fetch_datagram_address, key_file, write_keys, Relay, CLOCK_OFFSET_VARIABLE};
use limewing_fault_injection::FaultAction;
use limewing_rule_checker::record::{Event, SidecarId};
use limewing_settings::SidecarSettings;
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What a sidecar prints before its address once it listens.
const LISTENING_PREFIX: &str = "listening ";

/// A sidecar process.
pub(super) struct Process {
    child: Child,
    pub(super) address: SocketAddr,
    /// Whether the process has ended.
    exited: bool,
}

impl Process {
    fn pid(&self) -> Option<Pid> {
        if self.exited {
            return None;
        }
        Pid::from_raw(self.child.id() as i32)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only if the process has exited by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Makes every write of the process to a file fail, as on a full disk, including writes to its log; or ends that state.
    fn set_disk_full(&self, full: bool) {
        let Some(pid) = self.pid() else {
            return;
        };
        let maximum = getrlimit(Resource::Fsize).maximum;
        let limit = Rlimit {
            current: if full { Some(0) } else { maximum },
            maximum,
        };
        // Fails only if the process has exited by itself.
        let _ = prlimit(Some(pid), Resource::Fsize, limit);
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.exited = true;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Day<'_> {
    /// Applies the actions that are due in the script of faults between sidecars.
    pub(super) fn apply_fleet_faults(&mut self) -> Result<(), DayError> {
        let actions = self.relay.as_ref().map(Relay::advance).unwrap_or_default();
        for action in actions {
            self.record(Event::Fault {
                text: recorded_text(&action),
            });
            self.apply_fleet_fault(action)?;
        }
        Ok(())
    }

    fn apply_fleet_fault(&mut self, action: FaultAction) -> Result<(), DayError> {
        match action {
            FaultAction::Kill(number) => self.kill_sidecar(number),
            FaultAction::Start(number) => self.restart_sidecar(number)?,
            FaultAction::Leave(number) => self.terminate_sidecar(number),
            FaultAction::Suspend(number) => self.suspend_sidecar(number),
            FaultAction::Resume(number) => self.resume_sidecar(number),
            FaultAction::LoseDisk(number) => {
                if self.processes[number].exited {
                    // The files may not exist yet.
                    let _ = std::fs::remove_file(self.state_file(number));
                    let _ = std::fs::remove_dir_all(self.voter_folder(number));
                }
            }
            FaultAction::FillDisk(number) => self.processes[number].set_disk_full(true),
            FaultAction::FreeDisk(number) => self.processes[number].set_disk_full(false),
            FaultAction::ReplaceKeys { member, ids } => {
                write_keys(&key_file(&self.folder, member), &ids)?;
                self.processes[member].signal(Signal::HUP);
            }
            FaultAction::SendNoise { member, datagrams } => {
                if let Some(relay) = &self.relay {
                    relay.send_noise(member, datagrams)?;
                }
            }
        }
        Ok(())
    }

    pub(super) fn terminate_sidecar(&mut self, number: usize) {
        self.record(Event::SidecarDraining {
            sidecar: SidecarId(number as u32),
        });
        self.processes[number].signal(Signal::TERM);
    }

    pub(super) fn suspend_sidecar(&mut self, number: usize) {
        self.processes[number].signal(Signal::STOP);
        self.record(Event::SidecarSuspended {
            sidecar: SidecarId(number as u32),
        });
    }

    pub(super) fn resume_sidecar(&mut self, number: usize) {
        self.record(Event::SidecarResumed {
            sidecar: SidecarId(number as u32),
        });
        self.processes[number].signal(Signal::CONT);
    }

    /// Starts a sidecar, at its previous address if it had one, and waits until it listens.
    pub(super) fn spawn(
        &mut self,
        number: usize,
        address: Option<SocketAddr>,
    ) -> Result<Process, DayError> {
        let error = |why: String| DayError::Sidecar { number, why };
        let settings = self.sidecar_settings(number, address.unwrap_or(any_port()));
        let restarts = address.is_some();
        if !restarts {
            self.remove_old_files(&settings, number);
        }
        let file = self.write_settings(&settings, number)?;
        let mut command = self.command(&file, number, restarts)?;
        self.record(Event::SidecarStarted {
            sidecar: SidecarId(number as u32),
        });
        let child = command.spawn()?;
        let mut process = Process {
            child,
            address: settings.listen,
            exited: false,
        };
        let Some(address) = process.read_address()? else {
            return Err(error(format!(
                "it did not print its listen address; see sidecar-{number}.log"
            )));
        };
        process.address = address;
        if let Some(relay) = &self.relay {
            relay.set_member(number, Some(fetch_datagram_address(address)?));
        }
        Ok(process)
    }

    /// Removes the files that an earlier day left in the folder.
    fn remove_old_files(&self, settings: &SidecarSettings, number: usize) {
        if let Some(file) = &settings.state_file {
            // The file may not exist.
            let _ = std::fs::remove_file(file);
        }
        let _ = std::fs::remove_dir_all(self.voter_folder(number));
    }

    fn write_settings(
        &self,
        settings: &SidecarSettings,
        number: usize,
    ) -> Result<PathBuf, DayError> {
        let file = self.folder.join(format!("sidecar-{number}.json"));
        let text = serde_json::to_string_pretty(settings).map_err(|error| DayError::Sidecar {
            number,
            why: error.to_string(),
        })?;
        std::fs::write(&file, text)?;
        Ok(file)
    }

    fn command(&self, settings: &Path, number: usize, restarts: bool) -> io::Result<Command> {
        let log = File::options()
            .create(true)
            .append(restarts)
            .truncate(!restarts)
            .write(true)
            .open(self.folder.join(format!("sidecar-{number}.log")))?;
        let mut command = Command::new(self.program);
        command
            .arg("sidecar")
            .arg(settings)
            .arg("--with-parent")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log);
        if let Some(peers) = &self.script.peers {
            let sidecars = self.script.sidecar_zones.len();
            let offset = peers.faults.clock_offset(number, sidecars);
            command.env(CLOCK_OFFSET_VARIABLE, offset.to_string());
        }
        Ok(command)
    }

    pub(super) fn kill_sidecar(&mut self, number: usize) {
        let sidecar = SidecarId(number as u32);
        // Recorded first, as the lost connections that result are seen afterwards.
        self.record(Event::SidecarExited { sidecar });
        if let Some(relay) = &self.relay {
            relay.set_member(number, None);
        }
        self.processes[number].kill();
    }

    pub(super) fn restart_sidecar(&mut self, number: usize) -> Result<(), DayError> {
        let address = self.processes[number].address;
        if !self.processes[number].exited {
            self.record(Event::SidecarExited {
                sidecar: SidecarId(number as u32),
            });
            self.processes[number].kill();
        }
        self.processes[number] = self.spawn(number, Some(address))?;
        Ok(())
    }

    /// Records the end of a sidecar that has exited by itself.
    pub(super) fn check_exit(&mut self, sidecar: SidecarId) {
        let process = &mut self.processes[sidecar.0 as usize];
        if !process.exited && matches!(process.child.try_wait(), Ok(Some(_))) {
            process.exited = true;
            self.record(Event::SidecarExited { sidecar });
        }
    }
}

impl Process {
    /// Waits for the line that states the address; returns `None` if another line comes or the output ends.
    fn read_address(&mut self) -> io::Result<Option<SocketAddr>> {
        let mut line = String::new();
        if let Some(out) = self.child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix(LISTENING_PREFIX);
        Ok(address.and_then(|address| address.parse().ok()))
    }
}

/// The text by which the record names an action; part of the record's format.
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
