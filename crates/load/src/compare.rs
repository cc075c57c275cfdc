//! The comparison: clients straight to a pod, through the bare relay, and through a sidecar, on one machine and
//! in one run. Pods, relay and sidecar are processes of their own; the CPU of what stands between is read from
//! the system.

use crate::generate::{run, Load, Outcome};
use comfy_table::{presets, Table};
use limewing_settings::SidecarSettings;
use limewing_sidecar::memory;
use limewing_sidecar::pods::Row;
use serde_json::json;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum Trouble {
    #[error("{0}")]
    System(#[from] io::Error),
    #[error("{what} does not listen")]
    Silent { what: String },
    #[error("the settings can't be used: {0}")]
    Settings(#[from] serde_json::Error),
}

struct Part(Child);

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Part {
    fn start(program: &Path, args: &[&str], many: usize) -> Result<(Self, Vec<SocketAddr>), Trouble> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn()?;
        let out = child.stdout.take();
        let part = Self(child);
        let lines = out.into_iter().flat_map(|out| BufReader::new(out).lines());
        let told = lines.take(many).map_while(Result::ok);
        let at: Vec<SocketAddr> =
            told.filter_map(|line| line.strip_prefix("listening ")?.trim().parse().ok()).collect();
        if at.len() < many {
            return Err(Trouble::Silent { what: args.join(" ") });
        }
        Ok((part, at))
    }

    /// Seconds of CPU that it has used, as the system counts them.
    fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        // User and system time, in hundredths of a second.
        (ticks(11) + ticks(12)) / 100.0
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub pods: Vec<usize>,
    pub connections: usize,
    pub lasts: Duration,
    pub seed: u64,
}

struct Row3 {
    what: String,
    full: Outcome,
    cpu: f64,
    half: Outcome,
}

impl Row3 {
    /// Hits that one second of its CPU is good for.
    fn per_core(&self) -> f64 {
        self.full.answered as f64 / self.cpu.max(1e-9)
    }
}

/// Runs the comparison with `program` as the command; gives the table and the ratios as text.
///
/// # Errors
/// A part does not start, or the load could not be sent.
pub fn compare(program: &Path, folder: &Path, plan: &Plan) -> Result<String, Trouble> {
    let mut rows = Vec::new();
    let mut half_rate = None;
    for (turn, pods) in plan.pods.iter().enumerate() {
        let (_pods, at) = Part::start(program, &["load", "pods", &pods.to_string()], *pods)?;
        let settings = settings(folder, &at)?;
        let (sidecar, there) = Part::start(program, &["sidecar", &settings, "--with-parent"], 1)?;
        let full = Load {
            to: there[0],
            hits_per_s: None,
            connections: plan.connections,
            warm_up: Duration::from_secs(1),
            lasts: plan.lasts,
            seed: plan.seed,
            target: "/quotes/1".into(),
        };
        let (outcome, cpu) = saturate(&full, &sidecar)?;
        // Half of what the sidecar can do; the same for all, so that what each adds can be told.
        let rate = *half_rate.get_or_insert(outcome.per_s() / 2.0);
        let half = Load { hits_per_s: Some(rate), ..full.clone() };
        let row = Row3 {
            what: format!("sidecar, {pods} pods"),
            full: outcome,
            cpu,
            half: run(&half, || (), || ())?,
        };
        drop(sidecar);
        if turn == 0 {
            let one = at[0].to_string();
            let all: Vec<String> = at.iter().map(ToString::to_string).collect();
            let args: Vec<&str> =
                ["load", "relay"].into_iter().chain(all.iter().map(String::as_str)).collect();
            let (relay, there) = Part::start(program, &args, 1)?;
            let (full_relay, half_relay) =
                (Load { to: there[0], ..full.clone() }, Load { to: there[0], ..half.clone() });
            let (outcome, cpu) = saturate(&full_relay, &relay)?;
            let relayed =
                Row3 { what: "bare relay".into(), full: outcome, cpu, half: run(&half_relay, || (), || ())? };
            drop(relay);
            let straight = Load { to: at[0], ..full.clone() };
            let outcome = run(&straight, || (), || ())?;
            let calm = run(&Load { hits_per_s: Some(rate), ..straight }, || (), || ())?;
            rows.push(Row3 { what: format!("straight to {one}"), full: outcome, cpu: f64::NAN, half: calm });
            rows.push(relayed);
        }
        rows.push(row);
    }
    Ok(told(&rows, half_rate.unwrap_or(0.0)))
}

fn saturate(load: &Load, part: &Part) -> Result<(Outcome, f64), Trouble> {
    let (mut before, mut after) = (0.0, 0.0);
    let outcome = run(load, || before = part.cpu(), || after = part.cpu())?;
    Ok((outcome, after - before))
}

fn told(rows: &[Row3], rate: f64) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let half = format!("p50 ms at {rate:.0}/s");
    table.set_header(["way", "hits/s, full", "hits per core second", &half, "p99 ms", "p99.9 ms", "failed"]);
    for row in rows {
        let core = if row.cpu.is_nan() { "-".into() } else { format!("{:.0}", row.per_core()) };
        table.add_row([
            if row.what.starts_with("straight") { "straight to a pod".into() } else { row.what.clone() },
            format!("{:.0}", row.full.per_s()),
            core,
            format!("{:.3}", row.half.ms(0.5)),
            format!("{:.3}", row.half.ms(0.99)),
            format!("{:.3}", row.half.ms(0.999)),
            (row.full.failed + row.half.failed).to_string(),
        ]);
    }
    let [straight, relay, first, rest @ ..] = rows else { return table.to_string() };
    let mut text = format!(
        "{table}\nsidecar against bare relay, hits per core second: {:.2} (aim: 0.6 or more)\n\
         p99 that the sidecar adds to a straight way: {:.3} ms (aim: under 1)\n",
        first.per_core() / relay.per_core(),
        first.half.ms(0.99) - straight.half.ms(0.99),
    );
    for more in rest {
        let ratio = first.per_core() / more.per_core();
        text += &format!("{} against {}, cost per hit: {ratio:.2} (aim: under 1.5)\n", more.what, first.what);
    }
    text
}

/// A sidecar that knows these pods from its state file; there is no list service and no installer.
fn settings(folder: &Path, pods: &[SocketAddr]) -> Result<String, Trouble> {
    let row = |(place, address): (usize, &SocketAddr)| Row {
        address: *address,
        drains: false,
        build: 1,
        size: 4.0,
        started: None,
        zone: "east".into(),
        cell: (place / 4) as u16,
        kind: "plain".into(),
    };
    let rows: Vec<Row> = pods.iter().enumerate().map(row).collect();
    let state = folder.join(format!("load-{}.state.json", pods.len()));
    memory::keep(&state, &rows)?;
    let settings = json!({
        "name": "sidecar-0", "listen": "127.0.0.1:0", "state_file": state, "seed": 1,
        "list": {"address": "127.0.0.1:1", "service": "none"},
        "fleet": {"sidecars": 3, "own_number": 0, "zones": ["east"], "zone": "east"},
        "headers": {},
        "path_groups": [{"name": "quote", "routes": [{"method": "GET", "path": "/quotes/{id}"}],
            "repeat": "repeatable", "target_latency": 1, "client_timeout": 3, "benefit": 1}],
        "limits": {"max_forwards": 6, "second_copies": true, "may_cancel": true, "connect_timeout": 0.25,
            "idle_close": 15, "deadline_margin": 0.02},
        "rules": {"answer_slack": 0.02, "drain_grace": 1, "cold_from": 0.35, "cold_for": 3, "fall_multiple": 2,
            "fall_within": 3, "ask_list_within": 10},
        "releases": {"control": "clock", "stages": [{"share": 1, "cap": 1}], "cap_window": 2, "cap_free": 1,
            "step_after": 4, "vote_life": 4, "vote_answer_within": 1, "back_votes": 1}
    });
    // What can't be read back as settings would be this tool's own fault: told now, not by the sidecar.
    let settings: SidecarSettings = serde_json::from_value(settings)?;
    let file = folder.join(format!("load-{}.json", pods.len()));
    std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
    Ok(file.display().to_string())
}
