//! The sidecar for the PostgreSQL protocol, which it uses with clients and pods. Discovery and the
//! rollout service are reached over HTTP. The sidecar converts socket events to events of the decision
//! engine, and the actions of the engine to bytes on sockets. `docs/platform.md` documents the platform.
//!
//! Modules without I/O:
//!
//! - [`config`], [`statement`], [`endpoint_listing`] and [`rollout_messages`]: formats of the platform's
//!   files and messages
//! - [`endpoint_list`], [`stage_updates`] and [`wrong_answers`]: state derived from these messages
//! - [`line_codec`]: streams of JSON objects over HTTP
//! - [`timeouts`], [`unsent_attempts`] and [`idle_clients`]: policies of this proxy that are not part of
//!   the decision engine
//!
//! [`service`] performs the I/O.

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
