//! Members accept each sent datagram exactly once and reject all others.

use limewing_membership::{
    Config, ConfigError, DatagramError, Key, MemberName, MemberStatus, Membership, MembershipEvent,
    MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const START_MS: u64 = 1_800_000_000_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

fn key(id: u8) -> Key {
    Key {
        id,
        secret: vec![id; 32],
    }
}

fn config(number: u16, start: u64, keys: Vec<Key>) -> Config {
    Config {
        name: MemberName::try_from(format!("s{number}")).expect("a short name"),
        started_at_ms: start,
        started_at: Duration::ZERO,
        address: address(number),
        seed_addresses: vec![address(0)],
        keys,
        probe_interval: seconds(1.0),
        bytes_per_second: 16_384,
        seed: u64::from(number) + 7,
    }
}

fn member(number: u16) -> Membership {
    Membership::new(Duration::ZERO, config(number, START_MS, vec![key(1)]))
        .expect("a valid configuration")
}

/// Exchanges datagrams between two members without faults, from one time in seconds to another.
fn exchange(a: &mut Membership, b: &mut Membership, from: f64, to: f64) {
    let mut now = seconds(from);
    while now < seconds(to) {
        a.tick(now);
        b.tick(now);
        loop {
            let from_a = a.take_datagram();
            let from_b = b.take_datagram();
            if from_a.is_none() && from_b.is_none() {
                break;
            }
            if let Some((_, bytes)) = from_a {
                let _ = b.receive(now, &bytes);
            }
            if let Some((_, bytes)) = from_b {
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

fn joined_pair() -> (Membership, Membership) {
    let (mut a, mut b) = (member(0), member(1));
    exchange(&mut a, &mut b, 0.0, 5.0);
    assert!(knows(&a, &b) && knows(&b, &a));
    (a, b)
}

#[rstest]
#[case::replayed(0.0, |_: &mut Vec<u8>| {}, DatagramError::Replayed)]
#[case::half_a_minute_late(31.0, |_: &mut Vec<u8>| {}, DatagramError::Stale)]
#[case::an_hour_late(3600.0, |_: &mut Vec<u8>| {}, DatagramError::Stale)]
#[case::flipped_bit(0.0, |bytes: &mut Vec<u8>| *bytes.last_mut().unwrap() ^= 1, DatagramError::WrongTag)]
#[case::changed_counter(0.0, |bytes: &mut Vec<u8>| bytes[18] ^= 1, DatagramError::WrongTag)]
#[case::truncated(0.0, |bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 1), DatagramError::WrongTag)]
#[case::short(0.0, |bytes: &mut Vec<u8>| bytes.truncate(20), DatagramError::Length)]
#[case::long(0.0, |bytes: &mut Vec<u8>| bytes.resize(MAX_DATAGRAM_BYTES + 1, 0), DatagramError::Length)]
#[case::another_version(0.0, |bytes: &mut Vec<u8>| bytes[0] = 9, DatagramError::Version)]
#[case::another_key(0.0, |bytes: &mut Vec<u8>| bytes[1] = 9, DatagramError::UnknownKey)]
fn altered_replayed_and_stale_datagrams_are_rejected(
    #[case] delay: f64,
    #[case] alter: fn(&mut Vec<u8>),
    #[case] expected: DatagramError,
) {
    let (mut a, mut b) = (member(0), member(1));
    b.tick(seconds(3.0));
    let (_, mut bytes) = b.take_datagram().unwrap();
    a.receive(seconds(3.0), &bytes).unwrap();
    alter(&mut bytes);
    assert_eq!(a.receive(seconds(3.0 + delay), &bytes), Err(expected));
}

/// Guards against a recorded datagram of an earlier process being accepted. The earlier process
/// also stops sending.
#[test]
fn the_later_of_two_processes_with_one_name_supersedes_the_earlier() {
    let (mut a, mut old) = joined_pair();
    a.tick(seconds(6.0));
    old.tick(seconds(6.5));
    let recorded = std::iter::from_fn(|| old.take_datagram()).last();
    let mut new = Membership::new(seconds(7.0), config(1, START_MS + 7000, vec![key(1)])).unwrap();
    new.tick(seconds(8.0));
    while let Some((_, bytes)) = new.take_datagram() {
        let _ = a.receive(seconds(8.0), &bytes);
        let _ = old.receive(seconds(8.0), &bytes);
    }
    assert!(
        std::iter::from_fn(|| old.take_event()).any(|event| event == MembershipEvent::Superseded)
    );
    old.tick(seconds(20.0));
    assert!(old.take_datagram().is_none());
    if let Some((_, bytes)) = recorded {
        assert_eq!(
            a.receive(seconds(8.1), &bytes),
            Err(DatagramError::EarlierProcess)
        );
    }
    assert_eq!(
        a.known_members()
            .find(|m| m.update.name == new.local_member().name)
            .unwrap()
            .update
            .started_at_ms,
        START_MS + 7000
    );
}

/// Follows the steps of a key rotation: first all members open with the new key, then all seal with
/// it, then the old one is removed.
#[test]
fn key_rotation_loses_no_datagram() {
    let (mut a, mut b) = joined_pair();
    let steps = [
        [vec![key(1), key(2)], vec![key(1)]],
        [vec![key(1), key(2)], vec![key(1), key(2)]],
        [vec![key(2), key(1)], vec![key(1), key(2)]],
        [vec![key(2), key(1)], vec![key(2), key(1)]],
        [vec![key(2)], vec![key(2)]],
    ];
    for (step, [keys_of_a, keys_of_b]) in steps.into_iter().enumerate() {
        a.replace_keys(keys_of_a).unwrap();
        b.replace_keys(keys_of_b).unwrap();
        exchange(
            &mut a,
            &mut b,
            5.0 + 20.0 * step as f64,
            25.0 + 20.0 * step as f64,
        );
        assert!(
            knows(&a, &b) && knows(&b, &a),
            "the members do not know each other after step {step}"
        );
    }
    let rejected = a
        .rejected_datagrams()
        .values()
        .chain(b.rejected_datagrams().values())
        .sum::<u64>();
    assert_eq!(rejected, 0);
    // Members without a common key reject each other's datagrams.
    b.replace_keys(vec![key(3)]).unwrap();
    exchange(&mut a, &mut b, 105.0, 200.0);
    assert!(!knows(&a, &b) && !knows(&b, &a));
}

#[rstest]
#[case::none(vec![], ConfigError::NoKey)]
#[case::short(vec![Key { id: 1, secret: vec![1; 15] }], ConfigError::ShortKey(1, 15))]
#[case::duplicate_id(vec![key(1), key(1)], ConfigError::DuplicateKeyId(1))]
#[case::three(vec![key(1), key(2), key(3)], ConfigError::TooManyKeys)]
fn invalid_keys_are_config_errors(#[case] keys: Vec<Key>, #[case] expected: ConfigError) {
    assert_eq!(
        Membership::new(Duration::ZERO, config(0, START_MS, keys)).err(),
        Some(expected)
    );
}

proptest! {
    /// Arbitrary bytes, alone or appended to a prefix of a valid datagram, are rejected and change
    /// nothing.
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1400), prefix_length in 0usize..40) {
        let (mut a, mut b) = (member(0), member(1));
        b.tick(seconds(3.0));
        let (_, sent) = b.take_datagram().unwrap();
        let forged: Vec<u8> = sent.iter().take(prefix_length).chain(&bytes).copied().collect();
        prop_assume!(forged != sent);
        prop_assert!(a.receive(seconds(3.0), &forged).is_err());
        prop_assert!(a.known_members().next().is_none());
    }
}
