//! Tests of reading valid and malformed frames and the end of the input, and of the bytes of one reply.

use limewing_decision::interface::{Action, ClassId, Event, PodId, RequestId};
use limewing_simulator_protocol::{read_batch, Record, Reply};
use limewing_test_support::golden;
use rstest::rstest;
use std::time::Duration;

/// Decodes hexadecimal digits, which may be grouped by whitespace.
fn decode_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    golden::from_hex(&digits)
}

const BATCH_FOR_TWO_INSTANCES: &str = "59000000 508d976e12d32040 05000000 0c000000 0701 03000000
        0d01 c4913a5d0c7d0a00 0000 00000000 640ad2557c3bf091 cba145b6f34d2140 fa7e6abc7493883f 01
        0001 4d00000000000000 0701 05000000 0a01 192b6f0edd440400";

#[test]
fn a_batch_for_two_instances_is_read() {
    let batch = read_batch(&mut &decode_hex(BATCH_FOR_TWO_INSTANCES)[..])
        .unwrap()
        .unwrap();
    assert_eq!(batch.number, 12);
    assert!(matches!(batch.records[0], Record::SelectInstance(3)));
    let Record::Event(Event::RequestArrived(request)) = &batch.records[1] else {
        panic!("expected a RequestArrived event")
    };
    assert_eq!(
        (request.class, request.id),
        (ClassId(0), RequestId(0xa7d0c5d3a91c4))
    );
    assert!(matches!(
        batch.records[4],
        Record::Event(Event::ClientDisconnected(_))
    ));
}

#[rstest]
#[case::input_ends("10000000 508d976e12d32040", "input ends inside a frame")]
#[case::record_truncated(
    "12000000 508d976e12d32040 01000000 01000000 0701",
    "record is cut short"
)]
#[case::unknown_record(
    "12000000 508d976e12d32040 01000000 01000000 ffff",
    "unknown record code 65535"
)]
#[case::trailing_bytes("11000000 508d976e12d32040 00000000 01000000 00", "bytes are left")]
#[case::frame_too_large("ffffffff", "too large")]
#[case::table_rows_missing(
    "18000000 508d976e12d32040 01000000 01000000 0901 0000 ffffffff",
    "record is cut short"
)]
fn a_malformed_frame_is_reported_with_its_cause(#[case] frame: &str, #[case] expected: &str) {
    let error = read_batch(&mut &decode_hex(frame)[..]).unwrap_err();
    assert!(error.kind.to_string().contains(expected), "{error}");
}

#[test]
fn end_of_input_between_frames_is_not_an_error() {
    assert!(read_batch(&mut &[][..]).unwrap().is_none());
}

#[test]
fn a_started_attempt_has_the_documented_encoding() {
    let mut reply = Reply::default();
    reply.select_instance(3);
    let pod = PodId(u64::from_le_bytes([
        0x0a, 0x12, 0x4a, 0x07, 0x43, 0x1f, 0, 0,
    ]));
    reply.push_action(&Action::StartAttempt {
        request: RequestId(0xa7d0c5d3a91c4),
        pod,
        timeout: Duration::from_millis(80),
    });
    let mut out = Vec::new();
    reply.write_to(12, &mut out).unwrap();
    assert_eq!(&out[..12], [38, 0, 0, 0, 2, 0, 0, 0, 12, 0, 0, 0]);
    assert_eq!(&out[12..18], [0x0a, 1, 3, 0, 0, 0]);
    assert_eq!(
        &out[18..34],
        b"\x01\x01\xc4\x91\x3a\x5d\x0c\x7d\x0a\x00\x0a\x12\x4a\x07\x43\x1f"
    );
    assert_eq!(&out[34..], 0.08f64.to_le_bytes());
}
