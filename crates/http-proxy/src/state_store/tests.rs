use super::StateStore;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Far longer than any step of these tests takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A store whose writes complete only when the test allows it.
struct SlowDisk {
    store: StateStore<u32>,
    /// The states whose write has begun.
    started: Receiver<u32>,
    /// Allows one write to complete.
    allow: Sender<()>,
}

/// Creates a store of which the first `failures - 1` writes fail.
fn slow_disk(failures: u32) -> SlowDisk {
    let (started_sender, started) = channel();
    let (allow, allowed) = channel::<()>();
    let mut failures = failures;
    let store = StateStore::start(move |number: &u32| {
        let _ = started_sender.send(*number);
        let _ = allowed.recv();
        failures = failures.saturating_sub(1);
        if failures > 0 {
            Err(io::Error::other("disk full"))
        } else {
            Ok(())
        }
    });
    SlowDisk {
        store: store.unwrap(),
        started,
        allow,
    }
}

#[test]
fn a_slow_disk_blocks_no_caller_and_gets_the_newest_state() {
    let disk = slow_disk(0);
    disk.store.store(1);
    assert_eq!(disk.started.recv_timeout(TIMEOUT), Ok(1));
    // The first write has not completed; none of these calls waits for it.
    for number in 2..100 {
        disk.store.store(number);
    }
    assert!(!disk.store.flush(Duration::from_millis(1)));
    disk.allow.send(()).unwrap();
    assert_eq!(disk.started.recv_timeout(TIMEOUT), Ok(99));
    disk.allow.send(()).unwrap();
    assert!(disk.store.flush(TIMEOUT));
    assert!(disk.started.try_recv().is_err());
}

#[test]
fn a_failed_write_is_retried_unless_a_newer_state_is_available() {
    let disk = slow_disk(3);
    disk.store.store(1);
    disk.allow.send(()).unwrap();
    assert_eq!(disk.started.recv_timeout(TIMEOUT), Ok(1));
    assert_eq!(disk.started.recv_timeout(TIMEOUT), Ok(1));
    disk.store.store(2);
    for _ in 0..2 {
        disk.allow.send(()).unwrap();
    }
    assert_eq!(disk.started.recv_timeout(TIMEOUT), Ok(2));
    assert!(disk.store.flush(TIMEOUT));
}
