//! Hosts instances of the decision module on the simulator wire: translates, decides nothing.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

use limewing_decision::interface::{Endpoint, EndpointUpdate, Event, WatchLoss};
use limewing_decision::DecisionEngine;
use limewing_simulator_protocol::{
    read_batch, start_terms, Batch, ListHow, Record, Reply, Trouble,
};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    sidecar: DecisionEngine,
    waiting: Vec<Event>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u16, Vec<Endpoint>>,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut out = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = Host::default();
    let mut reply = Reply::default();
    loop {
        let batch = match read_batch(&mut input) {
            Ok(Some(batch)) => batch,
            Ok(None) => return ExitCode::SUCCESS,
            Err(trouble) => return refuse(&mut out, trouble),
        };
        let number = batch.number;
        if let Err(trouble) = host.round(batch, &mut reply) {
            return refuse(&mut out, trouble);
        }
        if reply.send(number, &mut out).is_err() {
            return ExitCode::FAILURE;
        }
    }
}

fn refuse(out: &mut impl Write, trouble: Trouble) -> ExitCode {
    // What is buffered has been flushed with its reply; nothing more goes out.
    drop(out.flush());
    eprintln!("limewing-wirehost: {trouble}");
    ExitCode::from(2)
}

impl Host {
    fn round(&mut self, batch: Batch, reply: &mut Reply) -> Result<(), Trouble> {
        let mut turns: Vec<u32> = Vec::new();
        let mut current = None;
        for record in batch.records {
            let event = match record {
                Record::SwitchTo(id) => {
                    current = Some(id);
                    if !turns.contains(&id) {
                        turns.push(id);
                    }
                    continue;
                }
                Record::Inventory { table, rows } => {
                    self.tables.insert(table, rows);
                    continue;
                }
                Record::PowerOn { seed, options, at } => {
                    let id = current.ok_or_else(|| Trouble {
                        what: "power_on for no instance".into(),
                        at,
                    })?;
                    let terms = start_terms(seed, &options).map_err(|what| Trouble { what, at })?;
                    let sidecar = DecisionEngine::new(batch.now, terms);
                    self.instances.insert(
                        id,
                        Instance {
                            sidecar,
                            waiting: Vec::new(),
                        },
                    );
                    continue;
                }
                Record::Halt => {
                    current.map(|id| self.instances.remove(&id));
                    continue;
                }
                Record::BackendsChanged { how, table, at } => {
                    let rows = || {
                        let unknown = || Trouble {
                            what: format!("list {table} was never sent"),
                            at,
                        };
                        self.tables.get(&table).cloned().ok_or_else(unknown)
                    };
                    Event::Endpoints(match how {
                        ListHow::Change => EndpointUpdate::Delta(rows()?),
                        ListHow::Whole => EndpointUpdate::Snapshot(rows()?),
                        ListHow::Remembered => EndpointUpdate::Cached(rows()?),
                        ListHow::Failed => EndpointUpdate::WatchLost(WatchLoss::default()),
                    })
                }
                Record::Plain(event) => event,
                Record::Unused => continue,
            };
            if let Some(instance) = current.and_then(|id| self.instances.get_mut(&id)) {
                instance.waiting.push(event);
            }
        }
        for id in turns {
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            let events = std::mem::take(&mut instance.waiting);
            reply.by(id);
            match catch_unwind(AssertUnwindSafe(|| {
                instance.sidecar.handle(batch.now, events)
            })) {
                Ok(actions) => actions.iter().for_each(|a| reply.act(a)),
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(panic.downcast_ref::<&str>().copied());
                    reply.fault(text.unwrap_or("the decision module panicked"));
                }
            }
        }
        Ok(())
    }
}
