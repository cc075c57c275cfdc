//! Digest of all output of coordination over twenty simulated fleets with faults: load reports,
//! views and when a lost service may be polled, and of its pure functions over fleets of many
//! sizes. A refactoring that preserves the behaviour preserves the digest.

mod helpers;

use limewing_coordination::{
    assign_subsets, find_outliers, is_prober, is_selected, preference_order, stable_key,
    Coordinator, FleetView, LoadReport, Member, OutlierHint, OutlierObservation, PeerReport, Pod,
    Service, ROTATION_INTERVAL,
};
use limewing_test_support::digest::Digest;
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: u64 = 20;
const MEMBERS: usize = 9;
const PODS: usize = 24;
const ZONES: u16 = 3;
const STEP: Duration = Duration::from_millis(100);
const END: Duration = Duration::from_secs(60);
const FAULT_INTERVAL: Duration = Duration::from_millis(1500);
const LOSS: f64 = 0.1;
const SERVICES: [Service; 2] = [Service::EndpointList, Service::RolloutService];

fn observe_view(digest: &mut Digest, view: Option<&FleetView>) {
    let Some(view) = view else {
        return digest.number(0);
    };
    digest.number(1);
    digest.numbers(view.preference.iter().copied());
    digest.number(view.min_endpoints as u64);
    digest.numbers(view.probed_by_peers.iter().copied());
}

/// SplitMix64 generator.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }
}

#[derive(Clone, Copy, PartialEq)]
enum PodFault {
    Unreachable,
    Silent,
    Slow,
    Overloaded,
}

struct Sidecar {
    key: u64,
    coordinator: Coordinator,
    view: Option<FleetView>,
    /// Last report received from each other sidecar, by number.
    received: BTreeMap<usize, (LoadReport, Duration)>,
    /// When the sidecar polls each service next; `None` if it has not lost the service.
    next_polls: [Option<Duration>; 2],
    requests_per_step: usize,
}

struct ReportInFlight {
    arrives_at: Duration,
    from: usize,
    to: usize,
    report: LoadReport,
}

struct Simulation<'a> {
    digest: &'a mut Digest,
    random: Random,
    now: Duration,
    sidecars: Vec<Sidecar>,
    /// Number of the partition that each sidecar is in. Members of different partitions receive
    /// nothing from each other.
    partitions: Vec<usize>,
    /// Time until which each sidecar is stopped.
    absent_until: Vec<Duration>,
    reports: Vec<ReportInFlight>,
    pods: Vec<Pod>,
    pod_faults: BTreeMap<u64, PodFault>,
    service_up: [bool; 2],
}

fn new_sidecar(number: usize, now: Duration, pods: &[Pod]) -> Sidecar {
    let key = stable_key(&format!("s{number}"));
    let mut coordinator = Coordinator::new(now, key, number as u16 % ZONES);
    coordinator.set_pods(pods.to_vec());
    Sidecar {
        key,
        coordinator,
        view: None,
        received: BTreeMap::new(),
        next_polls: [None; 2],
        requests_per_step: if number.is_multiple_of(4) { 12 } else { 2 },
    }
}

impl<'a> Simulation<'a> {
    fn new(digest: &'a mut Digest, seed: u64) -> Self {
        let pods = helpers::pods(PODS, ZONES);
        let sidecars = (0..MEMBERS)
            .map(|number| new_sidecar(number, Duration::ZERO, &pods))
            .collect();
        Self {
            digest,
            random: Random(seed),
            now: Duration::ZERO,
            sidecars,
            partitions: vec![0; MEMBERS],
            absent_until: vec![Duration::ZERO; MEMBERS],
            reports: Vec::new(),
            pods,
            pod_faults: BTreeMap::new(),
            service_up: [true; 2],
        }
    }

    fn run(&mut self) {
        let mut next_fault = FAULT_INTERVAL;
        while self.now < END {
            if self.now >= next_fault {
                next_fault += FAULT_INTERVAL;
                self.draw_fault();
            }
            self.deliver_reports();
            for number in 0..MEMBERS {
                if self.now >= self.absent_until[number] {
                    self.step(number);
                }
            }
            self.now += STEP;
        }
    }

    fn draw_fault(&mut self) {
        let number = self.random.below(MEMBERS);
        let pod = self.random.below(self.pods.len());
        match self.random.below(12) {
            0 => self.restart(number),
            1 => {
                let partitions = 1 + self.random.below(3);
                self.partitions = (0..MEMBERS)
                    .map(|member| member * partitions / MEMBERS)
                    .collect();
            }
            2 => self.partitions = vec![0; MEMBERS],
            3 | 4 => {
                let faults = [
                    PodFault::Unreachable,
                    PodFault::Silent,
                    PodFault::Slow,
                    PodFault::Overloaded,
                ];
                let fault = faults[self.random.below(4)];
                self.pod_faults.insert(self.pods[pod].key, fault);
            }
            5 => drop(self.pod_faults.pop_first()),
            6 => {
                let count = 1 + self.random.below(8);
                for pod in self.pods.iter().take(count) {
                    self.pod_faults.insert(pod.key, PodFault::Unreachable);
                }
            }
            7 => self.pod_faults.clear(),
            8 => self.change_pods(pod),
            9 => self.stop_service(),
            10 => self.service_up = [true; 2],
            _ => self.sidecars[number].requests_per_step = self.random.below(20),
        }
    }

    fn restart(&mut self, number: usize) {
        let restarted_at = self.now + Duration::from_secs(2);
        self.absent_until[number] = restarted_at;
        self.sidecars[number] = new_sidecar(number, restarted_at, &self.pods);
        for sidecar in &mut self.sidecars {
            sidecar.received.remove(&number);
        }
    }

    fn change_pods(&mut self, index: usize) {
        match self.random.below(3) {
            0 if self.pods.len() > 4 => drop(self.pods.remove(index)),
            1 => {
                let key = stable_key(&format!("new{}", self.random.below(1000)));
                let zone = self.random.below(usize::from(ZONES)) as u16;
                self.pods.push(Pod {
                    key,
                    zone,
                    capacity: 0.5,
                });
            }
            _ => self.pods[index].capacity = 0.25 + self.random.fraction() * 2.0,
        }
        for sidecar in &mut self.sidecars {
            sidecar.coordinator.set_pods(self.pods.clone());
        }
    }

    /// Stops a service; all sidecars notice within a second.
    fn stop_service(&mut self) {
        let service = self.random.below(2);
        self.service_up[service] = false;
        for sidecar in &mut self.sidecars {
            let noticed_at = self.now + Duration::from_secs_f64(self.random.fraction());
            sidecar.next_polls[service].get_or_insert(noticed_at);
        }
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let (arrived, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.arrives_at <= now);
        self.reports = later;
        let arrived: Vec<ReportInFlight> = arrived;
        for ReportInFlight {
            from, to, report, ..
        } in arrived
        {
            self.sidecars[to].received.insert(from, (report, now));
        }
    }

    fn step(&mut self, number: usize) {
        for _ in 0..self.sidecars[number].requests_per_step {
            self.request(number);
        }
        for service in 0..SERVICES.len() {
            self.poll(number, service);
        }
        if self.now >= self.sidecars[number].coordinator.next_deadline() {
            self.report(number);
            self.update_view(number);
        }
    }

    fn request(&mut self, number: usize) {
        let pods = self.sidecars[number].view.as_ref().map_or_else(
            || self.pods.iter().map(|pod| pod.key).collect(),
            |view| view.preference[..view.min_endpoints].to_vec(),
        );
        let pod = pods[self.random.below(pods.len())];
        let observation = self.draw_observation(pod);
        let coordinator = &mut self.sidecars[number].coordinator;
        coordinator.record_request();
        coordinator.record_outcome(self.now, pod, observation);
    }

    fn draw_observation(&mut self, pod: u64) -> OutlierObservation {
        let fraction = self.random.fraction();
        match self.pod_faults.get(&pod) {
            Some(PodFault::Unreachable) => OutlierObservation::ConnectFailed,
            Some(PodFault::Silent) if fraction < 0.5 => OutlierObservation::NoResponse,
            Some(PodFault::Silent) => OutlierObservation::Cancelled(2.0 * fraction),
            Some(PodFault::Slow) => OutlierObservation::Answered(1.0 + fraction),
            Some(PodFault::Overloaded) if fraction < 0.7 => OutlierObservation::Rejected,
            _ if fraction < 0.03 => OutlierObservation::Cancelled(0.02),
            _ => OutlierObservation::Answered(0.02 + 0.05 * fraction),
        }
    }

    fn poll(&mut self, number: usize, service: usize) {
        let sidecar = &mut self.sidecars[number];
        if sidecar.next_polls[service].is_none_or(|due| due > self.now) {
            return;
        }
        let allowed = sidecar.coordinator.next_poll(self.now, SERVICES[service]);
        self.digest.time(allowed);
        if allowed > self.now {
            sidecar.next_polls[service] = Some(allowed);
            return;
        }
        self.digest.number(number as u64);
        if self.service_up[service] {
            sidecar.coordinator.record_poll_success(SERVICES[service]);
            sidecar.next_polls[service] = None;
        } else {
            sidecar
                .coordinator
                .record_poll_failure(self.now, SERVICES[service]);
            let wait = Duration::from_secs_f64(0.3 + self.random.fraction());
            sidecar.next_polls[service] = Some(self.now + wait);
        }
    }

    fn report(&mut self, number: usize) {
        let Some(report) = self.sidecars[number].coordinator.take_report(self.now) else {
            return;
        };
        self.digest.number(number as u64);
        self.digest.time(self.now);
        self.digest.bytes(&report.encode());
        for to in 0..MEMBERS {
            let is_partitioned = self.partitions[to] != self.partitions[number];
            if to == number || is_partitioned || self.random.chance(LOSS) {
                continue;
            }
            let delay = Duration::from_secs_f64(0.05 + 1.5 * self.random.fraction());
            let report = report.clone();
            self.reports.push(ReportInFlight {
                arrives_at: self.now + delay,
                from: number,
                to,
                report,
            });
        }
    }

    fn update_view(&mut self, number: usize) {
        let present = (0..MEMBERS).filter(|other| {
            let absent = self.now < self.absent_until[*other];
            *other != number && !absent && self.partitions[*other] == self.partitions[number]
        });
        let received = &self.sidecars[number].received;
        let others: Vec<(u64, Option<(LoadReport, Duration)>)> = present
            .map(|other| (self.sidecars[other].key, received.get(&other).cloned()))
            .collect();
        let sidecar = &mut self.sidecars[number];
        sidecar.coordinator.set_peers(others.into_iter());
        if let Some(view) = sidecar.coordinator.take_view(self.now) {
            self.digest.number(number as u64);
            self.digest.time(self.now);
            observe_view(self.digest, view.as_ref());
            sidecar.view = view;
        }
        self.digest.time(sidecar.coordinator.next_deadline());
    }
}

fn observe_subsets(digest: &mut Digest, members: &[Member], pods: &[Pod]) {
    for subset in assign_subsets(members, pods) {
        digest.numbers(subset.into_iter().map(|index| index as u64));
    }
    for member in members {
        digest.numbers(
            preference_order(member, pods)
                .into_iter()
                .map(|index| index as u64),
        );
    }
}

fn observe_rotation(digest: &mut Digest, members: &[Member]) {
    let keys = || members.iter().map(|member| member.key);
    for topic in 0..5 {
        for member in members {
            for elapsed in 0..6 {
                let elapsed = ROTATION_INTERVAL * elapsed + Duration::from_millis(topic * 210);
                digest.number(u64::from(is_prober(topic, member.key, keys(), elapsed)));
                digest.number(u64::from(is_selected(
                    3,
                    topic,
                    member.key,
                    keys(),
                    elapsed,
                )));
            }
        }
    }
}

fn observe_outliers(digest: &mut Digest, random: &mut Random, members: &[Member], pods: &[Pod]) {
    let hints = [
        OutlierHint::Ejected,
        OutlierHint::Slow,
        OutlierHint::Overloaded,
        OutlierHint::Recovered,
    ];
    let keys: Vec<u64> = pods.iter().map(|pod| pod.key).collect();
    for _ in 0..20 {
        // There are few suspects, so that several members give hints about the same pod.
        let suspects = keys.len().min(3);
        let reports: Vec<PeerReport> = members
            .iter()
            .map(|member| {
                let count = random.below(4);
                let hints = (0..count)
                    .map(|_| (keys[random.below(suspects)], hints[random.below(8).min(3)]))
                    .collect();
                let at = Duration::from_secs(random.below(15) as u64);
                PeerReport {
                    member: member.key,
                    zone: member.zone,
                    received_at: at,
                    hints,
                    lost_services: 0,
                }
            })
            .collect();
        let found = find_outliers(&reports, &keys, Duration::from_secs(15));
        digest.number(found.len() as u64);
        for (pod, hint) in found {
            digest.number(pod);
            digest.number(
                hints
                    .iter()
                    .position(|known| *known == hint)
                    .expect("the hint is one of the list") as u64,
            );
        }
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn coordination() {
    let mut digest = Digest::new();
    for seed in 1..=SEEDS {
        Simulation::new(&mut digest, seed).run();
    }
    let mut random = Random(99);
    for (members, pods) in [(1, 1), (3, 24), (7, 5), (20, 40), (60, 90)] {
        let members = helpers::members(members, ZONES);
        let pods = helpers::pods(pods, ZONES);
        observe_subsets(&mut digest, &members, &pods);
        observe_rotation(&mut digest, &members);
        observe_outliers(&mut digest, &mut random, &members, &pods);
    }
    println!("digest coordination {:016x}", digest.value());
}
