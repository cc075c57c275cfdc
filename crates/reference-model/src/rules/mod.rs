//! One module per rule. Each check scans the recorded history.

pub(crate) mod draining;
pub(crate) mod endpoint_lease;
pub(crate) mod exposure;
pub(crate) mod one_answer;
pub(crate) mod repeated_effect;
pub(crate) mod retry_budget;
pub(crate) mod slow_start;
