//! Machines on their way, word by word; and whatever words come in whatever order, the limits hold.

use limewing_turns::*;
use proptest::prelude::*;
use rstest::rstest;

fn machine(n: u64) -> Machine {
    Machine { name: format!("m{n}"), zone: format!("z{}", n % 3), kind: format!("k{}", n % 2), strength: 1.0 }
}

fn limits() -> Limits {
    Limits {
        out: 3,
        out_in_zone: 1,
        out_of_kind: 2,
        ready_part: 0.7,
        apart: vec![("m0".into(), "m4".into())],
    }
}

fn terms(name: &str) -> Terms {
    Terms {
        name: name.into(),
        limits: limits(),
        takes: 1000,
        stalls_after: 5000,
        windows: Vec::new(),
        priority: 1,
        beside_trials: false,
    }
}

fn seen(upto: u64) -> Seen {
    Seen { upto, all: 12.0, ready: 12.0, trouble: false, trial: false }
}

/// Turns with a list of twelve machines, seen at 1 s; and the next place in the log.
fn with(terms: Terms) -> (Turns, u64) {
    let mut turns = Turns::default();
    turns.apply(1, &Word::Ask { terms, machines: 12 }).unwrap();
    let machines = (0..12).map(machine).collect();
    turns.apply(2, &Word::Machines { list: Number(1), first: 0, machines }).unwrap();
    turns.apply(3, &Word::Seen { at: 1000, seen: seen(2) }).unwrap();
    (turns, 4)
}

fn grant(n: u64) -> Word {
    Word::Grant { list: Number(1), machine: format!("m{n}") }
}

#[test]
fn a_machine_goes_its_way_once() {
    let (mut turns, _) = with(terms("a"));
    assert_eq!(turns.next(), Some(grant(0)));
    let no = Number(4);
    let words = [
        grant(0),
        Word::Out { grant: no },
        Word::Began { grant: no },
        Word::Worked { grant: no, well: true },
        Word::Warm { grant: no },
    ];
    let steps = [Step::Granted, Step::Out, Step::Out, Step::Back, Step::Done];
    for (place, (word, step)) in words.iter().zip(steps).enumerate() {
        let at = 4 + 2 * place as u64;
        assert_eq!(turns.apply(at, word), Ok(()));
        assert_eq!(turns.of(no).map(|(_, way)| way.step), Some(step));
        assert_eq!(turns.closed().count(), usize::from(place < 3));
        // Told twice it changes nothing; only that it began may be told again.
        if place != 2 {
            assert!(turns.apply(at + 1, word).is_err(), "{word:?}");
        }
    }
    // Not worked on twice, also by a late word of an earlier leader.
    assert_eq!(turns.apply(30, &grant(0)), Err(Refused::NoMachine));
    assert_eq!(turns.apply(31, &Word::Out { grant: no }), Err(Refused::NoGrant));
}

#[rstest]
#[case::zone(&[0], 3, Why::Zone)]
#[case::kind(&[0, 2], 4, Why::Kind)]
#[case::apart(&[0], 4, Why::Apart)]
#[case::all(&[0, 1, 2], 5, Why::Out)]
fn one_more_may_not_go(#[case] out: &[u64], #[case] then: u64, #[case] why: Why) {
    let (mut turns, next) = with(terms("a"));
    for (place, n) in out.iter().enumerate() {
        turns.apply(next + place as u64, &grant(*n)).unwrap();
    }
    assert_eq!(turns.apply(20, &grant(then)), Err(Refused::NotNow(why)));
}

#[rstest]
#[case::trouble(Word::Seen { at: 2000, seen: Seen { trouble: true, ..seen(3) } }, Why::Trouble)]
#[case::trial(Word::Seen { at: 2000, seen: Seen { trial: true, ..seen(3) } }, Why::Trial)]
#[case::strength(Word::Seen { at: 2000, seen: Seen { ready: 9.0, ..seen(3) } }, Why::Strength)]
#[case::held(Word::Hold { list: Number(1) }, Why::Held)]
#[case::withdrawn(Word::Withdraw { list: Number(1) }, Why::Held)]
fn what_stops_new_grants(#[case] word: Word, #[case] why: Why) {
    let (mut turns, _) = with(terms("a"));
    turns.apply(4, &grant(0)).unwrap();
    turns.apply(5, &word).unwrap();
    assert_eq!(turns.may_go(Number(1), "m1"), Err(Refused::NotNow(why)));
    // What is granted and not out yet is taken back where it is to be; what is out is not.
    let back = !matches!(why, Why::Trial | Why::Strength);
    assert_eq!(turns.next(), back.then_some(Word::Recall { grant: Number(4) }));
    turns.apply(6, &Word::Out { grant: Number(4) }).unwrap();
    assert_eq!(turns.next(), None);
    assert_eq!(turns.apply(7, &Word::Recall { grant: Number(4) }), Err(Refused::NoGrant));
}

/// What was seen before a grant still counts the machine as ready: it is counted off.
#[test]
fn a_grant_counts_beside_what_was_seen_before_it() {
    let (mut turns, _) =
        with(Terms { limits: Limits { out: 9, ready_part: 0.8, ..Limits::default() }, ..terms("a") });
    (0..2).for_each(|n| turns.apply(4 + n, &grant(n)).unwrap());
    turns.apply(6, &Word::Seen { at: 2000, seen: Seen { ready: 11.0, ..seen(4) } }).unwrap();
    assert_eq!(turns.may_go(Number(1), "m2"), Err(Refused::NotNow(Why::Strength)));
    turns.apply(7, &Word::Seen { at: 3000, seen: Seen { ready: 11.0, ..seen(6) } }).unwrap();
    assert_eq!(turns.may_go(Number(1), "m2"), Ok(()));
}

#[test]
fn windows_leave_time_for_the_work() {
    let windows = vec![Window { from: 10_000, to: 20_000 }];
    let (mut turns, _) = with(Terms { windows, ..terms("a") });
    for (place, (at, fits)) in
        [(9_999, false), (10_000, true), (19_000, true), (19_001, false)].iter().enumerate()
    {
        turns.apply(5 + place as u64, &Word::Seen { at: *at, seen: seen(4) }).unwrap();
        assert_eq!(turns.next().is_some(), *fits, "at {at}");
    }
    assert_eq!(turns.apply(9, &Word::Seen { at: 5, seen: seen(4) }), Err(Refused::Time));
}

/// Two lists with one machine: it is out for one at a time, and each list's limits hold for the other's machines.
#[test]
fn lists_overlap() {
    let (mut turns, _) = with(terms("a"));
    let other = Terms { priority: 2, limits: Limits { out: 9, ..Limits::default() }, ..terms("b") };
    turns.apply(4, &Word::Ask { terms: other, machines: 2 }).unwrap();
    let machines = vec![machine(0), machine(3)];
    turns.apply(5, &Word::Machines { list: Number(4), first: 0, machines }).unwrap();
    let first = Word::Grant { list: Number(4), machine: "m0".into() };
    assert_eq!(turns.next(), Some(first.clone()));
    turns.apply(6, &first).unwrap();
    assert_eq!(turns.apply(7, &grant(0)), Err(Refused::Taken));
    // m3 is of m0's zone: the first list has nothing out yet, and its limits do not bind the second.
    assert_eq!(turns.may_go(Number(4), "m3"), Ok(()));
    turns.apply(8, &grant(1)).unwrap();
    // Now they do.
    assert_eq!(turns.may_go(Number(4), "m3"), Err(Refused::NotNow(Why::Zone)));
}

#[test]
fn work_that_takes_too_long_is_told_and_stays_out() {
    let (mut turns, _) = with(terms("a"));
    turns.apply(4, &grant(0)).unwrap();
    turns.apply(5, &Word::Out { grant: Number(4) }).unwrap();
    turns.apply(6, &Word::Began { grant: Number(4) }).unwrap();
    turns.apply(7, &Word::Seen { at: 6001, seen: seen(6) }).unwrap();
    assert!(turns.of(Number(4)).is_some_and(|(_, way)| way.stalled && way.step == Step::Out));
    turns.apply(8, &Word::Worked { grant: Number(4), well: true }).unwrap();
    assert!(turns.of(Number(4)).is_some_and(|(_, way)| !way.stalled && way.step == Step::Back));
}

/// How many are out, by the words that were taken alone: kept apart from what is tested.
#[derive(Default)]
struct Ledger(std::collections::BTreeMap<u64, (u64, bool)>);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
    /// Words as two leaders, late machines and an operator might settle them, in any order: limits hold, no machine is worked
    /// on twice, and all who read the same log know the same.
    #[test]
    fn limits_hold_whatever_is_settled(words in prop::collection::vec((0u8..9, 0u64..12, 4u64..80), 1..120)) {
        let (mut turns, mut index) = with(terms("a"));
        let mut other = turns.clone();
        let (mut out, mut worked) = (Ledger::default(), Vec::new());
        for (kind, n, no) in words {
            let grant_no = Number(no);
            let word = match kind {
                0..=2 => grant(n),
                3 => Word::Out { grant: grant_no },
                4 => Word::Began { grant: grant_no },
                5 => Word::Worked { grant: grant_no, well: n % 4 != 0 },
                6 => Word::Warm { grant: grant_no },
                7 => Word::Recall { grant: grant_no },
                _ => {
                    let gone = out.0.len() as f64;
                    Word::Seen { at: turns.now() + 100, seen: Seen { ready: 12.0 - gone, ..seen(index - 1) } }
                }
            };
            let taken = turns.apply(index, &word);
            prop_assert_eq!(taken, other.apply(index, &word));
            if taken.is_ok() {
                match word {
                    Word::Grant { .. } => drop(out.0.insert(index, (n, false))),
                    Word::Out { grant } => drop(out.0.entry(grant.0).and_modify(|one| one.1 = true)),
                    Word::Worked { grant, well } => {
                        let one = out.0[&grant.0];
                        prop_assert!(one.1, "worked on while sidecars may still send there");
                        prop_assert!(!worked.contains(&one.0), "m{} was worked on twice", one.0);
                        worked.push(one.0);
                        if !well {
                            out.0.remove(&grant.0);
                        }
                    }
                    Word::Warm { grant } | Word::Recall { grant } => drop(out.0.remove(&grant.0)),
                    _ => {}
                }
            }
            let now: Vec<u64> = out.0.values().map(|(n, _)| *n).collect();
            let most = |of: &dyn Fn(u64) -> u64| {
                (0..3).map(|part| now.iter().filter(|n| of(**n) == part).count()).max().unwrap_or(0)
            };
            prop_assert!(now.len() <= 3 && most(&|n| n % 3) <= 1 && most(&|n| n % 2) <= 2, "{:?}", now);
            prop_assert!(!(now.contains(&0) && now.contains(&4)));
            prop_assert!(12.0 - now.len() as f64 >= 0.7 * 12.0);
            let back = Turns::read(&turns.write());
            prop_assert_eq!(back.as_ref(), Some(&turns));
            index += 1;
        }
        prop_assert_eq!(turns, other);
    }

    #[test]
    fn noise_is_borne(noise: Vec<u8>) {
        let _ = Word::read(&noise);
        let _ = Turns::read(&noise);
    }

    #[test]
    fn words_are_read_as_written(name in "[a-z0-9.-]{1,40}", n in 0u64..9, strength in 0.0f64..100.0) {
        let machine = Machine { name, strength, ..machine(n) };
        let word = Word::Machines { list: Number(n), first: 3, machines: vec![machine] };
        prop_assert_eq!(Word::read(&word.write()), Ok(word));
    }
}
