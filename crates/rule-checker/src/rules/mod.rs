//! The five rules, one module each. Each rule makes a single pass over the record and keeps its own state.

pub(crate) mod draining;
pub(crate) mod exposure;
pub(crate) mod no_effect_twice;
pub(crate) mod one_answer;
pub(crate) mod slow_start;
