//! Tests that reservations stay within the limit and are returned exactly once.

use super::MemoryBudget;
use bytes::Bytes;
use proptest::prelude::*;

const MEMORY: usize = 2000;
const LIMIT: usize = 1000;

#[test]
fn a_reservation_that_would_exceed_the_limit_is_released() {
    let budget = MemoryBudget::for_process(MEMORY);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.resize_or_release(600, 0) && second.resize_or_release(300, 100));
    assert!(!second.resize_or_release(400, 1));
    assert_eq!(budget.reserved(), 600);
    assert!(first.resize_or_release(LIMIT, 0));
    drop(first);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_reservation_lasts_as_long_as_the_last_part_of_its_bytes() {
    let budget = MemoryBudget::for_process(MEMORY);
    let mut reservation = budget.reservation();
    assert!(reservation.resize_or_release(9, 0));
    let bytes = reservation
        .take()
        .attach_to(Bytes::from_static(b"statement"));
    drop(reservation);
    let part = bytes.slice(3..5);
    drop(bytes);
    assert_eq!((&part[..], budget.reserved()), (&b"te"[..], 9));
    drop(part);
    assert_eq!(budget.reserved(), 0);
}

proptest! {
    /// Whatever is reserved, released or moved, the total is the sum of what is held, and never exceeds the limit.
    #[test]
    fn the_total_is_what_is_held(steps in prop::collection::vec((0..4_usize, 0..700_usize, any::<bool>()), 1..60)) {
        let budget = MemoryBudget::for_process(MEMORY);
        let mut held: Vec<_> = (0..4).map(|_| (budget.reservation(), 0)).collect();
        for (index, bytes, is_taken) in steps {
            let (reservation, size) = &mut held[index];
            if is_taken {
                *reservation = reservation.take();
            } else {
                *size = if reservation.resize_or_release(bytes, 0) { bytes } else { 0 };
            }
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            prop_assert_eq!(budget.reserved(), sum);
            prop_assert!(sum <= LIMIT);
        }
        drop(held);
        prop_assert_eq!(budget.reserved(), 0);
    }
}
