//! What a day looks like on a terminal: a line of progress, and the table at the end.

use comfy_table::{presets, Table};
use indicatif::{ProgressBar, ProgressStyle};
use limewing_emulators::day::Progress;
use limewing_rule_checker::across::Across;
use limewing_rule_checker::rules::Account;
use limewing_rule_checker::work::Work;

/// Breaches shown for each rule.
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
        self.0.set_length(now.lasts.as_millis() as u64);
        self.0.set_position(now.at.as_millis() as u64);
        let counts = format!(
            "hits {} delivered {} bounced {} errored {}",
            now.asked, now.delivered, now.bounced, now.errored
        );
        let release = format!(
            "build {} stage {} {}, {} pods",
            now.build, now.stage, now.phase, now.pods
        );
        let troubles = if now.troubles.is_empty() {
            "-".into()
        } else {
            now.troubles.join(", ")
        };
        self.0
            .set_message(format!("{counts} | {release} | {troubles}"));
    }

    pub fn end(&self) {
        self.0.finish_and_clear();
    }
}

pub fn table(account: &Account) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["rule", "counted", "nearest to a breach", "verdict"]);
    for finding in &account.findings {
        let verdict = match finding.breaches.len() {
            0 => "kept".to_owned(),
            many => format!("BROKEN {many} times"),
        };
        let counted = format!("{} {}", finding.counted, finding.of);
        table.add_row([
            finding.rule.to_string(),
            counted,
            finding.margin.clone(),
            verdict,
        ]);
    }
    let of = &account.service;
    let mut text = format!(
        "{table}\n{}: service {:.3}: {} hits, {} delivered, {} bounced, {} errored in the end",
        account.day, of.figure, of.orders, of.delivered, of.bounced, of.errored
    );
    let spread = &account.balance;
    text += &format!(
        "\nload per pod {:.2} of the mean at most, {:.1} sidecars a pod (most {}), {} pods unused",
        spread.most, spread.users.0, spread.users.1, spread.unused
    );
    for finding in account
        .findings
        .iter()
        .filter(|finding| !finding.breaches.is_empty())
    {
        text += &format!("\n{}:", finding.rule);
        for breach in finding.breaches.iter().take(SHOWN) {
            text += &format!("\n  {:.3} s: {}", breach.at.as_secs_f64(), breach.text);
        }
        if finding.breaches.len() > SHOWN {
            text += &format!("\n  and {} more", finding.breaches.len() - SHOWN);
        }
    }
    text
}

pub fn work(work: &Work) {
    println!(
        "machines: {} worked on, {} failed, {} out at once at most, {} still out, {:.1} s from the ask to the last",
        work.done,
        work.failed,
        work.most,
        work.left,
        work.took.as_secs_f64()
    );
    for (at, text) in work.breaches.iter().take(SHOWN) {
        println!("  {:.3} s: {text}", at.as_secs_f64());
    }
}

pub fn across(across: &Across) {
    println!(
        "across sidecars: {} of {} forwards of keys that had met a newer build went back; {} of {} hits that may not run twice did",
        across.keys_back, across.keys, across.twice, across.once
    );
    for (at, text) in &across.first {
        println!("  {:.3} s: {text}", at.as_secs_f64());
    }
}
