//! The pods' sockets: forwards are read, worked off by the model, and answered.

use super::{Day, DayTrouble, Due, End};
use crate::deduplication::DeduplicationKey;
use crate::pod_model::{Arrival, Dequeued, Machine, PodModel};
use crate::rollout::SlotId;
use crate::script::{BuildFault, DayFault};
use bytes::BytesMut;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http::{write_response, RequestHead};
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_rule_checker::record::{AttemptKey, Event, PodId, RequestId, SidecarId};
use limewing_settings::DeduplicationScope;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How a client and the pods name a try: `ORDER-TRY`. Sidecars pass it on as any other field.
pub const TRY: &str = "day-try";
/// Set by a pod on an answer that its client can find wrong, and on hits that err everywhere.
pub const WRONG: &str = "day-wrong";
pub const WORTHLESS: &str = "day-worthless";
/// The build that answered.
pub const BUILD: &str = "day-build";

pub struct Pod {
    pub place: SlotId,
    pub build: u16,
    pub listener: Option<SocketId>,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: u16,
    /// It runs, and is listed.
    pub up: bool,
    pub draining: bool,
    pub cold: bool,
    /// Time of day of its start, in seconds since 1970.
    pub started: f64,
    pub up_at: Duration,
    pub model: PodModel<u64>,
}

pub struct PodLink {
    pub pod: PodId,
    sidecar: Option<SidecarId>,
    requests: RequestReader,
    busy: bool,
    /// The connection is not yet of use.
    opening: bool,
}

impl PodLink {
    pub fn new(pod: PodId) -> Self {
        Self {
            pod,
            sidecar: None,
            requests: RequestReader::new(1 << 20),
            busy: false,
            opening: false,
        }
    }
}

/// Hits at pods, by number.
#[derive(Default)]
pub struct Jobs {
    next: u64,
    held: HashMap<u64, Job>,
}

struct Job {
    link: SocketId,
    of: AttemptKey,
    group: usize,
    worthless: bool,
    mark: Option<DeduplicationKey>,
    /// Whether it takes effect: known once it is in work.
    effect: bool,
}

/// Between the two pieces of a streamed answer.
const STREAMS: Duration = Duration::from_millis(200);
const HOPELESS: f64 = 0.97;

impl Day<'_> {
    /// A new connection to a pod, if it takes one.
    pub(super) fn pod_link(&mut self, pod: PodId, socket: SocketId) -> Option<PodLink> {
        let mut link = PodLink::new(pod);
        for trouble in self.present.values() {
            match trouble {
                DayFault::ConnectionsLimited { max: most } => {
                    let here = |end: &&End| matches!(end, End::Pod(link) if link.pod == pod);
                    if self.ends.values().filter(here).count() >= *most {
                        return None;
                    }
                }
                DayFault::ConnectionsDelayed(wait) => {
                    link.opening = true;
                    self.wheel
                        .schedule(self.now + (*wait).into(), Due::PodRead(socket));
                }
                _ => {}
            }
        }
        Some(link)
    }

    pub(super) fn pod_ready(&mut self, id: SocketId) {
        if let Some(End::Pod(link)) = self.ends.get_mut(&id) {
            link.opening = false;
            self.pod_read(id);
        }
    }

    fn machine(&self) -> Machine {
        let (fleet, rules) = (&self.script.fleet, &self.script.rules);
        Machine {
            cores: fleet.cores,
            queue_limit: fleet.queue_limit,
            slow_start_from: rules.cold_from,
            slow_start_duration: rules.cold_for.into(),
        }
    }

    /// Begins a pod; a new one runs, and is cold, only after a while.
    pub(super) fn start_pod(
        &mut self,
        place: SlotId,
        build: u16,
        fresh: bool,
    ) -> Result<(), DayTrouble> {
        let (listener, address) = self
            .sockets
            .listen("127.0.0.1:0".parse().expect("an address"))?;
        let number = PodId(self.next_pod);
        self.next_pod += 1;
        let (zone, cell) = (
            place.0 % self.script.fleet.zones.len(),
            place.0 / self.script.fleet.pods_per_cell,
        );
        let (model, up_at) = (PodModel::new(self.machine(), self.now, fresh), self.now);
        let (up, draining, listener) = (false, false, Some(listener));
        let cell = cell as u16;
        let pod = Pod {
            place,
            build,
            listener,
            address,
            zone,
            cell,
            up,
            draining,
            cold: fresh,
            started: 0.0,
            up_at,
            model,
        };
        self.ends.extend(
            pod.listener
                .map(|listener| (listener, End::PodListener(number))),
        );
        self.pods.insert(number, pod);
        if fresh {
            self.wheel.schedule(
                self.now + self.script.fleet.startup_time.into(),
                Due::PodUp(number),
            );
        } else {
            self.pod_up(number);
        }
        Ok(())
    }

    pub(super) fn pod_up(&mut self, number: PodId) {
        let (machine, now) = (self.machine(), self.now);
        let Some(pod) = self.pods.get_mut(&number) else {
            return;
        };
        let today = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
        let today = today.unwrap_or_default().as_secs_f64();
        (pod.up, pod.up_at) = (true, now);
        // Those of the first fleet have run for long.
        pod.started = if pod.cold { today } else { today - 86_400.0 };
        pod.model = PodModel::new(machine, now, pod.cold);
        pod.model.slowdown = self.script.slowdown_of(pod.build);
        let (zone, capacity) = (pod.zone as u16, machine.cores as f64);
        let entry = Event::PodStarted {
            pod: number,
            build: pod.build,
            zone,
            cell: pod.cell,
            capacity,
            warming_up: pod.cold,
        };
        self.note(entry);
        self.apply_lasting();
        self.publish_later();
    }

    /// Troubles that are present hold for pods that come during them too.
    fn apply_lasting(&mut self) {
        let present: Vec<DayFault> = self.present.values().cloned().collect();
        for trouble in present {
            match trouble {
                DayFault::PodsHung(places) => self.set_hung(&places, true),
                DayFault::PodsSlow {
                    slots: places,
                    factor,
                } => self.set_slow(&places, factor),
                _ => {}
            }
        }
    }

    pub(super) fn drain_others(&mut self, place: SlotId, build: u16) {
        let others = self
            .pods
            .iter_mut()
            .filter(|(_, p)| p.place == place && p.build != build && !p.draining);
        let mut leaving = Vec::new();
        for (number, pod) in others {
            pod.draining = true;
            leaving.push(*number);
        }
        for number in leaving {
            self.wheel.schedule(
                self.now + self.script.fleet.drain_duration.into(),
                Due::PodDown(number),
            );
        }
        self.publish_later();
    }

    pub(super) fn kill_pods(&mut self, place: SlotId) {
        let here = self
            .pods
            .iter()
            .filter(|(_, pod)| pod.place == place && pod.up);
        let here: Vec<PodId> = here.map(|(number, _)| *number).collect();
        here.into_iter().for_each(|number| self.pod_down(number));
    }

    /// Hits that are at a place's pods, waiting or in work.
    pub(super) fn open_at(&self, place: SlotId) -> usize {
        let here = |job: &&Job| match self.ends.get(&job.link) {
            Some(End::Pod(link)) => self
                .pods
                .get(&link.pod)
                .is_some_and(|pod| pod.place == place),
            _ => false,
        };
        self.jobs.held.values().filter(here).count()
    }

    pub(super) fn pod_down(&mut self, number: PodId) {
        let Some(pod) = self.pods.remove(&number) else {
            return;
        };
        self.note(Event::PodExited { pod: number });
        let listener = pod.listener.into_iter();
        let links = self
            .ends
            .iter()
            .filter(|(_, end)| matches!(end, End::Pod(link) if link.pod == number));
        let mut links: Vec<SocketId> = links.map(|(id, _)| *id).chain(listener).collect();
        links.sort_unstable();
        links.into_iter().for_each(|id| self.drop_end(id));
        self.publish_later();
    }

    pub(super) fn set_hung(&mut self, places: &[usize], hung: bool) {
        let here = self
            .pods
            .iter_mut()
            .filter(|(_, pod)| places.contains(&pod.place.0));
        let here: Vec<PodId> = here
            .map(|(number, pod)| {
                pod.model.hung = hung;
                *number
            })
            .collect();
        here.into_iter().for_each(|number| self.work_on(number));
    }

    pub(super) fn set_slow(&mut self, places: &[usize], factor: f64) {
        for pod in self.pods.values_mut() {
            if places.contains(&pod.place.0) {
                pod.model.slowdown = self.script.slowdown_of(pod.build) * factor;
            }
        }
    }

    pub(super) fn pod_read(&mut self, id: SocketId) {
        let ended = self.sockets.has_ended(id);
        let Some(End::Pod(link)) = self.ends.get_mut(&id) else {
            return;
        };
        if ended {
            // The sidecar went: what is in work runs on, its answer goes nowhere.
            return self.drop_end(id);
        }
        if link.busy || link.opening {
            return;
        }
        let Some(input) = self.sockets.input(id) else {
            return;
        };
        match link.requests.take(input, false) {
            Ok(Some((head, _))) => self.arrive(id, &head),
            Ok(None) => self.sockets.resume_reading(id),
            Err(_) => self.drop_end(id),
        }
    }

    fn arrive(&mut self, id: SocketId, head: &RequestHead) {
        let Some(End::Pod(link)) = self.ends.get_mut(&id) else {
            return;
        };
        let number = link.pod;
        let known = (try_of(head), sidecar_of(head.fields.text("via")));
        let (Some(of), Some(sidecar)) = known else {
            return self.drop_end(id);
        };
        let Some(pod) = self.pods.get(&number) else {
            return;
        };
        let (place, at) = (pod.place.0, (pod.zone, usize::from(pod.cell)));
        let zone = &self.script.fleet.zones[pod.zone];
        // Bytes that would not have come through: nobody saw them.
        if self.is_cut(self.zone_of(sidecar), zone) {
            return;
        }
        if let Some(End::Pod(link)) = self.ends.get_mut(&id) {
            (link.busy, link.sidecar) = (true, Some(sidecar));
        }
        let Some(group) = self.group_of(head) else {
            return self.drop_end(id);
        };
        let mean = f64::from(self.script.classes[group].mean_work);
        // The same hit is as much work wherever it runs.
        let mut own =
            StdRng::seed_from_u64(self.script.seed ^ of.request.0.wrapping_mul(0x9e37_79b9));
        let spread = LogNormal::new(0.0, 0.25).map_or(1.0, |spread| spread.sample(&mut own));
        let work = Duration::from_secs_f64(mean * spread);
        self.note(Event::ForwardArrived {
            pod: number,
            sidecar,
            attempt: of,
            class: group,
            work,
        });
        if self.is_present(|t| matches!(t, DayFault::PodsSilent(places) if places.contains(&place)))
        {
            return;
        }
        let shared = self
            .script
            .deduplication(group)
            .map(|(reach, _)| match reach {
                DeduplicationScope::All => 0,
                DeduplicationScope::Zone => at.0,
                DeduplicationScope::Cell => at.1,
            });
        let mark = shared.zip(head.fields.text("idempotency-key"));
        let mark = mark.map(|(scope, tag)| DeduplicationKey {
            class: group,
            scope,
            idempotency_key: tag.to_owned(),
        });
        let worthless = head.fields.get(WORTHLESS).is_some();
        let job = self.jobs.next;
        self.jobs.next += 1;
        self.jobs.held.insert(
            job,
            Job {
                link: id,
                of,
                group,
                worthless,
                mark,
                effect: false,
            },
        );
        let left = head
            .fields
            .text("request-timeout-ms")
            .and_then(|ms| ms.parse().ok());
        let until = self.now + left.map_or(Duration::MAX / 2, Duration::from_millis);
        let Some(pod) = self.pods.get_mut(&number) else {
            return;
        };
        match pod.model.arrive(job, work, until, self.now) {
            Arrival::Begun(job, until) => self.begun(number, job, until),
            Arrival::Queued => {}
            Arrival::Rejected(job) => {
                self.jobs.held.remove(&job);
                self.note(Event::ForwardRejected {
                    pod: number,
                    attempt: of,
                });
                self.answer(id, number, 503, &[("limewing-not-begun", "1")], false);
            }
        }
    }

    fn group_of(&self, head: &RequestHead) -> Option<usize> {
        let fits = |route: &limewing_settings::Route| {
            route.method == head.method && super::clients::target_of(&route.path) == head.target
        };
        self.script
            .classes
            .iter()
            .position(|group| group.class.routes.iter().any(fits))
    }

    pub(super) fn done(&mut self, number: PodId, job: u64) {
        let Some(job) = self.jobs.held.remove(&job) else {
            return;
        };
        let Some(pod) = self.pods.get_mut(&number) else {
            return job
                .mark
                .iter()
                .filter(|_| job.effect)
                .for_each(|mark| self.deduplication.forget(mark));
        };
        let Job {
            link,
            of,
            group,
            worthless,
            effect,
            ..
        } = job;
        pod.model.finish();
        let (place, build) = (pod.place.0, pod.build);
        let age = self.now.saturating_sub(pod.up_at);
        self.work_on(number);
        let faults = self
            .script
            .offers
            .iter()
            .find(|offer| offer.build == build)
            .map_or(&[][..], |o| &o.faults);
        let (mut status, mut wrong) = (200, false);
        for fault in faults {
            match fault {
                BuildFault::Errors {
                    share,
                    class: only,
                    min_age: after,
                } => {
                    let name = &self.script.classes[group].class.name;
                    let here = only.as_ref().is_none_or(|only| only == name)
                        && age >= super::span(*after, 0.0);
                    if here && self.chance.random_bool(*share) {
                        status = 500;
                    }
                }
                BuildFault::WrongAnswers { share } => wrong |= self.chance.random_bool(*share),
            }
        }
        if worthless && self.chance.random_bool(HOPELESS) {
            status = 500;
        }
        self.note(Event::Executed {
            pod: number,
            attempt: of,
            effect,
        });
        let build = build.to_string();
        let mut fields = vec![(BUILD, &build[..])];
        if wrong {
            fields.push((WRONG, "1"));
        }
        let half = self.present.values().find_map(|trouble| match trouble {
            DayFault::TruncatedAnswers {
                slots: places,
                share,
            } if places.contains(&place) => Some(*share),
            _ => None,
        });
        if half.is_some_and(|share| self.chance.random_bool(share)) {
            self.sockets.send(
                link,
                b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it",
            );
            self.ends.remove(&link);
            return self.sockets.close_when_sent(link);
        }
        let streams = status == 200 && self.script.classes[group].class.streaming;
        self.answer(link, number, status, &fields, streams);
    }

    /// A hit is in work, and done by `until`: from here on its mark is known.
    fn begun(&mut self, number: PodId, job: u64, until: Duration) {
        if let Some(held) = self.jobs.held.get_mut(&job) {
            let marked = held.mark.clone().zip(self.script.deduplication(held.group));
            held.effect = marked
                .is_none_or(|(mark, (_, memory))| self.deduplication.begin(mark, memory, self.now));
        }
        self.wheel.schedule(until, Due::Done(number, job));
    }

    fn work_on(&mut self, number: PodId) {
        let now = self.now;
        while let Some(next) = self
            .pods
            .get_mut(&number)
            .and_then(|pod| pod.model.dequeue(now))
        {
            match next {
                Dequeued::Begun(job, until) => self.begun(number, job, until),
                Dequeued::Expired(job) => drop(self.jobs.held.remove(&job)),
            }
        }
    }

    /// The rest of a streamed answer.
    pub(super) fn pod_rest(&mut self, id: SocketId) {
        let Some(End::Pod(link)) = self.ends.get_mut(&id) else {
            return;
        };
        link.busy = false;
        let mut out = BytesMut::new();
        write_chunk(&mut out, b"second\n");
        write_chunk(&mut out, b"");
        self.sockets.send(id, &out);
        self.pod_read(id);
    }

    fn answer(
        &mut self,
        id: SocketId,
        number: PodId,
        status: u16,
        fields: &[(&str, &str)],
        streams: bool,
    ) {
        let Some(End::Pod(link)) = self.ends.get_mut(&id) else {
            return;
        };
        link.busy = streams;
        let Some(pod) = self.pods.get(&number) else {
            return;
        };
        let place = pod.place.0;
        let (sidecar, zone) = (link.sidecar, &self.script.fleet.zones[pod.zone]);
        if sidecar.is_some_and(|sidecar| self.is_cut(self.zone_of(sidecar), zone)) {
            return;
        }
        let all = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let mut out = BytesMut::new();
        if streams {
            write_response(&mut out, status, all, Framing::Chunked, true);
            write_chunk(&mut out, b"first\n");
            self.sockets.send(id, &out);
            self.wheel.schedule(self.now + STREAMS, Due::PodRest(id));
            return;
        }
        let body = b"done\n";
        write_response(
            &mut out,
            status,
            all,
            Framing::Length(body.len() as u64),
            true,
        );
        out.extend_from_slice(body);
        self.sockets.send(id, &out);
        if self.is_present(
            |t| matches!(t, DayFault::PodsCloseConnections(places) if places.contains(&place)),
        ) {
            self.ends.remove(&id);
            return self.sockets.close_when_sent(id);
        }
        self.pod_read(id);
    }
}

fn try_of(head: &RequestHead) -> Option<AttemptKey> {
    let (order, number) = head.fields.text(TRY)?.split_once('-')?;
    Some(AttemptKey::new(
        RequestId(order.parse().ok()?),
        number.parse().ok()?,
    ))
}

/// The number of a sidecar in `... sidecar-N`.
pub fn sidecar_of(text: Option<&str>) -> Option<SidecarId> {
    let number = text?.split("sidecar-").nth(1)?;
    let digits: String = number.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(SidecarId)
}
