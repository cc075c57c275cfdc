//! Pods, discovery, rollouts and clients for several sidecars at once, with a record of all that crosses a socket, as
//! `limewing_rule_checker` reads it. Each sidecar reaches every pod at an address of its own, so that the record says whose a
//! forward is. Times in it are those of the far ends.

use super::messages::{answer, error};
use super::pod_session::{accept_session, read_statement};
use super::{listing, state, Answer, Client, Discovery, Listed, Rollouts, Vote};
use limewing_rule_checker::record::{
    AttemptKey, DeduplicationScope, Event, FinalAnswer, Idempotency, Phase, PodId, RecordLine,
    RequestClass, RequestId, RuleLimits, SidecarId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The path groups of `Config`, in its order.
const GROUPS: [&str; 3] = ["look", "order", "pay"];
/// What a hit asks of a pod's core.
const WORK: Duration = Duration::from_millis(10);
/// A pod's cores.
const CAPACITY: f64 = 4.0;

type Lines = Arc<Mutex<Vec<RecordLine>>>;

#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Lines,
}

impl Record {
    fn note(&self, event: Event) {
        let mut lines = self.lines.lock().unwrap();
        // The time is taken under the lock, so that the record's times never go back.
        lines.push(RecordLine {
            at: self.start.elapsed(),
            event,
        });
    }
}

/// How a pod fails, each the share of its statements.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub errs: f64,
    pub turns_away: f64,
    /// Closes after the statement came, before or after it ran.
    pub closes: f64,
    pub spoilt: f64,
    pub silent: f64,
}

struct Standing {
    number: u32,
    build: u16,
    faults: Mutex<Faults>,
    record: Record,
    /// Marks of tagged hits that ran, anywhere.
    ran: Arc<Mutex<BTreeSet<String>>>,
    chance: Mutex<StdRng>,
}

/// What a world runs on.
pub struct World {
    record: Record,
    pods: Vec<(Arc<Standing>, Vec<SocketAddr>)>,
    ran: Arc<Mutex<BTreeSet<String>>>,
    pub discovery: Vec<Discovery>,
    pub rollouts: Vec<Rollouts>,
    seq: u64,
    news: u64,
    seed: u64,
}

impl World {
    /// For so many sidecars; none of them is up yet.
    pub fn new(sidecars: usize, limits: RuleLimits, seed: u64) -> Self {
        let record = Record {
            start: Instant::now(),
            lines: Lines::default(),
        };
        record.note(Event::Begin {
            day: "platform".into(),
            limits,
        });
        // Silence until something is told: `since` is what the sidecar knows.
        let discovery = (0..sidecars)
            .map(|_| Discovery::new(listing(7, false, &[])))
            .collect();
        let first = format!(
            r#"{{"type":"news","object":{}}}"#,
            state(1, 0, "Healthy", 1.0)
        );
        let counted = || vec![Vote::Says(200, state(1, 0, "Healthy", 1.0))];
        let rollouts = (0..sidecars)
            .map(|_| Rollouts::new(&first, counted()))
            .collect();
        let (pods, ran) = (Vec::new(), Arc::default());
        Self {
            record,
            pods,
            ran,
            discovery,
            rollouts,
            seq: 7,
            news: 0,
            seed,
        }
    }

    pub fn limits(caps: Vec<f64>) -> RuleLimits {
        let group = |repeat| RequestClass {
            name: String::new(),
            idempotency: repeat,
            latency_objective: Duration::from_secs(1),
            priority_weight: 1.0,
        };
        let tagged = Idempotency::Keyed {
            deduplicated_by: DeduplicationScope::All,
            window: Duration::from_secs(3),
        };
        RuleLimits {
            classes: vec![
                group(Idempotency::Idempotent),
                group(tagged),
                group(Idempotency::NonIdempotent),
            ],
            answer_slack: Duration::from_millis(100),
            drain_grace: Duration::from_millis(500),
            slow_start_from: 0.5,
            slow_start_duration: Duration::from_secs(1),
            overload_multiple: 2.0,
            overload_window: Duration::from_secs(1),
            exposure_caps: caps,
            exposure_window: Duration::from_secs(2),
            exposure_free: 1.0,
            exposure_per_class: false,
            guarded_stages: 0,
            sticky_keys: false,
        }
    }

    /// Starts a pod; the list does not know it yet.
    pub fn pod(&mut self, build: u16, cold: bool, faults: Faults) -> usize {
        let number = self.pods.len() as u32;
        let (record, ran) = (self.record.clone(), self.ran.clone());
        let chance = Mutex::new(StdRng::seed_from_u64(self.seed ^ u64::from(number) << 32));
        let pod = Arc::new(Standing {
            number,
            build,
            faults: Mutex::new(faults),
            record,
            ran,
            chance,
        });
        self.record.note(Event::PodStarted {
            pod: PodId(number),
            build,
            zone: 0,
            cell: 0,
            capacity: CAPACITY,
            warming_up: cold,
        });
        let addresses = (0..self.discovery.len()).map(|sidecar| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap();
            let (pod, sidecar) = (pod.clone(), SidecarId(sidecar as u32));
            std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let pod = pod.clone();
                    std::thread::spawn(move || pod.serve(stream, sidecar));
                }
            });
            at
        });
        self.pods.push((pod.clone(), addresses.collect()));
        number as usize
    }

    /// What the list says of a pod to one sidecar.
    pub fn listed(&self, sidecar: usize, pod: usize, health: &'static str, born_ms: u64) -> Listed {
        let (of, at) = &self.pods[pod];
        Listed {
            build: of.build,
            health,
            born_ms,
            ..Listed::new(&format!("p{pod}"), at[sidecar])
        }
    }

    /// Tells one sidecar's watch the whole list.
    pub fn tell_list(&mut self, sidecar: usize, pods: &[(usize, &'static str, u64)]) {
        self.seq += 1;
        let rows: Vec<Listed> = pods
            .iter()
            .map(|(pod, health, born)| self.listed(sidecar, *pod, health, *born))
            .collect();
        self.discovery[sidecar].says(&listing(self.seq, true, &rows));
        self.knows(sidecar, pods);
    }

    /// Notes that a sidecar was told this list, by its configuration or its watch.
    pub fn knows(&self, sidecar: usize, pods: &[(usize, &'static str, u64)]) {
        let of = |wanted: &str| {
            let some = pods.iter().filter(|(_, health, _)| *health == wanted);
            some.map(|(pod, ..)| PodId(*pod as u32)).collect()
        };
        let (ready, draining) = (of("in_service"), of("terminating"));
        self.record.note(Event::EndpointsNotified {
            sidecar: SidecarId(sidecar as u32),
            ready,
            draining,
        });
    }

    /// Tells all sidecars how the newest build stands.
    pub fn tell_news(&mut self, build: u16, stage: u8, name: &str, cap: f64) {
        self.news += 1;
        for (sidecar, rollouts) in self.rollouts.iter().enumerate() {
            rollouts.says(&format!(
                r#"{{"type":"news","object":{}}}"#,
                state(build, stage, name, cap)
            ));
            self.knows_news(sidecar, build, stage, name, cap);
        }
    }

    pub fn knows_news(&self, sidecar: usize, build: u16, stage: u8, name: &str, cap: f64) {
        let phase = match name {
            "Progressing" => Phase::OnTrial,
            "Aborting" => Phase::RollingBack,
            "Healthy" => Phase::Released,
            _ => Phase::RolledBack,
        };
        let (sidecar, number) = (SidecarId(sidecar as u32), self.news);
        self.record.note(Event::StageNotified {
            sidecar,
            number,
            build,
            stage,
            phase,
            cap,
        });
    }

    pub fn note(&self, event: Event) {
        self.record.note(event);
    }

    pub fn fail(&self, pod: usize, faults: Faults) {
        *self.pods[pod].0.faults.lock().unwrap() = faults;
    }

    /// A client of a sidecar: asks one hit after the other until it is told to stop, on connections that it opens anew
    /// where one ends; each try is a hit of its own. Tells how many were delivered.
    pub fn client(
        &self,
        (sidecar, at): (usize, SocketAddr),
        name: u64,
        waits: Duration,
        stop: Arc<std::sync::atomic::AtomicBool>,
    ) -> std::thread::JoinHandle<usize> {
        let (record, sidecar) = (self.record.clone(), SidecarId(sidecar as u32));
        let mut chance = StdRng::seed_from_u64(self.seed ^ name);
        std::thread::spawn(move || {
            let (mut delivered, mut next, mut link) = (0, 0u64, None);
            while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                let Some(client) = link.as_mut() else {
                    link = Client::try_new(at, waits + Duration::from_millis(700));
                    std::thread::sleep(Duration::from_millis(if link.is_some() { 0 } else { 20 }));
                    continue;
                };
                let order = RequestId(name << 32 | next);
                next += 1;
                let (of, group) = (
                    AttemptKey::new(order, 0),
                    chance.random_range(0..GROUPS.len()),
                );
                record.note(Event::RequestSent {
                    sidecar,
                    attempt: of,
                    class: group,
                    timeout: waits,
                    routing_key: None,
                });
                let asked = format!(
                    "SELECT blob FROM rows WHERE handle = '7f3a' /* id={:016x},c={},t=acme,d={},k={:x} */",
                    order.0,
                    GROUPS[group],
                    waits.as_millis(),
                    order.0
                );
                let reached = client.asks(&asked);
                let heard = if reached { client.hears() } else { Answer::End };
                let told = |ended, build| Event::Answered {
                    sidecar,
                    attempt: of,
                    answer: ended,
                    status: 0,
                    build,
                };
                match heard {
                    Answer::Row(value) => {
                        let (id, build) = value.split_once('-').unwrap_or_default();
                        let own = id == format!("{:016x}", order.0);
                        delivered += usize::from(own);
                        // What no pod made for this hit is no answer to it.
                        record.note(match own {
                            true => told(FinalAnswer::Delivered, build.parse().ok()),
                            false => Event::UnexpectedAnswer {
                                sidecar,
                                attempt: Some(of),
                            },
                        });
                    }
                    Answer::Error(code, _) if matches!(code.as_str(), "53300" | "57P03") => {
                        record.note(told(FinalAnswer::Rejected, None));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    Answer::Error(..) => record.note(told(FinalAnswer::Failed, None)),
                    Answer::Empty | Answer::Done(_) => record.note(Event::UnexpectedAnswer {
                        sidecar,
                        attempt: Some(of),
                    }),
                    Answer::End => {
                        let late = client.waited_out();
                        record.note(if late {
                            Event::ClientTimedOut { attempt: of }
                        } else {
                            Event::ConnectionLost {
                                attempt: of,
                                written: reached,
                            }
                        });
                        link = None;
                    }
                }
                std::thread::sleep(Duration::from_millis(chance.random_range(2..20)));
            }
            delivered
        })
    }

    /// The record so far, ended.
    pub fn lines(&self) -> Vec<RecordLine> {
        self.record.note(Event::End {});
        self.record.lines.lock().unwrap().clone()
    }
}

impl Standing {
    fn serve(&self, stream: TcpStream, sidecar: SidecarId) -> Option<()> {
        let mut link = accept_session(stream)?;
        loop {
            let text = read_statement(&mut link)?;
            let field = |name: &str| {
                let at = text.find(&format!("{name}="))? + name.len() + 1;
                text[at..].split([',', ' ']).next()
            };
            let (id, group) = (field("id")?.to_owned(), field(",c")?.to_owned());
            let of = AttemptKey::new(RequestId(u64::from_str_radix(&id, 16).ok()?), 0);
            let group = GROUPS.iter().position(|name| *name == group)?;
            let pod = PodId(self.number);
            self.record.note(Event::ForwardArrived {
                pod,
                sidecar,
                attempt: of,
                class: group,
                work: WORK,
            });
            let faults = *self.faults.lock().unwrap();
            let (draw, span) = {
                let mut chance = self.chance.lock().unwrap();
                (chance.random::<f64>(), chance.random_range(2..15))
            };
            let shares = [
                faults.turns_away,
                faults.closes,
                faults.spoilt,
                faults.silent,
                faults.errs,
            ];
            let mut sum = 0.0;
            let fault = shares.iter().position(|share| {
                sum += share;
                draw < sum
            });
            if fault == Some(0) {
                self.record
                    .note(Event::ForwardRejected { pod, attempt: of });
                link.stream.write_all(&error("53300")).ok()?;
                continue;
            }
            std::thread::sleep(Duration::from_millis(span));
            // A repeat of a mark is dropped: it has no second effect.
            let fresh = GROUPS[group] != "order" || self.ran.lock().unwrap().insert(id.clone());
            self.record.note(Event::Executed {
                pod,
                attempt: of,
                effect: fresh,
            });
            match fault {
                Some(1) => return None,
                Some(2) => link.stream.write_all(b"\x00\xffnoise").ok()?,
                Some(3) => continue,
                Some(_) => link.stream.write_all(&error("XX000")).ok()?,
                None => link
                    .stream
                    .write_all(&answer(&format!("{id}-{}", self.build)))
                    .ok()?,
            }
        }
    }
}
