//! Links subject to a script: partitions, loss, duplicates, corruption, delay and byte rates.

use limewing_fault_injection::{
    Arrival, Fault, FaultAction, FaultyNetwork, LinkConditions, Script, ScriptStep, Selector,
};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn script(conditions: LinkConditions, steps: Vec<(f64, Fault)>) -> Script {
    Script {
        name: "test".into(),
        seed: 7,
        seconds: 60.0,
        conditions,
        steps: steps
            .into_iter()
            .map(|(at, fault)| ScriptStep { at, fault })
            .collect(),
        clock_offsets: Vec::new(),
    }
}

fn network(conditions: LinkConditions, steps: Vec<(f64, Fault)>) -> FaultyNetwork {
    FaultyNetwork::new(&script(conditions, steps), 4)
}

fn arrives(network: &mut FaultyNetwork, from: usize, to: usize) -> bool {
    !network.transmit(ms(0), from, to, b"x").is_empty()
}

#[test]
fn a_link_without_faults_delivers_immediately_and_unchanged() {
    let mut network = network(LinkConditions::default(), Vec::new());
    let arrival = Arrival {
        at: ms(5),
        bytes: b"abc".to_vec(),
    };
    assert_eq!(network.transmit(ms(5), 0, 1, b"abc"), [arrival]);
}

#[rstest]
#[case::both_ways(false)]
#[case::one_way(true)]
fn a_partition_holds_until_it_is_healed(#[case] one_way: bool) {
    let partition = Fault::Partition {
        from: Selector::Numbers(vec![0]),
        to: Selector::Fraction(0.5, 1.0),
        one_way,
    };
    let steps = vec![(1.0, partition), (2.0, Fault::HealPartitions)];
    let mut network = network(LinkConditions::default(), steps);
    assert!(arrives(&mut network, 0, 2));
    assert_eq!(network.next_deadline(), Some(ms(1_000)));
    assert!(network.advance(ms(1_000)).is_empty());
    assert!(!arrives(&mut network, 0, 2));
    assert_eq!(arrives(&mut network, 3, 0), one_way);
    assert!(arrives(&mut network, 0, 1));
    network.advance(ms(2_000));
    assert!(arrives(&mut network, 0, 2));
    assert!(arrives(&mut network, 3, 0));
    assert_eq!(network.next_deadline(), None);
}

#[test]
fn only_changed_links_have_the_new_conditions() {
    let change = Fault::ChangeLinks {
        from: Selector::Numbers(vec![1]),
        to: Selector::All,
        conditions: LinkConditions {
            loss: 1.0,
            ..LinkConditions::default()
        },
    };
    let mut network = network(LinkConditions::default(), vec![(0.0, change)]);
    network.advance(ms(0));
    assert!(!arrives(&mut network, 1, 0));
    assert!(arrives(&mut network, 0, 1));
}

#[test]
fn a_duplicated_and_corrupted_datagram_arrives_twice_with_one_bit_flipped() {
    let conditions = LinkConditions {
        duplicate: 1.0,
        corrupt: 1.0,
        ..LinkConditions::default()
    };
    let mut network = network(conditions, Vec::new());
    let arrivals = network.transmit(ms(0), 0, 1, &[0; 32]);
    assert_eq!(arrivals.len(), 2);
    for arrival in arrivals {
        let flipped_bits: u32 = arrival.bytes.iter().map(|byte| byte.count_ones()).sum();
        assert_eq!(flipped_bits, 1);
    }
}

#[test]
fn jitter_is_added_to_the_delay() {
    let conditions = LinkConditions {
        delay_ms: 10.0,
        jitter_ms: 5.0,
        ..LinkConditions::default()
    };
    let mut network = network(conditions, Vec::new());
    let delays: Vec<Duration> = (0..100)
        .flat_map(|_| network.transmit(ms(0), 0, 1, b"x"))
        .map(|arrival| arrival.at)
        .collect();
    assert!(delays.iter().all(|at| (ms(10)..ms(15)).contains(at)));
    assert!(delays.iter().any(|at| *at < ms(12)) && delays.iter().any(|at| *at > ms(13)));
}

#[test]
fn bytes_beyond_a_links_rate_are_lost_until_its_budget_is_refilled() {
    let conditions = LinkConditions {
        bytes_per_second: 100.0,
        ..LinkConditions::default()
    };
    let mut network = network(conditions, Vec::new());
    let mut sends = |at, length| !network.transmit(ms(at), 0, 1, &vec![0; length]).is_empty();
    assert!(sends(0, 80));
    assert!(!sends(0, 80));
    assert!(sends(0, 20));
    assert!(!sends(400, 50));
    assert!(sends(500, 50));
}

#[test]
fn faults_of_members_become_actions_in_order_of_time() {
    let steps = vec![
        (2.0, Fault::Start(Selector::Numbers(vec![3, 9]))),
        (1.0, Fault::Kill(Selector::Fraction(0.5, 1.0))),
        (
            1.0,
            Fault::ReplaceKeys {
                members: Selector::Numbers(vec![0]),
                ids: vec![2, 1],
            },
        ),
    ];
    let mut network = network(LinkConditions::default(), steps);
    let expected = [
        FaultAction::Kill(2),
        FaultAction::Kill(3),
        FaultAction::ReplaceKeys {
            member: 0,
            ids: vec![2, 1],
        },
    ];
    assert_eq!(network.advance(ms(1_500)), expected);
    assert_eq!(network.advance(ms(2_000)), [FaultAction::Start(3)]);
}
