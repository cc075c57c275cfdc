//! A granted vote has to survive a restart (the paper, 5.2). If the disk loses the vote, two nodes
//! can lead in the same term.

use limewing_consensus::{
    Configuration, LogPosition, Message, NodeId, Packet, RaftConfig, RaftNode, Record,
};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const GROUP: u64 = 9;
const VOTER: u64 = 1;

fn id(number: u64) -> NodeId {
    NodeId {
        name: format!("s{number}"),
        incarnation: number + 1,
    }
}

fn start_voter(records: &[Record]) -> RaftNode {
    let config = RaftConfig {
        voters: (0..3).map(|number| id(number).name).collect(),
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(300),
        seed: 1,
    };
    RaftNode::new(NOW, &id(VOTER).name, 0, records, config)
}

fn vote_request(candidate: u64) -> Packet {
    Packet {
        group: GROUP,
        from: id(candidate),
        to_incarnation: id(VOTER).incarnation,
        term: 5,
        message: Message::VoteRequest {
            last: LogPosition::default(),
            pre_vote: false,
        },
    }
}

/// Requests a vote. Returns the records that the voter writes, and whether it grants the vote.
fn request_vote(voter: &mut RaftNode, candidate: u64) -> (Vec<Record>, bool) {
    voter.receive(NOW, vote_request(candidate));
    let batch = voter.next_write_batch();
    if let Some(batch) = &batch {
        let early_answer = voter.take_packet();
        assert_eq!(
            early_answer, None,
            "the answer was released before the vote was durable"
        );
        voter.persisted(NOW, batch.number);
    }
    let answer = voter.take_packet().map(|(_, packet)| packet.message);
    let grant = Message::VoteResponse {
        granted: true,
        pre_vote: false,
    };
    let records = batch.map(|batch| batch.records).unwrap_or_default();
    (records, answer == Some(grant))
}

#[rstest]
#[case::persisted(true)]
#[case::forgotten(false)]
fn a_vote_survives_a_restart_if_the_disk_has_it(#[case] persisted: bool) {
    let initial = Configuration {
        voters: (0..3).map(id).collect(),
        pending_voter: None,
    };
    let group = GROUP;
    let mut records = vec![
        Record::Identity(id(VOTER)),
        Record::Group { group, initial },
    ];
    let mut voter = start_voter(&records);
    let (written, granted) = request_vote(&mut voter, 0);
    assert!(granted);
    records.extend(written);
    if !persisted {
        records.retain(|record| !matches!(record, Record::Term { .. }));
    }
    let mut restarted = start_voter(&records);
    let (_, granted_to_another) = request_vote(&mut restarted, 2);
    assert_eq!(granted_to_another, !persisted);
    // The candidate that already has the vote is granted it again.
    let holder = if persisted { 0 } else { 2 };
    let (_, granted_again) = request_vote(&mut restarted, holder);
    assert!(granted_again);
}
