//! Tests the changes that listings from discovery make to the endpoint list, in any order and
//! state.

use limewing_decision::interface::{EndpointUpdate, PodState};
use limewing_emulators::platform::{endpoint_listing_json, ListedPod};
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

fn local_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn parse_listing(seq: u64, is_complete: bool, pods: &[ListedPod]) -> EndpointListing {
    serde_json::from_str(&endpoint_listing_json(seq, is_complete, pods)).unwrap()
}

fn list_with(pods: &[ListedPod]) -> EndpointList {
    let mut list = EndpointList::new(&["a".into()], &["m".into()]);
    list.load_cached(
        parse_listing(7, true, pods),
        Duration::from_secs(3600),
        SystemTime::now(),
    );
    list
}

fn apply_listing(list: &mut EndpointList, update: EndpointListing) -> Vec<(u64, PodState)> {
    let EndpointUpdate::Delta(rows) = list
        .apply(update, Duration::from_secs(3610), SystemTime::now())
        .unwrap()
        .update
    else {
        panic!("expected a delta update")
    };
    rows.iter().map(|row| (row.pod.0, row.state)).collect()
}

fn draining(pod: &ListedPod) -> ListedPod {
    ListedPod {
        state: "terminating",
        ..pod.clone()
    }
}

/// A pod that returns soon keeps its number; one that returns later gets a new number.
#[rstest]
#[case::soon(299, true)]
#[case::later(301, false)]
fn pod_number_is_released_some_time_after_the_pod_left(
    #[case] absent_s: u64,
    #[case] keeps_number: bool,
) {
    let (mut list, wall_clock) = (EndpointList::new(&[], &[]), SystemTime::now());
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut apply = |seq, pods: &[ListedPod], now_s| {
        let update: EndpointListing =
            serde_json::from_str(&endpoint_listing_json(seq, true, pods)).unwrap();
        list.apply(update, Duration::from_secs(now_s), wall_clock)
            .unwrap();
        list.pod_listed_at("p1", Duration::from_secs(now_s))
    };
    let original = apply(1, &[ListedPod::new("p1", address)], 1000).unwrap();
    assert_eq!(apply(2, &[], 1000), None);
    apply(3, &[ListedPod::new("p2", address)], 1000 + absent_s);
    assert_eq!(
        apply(4, &[ListedPod::new("p1", address)], 1000 + absent_s).unwrap() == original,
        keeps_number
    );
}

/// Unchanged entries are omitted from the update, also for a complete listing; pods missing from a
/// complete listing are gone.
#[test]
fn update_contains_only_changed_entries() {
    let (first, second, third) = (
        ListedPod::new("p1", local_address(1)),
        ListedPod::new("p2", local_address(2)),
        ListedPod::new("p3", local_address(3)),
    );
    let mut list = list_with(&[first.clone(), second.clone()]);
    let moved = ListedPod {
        address: local_address(9),
        build: 2,
        ..second.clone()
    };
    let now = Duration::from_secs(3610);
    let change = list
        .apply(
            parse_listing(9, true, &[moved, third]),
            now,
            SystemTime::now(),
        )
        .unwrap();
    let EndpointUpdate::Delta(rows) = change.update else {
        panic!("expected a delta update")
    };
    let updated: Vec<_> = rows
        .iter()
        .map(|row| (row.pod.0, row.state, row.build.0))
        .collect();
    assert_eq!(
        updated,
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
        (9, local_address(9))
    );
}

/// An attempt sent before the pod restarted with another build was answered by the previous build.
#[test]
fn wrong_answer_of_an_earlier_build_is_not_attributed_to_the_current_one() {
    let mut list = list_with(&[ListedPod::new("p1", local_address(1))]);
    let (before, restart, after) = (
        Duration::from_secs(3605),
        Duration::from_secs(3610),
        Duration::from_secs(3615),
    );
    assert!(list.pod_listed_at("p1", before).is_some());
    let restarted = ListedPod {
        build: 2,
        ..ListedPod::new("p1", local_address(1))
    };
    list.apply(
        parse_listing(8, false, &[restarted]),
        restart,
        SystemTime::now(),
    )
    .unwrap();
    assert!(
        list.pod_listed_at("p1", before).is_none() && list.pod_listed_at("p1", after).is_some()
    );
}

/// A listing with a lower version, from a discovery instance that restarted or lags behind, reverts
/// nothing: pods that are draining, have left or have restarted remain so. A pod that has restarted
/// since then is updated.
#[test]
fn older_listing_reverts_nothing() {
    let [first, second, third] = [("p1", 1), ("p2", 2), ("p3", 3)]
        .map(|(host, port)| ListedPod::new(host, local_address(port)));
    let mut list = list_with(&[first.clone(), second.clone(), third.clone()]);
    let restarted = ListedPod {
        started_at_ms: 5000,
        build: 2,
        ..third.clone()
    };
    apply_listing(
        &mut list,
        parse_listing(9, true, &[draining(&first), restarted.clone()]),
    );
    assert_eq!(
        apply_listing(
            &mut list,
            parse_listing(3, true, &[first.clone(), second.clone(), third])
        ),
        []
    );
    assert_eq!(list.version(), 3);
    let restarted_later = ListedPod {
        started_at_ms: 6000,
        ..first
    };
    assert_eq!(
        apply_listing(
            &mut list,
            parse_listing(2, true, &[restarted_later, restarted])
        ),
        [(1, PodState::Ready)]
    );
    // Later versions are compared with this one.
    assert_eq!(
        apply_listing(&mut list, parse_listing(4, false, &[second])),
        [(2, PodState::Ready)]
    );
}

/// An older listing still applies where it removes or drains a pod.
#[test]
fn older_listing_still_removes_and_drains_pods() {
    let (first, second) = (
        ListedPod::new("p1", local_address(1)),
        ListedPod::new("p2", local_address(2)),
    );
    let mut list = list_with(&[first.clone(), second]);
    let updated = apply_listing(&mut list, parse_listing(3, true, &[draining(&first)]));
    assert_eq!(updated, [(2, PodState::Gone), (1, PodState::Draining)]);
}

/// An invalid entry removes only its own pod, and is reported.
#[rstest]
#[case::health("\"in_service\"", "\"resting\"")]
#[case::build("\"version_no\":1", "\"version_no\":70000")]
#[case::address("127.0.0.1:2", "somewhere")]
#[case::negative("\"born_ms\":0", "\"born_ms\":-1")]
fn invalid_entry_removes_only_its_own_pod(#[case] from: &str, #[case] to: &str) {
    let (first, second) = (
        ListedPod::new("p1", local_address(1)),
        ListedPod::new("p2", local_address(2)),
    );
    let single_listing =
        |pod: &ListedPod| endpoint_listing_json(1, false, std::slice::from_ref(pod));
    let entry = |pod: &ListedPod| {
        single_listing(pod)
            .split_once('[')
            .unwrap()
            .1
            .trim_end_matches("]}")
            .to_owned()
    };
    let (valid, invalid) = (entry(&first), entry(&second).replacen(from, to, 1));
    let object = format!(r#"{{"seq":9,"whole":true,"hosts":[{valid},{invalid},17]}}"#);
    let parsed: EndpointListing = serde_json::from_str(&object).unwrap();
    let mut list = list_with(&[first, second]);
    let change = list
        .apply(parsed.clone(), Duration::from_secs(3610), SystemTime::now())
        .unwrap();
    assert!(
        matches!(&change.update, EndpointUpdate::Delta(rows) if rows.len() == 1 && rows[0].state == PodState::Gone)
    );
    assert!(
        change.errors[0].starts_with("host p2: ") && change.errors[1].starts_with("host unknown: ")
    );
    // The same applies to the cached list.
    let mut list = EndpointList::new(&[], &[]);
    let cached = list.load_cached(parsed, Duration::from_secs(3600), SystemTime::now());
    assert!(matches!(cached, EndpointUpdate::Cached(rows) if rows.len() == 1));
}

/// After a new configuration the former service tells changes late, several of them. Guards against a draining pod that counts as in
/// service again (review case 7): the first late listing lowered the version, so that the second one passed for a newer one.
#[test]
fn late_listings_of_a_former_service_revert_nothing() {
    let in_service = ListedPod::new("p1", local_address(1));
    let draining = ListedPod {
        state: "terminating",
        ..in_service.clone()
    };
    let mut list = list_with(std::slice::from_ref(&in_service));
    let told = apply_listing(&mut list, parse_listing(44, false, &[draining]));
    assert_eq!(told, [(1, PodState::Draining)]);
    for version in [42, 43] {
        let late = parse_listing(version, false, std::slice::from_ref(&in_service));
        let change = list
            .apply_former(late, Duration::from_secs(3611), SystemTime::now())
            .unwrap();
        let EndpointUpdate::FormerDelta(rows) = change.update else {
            panic!("expected an update of a former service")
        };
        assert!(rows.is_empty());
        assert_eq!(list.version(), 44);
    }
}
