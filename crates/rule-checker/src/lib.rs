//! The account of a day: what crossed the sockets, as the stand-ins at their far ends saw it (`record`), and
//! whether the five rules were kept (`rules`). It shares no code and no view with the decision module.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod across;
pub mod balance;
pub mod record;
pub mod rules;
mod stalls;
pub mod work;
