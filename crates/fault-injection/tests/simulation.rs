//! The simulation: order of events, and effects of faults on members.

use limewing_fault_injection::{
    Fault, LinkConditions, Script, ScriptStep, Selector, SimulatedMember, Simulation, Traffic,
};
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends the number of its earlier starts to the next member once per period, and records the datagrams that it receives.
struct StartCounter {
    number: usize,
    earlier_starts: u32,
    clock_offset: f64,
    next_send: Duration,
    outbox: Vec<(usize, Vec<u8>)>,
    received: Vec<(Duration, Vec<u8>)>,
    keys: Vec<u8>,
}

impl SimulatedMember for StartCounter {
    fn start(number: usize, earlier_starts: u32, now: Duration, clock_offset: f64) -> Self {
        Self {
            number,
            earlier_starts,
            clock_offset,
            next_send: now + PERIOD,
            outbox: Vec::new(),
            received: Vec::new(),
            keys: Vec::new(),
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        self.received.push((now, datagram.to_vec()));
    }

    fn tick(&mut self, now: Duration) {
        if now >= self.next_send {
            self.next_send = now + PERIOD;
            let message = vec![self.earlier_starts as u8];
            self.outbox.push((self.number + 1, message));
        }
    }

    fn next_deadline(&self) -> Duration {
        self.next_send
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        self.outbox.pop()
    }

    fn leave(&mut self, _now: Duration) {
        self.outbox.push((self.number + 1, b"farewell".to_vec()));
    }

    fn replace_keys(&mut self, ids: &[u8]) {
        self.keys = ids.to_vec();
    }
}

fn script(steps: Vec<(f64, Fault)>) -> Script {
    Script {
        name: "test".into(),
        seed: 3,
        seconds: 10.0,
        conditions: LinkConditions {
            delay_ms: 1.0,
            ..LinkConditions::default()
        },
        steps: steps
            .into_iter()
            .map(|(at, fault)| ScriptStep { at, fault })
            .collect(),
        clock_offsets: Vec::new(),
    }
}

fn run(steps: Vec<(f64, Fault)>, until: Duration) -> Simulation<StartCounter> {
    let mut simulation = Simulation::new(&script(steps), 2);
    simulation.run_until(until);
    simulation
}

fn first() -> Selector {
    Selector::Numbers(vec![0])
}

fn second() -> Selector {
    Selector::Numbers(vec![1])
}

fn received(simulation: &Simulation<StartCounter>, number: usize) -> Vec<(Duration, Vec<u8>)> {
    let member = simulation.member(number).expect("the member runs");
    member.received.clone()
}

#[test]
fn datagrams_arrive_after_the_links_delay() {
    let simulation = run(Vec::new(), ms(250));
    assert_eq!(simulation.now(), ms(250));
    let expected = [(ms(101), vec![0]), (ms(201), vec![0])];
    assert_eq!(received(&simulation, 1), expected);
    // The second member sends to a member that does not exist; its datagrams are counted nevertheless.
    let traffic = Traffic {
        datagrams: 4,
        bytes: 4,
    };
    assert_eq!(simulation.traffic(), traffic);
}

#[test]
fn a_killed_member_stops_and_can_be_started_again() {
    let steps = vec![(0.15, Fault::Kill(first())), (0.35, Fault::Start(first()))];
    let simulation = run(steps.clone(), ms(300));
    assert!(simulation.member(0).is_none());
    assert_eq!(simulation.member_count(), 2);
    let simulation = run(steps, ms(500));
    let expected = [(ms(101), vec![0]), (ms(451), vec![1])];
    assert_eq!(received(&simulation, 1), expected);
}

#[test]
fn a_resumed_member_receives_what_arrived_during_its_suspension() {
    let steps = vec![
        (0.15, Fault::Suspend(second())),
        (0.35, Fault::Resume(second())),
    ];
    let simulation = run(steps, ms(360));
    let expected = [(ms(101), vec![0]), (ms(350), vec![0]), (ms(350), vec![0])];
    assert_eq!(received(&simulation, 1), expected);
}

#[test]
fn a_leaving_member_sends_its_last_datagram_and_stops() {
    let simulation = run(vec![(0.05, Fault::Leave(first()))], ms(300));
    assert!(simulation.member(0).is_none());
    let expected = [(ms(51), b"farewell".to_vec())];
    assert_eq!(received(&simulation, 1), expected);
}

#[test]
fn noise_is_sent_with_replays_of_earlier_datagrams() {
    let noise = Fault::SendNoise {
        to: second(),
        datagrams: 2,
    };
    let simulation = run(vec![(0.15, noise)], ms(160));
    let bytes: Vec<Vec<u8>> = received(&simulation, 1)
        .into_iter()
        .map(|(_, bytes)| bytes)
        .collect();
    assert_eq!(bytes, [vec![0], vec![0; 20], vec![0], vec![1; 21], vec![0]]);
}

#[test]
fn keys_and_clock_offsets_reach_their_members() {
    let keys = Fault::ReplaceKeys {
        members: second(),
        ids: vec![2, 1],
    };
    let mut script = script(vec![(0.05, keys)]);
    script.clock_offsets = vec![limewing_fault_injection::ClockOffset {
        members: first(),
        seconds: -5.0,
    }];
    let mut simulation = Simulation::<StartCounter>::new(&script, 2);
    simulation.run_until(ms(60));
    let [first, second] = [0, 1].map(|number| simulation.member(number).expect("the member runs"));
    assert!((first.clock_offset + 5.0).abs() < f64::EPSILON);
    assert!(second.clock_offset.abs() < f64::EPSILON);
    assert!(first.keys.is_empty());
    assert_eq!(second.keys, [2, 1]);
}
