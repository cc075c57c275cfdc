//! Terminal output of a day: the progress line, and the final tables.

use crate::table;
use indicatif::{ProgressBar, ProgressStyle};
use limewing_emulators::day::Progress;
use limewing_rule_checker::cross_sidecar::CrossSidecarReport;
use limewing_rule_checker::maintenance::MaintenanceReport;
use limewing_rule_checker::report::Report;
use std::fmt::Write;

/// Maximum number of violations printed for each rule.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// The progress line of a running day.
pub(crate) struct ProgressLine(ProgressBar);

impl ProgressLine {
    pub(crate) fn new(day: &str) -> Self {
        let bar = ProgressBar::new(1);
        let style = ProgressStyle::with_template("{prefix} {bar:24} {percent:>3}%  {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_prefix(day.to_owned());
        Self(bar)
    }

    pub(crate) fn update(&self, now: &Progress) {
        self.0.set_length(now.ends_at.as_millis() as u64);
        self.0.set_position(now.at.as_millis() as u64);
        let counts = format!(
            "hits {} delivered {} bounced {} errored {}",
            now.requests, now.delivered, now.rejected, now.failed
        );
        let rollout = format!(
            "build {} stage {} {}, {} pods",
            now.build, now.stage, now.phase, now.pods
        );
        let faults = if now.faults.is_empty() {
            "-".into()
        } else {
            now.faults.join(", ")
        };
        self.0
            .set_message(format!("{counts} | {rollout} | {faults}"));
    }

    pub(crate) fn finish(&self) {
        self.0.finish_and_clear();
    }
}

/// Formats the table of the five rules, followed by the day's service and load, and the violations.
pub(crate) fn rule_table(report: &Report) -> String {
    let mut table = table::with_headers(&["rule", "counted", "nearest to a breach", "verdict"]);
    for result in &report.results {
        let verdict = match result.violations.len() {
            0 => "kept".to_owned(),
            count => format!("BROKEN {count} times"),
        };
        table.add_row([
            result.rule.to_string(),
            format!("{} {}", result.checked, result.case),
            result.margin.clone(),
            verdict,
        ]);
    }
    let service = service_lines(report);
    let violations = violation_lines(report);
    format!("{table}\n{service}{violations}")
}

fn service_lines(report: &Report) -> String {
    let service = &report.service;
    let balance = &report.balance;
    format!(
        "{}: service {:.3}: {} hits, {} delivered, {} bounced, {} errored in the end\n\
         load per pod {:.2} of the mean at most, {:.1} sidecars a pod (most {}), {} pods unused",
        report.day,
        service.weighted_on_time_fraction,
        service.requests,
        service.delivered,
        service.rejected,
        service.failed,
        balance.max_over_mean,
        balance.mean_sidecars,
        balance.max_sidecars,
        balance.unused_pods
    )
}

/// Formats the first violations of each broken rule. Each line starts with a line break.
fn violation_lines(report: &Report) -> String {
    let mut text = String::new();
    for result in report.violated_results() {
        let violations = &result.violations;
        // Writing to a string cannot fail.
        let _ = write!(text, "\n{}:", result.rule);
        for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            let at_s = violation.at.as_secs_f64();
            let _ = write!(text, "\n  {at_s:.3} s: {}", violation.text);
        }
        if violations.len() > MAX_PRINTED_VIOLATIONS {
            let further = violations.len() - MAX_PRINTED_VIOLATIONS;
            let _ = write!(text, "\n  and {further} more");
        }
    }
    text
}

/// Prints the results of machine maintenance.
pub(crate) fn print_maintenance(report: &MaintenanceReport) {
    println!(
        "machines: {} worked on, {} failed, {} out at once at most, {} still out, {:.1} s from the ask to the last",
        report.completed,
        report.failed,
        report.max_out,
        report.still_out,
        report.duration.as_secs_f64()
    );
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {:.3} s: {}", violation.at.as_secs_f64(), violation.text);
    }
}

/// Prints the violations that replication between sidecars prevents: sticky keys routed back to an older build, and requests
/// executed twice.
pub(crate) fn print_cross_sidecar(report: &CrossSidecarReport) {
    println!(
        "across sidecars: {} of {} forwards of keys that had met a newer build went back; {} of {} hits that may not run twice did",
        report.returned_to_older_build, report.sticky_attempts, report.executed_twice, report.non_idempotent
    );
    for example in &report.examples {
        println!("  {:.3} s: {}", example.at.as_secs_f64(), example.text);
    }
}
