//! What every host of the decision module on sockets needs, whatever protocol it speaks: hits that are open and
//! forwards that end once (`open`), connections kept to pods (`kept`), who may have how many descriptors
//! (`room`), when a lost service is asked again (`again`), the clock (`clock`), how a process
//! that is told to leave goes (`shutdown`), permission to write an attempt to its pod (`permit`). Nothing is decided here.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod again;
pub mod clock;
pub mod kept;
pub mod open;
pub mod permit;
pub mod room;
pub mod shutdown;
