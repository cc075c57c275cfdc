//! State of one member: its load report for the others, and its view derived from their reports.

use crate::load_report::{LoadReport, OutlierHint, MAX_HINTS};
use crate::outlier_hints::{find_outliers, PeerReport};
use crate::outlier_tracker::{OutlierObservation, OutlierTracker};
use crate::poll_schedule::{PollSchedule, Service};
use crate::probe_rotation::is_prober;
use crate::subsets::{assign_subsets, preference_order, Member, Pod};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time over which the request rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Interval at which a report with hints or lost services is repeated, because these expire at the
/// other members.
const REPORT_REFRESH: Duration = Duration::from_secs(4);
/// Minimum time between two views.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Rate exponent assumed for a member without a report.
const DEFAULT_RATE_EXPONENT: u8 = 4;
/// Maximum reported rate exponent.
const MAX_RATE_EXPONENT: f64 = 60.0;
/// Marks a member without a report as belonging to no zone.
const NO_ZONE: u16 = u16::MAX;

/// View of the fleet for the decision module. Pods are identified by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// All pods in order of preference, with the outliers last.
    pub preference: Vec<u64>,
    /// Minimum number of pods, from the front of `preference`, that this member is to use.
    pub min_endpoints: usize,
    /// Ejected pods that other members are health checking now.
    pub probed_by_peers: BTreeSet<u64>,
}

/// Another member of the fleet.
struct Peer {
    rate_exponent: u8,
    report: Option<PeerReport>,
}

impl Peer {
    fn new(member: u64, received: Option<(LoadReport, Duration)>) -> Self {
        let Some((report, received_at)) = received else {
            return Self {
                rate_exponent: DEFAULT_RATE_EXPONENT,
                report: None,
            };
        };
        Self {
            rate_exponent: report.rate_exponent,
            report: Some(PeerReport {
                member,
                zone: report.zone,
                received_at,
                hints: report.hints,
                lost_services: report.lost_services,
            }),
        }
    }

    fn as_member(&self, key: u64) -> Member {
        Member {
            key,
            zone: self.report.as_ref().map_or(NO_ZONE, |report| report.zone),
            request_rate: request_rate(self.rate_exponent),
        }
    }
}

/// Returns the request rate per second that an exponent stands for.
fn request_rate(rate_exponent: u8) -> f64 {
    2f64.powf(f64::from(rate_exponent) / 2.0)
}

/// Pods assigned to this member.
#[derive(Clone)]
struct Subset {
    /// Indexes of all pods, those of the subset first.
    order: Vec<usize>,
    size: usize,
}

/// Coordination state of one member. All times are of the caller's clock.
pub struct Coordinator {
    key: u64,
    zone: u16,
    /// Sorted by key.
    pods: Vec<Pod>,
    peers: BTreeMap<u64, Peer>,
    tracker: OutlierTracker,
    /// Outliers according to the other members' hints, with the time since when.
    outliers_since: BTreeMap<u64, Duration>,
    polls: PollSchedule,
    /// Requests since the start of the current window.
    request_count: u64,
    window_start: Duration,
    rate_exponent: u8,
    last_report: Option<(LoadReport, Duration)>,
    /// `None` if the subset has to be reassigned.
    subset: Option<Subset>,
    view: Option<FleetView>,
    next_view: Duration,
}

impl Coordinator {
    /// Creates the state of the member with this key ([`crate::stable_key`] of its name) and zone.
    pub fn new(now: Duration, key: u64, zone: u16) -> Self {
        Self {
            key,
            zone,
            pods: Vec::new(),
            peers: BTreeMap::new(),
            tracker: OutlierTracker::default(),
            outliers_since: BTreeMap::new(),
            polls: PollSchedule::default(),
            request_count: 0,
            window_start: now,
            rate_exponent: DEFAULT_RATE_EXPONENT,
            last_report: None,
            subset: None,
            view: None,
            next_view: now,
        }
    }

    /// Replaces the pods that may be used.
    pub fn set_pods(&mut self, mut pods: Vec<Pod>) {
        pods.sort_unstable_by_key(|pod| pod.key);
        if pods != self.pods {
            self.pods = pods;
            self.subset = None;
        }
    }

    /// Replaces the other members: the key of each, with its report, if any, and when that was
    /// received.
    pub fn set_peers(
        &mut self,
        peers: impl Iterator<Item = (u64, Option<(LoadReport, Duration)>)>,
    ) {
        let peers: BTreeMap<u64, Peer> = peers
            .filter(|(member, _)| *member != self.key)
            .map(|(member, received)| (member, Peer::new(member, received)))
            .collect();
        let is_same = as_members(&peers).eq(as_members(&self.peers));
        self.peers = peers;
        if !is_same {
            self.subset = None;
        }
    }

    /// Counts a client's request.
    pub fn record_request(&mut self) {
        self.request_count += 1;
    }

    /// Records how an attempt at the pod with this key ended.
    pub fn record_outcome(&mut self, now: Duration, pod: u64, observation: OutlierObservation) {
        self.tracker.record(now, pod, observation);
    }

    /// Records that a poll of a service failed or its watch was lost.
    pub fn record_poll_failure(&mut self, now: Duration, service: Service) {
        self.polls.record_failure(now, service);
    }

    /// Records that a service answered.
    pub fn record_poll_success(&mut self, service: Service) {
        self.polls.record_success(service);
    }

    /// Returns when a service may be polled: now, or a later time at which to ask again.
    pub fn next_poll(&self, now: Duration, service: Service) -> Duration {
        self.polls.next_poll(now, service, self.key)
    }

    /// Returns the latest time at which to call [`Coordinator::take_report`] and
    /// [`Coordinator::take_view`].
    pub fn next_deadline(&self) -> Duration {
        self.next_view
    }

    /// Returns the load report for the other members if it changed or has to be repeated.
    pub fn take_report(&mut self, now: Duration) -> Option<LoadReport> {
        self.update_request_rate(now);
        let mut hints = self.tracker.hints(now);
        hints.truncate(MAX_HINTS);
        let report = LoadReport {
            zone: self.zone,
            rate_exponent: self.rate_exponent,
            hints,
            lost_services: self.polls.lost_services(),
        };
        let expires = !report.hints.is_empty() || report.lost_services != 0;
        if let Some((last, reported_at)) = &self.last_report {
            let is_due = expires && now >= *reported_at + REPORT_REFRESH;
            if *last == report && !is_due {
                return None;
            }
        }
        self.last_report = Some((report.clone(), now));
        Some(report)
    }

    fn update_request_rate(&mut self, now: Duration) {
        if now < self.window_start + RATE_WINDOW {
            return;
        }
        let elapsed = now.saturating_sub(self.window_start).as_secs_f64();
        let rate = self.request_count as f64 / elapsed;
        let exponent = (rate.max(1.0).log2() * 2.0).min(MAX_RATE_EXPONENT);
        // Small changes are not reported, because each one shifts the other members' subsets.
        if (exponent - f64::from(self.rate_exponent)).abs() > 1.0 {
            self.rate_exponent = exponent.round() as u8;
            self.subset = None;
        }
        self.request_count = 0;
        self.window_start = now;
        self.tracker.remove_expired(now);
    }

    /// Returns the view if it changed; `Some(None)` if no other member is known any more.
    pub fn take_view(&mut self, now: Duration) -> Option<Option<FleetView>> {
        if now < self.next_view {
            return None;
        }
        self.next_view = now + VIEW_INTERVAL;
        let lost_services = self
            .peers
            .values()
            .filter_map(|peer| peer.report.as_ref())
            .filter(|report| report.is_fresh(now))
            .map(|report| (report.member, report.lost_services));
        self.polls.update_peers(now, lost_services);
        let view = if self.peers.is_empty() || self.pods.is_empty() {
            None
        } else {
            Some(self.compute_view(now))
        };
        if view == self.view {
            return None;
        }
        self.view.clone_from(&view);
        Some(view)
    }

    fn compute_view(&mut self, now: Duration) -> FleetView {
        let subset = match self.subset.take() {
            Some(subset) => subset,
            None => self.assign_subset(),
        };
        let reports: Vec<PeerReport> = self
            .peers
            .values()
            .filter_map(|peer| peer.report.clone())
            .collect();
        let outliers = self.update_outliers(now, &reports);
        let (outlying, regular): (Vec<u64>, Vec<u64>) = subset
            .order
            .iter()
            .map(|index| self.pods[*index].key)
            .partition(|pod| outliers.contains_key(pod));
        let min_endpoints = subset.size;
        self.subset = Some(subset);
        FleetView {
            preference: regular.into_iter().chain(outlying).collect(),
            min_endpoints,
            probed_by_peers: self.probed_by_peers(now, &outliers, &reports),
        }
    }

    /// Returns the outliers according to the other members' hints, except pods that have answered
    /// this member recently.
    fn update_outliers(
        &mut self,
        now: Duration,
        reports: &[PeerReport],
    ) -> BTreeMap<u64, OutlierHint> {
        let keys: Vec<u64> = self.pods.iter().map(|pod| pod.key).collect();
        let mut outliers = find_outliers(reports, &keys, now);
        outliers.retain(|pod, _| !self.tracker.answered_recently(*pod, now));
        self.outliers_since
            .retain(|pod, _| outliers.contains_key(pod));
        for pod in outliers.keys() {
            self.outliers_since.entry(*pod).or_insert(now);
        }
        outliers
    }

    /// Returns the ejected pods that this member must not health check now. Only members that have
    /// ejected the pod themselves take part in the rotation, because the others do not check it.
    fn probed_by_peers(
        &self,
        now: Duration,
        outliers: &BTreeMap<u64, OutlierHint>,
        reports: &[PeerReport],
    ) -> BTreeSet<u64> {
        let mut probed_by_peers = BTreeSet::new();
        for (pod, hint) in outliers {
            if *hint != OutlierHint::Ejected {
                continue;
            }
            let ejected_by = reports
                .iter()
                .filter(|report| report.is_fresh(now))
                .filter(|report| report.hints.contains(&(*pod, OutlierHint::Ejected)))
                .map(|report| report.member)
                .chain([self.key]);
            let elapsed = now.saturating_sub(self.outliers_since[pod]);
            if !is_prober(*pod, self.key, ejected_by, elapsed) {
                probed_by_peers.insert(*pod);
            }
        }
        probed_by_peers
    }

    fn assign_subset(&self) -> Subset {
        let own = Member {
            key: self.key,
            zone: self.zone,
            request_rate: request_rate(self.rate_exponent),
        };
        let mut members: Vec<Member> = as_members(&self.peers).chain([own]).collect();
        members.sort_unstable_by_key(|member| member.key);
        let index = members.partition_point(|member| member.key < self.key);
        let mut order = assign_subsets(&members, &self.pods).swap_remove(index);
        let size = order.len();
        let others: Vec<usize> = preference_order(&own, &self.pods)
            .into_iter()
            .filter(|pod| !order.contains(pod))
            .collect();
        order.extend(others);
        Subset { order, size }
    }
}

/// Returns the other members as input of the assignment, ordered by key.
fn as_members(peers: &BTreeMap<u64, Peer>) -> impl Iterator<Item = Member> + '_ {
    peers.iter().map(|(key, peer)| peer.as_member(*key))
}
