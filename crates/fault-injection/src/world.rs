//! Simulated time for members without I/O, under a script of faults. The same script, seed and members give the same
//! run.

use crate::links::Links;
use crate::script::{Act, Script};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A member without I/O and without a clock. Members are known by number.
pub trait Core {
    /// Starts one, `start` being how many times its number has been started before, `ahead` the seconds by which its
    /// clock is ahead.
    fn start(number: usize, start: u32, now: Duration, ahead: f64) -> Self;
    fn hear(&mut self, now: Duration, datagram: &[u8]);
    fn tick(&mut self, now: Duration);
    fn next(&self) -> Duration;
    /// The next datagram to send, and to whom; none to a number that is nobody's.
    fn take(&mut self) -> Option<(usize, Vec<u8>)>;
    fn leave(&mut self, now: Duration);
    /// It is to go by these keys.
    fn keys(&mut self, _ids: &[u8]) {}
}

enum Due {
    Tick,
    Arrives(Vec<u8>),
}

struct Place<C> {
    core: Option<C>,
    ahead: f64,
    starts: u32,
    stopped: bool,
    /// What came while it stood still: the system holds so much for it.
    held: VecDeque<Vec<u8>>,
    /// The latest tick that is due; earlier marks are void.
    tick: Duration,
    /// What it had lately, to be sent again as a replay.
    had: VecDeque<Vec<u8>>,
}

const MOST_HELD: usize = 256;
const MOST_HAD: usize = 16;

pub struct World<C> {
    now: Duration,
    links: Links,
    places: Vec<Place<C>>,
    due: BTreeMap<(Duration, u64), (usize, Due)>,
    marks: u64,
    /// Datagrams and bytes sent by all.
    pub sent: (u64, u64),
}

impl<C: Core> World<C> {
    /// So many members; each is up from the start unless the script's first steps kill it.
    pub fn new(script: &Script, members: usize) -> Self {
        let place = |number| Place {
            core: None,
            ahead: script.ahead(number, members),
            starts: 0,
            stopped: false,
            held: VecDeque::new(),
            tick: Duration::ZERO,
            had: VecDeque::new(),
        };
        let mut world = Self {
            now: Duration::ZERO,
            links: Links::new(script, members),
            places: (0..members).map(place).collect(),
            due: BTreeMap::new(),
            marks: 0,
            sent: (0, 0),
        };
        (0..members).for_each(|number| world.start(number));
        world
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// A member that runs, standing still or not.
    pub fn core(&self, number: usize) -> Option<&C> {
        self.places[number].core.as_ref()
    }

    pub fn members(&self) -> usize {
        self.places.len()
    }

    fn mark(&mut self, at: Duration, to: usize, due: Due) {
        self.marks += 1;
        self.due.insert((at, self.marks), (to, due));
    }

    fn start(&mut self, number: usize) {
        let place = &mut self.places[number];
        place.core = Some(C::start(number, place.starts, self.now, place.ahead));
        (place.starts, place.stopped) = (place.starts + 1, false);
        place.held.clear();
        self.after(number);
    }

    /// Sends what a member has to send, and marks when it is due again.
    fn after(&mut self, number: usize) {
        let Some(core) = self.places[number].core.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        while let Some(sent) = core.take() {
            out.push(sent);
        }
        // Never the same moment again: a member that is always due would hold the time up.
        let next = core.next().max(self.now + Duration::from_micros(1));
        self.places[number].tick = next;
        self.mark(next, number, Due::Tick);
        for (to, bytes) in out {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            if to < self.places.len() {
                for arrival in self.links.pass(self.now, number, to, &bytes) {
                    self.mark(arrival.at.max(self.now), to, Due::Arrives(arrival.bytes));
                }
            }
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Kill(number) => self.places[number].core = None,
            Act::Start(number) => self.start(number),
            Act::Stop(number) => self.places[number].stopped = true,
            Act::GoOn(number) => {
                self.places[number].stopped = false;
                // What came meanwhile is read first, then the clock is looked at.
                for bytes in std::mem::take(&mut self.places[number].held) {
                    self.hear(number, &bytes);
                }
                self.tick(number);
            }
            Act::Leave(number) => {
                let now = self.now;
                if let Some(core) = self.places[number].core.as_mut() {
                    core.leave(now);
                    self.after(number);
                    self.places[number].core = None;
                }
            }
            // These keep nothing.
            Act::LoseDisk(_) | Act::FillDisk(_) | Act::FreeDisk(_) => {}
            Act::Keys { to, ids } => {
                if let Some(core) = self.places[to].core.as_mut() {
                    core.keys(&ids);
                }
            }
            Act::Noise { to, datagrams } => {
                let had: Vec<Vec<u8>> = self.places[to].had.iter().cloned().collect();
                for n in 0..datagrams {
                    let noise = vec![n as u8; 20 + n as usize % 1000];
                    self.hear(to, &noise);
                    if let Some(again) = had.get(n as usize % had.len().max(1)) {
                        self.hear(to, again);
                    }
                }
            }
        }
    }

    fn hear(&mut self, number: usize, bytes: &[u8]) {
        let now = self.now;
        let place = &mut self.places[number];
        if place.stopped {
            if place.held.len() < MOST_HELD {
                place.held.push_back(bytes.to_vec());
            }
            return;
        }
        let Some(core) = place.core.as_mut() else {
            return;
        };
        core.hear(now, bytes);
        place.had.push_back(bytes.to_vec());
        if place.had.len() > MOST_HAD {
            place.had.pop_front();
        }
        self.after(number);
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        if let Some(core) = self.places[number].core.as_mut() {
            core.tick(now);
            self.after(number);
        }
    }

    /// Runs until then.
    pub fn run_to(&mut self, until: Duration) {
        loop {
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let step = self.links.due();
            let at = [next, step]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= until);
            let Some(at) = at else { break };
            self.now = self.now.max(at);
            if step.is_some_and(|step| step <= self.now) {
                for act in self.links.turn(self.now) {
                    self.act(act);
                }
                continue;
            }
            let Some((_, (number, due))) = self.due.pop_first() else {
                break;
            };
            match due {
                Due::Arrives(bytes) => self.hear(number, &bytes),
                Due::Tick => {
                    let place = &self.places[number];
                    if place.tick <= self.now && !place.stopped {
                        self.tick(number);
                    }
                }
            }
        }
        self.now = self.now.max(until);
    }
}
