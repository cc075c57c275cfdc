//! Faults between the members of a fleet, by one script that drives simulated members and processes alike; without I/O and
//! without a clock.
//!
//! Data flow: a [`Script`] says which [`Fault`] happens when. A [`FaultyNetwork`] takes each datagram on its way from one member
//! to another and returns which copies of it arrive when ([`FaultyNetwork::transmit`]); it follows the script's time
//! ([`FaultyNetwork::advance`]) and returns the [`FaultAction`]s that only the members' host can carry out. A [`Simulation`] is
//! such a host for members without I/O ([`SimulatedMember`]): it steps up to a thousand of them through simulated time. The rig
//! of processes in `crates/emulators` is another.
//!
//! | module | job |
//! | --- | --- |
//! | `script` | the script's format |
//! | `selector` | which members a fault concerns |
//! | `validation` | what of a script cannot be used |
//! | `action` | what a fault asks of the members' host |
//! | `network` | links between members: loss, delay, partitions |
//! | `simulation` | members in simulated time |

mod action;
mod network;
mod script;
mod selector;
mod simulation;
mod validation;

pub use action::FaultAction;
pub use network::{Arrival, FaultyNetwork};
pub use script::{ClockOffset, Fault, LinkConditions, Script, ScriptStep};
pub use selector::Selector;
pub use simulation::{SimulatedMember, Simulation, Traffic};
pub use validation::ConfigError;
