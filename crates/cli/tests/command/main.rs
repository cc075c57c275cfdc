//! The command as its users call it.

mod days;
mod help;
mod platform;
mod wants;
