//! Case: a burst of half as much again, on no more client connections than the pages allow.

use crate::front::{Front, Request};
use crate::lab::{free_address, ms, sleep_until, Config, Limits, Record, Sidecar};
use crate::pg;
use crate::platform::{self, Pod};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second: "on one day two of them get up to 750".
const RATE: u64 = 500;
const BURST_RATE: u64 = RATE * 3 / 2;
/// "For requests, clients hold at most a third of the descriptors."
const MAX_CONNECTIONS: u64 = 1024 / 3;

pub fn play(root: &str, record: &Record, trouble: bool) -> i32 {
    let pods: Vec<Pod> = (0..12)
        .map(|n| Pod::start(&format!("s-{n}"), 250, record))
        .collect();
    let list = platform::listing(&pods);
    let config = Config {
        listen: free_address(),
        discovery: platform::discovery(list.clone()),
        rollouts: platform::rollouts(),
        news: platform::RELEASED.into(),
        known: list,
        limits: Limits {
            memory_mb: 32,
            sockets: 1024,
        },
    };
    let mut sidecar = Sidecar::start(root, &config, record);
    if !pg::wait_ready(sidecar.address, Duration::from_secs(20)) {
        record.say("the sidecar is not ready");
        return 2;
    }
    let front = Front::new(sidecar.address, MAX_CONNECTIONS, record);
    let began = Instant::now();
    let mut due = began;
    let mut n = 0u64;
    let mut in_burst = false;
    let mut peak_kb = 0;
    while due < began + ms(14_000) {
        let at = due - began;
        let burst = trouble && at >= ms(5000) && at < ms(11_000);
        if burst != in_burst {
            in_burst = burst;
            let open = front.open.load(Ordering::Relaxed);
            record.say(&format!("burst: {burst}, {open} connections are open"));
        }
        due += Duration::from_micros(1_000_000 / if burst { BURST_RATE } else { RATE });
        // Arrivals that this program is late for are left out, not made up for at once.
        due = due.max(Instant::now());
        sleep_until(due);
        let class = ["look", "order", "pay"][(n % 3) as usize];
        let deadline_ms = 1200 + (n * 37) % 1200;
        front.deal(Request {
            id: format!("cc{n:06x}"),
            class,
            deadline_ms,
            value: None,
        });
        n += 1;
        if n % 50 == 0 {
            peak_kb = peak_kb.max(crate::lab::own_memory_kb(sidecar.pid()).unwrap_or(0));
        }
    }
    thread::sleep(ms(3500));
    let crashed = sidecar.has_ended();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(&format!(
        "at most {} connections, answered {}, refused or failed {}, not sent for want of a connection {}, lost {}, wrong {}, crashed {crashed}, sidecar's memory at most {peak_kb} kB",
        count(&front.most),
        count(&front.answered),
        count(&front.refused),
        count(&front.not_sent),
        count(&front.lost),
        count(&front.wrong)
    ));
    i32::from(count(&front.lost) + count(&front.wrong) > 0 || crashed)
}
