//! Puts the list on disk, on a thread of its own: a disk that takes its time holds no hit up.
//!
//! How data flows: the loop puts a list up (`Keeper::put`) and goes on; the thread takes the newest one, lists overtaken
//! meanwhile are never written; one that can't be written is tried again until it is or a newer one is there. Guards
//! against a disk that syncs slowly (0.06 to 0.95 s were measured); hurts if the process is killed before the thread has
//! written: it then starts from an older list, as it would have if the loop stood still.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What can't be put there now is tried again after this, or a restart would begin with an older one.
const AGAIN: Duration = Duration::from_secs(1);

struct State<T> {
    newest: Option<T>,
    /// The thread is writing.
    at_work: bool,
    over: bool,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

pub struct Keeper<T>(Arc<Shared<T>>);

impl<T> Shared<T> {
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Send + 'static> Keeper<T> {
    /// # Errors
    /// The system gives no thread.
    pub fn start(mut write: impl FnMut(&T) -> io::Result<()> + Send + 'static) -> io::Result<Self> {
        let state = Mutex::new(State {
            newest: None,
            at_work: false,
            over: false,
        });
        let shared = Arc::new(Shared {
            state,
            changed: Condvar::new(),
        });
        let here = shared.clone();
        std::thread::Builder::new()
            .name("keeper".into())
            .spawn(move || here.work(&mut write))?;
        Ok(Self(shared))
    }

    /// Takes the place of what is not written yet.
    pub fn put(&self, newest: T) {
        self.0.lock().newest = Some(newest);
        self.0.changed.notify_all();
    }

    /// Waits until all that was put up is written, for so long at most; whether it is.
    pub fn settle(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut state = self.0.lock();
        while state.newest.is_some() || state.at_work {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self
                .0
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }
}

impl<T> Drop for Keeper<T> {
    fn drop(&mut self) {
        self.0.lock().over = true;
        self.0.changed.notify_all();
    }
}

impl<T> Shared<T> {
    fn work(&self, write: &mut impl FnMut(&T) -> io::Result<()>) {
        let mut state = self.lock();
        while !state.over {
            let Some(newest) = state.newest.take() else {
                state = self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            state.at_work = true;
            drop(state);
            let written = write(&newest);
            state = self.lock();
            state.at_work = false;
            if let Err(trouble) = written {
                tracing::warn!(%trouble, "the list could not be kept; tried again");
                if state.newest.is_none() {
                    state.newest = Some(newest);
                    let waits = |state: &mut State<T>| !state.over;
                    let wait = self.changed.wait_timeout_while(state, AGAIN, waits);
                    state = wait.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            self.changed.notify_all();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::{channel, Receiver};

    const LONG: Duration = Duration::from_secs(20);

    /// A disk that writes only when it is let, and tells what it has begun to write.
    fn slow_disk(fails: u32) -> (Keeper<u32>, Receiver<u32>, std::sync::mpsc::Sender<()>) {
        let ((began, begun), (lets, let_go)) = (channel(), channel::<()>());
        let mut fails = fails;
        let keeper = Keeper::start(move |number: &u32| {
            let _ = began.send(*number);
            let _ = let_go.recv();
            fails = fails.saturating_sub(1);
            if fails > 0 {
                Err(io::Error::other("full"))
            } else {
                Ok(())
            }
        });
        (keeper.unwrap(), begun, lets)
    }

    #[test]
    fn a_slow_disk_holds_nobody_up_and_gets_the_newest() {
        let (keeper, begun, lets) = slow_disk(0);
        keeper.put(1);
        assert_eq!(begun.recv_timeout(LONG), Ok(1));
        // The disk stands still; none of these waits for it.
        (2..100).for_each(|number| keeper.put(number));
        assert!(!keeper.settle(Duration::from_millis(1)));
        lets.send(()).unwrap();
        assert_eq!(begun.recv_timeout(LONG), Ok(99));
        lets.send(()).unwrap();
        assert!(keeper.settle(LONG) && begun.try_recv().is_err());
    }

    #[test]
    fn what_could_not_be_written_is_tried_again_unless_a_newer_one_is_there() {
        let (keeper, begun, lets) = slow_disk(3);
        keeper.put(1);
        lets.send(()).unwrap();
        assert_eq!(begun.recv_timeout(LONG), Ok(1));
        assert_eq!(begun.recv_timeout(LONG), Ok(1));
        keeper.put(2);
        (0..2).for_each(|_| lets.send(()).unwrap());
        assert_eq!(begun.recv_timeout(LONG), Ok(2));
        assert!(keeper.settle(LONG));
    }
}
