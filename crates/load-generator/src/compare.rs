//! The comparison: clients straight to a pod, through the bare relay, and through a sidecar, on one machine and
//! in one run. Pods, relay and sidecar are processes of their own; the CPU of what stands between is read from
//! the system.

use crate::generate::{run, Load, Outcome};
use comfy_table::{presets, Table};
use limewing_http_proxy::endpoint_list::EndpointRecord;
use limewing_http_proxy::endpoint_list_file;
use limewing_settings::SidecarSettings;
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
    #[error("what the system tells of a process can't be had: {0}")]
    Process(#[from] procfs::ProcError),
    #[error("the settings can't be used: {0}")]
    Settings(#[from] serde_json::Error),
}

pub(crate) struct Part(Child);

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Part {
    pub(crate) fn start(
        program: &Path,
        args: &[&str],
        many: usize,
    ) -> Result<(Self, Vec<SocketAddr>), Trouble> {
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn()?;
        let out = child.stdout.take();
        let part = Self(child);
        let lines = out.into_iter().flat_map(|out| BufReader::new(out).lines());
        let told = lines.take(many).map_while(Result::ok);
        let at: Vec<SocketAddr> = told
            .filter_map(|line| line.strip_prefix("listening ")?.trim().parse().ok())
            .collect();
        if at.len() < many {
            return Err(Trouble::Silent {
                what: args.join(" "),
            });
        }
        Ok((part, at))
    }

    /// Seconds of CPU that it has used, as the system counts them.
    pub(crate) fn cpu(&self) -> Result<f64, Trouble> {
        let stat = self.process()?.stat()?;
        Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
    }

    /// Bytes of memory that it has in use, as the system counts them.
    pub(crate) fn resident(&self) -> Result<u64, Trouble> {
        Ok(self.process()?.statm()?.resident * procfs::page_size())
    }

    fn process(&self) -> Result<procfs::process::Process, Trouble> {
        Ok(procfs::process::Process::new(self.0.id() as i32)?)
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub pods: Vec<usize>,
    pub connections: usize,
    /// Each way is measured in so many rounds, in turn with the others: what the machine does beside falls on
    /// all alike, and the middle round counts.
    pub rounds: usize,
    pub lasts: Duration,
    pub seed: u64,
}

/// One way from the clients to the pods, and what was measured of it.
struct Way {
    what: String,
    to: SocketAddr,
    part: Option<Part>,
    per_s: Vec<f64>,
    per_core: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    p999: Vec<f64>,
    failed: u64,
}

fn middle(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

impl Way {
    fn new(what: String, to: SocketAddr, part: Option<Part>) -> Self {
        let none = Vec::new;
        let (per_s, per_core, p50, p99, p999) = (none(), none(), none(), none(), none());
        Self {
            what,
            to,
            part,
            per_s,
            per_core,
            p50,
            p99,
            p999,
            failed: 0,
        }
    }

    fn saturate(&mut self, load: &Load) -> Result<(), Trouble> {
        let (mut before, mut after) = (Ok(None), Ok(None));
        let cpu = || self.part.as_ref().map(Part::cpu).transpose();
        let outcome = run(
            &Load {
                to: self.to,
                ..load.clone()
            },
            || before = cpu(),
            || after = cpu(),
        )?;
        self.per_s.push(outcome.per_s());
        if let (Some(before), Some(after)) = (before?, after?) {
            self.per_core
                .push(outcome.answered as f64 / (after - before).max(0.01));
        }
        self.failed += outcome.failed;
        Ok(())
    }

    fn at(&mut self, rate: f64, load: &Load) -> Result<(), Trouble> {
        let load = Load {
            to: self.to,
            hits_per_s: Some(rate),
            ..load.clone()
        };
        let outcome: Outcome = run(&load, || (), || ())?;
        self.p50.push(outcome.ms(0.5));
        self.p99.push(outcome.ms(0.99));
        self.p999.push(outcome.ms(0.999));
        self.failed += outcome.failed;
        Ok(())
    }
}

/// Runs the comparison with `program` as the command; gives the table and the ratios as text.
///
/// # Errors
/// A part does not start, or the load could not be sent.
pub fn compare(program: &Path, folder: &Path, plan: &Plan) -> Result<String, Trouble> {
    let (mut ways, mut fleets) = (Vec::new(), Vec::new());
    for pods in &plan.pods {
        let (fleet, at) = Part::start(program, &["load", "pods", &pods.to_string()], *pods)?;
        fleets.push(fleet);
        if ways.is_empty() {
            ways.push(Way::new("straight to a pod".into(), at[0], None));
            let all: Vec<String> = at.iter().map(ToString::to_string).collect();
            let args: Vec<&str> = ["load", "relay"]
                .into_iter()
                .chain(all.iter().map(String::as_str))
                .collect();
            let (relay, there) = Part::start(program, &args, 1)?;
            ways.push(Way::new("bare relay".into(), there[0], Some(relay)));
        }
        let settings = settings(folder, &at)?;
        let (sidecar, there) = Part::start(program, &["sidecar", &settings, "--with-parent"], 1)?;
        ways.push(Way::new(
            format!("sidecar, {pods} pods"),
            there[0],
            Some(sidecar),
        ));
    }
    let load = Load {
        to: ways[0].to,
        hits_per_s: None,
        connections: plan.connections,
        warm_up: Duration::from_millis(500),
        lasts: plan.lasts,
        seed: plan.seed,
        target: "/quotes/1".into(),
    };
    for _ in 0..plan.rounds {
        ways.iter_mut().try_for_each(|way| way.saturate(&load))?;
    }
    // Half of what the first sidecar can do; the same for all, so that what each adds can be told.
    let rate = middle(&ways[2].per_s) / 2.0;
    for round in 0..plan.rounds {
        let load = Load {
            seed: plan.seed + round as u64,
            ..load.clone()
        };
        ways.iter_mut().try_for_each(|way| way.at(rate, &load))?;
    }
    Ok(told(&ways, rate))
}

fn told(ways: &[Way], rate: f64) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let half = format!("p50 ms at {rate:.0}/s");
    table.set_header([
        "way",
        "hits/s, full",
        "hits per core second",
        &half,
        "p99 ms",
        "(best, worst round)",
        "p99.9 ms",
        "failed",
    ]);
    for way in ways {
        let core = middle(&way.per_core);
        let ends = way.p99.iter().fold((f64::MAX, 0.0_f64), |(low, high), p| {
            (low.min(*p), high.max(*p))
        });
        table.add_row([
            way.what.clone(),
            format!("{:.0}", middle(&way.per_s)),
            if way.part.is_none() {
                "-".into()
            } else {
                format!("{core:.0}")
            },
            format!("{:.3}", middle(&way.p50)),
            format!("{:.3}", middle(&way.p99)),
            format!("{:.3}, {:.3}", ends.0, ends.1),
            format!("{:.3}", middle(&way.p999)),
            way.failed.to_string(),
        ]);
    }
    let [straight, relay, first, rest @ ..] = ways else {
        return table.to_string();
    };
    let core = |way: &Way| middle(&way.per_core);
    let mut text = format!(
        "{table}\nsidecar against bare relay, hits per core second: {:.2} (aim: 0.6 or more)\n\
         p99 that the sidecar adds to a straight way: {:.3} ms (aim: under 1)\n",
        core(first) / core(relay),
        middle(&first.p99) - middle(&straight.p99),
    );
    for more in rest {
        let ratio = core(first) / core(more);
        text += &format!(
            "{} against {}, cost per hit: {ratio:.2} (aim: under 1.5)\n",
            more.what, first.what
        );
    }
    text
}

/// Settings of a sidecar that knows these pods from its state file, with no list service and no installer, put
/// into `folder`; tells the file.
///
/// # Errors
/// The folder can't be written.
pub fn settings(folder: &Path, pods: &[SocketAddr]) -> Result<String, Trouble> {
    let row = |(place, address): (usize, &SocketAddr)| EndpointRecord {
        machine: address.to_string(),
        address: *address,
        draining: false,
        build: 1,
        weight: 4.0,
        started: None,
        zone: "east".into(),
        cell: (place / 4) as u16,
        machine_type: "plain".into(),
    };
    let rows: Vec<EndpointRecord> = pods.iter().enumerate().map(row).collect();
    let state = folder.join(format!("load-{}.state.json", pods.len()));
    endpoint_list_file::save(&state, &rows)?;
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
            "fall_within": 3},
        "releases": {"control": "clock", "stages": [{"share": 1, "cap": 1}], "cap_window": 2, "cap_free": 1,
            "step_after": 4, "vote_life": 4, "vote_answer_within": 1, "back_votes": 1}
    });
    // What can't be read back as settings would be this tool's own fault: told now, not by the sidecar.
    let settings: SidecarSettings = serde_json::from_value(settings)?;
    let file = folder.join(format!("load-{}.json", pods.len()));
    std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
    Ok(file.display().to_string())
}
