//! What discovery's listings change, whatever their order and state.

use limewing_decision::interface::{EndpointUpdate, PodState};
use limewing_emulators::platform::{listing, Listed};
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn told(seq: u64, whole: bool, pods: &[Listed]) -> EndpointListing {
    serde_json::from_str(&listing(seq, whole, pods)).unwrap()
}

fn list_of(pods: &[Listed]) -> EndpointList {
    let mut list = EndpointList::new(&["a".into()], &["m".into()]);
    list.load_cached(
        told(7, true, pods),
        Duration::from_secs(3600),
        SystemTime::now(),
    );
    list
}

fn change(list: &mut EndpointList, told: EndpointListing) -> Vec<(u64, PodState)> {
    let EndpointUpdate::Delta(rows) = list
        .apply(told, Duration::from_secs(3610), SystemTime::now())
        .unwrap()
        .update
    else {
        panic!("a change")
    };
    rows.iter().map(|row| (row.pod.0, row.state)).collect()
}

fn drains(of: &Listed) -> Listed {
    Listed {
        health: "terminating",
        ..of.clone()
    }
}

/// A pod that returns soon has the same number; one that returns late has another.
#[rstest]
#[case::soon(299, true)]
#[case::late(301, false)]
fn pod_number_is_released_some_time_after_the_pod_left(#[case] later: u64, #[case] same: bool) {
    let (mut list, today) = (EndpointList::new(&[], &[]), SystemTime::now());
    let dial = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut told = |seq, pods: &[Listed], s| {
        let told: EndpointListing = serde_json::from_str(&listing(seq, true, pods)).unwrap();
        list.apply(told, Duration::from_secs(s), today).unwrap();
        list.pod_listed_at("p1", Duration::from_secs(s))
    };
    let first = told(1, &[Listed::new("p1", dial)], 1000).unwrap();
    assert_eq!(told(2, &[], 1000), None);
    told(3, &[Listed::new("p2", dial)], 1000 + later);
    assert_eq!(
        told(4, &[Listed::new("p1", dial)], 1000 + later).unwrap() == first,
        same
    );
}

/// Unchanged entries are left out of the update, also of a complete listing; what is missing from one is gone.
#[test]
fn listing_changes_only_what_differs() {
    let (one, two, three) = (
        Listed::new("p1", at(1)),
        Listed::new("p2", at(2)),
        Listed::new("p3", at(3)),
    );
    let mut list = list_of(&[one.clone(), two.clone()]);
    let moved = Listed {
        dial: at(9),
        build: 2,
        ..two.clone()
    };
    let now = Duration::from_secs(3610);
    let change = list
        .apply(told(9, true, &[moved, three]), now, SystemTime::now())
        .unwrap();
    let EndpointUpdate::Delta(rows) = change.update else {
        panic!("a change")
    };
    let told: Vec<_> = rows
        .iter()
        .map(|row| (row.pod.0, row.state, row.build.0))
        .collect();
    assert_eq!(
        told,
        [
            (1, PodState::Gone, 1),
            (2, PodState::Ready, 2),
            (3, PodState::Ready, 1)
        ]
    );
    assert_eq!(change.relocated.len(), 2);
    assert_eq!(
        (
            list.version(),
            list.incarnation(rows[1].pod).unwrap().address
        ),
        (9, at(9))
    );
}

/// An attempt that was sent before the pod came back with another build was answered by the build before.
#[test]
fn wrong_answer_of_an_earlier_build_is_not_blamed_on_the_present_one() {
    let mut list = list_of(&[Listed::new("p1", at(1))]);
    let (before, then, after) = (
        Duration::from_secs(3605),
        Duration::from_secs(3610),
        Duration::from_secs(3615),
    );
    assert!(list.pod_listed_at("p1", before).is_some());
    let next = Listed {
        build: 2,
        ..Listed::new("p1", at(1))
    };
    list.apply(told(8, false, &[next]), then, SystemTime::now())
        .unwrap();
    assert!(
        list.pod_listed_at("p1", before).is_none() && list.pod_listed_at("p1", after).is_some()
    );
}

/// A listing of an earlier version, of a discovery that began anew or lags behind, undoes nothing: what drains, left or
/// started since stays so; a pod that has started since then is as it is listed.
#[test]
fn older_listing_restores_nothing() {
    let [one, two, three] =
        [("p1", 1), ("p2", 2), ("p3", 3)].map(|(host, port)| Listed::new(host, at(port)));
    let mut list = list_of(&[one.clone(), two.clone(), three.clone()]);
    let started = Listed {
        born_ms: 5000,
        build: 2,
        ..three.clone()
    };
    change(&mut list, told(9, true, &[drains(&one), started.clone()]));
    assert_eq!(
        change(&mut list, told(3, true, &[one.clone(), two.clone(), three])),
        []
    );
    assert_eq!(list.version(), 3);
    let again = Listed {
        born_ms: 6000,
        ..one
    };
    assert_eq!(
        change(&mut list, told(2, true, &[again, started])),
        [(1, PodState::Ready)]
    );
    // From then on versions count from that one.
    assert_eq!(
        change(&mut list, told(4, false, &[two])),
        [(2, PodState::Ready)]
    );
}

/// What it removes or drains counts.
#[test]
fn older_listing_still_removes_and_drains_pods() {
    let (one, two) = (Listed::new("p1", at(1)), Listed::new("p2", at(2)));
    let mut list = list_of(&[one.clone(), two]);
    let told = change(&mut list, told(3, true, &[drains(&one)]));
    assert_eq!(told, [(2, PodState::Gone), (1, PodState::Draining)]);
}

/// An entry that can't be parsed removes its pod alone, and is reported.
#[rstest]
#[case::health("\"in_service\"", "\"resting\"")]
#[case::build("\"version_no\":1", "\"version_no\":70000")]
#[case::address("127.0.0.1:2", "somewhere")]
#[case::negative("\"born_ms\":0", "\"born_ms\":-1")]
fn unusable_entry_removes_its_pod_alone(#[case] from: &str, #[case] to: &str) {
    let (one, two) = (Listed::new("p1", at(1)), Listed::new("p2", at(2)));
    let entry = |of: &Listed| listing(1, false, std::slice::from_ref(of));
    let entry = |of: &Listed| {
        entry(of)
            .split_once('[')
            .unwrap()
            .1
            .trim_end_matches("]}")
            .to_owned()
    };
    let (good, bad) = (entry(&one), entry(&two).replacen(from, to, 1));
    let text = format!(r#"{{"seq":9,"whole":true,"hosts":[{good},{bad},17]}}"#);
    let read: EndpointListing = serde_json::from_str(&text).unwrap();
    let mut list = list_of(&[one, two]);
    let changed = list
        .apply(read.clone(), Duration::from_secs(3610), SystemTime::now())
        .unwrap();
    assert!(
        matches!(&changed.update, EndpointUpdate::Delta(rows) if rows.len() == 1 && rows[0].state == PodState::Gone)
    );
    assert!(
        changed.errors[0].starts_with("host p2: ")
            && changed.errors[1].starts_with("host unknown: ")
    );
    // The same in the list that was known before the start.
    let mut list = EndpointList::new(&[], &[]);
    let held = list.load_cached(read, Duration::from_secs(3600), SystemTime::now());
    assert!(matches!(held, EndpointUpdate::Cached(rows) if rows.len() == 1));
}
