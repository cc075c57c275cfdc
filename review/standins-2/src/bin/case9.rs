//! Lists are pushed, and a sidecar is killed and starts again while discovery is down.

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
/// Times after the sidecar is killed: the pod drains, discovery goes down, the sidecar starts again.
const DRAIN_AFTER: Duration = Duration::from_millis(500);
const DOWN_AFTER: Duration = Duration::from_millis(1000);
const RESTART_AFTER: Duration = Duration::from_millis(1500);
/// How long discovery is down.
const DOWN_FOR: Duration = Duration::from_secs(8);
const OBSERVED: Duration = Duration::from_secs(9);
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
    let mut config = Config {
        listen: free_address(),
        discovery: place.address,
        rollouts: rollouts.address,
        news: rollouts.news(),
        known: discovery.whole(),
        keys_stay: false,
        pushed: true,
    };
    let sidecar = Sidecar::start(&config, record)?;
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
    // The sidecar is killed. Its machine's agent goes on to learn.
    config.known = discovery.whole();
    drop(sidecar);
    let killed = Instant::now();
    sleep_until(killed + DRAIN_AFTER);
    leaving.drain();
    let entry = Entry {
        health: "terminating",
        ..Entry::new(leaving.address, leaving.build)
    };
    discovery.set(&leaving.host, entry);
    sleep_until(killed + DOWN_AFTER);
    if has_trouble() {
        discovery.set_down(true);
    }
    sleep_until(killed + RESTART_AFTER);
    // From the first moment of the new process, what the agent has counts as told.
    let told = Instant::now();
    let mut sidecar = Sidecar::start(&config, record)?;
    sleep_until(killed + DOWN_AFTER + DOWN_FOR);
    discovery.set_down(false);
    sleep_until(killed + OBSERVED);
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
    // The new process begins within 20 ms.
    let bound = told + GRACE + Duration::from_millis(20);
    let after_drain: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.first_byte > told)
        .collect();
    let late: Vec<_> = after_drain
        .iter()
        .filter(|run| run.first_byte > bound)
        .collect();
    record.say(&format!(
        "requests sent to the draining pod: {}, of them later than {:.2} s after the start: {}",
        after_drain.len(),
        GRACE.as_secs_f64(),
        late.len()
    ));
    if let Some(last) = after_drain.iter().map(|run| run.first_byte).max() {
        let after = (last - told).as_secs_f64();
        record.say(&format!("the last one {after:.2} s after the start"));
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
