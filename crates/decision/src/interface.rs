//! What the decision module and its host say to each other, free of any wire. Times are spans since the start
//! of the host's clock.

use std::collections::BTreeSet;
use std::time::Duration;

macro_rules! ids {
    ($($name:ident($of:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    HitId(u64),
    PodId(u64),
    GroupId(u16),
    CustomerId(u32),
    KeyId(u64),
    ZoneId(u16),
    CellId(u16),
    BuildId(u16)
);
ids!(ForwardNo(u16), StageNo(u8), KindId(u16));

/// Whether a hit of a path group may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Repeatable,
    Tagged {
        drops_repeats: Reach,
        memory: Duration,
    },
    Mutating,
}

/// The pods that share a memory of tagged hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct PathGroup {
    pub repeat: Repeat,
    pub target_latency: Duration,
    pub client_timeout: Duration,
    pub benefit: f64,
    pub late_benefit: f64,
    pub streamed: bool,
}

/// How votes act on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Votes move the build on.
    Votes,
    /// A clock does, unless votes hold it.
    Clock,
}

#[derive(Clone, Debug)]
pub struct ReleaseTerms {
    pub control: Control,
    pub stage_shares: Vec<f64>,
    pub caps: Vec<f64>,
    pub cap_window: Duration,
    pub cap_free: f64,
    pub cap_by_group: bool,
    pub guarded_stages: u8,
    pub keys_stay: bool,
    pub vote_life: Duration,
    pub vote_answer_within: Duration,
    /// How many sidecars it takes to send a build back, to hold a stage, and to move it on.
    pub back_votes: u32,
    pub hold_votes: u32,
    pub on_votes: u32,
    /// Calls a second that are taken from all sidecars together; of twice that many at one time. None: all are.
    pub vote_allowance: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct RuleTerms {
    pub drain_grace: Duration,
    pub cold_from: f64,
    pub cold_for: Duration,
    pub fall_multiple: f64,
    pub fall_within: Duration,
}

/// What a sidecar is told when it starts.
#[derive(Clone, Debug)]
pub struct StartTerms {
    pub seed: u64,
    pub sidecars: u32,
    /// This one's number among them.
    pub own_number: u32,
    pub zone: ZoneId,
    pub groups: Vec<PathGroup>,
    pub list_on_request: bool,
    /// Lists come from an agent of this sidecar's own: what the agent has counts as told, heard or not.
    pub list_pushed: bool,
    /// For how long a list that is no longer heard of may be relied on; none: for good.
    pub list_lease: Option<Duration>,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub retry_after: Option<Duration>,
    pub max_forwards: u16,
    pub rules: RuleTerms,
    pub release: ReleaseTerms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct PodEntry {
    pub pod: PodId,
    pub state: PodState,
    pub build: BuildId,
    pub size: f64,
    pub started: Option<Duration>,
    pub zone: ZoneId,
    pub cell: CellId,
    /// The kind of machine.
    pub kind: KindId,
}

#[derive(Clone, Debug)]
pub enum ListNews {
    Change(Vec<PodEntry>),
    Whole(Vec<PodEntry>),
    /// The list as last held before a restart; it may be old.
    Remembered(Vec<PodEntry>),
    /// A call for the list failed, or the watch on it ended: what changes from now on is not heard.
    Failed(ListLoss),
}

/// How the list was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListLoss {
    /// For how long nothing had been heard by then.
    pub silent: Duration,
    pub why: LossCause,
}

/// What a list was lost by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LossCause {
    /// A watch ended or fell silent, or a call failed otherwise.
    #[default]
    Ended,
    /// There is no service, or what it says can't be read.
    NoService,
    /// A call was not answered in time.
    Unanswered,
    /// The service answered that it can't take the call now.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Hit {
    pub id: HitId,
    pub group: GroupId,
    pub customer: Option<CustomerId>,
    pub key: Option<KeyId>,
    pub due: Duration,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Delivered,
    Errored,
    TimedOut,
    Broken,
    Cancelled,
    /// Turned away unseen.
    TurnedAway,
    /// No connection.
    Unreached,
    /// Never sent.
    Void,
}

impl Fate {
    pub fn never_ran(self) -> bool {
        matches!(self, Fate::TurnedAway | Fate::Unreached | Fate::Void)
    }
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub hit: HitId,
    pub no: ForwardNo,
    pub pod: PodId,
    pub fate: Fate,
    pub took: Duration,
    /// The hit is over, by this outcome or before it.
    pub over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageNews {
    pub build: BuildId,
    pub stage: StageNo,
    pub phase: Phase,
    pub cap: f64,
    /// How long ago, by whoever tells it, it came to stand so.
    pub age: Duration,
}

impl StageNews {
    /// A number of its own for each time that something of this stage comes round.
    pub fn turn(&self, nth: u32) -> u64 {
        u64::from(self.build.0) << 48 | u64::from(self.stage.0) << 40 | u64::from(nth)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    Counted,
    Moot,
    Full,
    Failed,
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Withhold,
    On,
    Hold,
    Back,
}

#[derive(Clone, Debug)]
pub enum Event {
    List(ListNews),
    Hit(Hit),
    Outcome(Outcome),
    StreamStarted {
        hit: HitId,
    },
    Left(HitId),
    Stage {
        news: Option<StageNews>,
        answer: Option<VoteAnswer>,
    },
    Flagged {
        pod: PodId,
        group: GroupId,
    },
    /// What is known of the other sidecars changed; none: nobody else is known.
    Fleet(Option<FleetView>),
    /// A routing key was answered by a build, at another sidecar or in an earlier life of this one.
    Met(KeyId, BuildId),
}

/// What the other sidecars make of this one's choices. It widens nothing: no cap, budget or time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Pods, the one to use first at the front.
    pub order: Vec<PodId>,
    /// How many of them to use at the least.
    pub uses: usize,
    /// Shut pods that others are to prove.
    pub held: BTreeSet<PodId>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Forward {
        hit: HitId,
        pod: PodId,
        within: Duration,
    },
    Cancel {
        hit: HitId,
        no: ForwardNo,
    },
    Bounce {
        hit: HitId,
        retry_after: Duration,
    },
    Fail {
        hit: HitId,
    },
    Vote {
        verdict: Verdict,
        build: BuildId,
        stage: StageNo,
    },
    Watch,
    /// `handle` is to be called then, with or without events.
    Wake {
        at: Duration,
    },
    Log(String),
}
