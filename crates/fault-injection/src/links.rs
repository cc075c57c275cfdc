//! Each ordered pair of members has a link of its own, and each link its own chance.

use crate::script::{Act, Fault, Line, Script};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A copy of a datagram that arrives, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Duration,
    pub bytes: Vec<u8>,
}

pub struct Links {
    members: usize,
    usual: Line,
    steps: Vec<(Duration, Fault)>,
    next: usize,
    cuts: BTreeSet<(usize, usize)>,
    changed: BTreeMap<(usize, usize), Line>,
    /// Of links with a limit: bytes that may pass now, and when that was so.
    budgets: BTreeMap<(usize, usize), (f64, Duration)>,
    chance: WyRand,
}

impl Links {
    pub fn new(script: &Script, members: usize) -> Self {
        let at = |at: f64| Duration::from_secs_f64(at.max(0.0));
        let mut steps: Vec<(Duration, Fault)> = script
            .steps
            .iter()
            .map(|step| (at(step.at), step.does.clone()))
            .collect();
        steps.sort_by_key(|(at, _)| *at);
        Self {
            members,
            usual: script.line,
            steps,
            next: 0,
            cuts: BTreeSet::new(),
            changed: BTreeMap::new(),
            budgets: BTreeMap::new(),
            chance: WyRand::new_seed(script.seed),
        }
    }

    /// When the next step is due.
    pub fn due(&self) -> Option<Duration> {
        self.steps.get(self.next).map(|(at, _)| *at)
    }

    /// Takes the steps that are due; what concerns members is handed out.
    pub fn turn(&mut self, now: Duration) -> Vec<Act> {
        let mut acts = Vec::new();
        while let Some((_, fault)) = self
            .steps
            .get(self.next)
            .filter(|(at, _)| *at <= now)
            .cloned()
        {
            self.next += 1;
            let all = self.members;
            match fault {
                Fault::Cut { from, to, one_way } => {
                    for a in from.numbers(all) {
                        for b in to.numbers(all) {
                            self.cuts.insert((a, b));
                            if !one_way {
                                self.cuts.insert((b, a));
                            }
                        }
                    }
                }
                Fault::Mend => self.cuts.clear(),
                Fault::Change { from, to, line } => {
                    let to = to.numbers(all);
                    let pairs = from
                        .numbers(all)
                        .into_iter()
                        .flat_map(|a| to.iter().map(move |b| (a, *b)));
                    self.changed.extend(pairs.map(|pair| (pair, line)));
                }
                Fault::Kill(who) => acts.extend(who.numbers(all).into_iter().map(Act::Kill)),
                Fault::Leave(who) => acts.extend(who.numbers(all).into_iter().map(Act::Leave)),
                Fault::Stop(who) => acts.extend(who.numbers(all).into_iter().map(Act::Stop)),
                Fault::GoOn(who) => acts.extend(who.numbers(all).into_iter().map(Act::GoOn)),
                Fault::Start(who) => acts.extend(who.numbers(all).into_iter().map(Act::Start)),
                Fault::LoseDisk(who) => {
                    acts.extend(who.numbers(all).into_iter().map(Act::LoseDisk))
                }
                Fault::FillDisk(who) => {
                    acts.extend(who.numbers(all).into_iter().map(Act::FillDisk))
                }
                Fault::FreeDisk(who) => {
                    acts.extend(who.numbers(all).into_iter().map(Act::FreeDisk))
                }
                Fault::Keys { who, ids } => {
                    let keys = |to| Act::Keys {
                        to,
                        ids: ids.clone(),
                    };
                    acts.extend(who.numbers(all).into_iter().map(keys))
                }
                Fault::Noise { to, datagrams } => acts.extend(
                    to.numbers(all)
                        .into_iter()
                        .map(|to| Act::Noise { to, datagrams }),
                ),
            }
        }
        acts
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn share(&mut self) -> f64 {
        (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What becomes of a datagram: none, one or two copies arrive.
    pub fn pass(&mut self, now: Duration, from: usize, to: usize, bytes: &[u8]) -> Vec<Arrival> {
        let line = self.changed.get(&(from, to)).copied().unwrap_or(self.usual);
        if self.is_cut(from, to)
            || self.share() < line.loss
            || self.is_over(now, (from, to), &line, bytes.len())
        {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.share() < line.duplicate);
        let arrival = |links: &mut Self| {
            let ms = line.delay_ms + line.jitter_ms * links.share();
            let mut bytes = bytes.to_vec();
            if links.share() < line.corrupt && !bytes.is_empty() {
                let bit = links.chance.generate_range(0..bytes.len() * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            Arrival {
                at: now + Duration::from_secs_f64(ms / 1e3),
                bytes,
            }
        };
        (0..copies).map(|_| arrival(self)).collect()
    }

    fn is_over(&mut self, now: Duration, pair: (usize, usize), line: &Line, length: usize) -> bool {
        if line.bytes_per_s <= 0.0 {
            return false;
        }
        let (left, at) = self
            .budgets
            .get(&pair)
            .copied()
            .unwrap_or((line.bytes_per_s, now));
        let left =
            (left + line.bytes_per_s * now.saturating_sub(at).as_secs_f64()).min(line.bytes_per_s);
        let over = left < length as f64;
        self.budgets
            .insert(pair, (if over { left } else { left - length as f64 }, now));
        over
    }
}
