//! The five rules once more, written to be read: `rules` keeps whole histories and recounts them at each step;
//! `world` draws a fleet and its troubles from a seed and steps the real decisions in it; `crooked` breaks each
//! rule on purpose. Of the real code only the words of its interface are used.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod crooked;
pub mod rules;
pub mod world;
