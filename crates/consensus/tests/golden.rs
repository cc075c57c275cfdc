//! Pins the bytes of the consensus protocol and of the voter's log file: every kind of datagram,
//! every kind of log record, and the whole log of a voter before and after compaction. Each line of
//! the files in `golden/` has the kind of an item and its bytes in hex. If `GOLDEN_WRITE` is set,
//! the tests rewrite the files before they read them.

use limewing_consensus::{
    read_log, Committed, Configuration, Entry, EntryPayload, LogPosition, Members, Message, NodeId,
    Packet, RaftConfig, RaftNode, Record,
};
use limewing_test_support::golden::{assert_items, Item};
use std::time::Duration;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

fn id(number: u64) -> NodeId {
    NodeId {
        name: format!("s{number}"),
        incarnation: 1000 * number + 7,
    }
}

fn members() -> Members {
    (1..4).map(id).collect()
}

fn voters(pending_voter: Option<&str>) -> Configuration {
    Configuration {
        voters: members(),
        pending_voter: pending_voter.map(str::to_owned),
    }
}

fn position(index: u64, term: u64) -> LogPosition {
    LogPosition { index, term }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry {
            term: 3,
            payload: EntryPayload::Noop,
        },
        Entry {
            term: 3,
            payload: EntryPayload::Command(vec![0, 1, 127, 128, 255]),
        },
        Entry {
            term: 300,
            payload: EntryPayload::Configuration(voters(None)),
        },
        Entry {
            term: 300,
            payload: EntryPayload::Configuration(voters(Some("s9"))),
        },
    ]
}

/// Returns the kind of a message as named in the golden file. The match is exhaustive, so a new
/// kind does not compile without a name.
fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::DiscoveryRequest { .. } => "discovery-request",
        Message::DiscoveryResponse { .. } => "discovery-response",
        Message::JoinRequest => "join-request",
        Message::JoinForwarded { .. } => "join-forwarded",
        Message::VoteRequest { .. } => "vote-request",
        Message::VoteResponse { .. } => "vote-response",
        Message::AppendRequest { .. } => "append-request",
        Message::AppendResponse { .. } => "append-response",
        Message::SnapshotRequest { .. } => "snapshot-request",
        Message::SnapshotResponse { .. } => "snapshot-response",
        Message::Propose { .. } => "propose",
        Message::LearnerRequest { .. } => "learner-request",
        Message::LearnerEntries { .. } => "learner-entries",
        Message::LearnerSnapshot { .. } => "learner-snapshot",
    }
}

const MESSAGE_KINDS: usize = 14;

/// Returns every kind of message, some of them in several variants.
fn messages() -> Vec<Message> {
    let kinds = [
        joining_messages(),
        election_messages(),
        replication_messages(),
        learner_messages(),
    ];
    kinds.concat()
}

fn joining_messages() -> Vec<Message> {
    vec![
        Message::DiscoveryRequest {
            nonce: u64::MAX,
            voters_checksum: 0x1234_5603,
        },
        Message::DiscoveryResponse {
            nonce: u64::MAX,
            voters_checksum: 0x1234_5603,
            initial_members: members(),
        },
        Message::DiscoveryResponse {
            nonce: 5,
            voters_checksum: 0,
            initial_members: Members::new(),
        },
        Message::JoinRequest,
        Message::JoinForwarded { id: id(4) },
    ]
}

fn election_messages() -> Vec<Message> {
    vec![
        Message::VoteRequest {
            last: position(41, 3),
            pre_vote: true,
        },
        Message::VoteRequest {
            last: position(0, 0),
            pre_vote: false,
        },
        Message::VoteResponse {
            granted: true,
            pre_vote: true,
        },
        Message::VoteResponse {
            granted: false,
            pre_vote: false,
        },
    ]
}

fn replication_messages() -> Vec<Message> {
    let snapshot_chunk = |pending_voter| Message::SnapshotRequest {
        last: position(41, 3),
        configuration: voters(pending_voter),
        offset: 400,
        total_length: 1000,
        data: vec![7, 8, 9],
        round: 6,
    };
    vec![
        Message::AppendRequest {
            previous: position(40, 2),
            entries: entries(),
            commit_index: 39,
            round: 200,
        },
        Message::AppendRequest {
            previous: position(40, 2),
            entries: Vec::new(),
            commit_index: 40,
            round: 201,
        },
        Message::AppendResponse {
            matched: Ok(44),
            round: 200,
        },
        Message::AppendResponse {
            matched: Err(12),
            round: 200,
        },
        snapshot_chunk(None),
        snapshot_chunk(Some("s9")),
        Message::SnapshotResponse {
            last: position(41, 3),
            received: 403,
            round: 6,
        },
        Message::Propose {
            command: vec![1, 2, 3],
        },
    ]
}

fn learner_messages() -> Vec<Message> {
    vec![
        Message::LearnerRequest {
            next_index: 12,
            snapshot_index: 41,
            snapshot_offset: 800,
        },
        Message::LearnerEntries {
            first_index: 12,
            entries: entries(),
            commit_index: 15,
        },
        Message::LearnerSnapshot {
            last_index: 41,
            offset: 400,
            total_length: 1000,
            data: vec![7; 5],
            members: members(),
        },
    ]
}

#[test]
fn every_kind_of_datagram_keeps_its_bytes() {
    let packet = |message| Packet {
        group: 1 << 40,
        from: id(2),
        to_incarnation: 3007,
        term: 300,
        message,
    };
    let mut packets: Vec<Packet> = messages().into_iter().map(packet).collect();
    let without_group = Packet {
        group: 0,
        to_incarnation: 0,
        term: 0,
        ..packets[0].clone()
    };
    packets.push(without_group);
    let written: Vec<Item> = packets
        .iter()
        .map(|packet| (message_kind(&packet.message), packet.encode()))
        .collect();
    let kinds: std::collections::BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), MESSAGE_KINDS);
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "datagrams.hex", &written);
    for (bytes, packet) in golden.iter().zip(&packets) {
        assert_eq!(Packet::decode(bytes).as_ref(), Ok(packet));
        assert_eq!(
            Packet::decode(bytes).map(|packet| packet.encode()).as_ref(),
            Ok(bytes)
        );
    }
}

/// Returns the kind of a record as named in the golden files. The match is exhaustive, so a new
/// kind does not compile without a name.
fn record_kind(record: &Record) -> &'static str {
    match record {
        Record::Identity(_) => "node-id",
        Record::Group { .. } => "group",
        Record::Term { .. } => "term",
        Record::Entry { .. } => "entry",
        Record::Truncate { .. } => "truncate",
        Record::Snapshot { .. } => "snapshot",
    }
}

const RECORD_KINDS: usize = 6;

/// Returns every kind of record in an order that is valid in a log.
fn records() -> Vec<Record> {
    let entry = |(index, entry)| Record::Entry { index, entry };
    let snapshot = |index, state| Record::Snapshot {
        last: position(index, 300),
        configuration: voters(Some("s9")),
        state,
    };
    let mut records = vec![
        Record::Identity(id(1)),
        Record::Group {
            group: 1 << 40,
            initial: voters(None),
        },
        Record::Term {
            term: 3,
            voted_for: None,
        },
        Record::Term {
            term: 3,
            voted_for: Some(id(2)),
        },
    ];
    records.extend((1..).zip(entries()).map(entry));
    records.extend([
        Record::Truncate { from_index: 4 },
        Record::Entry {
            index: 4,
            entry: entries()[3].clone(),
        },
        // A compaction of the node's own log, and a snapshot of entries that the node never had.
        snapshot(4, vec![1, 2, 3]),
        snapshot(90, vec![255; 200]),
    ]);
    records
}

fn bytes_of(record: &Record) -> Vec<u8> {
    let mut bytes = Vec::new();
    record.encode_into(&mut bytes);
    bytes
}

fn items(records: &[Record]) -> Vec<Item> {
    records
        .iter()
        .map(|record| (record_kind(record), bytes_of(record)))
        .collect()
}

fn assert_log_reads_as(golden: &[Vec<u8>], records: &[Record]) {
    let log = golden.concat();
    let recovered = read_log(&log).expect("the golden log should be valid");
    assert_eq!(recovered.records, records);
    assert_eq!(recovered.valid_length, log.len());
}

#[test]
fn every_kind_of_record_keeps_its_bytes() {
    let written = items(&records());
    let kinds: std::collections::BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), RECORD_KINDS);
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "records.hex", &written);
    assert_log_reads_as(&golden, &records());
}

fn new_voter(records: &[Record]) -> RaftNode {
    let config = RaftConfig {
        voters: vec!["s1".into()],
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: ELECTION_TIMEOUT,
        seed: 5,
    };
    RaftNode::new(Duration::ZERO, "s1", 1007, records, config)
}

/// Appends all pending records of the voter to the log. If `durable` is set, reports them as
/// persisted.
fn persist(voter: &mut RaftNode, now: Duration, durable: bool, log: &mut Vec<Record>) {
    while let Some(batch) = voter.next_write_batch() {
        log.extend(batch.records);
        if durable {
            voter.persisted(now, batch.number);
        }
    }
}

/// Runs a group of one voter until its log contains every kind of record. Returns that log and the
/// records that replace it after compaction.
fn run_voter() -> (Vec<Record>, Vec<Record>) {
    let (mut voter, mut log) = (new_voter(&[]), Vec::new());
    let now = Duration::from_secs(1);
    voter.tick(Duration::ZERO);
    persist(&mut voter, Duration::ZERO, true, &mut log);
    voter.tick(now);
    persist(&mut voter, now, true, &mut log);
    voter
        .propose(now, b"first".to_vec())
        .expect("the voter should lead");
    persist(&mut voter, now, true, &mut log);
    voter
        .add_voter(now, "s2")
        .expect("the voter should lead, and no other change is pending");
    persist(&mut voter, now, true, &mut log);
    // This entry is never committed; the leader of a later term replaces it.
    let lost = voter
        .propose(now, b"lost".to_vec())
        .expect("the voter should lead");
    persist(&mut voter, now, false, &mut log);
    let entries = vec![Entry {
        term: 9,
        payload: EntryPayload::Command(b"second".to_vec()),
    }];
    let previous = position(lost.index - 1, lost.term);
    let message = Message::AppendRequest {
        previous,
        entries,
        commit_index: lost.index - 1,
        round: 1,
    };
    let group = voter.group();
    voter.receive(
        now,
        Packet {
            group,
            from: id(2),
            to_incarnation: 0,
            term: 9,
            message,
        },
    );
    persist(&mut voter, now, true, &mut log);
    while let Some(Committed::Command { .. }) = voter.take_committed() {}
    voter.compact(voter.commit_index(), b"state".to_vec());
    persist(&mut voter, now, true, &mut log);
    (log, voter.compacted_records())
}

#[test]
fn a_voters_log_keeps_its_bytes() {
    let (log, compacted) = run_voter();
    let written = items(&log);
    let kinds: std::collections::BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), RECORD_KINDS);
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "log.hex", &written);
    assert_log_reads_as(&golden, &log);
    let golden_compacted = assert_items(
        env!("CARGO_MANIFEST_DIR"),
        "log_compacted.hex",
        &items(&compacted),
    );
    assert_log_reads_as(&golden_compacted, &compacted);
    // A voter that starts from either file has the same state.
    for bytes in [golden.concat(), golden_compacted.concat()] {
        let recovered = read_log(&bytes).expect("the golden log should be valid");
        assert_eq!(new_voter(&recovered.records).compacted_records(), compacted);
    }
}
