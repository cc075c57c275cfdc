//! `limewing load`: measures a sidecar under load, and compares it with a plain TCP relay.

use crate::error::CommandError;
use clap::{Args, Subcommand};
use limewing_load_generator::compare::{self, ComparisonPlan};
use limewing_load_generator::generator::{self, LoadProfile};
use limewing_load_generator::idle_connections::{self, IdlePlan};
use limewing_load_generator::sidecar_settings::write_sidecar_settings;
use limewing_load_generator::{pods, relay};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// Request rates that `load hits` accepts, in requests per second.
const REQUEST_RATES: RangeInclusive<f64> = 0.001..=10_000_000.0;

#[derive(Subcommand)]
pub(crate) enum LoadCommand {
    /// Compare direct connections to a pod with a plain TCP relay and a sidecar, in one run
    Compare(CompareArguments),
    /// Measure the memory and CPU cost of idle connections to a sidecar
    Idle(IdleArguments),
    /// Send requests to one address on a schedule
    Hits(RequestArguments),
    /// Write settings of a sidecar with these pods, without a discovery service and a rollout service
    Settings {
        #[arg(long, default_value = ".")]
        folder: PathBuf,
        #[arg(required = true)]
        pods: Vec<SocketAddr>,
    },
    /// Serve pods that answer immediately; prints their addresses on standard output
    Pods { many: usize },
    /// Run a plain TCP relay to the pods
    Relay {
        #[arg(required = true)]
        pods: Vec<SocketAddr>,
    },
}

#[derive(Args)]
pub(crate) struct CompareArguments {
    /// Numbers of pods in the fleet; each is measured with a sidecar of its own
    #[arg(long, value_delimiter = ',', default_value = "14,91", value_parser = clap::value_parser!(u16).range(1..=1000))]
    pods: Vec<u16>,
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=10_000))]
    connections: u16,
    /// Number of rounds; the median of each figure is printed
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=100))]
    rounds: u16,
    /// Duration of each measurement, in seconds
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

#[derive(Args)]
pub(crate) struct IdleArguments {
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u16).range(1..))]
    few: u16,
    #[arg(long, default_value_t = 15_000, value_parser = clap::value_parser!(u16).range(2..))]
    many: u16,
    /// Send one request on each connection before it becomes idle
    #[arg(long = "after-hit")]
    after_request: bool,
    /// Duration of the measurement of idle connections, in seconds
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=3600))]
    rests: u64,
}

#[derive(Args)]
pub(crate) struct RequestArguments {
    to: SocketAddr,
    #[arg(long = "hits-per-s", value_name = "HITS_PER_S", default_value_t = 500.0, value_parser = parse_request_rate)]
    requests_per_s: f64,
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=10_000))]
    connections: u16,
    #[arg(long, default_value_t = 7)]
    seed: u64,
    #[arg(long, default_value = "/quotes/1")]
    target: String,
}

/// Parses a request rate in requests per second.
fn parse_request_rate(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|rate| REQUEST_RATES.contains(rate))
        .ok_or_else(|| "expected 0.001 to 10000000 requests per second".to_owned())
}

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if the arguments contradict each other, or a process or socket fails.
pub(crate) fn run(command: LoadCommand) -> Result<(), CommandError> {
    match command {
        LoadCommand::Compare(arguments) => compare_paths(arguments),
        LoadCommand::Idle(arguments) => measure_idle_connections(&arguments),
        LoadCommand::Hits(arguments) => send_requests(arguments),
        LoadCommand::Settings { folder, pods } => {
            let settings = write_sidecar_settings(&folder, &pods).map_err(CommandError::failed)?;
            println!("{settings}");
            Ok(())
        }
        LoadCommand::Pods { many } => {
            pods::serve(many, std::io::stdout()).map_err(CommandError::failed)
        }
        LoadCommand::Relay { pods } => {
            relay::serve(&pods, std::io::stdout()).map_err(CommandError::failed)
        }
    }
}

fn compare_paths(arguments: CompareArguments) -> Result<(), CommandError> {
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let folder = tempfile::tempdir().map_err(CommandError::failed)?;
    let plan = ComparisonPlan {
        pod_counts: arguments.pods.into_iter().map(usize::from).collect(),
        connections: arguments.connections.into(),
        rounds: arguments.rounds.into(),
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    let report = compare::compare(&program, folder.path(), &plan).map_err(CommandError::failed)?;
    println!("{report}");
    Ok(())
}

fn measure_idle_connections(arguments: &IdleArguments) -> Result<(), CommandError> {
    let IdleArguments { few, many, .. } = *arguments;
    if few >= many {
        return Err(CommandError::InvalidInput(format!(
            "--few {few}: expected fewer than --many {many}"
        )));
    }
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let folder = tempfile::tempdir().map_err(CommandError::failed)?;
    let plan = IdlePlan {
        few: few.into(),
        many: many.into(),
        after_request: arguments.after_request,
        observation: Duration::from_secs(arguments.rests),
    };
    let report =
        idle_connections::measure(&program, folder.path(), &plan).map_err(CommandError::failed)?;
    println!("{report}");
    Ok(())
}

fn send_requests(arguments: RequestArguments) -> Result<(), CommandError> {
    let profile = LoadProfile {
        target: arguments.to,
        requests_per_s: Some(arguments.requests_per_s),
        connections: arguments.connections.into(),
        warm_up: Duration::ZERO,
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        path: arguments.target,
    };
    let measurement = generator::run(&profile, || (), || ()).map_err(CommandError::failed)?;
    let p50 = measurement.latency_ms(0.5);
    let p99 = measurement.latency_ms(0.99);
    let p999 = measurement.latency_ms(0.999);
    println!(
        "{} hits, {} failed, p50 {p50:.3} ms, p99 {p99:.3} ms, p99.9 {p999:.3} ms",
        measurement.responses, measurement.failures
    );
    Ok(())
}
