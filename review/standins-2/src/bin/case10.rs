//! Pods of the earlier build stand still for a moment: keys that the new build answers meanwhile.

use limewing_review_2::client::{select, Load, Outcome};
use limewing_review_2::discovery::{Discovery, Entry};
use limewing_review_2::pod::Pod;
use limewing_review_2::record::Record;
use limewing_review_2::rollouts::{Rollouts, State};
use limewing_review_2::sidecar::{Config, Sidecar};
use limewing_review_2::{exit_with, free_address, has_trouble, CaseError, Verdict};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const EARLIER_PODS: usize = 7;
const NEW_PODS: usize = 4;
const EARLIER_BUILD: u16 = 41;
const NEW_BUILD: u16 = 42;
const RATE: f64 = 120.0;
const SERVICE_MS: u64 = 30;
/// The number of requests that follow one another for each key.
const REQUESTS_PER_KEY: u64 = 5;
/// Of the earlier build's pods, so many stand still from time to time.
const PAUSING_PODS: usize = 3;
const PAUSE: Duration = Duration::from_millis(240);
const PAUSE_INTERVAL: Duration = Duration::from_millis(2000);
const OBSERVED: Duration = Duration::from_secs(30);
/// A request that is sent on this long after the answer of the new build knows of it.
const SLACK: Duration = Duration::from_millis(150);

fn main() {
    let record = Record::create();
    let result = run(&record);
    exit_with(&record, result);
}

fn run(record: &Record) -> Result<Verdict, CaseError> {
    let start = |count: usize, build: u16| -> Vec<Pod> {
        (0..count)
            .map(|number| {
                let host = format!("s-{build:04x}{number:04x}");
                Pod::start(&host, build, SERVICE_MS, record)
            })
            .collect()
    };
    let earlier = start(EARLIER_PODS, EARLIER_BUILD);
    let new = start(NEW_PODS, NEW_BUILD);
    let entries = earlier
        .iter()
        .chain(&new)
        .map(|pod| (pod.host.clone(), Entry::new(pod.address, pod.build)));
    let discovery = Discovery::new(41, entries.collect(), record);
    let place = discovery.open();
    let on_trial = State {
        build: NEW_BUILD,
        stage: 1,
        name: "Progressing",
        cap: 0.42,
    };
    let rollouts = Rollouts::start(on_trial, record);
    let config = Config {
        listen: free_address(),
        discovery: place.address,
        rollouts: rollouts.address,
        news: rollouts.news(),
        known: discovery.whole(),
        keys_stay: true,
        pushed: false,
    };
    let mut sidecar = Sidecar::start(&config, record)?;
    let wait = Duration::from_secs(3);
    let load = Load::start(sidecar.address, 48, RATE, wait, record, |number, id| {
        let class = ["price-check", "tank-update"][number as usize % 2];
        let key = number / REQUESTS_PER_KEY;
        select(&format!("{key:016x}"), id, class, "kalogirou-oil", 3000)
    });
    std::thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < OBSERVED {
        if has_trouble() {
            // The pods do not stand still all at once.
            earlier[number % PAUSING_PODS].stand_still(PAUSE);
        }
        number += 1;
        std::thread::sleep(PAUSE_INTERVAL / PAUSING_PODS as u32);
    }
    let requests = load.stop();
    if !sidecar.is_alive() {
        return Err("the sidecar has ended".into());
    }
    drop(sidecar);
    if rollouts.is_voted_back() {
        return Err("the sidecar has voted to send the build back".into());
    }

    let new_hosts: Vec<&str> = new.iter().map(|pod| pod.host.as_str()).collect();
    // When the client had the first answer of the new build for a key.
    let mut answered_by_new: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut served = 0;
    for request in &requests {
        let Outcome::Served(value) = &request.outcome else {
            continue;
        };
        served += 1;
        let host = value.split('@').nth(1).unwrap_or_default();
        if new_hosts.contains(&host) {
            let at = answered_by_new
                .entry(&request.handle)
                .or_insert(request.answered);
            *at = request.answered.min(*at);
        }
    }
    record.say(&format!(
        "requests: {}, served: {served}, keys answered by the new build: {}",
        requests.len(),
        answered_by_new.len()
    ));
    if served * 2 < requests.len() || answered_by_new.is_empty() {
        return Err("too little was served, or nothing by the new build".into());
    }
    let mut broken = 0;
    for run in earlier.iter().flat_map(Pod::runs) {
        let Some(answered) = answered_by_new.get(run.handle.as_str()) else {
            continue;
        };
        if run.last_byte > *answered + SLACK {
            broken += 1;
            record.line_at(
                run.last_byte,
                &format!(
                    "BROKEN: id={} of key {} goes to build {} {:.3} s after an answer of build {NEW_BUILD}",
                    run.id,
                    run.handle,
                    run.build,
                    (run.last_byte - *answered).as_secs_f64()
                ),
            );
        }
    }
    record.say(&format!(
        "requests of such keys sent to the earlier build afterwards: {broken}"
    ));
    if broken == 0 {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken)
    }
}
