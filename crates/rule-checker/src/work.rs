//! Machines out for work, from the record alone: what must never be, and how much was done.

use crate::record::{Event, PodId, RecordLine};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Machines worked on to the end, and those whose work failed.
    pub done: usize,
    pub failed: usize,
    /// Most out at once, from what their agents were told until they ran again.
    pub most: usize,
    /// Still out at the end.
    pub left: usize,
    /// From the first ask to the end of the last work.
    pub took: Duration,
    pub breaches: Vec<(Duration, String)>,
}

/// None if no work was asked for.
pub fn work(lines: &[RecordLine]) -> Option<Work> {
    let mut found = Work::default();
    let (mut asked, mut limits) = (None, (u16::MAX, u16::MAX));
    // Out, by place: whether the work has begun; pods that nothing is to arrive at; and who was worked on.
    let (mut out, mut shut, mut began) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    let mut zones: BTreeMap<usize, u16> = BTreeMap::new();
    for line in lines {
        let mut breach = |text: String| found.breaches.push((line.at, text));
        match &line.event {
            Event::MaintenanceRequested {
                max_out: out,
                max_out_in_zone: out_in_zone,
            } => {
                asked = asked.or(Some(line.at));
                limits = (limits.0.min(*out), limits.1.min(*out_in_zone));
            }
            Event::MachineOut {
                machine: place,
                pod,
            } => {
                out.insert(*place, false);
                shut.insert(*pod, *place);
            }
            Event::ForwardArrived {
                pod,
                sidecar,
                attempt: of,
                ..
            } if shut.contains_key::<PodId>(pod) => {
                breach(format!(
                    "{sidecar} sent {of} to machine {}, which is out",
                    shut[pod]
                ));
            }
            Event::PodExited { pod } => drop(shut.remove(pod)),
            Event::MaintenanceStarted {
                machine: place,
                zone,
                in_flight: open,
            } => {
                if *open > 0 {
                    breach(format!(
                        "work on machine {place} began with {open} hits open on it"
                    ));
                }
                if !began.insert(*place) {
                    breach(format!("machine {place} was worked on twice"));
                }
                zones.insert(*place, *zone);
                out.insert(*place, true);
            }
            Event::MaintenanceEnded {
                machine: place,
                succeeded: well,
            } => {
                out.remove(place);
                found.done += usize::from(*well);
                found.failed += usize::from(!*well);
                found.took = line.at.saturating_sub(asked.unwrap_or(line.at));
            }
            _ => continue,
        }
        found.most = found.most.max(out.len());
        let working: Vec<u16> = out
            .keys()
            .filter_map(|place| zones.get(place).copied())
            .collect();
        let in_zone = |zone: &u16| working.iter().filter(|of| *of == zone).count();
        let most_in_zone = working.iter().map(in_zone).max().unwrap_or(0);
        if out.len() > usize::from(limits.0) || most_in_zone > usize::from(limits.1) {
            found.breaches.push((
                line.at,
                format!("{} out, {most_in_zone} of one zone", out.len()),
            ));
        }
    }
    found.left = out.len();
    asked.map(|_| found)
}
