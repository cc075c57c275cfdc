//! The command as its users call it.

mod copies;
mod days;
mod fleet;
mod known_red;
mod leaving;
mod platform;
mod played_day;
mod support;
mod wants;
mod work;
