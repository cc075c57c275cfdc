//! Formats a comparison as a table, followed by the ratios between the sidecars and the other paths.

use super::path::{median, MeasuredPath};
use comfy_table::{presets, Table};

/// Formats the table of all paths and the ratios. Latencies were measured at `rate` requests per second.
pub(super) fn render(paths: &[MeasuredPath], rate: f64) -> String {
    let table = table(paths, rate);
    let [straight, relay, sidecar, larger_fleets @ ..] = paths else {
        return table.to_string();
    };
    let mut text = format!(
        "{table}\nsidecar against bare relay, hits per core second: {:.2} (aim: 0.6 or more)\n\
         p99 that the sidecar adds to a straight way: {:.3} ms (aim: under 1)\n",
        efficiency(sidecar) / efficiency(relay),
        median(&sidecar.p99) - median(&straight.p99),
    );
    for larger in larger_fleets {
        let ratio = efficiency(sidecar) / efficiency(larger);
        text += &format!(
            "{} against {}, cost per hit: {ratio:.2} (aim: under 1.5)\n",
            larger.name, sidecar.name
        );
    }
    text
}

fn table(paths: &[MeasuredPath], rate: f64) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let p50_title = format!("p50 ms at {rate:.0}/s");
    table.set_header([
        "way",
        "hits/s, full",
        "hits per core second",
        &p50_title,
        "p99 ms",
        "(best, worst round)",
        "p99.9 ms",
        "failed",
    ]);
    for path in paths {
        table.add_row(row(path));
    }
    table
}

fn row(path: &MeasuredPath) -> [String; 8] {
    let best_p99 = path.p99.iter().copied().fold(f64::MAX, f64::min);
    let worst_p99 = path.p99.iter().copied().fold(0.0, f64::max);
    let efficiency = match path.process {
        None => "-".into(),
        Some(_) => format!("{:.0}", efficiency(path)),
    };
    [
        path.name.clone(),
        format!("{:.0}", median(&path.responses_per_s)),
        efficiency,
        format!("{:.3}", median(&path.p50)),
        format!("{:.3}", median(&path.p99)),
        format!("{best_p99:.3}, {worst_p99:.3}"),
        format!("{:.3}", median(&path.p999)),
        path.failures.to_string(),
    ]
}

/// Returns the responses per second of CPU time of the process between clients and pods.
fn efficiency(path: &MeasuredPath) -> f64 {
    median(&path.responses_per_cpu_second)
}
