//! What a fault asks of the members' host.

use crate::script::Fault;

/// What the host is to do to one member, given by its number.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// End it outright.
    Kill(usize),
    /// Let it leave, and end it.
    Leave(usize),
    /// Suspend it.
    Suspend(usize),
    /// End the suspension: it goes on as if nothing had been.
    Resume(usize),
    /// Start it, anew if it runs.
    Start(usize),
    /// Delete what it keeps on disk, if it does not run.
    LoseDisk(usize),
    /// Let its writes fail from now on.
    FillDisk(usize),
    /// Let its writes succeed again.
    FreeDisk(usize),
    /// Replace the keys in its key file, and let it read the file.
    ReplaceKeys {
        /// The member.
        member: usize,
        /// Numbers of the keys; the first one seals.
        ids: Vec<u8>,
    },
    /// Send it noise, and as many datagrams that it has had before.
    SendNoise {
        /// The member.
        member: usize,
        /// How many of each kind.
        datagrams: u32,
    },
}

impl Fault {
    /// The actions of a fault that concerns members, in a fleet of `member_count`; none of a fault of links.
    pub(crate) fn actions(&self, member_count: usize) -> Vec<FaultAction> {
        let (members, action): (_, &dyn Fn(usize) -> FaultAction) = match self {
            Fault::Partition { .. } | Fault::HealPartitions | Fault::ChangeLinks { .. } => {
                return Vec::new()
            }
            Fault::Kill(members) => (members, &FaultAction::Kill),
            Fault::Leave(members) => (members, &FaultAction::Leave),
            Fault::Suspend(members) => (members, &FaultAction::Suspend),
            Fault::Resume(members) => (members, &FaultAction::Resume),
            Fault::Start(members) => (members, &FaultAction::Start),
            Fault::LoseDisk(members) => (members, &FaultAction::LoseDisk),
            Fault::FillDisk(members) => (members, &FaultAction::FillDisk),
            Fault::FreeDisk(members) => (members, &FaultAction::FreeDisk),
            Fault::ReplaceKeys { members, ids } => (members, &|member| FaultAction::ReplaceKeys {
                member,
                ids: ids.clone(),
            }),
            Fault::SendNoise { to, datagrams } => (to, &|member| FaultAction::SendNoise {
                member,
                datagrams: *datagrams,
            }),
        };
        members
            .resolve(member_count)
            .into_iter()
            .map(action)
            .collect()
    }
}
