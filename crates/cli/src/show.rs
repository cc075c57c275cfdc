//! What a day looks like on a terminal: a line of progress, and the table at the end.

use comfy_table::{presets, Table};
use indicatif::{ProgressBar, ProgressStyle};
use limewing_emulators::day::Progress;
use limewing_rule_checker::cross_sidecar::CrossSidecarReport;
use limewing_rule_checker::maintenance::MaintenanceReport;
use limewing_rule_checker::report::Report;

/// Violations shown for each rule.
const SHOWN: usize = 5;

pub struct View(ProgressBar);

impl View {
    pub fn new(name: &str) -> Self {
        let bar = ProgressBar::new(1);
        let style = ProgressStyle::with_template("{prefix} {bar:24} {percent:>3}%  {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_prefix(name.to_owned());
        Self(bar)
    }

    pub fn show(&self, now: &Progress) {
        self.0.set_length(now.ends_at.as_millis() as u64);
        self.0.set_position(now.at.as_millis() as u64);
        let counts = format!(
            "hits {} delivered {} bounced {} errored {}",
            now.requests, now.delivered, now.rejected, now.failed
        );
        let release = format!(
            "build {} stage {} {}, {} pods",
            now.build, now.stage, now.phase, now.pods
        );
        let faults = if now.faults.is_empty() {
            "-".into()
        } else {
            now.faults.join(", ")
        };
        self.0
            .set_message(format!("{counts} | {release} | {faults}"));
    }

    pub fn end(&self) {
        self.0.finish_and_clear();
    }
}

pub fn table(report: &Report) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["rule", "counted", "nearest to a breach", "verdict"]);
    for result in &report.results {
        let verdict = match result.violations.len() {
            0 => "kept".to_owned(),
            many => format!("BROKEN {many} times"),
        };
        let checked = format!("{} {}", result.checked, result.case);
        table.add_row([
            result.rule.to_string(),
            checked,
            result.margin.clone(),
            verdict,
        ]);
    }
    let of = &report.service;
    let mut text = format!(
        "{table}\n{}: service {:.3}: {} hits, {} delivered, {} bounced, {} errored in the end",
        report.day, of.weighted_part_in_time, of.requests, of.delivered, of.rejected, of.failed
    );
    let spread = &report.balance;
    text += &format!(
        "\nload per pod {:.2} of the mean at most, {:.1} sidecars a pod (most {}), {} pods unused",
        spread.highest_over_mean, spread.mean_sidecars, spread.max_sidecars, spread.unused_pods
    );
    for result in report.broken() {
        text += &format!("\n{}:", result.rule);
        for violation in result.violations.iter().take(SHOWN) {
            text += &format!(
                "\n  {:.3} s: {}",
                violation.at.as_secs_f64(),
                violation.text
            );
        }
        if result.violations.len() > SHOWN {
            text += &format!("\n  and {} more", result.violations.len() - SHOWN);
        }
    }
    text
}

pub fn maintenance(report: &MaintenanceReport) {
    println!(
        "machines: {} worked on, {} failed, {} out at once at most, {} still out, {:.1} s from the ask to the last",
        report.completed,
        report.failed,
        report.max_out,
        report.still_out,
        report.duration.as_secs_f64()
    );
    for violation in report.violations.iter().take(SHOWN) {
        println!("  {:.3} s: {}", violation.at.as_secs_f64(), violation.text);
    }
}

pub fn across_sidecars(counts: &CrossSidecarReport) {
    println!(
        "across sidecars: {} of {} forwards of keys that had met a newer build went back; {} of {} hits that may not run twice did",
        counts.sent_back, counts.sticky_attempts, counts.executed_twice, counts.non_idempotent
    );
    for example in &counts.examples {
        println!("  {:.3} s: {}", example.at.as_secs_f64(), example.text);
    }
}
