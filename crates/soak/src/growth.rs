//! Checks whether the cost of a day grows with the running time of the decision engine.

use crate::heap::{allocated_bytes, allocation_count};
use crate::Cli;
use comfy_table::{presets, Table};
use limewing_soak::DayTotals;
use std::process::ExitCode;
use std::time::Duration;

/// Index of the day that the last one is compared with. The days before it are the warm-up.
const BASELINE_DAY: usize = 2;
const BYTES_PER_KIB: usize = 1024;
pub(crate) const MICROSECONDS_PER_SECOND: f64 = 1e6;
const HEADER: [&str; 8] = [
    "day",
    "hits",
    "us a hit",
    "us an event",
    "allocations a hit",
    "KiB held",
    "not delivered",
    "votes",
];

/// Totals of one day, and its cost.
struct DayCost {
    totals: DayTotals,
    /// Bytes allocated at the end of the day.
    allocated_bytes: usize,
    /// Number of allocations during the day.
    allocations: usize,
}

impl DayCost {
    fn microseconds_per(&self, count: u64) -> f64 {
        self.totals.handling_time.as_secs_f64() * MICROSECONDS_PER_SECOND / count.max(1) as f64
    }

    fn microseconds_per_request(&self) -> f64 {
        self.microseconds_per(self.totals.requests)
    }

    fn row(&self, day: usize) -> [String; 8] {
        let totals = &self.totals;
        [
            day.to_string(),
            totals.requests.to_string(),
            format!("{:.2}", self.microseconds_per_request()),
            format!("{:.2}", self.microseconds_per(totals.events + totals.ticks)),
            format!("{:.1}", self.allocations as f64 / totals.requests as f64),
            (self.allocated_bytes / BYTES_PER_KIB).to_string(),
            (totals.rejected + totals.failed).to_string(),
            totals.votes.to_string(),
        ]
    }
}

/// Simulates the days and compares the last one with the third.
pub(crate) fn run(cli: &Cli, stopwatch: impl Fn() -> Duration) -> ExitCode {
    let days = simulate_days(cli, &stopwatch);
    let last = days.len() - 1;
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(HEADER);
    for index in [0, BASELINE_DAY, last / 2, last] {
        table.add_row(days[index].row(index + 1));
    }
    let baseline = &days[BASELINE_DAY];
    let time = days[last].microseconds_per_request() / baseline.microseconds_per_request();
    let memory = days[last].allocated_bytes as f64 / baseline.allocated_bytes as f64;
    println!(
        "{table}\nlast day against the third: time {time:.3}, memory {memory:.3} (at most {})",
        cli.max_ratio
    );
    println!("took {:.0} s", stopwatch().as_secs_f64());
    cli.exit_code(time <= cli.max_ratio && memory <= cli.max_ratio)
}

fn simulate_days(cli: &Cli, stopwatch: &impl Fn() -> Duration) -> Vec<DayCost> {
    let mut soak = cli.soak(cli.pods);
    let mut days = Vec::new();
    for number in 1..=cli.days {
        let allocations_before = allocation_count();
        let totals = soak.simulate_day(stopwatch);
        let cost = DayCost {
            totals,
            allocations: allocation_count() - allocations_before,
            allocated_bytes: allocated_bytes(),
        };
        eprintln!(
            "day {number}: {:.1} us a hit, {} KiB held",
            cost.microseconds_per_request(),
            cost.allocated_bytes / BYTES_PER_KIB
        );
        days.push(cost);
    }
    days
}
