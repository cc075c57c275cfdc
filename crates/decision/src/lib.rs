//! Makes every decision of a sidecar, without I/O and without reading a clock: which pod receives a
//! request, what counts as evidence about a build, when to vote and when to abandon a request.
//!
//! Create a [`DecisionEngine`] for each sidecar from its configuration, pass all events to
//! [`DecisionEngine::handle`], and execute the returned actions in order. The types of both are in
//! [`interface`]. The components of the engine share no state; they exchange messages, which the
//! engine delivers in order. The same seed and events therefore always produce the same actions.
//!
//! | Modules | Responsibility |
//! | --- | --- |
//! | `engine`, `context`, `message`, `mailbox`, `timer_queue` | event loop and message delivery |
//! | `endpoints`, `endpoint_lease` | endpoint list and how long it remains valid |
//! | `latest_stage` | which stage update is the newest |
//! | `admission`, `slow_start`, `exposure` | the five safety rules |
//! | `balancer`, `placement`, `candidate`, `overload`, `hedging` | pod selection, load shedding, retries and hedged requests |
//! | `outlier` | ejection of pods and detection of outlier tenants |
//! | `canary`, `evidence`, `voting` | verdict on the build on trial |
//! | `request_state`, `endpoint_state`, `endpoint_table`, `canary_sample` | records |
//! | `derived_config`, `statistics`, `hashing` | arithmetic |

mod admission;
mod balancer;
mod canary;
mod canary_sample;
mod candidate;
mod context;
mod derived_config;
mod endpoint_lease;
mod endpoint_state;
mod endpoint_table;
mod endpoints;
mod engine;
mod evidence;
mod exposure;
mod hashing;
mod hedging;
mod idempotency;
pub mod interface;
mod latest_stage;
mod mailbox;
mod message;
mod outlier;
mod overload;
mod placement;
mod request_state;
mod slow_start;
mod statistics;
#[cfg(test)]
mod test_support;
mod timer_queue;
mod voting;

pub use endpoints::WATCH_RETRY_DELAY;
pub use engine::DecisionEngine;
pub use latest_stage::{AcceptedStage, LatestStage};
