//! Golden tests of the sidecar's formats: the state file, the messages of the rollout service and the sidecar, the requests
//! of operators and agents about maintenance, and the pages on membership, replication and maintenance. The program wrote
//! each golden file; a test parses the file, serializes the value again and expects the same bytes.

use limewing_http_proxy::endpoint_list::{parse_endpoint_list, EndpointRecord};
use limewing_http_proxy::endpoint_list_file;
use limewing_http_proxy::service::{
    MaintenanceRequest, MaintenanceView, MembershipView, ReplicationView, WorkReport,
};
use limewing_http_proxy::stage_updates::{StageEventReader, StageMessage, StagePhase};
use limewing_http_proxy::votes::{VoteMessage, VoteReplyMessage, VoteStatus, VoteVerdict};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn listed_endpoints() -> Vec<EndpointRecord> {
    let first = EndpointRecord {
        address: "127.0.0.1:9000".parse().unwrap(),
        draining: false,
        build: 2,
        weight: 4.0,
        started: Some(1_785_880_000.25),
        zone: "east".into(),
        cell: 3,
        machine_type: "plain".into(),
        machine: "node-0".into(),
    };
    let second = EndpointRecord {
        address: "[::1]:9001".parse().unwrap(),
        draining: true,
        build: 65_535,
        weight: 0.5,
        started: None,
        zone: "west \"2\"".into(),
        cell: 0,
        machine_type: String::new(),
        machine: "::1:9001".into(),
    };
    vec![first, second]
}

#[test]
fn the_written_state_file_matches_the_golden_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    endpoint_list_file::save(&file, &listed_endpoints()).unwrap();
    let written = std::fs::read_to_string(&file).unwrap();
    assert_eq!(
        written,
        std::fs::read_to_string(golden("state.json")).unwrap()
    );
}

#[test]
fn the_golden_state_file_is_parsed() {
    assert_eq!(
        endpoint_list_file::load(&golden("state.json")).unwrap(),
        Some(listed_endpoints())
    );
}

/// Older versions wrote no machine names.
#[test]
fn a_state_file_without_machine_names_is_parsed() {
    let without_machines = listed_endpoints().into_iter().map(|record| EndpointRecord {
        machine: String::new(),
        ..record
    });
    assert_eq!(
        endpoint_list_file::load(&golden("state-without-machines.json")).unwrap(),
        Some(without_machines.collect())
    );
}

/// A response of the list service; weight, zone and machine also take their default values.
#[test]
fn the_golden_endpoint_list_is_parsed() {
    let list = parse_endpoint_list(&std::fs::read(golden("node-list.json")).unwrap()).unwrap();
    let with_defaults = EndpointRecord {
        address: "127.0.0.2:9002".parse().unwrap(),
        draining: false,
        build: 1,
        weight: 1.0,
        started: None,
        zone: "north".into(),
        cell: 0,
        machine_type: String::new(),
        machine: "127.0.0.2:9002".into(),
    };
    let mut expected = listed_endpoints();
    expected.insert(1, with_defaults);
    assert_eq!((list.endpoints, list.rejected), (expected, Vec::new()));
}

/// Checks that the golden file has one line of JSON for each value, and that each line is parsed as that value.
fn assert_lines_match_golden<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    values: &[T],
) {
    let file = std::fs::read_to_string(golden(name)).unwrap();
    let written: Vec<String> = values
        .iter()
        .map(|value| serde_json::to_string(value).unwrap())
        .collect();
    assert_eq!(written.join("\n") + "\n", file);
    let found: Vec<T> = file
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(found, values);
}

fn stage(number: u64, phase: StagePhase, cap: f64, age_ms: f64) -> StageMessage {
    StageMessage {
        number,
        build: 3,
        stage: 1,
        phase,
        cap,
        age_ms,
    }
}

fn stages() -> Vec<StageMessage> {
    vec![
        stage(0, StagePhase::OnTrial, 0.14, 0.0),
        stage(7, StagePhase::RollingBack, 0.0, 12.5),
        stage(8, StagePhase::Released, 1.0, 250.0),
        stage(u64::MAX, StagePhase::RolledBack, 0.5, 1.0),
    ]
}

#[test]
fn stage_messages_match_the_golden_file() {
    assert_lines_match_golden("stages.jsonl", &stages());
    let stream: String = std::fs::read_to_string(golden("stages.jsonl"))
        .unwrap()
        .lines()
        .map(|line| format!("event: stage\ndata: {line}\n\n"))
        .collect();
    assert_eq!(
        StageEventReader::default().read(stream.as_bytes()),
        Ok(stages())
    );
}

#[test]
fn votes_match_the_golden_file() {
    let vote = |verdict| VoteMessage {
        sidecar: "sidecar-2".into(),
        build: 3,
        stage: 1,
        verdict,
    };
    let verdicts = [
        VoteVerdict::Abstain,
        VoteVerdict::Promote,
        VoteVerdict::Hold,
        VoteVerdict::RollBack,
    ];
    assert_lines_match_golden("votes.jsonl", &verdicts.map(vote));
}

#[test]
fn vote_replies_match_the_golden_file() {
    let replies = [
        VoteReplyMessage {
            answer: VoteStatus::Counted,
            stage: None,
        },
        VoteReplyMessage {
            answer: VoteStatus::Moot,
            stage: Some(stages()[1]),
        },
    ];
    assert_lines_match_golden("vote-replies.jsonl", &replies);
}

/// The format of the maintenance list itself is covered by the golden tests of the settings.
#[test]
fn maintenance_requests_match_the_golden_file() {
    let list = serde_json::from_value(serde_json::json!({
        "name": "kernel", "takes": 60.0, "stalls_after": 300.0, "limits": {"out": 6, "ready_part": 0.5}
    }));
    let report = |report| MaintenanceRequest::ReportWork { grant: 77, report };
    let requests = [
        MaintenanceRequest::CreateList(list.unwrap()),
        MaintenanceRequest::PauseList(5),
        MaintenanceRequest::ResumeList(6),
        MaintenanceRequest::WithdrawList(u64::MAX),
        MaintenanceRequest::SidecarGone("sidecar-2".into()),
        MaintenanceRequest::AddVoter("sidecar-3".into()),
        MaintenanceRequest::RemoveVoter("sidecar-4".into()),
        report(WorkReport::Began),
        report(WorkReport::Succeeded),
        report(WorkReport::Failed),
    ];
    let written: Vec<String> = requests
        .iter()
        .map(|request| serde_json::to_string(request).unwrap())
        .collect();
    let file = std::fs::read_to_string(golden("asked.jsonl")).unwrap();
    assert_eq!(written.join("\n") + "\n", file);
    for line in file.lines() {
        let read: MaintenanceRequest = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), line);
    }
}

fn reserialize<T: Serialize + DeserializeOwned>(text: &str) -> String {
    serde_json::to_string(&serde_json::from_str::<T>(text).unwrap()).unwrap()
}

#[rstest]
#[case::membership("fleet.json", reserialize::<MembershipView>)]
#[case::membership_without_choices("fleet-without-choices.json", reserialize::<MembershipView>)]
#[case::replication("state-page.json", reserialize::<ReplicationView>)]
#[case::maintenance("work.json", reserialize::<MaintenanceView>)]
fn pages_match_the_golden_files(#[case] name: &str, #[case] reserialize: fn(&str) -> String) {
    let page = std::fs::read_to_string(golden(name)).unwrap();
    assert_eq!(reserialize(&page), page);
}
