//! The five rules, a module each. A rule goes once over the whole record and keeps what it needs itself.

pub(crate) mod draining;
pub(crate) mod exposure;
pub(crate) mod no_effect_twice;
pub(crate) mod one_answer;
pub(crate) mod slow_start;
