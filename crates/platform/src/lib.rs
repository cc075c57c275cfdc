//! The platform's way in: its clients and pods speak PostgreSQL's protocol, its discovery and its rollouts HTTP.
//! Sockets become events of the decision module, its actions become bytes on sockets.
//!
//! `config` and `statement` turn the platform's words into the module's; `lines` reads streams of JSON lines;
//! `service` drives sockets, with `front` (clients), `back` (pods), `discovery` and `rollouts`. Nothing is
//! decided here. `docs/platform.md` has the pages.

pub mod config;
pub mod lines;
pub mod listing;
pub mod news;
pub mod service;
pub mod statement;
