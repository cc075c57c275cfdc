//! What this host decides beside the module, with no I/O and no clock: how long a party is waited for and how much of
//! it is borne, whose connection goes first, and what a connection that ends proves.

use limewing_proxy_core::shutdown::ShutdownTimeouts;
use std::io::ErrorKind;
use std::time::Duration;

/// A connection whose client says nothing whole for so long is closed.
pub const SPEAKS_WITHIN: Duration = Duration::from_millis(1500);
/// A connection without a hit may be closed once it has been idle for so long.
const IDLE_ENOUGH: Duration = Duration::from_secs(2);
/// One that has just come is not yet taken for idle.
const JUST_CAME: Duration = Duration::from_millis(200);
pub const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Statements that may wait behind the one that is served: more are no client's that means well.
pub const MOST_WAITING: usize = 8;
/// Before a hit's time is up its final answer must be on its way, so long before or an eighth of the time, if that is
/// less.
const MARGIN: Duration = Duration::from_millis(30);

pub fn margin(waits: Duration) -> Duration {
    MARGIN.min(waits / 8)
}

/// A client that can't be understood hears so after this time, and is read no further meanwhile. Guards against
/// one that says the same again as soon as it is turned away. Hurts a client with a fault by that wait.
pub const TURNED_AWAY_AFTER: Duration = Duration::from_millis(1000);
/// How long a pod may take to say that the next forward may come, once it has answered.
pub const READY_WITHIN: Duration = Duration::from_millis(200);
/// An answer that has begun is whole within this time: a pod writes it in one go. Guards against lengths that
/// don't fit, for which nothing more ever comes. Hurts where a pod stands still in the middle of an answer.
pub const WHOLE_WITHIN: Duration = Duration::from_millis(150);
/// A connection that has just carried an answer rests so long before it carries the next. Guards against a second copy of the
/// answer, which comes some milliseconds after the first and would be taken for the next one's; what comes while it rests
/// is seen, and the connection closed. Hurts by a connection more to a pod that is asked again within that time.
pub const RESTS: Duration = Duration::from_millis(50);
/// How long the last byte is held back once the empty query is answered: a reset that the first bytes brought
/// about comes right behind that answer. Hurts each forward by that time.
pub const HELD_BACK: Duration = Duration::from_millis(2);
/// Connections that may break under a forward before it is written; then the pod counts as not reached. Guards
/// against kept connections that a pod, or what stands between, has forgotten. Hurts by the time that they take.
const MOST_BROKEN: u8 = 3;
/// The part of the time told after which idle connections to pods are closed from here: the pod's own close must not
/// cross a forward.
const KEPT_PART: f64 = 0.7;

/// What discovery has to tell counts as told after this time, whether it arrived or not: a list that is no longer heard of
/// is relied on for so long.
pub const LIST_LEASE: Duration = Duration::from_secs(6);
/// The same once a new configuration has moved discovery.
pub const MOVED_LEASE: Duration = Duration::from_secs(4);
/// An empty line comes on a watch every two seconds: one that says nothing whole for longer is lost. Hurts by a call more
/// where an empty line is late by a third of a second.
pub const LIST_QUIET_AT_MOST: Duration = Duration::from_millis(2300);
/// The answer to a watch begins within this time; its first object is then waited for as any other. Discovery works through
/// its calls in turn, and one that waits too long there is refused by discovery itself after two seconds. A caller that
/// gives up sooner leaves its call in the queue: the work is done for nobody, and it calls again. Guards against a discovery
/// that is no more than silent; hurts by the time that it takes to try once more.
pub const LIST_BEGINS_WITHIN: Duration = Duration::from_millis(2100);
/// A new configuration may be half written when its signal comes: one that can't be used is read again after this, then
/// after twice as long each time, so often. What it moves binds after 4 s.
const READ_AGAIN_AFTER: Duration = Duration::from_millis(50);
const MOST_READ_AGAIN: u32 = 6;

/// When a configuration is read again that could not be used so many times; none if that is enough.
pub fn read_again(tried: u32) -> Option<Duration> {
    (tried < MOST_READ_AGAIN).then(|| READ_AGAIN_AFTER * (1 << tried))
}

/// How long connections go on coming after a sidecar was told to leave (the protocol: 0.2 to 0.4 s), and a moment for
/// those that are on their way.
pub const STILL_FOUND: Duration = Duration::from_millis(550);
/// A sidecar that was told to leave is killed no sooner than the longest deadline, counted as this where it is longer, and
/// `KILLED_AFTER` more.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// So long before it may be killed all is answered, and it ends: answers still have to be read by their clients. Hurts
/// requests that would have been answered in that time.
const ANSWERED_BEFORE: Duration = Duration::from_millis(200);
const ENDED_BEFORE: Duration = Duration::from_millis(50);

/// The times of a shutdown, from the longest deadline that the settings name: what a request itself brings may be longer,
/// and is cut short by them.
pub fn shutdown(longest: Duration) -> ShutdownTimeouts {
    let killed = longest.min(LONGEST_COUNTED) + KILLED_AFTER;
    ShutdownTimeouts {
        stop_accepting: STILL_FOUND,
        respond_to_all: killed - ANSWERED_BEFORE,
        exit: killed - ENDED_BEFORE,
    }
}

/// What becomes of a forward whose connection ended or said what can't be an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another connection to the same pod carries it: it was not written.
    Again,
    /// It was not written, and the pod counts as not reached.
    Unreached,
    /// It may have run.
    Broken,
}

/// A connection ended under a forward, before (`unwritten`) or after its last byte was with the system; so many had
/// before it.
pub fn after_end(unwritten: bool, why: ErrorKind, broken: u8) -> Next {
    // Who refuses or is silent will do so again; what broke may have been the connection alone.
    let stays = matches!(why, ErrorKind::ConnectionRefused | ErrorKind::TimedOut);
    match unwritten {
        true if stays || broken >= MOST_BROKEN => Next::Unreached,
        true => Next::Again,
        false => Next::Broken,
    }
}

/// A pod said what can't be an answer, while its connection came up, while the last byte was held back (`unwritten`), or
/// after it.
pub fn after_noise(opening: bool, unwritten: bool, broken: u8) -> Next {
    match unwritten {
        // What comes before the empty query's answer is left from the hit before: the connection's fault.
        true if !opening && broken < MOST_BROKEN => Next::Again,
        true => Next::Unreached,
        // As one that broke off: bytes that went astray speak against no build.
        false => Next::Broken,
    }
}

/// How long a connection to a pod is kept idle, of the time after which the pod closes it.
pub fn kept(told: Duration) -> Duration {
    told.mul_f64(KEPT_PART)
}

/// A client's connection that has no hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Idle {
    /// It has had an answer to a statement of the form that is served.
    pub served: bool,
    pub since: Duration,
}

/// Whether it may be closed now that more than half of the clients' room is taken: some keep theirs for good.
pub fn overstays(idle: &Idle, clients: usize, room: usize, now: Duration) -> bool {
    clients > room / 2 && idle.served && now >= idle.since + IDLE_ENOUGH
}

/// Clients wait to be let in: an eighth of those that ask nothing goes, first those that never did, then the oldest.
pub fn make_room<T: Ord>(idle: Vec<(Idle, T)>, now: Duration) -> Vec<T> {
    let mut idle: Vec<(Idle, T)> = idle
        .into_iter()
        .filter(|(i, _)| now >= i.since + JUST_CAME)
        .collect();
    idle.sort_unstable();
    let some = idle.len().div_ceil(8);
    idle.into_iter().take(some).map(|(_, id)| id).collect()
}

#[cfg(test)]
mod tests;
