//! A sidecar on the platform's sockets, with pods, discovery and rollouts that do as they are told.

mod clients;
mod fleets;
mod help;
mod pods;
mod services;
