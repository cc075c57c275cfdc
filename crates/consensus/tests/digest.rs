//! Pins the decisions of the consensus core. The digest is one hash over all outputs of voters and
//! learners (datagrams, log records, committed commands, snapshots, deadlines) under twenty fixed
//! seeds of faults. It covers only encoded bytes and numbers, so renaming does not change it.

#[allow(dead_code, reason = "the other tests use the rest of the helpers")]
mod helpers;

use helpers::cluster::{Cluster, CrashAt};
use helpers::digest::OutputDigest;
use helpers::faults::random_faults;
use helpers::node::InjectedBug;
use helpers::seconds;
use limewing_fault_injection::{Fault, Script};
use limewing_test_support::digest::Digest;

const SEEDS: u64 = 20;
const SCRIPT_SECONDS: f64 = 25.0;
const LEARNERS: usize = 2;

/// Votes to grant (true) or remove, in this order, in a group whose membership changes.
const MEMBERSHIP_CHANGES: [(&str, bool); 4] =
    [("s3", true), ("s4", true), ("s0", false), ("s1", false)];

/// Runs a group with fixed membership. For every other seed, one voter crashes at one of its first
/// writes.
fn run_fixed_group(seed: u64, voters: usize, digest: Digest) -> Cluster {
    let script = random_faults(seed, voters, SCRIPT_SECONDS);
    let mut cluster = Cluster::new(&script, voters, LEARNERS, seed, InjectedBug::None);
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

/// Runs three voters that grow to five and are replaced by another three, under faults.
fn run_changing_group(seed: u64, digest: Digest) -> Cluster {
    let mut script: Script = random_faults(seed, 5, SCRIPT_SECONDS);
    // The faults for five voters lose disks at a rate that three voters cannot tolerate.
    script
        .steps
        .retain(|step| !matches!(step.fault, Fault::LoseDisk(_)));
    let mut cluster = Cluster::growing(&script, (3, 5), LEARNERS, seed, InjectedBug::None);
    cluster.digest = OutputDigest::resume(digest);
    let mut at = seconds(3.0);
    while at < script.duration() {
        cluster.run_to(at);
        at += seconds(0.3);
        request_next_membership_change(&mut cluster);
    }
    cluster.run_to(script.duration());
    cluster
}

fn request_next_membership_change(cluster: &mut Cluster) {
    let leader = cluster.leader().and_then(|number| cluster.voter(number));
    let Some(leader) = leader.filter(|leader| leader.pending_voter().is_none()) else {
        return;
    };
    let has_vote = |name: &str| leader.members().iter().any(|id| id.name == name);
    let next = MEMBERSHIP_CHANGES
        .iter()
        .find(|(name, has_wanted_vote)| has_vote(name) != *has_wanted_vote);
    if let Some((name, has_wanted_vote)) = next {
        // A rejected change is requested again later; the digest includes the rejection.
        let _ = cluster.set_vote(name, *has_wanted_vote);
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
        let convergence_time = cluster.time_to_converge(seconds(20.0));
        assert!(
            cluster.checker.violations.is_empty(),
            "seed {seed}: {:?}",
            cluster.checker.violations
        );
        assert!(
            convergence_time.is_some(),
            "seed {seed}: not converged after the last fault"
        );
        digest = cluster
            .digest
            .digest()
            .expect("the digest is set at the start");
    }
    println!("digest consensus {:016x}", digest.value());
}
