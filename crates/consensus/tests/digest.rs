//! Pins the decisions of the consensus core: everything that voters and learners put out over
//! twenty fixed seeds of faults (datagrams, log records, committed commands, snapshots, deadlines)
//! as one hash. It hashes encoded bytes and numbers only, so names may change and the hash stays.

#[allow(dead_code, reason = "the other tests use the rest of the helpers")]
mod helpers;

use helpers::cluster::{Cluster, CrashAt};
use helpers::digest::OutputDigest;
use helpers::faults::random_faults;
use helpers::node::PlantedFault;
use helpers::seconds;
use limewing_fault_injection::{Fault, Script};
use limewing_test_support::digest::Digest;

const SEEDS: u64 = 20;
const SECONDS: f64 = 25.0;
const LEARNERS: usize = 2;

/// Votes that are given (true) or taken, in this order, where a group changes its members.
const MEMBER_CHANGES: [(&str, bool); 4] =
    [("s3", true), ("s4", true), ("s0", false), ("s1", false)];

/// Runs a group of fixed members; every other one crashes at one of its first writes.
fn run_fixed_group(seed: u64, voters: usize, digest: Digest) -> Cluster {
    let script = random_faults(seed, voters, SECONDS);
    let mut cluster = Cluster::new(&script, voters, LEARNERS, seed, PlantedFault::None);
    cluster.digest = OutputDigest::resume(digest);
    if seed.is_multiple_of(2) {
        cluster.crash_at = Some(CrashAt {
            node: seed as usize % voters,
            write: 10 + seed,
            durable: seed.is_multiple_of(4),
        });
    }
    cluster.run_to(script.duration());
    cluster
}

/// Runs three voters that become five, and then another three, under faults.
fn run_changing_group(seed: u64, digest: Digest) -> Cluster {
    let mut script: Script = random_faults(seed, 5, SECONDS);
    // Five voters may lose disks at a rate that three can't bear.
    script
        .steps
        .retain(|step| !matches!(step.fault, Fault::LoseDisk(_)));
    let mut cluster = Cluster::growing(&script, (3, 5), LEARNERS, seed, PlantedFault::None);
    cluster.digest = OutputDigest::resume(digest);
    let mut at = seconds(3.0);
    while at < script.duration() {
        cluster.run_to(at);
        at += seconds(0.3);
        ask_for_next_member_change(&mut cluster);
    }
    cluster.run_to(script.duration());
    cluster
}

fn ask_for_next_member_change(cluster: &mut Cluster) {
    let leader = cluster.leader().and_then(|number| cluster.voter(number));
    let Some(core) = leader.filter(|core| core.pending_voter().is_none()) else {
        return;
    };
    let has_vote = |name: &str| core.members().iter().any(|id| id.name == name);
    let next = MEMBER_CHANGES
        .iter()
        .find(|(name, wanted)| has_vote(name) != *wanted);
    if let Some((name, wanted)) = next {
        // One that is refused is asked for again later; the digest has the refusal.
        let _ = cluster.set_vote(name, *wanted);
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn consensus_digest() {
    let mut digest = Digest::new();
    for seed in 0..SEEDS {
        let mut cluster = match seed % 4 {
            0 | 1 => run_fixed_group(seed, 3, digest),
            2 => run_fixed_group(seed, 5, digest),
            _ => run_changing_group(seed, digest),
        };
        let agreed = cluster.time_to_converge(seconds(20.0));
        assert!(
            cluster.checker.violations.is_empty(),
            "seed {seed}: {:?}",
            cluster.checker.violations
        );
        assert!(
            agreed.is_some(),
            "seed {seed}: no agreement after the last fault"
        );
        digest = cluster.digest.digest().expect("it was set at the start");
    }
    println!("digest consensus {:016x}", digest.value());
}
