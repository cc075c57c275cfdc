//! Fleets of hundreds of sidecars and more than a thousand pods: nothing here has room for fewer.

use limewing::interface::{ListNews, PodEntry};
use limewing_platform::listing::{List, Listing};
use limewing_platform::news::{Report, Reports};
use limewing_standins::platform::{listing, Listed};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Pods of the largest fleet that is played.
const PODS: usize = 1100;

const NOW: Duration = Duration::from_secs(3600);

fn name(number: usize) -> String {
    format!("pod-{number:04}")
}

/// The pods of a fleet, each at an address of its own.
fn pods() -> Vec<Listed> {
    let at = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 5432));
    (0..PODS).map(|n| Listed::new(&name(n), at(n))).collect()
}

fn read(text: &str) -> Listing {
    serde_json::from_str(text).unwrap()
}

fn recalled(list: &mut List, known: Listing) -> Vec<PodEntry> {
    match list.recall(known, NOW, SystemTime::now()) {
        ListNews::Remembered(rows) => rows,
        other => panic!("a list that is remembered, not {other:?}"),
    }
}

/// Each pod's class is another one, all named by the settings: with numbers of one byte those from the 256th on were one.
#[test]
fn as_many_kinds_of_machine_as_pods_are_told_apart() {
    let kinds: Vec<String> = (0..PODS).map(|n| format!("m{n}")).collect();
    let one = |(n, pod): (usize, Listed)| {
        let text = listing(7, true, &[pod]).replace(r#""class":"m""#, &format!(r#""class":"m{n}""#));
        text.split_once('[').unwrap().1.trim_end_matches("]}").to_owned()
    };
    let entries: Vec<String> = pods().into_iter().enumerate().map(one).collect();
    let known = read(&format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, entries.join(",")));
    let rows = recalled(&mut List::new(&["a".into()], &kinds), known);
    let told: BTreeSet<_> = rows.iter().map(|row| row.kind).collect();
    assert_eq!(told.len(), PODS);
}

fn report(pod: usize) -> Report {
    Report { instance_id: name(pod), lane: "look".into(), age_ms: 0.0 }
}

/// Each pod gives a wrong answer in the same moment, and two streams tell of all: each counts once.
#[test]
fn reports_of_all_pods_told_by_two_streams_count_once() {
    let (mut reports, told) = (Reports::default(), NOW + Duration::from_millis(100));
    let mut new = |by| (0..PODS).filter(|pod| reports.is_new(by, &report(*pod), NOW, told)).count();
    assert_eq!((new("old"), new("new")), (PODS, 0));
}

/// A stream that tells without end is not remembered without end.
#[test]
fn a_flood_of_reports_is_forgotten() {
    let mut reports = Reports::default();
    assert!((0..10 * PODS).all(|pod| reports.is_new("old", &report(pod), NOW, NOW)));
    assert!(reports.is_new("new", &report(0), NOW, NOW));
    assert!(!reports.is_new("new", &report(10 * PODS - 1), NOW, NOW));
}
