//! The platform's way in: its clients and pods speak PostgreSQL's protocol, its discovery and its rollouts HTTP.
//! Sockets become events of the decision module, its actions become bytes on sockets.
//!
//! `config` and `statement` turn the platform's words into the module's; `lines` reads streams of JSON lines;
//! `bounds` holds what this host decides beside the module; `service` drives sockets, with `front` (clients), `back`
//! (pods), `discovery` and `rollouts`. `docs/platform.md` has the pages.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod bounds;
pub mod config;
pub mod lines;
pub mod listing;
pub mod news;
pub mod service;
pub mod statement;
