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
        start: n / 3,
    }
}

fn a_fact() -> impl Strategy<Value = Fact> {
    let phases = [
        Phase::OnTrial,
        Phase::Released,
        Phase::GoingBack,
        Phase::Withdrawn,
    ];
    let stage = (0u64..6, 1u16..4, 0u8..3, 0usize..4, 0u8..=10).prop_map(
        move |(number, build, stage, phase, cap)| {
            Fact::Stage(Stage {
                number,
                build,
                stage,
                phase: phases[phase],
                cap: f64::from(cap) / 10.0,
            })
        },
    );
    prop_oneof![
        (0u64..4, 1u16..5).prop_map(|(key, build)| Fact::Met { key, build }),
        (0u64..3, any::<bool>()).prop_map(|(tag, ran)| Fact::Hit {
            tag,
            mark: if ran {
                Mark::MayHaveRun
            } else {
                Mark::NeverRan
            }
        }),
        stage,
    ]
}

/// Facts as origins may have put them up: an origin and number say one thing.
fn some_facts() -> impl Strategy<Value = Vec<(Origin, u64, Duration, Fact)>> {
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

fn taken<'a>(facts: impl IntoIterator<Item = &'a (Origin, u64, Duration, Fact)>) -> Facts {
    let mut held = Facts::default();
    for (origin, no, until, fact) in facts {
        held.take(origin, *no, *until, fact);
    }
    held
}

/// What a sidecar goes by, of it: keys' builds, hits that may have run.
fn answers(held: &Facts, now: Duration) -> (Vec<Option<u16>>, Vec<bool>) {
    (
        (0..4).map(|key| held.met(now, key)).collect(),
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
        let other = Origin { name: "other".into(), start: 1 };
        held.take(&other, 1, s(30.0), &more);
        let after = answers(&held, now);
        prop_assert!(before.0.iter().zip(&after.0).all(|(before, after)| before <= after));
        prop_assert!(before.1.iter().zip(&after.1).all(|(before, after)| before <= after));
    }

    /// Whatever others say, what a sidecar goes by never opens more than what it was told.
    #[test]
    fn a_stage_of_others_only_closes(told in a_fact(), facts in prop::collection::vec(a_fact(), 0..12), seed: u64) {
        let stage = |fact: &Fact| match fact { Fact::Stage(stage) => Some(*stage), _ => None };
        let (told, mut others) = (stage(&told), facts.iter().filter_map(stage).collect::<Vec<_>>());
        let by = stage_to_go_by(told, others.iter());
        let back = |s: &Stage| matches!(s.phase, Phase::GoingBack | Phase::Withdrawn);
        match (told, by) {
            (Some(told), Some(by)) => {
                prop_assert!(by.build == told.build);
                prop_assert!(back(&by) || (by.phase == told.phase && by.cap <= told.cap), "{:?} from {:?}", by, told);
            }
            (None, Some(by)) => prop_assert!(back(&by)),
            (_, None) => {}
        }
        // A new life goes by no more than by a build that nobody announced.
        let again = told.and_then(|told| known_again(told, 0.14));
        prop_assert!(again.is_none_or(|again| back(&again) || (again.stage == 0 && again.cap <= 0.14)));
        let mut shuffled = others.clone();
        WyRand::new_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(by, stage_to_go_by(told, shuffled.iter()), "in another order");
        // Said again it changes nothing more.
        if let Some(by) = by {
            WyRand::new_seed(seed).shuffle(&mut others);
            let again = stage_to_go_by(Some(by), others.iter());
            prop_assert!(again.is_none_or(|again| back(&again) || again.cap <= by.cap));
        }
    }

    #[test]
    fn noise_is_borne(noise in prop::collection::vec(any::<u8>(), 0..1200), flip in 0usize..1000) {
        let _ = Packet::read(&noise);
        let entries = vec![Entry { no: 3, left: 900, kind: 1, body: Fact::Met { key: 9, build: 2 }.write() }];
        let mut bytes = Packet { say: Say::Entries { origin: origin(4), all: Some((2, 5)), entries } }.write();
        let at = flip % bytes.len();
        bytes[at] ^= 1 << (flip % 8);
        if let Ok(packet) = Packet::read(&bytes) {
            let mut replica = Replica::new(s(0.0), terms("a", 1));
            replica.hear(s(0.1), "b", packet);
            replica.tick(s(0.2));
        }
    }

    /// Entries in any order, with whatever is lost: a copy says that it is whole only as far as it was told all.
    #[test]
    fn a_copy_is_whole_only_as_far_as_it_had_all(
        singles in prop::collection::vec(1u64..30, 0..40),
        ranges in prop::collection::vec((0u64..25, 1u64..12), 0..12),
    ) {
        let entry = |no: u64| Entry { no, left: 60_000, kind: 1, body: vec![no as u8] };
        let (mut log, mut had) = (Log::default(), BTreeSet::new());
        for no in &singles {
            if log.take(s(0.0), &entry(*no)) {
                prop_assert!(had.insert(*no), "{} is new twice", no);
            }
        }
        for (after, many) in ranges {
            let all: Vec<Entry> = (after + 1..=after + many).map(entry).collect();
            for one in log.take_all(s(0.0), (after, after + many), &all) {
                prop_assert!(had.insert(one.no), "{} is new twice", one.no);
            }
            prop_assert!((1..=log.upto()).all(|no| had.contains(&no)), "{} of {:?}", log.upto(), had);
        }
        prop_assert_eq!(log.live(), had.len());
    }
}

#[rstest]
#[case::a_number(Say::Entries { origin: origin(1), all: Some((0, MOST_NO + 1)), entries: vec![] })]
#[case::a_range_that_ends_before_it_begins(Say::Entries { origin: origin(1), all: Some((5, 4)), entries: vec![] })]
#[case::outside_its_range(Say::Entries {
    origin: origin(1),
    all: Some((5, 6)),
    entries: vec![Entry { no: 7, left: 1, kind: 1, body: vec![] }]
})]
#[case::a_long_body(Say::Entries {
    origin: origin(1),
    all: None,
    entries: vec![Entry { no: 7, left: 1, kind: 1, body: vec![0; MOST_BODY + 1] }]
})]
#[case::a_life(Say::Entries {
    origin: origin(1),
    all: None,
    entries: vec![Entry { no: 7, left: u32::MAX, kind: 1, body: vec![] }]
})]
#[case::no_name(Say::Lack { no: 1, to: None, ahead: vec![], rows: vec![Row { origin: Origin { name: String::new(), start: 1 }, upto: 1 }], knows: true })]
#[case::many_rows(Say::Lack { no: 1, to: None, ahead: vec![], rows: vec![Row { origin: origin(1), upto: 1 }; 9], knows: true })]
fn packets_beyond_their_bounds_are_refused(#[case] say: Say) {
    assert_eq!(
        Packet::read(&Packet { say }.write()),
        Err(Unreadable::Bounds)
    );
}

/// Whatever one is sent, it holds so much and no more.
#[test]
fn a_flood_is_bounded() {
    let mut replica = Replica::new(s(0.0), terms("a", 1));
    replica.others(["b".to_owned()].into_iter());
    let mut no = 0;
    for _ in 0..6_000 {
        let entries: Vec<Entry> = (no + 1..=no + 10)
            .map(|no| Entry {
                no,
                left: 80_000_000,
                kind: 1,
                body: vec![0; MOST_BODY / 3],
            })
            .collect();
        let say = Say::Entries {
            origin: origin(4),
            all: Some((no, no + 10)),
            entries,
        };
        replica.hear(s(0.1), "b", Packet { say });
        no += 10;
        while replica.learned().is_some() {}
        while replica.take().is_some() {}
    }
    let held: Vec<_> = replica
        .logs()
        .map(|(_, log)| (log.live(), log.given_up(), log.upto()))
        .collect();
    assert_eq!(held, [(0, 0, 0), (MOST_ENTRIES, 10_000, 60_000)]);
    for n in 10..100u64 {
        let entries = vec![Entry {
            no: 1,
            left: 80_000_000,
            kind: 1,
            body: vec![],
        }];
        replica.hear(
            s(0.2),
            "b",
            Packet {
                say: Say::Entries {
                    origin: origin(n),
                    all: None,
                    entries,
                },
            },
        );
    }
    let live: usize = replica.logs().map(|(_, log)| log.live()).sum();
    assert!(live <= MOST_OF_ALL);
}

/// A word of a kind that this version does not know is kept, and passed on as it came.
#[test]
fn later_kinds_are_passed_on() {
    let (mut a, mut b) = (
        Replica::new(s(0.0), terms("a", 1)),
        Replica::new(s(0.0), terms("b", 1)),
    );
    a.others(["c".to_owned()].into_iter());
    b.others(["a".to_owned()].into_iter());
    let later = Entry {
        no: 1,
        left: 9000,
        kind: 77,
        body: vec![1, 2, 3],
    };
    let of = Origin {
        name: "d".into(),
        start: 4,
    };
    let say = Say::Entries {
        origin: of.clone(),
        all: None,
        entries: vec![later.clone()],
    };
    a.hear(s(0.0), "d", Packet { say });
    assert_eq!(
        a.learned()
            .map(|(_, entry)| Fact::read(entry.kind, &entry.body)),
        Some(None)
    );
    a.tick(s(0.0));
    while let Some((_, packet)) = a.take() {
        b.hear(s(0.0), "a", Packet::read(&packet.write()).unwrap());
    }
    assert_eq!(b.learned(), Some((of, later)));
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
        replica.others(NAMES.iter().map(|name| (*name).to_owned()));
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
                let fact = Fact::Met {
                    key: self.put.len() as u64,
                    build: 2,
                };
                let replica = &mut self.nodes[node].0;
                let no = replica.put(self.now, &fact, LIFE);
                let word = (self.now, self.put.len() as u64);
                if let Some(old) = self.put.insert((replica.me().clone(), no), word) {
                    return Some(format!(
                        "{no} of {:?} was put up twice: {old:?}",
                        replica.me()
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
                    Say::Entries {
                        all: Some((after, _)),
                        ..
                    },
                ) = (self.plant, &mut packet.say)
                {
                    *after = 0;
                }
                self.nodes[to].0.hear(self.now, NAMES[from], packet);
            }
            _ => {}
        }
        for (from, (replica, had)) in self.nodes.iter_mut().enumerate() {
            while let Some((to, packet)) = replica.take() {
                let to = NAMES.iter().position(|name| **name == to)?;
                self.way.push((from, to, packet));
            }
            while let Some((origin, entry)) = replica.learned() {
                if !had.insert((origin.clone(), entry.no))
                    || (self.plant == Plant::TakesAgain && entry.no == 2)
                {
                    return Some(format!("{} of {origin:?} came back", entry.no));
                }
            }
        }
        self.way.truncate(30);
        self.broken()
    }

    /// A copy that says it is whole up to some number had all up to there, or they are over.
    fn broken(&self) -> Option<String> {
        for (number, (replica, had)) in self.nodes.iter().enumerate() {
            for (origin, log) in replica.logs().filter(|(origin, _)| *origin != replica.me()) {
                for no in 1..=log.upto() {
                    let put = self.put.get(&(origin.clone(), no)).map(|(at, _)| *at);
                    let over = put.is_none_or(|put| self.now >= put + LIFE);
                    if !over && !had.contains(&(origin.clone(), no)) {
                        return Some(format!(
                            "{} says it is whole up to {} of {origin:?} and lacks {no}",
                            NAMES[number],
                            log.upto()
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
