//! Pins the sidecar's own formats: the state file, the installer's and the sidecar's messages, what operators and agents may
//! ask of the work on machines, and the pages that tell of fleet, state and work. Each file was written by the program; it is
//! read, and what is written again is the same bytes.

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

fn listed() -> Vec<EndpointRecord> {
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
fn the_state_file_is_written_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    endpoint_list_file::save(&file, &listed()).unwrap();
    let written = std::fs::read_to_string(&file).unwrap();
    assert_eq!(
        written,
        std::fs::read_to_string(golden("state.json")).unwrap()
    );
}

#[test]
fn the_state_file_is_read_as_before() {
    assert_eq!(
        endpoint_list_file::load(&golden("state.json")).unwrap(),
        Some(listed())
    );
}

/// Files from before rows named their machine.
#[test]
fn a_state_file_without_machines_is_read() {
    let without = listed().into_iter().map(|row| EndpointRecord {
        machine: String::new(),
        ..row
    });
    assert_eq!(
        endpoint_list_file::load(&golden("state-without-machines.json")).unwrap(),
        Some(without.collect())
    );
}

/// What the list service answers; `size`, `zone` and `machine` also by their defaults.
#[test]
fn the_node_list_is_read_as_before() {
    let list = parse_endpoint_list(&std::fs::read(golden("node-list.json")).unwrap()).unwrap();
    let by_default = EndpointRecord {
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
    let mut expected = listed();
    expected.insert(1, by_default);
    assert_eq!((list.endpoints, list.rejected), (expected, Vec::new()));
}

/// One line of JSON for each value, as it is written; each line is read as its value.
fn lines_are_as_before<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
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
fn stage_news_are_as_before() {
    lines_are_as_before("stages.jsonl", &stages());
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
fn votes_are_as_before() {
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
    lines_are_as_before("votes.jsonl", &verdicts.map(vote));
}

#[test]
fn answers_to_votes_are_as_before() {
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
    lines_are_as_before("vote-replies.jsonl", &replies);
}

/// The work list itself is pinned by the tests of the settings.
#[test]
fn what_is_asked_of_the_work_is_as_before() {
    let list = serde_json::from_value(serde_json::json!({
        "name": "kernel", "takes": 60.0, "stalls_after": 300.0, "limits": {"out": 6, "ready_part": 0.5}
    }));
    let report = |report| MaintenanceRequest::ReportWork { grant: 77, report };
    let asked = [
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
    let written: Vec<String> = asked
        .iter()
        .map(|one| serde_json::to_string(one).unwrap())
        .collect();
    let file = std::fs::read_to_string(golden("asked.jsonl")).unwrap();
    assert_eq!(written.join("\n") + "\n", file);
    for line in file.lines() {
        let read: MaintenanceRequest = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), line);
    }
}

fn again<T: Serialize + DeserializeOwned>(text: &str) -> String {
    serde_json::to_string(&serde_json::from_str::<T>(text).unwrap()).unwrap()
}

#[rstest]
#[case::fleet("fleet.json", again::<MembershipView>)]
#[case::fleet_without_choices("fleet-without-choices.json", again::<MembershipView>)]
#[case::state("state-page.json", again::<ReplicationView>)]
#[case::work("work.json", again::<MaintenanceView>)]
fn pages_are_as_before(#[case] name: &str, #[case] again: fn(&str) -> String) {
    let page = std::fs::read_to_string(golden(name)).unwrap();
    assert_eq!(again(&page), page);
}
