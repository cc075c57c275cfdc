//! Compares the cost of a request between two fleet sizes.

use crate::growth::MICROSECONDS_PER_SECOND;
use crate::Cli;
use comfy_table::{presets, Table};
use limewing_soak::Soak;
use std::process::ExitCode;
use std::time::Duration;

/// Simulates days of two fleets alternately, so that a slowdown of the machine affects both, and checks the median of the
/// ratios.
pub(crate) fn run(cli: &Cli, compared_pods: usize, stopwatch: impl Fn() -> Duration) -> ExitCode {
    let mut base = cli.soak(cli.pods);
    let mut compared = cli.soak(compared_pods);
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["day", "us a hit", "us a hit beside", "ratio"]);
    let mut ratios = Vec::new();
    for number in 1..=cli.days {
        let base_cost = simulate_day(&mut base, &stopwatch);
        let compared_cost = simulate_day(&mut compared, &stopwatch);
        let ratio = compared_cost / base_cost;
        ratios.push(ratio);
        table.add_row([
            number.to_string(),
            format!("{base_cost:.2}"),
            format!("{compared_cost:.2}"),
            format!("{ratio:.2}"),
        ]);
    }
    ratios.sort_unstable_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!(
        "{table}\ncost of a hit with {compared_pods} pods against {}: {median:.2}",
        cli.pods
    );
    cli.exit_code(median <= cli.max_ratio)
}

/// Simulates a day and returns the microseconds spent per request.
fn simulate_day(soak: &mut Soak, stopwatch: &impl Fn() -> Duration) -> f64 {
    let totals = soak.simulate_day(stopwatch);
    let requests = totals.requests.max(1) as f64;
    totals.handling_time.as_secs_f64() * MICROSECONDS_PER_SECOND / requests
}
