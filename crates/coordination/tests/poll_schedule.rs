//! A service that many members have lost: how often they poll it, and how soon all have recovered
//! it.

use limewing_coordination::{
    stable_key, Coordinator, LoadReport, Pod, Service, MAX_POLL_INTERVAL, RECOVERY_SPREAD,
};
use rstest::rstest;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

const STEP: Duration = Duration::from_millis(50);
/// Time at which all members lose the service.
const LOST_AT: Duration = Duration::from_secs(5);

fn member_key(number: usize) -> u64 {
    stable_key(&format!("s{number}"))
}

fn one_pod() -> Vec<Pod> {
    vec![Pod {
        key: 1,
        zone: 0,
        capacity: 1.0,
    }]
}

struct SimulatedMember {
    coordinator: Coordinator,
    /// When the member wants to poll next; `None` if it has the service.
    next_poll: Option<Duration>,
    report: Option<(LoadReport, Duration)>,
    recovered_at: Option<Duration>,
}

impl SimulatedMember {
    fn new(number: usize) -> Self {
        let zone = (number % 3) as u16;
        let mut coordinator = Coordinator::new(Duration::ZERO, member_key(number), zone);
        coordinator.set_pods(one_pod());
        Self {
            coordinator,
            next_poll: Some(LOST_AT + seconds(0.3) * (number as u32 % 7) / 7),
            report: None,
            recovered_at: None,
        }
    }
}

struct ReportInFlight {
    arrives_at: Duration,
    from: usize,
    report: LoadReport,
}

#[derive(Clone, Copy)]
struct Setup {
    members: usize,
    /// Number of disjoint partitions that receive nothing from each other.
    partitions: usize,
    /// Whether members receive any reports.
    reports_arrive: bool,
}

/// Time that a report is in transit.
const GOSSIP_DELAY: Duration = Duration::from_millis(1500);
const RESTORED_AT: Duration = Duration::from_secs(25);
const END: Duration = Duration::from_secs(40);

/// Members that poll a service which is down from `LOST_AT` to `RESTORED_AT`. After a failure each
/// wants to poll again within a second.
struct Simulation {
    setup: Setup,
    members: Vec<SimulatedMember>,
    in_flight: Vec<ReportInFlight>,
    polls: Vec<Duration>,
}

impl Simulation {
    fn run(setup: Setup) -> Self {
        let mut simulation = Self {
            setup,
            members: (0..setup.members).map(SimulatedMember::new).collect(),
            in_flight: Vec::new(),
            polls: Vec::new(),
        };
        let mut now = Duration::ZERO;
        while now < END {
            simulation.deliver_reports(now);
            for number in 0..setup.members {
                simulation.coordinate(now, number);
            }
            for number in 0..setup.members {
                simulation.poll(now, number);
            }
            now += STEP;
        }
        simulation
    }

    fn deliver_reports(&mut self, now: Duration) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (arrived, later) = in_flight
            .into_iter()
            .partition(|report| report.arrives_at <= now);
        self.in_flight = later;
        for ReportInFlight { from, report, .. } in arrived {
            self.members[from].report = Some((report, now));
        }
    }

    fn coordinate(&mut self, now: Duration, number: usize) {
        if now < self.members[number].coordinator.next_deadline() {
            return;
        }
        let report = self.members[number].coordinator.take_report(now);
        if let Some(report) = report.filter(|_| self.setup.reports_arrive) {
            self.in_flight.push(ReportInFlight {
                arrives_at: now + GOSSIP_DELAY,
                from: number,
                report,
            });
        }
        let partitions = self.setup.partitions;
        let others: Vec<_> = (0..self.setup.members)
            .filter(|other| *other != number && other % partitions == number % partitions)
            .map(|other| (member_key(other), self.members[other].report.clone()))
            .collect();
        let coordinator = &mut self.members[number].coordinator;
        coordinator.set_peers(others.into_iter());
        let _ = coordinator.take_view(now);
    }

    fn poll(&mut self, now: Duration, number: usize) {
        let member = &mut self.members[number];
        if member.next_poll.is_none_or(|next_poll| now < next_poll) {
            return;
        }
        let allowed_at = member.coordinator.next_poll(now, Service::EndpointList);
        if allowed_at > now {
            member.next_poll = Some(allowed_at);
            return;
        }
        self.polls.push(now);
        if now < RESTORED_AT {
            member
                .coordinator
                .record_poll_failure(now, Service::EndpointList);
            let pause = seconds(0.3) + seconds(0.7) * (number as u32 * 7 % 10) / 10;
            member.next_poll = Some(now + pause);
        } else {
            member
                .coordinator
                .record_poll_success(Service::EndpointList);
            member.next_poll = None;
            member.recovered_at = Some(now);
        }
    }

    /// Returns the number of polls in a period given in seconds.
    fn polls_between(&self, from: f64, to: f64) -> usize {
        self.polls
            .iter()
            .filter(|at| (seconds(from)..seconds(to)).contains(*at))
            .count()
    }

    /// Returns the rate of polls per second while the service is down, after the initial phase.
    fn poll_rate(&self) -> f64 {
        self.polls_between(10.0, 25.0) as f64 / 15.0
    }

    fn last_recovery(&self) -> Duration {
        self.members
            .iter()
            .map(|member| {
                member
                    .recovered_at
                    .expect("the member has recovered the service")
            })
            .max()
            .unwrap_or_default()
    }
}

/// The mean poll rate is bounded while the service is down, and all members have it again soon
/// after its return.
#[rstest]
#[case::twelve(12, 1, 4.0)]
#[case::three_hundred(300, 1, 42.0)]
#[case::in_two_halves(300, 2, 44.0)]
#[case::single_member(1, 1, 4.0)]
fn few_members_poll_a_service_that_is_down(
    #[case] members: usize,
    #[case] partitions: usize,
    #[case] max_rate: f64,
) {
    let setup = Setup {
        members,
        partitions,
        reports_arrive: true,
    };
    let simulation = Simulation::run(setup);
    let rate = simulation.poll_rate();
    let uncoordinated = Simulation::run(Setup {
        reports_arrive: false,
        ..setup
    });
    let uncoordinated_rate = uncoordinated.poll_rate();
    let recovery_time = simulation.last_recovery() - RESTORED_AT;
    println!(
        "{members} members: {rate:.1} polls per second, {uncoordinated_rate:.1} uncoordinated; all recovered after {recovery_time:?}"
    );
    assert!(
        rate <= max_rate && rate <= uncoordinated_rate,
        "{rate} polls per second, {uncoordinated_rate} uncoordinated"
    );
    assert!(
        recovery_time <= TWO_ROTATIONS + seconds(2.0) * 2 + RECOVERY_SPREAD + seconds(1.0),
        "{recovery_time:?}"
    );
    // Members do not poll all at once, neither while the service is down nor when it returns.
    let max_burst = (100..400)
        .map(|n| simulation.polls_between(n as f64 / 10.0, (n + 1) as f64 / 10.0))
        .max()
        .unwrap_or(0);
    assert!(
        max_burst <= (members / 4).max(4),
        "{max_burst} polls within 0.1 s"
    );
}

/// Two rotation intervals.
const TWO_ROTATIONS: Duration = Duration::from_secs(2);

/// Guards against delays beyond `MAX_POLL_INTERVAL` when the others report the service as lost
/// forever.
#[test]
fn peers_cannot_delay_polls_beyond_the_maximum_interval() {
    let mut coordinator = Coordinator::new(Duration::ZERO, stable_key("own"), 0);
    coordinator.set_pods(one_pod());
    let lost = LoadReport {
        zone: 1,
        rate_exponent: 4,
        hints: Vec::new(),
        lost_services: Service::EndpointList.bit(),
    };
    coordinator.record_poll_failure(seconds(1.0), Service::EndpointList);
    let mut now = seconds(1.0);
    let mut polls = Vec::new();
    while now < seconds(60.0) {
        coordinator.set_peers((0..200).map(|n| (n, Some((lost.clone(), now)))));
        let _ = coordinator.take_view(now);
        if coordinator.next_poll(now, Service::EndpointList) <= now {
            polls.push(now);
            coordinator.record_poll_failure(now, Service::EndpointList);
        }
        now += seconds(0.5);
    }
    let gaps: Vec<Duration> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        polls.len() >= 6
            && gaps
                .iter()
                .all(|gap| *gap <= MAX_POLL_INTERVAL + seconds(0.5)),
        "{polls:?}"
    );
}

/// A poll is not delayed if no other member reports the service as lost, if this member has not
/// lost it, or if the reports are outdated.
#[rstest]
#[case::no_other_member(0, 0.0)]
#[case::outdated_reports(200, 30.0)]
fn a_member_without_fresh_reports_polls_at_once(#[case] others: u64, #[case] report_age: f64) {
    let mut coordinator = Coordinator::new(Duration::ZERO, stable_key("own"), 0);
    coordinator.set_pods(one_pod());
    assert_eq!(
        coordinator.next_poll(seconds(50.0), Service::RolloutService),
        seconds(50.0)
    );
    coordinator.record_poll_failure(seconds(50.0), Service::RolloutService);
    let lost = LoadReport {
        zone: 1,
        rate_exponent: 4,
        hints: Vec::new(),
        lost_services: Service::RolloutService.bit(),
    };
    coordinator.set_peers(
        (0..others).map(|n| (n, Some((lost.clone(), seconds(50.0) - seconds(report_age))))),
    );
    let _ = coordinator.take_view(seconds(50.5));
    assert_eq!(
        coordinator.next_poll(seconds(50.5), Service::RolloutService),
        seconds(50.5)
    );
    assert_eq!(
        coordinator.next_poll(seconds(50.5), Service::EndpointList),
        seconds(50.5)
    );
}
