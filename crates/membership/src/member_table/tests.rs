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
type UpdateFields = (u8, u64, u32, usize);

fn member_name(number: u8) -> MemberName {
    MemberName::try_from(format!("s{number}")).unwrap()
}

fn update((name, started_at_ms, incarnation, status): UpdateFields) -> StatusUpdate {
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
fn apply_in_order(generated: &[UpdateFields]) -> Vec<StatusUpdate> {
    let from = MemberName::try_from("from".to_owned()).unwrap();
    let mut table = MemberTable::default();
    for fields in generated {
        table.apply(update(*fields), &from, Duration::ZERO);
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
        generated in prop::collection::vec((0u8..3, 0u64..2, 0u32..3, 0usize..4), 1..12),
        rotation in any::<prop::sample::Index>(),
    ) {
        let mut reordered = generated.clone();
        reordered.rotate_left(rotation.index(generated.len()));
        reordered.reverse();
        let merged = apply_in_order(&generated);
        prop_assert_eq!(&merged, &apply_in_order(&reordered));
        for update in merged {
            let same_process = |fields: &&UpdateFields| member_name(fields.0) == update.name && fields.1 == update.started_at_ms;
            let has_left = generated.iter().filter(same_process).any(|fields| fields.3 == LEFT);
            prop_assert!(!has_left || update.status == MemberStatus::Left);
        }
    }
}
