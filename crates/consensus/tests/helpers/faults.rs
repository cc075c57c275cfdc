//! Scripts of faults: drawn at random, and cut down to those steps that matter.

use limewing_fault_injection::{Fault, LinkConditions, Script, ScriptStep, Selector};
use nanorand::{Rng, WyRand};

/// No faults are drawn in the last seconds of a script.
const QUIET_AT_END: f64 = 4.0;
/// The last so many seconds of a script all nodes run and all lines are good.
const GOOD_AT_END: f64 = 1.5;
/// A disk is lost at most so often, in seconds: the cluster needs time to take the new node in.
const LOST_DISK_INTERVAL: f64 = 12.0;

fn good_conditions() -> LinkConditions {
    LinkConditions {
        delay_ms: 1.0,
        jitter_ms: 8.0,
        ..LinkConditions::default()
    }
}

/// A script over lines that lose this share of the packets.
pub(crate) fn script(seconds: f64, loss: f64, steps: Vec<ScriptStep>) -> Script {
    let conditions = LinkConditions {
        loss,
        duplicate: 0.02,
        ..good_conditions()
    };
    Script {
        name: "drawn".into(),
        seed: 5,
        seconds,
        conditions,
        steps,
        clock_offsets: Vec::new(),
    }
}

/// Faults drawn by a seed: kills and starts, partitions of all kinds, standstills, bad lines, full disks, and now and then a
/// lost disk, which is given time. The last seconds are without faults, and all nodes run.
pub(crate) fn random_faults(seed: u64, voters: usize, seconds: f64) -> Script {
    let mut draw = FaultDraw {
        rng: WyRand::new_seed(seed),
        voters: voters as f64,
        steps: Vec::new(),
        last_lost_disk: 0.0,
        disks_to_lose: (voters - 1) / 2,
    };
    let mut at = 2.0;
    while at < seconds - QUIET_AT_END {
        draw.add_fault(at);
        at += 0.2 + draw.fraction() * 1.2;
    }
    draw.end_all_faults(seconds - GOOD_AT_END);
    script(seconds, 0.02, draw.steps)
}

struct FaultDraw {
    rng: WyRand,
    voters: f64,
    steps: Vec<ScriptStep>,
    last_lost_disk: f64,
    /// A majority has to keep its disks.
    disks_to_lose: usize,
}

impl FaultDraw {
    fn fraction(&mut self) -> f64 {
        (self.rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn one_voter(&mut self) -> Selector {
        Selector::Numbers(vec![(self.fraction() * self.voters) as usize])
    }

    fn some_voters(&mut self) -> Selector {
        Selector::Fraction(0.0, (self.fraction() * self.voters).round() / self.voters)
    }

    fn add(&mut self, at: f64, does: Fault) {
        self.steps.push(ScriptStep { at, fault: does });
    }

    fn add_fault(&mut self, at: f64) {
        match (self.fraction() * 10.0) as usize {
            0 | 1 => self.add_kill(at),
            2 => {
                let from = self.some_voters();
                let one_way = self.fraction() < 0.4;
                let to = Selector::All;
                self.add(at, Fault::Partition { from, to, one_way });
            }
            3 => self.add(at, Fault::HealPartitions),
            4 => {
                let who = self.one_voter();
                self.add(at, Fault::Suspend(who.clone()));
                let end = at + self.fraction() * 1.5;
                self.add(end, Fault::Resume(who));
            }
            5 => self.add_bad_link(at),
            6 => {
                let from = self.one_voter();
                let to = self.one_voter();
                let one_way = false;
                self.add(at, Fault::Partition { from, to, one_way });
            }
            7 => {
                let who = self.one_voter();
                self.add(at, Fault::Kill(who.clone()));
                let end = at + 0.02 + 0.1 * self.fraction();
                self.add(end, Fault::Start(who));
            }
            8 => {
                let who = self.one_voter();
                self.add(at, Fault::FillDisk(who.clone()));
                let end = at + self.fraction() * 3.0;
                self.add(end, Fault::FreeDisk(who));
            }
            _ => {
                self.add(at, Fault::Kill(Selector::All));
                self.add(at + 0.3, Fault::Start(Selector::All));
            }
        }
    }

    /// Kills a voter for a while; now and then its disk is lost.
    fn add_kill(&mut self, at: f64) {
        let who = self.one_voter();
        self.add(at, Fault::Kill(who.clone()));
        let loses_disk = self.fraction() < 0.2;
        let is_time = at > self.last_lost_disk + LOST_DISK_INTERVAL;
        if loses_disk && is_time && self.disks_to_lose > 0 {
            self.last_lost_disk = at;
            self.disks_to_lose -= 1;
            self.add(at, Fault::LoseDisk(who.clone()));
        }
        let end = at + self.fraction() * 1.5;
        self.add(end, Fault::Start(who));
    }

    fn add_bad_link(&mut self, at: f64) {
        let conditions = LinkConditions {
            loss: 0.3,
            delay_ms: 1.0,
            jitter_ms: 80.0 * self.fraction(),
            duplicate: 0.2,
            ..LinkConditions::default()
        };
        let from = self.one_voter();
        let to = Selector::All;
        self.add(
            at,
            Fault::ChangeLinks {
                from,
                to,
                conditions,
            },
        );
    }

    fn end_all_faults(&mut self, at: f64) {
        self.add(at, Fault::HealPartitions);
        let change = Fault::ChangeLinks {
            from: Selector::All,
            to: Selector::All,
            conditions: good_conditions(),
        };
        self.add(at, change);
        self.add(at, Fault::Resume(Selector::All));
        self.add(at, Fault::FreeDisk(Selector::All));
        self.add(at + 0.2, Fault::Start(Selector::All));
    }
}

/// The script without all steps that it does not need to fail.
pub(crate) fn minimize(script: &Script, fails: impl Fn(&Script) -> bool) -> Script {
    let mut least = script.clone();
    let mut chunk = (least.steps.len() / 2).max(1);
    loop {
        let mut start = 0;
        while start < least.steps.len() {
            let end = (start + chunk).min(least.steps.len());
            let mut fewer = least.clone();
            fewer.steps.drain(start..end);
            if fails(&fewer) {
                least = fewer;
            } else {
                start = end;
            }
        }
        if chunk == 1 {
            return least;
        }
        chunk /= 2;
    }
}
