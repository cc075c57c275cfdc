//! Locks that emulators share between their threads.

use std::sync::{Mutex, MutexGuard};

/// Takes a lock. A thread that panics with it fails the test or trial, so that its state is of no use to others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}
