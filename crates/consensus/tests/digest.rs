//! Pins the decisions of the consensus core: everything that voters and learners put out over
//! twenty fixed seeds of faults (datagrams, log records, committed commands, snapshots, deadlines)
//! as one hash. It hashes encoded bytes and numbers only, so names may change and the hash stays.

// The other tests use the rest of the helpers.
#[allow(dead_code)]
mod helpers;

use helpers::{drawn, s, Plant, World};
use limewing_fault_injection::{Fault, Script};

const SEEDS: u64 = 20;
const SECONDS: f64 = 25.0;
const LEARNERS: usize = 2;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Votes that are given (true) or taken, in this order, where a group changes its members.
const MEMBER_CHANGES: [(&str, bool); 4] =
    [("s3", true), ("s4", true), ("s0", false), ("s1", false)];

/// Runs a group of fixed members; every other one crashes at one of its first writes.
fn run_fixed_group(seed: u64, voters: usize, digest: u64) -> World {
    let script = drawn(seed, voters, SECONDS);
    let mut world = World::new(&script, voters, LEARNERS, seed, Plant::None);
    world.digest = Some(digest);
    if seed.is_multiple_of(2) {
        world.crash_at = Some((seed as usize % voters, 10 + seed, seed.is_multiple_of(4)));
    }
    world.run_to(script.length());
    world
}

/// Runs three voters that become five, and then another three, under faults.
fn run_changing_group(seed: u64, digest: u64) -> World {
    let mut script: Script = drawn(seed, 5, SECONDS);
    // Five voters may lose disks at a rate that three can't bear.
    script
        .steps
        .retain(|step| !matches!(step.does, Fault::LoseDisk(_)));
    let mut world = World::growing(&script, (3, 5), LEARNERS, seed, Plant::None);
    world.digest = Some(digest);
    let mut at = s(3.0);
    while at < script.length() {
        world.run_to(at);
        at += s(0.3);
        ask_for_next_member_change(&mut world);
    }
    world.run_to(script.length());
    world
}

fn ask_for_next_member_change(world: &mut World) {
    let leader = world.leader().and_then(|number| world.core(number));
    let Some(core) = leader.filter(|core| core.pending_voter().is_none()) else {
        return;
    };
    let has_vote = |name: &str| core.members().iter().any(|id| id.name == name);
    let next = MEMBER_CHANGES
        .iter()
        .find(|(name, wanted)| has_vote(name) != *wanted);
    if let Some((name, wanted)) = next {
        // One that is refused is asked for again later; the digest has the refusal.
        let _ = world.vote(name, *wanted);
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn consensus_digest() {
    let mut digest = FNV_OFFSET_BASIS;
    for seed in 0..SEEDS {
        let mut world = match seed % 4 {
            0 | 1 => run_fixed_group(seed, 3, digest),
            2 => run_fixed_group(seed, 5, digest),
            _ => run_changing_group(seed, digest),
        };
        let agreed = world.agrees(s(20.0));
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        assert!(
            agreed.is_some(),
            "seed {seed}: no agreement after the last fault"
        );
        digest = world.digest.expect("it was set at the start");
    }
    println!("digest consensus {digest:016x}");
}
