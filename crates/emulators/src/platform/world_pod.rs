//! A pod of a [`World`](super::World), which has a separate address for each sidecar.

use super::messages::{encode_answer, error};
use super::pod_session::{accept_session, read_statement};
use super::world_record::WorldRecord;
use super::Connection;
use crate::locks::lock;
use limewing_rule_checker::record::{AttemptKey, Event, PodId, RequestId, SidecarId};
use rand::rngs::StdRng;
use rand::RngExt;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The request classes of [`SidecarConfigFile`](super::SidecarConfigFile), in the same order.
pub(super) const CLASSES: [&str; 3] = ["look", "order", "pay"];
/// The class whose repeated requests pods detect by their key.
const KEYED_CLASS: &str = "order";
/// The work of a request, as the record states it.
const WORK: Duration = Duration::from_millis(10);
/// The range of the time that a pod takes to run a request.
const RUN_TIME_MS: Range<u64> = 2..15;

/// The faults of a pod, each as the share of its statements.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answers with an error after running the statement.
    pub error_share: f64,
    /// Answers that the statement was not begun.
    pub rejection_share: f64,
    /// Closes the connection after running the statement.
    pub close_share: f64,
    /// Answers with bytes that are no valid message after running the statement.
    pub noise_share: f64,
    /// Never answers after running the statement.
    pub silence_share: f64,
}

/// The fault of a pod with one statement.
#[derive(Clone, Copy)]
enum StatementFault {
    Rejects,
    Closes,
    SendsNoise,
    StaysSilent,
    Fails,
}

impl Faults {
    /// Selects the fault for a number drawn uniformly from 0 to 1.
    fn pick(&self, drawn: f64) -> Option<StatementFault> {
        let shares = [
            (self.rejection_share, StatementFault::Rejects),
            (self.close_share, StatementFault::Closes),
            (self.noise_share, StatementFault::SendsNoise),
            (self.silence_share, StatementFault::StaysSilent),
            (self.error_share, StatementFault::Fails),
        ];
        let mut sum = 0.0;
        for (share, fault) in shares {
            sum += share;
            if drawn < sum {
                return Some(fault);
            }
        }
        None
    }
}

/// The request in a statement.
struct StatementRequest {
    id: String,
    attempt: AttemptKey,
    class: usize,
}

pub(super) struct WorldPod {
    pub(super) id: PodId,
    pub(super) build: u16,
    pub(super) faults: Mutex<Faults>,
    pub(super) record: WorldRecord,
    /// The identifiers of keyed requests that ran at any pod.
    pub(super) executed: Arc<Mutex<BTreeSet<String>>>,
    pub(super) rng: Mutex<StdRng>,
}

impl WorldPod {
    /// Serves a connection of a sidecar until it ends.
    pub(super) fn serve(&self, stream: TcpStream, sidecar: SidecarId) -> Option<()> {
        let mut connection = accept_session(stream)?;
        loop {
            let text = read_statement(&mut connection)?;
            let request = parse(&text)?;
            self.record.append(Event::AttemptArrived {
                pod: self.id,
                sidecar,
                attempt: request.attempt,
                class: request.class,
                work: WORK,
            });
            self.run(&mut connection, &request)?;
        }
    }

    fn run(&self, connection: &mut Connection, request: &StatementRequest) -> Option<()> {
        let pod = self.id;
        let attempt = request.attempt;
        let (fault, run_time) = self.draw();
        if matches!(fault, Some(StatementFault::Rejects)) {
            self.record.append(Event::AttemptRejected { pod, attempt });
            return connection.stream.write_all(&error("53300")).ok();
        }
        std::thread::sleep(run_time);
        // A repeated keyed request takes no second effect.
        let keyed = CLASSES[request.class] == KEYED_CLASS;
        let effect = !keyed || lock(&self.executed).insert(request.id.clone());
        self.record.append(Event::Executed {
            pod,
            attempt,
            effect,
        });
        let bytes = match fault {
            Some(StatementFault::Closes) => return None,
            Some(StatementFault::StaysSilent) => return Some(()),
            Some(StatementFault::SendsNoise) => b"\x00\xffnoise".to_vec(),
            Some(_) => error("XX000"),
            None => encode_answer(&format!("{}-{}", request.id, self.build)),
        };
        connection.stream.write_all(&bytes).ok()
    }

    fn draw(&self) -> (Option<StatementFault>, Duration) {
        let faults = *lock(&self.faults);
        let mut rng = lock(&self.rng);
        let fault = faults.pick(rng.random::<f64>());
        let run_time = Duration::from_millis(rng.random_range(RUN_TIME_MS));
        (fault, run_time)
    }
}

fn parse(text: &str) -> Option<StatementRequest> {
    let field = |name: &str| {
        let at = text.find(&format!("{name}="))? + name.len() + 1;
        text[at..].split([',', ' ']).next()
    };
    let id = field("id")?.to_owned();
    let class = field(",c")?;
    let request = RequestId(u64::from_str_radix(&id, 16).ok()?);
    Some(StatementRequest {
        attempt: AttemptKey::new(request, 0),
        class: CLASSES.iter().position(|name| *name == class)?,
        id,
    })
}
