use super::StateStore;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Far longer than any step here takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A store on a disk that writes only when it is allowed to.
struct SlowDisk {
    store: StateStore<u32>,
    /// Numbers whose write has begun.
    begun: Receiver<u32>,
    /// Lets one write end.
    allow: Sender<()>,
}

/// The first `failures - 1` writes fail.
fn slow_disk(failures: u32) -> SlowDisk {
    let (begin, begun) = channel();
    let (allow, allowed) = channel::<()>();
    let mut failures = failures;
    let store = StateStore::start(move |number: &u32| {
        let _ = begin.send(*number);
        let _ = allowed.recv();
        failures = failures.saturating_sub(1);
        if failures > 0 {
            Err(io::Error::other("full"))
        } else {
            Ok(())
        }
    });
    SlowDisk {
        store: store.unwrap(),
        begun,
        allow,
    }
}

#[test]
fn a_slow_disk_blocks_nobody_and_gets_the_newest_state() {
    let disk = slow_disk(0);
    disk.store.store(1);
    assert_eq!(disk.begun.recv_timeout(TIMEOUT), Ok(1));
    // The first write has not ended; none of these waits for it.
    for number in 2..100 {
        disk.store.store(number);
    }
    assert!(!disk.store.flush(Duration::from_millis(1)));
    disk.allow.send(()).unwrap();
    assert_eq!(disk.begun.recv_timeout(TIMEOUT), Ok(99));
    disk.allow.send(()).unwrap();
    assert!(disk.store.flush(TIMEOUT));
    assert!(disk.begun.try_recv().is_err());
}

#[test]
fn a_failed_write_is_retried_unless_a_newer_state_is_there() {
    let disk = slow_disk(3);
    disk.store.store(1);
    disk.allow.send(()).unwrap();
    assert_eq!(disk.begun.recv_timeout(TIMEOUT), Ok(1));
    assert_eq!(disk.begun.recv_timeout(TIMEOUT), Ok(1));
    disk.store.store(2);
    for _ in 0..2 {
        disk.allow.send(()).unwrap();
    }
    assert_eq!(disk.begun.recv_timeout(TIMEOUT), Ok(2));
    assert!(disk.store.flush(TIMEOUT));
}
