//! The rules, as plainly as they can be put. Nothing is summed up or forgotten: what an instance was told and did
//! in its life stands in lists, and each question is answered by going through them.

use limewing_decision::interface::*;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Figures of the rules that the decisions need not know.
const ANSWER_SLACK: Duration = Duration::from_millis(20);
/// Short beside a run, or nobody who never asks would be caught within it.
const ASK_LIST_WITHIN: Duration = Duration::from_secs(2);

/// What crosses a link, or is told between two looks, may take this.
const SLACK: Duration = Duration::from_millis(50);
/// A pod with an attempt out for longer may be held for silent.
const QUIET: Duration = Duration::from_millis(150);

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub sidecar: usize,
    pub at: Duration,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {} at {:?} by sidecar {}: {}",
            self.rule, self.at, self.sidecar, self.what
        )
    }
}

/// How often each rule was really put to the test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tested {
    pub hits: usize,
    /// Final answers that an instance gave itself.
    pub answers: usize,
    /// Streams that began.
    pub streams: usize,
    /// Forwards of a hit of which an earlier forward may have run.
    pub repeats: usize,
    /// Mutating hits sent again after proof that no earlier forward ran.
    pub proofs: usize,
    /// Answers to hits that may have run.
    pub after_run: usize,
    /// Forwards while a pod was known that had drained past its grace.
    pub drained_beside: usize,
    /// Attempts begun on a connection after one that broke.
    pub dialled_again: usize,
    /// Attempts refused at their first byte.
    pub withheld: usize,
    /// Of these, attempts at pods known to have drained past their grace.
    pub withheld_past_grace: usize,
    /// Attempts that began while nothing had been heard of the list for longer than lease and grace, and a pod of the
    /// same build that had served within the lease could have taken them.
    pub begun_unheard: usize,
    /// Of these, those decided while a pod was held for ready that had drained for that long in truth.
    pub left_aside: usize,
    /// Forwards at cold pods.
    pub cold: usize,
    pub on_trial: usize,
    /// Caps that fell.
    pub lowered: usize,
    /// Hits that may not be repeated, taken while a guarded stage was told.
    pub guarded: usize,
    /// Forwards of a key that the newest build had answered, while an older build ran.
    pub met: usize,
}

/// One forward, with what the instance's list said of its pod.
struct Sent {
    entry: Endpoint,
    /// How it stood with the lease when this was decided; none while lists are heard or were until lately.
    unheard: Option<Unheard>,
    at: Duration,
    fate: Option<AttemptOutcome>,
    /// The turn in which the fate was told.
    told: usize,
}

/// A decision while nothing had been heard of the list for longer than its lease.
#[derive(Clone, Copy)]
struct Unheard {
    /// The pod itself had served what was sent within the lease.
    served: bool,
    /// Another pod of its build that had, and could have taken the attempt.
    better: Option<PodId>,
}

struct Story {
    hit: Request,
    sent: Vec<Sent>,
    /// Until when it waits: longer than its client where the instance did not run.
    owed: Duration,
    /// The turn in which the instance answered it itself.
    answered: Option<usize>,
    /// The turn in which it was told that the hit is over.
    over: Option<usize>,
    streams: Option<usize>,
}

/// One life of an instance.
struct Life {
    terms: SidecarConfig,
    turn: usize,
    stories: BTreeMap<RequestId, Story>,
    /// All that was told of each pod.
    rows: BTreeMap<PodId, Vec<(Duration, Endpoint)>>,
    news: Vec<(Duration, StageUpdate)>,
    taken: Vec<(Duration, ClassId)>,
    forwards: Vec<(Duration, BuildId, ClassId)>,
    /// When anything was heard of the list last.
    heard: Duration,
    /// When the list was asked for last, whether that failed, and whether it is watched.
    asked: Duration,
    failed: bool,
    watched: bool,
}

/// A start of a pod, and what came to it since.
struct Start {
    at: Duration,
    capacity: f64,
    /// When, and whether the sender had been told of this start.
    got: Vec<(Duration, bool)>,
}

#[derive(Default)]
pub struct Referee {
    lives: BTreeMap<usize, Life>,
    starts: BTreeMap<PodId, Start>,
    /// What the list service holds, since when.
    truth: Vec<(Duration, Vec<Endpoint>)>,
    pub tested: Tested,
}

/// Outcomes that prove that a forward never ran.
fn never_ran(fate: Option<AttemptOutcome>) -> bool {
    matches!(
        fate,
        Some(AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent)
    )
}

impl Story {
    fn may_have_run(&self) -> impl Iterator<Item = &Sent> {
        self.sent.iter().filter(|sent| !never_ran(sent.fate))
    }
}

impl Life {
    fn row(&self, pod: PodId) -> Option<&Endpoint> {
        self.rows
            .get(&pod)
            .and_then(|rows| rows.last())
            .map(|(_, row)| row)
    }

    /// Since when this instance knows that a pod drains or is gone.
    fn ended(&self, pod: PodId) -> Option<Duration> {
        let rows = self.rows.get(&pod)?;
        let ended = rows
            .iter()
            .rev()
            .take_while(|(_, row)| row.state != PodState::Ready);
        ended.last().map(|(at, _)| *at)
    }

    /// Whether this instance has known for longer than the grace that a pod drains or is gone.
    fn past_grace(&self, pod: PodId, now: Duration) -> bool {
        self.ended(pod)
            .is_some_and(|told| now > told + self.terms.safety.drain_grace)
    }

    fn list(&mut self, now: Duration, news: &EndpointUpdate) {
        let rows = match news {
            EndpointUpdate::WatchLost(_) => {
                // What a watch would have told until now is known.
                if std::mem::replace(&mut self.watched, false) {
                    self.asked = now;
                }
                self.failed = true;
                return;
            }
            EndpointUpdate::Delta(rows) => rows.clone(),
            EndpointUpdate::Snapshot(rows) | EndpointUpdate::Cached(rows) => {
                let missing = self.rows.iter().filter_map(|(pod, told)| {
                    let (_, last) = told.last()?;
                    let missing =
                        rows.iter().all(|row| row.pod != *pod) && last.state != PodState::Gone;
                    missing.then(|| Endpoint {
                        state: PodState::Gone,
                        ..last.clone()
                    })
                });
                missing
                    .collect::<Vec<_>>()
                    .into_iter()
                    .chain(rows.iter().cloned())
                    .collect()
            }
        };
        if !matches!(news, EndpointUpdate::Cached(_)) {
            self.heard = now;
            (self.failed, self.watched) = (false, true);
        }
        for row in rows {
            self.rows.entry(row.pod).or_default().push((now, row));
        }
    }

    /// The attempts of this instance at a pod as it is listed now: another start of it is another pod.
    fn sent_to<'a>(&'a self, entry: &'a Endpoint) -> impl Iterator<Item = &'a Sent> {
        let same =
            |sent: &&Sent| sent.entry.pod == entry.pod && sent.entry.started_at == entry.started_at;
        self.stories
            .values()
            .flat_map(|story| &story.sent)
            .filter(same)
    }

    /// Whether a pod served what was sent since then, as far as this instance was told by a turn, and has turned nothing away
    /// after that.
    fn served_since(&self, entry: &Endpoint, since: Duration, by: usize) -> bool {
        let ended: Vec<&Sent> = self.sent_to(entry).filter(|sent| sent.told <= by).collect();
        let with = |fate: AttemptOutcome| ended.iter().filter(move |sent| sent.fate == Some(fate));
        let turned_away = with(AttemptOutcome::Rejected)
            .map(|sent| sent.told)
            .max()
            .unwrap_or(0);
        with(AttemptOutcome::Succeeded).any(|sent| sent.at >= since && sent.told >= turned_away)
    }

    /// Whether nothing that this instance was told speaks against a pod: all that ended there lately was served,
    /// and nothing has been out for long.
    fn is_sound(&self, entry: &Endpoint, since: Duration, now: Duration) -> bool {
        let mut lately = self.sent_to(entry).filter(|sent| sent.at >= since);
        lately.all(|sent| match sent.fate {
            None => now <= sent.at + QUIET,
            Some(fate) => matches!(
                fate,
                AttemptOutcome::Succeeded | AttemptOutcome::NeverSent | AttemptOutcome::Cancelled
            ),
        })
    }

    /// How a decision stands with the lease of the list.
    fn unheard(&self, story: &Story, entry: &Endpoint, now: Duration) -> Option<Unheard> {
        let lease = self
            .terms
            .endpoint_lease
            .filter(|lease| now > self.heard + *lease)?;
        let since = now.saturating_sub(lease);
        let could = |other: &&Endpoint| {
            let ready = other.state == PodState::Ready && other.build == entry.build;
            let tried = story.sent.iter().any(|sent| sent.entry.pod == other.pod);
            let warm = other
                .started_at
                .is_some_and(|at| now > at + self.terms.safety.slow_start_duration);
            let near =
                other.zone == entry.zone && other.cell == entry.cell || story.sent.is_empty();
            ready && !tried && warm && near
        };
        let rows = self
            .rows
            .values()
            .filter_map(|rows| rows.last())
            .map(|(_, row)| row);
        let mut better = rows.filter(|other| other.pod != entry.pod).filter(could);
        let better = better.find(|other| {
            self.served_since(other, since + SLACK, self.turn - 1)
                && self.is_sound(other, since, now)
        });
        let served = self.served_since(entry, since, self.turn);
        Some(Unheard {
            served,
            better: better.map(|other| other.pod),
        })
    }

    /// The cap and stage of a build by the news of one moment; none for a build that is not on trial.
    fn trial(&self, build: BuildId, news: &StageUpdate) -> Option<(f64, u8)> {
        if build < news.build || (build == news.build && news.phase == Phase::Released) {
            return None;
        }
        let first = (self.terms.rollout.exposure_caps[0], 0);
        Some(if build == news.build {
            (news.cap, news.stage.0)
        } else {
            first
        })
    }

    /// The cap that binds now, and since when forwards count: a lower cap binds after the grace, and the count
    /// begins anew then. None: the build is not on trial.
    fn cap(&self, build: BuildId, now: Duration) -> Option<(f64, Duration)> {
        let grace = self.terms.safety.drain_grace;
        let told: Vec<(Duration, f64)> = self
            .news
            .iter()
            .map(|(at, news)| {
                (
                    *at,
                    self.trial(build, news)
                        .map_or(f64::INFINITY, |(cap, _)| cap),
                )
            })
            .collect();
        let (_, last) = told.last()?;
        let (mut most, mut since) = (*last, Duration::ZERO);
        for pair in told.windows(2) {
            let ((_, before), (at, after)) = (pair[0], pair[1]);
            if after < before {
                if at + grace >= now {
                    most = most.max(before);
                } else {
                    since = since.max(at + grace);
                }
            }
        }
        most.is_finite().then_some((most, since))
    }
}

impl Referee {
    pub fn start(&mut self, sidecar: usize, now: Duration, terms: SidecarConfig) {
        let life = Life {
            terms,
            turn: 0,
            stories: BTreeMap::new(),
            rows: BTreeMap::new(),
            news: Vec::new(),
            taken: Vec::new(),
            forwards: Vec::new(),
            heard: now,
            asked: now,
            failed: false,
            watched: false,
        };
        self.lives.insert(sidecar, life);
    }

    pub fn stop(&mut self, sidecar: usize) {
        self.lives.remove(&sidecar);
    }

    /// An instance that stood still runs again: what fell due meanwhile is owed now.
    pub fn goes_on(&mut self, sidecar: usize, now: Duration) {
        let Some(life) = self.lives.get_mut(&sidecar) else {
            return;
        };
        life.stories
            .values_mut()
            .for_each(|story| story.owed = story.owed.max(now));
    }

    /// A pod began to run, with so many hits a second when warm.
    pub fn pod_started(&mut self, pod: PodId, at: Duration, capacity: f64) {
        self.starts.insert(
            pod,
            Start {
                at,
                capacity,
                got: Vec::new(),
            },
        );
    }

    pub fn list_is(&mut self, now: Duration, rows: Vec<Endpoint>) {
        self.truth.push((now, rows));
    }

    pub fn told(&mut self, sidecar: usize, now: Duration, events: &[Event]) {
        let Some(life) = self.lives.get_mut(&sidecar) else {
            return;
        };
        life.turn += 1;
        let turn = life.turn;
        for event in events {
            match event {
                Event::Endpoints(news) => life.list(now, news),
                Event::RequestArrived(hit) => {
                    self.tested.hits += 1;
                    let last = life.news.last().map(|(_, news)| news);
                    let stage = last
                        .filter(|news| news.phase == Phase::OnTrial)
                        .map(|news| news.stage.0);
                    let firm = life.terms.classes[usize::from(hit.class.0)].idempotency
                        != Idempotency::Idempotent;
                    if firm && stage.is_some_and(|stage| stage < life.terms.rollout.guarded_stages)
                    {
                        self.tested.guarded += 1;
                    }
                    life.taken.push((now, hit.class));
                    let (sent, answered, over, streams) = (Vec::new(), None, None, None);
                    let owed = hit.deadline.max(now);
                    let story = Story {
                        hit: hit.clone(),
                        sent,
                        owed,
                        answered,
                        over,
                        streams,
                    };
                    life.stories.insert(hit.id, story);
                }
                Event::AttemptFinished(outcome) => {
                    let Some(story) = life.stories.get_mut(&outcome.request) else {
                        continue;
                    };
                    if let Some(sent) = story.sent.get_mut(usize::from(outcome.attempt.0)) {
                        (sent.fate, sent.told) = (Some(outcome.outcome), turn);
                    }
                    if outcome.request_over {
                        story.over = story.over.or(Some(turn));
                    }
                }
                Event::StreamStarted { request: hit } => {
                    self.tested.streams += 1;
                    life.stories
                        .entry(*hit)
                        .and_modify(|story| story.streams = Some(turn));
                }
                Event::ClientDisconnected(hit) => {
                    life.stories
                        .entry(*hit)
                        .and_modify(|story| story.over = story.over.or(Some(turn)));
                }
                Event::Stage {
                    update: Some(news), ..
                } => {
                    let before = life.cap(news.build, now).map(|(cap, _)| cap);
                    self.tested.lowered +=
                        usize::from(before.is_some_and(|before| news.cap < before));
                    life.news.push((now, *news));
                }
                _ => {}
            }
        }
    }

    /// # Errors
    /// The first rule that these actions break.
    pub fn did(&mut self, sidecar: usize, now: Duration, actions: &[Action]) -> Result<(), Breach> {
        for action in actions {
            let broken = match action {
                Action::StartAttempt {
                    request: hit, pod, ..
                } => self.forward(sidecar, now, *hit, *pod),
                Action::Reject { request: hit, .. } => self.answer(sidecar, now, *hit, true),
                Action::Fail { request: hit } => self.answer(sidecar, now, *hit, false),
                Action::WatchEndpoints => {
                    if let Some(life) = self.lives.get_mut(&sidecar) {
                        (life.asked, life.failed) = (now, false);
                    }
                    Ok(())
                }
                _ => Ok(()),
            };
            broken.map_err(|(rule, what)| Breach {
                rule,
                sidecar,
                at: now,
                what,
            })?;
        }
        Ok(())
    }

    /// Whether a hit that fell due has no answer. `excused` instances did not run.
    ///
    /// # Errors
    /// The first such hit.
    pub fn settled(&self, now: Duration, excused: impl Fn(usize) -> bool) -> Result<(), Breach> {
        for (sidecar, life) in self.lives.iter().filter(|(sidecar, _)| !excused(**sidecar)) {
            let open = |s: &&Story| s.answered.is_none() && s.over.is_none() && s.streams.is_none();
            for story in life.stories.values().filter(open) {
                if now > story.owed + ANSWER_SLACK {
                    let what = format!(
                        "{:?}, due at {:?}, has no answer",
                        story.hit.id, story.hit.deadline
                    );
                    return Err(Breach {
                        rule: 1,
                        sidecar: *sidecar,
                        at: now,
                        what,
                    });
                }
            }
        }
        Ok(())
    }

    fn answer(
        &mut self,
        sidecar: usize,
        now: Duration,
        hit: RequestId,
        bounce: bool,
    ) -> Result<(), (u8, String)> {
        let life = self
            .lives
            .get_mut(&sidecar)
            .ok_or((1, "an instance that is dead acts".to_owned()))?;
        let turn = life.turn;
        let story = life
            .stories
            .get_mut(&hit)
            .ok_or((1, format!("{hit:?} was never taken")))?;
        if story.answered.is_some() {
            return Err((1, format!("{hit:?} is answered twice")));
        }
        if story.over.is_some_and(|told| told < turn) {
            return Err((1, format!("{hit:?} is answered after its end was told")));
        }
        if story.streams.is_some_and(|told| told < turn) {
            return Err((1, format!("{hit:?} is answered while its stream runs")));
        }
        if now > story.owed + ANSWER_SLACK {
            return Err((1, format!("{hit:?} is answered late")));
        }
        self.tested.answers += 1;
        let ran = story.may_have_run().count() > 0;
        self.tested.after_run += usize::from(ran);
        let harmless = match life.terms.classes[usize::from(story.hit.class.0)].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                deduplicated_by: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !ran,
        };
        if bounce && !harmless {
            return Err((2, format!("{hit:?} is bounced though it may have run")));
        }
        story.answered = Some(turn);
        Ok(())
    }

    /// Something was heard of the list, if only that nothing has changed.
    pub fn heard(&mut self, sidecar: usize, now: Duration) {
        self.lives
            .entry(sidecar)
            .and_modify(|life| life.heard = now);
    }

    /// The decisions refused the first byte of an attempt.
    pub fn withheld(&mut self, sidecar: usize, now: Duration, pod: PodId) {
        let past = self
            .lives
            .get(&sidecar)
            .is_some_and(|life| life.past_grace(pod, now));
        self.tested.withheld += 1;
        self.tested.withheld_past_grace += usize::from(past);
    }

    /// Since when a pod drains or is gone in truth.
    fn ended_in_truth(&self, pod: PodId) -> Option<Duration> {
        let ready = |rows: &[Endpoint]| {
            rows.iter()
                .any(|row| row.pod == pod && row.state == PodState::Ready)
        };
        self.truth
            .iter()
            .rev()
            .take_while(|(_, rows)| !ready(rows))
            .last()
            .map(|(at, _)| *at)
    }

    /// The first byte of an attempt leaves: rule 3 speaks of this moment. Rules that count attempts by their time (4 and 5)
    /// count at the decision, which comes first: what is never begun was counted all the same, so they are no easier.
    ///
    /// # Errors
    /// The rule that this breaks.
    pub fn first_byte(
        &mut self,
        sidecar: usize,
        now: Duration,
        (hit, no): (RequestId, AttemptIndex),
        again: bool,
    ) -> Result<(), Breach> {
        self.tested.dialled_again += usize::from(again);
        let broken = |(rule, what)| Breach {
            rule,
            sidecar,
            at: now,
            what,
        };
        self.may_leave(sidecar, now, hit, no).map_err(broken)
    }

    /// The rules at the first byte. Once nothing has been heard of the list for lease and grace, none goes to a pod that
    /// has drained in truth for that long, as long as a pod of its build that served within the lease could take it.
    /// Excepted is a pod that drains and serves what it is sent all the same: nobody can tell.
    fn may_leave(
        &mut self,
        sidecar: usize,
        now: Duration,
        hit: RequestId,
        no: AttemptIndex,
    ) -> Result<(), (u8, String)> {
        let Some(life) = self.lives.get(&sidecar) else {
            return Ok(());
        };
        let sent = life
            .stories
            .get(&hit)
            .and_then(|story| story.sent.get(usize::from(no.0)));
        let sent = sent.ok_or((1, format!("{no:?} of {hit:?} was never decided on")))?;
        let pod = sent.entry.pod;
        if life.past_grace(pod, now) {
            return Err((
                3,
                format!("{no:?} of {hit:?} begins at {pod:?} past the grace"),
            ));
        }
        if life
            .row(pod)
            .is_some_and(|row| row.build != sent.entry.build)
        {
            return Err((
                5,
                format!("{no:?} of {hit:?} begins at {pod:?}, which has another build by now"),
            ));
        }
        let grace = life.terms.safety.drain_grace;
        let span = life.terms.endpoint_lease.map(|lease| lease + grace);
        let Some(span) = span.filter(|span| now > life.heard + *span) else {
            return Ok(());
        };
        // No rule of the pages, but of the design: what was decided holds for the grace then.
        if now > sent.at + grace {
            return Err((
                0,
                format!("{no:?} of {hit:?} begins at {pod:?}, unheard of, on an old decision"),
            ));
        }
        let Some(Unheard {
            served,
            better: Some(better),
        }) = sent.unheard
        else {
            return Ok(());
        };
        self.tested.begun_unheard += 1;
        let left = |pod: PodId| {
            self.ended_in_truth(pod)
                .is_some_and(|at| now > at + span + SLACK)
        };
        if left(pod) && !served {
            let what = format!(
                "{no:?} of {hit:?} begins at {pod:?}, unheard of, though {better:?} serves"
            );
            return Err((3, what));
        }
        let ready = life.rows.values().filter_map(|rows| rows.last());
        let mut ready = ready
            .filter(|(_, row)| row.state == PodState::Ready)
            .map(|(_, row)| row.pod);
        let aside = ready.any(left);
        self.tested.left_aside += usize::from(aside);
        Ok(())
    }

    fn forward(
        &mut self,
        sidecar: usize,
        now: Duration,
        hit: RequestId,
        pod: PodId,
    ) -> Result<(), (u8, String)> {
        let life = self
            .lives
            .get(&sidecar)
            .ok_or((1, "an instance that is dead acts".to_owned()))?;
        let story = life
            .stories
            .get(&hit)
            .ok_or((1, format!("{hit:?} was never taken")))?;
        let terms = &life.terms;
        let entry = life
            .row(pod)
            .ok_or((3, format!("{pod:?} was in no list")))?
            .clone();

        // 1. Nothing after the end.
        if story.answered.is_some() {
            return Err((1, format!("{hit:?} goes out after its answer")));
        }
        if story.over.is_some_and(|told| told < life.turn) {
            return Err((1, format!("{hit:?} goes out after its end was told")));
        }
        if story.streams.is_some_and(|told| told < life.turn) {
            return Err((1, format!("{hit:?} goes out while its stream runs")));
        }

        // 2. No effect twice.
        let group = story.hit.class;
        let repeat = terms.classes[usize::from(group.0)].idempotency;
        let ran: Vec<&Sent> = story.may_have_run().collect();
        if !terms.hedging && story.sent.iter().any(|sent| sent.fate.is_none()) {
            return Err((2, format!("{hit:?} is out twice at once")));
        }
        match repeat {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent if ran.is_empty() => {}
            Idempotency::NonIdempotent => {
                return Err((2, format!("{hit:?} goes out again though it may have run")))
            }
            Idempotency::Keyed {
                deduplicated_by: drops_repeats,
                window: memory,
            } => {
                for sent in &ran {
                    let reached = match drops_repeats {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => sent.entry.zone == entry.zone,
                        DeduplicationScope::Cell => sent.entry.cell == entry.cell,
                    };
                    if !reached || now > sent.at + memory {
                        let what = format!("{hit:?} goes to {pod:?}, which may not know its mark");
                        return Err((2, what));
                    }
                }
            }
        }
        self.tested.repeats += usize::from(!ran.is_empty());
        self.tested.proofs += usize::from(
            repeat == Idempotency::NonIdempotent && ran.is_empty() && !story.sent.is_empty(),
        );

        // 3. Drains.
        let grace = terms.safety.drain_grace;
        let past = |pod: PodId| life.past_grace(pod, now);
        if past(pod) {
            return Err((3, format!("{pod:?} is sent to past the grace")));
        }
        // Who watches no list and has not asked for long counts as told of what was in it then.
        let within = ASK_LIST_WITHIN * if life.failed { 4 } else { 1 };
        if terms.watch_on_request && !life.watched && now > life.asked + within {
            let then = now - within;
            let known = self.truth.iter().rev().find(|(at, _)| *at <= then);
            let row = known.and_then(|(_, rows)| rows.iter().find(|row| row.pod == pod));
            let ended = row.is_none_or(|row| row.state != PodState::Ready);
            let old = known.is_some_and(|(at, _)| now > *at + within + grace);
            let told_since = life
                .rows
                .get(&pod)
                .and_then(|rows| rows.last())
                .is_some_and(|(at, _)| *at > then);
            if ended && old && !told_since {
                return Err((
                    3,
                    format!("{pod:?} had gone from a list that was not asked for"),
                ));
            }
        }
        self.tested.drained_beside += usize::from(life.rows.keys().any(|pod| past(*pod)));

        // 5. Exposure. (Rule 4 speaks of all instances and comes last.)
        let build = entry.build;
        if let Some((at, last)) = life.news.last() {
            let (phase, newest, since) = (last.phase, last.build, *at);
            if let Some((_, stage)) = life.trial(build, last) {
                let firm = repeat != Idempotency::Idempotent;
                if firm && stage < terms.rollout.guarded_stages {
                    let what = format!(
                        "{hit:?} goes to {build:?} in guarded stage {stage}, told at {since:?}"
                    );
                    return Err((5, what));
                }
            }
            if let Some((cap, from)) = life.cap(build, now) {
                let same = |of: ClassId| !terms.rollout.exposure_per_class || of == group;
                let window = terms.rollout.exposure_window;
                let taken = life
                    .taken
                    .iter()
                    .filter(|(at, of)| *at + window >= now && same(*of))
                    .count();
                let sent = life.forwards.iter().filter(|(at, of, group)| {
                    *at + window > now && *at >= from && *of == build && same(*group)
                });
                let sent = sent.count() + 1;
                let most = terms.rollout.exposure_free + cap * taken as f64;
                if sent as f64 > most + 1e-9 || cap <= 0.0 {
                    let what =
                        format!("{sent} forwards at {build:?}, {most:.2} allowed by cap {cap}");
                    return Err((5, what));
                }
                self.tested.on_trial += 1;
            }
            let stays =
                terms.rollout.sticky_keys && matches!(phase, Phase::OnTrial | Phase::Released);
            if let Some(key) = story.hit.routing_key.filter(|_| stays) {
                let answered = |other: &Story| {
                    let here = |sent: &Sent| {
                        let ok =
                            sent.fate == Some(AttemptOutcome::Succeeded) && sent.told < life.turn;
                        ok && sent.entry.build == newest
                    };
                    other.hit.routing_key == Some(key) && other.sent.iter().any(here)
                };
                if life.stories.values().any(answered) {
                    let older = life.rows.values().filter_map(|rows| rows.last());
                    let older =
                        older.filter(|(_, row)| row.build < newest && row.state == PodState::Ready);
                    self.tested.met += usize::from(older.count() > 0);
                    if build < newest {
                        return Err((
                            5,
                            format!("{key:?} met {newest:?} and goes back to {build:?}"),
                        ));
                    }
                }
            }
        }

        // 4. Cold pods, by what all instances together send.
        let rules = terms.safety.clone();
        if let Some(start) = self.starts.get_mut(&pod) {
            let age = now.saturating_sub(start.at);
            let grown = (age.as_secs_f64() / rules.slow_start_duration.as_secs_f64()).min(1.0);
            let informed = entry.started_at == Some(start.at);
            start.got.push((now, informed));
            if grown < 1.0 {
                let strength = rules.slow_start_from + (1.0 - rules.slow_start_from) * grown;
                let span = rules.overload_window;
                let got: Vec<bool> = start
                    .got
                    .iter()
                    .filter(|(at, _)| *at + span > now)
                    .map(|(_, informed)| *informed)
                    .collect();
                let knowing = got.iter().filter(|informed| **informed).count();
                let most = rules.overload_multiple * start.capacity * strength * span.as_secs_f64();
                // A little slack for chance.
                let most = most + most.sqrt();
                if got.len() as f64 > most && knowing * 3 >= got.len() * 2 {
                    let what = format!("{} forwards at cold {pod:?}, {most:.1} allowed", got.len());
                    return Err((4, what));
                }
                self.tested.cold += usize::from(informed);
            }
        }
        let unheard = self.lives.get(&sidecar).and_then(|life| {
            let story = life.stories.get(&hit)?;
            life.unheard(story, &entry, now)
        });
        let Some(life) = self.lives.get_mut(&sidecar) else {
            return Ok(());
        };
        life.forwards.push((now, build, group));
        // No rule of the pages, but of the design: further forwards are 15 for each 100 hits, and 20 saved up.
        let (sent, taken) = (life.forwards.len() as f64, life.taken.len() as f64);
        if sent > 1.15 * taken + 20.0 + 1e-6 {
            return Err((0, format!("{sent} forwards for {taken} hits")));
        }
        if let Some(story) = life.stories.get_mut(&hit) {
            story.sent.push(Sent {
                entry,
                unheard,
                at: now,
                fate: None,
                told: 0,
            });
        }
        Ok(())
    }
}
