//! The command as its users call it.

mod copies;
mod days;
mod fleet;
mod help;
mod known_red;
mod leaving;
mod platform;
mod wants;
mod work;
