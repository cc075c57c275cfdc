//! Machines' agents and the operator: a thread of its own looks at the sidecars' pages and posts to them; what is out is
//! worked on in the day's loop.

use super::{Day, DayTrouble, Due};
use crate::fleet::call;
use crate::rollout::SlotId;
use crate::script::{MaintenanceScript, OperatorAction};
use limewing_http_proxy::service::{MaintenanceRequest, MaintenanceView, WorkReport};
use limewing_rule_checker::record::Event;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

const LOOKS_EVERY: Duration = Duration::from_millis(40);
/// What has not shown yet is posted again after this.
const AGAIN: Duration = Duration::from_millis(400);
/// Between what an agent was told and the begin of the work: whatever arrives meanwhile should not.
pub const SETTLES: Duration = Duration::from_millis(300);

/// A day that ends when all is done goes on for so long.
const AFTER_ALL: Duration = Duration::from_secs(1);

/// What the thread is to post, until it shows.
enum Post {
    Does(OperatorAction),
    Report(u64, WorkReport),
    Over,
}

pub struct Agents {
    posts: Sender<Post>,
    views: Receiver<MaintenanceView>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Grants that are out, or were, by the place of their machine.
    known: BTreeMap<u64, SlotId>,
}

impl Agents {
    pub fn start(sidecars: Vec<SocketAddr>) -> Self {
        let ((posts, take), (tell, views)) = (channel(), channel());
        let thread = std::thread::spawn(move || look(&sidecars, &take, &tell));
        Self {
            posts,
            views,
            thread: Some(thread),
            known: BTreeMap::new(),
        }
    }

    fn post(&self, post: Post) {
        // The thread ends with the day alone.
        let _ = self.posts.send(post);
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        self.post(Post::Over);
        self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// Whether what was posted shows in a sidecar's view, so that it need not be posted again.
fn shows(view: &MaintenanceView, post: &Post, list: Option<u64>) -> bool {
    let of = view.lists.iter().find(|of| Some(of.id) == list);
    let at = |grant: u64| {
        let mut machines = view.lists.iter().flat_map(|list| &list.machines);
        machines
            .find(|machine| machine.grant == Some(grant))
            .map(|machine| machine.phase.as_str())
    };
    match post {
        Post::Does(OperatorAction::Request(_)) => of.is_some_and(|of| !of.machines.is_empty()),
        Post::Does(OperatorAction::Hold) => of.is_some_and(|of| of.paused),
        Post::Does(OperatorAction::Resume) => of.is_some_and(|of| !of.paused),
        Post::Does(OperatorAction::Withdraw) => of.is_some_and(|of| of.withdrawn),
        Post::Does(OperatorAction::RemoveSidecar(name)) => !view.sidecars.contains(name),
        Post::Does(OperatorAction::AddVoter(name)) => view.voters.contains(name),
        Post::Does(OperatorAction::RemoveVoter(name)) => {
            !view.voters.is_empty() && !view.voters.contains(name)
        }
        // That it began does not show: it is told once.
        Post::Report(_, WorkReport::Began) => true,
        Post::Report(grant, _) => at(*grant) != Some("out"),
        Post::Over => true,
    }
}

fn look(sidecars: &[SocketAddr], posts: &Receiver<Post>, views: &Sender<MaintenanceView>) {
    let mut open: Vec<(Post, Option<std::time::Instant>)> = Vec::new();
    let (mut list, mut turn) = (None, 0);
    loop {
        for post in posts.try_iter() {
            if matches!(post, Post::Over) {
                return;
            }
            open.push((post, None));
        }
        turn += 1;
        let at = sidecars[turn % sidecars.len()];
        // One that is down or stands still is passed over.
        if let Some(view) = call(at, "GET", "/limewing/work", "")
            .ok()
            .and_then(|t| serde_json::from_str(&t).ok())
        {
            open.retain(|(post, posted)| posted.is_none() || !shows(&view, post, list));
            let _ = views.send(view);
            let now = std::time::Instant::now();
            for (post, posted) in &mut open {
                if posted.is_some_and(|posted| now < posted + AGAIN) {
                    continue;
                }
                let asked = match (&*post, list) {
                    // MaintenanceRequest for once: again it would be another list.
                    (Post::Does(OperatorAction::Request(_)), _) if posted.is_some() => continue,
                    (Post::Does(OperatorAction::Request(told)), _) => {
                        MaintenanceRequest::CreateList(told.clone())
                    }
                    (Post::Does(OperatorAction::Hold), Some(list)) => {
                        MaintenanceRequest::PauseList(list)
                    }
                    (Post::Does(OperatorAction::Resume), Some(list)) => {
                        MaintenanceRequest::ResumeList(list)
                    }
                    (Post::Does(OperatorAction::Withdraw), Some(list)) => {
                        MaintenanceRequest::WithdrawList(list)
                    }
                    (Post::Does(OperatorAction::RemoveSidecar(name)), _) => {
                        MaintenanceRequest::SidecarGone(name.clone())
                    }
                    (Post::Does(OperatorAction::AddVoter(name)), _) => {
                        MaintenanceRequest::AddVoter(name.clone())
                    }
                    (Post::Does(OperatorAction::RemoveVoter(name)), _) => {
                        MaintenanceRequest::RemoveVoter(name.clone())
                    }
                    (Post::Report(grant, said), _) => MaintenanceRequest::ReportWork {
                        grant: *grant,
                        report: *said,
                    },
                    _ => continue,
                };
                let body = serde_json::to_string(&asked).unwrap_or_default();
                if let Ok(said) = call(at, "POST", "/limewing/work", &body) {
                    *posted = Some(now);
                    let number = serde_json::from_str::<serde_json::Value>(&said).ok();
                    list = number.and_then(|said| said["list"].as_u64()).or(list);
                }
            }
        }
        std::thread::sleep(LOOKS_EVERY);
    }
}

impl Day<'_> {
    pub(super) fn begin_work(&mut self) {
        let Some(work) = self.script.maintenance.as_ref() else {
            return;
        };
        self.agents = Some(Agents::start(
            self.processes
                .iter()
                .map(|process| process.address)
                .collect(),
        ));
        for (number, step) in work.steps.iter().enumerate() {
            self.wheel
                .schedule(self.now + step.at.into(), Due::Work(number));
        }
    }

    pub(super) fn work_step(&mut self, number: usize) {
        let Some((work, agents)) = self.script.maintenance.as_ref().zip(self.agents.as_ref())
        else {
            return;
        };
        let does = work.steps[number].action.clone();
        agents.post(Post::Does(does.clone()));
        if let OperatorAction::Request(list) = does {
            let (out, out_in_zone) = (
                list.limits.max_unavailable,
                list.limits.max_unavailable_per_zone.unwrap_or(u16::MAX),
            );
            self.note(Event::MaintenanceRequested {
                max_out: out,
                max_out_in_zone: out_in_zone,
            });
        }
    }

    /// Looks at what the sidecars said lately.
    pub(super) fn work_seen(&mut self) {
        let Some(agents) = &mut self.agents else {
            return;
        };
        let mut fresh = Vec::new();
        let mut over = false;
        for view in agents.views.try_iter() {
            over |= !view.lists.is_empty() && view.lists.iter().all(|list| list.finished);
            for machine in view.lists.iter().flat_map(|list| &list.machines) {
                let place = machine
                    .machine
                    .strip_prefix("node-")
                    .and_then(|place| place.parse().ok());
                let out = machine
                    .grant
                    .filter(|grant| machine.phase == "out" && !agents.known.contains_key(grant));
                if let Some((grant, place)) = out.zip(place) {
                    agents.known.insert(grant, SlotId(place));
                    fresh.push((grant, SlotId(place)));
                }
            }
        }
        if over
            && self
                .script
                .maintenance
                .as_ref()
                .is_some_and(|work| work.ends_day_when_over)
        {
            self.end_by(self.now + AFTER_ALL);
        }
        for (grant, place) in fresh {
            let on = |place: SlotId| self.script.machine_of(place.0);
            let pods: Vec<_> = self
                .pods
                .iter()
                .filter(|(_, pod)| on(pod.place) == place.0)
                .map(|(no, _)| *no)
                .collect();
            pods.into_iter().for_each(|pod| {
                self.note(Event::MachineOut {
                    machine: place.0,
                    pod,
                })
            });
            self.wheel
                .schedule(self.now + SETTLES, Due::WorkBegins(grant));
        }
    }

    fn worked_at(&self, grant: u64) -> Option<(SlotId, &MaintenanceScript, &Agents)> {
        let agents = self.agents.as_ref()?;
        Some((
            *agents.known.get(&grant)?,
            self.script.maintenance.as_ref()?,
            agents,
        ))
    }

    pub(super) fn work_begins(&mut self, grant: u64) {
        let Some((place, work, agents)) = self.worked_at(grant) else {
            return;
        };
        agents.post(Post::Report(grant, WorkReport::Began));
        let (lasts, stalls) = (work.duration, work.stalling.contains(&place.0));
        let places = self.script.slots_of(place.0);
        let open = places
            .iter()
            .map(|place| self.open_at(SlotId(*place)))
            .sum();
        let zone = place.0 % self.script.fleet.zones.len();
        self.note(Event::MaintenanceStarted {
            machine: place.0,
            zone: zone as u16,
            in_flight: open,
        });
        places
            .into_iter()
            .for_each(|place| self.kill_pods(SlotId(place)));
        if !stalls {
            self.wheel
                .schedule(self.now + lasts.into(), Due::WorkEnds(grant));
        }
    }

    pub(super) fn work_ends(&mut self, grant: u64) -> Result<(), DayTrouble> {
        let Some((place, work, agents)) = self.worked_at(grant) else {
            return Ok(());
        };
        let fails = work.failing.contains(&place.0);
        let said = if fails {
            WorkReport::Failed
        } else {
            WorkReport::Succeeded
        };
        agents.post(Post::Report(grant, said));
        if work.reported_twice.contains(&place.0) {
            agents.post(Post::Report(grant, said));
        }
        self.note(Event::MaintenanceEnded {
            machine: place.0,
            succeeded: !fails,
        });
        self.script
            .slots_of(place.0)
            .into_iter()
            .map(SlotId)
            .try_for_each(|place| {
                let build = self.installer.build_at(place);
                self.start_pod(place, build, true)
            })
    }
}
