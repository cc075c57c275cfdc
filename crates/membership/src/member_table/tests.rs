//! Property tests: the member table converges regardless of the order of updates.

use super::MemberTable;
use crate::status::{MemberName, MemberStatus, StatusUpdate};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const STATUSES: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspect,
    MemberStatus::Dead,
    MemberStatus::Left,
];
const LEFT: usize = 3;

/// Number in the name, start of the process, incarnation, index of the status.
type Drawn = (u8, u64, u32, usize);

fn member_name(number: u8) -> MemberName {
    MemberName::try_from(format!("s{number}")).unwrap()
}

fn update((name, started_at_ms, incarnation, status): Drawn) -> StatusUpdate {
    StatusUpdate {
        name: member_name(name),
        started_at_ms,
        incarnation,
        status: STATUSES[status],
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    }
}

/// Applies the updates in order and returns the table's updates. Checks the cached counts against
/// the members.
fn updates_after(drawn: &[Drawn]) -> Vec<StatusUpdate> {
    let from = MemberName::try_from("from".to_owned()).unwrap();
    let mut table = MemberTable::default();
    for drawn in drawn {
        table.apply(update(*drawn), &from, Duration::ZERO);
    }
    assert_eq!(table.active_count(), table.active().count());
    let suspects = table
        .iter()
        .filter(|member| member.update.status == MemberStatus::Suspect)
        .count();
    assert_eq!(table.suspects().count(), suspects);
    table.updates()
}

proptest! {
    /// Updates commute, and a process that left never becomes active again.
    #[test]
    fn updates_commute_and_a_process_that_left_stays_gone(
        drawn in prop::collection::vec((0u8..3, 0u64..2, 0u32..3, 0usize..4), 1..12),
        rotation in any::<prop::sample::Index>(),
    ) {
        let mut reordered = drawn.clone();
        reordered.rotate_left(rotation.index(drawn.len()));
        reordered.reverse();
        let prevailing = updates_after(&drawn);
        prop_assert_eq!(&prevailing, &updates_after(&reordered));
        for update in prevailing {
            let same_process = |drawn: &&Drawn| member_name(drawn.0) == update.name && drawn.1 == update.started_at_ms;
            let has_left = drawn.iter().filter(same_process).any(|drawn| drawn.3 == LEFT);
            prop_assert!(!has_left || update.status == MemberStatus::Left);
        }
    }
}
