//! limewing: a front tier that watches over software updates.
//!
//! `choice` holds every decision, `interface` the words it speaks with its host; `inbox` and `ledger` are
//! plain containers.

pub mod choice;
pub mod figures;
pub mod inbox;
pub mod interface;
pub mod ledger;
pub mod notes;
pub mod sidecar;
