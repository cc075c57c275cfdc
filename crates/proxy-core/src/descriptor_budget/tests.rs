//! Tests that clients leave descriptors for pods and control services.

use super::DescriptorBudget;
use rstest::rstest;

#[rstest]
#[case::plenty(20_000, usize::MAX, 18_952, 19_976)]
#[case::few_descriptors(64, usize::MAX, 30, 40)]
#[case::fewer_than_needed(10, usize::MAX, 1, 2)]
#[case::little_memory(20_000, 100_000_000, 500, 19_976)]
fn clients_leave_descriptors_for_pods_and_control(
    #[case] descriptors: usize,
    #[case] memory: usize,
    #[case] max_accepted: usize,
    #[case] max_connections: usize,
) {
    assert_eq!(
        DescriptorBudget::new(descriptors, memory, 100_000),
        DescriptorBudget {
            max_accepted,
            max_connections
        }
    );
}
