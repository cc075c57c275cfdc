use super::unix_ms;
use std::time::{Duration, SystemTime};

#[test]
fn times_are_in_milliseconds_and_never_negative() {
    let epoch = SystemTime::UNIX_EPOCH;
    assert_eq!(unix_ms(epoch + Duration::from_micros(1_500)), 1);
    assert_eq!(unix_ms(epoch - Duration::from_secs(1)), 0);
}
