//! One member's choices, from what it knows of the others.

use crate::asks::{Asks, Service};
use crate::health::{Health, Sign};
use crate::hints::{doubted, Said, LIFE};
use crate::says::{Hint, Says, MOST_HINTS};
use crate::subsets::{order, share_out, Member, Pod};
use crate::turns::holds;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Traffic is counted over so long.
const COUNTED: Duration = Duration::from_secs(5);
/// What is said is said again after this, while it holds hints: they fade at the others.
const SAID_AGAIN: Duration = Duration::from_secs(4);
/// Views change so often at most.
const VIEWS_EVERY: Duration = Duration::from_millis(500);
/// A member of which nothing was heard has this traffic.
const UNKNOWN: u8 = 4;

/// What the decision module is told. Pods by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// All pods, the one to use first at the front, the doubted ones last.
    pub order: Vec<u64>,
    /// How many of them this member is to use.
    pub uses: usize,
    /// Shut pods whose proof is others' turn.
    pub held: BTreeSet<u64>,
}

pub struct Choices {
    key: u64,
    zone: u16,
    pods: Vec<Pod>,
    /// The others' traffic, and what those have said that say anything.
    others: BTreeMap<u64, (u8, Option<Said>)>,
    health: Health,
    doubts: BTreeMap<u64, Duration>,
    asks: Asks,
    hits: (u64, Duration),
    traffic: u8,
    said: Option<(Says, Duration)>,
    shared: Option<(Vec<usize>, usize)>,
    view: Option<View>,
    next: Duration,
}

fn hits_a_second(traffic: u8) -> f64 {
    2f64.powf(f64::from(traffic) / 2.0)
}

/// The others as they count where pods are shared out; one that says nothing is in no zone.
fn members(others: &BTreeMap<u64, (u8, Option<Said>)>) -> impl Iterator<Item = Member> + '_ {
    others.iter().map(|(key, (traffic, said))| Member {
        key: *key,
        zone: said.as_ref().map_or(u16::MAX, |said| said.zone),
        traffic: hits_a_second(*traffic),
    })
}

impl Choices {
    /// For the member with this key, in its zone.
    pub fn new(now: Duration, key: u64, zone: u16) -> Self {
        Self {
            key,
            zone,
            pods: Vec::new(),
            others: BTreeMap::new(),
            health: Health::default(),
            doubts: BTreeMap::new(),
            asks: Asks::default(),
            hits: (0, now),
            traffic: UNKNOWN,
            said: None,
            shared: None,
            view: None,
            next: now,
        }
    }

    /// The pods that may be used.
    pub fn pods(&mut self, mut pods: Vec<Pod>) {
        pods.sort_unstable_by_key(|pod| pod.key);
        if pods != self.pods {
            (self.pods, self.shared) = (pods, None);
        }
    }

    /// The others that are here, each with what it says, if that is known, and when it was heard.
    pub fn others(&mut self, others: impl Iterator<Item = (u64, Option<(Says, Duration)>)>) {
        let heard = |(member, says): (u64, Option<(Says, Duration)>)| {
            let traffic = says.as_ref().map_or(UNKNOWN, |(says, _)| says.traffic);
            let said = |(says, at): (Says, _)| Said {
                member,
                zone: says.zone,
                at,
                hints: says.hints,
                lost: says.lost,
            };
            let said = says.map(said);
            (member, (traffic, said))
        };
        let all: BTreeMap<u64, (u8, Option<Said>)> = others
            .filter(|(member, _)| *member != self.key)
            .map(heard)
            .collect();
        let changed = !members(&all).eq(members(&self.others));
        self.others = all;
        if changed {
            self.shared = None;
        }
    }

    pub fn took(&mut self) {
        self.hits.0 += 1;
    }

    pub fn ended(&mut self, now: Duration, pod: u64, sign: Sign) {
        self.health.note(now, pod, sign);
    }

    /// An ask of a service failed, or it was lost.
    pub fn ask_failed(&mut self, now: Duration, service: Service) {
        self.asks.failed(now, service);
    }

    pub fn ask_answered(&mut self, service: Service) {
        self.asks.answered(service);
    }

    /// When a service may be asked: now, or the time at which this is to be asked again.
    pub fn may_ask(&self, now: Duration, service: Service) -> Duration {
        self.asks.at(now, service, self.key)
    }

    /// When `says` and `view` are to be asked again.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// What is to be told to the others, when it changed or fades.
    pub fn says(&mut self, now: Duration) -> Option<Says> {
        self.count(now);
        let mut hints = self.health.hints(now);
        hints.truncate(MOST_HINTS);
        let says = Says {
            zone: self.zone,
            traffic: self.traffic,
            hints,
            lost: self.asks.bits(),
        };
        let fades = !says.hints.is_empty() || says.lost != 0;
        let again = |at: &Duration| fades && now >= *at + SAID_AGAIN;
        if self
            .said
            .as_ref()
            .is_some_and(|(old, at)| *old == says && !again(at))
        {
            return None;
        }
        self.said = Some((says.clone(), now));
        Some(says)
    }

    fn count(&mut self, now: Duration) {
        let (hits, since) = self.hits;
        if now < since + COUNTED {
            return;
        }
        let rate = hits as f64 / now.saturating_sub(since).as_secs_f64();
        let exact = (rate.max(1.0).log2() * 2.0).min(60.0);
        // Only a clear change is told: each moves others' choices.
        if (exact - f64::from(self.traffic)).abs() > 1.0 {
            self.traffic = exact.round() as u8;
            self.shared = None;
        }
        self.hits = (0, now);
        self.health.forget(now);
    }

    /// The view, when it changed: none inside if nobody else is here.
    pub fn view(&mut self, now: Duration) -> Option<Option<View>> {
        if now < self.next {
            return None;
        }
        self.next = now + VIEWS_EVERY;
        let said = self.others.values().filter_map(|(_, said)| said.as_ref());
        let fresh = said
            .filter(|said| now < said.at + LIFE)
            .map(|said| (said.member, said.lost));
        self.asks.hear(now, fresh);
        let view = (!self.others.is_empty() && !self.pods.is_empty()).then(|| self.look(now));
        (view != self.view).then(|| {
            self.view.clone_from(&view);
            view
        })
    }

    fn look(&mut self, now: Duration) -> View {
        let (order, uses) = self.shared.clone().unwrap_or_else(|| self.share());
        self.shared = Some((order.clone(), uses));
        let keys: Vec<u64> = self.pods.iter().map(|pod| pod.key).collect();
        let said: Vec<Said> = self
            .others
            .values()
            .filter_map(|(_, said)| said.clone())
            .collect();
        let mut doubted = doubted(&said, &keys, now);
        doubted.retain(|pod, _| !self.health.answered_lately(*pod, now));
        self.doubts.retain(|pod, _| doubted.contains_key(pod));
        for pod in doubted.keys() {
            self.doubts.entry(*pod).or_insert(now);
        }
        // Among those that hold it shut themselves: the others have nothing to prove.
        let shut_by = |pod: u64| {
            let says = move |s: &&Said| now < s.at + LIFE && s.hints.contains(&(pod, Hint::Shut));
            said.iter()
                .filter(says)
                .map(|said| said.member)
                .chain([self.key])
        };
        let others_turn = |pod: &u64| {
            !holds(
                *pod,
                self.key,
                shut_by(*pod),
                now.saturating_sub(self.doubts[pod]),
            )
        };
        let shut = doubted
            .iter()
            .filter(|(_, hint)| **hint == Hint::Shut)
            .map(|(pod, _)| *pod);
        let held = shut.filter(others_turn).collect();
        let (last, first): (Vec<u64>, Vec<u64>) = order
            .iter()
            .map(|place| self.pods[*place].key)
            .partition(|pod| doubted.contains_key(pod));
        View {
            order: first.into_iter().chain(last).collect(),
            uses,
            held,
        }
    }

    fn share(&self) -> (Vec<usize>, usize) {
        let own = Member {
            key: self.key,
            zone: self.zone,
            traffic: hits_a_second(self.traffic),
        };
        let mut members: Vec<Member> = members(&self.others).chain([own]).collect();
        members.sort_unstable_by_key(|member| member.key);
        let place = members.partition_point(|member| member.key < self.key);
        let mut all = share_out(&members, &self.pods).swap_remove(place);
        let uses = all.len();
        let rest: Vec<usize> = order(&own, &self.pods)
            .into_iter()
            .filter(|pod| !all.contains(pod))
            .collect();
        all.extend(rest);
        (all, uses)
    }
}
