//! `limewing-soak`: runs a soak test, prints the cost of each day, and fails if memory or time grows.

mod comparison;
mod growth;
mod heap;

use clap::Parser;
use limewing_soak::{Soak, SoakConfig};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Step of the simulated clock while no request is in flight.
const IDLE_STEP: Duration = Duration::from_millis(500);

/// Soak test of the decision module over days of simulated events; fails if memory or time per request grows
#[derive(Parser)]
struct Cli {
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(3..=10_000))]
    days: u32,
    #[arg(long, default_value_t = 14)]
    pods: usize,
    #[arg(
        long = "hits-per-s",
        value_name = "HITS_PER_S",
        default_value_t = 200.0
    )]
    requests_per_second: f64,
    #[arg(long = "hits-per-day", value_name = "HITS_PER_DAY", default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(1..))]
    requests_per_day: u64,
    /// Build that is released at the start; the largest build number is 65535
    #[arg(long, default_value_t = 65_000)]
    build: u16,
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Keep each routing key on the newest build that has answered it
    #[arg(long = "keys-stay")]
    sticky_keys: bool,
    /// Maximum cost of the last day relative to the third; with --beside, of the other fleet relative to the first
    #[arg(long = "most", value_name = "MOST", default_value_t = 1.1)]
    max_ratio: f64,
    /// Print the results without failing on them
    #[arg(long = "look")]
    report_only: bool,
    /// Also simulate each day with this many pods, and print the ratio of the costs per request
    #[arg(long = "beside", value_name = "BESIDE")]
    compared_pods: Option<usize>,
}

impl Cli {
    fn soak(&self, pods: usize) -> Soak {
        Soak::new(SoakConfig {
            pods,
            requests_per_second: self.requests_per_second,
            requests_per_day: self.requests_per_day,
            build: self.build,
            sticky_keys: self.sticky_keys,
            seed: self.seed,
            idle_step: IDLE_STEP,
        })
    }

    fn exit_code(&self, is_within_limit: bool) -> ExitCode {
        if self.report_only || is_within_limit {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let start = Instant::now();
    let stopwatch = || start.elapsed();
    match cli.compared_pods {
        Some(compared_pods) => comparison::run(&cli, compared_pods, stopwatch),
        None => growth::run(&cli, stopwatch),
    }
}
