//! The command `limewing`.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod day;
mod fleet;
mod plot;
mod show;
mod work;

use clap::{Parser, Subcommand, ValueEnum};
use limewing_emulators::script::DayScript;
use limewing_http_proxy::service::Service;
use limewing_load_generator::compare;
use limewing_load_generator::generate::{self, Load};
use limewing_load_generator::idle;
use limewing_settings::{KeyFile, SidecarSettings};
use signal_hook::consts::SIGXFSZ;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(
    version,
    about = "Release controller with the router that moves traffic between builds"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one sidecar; logs go to standard error as JSON, the address it listens on to standard output
    Sidecar {
        settings: PathBuf,
        /// End when standard input ends: whoever started it has gone
        #[arg(long)]
        with_parent: bool,
    },
    /// Run one sidecar on the platform; logs go to standard error as JSON
    Platform {
        /// What the platform tells the sidecar
        #[arg(env = "ROUTER_CONFIG")]
        config: PathBuf,
    },
    /// Check settings, or print their schema
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Play a day from its script, or check the record of one
    #[command(subcommand)]
    Day(DayCommand),
    /// Compare a sidecar under load with a bare relay and with none
    #[command(subcommand)]
    Load(LoadCommand),
    /// What a sidecar holds of its fleet; fleets under scripts of faults
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Machines out for work, in an order that the sidecars settle among themselves
    #[command(subcommand)]
    Work(WorkCommand),
    /// Play one bad day, and show how it went and whether the rules were kept
    Demo {
        /// Where the record and the sidecars' logs go; a folder that is removed afterwards if absent
        #[arg(long)]
        folder: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum WorkCommand {
    /// Tell all that is wrong with a work list
    Check { list: PathBuf },
    /// Hand a work list to a sidecar
    Ask { at: SocketAddr, list: PathBuf },
    /// Print one sidecar's view: who leads, the lists, and how far each machine is
    Show { at: SocketAddr },
    /// Let nothing more go out for a list
    Hold { at: SocketAddr, list: u64 },
    /// Go on with a list that is held
    GoOn { at: SocketAddr, list: u64 },
    /// Let nothing more go out for a list, for good
    Withdraw { at: SocketAddr, list: u64 },
    /// Say that a sidecar runs no more, so that it is not waited for
    Gone { at: SocketAddr, sidecar: String },
    /// Give a sidecar that has a folder a vote; it gets it once it has caught up
    Vote { at: SocketAddr, sidecar: String },
    /// Take a sidecar's vote
    Unvote { at: SocketAddr, sidecar: String },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Print one sidecar's view of its fleet
    Show {
        /// Where the sidecar serves its clients
        at: std::net::SocketAddr,
    },
    /// Print what a sidecar keeps of its own and the others' state
    State {
        /// Where the sidecar serves its clients
        at: std::net::SocketAddr,
    },
    /// Play a script of faults with processes of this program
    Play {
        script: PathBuf,
        /// Settings that all start from; names, addresses and peers are put in
        #[arg(long)]
        settings: PathBuf,
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(2..=64))]
        members: u16,
        /// Milliseconds between two probes of a member
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=60_000))]
        period_ms: u64,
        /// Where settings, keys and logs go
        #[arg(long)]
        folder: PathBuf,
    },
    /// What the choices of many decision modules add up to, in simulated time, with and without the fleet's word
    Choices {
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
        sidecars: u16,
        #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u16).range(2..=1000))]
        pods: u16,
        /// From half of the time on they are so many parts that know nothing of each other
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
        parts: u16,
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(10..=600))]
        seconds: u16,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a script of faults in simulated time
    Simulate {
        script: PathBuf,
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
        members: u16,
    },
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Say whether a file of settings can be used, and if not why
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "sidecar")]
        of: Kind,
    },
    /// Print the JSON schema
    Schema {
        #[arg(value_enum, default_value = "sidecar")]
        of: Kind,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Sidecar,
    Day,
    /// A script of faults between sidecars
    Faults,
    /// The keys of a fleet
    Keys,
    /// Machines that are to go out for work
    Work,
}

#[derive(Subcommand)]
enum DayCommand {
    /// Play a day; its record and the sidecars' logs go to a folder
    Play {
        script: PathBuf,
        #[arg(long, default_value = "day-out")]
        folder: PathBuf,
    },
    /// Check the five rules from a record alone
    Check { record: PathBuf },
}

#[derive(Subcommand)]
enum LoadCommand {
    /// Clients straight to a pod, through a bare relay and through a sidecar, in one run
    Compare {
        /// Pods of the fleet, one run for each number
        #[arg(long, value_delimiter = ',', default_value = "14,91", value_parser = clap::value_parser!(u16).range(1..=1000))]
        pods: Vec<u16>,
        #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=10_000))]
        connections: u16,
        /// Rounds in which each way is measured; the middle one counts
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=100))]
        rounds: u16,
        /// Seconds that each measurement lasts
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        #[arg(long, default_value_t = 7)]
        seed: u64,
    },
    /// What a sleeping connection costs a sidecar in memory and CPU
    Idle {
        #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u16).range(1..))]
        few: u16,
        #[arg(long, default_value_t = 15_000, value_parser = clap::value_parser!(u16).range(2..))]
        many: u16,
        /// Each connection has had one hit before it sleeps
        #[arg(long)]
        after_hit: bool,
        /// Seconds of sleep that are watched
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=3600))]
        rests: u64,
    },
    /// Hits on a schedule at one address
    Hits {
        to: SocketAddr,
        #[arg(long, default_value_t = 500.0, value_parser = rate)]
        hits_per_s: f64,
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=10_000))]
        connections: u16,
        #[arg(long, default_value_t = 7)]
        seed: u64,
        #[arg(long, default_value = "/quotes/1")]
        target: String,
    },
    /// Settings of a sidecar that knows these pods, with no list service and no installer
    Settings {
        #[arg(long, default_value = ".")]
        folder: PathBuf,
        #[arg(required = true)]
        pods: Vec<SocketAddr>,
    },
    /// Pods that answer at once, at addresses that are told on standard output
    Pods { many: usize },
    /// A relay that passes bytes on to the pods and decides nothing
    Relay {
        #[arg(required = true)]
        pods: Vec<SocketAddr>,
    },
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text
        .parse::<f64>()
        .ok()
        .filter(|rate| (0.001..=10_000_000.0).contains(rate));
    rate.ok_or_else(|| "expected 0.001 to 10000000 hits a second".to_owned())
}

/// What ends the command: a line on standard error and an exit code.
pub struct Stop {
    code: u8,
    text: String,
}

impl Stop {
    /// What the user gave can't be used.
    fn input(what: impl ToString) -> Self {
        Self {
            code: 2,
            text: what.to_string(),
        }
    }

    /// Something failed, or a rule was broken.
    fn failed(what: impl ToString) -> Self {
        Self {
            code: 1,
            text: what.to_string(),
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop { code, text }) => {
            eprintln!("limewing: {text}");
            ExitCode::from(code)
        }
    }
}

fn run(command: Command) -> Result<(), Stop> {
    match command {
        Command::Sidecar {
            settings,
            with_parent,
        } => sidecar(&settings, with_parent),
        Command::Platform { config } => platform(config),
        Command::Settings(SettingsCommand::Check { file, of }) => {
            match of {
                Kind::Sidecar => {
                    drop(limewing_settings::read::<SidecarSettings>(&file).map_err(Stop::input)?)
                }
                Kind::Day => {
                    drop(limewing_settings::read::<DayScript>(&file).map_err(Stop::input)?)
                }
                Kind::Faults => {
                    drop(limewing_settings::read::<fleet::ScriptFile>(&file).map_err(Stop::input)?)
                }
                Kind::Keys => drop(limewing_settings::read::<KeyFile>(&file).map_err(Stop::input)?),
                Kind::Work => return work::check(&file),
            }
            println!("{}: can be used", file.display());
            Ok(())
        }
        Command::Settings(SettingsCommand::Schema { of }) => {
            let schema = match of {
                Kind::Sidecar => schemars::schema_for!(SidecarSettings),
                Kind::Day => schemars::schema_for!(DayScript),
                Kind::Faults => schemars::schema_for!(fleet::ScriptFile),
                Kind::Keys => schemars::schema_for!(KeyFile),
                Kind::Work => schemars::schema_for!(limewing_settings::WorkList),
            };
            println!(
                "{}",
                serde_json::to_string_pretty(&schema).map_err(Stop::failed)?
            );
            Ok(())
        }
        Command::Fleet(FleetCommand::Show { at }) => fleet::show(at),
        Command::Fleet(FleetCommand::State { at }) => fleet::state(at),
        Command::Fleet(FleetCommand::Play {
            script,
            settings,
            members,
            period_ms,
            folder,
        }) => {
            let script: fleet::ScriptFile =
                limewing_settings::read(&script).map_err(Stop::input)?;
            let settings: SidecarSettings =
                limewing_settings::read(&settings).map_err(Stop::input)?;
            let period = std::time::Duration::from_millis(period_ms);
            fleet::play(&script.0, &settings, members.into(), period, &folder)
        }
        Command::Fleet(FleetCommand::Choices {
            sidecars,
            pods,
            parts,
            seconds,
            seed,
        }) => fleet::choices(
            sidecars.into(),
            pods.into(),
            parts.into(),
            seconds.into(),
            seed,
        ),
        Command::Fleet(FleetCommand::Simulate { script, members }) => {
            let script: fleet::ScriptFile =
                limewing_settings::read(&script).map_err(Stop::input)?;
            fleet::simulate(&script.0, members.into())
        }
        Command::Work(command) => match command {
            WorkCommand::Check { list } => work::check(&list),
            WorkCommand::Ask { at, list } => work::ask(at, &list),
            WorkCommand::Show { at } => work::show(at),
            WorkCommand::Hold { at, list } => work::hold(at, list, true),
            WorkCommand::GoOn { at, list } => work::hold(at, list, false),
            WorkCommand::Withdraw { at, list } => work::withdraw(at, list),
            WorkCommand::Gone { at, sidecar } => work::gone(at, &sidecar),
            WorkCommand::Vote { at, sidecar } => work::vote(at, &sidecar, true),
            WorkCommand::Unvote { at, sidecar } => work::vote(at, &sidecar, false),
        },
        Command::Day(DayCommand::Play { script, folder }) => {
            let script = limewing_settings::read(&script).map_err(Stop::input)?;
            day::play(&script, &folder)
        }
        Command::Day(DayCommand::Check { record }) => day::check(&record),
        Command::Load(LoadCommand::Compare {
            pods,
            connections,
            rounds,
            seconds,
            seed,
        }) => {
            let program = std::env::current_exe().map_err(Stop::failed)?;
            let folder = tempfile::tempdir().map_err(Stop::failed)?;
            let pods = pods.into_iter().map(usize::from).collect();
            let lasts = Duration::from_secs(seconds);
            let plan = compare::Plan {
                pods,
                connections: connections.into(),
                rounds: rounds.into(),
                lasts,
                seed,
            };
            println!(
                "{}",
                compare::compare(&program, folder.path(), &plan).map_err(Stop::failed)?
            );
            Ok(())
        }
        Command::Load(LoadCommand::Idle {
            few,
            many,
            after_hit,
            rests,
        }) => {
            if few >= many {
                return Err(Stop::input(format!(
                    "--few {few}: expected fewer than --many {many}"
                )));
            }
            let program = std::env::current_exe().map_err(Stop::failed)?;
            let folder = tempfile::tempdir().map_err(Stop::failed)?;
            let rests = Duration::from_secs(rests);
            let plan = idle::Plan {
                few: few.into(),
                many: many.into(),
                after_hit,
                rests,
            };
            println!(
                "{}",
                idle::measure(&program, folder.path(), &plan).map_err(Stop::failed)?
            );
            Ok(())
        }
        Command::Load(LoadCommand::Hits {
            to,
            hits_per_s,
            seconds,
            connections,
            seed,
            target,
        }) => {
            let (warm_up, lasts) = (Duration::ZERO, Duration::from_secs(seconds));
            let connections = connections.into();
            let load = Load {
                to,
                hits_per_s: Some(hits_per_s),
                connections,
                warm_up,
                lasts,
                seed,
                target,
            };
            let outcome = generate::run(&load, || (), || ()).map_err(Stop::failed)?;
            let (p50, p99, p999) = (outcome.ms(0.5), outcome.ms(0.99), outcome.ms(0.999));
            println!(
                "{} hits, {} failed, p50 {p50:.3} ms, p99 {p99:.3} ms, p99.9 {p999:.3} ms",
                outcome.answered, outcome.failed
            );
            Ok(())
        }
        Command::Load(LoadCommand::Settings { folder, pods }) => {
            println!(
                "{}",
                compare::settings(&folder, &pods).map_err(Stop::failed)?
            );
            Ok(())
        }
        Command::Load(LoadCommand::Pods { many }) => {
            limewing_load_generator::pods::serve(many, std::io::stdout()).map_err(Stop::failed)
        }
        Command::Load(LoadCommand::Relay { pods }) => {
            limewing_load_generator::relay::serve(&pods, std::io::stdout()).map_err(Stop::failed)
        }
        Command::Demo { folder } => day::demo(folder),
    }
}

/// Log lines that wait to be written, at most.
const MOST_LINES: usize = 4096;

fn logs() -> Result<WorkerGuard, Stop> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    // Logs go by a thread of their own, and lines that standard error does not take in time are left out: a full
    // disk or a reader that stands still must not end or hold up a sidecar. Hurts by lines that are missing.
    let (log, writes) = NonBlockingBuilder::default()
        .buffered_lines_limit(MOST_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let lines = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(log);
    lines.log_internal_errors(false).init();
    // A file at its size limit is told as an error of the write, as any other is; unwatched it ends the process.
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(Stop::failed)?;
    Ok(writes)
}

fn platform(file: PathBuf) -> Result<(), Stop> {
    let _writes = logs()?;
    let service = limewing_postgres_proxy::service::Service::start(file).map_err(Stop::input)?;
    tracing::info!(address = %service.address(), name = service.name(), "listening");
    service.run().map_err(Stop::failed)
}

fn sidecar(file: &std::path::Path, with_parent: bool) -> Result<(), Stop> {
    let settings: SidecarSettings = limewing_settings::read(file).map_err(Stop::input)?;
    let _writes = logs()?;
    let service =
        Service::start(&settings).map_err(|e| Stop::input(format!("{}: {e}", file.display())))?;
    let address = service.address();
    tracing::info!(%address, name = settings.name, "listening");
    // Whoever started it may have closed its end: no reason to stop.
    let _ = writeln!(std::io::stdout(), "listening {address}");
    if with_parent {
        std::thread::spawn(|| {
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(0);
        });
    }
    service.run().map_err(Stop::failed)
}
