//! What a member holds its pods to be, by its own outcomes: what it hints to others.

use crate::says::OutlierHint;
use std::collections::BTreeMap;
use std::time::Duration;

/// How a forward ended, as far as it tells of the pod. Errors tell of builds, and are not told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutlierObservation {
    /// In so many seconds, of whatever path group: times are compared with the mean of all pods.
    Answered(f64),
    /// Reset, or silent until its time was out.
    NoResponse,
    ConnectFailed,
    Rejected,
    /// Called off after so many seconds, as a copy of it was answered first or its client went.
    Cancelled(f64),
}

/// Unanswered hits in a row that make a pod shut, and hits turned away that make it full.
const ROW: u32 = 3;
/// Slow is so many times the mean of all, over as many answers.
const SLOW: f64 = 4.0;
const SLOW_OVER: u32 = 8;
/// A forward that was called off tells something if it had waited for so many times the mean of all.
const LONG: f64 = 2.0;
/// For so long after an answer a member believes nobody else on a pod, and tells that it opened.
pub const FRESH: Duration = Duration::from_secs(5);
/// What came of a pod so long ago is forgotten.
const KEPT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    row: u32,
    away: u32,
    pace: f64,
    of: u32,
    answered: Option<Duration>,
    opened: Option<Duration>,
    shut: bool,
    last: Duration,
}

#[derive(Default)]
pub struct Health {
    pods: BTreeMap<u64, Seen>,
    /// Of all pods.
    pace: f64,
}

impl Health {
    pub fn note(&mut self, now: Duration, pod: u64, sign: OutlierObservation) {
        let seen = self.pods.entry(pod).or_default();
        seen.last = now;
        match sign {
            OutlierObservation::Answered(took) => {
                (seen.row, seen.away, seen.answered) = (0, 0, Some(now));
                seen.opened = if seen.shut { Some(now) } else { seen.opened };
                seen.shut = false;
                seen.of = (seen.of + 1).min(SLOW_OVER);
                seen.pace += (took - seen.pace) / f64::from(seen.of);
                self.pace += (took - self.pace) / 50.0;
            }
            OutlierObservation::ConnectFailed => seen.shut = true,
            // Where copies are sent to others a silent pod's forwards end so, not by their time.
            OutlierObservation::Cancelled(took) if took <= LONG * self.pace => {}
            OutlierObservation::NoResponse | OutlierObservation::Cancelled(_) => {
                seen.row += 1;
                seen.shut |= seen.row >= ROW;
            }
            OutlierObservation::Rejected => seen.away += 1,
        }
    }

    pub fn forget(&mut self, now: Duration) {
        self.pods.retain(|_, seen| now < seen.last + KEPT);
    }

    /// Whether it answered this member lately: then no hint counts.
    pub fn answered_lately(&self, pod: u64, now: Duration) -> bool {
        let lately = |seen: &Seen| !seen.shut && seen.answered.is_some_and(|at| now < at + FRESH);
        self.pods.get(&pod).is_some_and(lately)
    }

    pub fn hints(&self, now: Duration) -> Vec<(u64, OutlierHint)> {
        let slow = |seen: &Seen| seen.of >= SLOW_OVER && seen.pace > SLOW * self.pace.max(0.01);
        let hint = |seen: &Seen| match () {
            _ if seen.shut => Some(OutlierHint::Ejected),
            _ if seen.away >= ROW => Some(OutlierHint::Overloaded),
            _ if seen.opened.is_some_and(|at| now < at + FRESH) => Some(OutlierHint::Recovered),
            _ if slow(seen) => Some(OutlierHint::Slow),
            _ => None,
        };
        self.pods
            .iter()
            .filter_map(|(pod, seen)| Some((*pod, hint(seen)?)))
            .collect()
    }
}
