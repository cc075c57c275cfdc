//! A simulated cluster under faults: one leader a term, one command at a position, nothing committed is lost, and all nodes
//! converge once the faults are over. Faults that are planted in the hosts are found, and their scripts cut down.

mod helpers;

use helpers::cluster::{Cluster, CrashAt};
use helpers::faults::{minimize, random_faults, script};
use helpers::node::PlantedFault;
use helpers::{seconds, ELECTION_TIMEOUT};
use limewing_consensus::{Members, NodeId, ProposeError, RaftNode, Role};
use limewing_fault_injection::{Fault, Script, ScriptStep, Selector};
use rstest::rstest;
use std::time::Duration;

/// Votes that are given (true) or taken, in this order, where three voters are replaced by another three.
const REPLACE_MEMBERS: [(&str, bool); 4] =
    [("s3", true), ("s4", true), ("s0", false), ("s1", false)];
const REPLACED_MEMBERS: [&str; 3] = ["s2", "s3", "s4"];

fn run(script: &Script, voters: usize, seed: u64, fault: PlantedFault) -> Cluster {
    let mut cluster = Cluster::new(script, voters, 0, seed, fault);
    cluster.run_to(script.duration());
    cluster
}

/// A cluster without a planted fault.
fn cluster_with(voters: usize, learners: usize, seed: u64, script: &Script) -> Cluster {
    Cluster::new(script, voters, learners, seed, PlantedFault::None)
}

fn step(at: f64, does: Fault) -> ScriptStep {
    ScriptStep { at, fault: does }
}

fn assert_no_violation(cluster: &Cluster, case: &str) {
    let violations = &cluster.checker.violations;
    assert!(violations.is_empty(), "{case}: {violations:?}");
}

fn leading_node(cluster: &Cluster) -> Option<&RaftNode> {
    cluster.leader().and_then(|number| cluster.voter(number))
}

#[rstest]
#[case::three(3, 60)]
#[case::five(5, 40)]
#[case::seven(7, 20)]
fn random_faults_break_no_invariant(#[case] voters: usize, #[case] seeds: u64) {
    let mut events = 0;
    let mut commands = 0;
    let mut worst = Duration::ZERO;
    for seed in 0..seeds {
        let script = random_faults(seed, voters, 40.0);
        let mut cluster = run(&script, voters, seed, PlantedFault::None);
        let took = cluster.time_to_converge(seconds(20.0));
        assert_no_violation(&cluster, &format!("seed {seed}"));
        let took = took.unwrap_or_else(|| {
            panic!("seed {seed}: not converged 20 s after the last fault");
        });
        events += cluster.handled_events;
        commands += cluster.committed_commands();
        worst = worst.max(took);
    }
    println!("{voters} voters: {seeds} scripts, {events} events, {commands} commands, converged within {worst:?}");
}

/// A crash at each write of one voter: with the write torn, or durable.
#[rstest]
#[case::before_it_is_durable(false)]
#[case::after_it_is_durable(true)]
fn a_crash_at_any_write_breaks_no_invariant(#[case] durable: bool) {
    for write in 1..120 {
        for node in 0..3 {
            let mut cluster = cluster_with(3, 0, write, &script(8.0, 0.02, vec![]));
            cluster.crash_at = Some(CrashAt {
                node,
                write,
                durable,
            });
            cluster.run_to(seconds(6.0));
            let case = format!("write {write} of s{node}");
            assert_no_violation(&cluster, &case);
            let converged = cluster.time_to_converge(seconds(10.0));
            assert!(converged.is_some(), "{case}");
        }
    }
}

#[rstest]
#[case::reports_durable_too_early(PlantedFault::ReportsDurableTooEarly)]
#[case::reuses_incarnation(PlantedFault::ReusesIncarnation)]
fn planted_faults_are_found(#[case] fault: PlantedFault) {
    let has_violation = |script: &Script, seed: u64, fault: PlantedFault| {
        !run(script, 3, seed, fault).checker.violations.is_empty()
    };
    let mut scripts = (0..400).map(|seed| (seed, random_faults(seed, 3, 40.0)));
    let found = scripts.find(|(seed, script)| has_violation(script, *seed, fault));
    let (seed, found) = found.expect("no script of 400 shows it");
    let least = minimize(&found, |script| has_violation(script, seed, fault));
    println!(
        "{fault:?}: seed {seed}, {} steps, cut down to {:?}",
        found.steps.len(),
        least.steps
    );
    assert!(has_violation(&least, seed, fault));
    assert!(least.steps.len() < found.steps.len());
    assert!(!has_violation(&least, seed, PlantedFault::None));
}

/// How long no node leads after the leader dies, over a hundred deaths.
#[test]
fn a_new_leader_is_elected_soon_after_the_leader_dies() {
    let mut durations = Vec::new();
    for seed in 0..100 {
        let mut cluster = cluster_with(5, 0, seed, &script(60.0, 0.0, vec![]));
        cluster.run_to(seconds(3.0));
        let leader = cluster.leader().expect("one leads by now");
        cluster.kill(leader);
        let died_at = cluster.now;
        let elections = cluster.checker.elections.len();
        while cluster.checker.elections.len() == elections {
            let limit = died_at + seconds(5.0);
            assert!(cluster.now < limit, "seed {seed}: no node leads");
            cluster.run_to(cluster.now + seconds(0.01));
        }
        durations.push(cluster.now - died_at);
    }
    durations.sort();
    let (median, worst) = (durations[50], durations[99]);
    println!("another node leads after {median:?} (median), {worst:?} (worst of 100)");
    assert!(median < ELECTION_TIMEOUT * 2, "{median:?}");
    assert!(worst < seconds(2.0), "{worst:?}");
}

/// A node that lost its disk gets no vote before it has caught up, and then takes its old incarnation's place.
#[test]
fn a_lost_disk_makes_a_new_member() {
    let one = || Selector::Numbers(vec![1]);
    let steps = vec![
        step(4.0, Fault::Kill(one())),
        step(4.0, Fault::LoseDisk(one())),
        step(4.5, Fault::Start(one())),
    ];
    let mut cluster = cluster_with(3, 0, 3, &script(60.0, 0.01, steps));
    let id = |cluster: &Cluster| cluster.voter(1).map(|voter| voter.id().clone());
    let members = |cluster: &Cluster| leading_node(cluster).map(|node| node.members().clone());
    cluster.run_to(seconds(3.9));
    let old = id(&cluster).expect("it runs");
    cluster.run_to(seconds(4.6));
    let new = id(&cluster).expect("it runs");
    assert_eq!(old.name, new.name);
    assert_ne!(old.incarnation, new.incarnation);
    let at_restart = members(&cluster).expect("one leads");
    assert!(at_restart.contains(&old) && !at_restart.contains(&new));
    cluster.run_to(seconds(15.0));
    let later = members(&cluster).expect("one leads");
    assert!(later.contains(&new) && !later.contains(&old), "{later:?}");
    assert_eq!(later.len(), 3, "{later:?}");
    assert_no_violation(&cluster, "at the end");
    assert!(cluster.time_to_converge(seconds(2.0)).is_some());
}

/// Where a majority has lost its disks no node makes a second group or commits: an operator has to decide.
#[test]
fn no_group_commits_after_a_majority_lost_its_disks() {
    let two = || Selector::Numbers(vec![0, 1]);
    let steps = vec![
        step(4.0, Fault::Kill(two())),
        step(4.0, Fault::LoseDisk(two())),
        step(4.5, Fault::Start(two())),
    ];
    let mut cluster = cluster_with(3, 0, 3, &script(60.0, 0.0, steps));
    cluster.run_to(seconds(30.0));
    assert_eq!(cluster.leader(), None);
    let group = cluster.voter(2).map(RaftNode::group);
    for number in 0..2 {
        let voter = cluster.voter(number).expect("it runs");
        assert_eq!(Some(voter.group()), group);
    }
    assert_no_violation(&cluster, "after 30 s");
    assert!(cluster.time_to_converge(seconds(5.0)).is_none());
}

/// A leader that is partitioned off with a minority leads no more, and commits nothing meanwhile.
#[test]
fn a_leader_without_a_majority_steps_down() {
    let mut undisturbed = cluster_with(5, 0, 9, &script(60.0, 0.0, vec![]));
    undisturbed.run_to(seconds(3.0));
    let old = undisturbed.leader().expect("one leads by now");
    let cut = Fault::Partition {
        from: Selector::Numbers(vec![old]),
        to: Selector::All,
        one_way: false,
    };
    let steps = vec![step(3.0, cut), step(8.0, Fault::HealPartitions)];
    let mut cluster = cluster_with(5, 0, 9, &script(60.0, 0.0, steps));
    cluster.run_to(seconds(3.0) + ELECTION_TIMEOUT * 3);
    let old_role = cluster.voter(old).map(RaftNode::role);
    assert!(old_role.is_some_and(|role| role != Role::Leader));
    cluster.run_to(seconds(7.9));
    let old_term = cluster.voter(old).map(RaftNode::term);
    let old_commit_index = cluster.voter(old).map(RaftNode::commit_index);
    let leader = cluster.leader().expect("the others have a leader");
    assert_ne!(leader, old);
    assert!(cluster.voter(leader).map(RaftNode::commit_index) > old_commit_index);
    // It comes back without disturbing the leader: its term has not gone up.
    let term = cluster.voter(leader).map(RaftNode::term);
    assert!(old_term < term);
    cluster.run_to(seconds(10.0));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.voter(leader).map(RaftNode::term), term);
    assert_no_violation(&cluster, "after the partition");
    assert!(cluster.time_to_converge(seconds(1.0)).is_some());
}

/// Three hundred learners learn all, through kills and starts of voters and their own.
#[test]
fn hundreds_of_learners_converge() {
    let steps = vec![
        step(3.0, Fault::Kill(Selector::Numbers(vec![0]))),
        step(4.0, Fault::Kill(Selector::Fraction(0.5, 0.7))),
        step(5.0, Fault::Start(Selector::Fraction(0.5, 0.7))),
        step(6.0, Fault::Start(Selector::Numbers(vec![0]))),
    ];
    let mut cluster = cluster_with(5, 300, 4, &script(60.0, 0.05, steps));
    cluster.run_to(seconds(7.0));
    let took = cluster.time_to_converge(seconds(5.0));
    println!(
        "305 nodes converged {took:?} after the last fault, {} commands committed",
        cluster.committed_commands()
    );
    assert_no_violation(&cluster, "at the end");
    assert!(took.is_some());
}

/// Members are changed one at a time, and only once the last change is committed.
#[test]
fn members_are_changed_one_at_a_time() {
    let mut cluster = cluster_with(5, 0, 1, &script(60.0, 0.0, vec![]));
    cluster.run_to(seconds(3.0));
    let leader = cluster.leader().expect("one leads by now");
    let voter = cluster.voter(leader).expect("it runs");
    let leader_id = voter.id().clone();
    let mut others: Vec<NodeId> = voter.members().iter().cloned().collect();
    others.retain(|id| *id != leader_id);
    let without = |removed: usize| -> Members {
        let remaining = others[removed..].iter().cloned();
        remaining.chain([leader_id.clone()]).collect()
    };
    assert_eq!(
        cluster.change_members(leader, without(2)),
        Err(ProposeError::InvalidMembers)
    );
    assert_eq!(cluster.change_members(leader, without(1)), Ok(()));
    assert_eq!(
        cluster.change_members(leader, without(2)),
        Err(ProposeError::ChangeInProgress)
    );
    cluster.run_to(seconds(4.0));
    assert_eq!(cluster.change_members(leader, without(2)), Ok(()));
    cluster.run_to(seconds(5.0));
    let members = cluster.voter(leader).expect("it runs").members();
    assert_eq!(members.len(), 3);
    // A leader whose vote is removed leads until that is committed, and then another does.
    let without_leader = others[2..].iter().cloned().collect();
    assert_eq!(cluster.change_members(leader, without_leader), Ok(()));
    cluster.run_to(seconds(8.0));
    assert!(cluster.leader().is_some_and(|now| now != leader));
    assert_no_violation(&cluster, "at the end");
}

/// Asks the leader for the next change that does not show yet, if there is one and none is pending.
fn request_next_change(cluster: &mut Cluster) {
    let Some(leader) = leading_node(cluster) else {
        return;
    };
    let has_vote = |name: &str| leader.members().iter().any(|id| id.name == name);
    let mut changes = REPLACE_MEMBERS.iter();
    let next = changes.find(|(name, wanted)| has_vote(name) != *wanted);
    if let Some((name, wanted)) = next.filter(|_| leader.pending_voter().is_none()) {
        // One that is refused is asked for again later.
        let _ = cluster.set_vote(name, *wanted);
    }
}

fn member_names(cluster: &Cluster) -> Vec<String> {
    let Some(leader) = leading_node(cluster) else {
        return Vec::new();
    };
    let names = leader.members().iter().map(|id| id.name.clone());
    names.collect()
}

/// Three voters become five and then another three, under faults, one vote at a time.
#[test]
fn members_are_replaced_under_faults() {
    let mut worst = Duration::ZERO;
    for seed in 0..30 {
        let mut script = random_faults(seed, 5, 60.0);
        // Five voters may lose disks at a rate that three can't bear.
        script
            .steps
            .retain(|step| !matches!(step.fault, Fault::LoseDisk(_)));
        let mut cluster = Cluster::growing(&script, (3, 5), 2, seed, PlantedFault::None);
        let mut at = 4.0;
        while at < 58.0 {
            cluster.run_to(seconds(at));
            at += 0.3;
            request_next_change(&mut cluster);
        }
        cluster.run_to(script.duration());
        let limit = cluster.now + seconds(30.0);
        while member_names(&cluster) != REPLACED_MEMBERS {
            assert_no_violation(&cluster, &format!("seed {seed}"));
            let members = member_names(&cluster);
            assert!(cluster.now < limit, "seed {seed}: {members:?}");
            request_next_change(&mut cluster);
            cluster.run_to(cluster.now + seconds(0.3));
        }
        // Learners find the new voters, though their settings name others.
        let took = cluster.time_to_converge(seconds(20.0));
        assert_no_violation(&cluster, &format!("seed {seed}"));
        let took = took.unwrap_or_else(|| panic!("seed {seed}: not converged within 20 s"));
        worst = worst.max(took);
    }
    println!(
        "three voters became five and then another three, 30 scripts; converged within {worst:?}"
    );
}
