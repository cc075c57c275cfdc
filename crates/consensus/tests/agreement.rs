//! Agreement under faults, in simulated time: one leader a term, one word at a place, nothing settled is lost, and all go on
//! once the faults are over. Planted faults are found and cut down.

mod helpers;

use helpers::{drawn, s, script, smallest, Plant, World, BEAT, PATIENCE};
use limewing_consensus::{
    Configuration, LogPosition, Message, NodeId, Packet, ProposeError, RaftConfig, RaftNode,
    Record, Role,
};
use limewing_fault_injection::{Fault, Script, Step, Who};
use rstest::rstest;
use std::time::Duration;

fn plays(script: &Script, voters: usize, seed: u64, plant: Plant) -> World {
    let mut world = World::new(script, voters, 0, seed, plant);
    world.run_to(script.length());
    world
}

/// Drawn faults over voters of each number; after the last one all agree and go on.
#[rstest]
#[case::three(3, 60)]
#[case::five(5, 40)]
#[case::seven(7, 20)]
fn drawn_faults_break_nothing(#[case] voters: usize, #[case] seeds: u64) {
    let (mut events, mut settled, mut worst) = (0, 0, Duration::ZERO);
    for seed in 0..seeds {
        let script = drawn(seed, voters, 40.0);
        let mut world = plays(&script, voters, seed, Plant::None);
        let took = world.agrees(s(20.0));
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        assert!(
            took.is_some(),
            "seed {seed}: no agreement 20 s after the last fault"
        );
        (events, settled) = (events + world.events, settled + world.settled());
        worst = worst.max(took.unwrap_or_default());
    }
    println!("{voters} voters: {seeds} scripts, {events} events, {settled} words, agree within {worst:?}");
}

/// A crash at each write of one voter, before it is there, torn, or after.
#[rstest]
#[case::before(false)]
#[case::after(true)]
fn a_crash_at_any_write_breaks_nothing(#[case] after: bool) {
    for nth in 1..120 {
        for node in 0..3 {
            let mut world = World::new(&script(8.0, 0.02, vec![]), 3, 0, nth, Plant::None);
            world.crash_at = Some((node, nth, after));
            world.run_to(s(6.0));
            assert!(
                world.broken.is_empty(),
                "{nth} of s{node}: {:?}",
                world.broken
            );
            assert!(world.agrees(s(10.0)).is_some(), "{nth} of s{node}");
        }
    }
}

#[rstest]
#[case::says_too_early(Plant::SaysTooEarly)]
#[case::same_life(Plant::SameLife)]
fn planted_faults_are_found(#[case] plant: Plant) {
    let shows = |script: &Script, seed: u64| !plays(script, 3, seed, plant).broken.is_empty();
    let found = (0..400)
        .map(|seed| (seed, drawn(seed, 3, 40.0)))
        .find(|(seed, script)| shows(script, *seed));
    let (seed, found) = found.expect("no script of 400 shows it");
    let least = smallest(&found, |script| shows(script, seed));
    println!(
        "{plant:?}: seed {seed}, {} steps, cut down to {:?}",
        found.steps.len(),
        least.steps
    );
    assert!(shows(&least, seed) && least.steps.len() < found.steps.len());
    assert!(plays(&least, 3, seed, Plant::None).broken.is_empty());
}

fn step(at: f64, does: Fault) -> Step {
    Step { at, does }
}

/// How long nobody leads after the leader dies, over a hundred deaths.
#[test]
fn another_leads_soon_after_a_death() {
    let mut took = Vec::new();
    for seed in 0..100 {
        let mut world = World::new(&script(60.0, 0.0, vec![]), 5, 0, seed, Plant::None);
        world.run_to(s(3.0));
        let leader = world.leader().expect("one leads by now");
        world.kill(leader);
        let (from, had) = (world.now, world.elected.len());
        while world.elected.len() == had {
            assert!(world.now < from + s(5.0), "seed {seed}: nobody leads");
            world.run_to(world.now + s(0.01));
        }
        took.push(world.now - from);
    }
    took.sort();
    println!(
        "after a leader's death another leads in {:?} (median), {:?} (worst of 100)",
        took[50], took[99]
    );
    assert!(
        took[50] < PATIENCE * 2 && took[99] < s(2.0),
        "{:?}",
        took[99]
    );
}

/// One that lost its disk gets no vote back before it has caught up, and then takes its old life's place.
#[test]
fn a_lost_disk_is_a_new_member() {
    let one = || Who::Numbers(vec![1]);
    let steps = vec![
        step(4.0, Fault::Kill(one())),
        step(4.0, Fault::LoseDisk(one())),
        step(4.5, Fault::Start(one())),
    ];
    let mut world = World::new(&script(60.0, 0.01, steps), 3, 0, 3, Plant::None);
    world.run_to(s(3.9));
    let old = world.core(1).map(|core| core.id().clone()).unwrap();
    world.run_to(s(4.6));
    let new = world.core(1).map(|core| core.id().clone()).unwrap();
    assert!(old.name == new.name && old.incarnation != new.incarnation);
    let members = |world: &World| {
        world
            .leader()
            .and_then(|n| world.core(n))
            .map(|core| core.members().clone())
    };
    assert!(
        members(&world).is_some_and(|members| members.contains(&old) && !members.contains(&new))
    );
    world.run_to(s(15.0));
    let now = members(&world).expect("one leads");
    assert!(
        now.contains(&new) && !now.contains(&old) && now.len() == 3,
        "{now:?}"
    );
    assert!(world.broken.is_empty() && world.agrees(s(2.0)).is_some());
}

/// Where a majority has lost its disks nobody makes a second group or goes on: that is for an operator.
#[test]
fn a_lost_majority_goes_on_by_nobody() {
    let two = || Who::Numbers(vec![0, 1]);
    let steps = vec![
        step(4.0, Fault::Kill(two())),
        step(4.0, Fault::LoseDisk(two())),
        step(4.5, Fault::Start(two())),
    ];
    let mut world = World::new(&script(60.0, 0.0, steps), 3, 0, 3, Plant::None);
    world.run_to(s(30.0));
    let group = world.core(2).map(|core| core.group());
    assert_eq!(world.leader(), None);
    assert!((0..2).all(|n| world
        .core(n)
        .is_some_and(|core| Some(core.group()) == group)));
    assert!(world.broken.is_empty() && world.agrees(s(5.0)).is_none());
}

/// A leader that is cut off with a minority leads no more, and settles nothing meanwhile.
#[test]
fn a_leader_without_a_majority_steps_down() {
    let mut world = World::new(&script(60.0, 0.0, vec![]), 5, 0, 9, Plant::None);
    world.run_to(s(3.0));
    let old = world.leader().unwrap();
    let cut = Fault::Cut {
        from: Who::Numbers(vec![old]),
        to: Who::All,
        one_way: false,
    };
    let mut world = World::new(
        &script(60.0, 0.0, vec![step(3.0, cut), step(8.0, Fault::Mend)]),
        5,
        0,
        9,
        Plant::None,
    );
    world.run_to(s(3.0) + PATIENCE * 3);
    assert!(world
        .core(old)
        .is_some_and(|core| core.role() != Role::Leader));
    world.run_to(s(7.9));
    let (term, settled) = (
        world.core(old).map(|core| core.term()),
        world.core(old).map(|core| core.commit_index()),
    );
    let leader = world.leader().expect("the others have a leader");
    assert!(leader != old && world.core(leader).map(|core| core.commit_index()) > settled);
    // It comes back without troubling the leader: its term has not gone up.
    let before = world.core(leader).map(|core| core.term());
    assert!(term < before);
    world.run_to(s(10.0));
    assert_eq!(
        (world.leader(), world.core(leader).map(|core| core.term())),
        (Some(leader), before)
    );
    assert!(world.broken.is_empty() && world.agrees(s(1.0)).is_some());
}

/// Three hundred that only follow learn all, through kills and starts of voters and their own.
#[test]
fn hundreds_follow() {
    let steps = vec![
        step(3.0, Fault::Kill(Who::Numbers(vec![0]))),
        step(4.0, Fault::Kill(Who::Part(0.5, 0.7))),
        step(5.0, Fault::Start(Who::Part(0.5, 0.7))),
        step(6.0, Fault::Start(Who::Numbers(vec![0]))),
    ];
    let mut world = World::new(&script(60.0, 0.05, steps), 5, 300, 4, Plant::None);
    world.run_to(s(7.0));
    let took = world.agrees(s(5.0));
    println!(
        "305 agree {took:?} after the last fault, {} words settled",
        world.settled()
    );
    assert!(
        world.broken.is_empty() && took.is_some(),
        "{:?}",
        world.broken
    );
}

/// Members are changed one at a time, and only by a leader that has settled something.
#[test]
fn members_are_changed_one_at_a_time() {
    let mut world = World::new(&script(60.0, 0.0, vec![]), 5, 0, 1, Plant::None);
    world.run_to(s(3.0));
    let leader = world.leader().unwrap();
    let members = world.core(leader).unwrap().members().clone();
    let without = |many: usize| {
        members
            .iter()
            .filter(|id| id.name != format!("s{leader}"))
            .skip(many)
            .cloned()
    };
    let me = world.core(leader).unwrap().id().clone();
    let less = |many: usize| {
        without(many)
            .chain([me.clone()])
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(
        world.change(leader, less(2)),
        Err(ProposeError::InvalidMembers)
    );
    assert!(world.change(leader, less(1)).is_ok());
    assert_eq!(
        world.change(leader, less(2)),
        Err(ProposeError::ChangeInProgress)
    );
    world.run_to(s(4.0));
    assert!(world.change(leader, less(2)).is_ok());
    world.run_to(s(5.0));
    assert_eq!(world.core(leader).unwrap().members().len(), 3);
    // A leader whose vote is taken leads until that is settled, and then another does.
    let others: std::collections::BTreeSet<_> =
        less(2).into_iter().filter(|id| *id != me).collect();
    assert!(world.change(leader, others).is_ok());
    world.run_to(s(8.0));
    assert!(world.leader().is_some_and(|now| now != leader) && world.broken.is_empty());
}

/// Three become five and then others three, under drawn faults, one vote at a time; whoever asks for it asks again until it shows.
#[test]
fn a_group_grows_and_moves_on_under_faults() {
    let mut worst = Duration::ZERO;
    for seed in 0..30 {
        let mut script = drawn(seed, 5, 60.0);
        // Disks of five may get lost at a rate that three do not bear.
        script
            .steps
            .retain(|step| !matches!(step.does, Fault::LoseDisk(_)));
        let mut world = World::growing(&script, (3, 5), 2, seed, Plant::None);
        let wanted = [("s3", true), ("s4", true), ("s0", false), ("s1", false)];
        let mut at = 4.0;
        while at < 58.0 {
            world.run_to(s(at));
            at += 0.3;
            let Some(core) = world.leader().and_then(|n| world.core(n)) else {
                continue;
            };
            let has = |name: &str| core.members().iter().any(|id| id.name == name);
            let next = wanted.iter().find(|(name, want)| has(name) != *want);
            let Some((name, want)) = next.filter(|_| core.pending_voter().is_none()) else {
                continue;
            };
            // Not now: at the next turn.
            let _ = world.vote(name, *want);
        }
        world.run_to(script.length());
        let from = world.now;
        loop {
            let leader = world.leader();
            let names = |n| {
                world
                    .core(n)
                    .map(|c| c.members().iter().map(|id| id.name.clone()).collect())
            };
            let members: Vec<String> = leader.and_then(names).unwrap_or_default();
            if members == ["s2", "s3", "s4"] {
                break;
            }
            assert!(
                world.now < from + s(30.0) && world.broken.is_empty(),
                "seed {seed}: {members:?} {:?}",
                world.broken
            );
            if world
                .core(leader.unwrap_or(0))
                .is_some_and(|core| core.pending_voter().is_none())
            {
                let next = wanted
                    .iter()
                    .find(|(name, want)| members.iter().any(|n| n == name) != *want);
                next.map(|(name, want)| world.vote(name, *want));
            }
            let on = world.now + s(0.3);
            world.run_to(on);
        }
        // Those that follow find the new ones, though their settings name others.
        let took = world.agrees(s(20.0));
        assert!(
            took.is_some() && world.broken.is_empty(),
            "seed {seed}: {:?}",
            world.broken
        );
        worst = worst.max(took.unwrap_or_default());
    }
    println!("three became five and then another three, 30 scripts; agree within {worst:?}");
}

/// A vote that was given stands over a start; if the disk forgets it, two may lead one term.
#[rstest]
#[case::kept(true)]
#[case::forgotten(false)]
fn a_vote_outlives_a_start(#[case] kept: bool) {
    let id = |n: u64| NodeId {
        name: format!("s{n}"),
        incarnation: n + 1,
    };
    let first = Configuration {
        voters: (0..3).map(id).collect(),
        pending_voter: None,
    };
    let mut records = vec![
        Record::Identity(id(1)),
        Record::Group {
            group: 9,
            initial: first,
        },
    ];
    let terms = || RaftConfig {
        voters: (0..3).map(|n| id(n).name).collect(),
        heartbeat_interval: BEAT,
        election_timeout: PATIENCE,
        seed: 1,
    };
    let asks = |from: u64| {
        let say = Message::VoteRequest {
            last: LogPosition::default(),
            pre_vote: false,
        };
        Packet {
            group: 9,
            from: id(from),
            to_incarnation: 2,
            term: 5,
            message: say,
        }
    };
    let answers = |voter: &mut RaftNode, from: u64| {
        voter.receive(s(1.0), asks(from));
        // Nothing leaves before it is on disk.
        let write = voter.next_write_batch();
        assert!(write.is_none() || voter.take_packet().is_none());
        write
            .iter()
            .for_each(|write| voter.persisted(s(1.0), write.number));
        let said = voter.take_packet().map(|(_, packet)| packet.message);
        (
            write.map(|write| write.records).unwrap_or_default(),
            said == Some(Message::VoteResponse {
                granted: true,
                pre_vote: false,
            }),
        )
    };
    let mut voter = RaftNode::new(s(1.0), "s1", 0, &records, terms());
    let (more, yes) = answers(&mut voter, 0);
    assert!(yes);
    records.extend(more);
    if !kept {
        records.retain(|record| !matches!(record, Record::Term { .. }));
    }
    let mut again = RaftNode::new(s(1.0), "s1", 0, &records, terms());
    assert!(answers(&mut again, 2).1 != kept);
    assert!(
        answers(&mut again, if kept { 0 } else { 2 }).1,
        "to the same it says so again"
    );
}
