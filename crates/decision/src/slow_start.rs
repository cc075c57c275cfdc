//! Rule 4: how many attempts a pod that is warming up gets.
//!
//! No sidecar knows the others' traffic. Each keeps its own attempts at a cold pod to what it sends to as much
//! warm capacity, so that the sum keeps to that too, however unequal their traffic is.

use crate::context::Context;
use crate::endpoint_state::{EndpointState, EndpointStates};
use crate::message::Refusal;
use crate::statistics::SmoothedRate;
use std::time::Duration;

/// The load of a cold pod at its present capacity, over that of warm ones, at most.
const MAX_SLOW_START_LOAD: f64 = 1.4;
/// The time constant over which rates are smoothed.
pub(crate) const RATE_SMOOTHING: Duration = Duration::from_secs(2);
/// The least warm capacity that the rate is divided by.
const MIN_CAPACITY: f64 = 0.01;

/// Knows this sidecar's rate of successes.
#[derive(Default)]
pub(crate) struct SlowStart {
    success_rate: SmoothedRate,
}

impl SlowStart {
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.success_rate.record(now, RATE_SMOOTHING);
    }

    /// Whether the rule admits one more attempt at a pod, of whose build this sidecar uses `used_fraction`.
    pub(crate) fn check(
        &self,
        state: &EndpointState,
        used_fraction: f64,
        endpoints: &EndpointStates,
        context: &Context,
    ) -> Result<(), Refusal> {
        let (now, config) = (context.now, &context.config);
        let factor = config.capacity_factor(state.endpoint.started_at, now);
        if factor >= 1.0 {
            return Ok(());
        }
        let capacity = endpoints.ready_capacity(now, config);
        // A pod gets more from the sidecars that use it, as it gets nothing from those that use others.
        let rate_per_capacity = self.success_rate.per_second(now, RATE_SMOOTHING)
            / (capacity * used_fraction).max(MIN_CAPACITY);
        let load = MAX_SLOW_START_LOAD.min(config.overload_multiple);
        let budget = rate_per_capacity
            * state.endpoint.weight
            * factor
            * load
            * config.overload_window.as_secs_f64();
        let sent = state
            .attempts
            .count_since(context.ago(config.overload_window));
        // The fraction of an attempt is granted at random: rounded up, hundreds of sidecars would overload the
        // pod; rounded down, those with little traffic would never warm it.
        if (sent + 1) as f64 <= budget + state.fractional_allowance {
            Ok(())
        } else {
            Err(Refusal::SlowStart)
        }
    }
}
