//! Actions of faults that the members' host carries out.

use crate::script::Fault;

/// Action of the host on one member, which is given by its number.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Kill it without notice.
    Kill(usize),
    /// Let it leave the fleet, then stop it.
    Leave(usize),
    /// Suspend it.
    Suspend(usize),
    /// Resume it after a suspension, with its state unchanged.
    Resume(usize),
    /// Start it, or restart it if it runs.
    Start(usize),
    /// Delete its data on disk, if it does not run.
    LoseDisk(usize),
    /// Let its disk writes fail from now on.
    FillDisk(usize),
    /// Let its disk writes succeed again.
    FreeDisk(usize),
    /// Replace the keys in its key file, and let it reload the file.
    ReplaceKeys {
        /// The member.
        member: usize,
        /// Numbers of the keys; the first one seals datagrams.
        ids: Vec<u8>,
    },
    /// Send it datagrams of noise, and replay as many datagrams that it received before.
    SendNoise {
        /// The member.
        member: usize,
        /// Number of datagrams of each kind.
        datagrams: u32,
    },
}

impl Fault {
    /// Actions of a fault that affects members, in a fleet of `member_count`; empty for a fault of links.
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
