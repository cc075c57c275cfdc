use super::{DirectMessage, CONSENSUS, MAINTENANCE, REPLICATION};

/// Sidecars of other versions depend on these bytes.
#[test]
fn the_protocol_is_the_first_byte() {
    let first_byte = |protocol| DirectMessage::new("s1".into(), protocol, &[7, 8]).bytes;
    assert_eq!(first_byte(CONSENSUS), [1, 7, 8]);
    assert_eq!(first_byte(MAINTENANCE), [2, 7, 8]);
    assert_eq!(first_byte(REPLICATION), [3, 7, 8]);
}
