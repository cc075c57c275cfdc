//! Load on one machine. `generate` sends hits on a schedule and tells how long each took from the moment it was
//! due, so that a stall counts for all that it delayed; `pods` answers at once; `relay` passes bytes on and
//! decides nothing; `compare` runs clients straight to a pod, through the relay, and through a sidecar; `idle`
//! tells what a sleeping connection costs.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod compare;
pub mod generate;
pub mod idle;
pub mod pods;
pub mod relay;
