//! One sidecar: its parts, and the loop that empties their inboxes. The parts decide, in `choice`.

use crate::choice::{Desk, Gate, Judge, Lister, Pod, BEAT};
use crate::interface::*;
use crate::notes::{Note, Round, To};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known comes before what is to be decided: a sidecar that stood still finds answers and hits at
/// once. List and stage news come first of all: a forward that an outcome brings about must not go by a list or
/// cap that has been replaced. Hurts by nothing: both speak of the same moment.
pub fn in_order(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by_key(|event| match event {
        Event::Endpoints(_) | Event::Stage { .. } | Event::Fleet(_) | Event::KeyServed(..) => 0,
        Event::AttemptFinished(_) => 1,
        _ => 2,
    });
    events
}

pub struct Sidecar {
    round: Round,
    pods: BTreeMap<PodId, Pod>,
    desk: Desk,
    gate: Gate,
    judge: Judge,
    lister: Lister,
    next_beat: Duration,
}

impl Sidecar {
    pub fn new(now: Duration, terms: SidecarConfig) -> Self {
        Self {
            round: Round::new(now, &terms),
            pods: BTreeMap::new(),
            desk: Desk::default(),
            gate: Gate::default(),
            judge: Judge::default(),
            lister: Lister::default(),
            next_beat: now,
        }
    }

    /// Whether the first byte of an attempt may leave now. A host asks right before it writes that byte, on whichever
    /// connection and however long after the attempt was decided on; if not, the attempt ends as never sent.
    pub fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        self.gate.may_begin(hit, no, now, &self.round)
    }

    /// Takes events of one moment, in order, and tells what to do at once. What is due by time is left to `handle`: a host
    /// that has stood still brings lists and stage news first, and the rest of what has come before anything falls due.
    pub fn learn(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.round.now = now;
        self.round.late = now.saturating_sub(self.next_beat);
        for event in in_order(events) {
            let fleet = matches!(event, Event::Fleet(_));
            self.round.deliver(event);
            // Each pod's place in the order may be another.
            self.pods
                .values()
                .filter(|_| fleet)
                .for_each(|pod| pod.post_card(&mut self.round));
            self.empty();
        }
        std::mem::take(&mut self.round.out)
    }

    /// Takes the events of one moment, in order, and tells what to do, in order.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut actions = self.learn(now, events);
        while let Some((to, note)) = self.round.due.take(now) {
            self.round.mail.put(to, note);
            self.empty();
        }
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.round.out.push(Action::WakeAt { at: self.next_beat });
            for (id, _) in self.pods.iter().filter(|(_, pod)| pod.watches()) {
                self.round.mail.put(To::Pod(*id), Note::Beat);
            }
            self.round
                .tell([To::Gate, To::Desk, To::Judge], &Note::Beat);
            self.empty();
        }
        actions.append(&mut self.round.out);
        actions
    }

    /// The one loop: hands each note to its addressee until all inboxes are empty.
    fn empty(&mut self) {
        while let Some((to, note)) = self.round.mail.take() {
            let round = &mut self.round;
            match to {
                To::Pod(id) => match (self.pods.get_mut(&id), note) {
                    (None, Note::Listed(entry)) => {
                        let pod = self.pods.entry(id).or_insert(Pod::new(entry));
                        pod.post_card(round);
                    }
                    (_, Note::Forget(_)) => drop(self.pods.remove(&id)),
                    (Some(pod), note) => pod.take(note, round),
                    (None, _) => {}
                },
                To::Desk => self.desk.take(note, round),
                To::Gate => self.gate.take(note, round),
                To::Judge => self.judge.take(note, round),
                To::Lister => self.lister.take(note, round),
            }
        }
    }
}
