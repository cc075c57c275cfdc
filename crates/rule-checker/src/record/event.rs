//! What a record can say: one event for each thing that crossed a socket or happened to the fleet. The names in `serde`
//! attributes are the file format.

use super::ids::{AttemptKey, PodId, SidecarId};
use super::limits::RuleLimits;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Where the rollout of a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// The build is a canary: its share is capped.
    #[serde(rename = "on_trial")]
    OnTrial,
    /// The rollback has begun.
    #[serde(rename = "going_back")]
    RollingBack,
    /// The build was promoted through all stages.
    #[serde(rename = "released")]
    Released,
    /// The rollback is over.
    #[serde(rename = "withdrawn")]
    RolledBack,
}

/// The words that the terminal view shows.
impl Display for Phase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::OnTrial => "OnTrial",
            Phase::RollingBack => "GoingBack",
            Phase::Released => "Released",
            Phase::RolledBack => "Withdrawn",
        })
    }
}

/// The final answer to one attempt of a client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Final")]
pub enum FinalAnswer {
    /// A pod's answer.
    #[serde(rename = "delivered")]
    Delivered,
    /// Refused, with the promise that a retry is harmless.
    #[serde(rename = "bounced")]
    Rejected,
    /// An error without that promise.
    #[serde(rename = "errored")]
    Failed,
}

/// One thing that happened. Classes are named by their index in [`RuleLimits::classes`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Entry", tag = "what")]
pub enum Event {
    /// The first line of a record.
    #[serde(rename = "begin")]
    Begin {
        /// The name of the day.
        day: String,
        /// What the rules are held to.
        #[serde(rename = "terms")]
        limits: RuleLimits,
    },
    /// A sidecar's process started.
    #[serde(rename = "sidecar_up")]
    SidecarStarted {
        /// Which.
        sidecar: SidecarId,
    },
    /// A sidecar's process ended.
    #[serde(rename = "sidecar_down")]
    SidecarExited {
        /// Which.
        sidecar: SidecarId,
    },
    /// A sidecar was asked to shut down: it takes no new requests, and finishes those that it has.
    #[serde(rename = "sidecar_leaves")]
    SidecarDraining {
        /// Which.
        sidecar: SidecarId,
    },
    /// The process is suspended (SIGSTOP) and resumes later with all its state.
    #[serde(rename = "sidecar_stopped")]
    SidecarSuspended {
        /// Which.
        sidecar: SidecarId,
    },
    /// A suspended process runs again.
    #[serde(rename = "sidecar_goes_on")]
    SidecarResumed {
        /// Which.
        sidecar: SidecarId,
    },
    /// A client wrote a request to a sidecar.
    #[serde(rename = "asked")]
    RequestSent {
        /// To whom.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// The request class.
        #[serde(rename = "group")]
        class: usize,
        /// How long the client waits for the answer.
        #[serde(rename = "waits")]
        timeout: Duration,
        /// The routing key, if the request has one.
        #[serde(rename = "key")]
        routing_key: Option<u64>,
    },
    /// A client has read the whole answer.
    #[serde(rename = "answered")]
    Answered {
        /// By whom.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// What the answer says.
        #[serde(rename = "ended")]
        answer: FinalAnswer,
        /// The HTTP status; 0 for other protocols.
        status: u16,
        /// The build that the answer names.
        build: Option<u16>,
    },
    /// The first bytes of a streamed answer came: from here on it has no deadline of its own.
    #[serde(rename = "answer_begun")]
    AnswerStarted {
        /// By whom.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// A second answer, or bytes that no request asked for.
    #[serde(rename = "unasked")]
    UnexpectedAnswer {
        /// By whom.
        sidecar: SidecarId,
        /// The attempt that the connection carried last.
        #[serde(rename = "of")]
        attempt: Option<AttemptKey>,
    },
    /// The client closed by its own choice before an answer came.
    #[serde(rename = "left")]
    ClientDisconnected {
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// The client's timeout passed without an answer.
    #[serde(rename = "gave_up")]
    ClientTimedOut {
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// The connection broke before an answer.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// Whether the request had been written.
        #[serde(rename = "reached")]
        written: bool,
    },
    /// A pod started.
    #[serde(rename = "pod_up")]
    PodStarted {
        /// Which.
        pod: PodId,
        /// Its build.
        build: u16,
        /// Its zone.
        zone: u16,
        /// Its cell.
        cell: u16,
        /// Its capacity, in cores.
        capacity: f64,
        /// Whether it starts with less than its whole capacity.
        #[serde(rename = "cold")]
        warming_up: bool,
    },
    /// A pod's process ended.
    #[serde(rename = "pod_down")]
    PodExited {
        /// Which.
        pod: PodId,
    },
    /// A pod has read a whole request.
    #[serde(rename = "arrived")]
    ForwardArrived {
        /// At whom.
        pod: PodId,
        /// From whom.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// The request class.
        #[serde(rename = "group")]
        class: usize,
        /// The time of one core that it needs.
        work: Duration,
    },
    /// An operator asked for maintenance of machines.
    #[serde(rename = "work_asked")]
    MaintenanceRequested {
        /// How many machines may be out at once.
        #[serde(rename = "out")]
        max_out: u16,
        /// How many of one zone.
        #[serde(rename = "out_in_zone")]
        max_out_in_zone: u16,
    },
    /// A machine's agent was notified that the machine is out: nothing more may arrive at its pod.
    #[serde(rename = "work_out")]
    MachineOut {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// A pod on it.
        pod: PodId,
    },
    /// The maintenance of a machine begins.
    #[serde(rename = "work_begins")]
    MaintenanceStarted {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// Its zone.
        zone: u16,
        /// Requests that its pods still hold.
        #[serde(rename = "open")]
        in_flight: usize,
    },
    /// The maintenance of a machine is over.
    #[serde(rename = "work_ends")]
    MaintenanceEnded {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// Whether it succeeded.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// The pod answered that it has not begun the request.
    #[serde(rename = "turned_away")]
    ForwardRejected {
        /// By whom.
        pod: PodId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// A pod ran a request.
    #[serde(rename = "ran")]
    Executed {
        /// Which.
        pod: PodId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// False if the pod dropped it as a repeat.
        effect: bool,
    },
    /// A sidecar was notified of the endpoint list.
    #[serde(rename = "list_told")]
    EndpointsNotified {
        /// Which.
        sidecar: SidecarId,
        /// Pods that take requests.
        ready: Vec<PodId>,
        /// Pods that drain.
        draining: Vec<PodId>,
    },
    /// A sidecar was notified of the stage of a rollout.
    #[serde(rename = "stage_told")]
    StageNotified {
        /// Which.
        sidecar: SidecarId,
        /// Grows with each change: an update with a lower number than one before it is outdated.
        #[serde(default)]
        number: u64,
        /// The newest build.
        build: u16,
        /// Its stage.
        stage: u8,
        /// Where its rollout stands.
        phase: Phase,
        /// The share of requests that it may get.
        cap: f64,
    },
    /// A sidecar voted on a stage.
    #[serde(rename = "voted")]
    Voted {
        /// Which.
        sidecar: SidecarId,
        /// The build that the vote is about.
        build: u16,
        /// The stage that the vote is about.
        stage: u8,
        /// The vote.
        verdict: String,
        /// What the rollout controller made of it.
        answer: String,
    },
    /// The rollout controller changed the stage.
    #[serde(rename = "stage")]
    StageChanged {
        /// The newest build.
        build: u16,
        /// Its stage.
        stage: u8,
        /// Where its rollout stands.
        phase: Phase,
    },
    /// A scripted fault began or ended.
    #[serde(rename = "trouble")]
    Fault {
        /// Which, in words.
        text: String,
    },
    /// The recorder itself did not run: its times are late by as much.
    #[serde(rename = "stood")]
    RecorderStalled {
        /// For how long.
        #[serde(rename = "span")]
        duration: Duration,
    },
    /// The last line of a record.
    #[serde(rename = "end")]
    End {},
}

/// An event with its time; one line of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Line")]
pub struct RecordLine {
    /// Since the start of the day.
    pub at: Duration,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}
