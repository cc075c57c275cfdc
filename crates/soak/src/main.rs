//! `limewing-soak`: runs the soak and shows what each day cost.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

use clap::Parser;
use comfy_table::{presets, Table};
use limewing_soak::{Day, Soak, Terms};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Drives the decision module alone through days of made events; fails if memory or time per event grows
#[derive(Parser)]
struct Cli {
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(3..=10_000))]
    days: u32,
    #[arg(long, default_value_t = 14)]
    pods: usize,
    #[arg(long, default_value_t = 200.0)]
    hits_per_s: f64,
    #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(1..))]
    hits_per_day: u64,
    /// The first release's build; builds end at 65535
    #[arg(long, default_value_t = 65_000)]
    build: u16,
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Each key stays with the newest build that has answered it
    #[arg(long)]
    keys_stay: bool,
    /// The most that the last day may cost, as a multiple of the third; with --beside, the larger fleet
    #[arg(long, default_value_t = 1.1)]
    most: f64,
    /// Only print, do not judge
    #[arg(long)]
    look: bool,
    /// Plays each day with so many pods too, and tells what a hit costs there as a multiple
    #[arg(long)]
    beside: Option<usize>,
}

struct Seen {
    day: Day,
    held: usize,
    made: usize,
}

impl Seen {
    fn per_hit(&self) -> f64 {
        self.day.handling.as_secs_f64() * 1e6 / self.day.hits as f64
    }
}

fn held() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Days of two fleets in turns, so that a machine that slows down slows both; the middle one of the ratios.
fn compare(
    cli: &Cli,
    more: usize,
    [mut few, mut many]: [Soak; 2],
    clock: impl Fn() -> Duration,
) -> ExitCode {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["day", "us a hit", "us a hit beside", "ratio"]);
    let mut ratios = Vec::new();
    for number in 1..=cli.days {
        let [one, other] = [&mut few, &mut many].map(|soak| {
            let day = soak.play_day(&clock);
            day.handling.as_secs_f64() * 1e6 / day.hits.max(1) as f64
        });
        ratios.push(other / one);
        let cells = [one, other, other / one].map(|figure| format!("{figure:.2}"));
        table.add_row([number.to_string()].into_iter().chain(cells));
    }
    ratios.sort_unstable_by(f64::total_cmp);
    let middle = ratios[ratios.len() / 2];
    println!(
        "{table}\ncost of a hit with {more} pods against {}: {middle:.2}",
        cli.pods
    );
    match cli.look || middle <= cli.most {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let soak = |pods: usize| {
        Soak::new(Terms {
            pods,
            hits_per_s: cli.hits_per_s,
            hits_per_day: cli.hits_per_day,
            build: cli.build,
            keys_stay: cli.keys_stay,
            seed: cli.seed,
            idle_step: Duration::from_millis(500),
        })
    };
    let start = Instant::now();
    if let Some(more) = cli.beside {
        return compare(&cli, more, [soak(cli.pods), soak(more)], || start.elapsed());
    }
    let mut soak = soak(cli.pods);
    let mut seen: Vec<Seen> = Vec::new();
    for number in 1..=cli.days {
        let before = HEAP.stats().allocations;
        let day = soak.play_day(|| start.elapsed());
        let made = HEAP.stats().allocations - before;
        eprintln!(
            "day {number}: {:.1} us a hit, {} KiB held",
            day.handling.as_secs_f64() * 1e6 / day.hits as f64,
            held() / 1024
        );
        seen.push(Seen {
            day,
            held: held(),
            made,
        });
    }
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "day",
        "hits",
        "us a hit",
        "us an event",
        "allocations a hit",
        "KiB held",
        "not delivered",
        "votes",
    ]);
    let last = seen.len() - 1;
    for number in [0, 2, last / 2, last] {
        let Seen { day, held, made } = &seen[number];
        let per = |count: u64| day.handling.as_secs_f64() * 1e6 / count.max(1) as f64;
        table.add_row([
            (number + 1).to_string(),
            day.hits.to_string(),
            format!("{:.2}", per(day.hits)),
            format!("{:.2}", per(day.events + day.beats)),
            format!("{:.1}", *made as f64 / day.hits as f64),
            (held / 1024).to_string(),
            (day.bounced + day.errored).to_string(),
            day.votes.to_string(),
        ]);
    }
    let (time, memory) = (
        seen[last].per_hit() / seen[2].per_hit(),
        seen[last].held as f64 / seen[2].held as f64,
    );
    println!(
        "{table}\nlast day against the third: time {time:.3}, memory {memory:.3} (at most {})",
        cli.most
    );
    println!("took {:.0} s", Duration::as_secs_f64(&start.elapsed()));
    match cli.look || (time <= cli.most && memory <= cli.most) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
