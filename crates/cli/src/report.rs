//! What a day looks like on a terminal: a line of progress, and the tables at the end.

use crate::table;
use indicatif::{ProgressBar, ProgressStyle};
use limewing_emulators::day::Progress;
use limewing_rule_checker::across::Across;
use limewing_rule_checker::rules::Account;
use limewing_rule_checker::work::Work;
use std::fmt::Write;

/// Breaches that are printed for each rule.
const MAX_PRINTED_BREACHES: usize = 5;

/// The line that shows how far a day is.
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
        self.0.set_length(now.lasts.as_millis() as u64);
        self.0.set_position(now.at.as_millis() as u64);
        let counts = format!(
            "hits {} delivered {} bounced {} errored {}",
            now.asked, now.delivered, now.bounced, now.errored
        );
        let rollout = format!(
            "build {} stage {} {:?}, {} pods",
            now.build, now.stage, now.phase, now.pods
        );
        let faults = if now.troubles.is_empty() {
            "-".into()
        } else {
            now.troubles.join(", ")
        };
        self.0
            .set_message(format!("{counts} | {rollout} | {faults}"));
    }

    pub(crate) fn finish(&self) {
        self.0.finish_and_clear();
    }
}

/// The table of the five rules, the day's service and load below it, and then the breaches.
pub(crate) fn rule_table(account: &Account) -> String {
    let mut table = table::with_headers(&["rule", "counted", "nearest to a breach", "verdict"]);
    for finding in &account.findings {
        let verdict = match finding.breaches.len() {
            0 => "kept".to_owned(),
            count => format!("BROKEN {count} times"),
        };
        table.add_row([
            finding.rule.to_string(),
            format!("{} {}", finding.counted, finding.of),
            finding.margin.clone(),
            verdict,
        ]);
    }
    let service = service_lines(account);
    let breaches = breach_lines(account);
    format!("{table}\n{service}{breaches}")
}

fn service_lines(account: &Account) -> String {
    let service = &account.service;
    let balance = &account.balance;
    format!(
        "{}: service {:.3}: {} hits, {} delivered, {} bounced, {} errored in the end\n\
         load per pod {:.2} of the mean at most, {:.1} sidecars a pod (most {}), {} pods unused",
        account.day,
        service.figure,
        service.orders,
        service.delivered,
        service.bounced,
        service.errored,
        balance.most,
        balance.users.0,
        balance.users.1,
        balance.unused
    )
}

/// The first breaches of each rule that was broken, each line after a line break.
fn breach_lines(account: &Account) -> String {
    let mut text = String::new();
    for finding in &account.findings {
        let breaches = &finding.breaches;
        if breaches.is_empty() {
            continue;
        }
        // Writing to a string does not fail.
        let _ = write!(text, "\n{}:", finding.rule);
        for breach in breaches.iter().take(MAX_PRINTED_BREACHES) {
            let at_s = breach.at.as_secs_f64();
            let _ = write!(text, "\n  {at_s:.3} s: {}", breach.text);
        }
        if breaches.len() > MAX_PRINTED_BREACHES {
            let further = breaches.len() - MAX_PRINTED_BREACHES;
            let _ = write!(text, "\n  and {further} more");
        }
    }
    text
}

/// Prints how the maintenance of machines went.
pub(crate) fn print_work(work: &Work) {
    println!(
        "machines: {} worked on, {} failed, {} out at once at most, {} still out, {:.1} s from the ask to the last",
        work.done,
        work.failed,
        work.most,
        work.left,
        work.took.as_secs_f64()
    );
    for (at, text) in work.breaches.iter().take(MAX_PRINTED_BREACHES) {
        println!("  {:.3} s: {text}", at.as_secs_f64());
    }
}

/// Prints what replication between sidecars kept from happening, or did not.
pub(crate) fn print_across(across: &Across) {
    println!(
        "across sidecars: {} of {} forwards of keys that had met a newer build went back; {} of {} hits that may not run twice did",
        across.keys_back, across.keys, across.twice, across.once
    );
    for (at, text) in &across.first {
        println!("  {:.3} s: {text}", at.as_secs_f64());
    }
}
