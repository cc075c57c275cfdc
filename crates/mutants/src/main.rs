//! `limewing-crooked`: takes the same call as `limewing sidecar FILE --with-parent`, and breaks the rule that the
//! last part of the name it is called by tells (`.../crooked-cap`).

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod twice;

use limewing_decision::interface::*;
use limewing_decision::DecisionEngine;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use limewing_settings::SidecarSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Sends each mutating hit to two pods.
    Resend,
    /// Bounces mutating hits that are out at a pod.
    Bounce,
    /// Never answers some hits.
    Swallow,
    /// Answers some hits twice.
    Twice,
    /// Sends one repeatable hit in three to the build on trial.
    Cap,
    /// Sends to pods that have drained for longer than the grace.
    Drained,
    /// Sends all to a pod that has just started.
    Cold,
}

fn way(name: &str) -> Option<Way> {
    Some(match name.rsplit('-').next()? {
        "resend" => Way::Resend,
        "bounce" => Way::Bounce,
        "swallow" => Way::Swallow,
        "twice" => Way::Twice,
        "cap" => Way::Cap,
        "drained" => Way::Drained,
        "cold" => Way::Cold,
        _ => return None,
    })
}

struct Crooked {
    honest: DecisionEngine,
    way: Way,
    grace: Duration,
    mutating: Vec<bool>,
    groups: BTreeMap<RequestId, ClassId>,
    pods: BTreeMap<PodId, Endpoint>,
    drained: BTreeMap<PodId, Duration>,
    news: Option<StageUpdate>,
    sent: BTreeSet<RequestId>,
    turn: u64,
}

impl Crooked {
    fn look(&mut self, now: Duration, event: &Event) {
        match event {
            Event::RequestArrived(hit) => drop(self.groups.insert(hit.id, hit.class)),
            Event::Endpoints(
                EndpointUpdate::Snapshot(rows)
                | EndpointUpdate::Delta(rows)
                | EndpointUpdate::Cached(rows),
            ) => {
                for row in rows {
                    if row.state == PodState::Draining {
                        self.drained.entry(row.pod).or_insert(now);
                    }
                    self.pods.insert(row.pod, row.clone());
                }
            }
            Event::Stage {
                update: Some(news), ..
            } => self.news = Some(*news),
            _ => {}
        }
    }

    fn is_mutating(&self, hit: RequestId) -> bool {
        self.groups
            .get(&hit)
            .is_some_and(|group| self.mutating[usize::from(group.0)])
    }

    /// Where a forward goes instead.
    fn instead(&self, now: Duration, hit: RequestId) -> Option<PodId> {
        let ready = |pod: &&Endpoint| pod.state == PodState::Ready;
        match self.way {
            Way::Cap if !self.is_mutating(hit) && self.turn.is_multiple_of(3) => {
                let trial = self.news.filter(|news| news.phase == Phase::OnTrial)?.build;
                self.pods
                    .values()
                    .filter(ready)
                    .find(|pod| pod.build == trial)
                    .map(|pod| pod.pod)
            }
            Way::Drained => {
                let late = |at: &Duration| now > *at + self.grace + Duration::from_millis(300);
                self.drained
                    .iter()
                    .find(|(_, at)| late(at))
                    .map(|(pod, _)| *pod)
            }
            Way::Cold => {
                let young = |pod: &&Endpoint| {
                    pod.started_at
                        .is_some_and(|at| now < at + Duration::from_secs(2))
                };
                self.pods
                    .values()
                    .filter(ready)
                    .find(young)
                    .map(|pod| pod.pod)
            }
            _ => None,
        }
    }
}

impl SendAuthority for Crooked {
    /// The honest module does not know attempts that were planted, or that went to another pod than its own.
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        let plants = matches!(self.way, Way::Drained | Way::Resend | Way::Cap | Way::Cold);
        plants || self.honest.may_begin(now, hit, no)
    }
}

impl Decisions for Crooked {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        events.iter().for_each(|event| self.look(now, event));
        let actions = self.honest.apply_events(now, events);
        self.bend(now, actions)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        events.iter().for_each(|event| self.look(now, event));
        let actions = self.honest.handle(now, events);
        self.bend(now, actions)
    }
}

impl Crooked {
    /// Breaks the rule in what the honest module decided.
    fn bend(&mut self, now: Duration, actions: Vec<Action>) -> Vec<Action> {
        let mut out = Vec::new();
        for action in actions {
            let Action::StartAttempt {
                request: hit,
                pod,
                timeout: within,
            } = action
            else {
                out.push(action);
                continue;
            };
            self.turn += 1;
            if self.way == Way::Swallow && self.turn.is_multiple_of(40) {
                continue;
            }
            let pod = self.instead(now, hit).unwrap_or(pod);
            out.push(Action::StartAttempt {
                request: hit,
                pod,
                timeout: within,
            });
            let first = self.sent.insert(hit);
            let again = self
                .pods
                .values()
                .find(|other| other.state == PodState::Ready && other.pod != pod);
            match self.way {
                Way::Resend if first && self.is_mutating(hit) => {
                    out.extend(again.map(|other| Action::StartAttempt {
                        request: hit,
                        pod: other.pod,
                        timeout: within,
                    }));
                }
                Way::Bounce if self.is_mutating(hit) && self.turn.is_multiple_of(5) => {
                    out.push(Action::Reject {
                        request: hit,
                        retry_after: Duration::ZERO,
                    });
                }
                _ => {}
            }
        }
        out
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let name = args
        .first()
        .and_then(|name| Path::new(name).file_name())
        .and_then(|name| name.to_str());
    let (Some(way), Some("sidecar"), Some(file)) = (
        name.and_then(way),
        args.get(1).map(String::as_str),
        args.get(2),
    ) else {
        eprintln!("call as crooked-resend, -bounce, -swallow, -twice, -cap, -drained or -cold: sidecar FILE");
        return ExitCode::from(2);
    };
    let settings: SidecarSettings = match limewing_settings::read(Path::new(file)) {
        Ok(settings) => settings,
        Err(trouble) => {
            eprintln!("{trouble}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    let service = Service::start_with(&settings, |now, terms| {
        let mutating = terms
            .classes
            .iter()
            .map(|group| group.idempotency == Idempotency::NonIdempotent)
            .collect();
        let grace = terms.safety.drain_grace;
        Box::new(Crooked {
            honest: DecisionEngine::new(now, terms),
            way,
            grace,
            mutating,
            groups: BTreeMap::new(),
            pods: BTreeMap::new(),
            drained: BTreeMap::new(),
            news: None,
            sent: BTreeSet::new(),
            turn: 0,
        })
    });
    let Ok(service) = service else {
        return ExitCode::from(2);
    };
    let at = if way == Way::Twice {
        twice::before(service.address())
    } else {
        Ok(service.address())
    };
    let Ok(at) = at else { return ExitCode::from(2) };
    println!("listening {at}");
    service
        .run()
        .map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
