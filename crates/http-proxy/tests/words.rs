//! Lists, stage news, votes and the state file: bytes in, words out.

use limewing_decision::interface::{PodState, VoteAnswer};
use limewing_http_proxy::endpoint_list::{parse_endpoint_list, EndpointDirectory};
use limewing_http_proxy::endpoint_list_file;
use limewing_http_proxy::request_classifier::path_of;
use limewing_http_proxy::stage_updates::{
    parse_vote_response, StageEventReader, StageMessage, StagePhase, StageUpdateFilter,
};
use limewing_proxy_core::backoff::Backoff;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;
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

#[test]
fn a_list_tells_what_it_can_and_what_it_cannot_use() {
    let mut odd = entry(3, "2", "passing");
    odd["Service"]["Address"] = json!("nowhere");
    let all = json!([entry(1, "1", "passing"), entry(2, "2", "critical"), odd, entry(4, "70000", "passing"),
        entry(1, "1", "passing"), {"Service": 5}]);
    let (rows, troubles) = parse_endpoint_list(all.to_string().as_bytes()).unwrap();
    let seen: Vec<_> = rows
        .iter()
        .map(|row| (row.address.port(), row.build, row.draining, row.weight))
        .collect();
    assert_eq!(seen, [(1, 1, false, 4.0), (2, 2, true, 4.0)]);
    assert_eq!(troubles.len(), 4);
}

#[rstest]
#[case(b"{}")]
#[case(b"[")]
#[case(b"\xff\xfe")]
fn a_list_that_is_none_is_refused_whole(#[case] body: &[u8]) {
    assert!(parse_endpoint_list(body).is_err());
}

#[test]
fn a_step_of_the_time_of_day_looks_like_no_restart() {
    let (rows, _) =
        parse_endpoint_list(json!([entry(1, "1", "passing")]).to_string().as_bytes()).unwrap();
    let mut book = EndpointDirectory::new(&["east".into()]);
    let day = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs_f64(seconds);
    let first = book.entries(&rows, Duration::from_secs(3600), day(1002.5));
    let later = book.entries(&rows, Duration::from_secs(3610), day(5.0));
    assert_eq!(first[0].started_at, Some(Duration::from_secs(3598)));
    assert_eq!(
        (later[0].started_at, later[0].state),
        (first[0].started_at, PodState::Ready)
    );
    let address = book.address(first[0].pod).unwrap();
    assert_eq!(address.to_string(), "127.0.0.1:1");
}

#[test]
fn stage_news_come_whole_however_they_are_cut() {
    let text =
        ": ping\n\nevent: other\ndata: {}\n\nevent: stage\r\ndata: {\"build\":2,\"stage\":1,\r\n\
        data: \"phase\":\"on_trial\",\"cap\":0.4}\r\n\r\n";
    let mut reader = StageEventReader::default();
    let news: Vec<_> = text
        .bytes()
        .flat_map(|byte| reader.take(&[byte]).unwrap())
        .collect();
    assert_eq!(news.len(), 1);
    assert_eq!((news[0].build, news[0].stage, news[0].cap), (2, 1, 0.4));
}

#[test]
fn only_what_changed_is_told_again() {
    let list = |entries: &[Value]| {
        parse_endpoint_list(json!(entries).to_string().as_bytes())
            .unwrap()
            .0
    };
    let old = list(&[
        entry(1, "1", "passing"),
        entry(2, "1", "passing"),
        entry(3, "1", "passing"),
    ]);
    let new = list(&[
        entry(1, "1", "passing"),
        entry(2, "1", "critical"),
        entry(4, "2", "passing"),
    ]);
    let mut book = EndpointDirectory::new(&["east".into()]);
    let now = Duration::from_secs(3600);
    let told = book.changes(&old, &new, now, SystemTime::UNIX_EPOCH);
    let told: Vec<_> = told
        .iter()
        .map(|row| (book.address(row.pod).unwrap().port(), row.state))
        .collect();
    assert_eq!(
        told,
        [
            (3, PodState::Gone),
            (2, PodState::Draining),
            (4, PodState::Ready)
        ]
    );
    assert!(book
        .changes(&new, &new, now, SystemTime::UNIX_EPOCH)
        .is_empty());
}

#[rstest]
#[case::no_news("data: {\"build\": 99999}\n\n")]
#[case::endless(&"x".repeat(20_000))]
fn a_stream_that_cannot_be_read_is_refused(#[case] text: &str) {
    assert!(StageEventReader::default().take(text.as_bytes()).is_err());
}

#[rstest]
#[case("/quotes/1?x=/y", "/quotes/1")]
#[case("http://a.example/quotes/1?x", "/quotes/1")]
#[case("http://a.example", "/")]
#[case("/to?url=http://b/c", "/to")]
fn the_path_of_a_target(#[case] target: &str, #[case] want: &str) {
    assert_eq!(path_of(target), want);
}

#[rstest]
#[case(200, r#"{"answer": "counted"}"#, VoteAnswer::Counted)]
#[case(200, r#"{"answer": "moot"}"#, VoteAnswer::Moot)]
#[case(200, "thanks", VoteAnswer::Failed)]
#[case(429, "", VoteAnswer::Full)]
#[case(500, "", VoteAnswer::Failed)]
fn what_an_answer_to_a_vote_says(
    #[case] status: u16,
    #[case] body: &str,
    #[case] want: VoteAnswer,
) {
    assert_eq!(parse_vote_response(status, body.as_bytes()).0, want);
}

#[test]
fn the_state_file_comes_back_whole_or_not_at_all() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("state.json");
    assert_eq!(endpoint_list_file::load(&file), Ok(None));
    let (rows, _) =
        parse_endpoint_list(json!([entry(1, "1", "passing")]).to_string().as_bytes()).unwrap();
    endpoint_list_file::save(&file, &rows).unwrap();
    assert_eq!(endpoint_list_file::load(&file), Ok(Some(rows.clone())));
    // A folder that is gone: the old file is not touched.
    assert!(endpoint_list_file::save(&folder.path().join("none/state.json"), &rows).is_err());
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, &text[..text.len() / 2]).unwrap();
    assert!(endpoint_list_file::load(&file).is_err());
}

#[rstest]
#[case::plenty(20_000, usize::MAX, 18_952, 19_976)]
#[case::few_descriptors(64, usize::MAX, 30, 40)]
#[case::fewer_than_it_needs(10, usize::MAX, 1, 2)]
#[case::little_memory(20_000, 100_000_000, 500, 19_976)]
fn clients_leave_room_for_pods_and_news(
    #[case] descriptors: usize,
    #[case] memory: usize,
    #[case] accepted: usize,
    #[case] shared: usize,
) {
    assert_eq!(
        DescriptorBudget::new(descriptors, memory, 100_000),
        DescriptorBudget {
            max_accepted: accepted,
            max_connections: shared
        }
    );
}

fn message(number: u64, cap: f64) -> StageMessage {
    StageMessage {
        number,
        build: 2,
        stage: 0,
        phase: StagePhase::OnTrial,
        cap,
        age_ms: 0.0,
    }
}

/// Which of some news, given by number, is let through.
#[rstest]
#[case::in_order(&[1, 2, 3], &[true, true, true])]
#[case::told_again(&[2, 2], &[true, true])]
#[case::a_late_answer(&[1, 3, 2, 3], &[true, true, false, true])]
#[case::not_counted(&[0, 0], &[true, true])]
fn news_never_goes_back(#[case] numbers: &[u64], #[case] want: &[bool]) {
    let mut latest = StageUpdateFilter::default();
    let taken: Vec<bool> = numbers
        .iter()
        .map(|n| latest.take(message(*n, 0.5)).is_some())
        .collect();
    assert_eq!(taken, want);
}

#[rstest]
fn waits_for_a_lost_service_grow_to_a_bound_and_differ() {
    let waits = |seed| {
        let mut again = Backoff::new(seed);
        (0..8).map(|_| again.next_delay()).collect::<Vec<_>>()
    };
    let (one, other) = (waits(1), waits(2));
    let (least, most) = (Duration::from_millis(250), Duration::from_secs(4));
    assert!(
        one.iter().all(|wait| (least..=most).contains(wait)),
        "{one:?}"
    );
    assert!(
        one[7] >= Duration::from_secs(2) && one != other && one == waits(1),
        "{one:?} {other:?}"
    );
}

#[rstest]
fn a_service_that_answered_is_soon_asked_again() {
    let mut again = Backoff::new(7);
    (0..8).for_each(|_| assert!(again.next_delay() > Duration::ZERO));
    again.reset();
    assert!(again.next_delay() <= Duration::from_millis(500));
}
