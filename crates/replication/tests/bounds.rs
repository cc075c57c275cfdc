//! Packets and logs stay within their bounds whatever is received.

mod helpers;

use helpers::{replica_config, secs};
use limewing_replication::{
    Entry, Log, LogPosition, Message, Origin, Packet, PacketError, Record, Replica, SequenceRange,
    MAX_BODY_BYTES, MAX_LOG_ENTRIES, MAX_SEQUENCE, MAX_TOTAL_ENTRIES,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

fn origin(n: u64) -> Origin {
    Origin {
        name: format!("o{}", n % 3),
        incarnation: n / 3,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]
    #[test]
    fn random_and_corrupted_bytes_are_tolerated(random_bytes in prop::collection::vec(any::<u8>(), 0..1200), flip in 0usize..1000) {
        let _ = Packet::decode(&random_bytes);
        let entries = vec![Entry { sequence: 3, time_to_live_ms: 900, kind: 1, body: Record::KeyServed { key: 9, build: 2 }.encode() }];
        let mut bytes = Packet { message: Message::Entries { origin: origin(4), range: Some(SequenceRange { after: 2, through: 5 }), entries } }.encode();
        let index = flip % bytes.len();
        bytes[index] ^= 1 << (flip % 8);
        if let Ok(packet) = Packet::decode(&bytes) {
            let mut replica = Replica::new(secs(0.0), replica_config("a", 1));
            replica.receive(secs(0.1), "b", packet);
            replica.tick(secs(0.2));
        }
    }

    /// Entries and ranges may arrive in any order and with any losses: a log is contiguous only as
    /// far as it received everything.
    #[test]
    fn a_log_is_contiguous_only_through_what_it_received(
        single_sequences in prop::collection::vec(1u64..30, 0..40),
        ranges in prop::collection::vec((0u64..25, 1u64..12), 0..12),
    ) {
        let entry = |sequence: u64| Entry { sequence, time_to_live_ms: 60_000, kind: 1, body: vec![sequence as u8] };
        let (mut log, mut received) = (Log::default(), BTreeSet::new());
        for sequence in &single_sequences {
            if log.insert(secs(0.0), &entry(*sequence)) {
                prop_assert!(received.insert(*sequence), "{} was reported as new twice", sequence);
            }
        }
        for (after, count) in ranges {
            let range_entries: Vec<Entry> = (after + 1..=after + count).map(entry).collect();
            for stored in log.insert_range(secs(0.0), SequenceRange { after, through: after + count }, &range_entries) {
                prop_assert!(received.insert(stored.sequence), "{} was reported as new twice", stored.sequence);
            }
            prop_assert!((1..=log.contiguous_through()).all(|sequence| received.contains(&sequence)), "{} of {:?}", log.contiguous_through(), received);
        }
        prop_assert_eq!(log.live_entries(), received.len());
    }
}

#[rstest]
#[case::sequence_number(Message::Entries { origin: origin(1), range: Some(SequenceRange { after: 0, through: MAX_SEQUENCE + 1 }), entries: vec![] })]
#[case::inverted_range(Message::Entries { origin: origin(1), range: Some(SequenceRange { after: 5, through: 4 }), entries: vec![] })]
#[case::entry_outside_its_range(Message::Entries {
    origin: origin(1),
    range: Some(SequenceRange { after: 5, through: 6 }),
    entries: vec![Entry { sequence: 7, time_to_live_ms: 1, kind: 1, body: vec![] }]
})]
#[case::body_too_long(Message::Entries {
    origin: origin(1),
    range: None,
    entries: vec![Entry { sequence: 7, time_to_live_ms: 1, kind: 1, body: vec![0; MAX_BODY_BYTES + 1] }]
})]
#[case::time_to_live(Message::Entries {
    origin: origin(1),
    range: None,
    entries: vec![Entry { sequence: 7, time_to_live_ms: u32::MAX, kind: 1, body: vec![] }]
})]
#[case::empty_name(Message::DigestReply { request: 1, through: None, ahead: vec![], behind: vec![LogPosition { origin: Origin { name: String::new(), incarnation: 1 }, contiguous_through: 1 }], caught_up: true })]
#[case::too_many_positions(Message::DigestReply { request: 1, through: None, ahead: vec![], behind: vec![LogPosition { origin: origin(1), contiguous_through: 1 }; 9], caught_up: true })]
fn packets_out_of_bounds_are_rejected(#[case] message: Message) {
    assert_eq!(
        Packet::decode(&Packet { message }.encode()),
        Err(PacketError::OutOfBounds)
    );
}

#[test]
fn memory_is_bounded_when_a_peer_floods_entries() {
    let mut replica = Replica::new(secs(0.0), replica_config("a", 1));
    replica.set_peers(["b".to_owned()].into_iter());
    let mut sequence = 0;
    for _ in 0..6_000 {
        let entries: Vec<Entry> = (sequence + 1..=sequence + 10)
            .map(|sequence| Entry {
                sequence,
                time_to_live_ms: 80_000_000,
                kind: 1,
                body: vec![0; MAX_BODY_BYTES / 3],
            })
            .collect();
        let message = Message::Entries {
            origin: origin(4),
            range: Some(SequenceRange {
                after: sequence,
                through: sequence + 10,
            }),
            entries,
        };
        replica.receive(secs(0.1), "b", Packet { message });
        sequence += 10;
        while replica.take_applied().is_some() {}
        while replica.take_packet().is_some() {}
    }
    let counts: Vec<_> = replica
        .logs()
        .map(|(_, log)| {
            (
                log.live_entries(),
                log.evicted_entries(),
                log.contiguous_through(),
            )
        })
        .collect();
    assert_eq!(counts, [(0, 0, 0), (MAX_LOG_ENTRIES, 10_000, 60_000)]);
    for n in 10..100u64 {
        let entries = vec![Entry {
            sequence: 1,
            time_to_live_ms: 80_000_000,
            kind: 1,
            body: vec![],
        }];
        replica.receive(
            secs(0.2),
            "b",
            Packet {
                message: Message::Entries {
                    origin: origin(n),
                    range: None,
                    entries,
                },
            },
        );
    }
    let live: usize = replica.logs().map(|(_, log)| log.live_entries()).sum();
    assert!(live <= MAX_TOTAL_ENTRIES);
}

#[test]
fn entries_of_unknown_kind_are_relayed_unchanged() {
    let (mut a, mut b) = (
        Replica::new(secs(0.0), replica_config("a", 1)),
        Replica::new(secs(0.0), replica_config("b", 1)),
    );
    a.set_peers(["c".to_owned()].into_iter());
    b.set_peers(["a".to_owned()].into_iter());
    let unknown = Entry {
        sequence: 1,
        time_to_live_ms: 9000,
        kind: 77,
        body: vec![1, 2, 3],
    };
    let origin = Origin {
        name: "d".into(),
        incarnation: 4,
    };
    let message = Message::Entries {
        origin: origin.clone(),
        range: None,
        entries: vec![unknown.clone()],
    };
    a.receive(secs(0.0), "d", Packet { message });
    assert_eq!(
        a.take_applied()
            .map(|(_, entry)| Record::decode(entry.kind, &entry.body)),
        Some(None)
    );
    a.tick(secs(0.0));
    while let Some((_, packet)) = a.take_packet() {
        b.receive(secs(0.0), "a", Packet::decode(&packet.encode()).unwrap());
    }
    assert_eq!(b.take_applied(), Some((origin, unknown)));
}
