//! The operator and the machines' agents: a separate thread polls the sidecars' maintenance page, and repeats each post until a view
//! reflects it.

use crate::fleet::call_sidecar;
use crate::rollout::SlotId;
use crate::script::OperatorAction;
use limewing_http_proxy::service::{MaintenanceRequest, MaintenanceView, WorkReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a page is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The interval after which a post that no view reflects yet is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// The page that shows the state of maintenance and accepts requests.
const MAINTENANCE_PAGE: &str = "/limewing/work";
/// The phase in which the page reports a machine that is out of service.
const OUT_PHASE: &str = "out";

/// A message for the thread to post.
pub(super) enum Post {
    Operator(OperatorAction),
    Report { grant: u64, report: WorkReport },
    EndThread,
}

/// The event loop's handle to the thread.
pub(super) struct MaintenanceAgents {
    posts: Sender<Post>,
    pub(super) views: Receiver<MaintenanceView>,
    thread: Option<JoinHandle<()>>,
    /// The machine of each grant that is or was out of service, by its first slot.
    pub(super) machines: BTreeMap<u64, SlotId>,
}

impl MaintenanceAgents {
    pub(super) fn start(sidecars: Vec<SocketAddr>) -> Self {
        let (posts, post_receiver) = channel();
        let (view_sender, views) = channel();
        let mut poller = Poller {
            sidecars,
            posts: post_receiver,
            views: view_sender,
            pending: Vec::new(),
            list: None,
        };
        let thread = std::thread::spawn(move || poller.run());
        Self {
            posts,
            views,
            thread: Some(thread),
            machines: BTreeMap::new(),
        }
    }

    pub(super) fn post(&self, post: Post) {
        // Sending can't fail before the end of the day, as the thread runs until then.
        let _ = self.posts.send(post);
    }
}

impl Drop for MaintenanceAgents {
    fn drop(&mut self) {
        self.post(Post::EndThread);
        if let Some(thread) = self.thread.take() {
            // The panic message, if any, is already printed.
            let _ = thread.join();
        }
    }
}

/// A post that no view reflects yet.
struct Pending {
    post: Post,
    posted_at: Option<Instant>,
}

struct Poller {
    sidecars: Vec<SocketAddr>,
    posts: Receiver<Post>,
    views: Sender<MaintenanceView>,
    pending: Vec<Pending>,
    /// The list that was created last.
    list: Option<u64>,
}

impl Poller {
    fn run(&mut self) {
        let mut poll_count = 0;
        while self.receive_posts() {
            poll_count += 1;
            let sidecar = self.sidecars[poll_count % self.sidecars.len()];
            // A sidecar that is down or suspended is skipped.
            if let Some(view) = read_view(sidecar) {
                self.pending.retain(|pending| {
                    pending.posted_at.is_none() || !is_reflected_in(&view, &pending.post, self.list)
                });
                let _ = self.views.send(view);
                self.post_pending(sidecar);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Receives new posts; returns whether the thread continues.
    fn receive_posts(&mut self) -> bool {
        for post in self.posts.try_iter() {
            if matches!(post, Post::EndThread) {
                return false;
            }
            self.pending.push(Pending {
                post,
                posted_at: None,
            });
        }
        true
    }

    fn post_pending(&mut self, sidecar: SocketAddr) {
        let now = Instant::now();
        for pending in &mut self.pending {
            if pending
                .posted_at
                .is_some_and(|posted_at| now < posted_at + RETRY_INTERVAL)
            {
                continue;
            }
            let Some(request) = request_for(pending, self.list) else {
                continue;
            };
            let body = serde_json::to_string(&request).unwrap_or_default();
            if let Ok(answer) = call_sidecar(sidecar, "POST", MAINTENANCE_PAGE, &body) {
                pending.posted_at = Some(now);
                let answer = serde_json::from_str::<serde_json::Value>(&answer).ok();
                let list = answer.and_then(|answer| answer["list"].as_u64());
                self.list = list.or(self.list);
            }
        }
    }
}

fn read_view(sidecar: SocketAddr) -> Option<MaintenanceView> {
    let text = call_sidecar(sidecar, "GET", MAINTENANCE_PAGE, "").ok()?;
    serde_json::from_str(&text).ok()
}

fn request_for(pending: &Pending, list: Option<u64>) -> Option<MaintenanceRequest> {
    let action = match &pending.post {
        Post::Operator(action) => action,
        Post::Report { grant, report } => {
            return Some(MaintenanceRequest::ReportWork {
                grant: *grant,
                report: *report,
            })
        }
        Post::EndThread => return None,
    };
    match action {
        // Requested only once, as a repetition would create another list.
        OperatorAction::Request(_) if pending.posted_at.is_some() => None,
        OperatorAction::Request(list) => Some(MaintenanceRequest::CreateList(list.clone())),
        OperatorAction::Hold => list.map(MaintenanceRequest::PauseList),
        OperatorAction::Resume => list.map(MaintenanceRequest::ResumeList),
        OperatorAction::Withdraw => list.map(MaintenanceRequest::WithdrawList),
        OperatorAction::RemoveSidecar(name) => Some(MaintenanceRequest::SidecarGone(name.clone())),
        OperatorAction::AddVoter(name) => Some(MaintenanceRequest::AddVoter(name.clone())),
        OperatorAction::RemoveVoter(name) => Some(MaintenanceRequest::RemoveVoter(name.clone())),
    }
}

/// Whether a sidecar's view reflects a post, so that it need not be repeated.
fn is_reflected_in(view: &MaintenanceView, post: &Post, list: Option<u64>) -> bool {
    let list = view.lists.iter().find(|shown| Some(shown.id) == list);
    match post {
        Post::Operator(OperatorAction::Request(_)) => {
            list.is_some_and(|list| !list.machines.is_empty())
        }
        Post::Operator(OperatorAction::Hold) => list.is_some_and(|list| list.paused),
        Post::Operator(OperatorAction::Resume) => list.is_some_and(|list| !list.paused),
        Post::Operator(OperatorAction::Withdraw) => list.is_some_and(|list| list.withdrawn),
        Post::Operator(OperatorAction::RemoveSidecar(name)) => !view.sidecars.contains(name),
        Post::Operator(OperatorAction::AddVoter(name)) => view.voters.contains(name),
        Post::Operator(OperatorAction::RemoveVoter(name)) => {
            !view.voters.is_empty() && !view.voters.contains(name)
        }
        // No view shows that the work began, so that it is reported only once.
        Post::Report {
            report: WorkReport::Began,
            ..
        } => true,
        Post::Report { grant, .. } => phase_of(view, *grant) != Some(OUT_PHASE),
        Post::EndThread => true,
    }
}

fn phase_of(view: &MaintenanceView, grant: u64) -> Option<&str> {
    let mut machines = view.lists.iter().flat_map(|list| &list.machines);
    let machine = machines.find(|machine| machine.grant == Some(grant))?;
    Some(machine.phase.as_str())
}

/// The machines that a view shows as out of service, by their grants and first slots.
pub(super) fn machines_out(view: &MaintenanceView) -> Vec<(u64, SlotId)> {
    let machines = view.lists.iter().flat_map(|list| &list.machines);
    let out = machines.filter(|machine| machine.phase == OUT_PHASE);
    out.filter_map(|machine| {
        let slot = machine.machine.strip_prefix("node-")?.parse().ok()?;
        Some((machine.grant?, SlotId(slot)))
    })
    .collect()
}
