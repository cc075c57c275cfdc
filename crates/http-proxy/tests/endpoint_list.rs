//! Tests of the endpoint list: parsing, the directory's IDs and deltas, and the state file.

use limewing_decision::interface::PodState;
use limewing_http_proxy::endpoint_directory::EndpointDirectory;
use limewing_http_proxy::endpoint_list::{
    parse_endpoint_list, EndpointListError, EndpointRecord, EntryError,
};
use limewing_http_proxy::endpoint_list_file;
use rstest::rstest;
use serde_json::{json, Value};
use std::time::{Duration, SystemTime};

fn entry(port: u16, build: &str, status: &str) -> Value {
    json!({
        "Node": {"Datacenter": "east"},
        "Service": {"ID": format!("web-{port}"), "Address": "127.0.0.1", "Port": port,
            "Meta": {"build": build, "started": "1000.5"}, "Weights": {"Passing": 4}},
        "Checks": [{"CheckID": "x", "Status": "passing"}, {"CheckID": "y", "Status": status}]
    })
}

fn parse(entries: &[Value]) -> Vec<EndpointRecord> {
    parse_endpoint_list(json!(entries).to_string().as_bytes())
        .unwrap()
        .endpoints
}

#[test]
fn valid_entries_are_returned_next_to_the_errors_of_the_others() {
    let mut invalid = entry(3, "2", "passing");
    invalid["Service"]["Address"] = json!("nowhere");
    let all = json!([entry(1, "1", "passing"), entry(2, "2", "critical"), invalid, entry(4, "70000", "passing"),
        entry(1, "1", "passing"), {"Service": 5}]);
    let list = parse_endpoint_list(all.to_string().as_bytes()).unwrap();
    let endpoints: Vec<_> = list
        .endpoints
        .iter()
        .map(|record| {
            (
                record.address.port(),
                record.build,
                record.draining,
                record.weight,
            )
        })
        .collect();
    assert_eq!(endpoints, [(1, 1, false, 4.0), (2, 2, true, 4.0)]);
    let messages: Vec<String> = list.rejected.iter().map(ToString::to_string).collect();
    assert_eq!(
        messages[..3],
        [
            "service web-3: expected an IP address, found \"nowhere\"",
            "service web-4: Meta.build: expected a number below 65536, found \"70000\"",
            "service web-1: 127.0.0.1:1 is listed twice"
        ]
    );
    assert!(matches!(
        &list.rejected[3..],
        [EndpointListError::Entry { id, cause: EntryError::Malformed(_) }] if id == "number 5"
    ));
}

#[rstest]
#[case::not_an_array(b"{}")]
#[case::truncated(b"[")]
#[case::not_utf8(b"\xff\xfe")]
fn a_body_that_is_not_a_list_is_rejected(#[case] body: &[u8]) {
    assert!(parse_endpoint_list(body).is_err());
}

#[test]
fn a_step_of_the_wall_clock_does_not_look_like_a_restart() {
    let list = parse(&[entry(1, "1", "passing")]);
    let mut directory = EndpointDirectory::new(&["east".into()]);
    let wall_clock = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs_f64(seconds);
    let first = directory.snapshot(&list, Duration::from_secs(3600), wall_clock(1002.5));
    let later = directory.snapshot(&list, Duration::from_secs(3610), wall_clock(5.0));
    assert_eq!(first[0].started_at, Some(Duration::from_secs(3598)));
    assert_eq!(
        (later[0].started_at, later[0].state),
        (first[0].started_at, PodState::Ready)
    );
    let address = directory.address(first[0].pod).unwrap();
    assert_eq!(address.to_string(), "127.0.0.1:1");
}

#[test]
fn a_delta_holds_only_changes() {
    let old = parse(&[
        entry(1, "1", "passing"),
        entry(2, "1", "passing"),
        entry(3, "1", "passing"),
    ]);
    let new = parse(&[
        entry(1, "1", "passing"),
        entry(2, "1", "critical"),
        entry(4, "2", "passing"),
    ]);
    let mut directory = EndpointDirectory::new(&["east".into()]);
    let now = Duration::from_secs(3600);
    let delta = directory.delta(&old, &new, now, SystemTime::UNIX_EPOCH);
    let delta: Vec<_> = delta
        .iter()
        .map(|endpoint| {
            let address = directory.address(endpoint.pod).unwrap();
            (address.port(), endpoint.state)
        })
        .collect();
    assert_eq!(
        delta,
        [
            (3, PodState::Gone),
            (2, PodState::Draining),
            (4, PodState::Ready)
        ]
    );
    assert!(directory
        .delta(&new, &new, now, SystemTime::UNIX_EPOCH)
        .is_empty());
}

#[test]
fn a_truncated_state_file_is_rejected_and_a_failed_save_keeps_the_old_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    assert_eq!(endpoint_list_file::load(&file).unwrap(), None);
    let list = parse(&[entry(1, "1", "passing")]);
    endpoint_list_file::save(&file, &list).unwrap();
    assert_eq!(endpoint_list_file::load(&file).unwrap(), Some(list.clone()));
    // Saving to a missing folder fails and leaves the old file unchanged.
    assert!(endpoint_list_file::save(&folder.path().join("none/state.json"), &list).is_err());
    assert_eq!(endpoint_list_file::load(&file).unwrap(), Some(list));
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, &text[..text.len() / 2]).unwrap();
    assert!(endpoint_list_file::load(&file).is_err());
}
