//! The sidecar for PostgreSQL's protocol: clients and pods speak it, discovery and the rollout service HTTP. Sockets
//! become events of the decision engine, its actions become bytes on sockets. `docs/platform.md` has the pages.
//!
//! Without I/O:
//!
//! - [`config`], [`statement`], [`endpoint_listing`] and [`rollout_messages`]: what the platform's files and messages say
//! - [`endpoint_list`], [`stage_updates`] and [`wrong_answers`]: what is known by them
//! - [`line_codec`]: streams of JSON objects over HTTP
//! - [`timeouts`], [`unsent_attempts`] and [`idle_clients`]: what this proxy decides beside the decision engine
//!
//! [`service`] drives the sockets.

pub mod config;
pub mod endpoint_list;
pub mod endpoint_listing;
pub mod idle_clients;
pub mod line_codec;
pub mod rollout_messages;
pub mod service;
pub mod stage_updates;
pub mod statement;
pub mod timeouts;
pub mod unsent_attempts;
pub mod wrong_answers;
