//! What goes into a datagram comes out of it, and nothing else does.

use limewing_membership::{
    Config, ConfigError, DatagramError, Key, MemberName, MemberStatus, Membership, MembershipEvent,
    MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn at(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

fn key(id: u8) -> Key {
    Key {
        id,
        secret: vec![id; 32],
    }
}

fn terms(number: u16, start: u64, keys: Vec<Key>) -> Config {
    Config {
        name: MemberName::try_from(format!("s{number}")).unwrap(),
        started_at_ms: start,
        started_at: Duration::ZERO,
        address: at(number),
        seed_addresses: vec![at(0)],
        keys,
        probe_interval: s(1.0),
        bytes_per_second: 16_384,
        seed: u64::from(number) + 7,
    }
}

fn member(number: u16) -> Membership {
    Membership::new(Duration::ZERO, terms(number, START, vec![key(1)])).unwrap()
}

/// Lets two members speak until then, without faults.
fn speak(a: &mut Membership, b: &mut Membership, from: f64, to: f64) {
    let mut now = s(from);
    while now < s(to) {
        a.tick(now);
        b.tick(now);
        loop {
            let (x, y) = (a.take_datagram(), b.take_datagram());
            if x.is_none() && y.is_none() {
                break;
            }
            if let Some((_, bytes)) = x {
                let _ = b.receive(now, &bytes);
            }
            if let Some((_, bytes)) = y {
                let _ = a.receive(now, &bytes);
            }
        }
        now += Duration::from_millis(50);
    }
}

fn knows(a: &Membership, b: &Membership) -> bool {
    a.active_members().any(|member| {
        member.update.name == b.local_member().name && member.update.status == MemberStatus::Alive
    })
}

fn joined() -> (Membership, Membership) {
    let (mut a, mut b) = (member(0), member(1));
    speak(&mut a, &mut b, 0.0, 5.0);
    assert!(knows(&a, &b) && knows(&b, &a));
    (a, b)
}

#[rstest]
#[case::again(0.0, |_: &mut Vec<u8>| {}, DatagramError::Replayed)]
#[case::late(31.0, |_: &mut Vec<u8>| {}, DatagramError::Stale)]
#[case::an_hour_late(3600.0, |_: &mut Vec<u8>| {}, DatagramError::Stale)]
#[case::a_bit_turned(0.0, |bytes: &mut Vec<u8>| *bytes.last_mut().unwrap() ^= 1, DatagramError::WrongTag)]
#[case::the_count_changed(0.0, |bytes: &mut Vec<u8>| bytes[18] ^= 1, DatagramError::WrongTag)]
#[case::cut_off(0.0, |bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 1), DatagramError::WrongTag)]
#[case::short(0.0, |bytes: &mut Vec<u8>| bytes.truncate(20), DatagramError::Length)]
#[case::long(0.0, |bytes: &mut Vec<u8>| bytes.resize(MAX_DATAGRAM_BYTES + 1, 0), DatagramError::Length)]
#[case::another_version(0.0, |bytes: &mut Vec<u8>| bytes[0] = 9, DatagramError::Version)]
#[case::another_key(0.0, |bytes: &mut Vec<u8>| bytes[1] = 9, DatagramError::UnknownKey)]
fn what_is_not_as_it_was_sent_is_refused(
    #[case] later: f64,
    #[case] spoil: fn(&mut Vec<u8>),
    #[case] why: DatagramError,
) {
    let (mut a, mut b) = (member(0), member(1));
    b.tick(s(3.0));
    let (_, mut bytes) = b.take_datagram().unwrap();
    a.receive(s(3.0), &bytes).unwrap();
    spoil(&mut bytes);
    assert_eq!(a.receive(s(3.0 + later), &bytes), Err(why));
}

/// A process of the same name that started later has the name: the earlier one says nothing any more, and what was
/// recorded of it is refused.
#[test]
fn of_two_processes_with_one_name_the_later_has_it() {
    let (mut a, mut old) = joined();
    a.tick(s(6.0));
    old.tick(s(6.5));
    let recorded = std::iter::from_fn(|| old.take_datagram()).last();
    let mut new = Membership::new(s(7.0), terms(1, START + 7000, vec![key(1)])).unwrap();
    new.tick(s(8.0));
    while let Some((_, bytes)) = new.take_datagram() {
        let _ = a.receive(s(8.0), &bytes);
        let _ = old.receive(s(8.0), &bytes);
    }
    assert!(std::iter::from_fn(|| old.take_event()).any(|news| news == MembershipEvent::Superseded));
    old.tick(s(20.0));
    assert!(old.take_datagram().is_none());
    if let Some((_, bytes)) = recorded {
        assert_eq!(
            a.receive(s(8.1), &bytes),
            Err(DatagramError::EarlierProcess)
        );
    }
    assert_eq!(
        a.known_members()
            .find(|m| m.update.name == new.local_member().name)
            .unwrap()
            .update
            .started_at_ms,
        START + 7000
    );
}

/// Keys are changed in turn: first all know the new one, then all seal with it, then the old one goes.
#[test]
fn keys_are_changed_without_a_gap() {
    let (mut a, mut b) = joined();
    let steps = [
        [vec![key(1), key(2)], vec![key(1)]],
        [vec![key(1), key(2)], vec![key(1), key(2)]],
        [vec![key(2), key(1)], vec![key(1), key(2)]],
        [vec![key(2), key(1)], vec![key(2), key(1)]],
        [vec![key(2)], vec![key(2)]],
    ];
    for (step, [of_a, of_b]) in steps.into_iter().enumerate() {
        a.replace_keys(of_a).unwrap();
        b.replace_keys(of_b).unwrap();
        speak(
            &mut a,
            &mut b,
            5.0 + 20.0 * step as f64,
            25.0 + 20.0 * step as f64,
        );
        assert!(knows(&a, &b) && knows(&b, &a), "after step {step}");
    }
    let refused = a
        .rejected_datagrams()
        .values()
        .chain(b.rejected_datagrams().values())
        .sum::<u64>();
    assert_eq!(refused, 0);
    // With a key that the other does not know nobody is heard.
    b.replace_keys(vec![key(3)]).unwrap();
    speak(&mut a, &mut b, 105.0, 200.0);
    assert!(!knows(&a, &b) && !knows(&b, &a));
}

#[rstest]
#[case::none(vec![], ConfigError::NoKey)]
#[case::short(vec![Key { id: 1, secret: vec![1; 15] }], ConfigError::ShortKey(1, 15))]
#[case::same(vec![key(1), key(1)], ConfigError::DuplicateKeyId(1))]
#[case::three(vec![key(1), key(2), key(3)], ConfigError::TooManyKeys)]
fn keys_that_cannot_be_used_are_told(#[case] keys: Vec<Key>, #[case] why: ConfigError) {
    assert_eq!(
        Membership::new(Duration::ZERO, terms(0, START, keys)).err(),
        Some(why)
    );
}

proptest! {
    /// Any bytes, also under the seal's head of a true datagram, are refused without harm.
    #[test]
    fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..1400), head in 0usize..40) {
        let (mut a, mut b) = (member(0), member(1));
        b.tick(s(3.0));
        let (_, sent) = b.take_datagram().unwrap();
        let mixed: Vec<u8> = sent.iter().take(head).chain(&bytes).copied().collect();
        prop_assume!(mixed != sent);
        prop_assert!(a.receive(s(3.0), &mixed).is_err());
        prop_assert!(a.known_members().next().is_none());
    }
}
