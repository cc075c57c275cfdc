//! Plays a day: all emulators run on one event loop with one clock, the sidecars as separate processes.

mod client_connections;
mod clients;
mod dispatch;
mod endpoint_service;
mod event_loop;
mod faults;
mod headers;
mod maintenance;
mod maintenance_agents;
mod pod_answers;
mod pod_requests;
mod pods;
mod processes;
mod rollout_service;
mod sidecar_settings;

use crate::script::DayScript;
use event_loop::Day;
use limewing_rule_checker::record::{Phase, Recorder};
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Why a day could not be played to its end.
#[derive(Debug, Error)]
pub enum DayError {
    /// A system call on a file, socket or process failed.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A sidecar did not start.
    #[error("sidecar {number}: {why}")]
    Sidecar {
        /// The sidecar's index in the fleet.
        number: usize,
        /// The reason.
        why: String,
    },
    /// Not all sidecars asked for the endpoint list in time.
    #[error("not all sidecars asked for the endpoint list within 10 s")]
    NotReady,
}

/// The progress of a day, for the view that shows it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The time since the start.
    pub at: Duration,
    /// The time of the end of the day.
    pub ends_at: Duration,
    /// The number of requests so far.
    pub requests: u64,
    /// The number of attempts that were answered by a pod.
    pub delivered: u64,
    /// The number of attempts that were rejected.
    pub rejected: u64,
    /// The number of attempts that ended in an error.
    pub failed: u64,
    /// The number of running pods.
    pub pods: usize,
    /// The newest build.
    pub build: u16,
    /// The stage of its rollout.
    pub stage: u8,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The active faults.
    pub faults: Vec<String>,
}

/// Plays a day with `program` as the sidecars, and writes its files into `folder`. Returns the path of the record, which is
/// `folder/record.jsonl`.
///
/// # Errors
/// Fails if a sidecar does not start, or if a system call on a file or socket fails.
pub fn run(
    script: &DayScript,
    program: &Path,
    folder: &Path,
    view: &mut dyn FnMut(Progress),
) -> Result<PathBuf, DayError> {
    std::fs::create_dir_all(folder)?;
    let file = folder.join("record.jsonl");
    let record = Recorder::new(BufWriter::new(File::create(&file)?));
    let mut day = Day::new(script, program, folder, record)?;
    day.run(view)?;
    Ok(file)
}
