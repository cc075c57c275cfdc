//! Tests a sidecar over real sockets, with emulated clients, pods, discovery and rollout service.

mod cached_list;
mod clients;
mod helpers;
mod large_fleet;
mod pods;
mod services;
mod stage_order;
mod sticky_keys;
