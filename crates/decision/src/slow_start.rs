//! Rule 4: limits the attempts at a pod that is warming up.
//!
//! No sidecar knows the traffic of the others. Each sidecar limits its own attempts at a cold pod
//! to the rate that it sends to the same amount of warm capacity. The total then stays within the
//! same limit, however uneven the traffic is.

use crate::context::Context;
use crate::endpoint_state::{EndpointState, EndpointStates};
use crate::message::Refusal;
use crate::statistics::SmoothedRate;
use std::time::Duration;

/// The maximum load of a cold pod relative to its current capacity, as a multiple of the load of
/// warm pods.
const MAX_SLOW_START_LOAD: f64 = 1.4;
/// The time constant for smoothing rates.
pub(crate) const RATE_SMOOTHING: Duration = Duration::from_secs(2);
/// The lower bound on the warm capacity when it is used as a divisor.
const MIN_CAPACITY: f64 = 0.01;

/// Tracks this sidecar's rate of successful attempts.
#[derive(Default)]
pub(crate) struct SlowStart {
    success_rate: SmoothedRate,
}

impl SlowStart {
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.success_rate.record(now, RATE_SMOOTHING);
    }

    /// Checks whether the rule allows one more attempt at a pod; `used_fraction` is the fraction of
    /// its build's pods that this sidecar uses.
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
        // The limit is higher at sidecars that use the pod, because it receives nothing from the
        // others.
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
        // The fractional part of the budget is granted at random. Rounding up would let hundreds of
        // sidecars overload the pod, and with rounding down low-traffic sidecars would never warm
        // it up.
        if (sent + 1) as f64 <= budget + state.fractional_allowance {
            Ok(())
        } else {
            Err(Refusal::SlowStart)
        }
    }
}
