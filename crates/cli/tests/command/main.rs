//! The command as its users call it.

mod copies;
mod days;
mod fleet;
mod help;
mod platform;
mod wants;
mod work;
