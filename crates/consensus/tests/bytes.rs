//! Disks and packets as bytes: whole, torn, turned over, and as noise.

use limewing_consensus::{
    read, Damaged, Entry, Id, Packet, Place, Record, Say, Unreadable, Voters, What, MOST_PACKET,
};
use proptest::prelude::*;
use rstest::rstest;

fn id(disk: u64) -> Id {
    Id {
        name: format!("s{disk}"),
        disk,
    }
}

fn records(words: u64) -> Vec<Record> {
    let members = Voters {
        ids: (1..4).map(id).collect(),
        awaited: None,
    };
    let first = [
        Record::Life(id(1)),
        Record::Group {
            group: 9,
            first: members.clone(),
        },
        Record::State {
            last: Place::default(),
            members,
            state: vec![1, 2, 3],
        },
        Record::Term {
            term: 4,
            voted: Some(id(2)),
        },
    ];
    let entry = |index| Record::Entry {
        index,
        entry: Entry {
            term: 4,
            what: What::Word(vec![index as u8; 30]),
        },
    };
    first.into_iter().chain((1..=words).map(entry)).collect()
}

fn bytes(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    records.iter().for_each(|record| record.write(&mut out));
    out
}

/// Wherever a write tears, what was whole before it comes back, and nothing else.
#[test]
fn a_torn_tail_is_cut_off() {
    let (all, whole) = (records(6), bytes(&records(6)));
    let last = whole.len() - bytes(&all[all.len() - 1..]).len();
    for end in last..whole.len() {
        let read = read(&whole[..end]).unwrap();
        assert_eq!(
            (read.records.as_slice(), read.sound),
            (&all[..all.len() - 1], last)
        );
    }
    assert_eq!(read(&whole).map(|read| read.records), Ok(all));
    assert_eq!(read(&[]).map(|read| read.records.len()), Ok(0));
}

/// A bit that turned in what was promised is told with the place of its record, not taken for a tail.
#[test]
fn damage_is_told_with_its_place() {
    let (first, whole) = (bytes(&records(2)[..4]).len(), bytes(&records(3)));
    let place = first + bytes(&records(2)[4..5]).len();
    for bit in 0..bytes(&records(2)[5..6]).len() * 8 {
        let mut turned = whole.clone();
        turned[place + bit / 8] ^= 1 << (bit % 8);
        assert_eq!(read(&turned), Err(Damaged::At(place)), "bit {bit}");
    }
}

#[rstest]
#[case::no_life(vec![Record::Term { term: 1, voted: None }], 0)]
#[case::two_lives(vec![Record::Life(id(1)), Record::Life(id(2))], 1)]
#[case::a_gap(vec![records(1)[0].clone(), records(2)[5].clone()], 1)]
#[case::a_term_that_goes_back(vec![records(1)[0].clone(), records(1)[3].clone(), Record::Term { term: 3, voted: None }], 2)]
fn records_that_nobody_wrote_so_are_refused(#[case] all: Vec<Record>, #[case] bad: usize) {
    assert_eq!(
        read(&bytes(&all)),
        Err(Damaged::Order(bytes(&all[..bad]).len()))
    );
}

#[test]
fn words_beyond_their_bounds_are_refused() {
    let packet = |say| Packet {
        group: 1,
        from: id(1),
        to: 0,
        term: 1,
        say,
    };
    let long = packet(Say::Propose {
        bytes: vec![0; 701],
    });
    assert_eq!(Packet::read(&long.write()), Err(Unreadable::Long));
    let many = packet(Say::HereToo {
        nonce: 1,
        voters: 1,
        first: (0..9).map(id).collect(),
    });
    assert_eq!(Packet::read(&many.write()), Err(Unreadable::Long));
    let named = Packet {
        from: Id {
            name: "n".repeat(33),
            disk: 1,
        },
        ..packet(Say::TakeMeIn)
    };
    assert_eq!(Packet::read(&named.write()), Err(Unreadable::Long));
    assert_eq!(Packet::read(&[9, 0]), Err(Unreadable::Version));
    assert_eq!(
        Packet::read(&vec![1; MOST_PACKET + 1]),
        Err(Unreadable::Long)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 500, ..ProptestConfig::default() })]
    /// Noise is refused or read as something within the bounds; a disk of noise holds nothing.
    #[test]
    fn noise_is_borne(noise: Vec<u8>, cut in 0usize..400, flip in 0usize..400) {
        let _ = Packet::read(&noise);
        prop_assert!(read(&noise).is_ok_and(|read| read.records.is_empty() && read.sound == 0));
        let mut disk = bytes(&records(8));
        let at = flip % disk.len();
        disk[at] ^= 0x10;
        disk.truncate(cut.max(1));
        if let Ok(read) = read(&disk) {
            prop_assert!(read.sound <= disk.len());
            prop_assert_eq!(&bytes(&read.records)[..], &disk[..read.sound]);
        }
    }

    #[test]
    fn a_packet_is_read_as_written(group: u64, term: u64, index: u64, word in prop::collection::vec(any::<u8>(), 0..700)) {
        let entries = vec![Entry { term, what: What::Word(word) }, Entry { term, what: What::Begins }];
        let say = Say::Append { before: Place { index, term }, entries, settled: index, round: term };
        let packet = Packet { group, from: id(3), to: 7, term, say };
        prop_assert!(packet.write().len() <= MOST_PACKET);
        prop_assert_eq!(Packet::read(&packet.write()), Ok(packet));
    }
}
