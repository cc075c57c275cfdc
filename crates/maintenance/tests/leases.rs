//! Leases: which sidecars may still send to a machine, from the leader's and from the sidecar's
//! point of view.

mod helpers;

use helpers::{config, grant, schedule_with};
use limewing_maintenance::{
    ApplyError, Command, Identifier, Lease, LeaseGrantor, MaintenanceSchedule, SidecarProcess,
    SidecarReport,
};
use std::time::Duration;

/// Names of sidecars.
type Names<'a> = Vec<&'a str>;

const LEASE_DURATION: Duration = Duration::from_secs(2);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn process(name: &str, incarnation: u64) -> SidecarProcess<'_> {
    SidecarProcess { name, incarnation }
}

fn report(applied_index: u64, drained: &[Identifier]) -> SidecarReport<'_> {
    SidecarReport {
        applied_index,
        drained,
        rejected_per_mille: 0,
    }
}

/// Sidecar a has drained the machine from the start, sidecar b from its ninth request on.
fn assert_leader_waits_for_b_until_it_has_drained(
    grantor: &mut LeaseGrantor,
    schedule: &MaintenanceSchedule,
    grant: Identifier,
) {
    for n in 0..10 {
        let now = at(11.0 + 0.5 * n as f64);
        grantor.handle_lease_request(now, schedule, process("a", 1), report(2, &[grant]));
        grantor.handle_lease_request(
            now,
            schedule,
            process("b", 1),
            report(2, &[grant][..usize::from(n >= 8)]),
        );
        // The leader does not wait for a sidecar that has drained the machine.
        assert_eq!(
            grantor.sidecars_not_drained(now, schedule, grant),
            if n < 8 { vec!["b"] } else { vec![] },
            "{n}"
        );
    }
}

#[test]
fn a_machine_is_drained_when_no_sidecar_may_send_to_it() {
    let mut schedule = MaintenanceSchedule::default();
    let started = |name: &str, incarnation| Command::SidecarStarted {
        name: name.into(),
        incarnation,
    };
    schedule.apply(1, &started("a", 1)).unwrap();
    let mut grantor = LeaseGrantor::new(at(10.0), LEASE_DURATION, at(0.5), at(1.0));
    let grant = Identifier(7);
    assert!(grantor.handle_lease_request(at(10.1), &schedule, process("a", 1), report(1, &[])));
    assert!(
        !grantor.handle_lease_request(at(10.1), &schedule, process("b", 1), report(1, &[])),
        "the sidecar is not in the log yet"
    );
    schedule.apply(2, &started("b", 1)).unwrap();
    assert_eq!(grantor.sidecars_behind(&schedule, 2), ["a", "b"]);
    // Leases of a predecessor may last 2.5 s. To this add 0.5 s in which the predecessor may still
    // lead, and 1 s for requests in flight.
    assert_eq!(
        grantor.sidecars_not_drained(at(13.9), &schedule, grant),
        ["b"]
    );
    assert_eq!(
        grantor.sidecars_not_drained(at(14.0), &schedule, grant),
        Names::new()
    );
    assert_leader_waits_for_b_until_it_has_drained(&mut grantor, &schedule, grant);
    assert_eq!(grantor.sidecars_behind(&schedule, 2), Names::new());
    // A later process with the same name replaces the earlier one.
    assert_eq!(
        schedule.apply(3, &started("b", 1)),
        Err(ApplyError::LimitExceeded)
    );
    schedule.apply(4, &started("b", 2)).unwrap();
    assert_eq!(grantor.sidecars_behind(&schedule, 2), ["b"]);
    assert!(!grantor.handle_lease_request(
        at(15.6),
        &schedule,
        process("b", 1),
        report(4, &[grant])
    ));
    assert!(grantor.handle_lease_request(at(15.6), &schedule, process("b", 2), report(4, &[])));
    // The earlier process had drained the machine by its last request.
    assert_eq!(
        grantor.sidecars_not_drained(at(15.6), &schedule, Identifier(8)),
        ["a", "b"]
    );
    assert_eq!(
        grantor.sidecars_not_drained(at(19.0), &schedule, grant),
        ["b"]
    );
    // The process has been silent for the duration of a lease.
    assert_eq!(
        grantor.sidecars_not_drained(at(19.2), &schedule, grant),
        Names::new()
    );
    let gone = |incarnation| Command::SidecarGone {
        name: "b".into(),
        incarnation,
    };
    schedule.apply(5, &gone(1)).unwrap();
    assert!(
        schedule.sidecars().contains_key("b"),
        "only the earlier process is gone"
    );
    schedule.apply(6, &gone(2)).unwrap();
    assert_eq!(grantor.sidecars_behind(&schedule, 5), ["a"]);
}

/// A lease expires at its holder first, whichever messages are lost or late, if the rates of the
/// clocks differ by less than a fifth.
#[test]
fn a_lease_expires_at_its_holder_first() {
    let mut rng = nanorand::WyRand::new_seed(5);
    let mut fraction = move || {
        let random: u64 = nanorand::Rng::generate(&mut rng);
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    for _ in 0..2000 {
        let clock_rate = 0.9 + 0.2 * fraction();
        let mut schedule = MaintenanceSchedule::default();
        schedule
            .apply(
                1,
                &Command::SidecarStarted {
                    name: "a".into(),
                    incarnation: 1,
                },
            )
            .unwrap();
        let (mut grantor, mut lease) = (
            LeaseGrantor::new(at(0.0), LEASE_DURATION, at(0.0), at(1.0)),
            Lease::new(at(0.0), LEASE_DURATION),
        );
        // Requests and responses in transit.
        let (mut now, mut requests, mut responses) = (4.0, Vec::new(), Vec::new());
        while now < 30.0 {
            let holder_now = at(now * clock_rate);
            if fraction() < 0.6 {
                let request = lease.request(holder_now);
                if fraction() < 0.6 {
                    requests.push((now + fraction(), request));
                }
            }
            requests.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
            while let Some((_, request)) = requests.pop_if(|item| item.0 <= now) {
                grantor.handle_lease_request(at(now), &schedule, process("a", 1), report(1, &[]));
                if fraction() < 0.7 {
                    responses.push((now + fraction(), request));
                }
            }
            responses.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
            while let Some((_, request)) = responses.pop_if(|item| item.0 <= now) {
                lease.granted(request, 0);
            }
            if grantor
                .sidecars_not_drained(at(now), &schedule, Identifier(1))
                .is_empty()
            {
                assert!(!lease.is_held(holder_now, 0), "at {now}");
            }
            now += 0.1;
        }
    }
}

#[test]
fn listed_machines_are_closed_without_a_lease() {
    let (mut schedule, _) = schedule_with(config("a"));
    let mut lease = Lease::new(at(0.0), LEASE_DURATION);
    let closed = |lease: &Lease, schedule: &MaintenanceSchedule, now: f64, applied_index: u64| {
        lease
            .closed_machines(at(now), applied_index, schedule)
            .map(|c| c.len())
    };
    // At first all machines are closed; after the wait without a response, only those on lists.
    assert_eq!(
        (
            closed(&lease, &schedule, 1.0, 3),
            closed(&lease, &schedule, 6.0, 3)
        ),
        (None, Some(12))
    );
    let request = lease.request(at(6.0));
    lease.granted(request, 4);
    // First the sidecar has not applied everything that was committed; then it has.
    assert_eq!(
        (
            closed(&lease, &schedule, 6.5, 3),
            closed(&lease, &schedule, 6.5, 4)
        ),
        (Some(12), Some(0))
    );
    schedule.apply(4, &grant(0)).unwrap();
    assert_eq!(
        (
            closed(&lease, &schedule, 6.5, 4),
            closed(&lease, &schedule, 8.0, 4)
        ),
        (Some(1), Some(12))
    );
}
