//! Events of a record: one for each message that crossed a socket and for each change of the fleet. The names in `serde`
//! attributes are part of the file format.

use super::ids::{AttemptKey, PodId, SidecarId};
use super::limits::RuleLimits;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// The build is a canary, whose share of the requests is capped.
    #[serde(rename = "on_trial")]
    OnTrial,
    /// The build is being rolled back.
    #[serde(rename = "going_back")]
    RollingBack,
    /// The build was promoted through all stages.
    #[serde(rename = "released")]
    Released,
    /// The rollback is complete.
    #[serde(rename = "withdrawn")]
    RolledBack,
}

/// Writes the names that the terminal view shows.
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

/// Outcome of one attempt of a client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Final")]
pub enum FinalAnswer {
    /// A pod's answer was delivered.
    #[serde(rename = "delivered")]
    Delivered,
    /// The request was rejected with the guarantee that a retry is harmless.
    #[serde(rename = "bounced")]
    Rejected,
    /// The request failed without that guarantee.
    #[serde(rename = "errored")]
    Failed,
}

/// One event. Request classes are given by their index in [`RuleLimits::classes`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Entry", tag = "what")]
pub enum Event {
    /// The first line of a record.
    #[serde(rename = "begin")]
    Begin {
        /// The name of the day.
        day: String,
        /// Limits that the rules are checked against.
        #[serde(rename = "terms")]
        limits: RuleLimits,
    },
    /// A sidecar's process started.
    #[serde(rename = "sidecar_up")]
    SidecarStarted {
        /// The sidecar.
        sidecar: SidecarId,
    },
    /// A sidecar's process ended.
    #[serde(rename = "sidecar_down")]
    SidecarExited {
        /// The sidecar.
        sidecar: SidecarId,
    },
    /// A sidecar was asked to shut down: it accepts no new requests, and finishes those in flight.
    #[serde(rename = "sidecar_leaves")]
    SidecarDraining {
        /// The sidecar.
        sidecar: SidecarId,
    },
    /// A sidecar's process was suspended (SIGSTOP); it keeps its state until it resumes.
    #[serde(rename = "sidecar_stopped")]
    SidecarSuspended {
        /// The sidecar.
        sidecar: SidecarId,
    },
    /// A suspended sidecar's process resumed.
    #[serde(rename = "sidecar_goes_on")]
    SidecarResumed {
        /// The sidecar.
        sidecar: SidecarId,
    },
    /// A client wrote a request to a sidecar.
    #[serde(rename = "asked")]
    RequestSent {
        /// The sidecar that receives it.
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
        /// The sidecar that sent it.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// Outcome that the answer states.
        #[serde(rename = "ended")]
        answer: FinalAnswer,
        /// HTTP status; 0 for other protocols.
        status: u16,
        /// Build that the answer names.
        build: Option<u16>,
    },
    /// The first bytes of a streamed answer arrived; from then on the answer has no deadline of its own.
    #[serde(rename = "answer_begun")]
    AnswerStarted {
        /// The sidecar that sent it.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// A second answer to a request, or bytes that belong to no request.
    #[serde(rename = "unasked")]
    UnexpectedAnswer {
        /// The sidecar that sent it.
        sidecar: SidecarId,
        /// The last attempt on the connection.
        #[serde(rename = "of")]
        attempt: Option<AttemptKey>,
    },
    /// The client closed the connection of its own accord before an answer arrived.
    #[serde(rename = "left")]
    ClientDisconnected {
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// The client's timeout expired without an answer.
    #[serde(rename = "gave_up")]
    ClientTimedOut {
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// The connection broke before an answer arrived.
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
        /// The pod.
        pod: PodId,
        /// Build that the pod runs.
        build: u16,
        /// Zone of the pod.
        zone: u16,
        /// Cell of the pod.
        cell: u16,
        /// Capacity in cores.
        capacity: f64,
        /// Whether it starts with reduced capacity.
        #[serde(rename = "cold")]
        warming_up: bool,
    },
    /// A pod's process ended.
    #[serde(rename = "pod_down")]
    PodExited {
        /// The pod.
        pod: PodId,
    },
    /// An attempt arrived at a pod, which has read the whole request.
    #[serde(rename = "arrived")]
    AttemptArrived {
        /// The pod.
        pod: PodId,
        /// The sidecar that sent it.
        sidecar: SidecarId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// The request class.
        #[serde(rename = "group")]
        class: usize,
        /// Time that it needs on one core.
        work: Duration,
    },
    /// An operator requested maintenance of machines.
    #[serde(rename = "work_asked")]
    MaintenanceRequested {
        /// How many machines may be out at once.
        #[serde(rename = "out")]
        max_out: u16,
        /// How many machines of one zone may be out at once.
        #[serde(rename = "out_in_zone")]
        max_out_in_zone: u16,
    },
    /// A machine's agent was notified that the machine is out: no further attempts may arrive at its pod.
    #[serde(rename = "work_out")]
    MachineOut {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// A pod on it.
        pod: PodId,
    },
    /// Maintenance of a machine began.
    #[serde(rename = "work_begins")]
    MaintenanceStarted {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// Zone of the machine.
        zone: u16,
        /// Requests still in flight on its pods.
        #[serde(rename = "open")]
        in_flight: usize,
    },
    /// Maintenance of a machine ended.
    #[serde(rename = "work_ends")]
    MaintenanceEnded {
        /// The machine.
        #[serde(rename = "place")]
        machine: usize,
        /// Whether it succeeded.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// A pod rejected an attempt, and stated that it has not begun to run it.
    #[serde(rename = "turned_away")]
    AttemptRejected {
        /// The pod.
        pod: PodId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
    },
    /// A pod ran a request.
    #[serde(rename = "ran")]
    Executed {
        /// The pod.
        pod: PodId,
        /// The client's attempt.
        #[serde(rename = "of")]
        attempt: AttemptKey,
        /// Whether it took effect; false if the pod dropped it as a duplicate.
        effect: bool,
    },
    /// A sidecar was notified of the endpoint list.
    #[serde(rename = "list_told")]
    EndpointsNotified {
        /// The sidecar.
        sidecar: SidecarId,
        /// Pods that accept new requests.
        ready: Vec<PodId>,
        /// Pods that are draining.
        draining: Vec<PodId>,
    },
    /// A sidecar was notified of the stage of a rollout.
    #[serde(rename = "stage_told")]
    StageNotified {
        /// The sidecar.
        sidecar: SidecarId,
        /// Increases with each change; an update with a lower number than an earlier one is outdated.
        #[serde(default)]
        number: u64,
        /// The newest build.
        build: u16,
        /// Stage of the newest build.
        stage: u8,
        /// Phase of the newest build's rollout.
        phase: Phase,
        /// Share of the requests that the newest build may receive.
        cap: f64,
    },
    /// A sidecar voted on a stage.
    #[serde(rename = "voted")]
    Voted {
        /// The sidecar.
        sidecar: SidecarId,
        /// Build that the vote is about.
        build: u16,
        /// Stage that the vote is about.
        stage: u8,
        /// The vote.
        verdict: String,
        /// The rollout controller's answer to the vote.
        answer: String,
    },
    /// The rollout controller changed the stage.
    #[serde(rename = "stage")]
    StageChanged {
        /// The newest build.
        build: u16,
        /// Stage of the newest build.
        stage: u8,
        /// Phase of the newest build's rollout.
        phase: Phase,
    },
    /// A scripted fault began or ended.
    #[serde(rename = "trouble")]
    Fault {
        /// Description of the fault.
        text: String,
    },
    /// The recorder did not run for a while: recorded times are late by up to that duration.
    #[serde(rename = "stood")]
    RecorderStalled {
        /// How long the recorder did not run.
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
    /// Time since the start of the day.
    pub at: Duration,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}
