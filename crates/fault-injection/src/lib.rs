//! Faults between the members of a fleet, by one script that drives simulated members and processes alike; without
//! I/O and without a clock.
//!
//! How data flows: a `Script` says what happens when. `Links` takes each datagram on its way from one member to another
//! and tells which copies of it arrive when (`pass`); it changes with the script's time (`turn`), and hands out what is to be
//! done to members (`Act`), which only their host can do. `World` is such a host for members without I/O (`Core`): it
//! steps up to a thousand of them through simulated time. The rig of processes is another (crates/emulators).

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod links;
mod script;
mod world;

pub use links::{Arrival, Links};
pub use script::{Act, Ahead, ConfigError, Fault, Line, Script, Step, Who};
pub use world::{Core, World};
