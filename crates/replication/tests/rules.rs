//! Rules where copies differ: any order, again and again, the same; never less careful. Packets read as written, noise borne. Every
//! order of a catch-up among three.

mod helpers;

use helpers::{s, terms};
use limewing_replication::*;
use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn origin(n: u64) -> Origin {
    Origin {
        name: format!("o{}", n % 3),
        incarnation: n / 3,
    }
}

fn a_fact() -> impl Strategy<Value = Record> {
    let phases = [
        Phase::OnTrial,
        Phase::Released,
        Phase::RollingBack,
        Phase::RolledBack,
    ];
    let stage = (0u64..6, 1u16..4, 0u8..3, 0usize..4, 0u8..=10).prop_map(
        move |(number, build, stage, phase, cap)| {
            Record::Stage(Stage {
                number,
                build,
                stage,
                phase: phases[phase],
                cap: f64::from(cap) / 10.0,
            })
        },
    );
    prop_oneof![
        (0u64..4, 1u16..5).prop_map(|(key, build)| Record::KeyServed { key, build }),
        (0u64..3, any::<bool>()).prop_map(|(idempotency_key, ran)| Record::Execution {
            idempotency_key,
            mark: if ran {
                ExecutionMark::MayHaveRun
            } else {
                ExecutionMark::NeverRan
            }
        }),
        stage,
    ]
}

/// Facts as origins may have put them up: an origin and number say one thing.
fn some_facts() -> impl Strategy<Value = Vec<(Origin, u64, Duration, Record)>> {
    prop::collection::vec((0u64..6, a_fact(), 1u64..50), 0..20).prop_map(|all| {
        let mut next: BTreeMap<u64, u64> = BTreeMap::new();
        let one = |(of, fact, until)| {
            let no = next.entry(of).or_insert(0);
            *no += 1;
            (origin(of), *no, Duration::from_secs(until), fact)
        };
        all.into_iter().map(one).collect()
    })
}

fn taken<'a>(facts: impl IntoIterator<Item = &'a (Origin, u64, Duration, Record)>) -> MergedState {
    let mut held = MergedState::default();
    for (origin, no, until, fact) in facts {
        held.apply(origin, *no, *until, fact);
    }
    held
}

/// What a sidecar goes by, of it: keys' builds, hits that may have run.
fn answers(held: &MergedState, now: Duration) -> (Vec<Option<u16>>, Vec<bool>) {
    (
        (0..4)
            .map(|key| held.newest_build_served(now, key))
            .collect(),
        (0..3).map(|tag| held.may_have_run(now, tag)).collect(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]
    #[test]
    fn any_order_and_number_of_times_comes_to_the_same(facts in some_facts(), seed: u64) {
        let mut chance = WyRand::new_seed(seed);
        let mut other: Vec<_> = facts.iter().chain(facts.iter().take(facts.len() / 2)).cloned().collect();
        chance.shuffle(&mut other);
        let (one, two) = (taken(&facts), taken(&other));
        for at in [0, 5, 20, 60] {
            prop_assert_eq!(answers(&one, s(f64::from(at))), answers(&two, s(f64::from(at))));
        }
        prop_assert_eq!(one.stages().collect::<Vec<_>>(), two.stages().collect::<Vec<_>>());
        // A part joined to the rest, in either order, is the whole.
        let (a, b) = facts.split_at(facts.len() / 2);
        prop_assert_eq!(answers(&taken(b.iter().chain(a)), s(3.0)), answers(&one, s(3.0)));
    }

    /// No fact makes an answer less careful, but the word of an origin on its own hit.
    #[test]
    fn never_less_careful(facts in some_facts(), more in a_fact()) {
        let (mut held, now) = (taken(&facts), s(2.0));
        let before = answers(&held, now);
        let other = Origin { name: "other".into(), incarnation: 1 };
        held.apply(&other, 1, s(30.0), &more);
        let after = answers(&held, now);
        prop_assert!(before.0.iter().zip(&after.0).all(|(before, after)| before <= after));
        prop_assert!(before.1.iter().zip(&after.1).all(|(before, after)| before <= after));
    }

    /// Whatever others say, what a sidecar goes by never opens more than what it was told.
    #[test]
    fn a_stage_of_others_only_closes(told in a_fact(), facts in prop::collection::vec(a_fact(), 0..12), seed: u64) {
        let stage = |fact: &Record| match fact { Record::Stage(stage) => Some(*stage), _ => None };
        let (told, mut others) = (stage(&told), facts.iter().filter_map(stage).collect::<Vec<_>>());
        let by = most_restrictive_stage(told, others.iter());
        let back = |s: &Stage| matches!(s.phase, Phase::RollingBack | Phase::RolledBack);
        match (told, by) {
            (Some(told), Some(by)) => {
                prop_assert!(by.build == told.build);
                prop_assert!(back(&by) || (by.phase == told.phase && by.cap <= told.cap), "{:?} from {:?}", by, told);
            }
            (None, Some(by)) => prop_assert!(back(&by)),
            (_, None) => {}
        }
        // A new life goes by no more than by a build that nobody announced.
        let again = told.and_then(|told| stage_after_restart(told, 0.14));
        prop_assert!(again.is_none_or(|again| back(&again) || (again.stage == 0 && again.cap <= 0.14)));
        let mut shuffled = others.clone();
        WyRand::new_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(by, most_restrictive_stage(told, shuffled.iter()), "in another order");
        // Said again it changes nothing more.
        if let Some(by) = by {
            WyRand::new_seed(seed).shuffle(&mut others);
            let again = most_restrictive_stage(Some(by), others.iter());
            prop_assert!(again.is_none_or(|again| back(&again) || again.cap <= by.cap));
        }
    }

    #[test]
    fn noise_is_borne(noise in prop::collection::vec(any::<u8>(), 0..1200), flip in 0usize..1000) {
        let _ = Packet::decode(&noise);
        let entries = vec![Entry { sequence: 3, time_to_live_ms: 900, kind: 1, body: Record::KeyServed { key: 9, build: 2 }.encode() }];
        let mut bytes = Packet { message: Message::Entries { origin: origin(4), range: Some((2, 5)), entries } }.encode();
        let at = flip % bytes.len();
        bytes[at] ^= 1 << (flip % 8);
        if let Ok(packet) = Packet::decode(&bytes) {
            let mut replica = Replica::new(s(0.0), terms("a", 1));
            replica.receive(s(0.1), "b", packet);
            replica.tick(s(0.2));
        }
    }

    /// Entries in any order, with whatever is lost: a copy says that it is whole only as far as it was told all.
    #[test]
    fn a_copy_is_whole_only_as_far_as_it_had_all(
        singles in prop::collection::vec(1u64..30, 0..40),
        ranges in prop::collection::vec((0u64..25, 1u64..12), 0..12),
    ) {
        let entry = |sequence: u64| Entry { sequence, time_to_live_ms: 60_000, kind: 1, body: vec![sequence as u8] };
        let (mut log, mut had) = (Log::default(), BTreeSet::new());
        for no in &singles {
            if log.insert(s(0.0), &entry(*no)) {
                prop_assert!(had.insert(*no), "{} is new twice", no);
            }
        }
        for (after, many) in ranges {
            let all: Vec<Entry> = (after + 1..=after + many).map(entry).collect();
            for one in log.insert_range(s(0.0), (after, after + many), &all) {
                prop_assert!(had.insert(one.sequence), "{} is new twice", one.sequence);
            }
            prop_assert!((1..=log.contiguous_through()).all(|no| had.contains(&no)), "{} of {:?}", log.contiguous_through(), had);
        }
        prop_assert_eq!(log.live_entries(), had.len());
    }
}

#[rstest]
#[case::a_number(Message::Entries { origin: origin(1), range: Some((0, MAX_SEQUENCE + 1)), entries: vec![] })]
#[case::a_range_that_ends_before_it_begins(Message::Entries { origin: origin(1), range: Some((5, 4)), entries: vec![] })]
#[case::outside_its_range(Message::Entries {
    origin: origin(1),
    range: Some((5, 6)),
    entries: vec![Entry { sequence: 7, time_to_live_ms: 1, kind: 1, body: vec![] }]
})]
#[case::a_long_body(Message::Entries {
    origin: origin(1),
    range: None,
    entries: vec![Entry { sequence: 7, time_to_live_ms: 1, kind: 1, body: vec![0; MAX_BODY_BYTES + 1] }]
})]
#[case::a_life(Message::Entries {
    origin: origin(1),
    range: None,
    entries: vec![Entry { sequence: 7, time_to_live_ms: u32::MAX, kind: 1, body: vec![] }]
})]
#[case::no_name(Message::DigestReply { request: 1, through: None, ahead: vec![], behind: vec![LogPosition { origin: Origin { name: String::new(), incarnation: 1 }, contiguous_through: 1 }], caught_up: true })]
#[case::many_rows(Message::DigestReply { request: 1, through: None, ahead: vec![], behind: vec![LogPosition { origin: origin(1), contiguous_through: 1 }; 9], caught_up: true })]
fn packets_beyond_their_bounds_are_refused(#[case] message: Message) {
    assert_eq!(
        Packet::decode(&Packet { message }.encode()),
        Err(PacketError::OutOfBounds)
    );
}

/// Whatever one is sent, it holds so much and no more.
#[test]
fn a_flood_is_bounded() {
    let mut replica = Replica::new(s(0.0), terms("a", 1));
    replica.set_peers(["b".to_owned()].into_iter());
    let mut no = 0;
    for _ in 0..6_000 {
        let entries: Vec<Entry> = (no + 1..=no + 10)
            .map(|no| Entry {
                sequence: no,
                time_to_live_ms: 80_000_000,
                kind: 1,
                body: vec![0; MAX_BODY_BYTES / 3],
            })
            .collect();
        let say = Message::Entries {
            origin: origin(4),
            range: Some((no, no + 10)),
            entries,
        };
        replica.receive(s(0.1), "b", Packet { message: say });
        no += 10;
        while replica.take_applied().is_some() {}
        while replica.take_packet().is_some() {}
    }
    let held: Vec<_> = replica
        .logs()
        .map(|(_, log)| {
            (
                log.live_entries(),
                log.evicted_entries(),
                log.contiguous_through(),
            )
        })
        .collect();
    assert_eq!(held, [(0, 0, 0), (MAX_LOG_ENTRIES, 10_000, 60_000)]);
    for n in 10..100u64 {
        let entries = vec![Entry {
            sequence: 1,
            time_to_live_ms: 80_000_000,
            kind: 1,
            body: vec![],
        }];
        replica.receive(
            s(0.2),
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

/// A word of a kind that this version does not know is kept, and passed on as it came.
#[test]
fn later_kinds_are_passed_on() {
    let (mut a, mut b) = (
        Replica::new(s(0.0), terms("a", 1)),
        Replica::new(s(0.0), terms("b", 1)),
    );
    a.set_peers(["c".to_owned()].into_iter());
    b.set_peers(["a".to_owned()].into_iter());
    let later = Entry {
        sequence: 1,
        time_to_live_ms: 9000,
        kind: 77,
        body: vec![1, 2, 3],
    };
    let of = Origin {
        name: "d".into(),
        incarnation: 4,
    };
    let say = Message::Entries {
        origin: of.clone(),
        range: None,
        entries: vec![later.clone()],
    };
    a.receive(s(0.0), "d", Packet { message: say });
    assert_eq!(
        a.take_applied()
            .map(|(_, entry)| Record::decode(entry.kind, &entry.body)),
        Some(None)
    );
    a.tick(s(0.0));
    while let Some((_, packet)) = a.take_packet() {
        b.receive(s(0.0), "a", Packet::decode(&packet.encode()).unwrap());
    }
    assert_eq!(b.take_applied(), Some((of, later)));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    None,
    /// A copy claims to be told all from the beginning on, whatever was lost before.
    ClaimsAll,
    /// Entries are taken again though they were had: the dead come back.
    TakesAgain,
    /// A restarted one goes on under its old start.
    SameStart,
}

#[derive(Clone)]
struct Three {
    now: Duration,
    nodes: Vec<(Replica, BTreeSet<(Origin, u64)>)>,
    /// On their way: from, to, packet.
    way: Vec<(usize, usize, Packet)>,
    put: BTreeMap<(Origin, u64), (Duration, u64)>,
    starts: u64,
    plant: Plant,
}

const NAMES: [&str; 3] = ["a", "b", "c"];
const LIFE: Duration = Duration::from_secs(3);

impl Three {
    fn new(plant: Plant) -> Self {
        let node = |name: &&str| (Self::replica(name, 1, s(0.0)), BTreeSet::new());
        let nodes = NAMES.iter().map(node).collect();
        Self {
            now: s(0.0),
            nodes,
            way: Vec::new(),
            put: BTreeMap::new(),
            starts: 1,
            plant,
        }
    }

    fn replica(name: &str, start: u64, now: Duration) -> Replica {
        let mut replica = Replica::new(now, terms(name, start));
        replica.set_peers(NAMES.iter().map(|name| (*name).to_owned()));
        replica
    }

    /// One of all that may happen next; what is broken after it.
    fn step(&mut self, chance: &mut WyRand) -> Option<String> {
        let node = chance.generate_range(0..3usize);
        match chance.generate_range(0..100u32) {
            0..30 => {
                self.now += s(0.05);
                self.nodes[node].0.tick(self.now);
            }
            30..40 if self.put.len() < 12 => {
                let fact = Record::KeyServed {
                    key: self.put.len() as u64,
                    build: 2,
                };
                let replica = &mut self.nodes[node].0;
                let no = replica.publish(self.now, &fact, LIFE);
                let word = (self.now, self.put.len() as u64);
                if let Some(old) = self.put.insert((replica.origin().clone(), no), word) {
                    return Some(format!(
                        "{no} of {:?} was put up twice: {old:?}",
                        replica.origin()
                    ));
                }
            }
            40..50 if !self.way.is_empty() => {
                let at = chance.generate_range(0..self.way.len());
                drop(self.way.swap_remove(at));
            }
            50..52 => self.now += s(1.0),
            52..54 => {
                self.starts += u64::from(self.plant != Plant::SameStart);
                self.nodes[node] = (
                    Self::replica(NAMES[node], self.starts, self.now),
                    BTreeSet::new(),
                );
            }
            _ if !self.way.is_empty() => {
                let at = chance.generate_range(0..self.way.len());
                let (from, to, mut packet) = self.way.swap_remove(at);
                // Now and then it stays on its way, to come again.
                if chance.generate_range(0..4u32) == 0 {
                    self.way.push((from, to, packet.clone()));
                }
                if let (
                    Plant::ClaimsAll,
                    Message::Entries {
                        range: Some((after, _)),
                        ..
                    },
                ) = (self.plant, &mut packet.message)
                {
                    *after = 0;
                }
                self.nodes[to].0.receive(self.now, NAMES[from], packet);
            }
            _ => {}
        }
        for (from, (replica, had)) in self.nodes.iter_mut().enumerate() {
            while let Some((to, packet)) = replica.take_packet() {
                let to = NAMES.iter().position(|name| **name == to)?;
                self.way.push((from, to, packet));
            }
            while let Some((origin, entry)) = replica.take_applied() {
                if !had.insert((origin.clone(), entry.sequence))
                    || (self.plant == Plant::TakesAgain && entry.sequence == 2)
                {
                    return Some(format!("{} of {origin:?} came back", entry.sequence));
                }
            }
        }
        self.way.truncate(30);
        self.broken()
    }

    /// A copy that says it is whole up to some number had all up to there, or they are over.
    fn broken(&self) -> Option<String> {
        for (number, (replica, had)) in self.nodes.iter().enumerate() {
            for (origin, log) in replica
                .logs()
                .filter(|(origin, _)| *origin != replica.origin())
            {
                for no in 1..=log.contiguous_through() {
                    let put = self.put.get(&(origin.clone(), no)).map(|(at, _)| *at);
                    let over = put.is_none_or(|put| self.now >= put + LIFE);
                    if !over && !had.contains(&(origin.clone(), no)) {
                        return Some(format!(
                            "{} says it is whole up to {} of {origin:?} and lacks {no}",
                            NAMES[number],
                            log.contiguous_through()
                        ));
                    }
                }
            }
        }
        None
    }
}

/// Drawn orders of ticks, puts, losses, repeats, restarts and time that passes; the first thing broken, and after how many steps.
fn explore(plant: Plant, runs: u64) -> Option<(String, u64, usize)> {
    (0..runs).find_map(|seed| {
        let (mut three, mut chance) = (Three::new(plant), WyRand::new_seed(seed));
        (0..300).find_map(|nth| three.step(&mut chance).map(|broken| (broken, seed, nth)))
    })
}

#[test]
fn a_catch_up_of_three_in_any_order() {
    let broken = explore(Plant::None, 1500);
    assert!(broken.is_none(), "{broken:?}");
}

#[rstest]
#[case::claims_all(Plant::ClaimsAll)]
#[case::takes_again(Plant::TakesAgain)]
#[case::same_start(Plant::SameStart)]
fn planted_faults_are_found(#[case] plant: Plant) {
    let found = explore(plant, 1500).expect("none of 1500 orders shows it");
    println!("{plant:?}: {found:?}");
}
