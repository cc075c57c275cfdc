//! Lists that come late or not at all: when discovery is asked again, and which pods may still be sent to.

use super::*;
use crate::sidecar::DecisionEngine;
use std::collections::VecDeque;

const REFUSED: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::Refused,
};
const UNANSWERED: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::TimedOut,
};
const SILENT: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::Ended,
};
const LEASE: f64 = 6.0;

/// A round of a sidecar whose lists may be relied on for a while after they were last heard.
fn leased(now: f64) -> Context {
    let mut round = Context::new(
        Duration::ZERO,
        &SidecarConfig {
            endpoint_lease: Some(at(LEASE)),
            ..terms()
        },
    );
    round.now = at(now);
    round
}

/// How long after the last of these losses the list is asked for again.
fn wait_after(terms: &SidecarConfig, losses: &[WatchLoss]) -> Duration {
    let (mut lister, mut round) = (
        EndpointTracker::default(),
        Context::new(Duration::ZERO, terms),
    );
    for loss in losses {
        while round.timers.pop_due(Duration::MAX).is_some() {}
        round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(*loss)));
        let Some((_, note)) = round.mailboxes.pop() else {
            panic!("no note")
        };
        lister.take(note, &mut round);
    }
    let mut waits = (0..60_000).map(Duration::from_millis);
    waits
        .find(|wait| round.timers.pop_due(round.now + *wait).is_some())
        .unwrap()
}

/// A list that was lost, and a first call that is silent, cost little time; calls that are refused are made ever later.
#[rstest]
#[case::a_watch_that_was_lost(&[SILENT], 0.7)]
#[case::a_service_that_is_not_there(&[SILENT; 9], 0.7)]
#[case::a_first_call_that_is_not_answered(&[SILENT, UNANSWERED], 0.7)]
#[case::a_second_one(&[SILENT, UNANSWERED, UNANSWERED], 1.4)]
#[case::none_is_ever_answered(&[UNANSWERED; 40], 5.6)]
#[case::a_first_call_that_is_refused(&[REFUSED], 1.4)]
#[case::refused_once(&[SILENT, REFUSED], 2.8)]
#[case::refused_twice(&[SILENT, REFUSED, REFUSED], 5.6)]
#[case::refused_again_and_again(&[REFUSED; 40], 5.6)]
fn calls_for_the_list_are_made_ever_later(#[case] losses: &[WatchLoss], #[case] longest: f64) {
    let wait = wait_after(&terms(), losses).as_secs_f64();
    assert!((0.3 * longest..=longest + 0.001).contains(&wait), "{wait}");
}

/// What an agent of the sidecar's own has counts as told once it is there: it is asked again well within the grace (1 s),
/// however often it failed.
#[rstest]
#[case::lost(&[SILENT])]
#[case::refused(&[REFUSED; 9])]
fn an_agent_of_its_own_is_asked_again_within_the_grace(#[case] losses: &[WatchLoss]) {
    let pushed = SidecarConfig {
        endpoints_pushed: true,
        ..terms()
    };
    let wait = wait_after(&pushed, losses);
    assert!(TICK_INTERVAL / 4 < wait && wait <= at(0.25), "{wait:?}");
}

#[test]
fn a_list_that_came_begins_the_waits_anew() {
    let mut round = leased(1.0);
    for _ in 0..5 {
        round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(REFUSED)));
    }
    round.dispatch_event(Event::Endpoints(EndpointUpdate::Delta(Vec::new())));
    assert_eq!(
        (round.watch_failures, round.endpoints_are_current()),
        (0, true)
    );
}

/// A call for the list, as the service that answers it holds it.
struct Call {
    from: usize,
    at: Duration,
    /// Its caller has been told that it waited too long; the work is done all the same.
    refused: bool,
}

/// A list service that works through calls in turn, and refuses those that have waited for long or find its queue full.
struct ListService {
    queue: VecDeque<Call>,
    free_at: Duration,
}

const CALL_TAKES: Duration = Duration::from_millis(20);
const LONGEST_QUEUE: usize = 100;
const LONGEST_WAIT: Duration = Duration::from_secs(2);

impl ListService {
    /// Takes a call, or refuses it at once.
    fn call(&mut self, from: usize, now: Duration) -> bool {
        let takes = self.queue.len() < LONGEST_QUEUE;
        if takes {
            self.queue.push_back(Call {
                from,
                at: now,
                refused: false,
            });
        }
        takes
    }

    /// Those whose call is answered by now, and those that are refused as they have waited for too long.
    fn work(&mut self, now: Duration) -> (Vec<usize>, Vec<usize>) {
        let mut refused = Vec::new();
        for call in self
            .queue
            .iter_mut()
            .filter(|call| !call.refused && now >= call.at + LONGEST_WAIT)
        {
            call.refused = true;
            refused.push(call.from);
        }
        let mut answered = Vec::new();
        while let Some(call) = self.queue.front() {
            let done = self.free_at.max(call.at) + CALL_TAKES;
            if done > now {
                break;
            }
            self.free_at = done;
            answered.extend(
                self.queue
                    .pop_front()
                    .filter(|call| !call.refused)
                    .map(|call| call.from),
            );
        }
        (answered, refused)
    }
}

/// All of a fleet lose their watch in one moment, and their calls are more than the list service can answer in the time that
/// it lets them wait. In the end each hears its list: calls do not keep the service too busy to answer any. With waits of 0.3
/// to 1 s however often a call was refused, 425 of 530 have heard none by the bound (the smaller fleets are answered).
#[rstest]
fn a_fleet_that_calls_at_once_is_answered(#[values(100, 280, 530)] sidecars: usize) {
    let start = |own: usize| {
        let (own_number, seed) = (own as u32, own as u64 + 1);
        DecisionEngine::new(
            Duration::ZERO,
            SidecarConfig {
                sidecar_count: sidecars as u32,
                sidecar_index: own_number,
                seed,
                ..terms()
            },
        )
    };
    let mut fleet: Vec<DecisionEngine> = (0..sidecars).map(start).collect();
    let mut events: Vec<Vec<Event>> = (0..sidecars)
        .map(|_| vec![Event::Endpoints(EndpointUpdate::WatchLost(SILENT))])
        .collect();
    let mut service = ListService {
        queue: VecDeque::new(),
        free_at: Duration::ZERO,
    };
    let mut unanswered: BTreeSet<usize> = (0..sidecars).collect();
    let mut now = Duration::ZERO;
    let bound = Duration::from_secs(10) + CALL_TAKES * 3 * sidecars as u32;
    while !unanswered.is_empty() && now < bound {
        now += TICK_INTERVAL;
        let (answered, refused) = service.work(now);
        for from in answered {
            unanswered.remove(&from);
            events[from].push(Event::Endpoints(EndpointUpdate::Delta(Vec::new())));
        }
        refused.into_iter().for_each(|from| {
            events[from].push(Event::Endpoints(EndpointUpdate::WatchLost(REFUSED)))
        });
        for (from, sidecar) in fleet.iter_mut().enumerate() {
            let actions = sidecar.handle(now, std::mem::take(&mut events[from]));
            if actions.contains(&Action::WatchEndpoints) && !service.call(from, now) {
                events[from].push(Event::Endpoints(EndpointUpdate::WatchLost(REFUSED)));
            }
        }
    }
    assert!(
        unanswered.is_empty(),
        "{} of {sidecars} heard no list in {bound:?}",
        unanswered.len()
    );
}

/// A gate with an attempt of hit 0 out to pod 0, allowed at 1 s.
fn gate_with_an_attempt(round: &mut Context) -> AdmissionControl {
    let mut gate = gate(0, Phase::Released, 1.0);
    round.now = at(1.0);
    gate.start_attempt(RequestId(0), PodId(0), round);
    gate
}

fn told(gate: &mut AdmissionControl, entry: Endpoint) {
    gate.take(Message::EndpointChanged(entry), &mut leased(1.1));
}

/// Whether the first byte may leave once this has come between the decision and that byte, also within the grace.
#[rstest]
#[case::nothing(|_: &mut AdmissionControl| (), true)]
#[case::the_request_is_over(|gate: &mut AdmissionControl| gate.requests.get_mut(&RequestId(0)).unwrap().closed = true, false)]
#[case::its_pod_drains(|gate: &mut AdmissionControl| told(gate, Endpoint { state: PodState::Draining, ..pod(0, 1) }), false)]
#[case::its_pod_is_gone(|gate: &mut AdmissionControl| told(gate, Endpoint { state: PodState::Gone, ..pod(0, 1) }), false)]
#[case::another_pod_drains(|gate: &mut AdmissionControl| told(gate, Endpoint { state: PodState::Draining, ..pod(1, 1) }), true)]
#[case::its_pod_runs_another_build(|gate: &mut AdmissionControl| told(gate, pod(0, 2)), false)]
#[case::its_pod_started_anew(|gate: &mut AdmissionControl| told(gate, Endpoint { started_at: Some(at(1.0)), ..pod(0, 1) }), false)]
#[case::its_pod_is_forgotten(|gate: &mut AdmissionControl| gate.endpoints.remove(PodId(0)), false)]
fn permission_is_given_at_the_first_byte(
    #[case] between: fn(&mut AdmissionControl),
    #[case] may: bool,
) {
    let mut round = leased(1.0);
    let mut gate = gate_with_an_attempt(&mut round);
    between(&mut gate);
    assert_eq!(
        gate.may_begin(RequestId(0), AttemptIndex(0), at(1.2), &round),
        may
    );
    assert!(!gate.may_begin(RequestId(0), AttemptIndex(1), at(1.2), &round));
}

/// While no list is heard what was allowed expires with the grace (1 s), as its pod may have been told to leave meanwhile.
#[rstest]
#[case::heard(false, 5.0, true)]
#[case::lost_in_the_grace(true, 2.0, true)]
#[case::lost_past_the_grace(true, 2.1, false)]
fn permission_expires_while_no_list_is_heard(
    #[case] lost: bool,
    #[case] now: f64,
    #[case] may: bool,
) {
    let mut round = leased(1.0);
    let gate = gate_with_an_attempt(&mut round);
    if lost {
        round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(SILENT)));
    }
    assert_eq!(
        gate.may_begin(RequestId(0), AttemptIndex(0), at(now), &round),
        may
    );
}

/// Where a list may be relied on for good nothing expires.
#[test]
fn without_a_lease_permission_does_not_expire() {
    let mut round = round(1.0);
    let gate = gate_with_an_attempt(&mut round);
    round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(SILENT)));
    assert!(gate.may_begin(RequestId(0), AttemptIndex(0), at(5.0), &round));
}

/// Pods 0 to 2, all usable; pod 0 served what was sent at 11 s, pod 1 what was sent at 8 s, pod 2 never did.
fn desk_of_served() -> LoadBalancer {
    let mut desk = desk(0);
    for (id, served) in [(0, 11.0), (1, 8.0), (2, 0.0)] {
        desk.table.put(EndpointSnapshot {
            last_served_at: at(served),
            ..card(pod(id, 1))
        });
    }
    desk.stage = Some(news(Phase::Released, 1.0));
    desk
}

/// The pods that a request may go to.
fn asked_for(round: &mut Context) -> Vec<u64> {
    desk_of_served().place(RequestId(0), round);
    let Some((
        Component::AdmissionControl,
        Message::AttemptProposed {
            candidates: bids, ..
        },
    )) = round.mailboxes.pop()
    else {
        panic!("no bids")
    };
    bids.into_iter().map(|bid| bid.pod.0).collect()
}

/// Once no list has been heard for its lease (6 s), only pods that served what was sent within half of it get requests; and
/// all do again once the list service must be down.
#[rstest]
#[case::lists_are_heard(None, 13.0, &[0, 1, 2])]
#[case::within_the_lease(Some(7.5), 13.0, &[0, 1, 2])]
#[case::after_it(Some(6.5), 13.0, &[0])]
#[case::nobody_served_lately(Some(6.5), 15.0, &[])]
#[case::long_after(Some(6.5), 37.0, &[0, 1, 2])]
fn a_silent_list_is_a_lease(#[case] lost_at: Option<f64>, #[case] now: f64, #[case] pods: &[u64]) {
    let mut round = leased(lost_at.unwrap_or(now));
    lost_at
        .into_iter()
        .for_each(|_| round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(SILENT))));
    while round.mailboxes.pop().is_some() {}
    round.now = at(now);
    assert_eq!(asked_for(&mut round), pods);
}

/// A loss that is told late counts from when the list was last heard.
#[test]
fn the_lease_runs_from_when_a_list_was_last_heard() {
    let mut round = leased(10.0);
    round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(WatchLoss {
        silent_for: at(2.3),
        ..SILENT
    })));
    round.now = at(13.6);
    assert_eq!(round.served_since(), Duration::ZERO);
    round.now = at(13.8);
    assert_eq!(round.served_since(), at(10.8));
}

/// Where there is no service, or none that can be understood, its list is relied on for as long as that.
#[test]
fn a_service_that_is_not_there_renews_the_lease() {
    let mut round = leased(10.0);
    round.dispatch_event(Event::Endpoints(EndpointUpdate::Cached(Vec::new())));
    for second in 11..60 {
        round.now = at(f64::from(second));
        let why = WatchLossCause::NoService;
        round.dispatch_event(Event::Endpoints(EndpointUpdate::WatchLost(WatchLoss {
            cause: why,
            ..SILENT
        })));
        assert_eq!(round.served_since(), Duration::ZERO);
    }
}

/// A list that was held before the start may be of any age: a third of the lease is left to it.
#[rstest]
#[case::leased(11.9, false)]
#[case::over(12.1, true)]
fn a_remembered_list_has_a_part_of_the_lease(#[case] now: f64, #[case] stale: bool) {
    let mut round = leased(10.0);
    round.dispatch_event(Event::Endpoints(EndpointUpdate::Cached(Vec::new())));
    round.now = at(now);
    assert_eq!(round.served_since() > Duration::ZERO, stale);
}

/// A pod that turned an attempt away may drain: it is not relied on before it has served again.
#[rstest]
#[case::served(AttemptOutcome::Succeeded, true)]
#[case::turned_away(AttemptOutcome::Rejected, false)]
fn what_a_pod_did_last_tells_whether_it_is_relied_on(
    #[case] last: AttemptOutcome,
    #[case] relied_on: bool,
) {
    let (mut pod, round) = (OutlierDetector::new(pod(0, 1)), leased(3.0));
    for fate in [AttemptOutcome::Succeeded, last] {
        pod.record_outcome(
            &AttemptEnded {
                sent_at: at(2.0),
                ..ended(fate)
            },
            &round,
        );
    }
    assert_eq!(!pod.health.last_served_at.is_zero(), relied_on);
}

/// What `learn` takes is known at once, and nothing that is due by time happens by it.
#[test]
fn a_list_is_known_before_anything_falls_due() {
    let mut sidecar = DecisionEngine::new(
        Duration::ZERO,
        SidecarConfig {
            endpoint_lease: Some(at(LEASE)),
            ..terms()
        },
    );
    sidecar.handle(
        at(1.0),
        vec![Event::Endpoints(EndpointUpdate::Delta(vec![pod(0, 1)]))],
    );
    let hit = Request {
        id: RequestId(0),
        class: ClassId(0),
        tenant: None,
        routing_key: None,
        deadline: at(9.0),
    };
    let actions = sidecar.handle(at(1.1), vec![Event::RequestArrived(hit)]);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::StartAttempt { .. })),
        "{actions:?}"
    );
    assert!(sidecar.may_begin(at(1.1), RequestId(0), AttemptIndex(0)));
    let drains = Endpoint {
        state: PodState::Draining,
        ..pod(0, 1)
    };
    let actions = sidecar.apply_events(
        at(8.0),
        vec![Event::Endpoints(EndpointUpdate::Delta(vec![drains]))],
    );
    assert_eq!(actions, []);
    assert!(!sidecar.may_begin(at(8.0), RequestId(0), AttemptIndex(0)));
}
