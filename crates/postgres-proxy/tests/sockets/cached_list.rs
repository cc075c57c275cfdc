//! Tests what a sidecar does with the endpoint list from before its start while discovery does not answer.

use crate::helpers::{start_sidecar_with_file, statement_of_class};
use limewing_emulators::platform::{
    Answer, Client, Discovery, ListedPod, Pod, PodBehavior, SidecarConfigFile,
};
use rstest::rstest;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// How long requests are sent after the grace period.
const OBSERVED: Duration = Duration::from_millis(1500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Sends a request, and returns whether it was served.
fn is_served(client: &mut Client) -> bool {
    client.send_query(&statement_of_class("look", 1000));
    client.read_answer() == Answer::Row("red".into())
}

/// Returns how many statements arrived since the last call.
fn count_new_statements(pods: &[Pod]) -> usize {
    pods.iter()
        .flat_map(|pod| pod.events.try_iter())
        .filter(|event| event.starts_with("SELECT"))
        .count()
}

/// Pods started draining before the sidecar started, which discovery does not tell: its calls end with 503, or are refused. Guards
/// against attempts at them past the grace period (review case 9): they got them for 2 s, or for as long as connections were refused. A pod that
/// has served a request since the start serves the others.
#[rstest]
#[case::unavailable(Some(Discovery::unavailable()))]
#[case::connection_refused(None)]
fn pods_that_drained_before_the_start_get_nothing_after_the_grace(
    #[case] discovery: Option<Discovery>,
) {
    let draining = [(); 4].map(|()| Pod::new(vec![PodBehavior::Error("53300")]));
    let serving = Pod::new(vec![PodBehavior::Answer("red")]);
    let mut pods = vec![ListedPod::new("p0", serving.address)];
    for (pod, host) in draining.iter().zip(["p1", "p2", "p3", "p4"]) {
        pods.push(ListedPod::new(host, pod.address));
    }
    // With other sidecars, a sidecar sends some requests to pods that it knows to be slower.
    let mut config = SidecarConfigFile {
        count_and_index: (8, 0),
        drain_grace_s: DRAIN_GRACE.as_secs_f64(),
        ..SidecarConfigFile::new(pods)
    };
    if let Some(discovery) = &discovery {
        config.discovery = discovery.address;
    }
    let address = start_sidecar_with_file(PathBuf::from("none"), &config);
    let grace_ends_at = Instant::now() + DRAIN_GRACE;
    let mut client = Client::new(address);
    while !is_served(&mut client) {}
    assert!(Instant::now() < grace_ends_at, "too slow for this test");
    sleep(grace_ends_at.saturating_duration_since(Instant::now()));
    // Those within the grace period are allowed.
    count_new_statements(&draining);

    let mut served = 0;
    while Instant::now() < grace_ends_at + OBSERVED {
        served += usize::from(is_served(&mut client));
        sleep(REQUEST_INTERVAL);
    }
    assert_eq!(count_new_statements(&draining), 0);
    assert!(served > 0);
}
