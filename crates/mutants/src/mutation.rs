//! The mutations that make a sidecar violate a rule.

/// The suffixes of the program name and the mutations they select.
const NAMES: [(&str, Mutation); 7] = [
    ("resend", Mutation::RepeatsNonIdempotent),
    ("bounce", Mutation::RejectsInFlight),
    ("swallow", Mutation::DropsRequests),
    ("twice", Mutation::AnswersTwice),
    ("cap", Mutation::ExceedsCap),
    ("drained", Mutation::UsesDrainedPods),
    ("cold", Mutation::FloodsColdPods),
];

/// A deliberate fault in the behaviour of the sidecar.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mutation {
    /// Sends each non-idempotent request to two pods. Violates rule 2.
    RepeatsNonIdempotent,
    /// Rejects non-idempotent requests that are in flight at a pod. Violates rule 2.
    RejectsInFlight,
    /// Does not send some requests, so that they get no answer. Violates rule 1.
    DropsRequests,
    /// Answers some requests twice. Violates rule 1.
    AnswersTwice,
    /// Sends one in three of the attempts that are safe to repeat to the build on trial. Violates rule 5.
    ExceedsCap,
    /// Sends to pods that have been draining for longer than the grace period. Violates rule 3.
    UsesDrainedPods,
    /// Sends all requests to a pod that has just started. Violates rule 4.
    FloodsColdPods,
}

impl Mutation {
    /// Returns the mutation selected by the last part of the program name, such as `cap` in `mutant-cap`.
    pub(crate) fn from_program_name(program: &str) -> Option<Self> {
        let suffix = program.rsplit('-').next()?;
        NAMES
            .iter()
            .find(|(name, _)| *name == suffix)
            .map(|(_, mutation)| *mutation)
    }

    /// Whether the mutation starts attempts that the engine did not decide, or sends them to other pods.
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
