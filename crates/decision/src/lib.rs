//! Every decision of one sidecar, without I/O and without a clock: which pod a request goes to, what counts as
//! evidence on a build, when to vote and when to give up.
//!
//! Make a [`DecisionEngine`] for each sidecar from its configuration, pass all events to
//! [`DecisionEngine::handle`], and carry out the actions that it returns, in order. [`interface`] has the types
//! of both. The components of the engine share nothing: they send each other messages, which the engine delivers
//! in order, so that the same seed and the same events give the same actions.
//!
//! | Modules | |
//! | --- | --- |
//! | `engine`, `context`, `message`, `mailbox`, `timer_queue` | the loop and what it delivers |
//! | `endpoints`, `endpoint_lease` | the list of endpoints, and for how long it may be relied on |
//! | `admission`, `slow_start`, `exposure` | the five rules |
//! | `balancer`, `placement`, `candidate`, `overload`, `hedging` | picking pods, shedding load, retries and hedged requests |
//! | `outlier` | ejecting pods, and telling a tenant's own faults apart |
//! | `canary`, `evidence`, `voting` | the verdict on the build on trial |
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
pub mod interface;
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
