//! The sidecar: sockets become events of the decision module, its actions become bytes on sockets.
//!
//! `routes`, `pods`, `stages` and `memory` turn bytes into the module's words and back and are free of
//! sockets; `service` drives them, `state_store` has a thread of its own for the disk. Which pod gets a hit, and when one is given up, is the module's alone.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod endpoint_directory;
pub mod endpoint_list;
pub mod endpoint_list_file;
pub mod request_classifier;
pub mod service;
pub mod stage_updates;
pub mod state_store;
pub mod vote_log;
pub mod votes;
