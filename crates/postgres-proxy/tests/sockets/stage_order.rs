//! Tests that a reply to a vote does not replace news that are newer.

use crate::helpers::{start_sidecar, statement_of_class};
use limewing_emulators::platform::{
    rollout_state_json, Answer, Client, ListedPod, Pod, PodBehavior, RolloutService,
    SidecarConfigFile, VoteReplyScript,
};
use rstest::rstest;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(15);
/// With a share of a tenth or more, the build on trial gets one of so many requests almost surely.
const REQUESTS: usize = 100;

/// Sends requests, and returns how many the build on trial answered.
fn count_trial_answers(client: &mut Client) -> usize {
    let answers = (0..REQUESTS).map(|_| {
        client.send_query(&statement_of_class("look", 3000));
        client.read_answer()
    });
    answers
        .filter(|answer| *answer == Answer::Row("new".into()))
        .count()
}

/// A vote is answered late: the reply was written before the news of a lower cap. Guards against requests at a build that was withdrawn
/// (review case 6): the reply raised the cap again, for requests of all classes, until the next news.
#[rstest]
#[case::rolling_back("Aborting")]
#[case::on_trial("Progressing")]
fn a_late_vote_reply_does_not_raise_the_cap(#[case] status: &str) {
    let old = Pod::new(vec![PodBehavior::Answer("old")]);
    let new = Pod::new(vec![PodBehavior::Answer("new")]);
    let news = |status, cap| {
        let state = rollout_state_json(2, 0, status, cap);
        format!(r#"{{"type":"news","object":{state}}}"#)
    };
    let rollouts = RolloutService::new(
        &news("Progressing", 0.5),
        vec![VoteReplyScript::Hold(
            200,
            rollout_state_json(2, 0, status, 0.5),
        )],
    );
    let trial = ListedPod {
        build: 2,
        ..ListedPod::new("new", new.address)
    };
    let address = start_sidecar(SidecarConfigFile {
        rollouts: Some(rollouts.address),
        vote_timeout_s: 60.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("old", old.address), trial])
    });
    rollouts.next_vote(TIMEOUT).expect("a vote");
    let mut client = Client::new(address);
    assert!(count_trial_answers(&mut client) > 0);

    rollouts.send_line(&news(status, 0.5));
    rollouts.send_line(&news(status, 0.0));
    while count_trial_answers(&mut client) > 0 {}
    rollouts.release_replies();
    assert_eq!(count_trial_answers(&mut client), 0);
}
