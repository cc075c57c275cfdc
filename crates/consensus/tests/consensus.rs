//! Raft invariants of a simulated cluster under faults: one leader per term, one command per log
//! position, no committed entry is lost, and all nodes converge after the faults. The checker also
//! has to detect bugs that are injected into the hosts, and the scripts that reveal them are
//! minimized.

mod helpers;

use helpers::cluster::{Cluster, CrashAt};
use helpers::faults::{minimize, random_faults, script};
use helpers::node::InjectedBug;
use helpers::{seconds, ELECTION_TIMEOUT};
use limewing_consensus::{Members, NodeId, ProposeError, RaftNode, Role};
use limewing_fault_injection::{Fault, Script, ScriptStep, Selector};
use rstest::rstest;
use std::time::Duration;

/// Votes to grant (true) or remove, in this order, to replace three voters by another three.
const REPLACEMENT_STEPS: [(&str, bool); 4] =
    [("s3", true), ("s4", true), ("s0", false), ("s1", false)];
const EXPECTED_MEMBERS: [&str; 3] = ["s2", "s3", "s4"];

fn run(script: &Script, voters: usize, seed: u64, bug: InjectedBug) -> Cluster {
    let mut cluster = Cluster::new(script, voters, 0, seed, bug);
    cluster.run_to(script.duration());
    cluster
}

/// Creates a cluster without an injected bug.
fn cluster_with(voters: usize, learners: usize, seed: u64, script: &Script) -> Cluster {
    Cluster::new(script, voters, learners, seed, InjectedBug::None)
}

fn script_step(at: f64, fault: Fault) -> ScriptStep {
    ScriptStep { at, fault }
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
fn invariants_hold_under_random_faults(#[case] voters: usize, #[case] seeds: u64) {
    let mut events = 0;
    let mut commands = 0;
    let mut max_time = Duration::ZERO;
    for seed in 0..seeds {
        let script = random_faults(seed, voters, 40.0);
        let mut cluster = run(&script, voters, seed, InjectedBug::None);
        let convergence_time = cluster.time_to_converge(seconds(20.0));
        assert_no_violation(&cluster, &format!("seed {seed}"));
        let convergence_time = convergence_time.unwrap_or_else(|| {
            panic!("seed {seed}: not converged 20 s after the last fault");
        });
        events += cluster.handled_events;
        commands += cluster.committed_commands();
        max_time = max_time.max(convergence_time);
    }
    println!("{voters} voters: {seeds} scripts, {events} events, {commands} commands, converged within {max_time:?}");
}

/// Crashes one voter at each of its writes, with the write either torn or durable.
#[rstest]
#[case::before_it_is_durable(false)]
#[case::after_it_is_durable(true)]
fn invariants_hold_after_a_crash_at_any_write(#[case] durable: bool) {
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
#[case::reports_durable_too_early(InjectedBug::ReportsDurableTooEarly)]
#[case::reuses_incarnation(InjectedBug::ReusesIncarnation)]
fn injected_bugs_are_detected(#[case] bug: InjectedBug) {
    let has_violation = |script: &Script, seed: u64, bug: InjectedBug| {
        !run(script, 3, seed, bug).checker.violations.is_empty()
    };
    let mut scripts = (0..400).map(|seed| (seed, random_faults(seed, 3, 40.0)));
    let revealing_script = scripts.find(|(seed, script)| has_violation(script, *seed, bug));
    let (seed, revealing_script) = revealing_script.expect("none of 400 scripts reveals the bug");
    let minimized = minimize(&revealing_script, |script| has_violation(script, seed, bug));
    println!(
        "{bug:?}: seed {seed}, {} steps, minimized to {:?}",
        revealing_script.steps.len(),
        minimized.steps
    );
    assert!(has_violation(&minimized, seed, bug));
    assert!(minimized.steps.len() < revealing_script.steps.len());
    assert!(!has_violation(&minimized, seed, InjectedBug::None));
}

/// Measures how long the cluster has no leader after the leader dies, over a hundred runs.
#[test]
fn a_new_leader_is_elected_within_two_seconds() {
    let mut durations = Vec::new();
    for seed in 0..100 {
        let mut cluster = cluster_with(5, 0, seed, &script(60.0, 0.0, vec![]));
        cluster.run_to(seconds(3.0));
        let leader = cluster.leader().expect("a leader should be elected by now");
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
    let (median, max_time) = (durations[50], durations[99]);
    println!("another node leads after {median:?} (median), {max_time:?} (worst of 100)");
    assert!(median < ELECTION_TIMEOUT * 2, "{median:?}");
    assert!(max_time < seconds(2.0), "{max_time:?}");
}

/// A node that has lost its disk must not vote before it has caught up. Then it replaces its old
/// incarnation.
#[test]
fn a_node_that_lost_its_disk_rejoins_as_a_new_member() {
    let selector = || Selector::Numbers(vec![1]);
    let steps = vec![
        script_step(4.0, Fault::Kill(selector())),
        script_step(4.0, Fault::LoseDisk(selector())),
        script_step(4.5, Fault::Start(selector())),
    ];
    let mut cluster = cluster_with(3, 0, 3, &script(60.0, 0.01, steps));
    let id = |cluster: &Cluster| cluster.voter(1).map(|voter| voter.id().clone());
    let members = |cluster: &Cluster| leading_node(cluster).map(|node| node.members().clone());
    cluster.run_to(seconds(3.9));
    let old = id(&cluster).expect("the node should be running");
    cluster.run_to(seconds(4.6));
    let new = id(&cluster).expect("the node should be running");
    assert_eq!(old.name, new.name);
    assert_ne!(old.incarnation, new.incarnation);
    let at_restart = members(&cluster).expect("there should be a leader");
    assert!(at_restart.contains(&old) && !at_restart.contains(&new));
    cluster.run_to(seconds(15.0));
    let later = members(&cluster).expect("there should be a leader");
    assert!(later.contains(&new) && !later.contains(&old), "{later:?}");
    assert_eq!(later.len(), 3, "{later:?}");
    assert_no_violation(&cluster, "at the end");
    assert!(cluster.time_to_converge(seconds(2.0)).is_some());
}

/// If a majority has lost its disks, no node creates a second group or commits entries; an operator
/// has to decide.
#[test]
fn no_group_commits_after_a_majority_lost_its_disks() {
    let selector = || Selector::Numbers(vec![0, 1]);
    let steps = vec![
        script_step(4.0, Fault::Kill(selector())),
        script_step(4.0, Fault::LoseDisk(selector())),
        script_step(4.5, Fault::Start(selector())),
    ];
    let mut cluster = cluster_with(3, 0, 3, &script(60.0, 0.0, steps));
    cluster.run_to(seconds(30.0));
    assert_eq!(cluster.leader(), None);
    let group = cluster.voter(2).map(RaftNode::group);
    for number in 0..2 {
        let voter = cluster.voter(number).expect("the node should be running");
        assert_eq!(Some(voter.group()), group);
    }
    assert_no_violation(&cluster, "after 30 s");
    assert!(cluster.time_to_converge(seconds(5.0)).is_none());
}

/// A leader that is partitioned with a minority steps down and commits nothing during the
/// partition.
#[test]
fn a_leader_without_a_majority_steps_down() {
    let mut undisturbed = cluster_with(5, 0, 9, &script(60.0, 0.0, vec![]));
    undisturbed.run_to(seconds(3.0));
    let old = undisturbed
        .leader()
        .expect("a leader should be elected by now");
    let partition = Fault::Partition {
        from: Selector::Numbers(vec![old]),
        to: Selector::All,
        one_way: false,
    };
    let steps = vec![
        script_step(3.0, partition),
        script_step(8.0, Fault::HealPartitions),
    ];
    let mut cluster = cluster_with(5, 0, 9, &script(60.0, 0.0, steps));
    cluster.run_to(seconds(3.0) + ELECTION_TIMEOUT * 3);
    let old_role = cluster.voter(old).map(RaftNode::role);
    assert!(old_role.is_some_and(|role| role != Role::Leader));
    cluster.run_to(seconds(7.9));
    let old_term = cluster.voter(old).map(RaftNode::term);
    let old_commit_index = cluster.voter(old).map(RaftNode::commit_index);
    let leader = cluster
        .leader()
        .expect("the other nodes should have a leader");
    assert_ne!(leader, old);
    assert!(cluster.voter(leader).map(RaftNode::commit_index) > old_commit_index);
    // The old leader returns without disturbing the new one, because its term has not increased.
    let term = cluster.voter(leader).map(RaftNode::term);
    assert!(old_term < term);
    cluster.run_to(seconds(10.0));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.voter(leader).map(RaftNode::term), term);
    assert_no_violation(&cluster, "after the partition");
    assert!(cluster.time_to_converge(seconds(1.0)).is_some());
}

/// 300 learners converge while voters and learners are killed and restarted.
#[test]
fn hundreds_of_learners_converge() {
    let steps = vec![
        script_step(3.0, Fault::Kill(Selector::Numbers(vec![0]))),
        script_step(4.0, Fault::Kill(Selector::Fraction(0.5, 0.7))),
        script_step(5.0, Fault::Start(Selector::Fraction(0.5, 0.7))),
        script_step(6.0, Fault::Start(Selector::Numbers(vec![0]))),
    ];
    let mut cluster = cluster_with(5, 300, 4, &script(60.0, 0.05, steps));
    cluster.run_to(seconds(7.0));
    let convergence_time = cluster.time_to_converge(seconds(5.0));
    println!(
        "305 nodes converged {convergence_time:?} after the last fault, {} commands committed",
        cluster.committed_commands()
    );
    assert_no_violation(&cluster, "at the end");
    assert!(convergence_time.is_some());
}

/// Membership changes are made one at a time, and only when the previous change is committed.
#[test]
fn members_are_changed_one_at_a_time() {
    let mut cluster = cluster_with(5, 0, 1, &script(60.0, 0.0, vec![]));
    cluster.run_to(seconds(3.0));
    let leader = cluster.leader().expect("a leader should be elected by now");
    let voter = cluster.voter(leader).expect("the node should be running");
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
    let members = cluster
        .voter(leader)
        .expect("the node should be running")
        .members();
    assert_eq!(members.len(), 3);
    // A leader whose vote is removed leads until its removal is committed; then another node takes
    // over.
    let without_leader = others[2..].iter().cloned().collect();
    assert_eq!(cluster.change_members(leader, without_leader), Ok(()));
    cluster.run_to(seconds(8.0));
    assert!(cluster.leader().is_some_and(|now| now != leader));
    assert_no_violation(&cluster, "at the end");
}

/// Requests the next change that is not in effect yet, if there is one and none is pending.
fn request_next_membership_change(cluster: &mut Cluster) {
    let Some(leader) = leading_node(cluster) else {
        return;
    };
    let has_vote = |name: &str| leader.members().iter().any(|id| id.name == name);
    let mut changes = REPLACEMENT_STEPS.iter();
    let next = changes.find(|(name, has_wanted_vote)| has_vote(name) != *has_wanted_vote);
    if let Some((name, has_wanted_vote)) = next.filter(|_| leader.pending_voter().is_none()) {
        // A rejected change is requested again later.
        let _ = cluster.set_vote(name, *has_wanted_vote);
    }
}

fn member_names(cluster: &Cluster) -> Vec<String> {
    let Some(leader) = leading_node(cluster) else {
        return Vec::new();
    };
    let names = leader.members().iter().map(|id| id.name.clone());
    names.collect()
}

/// Three voters grow to five and are replaced by another three under faults, one vote at a time.
#[test]
fn members_are_replaced_under_faults() {
    let mut max_time = Duration::ZERO;
    for seed in 0..30 {
        let mut script = random_faults(seed, 5, 60.0);
        // The faults for five voters lose disks at a rate that three voters cannot tolerate.
        script
            .steps
            .retain(|step| !matches!(step.fault, Fault::LoseDisk(_)));
        let mut cluster = Cluster::growing(&script, (3, 5), 2, seed, InjectedBug::None);
        let mut at = 4.0;
        while at < 58.0 {
            cluster.run_to(seconds(at));
            at += 0.3;
            request_next_membership_change(&mut cluster);
        }
        cluster.run_to(script.duration());
        let limit = cluster.now + seconds(30.0);
        while member_names(&cluster) != EXPECTED_MEMBERS {
            assert_no_violation(&cluster, &format!("seed {seed}"));
            let members = member_names(&cluster);
            assert!(cluster.now < limit, "seed {seed}: {members:?}");
            request_next_membership_change(&mut cluster);
            cluster.run_to(cluster.now + seconds(0.3));
        }
        // Learners find the new voters although their settings name the old ones.
        let convergence_time = cluster.time_to_converge(seconds(20.0));
        assert_no_violation(&cluster, &format!("seed {seed}"));
        let convergence_time =
            convergence_time.unwrap_or_else(|| panic!("seed {seed}: not converged within 20 s"));
        max_time = max_time.max(convergence_time);
    }
    println!(
        "three voters grew to five and were replaced by another three, 30 scripts; converged within {max_time:?}"
    );
}
