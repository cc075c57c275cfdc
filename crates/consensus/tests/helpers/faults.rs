//! Fault scripts: random generation and minimization.

use limewing_fault_injection::{Fault, LinkConditions, Script, ScriptStep, Selector};
use nanorand::{Rng, WyRand};

/// Length of the final part of a script in which no faults are generated, in seconds.
const FAULT_FREE_END_SECONDS: f64 = 4.0;
/// Length of the final part of a script in which all nodes run and all links are good, in seconds.
const GOOD_LINKS_END_SECONDS: f64 = 1.5;
/// Minimum time between two lost disks, in seconds. The cluster needs this time to add the new
/// node.
const MIN_DISK_LOSS_INTERVAL_SECONDS: f64 = 12.0;

fn good_conditions() -> LinkConditions {
    LinkConditions {
        delay_ms: 1.0,
        jitter_ms: 8.0,
        ..LinkConditions::default()
    }
}

/// Creates a script whose links lose the given fraction of packets.
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

/// Generates faults from a seed: kills and restarts, all kinds of partitions, suspensions, bad
/// links, full disks, and occasionally a lost disk, which the cluster is given time to recover
/// from. The last seconds have no faults, and all nodes run.
pub(crate) fn random_faults(seed: u64, voters: usize, seconds: f64) -> Script {
    let mut generator = FaultGenerator {
        rng: WyRand::new_seed(seed),
        voters: voters as f64,
        steps: Vec::new(),
        last_lost_disk: 0.0,
        disks_to_lose: (voters - 1) / 2,
    };
    let mut at = 2.0;
    while at < seconds - FAULT_FREE_END_SECONDS {
        generator.add_fault(at);
        at += 0.2 + generator.fraction() * 1.2;
    }
    generator.end_all_faults(seconds - GOOD_LINKS_END_SECONDS);
    script(seconds, 0.02, generator.steps)
}

struct FaultGenerator {
    rng: WyRand,
    voters: f64,
    steps: Vec<ScriptStep>,
    last_lost_disk: f64,
    /// Remaining number of disks that may be lost, because a majority has to keep its disks.
    disks_to_lose: usize,
}

impl FaultGenerator {
    fn fraction(&mut self) -> f64 {
        (self.rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_voter(&mut self) -> Selector {
        Selector::Numbers(vec![(self.fraction() * self.voters) as usize])
    }

    fn random_voters(&mut self) -> Selector {
        Selector::Fraction(0.0, (self.fraction() * self.voters).round() / self.voters)
    }

    fn add(&mut self, at: f64, fault: Fault) {
        self.steps.push(ScriptStep { at, fault });
    }

    fn add_fault(&mut self, at: f64) {
        match (self.fraction() * 10.0) as usize {
            0 | 1 => self.add_kill(at),
            2 => {
                let from = self.random_voters();
                let one_way = self.fraction() < 0.4;
                let to = Selector::All;
                self.add(at, Fault::Partition { from, to, one_way });
            }
            3 => self.add(at, Fault::HealPartitions),
            4 => {
                let selector = self.random_voter();
                self.add(at, Fault::Suspend(selector.clone()));
                let end = at + self.fraction() * 1.5;
                self.add(end, Fault::Resume(selector));
            }
            5 => self.add_bad_link(at),
            6 => {
                let from = self.random_voter();
                let to = self.random_voter();
                let one_way = false;
                self.add(at, Fault::Partition { from, to, one_way });
            }
            7 => {
                let selector = self.random_voter();
                self.add(at, Fault::Kill(selector.clone()));
                let end = at + 0.02 + 0.1 * self.fraction();
                self.add(end, Fault::Start(selector));
            }
            8 => {
                let selector = self.random_voter();
                self.add(at, Fault::FillDisk(selector.clone()));
                let end = at + self.fraction() * 3.0;
                self.add(end, Fault::FreeDisk(selector));
            }
            _ => {
                self.add(at, Fault::Kill(Selector::All));
                self.add(at + 0.3, Fault::Start(Selector::All));
            }
        }
    }

    /// Kills a voter for some time; occasionally its disk is lost too.
    fn add_kill(&mut self, at: f64) {
        let selector = self.random_voter();
        self.add(at, Fault::Kill(selector.clone()));
        let loses_disk = self.fraction() < 0.2;
        let is_interval_over = at > self.last_lost_disk + MIN_DISK_LOSS_INTERVAL_SECONDS;
        if loses_disk && is_interval_over && self.disks_to_lose > 0 {
            self.last_lost_disk = at;
            self.disks_to_lose -= 1;
            self.add(at, Fault::LoseDisk(selector.clone()));
        }
        let end = at + self.fraction() * 1.5;
        self.add(end, Fault::Start(selector));
    }

    fn add_bad_link(&mut self, at: f64) {
        let conditions = LinkConditions {
            loss: 0.3,
            delay_ms: 1.0,
            jitter_ms: 80.0 * self.fraction(),
            duplicate: 0.2,
            ..LinkConditions::default()
        };
        let from = self.random_voter();
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

/// Returns the script without the steps that are not needed to make it fail.
pub(crate) fn minimize(script: &Script, fails: impl Fn(&Script) -> bool) -> Script {
    let mut minimized = script.clone();
    let mut chunk = (minimized.steps.len() / 2).max(1);
    loop {
        let mut start = 0;
        while start < minimized.steps.len() {
            let end = (start + chunk).min(minimized.steps.len());
            let mut candidate = minimized.clone();
            candidate.steps.drain(start..end);
            if fails(&candidate) {
                minimized = candidate;
            } else {
                start = end;
            }
        }
        if chunk == 1 {
            return minimized;
        }
        chunk /= 2;
    }
}
