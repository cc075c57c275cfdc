//! Whether one more machine may be out now.

use crate::words::{Limits, Machine};
use serde::{Deserialize, Serialize};

/// What whoever leads sees of the fleet: strength by machine that is ready and warm, and what speaks against work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The place in the log up to which whoever saw this had read: machines granted later count as gone beside it.
    pub upto: u64,
    /// Strength of all machines that there are, and of those that are ready, warm and not granted.
    pub all: f64,
    pub ready: f64,
    /// A zone is gone.
    pub trouble: bool,
    /// A build is on trial, or going back.
    pub trial: bool,
    /// The part of their hits that sidecars turn away, in the mean over those that hold leases.
    pub turned_away: f64,
}

impl Seen {
    pub(crate) fn fits(&self) -> bool {
        let strengths = [self.all, self.ready]
            .iter()
            .all(|strength| (0.0..=1e12).contains(strength));
        strengths && (0.0..=1.0).contains(&self.turned_away)
    }
}

/// Why a machine may not go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Why {
    #[error("the list is held, withdrawn or not whole")]
    Held,
    #[error("not all sidecars know the list yet")]
    NotKnown,
    #[error("it is not in one of the list's windows")]
    Window,
    #[error("trouble in the fleet")]
    Trouble,
    #[error("a release is on trial")]
    Trial,
    #[error("sidecars turn away more hits than the list bears")]
    Overload,
    #[error("so many are out as may be")]
    Out,
    #[error("so many of its zone are out as may be")]
    Zone,
    #[error("so many of its kind are out as may be")]
    Kind,
    #[error("one that it may not be out with is out")]
    Apart,
    #[error("too little strength would stay ready")]
    Strength,
    #[error("what the fleet looks like was not told yet")]
    Unseen,
}

/// By the limits of one list: `out` are all machines that are granted, out or not warm again, whatever their list.
/// `since` is strength that was granted after what was seen was seen.
pub(crate) fn bears(
    limits: &Limits,
    machine: &Machine,
    out: &[&Machine],
    seen: &Seen,
    since: f64,
) -> Result<(), Why> {
    let many = |of: &dyn Fn(&Machine) -> bool| out.iter().filter(|other| of(other)).count();
    let apart = |(one, other): &(String, String)| {
        let pair =
            |a: &String, b: &String| *a == machine.name && out.iter().any(|out| out.name == *b);
        pair(one, other) || pair(other, one)
    };
    if many(&|_| true) >= usize::from(limits.out) {
        return Err(Why::Out);
    }
    if limits.out_in_zone > 0
        && many(&|other| other.zone == machine.zone) >= usize::from(limits.out_in_zone)
    {
        return Err(Why::Zone);
    }
    if limits.out_of_kind > 0
        && many(&|other| other.kind == machine.kind) >= usize::from(limits.out_of_kind)
    {
        return Err(Why::Kind);
    }
    if limits.apart.iter().any(apart) {
        return Err(Why::Apart);
    }
    let left = seen.ready - since - machine.strength;
    if left < limits.ready_part * seen.all {
        return Err(Why::Strength);
    }
    Ok(())
}
