//! The ways in which a sidecar can break a rule.

/// The mutations by the name that the program is called by.
const NAMES: [(&str, Mutation); 7] = [
    ("resend", Mutation::RepeatsNonIdempotent),
    ("bounce", Mutation::RejectsInFlight),
    ("swallow", Mutation::DropsRequests),
    ("twice", Mutation::AnswersTwice),
    ("cap", Mutation::ExceedsCap),
    ("drained", Mutation::UsesDrainedPods),
    ("cold", Mutation::FloodsColdPods),
];

/// How the sidecar misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mutation {
    /// Sends each non-idempotent request to two pods. Breaks rule 2.
    RepeatsNonIdempotent,
    /// Rejects non-idempotent requests that are in flight at a pod. Breaks rule 2.
    RejectsInFlight,
    /// Never sends some requests, so that they get no answer. Breaks rule 1.
    DropsRequests,
    /// Answers some requests twice. Breaks rule 1.
    AnswersTwice,
    /// Sends one in three of the requests that may be repeated to the build on trial. Breaks rule 5.
    ExceedsCap,
    /// Sends to pods that have drained for longer than the grace. Breaks rule 3.
    UsesDrainedPods,
    /// Sends everything to a pod that has just started. Breaks rule 4.
    FloodsColdPods,
}

impl Mutation {
    /// The mutation that the last part of a program's name tells, as `cap` in `mutant-cap`.
    pub(crate) fn from_program_name(program: &str) -> Option<Self> {
        let suffix = program.rsplit('-').next()?;
        NAMES
            .iter()
            .find(|(name, _)| *name == suffix)
            .map(|(_, mutation)| *mutation)
    }

    /// Whether it starts attempts that the real decisions do not know, or know at another pod.
    pub(crate) fn changes_attempts(self) -> bool {
        match self {
            Mutation::RepeatsNonIdempotent
            | Mutation::ExceedsCap
            | Mutation::UsesDrainedPods
            | Mutation::FloodsColdPods => true,
            Mutation::RejectsInFlight | Mutation::DropsRequests | Mutation::AnswersTwice => false,
        }
    }
}
