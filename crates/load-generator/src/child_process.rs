//! Child processes of a measurement, killed when their handles are dropped.

use crate::error::LoadError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Prefix of each line on which a process reports a listening address.
const LISTENING_PREFIX: &str = "listening ";

/// A child process that is killed on drop.
pub(crate) struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both calls fail harmlessly if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ChildProcess {
    /// Starts a program and waits until it has reported `address_count` listening addresses.
    pub(crate) fn start(
        program: &Path,
        arguments: &[&str],
        address_count: usize,
    ) -> Result<(Self, Vec<SocketAddr>), LoadError> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take();
        let process = Self(child);
        let mut addresses = Vec::new();
        if let Some(output) = output {
            let lines = BufReader::new(output).lines().take(address_count);
            addresses.extend(lines.map_while(Result::ok).filter_map(parse_address));
        }
        if addresses.len() < address_count {
            let arguments = arguments.join(" ");
            return Err(LoadError::NotListening { arguments });
        }
        Ok((process, addresses))
    }

    /// Returns the CPU time used so far, in seconds.
    pub(crate) fn cpu_seconds(&self) -> Result<f64, LoadError> {
        let stat = self.process()?.stat()?;
        Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
    }

    /// Returns the resident memory, in bytes.
    pub(crate) fn resident_bytes(&self) -> Result<u64, LoadError> {
        let pages = self.process()?.statm()?.resident;
        Ok(pages * procfs::page_size())
    }

    fn process(&self) -> Result<procfs::process::Process, LoadError> {
        Ok(procfs::process::Process::new(self.0.id() as i32)?)
    }
}

fn parse_address(line: String) -> Option<SocketAddr> {
    line.strip_prefix(LISTENING_PREFIX)?.trim().parse().ok()
}
