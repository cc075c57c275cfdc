//! Decoding of log files and packets: complete, torn, with flipped bits, and random bytes.

use limewing_consensus::{
    read_log, Configuration, Entry, EntryPayload, LogError, LogPosition, Message, NodeId, Packet,
    PacketError, Record, MAX_PACKET_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;

fn id(number: u64) -> NodeId {
    NodeId {
        name: format!("s{number}"),
        incarnation: number,
    }
}

fn records(commands: u64) -> Vec<Record> {
    let members = Configuration {
        voters: (1..4).map(id).collect(),
        pending_voter: None,
    };
    let first = [
        Record::Identity(id(1)),
        Record::Group {
            group: 9,
            initial: members.clone(),
        },
        Record::Snapshot {
            last: LogPosition::default(),
            configuration: members,
            state: vec![1, 2, 3],
        },
        Record::Term {
            term: 4,
            voted_for: Some(id(2)),
        },
    ];
    let entry = |index| Record::Entry {
        index,
        entry: Entry {
            term: 4,
            payload: EntryPayload::Command(vec![index as u8; 30]),
        },
    };
    first.into_iter().chain((1..=commands).map(entry)).collect()
}

fn bytes(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    records
        .iter()
        .for_each(|record| record.encode_into(&mut out));
    out
}

/// Wherever a write is torn, exactly the records before it are recovered.
#[test]
fn a_torn_last_record_is_dropped() {
    let all = records(6);
    let file = bytes(&all);
    let last = file.len() - bytes(&all[all.len() - 1..]).len();
    for end in last..file.len() {
        let read = read_log(&file[..end]).unwrap();
        assert_eq!(
            (read.records.as_slice(), read.valid_length),
            (&all[..all.len() - 1], last)
        );
    }
    assert_eq!(read_log(&file).map(|read| read.records), Ok(all));
    assert_eq!(read_log(&[]).map(|read| read.records.len()), Ok(0));
}

/// A flipped bit before the last record is reported with the offset of its record, and not mistaken
/// for a torn write.
#[test]
fn damage_is_reported_with_its_offset() {
    let file = bytes(&records(3));
    let first = bytes(&records(2)[..4]).len();
    let offset = first + bytes(&records(2)[4..5]).len();
    for bit in 0..bytes(&records(2)[5..6]).len() * 8 {
        let mut flipped = file.clone();
        flipped[offset + bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            read_log(&flipped),
            Err(LogError::Corrupt(offset)),
            "bit {bit}"
        );
    }
}

#[rstest]
#[case::no_identity(vec![Record::Term { term: 1, voted_for: None }], 0)]
#[case::two_identities(vec![Record::Identity(id(1)), Record::Identity(id(2))], 1)]
#[case::a_gap(vec![records(1)[0].clone(), records(2)[5].clone()], 1)]
#[case::a_term_that_goes_back(vec![records(1)[0].clone(), records(1)[3].clone(), Record::Term { term: 3, voted_for: None }], 2)]
fn records_in_an_impossible_order_are_rejected(#[case] all: Vec<Record>, #[case] bad: usize) {
    assert_eq!(
        read_log(&bytes(&all)),
        Err(LogError::OutOfOrder(bytes(&all[..bad]).len()))
    );
}

#[test]
fn messages_over_their_limits_are_rejected() {
    let packet = |message| Packet {
        group: 1,
        from: id(1),
        to_incarnation: 0,
        term: 1,
        message,
    };
    let long = packet(Message::Propose {
        command: vec![0; 701],
    });
    assert_eq!(
        Packet::decode(&long.encode()),
        Err(PacketError::LimitExceeded)
    );
    let many = packet(Message::DiscoveryResponse {
        nonce: 1,
        voters_checksum: 1,
        initial_members: (0..9).map(id).collect(),
    });
    assert_eq!(
        Packet::decode(&many.encode()),
        Err(PacketError::LimitExceeded)
    );
    let named = Packet {
        from: NodeId {
            name: "n".repeat(33),
            incarnation: 1,
        },
        ..packet(Message::JoinRequest)
    };
    assert_eq!(
        Packet::decode(&named.encode()),
        Err(PacketError::LimitExceeded)
    );
    assert_eq!(
        Packet::decode(&[9, 0]),
        Err(PacketError::UnsupportedVersion)
    );
    assert_eq!(
        Packet::decode(&vec![1; MAX_PACKET_BYTES + 1]),
        Err(PacketError::LimitExceeded)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 500, ..ProptestConfig::default() })]
    /// Random bytes are rejected or decode within the limits, and a log file of random bytes has no
    /// records.
    #[test]
    fn noise_is_rejected_or_within_limits(noise: Vec<u8>, cut in 0usize..400, flip in 0usize..400) {
        let _ = Packet::decode(&noise);
        prop_assert!(read_log(&noise).is_ok_and(|read| read.records.is_empty() && read.valid_length == 0));
        let mut file = bytes(&records(8));
        let at = flip % file.len();
        file[at] ^= 0x10;
        file.truncate(cut.max(1));
        if let Ok(read) = read_log(&file) {
            prop_assert!(read.valid_length <= file.len());
            prop_assert_eq!(&bytes(&read.records)[..], &file[..read.valid_length]);
        }
    }

    #[test]
    fn a_packet_is_decoded_as_encoded(group: u64, term: u64, index: u64, command in prop::collection::vec(any::<u8>(), 0..700)) {
        let entries = vec![Entry { term, payload: EntryPayload::Command(command) }, Entry { term, payload: EntryPayload::Noop }];
        let message = Message::AppendRequest { previous: LogPosition { index, term }, entries, commit_index: index, round: term };
        let packet = Packet { group, from: id(3), to_incarnation: 7, term, message };
        prop_assert!(packet.encode().len() <= MAX_PACKET_BYTES);
        prop_assert_eq!(Packet::decode(&packet.encode()), Ok(packet));
    }
}
