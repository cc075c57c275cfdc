//! A watch that falls silent while discovery is slow: a pod that drains meanwhile.

use limewing_review_2::client::{select, Load, Outcome};
use limewing_review_2::discovery::{Discovery, Entry};
use limewing_review_2::pod::Pod;
use limewing_review_2::record::Record;
use limewing_review_2::rollouts::{Rollouts, State};
use limewing_review_2::sidecar::{Config, Sidecar};
use limewing_review_2::{exit_with, free_address, has_trouble, CaseError, Verdict};
use std::time::{Duration, Instant};

const PODS: usize = 6;
const RATE: f64 = 80.0;
/// The time that a request takes at a pod, as in the small deployment (120 to 210 ms of work).
const SERVICE_MS: u64 = 200;
/// The slow discovery takes this long to write the first object of a new watch.
const FIRST_OBJECT_TAKES: Duration = Duration::from_millis(3000);
/// When the pod drains, after the open watches have fallen silent.
const DRAIN_AFTER: Duration = Duration::from_millis(200);
/// How long the pod's runs are watched after that.
const OBSERVED: Duration = Duration::from_secs(15);
/// A change counts as told this long after discovery had it, at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `stop_sending_within_s`, and the 50 ms by which each limit grows on sockets.
const GRACE: Duration = Duration::from_millis(1050);

fn main() {
    let record = Record::create();
    let result = run(&record);
    exit_with(&record, result);
}

fn run(record: &Record) -> Result<Verdict, CaseError> {
    let pods: Vec<Pod> = (0..PODS)
        .map(|number| Pod::start(&format!("s-{number:08x}"), 1, SERVICE_MS, record))
        .collect();
    let entries = pods
        .iter()
        .map(|pod| (pod.host.clone(), Entry::new(pod.address, pod.build)));
    let discovery = Discovery::new(41, entries.collect(), record);
    let place = discovery.open();
    let healthy = State {
        build: 1,
        stage: 2,
        name: "Healthy",
        cap: 1.0,
    };
    let rollouts = Rollouts::start(healthy, record);
    let config = Config {
        listen: free_address(),
        discovery: place.address,
        rollouts: rollouts.address,
        news: rollouts.news(),
        known: discovery.whole(),
        keys_stay: false,
        pushed: false,
    };
    let mut sidecar = Sidecar::start(&config, record)?;
    let classes = ["price-check", "tank-update"];
    let tenants = ["kalogirou-oil", "marmaras-fuel", "vlachos-energy"];
    let wait = Duration::from_secs(3);
    let load = Load::start(
        sidecar.address,
        48,
        RATE,
        wait,
        record,
        move |number, id| {
            let class = classes[number as usize % classes.len()];
            let tenant = tenants[number as usize % tenants.len()];
            select(&format!("{number:016x}"), id, class, tenant, 3000)
        },
    );
    std::thread::sleep(Duration::from_secs(4));

    let leaving = pods[0].clone();
    let start = Instant::now();
    if has_trouble() {
        discovery.silence_watches();
        discovery.set_slow(FIRST_OBJECT_TAKES);
    }
    sleep_until(start + DRAIN_AFTER);
    leaving.drain();
    let entry = Entry {
        health: "terminating",
        ..Entry::new(leaving.address, leaving.build)
    };
    discovery.set(&leaving.host, entry);
    let drained_at = Instant::now();
    sleep_until(start + OBSERVED);
    let requests = load.stop();
    if !sidecar.is_alive() {
        return Err("the sidecar has ended".into());
    }
    drop(sidecar);

    let served = requests
        .iter()
        .filter(|request| matches!(request.outcome, Outcome::Served(_)))
        .count();
    record.say(&format!("requests: {}, served: {served}", requests.len()));
    if served * 2 < requests.len() {
        return Err("less than half of the requests were served".into());
    }
    let bound = drained_at + TOLD_AFTER + GRACE;
    let after_drain: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.first_byte > drained_at)
        .collect();
    let late: Vec<_> = after_drain
        .iter()
        .filter(|run| run.first_byte > bound)
        .collect();
    record.say(&format!(
        "requests sent to the draining pod: {}, of them later than {:.2} s after its change: {}",
        after_drain.len(),
        (TOLD_AFTER + GRACE).as_secs_f64(),
        late.len()
    ));
    if let Some(last) = after_drain.iter().map(|run| run.first_byte).max() {
        let after = (last - drained_at).as_secs_f64();
        record.say(&format!("the last one {after:.2} s after the change"));
    }
    if late.is_empty() {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken)
    }
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
