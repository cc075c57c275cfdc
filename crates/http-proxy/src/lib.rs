//! The HTTP/1.1 sidecar: translates socket events to events of the decision engine, and the engine's actions to bytes on
//! sockets.
//!
//! The decision engine alone decides which pod gets a request and when a request is abandoned.
//!
//! - [`service`]: a sidecar and its event loop
//! - [`request_classifier`]: determines class, tenant, routing key and deadline of a request
//! - [`endpoint_list`], [`endpoint_directory`]: parse the endpoint list, and map it to the decision engine's IDs
//! - [`endpoint_list_file`], [`state_store`]: the endpoint list on disk, and the thread that writes it
//! - [`stage_updates`], [`votes`]: the messages of the rollout service
//! - [`vote_log`]: the log of a consensus voter on disk

pub mod endpoint_directory;
pub mod endpoint_list;
pub mod endpoint_list_file;
mod http_status;
pub mod request_classifier;
pub mod service;
pub mod stage_updates;
pub mod state_store;
pub mod vote_log;
pub mod votes;
