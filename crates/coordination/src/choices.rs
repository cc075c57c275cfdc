//! One member's choices, from what it knows of the others.

use crate::asks::{PollSchedule, Service};
use crate::health::{Health, OutlierObservation};
use crate::hints::{find_outliers, PeerReport, LIFE};
use crate::says::{LoadReport, OutlierHint, MAX_HINTS};
use crate::subsets::{assign_subsets, preference_order, Member, Pod};
use crate::turns::is_prober;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Traffic is counted over so long.
const COUNTED: Duration = Duration::from_secs(5);
/// What is said is said again after this, while it holds hints: they fade at the others.
const SAID_AGAIN: Duration = Duration::from_secs(4);
/// Views change so often at most.
const VIEWS_EVERY: Duration = Duration::from_millis(500);
/// A member of which nothing was heard has this traffic.
const UNKNOWN: u8 = 4;

/// What the decision module is told. Pods by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// All pods, the one to use first at the front, the doubted ones last.
    pub preference: Vec<u64>,
    /// How many of them this member is to use.
    pub min_endpoints: usize,
    /// Shut pods whose proof is others' turn.
    pub probed_by_peers: BTreeSet<u64>,
}

pub struct Coordinator {
    key: u64,
    zone: u16,
    pods: Vec<Pod>,
    /// The others' traffic, and what those have said that say anything.
    others: BTreeMap<u64, (u8, Option<PeerReport>)>,
    health: Health,
    doubts: BTreeMap<u64, Duration>,
    asks: PollSchedule,
    hits: (u64, Duration),
    traffic: u8,
    said: Option<(LoadReport, Duration)>,
    shared: Option<(Vec<usize>, usize)>,
    view: Option<FleetView>,
    next: Duration,
}

fn hits_a_second(traffic: u8) -> f64 {
    2f64.powf(f64::from(traffic) / 2.0)
}

/// The others as they count where pods are shared out; one that says nothing is in no zone.
fn members(others: &BTreeMap<u64, (u8, Option<PeerReport>)>) -> impl Iterator<Item = Member> + '_ {
    others.iter().map(|(key, (traffic, said))| Member {
        key: *key,
        zone: said.as_ref().map_or(u16::MAX, |said| said.zone),
        request_rate: hits_a_second(*traffic),
    })
}

impl Coordinator {
    /// For the member with this key, in its zone.
    pub fn new(now: Duration, key: u64, zone: u16) -> Self {
        Self {
            key,
            zone,
            pods: Vec::new(),
            others: BTreeMap::new(),
            health: Health::default(),
            doubts: BTreeMap::new(),
            asks: PollSchedule::default(),
            hits: (0, now),
            traffic: UNKNOWN,
            said: None,
            shared: None,
            view: None,
            next: now,
        }
    }

    /// The pods that may be used.
    pub fn set_pods(&mut self, mut pods: Vec<Pod>) {
        pods.sort_unstable_by_key(|pod| pod.key);
        if pods != self.pods {
            (self.pods, self.shared) = (pods, None);
        }
    }

    /// The others that are here, each with what it says, if that is known, and when it was heard.
    pub fn set_peers(
        &mut self,
        others: impl Iterator<Item = (u64, Option<(LoadReport, Duration)>)>,
    ) {
        let heard = |(member, says): (u64, Option<(LoadReport, Duration)>)| {
            let traffic = says
                .as_ref()
                .map_or(UNKNOWN, |(says, _)| says.rate_exponent);
            let said = |(says, at): (LoadReport, _)| PeerReport {
                member,
                zone: says.zone,
                received_at: at,
                hints: says.hints,
                lost_services: says.lost_services,
            };
            let said = says.map(said);
            (member, (traffic, said))
        };
        let all: BTreeMap<u64, (u8, Option<PeerReport>)> = others
            .filter(|(member, _)| *member != self.key)
            .map(heard)
            .collect();
        let changed = !members(&all).eq(members(&self.others));
        self.others = all;
        if changed {
            self.shared = None;
        }
    }

    pub fn record_request(&mut self) {
        self.hits.0 += 1;
    }

    pub fn record_outcome(&mut self, now: Duration, pod: u64, sign: OutlierObservation) {
        self.health.note(now, pod, sign);
    }

    /// An ask of a service failed, or it was lost.
    pub fn record_poll_failure(&mut self, now: Duration, service: Service) {
        self.asks.failed(now, service);
    }

    pub fn record_poll_success(&mut self, service: Service) {
        self.asks.answered(service);
    }

    /// When a service may be asked: now, or the time at which this is to be asked again.
    pub fn next_poll(&self, now: Duration, service: Service) -> Duration {
        self.asks.at(now, service, self.key)
    }

    /// When `says` and `view` are to be asked again.
    pub fn next_deadline(&self) -> Duration {
        self.next
    }

    /// What is to be told to the others, when it changed or fades.
    pub fn take_report(&mut self, now: Duration) -> Option<LoadReport> {
        self.count(now);
        let mut hints = self.health.hints(now);
        hints.truncate(MAX_HINTS);
        let says = LoadReport {
            zone: self.zone,
            rate_exponent: self.traffic,
            hints,
            lost_services: self.asks.bits(),
        };
        let fades = !says.hints.is_empty() || says.lost_services != 0;
        let again = |at: &Duration| fades && now >= *at + SAID_AGAIN;
        if self
            .said
            .as_ref()
            .is_some_and(|(old, at)| *old == says && !again(at))
        {
            return None;
        }
        self.said = Some((says.clone(), now));
        Some(says)
    }

    fn count(&mut self, now: Duration) {
        let (hits, since) = self.hits;
        if now < since + COUNTED {
            return;
        }
        let rate = hits as f64 / now.saturating_sub(since).as_secs_f64();
        let exact = (rate.max(1.0).log2() * 2.0).min(60.0);
        // Only a clear change is told: each moves others' choices.
        if (exact - f64::from(self.traffic)).abs() > 1.0 {
            self.traffic = exact.round() as u8;
            self.shared = None;
        }
        self.hits = (0, now);
        self.health.forget(now);
    }

    /// The view, when it changed: none inside if nobody else is here.
    pub fn take_view(&mut self, now: Duration) -> Option<Option<FleetView>> {
        if now < self.next {
            return None;
        }
        self.next = now + VIEWS_EVERY;
        let said = self.others.values().filter_map(|(_, said)| said.as_ref());
        let fresh = said
            .filter(|said| now < said.received_at + LIFE)
            .map(|said| (said.member, said.lost_services));
        self.asks.hear(now, fresh);
        let view = (!self.others.is_empty() && !self.pods.is_empty()).then(|| self.look(now));
        (view != self.view).then(|| {
            self.view.clone_from(&view);
            view
        })
    }

    fn look(&mut self, now: Duration) -> FleetView {
        let (order, uses) = self.shared.clone().unwrap_or_else(|| self.share());
        self.shared = Some((order.clone(), uses));
        let keys: Vec<u64> = self.pods.iter().map(|pod| pod.key).collect();
        let said: Vec<PeerReport> = self
            .others
            .values()
            .filter_map(|(_, said)| said.clone())
            .collect();
        let mut doubted = find_outliers(&said, &keys, now);
        doubted.retain(|pod, _| !self.health.answered_lately(*pod, now));
        self.doubts.retain(|pod, _| doubted.contains_key(pod));
        for pod in doubted.keys() {
            self.doubts.entry(*pod).or_insert(now);
        }
        // Among those that hold it shut themselves: the others have nothing to prove.
        let shut_by = |pod: u64| {
            let says = move |s: &&PeerReport| {
                now < s.received_at + LIFE && s.hints.contains(&(pod, OutlierHint::Ejected))
            };
            said.iter()
                .filter(says)
                .map(|said| said.member)
                .chain([self.key])
        };
        let others_turn = |pod: &u64| {
            !is_prober(
                *pod,
                self.key,
                shut_by(*pod),
                now.saturating_sub(self.doubts[pod]),
            )
        };
        let shut = doubted
            .iter()
            .filter(|(_, hint)| **hint == OutlierHint::Ejected)
            .map(|(pod, _)| *pod);
        let held = shut.filter(others_turn).collect();
        let (last, first): (Vec<u64>, Vec<u64>) = order
            .iter()
            .map(|place| self.pods[*place].key)
            .partition(|pod| doubted.contains_key(pod));
        FleetView {
            preference: first.into_iter().chain(last).collect(),
            min_endpoints: uses,
            probed_by_peers: held,
        }
    }

    fn share(&self) -> (Vec<usize>, usize) {
        let own = Member {
            key: self.key,
            zone: self.zone,
            request_rate: hits_a_second(self.traffic),
        };
        let mut members: Vec<Member> = members(&self.others).chain([own]).collect();
        members.sort_unstable_by_key(|member| member.key);
        let place = members.partition_point(|member| member.key < self.key);
        let mut all = assign_subsets(&members, &self.pods).swap_remove(place);
        let uses = all.len();
        let rest: Vec<usize> = preference_order(&own, &self.pods)
            .into_iter()
            .filter(|pod| !all.contains(pod))
            .collect();
        all.extend(rest);
        (all, uses)
    }
}
