//! Tests of the command-line interface.

mod copies;
mod days;
mod fleet;
mod http_memory;
mod known_red;
mod leaving;
mod memory;
mod platform;
mod played_day;
mod support;
mod wants;
mod work;
