//! Access to mutexes that the threads of emulators share.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. A thread that panics with the lock fails the test or trial, so that other threads need not recover its state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}
