//! Scripted faults between the members of a fleet. The same script drives simulated members and real processes. The package does
//! no I/O and reads no clock.
//!
//! Data flow: a [`Script`] states which [`Fault`] happens when. A [`FaultyNetwork`] takes each datagram that one member sends to
//! another and returns the copies of it that arrive, with their times ([`FaultyNetwork::transmit`]). It applies the faults that are
//! due ([`FaultyNetwork::advance`]) and returns the [`FaultAction`]s that only the members' host can carry out. A [`Simulation`] is
//! such a host for members without I/O ([`SimulatedMember`]): it runs up to a thousand of them in simulated time. The other host is
//! the process runner in `crates/emulators`.
//!
//! | module | purpose |
//! | --- | --- |
//! | `script` | format of the script |
//! | `selector` | selection of the members that a fault affects |
//! | `validation` | detection of invalid values in a script |
//! | `action` | actions of faults that the members' host carries out |
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
