//! Tests routing keys that stay with the newest build that served them, while pods of the earlier build stall.

use crate::helpers::{start_sidecar, statement_for_row};
use limewing_emulators::platform::{
    rollout_state_json, Answer, Client, ListedPod, Pod, PodBehavior, RolloutService,
    SidecarConfigFile, VoteReplyScript,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of requests that wait at the stalled pod.
const MAX_WAITING: usize = 40;
/// Much longer than a pod that does not stall takes to answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(300);

/// Starts a sidecar that knows a pod of build 1 and one of build 2, which is on trial, and keeps keys with their build.
fn start_sidecar_during_trial(old: &Pod, new: &Pod, rollouts: &RolloutService) -> SocketAddr {
    let trial = ListedPod {
        build: 2,
        ..ListedPod::new("new", new.address)
    };
    let address = start_sidecar(SidecarConfigFile {
        rollouts: Some(rollouts.address),
        sticky_keys: true,
        connect_timeout_s: 30.0,
        client_timeout_s: 30.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("old", old.address), trial])
    });
    // The sidecar votes once it knows of the trial.
    rollouts.next_vote(Duration::from_secs(15)).expect("a vote");
    address
}

/// Sends requests for a row until one is answered, and returns the answer, unless no request for the row waits then. The clients of
/// those that wait are added to `waiting`.
fn request_row(address: SocketAddr, row: &str, waiting: &mut Vec<Client>) -> Option<Answer> {
    let waiting_before = waiting.len();
    loop {
        let mut client = Client::new(address);
        client.send_query(&statement_for_row(row, "look", 20_000));
        if client.has_input_within(ANSWERED_WITHIN) {
            let answer = client.read_answer();
            return (waiting.len() > waiting_before).then_some(answer);
        }
        waiting.push(client);
        assert!(waiting.len() < MAX_WAITING, "the new build gets no request");
    }
}

/// Requests of one key wait at a stalled pod of the earlier build, for their session or for the answer to the empty query, when the new
/// build answers the key. Guards against a key that goes back (review case 10): the waiting requests were sent to the earlier build
/// afterwards.
#[rstest]
#[case::before_the_first_byte(PodBehavior::StartSessionAfterSignal)]
#[case::before_the_last_byte(PodBehavior::AnswerEmptyQueryAfterSignal("old"))]
fn a_key_does_not_go_back_to_a_pod_that_stalled(#[case] stall: PodBehavior) {
    let mut script = vec![stall; MAX_WAITING];
    script.push(PodBehavior::Answer("old"));
    let old = Pod::new(script);
    let new = Pod::new(vec![PodBehavior::Answer("new")]);
    let on_trial = rollout_state_json(2, 0, "Progressing", 0.5);
    let rollouts = RolloutService::new(
        &format!(r#"{{"type":"news","object":{on_trial}}}"#),
        vec![VoteReplyScript::Reply(200, on_trial.clone())],
    );
    let address = start_sidecar_during_trial(&old, &new, &rollouts);
    // Each request goes to one of the builds by chance. A key that the new build has served is not used further.
    let mut waiting = Vec::new();
    for row in 0.. {
        let answer = request_row(address, &format!("{row:x}"), &mut waiting);
        if answer == Some(Answer::Row("new".into())) {
            break;
        }
    }
    for _ in 0..MAX_WAITING {
        old.resume.send(()).unwrap();
    }
    for client in &mut waiting {
        assert_ne!(client.read_answer(), Answer::Row("old".into()));
    }
    assert!(old
        .events
        .try_iter()
        .all(|event| !event.starts_with("SELECT")));
}
