//! Plays a day: all emulators on one loop with one clock, the sidecars as processes of their own.

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

/// Why a day can't be played to its end.
#[derive(Debug, Error)]
pub enum DayError {
    /// A file, socket or process can't be had.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A sidecar does not start.
    #[error("sidecar {number}: {why}")]
    Sidecar {
        /// Its place in the fleet.
        number: usize,
        /// What is wrong.
        why: String,
    },
    /// The sidecars have not asked for the endpoint list.
    #[error("the sidecars did not ask for the list within 10 s")]
    NotReady,
}

/// What a day's view shows while it plays.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the start.
    pub at: Duration,
    /// When it is over.
    pub ends_at: Duration,
    /// Requests so far.
    pub requests: u64,
    /// Attempts that were answered by a pod.
    pub delivered: u64,
    /// Attempts that were refused.
    pub rejected: u64,
    /// Attempts that ended in an error.
    pub failed: u64,
    /// Pods that run.
    pub pods: usize,
    /// The newest build.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// Where its rollout stands.
    pub phase: Phase,
    /// What is wrong now.
    pub faults: Vec<String>,
}

/// Plays a day with `program` as the sidecars' command, and writes its files into `folder`. Returns the record, which is
/// `folder/record.jsonl`.
///
/// # Errors
/// A sidecar does not start, or a file or socket can't be had.
pub fn play(
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
