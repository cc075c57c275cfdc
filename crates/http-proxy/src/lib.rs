//! The sidecar for HTTP/1.1: events of sockets become events of the decision engine, its actions become bytes on sockets.
//!
//! Which pod gets a request, and when one is given up, the decision engine alone decides.
//!
//! - [`service`]: one sidecar, driven by its event loop
//! - [`request_classifier`]: class, tenant, routing key and deadline of a request
//! - [`endpoint_list`], [`endpoint_directory`]: the list as the service sends it, and as the decision engine knows it
//! - [`endpoint_list_file`], [`state_store`]: the list on disk, and the thread that writes it
//! - [`stage_updates`], [`votes`]: the messages of the rollout service
//! - [`vote_log`]: a consensus voter's log on disk

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
